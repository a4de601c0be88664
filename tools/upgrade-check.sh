#!/usr/bin/env bash
# Checks that two builds of gannetline read each other's stored data and run in one cluster. Runs soaks of real processes that switch from
# one build to the other at a restart. The soak's oracles decide whether a run passes.
#
#   tools/upgrade-check.sh OLD [NEW]    # two commits; NEW defaults to HEAD
#
#   forward   all processes start with OLD, are terminated at once and restart with NEW on the same data folders
#   back      the same from NEW to OLD
#   beside    half of the processes of each role start with OLD and half with NEW; each switches builds twice, one at a time, under load
#
# Each scenario runs once with every feature on (jobs, tenants, evacuations, locks, lots, streams) and once with a rollout in progress.
# Two runs with an injected fault follow, and the soak must detect each fault: in "beside", NEW renames one key of the message from a local
# proxy to the leader; in "forward", NEW renames one key of the stored job record.
#
# UPGRADE_NETWORK sets the first two octets of the loopback addresses (default 127.93). UPGRADE_KEEP names a folder that receives the
# reports and logs of failed runs.
# Exit status: 0 all checks passed, 1 a soak found a violation or missed an injected fault, 2 bad usage, 3 a build or a soak could not run.
set -u
cd "$(dirname "$0")/.." || exit 3

readonly network=${UPGRADE_NETWORK:-127.93}
readonly processes=12 mix=15 seconds=45
# The names that the soak gives to the processes of a cluster of this size and mix.
readonly stewards=(steward-1 steward-2 steward-3) storages_of_everything=(storage-1 storage-2 storage-3) gates=(gate-1 gate-2)
readonly proxies=(worker-1 worker-2 worker-3 worker-4 worker-5 worker-6)
# The JSON keys that the injected faults rename: the executor in an exchange message, and the job specification in a stored record.
readonly message_file=internal/cluster/peerapi/wire/exchange.go message_key=life
readonly record_file=internal/scheduling/scheduler/records.go record_key=spec
readonly build_command=(go build -buildvcs=false -ldflags=-linkmode=external -o target/ ./cmd/...)

usage() { sed -n '2,/^set -u/{s/^# \{0,1\}//;/^set -u/d;p}' "$0" >&2; exit 2; }
[ $# -ge 1 ] && [ $# -le 2 ] || usage
old=$(git rev-parse --verify -q "$1^{commit}") || usage
new=$(git rev-parse --verify -q "${2:-HEAD}^{commit}") || usage

scratch=$(mktemp -d) || exit 3
clean_up() {
  local pid
  for pid in $(jobs -p); do kill "$pid" 2>/dev/null; done
  wait
  rm -rf "$scratch"
}
trap clean_up EXIT
trap 'exit 3' INT TERM HUP

# build COMMIT FOLDER [FILE KEY]: builds a commit in $scratch/FOLDER. With FILE and KEY, first renames a JSON key (see rename_key).
build() {
  mkdir -p "$scratch/$2" && git archive "$1" -- . ':!docs' ':!journal' | tar -x -C "$scratch/$2" || exit 3
  if [ $# -eq 4 ]; then
    rename_key "$scratch/$2/$3" "$4" || exit 3
  fi
  (cd "$scratch/$2" && "${build_command[@]}") || exit 3
}

# rename_key FILE KEY: renames a JSON key in the struct tags of a file and in the code that easyjson generated for it.
rename_key() {
  local generated=${1%.go}_easyjson.go
  grep -q "json:\"$2[,\"]" "$1" && grep -q "\"$2\"" "$generated" || { echo "no JSON key $2 in $1 and its generated code" >&2; return 1; }
  sed -i "s/json:\"$2\([,\"]\)/json:\"$2-renamed\1/" "$1"
  sed -i "s/\"$2\"/\"$2-renamed\"/; s/\\\\\"$2\\\\\"/\\\\\"$2-renamed\\\\\"/" "$generated"
}

# write_program FILE FIRST SECOND MODE: writes a wrapper script that counts the starts of each node and selects the build by that count.
# In mode "switch" a node's first start runs FIRST and each later one runs SECOND. In mode "alternate" the builds alternate from start to
# start; nodes with an odd number begin with FIRST, those with an even number with SECOND.
write_program() {
  mkdir -p "$1.starts"
  cat >"$1" <<PROGRAM
#!/usr/bin/env bash
name=executors
[ "\$1" != --settings ] || name=\$(basename "\$2" .yaml)
starts=$1.starts/\$name
count=\$(cat "\$starts" 2>/dev/null || echo 0)
echo \$((count + 1)) >"\$starts"
number=\${name##*-}
case \$number in *[!0-9]*) number=1 ;; esac
if [ $4 = switch ]; then
  [ "\$count" -eq 0 ] && program=$2 || program=$3
else
  [ \$(((number + count) % 2)) -eq 1 ] && program=$2 || program=$3
fi
exec "\$program" "\$@"
PROGRAM
  chmod +x "$1"
}

# write_terminations INTERVAL AT NAME...: prints JSON events that terminate the named processes, INTERVAL milliseconds apart, the first at
# AT milliseconds. Prints the caller's variable $separator before each event and sets it to a comma after the first.
write_terminations() {
  local interval=$1 at=$2 name
  shift 2
  for name; do
    printf '%s{"at-ms":%d,"kind":"terminate","target":"%s"}' "$separator" "$at" "$name"
    separator=,
    at=$((at + interval))
  done
}

# write_schedule FILE MODE STORAGE...: writes the soak's schedule for a deployment with the named storage machines. In mode "switch" all
# processes are terminated at once. In mode "alternate" each is terminated twice, one process of a role at a time.
write_schedule() {
  local separator='' round storages=("${@:3}")
  {
    printf '{"seed":7,"length-ms":%d,"processes":%d,"events":[' $((seconds * 1000)) $processes
    if [ "$2" = switch ]; then
      write_terminations 0 15000 "${stewards[@]}" "${gates[@]}" "${proxies[@]}" ${storages[@]+"${storages[@]}"}
    else
      for round in 2000 19000; do
        write_terminations 5500 $round "${stewards[@]}"
        write_terminations 5500 $((round + 1500)) ${storages[@]+"${storages[@]}"}
        write_terminations 8000 $((round + 3000)) "${gates[@]}"
        write_terminations 2000 $((round + 500)) "${proxies[@]}"
      done
    fi
    printf ']}'
  } >"$1"
}

# run_soak NAME SOAK FIRST SECOND MODE FLAGS...: runs the program SOAK with the flags of a deployment; its exit status is the soak's.
run_soak() {
  local name=$1 soak=$2 status storages=("${storages_of_everything[@]}")
  # Only the deployment with every feature has storage machines.
  [[ " ${*:6} " != *" --rollouts "* ]] || storages=()
  write_program "$scratch/$name.program" "$3" "$4" "$5"
  write_schedule "$scratch/$name.json" "$5" ${storages[@]+"${storages[@]}"}
  "$soak" "${@:6}" --schedule "$scratch/$name.json" --network "$network" --program "$scratch/$name.program" \
    --keep "$scratch/$name" --json "$scratch/$name.report" >"$scratch/$name.out" 2>"$scratch/$name.log"
  status=$?
  if [ $status -ne 0 ] && [ -n "${UPGRADE_KEEP:-}" ]; then
    mkdir -p "$UPGRADE_KEEP" && cp -r "$scratch/$name" "$scratch/$name".{out,log,report,json} "$UPGRADE_KEEP/" 2>/dev/null
  fi
  rm -rf "${scratch:?}/$name"
  return $status
}

failed=0
# expect_pass NAME ...: runs a soak that must find no violation.
expect_pass() {
  run_soak "$@"
  case $? in
    0) echo "$1: no violation found" ;;
    1) echo "$1: VIOLATION FOUND"; cat "$scratch/$1.out"; failed=1 ;;
    *) echo "$1: the soak could not run"; tail -n 5 "$scratch/$1.log"; exit 3 ;;
  esac
}

# expect_failure NAME ...: runs a soak with an injected fault. The soak must either find the fault or fail because the cluster does not
# serve at all.
expect_failure() {
  run_soak "$@"
  case $? in
    0) echo "$1: the injected fault was NOT found"; failed=1 ;;
    1) echo "$1: injected fault found: $(grep -m 1 . "$scratch/$1.out")" ;;
    *) echo "$1: injected fault found: $(tail -n 1 "$scratch/$1.log")" ;;
  esac
}

echo "building $old, $new and two builds with an injected fault"
build "$old" old
build "$new" new
build "$new" message $message_file $message_key
build "$new" record $record_file $record_key
readonly old_program=$scratch/old/target/gannetline new_program=$scratch/new/target/gannetline
readonly old_soak=$scratch/old/target/soak new_soak=$scratch/new/target/soak

readonly everything=(--mix $mix) rollouts=(--rollouts)
for deployment in everything rollouts; do
  declare -n flags=$deployment
  expect_pass "forward-$deployment" "$old_soak" "$old_program" "$new_program" switch "${flags[@]}"
  expect_pass "back-$deployment" "$new_soak" "$new_program" "$old_program" switch "${flags[@]}"
  expect_pass "beside-$deployment" "$new_soak" "$old_program" "$new_program" alternate "${flags[@]}"
done
expect_failure message-key "$new_soak" "$old_program" "$scratch/message/target/gannetline" alternate "${everything[@]}"
expect_failure record-key "$old_soak" "$old_program" "$scratch/record/target/gannetline" switch "${everything[@]}"
[ $failed -eq 0 ] || exit 1
echo "both builds read each other's stored data and run in one cluster"
