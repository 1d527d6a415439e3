#!/usr/bin/env bash
# Compares policies on one deployment. Each policy gets its own fleet of stand-ins and daemons; all
# fleets run in parallel.
#   compare.sh DEPLOYMENT OUT_DIRECTORY [LOAD_FACTORS [SEEDS [POLICIES]]]
#   compare.sh astillas comparison "0.8 1.0" "1 2 3" "expected-memory round-robin"
#
# The report compares the first policy with the others. On exit, the script stops only the processes
# that it started.
set -euo pipefail
source "$(dirname "$0")/fleet.sh"

deployment=$here/${1:?usage: compare.sh DEPLOYMENT OUT_DIRECTORY [LOAD_FACTORS [SEEDS [POLICIES]]]}
out=${2:?OUT_DIRECTORY of the report is missing}
read -ra factors <<<"${3:-0.8 1.0}"
read -ra seeds <<<"${4:-1 2 3}"
read -ra policies \
  <<<"${5:-expected-memory max-length-reservation least-outstanding round-robin}"
source "$deployment/deployment.env"
work=$(mktemp -d)
trap stop_all EXIT
build_if_missing

export_sheet() { # fleet
  local i entries=""
  for ((i = 1; i <= DAEMONS; i++)); do
    entries+="${entries:+, }{\"id\": \"daemon-$i\","
    entries+=" \"operators\": \"127.0.0.1:$(port "$1" $((600 + i)))\"}"
  done
  echo "{\"keyValueService\": {\"addresses\": [\"127.0.0.1:$(port "$1" 1)\"]}," \
    "\"daemons\": [$entries]}" >"$work/client-$1.json"
  "$dist/bin/sequoiareach" sheet export "$deployment/sheet.json" --base 0 \
    --settings "$work/client-$1.json"
}

start_daemons() { # fleet policy
  local i
  for ((i = 1; i <= DAEMONS; i++)); do
    write_daemon_settings "$1" "$i" "$2"
    start "daemon-$1-$i" sequoiareachd --settings "$work/daemon-$1-$i.json"
  done
  for ((i = 1; i <= DAEMONS; i++)); do
    wait_for "http://127.0.0.1:$(port "$1" $((600 + i)))/readyz" 60
  done
}

policy_json() { # fleet policy
  echo "{\"name\": \"$2\"," \
    "\"callers\": $(json_array $(addresses "$1" 500 "$DAEMONS"))," \
    "\"targets\": {\"engines\": $(json_array $(addresses "$1" 100 "$ENGINES"))," \
    "\"services\": $(json_array $(addresses "$1" 300 "$SERVICES"))}}"
}

entries=""
for ((fleet = 1; fleet <= ${#policies[@]}; fleet++)); do
  policy=${policies[$((fleet - 1))]}
  start_engines "$fleet" "$ENGINES"
  start_platform "$fleet"
  export_sheet "$fleet"
  start_daemons "$fleet" "$policy"
  entries+="${entries:+, }$(policy_json "$fleet" "$policy")"
done
cp "$deployment/run.json" "$work/run.json"
echo "{\"name\": \"$(basename "$deployment"): policies side by side\", \"run\": \"run.json\"," \
  "\"loadFactors\": [$(IFS=,; echo "${factors[*]}")], \"seeds\": [$(IFS=,; echo "${seeds[*]}")]," \
  "\"simultaneous\": true, \"pauseMs\": 3000, \"policies\": [$entries]}" >"$work/compare.json"
echo "logs and settings are in $work"
"$dist/bin/sequoiareach-load" compare --settings "$work/compare.json" --out "$out"
