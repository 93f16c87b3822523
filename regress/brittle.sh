# Guards against brittle endpoints that fall over under the requests that they
# have to turn away.
. ./lib.sh || exit 1
. ./site.sh
. ./load.sh

start_fake rows rows
row op config "$(site_conf 3 '"k1"')"
for e in p q r s; do
	server $e app
	control $e '{"slots":3,"queue":12,"delay_ms":400,"fall_ms":2000}'
done
for v in a b c; do
	view $v
	eval "port_rows=\$view_$v entry $v"
done
for v in a b c; do wait_for is_ready $v; done
for v in a b c; do wait_for ask $v /safe/first; done

# press NAME SECONDS: 1.5 times what the endpoints' slots serve, 30 a second.
press() {
	_tries=
	_began=$(now_ms)
	for _i in $(seq $(($2 * 15))); do
		for _v in a b c; do
			try $_v safe "$1-$_v-$_i" &
			_tries="$_tries $!"
		done
		_left=$((_began + _i * 1000 / 15 - $(now_ms)))
		[ $_left -le 0 ] || sleep "$(printf '0.%03d' $_left)"
	done
}

for e in p q r s; do control $e '{"brittle":4}'; done
press told 3
for e in p q r s; do control $e '{"queue":0}'; done
from=$(now_ms)
press brittle 10
# shellcheck disable=SC2086
wait $_tries
falls=$(cat "$tmp"/[pqrs].err | grep -c 'event=fell')
# 2 and a tenth of four endpoints.
if [ "$falls" -le 2 ]; then echo "falls: as allowed"; else echo "falls: $falls"; fi
# Also the requests of before that are answered within these ten seconds.
served=0
for t in $(grep -l ' 200$' "$tmp"/try.*); do
	at=$(cat "$tmp/at.${t##*/try.}")
	[ "$at" -lt "$from" ] || [ "$at" -ge $((from + 10000)) ] || served=$((served + 1))
done
# A slot is held for 400 ms, and longer where the machine is busy.
held=$(cat "$tmp"/[pqrs].err | sed -n 's/.*event=released .*held_ms=\([0-9]*\).*/\1/p' | awk '$1 >= 400 { s += $1; n++ } END { printf "%d", s / n }')
could=$((12 * 10000 / held))
if [ $((served * 10)) -ge $((could * 9)) ]; then echo "served: 0.9 of what the slots give"; else echo "served: $served of $could"; fi
[ -z "${TALK:-}" ] || echo "$served of $could, held for $held ms"
