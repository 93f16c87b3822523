# Guards against an answer of another VM that breaks off in its head, and is
# taken for that VM's own refusal of a request that ran.
. ./lib.sh || exit 1
. ./site.sh

start_fake rows rows
row op config "$(site_conf 3 '"k1"')"
server p app
server q app
# Another VM whose answers are under the test's control.
start_fake b server
control b '{"id":"i-b","status":404}'
row camphorquay_vms b "{\"address\":\"127.0.0.1:9\",\"domain\":\"d1\",\"list_address\":\"127.0.0.1:$port_b\",\"link_mbit_s\":100}"
view a
port_rows=$view_a entry a
wait_for is_ready a
cut_links a 1
forwarded() { ask a /once/first && grep -q 'event=forward ' "$tmp/a.log"; }
wait_for forwarded

# cut FORM AT: what the caller of a request that ran gets.
cut() {
	id="$1-$2"
	status=$(id=$id ask a "/once/cut,$1,fin,0,$2,$2,$2/$id")
	echo "$1 $2: status $status, ran $(runs "Attempt-Id=$id "), sealed $(grep -c '^X-Server-Seal' "$tmp/head")"
}
for form in length gone busy failed; do
	for at in 8 20 60 h-1 -1 all; do cut $form $at; done
done
