# Functions that start and stop stand-ins and daemons for experiments. The script that sources this
# file sets `deployment` and `work`, the directory of logs and settings, and sources deployment.env.
#
# Every fleet has a number. Its ports are offsets from 20000 + 1000 * number:
#   +1 key-value service, +2 VM list, +101… engines, +301… services,
#   +501… callers, +601… operators and +701… peers of the daemons.

here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
root=$(cd "$here/.." && pwd)
dist=$root/dist/target/sequoiareach
PIDS=()

fail() {
  echo "$(basename "$0"): $*" >&2
  exit 1
}

build_if_missing() {
  [ -x "$dist/bin/sequoiareachd" ] && return
  (cd "$root" && mvn -B -ntp -q -DskipTests package)
}

start() { # log-name program arguments…
  local name=$1
  shift
  "$dist/bin/$1" "${@:2}" >"$work/$name.log" 2>&1 &
  PIDS+=($!)
}

# Stops the processes that this shell started, the last one first, so that daemons stop before the
# stand-ins that they use. A process that runs for 10 s after SIGTERM is killed.
stop_all() {
  local i pid waited
  for ((i = ${#PIDS[@]} - 1; i >= 0; i--)); do
    pid=${PIDS[$i]}
    kill "$pid" 2>/dev/null || continue
    for ((waited = 0; waited < 100; waited++)); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.1
    done
    kill -9 "$pid" 2>/dev/null || true
  done
  PIDS=()
}

wait_for() { # url seconds
  local i
  for ((i = 0; i < $2 * 10; i++)); do
    curl -fs -o /dev/null --max-time 1 "$1" && return
    sleep 0.1
  done
  fail "$1 did not answer within $2 s; see the logs in $work"
}

zone_of() { # number
  echo "${ZONES[$((($1 - 1) % ${#ZONES[@]}))]}"
}

port() { # fleet offset
  echo $((20000 + 1000 * $1 + $2))
}

addresses() { # fleet first-offset count: http addresses on one line
  local i
  for ((i = 1; i <= $3; i++)); do
    echo -n "http://127.0.0.1:$(port "$1" $(($2 + i))) "
  done
}

json_array() { # words…
  local text
  text=$(printf '"%s", ' "$@")
  echo "[${text%, }]"
}

# Prints the members of a file's JSON object on one line, without the enclosing braces.
json_members() { # file
  tr -d '\n' <"$1" | sed 's/^ *{//; s/} *$//'
}

write_engine_settings() { # fleet count
  local i entries=""
  for ((i = 1; i <= $2; i++)); do
    entries+="${entries:+,}{\"listen\": \"127.0.0.1:$(port "$1" $((100 + i)))\", \"id\": \"e$i\","
    entries+=" \"zone\": \"$(zone_of "$i")\", \"models\": [\"$MODEL\"],"
    entries+=" $(json_members "$deployment/engine.json")}"
  done
  echo "{\"engines\": [$entries]}" >"$work/engines-$1.json"
}

write_vm_settings() { # fleet
  local i entries=""
  for ((i = 1; i <= ENGINES; i++)); do
    entries+="{\"id\": \"e$i\", \"kind\": \"engine\","
    entries+=" \"address\": \"127.0.0.1:$(port "$1" $((100 + i)))\","
    entries+=" \"zone\": \"$(zone_of "$i")\", \"leaving\": false, \"serves\": [\"$MODEL\"]},"
  done
  for ((i = 1; i <= SERVICES; i++)); do
    entries+="{\"id\": \"s$i\", \"kind\": \"service\","
    entries+=" \"address\": \"127.0.0.1:$(port "$1" $((300 + i)))\","
    entries+=" \"zone\": \"$(zone_of "$i")\", \"leaving\": false, \"serves\": [\"$SERVICE\"]},"
  done
  for ((i = 1; i <= DAEMONS; i++)); do
    entries+="{\"id\": \"daemon-$i\", \"kind\": \"daemon\","
    entries+=" \"address\": \"127.0.0.1:$(port "$1" $((700 + i)))\","
    entries+=" \"zone\": \"$(zone_of "$i")\", \"leaving\": false, \"serves\": []},"
  done
  echo "{\"listen\": \"127.0.0.1:$(port "$1" 2)\", \"lagMs\": 2000, \"vms\": [${entries%,}]}" \
    >"$work/vms-$1.json"
}

write_daemon_settings() { # fleet number policy
  cat >"$work/daemon-$1-$2.json" <<EOF
{
  "daemonId": "daemon-$2",
  "zone": "$(zone_of "$2")",
  "callers": {"address": "127.0.0.1:$(port "$1" $((500 + $2)))"},
  "operators": {"address": "127.0.0.1:$(port "$1" $((600 + $2)))"},
  "peers": {"address": "127.0.0.1:$(port "$1" $((700 + $2)))"},
  "keyValueService": {"addresses": ["127.0.0.1:$(port "$1" 1)"]},
  "vmList": {"address": "127.0.0.1:$(port "$1" 2)"},
  "policy": {"name": "$3"},
  "drainDeadlineMs": 10000
}
EOF
}

start_engines() { # fleet count
  write_engine_settings "$1" "$2"
  start "engines-$1" sequoiareach-standin engine --settings "$work/engines-$1.json"
  wait_for "http://127.0.0.1:$(port "$1" $((100 + $2)))/healthz" 30
}

start_platform() { # fleet
  local i
  echo "{\"listen\": \"127.0.0.1:$(port "$1" 1)\", \"writesPerSecond\": 400," \
    "\"readsPerSecond\": 2000}" >"$work/kv-$1.json"
  write_vm_settings "$1"
  start "kv-$1" sequoiareach-standin kv --settings "$work/kv-$1.json"
  start "vms-$1" sequoiareach-standin vms --settings "$work/vms-$1.json"
  for ((i = 1; i <= SERVICES; i++)); do
    echo "{\"listen\": \"127.0.0.1:$(port "$1" $((300 + i)))\", \"name\": \"$SERVICE\"," \
      "\"id\": \"s$i\"}" >"$work/service-$1-$i.json"
    start "service-$1-$i" sequoiareach-standin service --settings "$work/service-$1-$i.json"
  done
  wait_for "http://127.0.0.1:$(port "$1" 1)/healthz" 30
  wait_for "http://127.0.0.1:$(port "$1" 2)/healthz" 30
  wait_for "http://127.0.0.1:$(port "$1" $((300 + SERVICES)))/healthz" 30
}
