# Functions for the scripts of the second review.
#
# The VMs are started with the command of deploy/system.toml, their settings
# rendered from platform/vm.ini.tmpl with the figures of a small deployment.
# All addresses are loopback addresses with ports chosen by the kernel.

top=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
case_dir=$(cd "$(dirname "$0")" && pwd)
record=$case_dir/record.txt
tmp=$(mktemp -d)
peer=$top/target/peer-2
TROUBLE=${TROUBLE:-1}
# Names of the platform's headers, for peer-2.
export NAME_ID=X-Attempt-Id NAME_DEADLINE=X-Deadline-Ms NAME_SEAL=X-Server-Seal \
	NAME_LOAD=X-Server-Load NAME_VERSIONS=X-Weight-Versions \
	NAME_INSTANCE=X-Instance-Id NAME_NOT_RUN=X-Not-Executed \
	NAME_EXPECT=X-Expect-Instance NAME_EXPECT_VERSION=X-Expect-Version \
	NAME_TENANT=X-Tenant NAME_SALT=X-Cache-Salt NAME_PROMPT=X-Prompt-Prefix
: >"$record"

cleanup() {
	status=$?
	exec 2>/dev/null
	for p in $(jobs -pr); do kill -CONT "$p" 2>/dev/null; kill -9 "$p" 2>/dev/null; done
	wait 2>/dev/null
	[ -n "${KEEP:-}" ] || rm -rf "$tmp"
	exit $status
}
trap cleanup EXIT

started_ms=$(($(date +%s%N) / 1000000))
note() { echo "$(($(date +%s%N) / 1000000 - started_ms)) ms: $*" >>"$record"; }
cannot_run() {
	note "cannot run: $*"
	echo "cannot run: $*"
	exit 2
}

# wait_for COMMAND...: until it succeeds, 20 s at most.
wait_for() {
	_end=$(($(date +%s) + 20))
	until "$@" >/dev/null 2>&1; do
		[ "$(date +%s)" -lt $_end ] || cannot_run "timed out: $*"
		sleep 0.02
	done
}
has_line() { grep -q "$2" "$1"; }

start_store() {
	"$top/regress/fake" rows 0 >"$tmp/store.out" 2>"$tmp/store.err" &
	pid_store=$!
	wait_for has_line "$tmp/store.out" '^port='
	store=127.0.0.1:$(sed -n 's/^port=//p' "$tmp/store.out")
}

# row TABLE KEY VALUE: what the operator, or a server, writes.
row() {
	"$peer" call "$store" PUT "/row/$1/$2" 5000 "$3" >/dev/null || cannot_run "row $1/$2"
}
# store_control JSON: faults of the store.
store_control() {
	"$peer" call "$store" POST /control 5000 "$1" >/dev/null || cannot_run "store_control $1"
}

# vm NAME ZONE: starts a VM; sets front_NAME, ready_NAME and pid_NAME.
vm() {
	sed -e "s/{{NodeName}}/$1/" -e "s/{{Zone}}/$2/" \
		-e 's/{{Listen\.[A-Za-z]*}}/127.0.0.1:0/' \
		-e "s/{{Platform.Address}}/$store/" \
		-e 's/{{Ip}}:{{PortRange.0}}/127.0.0.1:0/' \
		-e 's/{{Limits.LinkMbps}}/1000.0/' \
		-e 's/{{Bounds.DrainMs}}/2000/' -e 's/{{Bounds.RevokeMs}}/5000/' \
		-e 's/{{Bounds.LeaseMs}}/3000/' -e 's/{{Bounds.VersionMs}}/12000/' \
		-e 's/{{Bounds.ConfigApplyMs}}/2000/' \
		-e 's/{{#Zones}}.*{{\/Zones}}/z1=r1 z2=r1/' \
		"$top/platform/vm.ini.tmpl" >"$tmp/$1.ini"
	if grep -q '{{' "$tmp/$1.ini"; then cannot_run "template: $(grep '{{' "$tmp/$1.ini")"; fi
	cd "$top" || cannot_run "cd"
	target/camphorquay serve --base deploy/base.ini --overlay "$tmp/$1.ini" >"$tmp/$1.log" 2>&1 &
	eval "pid_$1=$!"
	wait_for has_line "$tmp/$1.log" 'event=phase phase=1'
	# The product's own interface, callers, the balancer: in this order.
	_n=0
	for _a in $(sed -n 's/.*event=listen address=\([^ ]*\).*/\1/p' "$tmp/$1.log"); do
		case $_n in
		1) eval "front_$1=$_a" ;;
		2) eval "ready_$1=$_a" ;;
		esac
		_n=$((_n + 1))
	done
}
is_ready() {
	eval "_r=\$ready_$1"
	# shellcheck disable=SC2154
	"$peer" call "$_r" GET /ready 2000 "" "Host: x" | grep -q '^200'
}
