# End to end: a prompt is sent to one of two engines, its stream is returned
# complete, and a terminated VM exits with code 0.
. ./lib.sh || exit 1
usual_base e1 e2
start_vm a
echo "stream: $(post a ws /v1/completions "$(prompt hello 5 true)") $(events) events, $(finished)"
echo "outcome: $(outcome)"
echo "whole: $(post a ws /v1/completions "$(prompt hello 5 false)") $(outcome)"
chat='{"model":"model","messages":[{"role":"user","content":"hi"}],"max_tokens":3,"stream":true}'
echo "chat: $(post a ws /v1/chat/completions "$chat") $(events) events, $(finished)"
echo "decisions: $(grep -c event=route "$tmp/a.log") routes, $(grep -c 'event=finish .*outcome=answered' "$tmp/a.log") answered"
kill -TERM "$pid_a"
wait "$pid_a"
echo "exit code $?"
