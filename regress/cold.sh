# Guards against more requests than a cold endpoint can take, from VMs that do
# not coordinate before they send.
. ./lib.sh || exit 1
. ./site.sh

cold_conf() { site_conf "$1" '"k1"' | sed 's/"Name":"app",/&"ColdStartS":20,"ColdPerS":4.0,/'; }
# app NAME COLD_MS: lists an endpoint of the service app that is cold for COLD_MS.
app() {
	eval "_port=\$port_$1"
	row servers "i-$1" "{\"Service\":\"app\",\"Address\":\"127.0.0.1:$_port\",\"Zone\":\"d1\",\"Slots\":8,\"State\":\"ready\",\"ColdRemainingMs\":$2}"
}
ran() { grep -c 'event=ran' "$tmp/$1.err"; }
# burst VM: sends sixty requests, one after the other.
burst() { for _i in $(seq 60); do out=$tmp/out.$1 ask "$1" /safe/x >/dev/null; done; }

start_fake rows rows
row op config "$(cold_conf 3)"
for s in p q; do
	start_fake $s server
	control $s "{\"id\":\"i-$s\"}"
done
app p 0
entry a
entry b
wait_for is_ready a
wait_for is_ready b
for v in a b; do wait_for has_line "$tmp/$v.log" 'event=vms_listed vms=2 .*self=yes'; done
app q 60000
for v in a b; do wait_for has_line "$tmp/$v.log" 'event=endpoint_cold endpoint=i-q'; done

echo "== two VMs send at once"
begun=$(date +%s%N)
burst a & one=$!
burst b & two=$!
wait $one $two
took_ms=$((($(date +%s%N) - begun) / 1000000))
# Four a second, and as many again for bursts at the beginning and the end.
[ "$(ran q)" -le $((4 * (took_ms + 1000) / 1000)) ] && echo "within the rate" || echo "$(ran q) in $took_ms ms"
[ "$(ran q)" -gt 0 ] && echo "it gets requests"

echo "== only the cold endpoint is left"
drop_row servers i-p
wait_for has_line "$tmp/a.log" 'endpoint=i-p outcome=removed'
burst a
refused=$(grep -c 'outcome=not-run reason=endpoints_cold' "$tmp/a.log")
[ "$refused" -gt 30 ] && echo "refused at once, not run" || echo "$refused refused"
