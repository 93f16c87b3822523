# Guards against a VM that aborts when its stop no longer waits for an open
# stream, and against a stream that its caller takes for complete then, or a
# call that may have run and is answered as one that did not.
. ./lib.sh || exit 1
. ./site.sh

start_fake rows rows
row op config "$(site_conf 3 '"k1"')"
server e llm m 1
control e '{"events":1000,"event_ms":20}'
for option in --http1.1 -0; do
	entry a
	die a
	sed -i 's/^drain_limit_s.*/drain_limit_s = 1/' "$tmp/a.base.ini"
	: >"$tmp/a.log"
	$bin serve --base "$tmp/a.base.ini" --overlay "$tmp/a.site.ini" >>"$tmp/a.log" 2>&1 &
	pid_a=$!
	wait_for has_line "$tmp/a.log" 'event=phase phase=1'
	front_a=$(sed -n 's/.*event=listen address=\([^ ]*\).*/\1/p' "$tmp/a.log" | sed -n 2p)
	ready_a=$(sed -n 's/.*event=listen address=\([^ ]*\).*/\1/p' "$tmp/a.log" | sed -n 3p)
	wait_for is_ready a
	# No deadline of its own, so that the stop comes first.
	curl -sN --noproxy '*' -o "$tmp/body" -H 'Host: h.example' -H 'Authorization: Token k1' \
		-H 'X-Attempt-Id: a1' -d p "$option" "http://$front_a/tell/r" &
	pid_ask=$!
	wait_for has_line "$tmp/body" '^data'
	kill -TERM "$pid_a"
	wait "$pid_ask"
	echo "$option: curl exit code $?"
	wait "$pid_a" 2>/dev/null
	echo "exit code of the VM: $?, ends in the log: $(grep -c event=finish "$tmp/a.log")"
	rm "$tmp/body"
done

echo "== a call on the product's own interface"
plain_base
control p1 '{"delay_ms":20000}'
echo 'drain_limit_s = 1' >"$tmp/b.ini"
start_vm b
post b ws /v1/call/trucks/send one >"$tmp/status" &
pid_post=$!
wait_for has_line "$tmp/p1.err" 'event=ran'
kill -TERM "$pid_b"
wait "$pid_post"
echo "status $(cat "$tmp/status"), outcome $(outcome), code $(code)"
wait "$pid_b" 2>/dev/null
echo "exit code of the VM: $?"
