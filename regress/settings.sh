# Settings files: every fault is found at once, with file, group, key and what
# was expected; the overlay goes over the base; "show" names each origin.
. ./lib.sh || exit 1
cat >"$tmp/base.ini" <<EOF
[vm]
name = a
domain = d1
listen = localhost:80
workers = many
colour = blue

[workspace ws]
keys = 12:34
services = model nothing
urgent = perhaps

[service model]
kind = magic

[service trucks]
kind = plain
repeatable = no

[endpoint e 1]
service = model

[endpoint e1]
service = absent
domain = d1
address = 127.0.0.1

[extras]
a = b
EOF
cd "$tmp" || exit 1
$bin check --base base.ini 2>&1; echo "exit code $?"
$bin check --base none.ini 2>&1 | sed 's/: .*//'; echo "exit code ${PIPESTATUS[0]}"
cat >base.ini <<EOF
[vm]
name = a
domain = d1
workers = 4
[service model]
version = v1
EOF
printf '[vm]\nlisten = 127.0.0.1:0\nworkers = 3\n[service model]\nversion = v2\n' >site.ini
$bin check --base base.ini --overlay site.ini; echo "exit code $?"
$bin show --base base.ini --overlay site.ini | grep -e '^name' -e '^workers' -e '^listen' -e '^version' -e '^poll_ms'

# Usage errors have one form and one exit code.
for args in "" "dance" "serve" "check --base base.ini extra" "ctl" "ctl dance -a 1" "ctl drain -a 1" "ctl status" "key" "serve --colour"; do
	# shellcheck disable=SC2086
	$bin $args 2>&1 </dev/null | head -1 | sed "s|$bin|camphorquay|"
	# shellcheck disable=SC2086
	$bin $args >/dev/null 2>&1 || echo "  exit code $?"
done
$bin --version
for c in serve check show key ctl; do $bin $c --help | head -1; done
