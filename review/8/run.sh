#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/gannetline ] && [ -x target/review-2/cases ] || { echo "build first: the command in deploy/system.toml, then review/build-2.sh" >&2; exit 2; }
exec target/review-2/cases stream-cut-on-leaving review/8/record.txt
