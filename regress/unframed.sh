# Guards against answers that end with their connection and are taken for
# broken, and against streams that end so inside an event and are taken for
# complete.
. ./lib.sh || exit 1
. ./site.sh

start_fake rows rows
conf=$(site_conf 3 '"k1"')
row op config "${conf/\"Sticky\":true,\"Resumable\":true/\"Sticky\":true}"
server p app
server e llm m 1
control p '{"unframed":1}'
control e '{"events":4,"unframed":1}'
port_rows=$port_rows entry a
wait_for is_ready a

echo "== a whole answer"
id=whole ask a /safe/x -d x
cat "$tmp/body"
echo
echo "== a stream that ends between two events"
id=stream ask a /tell/x -d x
echo "curl: $?, events: $(grep -c '^data' "$tmp/body")"
echo "== a stream that ends inside an event"
control e '{"events":4,"unframed":1,"break_after":1}'
id=broken ask a /tell/x -d x
echo "curl: $?, events: $(grep -c '^data' "$tmp/body")"
wait_for has_line "$tmp/a.log" 'event=finish req=broken '
sed -n 's/.*event=finish req=\(whole\|stream\|broken\) .*\(reply=[a-z_]*\) .*/\1 \2/p' "$tmp/a.log"

echo "== on HTTP/1.0 the connection ends as well"
id=old ask a /tell/x -d x --http1.0
echo "curl: $?, events: $(grep -c '^data' "$tmp/body")"

echo "== a stream that may be resumed goes on"
row op config "${conf/\"Version\":3/\"Version\":4}"
wait_for has_line "$tmp/a.log" 'event=conf .*conf=4'
server f llm m 1
control f '{"events":4,"unframed":1}'
wait_for has_line "$tmp/a.log" 'event=endpoint .*endpoint=i-f '
control e '{"events":4,"unframed":1,"break_after":99}'
whole=0
for i in $(seq 8); do
	id=resumed-$i ask a /tell/x-$i -d x >/dev/null || continue
	[ "$(grep '^data' "$tmp/body" | sort -u | grep -c .)" != 4 ] || whole=$((whole + 1))
done
echo "$whole of 8 with all events"
grep -q 'req=resumed-.*next=resume' "$tmp/a.log" && echo "some were resumed"
