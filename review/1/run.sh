#!/bin/bash
# Configurations in quick succession in a deployment without Tenants: does each
# VM answer the requests that it has passed on to a server?
# TROUBLE=0: the same without new configurations.
set -u
case=$(cd "$(dirname "$0")" && pwd)
. "$case/../lib.sh"

trouble=${TROUBLE:-1}
vms="a b c d"
apply_ms=2000 # ConfigApplyMs
length_s=92
storm_every_s=8 # a storm is 4 s of configurations, 330 ms apart

# conf VERSION: no Tenants; each version adds or removes a route.
conf() {
	local added=
	[ $(($1 % 2)) = 0 ] || added='{"Name":"r-added","Host":"h.example","Prefix":"/added/","Kind":"idempotent","TimeoutMs":3000,"TargetLatencyMs":300,"Priority":2,"Service":"app","MaxAttempts":2},'
	cat <<EOF
{"Version":$1,"Routes":[$added
{"Name":"r-safe","Host":"h.example","Prefix":"/safe/","Kind":"idempotent","TimeoutMs":3000,"TargetLatencyMs":300,"Priority":2,"Service":"app","MaxAttempts":2},
{"Name":"r-once","Host":"h.example","Prefix":"/once/","Kind":"non_idempotent","TimeoutMs":3000,"TargetLatencyMs":300,"Priority":2,"Service":"app","MaxAttempts":2},
{"Name":"r-tell","Host":"h.example","Prefix":"/tell/","Kind":"streaming","TimeoutMs":12000,"TargetLatencyMs":800,"Priority":1,"Service":"llm","MaxAttempts":2,"Sticky":true,"Resumable":true,"TargetGapMs":300}],
"Services":[{"Name":"app","HealthPath":"/health","MaxConnections":110},
{"Name":"llm","HealthPath":"/health","MaxConnections":630,"Engine":{"Slots":128,"KvCapacityTokens":179183,"KvTokenBytes":35136,"Models":[{"Name":"m"}]}}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}
EOF
}

# send_conf VERSION: records when it was sent and acknowledged.
send_conf() {
	local sent
	sent=$(now_ms)
	row op config "$(conf "$1")"
	echo "conf version=$1 sent_ms=$sent acked_ms=$(now_ms)" >>"$record"
}

is_running() { kill -0 "$1" 2>/dev/null; }

all_run() {
	local v pid
	for v in $vms; do
		pid=pid_$v
		is_running "${!pid}" || return 1
	done
}

start_fake rows rows
send_conf 3
for s in p q r; do
	server "$s" app
	control "$s" '{"delay_ms":60}'
done
for s in e f; do
	server "$s" llm m
	control "$s" '{"events":20,"event_ms":30}'
done
for v in $vms; do vm "$v"; done

# As many requests a second as the sheet of ledvrata-ops names: 260.
loads=()
for v in $vms; do
	front=front_$v
	for kind in safe:20 once:35 tell:10; do
		"$client" load "${!front}" "$v-${kind%:*}" "${kind#*:}" $length_s "/${kind%:*}/" \
			'X-Attempt-Id: @' 'X-Deadline-Ms: 6000' \
			'X-Model: m' 'X-Token-Count: 120,20' 'X-Prompt-Prefix: 5c1e07a2:80,91bd3f06:40' \
			>"$tmp/load.$v.${kind%:*}" &
		loads+=($!)
		started+=($!)
	done
done

begin=$(now_ms)
version=3
while all_run && [ $(($(now_ms) - begin)) -lt $((length_s * 1000)) ]; do
	sleep 0.33
	at=$((($(now_ms) - begin) / 1000 % storm_every_s))
	if [ "$trouble" != 0 ] && [ $at -ge 4 ]; then
		version=$((version + 1))
		send_conf $version
	fi
done
if all_run; then
	wait "${loads[@]}" # the last requests have their deadlines
else
	sleep 2
	kill "${loads[@]}" 2>/dev/null
fi

for v in $vms; do
	pid=pid_$v
	if ! is_running "${!pid}"; then
		wait "${!pid}"
		note "vm $v: its process ended by itself, exit code $?"
	fi
done
cat "$tmp"/load.* >>"$record"
cat "$tmp"/[pqref].err | sed -n 's/.*\(time=[^ ]*\) event=ran .*X-Attempt-Id=\([^ ]*\).*/ran id=\2 \1/p' >>"$record"

# LOST: requests that a server ran and whose connection ended without a whole
# answer, before seven tenths of the route's 3 s, within a configuration's time
# (from its sending until ConfigApplyMs + 1 s after its acknowledgement); they
# count if the VM cuts over three times as many a second then as at other times.
verdict=$(awk -v slack=$((apply_ms + 1000)) -v begin="$begin" -v end="$(now_ms)" '
function field(name, i, p) {
	for (i = 1; i <= NF; i++) {
		p = index($i, "=")
		if (substr($i, 1, p - 1) == name)
			return substr($i, p + 1)
	}
}
BEGIN { n = 0; lost = 0 }
/^conf/ && field("version") + 0 > 3 { from[n] = field("sent_ms") + 0; to[n++] = field("acked_ms") + slack }
/^ran/ { ran[field("id")] = 1 }
/^id=/ {
	total++
	if (field("outcome") == "complete")
		whole++
	if (field("outcome") == "cut" && field("end_ms") - field("sent_ms") < 2100)
		cut[field("id")] = field("end_ms") + 0
}
END {
	for (t = begin; t < end; t += 10) {
		inside = 0
		for (k = 0; k < n; k++)
			inside = inside || (t >= from[k] && t <= to[k])
		if (inside) span_in += 10; else span_out += 10
	}
	for (id in cut) {
		if (!(id in ran))
			continue
		vm = substr(id, 1, 1)
		inside = 0
		for (k = 0; k < n; k++)
			inside = inside || (cut[id] >= from[k] && cut[id] <= to[k])
		if (inside) cuts_in[vm]++; else cuts_out[vm]++
		seen[vm] = 1
	}
	printf "requests=%d complete=%d configurations=%d\n", total, whole, n
	for (vm in seen) {
		printf "vm %s: run at a server and cut: %d in %.1f s with a configuration, %d in %.1f s without\n", vm, cuts_in[vm], span_in / 1000, cuts_out[vm], span_out / 1000
		if (cuts_in[vm] > 0 && cuts_in[vm] * span_out > 3 * cuts_out[vm] * span_in)
			lost += cuts_in[vm]
	}
	printf "lost=%d\n", lost
}' "$record")
note "$verdict"
case $verdict in
*requests=0*) cannot_run "no requests were sent" ;;
*lost=0) note "LOST held" && exit 0 ;;
esac
note "LOST was broken"
exit 1
