# Guards against a request that runs and gets no answer, since the head of the
# answer does not fit the connection's memory beside the head of the request.
. ./lib.sh || exit 1
. ./site.sh
log_lines_s=0

# head_of BYTES LINES: header lines for curl, in $tmp/lines.
head_of() {
	awk -v bytes="$1" -v lines="$2" 'BEGIN {
		for (i = 0; i < lines; i++)
			printf "N%03d: %0*d\n", i, bytes / lines - 8, 0 }' >"$tmp/lines"
}

n=0
# try VM PATH [curl options]: sets got to the status, and what is wrong.
try() {
	_vm=$1 _path=$2
	shift 2
	n=$((n + 1))
	: >"$tmp/body"
	got=$(id=r$n ask "$_vm" "$_path" -d "w$n" -H "@$tmp/lines" "$@")
	_code=$?
	[ "$got" != 000 ] || got=none
	[ $_code = 0 ] || got="$got, cut"
	case $_path in
	/tell/*) _events=$(grep -c '^data' "$tmp/body") && [ "$_events" = 6 ] || got="$got, events: $_events" ;;
	*) grep -q "ran $_path w$n\$" "$tmp/body" || got="$got, not the body" ;;
	esac
	_runs=$(runs "Attempt-Id=r$n ")
	[ "$_runs" = 1 ] || got="$got, runs: $_runs"
}
both() {
	control p "$1"
	control q "$1"
}

start_fake rows rows
row op config "$(site_conf 3 '"k1"' | sed 's/"Service":"llm","MaxAttempts":2/"Service":"app","MaxAttempts":1/')"
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

# matrix NAME PATH [curl options]: heads of requests and of answers.
matrix() {
	_name=$1 _target=$2
	shift 2
	for _head in 200 8000 15000; do
		head_of $_head 20
		for _answer in 0 3000 6000 12000 24000 60000; do
			both "{\"head_bytes\":$_answer}"
			try a "$_target" "$@"
			echo "$got"
		done
	done | sort | uniq -c | sed "s|^ *|$_name: |"
	# Counted in the pipeline's own shell.
	n=$((n + 18))
}
both '{"events":0}'
matrix once /once/1
matrix safe /safe/1
matrix HTTP/1.0 /once/1 --http1.0
both '{"events":6}'
matrix stream /tell/1
matrix 'stream by HTTP/1.0' /tell/1 --http1.0

echo "== a head that is too long to be taken from the endpoint"
both '{"events":0,"head_bytes":70000}'
head_of 200 1
try a /once/1
echo "$got"

echo "== a stream that breaks"
both '{"events":6,"head_bytes":12000,"break_after":1}'
head_of 15000 20
for o in --http1.1 --http1.0; do
	both '{"break_after":1}'
	try a /tell/1 $o
	echo "$got"
done

echo "== lines, cookies and trailers of the request"
both '{"events":0,"head_bytes":3000,"break_after":0}'
for lines in 5 26 60 100; do
	head_of 12000 $lines
	try a /once/1
	echo "$lines lines: $got"
done
printf 'Cookie: a=%08000d\n' 0 >"$tmp/lines"
try a /once/1
echo "cookie: $got"
# with_trailers BYTES: a request whose body has a trailer.
with_trailers() {
	raw a "POST /once/t$1 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token k1\r\nX-Attempt-Id: t$1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Late: $(printf "%0$1d" 0)\r\n\r\n" | head -c 12
	echo ", runs $(runs "Attempt-Id=t$1 ")"
}
both '{"head_bytes":7000}'
for size in 100 4000 10000; do echo "trailer of $size: $(with_trailers $size)"; done

echo "== a second request behind the first one"
pipelined() {
	_both=
	for _id in first second; do
		_both="${_both}POST /once/$_id HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token k1\r\nX-Attempt-Id: $_id$1\r\nX-Pad: $(printf "%0$1d" 0)\r\nContent-Length: 1\r\n\r\nx"
	done
	raw a "$_both" >"$tmp/answers"
	_answers=$(grep -ao 'HTTP/1.1 200' "$tmp/answers" | wc -l)
	_runs=$(runs "Attempt-Id=\(first\|second\)$1 ")
	echo "first answered: $(grep -ac 'ran /once/first x' "$tmp/answers"), ran and got no answer: $((_runs - _answers))"
}
for answer in 3000 9000 12000; do
	both "{\"head_bytes\":$answer}"
	pipelined $((answer + 1000))
done

echo "== a caller that does not close its connection, and a VM that stops"
view c
port_rows=$view_c entry c
wait_for is_ready c
both '{"head_bytes":12000}'
exec 8<>"/dev/tcp/${front_c%:*}/${front_c#*:}"
printf 'GET /safe/late HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token k1\r\nX-Attempt-Id: late\r\n\r\n' >&8
wait_for has_line "$tmp/c.log" 'event=long_reply'
kill -TERM "$pid_c"
wait "$pid_c"
echo "exit $?, the answer: $(timeout 5 cat <&8 | grep -c 'ran /safe/late')"
exec 8>&-

echo "== forwarded"
cut_links a 1
isolated() { id=poll ask a /once/1 -d x >/dev/null && has_line "$tmp/a.log" 'event=forward req=poll'; }
wait_for isolated
both '{"events":0}'
matrix once /once/1
both '{"events":6}'
matrix stream /tell/1

echo "== the port of the load balancer"
for size in 200 600 800 900 1000 1100 1200 1300 1400; do
	head_of $size 1
	curl -s --noproxy '*' -o /dev/null -w '%{http_code}\n' -H "@$tmp/lines" "http://$ready_b/ready"
done | grep -c 000

echo "== the product's own interface"
plain_base
start_vm d
lost=0 answered=0
for size in $(seq 10000 25 11100); do
	head_of "$size" 10
	got=$(call d "k$size" "w$size" -H "@$tmp/lines")
	[ "$(stat p1 "w$size")" = 0 ] || if [ "$got" = 200 ]; then answered=$((answered + 1)); else lost=$((lost + 1)); fi
done
echo "ran and got no answer: $lost, all ran: $([ $answered -gt 20 ] && echo yes || echo "$answered")"
usual_base m1
start_vm e
lost=0 whole=0
for size in $(seq 10000 100 11000); do
	head_of "$size" 10
	before=$(stat m1 requests)
	got=$(post e ws /v1/completions "$(prompt tale 8 true)" -H "@$tmp/lines")
	[ "$got" != 000 ] || lost=$((lost + 1))
	[ "$got" != 200 ] || [ "$(finished)" != finished ] || whole=$((whole + 1))
done
echo "streams without an answer: $lost, whole: $([ $whole -gt 5 ] && echo yes || echo "$whole")"
