# VMs of two domains get to know each other through one seed; a VM that dies
# is found out; one that stops is leaving for all at once; one that comes back
# is known by its new incarnation; a stranger's key gets nobody's ear.
. ./lib.sh || exit 1
. ./vms.sh
vms_base
start_peer a d1
start_peer b d1
start_peer c d2
start_peer d d2
for x in a b c d; do for y in a b c d; do [ $x = $y ] || wait_for knows $x $y alive; done; done
echo "all know all"
die b
wait_for knows a b dead
wait_for knows c b dead
echo "b died: a and c know"
vm_domain=d1
start_peer b d1
wait_for knows a b alive
wait_for knows d b alive
echo "b is back: a and d know"
kill -TERM "$pid_d"
wait_for knows a d leaving
wait "$pid_d"
echo "d stopped, exit code $?, leaving for a"

# A frozen VM is suspected, then given up; thawed, it refutes that.
kill -STOP "$pid_c"
wait_for knows a c dead
kill -CONT "$pid_c"
wait_for knows a c alive
wait_for knows b c alive
echo "c was frozen, given up, and is back"

# A VM with another key hears nothing and is not heard.
good=$peer_key
peer_key=1:ff0102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1eff
start_peer x d1
sleep 1
ctl a members | grep -c '^x '
ctl x members | grep -c '^a '
# Keys turn over without a stop: y seals with a new key that a does not have,
# then z opens both.
peer_key=$good
