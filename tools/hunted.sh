#!/usr/bin/env bash
# Reports which hunts, scores and sweeps the journal holds for the daemons' sources in the work tree, and which of those that
# tools/hunt-plan.txt requires are missing. With --commit COMMIT it reports on the sources of that commit; with --digest it prints only the
# digest of the daemons' sources.
# Exit status: 0 no run is missing and no rule was broken, 1 a run is missing or broke a rule, 2 bad usage or the build failed.
set -u
cd "$(dirname "$0")/.." || exit 2
program=$(mktemp -d)
trap 'rm -rf "$program"' EXIT
go build -o "$program/hunted" ./internal/hunted || exit 2
"$program/hunted" "$@"
