# A VM is stopped while endpoints stay silent on its requests.  Guards against a
# process that waits for the transfers of these requests once their time is
# over, and is killed with them.
. ./lib.sh || exit 1
. ./site.sh
start_fake rows rows
row op config "$(site_conf 3 '"k1"' | sed 's/"TimeoutMs":8000/"TimeoutMs":30000/')"
server e llm m 1
control e '{"silent":1}'
entry a
wait_for is_ready a
for i in 1 2 3; do
	ask a /tell/x -d p -H 'X-Deadline-Ms: 30000' >"$tmp/caller.$i" &
	callers="${callers:-} $!"
done
all_ran() { [ "$(runs 'target=/tell/x')" = 3 ]; }
wait_for all_ran
begun=$(date +%s%3N)
kill -TERM "$pid_a"
wait "$pid_a"
echo "exit code $?"
took=$(($(date +%s%3N) - begun))
# shellcheck disable=SC2086
wait $callers
# The notice of 0.3 s, the 4 s for requests, and a second: with the usual notice
# of 3 s that is the time after which a VM is killed.
[ $took -le 5300 ] && echo "stopped in time" || echo "stopped after $took ms"
sort "$tmp"/caller.* | uniq -c | sed 's/^ *//'
