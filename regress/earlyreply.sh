# Guards against callers whose connection is reset, in place of the reply, while
# they still send the body of a request that was refused by its head.
. ./lib.sh || exit 1
usual_base e1
make_key other
cat >>"$tmp/base.ini" <<INI
[workspace other]
keys = $hash_other
services = model
body_max_kb = 64
INI
start_vm a
trap "" PIPE

# try NAME KEY PATH FRAMING: the rest of the body follows some time after the
# head.
try() {
	eval "_key=\$key_$2"
	exec 3<>"/dev/tcp/${vm_a%:*}/${vm_a#*:}"
	printf 'POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n' "$3" "$_key" "$4" >&3
	sleep 0.3
	_sent=all
	for _part in 1 2 3 4; do
		{ printf '30d40\r\n'; head -c 200000 /dev/zero; printf '\r\n'; } >&3 2>/dev/null || _sent=part
		sleep 0.05
	done
	_got=$(timeout 5 head -1 <&3 | tr -d '\r')
	exec 3>&-
	echo "$1: $_sent of the body sent, ${_got:-no reply}"
}
key_wrong=ws.0000
for framing in 'Content-Length: 800032' 'Transfer-Encoding: chunked'; do
	try "no route, ${framing%%:*}" ws /v1/nothing "$framing"
	try "wrong key, ${framing%%:*}" wrong /v1/completions "$framing"
done
try "too large" other /v1/completions 'Content-Length: 800032'
try "ambiguous length" ws /v1/completions $'Content-Length: 800032\r\nContent-Length: 4'
echo "still serving: $(post a ws /v1/completions "$(prompt x 3 true)") $(finished)"
