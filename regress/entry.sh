# Relaying of requests between callers and endpoints in the platform's format:
# what each side receives normally, and at each kind of endpoint failure.
. ./lib.sh || exit 1
. ./site.sh
start_fake rows rows
row op config "$(site_conf 3 '"k1"')"
server p app
server q app
server e llm m 1
entry a
wait_for is_ready a

echo "== a call of each kind"
id=x1 ask a '/safe/x/../y%41?z=%2f' -X GET -H 'X-Tenant: other' -H 'X-Hold: h1' -H 'X-Kv-Fetch: 1.2.3.4:5' -H 'Connection: X-Mine' -H 'X-Mine: 1'
sed 's/i-[pq]/i-?/' "$tmp/body"
echo
header X-Server-Seal
header X-Attempt-Id
cat "$tmp"/[pq].err | sed -n 's/.*event=ran endpoint=[0-9]* //p'
id=x2 ask a /once/t -d 'truck 7' -H 'Content-Type: text/x'
cat "$tmp"/[pq].err | sed -n 's/.*event=ran endpoint=[0-9]* \(.*x2.*\)/\1/p'
control e '{"events":3}'
id=x3 ask a /tell/s -d p -H 'X-Model: m' -H 'X-Prompt-Prefix: aa:10,bb:5' -H 'Content-Type;'
cat "$tmp/body"
sed -n 's/.*event=ran endpoint=[0-9]* \(.*x3.*\)/\1/p' "$tmp/e.err"

echo "== a head of 15 KB, within the operator's limit"
id=x4 ask a /safe/long -H "X-Long: $(head -c 15000 /dev/zero | tr '\0' y)"

echo "== requests that are refused"
ask a /nowhere/
key=bad ask a /safe/
key=bad ask a /open/
ask a /safe/ -d "$(head -c 30000 /dev/zero | tr '\0' x)"
ask a /safe/ -H 'Last-Event-Id: x'

echo "== ambiguous length headers and a request hidden behind them"
raw a 'POST /safe/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token k1\r\nX-Attempt-Id: s1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /safe/hidden HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token k1\r\nX-Attempt-Id: s2\r\n\r\n' | grep -a -e HTTP | tr -d '\r'
raw a 'POST /safe/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token k1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde' | grep -a -e HTTP | tr -d '\r'
raw a 'POST /safe/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token k1\r\nTransfer-Encoding: identity, chunked\r\n\r\n0\r\n\r\n' | grep -a -e HTTP | tr -d '\r'
echo "hidden ran $(runs hidden)"

echo "== malformed headers that an endpoint might read differently"
for h in 'X-Hold : h2' 'X-Hold\t: h2' 'X-A: v\rX-Hold: h2' 'X: v\r\n -Hold: h2'; do
	raw a "GET /safe/disguised HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token k1\r\nX-Attempt-Id: s3\r\n$h\r\n\r\n" | grep -a -e HTTP | tr -d '\r'
done
echo "disguised ran $(runs disguised)"

echo "== an idempotent call: connection dropped, reply to another request, reply without a seal"
control p '{"drop":1}'
id=d1 ask a /safe/drop
for f in other_id no_seal; do
	control p "{\"drop\":0,\"$f\":1}"
	id=d2 ask a /safe/$f
	if grep -q "ran /safe/$f" "$tmp/body"; then echo "its own answer"; else echo "no answer"; fi
	control p "{\"$f\":0}"
done

echo "== at most once: keep-alive connections closed, no reply, all endpoints refuse"
control p '{"close_after":1}'
control q '{"close_after":1}'
for i in 1 2 3 4; do id=k$i ask a /once/k$i -d x; done
for i in 1 2 3 4; do echo "k$i ran $(runs "Attempt-Id=k$i")"; done
control p '{"close_after":0,"drop":1}'
control q '{"close_after":0,"drop":1}'
id=o1 ask a /once/o1 -d x
echo "o1 ran $(runs 'Attempt-Id=o1')"
control p '{"drop":0,"refuse":9}'
control q '{"drop":0,"refuse":9}'
id=o2 ask a /once/o2 -d x
header Retry-After | sed 's/^[0-9.]*$/seconds/'
echo "o2 ran $(runs 'Attempt-Id=o2')"
control p '{"refuse":0}'
control q '{"refuse":0}'

echo "== a reply without a length; a reply followed by a second one"
control p '{"unframed":1}'
control q '{"unframed":1}'
ask a /safe/unframed
grep -o 'ran /safe/unframed' "$tmp/body"
control p '{"unframed":0,"extra":1}'
control q '{"unframed":0,"extra":1}'
for i in 1 2 3; do
	id=e$i ask a /safe/e$i
	grep -o "ran /safe/e$i" "$tmp/body"
done
control p '{"extra":0}'
control q '{"extra":0}'

echo "== a broken stream is resumed at another endpoint; if all break, the caller sees it"
server f llm m 1
wait_for has_line "$tmp/a.log" 'endpoint=i-f outcome=ready'
control e '{"events":6,"break_after":1}'
control f '{"events":6}'
for i in 1 2 3 4; do id=r$i ask a /tell/r -d p -H "X-Prompt-Prefix: a$i:10,bb:5"; done | sort | uniq -c
grep -c event=attempt_end "$tmp/a.log" | sed 's/^[0-9]*$/broken streams were logged/'
grep -c '^data' "$tmp/body"
grep '^id' "$tmp/body" | uniq -d | grep -c .
control e '{"break_after":9}'
control f '{"break_after":9}'
id=r9 ask a /tell/r -d p -H 'X-Prompt-Prefix: aa:10,bb:5' || echo "curl: not complete"
control e '{"break_after":0}'
control f '{"break_after":0}'

echo "== an endpoint that does not reply, and the timeout of the route"
control p '{"silent":1}'
control q '{"silent":1}'
ask a /safe/short/x
control p '{"silent":0}'
control q '{"silent":0}'

echo "== the caller disconnects"
control e '{"events":400,"event_ms":20}'
control f '{"events":400,"event_ms":20}'
id=g1 ask a /tell/g -d p -H 'X-Prompt-Prefix: aa:10,bb:5' --max-time 1 >/dev/null
cancelled() { cat "$tmp/e.err" "$tmp/f.err" | grep -q 'event=cancelled.*tell/g'; }
wait_for cancelled
echo "the run was cancelled"

echo "== another incarnation at the address refuses the request"
control p '{"id":"i-new"}'
control q '{"id":"i-new"}'
id=l1 ask a /once/l1 -d x
echo "l1 ran $(runs 'Attempt-Id=l1')"

echo "== planned stop: running requests complete"
control e '{"events":30,"event_ms":40}'
control f '{"events":30,"event_ms":40}'
(out=$tmp/lastbody id=t1 ask a /tell/t -d p >"$tmp/last") &
last=$!
begun() { [ "$(runs 'Attempt-Id=t1')" -gt 0 ]; }
wait_for begun
kill -TERM "$pid_a"
wait_for is_unready a
wait $last
cat "$tmp/last"
grep -c '^data' "$tmp/lastbody"
wait "$pid_a"
echo "exit $?"
