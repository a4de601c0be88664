#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review (review/4 and up) to target/review-2/. It needs no network: they use only Go's
# standard library. Run it after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
GOWORK=off go build -C review/_standin2 -buildvcs=false -o ../../target/review-2/cases .
# The simulated executors of jobs are a subcommand of the project's own program.
go build -buildvcs=false -ldflags=-linkmode=external -o target/ ./cmd/gannetline
