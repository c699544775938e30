#!/bin/bash
# Measures one entry against direct calls of the same fake engine, side by side
# in one run, and prints the table of docs/benchmarks.md.
# scripts/bench.sh [--no-build]
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" != --no-build ]; then
  scripts/install_packages.sh
  scripts/build.sh
fi
. scripts/cluster.sh
cluster_begin 23000

# field FILE GROUP NAME: a number of the load generator's report.
field() { awk -v group="\"$2\":" -v name="\"$3\":" '$1 == group { inside = 1 } inside && $1 == name { gsub(",", "", $2); print $2; exit }' "$1"; }
top() { awk -v name="\"$2\":" '$1 == name { gsub(",", "", $2); print $2; exit }' "$1"; }
difference() { awk -v a="$1" -v b="$2" 'BEGIN { printf "%.2f", b - a }'; }
rounded() { awk -v a="$1" 'BEGIN { printf "%.2f", a }'; }
resident_kib() { awk '/^VmRSS/ { print $2 }' "/proc/${process_ids[vm1]}/status"; }
processor_ticks() { awk '{ print $14 + $15 }' "/proc/${process_ids[vm1]}/stat"; }

# measure NAME TARGET OPTIONS...: report in $work/NAME.json.
measure() {
  local name=$1 target=$2
  shift 2
  "$fakes_binary" load --target "$target" --key "$account_key" "$@" >"$work/$name.json" ||
    echo "note: $name had errors $(top "$work/$name.json" errors), incomplete $(top "$work/$name.json" incomplete), wrong $(top "$work/$name.json" wrong)"
}

# socket_bytes: TCP payload bytes that vm1 has sent and received on open connections.
socket_bytes() {
  ss -tinpO 2>/dev/null | grep "pid=${process_ids[vm1]}," | grep -oE 'bytes_(sent|received):[0-9]+' |
    cut -d: -f2 | awk '{ sum += $1 } END { print sum + 0 }'
}

start_cloud
start_daemons
write_configuration "$work/configuration.ini" v1
"$daemon_binary" apply "$work/configuration.ini" --base 0 --wait --wait-timeout 20s >/dev/null 2>&1

idle_seconds=20
sleep 3
idle_kib=$(resident_kib)
ticks=$(processor_ticks)
bytes=$(socket_bytes || echo 0)
sleep "$idle_seconds"
idle_share=$(awk -v a="$ticks" -v b="$(processor_ticks)" -v hz="$(getconf CLK_TCK)" -v s="$idle_seconds" 'BEGIN { printf "%.2f", (b - a) / hz / s * 100 }')
idle_rate=$(awk -v a="$bytes" -v b="$(socket_bytes || echo 0)" -v s="$idle_seconds" 'BEGIN { printf "%.0f", (b - a) / s }')

start_engine 1 v1 --token-interval-us 5000 --batch-growth 0 --slots 64 --load-lag-ms 100
wait_for_endpoints
steady=(--streams 16 --rate 40 --requests 400 --max-tokens 16)
measure warm "$(entry 1)" --streams 8 --requests 50 --max-tokens 4
measure direct "$(engine_address 1)" "${steady[@]}"
measure entry "$(entry 1)" "${steady[@]}"
stop_process engine1 KILL

start_engine 2 v1 --token-interval-us 1000 --batch-growth 0 --slots 1000 --load-lag-ms 100
knows_engine() { operator_get 1 status | grep -q '"id":"engine2"'; }
wait_until 10 knows_engine
full=(--streams 64 --requests 4000 --max-tokens 32)
measure direct_full "$(engine_address 2)" "${full[@]}"
measure entry_full "$(entry 1)" "${full[@]}"
stop_process engine2 KILL

start_engine 3 v1 --token-interval-us 100000 --batch-growth 0 --slots 1000
knows_engine() { operator_get 1 status | grep -q '"id":"engine3"'; }
wait_until 10 knows_engine
measure open_streams "$(entry 1)" --streams 500 --requests 500 --max-tokens 120 &
open=$!
sleep 9
open_count=$(curl -sS -m 5 "http://$(engine_address 3)/v1/stats" | grep -o '"open":[0-9]*' | cut -d: -f2)
open_kib=$(resident_kib)
wait "$open"

echo "| figure | direct | through one entry | difference |"
echo "|---|---|---|---|"
for group in first_token_ms total_ms; do
  for share in p50 p99; do
    a=$(field "$work/direct.json" "$group" "$share")
    b=$(field "$work/entry.json" "$group" "$share")
    echo "| $group $share, 40 requests/s of 16 tokens | $(rounded "$a") | $(rounded "$b") | $(difference "$a" "$b") |"
  done
done
for name in requests_per_second tokens_per_second; do
  echo "| $name, 64 streams without pause | $(rounded "$(top "$work/direct_full.json" "$name")") | $(rounded "$(top "$work/entry_full.json" "$name")") | |"
done
echo "| resident memory idle (KiB) | | $idle_kib | |"
echo "| resident memory, $open_count open streams (KiB) | | $open_kib | |"
echo "| processor share idle (% of a core) | | $idle_share | |"
echo "| TCP payload on kept connections, idle (bytes/s) | | $idle_rate | |"
