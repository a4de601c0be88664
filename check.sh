#!/usr/bin/env bash
# Runs all checks of the project: build, vet, gofmt, generated code, the first run, short soaks, linters, and the tests with the race
# detector. The tests of internal/control/storage also run without it. Only tests listed in KNOWN-RED.txt may fail (see internal/checktests).
set -u
cd "$(dirname "$0")" || exit 1
failed=0
# step NAME COMMAND...: runs one check. A failure is printed and sets $failed; the remaining checks still run.
step() {
  echo "== $1"
  shift
  "$@" || { echo "FAILED: $*"; failed=1; }
}
sources_are_formatted() {
  local unformatted
  unformatted=$(gofmt -l client cmd internal tools)
  [ -z "$unformatted" ] || { echo "not formatted by gofmt: $unformatted"; return 1; }
}
# generated_is_current: compares the generated code with the output of its generators. The generators run in a copy of the tree, so that a
# concurrent build never reads partially generated sources.
generated_is_current() {
  local copy status=0
  copy=$(mktemp -d)
  tar --exclude=./.git --exclude=./target --exclude=./journal -cf - . | tar -C "$copy" -xf - || status=1
  go -C "$copy" generate ./... || status=1
  diff -rq internal "$copy/internal" && diff -rq cmd "$copy/cmd" && diff -rq client "$copy/client" ||
    { echo "these files differ from the output of their generators; run: go generate ./..."; status=1; }
  rm -rf "$copy"
  return $status
}
# The linters are Go tools of tools/lint, a module outside the workspace. lint_tool NAME prints the path of the linter's executable.
lint_tool() { GOWORK=off go -C tools/lint tool -n "$1"; }
# linter_is_clean NAME OPTIONS...: runs a linter on all packages.
linter_is_clean() {
  local tool
  tool=$(lint_tool "$1") && "$tool" "${@:2}" ./...
}
# first_run_completes: runs the first run that the README describes. The network depends on the process ID, so that concurrent checks
# rarely use the same addresses.
first_run_completes() { FIRST_RUN_NETWORK=127.91.$(($$ % 256)) tools/first-run.sh; }
# soaks_pass: runs short soaks of real processes: one of a cluster that tolerates one failure, one of a cluster that tolerates two, and
# two of mixes, one with every feature on and one with executors that send extra answers and queues that move. The network depends on the process ID, so that concurrent checks rarely use the same addresses.
soaks_pass() {
  local network=127.$((100 + $$ % 100))
  target/soak --seed 1 --seconds 25 --processes 10 --network "$network" &&
    target/soak --seed 41 --seconds 30 --processes 20 --network "$network" &&
    target/soak --mix 15 --seed 3 --seconds 15 --processes 10 --network "$network" &&
    target/soak --mix 24 --seed 1 --seconds 20 --processes 12 --network "$network"
}
step "build" go build -buildvcs=false -ldflags=-linkmode=external -o target/ ./cmd/...
step "vet" go vet ./...
step "gofmt" sources_are_formatted
step "generated code" generated_is_current
step "first run" first_run_completes
step "soak" soaks_pass
step "staticcheck" linter_is_clean staticcheck
step "revive" linter_is_clean revive -config revive.toml -set_exit_status
step "errorlint" linter_is_clean go-errorlint
step "errname" linter_is_clean errname
step "unparam" linter_is_clean unparam
step "gocritic" linter_is_clean gocritic check
step "tests without the race detector" go run ./internal/checktests -count=1 ./internal/control/storage
step "tests" go run ./internal/checktests -race -count=1 -timeout 40m ./...
if [ "$failed" -ne 0 ]; then
  echo "the checks failed"
  exit 1
fi
echo "all checks passed"
