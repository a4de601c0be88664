#!/usr/bin/env bash
# Which hunts, scores and sweeps the daemons of the work tree have had, and which of tools/hunt-plan.txt are missing; --commit COMMIT
# asks it of another commit, --digest prints the digest of the daemons' sources only. Exit status: 0 if nothing is missing and no rule
# broke, 1 if something is, 2 for bad use.
set -u
cd "$(dirname "$0")/.." || exit 2
program=$(mktemp -d)
trap 'rm -rf "$program"' EXIT
go build -o "$program/hunted" ./internal/hunted || exit 2
"$program/hunted" "$@"
