# A seeded run of three VMs on the platform's path with faults that overlap:
# VMs are killed, stopped, suspended; the platform's store is silent; endpoints
# name limits, ask for rest, leave and start again, lose answers; entries lapse.
# Callers keep their connections. Then what callers and endpoints saw is checked.
#   soak.sh [SEED [SECONDS]]
. ./lib.sh || exit 1
. ./site.sh
RANDOM=${1:-1}
length=${2:-25}
vms='a b c'
endpoints='p q r s'

stamp() { date -u +%Y-%m-%dT%H:%M:%S.%6NZ; }
# note EVENT NAME [VALUE]: for the checker.
note() { echo "time=$(stamp) note=$1 name=$2 value=${3:-0}" >>"$tmp/notes"; }
draw() { echo $((RANDOM % $1)); }
one_of() {
	shift "$(draw $#)"
	echo "$1"
}

# Each request that a VM sends is to be in its log.
log_lines_s=0

# Requests of VM $1 over a kept connection, a new one each time it is gone.
caller() {
	_k=0
	while [ ! -e "$tmp/end" ]; do
		eval "_f=\$(cat $tmp/front.$1)"
		_k=$((_k + 1))
		curl -s --noproxy '*' --max-time 8 --rate 150/s -o /dev/null -w '%{http_code} %{url_effective}\n' \
			-H 'Host: h.example' -H 'Authorization: Token k1' -H "X-Attempt-Id: $1.$2.$_k" \
			-H 'X-Deadline-Ms: 3000' "http://$_f/$3/$1.$2.$_k.[1-40]" >>"$tmp/got.$1.$2"
	done
}
begin() {
	entry "$1"
	eval "echo \$front_$1" >"$tmp/front.$1.new"
	mv "$tmp/front.$1.new" "$tmp/front.$1"
}
ends=0
# end VM SIGNAL: the process, and start another one.
end() {
	eval "_pid=\$pid_$1"
	jobs -pr | grep -qx "$_pid" || echo "$1 ended by itself"
	note restart "$1"
	kill "-$2" "$_pid"
	eval "wait \$pid_$1" 2>/dev/null
	ends=$((ends + 1))
	cp "$tmp/$1.log" "$tmp/$1.log.$ends"
	begin "$1"
	note restart "$1"
}
list() { row servers "i-$1" "{\"Service\":\"app\",\"Address\":\"127.0.0.1:$(eval echo \$port_"$1")\",\"Zone\":\"d1\",\"Slots\":8,\"State\":\"ready\",\"born\":$(cat "$tmp/born.$1")}"; }

start_fake rows rows
row op config "$(site_conf 3 '"k1"')"
for e in $endpoints; do
	start_fake "$e" server
	echo 1700000000000 >"$tmp/born.$e"
	control "$e" "{\"id\":\"i-$e\",\"born\":1700000000000}"
	list "$e"
done
for v in $vms; do begin "$v"; done
for v in $vms; do wait_for is_ready "$v"; done
for v in $vms; do wait_for has_line "$tmp/$v.log" 'event=vms_listed vms=3 .*self=yes'; done
callers=
for v in $vms; do
	caller "$v" 1 open &
	callers="$callers $!"
	caller "$v" 2 once &
	callers="$callers $!"
done

# What ends by itself: "TICK COMMAND..." lines.
: >"$tmp/later"
tick=0
after() { echo "$((tick + $1)) $2" >>"$tmp/later"; }
due() {
	mv "$tmp/later" "$tmp/due"
	: >"$tmp/later"
	while read -r at what; do
		if [ "$at" -le $tick ] || [ "${1:-}" = all ]; then eval "$what"; else echo "$at $what" >>"$tmp/later"; fi
	done <"$tmp/due"
}
resume() { eval "kill -CONT \$pid_$1" && note freeze "$1" && rm -f "$tmp/frozen.$1"; }
start_again() {
	echo $(($(cat "$tmp/born.$1") + 1000)) >"$tmp/born.$1"
	control "$1" "{\"leaving\":0,\"born\":$(cat "$tmp/born.$1")}"
	note stays "$1"
	list "$1"
	rm -f "$tmp/leaving.$1"
}
lift() { control "$1" '{"limit":""}' && note lift "$1"; }
fault() {
	v=$(one_of $vms) e=$(one_of $endpoints)
	case $(draw 9) in
	0)
		[ -e "$tmp/frozen.$v" ] && return
		end "$v" KILL
		;;
	1)
		[ -e "$tmp/frozen.$v" ] && return
		end "$v" TERM
		;;
	2)
		[ -e "$tmp/frozen.$v" ] && return
		: >"$tmp/frozen.$v"
		note freeze "$v"
		eval "kill -STOP \$pid_$v"
		after $((1 + $(draw 4))) "resume $v"
		;;
	3)
		control rows '{"silent":1}'
		after $((1 + $(draw 6))) "control rows '{\"silent\":0}'"
		;;
	4)
		limit=$((2 + $(draw 5)))
		note limit "$e" $limit
		control "$e" "{\"limit\":\"$limit\"}"
		after $((14 + $(draw 10))) "lift $e"
		;;
	5)
		control "$e" "{\"refuse\":$((1 + $(draw 30))),\"rest\":\"3\"}"
		;;
	6)
		[ -e "$tmp/leaving.$e" ] && return
		: >"$tmp/leaving.$e"
		note leaves "$e"
		control "$e" '{"leaving":1}'
		after $((8 + $(draw 8))) "start_again $e"
		;;
	7)
		control "$e" "{\"drop\":$(draw 4)}"
		;;
	8)
		drop_row servers "i-$e"
		after $((1 + $(draw 5))) "list $e"
		;;
	esac
}
until=$(($(date +%s) + length))
while [ "$(date +%s)" -lt $until ]; do
	sleep 0.4
	tick=$((tick + 1))
	due
	fault
done
due all
: >"$tmp/end"
# shellcheck disable=SC2086
wait $callers

# What reached endpoints, and the notes, in the order of time.
for e in $endpoints; do
	sed -n "s/^\(time=[^ ]*\) event=\(ran\|refused\) .*target=\/\([a-z]*\)\/\([a-z]\)\.\([^ ]*\).*/\1 \2 name=$e vm=\4 kind=\3 key=\4.\5/p" "$tmp/$e.err"
done >"$tmp/seen"
# Which VM sent a request there: not the caller's, if that one forwarded it.
cat "$tmp"/[abc].log* | sed -n 's/^\(time=[^ ]*\) .* vm=\([^ ]*\) .*event=send req=\([^ ]*\) .*endpoint=i-\([^ ]*\) .*/\1 sends name=\4 vm=\2 req=\3/p' >"$tmp/sends"
cat "$tmp"/got.* | sed 's/ .*\// /' >"$tmp/got"
sort "$tmp/seen" "$tmp/notes" "$tmp/sends" | awk -f soak.awk
awk 'FNR == NR { if ($2 == "ran") { sub(/key=/, "", $6); n[$6]++; if ($5 == "kind=once" && n[$6] == 2) print "ran twice: " $6 }; next }
	($1 == 503 || $1 == 429) && n[$2] { print "refused and ran: " $2 }' "$tmp/seen" "$tmp/got"
served=$(grep -c '^200' "$tmp/got")
[ "$served" -gt 200 ] && echo "callers were served"
for v in $vms; do wait_for eval "[ \"\$(ask $v /open/x)\" = 200 ]"; done
echo "all VMs serve"
[ -n "${TALK:-}" ] && awk '{ n[$1]++ } END { for (s in n) print s, n[s] }' "$tmp/got" && sed 's/.*note=//' "$tmp/notes" | sort | uniq -c
exit 0
