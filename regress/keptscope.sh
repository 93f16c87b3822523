# KV cache must never be shared between workspaces or between weight versions.
# Both workspaces send equal prompts; then the weights change while the store
# still lists segments of the old version, which must not be imported.
. ./lib.sh || exit 1
usual_base e1
make_key other
cat >>"$tmp/base.ini" <<EOF
[workspace other]
keys = $hash_other
services = model
EOF
add_store s1
start_vm a
ask() { post "$1" "$2" /v1/completions "$(prompt "$(long x)" 3 true)" >/dev/null; sed -n 's/.*"cached_tokens":\([0-9]*\).*/\1/p' "$tmp/body" | head -1; }
sealed() { [ "$(grep -c 'event=export .*sealed=4' "$tmp/$1.log")" -ge "$2" ]; }
echo "ws: $(ask a ws) cached"
wait_for sealed a 1
echo "ws again: $(ask a ws) cached"
echo "other, same prompt: $(ask a other) cached"
wait_for sealed a 2
echo "segments of both in the store: $(stat s1 segments)"

# New weights: the engine's cache is empty, the store still has old segments.
printf '[service model]\nversion = v2\n' >"$tmp/b.ini"
control e1 '{"version":"v2"}'
start_vm b
before=$(stat e1 imported)
echo "ws under v2: $(ask b ws) cached, $(($(stat e1 imported) - before)) imported"
grep -c 'fingerprint":"v2"' "$tmp/body"
# VM a still requests v1, which no endpoint serves any more: it must refuse.
wait_for has_line "$tmp/a.log" 'endpoint=e1 version=v2'
echo "v1 wanted: $(post a ws /v1/completions "$(prompt "$(long x)" 3 true)") $(outcome) $(code)"
