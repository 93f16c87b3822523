# Functions for the scripted runs.  A script prints what matters and only
# that; the driver compares it with the script's .out file.
#
# Ports are chosen by the kernel and every wait is for a condition, with a
# bound that is generous enough for a busy machine.

top=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin=${CQ_BIN:-$top/camphorquay}
fake=$top/regress/fake
tmp=$(mktemp -d)
wait_bound=${WAIT_BOUND:-60}

cleanup() {
	status=$?
	exec 2>/dev/null
	# Only what still runs: the number of a process that ended may be another's.
	for p in $(jobs -pr); do kill -CONT "$p" 2>/dev/null; kill -9 "$p" 2>/dev/null; done
	wait 2>/dev/null
	if [ -n "${KEEP:-}" ]; then
		echo "kept $tmp"
	elif [ -n "${CQ_KEEP_IN:-}" ]; then
		mv "$tmp" "$CQ_KEEP_IN"
	else
		rm -rf "$tmp"
	fi
	exit $status
}
trap cleanup EXIT

fail() {
	echo "FAIL: $*"
	exit 1
}

# wait_for COMMAND...: until it succeeds.
wait_for() {
	_end=$(($(date +%s) + wait_bound))
	until "$@" >/dev/null 2>&1; do
		[ "$(date +%s)" -lt $_end ] || fail "timed out: $*"
		sleep 0.02
	done
}

has_line() { grep -q "$2" "$1"; }

# start_fake NAME ROLE: sets port_NAME and pid_NAME.
start_fake() {
	: >"$tmp/$1.out"
	$fake "$2" 0 >"$tmp/$1.out" 2>"$tmp/$1.err" &
	eval "pid_$1=$!"
	wait_for has_line "$tmp/$1.out" '^port='
	eval "port_$1=$(sed -n 's/^port=//p' "$tmp/$1.out")"
}

# restart_fake NAME ROLE: again at the port it had.
restart_fake() {
	eval "_port=\$port_$1"
	# shellcheck disable=SC2154
	$fake "$2" "$_port" >"$tmp/$1.out" 2>"$tmp/$1.err" &
	eval "pid_$1=$!"
	wait_for has_line "$tmp/$1.out" '^port='
}

# die NAME: kill a process of ours at once.
die() {
	eval "_pid=\$pid_$1"
	kill -9 "$_pid"
	wait "$_pid" 2>/dev/null
}

# control NAME JSON: switch faults of a stand-in on and off.
control() {
	eval "_port=\$port_$1"
	curl -sf --max-time 20 --noproxy '*' -d "$2" "http://127.0.0.1:$_port/control" >/dev/null || fail "control $1"
}

# stat NAME FIELD: a number from a stand-in's statistics.
stat() {
	eval "_port=\$port_$1"
	curl -s --noproxy '*' "http://127.0.0.1:$_port/stats" |
		sed -n "s/.*\"$2\":\([0-9]*\).*/\1/p" | grep . || echo 0
}

stat_is() { [ "$(stat "$1" "$2")" = "$3" ]; }

# make_key NAME: sets key_NAME and hash_NAME.
make_key() {
	$bin key "$1" >"$tmp/key.$1"
	eval "key_$1=$(sed -n 1p "$tmp/key.$1")"
	eval "hash_$1=$(sed -n 2p "$tmp/key.$1")"
}

# start_vm NAME: with $tmp/base.ini and, if there is one, $tmp/NAME.ini;
# sets vm_NAME to its address and pid_NAME.
start_vm() {
	cat >"$tmp/$1.site.ini" <<EOF
[vm]
name = $1
domain = ${vm_domain:-d1}
listen = ${vm_listen:-127.0.0.1:0}
poll_ms = 100
drain_notice_ms = 100
EOF
	[ -f "$tmp/$1.ini" ] && cat "$tmp/$1.ini" >>"$tmp/$1.site.ini"
	[ -f "$tmp/$1.log" ] && mv "$tmp/$1.log" "$tmp/$1.log.$(ls "$tmp" | grep -c .)"
	$bin serve --base "$tmp/base.ini" --overlay "$tmp/$1.site.ini" \
		>>"$tmp/$1.log" 2>&1 &
	eval "pid_$1=$!"
	wait_for has_line "$tmp/$1.log" 'level=info.*event=listen'
	eval "vm_$1=$(sed -n 's/.*event=listen address=\([^ ]*\).*/\1/p' "$tmp/$1.log" | head -1)"
	eval "wait_for curl -sf --noproxy '*' \"http://\$vm_$1/healthz\""
}

# post VM KEYNAME PATH BODY [curl options]: reply body in $tmp/body, head in
# $tmp/head; prints the HTTP status.
post() {
	eval "_vm=\$vm_$1; _key=\$key_$2"
	_path=$3 _body=$4
	shift 4
	curl -s --noproxy '*' -o "$tmp/body" -D "$tmp/head" -w '%{http_code}\n' \
		-H "Authorization: Bearer $_key" "$@" -d "$_body" "http://$_vm$_path"
}

get() {
	eval "_vm=\$vm_$1; _key=\$key_$2"
	_path=$3
	shift 3
	curl -s --noproxy '*' -o "$tmp/body" -D "$tmp/head" -w '%{http_code}\n' \
		-H "Authorization: Bearer $_key" "$@" "http://$_vm$_path"
}

# header NAME: from the last reply.
header() { sed -n "s/^$1: \(.*\)\r$/\1/p" "$tmp/head"; }
outcome() { header Camphorquay-Outcome; }
code() { sed -n 's/.*"code": *"\([^"]*\)".*/\1/p' "$tmp/body"; }
events() { grep -c '^data: {"system' "${1:-$tmp/body}"; }
finished() { grep -q '^data: \[DONE\]' "${1:-$tmp/body}" && echo finished || echo broken; }

# field LOG EVENT NAME: values of a field of an event's log lines.
field() { sed -n "s/.*event=$2 .*\b$3=\([^ ]*\).*/\1/p" "$tmp/$1.log"; }

# prompt WORDS TOKENS STREAM: a completion request for service "model".
prompt() {
	printf '{"model":"model","prompt":"%s","max_tokens":%s,"stream":%s}' "$1" "$2" "$3"
}

# add_store NAME: a store of kept work, and token bytes for service "model".
add_store() {
	start_fake "$1" store
	eval "_port=\$port_$1"
	cat >>"$tmp/base.ini" <<EOF

[store $1]
domain = ${vm_domain:-d1}
address = 127.0.0.1:$_port
link_mb_s = 1000
EOF
	grep -q kv_token_bytes "$tmp/base.ini" ||
		sed -i 's/^\[service model\]/&\nkv_token_bytes = 100/' "$tmp/base.ini"
}

# long N: a prompt of 8 KB, four segments of kept work, different for each N.
long() { printf "$1 %08d " $(seq 900) | head -c 8192; }

# plain_base SERVICE-KEYS...: workspace ws, one plain service "trucks" with the
# given lines, its endpoint p1, and the platform's table.
plain_base() {
	make_key ws
	make_key op
	start_fake p1 plain
	start_fake table table
	cat >"$tmp/base.ini" <<EOF
[platform]
table = http://127.0.0.1:$port_table
objects = http://127.0.0.1:$port_table
timeout_ms = 1000

[workspace ws]
keys = $hash_ws
services = trucks

[operator op]
keys = $hash_op

[service trucks]
kind = plain
repeatable = no
$(printf '%s\n' "$@")

[endpoint p1]
service = trucks
domain = ${vm_domain:-d1}
address = 127.0.0.1:$port_p1
EOF
}

# call VM KEY BODY [curl options]: a call to "trucks" with an idempotency key.
call() {
	_vm=$1 _idem=$2 _data=$3
	shift 3
	post "$_vm" ws /v1/call/trucks/send "$_data" -H "Idempotency-Key: $_idem" "$@"
}

# usual_base ENDPOINT...: engines, one workspace, the usual base file.
usual_base() {
	make_key ws
	make_key op
	cat >"$tmp/base.ini" <<EOF
[workspace ws]
keys = $hash_ws
services = model
urgent = yes

[operator op]
keys = $hash_op

[service model]
kind = model
version = v1
EOF
	for _e in "$@"; do
		start_fake "$_e" engine
		eval "_port=\$port_$_e"
		cat >>"$tmp/base.ini" <<EOF

[endpoint $_e]
service = model
domain = ${vm_domain:-d1}
address = 127.0.0.1:$_port
EOF
	done
}
