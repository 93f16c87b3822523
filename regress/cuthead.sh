# Guards against an answer that ends with its connection in the middle of its
# head and is taken for a complete one.
. ./lib.sh || exit 1
. ./site.sh

start_fake rows rows
row op config "$(site_conf 3 '"k1"')"
server p app
server q app
server e llm m 1
server f llm m 1
entry a
wait_for is_ready a

# reply NAME STATUS: what the caller got.
reply() {
	echo "$1: curl exit code $3, status $2, body: $(tr '\n' ' ' <"$tmp/body"), reply: $(sed -n "s/.*event=finish req=$1 .*reply=\([^ ]*\).*/\1/p" "$tmp/a.log")"
}

echo "== a call that may run once, and one that is repeated"
for path in once safe; do
	control p '{"cut_head":1}'
	control q '{"cut_head":1}'
	status=$(id=$path ask a /$path/x -d p)
	reply $path "$status" $?
done

echo "== the rest of a stream"
control e '{"events":4,"break_after":1,"cut_head_resumed":1}'
control f '{"events":4,"break_after":1,"cut_head_resumed":1}'
status=$(id=tell ask a /tell/r -d p)
reply tell "$status" $?
