# Guards against streams that hold events of two versions of the endpoints'
# software since a VM that was out of step took them up.
. ./lib.sh || exit 1
. ./site.sh
log_lines_s=0
each=${STREAMS:-8}

begin() {
	: >"$tmp/$2.all"
	eval "_f=\$front_$1"
	curl -sN --noproxy '*' --max-time 20 -o "$tmp/$2.all" -H 'Host: h.example' -H 'Authorization: Token k1' \
		-H "X-Attempt-Id: $2" -H 'X-Deadline-Ms: 9000' -d x "http://$_f/tell/$2" 2>/dev/null &
	callers="$callers $!"
}
# An event that was cut off is none.
events_of() { awk 'BEGIN { RS = ""; ORS = "\n\n" } /^id: [0-9]+\ndata: v[0-9]t[0-9]+$/' "$1"; }

# come_back ID KIND: takes the stream up at b, again while it is told to.
come_back() {
	events_of "$tmp/$1.all" >"$tmp/$1.had"
	set -- "$1" "$2" -H "Last-Event-Id: $(sed -n 's/^id: //p' "$tmp/$1.had" | tail -1)"
	[ "$2" = unnamed ] || set -- "$@" -H "Resumes: $1"
	_id=$1
	shift 2
	for _try in 1 2 3 4 5 6 7 8; do
		curl -s --noproxy '*' --max-time 20 -o "$tmp/$_id.part" -D "$tmp/$_id.head" -w '%{http_code}\n' \
			-H 'Host: h.example' -H 'Authorization: Token k1' -H "X-Attempt-Id: $_id-$_try" \
			-H 'X-Deadline-Ms: 5000' -d x "$@" "http://$front_b/tell/$_id" >"$tmp/$_id.status"
		! grep -q 200 "$tmp/$_id.status" || cat "$tmp/$_id.part" >>"$tmp/$_id.had"
		grep -q '^Retry-After' "$tmp/$_id.head" && [ $_try -lt "$tries" ] || break
		sleep 0.4
	done
}

signal() {
	_signal=$1
	shift
	for _v in "$@"; do eval "kill $_signal \$pid_$_v"; done
}
list() { build=$2 list_server "$1" "${service:-llm}" m 1; }
knows() { has_line "$tmp/$1.log" "endpoint=i-$2 outcome=ready"; }
start_all() {
	for v in $vms; do
		view $v
		eval "port_rows=\$view_$v entry $v"
	done
	for v in $vms; do
		wait_for is_ready $v
		wait_for has_line "$tmp/$v.log" "event=vms_listed vms=$(echo $vms | wc -w)"
	done
}
end_all() {
	signal -9 $vms
	for v in $vms; do eval "wait \$pid_$v"; done
	die rows
} 2>/dev/null

# counted KIND: what came of its streams.
counted() {
	_on=0 _mixed=0
	for j in $(seq "$each"); do
		! grep -q 200 "$tmp/$1$_c-$j.status" || _on=$((_on + 1))
		[ "$(sed -n 's/^data: \(v[0-9]*\)t.*/\1/p' "$tmp/$1$_c-$j.had" | sort -u | wc -l)" -le 1 ] || _mixed=$((_mixed + 1))
	done
	echo "$case_name, $1: mixed $_mixed$([ "$goes_on" != "$1" ] || echo "; $([ $((_on * 2)) -ge "$each" ] && echo "half or more go on" || echo "only $_on go on")")"
}

# case_of NAME: VM b stands still for still_s; meanwhile what change does is
# known to the others, and streams begin there.
case_of() {
	case_name=$1 callers=
	_c=$((_c + 1))
	start_fake rows rows
	row op config "$(site_conf 3 '"k1"')"
	for s in p q; do list $s v1; done
	start_all
	[ -z "${settle_s:-}" ] || sleep "$settle_s"
	[ $lost = 0 ] || control rows '{"lost_b":1}'
	[ "$still_s" != 0 ] || sleep 1
	[ "$still_s" = 0 ] || signal -STOP b
	$change
	for kind in named unnamed; do
		for j in $(seq "$each"); do begin "$([ $((j % 2)) = 0 ] && echo a || echo c)" "$kind$_c-$j"; done
	done
	for kind in named unnamed; do
		for j in $(seq "$each"); do wait_for has_line "$tmp/$kind$_c-$j.all" '^id: 2'; done
	done
	# shellcheck disable=SC2086
	{ kill $callers && wait $callers; } 2>/dev/null
	[ "$still_s" = 0 ] || sleep "$still_s"
	[ $others = 1 ] || signal -STOP $(echo $vms | sed s/b//)
	[ $store = 0 ] || control rows '{"lost_b":0}'
	[ "$still_s" = 0 ] || signal -CONT b
	sleep "$after_s"
	_back=
	for kind in named unnamed; do
		for j in $(seq "$each"); do
			come_back "$kind$_c-$j" $kind &
			_back="$_back $!"
		done
	done
	# shellcheck disable=SC2086
	wait $_back
	for kind in named unnamed; do counted $kind; done
	end_all
}

for s in p q r s; do
	case $s in [pq]) build=v1 ;; *) build=v2 ;; esac
	start_fake $s server
	control $s "{\"id\":\"i-$s\",\"events\":8,\"event_ms\":150,\"build\":\"$build\"}"
done
new_ones() {
	for s in r s; do list $s v2; done
	for v in $vms; do for s in r s; do [ $v = b ] || wait_for knows $v $s; done; done
}
nothing() { :; }
# The route leads to another service.
moves() {
	for s in r s; do service=llm2 list $s v2; done
	row op config "$(site_conf 4 '"k1"' | sed '/"Name":"tell"/s/"llm"/"llm2"/; s/"Services":\[/&{"Name":"llm2","Engine":{"Slots":8,"Models":[{"Name":"m"}]}},/')"
	for v in $vms; do
		[ $v = b ] || wait_for has_line "$tmp/$v.log" 'event=conf outcome=in_force conf=4'
		for s in r s; do [ $v = b ] || wait_for knows $v $s; done
	done
}

_c=0 vms='a b c' tries=6 change=new_ones
lost=1 still_s=0.3 after_s=0
goes_on='' store=0 others=0 case_of 'nothing is back'
goes_on='' store=0 others=1 case_of 'the other VMs are back'
goes_on=named store=1 others=0 case_of 'the store is back'
goes_on=named store=1 others=1 case_of 'both are back'
goes_on=named store=1 others=1 after_s=0.5 case_of 'both are back for 0.5 s'
lost=0 goes_on=named store=1 others=1 case_of 'it stood still'
lost=1 still_s=0 goes_on='' store=0 others=1 case_of 'it has no store'
revoke_ms=30000 still_s=6
goes_on='' store=0 others=0 case_of 'old settings, nothing is back'
goes_on='' store=0 others=1 after_s=0.3 case_of 'old settings, the other VMs are back'
goes_on=named store=1 others=1 case_of 'old settings, both are back'
revoke_ms=5000 still_s=0.3
lost=1 change=nothing goes_on=unnamed store=1 others=1 case_of 'one version alone, both are back'
change=moves goes_on='' store=0 others=1 case_of 'the route moved, the other VMs are back'
change=moves goes_on=named store=1 others=1 case_of 'the route moved, both are back'
change=moves lost=0 goes_on=named store=1 others=1 after_s=2 case_of 'the route moved, it stood still before'
# The VM reads the list from others.
share_vms=3 drain_ms=5000 apply_ms=5000 vms='a b c d e' settle_s=6
lost=1 still_s=0.3 change=new_ones
goes_on='' store=0 others=0 case_of 'others read for it, nothing is back'
goes_on=named store=1 others=1 case_of 'others read for it, both are back'
change=nothing goes_on=unnamed store=1 others=1 case_of 'others read for it, one version alone'
