#!/usr/bin/env bash
# Runs a day with power losses of all machines many times, with the log lines that follow each configuration change and each end of a job
# (verbosity 2), and keeps the logs of the runs in which a rule was broken, or a job's end was shown before its commit (internal/answeraudit).
# All figures are simulated. Each run leaves an entry in the journal of a scratch copy, and the entries are copied to journal/ of the
# repository at the end.
#
#   FLEETBENCH=PATH tools/power-plays.sh [-d DAY] [-n COUNT] [-s SEED] [-j N] [-o DIR] [-w WHY] SITE...
#
#   -d DAY    name of a day of days/, or a TOML file (default: power-all-after-ends)
#   -n COUNT  number of runs for each site, each with its own seed (default 10)
#   -s SEED   first seed; each further run uses the next one (default 1)
#   -j N      number of concurrent runs (default 1)
#   -o DIR    folder for the reports of all runs and the logs of failed runs (default: a new temporary folder)
#   -w WHY    reason for the journal entries
#   SITE      path of a site file, absolute or relative to the root of the repository
#
# Exit status: 0 all runs were made and no rule was broken, 1 a rule was broken or a run could not be made, 2 bad usage.
set -u

usage() { sed -n '2,/^set -u/{s/^# \{0,1\}//;/^set -u/d;p}' "$0" >&2; exit 2; }

day=power-all-after-ends count=10 first_seed=1 max_concurrent=1 out_folder= why="losses of all power, with every commit and end logged"
while getopts d:n:s:j:o:w:h option; do
  case $option in
    d) day=$OPTARG ;;
    n) count=$OPTARG ;;
    s) first_seed=$OPTARG ;;
    j) max_concurrent=$OPTARG ;;
    o) out_folder=$OPTARG ;;
    w) why=$OPTARG ;;
    *) usage ;;
  esac
done
shift $((OPTIND - 1))
[ $# -gt 0 ] || usage
for number in "$count" "$first_seed" "$max_concurrent"; do
  case $number in '' | *[!0-9]* | 0) echo "-n, -s and -j require whole numbers above 0" >&2; exit 2 ;; esac
done
[ -x "${FLEETBENCH:-}" ] || { echo "FLEETBENCH must be the path of the bench's executable" >&2; exit 2; }
bench=$(readlink -f "$FLEETBENCH")
root=$(cd "$(dirname "$0")/.." && pwd)
[ -f "$day" ] || day=$root/days/$day.toml
[ -f "$day" ] || { echo "day file $day does not exist" >&2; exit 2; }
out_folder=${out_folder:-$(mktemp -d)}
mkdir -p "$out_folder" && out_folder=$(cd "$out_folder" && pwd) || exit 2

# The scratch copy is a clone of HEAD with a raised log verbosity. The edit is needed because a day of the bench can't set the verbosity.
scratch=$(mktemp -d "$root/../power-plays.XXXXXX")
trap 'rm -rf "$scratch"' EXIT
git -C "$root" clone -q . "$scratch/copy" && cd "$scratch/copy" || exit 2
go build -o "$scratch/answeraudit" ./internal/answeraudit || exit 2
sed -i 's/logging.New(os.Stderr, nodeSettings.LogLevel)/logging.New(os.Stderr, 2)/' internal/roles/common.go
git diff --quiet HEAD -- internal/roles/common.go && { echo "the verbosity of the log could not be raised" >&2; exit 2; }

# This file exists once a run has failed. Runs are background jobs and can't set a variable of the script.
readonly failure_mark=$scratch/failed
# run_day SITE SEED: runs the day once, and keeps the log if a rule was broken or the run could not be made.
run_day() {
  local site=$1 seed=$2 name report log broken_rules
  name=$(basename "$day" .toml).$(basename "$site" .toml).$seed
  report=$out_folder/$name.json log=$out_folder/$name.log.gz
  "$bench" run "$site" "$day" --seed "$seed" --jobs 1 --log all --report "$report" --why "$why" 2>&1 | gzip -1 > "$log"
  if [ ! -s "$report" ]; then
    echo "$name: not run: $(zcat "$log" | tail -n 1 | cut -c1-120)"
    touch "$failure_mark"
    return
  fi
  broken_rules=$(jq -r '[.breaks | to_entries[] | "\(.key) \(.value)"] + (if .fault then ["fault: \(.fault)"] else [] end) | join(", ")' "$report")
  early_answers=$(zcat "$log" | "$scratch/answeraudit")
  [ $? -eq 0 ] || broken_rules="${broken_rules:+$broken_rules, }answers"
  echo "$name: worth $(jq -r .G "$report"), rules broken: ${broken_rules:-none}; $(head -n 1 <<< "$early_answers")"
  if [ -n "$broken_rules" ]; then touch "$failure_mark"; else rm -f "$log"; fi
}

for site in "$@"; do
  site=$(cd "$root" && readlink -f "$site")
  for ((seed = first_seed; seed < first_seed + count; seed++)); do
    while [ "$(jobs -rp | wc -l)" -ge "$max_concurrent" ]; do wait -n; done
    run_day "$site" "$seed" &
  done
done
wait
cp -n journal/*.json "$root/journal/"
[ ! -e "$failure_mark" ]
