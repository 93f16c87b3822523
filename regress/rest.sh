# Guards against requests to an endpoint that turned one away and asked for
# rest.
. ./lib.sh || exit 1
. ./site.sh

refused() { grep -c 'event=refused' "$tmp/$1.err"; }
reached() { cat "$tmp/$1.err" | grep -c -e 'event=refused' -e 'event=ran'; }
# spent NAME SECONDS: requests reach NAME during SECONDS in which it rests; two
# are allowed.
spent() {
	_n=$(reached "$1")
	_end=$(($(date +%s%N) + $2 * 1000000000))
	_bad=0
	while [ "$(date +%s%N)" -lt $_end ]; do
		[ "$(ask a "${3:-/open/x}")" = "${4:-200}" ] || _bad=$((_bad + 1))
	done
	[ $(($(reached "$1") - _n)) -le 2 ] && echo "$1: left alone" || echo "$1: $(($(reached "$1") - _n))"
	[ $_bad = 0 ] && echo "all answered ${4:-200}" || echo "$_bad were not"
}

start_fake rows rows
row op config "$(site_conf 3 '"k1"')"
for s in p q; do
	start_fake $s server
	control $s "{\"id\":\"i-$s\"}"
	list_server $s app
done
entry a
wait_for is_ready a

echo "== one asks for a minute"
control q '{"refuse":100000,"rest":"60"}'
wait_for eval 'ask a /safe/x; [ "$(refused q)" -ge 1 ]'
spent q 2

echo "== its entry is gone for a moment"
drop_row servers i-q
wait_for has_line "$tmp/a.log" 'endpoint=i-q outcome=removed'
list_server q app
wait_for eval '[ "$(grep -c "endpoint=i-q outcome=ready.*source=list" "$tmp/a.log")" -ge 2 ]'
spent q 2

echo "== all ask for rest"
control p '{"refuse":100000,"rest":"6"}'
wait_for eval 'ask a /safe/x; [ "$(refused p)" -ge 1 ]'
ask a /once/x -d order
_again=$(sed -n 's/^Retry-After: \([0-9]*\).*/\1/pi' "$tmp/head")
[ "${_again:-0}" -ge 1 ] && [ "$_again" -le 8 ] && echo "come back when one has rested" || echo "again: $_again"
tail -5 "$tmp/a.log" | grep -o 'outcome=not-run reason=[a-z_]*' | tail -1
spent p 2 /once/x 503

echo "== it has rested"
control p '{"refuse":0}'
control q '{"refuse":0}'
wait_for eval '[ "$(ask a /open/x)" = 200 ]'
echo "answered"

echo "== its entry says later that it has started again"
start_fake r server
control r '{"id":"i-r","refuse":100000,"rest":"60"}'
list_server r app '' '' ready 1700000000000
wait_for eval 'ask a /safe/x; [ "$(refused r)" -ge 1 ]'
list_server r app '' '' ready 1700000001000
wait_for has_line "$tmp/a.log" 'endpoint=i-r outcome=started_again_ready'
spent r 2
