# Guards against an endpoint's 408, 429 or 503 to a request that it ran, which
# the caller takes for "not run" and answers by sending the request again.
. ./lib.sh || exit 1
. ./site.sh
log_lines_s=0

# The retry budget decides how often a request runs that may run again.
count_runs() {
	_runs=$(runs "Attempt-Id=$1 ")
	case $2 in
	/safe/* | /tell/*) [ "$_runs" = 0 ] || _runs=some ;;
	esac
	echo "$_runs"
}

# try VM PATH [curl options]: what became of a request.
try() {
	_vm=$1 _path=$2
	n=$((n + 1))
	shift 2
	_got=$(id=r$n ask "$_vm" "$_path" -d x "$@")
	_seal=$(grep -c '^X-Server-Seal' "$tmp/head")
	echo "$_path: $_got, $([ "$_seal" = 0 ] && echo of the VM || echo of the endpoint), runs $(count_runs r$n "$_path"), $(
		sed -n "s/.*event=finish req=r$n .*\(outcome=[a-z-]*\) \(reason=[a-z_]*\).*/\1 \2/p" "$tmp/$_vm.log"
	)"
}
both() {
	control p "$1"
	control q "$1"
}

start_fake rows rows
row op config "$(site_conf 3 '"k1"' |
	sed 's/"Routes":\[/&{"Name":"tale","Host":"h.example","Prefix":"\/tale\/","Kind":"streaming","TimeoutMs":8000,"Priority":1,"Service":"app","MaxAttempts":2},/; s/"Service":"llm","MaxAttempts"/"Service":"app","MaxAttempts"/')"
server p app
server q app
for v in a b; do
	view $v
	eval "port_rows=\$view_$v entry $v"
done
all_known() { grep -q "event=vms_listed vms=2" "$tmp/$1.log"; }
for v in a b; do
	wait_for is_ready $v
	wait_for all_known $v
done

n=0
for status in 408 429 503 500; do
	echo "== $status after a run"
	both "{\"status\":$status}"
	for path in /once/1 /safe/1 /tell/1 /tale/1; do try a $path; done
done

echo "== a stream that breaks, and is resumed with such an answer"
for status in 408 429 503; do
	both "{\"status\":200,\"events\":6,\"break_after\":1,\"status_resumed\":$status}"
	try a /tell/2
done

echo "== refused before a run"
both '{"status":200,"events":0,"refuse":2}'
for path in /once/1 /tell/1; do
	both '{"refuse":2}'
	try a $path
done

echo "== forwarded by a VM without a path to the endpoints"
both '{"refuse":0}'
cut_links a 1
isolated() { id=poll ask a /once/1 -d x >/dev/null && has_line "$tmp/a.log" 'event=forward req=poll'; }
wait_for isolated
for status in 408 429 503; do
	both "{\"status\":$status}"
	for path in /once/1 /safe/1 /tell/1 /tale/1; do try a $path; done
done

echo "== the product's own interface"
plain_base 'attempts = 2'
start_vm c
for status in 408 421 429 503 500; do
	control p1 "{\"fail\":$status}"
	echo "$status after a run: $(call c "k$status" "w$status") $(outcome) $(code), runs $(stat p1 "w$status")"
	echo "again with its key: $(call c "k$status" "w$status") $(outcome) $(code), runs $(stat p1 "w$status")"
done
echo "== an attempt that fails, and one that is refused"
start_fake p2 plain
sed -i 's/^repeatable = no/repeatable = yes\nrefusal_status = 503/' "$tmp/base.ini"
cat >>"$tmp/base.ini" <<EOF

[endpoint p2]
service = trucks
domain = d1
address = 127.0.0.1:$port_p2
EOF
control p1 '{"fail":500}'
control p2 '{"refuse":503}'
start_vm d
refused_last() {
	_got="$(post d ws /v1/call/trucks/send mixed) $(outcome)"
	[ "${_got#500}" = "$_got" ] && [ "$(outcome)" != not-run ]
}
wait_for refused_last
echo "refused last: $_got"
