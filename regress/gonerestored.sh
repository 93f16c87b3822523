# Guards against requests to an endpoint that had left before the store came
# back from an older copy, in which it is still listed.
. ./lib.sh || exit 1
. ./site.sh

ran() { grep -c 'event=ran' "$tmp/$1.err"; }
burst() { for _i in $(seq 30); do ask a /open/x >/dev/null; done; }

start_fake rows rows
control rows '{"era":1}'
row op config "$(site_conf 3 '"k1"')"
for s in p q r; do server $s app; done
entry a
wait_for is_ready a

echo "== a copy is kept; q and r leave"
control rows '{"keep_copy":1}'
drop_row servers i-q
drop_row servers i-r
wait_for has_line "$tmp/a.log" 'endpoint=i-q outcome=removed'
wait_for has_line "$tmp/a.log" 'endpoint=i-r outcome=removed'
echo "== the store comes back from the copy"
control rows '{"older_copy":1}'
wait_for has_line "$tmp/a.log" 'event=store_era outcome=older_copy'
list_server p app
sleep 1.5
before=$(ran q)
burst
echo "q: $(($(ran q) - before)) more"
echo "== the history is lost as well"
control rows '{"compact":1}'
list_server p app
sleep 1.5
burst
echo "q: $(($(ran q) - before)) more"
echo "== r writes its entry"
list_server r app
sleep 1.5
before=$(ran r)
burst
[ "$(ran r)" -gt "$before" ] && echo "r: gets requests"
