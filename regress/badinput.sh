# Invalid input from callers: each request gets a refusal with the outcome
# "not-run" or a closed connection, memory stays bounded, and the VM continues to
# serve.
. ./lib.sh || exit 1
usual_base e1
make_key other
cat >>"$tmp/base.ini" <<EOF
[workspace other]
keys = $hash_other
services = model
body_max_kb = 64
EOF
printf '[vm]\nheader_timeout_s = 1\n' >"$tmp/a.ini"
start_vm a
path=/v1/completions
try() { echo "$1: $(post a ws "$path" "$2") $(outcome) $(code)"; }
try "not JSON" 'hello'
try "truncated JSON" '{"model":"model","prompt":'
try "bad UTF-8" "$(printf '{"model":"model","prompt":"\377\376"}')"
try "no prompt" '{"model":"model"}'
try "wrong kind" '{"model":"model","prompt":"x","max_tokens":"many"}'
try "duplicate key" '{"model":"model","model":"model","prompt":"x"}'
try "deep nesting" "$(printf '[%.0s' $(seq 5000))"
try "unknown service" '{"model":"nothing","prompt":"x"}'
path=/v1/nothing try "unknown path" '{}'
path=/v1/call/model/x try "model as plain call" '{}'
path=$path
bad() { echo "$1: $(post a ws /v1/completions "$(prompt x 1 true)" -H "$2") $(code)"; }
bad "bad priority" 'Camphorquay-Priority: now'
bad "bad deadline" 'Camphorquay-Deadline-Ms: -4'
bad "empty key" 'Idempotency-Key;'
bad "long key" "Idempotency-Key: $(printf '%0300d' 1)"
bad "huge header" "X-Large: $(printf '%020000d' 1)"

key_wrong=ws.0000
key_nobody=nobody.0000
key_form=x
for k in wrong nobody form; do echo "key $k: $(post a $k /v1/completions "$(prompt x 1 true)") $(code)"; done

# Bodies: too large as declared, too large in chunks, and cut off.
head -c 200000 /dev/zero | tr '\0' x >"$tmp/big"
echo "declared too large: $(post a other /v1/completions "@$tmp/big") $(code)"
echo "chunked too large: $(post a other /v1/completions "@$tmp/big" -H 'Transfer-Encoding: chunked') $(code)"
exec 3<>"/dev/tcp/${vm_a%:*}/${vm_a#*:}"
printf 'POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{"mod' "$key_ws" >&3
exec 3>&-
exec 4<>"/dev/tcp/${vm_a%:*}/${vm_a#*:}"
printf 'POST /v1/comp' >&4
timeout 20 cat <&4 >/dev/null && echo "incomplete request: closed"
head -c 100000 /dev/urandom >"$tmp/noise"
exec 5<>"/dev/tcp/${vm_a%:*}/${vm_a#*:}"
cat "$tmp/noise" >&5 2>/dev/null
exec 5>&-

# The request id of another workspace gets the same reply as an unknown one.
post a ws /v1/completions "$(prompt x 1 true)" >/dev/null
id=$(header Camphorquay-Request-Id)
echo "own request: $(get a ws "/v1/requests/$id") $(sed -n 's/.*"outcome": "\([a-z]*\)".*/\1/p' "$tmp/body")"
echo "another's request: $(get a other "/v1/requests/$id") $(code)"
sed 's/r[0-9a-f]*//' "$tmp/body" >"$tmp/theirs"
get a other /v1/requests/r0000000000000000 >/dev/null
sed 's/r[0-9a-f]*//' "$tmp/body" | cmp - "$tmp/theirs" && echo "same reply as for an unknown id"
echo "operator's path with a caller's key: $(get a ws /admin/v1/status) $(code)"

# Prompts and keys must not appear in the log.
post a ws /v1/completions "$(prompt 'very private words' 1 true)" -H 'Idempotency-Key: secret-key-of-caller' >/dev/null
grep -c -e 'private' -e 'secret-key' -e "${key_ws#ws.}" "$tmp/a.log"
echo "still serving: $(post a ws /v1/completions "$(prompt x 3 true)") $(finished)"
