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

# field FILE GROUP NAME: prints a number of the load generator's report.
field() { awk -v group="\"$2\":" -v name="\"$3\":" '$1 == group { inside = 1 } inside && $1 == name { gsub(",", "", $2); print $2; exit }' "$1"; }
# top_field FILE NAME: prints a number at the top level of the report.
top_field() { awk -v name="\"$2\":" '$1 == name { gsub(",", "", $2); print $2; exit }' "$1"; }
difference() { awk -v a="$1" -v b="$2" 'BEGIN { printf "%.2f", b - a }'; }
rounded() { awk -v a="$1" 'BEGIN { printf "%.2f", a }'; }
resident_kib() { awk '/^VmRSS/ { print $2 }' "/proc/${process_ids[$1]}/status"; }
processor_ticks() { awk '{ print $14 + $15 }' "/proc/${process_ids[$1]}/stat"; }

# measure NAME TARGET OPTIONS...: writes the report to $work/NAME.json.
measure() {
  local name=$1 target=$2
  shift 2
  "$fakes_binary" load --target "$target" --key "$account_key" "$@" >"$work/$name.json" ||
    echo "note: $name had errors $(top_field "$work/$name.json" errors), incomplete $(top_field "$work/$name.json" incomplete), wrong $(top_field "$work/$name.json" wrong)"
}

# socket_bytes NAME: prints the TCP payload bytes that a daemon has sent and received on its
# open connections. Connections opened for a single call are closed and not counted.
socket_bytes() {
  ss -tinpO 2>/dev/null | grep "pid=${process_ids[$1]}," | grep -oE 'bytes_(sent|received):[0-9]+' |
    cut -d: -f2 | awk '{ sum += $1 } END { print sum + 0 }'
}

start_cloud
start_daemons
write_configuration "$work/configuration.ini" v1
"$daemon_binary" apply "$work/configuration.ini" --base 0 --wait --wait-timeout 20s >/dev/null 2>&1

# The first voter leads after the first start; vm5 has no disk.
leader=vm$(($(operator_get 5 status | grep -o '"leader":"[^"]*"' | grep -o '[0-9]*"$' | tr -d '"') - port_base - 20))
idle_seconds=20
declare -A idle_kib idle_share idle_rate ticks bytes
sleep 3
for vm in "$leader" vm5; do
  idle_kib[$vm]=$(resident_kib "$vm")
  ticks[$vm]=$(processor_ticks "$vm")
  bytes[$vm]=$(socket_bytes "$vm")
done
sleep "$idle_seconds"
for vm in "$leader" vm5; do
  idle_share[$vm]=$(awk -v a="${ticks[$vm]}" -v b="$(processor_ticks "$vm")" -v hz="$(getconf CLK_TCK)" -v s="$idle_seconds" 'BEGIN { printf "%.2f", (b - a) / hz / s * 100 }')
  idle_rate[$vm]=$(awk -v a="${bytes[$vm]}" -v b="$(socket_bytes "$vm")" -v s="$idle_seconds" 'BEGIN { printf "%.0f", (b - a) / s }')
done

# The token interval is short and the rate no multiple of it, so that the steps of the fake's
# batch do not hide the time that the entry adds.
start_engine 1 v1 --token-interval-us 500 --batch-growth 0 --slots 64 --load-lag-ms 100
wait_for_endpoints
steady=(--streams 16 --rate 37 --requests 300 --max-tokens 16)
measure warm "$(entry 1)" --streams 8 --requests 50 --max-tokens 4
for round in 1 2 3; do
  measure "direct$round" "$(engine_address 1)" "${steady[@]}"
  measure "entry$round" "$(entry 1)" "${steady[@]}"
done
# median NAME GROUP PERCENTILE: prints the median of the three rounds.
median() { for round in 1 2 3; do field "$work/$1$round.json" "$2" "$3"; done | sort -g | sed -n 2p; }
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
open_kib=$(resident_kib vm1)
wait "$open"

echo "| figure (times in ms) | direct | through one entry | difference |"
echo "|---|---|---|---|"
for group in first_token_ms total_ms; do
  for percentile in p50 p99; do
    a=$(median direct "$group" "$percentile")
    b=$(median entry "$group" "$percentile")
    echo "| $group $percentile, 37 requests/s of 16 tokens, median of 3 rounds | $(rounded "$a") | $(rounded "$b") | $(difference "$a" "$b") |"
  done
done
for name in requests_per_second tokens_per_second; do
  echo "| $name, 64 streams without pause | $(rounded "$(top_field "$work/direct_full.json" "$name")") | $(rounded "$(top_field "$work/entry_full.json" "$name")") | |"
done
echo
echo "| figure of one entry | value |"
echo "|---|---|"
echo "| resident memory of vm1 with $open_count open streams (KiB) | $open_kib |"
for vm in "$leader" vm5; do
  role=$([ "$vm" = vm5 ] && echo "without a disk" || echo "leader")
  echo "| resident memory idle, $role (KiB) | ${idle_kib[$vm]} |"
  echo "| processor share idle, $role (% of a core) | ${idle_share[$vm]} |"
  echo "| TCP payload sent and received on kept connections idle, $role (bytes/s) | ${idle_rate[$vm]} |"
done
echo
echo "Processor load of the machine (1 min): $(cut -d' ' -f1 /proc/loadavg) on $(nproc) cores."
