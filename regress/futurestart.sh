# Guards against one entry with a start time in the future under the id of a
# sound endpoint, after which that endpoint's own entries count as those of an
# earlier incarnation and are never used again.
. ./lib.sh || exit 1
. ./site.sh
start_fake rows rows
row op config "$(site_conf 1 '"k1"')"
server s1 app
now_ms=$(($(date +%s) * 1000))
heartbeat() { list_server s1 app '' '' ready "$now_ms"; }
heartbeat
entry a
wait_for is_ready a
echo "before: $(ask a /safe/x)"
seen() { grep -q "event=endpoint endpoint=i-s1 outcome=$1" "$tmp/a.log"; }
row servers i-s1 "{\"Service\":\"app\",\"Address\":\"127.0.0.1:9\",\"Zone\":\"d1\",\"Slots\":8,\"State\":\"ready\",\"born\":$((now_ms + 86400000))}"
wait_for seen started_again
# The endpoint writes its entry again with each heartbeat.
answered() { heartbeat; sleep 1; [ "$(ask a /safe/x)" = 200 ]; }
wait_bound=20
wait_for answered
echo "after: $(ask a /safe/x)"
