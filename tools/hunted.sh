#!/usr/bin/env bash
# Reports which hunts, scores and sweeps the journal holds for the daemons' sources in the work tree, and which of those that
# tools/hunt-plan.txt requires are missing. With --commit COMMIT it reports on the sources of that commit; with --digest it prints only the
# digest of the daemons' sources.
# Exit status: 0 no run is missing, no rule was broken and all gates were passed, 1 otherwise, 2 bad usage, a failed build or another error.
set -u
cd "$(dirname "$0")/.." || exit 2
program=$(mktemp -d)
trap 'rm -rf "$program"' EXIT
go build -o "$program/hunted" ./internal/hunted || exit 2
"$program/hunted" "$@"
