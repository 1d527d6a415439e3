#!/usr/bin/env bash
# Runs the whole system on 127.0.0.1: stand-ins for the platform and the targets, and two daemons.
#   local.sh        starts the system, sends sample requests and stops it; exits with 0 only if
#                   every step succeeded
#   local.sh up     starts the system and leaves it running
#   local.sh down   stops the system that `up` started
set -euo pipefail

here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/.." && pwd)
dist=$root/dist/target/sequoiareach
run=$here/.run
key=sk-sample-aserradero-sur
model=contract-70b

fail() {
  echo "local.sh: $*" >&2
  exit 1
}

build_if_missing() {
  [ -x "$dist/bin/sequoiareachd" ] && return
  (cd "$root" && mvn -B -ntp -q -DskipTests package)
}

start() { # name program arguments…
  local name=$1
  shift
  "$dist/bin/$1" "${@:2}" >"$run/$name.log" 2>&1 &
  echo $! >"$run/$name.pid"
}

wait_for() { # url seconds
  local i
  for ((i = 0; i < $2 * 10; i++)); do
    curl -fs -o /dev/null --max-time 1 "$1" && return
    sleep 0.1
  done
  fail "$1 did not answer within $2 s; see the logs in examples/.run"
}

up() {
  [ ! -e "$run/daemon-1.pid" ] || fail "already up; run 'local.sh down' first"
  build_if_missing
  mkdir -p "$run"
  start kv sequoiareach-standin kv --settings "$dist/conf/standin/kv.json"
  start vms sequoiareach-standin vms --settings "$dist/conf/standin/vms.json"
  start engines sequoiareach-standin engine --settings "$dist/conf/standin/engines.json"
  start service sequoiareach-standin service --settings "$dist/conf/standin/service.json"
  wait_for http://127.0.0.1:7001/healthz 20
  wait_for http://127.0.0.1:7002/healthz 20
  wait_for http://127.0.0.1:7103/healthz 20
  wait_for http://127.0.0.1:7301/healthz 20
  "$dist/bin/sequoiareach" sheet export "$dist/conf/sample-sheet.json" --base 0 \
    --settings "$dist/conf/client.json"
  start daemon-1 sequoiareachd --settings "$dist/conf/daemon-1.json"
  start daemon-2 sequoiareachd --settings "$dist/conf/daemon-2.json"
  wait_for http://127.0.0.1:9080/readyz 30
  wait_for http://127.0.0.1:9081/readyz 30
}

down() {
  local file pid i
  for file in "$run"/daemon-*.pid "$run"/*.pid; do
    [ -e "$file" ] || continue
    pid=$(cat "$file")
    kill "$pid" 2>/dev/null || true
    for ((i = 0; i < 150; i++)); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.1
    done
    kill -9 "$pid" 2>/dev/null || true
    rm -f "$file"
  done
}

stream_answer() {
  echo "== one long answer, streamed through daemon-1"
  curl -fsN --max-time 60 http://127.0.0.1:8080/v1/chat/completions \
    -H "Authorization: Bearer $key" -H 'Content-Type: application/json' \
    -d "{\"model\":\"$model\",\"stream\":true,\"max_tokens\":300,
         \"metadata\":{\"answer_tokens\":\"200\",\"marker\":\"draft\",\"call_class\":\"draft\"},
         \"messages\":[{\"role\":\"user\",\"content\":\"Draft a supply contract.\"}]}" |
    tee "$run/answer.sse" | sed -un 's/.*"content":"\([^"]*\)".*/\1/p' | tr -d '\n'
  echo
  grep -q 'data: \[DONE\]' "$run/answer.sse" || fail "the answer did not end with [DONE]"
}

book_load() { # daemon port, idempotency key, expected status
  local status
  status=$(curl -s -o "$run/booking.json" -w '%{http_code}' --max-time 20 \
    "http://127.0.0.1:$1/services/dispatch/bookings" -X POST \
    -H "Authorization: Bearer $key" -H "Idempotency-Key: $2" \
    -H 'Content-Type: application/json' -d '{"truck":"GTX-114","tonnes":22}')
  cat "$run/booking.json"
  echo
  [ "$status" = "$3" ] || fail "booking through port $1 answered $status, not $3"
}

run_sample_requests() {
  trap down EXIT
  up
  stream_answer
  echo "== one load booked through daemon-2"
  book_load 8081 booking-1 200
  echo "== the same booking again through daemon-1: refused, as the key was used"
  book_load 8080 booking-1 409
  echo "== status"
  "$dist/bin/sequoiareach" status --settings "$dist/conf/client.json"
}

case "${1:-run}" in
  run) run_sample_requests ;;
  up)
    up
    echo "SEQUOIAREACH_API_KEY=$key"
    echo "MODEL=$model"
    ;;
  down) down ;;
  *) fail "usage: local.sh [up|down]" ;;
esac
