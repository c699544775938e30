#!/bin/bash
# Measures how the cost grows with size, for docs/CAPACITY.md: that of the decision libraries
# in one program, and processor share, memory and gossip bytes of idle daemons on loopback
# when the daemon and the fakes are built.
# scripts/capacity.sh [--no-build]
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD_DIR:-build}"
if [ "${1:-}" != --no-build ]; then
  cmake -S . -B build -G Ninja >/dev/null
  ninja -C build -j 3 lagoonladder_capacity >/dev/null
fi
for section in memory companion routing gossip spread configuration consensus once restart; do
  build/tools/capacity/lagoonladder_capacity "$section"
done
if [ ! -x "$build/src/process/cli/lagoonladder" ] || [ ! -x "$build/tools/fakes/lagoonladder-fakes" ]; then
  echo "note: lagoonladder and lagoonladder-fakes are not built; idle daemons were not measured"
  exit 0
fi
. scripts/cluster.sh
cluster_begin "${PORT_BASE:-27000}"

processor_ticks() { awk '{ print $14 + $15 }' "/proc/${process_ids[vm$1]}/stat"; }
resident_kib() { awk '/^VmRSS/ { print $2 }' "/proc/${process_ids[vm$1]}/status"; }
gossip_bytes() {
  curl -sS -m 5 -H "Authorization: Bearer $LAGOONLADDER_TOKEN" "http://$(entry "$1")/metrics" |
    awk '$1 == "lagoonladder_gossip_sent_bytes" { printf "%.0f", $2 }'
}

# TCP payload sent and received on open connections; connections opened for a single call are
# not counted.
socket_bytes() {
  ss -tinpO 2>/dev/null | grep "pid=${process_ids[vm$1]}," | grep -oE 'bytes_(sent|received):[0-9]+' |
    cut -d: -f2 | awk '{ sum += $1 } END { print sum + 0 }'
}

# measure_idle LABEL: prints processor share, memory and bytes of each daemon.
measure_idle() {
  local i idle_seconds=20
  local -A ticks bytes payload
  for i in 1 2 3 4 5; do
    ticks[$i]=$(processor_ticks "$i")
    bytes[$i]=$(gossip_bytes "$i")
    payload[$i]=$(socket_bytes "$i")
  done
  sleep "$idle_seconds"
  for i in 1 2 3 4 5; do
    awk -v label="$1" -v i="$i" -v t0="${ticks[$i]}" -v t1="$(processor_ticks "$i")" -v b0="${bytes[$i]}" -v b1="$(gossip_bytes "$i")" \
      -v hz="$(getconf CLK_TCK)" -v s="$idle_seconds" -v kib="$(resident_kib "$i")" -v p0="${payload[$i]}" -v p1="$(socket_bytes "$i")" \
      'BEGIN { printf "%-22s %-24s core_percent=%.2f gossip_sent_bytes_per_s=%.0f tcp_bytes_per_s=%.0f resident_kib=%d\n", "daemon.idle", label " vm" i, (t1 - t0) / hz / s * 100, (b1 - b0) / s, (p1 - p0) / s, kib }'
  done
}

start_cloud
start_daemons
write_configuration "$work/configuration.ini" v1
"$daemon_binary" apply "$work/configuration.ini" --base 0 --wait --wait-timeout 20s >/dev/null 2>&1
sleep 3
measure_idle "0 endpoints"
for i in 1 2 3 4 5 6 7 8 9; do start_engine "$i" v1; done
for i in 1 2 3 4; do start_plain "$i" v1; done
wait_for_endpoints
sleep 3
measure_idle "13 endpoints"
