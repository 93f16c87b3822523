# A prompt returns after the engine has evicted its KV cache.  The cache is
# imported from the store instead of being recomputed.  If the stored segments
# are damaged or missing, the engine computes them and the answer is the same.
. ./lib.sh || exit 1
usual_base e1
add_store s1
sed -i 's/^address = .*'"$port_e1"'/&\ncache_tokens = 4096\nprefill_tokens_s = 2000/' "$tmp/base.ini"
control e1 '{"cache_tokens":4096,"prefill_tokens_s":2000}'
start_vm a
texts() { sed -n 's/.*"text":"\([^"]*\)".*/\1/p' "$tmp/body" | tr -d '\n'; }
ask() { post a ws /v1/completions "$(prompt "$(long "$1")" 3 true)" >/dev/null; }
evict() { for i in 1 2 3; do ask "other$1$i"; done; }
exported() { [ "$(grep -c "event=export .*sealed=4" "$tmp/a.log")" -ge "$1" ]; }
# again NAME PROMPT: repeats the prompt after an eviction and prints what was
# imported.
again() {
	evict "$1"
	before=$(stat e1 imported) bad=$(stat e1 rejected)
	ask "$2"
	echo "$1: imported $(($(stat e1 imported) - before)), rejected $(($(stat e1 rejected) - bad)), $(finished), $([ "$(texts)" = "$whole" ] && echo same answer)"
}

ask first
whole=$(texts)
wait_for exported 1
again "returned" first
echo "decision: $(grep 'event=route.*import_tokens=[1-9]' "$tmp/a.log" | tail -1 | sed 's/.*\(import_tokens=[0-9]*\).*/\1/'), import: $(field a import found_tokens | tail -1) tokens found"

control s1 '{"corrupt":1}'
again "altered bytes" first
control s1 '{"truncate":1}'
again "half of the bytes" first

# An export stops halfway: the incomplete segment is never listed and never read.
control e1 '{"half_exports":1}'
ask halved
whole=$(texts)
wait_for has_line "$tmp/a.log" 'event=export .*sealed=0'
again "half written" halved
control e1 '{"bad_seals":1}'
ask misfit
whole=$(texts)
wait_for has_line "$tmp/a.log" 'event=export .*sealed=4'
again "wrong seal" misfit

# The store crashes and restarts empty, with a new incarnation.
ask lost
whole=$(texts)
wait_for has_line "$tmp/a.log" 'event=export .*sealed=4'
evict dying
die s1
ask lost
echo "store dead: $(finished), $([ "$(texts)" = "$whole" ] && echo same answer)"
restart_fake s1 store
wait_for has_line "$tmp/a.log" 'event=store .*restart=1'
sleep 0.5
again "store empty" lost
