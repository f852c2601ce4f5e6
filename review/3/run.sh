#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/guavayard ] || exit 2
timeout -k 3 115 node review/3/case.mjs
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
