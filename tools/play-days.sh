#!/usr/bin/env bash
# Runs days of days/ (fault schedules) on sites of the bench and prints a summary. All figures are simulated.
# Must be run at the root of the repository, like the bench. Each run leaves an entry in journal/.
#
#   FLEETBENCH=PATH tools/play-days.sh [-d DAY]... [-s SEED]... [-j N] [-o DIR] [-w WHY] SITE...
#
#   -d DAY   name of a day of days/, or a TOML file (default: every day of days/); may be repeated
#   -s SEED  seed to use instead of the day's own; may be repeated
#   -j N     number of concurrent runs (default 1)
#   -o DIR   folder for reports and output (default: a new temporary folder)
#   -w WHY   reason for the journal entry (default: the first line of the day's header)
#   SITE     path of a site file
#
# If a site lacks the contract that an entry of a day needs, the day runs without that entry, and the
# result line names the kinds left out. Exit status: 0 all runs were made and no rule was broken, 1 a rule
# was broken, a fault was reported or a run could not be made, 2 bad usage.
set -u

usage() { sed -n '2,/^set -u/{s/^# \{0,1\}//;/^set -u/d;p}' "$0" >&2; exit 2; }

days=() seeds=() max_concurrent=1 out_folder= why=
while getopts d:s:j:o:w:h option; do
  case $option in
    d) days+=("$OPTARG") ;;
    s) seeds+=("$OPTARG") ;;
    j) max_concurrent=$OPTARG ;;
    o) out_folder=$OPTARG ;;
    w) why=$OPTARG ;;
    *) usage ;;
  esac
done
shift $((OPTIND - 1))
[ $# -gt 0 ] || usage
[ -x "${FLEETBENCH:-}" ] || { echo "FLEETBENCH must be the path of the bench's executable" >&2; exit 2; }
command -v jq > /dev/null || { echo "jq is required to read the reports" >&2; exit 2; }
case $max_concurrent in '' | *[!0-9]* | 0) echo "-j requires a whole number above 0" >&2; exit 2 ;; esac
root=$(cd "$(dirname "$0")/.." && pwd)
[ ${#days[@]} -gt 0 ] || days=("$root"/days/*.toml)
[ ${#seeds[@]} -gt 0 ] || seeds=("")
out_folder=${out_folder:-$(mktemp -d)}
mkdir -p "$out_folder" && out_folder=$(cd "$out_folder" && pwd) || exit 2

# day_file DAY: prints the path of the file of a day. DAY is a name or a path.
day_file() {
  if [ -f "$1" ]; then readlink -f "$1"; else echo "$root/days/$1.toml"; fi
}

# run_day DAYFILE SITE SEED: runs a day on a site. Prints the result line and writes it to a .line file for the summary.
run_day() {
  local day site name seed=$3 report output file omitted="" status kind reason problem
  day=$(basename "$1" .toml) site=$(basename "$2" .toml)
  name=$day.$site${seed:+.$seed}
  report=$out_folder/$name.json output=$out_folder/$name.txt file=$out_folder/$name.toml
  cp "$1" "$file"
  reason=${why:-$(sed -n '1s/^# //p' "$1" | cut -c1-110)}
  while :; do
    rm -f "$report"
    "$FLEETBENCH" run "$2" "$file" ${seed:+--seed "$seed"} --jobs 1 --report "$report" --why "$reason" > "$output" 2>&1
    status=$?
    kind=$(sed -n 's/^fleetbench: \([a-z_]*\): contract .* is not open$/\1/p' "$output")
    [ -n "$kind" ] && grep -q "kind = \"$kind\"" "$file" || break
    # Each entry of a day is on a line of its own, so this removes the entries of that kind.
    sed -i "/kind = \"$kind\"/d" "$file"
    omitted="$omitted $kind"
  done
  if [ ! -s "$report" ]; then
    problem="not run: $(tail -n 1 "$output" | cut -c1-90)"
    printf '%s\t%s\t%s\t-\t%s\n' "$day" "$site" "${seed:-own}" "$problem" > "$out_folder/$name.line"
  else
    jq -r --arg day "$day" --arg site "$site" --arg seed "${seed:-own}" --arg omitted "${omitted# }" '
      ([.breaks | to_entries[] | "\(.key) \(.value)"] + (if .fault then ["fault: \(.fault)"] else [] end)) as $broken
      | [$day, $site, $seed, .G,
         (if $broken == [] then "none" else $broken | join(", ") end)
         + (if .missed + .short == [] then "" else "; missed: \(.missed + .short | join(", "))" end)
         + (if $omitted == "" then "" else " (left out: \($omitted))" end)]
      | @tsv' "$report" > "$out_folder/$name.line"
  fi
  awk -F '\t' '{ printf "%-22s %-22s seed %-6s worth %-7s rules broken: %s\n", $1, $2, $3, $4, $5 }' "$out_folder/$name.line"
  return $status
}

line_files=()
for site; do
  [ -f "$site" ] || { echo "site file $site does not exist" >&2; exit 2; }
  for day in "${days[@]}"; do
    file=$(day_file "$day")
    [ -f "$file" ] || { echo "day $day does not exist: no file $file" >&2; exit 2; }
    for seed in "${seeds[@]}"; do
      while [ "$(jobs -rp | wc -l)" -ge "$max_concurrent" ]; do wait -n; done
      run_day "$file" "$site" "$seed" &
      line_files+=("$out_folder/$(basename "$file" .toml).$(basename "$site" .toml)${seed:+.$seed}.line")
    done
  done
done
wait

echo
echo "summary (simulated); reports in $out_folder"
cat "${line_files[@]}" | awk -F '\t' '
  { runs[$1]++
    if ($4 == "-") { missing[$1]++; has_failed = 1 }
    else {
      if (!($1 in least) || $4 < least[$1]) least[$1] = $4
      if ($5 !~ /^none/) { broken[$1]++; has_failed = 1; details[$1] = details[$1] " " $2 "/" $3 ": " $5 ";" }
    } }
  END {
    printf "%-22s %6s %11s %7s %12s  %s\n", "day", "runs", "not run", "broken", "least worth", "rules broken"
    for (day in runs)
      printf "%-22s %6d %11d %7d %12s  %s\n", day, runs[day], missing[day], broken[day],
        (day in least ? least[day] : "-"), details[day] | "sort"
    close("sort")
    exit has_failed
  }'
