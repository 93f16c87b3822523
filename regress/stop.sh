# A planned stop while a stream runs.  The balancer's health check turns
# first, new work is refused as not-run, the stream ends whole, a second
# SIGTERM changes nothing, and the process exits with code 0.
. ./lib.sh || exit 1
usual_base e1
start_vm a
control e1 '{"decode_us":50000}'
health() { curl -s --noproxy '*' -o /dev/null -w '%{http_code}' "http://$vm_a/healthz"; }
turned() { [ "$(health)" = 503 ]; }
refused() { mkdir -p "$tmp/n"; (tmp=$tmp/n; post a ws /v1/completions "$(prompt new 1 true)" >/dev/null; code) | grep -q stopping; }

post a ws /v1/completions "$(prompt tale 60 true)" >"$tmp/status" & caller=$!
wait_for has_line "$tmp/a.log" event=send
kill -TERM "$pid_a"
wait_for turned
echo "health check turned: $(health)"
wait_for refused
echo "new work: $(tmp=$tmp/n; post a ws /v1/completions "$(prompt new 1 true)") $(tmp=$tmp/n; outcome) $(tmp=$tmp/n; code)"
kill -TERM "$pid_a"
wait $caller
echo "stream: $(cat "$tmp/status") $(events) events, $(finished)"
wait "$pid_a"
echo "exit code $?"

# Killed during the drain: the stream ends broken, not as if it were whole.
start_vm b
post b ws /v1/completions "$(prompt tale 200 true)" >/dev/null & caller=$!
wait_for has_line "$tmp/b.log" event=send
sleep 0.3
kill -TERM "$pid_b"
wait_for has_line "$tmp/b.log" 'phase=3'
die b
wait $caller
echo "killed in the drain: $(finished)"
