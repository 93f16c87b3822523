# The platform's store is restored from a copy made before the lease was taken,
# and then from one with the row of an earlier holder while the last holder is
# frozen.  Guards against orders of two holders within the gap, or with fencing
# tokens that fall, and against loads that stop at endpoints that check tokens.
. ./lib.sh || exit 1
. ./site.sh
lease_ms=3000 version_ms=30000
version_of() { sed -n 's/.*event=order .* version=\([0-9]*\) .*status=202$/\1/p' "$tmp/$1.err" | tail -1; }
list_all() { for _s in p q; do _v=$(version_of $_s); list_server $_s llm m "${_v:-1}"; done; }
has_version() { list_all && [ "$(version_of p)" = "$1" ] && [ "$(version_of q)" = "$1" ]; }
name_version() { row op version/m "{\"Model\":\"m\",\"Version\":$1}"; }
holder() { sed -n 's/.*event=order .*holder=\([^/ ]*\).*/\1/p' "$tmp/p.err" | tail -1; }
fill() { for _i in $(seq "$1"); do row filler x "$_i"; done; }
# restore VERSION: what the operator and the endpoints wrote is written again.
restore() {
	control rows '{"turn_away":503}'
	sleep 0.5
	control rows '{"older_copy":1}'
	row op config "$(site_conf 3 '"k1"')"
	name_version "$1"
	list_all
	control rows '{"turn_away":0}'
}

start_fake rows rows
control rows '{"era":1}'
row op config "$(site_conf 3 '"k1"')"
name_version 1
server p llm m 1
server q llm m 1
control q '{"check_fences":1}'
for v in a b c; do entry $v; done
for v in a b c; do wait_for is_ready $v; done

echo "== a copy without the lease; new weights; the copy"
control rows '{"keep_copy":1}'
fill 20
name_version 2
wait_for has_version 2
restore 2
name_version 3
wait_for has_version 3

echo "== a copy with it; its holder frozen across the restore"
control rows '{"keep_copy":1}'
fill 5
name_version 4
wait_for has_version 4
frozen=$(holder)
eval "kill -STOP \$pid_$frozen"
restore 4
name_version 5
sleep 2
eval "kill -CONT \$pid_$frozen"
wait_for has_version 5

echo "== all orders"
# Each as its time in ms, VM, token and status; for each endpoint by itself.
for e in p q; do
	sed -n 's/^time=[^T]*T\([0-9]*\):\([0-9]*\):\([0-9.]*\)Z event=order .*holder=\([^/ ]*\).* fence=\([0-9]*\) .*status=\([0-9]*\)$/\1 \2 \3 \4 \5 \6/p' "$tmp/$e.err" |
		awk -v lease=$lease_ms '
		{ at = (($1 * 60 + $2) * 60 + $3) * 1000 }
		$5 < highest { lower++ }
		$5 == highest && $4 != holder { shared++ }
		holder != "" && $4 != holder && at - last < lease { turns++ }
		$6 == 412 { refused++ }
		{ last = at; holder = $4; highest = $5 > highest ? $5 : highest }
		END { printf "lower tokens %d, shared tokens %d, turns within the gap %d, refused %d\n", lower, shared, turns, refused }'
done
