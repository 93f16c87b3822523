#!/bin/bash
# The keys of the only tenant are taken away one after the other.  Do requests
# with them still run later than RevokeMs after that, and do requests run whose
# key no configuration ever held?
# TROUBLE=0: the same requests, and no key is taken away.
set -u
case=$(cd "$(dirname "$0")" && pwd)
. "$case/../lib.sh"

trouble=${TROUBLE:-1}
revoke_ms=5000 # RevokeMs
length_s=16

# send_conf VERSION KEYS: records when it was sent and acknowledged.
send_conf() {
	local sent
	sent=$(now_ms)
	row op config '{"Version":'"$1"',"Routes":[
{"Name":"r-once","Host":"h.example","Prefix":"/once/","Kind":"non_idempotent","TimeoutMs":3000,"TargetLatencyMs":300,"Priority":2,"Service":"app","MaxAttempts":2,"Anonymous":false}],
"Services":[{"Name":"app","HealthPath":"/health","MaxConnections":110}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"bozi300","ApiKeys":['"$2"'],"Priority":1}]}'
	echo "conf version=$1 sent_ms=$sent acked_ms=$(now_ms) keys=$2" >>"$record"
}

start_fake rows rows
send_conf 3 '"jnbanfqasnmgkcuyj8pj","bvk9m68k7b2ex5wa5xwy"'
for s in p q; do server "$s" app; done
for v in a b; do vm "$v"; done

loads=()
for v in a b; do
	front=front_$v
	for key in first:jnbanfqasnmgkcuyj8pj second:bvk9m68k7b2ex5wa5xwy unknown:2b7xq0c9d4m6r8t1w3ys; do
		"$client" load "${!front}" "$v-${key%:*}" 10 $length_s /once/ \
			'X-Attempt-Id: @' 'X-Deadline-Ms: 6000' \
			"Authorization: Token ${key#*:}" >"$tmp/load.$v.${key%:*}" &
		loads+=($!)
		started+=($!)
	done
done

if [ "$trouble" != 0 ]; then
	sleep 3
	send_conf 4 '"bvk9m68k7b2ex5wa5xwy"'
	sleep 1.5
	send_conf 6 ''
fi
wait "${loads[@]}"

cat "$tmp"/load.* >>"$record"
cat "$tmp"/[pq].err | sed -n 's/.*event=ran .*X-Attempt-Id=\([^ ]*\)\(.*\)/ran id=\1\2/p' >>"$record"

verdict=$(awk -v revoke="$revoke_ms" '
function field(name, i, p) {
	for (i = 1; i <= NF; i++) {
		p = index($i, "=")
		if (substr($i, 1, p - 1) == name)
			return substr($i, p + 1)
	}
}
/^conf/ && field("version") == "4" { taken["first"] = field("acked_ms") + 0 }
/^conf/ && field("version") == "6" { taken["second"] = field("acked_ms") + 0 }
/^id=/ {
	sent[field("id")] = field("sent_ms") + 0
	status[field("status")]++
}
/^ran/ { ran[field("id")] = 1 }
END {
	for (id in sent) {
		split(id, part, "-")
		key = part[2]
		total++
		if (!(id in ran))
			continue
		runs++
		if (key == "unknown")
			unknown++
		else if (key in taken && sent[id] > taken[key] + revoke)
			late[key]++
	}
	printf "requests=%d run=%d", total, runs
	for (s in status)
		printf " status_%s=%d", s, status[s]
	printf "\nrun later than RevokeMs after their key was taken away: first=%d second=%d\n", late["first"], late["second"]
	printf "run with a key that no configuration held: %d\n", unknown
	printf "broken=%d\n", late["first"] + late["second"] + unknown
}' "$record")
note "$verdict"
case $verdict in
*" run=0 "*) cannot_run "no request ran" ;;
*broken=0) note "CONFIG held" && exit 0 ;;
esac
note "CONFIG was broken"
exit 1
