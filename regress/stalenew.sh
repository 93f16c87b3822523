# The table is out of reach, and settings count as stale: a VM must not serve
# by them, since what it has may have been taken back.  Another VM starts then
# and takes its settings from the first one; it knows no more than that, but
# counted its settings as confirmed when it started.
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
