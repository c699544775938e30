#!/bin/bash
# Guards against interrupted responses when an entire zone is reclaimed and the entry that
# received the notice is killed before the deadline.
set -euo pipefail
. "$(dirname "$0")/../../scripts/cluster.sh"
cluster_begin 23000
start_cloud
start_daemons
for i in 1 2; do start_engine "$i" v1 --token-interval-us 10000 --zone zone-lost; done
for i in 3 4; do start_engine "$i" v1 --token-interval-us 10000; done
write_configuration "$work/configuration.ini" v1
"$daemon_binary" apply "$work/configuration.ini" --base 0 --wait --wait-timeout 20s
wait_for_endpoints

"$fakes_binary" load --target "$(entry 1)" --target "$(entry 2)" --key "$account_key" --streams 12 --requests 12 \
  --max-tokens 400 >"$work/load.json" &
load=$!
sleep 1
curl -sS -m 5 -o /dev/null "http://$(cloud_address)/v1/notices" -d '{"zone":"zone-lost","notice_ms":3000}'
sleep 1
stop_process vm5 KILL
sleep 1
for i in 1 2; do
  "$daemon_binary" events --limit 5000 | grep "endpoint.reclaimed.*engine$i" >/dev/null || fail "engine$i is not marked by the notice"
done
operator_get 4 status | grep -o '"state":"leaving"' | wc -l >"$work/leaving"
[ "$(cat "$work/leaving")" -ge 2 ] || fail "vm4 knows $(cat "$work/leaving") leaving endpoints 2 s after the notice"
sleep 1
for i in 1 2; do stop_process "engine$i" KILL; done
wait "$load" || fail "an answer was cut or wrong: $(cat "$work/load.json")"
moved=$(curl -sS "http://$(entry 1)/metrics" "http://$(entry 2)/metrics" | grep -c '^lagoonladder_resumed_requests_total' || true)
[ "$moved" -ge 1 ] || fail "no stream was moved, so the test shows nothing"
