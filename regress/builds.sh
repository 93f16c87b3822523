# Guards against streams that hold events of two versions of the endpoints'
# software.
. ./lib.sh || exit 1
. ./site.sh

# begin VM ID: a caller that leaves in the middle of its stream.
begin() {
	: >"$tmp/$2.all"
	eval "_f=\$front_$1"
	curl -sN --noproxy '*' --max-time 20 -o "$tmp/$2.all" -H 'Host: h.example' -H 'Authorization: Token k1' \
		-H "X-Attempt-Id: $2" -H 'X-Deadline-Ms: 5000' -d x "http://$_f/tell/$2" &
	_pid=$!
	wait_for has_line "$tmp/$2.all" '^id: 2'
	kill $_pid 2>/dev/null
	wait $_pid 2>/dev/null
}

# go_on VM ID [N]: takes the stream up again as the N-th attempt; status.
go_on() {
	_last=$(sed -n 's/^id: //p' "$tmp/$2.all" | tail -1)
	out=$tmp/$2.part id=$2-$1-${3:-1} ask "$1" "/tell/$2" -d x \
		-H "Last-Event-Id: $_last" -H "Resumes: $2" >"$tmp/$2.status"
	[ "$(cat "$tmp/$2.status")" != 200 ] || cat "$tmp/$2.part" >>"$tmp/$2.all"
}

# told NAME IDS...: how many streams are whole, and hold events of two builds.
told() {
	_name=$1 _whole=0 _mixed=0
	shift
	for _i in "$@"; do
		[ "$(sed -n 's/^id: //p' "$tmp/$_i.all" | tr -d '\n')" = 123456 ] && _whole=$((_whole + 1))
		[ "$(sed -n 's/^data: \(v[0-9]*\)t.*/\1/p' "$tmp/$_i.all" | sort -u | wc -l)" -gt 1 ] && _mixed=$((_mixed + 1))
	done
	echo "$_name: $# streams, whole $_whole, on two builds $_mixed"
}

# streams NAME VM...: the first VM begins them, the others take them up in turn.
streams() {
	_set=$1 _first=$2
	shift 2
	_ids=
	for _j in $(seq 8); do
		_ids="$_ids $_set$_j"
		begin "$_first" "$_set$_j"
	done
	for _j in $_ids; do
		go_on "$1" "$_j"
		set -- "$@" "$1"
		shift
	done
	# shellcheck disable=SC2086
	told "$_set" $_ids
}

start_fake rows rows
row op config "$(site_conf 3 '"k1"')"
for s in p q r s; do
	case $s in
	[pq]) build=v1 ;;
	*) build=v2 ;;
	esac
	server $s llm m 1
	control $s "{\"events\":6,\"event_ms\":40,\"build\":\"$build\"}"
done
for v in a b c; do
	view $v
	eval "port_rows=\$view_$v entry $v"
done
for v in a b c; do wait_for is_ready $v; done
for v in a b c; do
	for o in a b c; do [ $o = $v ] || wait_for has_line "$tmp/$v.log" "event=vm_known name=$o"; done
done

streams same a a
streams other a b c
