# Guards against tokens that are computed for a closed connection.  One caller
# hangs up while it waits for its first token, and another in the middle of a
# stream; the engine's runs must be cancelled promptly.
. ./lib.sh || exit 1
usual_base e1
start_vm a
control e1 '{"decode_us":20000}'
post a ws /v1/completions "$(prompt tale 5000 true)" --max-time 0.5 >/dev/null
wait_for stat_is e1 cancels 1
echo "hung up during the stream: cancelled"
control e1 '{"prefill_tokens_s":10,"decode_us":0}'
post a ws /v1/completions "$(prompt "$(printf '%080d' 1)" 5000 true)" --max-time 0.5 >/dev/null
wait_for has_line "$tmp/a.log" 'reason=caller_gone'
wait_for stat_is e1 cancels 2
echo "hung up before the first token: cancelled"
control e1 '{"prefill_tokens_s":0}'
echo "other requests are served: $(post a ws /v1/completions "$(prompt tale 3 true)") $(finished)"

# A slow reader: the VM buffers a bounded part of a long stream, not the 30 MB
# that the engine could write in that time.
control e1 '{"token_bytes":100}'
held() { curl -s --noproxy '*' "http://$vm_a/metrics" | sed -n 's/^camphorquay_stream_bytes //p'; }
before=$(awk '/VmRSS/{print $2}' "/proc/$pid_a/status")
post a ws /v1/completions "$(prompt tale 150000 true)" --limit-rate 200k --max-time 3 >/dev/null & caller=$!
most=0
while kill -0 $caller 2>/dev/null; do
	n=$(held)
	[ "${n:-0}" -gt $most ] && most=$n
	sleep 0.1
done
[ "$most" -gt 0 ] && [ "$most" -lt 131072 ] && echo "slow reader: less than 128 KB held" || echo "slow reader: $most bytes held"
after=$(awk '/VmRSS/{print $2}' "/proc/$pid_a/status")
# AddressSanitizer delays the reuse of freed memory, so RSS proves nothing there.
if nm "$bin" 2>/dev/null | grep -q __asan_init || [ $((after - before)) -lt 4000 ]; then
	echo "process: less than 4 MB more"
else
	echo "process: $((after - before)) KB more"
fi
