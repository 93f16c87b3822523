# Guards against requests to an endpoint whose entry says that it drains, with
# an earlier start time than before, or with none.
. ./lib.sh || exit 1
. ./site.sh

ran() { grep -c 'event=ran' "$tmp/$1.err"; }
burst() { for _i in $(seq 30); do ask a /open/x >/dev/null; done; }
# listed NAME STATE BORN: writes the entry and waits until the VM has read it.
listed() {
	_seen=$(grep -c "event=endpoint endpoint=i-$1 " "$tmp/a.log")
	list_server "$1" app '' '' "$2" "$3"
	wait_for eval "[ \$(grep -c 'event=endpoint endpoint=i-$1 ' $tmp/a.log) -gt $_seen ]"
}
gets() {
	_n=$(ran "$1")
	burst
	if [ "$(ran "$1")" = "$_n" ]; then echo "$1: none"; else echo "$1: gets requests"; fi
}

start_fake rows rows
row op config "$(site_conf 3 '"k1"')"
for s in p q r; do
	start_fake $s server
	control $s "{\"id\":\"i-$s\"}"
	list_server $s app '' '' ready 1700000002000
done
entry a
wait_for is_ready a

echo "== q starts again with its clock behind, and then drains"
listed q ready 1700000001000
gets q
listed q draining 1700000001000
gets q
echo "== the entry of r says that it drains, without a start time"
listed r draining ''
gets r
echo "== a delayed write of an earlier start is overwritten by the next heartbeat"
listed r ready 1700000002000
gets r
echo "== r drains, and a delayed write says ready"
listed r draining 1700000002000
listed r ready 1700000001000
gets r
