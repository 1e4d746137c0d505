#!/usr/bin/env bash
# Runs the main job on this machine: the platform and backend stand-ins of an
# example, two entry hosts, one request through four stages, then a clean stop.
set -euo pipefail
cd "$(dirname "$0")/.."
example=${EXAMPLE:-kalahari}
bin=$(mktemp -d)
pids=()
stop() {
  [ ${#pids[@]} -eq 0 ] || kill "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$bin"
}
trap stop EXIT

go build -o "$bin/" ./cmd/...
start() { "$@" >>"$bin/log" 2>&1 & pids+=($!); }
wait_for() {
  for _ in $(seq 100); do curl -fs -o /dev/null "$1" && return 0; sleep 0.1; done
  echo "demo: $1 did not come up; log:" >&2; tail -20 "$bin/log" >&2; exit 1
}

platform=http://127.0.0.1:18090
start "$bin/standin" platform --listen 127.0.0.1:18090
kind=
while read -r line; do
  case "$line" in
    kind:*) kind=${line#kind: } ;;
    "- {name:"*address:*)
      name=$(sed 's/.*name: \([^,]*\),.*/\1/' <<<"$line")
      addr=$(sed "s/.*address: '\([^']*\)'.*/\1/" <<<"$line")
      if [ "$kind" = engine ]; then start "$bin/standin" engine --name "$name" --listen "$addr" --fencing
      else start "$bin/standin" service --name "$name" --listen "$addr"; fi ;;
  esac
done <"examples/$example/pools.yaml"
wait_for "$platform/admin/counts"

"$bin/bilberryctl" --platform "$platform" --author demo apply "examples/$example"
hosts=()
region=${REGIONS:-khomas erongo}
n=0
for r in $region; do
  n=$((n + 1))
  "$bin/bilberryd" --name "entry-$n" --domain "$r-1" --region "$r" --platform "$platform" \
    --listen "127.0.0.1:1810$n" --admin "127.0.0.1:1811$n" --peer "127.0.0.1:1812$n" >>"$bin/log" 2>&1 &
  hosts+=($!)
  pids+=($!)
done
for i in $(seq $n); do wait_for "http://127.0.0.1:1811$i/ready"; done
echo "demo: ${#pids[@]} processes run; sending one request to each of $n entry hosts"
path=${DEMO_PATH:-/v1/drafts}
for i in $(seq $n); do
  curl -fsS -H 'X-Client-Account: boilers' -d '{"recipe":"tallow 40, lye 5, lavender 1"}' "http://127.0.0.1:1810$i$path" | cut -c1-200
  echo
done
kill -TERM "${hosts[@]}"
for h in "${hosts[@]}"; do wait "$h"; done
echo "demo: entry hosts stopped cleanly"
