#!/usr/bin/env bash
# The project's test command: build, vet, gofmt, generated code, a first run, short soaks, linters, tests with the race detector; tests listed
# in KNOWN-RED.txt may fail, and only these (internal/checktests).
set -u
cd "$(dirname "$0")" || exit 1
failed=0
step() {
  echo "== $1"
  shift
  "$@" || { echo "FAILED: $*"; failed=1; }
}
formatted() {
  local loose
  loose=$(gofmt -l client cmd internal tools)
  [ -z "$loose" ] || { echo "not gofmt-ed: $loose"; return 1; }
}
# The generators run in a copy of the tree, so that nothing that builds meanwhile takes half-made sources.
generated_is_current() {
  local copy status=0
  copy=$(mktemp -d)
  tar --exclude=./.git --exclude=./target --exclude=./journal -cf - . | tar -C "$copy" -xf - || status=1
  go -C "$copy" generate ./... || status=1
  diff -rq internal "$copy/internal" && diff -rq cmd "$copy/cmd" && diff -rq client "$copy/client" ||
    { echo "what differs is not what its generator makes"; status=1; }
  rm -rf "$copy"
  return $status
}
# The linters are Go tools of tools/lint, a module outside the workspace; lint_tool NAME prints where one is built.
lint_tool() { GOWORK=off go -C tools/lint tool -n "$1"; }
# linter_is_clean NAME OPTIONS...: runs a linter on all packages.
linter_is_clean() {
  local tool
  tool=$(lint_tool "$1") && "$tool" "${@:2}" ./...
}
# The first run of the README, on addresses that two checks at once seldom share.
first_run_completes() { FIRST_RUN_NETWORK=127.91.$(($$ % 256)) tools/first-run.sh; }
# Short soaks of real processes, one for one loss to be borne, one for two, and one of a mix with everything switched on, on addresses that two checks at once seldom share.
soaks_find_nothing() {
  local network=127.$((100 + $$ % 100))
  target/soak --seed 1 --seconds 25 --processes 10 --network "$network" &&
    target/soak --seed 41 --seconds 30 --processes 20 --network "$network" &&
    target/soak --mix 15 --seed 3 --seconds 15 --processes 10 --network "$network"
}
step "build" go build -buildvcs=false -ldflags=-linkmode=external -o target/ ./cmd/...
step "vet" go vet ./...
step "gofmt" formatted
step "generated code" generated_is_current
step "first run" first_run_completes
step "soak" soaks_find_nothing
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
