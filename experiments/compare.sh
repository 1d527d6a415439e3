#!/usr/bin/env bash
# Compares policies on one deployment: a fleet of stand-ins and daemons for each, side by side.
#   compare.sh DEPLOYMENT OUT_DIRECTORY [LOAD_FACTORS [SEEDS [POLICIES]]]
#   compare.sh astillas comparison "0.8 1.0" "1 2 3" "expected-memory round-robin"
#
# The first policy is the one that the report compares with the others. Ends exactly the processes
# that it started.
set -euo pipefail
source "$(dirname "$0")/fleet.sh"

deployment=$here/${1:?usage: compare.sh DEPLOYMENT OUT_DIRECTORY [LOAD_FACTORS [SEEDS [POLICIES]]]}
out=${2:?no directory for the report}
read -ra factors <<<"${3:-0.8 1.0}"
read -ra seeds <<<"${4:-1 2 3}"
read -ra policies \
  <<<"${5:-expected-memory max-length-reservation least-outstanding round-robin}"
source "$deployment/deployment.env"
work=$(mktemp -d)
trap stop_all EXIT
build_if_missing

export_sheet() { # fleet
  local i rows=""
  for ((i = 1; i <= DAEMONS; i++)); do
    rows+="${rows:+, }{\"id\": \"daemon-$i\", \"operators\": \"127.0.0.1:$(port "$1" $((600 + i)))\"}"
  done
  echo "{\"keyValueService\": {\"addresses\": [\"127.0.0.1:$(port "$1" 1)\"]}, \"daemons\": [$rows]}" \
    >"$work/client-$1.json"
  "$dist/bin/sequoiareach" sheet export "$deployment/sheet.json" --base 0 \
    --settings "$work/client-$1.json"
}

start_daemons() { # fleet policy
  local i
  for ((i = 1; i <= DAEMONS; i++)); do
    write_daemon "$1" "$i" "$2"
    start "daemon-$1-$i" sequoiareachd --settings "$work/daemon-$1-$i.json"
  done
  for ((i = 1; i <= DAEMONS; i++)); do
    wait_for "http://127.0.0.1:$(port "$1" $((600 + i)))/readyz" 60
  done
}

write_policy() { # fleet policy
  echo "{\"name\": \"$2\"," \
    "\"callers\": $(json_list $(addresses "$1" 500 "$DAEMONS"))," \
    "\"targets\": {\"engines\": $(json_list $(addresses "$1" 100 "$ENGINES"))," \
    "\"services\": $(json_list $(addresses "$1" 300 "$SERVICES"))}}"
}

rows=""
for ((fleet = 1; fleet <= ${#policies[@]}; fleet++)); do
  policy=${policies[$((fleet - 1))]}
  start_engines "$fleet" "$ENGINES"
  start_platform "$fleet"
  export_sheet "$fleet"
  start_daemons "$fleet" "$policy"
  rows+="${rows:+, }$(write_policy "$fleet" "$policy")"
done
cp "$deployment/run.json" "$work/run.json"
echo "{\"name\": \"$(basename "$deployment"): policies side by side\", \"run\": \"run.json\"," \
  "\"loadFactors\": [$(IFS=,; echo "${factors[*]}")], \"seeds\": [$(IFS=,; echo "${seeds[*]}")]," \
  "\"simultaneous\": true, \"pauseMs\": 3000, \"policies\": [$rows]}" >"$work/compare.json"
echo "logs and settings are in $work"
"$dist/bin/sequoiareach-load" compare --settings "$work/compare.json" --out "$out"
