#!/usr/bin/env bash
# The project's test command: build, vet, gofmt, generated code, tests with the race detector; tests listed
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
  loose=$(gofmt -l cmd internal tools)
  [ -z "$loose" ] || { echo "not gofmt-ed: $loose"; return 1; }
}
generated_is_current() {
  local kept status=0
  kept=$(mktemp -d)
  find internal -name '*_easyjson.go' -exec cp --parents {} "$kept" \;
  go generate ./... || status=1
  for file in $(cd "$kept" && find internal -name '*_easyjson.go'); do
    cmp -s "$kept/$file" "$file" || { echo "$file is not what its generator makes"; status=1; }
  done
  rm -rf "$kept"
  return $status
}
step "build" go build -buildvcs=false -ldflags=-linkmode=external -o target/ ./cmd/...
step "vet" go vet ./...
step "gofmt" formatted
step "generated code" generated_is_current
step "tests" go run ./internal/checktests -race -count=1 -timeout 40m ./...
if [ "$failed" -ne 0 ]; then
  echo "the checks failed"
  exit 1
fi
echo "all checks passed"
