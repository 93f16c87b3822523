#!/bin/bash
# WALL: a tenant is made isolated by a new version of the configuration.
. "$(dirname "$0")/../lib-2.sh" || exit 2

start_store
"$peer" engine i-e1 m >"$tmp/e1.out" 2>&1 &
wait_for has_line "$tmp/e1.out" '^port='
port=$(sed -n 's/^port=//p' "$tmp/e1.out")

# config VERSION ISOLATED: whether the tenant weavers is isolated.
config() {
	row op config "{\"Version\":$1,\"Routes\":[
{\"Name\":\"ask\",\"Host\":\"h.example\",\"Prefix\":\"/ask/\",\"Kind\":\"streaming\",\"TimeoutMs\":8000,\"TargetLatencyMs\":800,\"TargetGapMs\":400,\"Priority\":1,\"Service\":\"llm\",\"MaxAttempts\":2,\"Sticky\":true}],
\"Services\":[{\"Name\":\"llm\",\"HealthPath\":\"/health\",\"MaxConnections\":370,\"Engine\":{\"Slots\":8,\"KvCapacityTokens\":139971,\"KvTokenBytes\":35136,\"LinkMbps\":550000,\"Models\":[{\"Name\":\"m\"}]}}],
\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},
\"Tenants\":[{\"Name\":\"weavers\",\"ApiKeys\":[\"k-weavers\"],\"Isolated\":$2},{\"Name\":\"dyers\",\"ApiKeys\":[\"k-dyers\"],\"Isolated\":false}]}"
}
config 3 false
row op version/m '{"Model":"m","Version":1}'
# The server's own entry; it writes it every 1.2 s.
heartbeat() {
	_seq=1
	while :; do
		row servers i-e1 "{\"Service\":\"llm\",\"Address\":\"127.0.0.1:$port\",\"Zone\":\"z1\",\"Version\":\"v1\",\"Slots\":8,\"State\":\"ready\",\"Stage\":\"colocated\",\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}],\"ColdRemainingMs\":0,\"Seq\":$_seq}"
		_seq=$((_seq + 1))
		sleep 1.2
	done
}
heartbeat &
vm a z1
vm b z1
wait_for is_ready a
wait_for is_ready b

n=0
# ask VM TENANT PROMPT: its first two parts are the same for all tenants.
ask() {
	n=$((n + 1))
	eval "_f=\$front_$1"
	note "sent id=q$n vm=$1 tenant=$2 answer: $("$peer" call "$_f" POST /ask/1 8000 "a prompt" \
		"Host: h.example" "Authorization: Token k-$2" "X-Attempt-Id: q$n" "X-Model: m" \
		"X-Token-Count: 1460,80" "X-Prompt-Prefix: 5c1e07$3:800,91bd3f$3:410,e440$n:250" \
		"X-Deadline-Ms: 8000" | tr '\n' ' ' | cut -c1-60)"
}

for prompt in 1 2 3 4 5; do ask a weavers $prompt; done
if [ "$TROUBLE" != 0 ]; then
	config 5 true
	note "version 5 acknowledged: weavers is isolated"
fi
# ConfigApplyMs is 2 s, and SkewMaxMs, which does not apply here, 5 s.
sleep 8
changed=$n
for prompt in 1 2 3 4 5; do
	ask b dyers $prompt
	ask a dyers $prompt
	ask b weavers $prompt
done

grep '^run' "$tmp/e1.out" >>"$record"
runs=$(grep -c '^run' "$tmp/e1.out")
[ "$runs" = 20 ] || cannot_run "$runs runs in place of 20"
shared=$(sed -n "$((changed + 1)),\$p" <(grep '^run' "$tmp/e1.out") |
	grep -c -e 'tenant=weavers .*made_by=dyers' -e 'tenant=dyers .*made_by=weavers')
# While neither tenant is isolated, they may share.
broken=$shared
[ "$TROUBLE" != 0 ] || broken=0
note "runs=$runs after_the_change=$((runs - changed)) of_these_with_memory_of_the_other_tenant=$shared broken=$broken"
echo "runs=$runs after_the_change=$((runs - changed)) of_these_with_memory_of_the_other_tenant=$shared broken=$broken"
[ "$broken" = 0 ]
