#!/usr/bin/env bash
# Plays a day with losses of all power again and again, with the lines that follow each change and each end (verbosity 2), and
# keeps the logs of the plays in which a rule broke. Every figure it prints is simulated; each play leaves an entry in the journal
# of the scratch copy, which is copied to journal/ of the repository.
#
#   FLEETBENCH=PATH tools/power-plays.sh [-d DAY] [-n COUNT] [-s SEED] [-j N] [-o DIR] [-w WHY] SITE...
#
#   -d DAY    a day of days/ by its name, or a TOML file (default: power-all-after-ends)
#   -n COUNT  plays for each site, each with another seed (default 10)
#   -s SEED   the first seed (default 1)
#   -j N      this many plays at once (default 1)
#   -o DIR    where logs of broken plays and the list of plays are kept (default: a new temporary folder)
#   -w WHY    a sentence for the journal
#   SITE      the path of a site file, absolute or from the root of the repository
#
# Exit status: 0 if every play was done and no rule broke, 1 if a rule broke or a play could not be done, 2 for bad use.
set -u

usage() { sed -n '2,/^set -u/{s/^# \{0,1\}//;/^set -u/d;p}' "$0" >&2; exit 2; }

day=power-all-after-ends count=10 first_seed=1 at_once=1 out= why="losses of all power, with every commit and end logged"
while getopts d:n:s:j:o:w:h option; do
  case $option in
    d) day=$OPTARG ;;
    n) count=$OPTARG ;;
    s) first_seed=$OPTARG ;;
    j) at_once=$OPTARG ;;
    o) out=$OPTARG ;;
    w) why=$OPTARG ;;
    *) usage ;;
  esac
done
shift $((OPTIND - 1))
[ $# -gt 0 ] || usage
for number in "$count" "$first_seed" "$at_once"; do
  case $number in '' | *[!0-9]* | 0) echo "-n, -s and -j want numbers above 0" >&2; exit 2 ;; esac
done
[ -x "${FLEETBENCH:-}" ] || { echo "FLEETBENCH must be the path of the bench's program" >&2; exit 2; }
bench=$(readlink -f "$FLEETBENCH")
root=$(cd "$(dirname "$0")/.." && pwd)
[ -f "$day" ] || day=$root/days/$day.toml
[ -f "$day" ] || { echo "no such day: $day" >&2; exit 2; }
out=${out:-$(mktemp -d)}
mkdir -p "$out" && out=$(cd "$out" && pwd) || exit 2

# The scratch copy is the last commit but for the verbosity of the log, which the settings of a bench's day can't raise.
scratch=$(mktemp -d "$root/../power-plays.XXXXXX")
trap 'rm -rf "$scratch"' EXIT
git -C "$root" clone -q . "$scratch/copy" && cd "$scratch/copy" || exit 2
sed -i 's/logging.New(os.Stderr, nodeSettings.LogLevel)/logging.New(os.Stderr, 2)/' internal/roles/common.go
git diff --quiet HEAD -- internal/roles/common.go && { echo "the verbosity of the log could not be raised" >&2; exit 2; }

# play SITE SEED: one play; its log is kept only if a rule broke. A play that failed leaves a mark, as it runs in the background.
readonly failed=$scratch/failed
play() {
  local site=$1 seed=$2 name report log broken
  name=$(basename "$day" .toml).$(basename "$site" .toml).$seed
  report=$out/$name.json log=$out/$name.log.gz
  "$bench" run "$site" "$day" --seed "$seed" --jobs 1 --log all --report "$report" --why "$why" 2>&1 | gzip -1 > "$log"
  if [ ! -s "$report" ]; then
    echo "$name: not played: $(zcat "$log" | tail -n 1 | cut -c1-120)"
    touch "$failed"
    return
  fi
  broken=$(jq -r '[.breaks | to_entries[] | "\(.key) \(.value)"] + (if .fault then ["fault: \(.fault)"] else [] end) | join(", ")' "$report")
  echo "$name: worth $(jq -r .G "$report"), rules broken: ${broken:-none}"
  if [ -n "$broken" ]; then touch "$failed"; else rm -f "$log"; fi
}

for site in "$@"; do
  site=$(cd "$root" && readlink -f "$site")
  for ((seed = first_seed; seed < first_seed + count; seed++)); do
    while [ "$(jobs -rp | wc -l)" -ge "$at_once" ]; do wait -n; done
    play "$site" "$seed" &
  done
done
wait
cp -n journal/*.json "$root/journal/"
[ ! -e "$failed" ]
