# An endpoint refuses calls before it runs them, with a status that the operator
# declared.  The caller gets the outcome not-run.  If the service has a second
# endpoint, the call is sent there, although the service is not idempotent.
. ./lib.sh || exit 1
plain_base 'refusal_status = 503' 'attempts = 2'
start_vm a
control p1 '{"refuse":503}'
echo "refused: $(post a ws /v1/call/trucks/send one) $(outcome) $(code), runs $(stat p1 one)"
control p1 '{"refuse":0,"fail":500}'
echo "failed: $(post a ws /v1/call/trucks/send two) $(outcome), runs $(stat p1 two)"
die a

start_fake p2 plain
cat >>"$tmp/base.ini" <<EOF
[endpoint p2]
service = trucks
domain = d1
address = 127.0.0.1:$port_p2
EOF
control p1 '{"refuse":503,"fail":200}'
start_vm b
for i in 1 2 3 4 5 6; do post b ws /v1/call/trucks/send "call$i"; outcome; done | sort | uniq -c | sed 's/^ *//'
echo "runs at the other endpoint: $(for i in 1 2 3 4 5 6; do stat p2 call$i; done | paste -sd' ')"
