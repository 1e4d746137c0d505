#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bilberryedge ] && [ -x target/review2 ] || { echo "build first: the deploy file's build, review/build-2.sh" >&2; exit 2; }
timeout -k 2 115 target/review2 keys "review/7/record.txt"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
