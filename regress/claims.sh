# Claims across two VMs.  A caller that got no reply retries the same call
# through another VM.  Whatever happened at the first VM, the endpoint must run
# the call at most once and the caller must get the correct outcome.
. ./lib.sh || exit 1
plain_base 'deadline_ms = 3000' 'send_within_ms = 1500'
start_vm a
start_vm b
show() { echo "$1: $(outcome) $(code) runs $(stat p1 "$2")"; }

call a k1 one >/dev/null; cp "$tmp/body" "$tmp/first"
call b k1 one >/dev/null; show "retry after the answer" one
cmp "$tmp/first" "$tmp/body" && echo "same whole answer"
call b k1 other >/dev/null; show "key used for another request" other

# Both VMs at the same time: the second waits for the answer of the first.
control p1 '{"delay_ms":500}'
call a k2 two >/dev/null & first=$!
vm=$tmp; mkdir "$tmp/b"; (tmp=$tmp/b; call b k2 two >/dev/null; outcome) >"$tmp/second"
wait $first
echo "both at once: $(outcome) $(cat "$tmp/second") runs $(stat p1 two)"
control p1 '{"delay_ms":0}'

# The table writes the claim but its reply is lost: the VM recognises its row.
control table '{"lose_replies":1}'
call a k3 three >/dev/null; show "claim's reply lost" three
control table '{"lose_replies":0}'
# The table's reply to the recording of the answer is lost: the retry still
# finds the answer.
control p1 '{"delay_ms":300}'
call a k4 four >/dev/null & first=$!
wait_for stat_is p1 four 1
control table '{"lose_replies":1}'
wait $first; show "record's reply lost" four
control p1 '{"delay_ms":0}'
call b k4 four >/dev/null; show "retry" four

# An answer too large for the table is stored in the object store.
control p1 '{"reply_bytes":200000}'
call a k5 five >/dev/null; cp "$tmp/body" "$tmp/first"
call b k5 five >/dev/null; show "large answer again" five
cmp "$tmp/first" "$tmp/body" && echo "same whole answer"
control p1 '{"reply_bytes":0}'

# While the table is down the call is refused as not-run; the retry runs once
# the table is up again.
control table '{"down":1}'
call a k6 six >/dev/null; show "table down" six
control table '{"down":0}'
call b k6 six >/dev/null; show "table back" six
