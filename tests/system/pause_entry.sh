#!/bin/bash
# Guards against a paused leader that serves outdated state or repeats work after it
# continues, and against other entries that wait for it.
set -euo pipefail
. "$(dirname "$0")/../../scripts/cluster.sh"
cluster_begin 22100
start_daemons
start_plain 1 v1
start_plain 2 v1
start_engine 1 v1
write_configuration "$work/configuration.ini" v1
"$daemon_binary" apply "$work/configuration.ini" --base 0 --wait --wait-timeout 20s
wait_for_endpoints

leader=$(operator_get 5 status | grep -o '"leader":"[^"]*"' | cut -d'"' -f4)
leader=$((${leader##*:} - port_base - 20))
case "$leader" in [123]) ;; *) fail "no leader is known: $leader" ;; esac
other=$((leader % 3 + 1))
book "$leader" pause-0 >"$work/before"
signal_process "vm$leader" STOP
book "$leader" pause-1 >"$work/paused" 2>/dev/null &
paused=$!
sleep 4
for key in 2 3 4 5; do
  answer=$(book "$other" "pause-$key")
  [ "${answer%% *}" = 201 ] || fail "a booking during the pause got $answer"
done
write_configuration "$work/second.ini" v1
echo '; second' >>"$work/second.ini"
LAGOONLADDER_ENTRIES="$(entry "$other"),$(entry 5)" "$daemon_binary" apply "$work/second.ini" --base 1 ||
  fail "no configuration could be applied while the leader was paused"
signal_process "vm$leader" CONT
wait "$paused" || true
has_second() { operator_get "$leader" configuration | grep -q '"generation":2[,}]'; }
wait_until 10 has_second || fail "the paused entry did not get generation 2"
for key in 0 1 2 3 4 5; do
  count=$(executions "pause-$key")
  [ "$count" -le 1 ] || fail "pause-$key was executed $count times"
done
[ "$(book "$leader" pause-0)" = "$(cat "$work/before")" ] || fail "the booking before the pause was forgotten"
[ "$(book "$leader" pause-2)" = "$(book "$other" pause-2)" ] || fail "the entries disagree about pause-2"
echo "paused leader vm$leader"
