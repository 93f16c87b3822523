# Guards against a broken stream that is ended as complete since the endpoint
# that resumes it answers with an error, on both interfaces.
. ./lib.sh || exit 1
. ./site.sh

echo "== the platform's interface"
start_fake rows rows
row op config "$(site_conf 3 '"k1"')"
server e llm m 1
server f llm m 1
entry a
wait_for is_ready a
for status in 500 404 202; do
	control e "{\"events\":6,\"break_after\":1,\"status_resumed\":$status}"
	control f "{\"events\":6,\"break_after\":1,\"status_resumed\":$status}"
	id=s$status ask a /tell/r -d p
	echo "resumed: $status, curl exit code $?, events: $(grep -c '^data' "$tmp/body"), reply: $(sed -n "s/.*event=finish req=s$status .*reply=\([^ ]*\).*/\1/p" "$tmp/a.log")"
done

echo "== the product's own interface"
usual_base m1 m2
sed -i 's/^version = v1/version = v1\nattempts = 2/' "$tmp/base.ini"
start_vm b
for status in 400 404 202; do
	control m1 "{\"break_after\":3,\"breaks\":1,\"status_resumed\":$status}"
	control m2 "{\"break_after\":3,\"breaks\":1,\"status_resumed\":$status}"
	post b ws /v1/completions "$(prompt tale 8 true)" >/dev/null
	echo "resumed: $status, curl exit code $?, tokens: $(events), $(finished), error event $(grep -c '^event: error' "$tmp/body")"
done
