# Guards against answers by outdated weights long after newer ones were
# announced, from a VM that started meanwhile.  The endpoint's orders are lost,
# so it keeps its old weights.  The VM that saw the announcement dies, and the
# one that starts sees it only then: it must not count the time for which old
# weights are accepted from its own start.
. ./lib.sh || exit 1
. ./site.sh
# Outdated weights are used until three seconds before this bound.
version_ms=9000 lease_ms=500
announced() { grep -q 'event=weights_named' "$tmp/$1.log"; }
has_lease() { grep -q 'event=lease.*outcome=taken' "$tmp/$1.log"; }
since() { echo $(($(date +%s%3N) - t0)); }
until_ms() { while [ "$(since)" -lt "$1" ]; do sleep 0.05; done; }

start_fake rows rows
row op config "$(site_conf 3 '"k1"')"
server e llm m 1
control e '{"events":2,"late_order":100000,"late_ms":300000}'
entry a
wait_for is_ready a
echo "== before: the only weights"
ask a /tell/x -d p

echo "== newer weights are announced: the old ones still serve for a limited time"
row op version/m '{"Model":"m","Version":2}'
t0=$(date +%s%3N)
wait_for announced a
wait_for has_lease a
ask a /tell/x -d p

echo "== the VM dies, and another starts within that time"
die a
until_ms 2000
entry b
wait_for is_ready b
wait_for announced b
ask b /tell/x -d p

echo "== the time is over, counted from the announcement"
until_ms 6500
ask b /tell/x -d p
echo "old runs: $(grep 'event=ran' "$tmp/e.err" | grep -c 'Version=1')"

echo "== a VM that starts after it"
entry c
wait_for is_ready c
wait_for announced c
ask c /tell/x -d p

echo "== the orders get through"
control e '{"late_order":0}'
loaded() { grep -q 'event=order.*version=2.*status=202' "$tmp/e.err"; }
wait_for loaded
status_is() { [ "$(ask "$1" "$2" -d p)" = "$3" ]; }
wait_for status_is b /tell/x 200
wait_for status_is c /tell/x 200
echo "answered"
