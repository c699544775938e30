#!/bin/bash
# Guards against bookings that are executed twice, or whose result is lost, when entries are
# killed while bookings are in progress.
set -euo pipefail
. "$(dirname "$0")/../../scripts/cluster.sh"
cluster_begin 22000
start_daemons
start_plain 1 v1
start_plain 2 v1
write_configuration "$work/configuration.ini" v1
"$daemon_binary" apply "$work/configuration.ini" --base 0 --wait --wait-timeout 20s
wait_for_endpoints
for i in 1 2; do set_fault "$(plain_address "$i")" '{"kind":"delay_ms","value":100,"route":"/bookings"}'; done

keys=40
# book_in_turn FIRST: books every fourth key from FIRST on, at each entry in turn.
book_in_turn() {
  local key
  for ((key = $1; key <= keys; key += 4)); do
    book $((key % 5 + 1)) "kill-$key" >"$work/first.$key" 2>/dev/null || true
  done
}
senders=()
for first in 1 2 3 4; do
  book_in_turn "$first" &
  senders+=($!)
done
sleep 0.5
stop_process vm4 KILL
sleep 0.5
stop_process vm2 KILL
sleep 0.5
start_daemon 2
start_daemon 4
wait "${senders[@]}"
for i in 1 2 3 4 5; do wait_until 20 is_ready "$i" || fail "vm$i is not ready"; done

answered=0
lost=0
for ((key = 1; key <= keys; key++)); do
  count=$(executions "kill-$key")
  [ "$count" -le 1 ] || fail "kill-$key was executed $count times"
  first=$(cat "$work/first.$key")
  again=$(book 3 "kill-$key")
  count=$(executions "kill-$key")
  [ "$count" -le 1 ] || fail "kill-$key was executed $count times after its resend"
  case "$first" in
    201*)
      answered=$((answered + 1))
      [ "$first" = "$again" ] || fail "the resend of kill-$key got $again instead of $first"
      [ "$count" -eq 1 ] || fail "kill-$key was answered and executed $count times"
      ;;
    *) lost=$((lost + 1)) ;;
  esac
  if [[ $again == *'"executed":"no"'* && $count -ne 0 ]]; then
    fail "kill-$key was executed although its refusal says that it was not"
  fi
done
echo "answered $answered, without an answer at first $lost"
[ "$answered" -ge $((keys / 4)) ] || fail "only $answered of $keys bookings were answered"
