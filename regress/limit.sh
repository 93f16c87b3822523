# Guards against more requests than an endpoint's limit allows, from VMs that
# have received it.
. ./lib.sh || exit 1
. ./site.sh
# All lines are matched below, also those of a busy second.
log_lines_s=0

# app NAME: lists an endpoint of the service app.
app() { list_server "$1" app; }
ran() { grep -c 'event=ran' "$tmp/$1.err"; }
# burst VM SECONDS: sends requests, one after the other.
burst() {
	_until=$(($(date +%s) + $2))
	while [ "$(date +%s)" -lt $_until ]; do out=$tmp/out.$1 ask "$1" /open/x >/dev/null; done
}
# both SECONDS: sends bursts from both VMs.
both() {
	burst a "$1" & _one=$!
	burst b "$1" & _two=$!
	wait $_one $_two
}
# check_limit NAME COUNT SECONDS: checks that it got at most 1.5 times its
# limit of three a second plus five since COUNT.
check_limit() {
	_n=$(($(ran "$1") - $2))
	[ $_n -le $((45 * ($3 + 1) / 10 + 5)) ] && echo "within the limit" || echo "$_n in $3 s"
}
limited() { has_line "$tmp/$1.log" "event=endpoint_limit endpoint=i-$2 outcome=$3"; }

start_fake rows rows
row op config "$(site_conf 3 '"k1"')"
for s in p q; do
	start_fake $s server
	control $s "{\"id\":\"i-$s\"}"
	app $s
done
entry a
entry b
wait_for is_ready a
wait_for is_ready b
for v in a b; do wait_for has_line "$tmp/$v.log" 'event=vms_listed vms=2 .*self=yes'; done

echo "== two VMs, one endpoint with a limit"
control q '{"id":"i-q","limit":"3"}'
both 2
limited a q named && limited b q named && echo "both VMs know the limit"
n=$(ran q)
both 6
check_limit q "$n" 6
[ "$(ran q)" -gt "$n" ] && echo "it gets requests"

echo "== the platform is unreachable"
control rows '{"silent":1}'
n=$(ran q)
both 6
check_limit q "$n" 6
control rows '{"silent":0}'
for v in a b; do wait_for has_line "$tmp/$v.log" 'event=platform source=endpoints outcome=regained'; done
# An entry that is missing sooner is not removed at once.
sleep 3

echo "== its entry is missing briefly"
drop_row servers i-q
wait_for has_line "$tmp/a.log" 'endpoint=i-q outcome=removed'
wait_for has_line "$tmp/b.log" 'endpoint=i-q outcome=removed'
app q
sleep 3
n=$(ran q)
both 6
check_limit q "$n" 6

echo "== all endpoints have a limit"
control p '{"id":"i-p","limit":"1"}'
both 2
ask a /once/x -d order >/dev/null
for _i in $(seq 40); do ask a /once/x -d order >/dev/null; done
refused=$(grep -c 'outcome=not-run reason=endpoints_limited' "$tmp/a.log")
[ "$refused" -gt 20 ] && echo "refused at once, not run" || echo "$refused refused"

echo "== the limit is cleared"
control q '{"limit":""}'
wait_for eval 'both 1; limited a q lifted && limited b q lifted'
n=$(ran q)
refused=$(cat "$tmp/a.log" "$tmp/b.log" | grep -c 'reason=endpoints_limited')
both 4
# More than check_limit allows in this time, however slow the callers are.
more=$(($(ran q) - n))
refused=$(($(cat "$tmp/a.log" "$tmp/b.log" | grep -c 'reason=endpoints_limited') - refused))
[ $more -gt $((45 * (4 + 1) / 10 + 5)) ] && [ $refused = 0 ] && echo "no longer limited" || echo "$more, refused $refused"
