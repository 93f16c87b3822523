# Guards against requests to an endpoint that left while a VM was suspended,
# sent by that VM before it has read the list again.
. ./lib.sh || exit 1
. ./site.sh
drain_ms=2000

ran() { grep -c 'event=ran' "$tmp/$1.err"; }
# ask_often: requests of eight callers until $tmp/done is there.
ask_often() {
	for _c in 1 2 3 4 5 6 7 8; do
		while [ ! -e "$tmp/done" ]; do out=$tmp/out.$_c ask a /open/x >>"$tmp/statuses"; done &
		asking="$asking $!"
	done
}

start_fake rows rows
row op config "$(site_conf 3 '"k1"')"
for s in p q r; do server $s app; done
control rows '{"slow_ms":30}'
entry a
wait_for is_ready a
asking=
ask_often
# Between two polls the VM learns of nothing.
while [ ! -e "$tmp/done" ]; do list_server r app && sleep 0.2; done &
asking="$asking $!"

for round in 1 2 3; do
	sleep 0.5
	kill -STOP "$pid_a"
	sleep 0.3
	if [ $round = 2 ]; then
		list_server q app '' '' draining
	elif [ $round = 1 ]; then
		drop_row servers i-p
	else
		drop_row servers i-q
		list_server p app
	fi
	sleep 4
	p=$(ran p) q=$(ran q)
	kill -CONT "$pid_a"
	sleep 1
	case $round in
	1) echo "round 1, gone: p got $(($(ran p) - p))" ;;
	2) echo "round 2, draining: q got $(($(ran q) - q))" ;;
	3) [ "$(ran p)" -gt "$p" ] && echo "round 3, back: p gets requests, q got $(($(ran q) - q))" ;;
	esac
done
: >"$tmp/done"
# shellcheck disable=SC2086
wait $asking
[ "$(grep -c 200 "$tmp/statuses")" -gt 100 ] && echo "callers are served"
