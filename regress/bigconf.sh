# A route that was added is answered 404 for good.  The settings have grown, so
# that an answer with all of them takes longer to arrive than a whole call
# might take; each try began with the first byte again, and none ended.  And a
# VM that knows that it may be behind must not say that there is no such route.
. ./lib.sh || exit 1
. ./site.sh
wait_bound=${WAIT_BOUND:-30}
status_is() { [ "$(ask "$1" "$2")" = "$3" ]; }

# big_conf VERSION COUNT: the site's settings, and COUNT routes more.
big_conf() {
	awk -v conf="$(site_conf "$1" '"k1"' | tr -d '\n')" -v n="$2" 'BEGIN {
		more = ""
		for (i = 0; i < n; i++)
			more = more sprintf("{\"Name\":\"r%d\",\"Host\":\"h%d.example\",\"Prefix\":\"/added%d/\",\"Kind\":\"idempotent\",\"TimeoutMs\":3000,\"Priority\":2,\"Service\":\"app\",\"MaxAttempts\":2,\"Anonymous\":false,\"Sticky\":false,\"Resumable\":false},", i, i, i)
		more = more "{\"Name\":\"new\",\"Host\":\"h.example\",\"Prefix\":\"/new/\",\"Kind\":\"idempotent\",\"TimeoutMs\":3000,\"Priority\":2,\"Service\":\"app\",\"MaxAttempts\":2},"
		sub(/"Routes":\[/, "&" more, conf)
		print conf
	}'
}

start_fake rows rows
row op config "$(site_conf 3 '"k1"')"
server p app
entry a
wait_for is_ready a
echo "== before"
ask a /new/x

echo "== many routes more, over a link that needs almost four seconds for them"
control rows '{"kb_s":60}'
row op config "$(big_conf 4 800)"
wait_for status_is a /new/x 200
echo "served"

echo "== a VM that starts now"
entry b
wait_for is_ready b
ask b /new/x

echo "== the store goes silent: what may have been added is not denied"
control rows '{"silent":1}'
ask a /unheard/x
wait_for is_unready a
ask a /unheard/x
ask a /safe/x
key=unheard ask a /safe/x
control rows '{"silent":0}'
wait_for is_ready a
ask a /unheard/x

# lost REASON: VM a's log tells what became of a call to the store.
lost() { grep -q "event=platform source=operator outcome=lost reason=$1 " "$tmp/a.log"; }

echo "== an answer falls silent midway: told, given up, and had from the next call"
control rows '{"halt_kb":40}'
row op config "$(big_conf 5 801)"
wait_for lost stalled
control rows '{"halt_kb":0}'
grep 'outcome=lost reason=stalled ' "$tmp/a.log" | sed -n '1s/.* bytes=\([0-9]*\) .*/\1/p' |
	awk '{ print ($1 >= 30000 && $1 <= 50000) ? "some 40 KB had come" : "bytes: " $1 }'
wait_for has_line "$tmp/a.log" 'outcome=in_force conf=5 '
echo "in force"

echo "== an answer is over the limit: told as that, and nothing is denied"
control rows '{"kb_s":0}'
row op config "$(big_conf 6 18000)"
wait_for lost too_large
wait_for status_is a /unheard/x 503
echo "told"
