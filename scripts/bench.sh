#!/usr/bin/env bash
# Runs the benchmarks and prints their results. If OUT is set, also writes them to
# that file as a JSON array with one object per benchmark: package, name, number of
# runs, and each result by its unit. Settings (environment):
#   BENCH     regular expression that selects benchmarks (.)
#   PKG       packages (./...)
#   TIMEOUT   time limit of go test (30m)
#   OUT       file for the results as JSON (none)
set -euo pipefail
cd "$(dirname "$0")/.."
table=$(mktemp)
trap 'rm -f "$table"' EXIT
go test -run '^$' -bench "${BENCH:-.}" -benchmem -timeout "${TIMEOUT:-30m}" "${PKG:-./...}" | grep --line-buffered -v 'no test files' | tee "$table"
[ -n "${OUT:-}" ] || exit 0
awk '
  BEGIN { printf "[" }
  /^pkg: / { pkg = $2 }
  /^Benchmark/ && NF >= 4 {
    printf "%s\n  {\"package\": \"%s\", \"name\": \"%s\", \"runs\": %s", sep, pkg, $1, $2
    for (i = 3; i < NF; i += 2) printf ", \"%s\": %s", $(i + 1), $i
    printf "}"; sep = ","
  }
  END { print "\n]" }
' "$table" >"$OUT"
