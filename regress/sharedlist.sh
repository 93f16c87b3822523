# Guards against a platform that each VM polls by itself, and against VMs that
# learn too late what the few that poll it know.  Four VMs, then eight, share the
# reading: the calls do not grow with them.  A new endpoint, the loss of all
# readers, and a revoked key reach every VM in time; a stranger gets nothing.
. ./lib.sh || exit 1
. ./site.sh
share_vms=3 drain_ms=5000 apply_ms=5000
calls_in() { _c=$(stat rows calls); sleep "$1"; echo $(($(stat rows calls) - _c)); }
# has_role VM ROLE: its last one.
has_role() { [ "$(sed -n 's/.*event=list_role outcome=\([a-z]*\) .*/\1/p' "$tmp/$1.log" | tail -1)" = "$2" ]; }
settled() {
	_readers=''
	for _v in "$@"; do
		if has_role "$_v" reader; then _readers="$_readers $_v"; else has_role "$_v" client || return 1; fi
	done
	[ "$(echo $_readers | wc -w)" = 2 ]
}
known_at() { for _v in "${@:2}"; do has_line "$tmp/$_v.log" "event=endpoint endpoint=i-$1 outcome=ready" || return 1; done; }
start_fake rows rows
row op config "$(site_conf 3 '"k1","k2"')"
server p app
for v in a b c d; do entry $v; done
for v in a b c d; do wait_for is_ready $v; done
wait_for settled a b c d
sleep 8
four=$(calls_in 5)
for v in e f g h; do entry $v; done
for v in e f g h; do wait_for is_ready $v; done
wait_for settled a b c d e f g h
sleep 8
eight=$(calls_in 5)
# A VM alone polls the list once a second, and the operators' rows every 2.2 s.
[ "$eight" -lt $((four + 7)) ] && echo "four more VMs make fewer calls than one alone" || echo "calls in 5 s: $four from four VMs, $eight from eight"

echo "== a new endpoint"
server q app
wait_bound=4 wait_for known_at q a b c d e f g h
echo "known everywhere"

echo "== a stranger"
list=$(sed -n 's/.*event=listen address=\([^ ]*\).*/\1/p' "$tmp/h.log" | tail -1)
for w in x "$(head -c 84 /dev/zero | tr '\0' y)" "$(head -c 5000 /dev/zero | tr '\0' y)"; do
	curl -s --noproxy '*' --max-time 5 -o "$tmp/body" -w '%{http_code}\n' -d "$w" "http://$list/list"
done

echo "== the readers die"
gone=$_readers left=''
for v in a b c d e f g h; do case " $gone " in *" $v "*) die $v ;; *) left="$left $v" ;; esac; done
server r app
# shellcheck disable=SC2086
wait_bound=5 wait_for known_at r $left
echo "known to the others"

echo "== a key is revoked"
row op config "$(site_conf 5 '"k2"')"
sleep 5
for v in $left; do key=k1 ask $v /safe/x; done | sort | uniq -c | tr -s ' '
for v in $left; do key=k2 ask $v /safe/x; done | sort | uniq -c | tr -s ' '
