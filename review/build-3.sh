#!/usr/bin/env bash
# Builds the stand-ins of the third review (review/_standin3) into target/. They need the standard library only. The programs of the
# deploy file are built by the deploy file's own build command, which runs before this one.
set -eu
cd "$(dirname "$0")/_standin3"
GOWORK=off GOFLAGS=-mod=mod go build -buildvcs=false -o ../../target/review3 .
