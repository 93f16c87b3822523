# Guards against streams of the product's own interface that go on at an engine
# of another version of its software.
. ./lib.sh || exit 1
usual_base e1 e2 e3 e4
sed -i 's/^version = v1/version = v1\nstall_ms = 500\nattempts = 2/' "$tmp/base.ini"
for e in e1 e2; do control $e '{"build":"b1"}'; done
for e in e3 e4; do control $e '{"build":"b2"}'; done
start_vm a
wait_for eval '[ "$(grep -c "event=endpoint .*build=b" "$tmp/a.log")" -ge 4 ]'
build_of() { case $1 in e[12]) echo b1 ;; *) echo b2 ;; esac }

# breaks NAME: six streams that break after some tokens.
breaks() {
	for e in e1 e2 e3 e4; do control $e '{"break_after":7,"breaks":3}'; done
	for _i in 1 2 3 4 5 6; do
		_before=$(grep -c 'event=send' "$tmp/a.log")
		post a ws /v1/completions "$(prompt "tale $1 $_i" 20 true)" >/dev/null
		set -- "$1" $(sed -n 's/.*event=send .*endpoint=\([^ ]*\) .*/\1/p' "$tmp/a.log" | tail -n +$((_before + 1)))
		[ $# -le 2 ] || [ "$(build_of "$2")" = "$(build_of "$3")" ] || echo "$1: begins at $2, goes on at $3"
	done
	for e in e1 e2 e3 e4; do control $e '{"breaks":0}'; done
}
breaks first
breaks second
grep -q event=resume "$tmp/a.log" && echo "streams were resumed"
