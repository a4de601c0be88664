#!/usr/bin/env bash
# Plays the days of days/ on sites of the bench and sums up. Every figure it prints is simulated. It is run
# at the root of the repository, as the bench is; every play leaves an entry in journal/.
#
#   FLEETBENCH=PATH tools/play-days.sh [-d DAY]... [-s SEED]... [-j N] [-o DIR] [-w WHY] SITE...
#
#   -d DAY   a day of days/ by its name, or a TOML file (default: every day of days/); may be repeated
#   -s SEED  play with this seed in place of the day's own; may be repeated
#   -j N     this many plays at once (default 1)
#   -o DIR   where reports and output are kept (default: a new temporary folder)
#   -w WHY   a sentence for the journal (default: the first line of the day's header)
#   SITE     the path of a site file
#
# A site that does not have a contract that an entry of a day needs is played without that entry, and
# its line says which kinds were left out. Exit status: 0 if every play was done and no rule broke, 1 if
# a rule broke, there was a fault or a play could not be done, 2 for bad use.
set -u

usage() { sed -n '2,/^set -u/{s/^# \{0,1\}//;/^set -u/d;p}' "$0" >&2; exit 2; }

days=() seeds=() at_once=1 out= why=
while getopts d:s:j:o:w:h option; do
  case $option in
    d) days+=("$OPTARG") ;;
    s) seeds+=("$OPTARG") ;;
    j) at_once=$OPTARG ;;
    o) out=$OPTARG ;;
    w) why=$OPTARG ;;
    *) usage ;;
  esac
done
shift $((OPTIND - 1))
[ $# -gt 0 ] || usage
[ -x "${FLEETBENCH:-}" ] || { echo "FLEETBENCH must be the path of the bench's program" >&2; exit 2; }
command -v jq > /dev/null || { echo "jq is needed to read the reports" >&2; exit 2; }
case $at_once in '' | *[!0-9]* | 0) echo "-j wants a number above 0" >&2; exit 2 ;; esac
root=$(cd "$(dirname "$0")/.." && pwd)
[ ${#days[@]} -gt 0 ] || days=("$root"/days/*.toml)
[ ${#seeds[@]} -gt 0 ] || seeds=("")
out=${out:-$(mktemp -d)}
mkdir -p "$out" && out=$(cd "$out" && pwd) || exit 2

day_file() { # day_file DAY: the path of a day given by name or by path
  if [ -f "$1" ]; then readlink -f "$1"; else echo "$root/days/$1.toml"; fi
}

# play DAYFILE SITE SEED: one play; its line goes to standard output and to a file for the summary.
play() {
  local day site name seed=$3 report text file left="" status kind said rules
  day=$(basename "$1" .toml) site=$(basename "$2" .toml)
  name=$day.$site${seed:+.$seed}
  report=$out/$name.json text=$out/$name.txt file=$out/$name.toml
  cp "$1" "$file"
  said=${why:-$(sed -n '1s/^# //p' "$1" | cut -c1-110)}
  while :; do
    rm -f "$report"
    "$FLEETBENCH" run "$2" "$file" ${seed:+--seed "$seed"} --jobs 1 --report "$report" --why "$said" > "$text" 2>&1
    status=$?
    kind=$(sed -n 's/^fleetbench: \([a-z_]*\): contract .* is not open$/\1/p' "$text")
    [ -n "$kind" ] && grep -q "kind = \"$kind\"" "$file" || break
    sed -i "/kind = \"$kind\"/d" "$file"
    left="$left $kind"
  done
  if [ ! -s "$report" ]; then
    rules="not played: $(tail -n 1 "$text" | cut -c1-90)"
    printf '%s\t%s\t%s\t-\t%s\n' "$day" "$site" "${seed:-own}" "$rules" > "$out/$name.line"
  else
    jq -r --arg day "$day" --arg site "$site" --arg seed "${seed:-own}" --arg left "${left# }" '
      ([.breaks | to_entries[] | "\(.key) \(.value)"] + (if .fault then ["fault: \(.fault)"] else [] end)) as $broken
      | [$day, $site, $seed, .G,
         (if $broken == [] then "none" else $broken | join(", ") end)
         + (if .missed + .short == [] then "" else "; missed: \(.missed + .short | join(", "))" end)
         + (if $left == "" then "" else " (left out: \($left))" end)]
      | @tsv' "$report" > "$out/$name.line"
  fi
  awk -F '\t' '{ printf "%-22s %-22s seed %-6s worth %-7s rules broken: %s\n", $1, $2, $3, $4, $5 }' "$out/$name.line"
  return $status
}

lines=()
for site; do
  [ -f "$site" ] || { echo "no site file $site" >&2; exit 2; }
  for day in "${days[@]}"; do
    file=$(day_file "$day")
    [ -f "$file" ] || { echo "no day $day" >&2; exit 2; }
    for seed in "${seeds[@]}"; do
      while [ "$(jobs -rp | wc -l)" -ge "$at_once" ]; do wait -n; done
      play "$file" "$site" "$seed" &
      lines+=("$out/$(basename "$file" .toml).$(basename "$site" .toml)${seed:+.$seed}.line")
    done
  done
done
wait

echo
echo "summary (simulated); reports in $out"
cat "${lines[@]}" | awk -F '\t' '
  { plays[$1]++
    if ($4 == "-") { missing[$1]++; bad = 1 }
    else {
      if (!($1 in least) || $4 < least[$1]) least[$1] = $4
      if ($5 !~ /^none/) { broken[$1]++; bad = 1; told[$1] = told[$1] " " $2 "/" $3 ": " $5 ";" }
    } }
  END {
    printf "%-22s %6s %11s %7s %12s  %s\n", "day", "plays", "not played", "broken", "least worth", "rules broken"
    for (day in plays)
      printf "%-22s %6d %11d %7d %12s  %s\n", day, plays[day], missing[day], broken[day],
        (day in least ? least[day] : "-"), told[day] | "sort"
    close("sort")
    exit bad
  }'
