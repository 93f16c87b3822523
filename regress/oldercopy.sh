# The platform's store is restored from a copy that is some seconds old, while
# it rejects a VM's requests.  Guards against a VM that keeps serving callers
# whose key was revoked since, and refuses callers with a new key: the store's
# versions went back and were assigned again, so a VM that continued after its
# last version would never receive the changes in between.
. ./lib.sh || exit 1
. ./site.sh
revoke_ms=3000
fill() { for _i in $(seq "$1"); do row filler x "$_i"; done; }
start_fake rows rows
control rows '{"era":1}'
row op config "$(site_conf 3 '"k1"')"
server p app
server q app
control q '{"crash_on":"boom"}'
entry a
wait_for is_ready a
ask a /safe/x

echo "== a copy is kept; the store and the VM go on"
control rows '{"keep_copy":1}'
while [ "$(grep -c 'event=ran.*boom' "$tmp/q.err")" = 0 ] && kill -0 "$pid_q" 2>/dev/null; do ask a /once/x -d boom >/dev/null; done
row_of_a() { curl -s --noproxy '*' "http://127.0.0.1:$port_rows/rows-get?Table=camphorquay_crashes&part=" | grep -c '"Key":"vm/a"'; }
has_row() { [ "$(row_of_a)" = 1 ]; }
wait_for has_row
entry b
row_of_b() { curl -s --noproxy '*' "http://127.0.0.1:$port_rows/rows-get?Table=camphorquay_vms&part=" | grep -c '"Key":"b"'; }
is_listed() { [ "$(row_of_b)" = 1 ]; }
wait_for is_listed
fill 20
row op config "$(site_conf 4 '"k1"')"
wait_for has_line "$tmp/a.log" 'event=conf outcome=in_force conf=4'

echo "== the store is restored from the copy; the operator writes again and goes on"
control rows '{"turn_away":503}'
wait_for has_line "$tmp/a.log" 'source=operator outcome=lost reason=refused'
control rows '{"older_copy":1}'
drop_row servers i-q
row op config "$(site_conf 4 '"k1"')"
list_server p app
row op config "$(site_conf 5 '"k2"')"
fill 40
control rows '{"turn_away":0}'
wait_for is_ready a
sleep 5
key=k1 ask a /safe/x
key=k2 ask a /safe/x
echo "== the VM writes its own rows again"
wait_for has_row
echo there
echo "== also the entry of a VM that started after the copy"
wait_for is_listed
echo there
