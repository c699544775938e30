#!/bin/bash
# Guards against a voter that lost its data folder but votes as if it still had it, and
# against a loss of quorum when a second VM is lost right after the voter was replaced.
set -euo pipefail
. "$(dirname "$0")/../../scripts/cluster.sh"
cluster_begin 22200
start_daemons
start_plain 1 v1
write_configuration "$work/configuration.ini" v1
"$daemon_binary" apply "$work/configuration.ini" --base 0 --wait --wait-timeout 20s
wait_for_endpoints
first=$(book 1 lost-1)
[ "${first%% *}" = 201 ] || fail "booking: $first"

stop_process vm2 KILL
rm -rf "$work/data2"
voters_before=$(operator_get 1 status | grep -o '"voters":\[[^]]*\]')
start_daemon 2
wait_until 20 is_ready 2 || fail "vm2 is not ready after a restart without its data"
has_new_voter() {
  local voters
  voters=$(operator_get 1 status | grep -o '"voters":\[[^]]*\]')
  [ "$voters" != "$voters_before" ] && [ "$(grep -o 'vm[123]' <<<"$voters" | sort -u | wc -l)" -eq 3 ]
}
wait_until 20 has_new_voter || fail "the voters are still $voters_before"
# The old incarnation must no longer be a voter, or the loss of the next VM loses the quorum.
has_three_voters() {
  [ "$(operator_get 1 status | grep -o '"voters":\[[^]]*\]' | grep -o 'vm[123]' | wc -l)" -eq 3 ]
}
wait_until 20 has_three_voters || fail "the lost voter is still counted: $(operator_get 1 status)"

stop_process vm3 KILL
sleep 3
[ "$(book 2 lost-1)" = "$first" ] || fail "the booking was forgotten"
second=$(book 1 lost-2)
[ "${second%% *}" = 201 ] || fail "no booking with the repaired voter and one more: $second"
LAGOONLADDER_ENTRIES="$(entry 1),$(entry 2)" "$daemon_binary" apply "$work/configuration.ini" --base 1 ||
  fail "no configuration could be applied after the second loss"
