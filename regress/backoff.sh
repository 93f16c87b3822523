# Guards against requests to an endpoint that refused one and requested a
# backoff.
. ./lib.sh || exit 1
. ./site.sh

refused() { grep -c 'event=refused' "$tmp/$1.err"; }
reached() { cat "$tmp/$1.err" | grep -c -e 'event=refused' -e 'event=ran'; }
# check_backoff NAME SECONDS [PATH STATUS]: checks that at most two requests
# reach NAME during SECONDS of its backoff, and that all are answered STATUS.
check_backoff() {
	_n=$(reached "$1")
	_end=$(($(date +%s%N) + $2 * 1000000000))
	_bad=0
	while [ "$(date +%s%N)" -lt $_end ]; do
		[ "$(ask a "${3:-/open/x}")" = "${4:-200}" ] || _bad=$((_bad + 1))
	done
	[ $(($(reached "$1") - _n)) -le 2 ] && echo "$1: at most two more requests" || echo "$1: $(($(reached "$1") - _n))"
	[ $_bad = 0 ] && echo "all answered ${4:-200}" || echo "$_bad were answered otherwise"
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

echo "== one requests a backoff of a minute"
control q '{"refuse":100000,"rest":"60"}'
wait_for eval 'ask a /safe/x; [ "$(refused q)" -ge 1 ]'
check_backoff q 2

echo "== its entry is missing briefly"
drop_row servers i-q
wait_for has_line "$tmp/a.log" 'endpoint=i-q outcome=removed'
list_server q app
wait_for eval '[ "$(grep -c "endpoint=i-q outcome=ready.*source=list" "$tmp/a.log")" -ge 2 ]'
check_backoff q 2

echo "== all request a backoff"
control p '{"refuse":100000,"rest":"6"}'
wait_for eval 'ask a /safe/x; [ "$(refused p)" -ge 1 ]'
ask a /once/x -d order
_again=$(sed -n 's/^Retry-After: \([0-9]*\).*/\1/pi' "$tmp/head")
[ "${_again:-0}" -ge 1 ] && [ "$_again" -le 8 ] && echo "Retry-After is when the first backoff ends" || echo "Retry-After: $_again"
tail -5 "$tmp/a.log" | grep -o 'outcome=not-run reason=[a-z_]*' | tail -1
check_backoff p 2 /once/x 503

echo "== the backoff has ended"
control p '{"refuse":0}'
control q '{"refuse":0}'
wait_for eval '[ "$(ask a /open/x)" = 200 ]'
echo "answered"

echo "== its entry shows its restart later"
start_fake r server
control r '{"id":"i-r","refuse":100000,"rest":"60"}'
list_server r app '' '' ready 1700000000000
wait_for eval 'ask a /safe/x; [ "$(refused r)" -ge 1 ]'
list_server r app '' '' ready 1700000001000
wait_for has_line "$tmp/a.log" 'endpoint=i-r outcome=started_again_ready'
check_backoff r 2
