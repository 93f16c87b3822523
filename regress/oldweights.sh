# Callers get answers made by old weights long after newer ones were named,
# from a VM that started meanwhile.  The endpoint's orders are lost, so it
# keeps its old weights; the VM that heard the naming dies; the one that starts
# hears of it only then, and took that for the moment of the naming: its grace
# for old weights began anew.
. ./lib.sh || exit 1
. ./site.sh
# Old weights take work until three seconds before this bound.
version_ms=9000 lease_ms=500
named() { grep -q 'event=weights_named' "$tmp/$1.log"; }
holds() { grep -q 'event=lease.*outcome=taken' "$tmp/$1.log"; }
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

echo "== newer ones are named: the old ones still serve for a while"
row op version/m '{"Model":"m","Version":2}'
t0=$(date +%s%3N)
wait_for named a
wait_for holds a
ask a /tell/x -d p

echo "== the VM dies, and another starts within that while"
die a
until_ms 2000
entry b
wait_for is_ready b
wait_for named b
ask b /tell/x -d p

echo "== the while is over, counted from the naming"
until_ms 6500
ask b /tell/x -d p
echo "old runs: $(grep 'event=ran' "$tmp/e.err" | grep -c 'Version=1')"

echo "== one that starts after it"
entry c
wait_for is_ready c
wait_for named c
ask c /tell/x -d p

echo "== the orders get through"
control e '{"late_order":0}'
loaded() { grep -q 'event=order.*version=2.*status=202' "$tmp/e.err"; }
wait_for loaded
status_is() { [ "$(ask "$1" "$2" -d p)" = "$3" ]; }
wait_for status_is b /tell/x 200
wait_for status_is c /tell/x 200
echo "answered"
