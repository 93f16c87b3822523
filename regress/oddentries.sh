# Guards against odd entries of other writers that end VMs, or stop them from
# following the list, or make them log or call without bound.
. ./lib.sh || exit 1
. ./site.sh
start_fake rows rows
row op config "$(site_conf 1 '"k1"')"
server s0 app
server s1 app
for v in a b; do entry $v; done
for v in a b; do wait_for is_ready $v; done
started="$pid_a $pid_b"

knows() { grep -q "event=endpoint endpoint=i-$2 outcome=ready" "$tmp/$1.log"; }
removed() { grep -q "event=endpoint endpoint=i-$2 outcome=removed" "$tmp/$1.log"; }
n=1
# follows WHAT: an endpoint that comes is used and one that leaves is not, on
# each VM, and requests are served.
follows() {
	n=$((n + 1))
	list_server s1 app
	eval "port_t$n=\$port_s1"
	list_server t$n app
	for v in a b; do wait_for knows $v t$n; done
	drop_row servers i-t$n
	for v in a b; do wait_for removed $v t$n; done
	echo "$1: $(ask a /safe/x) $(ask b /safe/x)"
}
all_run() { for p in $started; do kill -0 "$p" 2>/dev/null || fail "VM $p ended"; done; }

deep() { head -c "$1" /dev/zero | tr '\0' '['; }
entry_of() { printf '{"Service":"%s","Address":"%s","Zone":"%s","Slots":%s,"State":"ready","born":%s%s}' \
	"${1:-app}" "${2:-127.0.0.1:9}" "${3:-d1}" "${4:-8}" "${5:-1}" "${6:-}"; }

# Entries by value, one at a time, each beside the former ones.
i=0
for value in "$(deep 100000)" "$(entry_of app '' d1 8 1 ",\"x\":$(deep 3000)")" \
	"$(entry_of app '' d1 99999999999999999999)" "$(entry_of app '' d1 1e400)" \
	"$(entry_of app '' d1 8 1e400)" "$(entry_of app '' d1 8 9223372036854775807)" \
	"$(entry_of app 127.0.0.1:0)" "$(entry_of app 127.0.0.1:65536)" "$(entry_of app 127.0.0.1:-1)" \
	"$(entry_of app '127.0.0.1: 80')" "$(entry_of app localhost:80)" "$(entry_of 'a\u0000p')" \
	"$(entry_of '\ud800')" "$(printf '\xef\xbb\xbf{}')" '' 'null' '7' '"x"' '{}'; do
	row servers odd-$i "$value"
	i=$((i + 1))
done
follows "entries by value"
head -c 2000000 /dev/zero | tr '\0' '[' >"$tmp/large"
curl -sf --noproxy '*' -X PUT --data-binary "@$tmp/large" "http://127.0.0.1:$port_rows/row/servers/odd-large" >/dev/null || fail "2 MB"
follows "an entry of 2 MB"
drop_row servers odd-large

# Rows that cannot be read, on each page of all tables.
for member in '"Key":"x\\u0000"' '"Key":"\\ud800"' '"Ver":1e400' '"Ver":99999999999999999999' \
	"\\\"Value\\\":$(deep 3000)$(deep 3000 | tr '[' ']')"; do
	member=$(printf '%s' "$member" | sed 's/\\*"/\\"/g')
	control rows "{\"odd_row\":\"{\\\"Table\\\":\\\"servers\\\",$member}\"}"
	follows "a row that cannot be read"
	entry c
	wait_for is_ready c
	echo "a VM that starts: $(ask c /safe/x)"
	die c
done
control rows '{"odd_row":""}'

# Thousands of odd entries at once, then one that always changes.
{
	printf '{"SetKeys":['
	for i in $(seq 3000); do
		printf '%s{"Table":"servers","Key":"many-%s","Value":"e30="}' "$([ "$i" = 1 ] || echo ,)" "$i"
	done
	printf ']}'
} >"$tmp/many"
curl -sf --noproxy '*' -d "@$tmp/many" "http://127.0.0.1:$port_rows/rows-tx" >/dev/null || fail "3000 rows"
follows "3000 odd entries"
entry c
wait_for is_ready c
echo "a VM that starts: $(ask c /safe/x)"
started="$started $pid_c"

lines() { cat "$tmp/a.log" "$tmp/b.log" | grep -c 'event=rows_left_out'; }
before_lines=$(lines) before_calls=$(stat rows calls)
begin=$(date +%s)
changes=0
while [ $(($(date +%s) - begin)) -lt 6 ]; do
	row servers odd-0 "{\"x\":$changes}"
	changes=$((changes + 1))
done
spent=$(($(date +%s) - begin + 1))
[ $changes -ge 60 ] || echo "only $changes changes"
# Two VMs read the list once a second at most.
[ $(($(lines) - before_lines)) -le $((2 * spent + 2)) ] || echo "$(($(lines) - before_lines)) lines in $spent s"
# And three VMs make a few calls a second each, for other tables as well.
[ $(($(stat rows calls) - before_calls)) -le $((3 * 6 * spent)) ] || echo "$(($(stat rows calls) - before_calls)) calls in $spent s"
follows "an entry that changed all the time"

all_run
for p in $started; do
	kb=$(sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$p/status")
	[ "$kb" -lt 150000 ] || echo "VM $p had $kb KB"
done
echo "all VMs run"
