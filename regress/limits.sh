# Overload of an endpoint: one workspace sends a burst, another a few requests, a
# third urgent requests.  Every refused or evicted request must be answered
# "not-run", and the engine must have run exactly the answered requests.
. ./lib.sh || exit 1
make_key flood; make_key calm; make_key alarm; make_key op
start_fake e1 engine
cat >"$tmp/base.ini" <<EOF
[workspace flood]
keys = $hash_flood
services = model
queue_max = 20
[workspace calm]
keys = $hash_calm
services = model
[workspace alarm]
keys = $hash_alarm
services = model
urgent = yes
[operator op]
keys = $hash_op
[service model]
version = v1
urgent_reserve = 2
queue_max = 24
deadline_ms = 20000
[endpoint e1]
service = model
domain = d1
address = 127.0.0.1:$port_e1
slots = 6
EOF
start_vm a
control e1 '{"decode_us":5000}'
load() { "$top/bench/load" --address "$vm_a" "$@"; }
# A burst of 200 requests, 48 at once; meanwhile the others, 2 at once each.
load --key "$key_flood" --count 200 --concurrency 48 --tokens 20 >"$tmp/flood" &
flood=$!
wait_for has_line "$tmp/a.log" 'reason=workspace_queue_full'
load --key "$key_calm" --count 20 --concurrency 2 --tokens 20 >"$tmp/calm" & calm=$!
load --key "$key_alarm" --count 20 --concurrency 2 --tokens 20 --urgent --deadline-ms 5000 >"$tmp/alarm" & alarm=$!
wait $calm; wait $alarm; wait $flood
n() { sed -n "s/^$2=//p" "$tmp/$1"; }
echo "calm: $(n calm answered) answered, $(n calm not_run) not-run, $(n calm other) other"
echo "alarm: $(n alarm answered) answered, $(n alarm not_run) not-run, $(n alarm other) other"
echo "flood: $(($(n flood answered) + $(n flood not_run))) of 200 answered or not-run, $(n flood other) other"
[ "$(n flood not_run)" -gt 0 ] && echo "some of the flood was refused"
answered=$(($(n calm answered) + $(n alarm answered) + $(n flood answered)))
[ "$(stat e1 runs)" = "$answered" ] && echo "runs at the engine = answered"

# Urgent requests without permission; a body, a rate and a burst over the limit.
echo "urgent without right: $(post a calm /v1/completions "$(prompt x 1 true)" -H 'Camphorquay-Priority: urgent') $(code)"
