# Guards against streams that hold events of two versions of the endpoints'
# software.
. ./lib.sh || exit 1
. ./site.sh
# All lines are matched below, also those of a busy second.
log_lines_s=0

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

refused() { sed -n 's/\r$//; s/^Retry-After: .*/Retry-After/p; s/^\(Camphorquay-Begin-Anew\).*/\1/p' "$tmp/head" | tr '\n' ' '; }
runs_of() { runs "Attempt-Id=$1 "; }

start_fake rows rows
row op config "$(site_conf 3 '"k1"' | sed 's/"Tenants":\[/&{"Name":"dyers","ApiKeys":["k2"]},/')"
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
# The VMs are in the list that each of them read.
all_known() { grep -q "event=vms_listed vms=3" "$tmp/$1.log"; }
for v in a b c; do
	wait_for is_ready $v
	wait_for all_known $v
done

streams same a a
streams other a b c

echo "== again and again, and several at once"
begin a again
for v in b c a b; do
	_last=$(sed -n 's/^id: //p' "$tmp/again.all" | tail -1)
	[ "$_last" -lt 5 ] || break
	out=$tmp/again.part id=again-$v ask $v /tell/again -d x --max-time 0.1 \
		-H "Last-Event-Id: $_last" -H 'Resumes: again' >/dev/null
	# A part of an event is not an event.
	awk 'BEGIN { RS = ""; ORS = "\n\n" } /^id: [0-9]+\ndata: v[0-9]t[0-9]$/' "$tmp/again.part" >>"$tmp/again.all"
done
go_on c again 5
told again again
begin a once
for v in a b c; do
	cp "$tmp/once.all" "$tmp/once$v.all"
	(
		out=$tmp/once$v.part id=once-$v ask $v /tell/once -d x \
			-H "Last-Event-Id: $(sed -n 's/^id: //p' "$tmp/once.all" | tail -1)" -H 'Resumes: once' >/dev/null
		cat "$tmp/once$v.part" >>"$tmp/once$v.all"
	) &
	eval "job_$v=$!"
done
wait "$job_a" "$job_b" "$job_c"
told once oncea onceb oncec

echo "== what is not known runs nowhere"
# The store is read for a stream that no VM knows, but not again at once.
go_wrong() {
	sleep 0.4
	echo "$1: $(out=$tmp/wrong id=wrong-$1 key=${key:-k1} ask b /tell/x -d x -H 'Last-Event-Id: 2' "${@:2}") $(refused)ran $(runs_of "wrong-$1")"
}
go_wrong unseen -H 'Resumes: nobody'
go_wrong empty -H 'Resumes;'
go_wrong long -H "Resumes: $(head -c 3000 /dev/zero | tr '\0' x)"
go_wrong twice -H 'Resumes: again' -H 'Resumes: other1'
key=k2 go_wrong stranger -H 'Resumes: again'
go_wrong unnamed

echo "== a VM without a path to the endpoints"
cut_links b 1
isolated() { id=poll ask b /tell/x -d x >/dev/null && has_line "$tmp/b.log" 'event=forward req=poll'; }
wait_for isolated
streams forwarded b b c a
cut_links b 0

echo "== the store is away"
control rows '{"silent":1}'
streams storeless a b c
control rows '{"silent":0}'

echo "== the first VM is killed"
for j in 1 2 3 4; do begin a killed$j; done
die a
for j in 1 2 3 4; do go_on $([ $j -lt 3 ] && echo b || echo c) killed$j; done
told killed killed1 killed2 killed3 killed4

echo "== a build leaves"
for j in 1 2 3 4 5 6; do begin b leaving$j; done
for s in p q; do
	build=v1 list_server $s llm m 1 draining
	wait_for has_line "$tmp/c.log" "endpoint=i-$s outcome=draining"
done
on=0 anew=0 other=0
for j in 1 2 3 4 5 6; do
	go_on c leaving$j
	case $(cat "$tmp/leaving$j.status") in
	200) on=$((on + 1)) ;;
	503) [ "$(refused)" = 'Camphorquay-Begin-Anew ' ] && anew=$((anew + 1)) || other=$((other + 1)) ;;
	*) other=$((other + 1)) ;;
	esac
done
v2=$(cat "$tmp"/leaving?.all | grep -c '^data: v2t1$')
[ $on = "$v2" ] && [ $((on + anew)) = 6 ] && echo "those of the other build go on, the rest is to begin anew" || echo "on $on, of v2 $v2, anew $anew, other $other"
cat "$tmp"/[bc].log | grep -o 'event=take_up .* outcome=[a-z_]*' | sed 's/.*outcome=//' | sort -u
