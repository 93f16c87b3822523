# Guards against a part of an answer that looks whole since the VM it came
# through was killed or frozen.
# DIES_ROUNDS and DIES_SEED for longer runs.
. ./lib.sh || exit 1
. ./site.sh

RANDOM=${DIES_SEED:-1}
start_fake rows rows
row op config "$(site_conf 3 '"k1"')"
server p app
server q app
server e llm m 1
server f llm m 1
for v in a b; do
	view $v
	eval "port_rows=\$view_$v entry $v"
done
for v in a b; do wait_for is_ready $v; done
cut_links a 1
forwarded() { ask a /safe/first && grep -q 'event=forward ' "$tmp/a.log"; }
wait_for forwarded
for s in e f; do control $s '{"events":6,"event_ms":40}'; done
for s in p q; do control $s '{"delay_ms":120}'; done

# one KIND ID: a request through b, its result in $tmp/r.ID.
one() {
	printf '%s' "body of $2" >"$tmp/sent.$2"
	eval "_f=\$front_a"
	curl -s --noproxy '*' --max-time 10 -o "$tmp/body.$2" -D "$tmp/head.$2" -w '%{http_code} %{exitcode} %{time_total}\n' \
		-H 'Host: h.example' -H 'Authorization: Token k1' -H "X-Attempt-Id: $2" -H 'X-Deadline-Ms: 1500' \
		--data-binary "@$tmp/sent.$2" "http://$_f/$1/$2" >"$tmp/r.$2"
}

# verdict KIND ID: what is wrong with its answer.
verdict() {
	touch "$tmp/body.$2"
	read -r status code took <"$tmp/r.$2"
	ran=$(runs "Attempt-Id=$2 ")
	got=$(sed -n 's/^data: //p' "$tmp/body.$2" | tr '\n' ' ')
	whole='t1 t2 t3 t4 t5 t6 '
	answered=$((answered + (status == 200 && code == 0)))
	broken=$((broken + (status == 200 && code != 0)))
	late=$((late + (10#${took/./} > 2000000)))
	if [ $status = 200 ]; then
		grep -q '^X-Server-Seal' "$tmp/head.$2" || echo "$2: no seal"
		if [ $1 != tell ]; then
			[[ "$(cat "$tmp/body.$2")" = i-[pq]" ran /$1/$2 body of $2" ]] && [ $code = 0 ] || echo "$2: not the whole answer, $code"
		elif [ $code = 0 ]; then
			[ "$got" = "$whole" ] || echo "$2: looks whole: $got"
		else
			[ "${whole#"$got"}" != "$whole" ] || [ -z "$got" ] || echo "$2: not the first events: $got"
		fi
	fi
	[ $status != 000 ] || echo "$2: no answer, curl exit code $code"
	[ $1 = tell ] || [ "$ran" -le $([ $1 = once ] && echo 1 || echo 2) ] || echo "$2: ran $ran times"
	case $1,$status in once,503 | once,429 | once,408 | once,421) [ "$ran" = 0 ] || echo "$2: refused with $status, and ran" ;; esac
}

rounds=${DIES_ROUNDS:-3} # the VM is frozen in all but the last, and killed then
answered=0 broken=0 late=0 requests=0
for round in $(seq "$rounds"); do
	asked=
	for i in 1 2 3 4; do
		for k in safe once tell; do
			one $k $round-$k-$i &
			asked="$asked $!"
		done
	done
	sleep "0.$(printf %03d $((RANDOM % 250)))"
	if [ "$round" = "$rounds" ]; then
		die b
	else
		kill -STOP "$pid_b"
	fi
	# shellcheck disable=SC2086
	wait $asked
	for i in 1 2 3 4; do
		for k in safe once tell; do
			requests=$((requests + 1))
			verdict $k $round-$k-$i
		done
	done
	[ "$round" != "$rounds" ] || break
	kill -CONT "$pid_b"
	passes() { id=again-$round-$((n = n + 1)) ask a /safe/again && [ "$(grep -c ran "$tmp/body")" = 1 ]; }
	wait_for passes
done
[ -z "${DIES_ROUNDS:-}" ] || echo "whole $answered, broken streams $broken, late $late" >&2
echo "$requests requests, more than half late: $([ $((2 * late)) -gt $requests ] && echo yes || echo no)"
