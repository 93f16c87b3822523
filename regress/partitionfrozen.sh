# Guards against a frozen VM that takes the requests of a cut VM with it.
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
for v in a b c; do
	view $v
	eval "port_rows=\$view_$v entry $v"
done
for v in a b c; do wait_for is_ready $v; done
for v in a b c; do wait_for ask $v /safe/first; done

verdict() {
	read -r n all <<<"$(served $1 $2 $3 a)"
	at_least 95 "cut VM" $n $all
}

echo "== frozen before the cut"
kill -STOP "$pid_b"
cut_links a 1
sleep 0.5
offer before 30 0.1 a
# The first requests show that there is no path.
verdict before 6 30
kill -CONT "$pid_b"
cut_links a 0
wait_for ask a /safe/healed
sleep 3

echo "== frozen during the cut"
cut_links a 1
offer warm 10 0.1 a
kill -STOP "$pid_b"
sleep 0.5
offer during 30 0.1 a
verdict during 1 30
kill -CONT "$pid_b"

echo "== thawed"
offer after 10 0.1 a
verdict after 1 10
ran_twice=$(cat "$tmp"/[pq].err | sed -n 's/.*event=ran .*target=\/once\/\([^ ]*\) .*/\1/p' | sort | uniq -d)
echo "ran twice: ${ran_twice:-none}"
