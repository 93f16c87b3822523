# Guards against a stream that is taken for a broken one after its end mark,
# and against one without a length that is taken for a complete one before it.
. ./lib.sh || exit 1

usual_base m1 m2
start_vm a

# stream NAME: what the caller gets, and how many runs that took.
stream() {
	_before=$(grep -c event=send "$tmp/a.log")
	post a ws /v1/completions "$(prompt tale 8 true)" >/dev/null
	echo "$1: curl exit code $?, tokens: $(events), $(finished), error event $(grep -c '^event: error' "$tmp/body"), runs $(($(grep -c event=send "$tmp/a.log") - _before))"
}

for e in m1 m2; do control $e '{"break_at_end":1}'; done
stream "closed after the end mark"
for e in m1 m2; do control $e '{"break_at_end":0,"unframed":1}'; done
stream "no length"
for e in m1 m2; do control $e '{"break_after":3,"breaks":9,"break_resumed":1}'; done
stream "no length, closed before the end mark"
