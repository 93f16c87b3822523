# Guards against callers of cut VMs that are served far worse where most VMs of
# a failure domain are cut.
. ./lib.sh || exit 1
. ./site.sh
. ./load.sh

start_fake rows rows
row op config "$(site_conf 3 '"k1"')"
server p app
server q app
server e llm m 1
server f llm m 1
control e '{"events":3}'
control f '{"events":3}'
near='a b c d e1 f1'
far='g h i j k l'
for v in $near $far; do
	view $v
	case " $far " in *" $v "*) domain=d3 ;; *) domain=d1 ;; esac
	eval "port_rows=\$view_$v entry $v"
done
for v in $near $far; do wait_for is_ready $v; done
for v in $near $far; do wait_for ask $v /safe/first; done

# One request in 0.25 s; the first twelve are those of ContactMs, 3 s.
play() {
	echo "== $1"
	for v in $cut; do cut_links $v $2; done
	offer $1 24 0.25 $near $far
	read -r n all <<<"$(served $1 13 24 $cut)"
	at_least 95 "cut VMs" $n $all
	read -r n all <<<"$(served $1 13 24 $others)"
	at_least 95 "others" $n $all
	for v in $cut; do cut_links $v 0; done
	for v in $cut; do wait_for ask $v /safe/healed; done
	sleep 3
}

cut=$near others=$far
play domain-refused 1
cut='a b c d e1 f1 g h i j' others='k l'
play most-refused 1
play most-hang 2
ran_twice=$(cat "$tmp"/[pq].err | sed -n 's/.*event=ran .*target=\/once\/\([^ ]*\) .*/\1/p' | sort | uniq -d)
echo "ran twice: ${ran_twice:-none}"
