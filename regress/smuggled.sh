# The length of a body is written so that one reader may overlook it, and the
# body is the text of a request.  Guards against the body running as a request
# of its own.
. ./lib.sh || exit 1
. ./site.sh
start_fake rows rows
row op config "$(site_conf 3 '"k1"')"
server p app
entry a
wait_for is_ready a
inner='POST /once/inner HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: inner\r\nAuthorization: Token k1\r\nContent-Length: 0\r\n\r\n'
size=$(printf "$inner" | wc -c)
# outer HEADER: what is answered to a request with it.
outer() {
	raw a "POST /once/outer HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: outer\r\nAuthorization: Token k1\r\n$1\r\n\r\n$inner" |
		grep -a -o -e 'HTTP/1.1 [0-9]*' | tr '\n' ' '
}
for h in "Content-Length:\r\n $size" "Content-Length:\r\n\t$size" "Content-Length : $size" "Content-Length\t: $size" \
	"content-length: 0\r\n $size" " Content-Length: $size" \
	"Transfer-Encoding : chunked" "Transfer-Encoding:\r\n chunked" "Transfer-Encoding: chunked\r\n ,identity" \
	"X-A b: c\r\nContent-Length: $size" "X-\x01: c\r\nContent-Length: $size" \
	"X-A: b\rContent-Length: $size" "X-A: b\r Content-Length: $size" "X-A:\rContent-Length: $size" \
	"\rContent-Length: $size" "X-A: b\r\r\nContent-Length: $size" "X-A: b\x01Content-Length: $size"; do
	echo "$h: $(outer "$h")" | sed "s/$size/N/g"
done
echo "== request lines"
for l in "POST /once/outer\rX HTTP/1.1" "POST /once/outer\x01 HTTP/1.1" "POST /once/outer\tX HTTP/1.1" "PO\rST /once/outer HTTP/1.1"; do
	echo "$l: $(raw a "$l\r\nHost: h.example\r\nX-Attempt-Id: outer\r\nAuthorization: Token k1\r\nContent-Length: $size\r\n\r\n$inner" |
		grep -a -o -e 'HTTP/1.1 [0-9]*' | tr '\n' ' ')"
done
echo "== the product's own interface"
front_own=$vm_a
echo "$(raw own "GET /healthz HTTP/1.1\r\nHost: h\r\nX-A: b\rContent-Length: 40\r\n\r\nGET /healthz HTTP/1.1\r\nHost: h.example\r\n\r\n" |
	grep -a -o -e 'HTTP/1.1 [0-9]*' | tr '\n' ' ')"
echo "== plain"
echo "Content-Length: $(outer "Content-Length: $size")"
echo "outer ran $(runs 'target=/once/outer'), inner ran $(runs 'target=/once/inner')"
