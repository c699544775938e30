#!/bin/bash
# Explains calls through real daemons. Guards against an explanation that does not reach the thread
# of the calls, that an operator without the token gets, or whose exit code misleads a script.
set -euo pipefail
. "$(dirname "$0")/../../scripts/cluster.sh"
. "$(dirname "$0")/../../scripts/pass_through_cluster.sh"
cluster_begin 27600
explain() { "$daemon_binary" explain --entry "$(entry 1)" "$@"; }
exit_code_of() { local code=0; "$@" >/dev/null 2>"$work/err" || code=$?; echo "$code"; }

for i in 1 2 3; do start_pass_through_daemon "$i"; done
wait_until 20 put_configuration 1 7 || fail "the configuration was not accepted"
wait_until 10 is_ready 1 || fail "vm1 is not ready"
call=(--host Shop:80 --path /look/x --account office --tokens 100,20 --prompt ff:90,1a:10)
explain "${call[@]}" >"$work/text" || fail "no explanation"
grep -q '^route look: shop/look/' "$work/text" || fail "no route: $(cat "$work/text")"
grep -q 'status 503, no_endpoint' "$work/text" || fail "no outcome: $(cat "$work/text")"
explain "${call[@]}" --json | python3 -c 'import json, sys; json.load(sys.stdin)["services"][0]' || fail "no JSON"
[ "$(exit_code_of explain --host nowhere --path /x)" = 2 ] || fail "unknown host: $(cat "$work/err")"
[ "$(exit_code_of explain --host shop --path /look/x --account nobody)" = 2 ] || fail "unknown account: $(cat "$work/err")"
[ "$(exit_code_of "$daemon_binary" explain --entry 127.0.0.1:1 --host shop --path /x)" = 1 ] || fail "unreachable entry: $(cat "$work/err")"
LAGOONLADDER_TOKEN=wrong
[ "$(exit_code_of explain "${call[@]}")" = 1 ] || fail "wrong token: $(cat "$work/err")"
