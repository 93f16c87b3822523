#!/bin/bash
# REFUSED: a server fails requests that it has run with status 503, and does
# not say X-Not-Executed.
. "$(dirname "$0")/../lib-2.sh" || exit 2
status=${STATUS:-503}

start_store
# Four servers; the first one fails part of its requests.
for s in 1 2 3 4; do
	percent=0
	[ "$TROUBLE" != 0 ] && [ $s = 1 ] && percent=40
	"$peer" app "i-p$s" $percent "$status" >"$tmp/p$s.out" 2>&1 &
	wait_for has_line "$tmp/p$s.out" '^port='
	row servers "i-p$s" "{\"Service\":\"app\",\"Address\":\"127.0.0.1:$(sed -n 's/^port=//p' "$tmp/p$s.out")\",\"Zone\":\"z1\",\"Version\":\"v1\",\"Slots\":6,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Seq\":1}"
done
row op config '{"Version":3,"Routes":[
{"Name":"assign","Host":"h.example","Prefix":"/assign/","Kind":"non_idempotent","TimeoutMs":3000,"TargetLatencyMs":300,"Priority":2,"Service":"app","MaxAttempts":1}],
"Services":[{"Name":"app","HealthPath":"/health","MaxConnections":110}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"weavers","ApiKeys":["k-weavers"]}]}'
vm a z1
vm b z1
wait_for is_ready a
wait_for is_ready b

# attempt ID VM ORDER: one client attempt.
attempt() {
	eval "_f=\$front_$2"
	"$peer" call "$_f" POST /assign/1 3000 "truck-$3" "Host: h.example" \
		"Authorization: Token k-weavers" "X-Attempt-Id: $1" "X-Deadline-Ms: 3000"
}
# A client retries a non_idempotent request once, after a promise that it has
# not run and never will be: 408, 421, 429, 503.
for order in $(seq 60); do
	v=a w=b
	[ $((order % 2)) = 0 ] && v=b w=a
	answer=$(attempt "q$order" $v $order)
	note "sent id=q$order vm=$v order=truck-$order answer: $answer"
	case $answer in
	408* | 421* | 429* | 503*)
		answer=$(attempt "q$order-2" $w $order)
		note "sent id=q$order-2 vm=$w order=truck-$order answer: $answer"
		;;
	esac
done

cat "$tmp"/p?.out | grep '^run' >>"$record"
cat "$tmp"/p?.out | grep '^run' >"$tmp/runs"
broken=0
for id in $(sed -n 's/.*sent id=\([^ ]*\) .*answer: \(408\|421\|429\|503\) .*/\1/p' "$record"); do
	if grep -q "^run id=$id " "$tmp/runs"; then broken=$((broken + 1)); fi
done
twice=$(sed 's/.* body=\([^ ]*\) .*/\1/' "$tmp/runs" | sort | uniq -d | wc -l)
runs=$(wc -l <"$tmp/runs")
[ "$runs" -ge 60 ] || cannot_run "$runs runs"
note "runs=$runs answered_as_not_run_but_ran=$broken orders_run_twice=$twice"
echo "runs=$runs answered_as_not_run_but_ran=$broken orders_run_twice=$twice"
[ $broken = 0 ]
