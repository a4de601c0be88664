#!/usr/bin/env bash
# Plays what tools/hunted.sh calls missing for the last commit: first days of each site, scores and sweeps, then the other days. It works
# on clones, so that the work tree may change meanwhile, and copies each entry to journal/ of the repository. After a stop it goes on
# from there. All figures are simulated.
#
#   FLEETBENCH=PATH tools/hunt-all.sh [-l LANES] [-j N] [-f SITE]... [-o VERB] SITEFILE...
#
#   -l LANES  this many runs of the bench at once, each on a clone (default 2)
#   -j N      this many days at once in each run (default 2)
#   -f SITE   play this site first; may be repeated
#   -o VERB   play only this: hunt, score or sweep
#   SITEFILE  the path of a site file; sites of the plan without one are left out
#
# Exit status: 0 if all was played and no rule broke, 1 if a rule broke, a gate failed or a run could not be made, 2 for bad use.
set -u

# Few days a run, since a run that is stopped before its end may leave no entry.
readonly days_a_run=8

usage() { sed -n '2,/^set -u/{s/^# \{0,1\}//;/^set -u/d;p}' "$0" >&2; exit 2; }

lanes=2 jobs=2 first=() only=
while getopts l:j:f:o:h option; do
  case $option in
    l) lanes=$OPTARG ;;
    j) jobs=$OPTARG ;;
    f) first+=("$OPTARG") ;;
    o) only=$OPTARG ;;
    *) usage ;;
  esac
done
shift $((OPTIND - 1))
[ $# -gt 0 ] || usage
for number in "$lanes" "$jobs"; do
  case $number in '' | *[!0-9]* | 0) echo "-l and -j want numbers above 0" >&2; exit 2 ;; esac
done
[ -x "${FLEETBENCH:-}" ] || { echo "FLEETBENCH must be the path of the bench's program" >&2; exit 2; }
bench=$(readlink -f "$FLEETBENCH")
root=$(cd "$(dirname "$0")/.." && pwd)
declare -A files
for file; do
  [ -f "$file" ] || { echo "no site file $file" >&2; exit 2; }
  files[$(basename "$file" .toml)]=$(readlink -f "$file")
done

commit=$(git -C "$root" rev-parse HEAD)
digest=$("$root/tools/hunted.sh" --commit "$commit" --digest) || exit 2
scratch=$(mktemp -d "$root/../hunt-all.XXXXXX")
readonly stop=$scratch/stop
# Runs of the bench that are under way end before their clones go.
clean_up() {
  local run
  for run in $(jobs -p); do pkill -TERM -P "$run"; done
  wait
  rm -rf "$scratch"
}
trap clean_up EXIT
trap 'exit 1' INT TERM HUP
for ((lane = 0; lane < lanes; lane++)); do
  git -C "$root" clone -q . "$scratch/$lane" && git -C "$scratch/$lane" checkout -q "$commit" || exit 2
done

# todo: the lines of hunted.sh that can be played here, those of the sites of -f first, hunts in runs of a few days.
todo() {
  "$root/tools/hunted.sh" --commit "$commit" --todo | while read -r verb site days; do
    [ -n "${files[$site]:-}" ] || continue
    [ -z "$only" ] || [ "$verb" = "$only" ] || continue
    rank=1
    for preferred in ${first[@]+"${first[@]}"}; do [ "$site" = "$preferred" ] && rank=0; done
    while [ "$verb" = hunt ] && [ "$days" -gt $days_a_run ]; do
      echo "$rank $verb $site $days_a_run"
      days=$((days - days_a_run))
    done
    echo "$rank $verb $site $days"
  done | sort -s -k 1,1 | cut -d ' ' -f 2-
}

# play LANE VERB SITE DAYS: one run of the bench on the clone of a lane.
play() {
  local lane=$1 verb=$2 site=$3 days=$4 text=$scratch/$1.txt count=()
  [ "$verb" = hunt ] && count=(--days "$days")
  cd "$scratch/$lane" || return
  "$bench" "$verb" "${files[$site]}" ${count[@]+"${count[@]}"} --jobs "$jobs" --why "daemons $digest: $verb of $site" > "$text" 2>&1
  cp -rn journal/. "$root/journal/"
  if grep -q 'GATE failed' "$text" || ! grep -qE 'with a rule broken|GATE passed|power  at' "$text" ||
    grep -q 'with a rule broken' "$text" && ! grep -q ', 0 with a rule broken' "$text"; then
    echo "$verb of $site: $(grep -hE 'GATE failed|with a rule broken|first that is wrong' "$text" | tail -n 1)"
    sed -n '/^day /,$p' "$text"
    echo "again: $bench replay ${files[$site]} NAME --log all, NAME as the first column says"
    touch "$stop"
    return
  fi
  echo "$(date +%T) $verb of $site: $(grep -hE 'GATE passed|with a rule broken' "$text" | tail -n 1) $(grep -ho '^score on.*' "$text")"
}

mapfile -t runs < <(todo)
declare -A lane_of
free=($(seq 0 $((lanes - 1))))
for run in ${runs[@]+"${runs[@]}"}; do
  if [ ${#free[@]} -eq 0 ]; then
    wait -n -p ended
    free+=("${lane_of[$ended]}")
  fi
  [ -e "$stop" ] && break
  lane=${free[0]}
  free=("${free[@]:1}")
  read -r verb site days <<< "$run"
  play "$lane" "$verb" "$site" "$days" &
  lane_of[$!]=$lane
done
wait
[ ! -e "$stop" ]
