# Guards against requests served by outdated settings.  A VM must refuse requests
# (settings_stale) once its settings can no longer be confirmed, also if it was
# suspended and then receives a reply from before the suspension.  A VM that
# cannot reach the table serves as long as another VM that can confirms the
# settings.
. ./lib.sh || exit 1
. ./vms.sh
vms_base
# Calls must not time out while the VM is suspended.
sed -i 's/^timeout_ms = .*/timeout_ms = 30000/; s/^\[service model\]/&\nwhen_stale = refuse/' "$tmp/base.ini"
fresh='fresh_within_s = 2'
more() { [ "$(stat table "$1")" -gt "$2" ]; }
serves() { [ "$(post "$1" ws /v1/completions "$(prompt x 2 true)")" = 200 ]; }
# thaw VM: resumes VM and prints how many of twenty requests in the next second
# are served.
thaw() {
	eval "kill -CONT \$pid_$1"
	n=0
	for i in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20; do
		serves "$1" && n=$((n + 1))
		sleep 0.05
	done
	echo "served $n, then $(code)"
}
# away SECONDS: the table does not reply for SECONDS, and the settings get old.
away() {
	control table '{"down":1,"slow_ms":0}'
	sleep "$1"
}

echo "== suspended while the head is read"
vm_domain=d1
printf '[vm]\nhead_ms = 100\n%s\n' "$fresh" >"$tmp/h.ini"
start_vm h
wait_for serves h
control table '{"slow_ms":1000}'
reads=$(stat table reads)
wait_for more reads $((reads + 1))
# By then the next read has been sent; its reply is still missing.
sleep 0.6
kill -STOP "$pid_h"
reads=$(stat table reads)
wait_for more reads "$reads"
away 3
thaw h
control table '{"down":0}'
wait_for serves h
echo "served when the table replies again"
die h

echo "== suspended while a change is committed"
printf '[vm]\nhead_ms = 60000\n%s\n' "$fresh" >"$tmp/c.ini"
start_vm c
wait_for serves c
printf '[service model]\ndeadline_ms = 50000\n' >"$tmp/change.ini"
control table '{"slow_ms":1000}'
reads=$(stat table reads)
ctl c apply "$tmp/change.ini" >"$tmp/apply" 2>&1 &
wait_for more reads "$reads"
# The head was read, and the commit has been sent; it takes a second.
sleep 0.4
kill -STOP "$pid_c"
wait_for more transactions 0
away 3
thaw c
control table '{"down":0}'
die c

echo "== a VM that cannot reach the table"
start_peer a d1 "$fresh"
start_peer b d1 "$fresh" '[platform]' 'table = http://127.0.0.1:1' 'vm_list ='
wait_for serves b
echo "b starts and serves"
sleep 3
echo "after three seconds: $(post b ws /v1/completions "$(prompt x 2 true)")"
kill -STOP "$pid_a"
is_stale() { post "$1" ws /v1/completions "$(prompt x 2 true)"; [ "$(code)" = settings_stale ]; }
wait_for is_stale b
echo "a is suspended: b $(code)"
kill -CONT "$pid_a"
wait_for serves b
echo "a is resumed: b serves"

echo "== suspended while it queries that VM"
kill -STOP "$pid_a"
# By then its next queries have been sent; their replies wait in its sockets.
sleep 0.5
kill -STOP "$pid_b"
kill -CONT "$pid_a"
sleep 0.5
kill -STOP "$pid_a"
sleep 3
thaw b
