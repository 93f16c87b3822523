# Guards against outdated weights after all VMs were down at once.  Newer
# weights are announced just when all VMs lose power, so none sees the
# announcement and none records it.  VMs that start seven seconds later must
# not take it for three seconds old, and so answer by old weights after the
# bound.  An announcement that nobody recorded may be as old as the time for
# which the VMs were down.
. ./lib.sh || exit 1
. ./site.sh
# Outdated weights are used until three seconds before this bound.
version_ms=9000 lease_ms=500
announced() { grep -q 'event=weights_named' "$tmp/$1.log"; }
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
wait_for announced b
until_ms 9300
ask b /tell/x -d p
echo "old runs: $(grep 'event=ran' "$tmp/e.err" | grep -c 'Version=1')"
