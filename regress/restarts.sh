# Endpoints that restart under their id, and rows of other writers.  Callers
# must see an endpoint that left and is back serve at once, weights that
# returned to an older version corrected, and no effect of rows that name no
# endpoint.  In order: an endpoint drains, ends and is back; an order to an
# earlier incarnation arrives when the next one counts its orders from zero;
# invalid rows stand between valid ones.
. ./lib.sh || exit 1
. ./site.sh
lease_ms=500
status_is() { [ "$(id=$RANDOM ask "$@")" = "$want" ]; }
has_event() { grep -q "$2" "$tmp/$1.log"; }
ran_order() { grep -q "event=order.*version=$2 .*status=202" "$tmp/$1.err"; }
start_fake rows rows
row op config "$(site_conf 3 '"k1"')"
server p app
list_server p app "" "" ready 1000
entry a
wait_for is_ready a
want=200 wait_for status_is a /safe/x

echo "== it leaves, ends, and is back under its id"
list_server p app "" "" draining 1000
wait_for has_event a 'endpoint=i-p outcome=draining'
ask a /safe/x
list_server p app "" "" ready 2000
wait_for has_event a 'endpoint=i-p .*born_ms=2000'
ask a /safe/x
grep -c 'endpoint=i-p outcome=started_again_ready .*born_ms=2000 before_ms=1000 source=list' "$tmp/a.log"

echo "== a heartbeat of the earlier incarnation arrives late"
list_server p app "" "" draining 1000
wait_for has_event a 'endpoint=i-p outcome=passed_over reason=life_older'
ask a /safe/x
list_server p app "" "" ready 2000

echo "== an order to the earlier incarnation arrives when orders are counted from zero"
server e llm m 1
control e '{"born":1000,"events":2,"late_order":1,"late_ms":6000,"load_ms":10}'
list_server e llm m 1 ready 1000
want=200 wait_for status_is a /tell/x -d p
row op version/m '{"Model":"m","Version":2}'
wait_for ran_order e 2
row op version/m '{"Model":"m","Version":3}'
wait_for ran_order e 3
control e '{"born":2000}'
list_server e llm m 3 ready 2000
wait_for has_event a 'endpoint=i-e .*born_ms=2000'
want=200 wait_for status_is a /tell/x -d p
echo "answered with version 3"
late() { [ "$(grep -c 'event=order.*version=2 .*status=202' "$tmp/e.err")" = 2 ]; }
wait_for late
echo "weights returned to version 2"
WAIT_BOUND=20 want=200 wait_for status_is a /tell/x -d p
[ "$(grep -c 'event=order.*version=3 .*status=202' "$tmp/e.err")" = 2 ] && echo "ordered again, and answered with version 3"

echo "== rows of other writers between valid ones"
server q app
drop_row servers i-q
eval "at=127.0.0.1:$port_q"
row servers a-bytes "$(printf '\377\376{"Service"')"
row servers a-none '{"Service":"app","Zone":"d1","Slots":8,"State":"ready"}'
row servers b-type "{\"Service\":\"app\",\"Address\":[\"$at\"],\"Zone\":\"d1\",\"Slots\":8,\"State\":\"ready\"}"
row servers c-state "{\"Service\":\"app\",\"Address\":\"$at\",\"Zone\":\"d1\",\"Slots\":8,\"State\":\"sleeping\"}"
row servers d-service "{\"Service\":\"none\",\"Address\":\"$at\",\"Zone\":\"d1\",\"Slots\":8,\"State\":\"ready\",\"Models\":[{\"Name\":\"m\",\"Version\":1}]}"
row servers e-slots "{\"Service\":\"app\",\"Address\":\"$at\",\"Zone\":\"d1\",\"Slots\":\"8\",\"State\":\"ready\"}"
row servers j-born "{\"Service\":\"app\",\"Address\":\"$at\",\"Zone\":\"d1\",\"Slots\":8,\"State\":\"ready\",\"born\":\"1\"}"
row servers k-born "{\"Service\":\"app\",\"Address\":\"$at\",\"Zone\":\"d1\",\"Slots\":8,\"State\":\"ready\",\"born\":1.5}"
row servers z-list '[1,2]'
row op version/m 'not a version'
sleep 2.5
for i in 1 2 3 4 5 6 7 8; do id=s$i ask a /safe/x; done | sort | uniq -c | tr -s ' '
key=k2 ask a /safe/x
echo "the invalid rows' address got $(cat "$tmp/q.err" | grep -c -e event=ran -e event=order)"
sed -n 's/.*event=rows_left_out .*reason=\([a-z0-9_]*\).*/left out/p' "$tmp/a.log" | sort -u

echo "== a VM that starts among them reads the whole list"
entry b
wait_for is_ready b
for i in 1 2 3 4 5 6 7 8; do id=t$i ask b /safe/x; done | sort | uniq -c | tr -s ' '
id=t9 ask b /tell/x -d p
sed -n 's/.*event=rows_left_out .*source=endpoints rows=\([0-9]*\) .*/rows left out: \1/p' "$tmp/b.log" | sort -u
echo "the invalid rows' address got $(cat "$tmp/q.err" | grep -c -e event=ran -e event=order)"

echo "== an endpoint's own entry is invalid until it writes again"
row servers i-p '{"Service":"app"}'
wait_for has_event a 'endpoint=i-p outcome=removed reason=spoiled'
ask a /safe/x
list_server p app "" "" ready 2000
want=200 wait_for status_is a /safe/x
echo "answered"
