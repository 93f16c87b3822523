# New weights are announced, and the lease's row exists but cannot be parsed.
# Guards against a VM that takes the row for absent: its writes on the
# condition that no row exists fail each time, and endpoints keep the old
# weights without an error.  Whoever was the holder may have given orders until
# a moment ago, so the first order must wait as after any other holder.
. ./lib.sh || exit 1
. ./site.sh
wait_bound=${WAIT_BOUND:-30}
start_fake rows rows
row op config "$(site_conf 3 '"k1"')"
server e llm m 1
entry a
wait_for is_ready a
taken() { [ "$(grep -c 'event=lease.*outcome=taken' "$tmp/a.log")" -ge "$1" ]; }
released() { [ "$(grep -c 'event=lease.*outcome=released' "$tmp/a.log")" -ge "$1" ]; }
# announce NUMBER ROW: writes a row that cannot be parsed, and announces new
# weights.
announce() {
	row camphorquay orders "$2"
	# By the store's clock; the VM reads the row later.
	now=$(curl -s --noproxy '*' "http://127.0.0.1:$port_rows/rows-get?Table=op&part=" | sed -n 's/.*"NowMs":\([0-9]*\).*/\1/p')
	row op version/m "{\"Model\":\"m\",\"Version\":$(($1 + 1))}"
	wait_for taken "$1"
	begin=$(field a lease begin_ms | tail -1)
	# The gap counts from the last moment at which another holder's order may be
	# sent.
	[ $((begin - now)) -ge 5400 ] && echo "the first order waits for the gap"
	wait_for released "$1"
	echo "ordered: $(grep -c "event=order .*version=$(($1 + 1))" "$tmp/e.err")"
}
echo "== a text that is no JSON"
announce 1 'nonsense'
echo "== a text without fields"
announce 2 '{}'
echo "== a text without the end of the window for orders"
announce 3 '{"holder":"x/1","expires_ms":1,"begin_ms":1,"released":true}'
