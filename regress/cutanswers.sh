# Guards against an answer that ends early, at any attempt or on the way through
# another VM, and that its caller takes for a whole or another one.
# CUT_CASES and CUT_SEED for longer runs.
. ./lib.sh || exit 1
. ./site.sh

seed=${CUT_SEED:-1}
start_fake rows rows
row op config "$(site_conf 3 '"k1"')"
server p app
server q app
server e llm m 1
server f llm m 1
for v in a b; do
	view $v
	eval "retry_percent=100 port_rows=\$view_$v entry $v"
done
for v in a b; do wait_for is_ready $v; done

# answers NAME COUNT SHARE-OF-SILENCE: requests to VM a, and what is wrong.
answers() {
	mkdir "$tmp/$1"
	awk -v mode=plan -v seed="$seed" -v n="$2" -v hush="$3" -v name="$1" \
		-v front="$front_a" -v dir="$tmp/$1" -f cutanswers.awk >"$tmp/$1/plan"
	curl --parallel --parallel-immediate --parallel-max "${CUT_PARALLEL:-8}" -K "$tmp/$1/plan" >"$tmp/$1/results" 2>"$tmp/$1/curl.err"
	cat "$tmp"/[pqefc].err >"$tmp/$1/ran" 2>/dev/null
	echo "$1: $(awk -v mode=check -v name="$1" -v dir="$tmp/$1" -f cutanswers.awk "$tmp/$1/ran" "$tmp/$1/results" 2>"$tmp/$1/notes")"
	[ -z "${CUT_CASES:-}" ] || cat "$tmp/$1/notes" >&2
	grep FAULT "$tmp/$1/notes" | head -20
}
n=${CUT_CASES:-300}

answers direct "$n" 0.02
cut_links a 1
forwarded() { ask a /safe/first && grep -q 'event=forward ' "$tmp/a.log"; }
wait_for forwarded
answers through "$n" 0.02
