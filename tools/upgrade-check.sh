#!/usr/bin/env bash
# Checks that two builds of gannetline work on each other's data and beside each other: soaks of real processes whose program changes
# from one build to the other at a restart, judged by the soak's oracles.
#
#   tools/upgrade-check.sh OLD [NEW]    # two commits; NEW is HEAD if left out
#
#   forward   every process starts as OLD, all are ended at once and start as NEW on the same folders
#   back      the same from NEW to OLD
#   beside    half of the processes of each role start as OLD, half as NEW, and each is exchanged twice, one at a time, under load
#
# Each is played with everything on (jobs, tenants, evacuations, locks, lots, streams), and with a rollout under way. Two faults are planted
# afterwards, and each must be found: NEW with one key of the message from a local proxy to the leader renamed (beside), and NEW with one
# key of the stored job record renamed (forward). UPGRADE_NETWORK names two octets of other loopback addresses; UPGRADE_KEEP a folder for
# the reports and logs of failed plays. Exit status: 0 all as it should be, 1 something was found or a planted fault was not, 2 bad use,
# 3 it could not be played.
set -u
cd "$(dirname "$0")/.." || exit 3

readonly network=${UPGRADE_NETWORK:-127.93}
readonly processes=12 mix=15 seconds=45
# The processes of a layout of that size and mix, as the soak names them.
readonly stewards=(steward-1 steward-2 steward-3) storages=(storage-1 storage-2 storage-3) gates=(gate-1 gate-2)
readonly proxies=(worker-1 worker-2 worker-3 worker-4 worker-5 worker-6)
# The keys that are renamed for the planted faults: the executor of an exchange, and what a stored job is to run.
readonly message_file=internal/cluster/peerapi/wire/exchange.go message_key=life
readonly record_file=internal/scheduling/scheduler/records.go record_key=spec
readonly build_command=(go build -buildvcs=false -ldflags=-linkmode=external -o target/ ./cmd/...)

usage() { sed -n '2,/^set -u/{s/^# \{0,1\}//;/^set -u/d;p}' "$0" >&2; exit 2; }
[ $# -ge 1 ] && [ $# -le 2 ] || usage
old=$(git rev-parse --verify -q "$1^{commit}") || usage
new=$(git rev-parse --verify -q "${2:-HEAD}^{commit}") || usage

scratch=$(mktemp -d) || exit 3
clean_up() {
  local run
  for run in $(jobs -p); do kill "$run" 2>/dev/null; done
  wait
  rm -rf "$scratch"
}
trap clean_up EXIT
trap 'exit 3' INT TERM HUP

# build COMMIT FOLDER [FILE KEY]: builds a commit; with FILE and KEY, after renaming the JSON key KEY in the sources of FILE's package.
build() {
  mkdir -p "$scratch/$2" && git archive "$1" -- . ':!docs' ':!journal' | tar -x -C "$scratch/$2" || exit 3
  if [ $# -eq 4 ]; then
    rename_key "$scratch/$2/$3" "$4" || exit 3
  fi
  (cd "$scratch/$2" && "${build_command[@]}") || exit 3
}

# rename_key FILE KEY: renames a JSON key in the tags of one file and in the generated code beside it.
rename_key() {
  local generated=${1%.go}_easyjson.go
  grep -q "json:\"$2[,\"]" "$1" && grep -q "\"$2\"" "$generated" || { echo "no JSON key $2 in $1 and its generated code" >&2; return 1; }
  sed -i "s/json:\"$2\([,\"]\)/json:\"$2-renamed\1/" "$1"
  sed -i "s/\"$2\"/\"$2-renamed\"/; s/\\\\\"$2\\\\\"/\\\\\"$2-renamed\\\\\"/" "$generated"
}

# write_program FILE FIRST SECOND MODE: writes a program that runs one of two builds, by the number of the node's start.
# In mode "change" the first start of a node is FIRST, all others are SECOND. In mode "turn" starts take turns, odd nodes beginning
# with FIRST and even ones with SECOND.
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
if [ $4 = change ]; then
  [ "\$count" -eq 0 ] && program=$2 || program=$3
else
  [ \$(((number + count) % 2)) -eq 1 ] && program=$2 || program=$3
fi
exec "\$program" "\$@"
PROGRAM
  chmod +x "$1"
}

# terminations STEP AT NAME...: JSON events that end the named processes, STEP milliseconds apart, the first at AT. They follow
# $separator, which is set for the next ones.
terminations() {
  local step=$1 at=$2 name
  shift 2
  for name; do
    printf '%s{"at-ms":%d,"kind":"terminate","target":"%s"}' "$separator" "$at" "$name"
    separator=,
    at=$((at + step))
  done
}

# write_schedule FILE MODE: all processes ended at once ("change"), or one at a time and twice each ("turn").
write_schedule() {
  local separator='' round
  {
    printf '{"seed":7,"length-ms":%d,"processes":%d,"events":[' $((seconds * 1000)) $processes
    if [ "$2" = change ]; then
      terminations 0 15000 "${stewards[@]}" "${gates[@]}" "${proxies[@]}" "${storages[@]}"
    else
      for round in 2000 19000; do
        terminations 5500 $round "${stewards[@]}"
        terminations 5500 $((round + 1500)) "${storages[@]}"
        terminations 8000 $((round + 3000)) "${gates[@]}"
        terminations 2000 $((round + 500)) "${proxies[@]}"
      done
    fi
    printf ']}'
  } >"$1"
}

# play NAME SOAK FIRST SECOND MODE DEPLOYMENT...: one soak with the flags of a deployment; its exit status is that of the soak.
play() {
  local name=$1 soak=$2 status
  write_program "$scratch/$name.program" "$3" "$4" "$5"
  write_schedule "$scratch/$name.json" "$5"
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
# must_pass NAME ...: a play that must find nothing.
must_pass() {
  play "$@"
  case $? in
    0) echo "$1: nothing found" ;;
    1) echo "$1: FOUND"; cat "$scratch/$1.out"; failed=1 ;;
    *) echo "$1: could not be played"; tail -n 5 "$scratch/$1.log"; exit 3 ;;
  esac
}

# must_find NAME ...: a play with a planted fault, which must be found, or keep the system from serving at all.
must_find() {
  play "$@"
  case $? in
    0) echo "$1: the planted fault was NOT found"; failed=1 ;;
    1) echo "$1: found, as planted: $(grep -m 1 . "$scratch/$1.out")" ;;
    *) echo "$1: found, as planted: $(tail -n 1 "$scratch/$1.log")" ;;
  esac
}

echo "building $old, $new and two builds with a planted fault"
build "$old" old
build "$new" new
build "$new" message $message_file $message_key
build "$new" record $record_file $record_key
readonly old_program=$scratch/old/target/gannetline new_program=$scratch/new/target/gannetline
readonly old_soak=$scratch/old/target/soak new_soak=$scratch/new/target/soak

readonly everything=(--mix $mix) rollouts=(--rollouts)
for deployment in everything rollouts; do
  declare -n flags=$deployment
  must_pass "forward-$deployment" "$old_soak" "$old_program" "$new_program" change "${flags[@]}"
  must_pass "back-$deployment" "$new_soak" "$new_program" "$old_program" change "${flags[@]}"
  must_pass "beside-$deployment" "$new_soak" "$old_program" "$new_program" turn "${flags[@]}"
done
must_find message-key "$new_soak" "$old_program" "$scratch/message/target/gannetline" turn "${everything[@]}"
must_find record-key "$old_soak" "$old_program" "$scratch/record/target/gannetline" change "${everything[@]}"
[ $failed -eq 0 ] || exit 1
echo "both builds work on each other's data and beside each other"
