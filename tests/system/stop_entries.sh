#!/bin/bash
# Guards against requests that are lost at planned stops: callers use the entry until its
# process has ended, on persistent and on new connections.
set -euo pipefail
. "$(dirname "$0")/../../scripts/cluster.sh"
. "$(dirname "$0")/../../scripts/pass_through_cluster.sh"
cluster_begin 26600

for i in 1 2 3 4; do start_pass_through_daemon "$i"; done
wait_until 20 put_configuration 1 7 || fail "the first configuration was not accepted"
start_replica 1 plain --work-ms 60; start_replica 2 plain --work-ms 60
start_replica 3 model --events 30; start_replica 4 model --events 30

# stop_among_callers NAME PATH KEPT OPENING [EXIT_CODE [PROBED_PATH]]
stop_among_callers() {
  wait_until 10 is_ready 4 || fail "vm4 is not ready"
  wait_until 10 is_usable 4 "${6:-$2}" || fail "vm4 reaches no replica"
  python3 "$(dirname "$0")/kept_callers.py" --target "$(callers_address 4)" --prefix "$1" --path "$2" --runs "$work/runs" \
    --kept "$3" --opening "$4" >"$work/$1.json" &
  local callers=$!
  sleep 0.5
  stop_process vm4 TERM
  wait "$callers" || fail "a planned stop of vm4 lost requests: $(cat "$work/$1.json")"
  [ "$stopped_with" -eq "${5:-0}" ] || fail "vm4 ended with $stopped_with"
  cat "$work/$1.json"
}

for round in 1 2 3 4; do
  # With few requests the entry often appears idle while a request is on its way to it.
  stop_among_callers "look-$round" /look/x 1 1
  start_pass_through_daemon 4
done
stop_among_callers many /look/x 30 4
start_pass_through_daemon 4
stop_among_callers streams /draft/x 10 2

# Calls that take longer than the drain timeout end with a status, not with a closed
# connection.
stop_process replica1 KILL
stop_process replica2 KILL
start_replica 5 plain --work-ms 2500
write_pass_through_settings 4
sed -i 's/^drain_timeout = .*/drain_timeout = 2500 ms/' "$work/vm4.ini"
start_process vm4 "$daemon_binary" serve --settings "$work/vm4.ini"
stop_among_callers slow /book/x 6 0 1 /draft/x
grep -q '"504": 6' "$work/slow.json" || fail "calls that were open at the end: $(cat "$work/slow.json")"
