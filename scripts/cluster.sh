# Starts and stops daemons and fakes on loopback; sourced by the demo, the
# benchmark and the system tests. All processes are stopped by their process id
# whenever the script ends.
#
# Ports from $port_base: +1.. HTTP of daemon i, +20.. control of daemon i,
# +40.. engines, +60.. plain services, +80 cloud.

repository=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build="${BUILD_DIR:-$repository/build}"
daemon_binary="$build/src/process/cli/lagoonladder"
fakes_binary="$build/tools/fakes/lagoonladder-fakes"
data_centres=(- dc1 dc2 dc3 dc4 dc1)
account_key="office-key-1"
declare -A process_ids=()

# cluster_begin PORT_BASE: creates the temporary folder and registers the clean-up.
cluster_begin() {
  port_base=$1
  work=$(mktemp -d)
  export LAGOONLADDER_TOKEN="operator-secret"
  export LAGOONLADDER_ENTRIES=""
  local i
  for i in 1 2 3 4 5; do
    LAGOONLADDER_ENTRIES+="${LAGOONLADDER_ENTRIES:+,}$(entry "$i")"
  done
  trap cluster_end EXIT
  trap 'exit 130' INT TERM
}

cluster_end() {
  local status=$?
  trap - EXIT
  # An error must not keep the clean-up from stopping the processes.
  set +e
  local name
  for name in "${!process_ids[@]}"; do
    kill -KILL "${process_ids[$name]}" 2>/dev/null
  done
  wait 2>/dev/null
  [ "$status" -ne 0 ] && print_logs >&2
  [ -n "${KEEP_WORK:-}" ] && cp -r "$work" "$KEEP_WORK"
  rm -rf "$work"
  exit "$status"
}

print_logs() {
  local name
  for name in "$work"/vm*.log; do
    echo "--- last lines of $(basename "$name")"
    grep -v 'path=/v1/endpoints' "$name" | tail -n "${LOG_LINES:-6}"
  done
}

fail() {
  echo "FAILED: $*" >&2
  exit 1
}

# start_process NAME COMMAND...: runs the command in the background with its output in NAME.log.
start_process() {
  local name=$1
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  process_ids[$name]=$!
}

# signal_process NAME SIGNAL
signal_process() { kill "-$2" "${process_ids[$1]}"; }

# stop_process NAME SIGNAL: sends the signal, waits for the end and sets $stopped_with to the
# exit code.
stop_process() {
  local id=${process_ids[$1]}
  unset "process_ids[$1]"
  kill "-$2" "$id" 2>/dev/null || true
  stopped_with=0
  wait "$id" 2>/dev/null || stopped_with=$?
}

# wait_until SECONDS COMMAND...: repeats the command until it succeeds.
wait_until() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.1
  done
}

entry() { echo "127.0.0.1:$((port_base + $1))"; }
control_address() { echo "127.0.0.1:$((port_base + 20 + $1))"; }
engine_address() { echo "127.0.0.1:$((port_base + 40 + $1))"; }
plain_address() { echo "127.0.0.1:$((port_base + 60 + $1))"; }
cloud_address() { echo "127.0.0.1:$((port_base + 80))"; }

write_settings() {
  local i=$1
  {
    printf '[vm]\nid = vm%s\ndata_centre = %s\n' "$i" "${data_centres[$i]}"
    printf '[listen]\nhttp = %s\ncontrol = %s\n' "$(entry "$i")" "$(control_address "$i")"
    printf '[peers]\nseeds = %s, %s, %s\n' "$(control_address 1)" "$(control_address 2)" "$(control_address 3)"
    if [ "$i" -le 3 ]; then
      printf '[storage]\ndata_folder = %s\n' "$work/data$i"
      printf 'initial_voters = vm1@%s, vm2@%s, vm3@%s\n' "$(control_address 1)" "$(control_address 2)" "$(control_address 3)"
    fi
    printf '[security]\noperator_token = %s\nendpoint_token = endpoint-secret\ncluster_token = cluster-secret\n' "$LAGOONLADDER_TOKEN"
    printf '[timing]\nentry_list_max_age = %s\n' "${ENTRY_LIST_MAX_AGE:-2 s}"
    printf '[platform]\ncloud_api = %s\n' "$(cloud_address)"
  } >"$work/vm$i.ini"
}

start_daemon() {
  write_settings "$1"
  start_process "vm$1" "$daemon_binary" serve --settings "$work/vm$1.ini"
}

start_daemons() {
  local i
  for i in 1 2 3 4 5; do start_daemon "$i"; done
  for i in 1 2 3 4 5; do
    wait_until 20 is_ready "$i" || fail "daemon vm$i is not ready"
  done
}

operator_get() { curl -sS -m 5 -H "Authorization: Bearer $LAGOONLADDER_TOKEN" "http://$(entry "$1")/v1/operator/$2"; }
is_ready() { operator_get "$1" status | grep -q '"ready":true'; }

# endpoint_options INDEX ADDRESS SERVICE VERSION ID
endpoint_options() {
  local entries="$LAGOONLADDER_ENTRIES"
  # Announcements start at different entries, as those of real endpoints do.
  local rotations=$(($1 % 5))
  while [ "$rotations" -gt 0 ]; do
    entries="${entries#*,},${entries%%,*}"
    rotations=$((rotations - 1))
  done
  echo --listen "$2" --service "$3" --version "$4" --id "$5" --vm "vm-$5" \
    --data-centre "dc$(($1 % 4 + 1))" --reclaimable --entries "$entries" --endpoint-token endpoint-secret
}

# start_engine INDEX VERSION [OPTIONS...]
start_engine() {
  local i=$1 version=$2
  shift 2
  # shellcheck disable=SC2046
  start_process "engine$i" "$fakes_binary" engine $(endpoint_options "$i" "$(engine_address "$i")" advisor "$version" "engine$i") "$@"
}

# start_plain INDEX VERSION
start_plain() {
  # shellcheck disable=SC2046
  start_process "plain$1" "$fakes_binary" booking $(endpoint_options "$1" "$(plain_address "$1")" booking "$2" "plain$1")
}

start_cloud() { start_process cloud "$fakes_binary" cloud --listen "$(cloud_address)"; }

# knows_endpoints ENTRY COUNT: whether the entry lists exactly COUNT endpoints.
knows_endpoints() {
  [ "$(operator_get "$1" status | grep -o '"slots":' | wc -l)" -eq "$2" ]
}

# wait_for_endpoints: waits until all entries list the running endpoints and no others.
wait_for_endpoints() {
  local i count=0
  for i in "${!process_ids[@]}"; do
    case "$i" in engine* | plain*) count=$((count + 1)) ;; esac
  done
  for i in 1 2 3 4 5; do
    wait_until 20 knows_endpoints "$i" "$count" || fail "vm$i does not know $count endpoints"
  done
}

# write_configuration FILE ADVISOR_VERSION [BOOKING_VERSION]
write_configuration() {
  sed -e "s/^version = @advisor@/version = $2/" -e "s/^version = @booking@/version = ${3:-v1}/" \
    -e "s/@key_sha256@/$("$daemon_binary" hash-key "$account_key")/" "$repository/scripts/cluster.ini" >"$1"
}

generation() { operator_get 1 configuration | grep -o '"generation":[0-9]*' | head -n 1 | cut -d: -f2; }

# chat ENTRY PROMPT TOKENS STREAM: prints the raw response; STREAM is true or false.
chat() {
  curl -sS -N -m "${CHAT_TIMEOUT:-60}" -H "Authorization: Bearer $account_key" -H 'Content-Type: application/json' \
    "http://$(entry "$1")/v1/chat/completions" \
    -d "{\"model\":\"advisor\",\"messages\":[{\"role\":\"user\",\"content\":\"$2\"}],\"max_tokens\":$3,\"stream\":$4}"
}

# tokens_in FILE: prints the generated tokens of a raw response, one per line.
tokens_in() { grep -oE 't[0-9]+-[0-9a-f]{6}' "$1" || true; }

# expected_tokens PROMPT TOKENS [ENGINE]: prints the tokens that an engine returns directly.
expected_tokens() {
  curl -sS -m 60 "http://$(engine_address "${3:-1}")/v1/chat/completions" \
    -d "{\"messages\":[{\"role\":\"user\",\"content\":\"$1\"}],\"max_tokens\":$2}" | grep -oE 't[0-9]+-[0-9a-f]{6}'
}

# book ENTRY KEY [BODY]: prints "STATUS BODY".
book() {
  curl -sS -m 30 -w '\n%{http_code}' -H "Authorization: Bearer $account_key" -H 'X-Request-Timeout: 8' ${2:+-H "Idempotency-Key: $2"} \
    -H 'Content-Type: application/json' "http://$(entry "$1")/services/booking/bookings" -d "${3:-{\}}" |
    awk 'NR > 1 { printf "%s ", last } { last = $0 } END { print last }' | awk '{ status = $NF; $NF = ""; print status, $0 }'
}

plain_get() { curl -sS -m 10 "http://$(plain_address "$1")$2"; }
# executions KEY: prints how often both plain services together executed a key.
executions() {
  local i total=0 count
  for i in 1 2; do
    count=$(plain_get "$i" /v1/stats 2>/dev/null | grep -o "\"$1\":[0-9]*" | cut -d: -f2 || true)
    total=$((total + ${count:-0}))
  done
  echo "$total"
}
set_fault() { curl -sS -m 5 -o /dev/null "http://$1/v1/fault" -d "$2" || true; }
