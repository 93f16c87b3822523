# The last keys are revoked, then the last workspace goes, then the list of
# workspaces.  Guards against an empty list of keys that is taken for a
# deployment without workspaces, where any request would run.
. ./lib.sh || exit 1
. ./site.sh
start_fake rows rows
row op config "$(site_conf 3 '"k1","k2"')"
server p app
for v in a b; do entry $v; done
for v in a b; do wait_for is_ready $v; done

# conf VERSION TEXT: in force at both VMs, then a request of each sort at each.
conf() {
	row op config "$2"
	for v in a b; do wait_for has_line "$tmp/$v.log" "event=conf outcome=in_force conf=$1"; done
	for v in a b; do
		echo "$v: k1 $(key=k1 ask $v /once/x) k2 $(key=k2 ask $v /once/x) unknown $(key=k9 ask $v /safe/x) none $(no_key=1 ask $v /safe/x) anonymous $(no_key=1 ask $v /open/x)"
	done
}
echo "== both keys"
conf 3 "$(site_conf 3 '"k1","k2"')"
echo "== one of them"
conf 4 "$(site_conf 4 '"k2"')"
echo "== none"
conf 6 "$(site_conf 6 '')"
echo "== no workspace"
conf 7 "$(site_conf 7 '' | sed 's/^"Tenants".*/"Tenants":[]}/')"
echo "== a key again"
conf 8 "$(site_conf 8 '"k1"')"
echo "== no list of workspaces"
conf 9 "$(site_conf 9 '' | sed -e '/^"Tenants"/d' -e 's/^\("Limits".*\),$/\1}/')"
