# Functions for runs of several VMs; sourced after lib.sh.

peer_key=1:000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f

# vms_base: an engine, a workspace, an operator, the table.
vms_base() {
	usual_base e1
	start_fake table table
	cat >>"$tmp/base.ini" <<EOF

[platform]
table = http://127.0.0.1:$port_table
vm_list = http://127.0.0.1:$port_table
timeout_ms = 500
EOF
}

# start_peer NAME DOMAIN [LINES...]: a VM that speaks to others; the first one
# started is the seed of the later ones.
start_peer() {
	_name=$1 _domain=$2
	shift 2
	{
		echo '[vm]'
		echo "peer_keys = $peer_key"
		echo 'ping_ms = 100'
		echo 'head_ms = 100'
		[ -n "${seed:-}" ] && echo "seeds = $seed"
		printf '%s\n' "$@"
	} >"$tmp/$_name.ini"
	vm_domain=$_domain start_vm "$_name"
	eval "peer_$_name=$(sed -n 's/.*event=peer_listen address=\([^ ]*\).*/\1/p' "$tmp/$_name.log" | head -1)"
	[ -n "${seed:-}" ] || eval "seed=$_name=\$peer_$_name"
}

ctl() {
	eval "_vm=\$vm_$1"
	shift
	CAMPHORQUAY_KEY=$key_op $bin ctl --address "$_vm" "$@"
}

# knows VM OTHER STATE
knows() { ctl "$1" members | grep -q "^$2 .*state=$3"; }
has_revision() { ctl "$1" members | grep -q "^revision=$2 "; }
