# What the settings of a VM count as confirmed by, and since when.  Its caller
# must be refused (settings_stale) once nobody can vouch for them: not served,
# because the VM was suspended and took a reply of before that for new.  And a
# VM that cannot see the table serves as long as one that can vouches for both.
. ./lib.sh || exit 1
. ./vms.sh
vms_base
# A call lasts as long as the VM is suspended.
sed -i 's/^timeout_ms = .*/timeout_ms = 30000/; s/^\[service model\]/&\nwhen_stale = refuse/' "$tmp/base.ini"
fresh='fresh_within_s = 2'
more() { [ "$(stat table "$1")" -gt "$2" ]; }
serves() { [ "$(post "$1" ws /v1/completions "$(prompt x 2 true)")" = 200 ]; }
# thaw VM: of twenty requests of the second after it, how many were served.
thaw() {
	eval "kill -CONT \$pid_$1"
	n=0
	for i in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20; do
		serves "$1" && n=$((n + 1))
		sleep 0.05
	done
	echo "served $n, then $(code)"
}
# away SECONDS: the table answers nobody, and settings get old meanwhile.
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
# The next read has left when this is over, and is not answered.
sleep 0.6
kill -STOP "$pid_h"
reads=$(stat table reads)
wait_for more reads "$reads"
away 3
thaw h
control table '{"down":0}'
wait_for serves h
echo "and served when the table is back"
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
# The head was read, so the commit leaves; it takes a second.
sleep 0.4
kill -STOP "$pid_c"
wait_for more transactions 0
away 3
thaw c
control table '{"down":0}'
die c

echo "== a VM that never sees the table"
start_peer a d1 "$fresh"
start_peer b d1 "$fresh" '[platform]' 'table = http://127.0.0.1:1' 'vm_list ='
wait_for serves b
echo "b starts and serves"
sleep 3
echo "after three seconds: $(post b ws /v1/completions "$(prompt x 2 true)")"
kill -STOP "$pid_a"
is_stale() { post "$1" ws /v1/completions "$(prompt x 2 true)"; [ "$(code)" = settings_stale ]; }
wait_for is_stale b
echo "a is gone: b $(code)"
kill -CONT "$pid_a"
wait_for serves b
echo "a is back: b serves"

echo "== suspended while it asks that VM"
kill -STOP "$pid_a"
# Its next questions have left when this is over; their answers wait for it.
sleep 0.5
kill -STOP "$pid_b"
kill -CONT "$pid_a"
sleep 0.5
kill -STOP "$pid_a"
sleep 3
thaw b
