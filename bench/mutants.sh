#!/bin/bash
# Safeguards switched off one at a time, on scratch copies: does the history
# check of a seeded run catch it?  A checker that never fails proves nothing.
#   bench/mutants.sh [SEED]
cd "$(dirname "$0")/.." || exit 1
seed=${1:-3}
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT

# mutant NAME FILE SED-SCRIPT
mutant() {
	rm -rf "$copy"/*
	cp -p ./*.c ./*.h ./*.x Makefile config.mk "$copy"
	sed -i "$3" "$copy/$2"
	if cmp -s "$2" "$copy/$2"; then echo "$1: the patch does not apply"; return; fi
	make -s -C "$copy" CFLAGS='-O1 -g -Wno-error' camphorquay >/dev/null 2>&1 || { echo "$1: does not build"; return; }
	out=$(cd regress && CQ_BIN=$copy/camphorquay WAIT_BOUND=30 timeout 120 bash chaos.sh "$seed" 12 2>&1)
	echo "$1: seed $seed, caught: $(echo "$out" | sed -n 's/.*BROKEN \([a-z-]*\):.*/\1/p' | sort | uniq -c | sed 's/^ *//' | paste -sd, | sed 's/^$/nothing/')"
}

mutant "own connection for calls that may not repeat" xfer.c 's/  if (o->new_connection)/  if (false)/'
mutant "claims" jobclaim.c 's/  return !j->is_model \&\& j->idempotency_key != NULL/  return false \&\& j->idempotency_key != NULL/'
mutant "no second try after the send" out.c 's/  if (!f->idempotent)/  if (false)/'
mutant "workspace in the scope of prefixes" pfx.c '/  hash_part (&h, workspace);/d'
mutant "a stream without its end is not complete" attempt.c '/  if (!end->complete || (j->streaming \&\& !j->strm.ended)$/{N;s/if (!end.*/if (!is_version_expected (j))/}'
mutant "resume at the token offset" attempt.c 's/extra.resume_offset = j->strm.tokens;/extra.resume_offset = 0;/'
mutant "a stop waits for running requests" srv.c 's/^  wait_for_jobs (s, limit_s);//'
mutant "not-run only before the first byte" out.c 's/^    case SEND_PARTIAL:$/    case SEND_PARTIAL: return finish (OUT_NOT_RUN, "x");/'
