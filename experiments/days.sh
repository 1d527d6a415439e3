#!/usr/bin/env bash
# Plays days of one deployment on the users' bench with fixed seeds and prints a table of the
# results. The bench's reports stay in OUT_DIRECTORY, one JSON file a play.
#   days.sh BENCH SITE OUT_DIRECTORY WHY [DAYS [SEEDS [JOBS [BENCH_OPTIONS]]]]
#   days.sh ../kit/fleetbench rda-quito.toml out "placing by memory" "trouble-1 scale-1" "7 8" 4 --no-cpu
#
# Run it in a clone of the repository whose build is not changed meanwhile.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)

usage="usage: days.sh BENCH SITE OUT_DIRECTORY WHY [DAYS [SEEDS [JOBS [BENCH_OPTIONS]]]]"
bench=$(realpath "${1:?$usage}")
site=$(realpath "${2:?$usage}")
out=${3:?$usage}
why=${4:?$usage}
read -ra days <<<"${5:-trouble-1 scale-1 trouble-2 scale-2 trouble-3}"
read -ra seeds <<<"${6:-7 8}"
jobs=${7:-4}
read -ra options <<<"${8:---no-cpu}"
mkdir -p "$out"
out=$(cd "$out" && pwd)
cd "$here/.."

play() { # day/seed
  local day=${1%/*} seed=${1#*/}
  "$bench" run "$site" "$day" --seed "$seed" --report "$out/$day-$seed.json" \
    --why "$why ($day, seed $seed ${options[*]})" "${options[@]}" >"$out/$day-$seed.txt" 2>&1 ||
    echo "$day with seed $seed: the bench ended with status $?, see $out/$day-$seed.txt" >&2
}
export -f play
export bench site out why
export options_text="${options[*]}"

"$bench" build >"$out/build.txt"
for day in "${days[@]}"; do
  for seed in "${seeds[@]}"; do echo "$day/$seed"; done
done | xargs -P "$jobs" -I{} bash -c 'read -ra options <<<"$options_text"; play {}'

echo "play           worth    day  nines windows  kind  prices  failed refused"
jq -r 'def part(n): .parts | map(select(.[0] == n))[0][2] // 0;
  [(input_filename | split("/")[-1] | rtrimstr(".json")),
   (.parts | map(.[1] * .[2]) | add) - (.prices | map(.[2]) | add),
   part("whole day"), part("nines"), part("worst windows"), part("worst class"),
   (.prices | map(.[2]) | add), .failed, .refused] | @tsv' "$out"/*.json |
  awk '{ printf "%-13s %6.3f %6.3f %6.3f %7.3f %5.3f %7.3f %7.4f %7.4f\n",
         $1, $2, $3, $4, $5, $6, $7, $8, $9; sum += $2; n++ }
       END { if (n) printf "mean          %6.3f of %d plays\n", sum / n, n }'
