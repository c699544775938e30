#!/bin/bash
# Builds, starts five daemons in four data centres with fakes on loopback, checks the main
# guarantees and prints one line for each. Ends with "demo: ok".
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" != --no-build ]; then
  scripts/install_packages.sh
  scripts/build.sh
fi
. scripts/cluster.sh
cluster_begin "${DEMO_PORT_BASE:-21000}"
report=()
report_step() {
  printf '  %-34s %s\n' "$1" "$2"
  report+=("$1")
}

start_everything() {
  start_cloud
  start_daemons
  local i
  for i in 1 2 3; do start_engine "$i" v1 --token-interval-us 10000; done
  for i in 4 5; do start_engine "$i" v2 --token-interval-us 10000; done
  for i in 1 2; do start_plain "$i" v1; done
  report_step "5 daemons, 5 engines, 2 services" "started"
}

apply_first() {
  write_configuration "$work/configuration.ini" v1
  "$daemon_binary" check "$work/configuration.ini" >/dev/null
  "$daemon_binary" apply "$work/configuration.ini" --base 0 --wait --wait-timeout 20s >"$work/apply.txt" 2>&1 ||
    fail "apply: $(cat "$work/apply.txt")"
  local code=0
  "$daemon_binary" apply "$work/configuration.ini" --base 0 >"$work/race.txt" 2>&1 || code=$?
  [ "$code" -eq 3 ] || fail "the second apply on the same base ended with $code instead of 3"
  wait_for_endpoints
  report_step "configuration applied" "$(grep stored "$work/apply.txt"), a second one on its base conflicts"
}

completions() {
  expected_tokens "a question" 20 >"$work/expected"
  chat 1 "a question" 20 true >"$work/stream"
  grep -q 'data: \[DONE\]' "$work/stream" || fail "the stream has no end"
  tokens_in "$work/stream" | cmp -s - "$work/expected" || fail "the stream differs"
  chat 5 "a question" 20 false >"$work/whole"
  tokens_in "$work/whole" | cmp -s - "$work/expected" || fail "the whole completion differs"
  report_step "chat stream, whole completion" "20 of 20 tokens each, in order"
}

bookings() {
  local first second third
  first=$(book 2 demo-1)
  second=$(book 4 demo-1)
  [ "${first%% *}" = 201 ] || fail "booking: $first"
  [ "$first" = "$second" ] || fail "the resend got $second instead of $first"
  [ "$(executions demo-1)" -eq 1 ] || fail "the booking was executed $(executions demo-1) times"
  report_step "booking and its resend" "same answer from 2 entries, 1 execution"
  third=$(book 3 demo-1 '{"other":1}')
  [ "${third%% *}" = 409 ] || fail "the same key with another body: $third"
  report_step "same key, other body" "refused with 409"
  curl -sS -m 10 -H "Authorization: Bearer $account_key" "http://$(entry 3)/services/booking/status" >"$work/status"
  grep -q '"status":"open"' "$work/status" || fail "status lookup: $(cat "$work/status")"
  report_step "idempotent status lookup" "answered"
}

refusals() {
  local without wrong
  without=$(curl -sS -m 5 -o "$work/refusal" -w '%{http_code}' "http://$(entry 1)/services/booking/bookings" -d '{}')
  [ "$without" = 401 ] || fail "a call without a key got $without"
  grep -q '"executed":"no"' "$work/refusal" || fail "the refusal does not say executed: no"
  wrong=$(curl -sS -m 5 -o /dev/null -w '%{http_code}' -H 'Authorization: Bearer wrong' "http://$(entry 1)/v1/chat/completions" -d '{}')
  [ "$wrong" = 401 ] || [ "$wrong" = 403 ] || fail "a call with a bad key got $wrong"
  report_step "no account key, bad account key" "refused with $without and $wrong"
}

# background_load SECONDS: sends 20 requests per second to all entries in the background.
background_load() {
  local targets=() i
  for i in 1 2 3 4 5; do targets+=(--target "$(entry "$i")"); done
  start_process load "$fakes_binary" load "${targets[@]}" --key "$account_key" --streams 10 --rate 20 \
    --requests $((20 * $1)) --max-tokens 5
}

good_move() {
  background_load 30
  write_configuration "$work/configuration.ini" v2
  "$daemon_binary" apply "$work/configuration.ini" --base "$(generation)" --wait --wait-timeout 60s >"$work/move.txt" 2>&1 ||
    fail "move to v2: $(cat "$work/move.txt")"
  grep -q finished "$work/move.txt" || fail "move to v2: $(cat "$work/move.txt")"
  stop_process load KILL
  report_step "move v1 -> v2" "finished"
}

bad_move() {
  start_engine 6 v3 --token-interval-us 10000
  wait_for_endpoints
  set_fault "$(engine_address 6)" '{"kind":"fail_rate","value":0.9}'
  background_load 40
  write_configuration "$work/configuration.ini" v3
  local code=0
  "$daemon_binary" apply "$work/configuration.ini" --base "$(generation)" --wait --wait-timeout 60s >"$work/bad.txt" 2>&1 || code=$?
  [ "$code" -eq 3 ] && grep -q reversed "$work/bad.txt" || fail "move to v3 ended with $code: $(cat "$work/bad.txt")"
  stop_process load KILL
  report_step "bad version v3" "reversed"
}

reclaim() {
  expected_tokens "a long question" 300 2 >"$work/expected"
  chat 2 "a long question" 300 true >"$work/stream" &
  local stream=$! reclaimed_engine="" i
  sleep 1
  for i in 1 2 3 4 5; do
    curl -sS -m 5 "http://$(engine_address "$i")/v1/load" | grep -q '"running":1' && reclaimed_engine=$i
  done
  [ -n "$reclaimed_engine" ] || fail "no engine runs the stream"
  curl -sS -m 5 -o /dev/null "http://$(cloud_address)/v1/notices" -d "{\"vm\":\"vm-engine$reclaimed_engine\",\"notice_ms\":1500}"
  sleep 1.5
  stop_process "engine$reclaimed_engine" KILL
  wait "$stream" || fail "the stream of the reclaimed engine broke"
  tokens_in "$work/stream" | cmp -s - "$work/expected" || fail "the stream of the reclaimed engine differs"
  report_step "reclaim notice during a stream" "300 of 300 tokens after engine$reclaimed_engine was taken away"
}

timeline() {
  local daemons name
  "$daemon_binary" events --limit 2000 --output json >"$work/events.json" || fail "events: $(cat "$work/events.json")"
  for name in configuration.applied move.finished move.reversed endpoint.reclaimed request.resumed request.refused; do
    grep -q "$name" "$work/events.json" || fail "the timeline has no event $name"
  done
  daemons=$(grep -oE '"vm": *"vm[0-9]"' "$work/events.json" | sort -u | wc -l)
  [ "$daemons" -eq 5 ] || fail "the timeline holds events of $daemons daemons"
  "$daemon_binary" status | grep -q yes || fail "status does not show a ready daemon"
  "$daemon_binary" moves | grep -q reversed || fail "moves does not show the reversed move"
  report_step "events, status, moves" "one timeline of $daemons daemons"
}

metrics() {
  local names
  curl -sS -m 5 "http://$(entry 2)/metrics" >"$work/metrics"
  names=$(grep -c '^# TYPE lagoonladder_' "$work/metrics")
  grep -q '^lagoonladder_tokens_total' "$work/metrics" || fail "no tokens are counted: $(cat "$work/metrics")"
  report_step "metrics of one entry" "$names metrics"
}

planned_stop() {
  chat 1 "a long question" 300 true >"$work/stream" &
  local stream=$!
  sleep 0.5
  stop_process vm1 TERM
  wait "$stream" || fail "the stream was cut by the planned stop"
  tokens_in "$work/stream" | cmp -s - "$work/expected" || fail "the stream differs after the planned stop"
  [ "$stopped_with" -eq 0 ] || fail "vm1 ended with $stopped_with"
  start_daemon 1
  wait_until 20 is_ready 1 || fail "vm1 is not ready after the restart"
  report_step "planned stop with an open stream" "300 of 300 tokens, exit code 0"
}

restart_all() {
  local before i
  before=$(generation)
  for i in 1 2 3 4 5; do stop_process "vm$i" KILL; done
  start_daemons
  for i in 1 2 3 4 5; do
    operator_get "$i" status | grep -q "\"generation\":$before[,}]" || fail "vm$i lost generation $before"
  done
  wait_for_endpoints
  [ "$(book 5 demo-1)" = "$(book 1 demo-1)" ] && [ "$(executions demo-1)" -eq 1 ] || fail "the booking was forgotten"
  report_step "kill -9 of all daemons, restart" "generation $before in force, booking remembered"
}

started=$SECONDS
start_everything
apply_first
completions
bookings
refusals
good_move
bad_move
reclaim
timeline
metrics
planned_stop
restart_all
echo "${#report[@]} steps in $((SECONDS - started)) s"
echo "demo: ok"
