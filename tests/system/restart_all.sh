#!/bin/bash
# Guards against the loss of a configuration, a booking record or an acknowledged change when
# all daemons are killed at once, twice in a row.
set -euo pipefail
. "$(dirname "$0")/../../scripts/cluster.sh"
cluster_begin 22500
start_daemons
start_plain 1 v1
start_plain 2 v1
write_configuration "$work/configuration.ini" v1
"$daemon_binary" apply "$work/configuration.ini" --base 0 --wait --wait-timeout 20s
wait_for_endpoints
for round in 1 2; do
  first=$(book "$round" "restart-$round")
  [ "${first%% *}" = 201 ] || fail "booking: $first"
  echo "; round $round" >>"$work/configuration.ini"
  "$daemon_binary" apply "$work/configuration.ini" --base "$round"
  for i in 1 2 3 4 5; do stop_process "vm$i" KILL; done
  start_daemons
  for i in 1 2 3 4 5; do
    operator_get "$i" configuration >"$work/after"
    grep -q "\"generation\":$((round + 1))[,}]" "$work/after" || fail "vm$i serves $(cat "$work/after")"
    grep -q "; round $round" "$work/after" || fail "vm$i lost the text of round $round"
  done
  wait_for_endpoints
  [ "$(book 5 "restart-$round")" = "$first" ] || fail "the booking of round $round was forgotten"
  [ "$(executions "restart-$round")" -eq 1 ] || fail "restart-$round ran $(executions "restart-$round") times"
done
