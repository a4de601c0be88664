#!/usr/bin/env bash
# Runs the case "share" of review/_standin3 after the build of the deploy file and review/build-3.sh. TROUBLE=0 leaves the disruption out.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/gannetline ] && [ -x target/review3 ] || { echo "run the build of deploy/system.toml and review/build-3.sh first" >&2; exit 2; }
exec target/review3 share review/11/record.txt
