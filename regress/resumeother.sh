# Guards against a broken stream that is ended as complete by an answer of
# another type, or to which the body of that answer is added.
. ./lib.sh || exit 1
. ./site.sh

start_fake rows rows
row op config "$(site_conf 3 '"k1"')"
server e llm m 1
server f llm m 1
entry a
wait_for is_ready a

# resumed NAME TEXT: a stream breaks after two of six events, and the endpoint
# that resumes it answers 200 with TEXT.
resumed() {
	for s in e f; do
		control $s "{\"events\":6,\"break_after\":1,\"status_resumed\":200,\"text_resumed\":\"$2\"}"
	done
	id=$1 ask a /tell/r -d p >/dev/null
	echo "$1: curl exit code $?, events: $(grep -c '^data' "$tmp/body"), other lines: $(grep -c other "$tmp/body"), reply: $(sed -n "s/.*event=finish req=$1 .*reply=\([^ ]*\).*/\1/p" "$tmp/a.log")"
}

resumed empty ''
resumed text 'other\n\n'
