#!/bin/bash
# Build the stand-ins that the cases start.  The program itself is built by the
# line `build' of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
[ -f config.mk ] || ./configure >/dev/null
make -s regress/fake
${CC:-cc} -O2 -g -std=gnu11 -D_GNU_SOURCE -o review/client review/client.c -lpthread
