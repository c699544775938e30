#!/bin/bash
# Guards against a process that runs out of memory or descriptors, ends or hangs because of callers that send many large
# bodies, stop just short of their end and stay open. Arguments name the modes of untrusted_crowd.py; default: all.
set -euo pipefail
. "$(dirname "$0")/../../scripts/cluster.sh"
. "$(dirname "$0")/../../scripts/pass_through_cluster.sh"
cluster_begin 25200

max_memory_mib=80
max_descriptors=600
modes=("$@")
[ "${#modes[@]}" -gt 0 ] || modes=(whole pieces large_chunks small_chunks announced endless fields)

# REQUEST_MEMORY=none leaves the setting out, for binaries that do not know it.
start_limited_daemon() {
  write_pass_through_settings "$1"
  [ "${REQUEST_MEMORY:-}" = none ] || printf '[limits]\nmax_request_memory = 16 MiB\n' >>"$work/vm$1.ini"
  start_process "vm$1" "$daemon_binary" serve --settings "$work/vm$1.ini"
}

start_process cloud "$platform_fakes" cloud --address "$(cloud_address)"
for i in 1 2 3; do start_limited_daemon "$i"; done
wait_until 20 put_configuration 3 7 || fail "the first configuration was not accepted"
for i in 1 2 3; do wait_until 10 is_ready "$i" || fail "vm$i is not ready"; done
start_replica 1 plain
wait_until 10 is_usable 1 /look/x || fail "vm1 reaches no plain replica"

figure() { sed -e "s/.*\"$2\": \([a-z0-9]*\).*/\1/" <<<"$1"; }

problems=0
for mode in "${modes[@]}"; do
  connections=60
  [ "$mode" = fields ] && connections=300
  result=$(python3 "$(dirname "$0")/untrusted_crowd.py" --target "$(callers_address 1)" --pid "${process_ids[vm1]}" \
    --mode "$mode" --connections "$connections")
  echo "$result"
  [ "$(figure "$result" alive)" = true ] || fail "$mode: the process ended"
  [ "$(figure "$result" memory_mib)" -lt "$max_memory_mib" ] || { echo "$mode: over $max_memory_mib MiB"; problems=1; }
  [ "$(figure "$result" descriptors)" -lt "$max_descriptors" ] || { echo "$mode: over $max_descriptors descriptors"; problems=1; }
  wait_until 10 is_usable 1 /look/x || fail "$mode: an ordinary request got no answer afterwards"
done

# A single body inside the limits is served when there is no other load.
head -c $((4 * 1024 * 1024 - 1024)) /dev/zero >"$work/body"
status=$(curl -sS -o /dev/null -w '%{http_code}' -m 5 --data-binary "@$work/body" -H 'Host: shop' -H 'Request-Id: large' \
  -H 'Authorization: Token key-1' "http://$(callers_address 1)/look/x")
[ "$status" = 200 ] || fail "a single large body got status $status"
[ "$problems" -eq 0 ] || fail "memory or descriptors exceed their bounds"
