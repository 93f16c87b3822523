#!/bin/bash
# Functions of the cases: a small deployment of VMs and stand-ins on loopback
# addresses, with ports that the kernel chooses.  Exit codes of a case: 1 the
# rule was broken, 0 it held, 2 the case could not run.

top=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
program=$top/target/camphorquay
fake=$top/regress/fake
client=$top/review/client
tmp=$(mktemp -d)
ulimit -c 0 # a crash leaves no file
record=$case/record.txt
started=()

cleanup() {
	status=$?
	exec 2>/dev/null
	for p in "${started[@]}"; do
		kill -CONT "$p"
		kill -9 "$p"
	done
	wait
	[ -n "${KEEP:-}" ] || rm -rf "$tmp"
	exit $status
}
trap cleanup EXIT

cannot_run() {
	echo "cannot run: $*" | tee -a "$record"
	exit 2
}

note() { echo "$*" | tee -a "$record"; }

now_ms() { echo $((${EPOCHREALTIME/./} / 1000)); }

# wait_for COMMAND...: until it succeeds, 15 s at most.
wait_for() {
	local end=$(($(now_ms) + 15000))
	until "$@" >/dev/null 2>&1; do
		[ "$(now_ms)" -lt $end ] || cannot_run "timed out: $*"
		sleep 0.05
	done
}

has_line() { grep -q -- "$2" "$1"; }

# start_fake NAME ROLE: sets port_NAME and pid_NAME.
start_fake() {
	"$fake" "$2" 0 >"$tmp/$1.out" 2>"$tmp/$1.err" &
	started+=($!)
	eval "pid_$1=$!"
	wait_for has_line "$tmp/$1.out" '^port='
	eval "port_$1=$(sed -n 's/^port=//p' "$tmp/$1.out")"
}

# put PORT PATH BODY
put() {
	printf '%s' "$3" | "$client" put "127.0.0.1:$1" PUT "$2" >/dev/null || cannot_run "PUT $2"
}

# control NAME JSON: settings of a stand-in.
control() {
	local port=port_$1
	printf '%s' "$2" | "$client" put "127.0.0.1:${!port}" POST /control >/dev/null ||
		cannot_run "control $1"
}

# row TABLE KEY VALUE: what the operator or a server writes to the store.
row() { put "$port_rows" "/row/$1/$2" "$3"; }

# server NAME SERVICE [MODEL]: a server, listed as ready.
server() {
	start_fake "$1" server
	control "$1" "{\"id\":\"i-$1\"}"
	list_server "$@"
}

list_server() {
	local port=port_$1 models=
	[ -z "${3:-}" ] || models="\"Models\":[{\"Name\":\"$3\",\"Version\":1}],"
	row servers "i-$1" "{\"Service\":\"$2\",\"Address\":\"127.0.0.1:${!port}\",\"Zone\":\"d1\",\"Slots\":8,\"Version\":\"v1\",${models}\"State\":\"ready\",\"Seq\":1,\"ColdRemainingMs\":0}"
}

# vm NAME: a VM, started with the command of deploy/system.toml; its settings
# are rendered from the template with the bounds of the site ledvrata-ops.
vm() {
	sed -e "s/{{NodeName}}/$1/" -e 's/{{Zone}}/d1/' \
		-e 's/{{Listen.[A-Za-z]*}}/127.0.0.1:0/' \
		-e "s/{{Platform.Address}}/127.0.0.1:$port_rows/" \
		-e 's/{{Ip}}:{{PortRange.0}}/127.0.0.1:0/' \
		-e 's/{{Limits.LinkMbps}}/1000.0/' \
		-e 's/{{Bounds.DrainMs}}/2000/' \
		-e 's/{{Bounds.RevokeMs}}/5000/' \
		-e 's/{{Bounds.ConfigApplyMs}}/2000/' \
		-e 's/{{#Zones}}.*{{.Zones}}/d1=r1/' \
		-e 's/{{Bounds.LeaseMs}}/3000/' \
		-e 's/{{Bounds.VersionMs}}/12000/' \
		"$top/platform/vm.ini.tmpl" >"$tmp/$1.ini"
	if grep -q '{{' "$tmp/$1.ini"; then cannot_run "template"; fi
	start_vm "$1"
}

# start_vm NAME: sets pid_NAME and front_NAME.
start_vm() {
	: >"$tmp/$1.log"
	(cd "$top" && exec "$program" serve --base deploy/base.ini --overlay "$tmp/$1.ini") \
		>>"$tmp/$1.log" 2>&1 &
	started+=($!)
	eval "pid_$1=$!"
	wait_for has_line "$tmp/$1.log" 'event=phase phase=1'
	# The product's own interface, callers, the balancer: in this order.
	local addresses
	mapfile -t addresses < <(sed -n 's/.*event=listen address=\([^ ]*\).*/\1/p' "$tmp/$1.log")
	eval "front_$1=${addresses[1]} ready_$1=${addresses[2]}"
	wait_for is_ready "$1"
}

is_ready() {
	local ready=ready_$1
	"$client" put "${!ready}" GET /ready </dev/null
}

for p in "$program" "$fake" "$client"; do
	if [ ! -x "$p" ]; then
		echo "cannot run: $p is not built"
		exit 2
	fi
done
: >"$record"
