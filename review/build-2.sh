#!/bin/bash
# Builds the stand-ins of the second review, after the build of the deploy
# file: the project's own (for the platform's store), and peer-2.
set -eu
cd "$(dirname "$0")/.."
[ -f config.mk ] || ./configure >/dev/null
make -s regress/fake
mkdir -p target
${CC:-cc} -O2 -Wall -Wextra -pthread -o target/peer-2 review/peer-2.c
