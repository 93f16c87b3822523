#!/bin/bash
# LOST: the heads of a request and of its answer are long, both within what
# the pages allow.
. "$(dirname "$0")/../lib-2.sh" || exit 2
# Bytes of a request's head (MaxHeaderBytes is 16,384) and of an answer's.
head=${HEAD:-16000}
answer_head=${ANSWER_HEAD:-3200}
[ "$TROUBLE" != 0 ] || head=2000

start_store
"$peer" app i-p1 0 200 "$answer_head" >"$tmp/p1.out" 2>&1 &
wait_for has_line "$tmp/p1.out" '^port='
row servers i-p1 "{\"Service\":\"app\",\"Address\":\"127.0.0.1:$(sed -n 's/^port=//p' "$tmp/p1.out")\",\"Zone\":\"z1\",\"Version\":\"v1\",\"Slots\":6,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Seq\":1}"
row op config '{"Version":3,"Routes":[
{"Name":"assign","Host":"h.example","Prefix":"/assign/","Kind":"non_idempotent","TimeoutMs":3000,"TargetLatencyMs":300,"Priority":2,"Service":"app","MaxAttempts":1}],
"Services":[{"Name":"app","HealthPath":"/health","MaxConnections":110}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"weavers","ApiKeys":["k-weavers"]}]}'
vm a z1
vm b z1
wait_for is_ready a
wait_for is_ready b

# Two requests on each connection; the second has the long head, in 20 lines.
for n in $(seq 8); do
	for v in a b; do
		eval "_f=\$front_$v"
		"$peer" kept "$_f" "$v$n" "$head" 20 | while read -r line; do note "vm=$v answered: $line"; done
	done
done

grep '^run' "$tmp/p1.out" >>"$record"
lost=0 worst=0
for v in a b; do
	of_vm=0
	for id in $(sed -n "s/.* vm=$v answered: \\([^ ]*\\) none.*/\\1/p" "$record"); do
		if grep -q "^run id=$id " "$tmp/p1.out"; then of_vm=$((of_vm + 1)); fi
	done
	lost=$((lost + of_vm))
	[ $of_vm -le $worst ] || worst=$of_vm
done
runs=$(grep -c '^run' "$tmp/p1.out")
[ "$runs" = 32 ] || cannot_run "$runs runs in place of 32"
note "head=$head answer_head=$answer_head runs=$runs ran_and_closed_without_an_answer=$lost most_at_one_vm=$worst"
echo "head=$head answer_head=$answer_head runs=$runs ran_and_closed_without_an_answer=$lost most_at_one_vm=$worst"
# The rule bears three.
[ $worst -le 3 ]
