#!/bin/bash
# Guards against an accepted completion that is lost, or has repeated or missing tokens, when
# the entry that accepted it is killed.
set -euo pipefail
. "$(dirname "$0")/../../scripts/cluster.sh"
cluster_begin 22800
start_daemons
for i in 1 2 3; do start_engine "$i" v1 --token-interval-us 10000; done
write_configuration "$work/configuration.ini" v1
"$daemon_binary" apply "$work/configuration.ini" --base 0 --wait --wait-timeout 20s
wait_for_endpoints
expected_tokens "a lost entry" 300 >"$work/expected"

curl -sS -N -m 30 -D "$work/headers" -H "Authorization: Bearer $account_key" "http://$(entry 5)/v1/chat/completions" \
  -d '{"model":"advisor","messages":[{"role":"user","content":"a lost entry"}],"max_tokens":300,"stream":true}' \
  >"$work/first" 2>/dev/null &
caller=$!
sleep 1
stop_process vm5 KILL
wait "$caller" && fail "the stream ended as if it were complete"
id=$(tr -d '\r' <"$work/headers" | sed -n 's/^X-Request-Id: //p')
[ -n "$id" ] || fail "no request id: $(cat "$work/headers")"
tokens_in "$work/first" >"$work/tokens"
got=$(wc -l <"$work/tokens")
[ "$got" -gt 0 ] && [ "$got" -lt 300 ] || fail "$got tokens before the entry died"

# Any entry returns the remaining tokens; the companion takes over after the owner is
# considered dead.
fetch_rest() {
  curl -sS -N -m 30 -H "Authorization: Bearer $account_key" "http://$(entry "$1")/v1/requests/$id?offset=$got" >"$work/rest"
  grep -q 'data: \[DONE\]' "$work/rest"
}
wait_until 25 fetch_rest 2 || fail "the rest of the response is missing: $(tail -c 400 "$work/rest")"
tokens_in "$work/rest" >>"$work/tokens"
cmp -s "$work/tokens" "$work/expected" ||
  fail "$(wc -l <"$work/tokens") tokens, $got of them before the entry died, differ from the 300 expected ones"
# An entry that does not hold the request must refuse a wrong key too.
code=$(curl -sS -o /dev/null -w '%{http_code}' -m 10 -H "Authorization: Bearer nobody" "http://$(entry 1)/v1/requests/$id?offset=0")
[ "$code" = 401 ] || fail "a wrong key got $code"
