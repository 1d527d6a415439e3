#!/usr/bin/env bash
# Measures the CPU time and memory that one daemon process uses, on 127.0.0.1 with one engine, to
# derive its cost per request and per token.
#   daemon-cost.sh TOKENS RATE...   prints a line for each rate (requests per second); every answer
#                                   has TOKENS tokens, 20 ms apart
# LIVE=1 also measures the live heap in the middle of each run. That forces a full garbage
# collection, which uses CPU time: take CPU figures from runs without it.
set -euo pipefail

here=$(cd "$(dirname "$0")" && pwd)
dist=$here/../dist/target/sequoiareach
tokens=$1
shift
run=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true' EXIT
duration_ms=${DURATION_MS:-15000}
port=${PORT:-24100}
kv=127.0.0.1:$port
vms=127.0.0.1:$((port + 1))
engine=127.0.0.1:$((port + 2))
callers=127.0.0.1:$((port + 3))
operators=127.0.0.1:$((port + 4))
peers=127.0.0.1:$((port + 5))

start() { # program arguments…
  "$dist/bin/$1" "${@:2}" >>"$run/$1.log" 2>&1 &
  pids+=($!)
}

wait_for() { # url
  local i
  for ((i = 0; i < 300; i++)); do
    curl -fs -o /dev/null --max-time 1 "$1" && return
    sleep 0.1
  done
  echo "$1 did not answer; see $run" >&2
  exit 1
}

cpu_ms() { # CPU time of the daemon since its start
  awk -v hz="$(getconf CLK_TCK)" '{print ($14 + $15) * 1000 / hz}' "/proc/$daemon/stat"
}

write_settings() {
  echo "{\"listen\": \"$kv\", \"writesPerSecond\": 400, \"readsPerSecond\": 2000}" >"$run/kv.json"
  cat >"$run/vms.json" <<END
{"listen": "$vms", "lagMs": 0, "vms": [
  {"id": "e1", "kind": "engine", "address": "$engine", "zone": "liberia-a", "leaving": false,
   "serves": ["contract-70b"]},
  {"id": "daemon-1", "kind": "daemon", "address": "$peers", "zone": "liberia-a",
   "leaving": false, "serves": []}]}
END
  cat >"$run/engines.json" <<END
{"engines": [{"listen": "$engine", "id": "e1", "zone": "liberia-a", "models": ["contract-70b"],
  "steps": {"stepBaseMs": 20, "stepPerSequenceMs": 0, "stepPerContextTokenMs": 0,
    "prefillPerTokenMs": 0.001, "prefillChunkTokens": 4096, "maxBatch": 1024},
  "memory": {"memoryBlocks": 100000, "blockTokens": 16},
  "answers": {"medianTokens": 120, "tailIndex": 1.2, "maxTokens": 8192, "seed": 1},
  "reports": {"loadLagMs": 100, "cacheEventLagMs": 100, "cacheEventGapShare": 0},
  "life": {"queueLimit": 1024, "keepAnswerMs": 10000, "reclaimAfterMs": 30000,
    "checksFence": true}}]}
END
  cat >"$run/daemon.json" <<END
{"daemonId": "daemon-1", "zone": "liberia-a", "callers": {"address": "$callers"},
 "operators": {"address": "$operators"}, "peers": {"address": "$peers"},
 "keyValueService": {"addresses": ["$kv"]}, "vmList": {"address": "$vms"},
 "policy": {"name": "expected-memory"}, "drainDeadlineMs": 600000}
END
  cat >"$run/client.json" <<END
{"keyValueService": {"addresses": ["$kv"]},
 "daemons": [{"id": "daemon-1", "operators": "$operators"}]}
END
  sed -E 's/"concurrentRequests": *[0-9]+/"concurrentRequests": 10000/;
    s/"requestsPerSecond": *[0-9]+/"requestsPerSecond": 10000/' \
    "$dist/conf/sample-sheet.json" >"$run/sheet.json"
}

write_run_settings() { # rate
  cat >"$run/run.json" <<END
{"name": "daemon cost", "seed": 1, "durationMs": $duration_ms, "maxRequests": 1000000,
 "drainMs": 20000, "callers": ["http://$callers"], "arrivals": {"ratePerSecond": $1},
 "organisations": [{"name": "aserradero-sur", "apiKey": "sk-sample-aserradero-sur", "weight": 1}],
 "classes": [{"kind": "generation", "name": "draft", "weight": 1, "model": "contract-70b",
   "callClass": "draft", "stream": true, "maxTokens": $tokens, "deadlineMs": 30000,
   "promptTokens": {"distribution": "FIXED", "median": 100, "least": 100, "most": 100},
   "answerTokens": {"distribution": "FIXED", "median": $tokens, "least": $tokens,
     "most": $tokens}}]}
END
}

measure_live_heap() { # live bytes after a full garbage collection, in the middle of the run
  sleep $((duration_ms / 2000 + 1))
  jcmd "$daemon" GC.class_histogram | awk '/^Total/ {print $3}' >"$run/live"
}

measure() { # rate
  write_run_settings "$1"
  : >"$run/live"
  [ "${LIVE:-0}" = 0 ] || measure_live_heap &
  local before after wall
  before=$(cpu_ms)
  wall=$(date +%s%3N)
  "$dist/bin/sequoiareach-load" run --settings "$run/run.json" --json "$run/report.json" \
    >"$run/report.txt" 2>&1 || cat "$run/report.txt"
  after=$(cpu_ms)
  wall=$(($(date +%s%3N) - wall))
  echo "tokens=$tokens rate=$1 cpu_ms=$(awk "BEGIN {print $after - $before}") wall_ms=$wall" \
    "rss_kb=$(awk '/VmRSS/ {print $2}' "/proc/$daemon/status")" \
    "live_bytes=$(cat "$run/live") load=$(cut -d' ' -f1 /proc/loadavg)"
  cp "$run/report.txt" "$run/report-$tokens-$1.txt"
}

write_settings
start sequoiareach-standin kv --settings "$run/kv.json"
start sequoiareach-standin vms --settings "$run/vms.json"
start sequoiareach-standin engine --settings "$run/engines.json"
wait_for "http://$kv/healthz"
wait_for "http://$vms/healthz"
wait_for "http://$engine/healthz"
"$dist/bin/sequoiareach" sheet export "$run/sheet.json" --base 0 --settings "$run/client.json"
start sequoiareachd --settings "$run/daemon.json"
daemon=${pids[-1]}
wait_for "http://$operators/readyz"
measure_idle() {
  local before
  before=$(cpu_ms)
  sleep 10
  echo "idle cpu_ms=$(awk "BEGIN {print $(cpu_ms) - $before}") wall_ms=10000" \
    "load=$(cut -d' ' -f1 /proc/loadavg)"
}

# The first run warms up the daemon; its line is printed as well.
measure "$1"
measure_idle
for rate in "$@"; do
  measure "$rate"
done
echo "reports are in $run"
