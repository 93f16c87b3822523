# Guards against a VM whose memory grows with what a stream has carried, when
# the stream is faster than its caller.
. ./lib.sh || exit 1
. ./site.sh
# For each stream: what may be pending, doubled for what is read and not yet
# discarded, and again for the spare room of a buffer that grows.
stream_kb=$((4 * 64))
# The sanitizers' allocator pads memory, and keeps what was freed.
! grep -q __asan_init "$bin" || stream_kb=$((4 * stream_kb))
export ASAN_OPTIONS=quarantine_size_mb=0:thread_local_quarantine_size_kb=0

start_fake rows rows
row op config "$(site_conf 3 '"k1"')"
row op version/m '{"Model":"m","Version":1}'
server e llm m 1
control e '{"events":3}'
entry a
wait_for is_ready a
peak_kb() { awk "/^VmHWM:/ { print \$2 }" "/proc/$pid_a/status"; }
# read_slowly FORM RATE SECONDS: how many bytes the caller got.
read_slowly() {
	curl -s --noproxy '*' --limit-rate "$2" --max-time "$3" -o /dev/null -w '%{size_download}\n' \
		-H 'Host: h.example' -H "Authorization: Token k1" -H "X-Attempt-Id: $1-$RANDOM" \
		-H 'X-Deadline-Ms: 8000' -d x "http://$front_a/tell/endless-$1"
}
# grown KB STREAMS
grown() {
	_n=$(($(peak_kb) - $1))
	[ $_n -le $(($2 * stream_kb)) ] && echo bounded || echo "$_n kB more"
}

ask a /tell/x -d x
for f in events comments; do
	echo "== $f, one caller"
	before=$(peak_kb)
	got=$(read_slowly $f 40M 4)
	[ "$got" -gt 20000000 ] && echo "carried: enough" || echo "carried: $got"
	echo "memory: $(grown "$before" 1)"
	echo "== $f, fifty slow callers"
	before=$(peak_kb)
	callers=
	for i in $(seq 50); do
		read_slowly $f 400k 5 >"$tmp/got.$f.$i" &
		callers="$callers $!"
	done
	# shellcheck disable=SC2086
	wait $callers
	got=$(cat "$tmp"/got.$f.* | awk '{ n += $1 } END { print n }')
	[ "$got" -gt 40000000 ] && echo "carried: enough" || echo "carried: $got"
	echo "memory: $(grown "$before" 50)"
done
