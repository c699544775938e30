#!/bin/bash
# Guards against a drain that interrupts requests, and against an entry list that still
# contains the drained entry.
set -euo pipefail
. "$(dirname "$0")/../../scripts/cluster.sh"
cluster_begin 22400
start_daemons
for i in 1 2 3; do start_engine "$i" v1 --slots 32; done
write_configuration "$work/configuration.ini" v1
"$daemon_binary" apply "$work/configuration.ini" --base 0 --wait --wait-timeout 20s
wait_for_endpoints

"$fakes_binary" load --target "$(entry 4)" --key "$account_key" --streams 10 --requests 10 --max-tokens 300 >"$work/open.json" &
open=$!
"$fakes_binary" load --target "$(entry 1)" --target "$(entry 3)" --key "$account_key" --streams 8 --rate 30 \
  --requests 150 --max-tokens 10 >"$work/load.json" &
load=$!
sleep 1
"$daemon_binary" drain vm4
is_omitted() { curl -sS -m 2 "http://$(entry "$1")/v1/entries" | grep -q vm1 && ! curl -sS -m 2 "http://$(entry "$1")/v1/entries" | grep -q "$(entry 4)"; }
for i in 1 2 3 5; do wait_until 4 is_omitted "$i" || fail "the entry list of vm$i still contains vm4: $(curl -sS -m 2 "http://$(entry "$i")/v1/entries")"; done
wait "$open" || fail "a stream of the drained entry broke: $(cat "$work/open.json")"
wait "$load" || fail "a request at another entry failed: $(cat "$work/load.json")"
stop_process vm4 TERM
[ "$stopped_with" -eq 0 ] || fail "vm4 ended with $stopped_with"
