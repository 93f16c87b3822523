# Guards against requests that are served less when most new connections of a
# region go to one VM.
. ./lib.sh || exit 1
. ./site.sh
. ./load.sh

start_fake rows rows
row op config "$(site_conf 3 '"k1"')"
for e in p q; do server $e app; done
for e in r s; do
	server $e llm m 1
	control $e '{"events":3}'
done
for e in p q r s; do [ -z "${limit:-}" ] || control $e "{\"limit\":\"$limit\"}"; done
vms='a b c d e f'
for v in $vms; do
	view $v
	eval "port_rows=\$view_$v entry $v"
done
for v in $vms; do wait_for is_ready $v; done
for v in $vms; do wait_for ask $v /safe/first; done
sleep 4

# Twelve requests a second: from each VM, and then all from one.
# shellcheck disable=SC2086
offer spread 24 0.5 $vms
for k in $vms; do offer one$k 24 0.5 a & _offers="${_offers:-} $!"; done
# shellcheck disable=SC2086
wait $_offers
read -r before all <<<"$(served spread 9 24 $vms)"
at_least 95 "spread" $before $all
# From ContactMs on.
after=0
for k in $vms; do
	read -r n _ <<<"$(served one$k 9 24 a)"
	after=$((after + n))
done
at_least 75 "one VM, of what was served before" $after $before
