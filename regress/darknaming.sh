# Newer weights are named just when all VMs lose power, so none hears of it and
# none records it.  They are back seven seconds later, take the naming for
# three seconds old, and callers get answers made by old weights after the
# bound.  What nobody recorded may be as old as the VMs were away.
. ./lib.sh || exit 1
. ./site.sh
# Old weights take work until three seconds before this bound.
version_ms=9000 lease_ms=500
named() { grep -q 'event=weights_named' "$tmp/$1.log"; }
since() { echo $(($(date +%s%3N) - t0)); }
until_ms() { while [ "$(since)" -lt "$1" ]; do sleep 0.05; done; }

start_fake rows rows
row op config "$(site_conf 3 '"k1"')"
server e llm m 1
control e '{"events":2,"late_order":100000,"late_ms":300000}'
entry a
wait_for is_ready a
ask a /tell/x -d p
die a
row op version/m '{"Model":"m","Version":2}'
t0=$(date +%s%3N)
until_ms 7000
entry b
wait_for is_ready b
wait_for named b
until_ms 9300
ask b /tell/x -d p
echo "old runs: $(grep 'event=ran' "$tmp/e.err" | grep -c 'Version=1')"
