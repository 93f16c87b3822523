# Guards against a VM that holds the lease for orders while it reaches no
# endpoint, so that no VM orders new weights.
. ./lib.sh || exit 1
. ./site.sh
version_ms=30000 lease_ms=500

# took VM N: it took the lease N times.
took() { [ "$(grep -c 'event=lease.*outcome=taken' "$tmp/$1.log")" -ge "$2" ]; }
# loads VERSION HOLDER: each endpoint took an order for it from this VM.
loads() { for _s in e f; do grep -q "event=order .*holder=$2.*version=$1.*status=202" "$tmp/$_s.err" || return 1; done; }
isolated() {
	id=isolated out=/dev/null ask a /tell/isolated -d x --max-time 2
	has_line "$tmp/a.log" 'event=reach service=llm outcome=isolated'
}

start_fake rows rows
row op config "$(site_conf 3 '"k1"')"
for s in e f; do
	server $s llm m 1
	control $s '{"events":2}'
done
view a
port_rows=$view_a entry a
wait_for is_ready a
for s in e f; do wait_for has_line "$tmp/a.log" "endpoint=i-$s outcome=ready"; done

echo "== a lone VM takes the lease though it is cut off from the endpoints"
cut_links a 1
wait_for isolated
row op version/m '{"Model":"m","Version":2}'
wait_for took a 1

echo "== another VM starts"
entry b
wait_for loads 2 b
echo "it has given the orders"
grep -c 'event=lease.*outcome=released reason=endpoints_unreached' "$tmp/a.log"

echo "== the first one takes no lease while it is cut off"
row op version/m '{"Model":"m","Version":3}'
wait_for loads 3 b
grep -c 'event=lease.*outcome=taken' "$tmp/a.log"

echo "== its links are up, and it is left alone"
cut_links a 0
wait_for has_line "$tmp/a.log" 'event=reach service=llm outcome=reached'
die b
row op version/m '{"Model":"m","Version":4}'
wait_for loads 4 a
echo "it has given the orders"
