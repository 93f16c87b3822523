# Guards against requests to an endpoint that reported it drains, while the
# platform lists it as ready or is unreachable.
. ./lib.sh || exit 1
. ./site.sh

ran() { grep -c 'event=ran' "$tmp/$1.err"; }
burst() { for _i in $(seq 30); do ask a /open/x >/dev/null; done; }
# check_drained NAME: checks that it gets no more requests.
check_drained() {
	_before=$(ran "$1")
	burst
	[ "$(ran "$1")" = "$_before" ] && echo "$1: no more requests" || echo "$1: $(($(ran "$1") - _before)) more"
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

echo "== one drains and is listed as ready"
burst
control q '{"leaving":1}'
burst
check_drained q

echo "== its entry is rewritten, as ready"
list_server q app '' '' ready
burst
check_drained q

echo "== its entry is removed and returns, as ready"
drop_row servers i-q
wait_for has_line "$tmp/a.log" 'endpoint=i-q outcome=removed'
list_server q app
wait_for eval '[ "$(grep -c "endpoint=i-q outcome=.*source=list" "$tmp/a.log")" -ge 2 ]'
check_drained q

echo "== the platform is unreachable and another one drains"
control rows '{"silent":1}'
wait_for has_line "$tmp/a.log" 'source=endpoints outcome=lost'
control r '{"leaving":1}'
burst
check_drained r
control rows '{"silent":0}'
wait_for has_line "$tmp/a.log" 'source=endpoints outcome=regained'
list_server r app
check_drained r

echo "== all drain"
control p '{"leaving":1}'
burst
ask a /open/x
grep -i '^retry-after' "$tmp/head" | sed 's/:.*//'
tail -5 "$tmp/a.log" | grep -o 'outcome=not-run reason=[a-z_]*' | tail -1

echo "== one restarts under its id"
control q '{"leaving":0,"born":1700000000000}'
list_server q app '' '' ready 1700000000000
wait_for eval '[ "$(ask a /open/x)" = 200 ]'
_before=$(ran q)
burst
[ "$(ran q)" -gt "$_before" ] && echo "q: gets requests"
