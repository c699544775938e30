# Daemons, replicas and callers of the platform's protocol on loopback; sourced by system tests
# after cluster.sh. Ports from $port_base: +100.. callers of daemon i, +120.. its control calls,
# +140.. its directory, +160.. its readiness, +180.. replicas.

platform_fakes="$build/platform/fakes/lagoonladder-platform-fakes"

callers_address() { echo "127.0.0.1:$((port_base + 100 + $1))"; }
operator_address() { echo "127.0.0.1:$((port_base + 120 + $1))"; }
directory_address() { echo "127.0.0.1:$((port_base + 140 + $1))"; }
readiness_address() { echo "127.0.0.1:$((port_base + 160 + $1))"; }
replica_address() { echo "127.0.0.1:$((port_base + 180 + $1))"; }

# The platform gives the initial voters (`founders`) by address only, without VM ids.
write_pass_through_settings() {
  local i=$1
  ENTRY_LIST_MAX_AGE="2 s" write_settings "$i"
  sed -i -e 's/^initial_voters = .*/founders = '"$(control_address 1), $(control_address 2), $(control_address 3)"'/' \
    -e '/^\[platform\]/,$d' "$work/vm$i.ini"
  {
    printf 'gossip_interval = 200 ms\nstate_poll_interval = 200 ms\ndrain_timeout = 8 s\n'
    printf '[pass_through]\ncallers = %s\ncontrol = %s\ndirectory = %s\nreadiness = %s\n' \
      "$(callers_address "$i")" "$(operator_address "$i")" "$(directory_address "$i")" "$(readiness_address "$i")"
    printf 'platform_api = %s\nusage_window = 1 s\nduty_lease = 500 ms\n' "$(cloud_address)"
  } >>"$work/vm$i.ini"
}

start_pass_through_daemon() {
  write_pass_through_settings "$1"
  start_process "vm$1" "$daemon_binary" serve --settings "$work/vm$1.ini"
}

# start_replica NUMBER SERVICE OPTIONS...
start_replica() {
  local number=$1 service=$2
  shift 2
  start_process "replica$number" "$platform_fakes" replica --id "r$number" --service "$service" \
    --address "$(replica_address "$number")" --runs "$work/runs" \
    --control "$(operator_address 1),$(operator_address 2),$(operator_address 4)" "$@"
}

configuration() {
  cat <<JSON
{"version": $1,
 "routes": [
  {"name": "book", "hostname": "shop", "pathPrefix": "/book/", "routeType": "unsafe", "timeoutMs": 3000, "backend": "plain", "maxAttempts": 1},
  {"name": "look", "hostname": "shop", "pathPrefix": "/look/", "routeType": "safe", "timeoutMs": 3000, "backend": "plain", "maxAttempts": 2},
  {"name": "draft", "hostname": "shop", "pathPrefix": "/draft/", "routeType": "stream", "timeoutMs": 8000, "backend": "model", "maxAttempts": 2, "resumable": true}],
 "services": [{"name": "plain", "healthPath": "/h", "maxConnections": 100}, {"name": "model", "healthPath": "/h", "maxConnections": 100}],
 "tenants": [{"name": "office", "apiKeys": ["key-1"]}]}
JSON
}

put_configuration() { curl -sSf -m 3 -X POST --data "$(configuration "$2")" "http://$(operator_address "$1")/Config.Put"; }
version_at() { curl -sSf -m 3 "http://$(operator_address "$1")/Config.Get" | head -1 | tr -dc '0-9'; }
is_ready() { curl -sSf -m 1 "http://$(readiness_address "$1")/ready"; }
is_usable() { curl -sSf -m 1 -X POST -H 'Host: shop' -H "Request-Id: probe-$RANDOM" -H 'Authorization: Token key-1' "http://$(callers_address "$1")$2"; }

# load NAME PATH REQUESTS RATE OPTIONS...
load() {
  local name=$1 path=$2 requests=$3 rate=$4
  shift 4
  "$platform_fakes" load --prefix "$name" --host shop --path "$path" --key key-1 --requests "$requests" --rate "$rate" \
    --directory "$(directory_address 1),$(directory_address 2),$(directory_address 4)" "$@" >"$work/$name.json" 2>"$work/$name.err"
}
