#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts: target/review2.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review2 ./review/world2
