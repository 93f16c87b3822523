# What the stand-ins promise that no VM asks of them yet: orders, with and
# without a check of the fencing number.  A holder that was paused past its
# lease sends its old order late; an engine that checks refuses it, one that
# does not is set back.
. ./lib.sh || exit 1
start_fake e1 engine
order() { curl -s --noproxy '*' -o /dev/null -w '%{http_code}' -d "{\"fence\":$1,\"version\":\"$2\"}" "http://127.0.0.1:$port_e1/order"; }
version() { curl -s --noproxy '*' "http://127.0.0.1:$port_e1/load" | sed -n 's/.*"version":"\([^"]*\)".*/\1/p'; }
control e1 '{"check_fence":1}'
echo "new holder: $(order 8 v2), version $(version)"
echo "late order, checked: $(order 7 v1), version $(version)"
control e1 '{"check_fence":0}'
echo "late order, not checked: $(order 7 v1), version $(version)"
