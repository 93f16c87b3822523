# Four VMs in two domains under load, with random faults from a seed: VMs are
# killed, suspended beyond the send window of their claims, or stopped; the
# table is down or loses replies; engines break streams; the KV store returns
# corrupt and truncated segments; endpoints drop calls after running them; and
# settings change.  Then the history checker looks for violations in the logs
# of all VMs, simulated back ends and callers.
#   chaos.sh [SEED [SECONDS]]
. ./lib.sh || exit 1
. ./vms.sh
RANDOM=${1:-1}
length=${2:-12}
plain_base 'send_within_ms = 500' 'deadline_ms = 4000' 'run_max_s = 5' >/dev/null
make_key other
sed -i 's/^services = trucks/services = trucks model/' "$tmp/base.ini"
cat >>"$tmp/base.ini" <<EOF
[platform]
vm_list = http://127.0.0.1:$port_table
timeout_ms = 300
[workspace other]
keys = $hash_other
services = model
[service model]
version = v1
stall_ms = 1000
retry_burst = 1000
EOF
start_fake p2 plain
printf '[endpoint p2]\nservice = trucks\ndomain = d1\naddress = 127.0.0.1:%s\n' "$port_p2" >>"$tmp/base.ini"
for e in e1 e2 e3; do
	start_fake $e engine
	eval "port=\$port_$e"
	printf '[endpoint %s]\nservice = model\ndomain = d1\naddress = 127.0.0.1:%s\ncache_tokens = 8192\nprefill_tokens_s = 20000\n' $e "$port" >>"$tmp/base.ini"
	control $e '{"cache_tokens":8192,"prefill_tokens_s":20000,"decode_us":2000}'
done
add_store s1
for x in a b; do start_peer $x d1; done
for x in c d; do start_peer $x d2; done
all="$vm_a,$vm_b,$vm_c,$vm_d"
restart() {
	eval "vm_listen=\$vm_$1"
	case $1 in a | b) start_peer "$1" d1 ;; *) start_peer "$1" d2 ;; esac
	vm_listen=
}
load=$top/bench/load
n=$((length * 15))
$load --address "$all" --key "$key_ws" --count $n --rate 15 --tokens 40 --prompt-bytes 6000 --distinct 9 --verify >"$tmp/l1" 2>"$tmp/l1.log" & l1=$!
$load --address "$all" --key "$key_other" --count $n --rate 15 --tokens 20 --prompt-bytes 6000 --distinct 7 --verify >"$tmp/l2" 2>"$tmp/l2.log" & l2=$!
$load --address "$all" --key "$key_ws" --count $n --rate 15 --call trucks --idempotent --verify >"$tmp/l3" 2>"$tmp/l3.log" & l3=$!
end=$(($(date +%s) + length))
vms=(a b c d)
step=0
while [ "$(date +%s)" -lt $end ]; do
	x=${vms[$((RANDOM % 4))]}
	eval "pid=\$pid_$x"
	step=$((step + 1))
	case $((RANDOM % 11)) in
	0) die $x; restart $x ;;
	1) kill -STOP "$pid"; sleep 0.8; kill -CONT "$pid" ;;
	2) kill -TERM "$pid"; wait "$pid"; restart $x ;;
	3) control table '{"down":1}'; sleep 0.4; control table '{"down":0}' ;;
	4) control table '{"lose_replies":3}' ;;
	5) control e1 '{"breaks":2,"break_after":5}' ;;
	6) control e2 '{"hangs":1,"hang_after":3}' ;;
	7) control s1 '{"corrupt":2,"truncate":1}' ;;
	8) control e3 '{"half_exports":2,"bad_seals":1,"lose_events":5}' ;;
	9) control p1 '{"drop_calls":2}'; control p2 '{"drop_calls":2}' ;;
	10) printf '[workspace other]\nqueue_max = %s\n' "$((200 + step))" >"$tmp/change.ini"
		ctl $x apply --wait 0 "$tmp/change.ini" >/dev/null 2>&1 ;;
	esac
	sleep 0.2
done
wait $l1 $l2 $l3
control table '{"lose_replies":0}'
for x in a b c d; do eval "kill -TERM \$pid_$x"; done
for x in a b c d; do eval "wait \$pid_$x"; done
cat "$tmp"/*.log* "$tmp"/*.err >"$tmp/history"
./check <"$tmp/history" | grep BROKEN | sort | uniq -c
got=$(grep -c 'event=got.*good=1' "$tmp/history")
[ "$got" -gt $((n * 3 / 2)) ] && echo "most requests were answered" || echo "only $got of $((n * 3)) requests were answered"
[ "$(grep -c 'event=used' "$tmp/history")" -gt 0 ] && echo "kept work was used"
[ -n "${SHOW:-}" ] && echo "answered=$got of=$((n * 3)) faults=$step replays=$(grep -c 'result=replay' "$tmp/history") resumes=$(grep -c event=resume "$tmp/history") unknown=$(grep -c 'event=finish.*outcome=unknown' "$tmp/history") revisions=$(grep -c 'event=change.*accepted=1' "$tmp/history")"
echo "history checked"
