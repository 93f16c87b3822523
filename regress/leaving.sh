# Guards against requests to an endpoint that said it is leaving, while the
# platform lists it as ready or cannot be asked.
. ./lib.sh || exit 1
. ./site.sh

ran() { grep -c 'event=ran' "$tmp/$1.err"; }
burst() { for _i in $(seq 30); do ask a /open/x >/dev/null; done; }
# left NAME: whether it gets anything more.
left() {
	_before=$(ran "$1")
	burst
	[ "$(ran "$1")" = "$_before" ] && echo "$1: left alone" || echo "$1: $(($(ran "$1") - _before)) more"
}

start_fake rows rows
row op config "$(site_conf 3 '"k1"')"
for s in p q r; do
	start_fake $s server
	control $s "{\"id\":\"i-$s\"}"
	list_server $s app
done
entry a
wait_for is_ready a

echo "== one leaves and is listed as ready"
burst
control q '{"leaving":1}'
burst
left q

echo "== its entry is written anew, as ready"
list_server q app '' '' ready
burst
left q

echo "== its entry is gone and comes back, as ready"
drop_row servers i-q
wait_for has_line "$tmp/a.log" 'endpoint=i-q outcome=removed'
list_server q app
wait_for eval '[ "$(grep -c "endpoint=i-q outcome=.*source=list" "$tmp/a.log")" -ge 2 ]'
left q

echo "== the platform is away and another one leaves"
control rows '{"silent":1}'
wait_for has_line "$tmp/a.log" 'source=endpoints outcome=lost'
control r '{"leaving":1}'
burst
left r
control rows '{"silent":0}'
wait_for has_line "$tmp/a.log" 'source=endpoints outcome=regained'
list_server r app
left r

echo "== all leave"
control p '{"leaving":1}'
burst
ask a /open/x
grep -i '^retry-after' "$tmp/head" | sed 's/:.*//'
tail -5 "$tmp/a.log" | grep -o 'outcome=not-run reason=[a-z_]*' | tail -1

echo "== one starts again, under its id"
control q '{"leaving":0,"born":1700000000000}'
list_server q app '' '' ready 1700000000000
wait_for eval '[ "$(ask a /open/x)" = 200 ]'
_before=$(ran q)
burst
[ "$(ran q)" -gt "$_before" ] && echo "q: used"
