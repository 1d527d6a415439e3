#!/usr/bin/env bash
# Measures the capacity of one engine of a deployment under direct load, without a daemon.
#   capacity.sh DEPLOYMENT [LOAD_FACTOR…]
#
# A load factor is relative to the arrival rate in run.json, which is the rate of the whole
# deployment. The capacity of the deployment, as a load factor, is the greatest factor at which the
# engine finishes every offered request with every seed, multiplied by the number of engines.
set -euo pipefail
source "$(dirname "$0")/fleet.sh"

deployment=$here/${1:?usage: capacity.sh DEPLOYMENT [LOAD_FACTOR…]}
shift
source "$deployment/deployment.env"
work=$(mktemp -d)
trap stop_all EXIT
build_if_missing
factors=("$@")
[ ${#factors[@]} -gt 0 ] || factors=(0.06 0.07 0.08)
classes=()
for name in "${GENERATION_CLASSES[@]}"; do
  classes+=(--class "$name")
done

# Each pair of factor and seed gets its own engine. Factors run in parallel, seeds in sequence.
start_engines 0 $((${#factors[@]} * 3))
n=0
for seed in 1 2 3; do
  runs=()
  for factor in "${factors[@]}"; do
    n=$((n + 1))
    engine=http://127.0.0.1:$(port 0 $((100 + n)))
    "$dist/bin/sequoiareach-load" run --settings "$deployment/run.json" --seed "$seed" \
      --load-factor "$factor" "${classes[@]}" --callers "$engine" --engines "$engine" \
      >"$work/run-$factor-$seed.txt" &
    runs+=($!)
  done
  for run in "${runs[@]}"; do
    wait "$run" || echo "a run with seed $seed ended with exit code $?"
  done
done
echo "columns of the class all, times in ms: ended finished refused failed tokens tok/s first50 first99 gap50 gap95 gap99 gap99.9" \
  "stall preemptions"
for factor in "${factors[@]}"; do
  for seed in 1 2 3; do
    echo "factor $factor seed $seed: $(sed -n 's/^all  *//p' "$work/run-$factor-$seed.txt")"
  done
done
