# Guards against streams that miss an event, have one twice, are joined from two
# runs or builds, or end as complete before their last event, under seeded faults.
#   streamstorm.sh [SEED [SECONDS [CALLERS]]]
. ./lib.sh || exit 1
. ./site.sh
RANDOM=${1:-1}
seed=${1:-1}
length=${2:-20}
callers=${3:-24}
vms=${VMS:-abc}
# All requests and all that follows from them are to be in the logs.
log_lines_s=0
# 1: a VM may be suspended without the store, and one is while a new build comes.
cutoff=${CUTOFF:-0}

draw() { echo $((RANDOM % $1)); }
one_of() {
	shift "$(draw $#)"
	echo "$1"
}
all_vms=$(echo "$vms" | sed 's/./& /g')

begin() {
	eval "port_rows=\$view_$1 entry $1"
	eval "echo \$front_$1" >"$tmp/front.$1.new"
	mv "$tmp/front.$1.new" "$tmp/front.$1"
}
logs=0
# end VM SIGNAL: the process, and start another one.
end() {
	eval "_pid=\$pid_$1"
	jobs -pr | grep -qx "$_pid" || echo "$1 ended by itself"
	kill "-$2" "$_pid"
	wait "$_pid" 2>/dev/null
	logs=$((logs + 1))
	cp "$tmp/$1.log" "$tmp/$1.log.$logs"
	begin "$1"
}

# Endpoints: SLOT is a letter, its stand-ins are SLOT0, SLOT1...
rounds=0
# serve SLOT BUILD: a new stand-in with an id of its own.
serve() {
	rounds=$((rounds + 1))
	eval "at_$1=$1$rounds build_$1=$2"
	start_fake "$1$rounds" server
	control "$1$rounds" "{\"id\":\"i-$1$rounds\",\"build\":\"$2\",\"storm\":$((seed * 100 + rounds)),\"storm_cuts\":${CUTS:-35},\"storm_undelimited\":${UNDELIMITED:-12}}"
	list "$1"
}
list() { eval "build=\$build_$1 list_server \$at_$1 llm m 1 ${2:-ready}"; }
unlist() { eval "drop_row servers i-\$at_$1"; }

case_conf() {
	site_conf 3 '"k1"' | sed 's|{"Name":"short"|{"Name":"keep","Host":"h.example","Prefix":"/keep/","Kind":"streaming","TimeoutMs":8000,"Priority":1,"Service":"llm","MaxAttempts":2,"Sticky":true},&|; s|"TimeoutMs":8000|"TimeoutMs":12000|g'
}

start_fake rows rows
row op config "$(case_conf)"
# Of odd seeds, one build serves alone at first.
alone=$((seed % 2))
pick_build() { if [ $alone = 1 ]; then echo v1; else echo "v$1"; fi; }
serve p v1
serve q v1
serve r "$(pick_build 2)"
serve s "$(pick_build 2)"
serve t "$(pick_build 3)"
for v in $all_vms; do view "$v"; done
for v in $all_vms; do begin "$v"; done
for v in $all_vms; do wait_for is_ready "$v"; done
for v in $all_vms; do wait_for has_line "$tmp/$v.log" "event=vms_listed vms=${#vms} .*self=yes"; done

./streamcalls "$tmp" "$vms" "$callers" "$length" "$seed" "${UNNAMED:-40}" "${UNNUMBERED:-8}" >"$tmp/called" 2>&1 &
calls=$!

# What ends by itself: "TICK COMMAND..." lines.
: >"$tmp/later"
: >"$tmp/notes"
tick=0
after() { echo "$((tick + $1)) $2" >>"$tmp/later"; }
due() {
	mv "$tmp/later" "$tmp/due"
	: >"$tmp/later"
	while read -r at what; do
		if [ "$at" -le $tick ] || [ "${1:-}" = all ]; then eval "$what"; else echo "$at $what" >>"$tmp/later"; fi
	done <"$tmp/due"
}
note() { echo "$(date -u +%H:%M:%S.%3N) $*" >>"$tmp/notes"; }
resume() {
	eval "kill -CONT \$pid_$1"
	rm -f "$tmp/held.$1" "$tmp/frozen"
}
silent() { control rows "{\"silent\":$1}" && if [ "$1" = 1 ]; then : >"$tmp/away"; else rm -f "$tmp/away"; fi; }
replace() {
	rm -f "$tmp/leaving.$1"
	serve "$1" "$2"
}
leave() {
	unlist "$1"
	eval "die \$at_$1"
}
fault() {
	v=$(one_of $all_vms) e=$(one_of p q r s t) b=$(pick_build $((1 + $(draw 3))))
	kind=$(draw 11)
	note "$kind $v $e $b"
	case $kind in
	0 | 1)
		[ -e "$tmp/held.$v" ] && return
		end "$v" "$([ "$kind" = 0 ] && echo KILL || echo TERM)"
		;;
	2)
		[ -e "$tmp/held.$v" ] && return
		[ -e "$tmp/away" ] && [ "$cutoff" = 0 ] && return
		: >"$tmp/held.$v"
		: >"$tmp/frozen"
		eval "kill -STOP \$pid_$v"
		after $((1 + $(draw 5))) "resume $v"
		;;
	3)
		[ -e "$tmp/frozen" ] && [ "$cutoff" = 0 ] && return
		silent 1
		after $((1 + $(draw 5))) "silent 0"
		;;
	4)
		cut_links "$v" $((1 + $(draw 2)))
		after $((1 + $(draw 5))) "cut_links $v 0"
		;;
	5)
		[ -e "$tmp/leaving.$e" ] && return
		eval "die \$at_$e"
		: >"$tmp/leaving.$e"
		after $((1 + $(draw 3))) "unlist $e"
		after $((4 + $(draw 5))) "replace $e $b"
		;;
	6)
		[ -e "$tmp/leaving.$e" ] && return
		: >"$tmp/leaving.$e"
		list "$e" draining
		after $((2 + $(draw 3))) "leave $e"
		after $((5 + $(draw 4))) "replace $e $b"
		;;
	7)
		[ -e "$tmp/leaving.$e" ] && return
		unlist "$e"
		: >"$tmp/leaving.$e"
		after $((1 + $(draw 5))) "list $e; rm -f $tmp/leaving.$e"
		;;
	8) [ -e "$tmp/leaving.$e" ] || eval "control \$at_$e '{\"refuse\":$((1 + $(draw 20)))}'" ;;
	9)
		eval "_at=\$at_$e"
		[ -e "$tmp/leaving.$e" ] || control "$_at" "{\"$(one_of drop other_id no_seal cut_head cut_head_resumed)\":$((1 + $(draw 4)))}"
		;;
	10)
		# One VM without the store.
		[ -e "$tmp/frozen" ] && [ "$cutoff" = 0 ] && return
		control rows "{\"lost_$v\":1}"
		: >"$tmp/frozen"
		after $((1 + $(draw 6))) "control rows '{\"lost_$v\":0}'; rm -f $tmp/frozen"
		;;
	esac
}
# VM $1 stands still without the store while the first of another build come.
release_behind() {
	[ -e "$tmp/held.$1" ] && return
	note "release behind $1"
	: >"$tmp/held.$1"
	control rows "{\"lost_$1\":1}"
	eval "kill -STOP \$pid_$1"
	for e in p q r; do
		[ -e "$tmp/leaving.$e" ] && continue
		leave "$e"
		serve "$e" v2
	done
	after 5 "resume $1"
	after 7 "control rows '{\"lost_$1\":0}'"
}
until=$(($(date +%s) + length))
while [ "$(date +%s)" -lt $until ]; do
	sleep 0.3
	tick=$((tick + 1))
	[ $tick -lt "$length" ] || alone=0
	[ $tick != "$length" ] || [ "$cutoff" = 0 ] || release_behind "$(one_of $all_vms)"
	due
	fault
done
due all
wait $calls
status=$?
grep -v '^streams=' "$tmp/called"
[ $status = 0 ] && echo "streams are whole, and of one build"
counted() { sed -n "s/.*\b$1=\([0-9]*\).*/\1/p" "$tmp/called"; }
[ "$(counted whole)" -gt 20 ] && [ "$(counted went_on)" -gt 5 ] && [ "$(counted several_runs)" -gt 5 ] && echo "streams were taken up and went on"
[ -n "${TALK:-}" ] && grep '^streams=' "$tmp/called"
[ $status = 0 ]
