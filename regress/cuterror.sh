# Guards against an endpoint's error that broke off in the middle and reaches
# the caller as a complete answer.
. ./lib.sh || exit 1

plain_base
sed -i 's/^repeatable = no/repeatable = yes\nattempts = 1/' "$tmp/base.ini"
start_vm a

# error NAME: what the caller gets.
error() {
	post a ws /v1/call/trucks/send one >"$tmp/status"
	echo "$1: status $(cat "$tmp/status"), outcome $(outcome), code $(code), the endpoint's body: $(grep -c -e '^xxx' -e '^run' "$tmp/body")"
}

control p1 '{"fail":500}'
error whole
control p1 '{"fail":500,"cut":1}'
error cut
