# A deployment without workspaces gets a configuration while a request is
# between two attempts.  Guards against a VM that crashes on it and closes the
# connections of all its callers.
. ./lib.sh || exit 1
. ./site.sh
open_conf() { site_conf "$1" '' | sed -e '/^"Tenants"/d' -e 's/^\("Limits".*\),$/\1}/'; }
start_fake rows rows
row op config "$(open_conf 3)"
for s in p q; do server $s app; done
entry a
wait_for is_ready a

# between CONF: a request whose first attempt is cut under one configuration
# and whose second is sent under the next.
between() {
	for s in p q; do control $s '{"delay_ms":600,"drop":1}'; done
	id=r$1 ask a /safe/x >"$tmp/first" &
	asked=$!
	wait_for grep -q "event=ran.*X-Attempt-Id=r$1" "$tmp/p.err" "$tmp/q.err"
	row op config "$(open_conf "$1")"
	if has_line "$tmp/p.err" "X-Attempt-Id=r$1"; then control q '{"drop":0}'; else control p '{"drop":0}'; fi
	wait_for has_line "$tmp/a.log" "event=conf outcome=in_force conf=$1"
	wait $asked
	cat "$tmp/first"
}
echo "== a request with a key that nothing asks for"
between 4
echo "== a request without a key"
no_key=1 between 5
echo "== the VM serves on"
for s in p q; do control $s '{"delay_ms":0,"drop":0}'; done
no_key=1 ask a /safe/x
no_key=1 ask a /once/x -d y
