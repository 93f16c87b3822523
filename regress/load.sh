# Load on several VMs at once; sourced after site.sh.

now_ms() { echo $((${EPOCHREALTIME/./} / 1000)); }

# try VM KIND ID: one request; "KIND STATUS" in $tmp/try.VM.ID, and when it was
# answered in $tmp/at.VM.ID.
try() {
	eval "_front=\$front_$1"
	_status=$(curl -s --noproxy '*' --max-time 5 -o /dev/null -w '%{http_code}' \
		-H 'Host: h.example' -H 'Authorization: Token k1' -H "X-Attempt-Id: $3" \
		-H 'X-Deadline-Ms: 5000' -d "body of $3" "http://$_front/$2/$3")
	now_ms >"$tmp/at.$1.$3"
	echo "$2 $_status" >"$tmp/try.$1.$3"
}

# offer NAME COUNT PAUSE VM...: so many requests to each VM, the kinds in turn,
# one in each PAUSE seconds; waits for their answers.
offer() {
	_name=$1 _count=$2 _pause=$3
	shift 3
	_tries=
	for _i in $(seq "$_count"); do
		case $((_i % 3)) in
		0) _kind=safe ;;
		1) _kind=once ;;
		2) _kind=tell ;;
		esac
		for _v in "$@"; do
			try "$_v" $_kind "$_name-$_v-$_i" &
			_tries="$_tries $!"
		done
		sleep "$_pause"
	done
	# shellcheck disable=SC2086
	wait $_tries
}

# served NAME FROM TO VM...: how many of the requests with these numbers got a
# 200, and how many there were.
served() {
	_name=$1 _from=$2 _to=$3
	shift 3
	_n=0 _all=0
	for _v in "$@"; do
		for _i in $(seq "$_from" "$_to"); do
			_all=$((_all + 1))
			grep -q ' 200$' "$tmp/try.$_v.$_name-$_v-$_i" && _n=$((_n + 1))
		done
	done
	echo "$_n $_all"
}

# at_least PERCENT WHAT COUNT ALL: "WHAT: enough", or the counts.
at_least() {
	if [ $(($3 * 100)) -ge $(($1 * $4)) ]; then echo "$2: enough"; else echo "$2: $3 of $4"; fi
}
