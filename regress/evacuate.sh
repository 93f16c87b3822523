# Guards against requests sent to a failure domain that the operator evacuates.
. ./lib.sh || exit 1
. ./site.sh

# app NAME DOMAIN: an endpoint of the service app, listed in DOMAIN.
app() {
	eval "_port=\$port_$1"
	row servers "i-$1" "{\"Service\":\"app\",\"Address\":\"127.0.0.1:$_port\",\"Zone\":\"$2\",\"Slots\":8,\"State\":\"ready\"}"
}
ran() { grep -c 'event=ran' "$tmp/$1.err"; }
# more NAME: sends sixteen requests and prints whether any reached NAME.
more() {
	_before=$(ran "$1")
	for _i in $(seq 16); do ask a /safe/x >/dev/null; done
	[ "$(ran "$1")" -gt "$_before" ] && echo "$1: reached" || echo "$1: not reached"
}
copies() { [ "$(grep -c "event=evacuation domain=d1 outcome=$1" "$tmp/a.log")" -ge "$2" ]; }

start_fake rows rows
control rows '{"era":1}'
row op config "$(site_conf 3 '"k1"')"
for s in p q; do
	start_fake $s server
	control $s "{\"id\":\"i-$s\"}"
done
# The VM is in d1, so it prefers p.
app p d1
app q d2
entry a
wait_for is_ready a
more p

echo "== d1 is evacuated, and then d2 as well"
row op evacuate/d1 '{}'
wait_for copies begun 1
more p
more q
row op evacuate/d2 '{}'
wait_for has_line "$tmp/a.log" 'event=evacuation domain=d2 outcome=begun'
ask a /once/x -d order
grep -i '^retry-after' "$tmp/head" | sed 's/:.*//'
tail -5 "$tmp/a.log" | grep -o 'outcome=not-run reason=[a-z_]*' | tail -1
drop_row op evacuate/d2
wait_for has_line "$tmp/a.log" 'event=evacuation domain=d2 outcome=ended'
more q

echo "== a VM that starts during the evacuation"
kill "$pid_a"
wait "$pid_a"
entry a
wait_for is_ready a
more p

echo "== the store is restored from a copy without the evacuation; the operator writes it again"
drop_row op evacuate/d1
wait_for copies ended 1
more p
control rows '{"keep_copy":1}'
row op evacuate/d1 '{}'
wait_for copies begun 2
control rows '{"older_copy":1}'
wait_for copies doubted 1
more p
row op evacuate/d1 '{}'
wait_for copies confirmed 1
sleep 3
more p

echo "== the evacuation ends"
drop_row op evacuate/d1
wait_for copies ended 2
more p
