#!/usr/bin/env bash
# Runs the benchmarks, prints their table, and writes it to OUT as JSON: one
# object a benchmark, with its package and each of its figures by unit. BENCH
# chooses benchmarks by a regular expression, PKG packages.
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
