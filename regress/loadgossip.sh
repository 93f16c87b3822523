# Guards against requests that queue behind the work of another VM.  An endpoint
# prefills a long prompt of VM a.  Short prompts of VM b have their cached prefix
# at the same endpoint, but must go to the other one, since a has sent its load
# to b.  Then a is killed: its load expires, and b uses the cached prefix again.
# Invalid datagrams change nothing.
. ./lib.sh || exit 1
. ./site.sh
has_peer() { grep -q "event=vm_known name=$2 " "$tmp/$1.log"; }
ran_at() { grep -l "event=ran.*X-Attempt-Id=$1 " "$tmp"/[ef].err | sed 's|.*/\(.\)\.err|\1|'; }
long_runs() { [ -n "$(ran_at long)" ]; }
start_fake rows rows
row op config "$(site_conf 3 '"k1"')"
server e llm m 1
server f llm m 1
share_reports=no entry a
share_reports=no entry b
wait_for is_ready a
wait_for is_ready b
wait_for has_peer a b
wait_for has_peer b a
echo "both VMs know each other"

control e '{"events":2,"delay_ms":60000}'
control f '{"events":2,"delay_ms":60000}'
id=long ask a /tell/x -d p --max-time 60 -H 'X-Deadline-Ms: 60000' -H 'X-Prompt-Prefix: aa:13000,bb:4000' >/dev/null 2>&1 &
wait_for long_runs
home=$(ran_at long)
control e '{"delay_ms":0}'
control f '{"delay_ms":0}'
sleep 0.3
for i in 1 2 3; do id=short$i ask b /tell/x -d p -H 'X-Prompt-Prefix: aa:300,cc:80'; done
for i in 1 2 3; do if [ "$(ran_at short$i)" = "$home" ]; then echo "behind the long prompt"; else echo "at the other endpoint"; fi; done
sed -n 's/.*event=send req=short1 .* \(ahead=[0-9]*\) \(held=[0-9]*\) .*/\1 \2/p' "$tmp/b.log"

echo "== invalid datagrams"
at=$(sed -n 's/.*event=tell_listen address=\([^ ]*\).*/\1/p' "$tmp/b.log")
for w in x '' "$(head -c 1500 /dev/zero | tr '\0' y)"; do printf '%s' "$w" >"/dev/udp/${at%:*}/${at#*:}"; done
unread() { [ "$(curl -s --noproxy '*' "http://$vm_b/metrics" | sed -n 's/^camphorquay_loads_unread_total //p')" -ge 2 ]; }
wait_for unread
id=short4 ask b /tell/x -d p -H 'X-Prompt-Prefix: aa:300,cc:80'

echo "== the VM with the long prompt dies"
die a
at_cached() { id=late$RANDOM; ask b /tell/x -d p -H 'X-Prompt-Prefix: aa:300,cc:80' >/dev/null; [ "$(ran_at $id)" = "$home" ]; }
wait_for at_cached
echo "served where the prefix is cached again"

echo "== sealed reports"
# Guards against VMs that act on unsealed messages, or do not learn from each
# other that an endpoint is gone.
drop_row servers i-e
drop_row servers i-f
share_reports=yes entry c
share_reports=yes entry d
server g app
wait_for is_ready c
wait_for is_ready d
wait_for has_peer c d
wait_for has_peer d c
metric() { eval "_v=\$vm_$1"; curl -s --noproxy '*' "http://$_v/metrics" | sed -n "s/^camphorquay_$2 //p"; }
# d asks nothing itself, so it knows only what c reports.
heard_by_d() { id=s$RANDOM ask c /safe/x >/dev/null; [ "$(metric d reports_received_total)" -ge 1 ]; }
wait_for heard_by_d
echo "d has a report of c"
unread_before=$(metric d loads_unread_total)
sent_unsealed() { [ "$(metric d loads_unread_total)" -gt "$unread_before" ]; }
wait_for sent_unsealed
grep -q 'event=vm_known name=b .*source=word' "$tmp/d.log" && echo "d believed an unsealed message"
echo "messages of b, which are not sealed, are not read"
die g
gone() { id=s$RANDOM ask c /safe/x >/dev/null; grep -q 'event=endpoint_reported endpoint=i-g seen=refused vm=c ' "$tmp/d.log"; }
wait_for gone
echo "d knows from c that the endpoint refuses connections"
