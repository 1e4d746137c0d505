#!/usr/bin/env bash
# Runs an example on this machine: starts stand-ins for its platform and backend
# servers and several entry hosts that are peers of each other, sends one request
# of four stages to each entry host, and stops them cleanly. Settings (environment):
#   EXAMPLE     folder under examples/ (kalahari)
#   HOSTS       number of entry hosts, assigned to the regions in turn (3)
#   PORT_BASE   first port; the platform uses it, the entry hosts those above (18090)
#   LOAD_RATE   requests per second of open-loop traffic before the stop (none);
#               LOAD_DURATION, LOAD_REQUESTS, SEED and OUT are passed to cmd/load
#   DEMO_PATH, DEMO_BODY, DEMO_ACCOUNT   path, body and client account of the request
set -euo pipefail
cd "$(dirname "$0")/.."
example=${EXAMPLE:-kalahari}
count=${HOSTS:-3}
base=${PORT_BASE:-18090}
case $example in
  zagara) mix=/v1/chats:4:stream,/v1/proposals:2:stream,/v1/planners:2,/v1/lead-scores:1
    path=/v1/proposals account=planners body='{"venue":"Villa Igiea","guests":120}' ;;
  *) mix=/v1/drafts:2:stream,/v1/substitutions:4:stream,/v1/notes:1,/v1/orders:3
    path=/v1/drafts account=boilers body='{"recipe":"tallow 40, lye 5, lavender 1"}' ;;
esac
path=${DEMO_PATH:-$path} account=${DEMO_ACCOUNT:-$account} body=${DEMO_BODY:-$body}

tables=examples/$example
[ -f "$tables/pools.yaml" ] || { echo "demo: example $example does not exist; available examples: $(ls examples | tr '\n' ' ')" >&2; exit 1; }
command -v curl >/dev/null || { echo "demo: curl is not installed" >&2; exit 1; }

tmp=$(mktemp -d)
log=$tmp/log
declare -A names=()
stop() {
  local pids=("${!names[@]}")
  [ ${#pids[@]} -eq 0 ] || kill "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$tmp"
}
trap stop EXIT
fail() { echo "demo: $*" >&2; echo "--- last lines of the log" >&2; tail -20 "$log" >&2 || true; exit 1; }

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$log" 2>&1 &
  names[$!]=$name
}
check_running() {
  local pid
  for pid in "${!names[@]}"; do
    kill -0 "$pid" 2>/dev/null || fail "${names[$pid]} exited unexpectedly; a port may be in use: set PORT_BASE, or free the ports in $tables/pools.yaml"
  done
}
wait_for() { # NAME URL
  for _ in $(seq 150); do
    curl -fs -o /dev/null "$2" && return 0
    check_running
    sleep 0.1
  done
  fail "$1 did not respond at $2 within 150 attempts"
}
port_free() { # HOST:PORT
  ! (exec 3<>"/dev/tcp/${1%:*}/${1#*:}") 2>/dev/null || fail "address $1 is in use: set PORT_BASE, or free the ports in $tables/pools.yaml"
}

: >"$log"
mkdir "$tmp/bin"
go build -o "$tmp/bin/" ./cmd/...
mkdir "$tmp/tables"
cp "$tables"/*.yaml "$tmp/tables/"

platform=127.0.0.1:$base
port_free "$platform"
start platform "$tmp/bin/standin" platform --listen "$platform"
regions=()
kind= pool=
while read -r line; do
  case $line in
    "- name: "*) pool=${line#- name: } ;;
    kind:*) kind=${line#kind: } ;;
    "- {name:"*address:*)
      name=$(sed 's/.*name: \([^,]*\),.*/\1/' <<<"$line")
      addr=$(sed "s/.*address: '\([^']*\)'.*/\1/" <<<"$line")
      region=$(sed 's/.*region: \([^,}]*\).*/\1/' <<<"$line")
      case " ${regions[*]-} " in *" $region "*) ;; *) regions+=("$region") ;; esac
      port_free "$addr"
      if [ "$kind" = engine ]; then start "$name" "$tmp/bin/standin" engine --name "$name" --listen "$addr" --fencing
      else start "$name" "$tmp/bin/standin" service --name "$name" --listen "$addr"; fi ;;
  esac
done <"$tables/pools.yaml"
wait_for platform "http://$platform/admin/counts"

ctl() { "$tmp/bin/bilberryctl" --platform "http://$platform" --author demo "$@"; }
ctl apply "$tmp/tables"

peers= admins=
for i in $(seq "$count"); do
  peers+=127.0.0.1:$((base + 200 + i)),
  admins+=127.0.0.1:$((base + 100 + i)),
done
hosts=()
for i in $(seq "$count"); do
  region=${regions[$(((i - 1) % ${#regions[@]}))]}
  others=$(tr ',' '\n' <<<"$peers" | grep -v ":$((base + 200 + i))\$" | paste -sd, -)
  for offset in 0 100 200; do port_free "127.0.0.1:$((base + offset + i))"; done
  start "entry-$i" "$tmp/bin/bilberryd" --name "entry-$i" --domain "$region-1" --region "$region" \
    --platform "http://$platform" --listen "127.0.0.1:$((base + i))" --admin "127.0.0.1:$((base + 100 + i))" \
    --peer "127.0.0.1:$((base + 200 + i))" --peers "${others%,}"
  hosts+=($!)
done
for i in $(seq "$count"); do wait_for "entry-$i" "http://127.0.0.1:$((base + 100 + i))/ready"; done
check_running
echo "demo: ${#names[@]} processes are running; sending one request to $path on each of $count entry hosts"
for i in $(seq "$count"); do
  curl -fsS -H "X-Client-Account: $account" -H 'Content-Type: application/json' -d "$body" \
    "http://127.0.0.1:$((base + i))$path" >"$tmp/answer" || fail "the request to entry-$i failed: $(head -c 400 "$tmp/answer")"
  echo "entry-$i: $(head -c 300 "$tmp/answer")"
done
ctl status --hosts "${admins%,}" --wait 10s
ctl peers --hosts "${admins%,}"
if [ -n "${LOAD_RATE:-}" ]; then
  targets=$(for i in $(seq "$count"); do echo "127.0.0.1:$((base + i))"; done | paste -sd, -)
  "$tmp/bin/load" traffic --targets "$targets" --rate "$LOAD_RATE" --duration "${LOAD_DURATION:-10s}" --seed "${SEED:-1}" \
    --requests "${LOAD_REQUESTS:-$mix}" --account "$account" ${OUT:+--out "$OUT"} || fail "the traffic generator failed"
fi
echo "demo: executions by backend server"
while read -r line; do
  case $line in
    "- name: "*) pool=${line#- name: } ;;
    "- {name:"*address:*)
      addr=$(sed "s/.*address: '\([^']*\)'.*/\1/" <<<"$line")
      ran=$(curl -fs "http://$addr/admin/executed" | grep -o '":[0-9]*' | tr -d '":' | paste -sd+ - | sed 's/^$/0/') || ran=0
      ran=$((${ran:-0}))
      [ "$ran" = 0 ] || echo "  $pool: $(sed 's/.*name: \([^,]*\),.*/\1/' <<<"$line") ran $ran" ;;
  esac
done <"$tables/pools.yaml"
kill -TERM "${hosts[@]}"
for pid in "${hosts[@]}"; do
  wait "$pid" || fail "${names[$pid]} did not stop cleanly"
  unset "names[$pid]"
done
echo "demo: $count entry hosts stopped cleanly"
