# Guards against stale settings on a new VM.  The table is unreachable and
# settings count as stale, so a VM must not serve by them, since permissions in
# them may have been revoked.  Another VM starts then and takes its settings
# from the first one.  It must not count them as confirmed at its own start.
. ./lib.sh || exit 1
. ./vms.sh
vms_base
sed -i 's/^\[service model\]/&\nwhen_stale = refuse/' "$tmp/base.ini"
fresh='fresh_within_s = 8'
start_peer a d1 "$fresh"
start_peer b d1 "$fresh"
wait_for knows a b alive
echo "before: $(post a ws /v1/completions "$(prompt x 2 true)") $(finished)"
control table '{"down":1}'
is_stale() { post "$1" ws /v1/completions "$(prompt x 2 true)"; [ "$(code)" = settings_stale ]; }
wait_for is_stale a
echo "a: settings_stale"
die b
start_peer b d1 "$fresh"
serves() { [ "$(post "$1" ws /v1/completions "$(prompt x 2 true)")" != 503 ] || [ "$(code)" != starting ]; }
wait_for serves b
echo "b has started: $(post b ws /v1/completions "$(prompt x 2 true)") $(code)"
