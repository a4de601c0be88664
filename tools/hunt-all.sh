#!/usr/bin/env bash
# Runs, on the bench, what tools/hunted.sh reports as missing for HEAD: first some days of each site, scores and sweeps, then the remaining
# days. Works on clones, so that the work tree may change meanwhile, and copies each entry to journal/ of the repository. A new start after
# an interruption resumes with what is still missing. All figures are simulated.
#
#   FLEETBENCH=PATH tools/hunt-all.sh [-l LANES] [-j N] [-f SITE]... [-o VERB] SITEFILE...
#
#   -l LANES  number of concurrent runs of the bench, each in a clone of its own (default 2)
#   -j N      number of concurrent days in each run (default 2)
#   -f SITE   run this site before the others; may be repeated
#   -o VERB   run only this kind: hunt, score or sweep
#   SITEFILE  path of a site file; sites of the plan without a site file are skipped
#
# Exit status: 0 all runs were made and no rule was broken, 1 a rule was broken, a gate failed or a run could not be made, 2 bad usage.
set -u

# A run that is stopped early may leave no journal entry, so runs are short.
readonly days_per_run=8

usage() { sed -n '2,/^set -u/{s/^# \{0,1\}//;/^set -u/d;p}' "$0" >&2; exit 2; }

lanes=2 jobs=2 preferred_sites=() only_verb=
while getopts l:j:f:o:h option; do
  case $option in
    l) lanes=$OPTARG ;;
    j) jobs=$OPTARG ;;
    f) preferred_sites+=("$OPTARG") ;;
    o) only_verb=$OPTARG ;;
    *) usage ;;
  esac
done
shift $((OPTIND - 1))
[ $# -gt 0 ] || usage
for number in "$lanes" "$jobs"; do
  case $number in '' | *[!0-9]* | 0) echo "-l and -j require whole numbers above 0" >&2; exit 2 ;; esac
done
[ -x "${FLEETBENCH:-}" ] || { echo "FLEETBENCH must be the path of the bench's executable" >&2; exit 2; }
bench=$(readlink -f "$FLEETBENCH")
root=$(cd "$(dirname "$0")/.." && pwd)
declare -A site_files
for file; do
  [ -f "$file" ] || { echo "site file $file does not exist" >&2; exit 2; }
  site_files[$(basename "$file" .toml)]=$(readlink -f "$file")
done

commit=$(git -C "$root" rev-parse HEAD)
digest=$("$root/tools/hunted.sh" --commit "$commit" --digest) || exit 2
scratch=$(mktemp -d "$root/../hunt-all.XXXXXX")
# This file exists once a run has failed. It stops the start of further runs.
readonly stop_mark=$scratch/stop
# clean_up: terminates the bench runs in progress and waits for them before it deletes their clones.
clean_up() {
  local pid
  for pid in $(jobs -p); do pkill -TERM -P "$pid"; done
  wait
  rm -rf "$scratch"
}
trap clean_up EXIT
trap 'exit 1' INT TERM HUP
for ((lane = 0; lane < lanes; lane++)); do
  git -C "$root" clone -q . "$scratch/$lane" && git -C "$scratch/$lane" checkout -q "$commit" || exit 2
done

# list_missing_runs: prints "VERB SITE DAYS" for each missing run of the kind -o whose site file is given. Sites of -f come first, and hunts
# are split into runs of at most $days_per_run days.
list_missing_runs() {
  local todo status
  todo=$("$root/tools/hunted.sh" --commit "$commit" --todo)
  status=$?
  # Exit status 1 only says that runs are missing.
  [ $status -le 1 ] || return $status
  [ -n "$todo" ] || return 0
  while read -r verb site days; do
    [ -n "${site_files[$site]:-}" ] || continue
    [ -z "$only_verb" ] || [ "$verb" = "$only_verb" ] || continue
    rank=1
    for preferred in ${preferred_sites[@]+"${preferred_sites[@]}"}; do [ "$site" = "$preferred" ] && rank=0; done
    while [ "$verb" = hunt ] && [ "$days" -gt $days_per_run ]; do
      echo "$rank $verb $site $days_per_run"
      days=$((days - days_per_run))
    done
    echo "$rank $verb $site $days"
  done <<< "$todo" | sort -s -k 1,1 | cut -d ' ' -f 2-
}

# run_bench LANE VERB SITE DAYS: runs the bench in the clone of a lane, copies its journal entries and prints the result. Creates the file
# $stop_mark if the run has failed.
run_bench() {
  local lane=$1 verb=$2 site=$3 days=$4 output=$scratch/$1.txt day_flags=()
  [ "$verb" = hunt ] && day_flags=(--days "$days")
  cd "$scratch/$lane" || return
  "$bench" "$verb" "${site_files[$site]}" ${day_flags[@]+"${day_flags[@]}"} --jobs "$jobs" --why "daemons $digest: $verb of $site" > "$output" 2>&1
  cp -rn journal/. "$root/journal/"
  if grep -q 'GATE failed' "$output" || ! grep -qE 'with a rule broken|GATE passed|power  at' "$output" ||
    grep -q 'with a rule broken' "$output" && ! grep -q ', 0 with a rule broken' "$output"; then
    echo "$verb of $site: $(grep -hE 'GATE failed|with a rule broken|first that is wrong' "$output" | tail -n 1)"
    sed -n '/^day /,$p' "$output"
    echo "to repeat a day: $bench replay ${site_files[$site]} NAME --log all, with NAME from the first column"
    touch "$stop_mark"
    return
  fi
  echo "$(date +%T) $verb of $site: $(grep -hE 'GATE passed|with a rule broken' "$output" | tail -n 1) $(grep -ho '^score on.*' "$output")"
}

missing=$(list_missing_runs) || { echo "the missing runs could not be listed" >&2; exit 1; }
runs=()
[ -z "$missing" ] || mapfile -t runs <<< "$missing"
declare -A lane_of
free_lanes=($(seq 0 $((lanes - 1))))
for run in ${runs[@]+"${runs[@]}"}; do
  if [ ${#free_lanes[@]} -eq 0 ]; then
    wait -n -p ended_pid
    free_lanes+=("${lane_of[$ended_pid]}")
  fi
  [ -e "$stop_mark" ] && break
  lane=${free_lanes[0]}
  free_lanes=("${free_lanes[@]:1}")
  read -r verb site days <<< "$run"
  run_bench "$lane" "$verb" "$site" "$days" &
  lane_of[$!]=$lane
done
wait
[ ! -e "$stop_mark" ]
