# An operator drains an endpoint, and another endpoint says that it leaves.
# Neither gets new work; running streams go on.  Leaving is sticky: a later
# report of the same incarnation without the mark cannot bring it back, a new
# incarnation does.
. ./lib.sh || exit 1
usual_base e1 e2 e3
start_vm a
ctl() { CAMPHORQUAY_KEY=$key_op $bin ctl --address "$vm_a" "$@"; }
runs() { stat "$1" runs; }
many() { for i in 1 2 3 4 5 6 7 8 9 10 11 12; do post a ws /v1/completions "$(prompt "p$i" 2 true)" >/dev/null; done; }
control e1 '{"decode_us":50000}'
ctl drain e2 >/dev/null; ctl drain e3 >/dev/null
post a ws /v1/completions "$(prompt tale 30 true)" >/dev/null & caller=$!
wait_for stat_is e1 runs 1
ctl undrain e2 >/dev/null; ctl undrain e3 >/dev/null
ctl drain e1
many
echo "drained: $(runs e1) runs"
wait $caller
echo "its stream: $(finished)"
state() { ctl endpoints | sed -n "s/^name=$1 .*state=\([a-z]*\).*/\1/p"; }
state_is() { [ "$(state "$1")" = "$2" ]; }
control e2 '{"leaving":1}'
wait_for state_is e2 leaving
before=$(runs e2)
control e2 '{"leaving":0}'
sleep 0.4
echo "after a report without the mark: $(state e2)"
mkdir -p "$tmp/m"; (tmp=$tmp/m; many)
echo "leaving: $(($(runs e2) - before)) runs"
control e2 '{"incarnation":"2"}'
wait_for state_is e2 ok
echo "new incarnation: $(state e2)"
