# Guards against a store that is wrongly treated as unreachable.  At the start of
# a VM a store's list is so long that its link needs more time for it than a call
# may take; each retry would begin at the first byte again, and callers would
# wait for work that is stored.  A store that stalls in the middle of the list
# must still be detected.
. ./lib.sh || exit 1
wait_bound=${WAIT_BOUND:-20}
usual_base e1
add_store s1
i=0
while [ $i -lt 120 ]; do
	n=$(printf '%016x-%016x' $i 7)
	curl -sf --noproxy '*' -X PUT --data-binary x "http://127.0.0.1:$port_s1/segments/$n" >/dev/null || fail put
	curl -sf --noproxy '*' -d '{"length":1,"digest":"d"}' "http://127.0.0.1:$port_s1/seal/$n" >/dev/null || fail seal
	i=$((i + 1))
done
echo "listed: $(curl -s --noproxy '*' "http://127.0.0.1:$port_s1/list?since=0" | grep -o '+' | wc -l)"
control s1 '{"kb_s":100,"halt_kb":1}'
start_vm a
wait_for has_line "$tmp/a.log" 'event=store store=s1 silent=1'
echo "stalled in the middle"
# The list is some 4.5 KB and takes four seconds.
control s1 '{"kb_s":1,"halt_kb":0}'
wait_for has_line "$tmp/a.log" 'event=store store=s1 incarnation'
echo "known"
