#!/bin/bash
# The platform's store comes back from a copy some seconds old while servers
# change their weights, and further weights are named.  Are the orders to each
# server those of one holder, with fencing tokens that do not fall?
# TROUBLE=0: the same without the drill.
set -u
case=$(cd "$(dirname "$0")" && pwd)
. "$case/../lib.sh"

trouble=${TROUBLE:-1}
vms="a b c d e f"
servers="p q"
lease_ms=3000 # LeaseMs
beat_s=1.2    # HeartbeatMs

conf() {
	cat <<'EOF'
{"Version":3,"Routes":[
{"Name":"r-tell","Host":"h.example","Prefix":"/tell/","Kind":"streaming","TimeoutMs":12000,"TargetLatencyMs":800,"Priority":1,"Service":"llm","MaxAttempts":2,"Sticky":true,"Resumable":true,"TargetGapMs":300}],
"Services":[{"Name":"llm","HealthPath":"/health","MaxConnections":630,"Engine":{"Slots":128,"KvCapacityTokens":179183,"KvTokenBytes":35136,"Models":[{"Name":"m"}]}}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"bozi300","ApiKeys":["jnbanfqasnmgkcuyj8pj"],"Priority":1}]}
EOF
}

# name_version N: the operator names new weights.
name_version() {
	row op version/m "{\"Model\":\"m\",\"Version\":$1}"
	named=$1
	note "$(now_ms) the operator names version $1"
}

# version_of SERVER: the weights that it has, by its own log.
version_of() {
	local v
	v=$(sed -n 's/.*event=order .* version=\([0-9]*\) .*status=202$/\1/p' "$tmp/$1.err" | tail -1)
	echo "${v:-1}"
}

# list SERVER: it writes its entry.
seq=0
list() {
	local port=port_$1
	seq=$((seq + 1))
	row servers "i-$1" "{\"Service\":\"llm\",\"Address\":\"127.0.0.1:${!port}\",\"Zone\":\"d1\",\"Slots\":128,\"Version\":\"v1\",\"Models\":[{\"Name\":\"m\",\"Version\":$(version_of "$1")}],\"State\":\"ready\",\"Seq\":$seq,\"ColdRemainingMs\":0}"
}

list_all() { for s in $servers; do list "$s"; done; }

# beat N: the servers write their entries N times.
beat() {
	for _ in $(seq "$1"); do
		list_all
		sleep $beat_s
	done
}

# has_order: some server got an order.
has_order() { cat "$tmp"/[pq].err | grep -q 'event=order '; }

start_fake rows rows
control rows '{"era":1}'
row op config "$(conf)"
row op version/m '{"Model":"m","Version":1}'
for s in $servers; do
	start_fake "$s" server
	control "$s" "{\"id\":\"i-$s\",\"load_ms\":1300}"
	list "$s"
done
for v in $vms; do vm "$v"; done
beat 2

# The copy is made now.
control rows '{"keep_copy":1}'
copied=$(now_ms)
beat 4
name_version 2
wait_for has_order
if [ "$trouble" != 0 ]; then
	note "$(now_ms) the store is away"
	control rows '{"turn_away":503}'
	sleep 1
	# What the operator and the servers wrote is written again.
	control rows '{"older_copy":1}'
	row op config "$(conf)"
	name_version 2
	list_all
	control rows '{"turn_away":0}'
	note "$(now_ms) the store is back from a copy of $(($(now_ms) - copied)) ms ago"
else
	sleep 1
fi
name_version 3
beat 8

for s in $servers; do
	sed -n "s/^time=[^T]*T\([0-9:.]*\)Z event=order .*holder=\([^ ]*\) fence=\([0-9]*\) .*version=\([0-9]*\) .*status=\([0-9]*\)\$/order server=$s time=\1 holder=\2 fence=\3 version=\4 status=\5/p" "$tmp/$s.err"
done >>"$record"
grep -h 'event=lease ' "$tmp"/[a-f].log | sed 's/.*time=\([^ ]*\) .*vm=\([^ ]*\) .*event=/\1 vm=\2 /' | sort >>"$record"

verdict=$(awk -v lease="$lease_ms" '
function field(name, i, p) {
	for (i = 1; i <= NF; i++) {
		p = index($i, "=")
		if (substr($i, 1, p - 1) == name)
			return substr($i, p + 1)
	}
}
BEGIN { orders = fell = same = turns = 0 }
$1 == "order" {
	s = field("server")
	split(field("time"), t, ":")
	ms = ((t[1] * 60 + t[2]) * 60 + t[3]) * 1000
	split(field("holder"), h, "/") # the machine before the slash
	fence = field("fence") + 0
	orders++
	if (s in last) {
		if (fence < highest[s])
			fell++
		if (fence == last_fence[s] && h[1] != last[s])
			same++
		if (h[1] != last[s] && ms - at[s] < lease)
			turns++
	}
	if (fence > highest[s])
		highest[s] = fence
	last[s] = h[1]
	last_fence[s] = fence
	at[s] = ms
}
END {
	printf "orders=%d with a lower fencing token after a higher one=%d with the token of another holder=%d from two machines within LeaseMs=%d\n", orders, fell, same, turns
	printf "broken=%d\n", fell + same + turns
}' "$record")
note "$verdict"
case $verdict in
*orders=0*) cannot_run "no orders were given" ;;
*broken=0) note "ONE held" && exit 0 ;;
esac
note "ONE was broken"
exit 1
