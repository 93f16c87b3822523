# Guards against a stream without chunks that ends as complete since the process
# of its endpoint was killed, which closes its connections in order.
. ./lib.sh || exit 1
. ./site.sh

start_fake rows rows
conf=$(site_conf 3 '"k1"' | sed 's|{"Name":"short"|{"Name":"keep","Host":"h.example","Prefix":"/keep/","Kind":"streaming","TimeoutMs":8000,"Priority":1,"Service":"llm","MaxAttempts":2,"Sticky":true},&|')
row op config "$conf"
n=0
# stream NAME PATH: its endpoint dies after two events; another one is there.
stream() {
	n=$((n + 1))
	server "e$n" llm m 1
	control "e$n" '{"events":6,"event_ms":400,"unframed":1}'
	wait_for has_line "$tmp/a.log" "event=endpoint .*endpoint=i-e$n "
	: >"$tmp/$1.all"
	id=$1 out=$tmp/$1.all ask a "$2" -d x -N >"$tmp/status" &
	asked=$!
	wait_for has_line "$tmp/$1.all" '^id: 2'
	server "f$n" llm m 1
	control "f$n" '{"events":6,"event_ms":10,"unframed":1}'
	wait_for has_line "$tmp/a.log" "event=endpoint .*endpoint=i-f$n "
	[ "${3:-}" = alive ] || die "e$n"
	wait $asked
	code=$?
	case $(grep -c '^data' "$tmp/$1.all") in
	6) got=all ;;
	*) got=some ;;
	esac
	echo "$1: curl exit code $code, $got events, twice $(grep '^id' "$tmp/$1.all" | sort | uniq -d | grep -c .), reply: $(sed -n "s/.*event=finish req=$1 .*reply=\([^ ]*\).*/\1/p" "$tmp/a.log")"
	drop_row servers "i-e$n"
	drop_row servers "i-f$n"
	wait_for has_line "$tmp/a.log" "endpoint=i-e$n outcome=removed"
	wait_for has_line "$tmp/a.log" "endpoint=i-f$n outcome=removed"
}
port_rows=$port_rows entry a
wait_for is_ready a
stream resumable /tell/x
stream other /keep/x
stream alive /keep/x alive

echo "== a plain answer whose endpoint dies within it"
server p app
control p '{"unframed":1,"die_in_body":1}'
wait_for has_line "$tmp/a.log" 'event=endpoint .*endpoint=i-p '
echo "status $(id=plain ask a /once/x -d x), body: $(cat "$tmp/body")"
