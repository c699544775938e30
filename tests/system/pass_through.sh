#!/bin/bash
# Runs daemons, replicas and callers with the platform's protocol. Guards against calls that
# are lost or executed twice during the drain of a replica, a planned stop, a kill and a
# configuration change, and against usage that is not reported.
set -euo pipefail
. "$(dirname "$0")/../../scripts/cluster.sh"
. "$(dirname "$0")/../../scripts/pass_through_cluster.sh"
cluster_begin 24600

start_process cloud "$platform_fakes" cloud --address "$(cloud_address)"
for i in 1 2 3 4; do start_pass_through_daemon "$i"; done
wait_until 20 put_configuration 4 7 || fail "the first configuration was not accepted"
for i in 1 2 3 4; do wait_until 10 is_ready "$i" || fail "vm$i is not ready"; done
start_replica 1 plain; start_replica 2 plain; start_replica 3 plain
start_replica 4 model --events 30; start_replica 5 model --events 30
for i in 1 2 3 4; do
  wait_until 10 is_usable "$i" /look/x || fail "vm$i reaches no plain replica"
  wait_until 10 is_usable "$i" /draft/x || fail "vm$i reaches no model replica"
done

# Invalid input is refused.
[ "$(curl -s -o /dev/null -w '%{http_code}' -X POST --data '{"version": 8' "http://$(operator_address 1)/Config.Put")" = 400 ] || fail "a truncated configuration was not rejected"
[ "$(curl -s -o /dev/null -w '%{http_code}' -X POST --data 'noise' "http://$(operator_address 1)/Replicas.Heartbeat/x")" = 400 ] || fail "an unreadable heartbeat was not rejected"
[ "$(curl -s -o /dev/null -w '%{http_code}' -H 'Host: shop' -H 'Request-Id: bad-key' "http://$(callers_address 1)/look/x")" = 401 ] || fail "a call without a key was not rejected"

load books /book/x 200 40 &
books=$!
load drafts /draft/x 60 12 --deadline-ms 8000 &
drafts=$!
sleep 1
put_configuration 2 9 || fail "a change was not accepted"
stop_process replica1 TERM
stop_process vm4 TERM
[ "$stopped_with" -eq 0 ] || fail "the planned stop of vm4 was not clean: $stopped_with"
wait "$books" || fail "a booking around the planned stop: $(cat "$work/books.json" "$work/books.err")"
wait "$drafts" || fail "a stream around the planned stop: $(cat "$work/drafts.json" "$work/drafts.err")"
[ "$(cut -d' ' -f1 "$work/runs" | grep '^books-' | sort | uniq -d | wc -l)" -eq 0 ] || fail "a booking ran twice"
[ "$(grep -c ' office$' "$work/runs")" -eq "$(wc -l <"$work/runs")" ] || fail "a run without its account"

# Only the calls in progress at a killed daemon fail; callers repeat those that are idempotent.
load looks /look/x 150 50 --retries 3 &
looks=$!
sleep 1
stop_process vm2 KILL
wait "$looks" || fail "a look-up around the kill: $(cat "$work/looks.json" "$work/looks.err")"
wait_until 10 put_configuration 1 12 || fail "no change was accepted after the kill"
[ "$(version_at 3)" = 12 ] || fail "vm3 reads back $(version_at 3)"

start_pass_through_daemon 2
is_current() { [ "$(version_at 2)" = 12 ]; }
wait_until 15 is_current || fail "vm2 reads back $(version_at 2)"
grep -q '^/usage vm[0-9] [0-9]* .*office' "$work/cloud.log" || fail "no usage was reported"
