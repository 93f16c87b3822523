# Guards against wrong use of the platform's store: at a start without it, when
# configuration, keys, endpoints or weights change, and under each fault of the
# store.  The time limits are short, so that the test does not wait long.
. ./lib.sh || exit 1
. ./site.sh
revoke_ms=3000 lease_ms=500
status_is() { [ "$(ask "$1" "$2")" = "$3" ]; }
has_event() { grep -q "$2" "$tmp/$1.log"; }
start_fake rows rows
control rows '{"silent":1}'

echo "== start while the store is unreachable: not ready, requests do not run"
entry a
ready a; echo
ask a /safe/x
control rows '{"silent":0}'
echo "== the store is reachable, but empty"
ready a; echo
row op config "$(site_conf 3 '"k1"')"
server p app
wait_for is_ready a
wait_for status_is a /safe/x 200
echo "ready, request answered"

echo "== a key is added and revoked"
row op config "$(site_conf 5 '"k1","k2"')"
key=k2 wait_for status_is a /safe/x 200
row op config "$(site_conf 6 '"k1"')"
key=k2 wait_for status_is a /safe/x 401
echo "k2 is rejected"

echo "== an older configuration does not restore a revoked key"
row op config "$(site_conf 5 '"k1","k2"')"
wait_for has_event a 'event=conf outcome=older conf=5'
key=k2 ask a /safe/x

echo "== history lost while an endpoint leaves: the full list shows it"
server q app
wait_for has_event a 'endpoint=i-q outcome=ready'
control rows '{"deaf":1}'
list_server p app "" "" draining
control rows '{"deaf":0,"compact":2}'
wait_for has_event a 'endpoint=i-p outcome=draining'
before=$(cat "$tmp/p.err" | grep -c event=ran)
for i in 1 2 3 4 5 6; do ask a /safe/x; done | sort | uniq -c | tr -s ' '
echo "p ran $(($(cat "$tmp/p.err" | grep -c event=ran) - before))"
list_server p app
drop_row servers i-p
wait_for has_event a 'endpoint=i-p outcome=removed'

echo "== the store refuses this VM: keys are valid until the time limit"
control rows '{"turn_away":503}'
wait_for has_event a 'source=operator outcome=lost reason=refused'
ask a /safe/x
wait_for is_unready a
ask a /safe/x
control rows '{"turn_away":0}'
wait_for is_ready a
ask a /safe/x

echo "== the store stops responding during a poll"
control rows '{"silent":1}'
wait_for is_unready a
control rows '{"silent":0}'
wait_for is_ready a
ask a /safe/x

echo "== stopped for longer than the limit: the first request afterwards is refused"
row op config "$(site_conf 9 '"k1"')"
wait_for has_event a 'outcome=in_force conf=9'
kill -STOP "$pid_a"
row op config "$(site_conf 12 '"k3"')"
sleep 3.2
control rows '{"silent":1}'
kill -CONT "$pid_a"
# A poll that was answered meanwhile may deliver the new keys first.
case $(ask a /once/stopped -d x) in
401 | 503) echo "refused" ;;
*) echo "answered" ;;
esac
echo "ran $(runs stopped)"
control rows '{"silent":0}'
key=k3 wait_for status_is a /safe/x 200
ask a /safe/x

echo "== settings change without a signal: an error and its end are logged"
cp "$tmp/a.site.ini" "$tmp/a.whole"
echo "nonsense = 1" >>"$tmp/a.site.ini"
wait_for has_event a 'event=reload outcome=faulty'
cp "$tmp/a.whole" "$tmp/a.new"
mv "$tmp/a.new" "$tmp/a.site.ini"
wait_for has_event a 'event=reload outcome=checked'
echo "logged"

echo "== weights: one order per endpoint, the version is read back, the lease is released"
key=k3
server e llm m 1
server f llm m 1
wait_for has_event a 'endpoint=i-f outcome=ready'
row op version/m '{"Model":"m","Version":2}'
wait_for has_event a 'event=lease.*outcome=released'
cat "$tmp"/[ef].err | sed -n 's/.*event=order endpoint=[0-9]* holder=a.[^ ]* fence=[0-9]* //p' | sort
control e '{"events":2}'
control f '{"events":2}'
id=v2 ask a /tell/x -d p
cat "$tmp"/[ef].err | sed -n 's/.*v2 .*\(X-Cache-Salt=.*\) X-Req.*/\1/p'

echo "== an order without a reply that is executed late takes effect once"
control e '{"late_order":1,"late_ms":3200}'
row op version/m '{"Model":"m","Version":3}'
released() { [ "$(grep -c 'event=lease.*outcome=released' "$tmp/a.log")" -ge "$1" ]; }
wait_for released 2
late_order_ran() { [ "$(grep -c 'version=3' "$tmp/e.err")" -ge 2 ]; }
wait_for late_order_ran
sed -n 's/.*event=order endpoint=[0-9]* holder=a.[^ ]* fence=[0-9]* //p' "$tmp/e.err" | grep 'version=3' | sort

echo "== the lease holder stops midway: another VM finishes with a higher fencing token"
entry b
wait_for is_ready b
control e '{"load_ms":4000}'
control f '{"load_ms":4000}'
row op version/m '{"Model":"m","Version":4}'
holder() { sed -n 's/.*event=row .*"holder":"\([ab]\).*/\1/p' "$tmp/rows.err" | tail -1; }
is_ordered() { [ "$(cat "$tmp/e.err" "$tmp/f.err" | grep -c 'event=order.*version=4')" -ge 1 ]; }
wait_for is_ordered
first=$(holder)
eval "kill -STOP \$pid_$first"
server g llm m 1
is_other_holder() { [ "$(holder)" != "$first" ]; }
wait_for is_other_holder
wait_for has_line "$tmp/g.err" 'event=order.*version=4'
eval "kill -CONT \$pid_$first"
second=$(holder)
is_released() { has_event "$second" 'event=lease.*outcome=released'; }
wait_for is_released
fences=$(cat "$tmp"/[efg].err | sed -n 's/.*event=order .* holder=\([ab]\).* fence=\([0-9]*\) .*version=4.*/\1 \2/p' | sort -u)
echo "$fences" | cut -d' ' -f1 | sort -u | grep -c .
echo "$fences" | sort -k2n | head -1 | grep -q "^$first" && echo "the first holder has the lower fencing token"
kill -TERM "$pid_a" "$pid_b"
wait "$pid_a"; echo "exit $?"
