# Guards against requests to an endpoint that left while a VM was cut off from
# the store, once that VM has reached the store again for three seconds.
. ./lib.sh || exit 1
. ./site.sh
vms='a b c d e f'
contact_ms=3000

now_ms() { echo $((${EPOCHREALTIME/./} / 1000)); }
ran() { grep -c 'event=ran' "$tmp/$1.err"; }
# keep_asking VM: requests without a pause until $tmp/done is there.
keep_asking() {
	while [ ! -e "$tmp/done" ]; do out=$tmp/out.$1 ask "$1" /open/x >>"$tmp/statuses.$1"; done
}
set_links() { for _v in $vms; do control rows "{\"lost_$_v\":$1}"; done; }

start_fake rows rows
row op config "$(site_conf 3 '"k1"')"
for s in p q r; do server $s app; done
for v in $vms; do
	view $v
	eval "port_rows=\$view_$v entry $v"
	wait_for is_ready $v
done
asking=
for v in $vms; do
	keep_asking $v &
	asking="$asking $!"
done

echo "== the VMs are cut off from the store; one endpoint leaves, the entry of another lapses"
set_links 1
sleep 8
drop_row servers i-r
drop_row servers i-q
sleep 0.3
echo "== the store is reached again"
set_links 0
healed=$(now_ms)
sleep 1.6
list_server r app
while [ $(($(now_ms) - healed)) -lt $contact_ms ]; do sleep 0.01; done
before=$(ran q)
sleep 3
echo "to the endpoint that left, after three seconds: $(($(ran q) - before))"
: >"$tmp/done"
# shellcheck disable=SC2086
wait $asking
for v in $vms; do
	echo "$v: removed$(sed -n 's/.*event=endpoint endpoint=i-\([pqr]\) outcome=removed.*/ \1/p' "$tmp/$v.log" | tr -d '\n'), other statuses: $(grep -vc 200 "$tmp/statuses.$v")"
done
