# Guards against a broken stream that a caller without chunked replies takes
# for a complete one.
. ./lib.sh || exit 1
. ./site.sh

start_fake rows rows
row op config "$(site_conf 3 '"k1"')"
server e llm m 1
entry a
wait_for is_ready a

# stream NAME BREAKS [curl options]: four events; breaks after two of them.
stream() {
	_name=$1
	control e "{\"events\":4,\"break_after\":$2}"
	shift 2
	id=$_name ask a /tell/r -d p "$@" >"$tmp/status"
	_code=$?
	echo "$_name: curl exit code $_code, status $(cat "$tmp/status"), events: $(grep -c '^data' "$tmp/body"), reply: $(sed -n "s/.*event=finish req=$_name .*reply=\([^ ]*\).*/\1/p" "$tmp/a.log")"
}

stream usual 1
stream close 1 -H 'Connection: close'
stream http10 1 -0
stream http10-keep 1 -0 -H 'Connection: keep-alive'
stream http10-whole 0 -0

echo "== the product's own interface"
usual_base m1
start_vm b
control m1 '{"break_after":3,"breaks":1}'
post b ws /v1/completions "$(prompt tale 8 true)" -0 >/dev/null
echo "curl exit code $?, tokens: $(events), $(finished)"
