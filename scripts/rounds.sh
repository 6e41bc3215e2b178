#!/usr/bin/env bash
# Plays the same days and seeds on two commits, side by side, so that a loss that
# breaks no rule shows:
#   scripts/rounds.sh [-s SEEDS] [-j JOBS] [-o DIRECTORY] BENCH BASE NEW SITE.toml DAY...
# BENCH is the path of the users' bench, DAY a name of the site or a day file, which
# is varied by its seed.  Clones of the commits stay under ${TMPDIR:-/tmp}; their
# journal entries are left there.  DIRECTORY (out/rounds) gets a table and a plot
# of the worth for each site.  Ends with 1 if the median worth of a day falls by
# 0.05 or more, or if a rule is broken on NEW.
set -euo pipefail

usage () {
  sed -n '2,9p' "$0" | sed 's/^# \{0,1\}//' >&2
  exit 2
}

seeds="1 2 3"
jobs=3
directory=out/rounds
while getopts s:j:o: option; do
  case $option in
    s) seeds=$OPTARG ;;
    j) jobs=$OPTARG ;;
    o) directory=$OPTARG ;;
    *) usage ;;
  esac
done
shift $((OPTIND - 1))
[ $# -ge 5 ] || usage
bench=$(realpath "$1")
repository=$(git rev-parse --show-toplevel)
base=$(git rev-parse --short "$2")
new=$(git rev-parse --short "$3")
site=$(realpath "$4")
shift 4
clones=${TMPDIR:-/tmp}
name=$(basename "$site" .toml)
mkdir -p "$directory"
results=$(mktemp)
trap 'rm -f "$results"' EXIT

for commit in "$base" "$new"; do
  if [ ! -d "$clones/rounds-$commit" ]; then
    git clone -q "$repository" "$clones/rounds-$commit"
    git -C "$clones/rounds-$commit" checkout -q "$commit"
  fi
  (cd "$clones/rounds-$commit" && "$bench" build >/dev/null)
done

# Plays one day and prints "COMMIT DAY SEED WORTH RULES".
play () {
  local commit=$1 day=$2 seed=$3 vary=()
  [[ $day == *.toml ]] && vary=(--vary)
  (cd "$clones/rounds-$commit" \
    && "$bench" run "$site" "$day" --seed "$seed" "${vary[@]}" --why "rounds of $base and $new" 2>&1) \
    | awk -v head="$commit $(basename "$day" .toml) $seed" '
        $2 ~ /^[0-9]+\/[0-9]+$/ {
          worth = $4
          if (sub (/.*BROKEN: /, "")) rules = $1
        }
        END { print head, (worth == "" ? "none" : worth), (rules == "" ? "-" : rules) }'
}
export -f play
export bench base new site clones

for day in "$@"; do
  [[ $day == *.toml ]] && day=$(realpath "$day")
  for seed in $seeds; do
    for commit in "$base" "$new"; do
      printf '%s\0%s\0%s\0' "$commit" "$day" "$seed"
    done
  done
done | xargs -0 -n 3 -P "$jobs" bash -c 'play "$@"' _ >"$results"

# Median, lowest and highest worth of a commit on a day.
spread () {
  awk -v commit="$1" -v day="$2" '$1 == commit && $2 == day && $4 != "none" { print $4 }' "$results" | sort -n \
    | awk '{ v[NR] = $1 }
           END { if (NR == 0) print "- - -"
                 else print (NR % 2 ? v[(NR + 1) / 2] : (v[NR / 2] + v[NR / 2 + 1]) / 2), v[1], v[NR] }'
}

status=0
table="$directory/$name.md"
data="$directory/$name.dat"
{
  echo "| $name, seeds $seeds | $base: median (range) | $new: median (range) | change | broken on $new |"
  echo "|---|---|---|---|---|"
} >"$table"
: >"$data"
for day in "$@"; do
  day=$(basename "$day" .toml)
  read -r base_median base_low base_high <<<"$(spread "$base" "$day")"
  read -r new_median new_low new_high <<<"$(spread "$new" "$day")"
  rules=$(awk -v commit="$new" -v day="$day" '$1 == commit && $2 == day && $5 != "-" { printf "%s (seed %s) ", $5, $3 }' "$results")
  if [ "$base_median" = - ] || [ "$new_median" = - ]; then
    echo "| $day | no result | no result | | |" >>"$table"
    status=3
    continue
  fi
  change=$(awk "BEGIN { printf \"%+.3f\", $new_median - $base_median }")
  echo "| $day | $base_median ($base_low to $base_high) | $new_median ($new_low to $new_high) | $change | ${rules:--} |" >>"$table"
  echo "$day $base_median $base_low $base_high $new_median $new_low $new_high" >>"$data"
  awk "BEGIN { exit !($base_median - $new_median >= 0.05) }" && status=1
  [ -n "$rules" ] && status=1
done
cat "$table"
if [ -s "$data" ] && command -v gnuplot >/dev/null; then
  gnuplot <<PLOT
set terminal svg size 900,400
set output "$directory/$name.svg"
set title "$name: worth, median and range of seeds $seeds"
set style data histogram
set style histogram errorbars gap 1 linewidth 1
set style fill solid 0.5
set yrange [0:*]
set xtics rotate by -20 noenhanced
set key noenhanced
plot "$data" using 2:3:4:xtic(1) title "$base", "" using 5:6:7 title "$new"
PLOT
fi
exit "$status"
