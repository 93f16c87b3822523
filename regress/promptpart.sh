# Guards against requests of which no two are alike and that share a part which
# crashes each endpoint, and against the hold of sound requests beside them.
. ./lib.sh || exit 1
. ./site.sh
. ./load.sh

endpoints='p q r s t u v w'
bad=bad0bad0

# keep_alive NAME: an endpoint that is back under another id half a second after
# it crashed.
keep_alive() {
	_life=0
	_port=0
	while [ ! -e "$tmp/stop" ]; do
		_life=$((_life + 1))
		# The one before said its port there, too.
		rm -f "$tmp/$1.out"
		$fake server $_port >"$tmp/$1.out" 2>>"$tmp/$1.err" &
		_pid=$!
		echo $_pid >"$tmp/$1.pid"
		until grep -q '^port=' "$tmp/$1.out" 2>/dev/null; do sleep 0.01; done
		_port=$(sed -n 's/^port=//p' "$tmp/$1.out")
		curl -sf --noproxy '*' -d "{\"id\":\"i-$1-$_life\",\"events\":3,\"delay_ms\":80,\"crash_part\":\"$bad\"}" \
			"http://127.0.0.1:$_port/control" >/dev/null
		eval "port_$1=$_port"
		row servers "i-$1-$_life" "{\"Service\":\"llm\",\"Address\":\"127.0.0.1:$_port\",\"Zone\":\"d1\",\"Slots\":16,\"Version\":\"v1\",\"Models\":[{\"Name\":\"m\",\"Version\":1}],\"State\":\"ready\"}"
		: >"$tmp/$1.listed"
		wait $_pid 2>/dev/null
		drop_row servers "i-$1-$_life"
		sleep 0.5
	done
}

# The endpoints are no jobs of this shell.
end() {
	_status=$?
	: >"$tmp/stop"
	for _e in $endpoints; do kill -9 "$(cat "$tmp/$_e.pid")"; done 2>/dev/null
	(exit $_status)
	cleanup
}
trap end EXIT

# tell VM ID PROMPT: one stream; "STATUS" in $tmp/tell.ID.
tell() {
	eval "_front=\$front_$1"
	curl -s --noproxy '*' --max-time 5 -o /dev/null -w '%{http_code}' -H 'Host: h.example' \
		-H 'Authorization: Token k1' -H "X-Attempt-Id: $2" -H 'X-Deadline-Ms: 5000' \
		-H 'X-Model: m' -H 'X-Token-Count: 900,40' -H "X-Prompt-Prefix: $3" \
		-d "body of $2" "http://$_front/tell/$2" >"$tmp/tell.$2"
}

# play NAME SECONDS BAD-PROMPT: three bad requests a second and six sound ones,
# that share the first part and another one with the bad ones.  Waits for their
# answers.
play() {
	_tells=
	_began=$(now_ms)
	for _i in $(seq $(($2 * 3))); do
		case $((_i % 3)) in 0) _v=a ;; 1) _v=b ;; 2) _v=c ;; esac
		[ -z "$3" ] || tell $_v "bad-$1-$_i" "$3,e$_i:20" &
		_tells="$_tells $!"
		tell $_v "sound-$1-$_i-1" "f1f1f1f1:300,c2c2c2c2:200,5a$_i:20" &
		_tells="$_tells $!"
		tell $_v "sound-$1-$_i-2" "f1f1f1f1:300,5b$_i:20" &
		_tells="$_tells $!"
		_left=$((_began + _i * 1000 / 3 - $(now_ms)))
		[ $_left -le 0 ] || sleep "$(printf '0.%03d' $((_left % 1000)))"
	done
	# shellcheck disable=SC2086
	wait $_tells
}

# From this moment in ms, the times of arrivals at endpoints, or of crashes.
times() {
	cat "$tmp"/[p-w].err | grep "$1" | sed -n 's/^time=\([^ ]*\) .*/\1/p' | sort |
		while read -r t; do date -d "$t" +%s%3N; done
}

start_fake rows rows
row op config "$(site_conf 3 '"k1"')"
for e in $endpoints; do keep_alive $e & done
for e in $endpoints; do wait_for test -e "$tmp/$e.listed"; done
for v in a b c; do
	view $v
	eval "port_rows=\$view_$v entry $v"
done
for v in a b c; do wait_for is_ready $v; done
sleep 1

play before 3 ''
sound_before=$(cat "$tmp"/tell.sound-before-* | grep -o 200 | grep -c .)
play storm 16 "f1f1f1f1:300,$bad:150,c2c2c2c2:200"
sleep 3
fifth=$(times event=crashed | sed -n 5p)
late=0
for at in $(times 'event=ran .*target=/tell/bad-'); do
	[ -z "$fifth" ] || [ "$at" -le $((fifth + 3000)) ] || late=$((late + 1))
done
if [ "$late" -le 3 ]; then echo "later than 3 s after the fifth crash: at most 3"; else echo "later than 3 s after the fifth crash: $late"; fi
echo "sound before: $sound_before of 18"
# The sound ones of the last six seconds, later than 6 s after the fifth crash.
served=0
for i in $(seq 31 48); do
	for k in 1 2; do
		[ "$(cat "$tmp/tell.sound-storm-$i-$k")" != 200 ] || served=$((served + 1))
	done
done
at_least 95 "sound beside them" $served 36
