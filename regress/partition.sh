# Guards against a VM that cannot reach the endpoints and refuses its callers,
# although other VMs reach them.
. ./lib.sh || exit 1
. ./site.sh

now_ms() { echo $((${EPOCHREALTIME/./} / 1000)); }
events_sent='t1 t2 t3 t4 t5 t6 '

# answered VM KIND ID [BODY]: 200, with the whole reply to this very request.
answered() {
	_sent=${4:-body of $3}
	_got=$(out=$tmp/got id=$3 ask "$1" "/$2/$3" -d "$_sent" --max-time "${patience:-5}") || return 1
	[ "$_got" = 200 ] || return 1
	if [ "$2" = tell ]; then
		[ "$(sed -n 's/^data: //p' "$tmp/got" | tr '\n' ' ')" = "$events_sent" ]
	else
		[[ "$(cat "$tmp/got")" = i-[pq]" ran /$2/$3 $_sent" ]]
	fi
}

polls=0
all_kinds() {
	for _k in safe once tell; do
		polls=$((polls + 1))
		patience=1 answered "$1" $_k "poll-$polls" || return 1
	done
}

# soon VM: it answers each kind within 3 s.
soon() {
	_until=$(($(now_ms) + 3000))
	until all_kinds "$1"; do
		[ "$(now_ms)" -lt $_until ] ||
			fail "no service at $1 within 3 s, its last reply: $(sed -n '1s/\r$//p' "$tmp/head")"
		sleep 0.05
	done
	echo "service at $1"
}

# batch VM NAME: 20 requests of each kind.
batch() {
	for _k in safe once tell; do
		_n=0
		for _i in $(seq 20); do answered "$1" $_k "$2-$_k-$_i" && _n=$((_n + 1)); done
		echo "$1 $_k: $_n of 20"
	done
	_n=0
	for _i in $(seq 20); do [ "$(runs "Attempt-Id=$2-once-$_i ")" = 1 ] && _n=$((_n + 1)); done
	echo "$1 once: $_n ran once"
}
no_repeats() {
	cat "$tmp"/[pq].err | sed -n 's/.*event=ran .*target=\/once\/\([^ ]*\) .*/\1/p' | sort | uniq -d | sed 's/^/ran again: /'
}

start_fake rows rows
row op config "$(site_conf 3 '"k1"')"
server p app
server q app
server e llm m 1
server f llm m 1
control e '{"events":6}'
control f '{"events":6}'
for v in a b c; do
	view $v
	eval "port_rows=\$view_$v entry $v"
done
for v in a b c; do wait_for is_ready $v; done

echo "== before"
for v in a b; do soon $v; done

echo "== one VM is cut off from the endpoints, connections are refused"
cut_links a 1
soon a
batch a refused
big=$(head -c 6000 /dev/urandom | od -An -tx1 | tr -d ' \n')
answered a safe refused-big "$big" && echo "a body of ${#big} bytes arrives unchanged"
key=bad ask a /safe/x
ask a /nowhere/

echo "== connections hang"
cut_links a 0
soon a
cut_links a 2
soon a
batch a hang

echo "== two VMs are cut off"
cut_links a 1
cut_links b 1
for v in a b; do soon $v; done
for v in a b; do batch $v two-$v; done

echo "== all VMs are cut off"
cut_links c 1
for v in a b c; do
	for k in safe once tell; do
		id=all-$v-$k ask $v /$k/x -d x --max-time 1
		header Retry-After | sed 's/^[0-9.]*$/seconds/'
	done
done
# Each VM may try two endpoints, and pass the request to two VMs.
for v in a b c; do
	for k in safe once tell; do
		wait_for has_line "$tmp/$v.log" "event=finish req=all-$v-$k "
		sent=$(cat "$tmp"/[abc].log | grep 'event=\(send\|forward\)' | grep -c "req=all-$v-$k ")
		[ "$sent" -le 12 ] || echo "sent $sent times"
	done
done
echo "ran: $(runs 'Attempt-Id=all-')"

echo "== healed"
for v in a b c; do cut_links $v 0; done
turn=0
# Answered without another VM.
direct() {
	turn=$((turn + 1))
	answered a safe healed-$turn || return 1
	wait_for has_line "$tmp/a.log" "event=finish req=healed-$turn "
	grep -q "event=send req=healed-$turn " "$tmp/a.log" &&
		! cat "$tmp"/[bc].log | grep -q "req=healed-$turn "
}
wait_bound=5 wait_for direct
for v in a b c; do soon $v; done
cat "$tmp"/[bc].log | grep -q "req=healed-$turn " || echo "a sends to the endpoints itself"
no_repeats

echo "== a stranger without the VMs' key"
# The fourth address that a VM listens at is the one for other VMs.
between=$(sed -n 's/.*event=listen address=\([^ ]*\).*/\1/p' "$tmp/b.log" | sed -n 4p)
for seal in x "$(head -c 92 /dev/urandom | base64 -w 0)"; do
	front_s=$between
	id=stranger ask s /safe/x -d x -H "Camphorquay-Forwarded: $seal"
done
id=stranger ask s /safe/x -d x
# A body beyond what is read of a stranger.
head -c 19000 /dev/zero >"$tmp/zeros"
id=stranger ask s /safe/x --data-binary "@$tmp/zeros" -H "Camphorquay-Forwarded: x" -H "Expect: 100-continue" --expect100-timeout 20
echo "body sent: $(sed -n '1s/\r$//p' "$tmp/head")"
id=named ask b /safe/x -d x -H "Camphorquay-Forwarded: x"
echo "ran: $(runs 'Attempt-Id=stranger'), with the header: $(runs 'Camphorquay-Forwarded')"
