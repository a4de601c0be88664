#!/usr/bin/env bash
# Builds all that the scripts of the cases start: the stand-ins of this folder (review/bin/) and the project's own programs (target/), of
# which `gannetline hollow` is the stand-in of job executors. Needs no network beyond what the build of the deploy file needs.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -ldflags=-linkmode=external -o target/ ./cmd/...
mkdir -p review/bin
GOWORK=off GOFLAGS=-mod=mod go build -C review/_standin -buildvcs=false -o ../bin/ ./...
