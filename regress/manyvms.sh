# Guards against a list of VMs that is truncated at the store's page size.
. ./lib.sh || exit 1
. ./site.sh
start_fake rows rows
control rows '{"page_rows":7}'
row op config "$(site_conf 3 '"k1"')"
server p app
for i in $(seq 10 39); do row camphorquay_vms "vm$i" '{"address":"127.0.0.1:9","domain":"d2"}'; done
entry zz
wait_for is_ready zz
wait_for has_line "$tmp/zz.log" 'event=vms_listed vms=31 before=[0-9]* self=yes'
echo "all VMs are known, including this one"
ask zz /safe/x
