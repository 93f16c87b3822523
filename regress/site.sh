# Functions for the scripted runs of the entry: a VM between callers, the
# platform's store and its endpoints, all in the platform's own format.

# row TABLE KEY VALUE: what the operator or an endpoint writes.
row() {
	printf '%s' "$3" |
		curl -sf --max-time 20 --noproxy '*' -X PUT --data-binary @- \
			"http://127.0.0.1:$port_rows/row/$1/$2" >/dev/null || fail "row $1/$2"
}
drop_row() {
	curl -sf --max-time 20 --noproxy '*' -X DELETE "http://127.0.0.1:$port_rows/row/$1/$2" >/dev/null
}

# site_conf VERSION KEYS: routes of each kind, one workspace with the keys.
site_conf() {
	cat <<EOF
{"Version":$1,"Routes":[
{"Name":"safe","Host":"h.example","Prefix":"/safe/","Kind":"idempotent","TimeoutMs":3000,"Priority":2,"Service":"app","MaxAttempts":2},
{"Name":"once","Host":"h.example","Prefix":"/once/","Kind":"non_idempotent","TimeoutMs":3000,"Priority":2,"Service":"app","MaxAttempts":2},
{"Name":"tell","Host":"h.example","Prefix":"/tell/","Kind":"streaming","TimeoutMs":8000,"Priority":1,"Service":"llm","MaxAttempts":2,"Sticky":true,"Resumable":true},
{"Name":"short","Host":"h.example","Prefix":"/safe/short/","Kind":"idempotent","TimeoutMs":300,"Priority":2,"Service":"app","MaxAttempts":1},
{"Name":"open","Host":"h.example","Prefix":"/open/","Kind":"idempotent","TimeoutMs":3000,"Service":"app","MaxAttempts":1,"Anonymous":true}],
"Services":[{"Name":"app","HealthPath":"/health"},{"Name":"llm","Engine":{"Slots":8,"Models":[{"Name":"m"}]}}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":20000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"weavers","ApiKeys":[$2],"Isolated":true}]}
EOF
}

# server NAME SERVICE [MODEL VERSION]: a stand-in, listed as ready, of the
# software version in build.
server() {
	start_fake "$1" server
	control "$1" "{\"id\":\"i-$1\"}"
	list_server "$@"
}
# list_server NAME SERVICE [MODEL VERSION [STATE [BORN]]]
list_server() {
	eval "_port=\$port_$1"
	_models=
	[ -n "${3:-}" ] && _models="\"Models\":[{\"Name\":\"$3\",\"Version\":$4}],"
	row servers "i-$1" "{\"Service\":\"$2\",\"Address\":\"127.0.0.1:$_port\",\"Zone\":\"d1\",\"Slots\":8,\"Version\":\"${build:-v1}\",$_models\"State\":\"${5:-ready}\"${6:+,\"born\":$6}}"
}

# view VM: how it reads the store, and reaches the endpoints listed there.
view() {
	eval "view_$1=$(curl -sf --noproxy '*' -X PUT -d '' "http://127.0.0.1:$port_rows/view/$1" |
		sed -n 's/.*"port":\([0-9]*\).*/\1/p')"
}
# cut_links VM MODE: its links to the endpoints are up (0), refuse (1), or hang (2).
cut_links() {
	curl -sf --max-time 10 --noproxy '*' -X PUT -d '' "http://127.0.0.1:$port_rows/cut/$1/$2" >/dev/null || fail "cut $1 $2"
}

# entry NAME: a VM whose settings are rendered from the template.
entry() {
	sed -e "s/{{NodeName}}/$1/" -e "s/{{Zone}}/${domain:-d1}/" \
		-e "s/{{Listen.[A-Za-z]*}}/127.0.0.1:0/" \
		-e "s/{{Platform.Address}}/127.0.0.1:$port_rows/" \
		-e "s/{{Ip}}:{{PortRange.0}}/127.0.0.1:0/" \
		-e "s/{{Limits.LinkMbps}}/${link_mbit_s:-1000.0}/" \
		-e "s/{{Bounds.DrainMs}}/${drain_ms:-3000}/" \
		-e "s/{{Bounds.RevokeMs}}/${revoke_ms:-5000}/" \
		-e "s/{{Bounds.ConfigApplyMs}}/${apply_ms:-2000}/" \
		-e 's/{{#Zones}}.*{{.Zones}}/d1=r1 d2=r2 d3=r1/' \
		-e "s/{{Bounds.LeaseMs}}/${lease_ms:-3000}/" \
		-e "s/{{Bounds.VersionMs}}/${version_ms:-12000}/" "$top/platform/vm.ini.tmpl" >"$tmp/$1.site.ini"
	if grep -q '{{' "$tmp/$1.site.ini"; then fail "template: $(grep '{{' "$tmp/$1.site.ini")"; fi
	sed "s/^drain_notice_ms.*/drain_notice_ms = 300/" "$top/deploy/base.ini" >"$tmp/$1.base.ini"
	[ -z "${log_lines_s:-}" ] || sed -i "s/^log_lines_s = .*/log_lines_s = $log_lines_s/" "$tmp/$1.base.ini"
	[ -z "${share_vms:-}" ] || printf '\n[entry]\nshare_vms = %s\n' "$share_vms" >>"$tmp/$1.base.ini"
	[ -z "${share_reports:-}" ] || printf '\n[entry]\nshare_reports = %s\n' "$share_reports" >>"$tmp/$1.base.ini"
	[ -z "${retry_percent:-}" ] || printf '\n[entry]\nretry_percent = %s\nretry_burst = 10000\n' "$retry_percent" >>"$tmp/$1.base.ini"
	: >"$tmp/$1.log"
	$bin serve --base "$tmp/$1.base.ini" --overlay "$tmp/$1.site.ini" >>"$tmp/$1.log" 2>&1 &
	eval "pid_$1=$!"
	wait_for has_line "$tmp/$1.log" 'event=phase phase=1'
	# The product's own interface, callers, the balancer: in this order.
	_n=0
	for _a in $(sed -n 's/.*event=listen address=\([^ ]*\).*/\1/p' "$tmp/$1.log"); do
		case $_n in
		0) eval "vm_$1=$_a" ;;
		1) eval "front_$1=$_a" ;;
		2) eval "ready_$1=$_a" ;;
		esac
		_n=$((_n + 1))
	done
}

ready() {
	eval "_r=\$ready_$1"
	curl -s --max-time 5 --noproxy '*' -o /dev/null -w '%{http_code}' "http://$_r/ready"
}
is_ready() { [ "$(ready "$1")" = 200 ]; }
is_unready() { [ "$(ready "$1")" != 200 ]; }

# ask VM PATH [curl options]: status; reply in $tmp/body, head in $tmp/head;
# without a key if no_key is set.
ask() {
	eval "_f=\$front_$1"
	_path=$2
	_key="Authorization: Token ${key:-k1}"
	[ -z "${no_key:-}" ] || _key="Accept: */*"
	shift 2
	curl -s --noproxy '*' --path-as-is --max-time 20 -o "${out:-$tmp/body}" -D "$tmp/head" -w '%{http_code}\n' \
		-H 'Host: h.example' -H "$_key" \
		-H "X-Attempt-Id: ${id:-a1}" -H 'X-Deadline-Ms: 5000' "$@" "http://$_f$_path"
}

# raw VM BYTES: what comes back on a connection of its own.
raw() {
	eval "_f=\$front_$1"
	exec 9<>"/dev/tcp/${_f%:*}/${_f#*:}"
	# In one write: what comes after the reply would reset the connection.
	# shellcheck disable=SC2059
	printf "$2" >"$tmp/raw"
	cat "$tmp/raw" >&9
	timeout 5 cat <&9
	exec 9>&-
}

# runs PATTERN: how often endpoints ran a request that matches.
runs() { cat "$tmp"/*.err | grep 'event=ran' | grep -c -- "$1"; }
