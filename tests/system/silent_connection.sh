#!/bin/bash
# Guards against a stream that hangs when its connection becomes silent permanently while new
# connections to the same endpoint work.
set -euo pipefail
. "$(dirname "$0")/../../scripts/cluster.sh"
cluster_begin 22300
start_daemons
relay="127.0.0.1:$((port_base + 90))"
start_process relay "$fakes_binary" relay --listen "$relay" --to "$(engine_address 1)"
start_engine 1 v1 --address "$relay"
write_configuration "$work/configuration.ini" v1
"$daemon_binary" apply "$work/configuration.ini" --base 0 --wait --wait-timeout 20s
wait_for_endpoints

expected_tokens "a silent stream" 200 >"$work/expected"
started=$(date +%s%N)
chat 1 "a silent stream" 200 true >"$work/stream" &
stream=$!
sleep 1
signal_process relay USR1
wait "$stream" || fail "the stream broke"
milliseconds=$((($(date +%s%N) - started) / 1000000))
tokens_in "$work/stream" | cmp -s - "$work/expected" ||
  fail "the stream has $(tokens_in "$work/stream" | wc -l) tokens, not the 200 expected ones"
[ "$milliseconds" -lt 10000 ] || fail "the stream took $milliseconds ms"
echo "stream of 200 tokens complete after $milliseconds ms, progress timeout 2 s"
