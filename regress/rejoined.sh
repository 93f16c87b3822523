# Guards against streams that hold events of two versions of the endpoints'
# software since all VMs that knew where they began were killed.
. ./lib.sh || exit 1
. ./site.sh
log_lines_s=0
each=${STREAMS:-8}

# begin ID: a stream whose VM will be killed.
begin() {
	: >"$tmp/$1.all"
	eval "_f=\$front_$2"
	curl -sN --noproxy '*' --max-time 20 -o "$tmp/$1.all" -H 'Host: h.example' -H 'Authorization: Token k1' \
		-H "X-Attempt-Id: $1" -H 'X-Deadline-Ms: 9000' -d x "http://$_f/tell/$1" 2>/dev/null &
}
# An event that was cut off is none.
events_of() { awk 'BEGIN { RS = ""; ORS = "\n\n" } /^id: [0-9]+\ndata: v[0-9]t[0-9]+$/' "$1"; }

# go_on VM ID NAME: takes the stream up again; sets got to the status.
go_on() {
	events_of "$tmp/$2.all" >"$tmp/$2.had"
	_last=$(sed -n 's/^id: //p' "$tmp/$2.had" | tail -1)
	set -- "$1" "$2" "$3" -H "Last-Event-Id: $_last"
	[ "$3" = unnamed ] || set -- "$@" -H "Resumes: $2"
	_vm=$1 _id=$2
	shift 3
	got=$(out=$tmp/$_id.part id=$_id-$_vm ask "$_vm" "/tell/$_id" -d x "$@")
	[ "$got" = 200 ] && cat "$tmp/$_id.part" >>"$tmp/$_id.had"
}

# start VM...; all VMs know each other.
start_all() {
	for v in a b c; do eval "port_rows=\$view_$v entry $v"; done
	for v in a b c; do
		wait_for is_ready $v
		wait_for has_line "$tmp/$v.log" "event=vms_listed vms=3"
	done
}
kill_all() {
	for v in a b c; do
		eval "_pid=\$pid_$v"
		kill -9 "$_pid"
	done
	for v in a b c; do
		eval "_pid=\$pid_$v"
		wait "$_pid"
	done
} 2>/dev/null
list() { build=$2 list_server "$1" llm m 1 "${3:-ready}"; }
v1() { for s in p q; do list $s v1 "${1:-ready}"; done; }
v2() { for s in r s; do list $s v2 "${1:-ready}"; done; }
no_v1() { for s in p q; do drop_row servers i-$s; done; }

# case_of NAME BEFORE JUST_BEFORE MEANWHILE: what is listed, as commands.
case_of() {
	[ -z "${pid_rows:-}" ] || die rows
	start_fake rows rows
	row op config "$(site_conf 3 '"k1"')"
	$2
	for v in a b c; do view $v; done
	start_all
	_c=$((_c + 1))
	for kind in named unnamed; do
		for j in $(seq "$each"); do
			case $((j % 3)) in 0) v=a ;; 1) v=b ;; *) v=c ;; esac
			begin "$kind$_c-$j" $v
		done
	done
	for kind in named unnamed; do
		for j in $(seq "$each"); do wait_for has_line "$tmp/$kind$_c-$j.all" '^id: 2'; done
	done
	$3
	kill_all
	$4
	start_all
	for kind in named unnamed; do
		_on=0 _lost=0 _anew=0 _other=0 _mixed=0
		for j in $(seq "$each"); do
			case $((j % 3)) in 0) v=b ;; 1) v=c ;; *) v=a ;; esac
			# VMs may not know each other's new addresses yet, and what is recorded
			# is not read again at once.
			for _try in $(seq 12); do
				go_on $v "$kind$_c-$j" $kind
				[ "$got" = 503 ] && grep -q '^Retry-After' "$tmp/head" || break
				sleep 0.4
			done
			_began=$(sed -n 's/^data: \(v[0-9]*\)t.*/\1/p' "$tmp/$kind$_c-$j.had" | head -1)
			case $got in
			200) _on=$((_on + 1)) ;;
			503) if grep -q '^Camphorquay-Begin-Anew' "$tmp/head"; then _anew=$((_anew + 1)); else _other=$((_other + 1)); fi ;;
			*) _other=$((_other + 1)) ;;
			esac
			case "$got $serving" in 503*$_began*) _lost=$((_lost + 1)) ;; esac
			[ "$(sed -n 's/^data: \(v[0-9]*\)t.*/\1/p' "$tmp/$kind$_c-$j.had" | sort -u | wc -l)" -le 1 ] || _mixed=$((_mixed + 1))
		done
		echo "$1, $kind: mixed $_mixed; $(if [ $_on = 0 ]; then echo "none goes on"; elif [ $_lost = 0 ]; then echo "all of the builds that serve go on"; else echo "$_on go on"; fi), $(if [ $((_on + _anew)) = "$each" ]; then echo "all others begin anew"; else echo "$_other others"; fi)"
	done
	kill_all
}

for s in p q r s; do
	case $s in [pq]) build=v1 ;; *) build=v2 ;; esac
	start_fake $s server
	control $s "{\"id\":\"i-$s\",\"events\":8,\"event_ms\":150,\"build\":\"$build\"}"
done

_c=0
nothing() { :; }
only_v1() { v1; }
both() { v1; v2; }
serving=v1
case_of 'one version' only_v1 nothing nothing
serving='v1 v2'
case_of 'both, as before' both nothing nothing
case_of 'a new one came meanwhile' only_v1 nothing v2
serving=v2
drain_v1() { v2; v1 draining; }
case_of 'the new one, the old one drains' both nothing drain_v1
leaves_just_before() { no_v1; for v in a b c; do wait_for has_line "$tmp/$v.log" 'endpoint=i-p outcome=removed'; done; }
case_of 'the old one left just before' both leaves_just_before nothing
case_of 'the old one left meanwhile' both nothing no_v1
replaced() { no_v1; v2; }
case_of 'replaced meanwhile' only_v1 nothing replaced
