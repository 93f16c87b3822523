# Changes of settings while VMs serve: accepted once, in force everywhere,
# never reverted, whatever is lost, late, frozen or dead.
. ./lib.sh || exit 1
. ./vms.sh
vms_base
start_peer d1a d1
start_peer d1b d1
start_peer d2c d2
for x in d1a d1b d2c; do for y in d1a d1b d2c; do [ $x = $y ] || wait_for knows $x $y alive; done; done
change() { cat >"$tmp/change.ini"; }
apply() { ctl "$1" apply "$tmp/change.ini" 2>&1; echo "exit code $?"; }

make_key new
change <<EOF
[workspace new]
keys = $hash_new
services = model
EOF
ctl d1a diff "$tmp/change.ini" | sed 's/-> ".*:.*"/-> (hash)/'
apply d1a
for x in d1a d1b d2c; do echo "$x: $(post $x new /v1/completions "$(prompt x 2 true)") $(finished)"; done

change <<EOF
[service model]
kind = magic
[workspace new]
services = nothing
EOF
apply d1b
change <<EOF
[vm]
workers = 3
EOF
apply d1b

# The commit takes effect and its reply is lost: accepted once all the same.
control table '{"lose_replies":1}'
change <<EOF
[workspace new]
concurrency = 7
EOF
apply d2c
control table '{"lose_replies":0}'
ctl d1a history | grep -c '^revision'

# Two operators who read the same revision: other groups go together, the same
# group does not.
send() { curl -s --noproxy '*' -H "Authorization: Bearer $key_op" -d "$2" "http://$1/admin/v1/config" | tr -d ' \n' | sed 's/"message":"[^"]*",//'; echo; }
send "$vm_d1a" '{"id":"op1","read_revision":2,"sets":[["workspace new","queue_max","9"]]}'
send "$vm_d1b" '{"id":"op2","read_revision":2,"sets":[["workspace ws","queue_max","9"]]}'
send "$vm_d1b" '{"id":"op3","read_revision":2,"sets":[["workspace new","queue_max","8"]]}'
send "$vm_d1b" '{"id":"op4","read_revision":2,"reads":["workspace new"],"sets":[["service model","attempts","4"]]}'
send "$vm_d2c" '{"id":"op1","read_revision":2,"sets":[["workspace new","queue_max","9"]]}'

# A replica that lags: nobody goes back, and a VM that starts from it takes
# the newer settings of the others.
control table '{"freeze_reads":1}'
sleep 0.5
change <<EOF
[workspace new]
removed = yes
EOF
apply d1a
echo "the replica still shows $(curl -s --noproxy '*' "http://127.0.0.1:$port_table/rows/config%2Fhead" | grep -o '"revision":[0-9]*')"
start_peer d1d d1
wait_for has_revision d1d 5
echo "started from a lagging replica: $(post d1d new /v1/completions "$(prompt x 2 true)") $(code)"
control table '{"freeze_reads":0}'

# The table is down. A VM that is replaced takes its settings from the others;
# one that reaches nobody waits rather than serve what may be outdated.
control table '{"down":1}'
change <<EOF
[workspace ws]
queue_max = 5
EOF
apply d1a
die d1b
start_peer d1b d1
wait_for has_revision d1b 5
echo "replaced without the table: $(post d1b new /v1/completions "$(prompt x 2 true)") $(code), $(post d1b ws /v1/completions "$(prompt x 2 true)") $(finished)"
cat >"$tmp/alone.site.ini" <<EOF
[vm]
name = alone
domain = d3
listen = 127.0.0.1:0
peer_keys = $peer_key
EOF
$bin serve --base "$tmp/base.ini" --overlay "$tmp/alone.site.ini" >"$tmp/alone.log" 2>&1 &
pid_alone=$!
wait_for has_line "$tmp/alone.log" 'event=listen'
vm_alone=$(sed -n 's/.*event=listen address=\([^ ]*\).*/\1/p' "$tmp/alone.log")
sleep 4
echo "reaches nobody: $(post alone ws /v1/completions "$(prompt x 2 true)") $(outcome) $(code)"
control table '{"down":0}'
wait_for has_revision alone 5
wait_for curl -sf --noproxy '*' "http://$vm_alone/healthz"
echo "table back: $(post alone ws /v1/completions "$(prompt x 2 true)") $(finished)"
