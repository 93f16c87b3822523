# The platform's store and what it says: start without it, changes of
# configuration, keys taken away, endpoints that leave, weights, and each
# fault of the store.  Bounds are short, so that waits are.
. ./lib.sh || exit 1
. ./site.sh
revoke_ms=3000 lease_ms=500
status_is() { [ "$(ask "$1" "$2")" = "$3" ]; }
has_event() { grep -q "$2" "$tmp/$1.log"; }
start_fake rows rows
control rows '{"silent":1}'

echo "== a start while the store is away: not ready, and not run"
entry a
ready a; echo
ask a /safe/x
control rows '{"silent":0}'
echo "== the store is back, and still empty"
ready a; echo
row op config "$(site_conf 3 '"k1"')"
server p app
wait_for is_ready a
wait_for status_is a /safe/x 200
echo "ready, and answered"

echo "== a key is added, and taken away"
row op config "$(site_conf 5 '"k1","k2"')"
key=k2 wait_for status_is a /safe/x 200
row op config "$(site_conf 6 '"k1"')"
key=k2 wait_for status_is a /safe/x 401
echo "k2 opens nothing"

echo "== an older configuration brings nothing back"
row op config "$(site_conf 5 '"k1","k2"')"
wait_for has_event a 'event=conf outcome=older conf=5'
key=k2 ask a /safe/x

echo "== history lost while an endpoint leaves: the whole list tells"
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

echo "== the store turns this VM away: keys count until the bound, then not"
control rows '{"turn_away":503}'
wait_for has_event a 'source=operator outcome=lost reason=refused'
ask a /safe/x
wait_for is_unready a
ask a /safe/x
control rows '{"turn_away":0}'
wait_for is_ready a
ask a /safe/x

echo "== the store goes silent in the middle of a poll"
control rows '{"silent":1}'
wait_for is_unready a
control rows '{"silent":0}'
wait_for is_ready a
ask a /safe/x

echo "== frozen past the bound: the first request after the thaw is refused"
row op config "$(site_conf 9 '"k1"')"
wait_for has_event a 'outcome=in_force conf=9'
kill -STOP "$pid_a"
row op config "$(site_conf 12 '"k3"')"
sleep 3.2
control rows '{"silent":1}'
kill -CONT "$pid_a"
# A poll that was answered meanwhile may tell of the new keys first.
case $(ask a /once/frozen -d x) in
401 | 503) echo "refused" ;;
*) echo "answered" ;;
esac
echo "ran $(runs frozen)"
control rows '{"silent":0}'
key=k3 wait_for status_is a /safe/x 200
ask a /safe/x

echo "== the settings change without a signal: a fault is told, and its end"
cp "$tmp/a.site.ini" "$tmp/a.whole"
echo "nonsense = 1" >>"$tmp/a.site.ini"
wait_for has_event a 'event=reload outcome=faulty'
cp "$tmp/a.whole" "$tmp/a.new"
mv "$tmp/a.new" "$tmp/a.site.ini"
wait_for has_event a 'event=reload outcome=checked'
echo "told"

echo "== weights: ordered once each, read back, the lease let go"
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

echo "== an order without an answer, carried out late, changes nothing twice"
control e '{"late_order":1,"late_ms":3200}'
row op version/m '{"Model":"m","Version":3}'
released() { [ "$(grep -c 'event=lease.*outcome=released' "$tmp/a.log")" -ge "$1" ]; }
wait_for released 2
late() { [ "$(grep -c 'version=3' "$tmp/e.err")" -ge 2 ]; }
wait_for late
sed -n 's/.*event=order endpoint=[0-9]* holder=a.[^ ]* fence=[0-9]* //p' "$tmp/e.err" | grep 'version=3' | sort

echo "== the holder freezes in the middle: another VM finishes, with a higher fence"
entry b
wait_for is_ready b
control e '{"load_ms":4000}'
control f '{"load_ms":4000}'
row op version/m '{"Model":"m","Version":4}'
holder() { sed -n 's/.*event=row .*"holder":"\([ab]\).*/\1/p' "$tmp/rows.err" | tail -1; }
ordered() { [ "$(cat "$tmp/e.err" "$tmp/f.err" | grep -c 'event=order.*version=4')" -ge 1 ]; }
wait_for ordered
first=$(holder)
eval "kill -STOP \$pid_$first"
server g llm m 1
other() { [ "$(holder)" != "$first" ]; }
wait_for other
wait_for has_line "$tmp/g.err" 'event=order.*version=4'
eval "kill -CONT \$pid_$first"
second=$(holder)
let_go() { has_event "$second" 'event=lease.*outcome=released'; }
wait_for let_go
fences=$(cat "$tmp"/[efg].err | sed -n 's/.*event=order .* holder=\([ab]\).* fence=\([0-9]*\) .*version=4.*/\1 \2/p' | sort -u)
echo "$fences" | cut -d' ' -f1 | sort -u | grep -c .
echo "$fences" | sort -k2n | head -1 | grep -q "^$first" && echo "the first holder has the lower fence"
kill -TERM "$pid_a" "$pid_b"
wait "$pid_a"; echo "exit $?"
