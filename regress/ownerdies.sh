# The VM that owns a claim is killed.  The caller's connection breaks and the
# caller retries through another VM, which cannot know whether the call ran: it
# must reply "unknown" and not run the call again, unless the answer was
# recorded before the VM was killed.
. ./lib.sh || exit 1
plain_base 'deadline_ms = 1500' 'send_within_ms = 1000'
start_vm b

# more_arrived N: true once more than N claims have reached the table.
more_arrived() { [ "$(stat table arrived)" -gt "$1" ]; }

# Killed before the send: the table writes the claim after its owner is gone.
start_vm a
control table '{"slow_ms":400}'
before=$(stat table arrived)
call a k1 one >/dev/null & caller=$!
wait_for more_arrived "$before"
die a; wait $caller
wait_for stat_is table writes 1
control table '{"slow_ms":0}'
call b k1 one >/dev/null
echo "killed before the send: $(outcome) $(code), runs $(stat p1 one)"

# Killed after the send.
start_vm a
control p1 '{"delay_ms":700}'
call a k2 two >/dev/null & caller=$!
wait_for stat_is p1 two 1
die a; wait $caller
control p1 '{"delay_ms":0}'
call b k2 two >/dev/null
echo "killed after the send: $(outcome) $(code), runs $(stat p1 two)"

# Killed after the answer.
start_vm a
call a k3 three >/dev/null
die a
call b k3 three >/dev/null
echo "killed after the answer: $(outcome) $(code), runs $(stat p1 three)"

# Suspended between claim and send for longer than send_within_ms: once resumed,
# the VM must not send the call, and must refuse it as not-run.
start_vm a
control table '{"slow_ms":300}'
before=$(stat table arrived)
call a k4 four >/dev/null & caller=$!
wait_for more_arrived "$before"
kill -STOP "$pid_a"
sleep 1.5
kill -CONT "$pid_a"
wait $caller
control table '{"slow_ms":0}'
echo "paused past its claim: $(outcome) $(code), runs $(stat p1 four)"
call b k4 four >/dev/null
echo "retry: $(outcome), runs $(stat p1 four)"
