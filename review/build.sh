#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for main in review/[0-9]*/main.go; do
  n=$(basename "$(dirname "$main")")
  go build -o "review/bin/$n" "./review/$n"
done
