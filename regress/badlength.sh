# Guards against a second answer to a request whose Content-Length is no number,
# and against its body running as a request.
. ./lib.sh || exit 1
. ./site.sh
start_fake rows rows
row op config "$(site_conf 3 '"k1"')"
server p app
entry a
wait_for is_ready a
inner='POST /once/inner HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: inner\r\nAuthorization: Token k1\r\nContent-Length: 0\r\n\r\n'
size=$(printf "$inner" | wc -c)
for length in "+$size" "$size, $size"; do
	raw a "POST /once/outer HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: outer\r\nAuthorization: Token k1\r\nContent-Length: $length\r\n\r\n$inner" |
		grep -a -c '^HTTP/1.1 400'
done
echo "inner ran $(runs 'target=/once/inner')"
