# A non-idempotent call must not be sent twice by the transport: on a kept-alive
# connection that the endpoint closes after it has run the call, libcurl would
# send the call again on a new connection.  The caller must get "unknown", and
# the endpoint must have run the call once.
. ./lib.sh || exit 1
plain_base
# Polls are far apart, so that the failed endpoint is detected by calls only.
printf '[vm]\npoll_ms = 60000\n' >"$tmp/a.ini"
start_vm a
echo "first: $(post a ws /v1/call/trucks/send one) $(outcome), runs $(stat p1 one)"
control p1 '{"drop_calls":1}'
echo "dropped: $(post a ws /v1/call/trucks/send two) $(outcome) $(code), runs $(stat p1 two)"
control p1 '{"cut":1}'
echo "cut half way: $(post a ws /v1/call/trucks/send three) $(outcome), runs $(stat p1 three)"

# The connection is refused: no byte was sent, so "not-run" is correct.
die p1
echo "dead: $(post a ws /v1/call/trucks/send four) $(outcome) $(code) retry after $(header Retry-After)"
