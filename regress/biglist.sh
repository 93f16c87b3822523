# A VM starts, and a store's list is longer than its link carries within the
# limit of a call.  Each try begins with the first byte again, so the VM takes
# the store for silent for good, and callers wait for work that is kept.  A
# store that falls silent in the middle is noticed all the same.
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
echo "silent in the middle"
# Some 4.5 KB, in four seconds.
control s1 '{"kb_s":1,"halt_kb":0}'
wait_for has_line "$tmp/a.log" 'event=store store=s1 incarnation'
echo "known"
