# Tests the history checker with one history for each violation, and with a
# correct one: a checker that never reports a violation would prove nothing.
. ./lib.sh || exit 1
at() { printf 'time=2026-12-02T10:00:%s.000000Z ' "$1"; }
violation() { echo "$1:"; cat >"$tmp/h"; ./check <"$tmp/h" | sed '$d;s/^/  /'; }
violation "a call ran twice" <<EOF
$(at 01)event=ran endpoint=p call=ws/k1 attempt=r1.1
$(at 02)event=ran endpoint=p call=ws/k1 attempt=r2.1
EOF
violation "not-run, but it ran" <<EOF
$(at 01)event=ran endpoint=p attempt=r1.1
$(at 02)vm=a event=finish req=r1 outcome=not-run
EOF
violation "two workspaces share a cache scope" <<EOF
$(at 01)vm=a event=accept req=r1 workspace=x
$(at 01)vm=a event=accept req=r2 workspace=y
$(at 02)event=ran endpoint=e attempt=r1.1 scope=s1 version=v1 cached=0
$(at 02)event=ran endpoint=e attempt=r2.1 scope=s1 version=v1 cached=0
EOF
violation "blocks of another weight version" <<EOF
$(at 01)event=ran endpoint=e attempt=r1.1 scope=s1 version=v1 cached=0
$(at 02)event=ran endpoint=e attempt=r2.1 scope=s1 version=v2 cached=512
EOF
violation "an unverified segment was used" <<EOF
$(at 01)event=used endpoint=e segment=abc verified=0
EOF
violation "answer to another request" <<EOF
$(at 01)event=got req=r1 match=0
EOF
violation "a planned stop aborted a request" <<EOF
$(at 01)vm=a event=accept req=r1 workspace=x
$(at 02)vm=a event=exit code=0
EOF
violation "new request long after leaving" <<EOF
$(at 01)event=leaving endpoint=e
$(at 03)event=ran endpoint=e attempt=r1.1
$(at 09)event=ran endpoint=e attempt=r2.1
EOF
violation "settings revision decreased" <<EOF
$(at 01)vm=a event=settings revision=4 in_force=1
$(at 02)vm=a event=settings revision=3 in_force=1
EOF
./check <<EOF
$(at 01)vm=a event=listen address=x
$(at 01)vm=a event=accept req=r1 workspace=x
$(at 02)event=ran endpoint=e attempt=r1.1 scope=s1 version=v1 cached=0
$(at 03)vm=a event=finish req=r1 outcome=answered
$(at 03)event=got req=r1 match=1
$(at 04)vm=a event=settings revision=4 in_force=1
$(at 05)vm=a event=listen address=x
$(at 06)vm=a event=settings revision=3 in_force=1
$(at 07)vm=b event=listen address=y
$(at 08)vm=b event=accept req=r2 workspace=x
$(at 09)vm=b event=listen address=y
$(at 10)vm=b event=exit code=0
EOF
