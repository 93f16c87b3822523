# Streams that break.  The caller gets the complete answer, resumed at a second
# engine with the same weight version, or a stream that ends with an error
# event.  Guards against a truncated answer that looks complete.
. ./lib.sh || exit 1
usual_base e1 e2
sed -i 's/^version = v1/version = v1\nstall_ms = 500\nattempts = 2/' "$tmp/base.ini"
start_vm a
texts() { sed -n 's/.*"text":"\([^"]*\)".*/\1/p' "$tmp/body" | tr -d '\n'; }
both() { control e1 "$1"; control e2 "$1"; }

post a ws /v1/completions "$(prompt tale 20 true)" >/dev/null
whole=$(texts)

both '{"break_after":7,"breaks":1}'
post a ws /v1/completions "$(prompt tale 20 true)" >/dev/null
both '{"breaks":0}'
[ "$(texts)" = "$whole" ] && echo "broken after 7 tokens: same text, $(finished)"
echo "resumed at $(field a resume offset)"

both '{"hang_after":5,"hangs":1}'
post a ws /v1/completions "$(prompt tale 20 true)" >/dev/null
both '{"hangs":0}'
[ "$(texts)" = "$whole" ] && echo "stopped after 5 tokens: same text, $(finished)"

both '{"break_after":3,"breaks":9,"break_resumed":1}'
post a ws /v1/completions "$(prompt tale 20 true)" >/dev/null; status=$?
echo "broken every time: $(finished), error event $(grep -c '^event: error' "$tmp/body"), $(sed -n 's/.*"outcome":"\([a-z-]*\)".*/\1/p' "$tmp/body"), curl exit code $status"
both '{"breaks":0}'

# After a break before the first token the request starts again at the other
# engine.
control e1 '{"break_after":0,"breaks":1}'
until has_line "$tmp/a.log" event=retry; do
	post a ws /v1/completions "$(prompt tale 20 true)" >/dev/null
done
[ "$(texts)" = "$whole" ] && echo "broken before the first token: same text, $(finished)"

# The engine's load report gives one version, and its answers another.
both '{"lag_ms":600000}'
sleep 0.3
control e1 '{"version":"v2"}'
for i in 1 2 3 4 5 6; do
	post a ws /v1/completions "$(prompt tale 20 true)" >/dev/null
	grep -o '"system_fingerprint":"[^"]*"' "$tmp/body" | sort -u
done | sort -u
