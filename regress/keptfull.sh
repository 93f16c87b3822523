# When a store fills up, the least recently used segments are deleted.  When its
# link slows to a tenth, the VM measures the lower rate, and prompts are computed
# instead of waiting for the import.
. ./lib.sh || exit 1
usual_base e1
add_store s1
sed -i 's/^address = .*'"$port_e1"'/&\ncache_tokens = 4096\nprefill_tokens_s = 8000/' "$tmp/base.ini"
control e1 '{"cache_tokens":4096,"prefill_tokens_s":8000}'
# Capacity for ten prompts of four segments each.
control s1 '{"capacity":2100000}'
start_vm a
ask() { post a ws /v1/completions "$(prompt "$(long "$1")" 2 true)" >/dev/null; }
ready() { [ "$(grep -c event=export "$tmp/a.log")" -ge "$1" ]; }
for i in $(seq 14); do
	ask "p$i"
	wait_for ready "$i"
	sleep 0.15
done
wait_for has_line "$tmp/a.log" event=make_room
[ "$(stat s1 used)" -le 2100000 ] && echo "store: within its capacity"
[ "$(stat s1 segments)" -ge 20 ] && echo "store: kept at least half of it"
before=$(stat e1 imported)
ask p11
[ $(($(stat e1 imported) - before)) -gt 0 ] && echo "kept lately: imported"
before=$(stat e1 imported)
ask p1
echo "dropped: imported $(($(stat e1 imported) - before)), $(finished)"

# A segment of 51 KB at 20 KB/s: the import of a prompt takes ten seconds,
# computing it a quarter of a second.
control s1 '{"link_bytes_s":20000}'
for i in 10 12 9 14; do ask "p$i"; done
slow=$(field a finish first_us | tail -1)
[ "$slow" -lt 2000000 ] && echo "slow link: computed instead"
