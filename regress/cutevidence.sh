# Guards against a VM that loses its links to the endpoints and takes those that
# refuse it for crashed ones, which the requests there then are blamed for.
. ./lib.sh || exit 1
. ./site.sh

# running N PATTERN: the endpoints run N requests that match.
running() { [ "$(runs "$2")" -ge "$1" ]; }
# probed ENDPOINT: the probes of it showed something, or were given up.
probed() {
	grep -q "event=endpoint_broke endpoint=i-$1 outcome=\(crashed\|alive\)" "$tmp/a.log" ||
		[ "$(grep -c "event=endpoint_broke endpoint=i-$1 " "$tmp/a.log")" = 4 ]
}

start_fake rows rows
row op config "$(site_conf 3 '"k1"')"
for s in p q r s; do
	server $s app
	control $s '{"delay_ms":60000}'
done
view a
port_rows=$view_a entry a
entry b
for v in a b; do wait_for is_ready $v; done

echo "== links are reset and refuse while requests run"
for i in $(seq 12); do
	out=/dev/null id=cut-$i ask a "/once/cut-$i" -d "body $i" -H 'X-Deadline-Ms: 9000' >/dev/null &
done
wait_for running 12 'Attempt-Id=cut-'
broken=
for s in p q r s; do grep -q "Attempt-Id=cut-" "$tmp/$s.err" && broken="$broken $s"; done
[ "$(wc -w <<<"$broken")" -ge 2 ] || fail "all requests at $broken"
cut_links a 1
for s in $broken; do wait_for probed "$s"; done
echo "crashed: $(grep -c 'event=endpoint_broke .*outcome=crashed' "$tmp/a.log")"
echo "evidence: $(cat "$tmp"/[ab].log | grep 'event=evidence' | grep -c 'outcome=\(written\|taken\)')"

echo "== an endpoint crashes under a request of a VM with links"
cut_links a 0
server t app
control t '{"crash_on":"boom"}'
for s in p q r s; do drop_row servers i-$s; done
for s in p q r s; do wait_for has_line "$tmp/b.log" "endpoint=i-$s outcome=removed"; done
server u app
for s in t u; do wait_for has_line "$tmp/b.log" "endpoint=i-$s outcome=ready"; done
control u '{"crash_on":"boom"}'
id=boom ask b /once/boom -d boom
wait_for has_line "$tmp/b.log" 'event=endpoint_broke endpoint=i-[tu] outcome=crashed'
wait_for has_line "$tmp/a.log" 'event=evidence .*outcome=taken'
echo "evidence of it reaches the other VM"
