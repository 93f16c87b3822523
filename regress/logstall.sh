# Guards against a VM that blocks when the reader of its log stops reading.  The
# log goes to a pipe that fills up; every request must still succeed, and lines
# that do not fit into the pipe are lost.
. ./lib.sh || exit 1
. ./site.sh
start_fake rows rows
row op config "$(site_conf 3 '"k1"')"
server p app
entry a
wait_for is_ready a
kill -TERM "$pid_a"
wait "$pid_a"
mkfifo "$tmp/log"
# The pipe is open for reading and writing, but is not read while requests run.
exec 8<>"$tmp/log"
$bin serve --base "$tmp/a.base.ini" --overlay "$tmp/a.site.ini" >&8 2>/dev/null &
pid_a=$!
listens() {
	dd bs=65536 count=1 iflag=nonblock <"$tmp/log" 2>/dev/null >>"$tmp/seen"
	[ "$(grep -c event=listen "$tmp/seen")" = 4 ]
}
wait_for listens
front_a=$(sed -n 's/.*event=listen address=\([^ ]*\).*/\1/p' "$tmp/seen" | sed -n 2p)
ready_a=$(sed -n 's/.*event=listen address=\([^ ]*\).*/\1/p' "$tmp/seen" | sed -n 3p)
wait_for is_ready a
# A pipe holds 64 KB; each request writes about 500 bytes of log lines.
for i in $(seq 300); do ask a /safe/x; done | sort | uniq -c | tr -s ' '
kill -TERM "$pid_a"
wait "$pid_a"
echo "exit $?"
dd bs=65536 iflag=nonblock <"$tmp/log" 2>/dev/null >"$tmp/rest"
lines=$(grep -c event=finish "$tmp/rest")
[ "$lines" -gt 0 ] && [ "$lines" -lt 300 ] && echo "lines were lost, no request was"
