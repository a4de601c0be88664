#!/usr/bin/env bash
# Prints the system (Debian) packages that a clean build needs, as listed in `packages` of deploy/system.toml, one per line.
set -u
cd "$(dirname "$0")/.." || exit 1
list=$(sed -n '/^packages *= *\[/,/\]/p' deploy/system.toml | sed 's/#.*//' | grep -o '"[^"]*"' | tr -d '"')
[ -n "$list" ] || { echo "deploy/system.toml lists no packages" >&2; exit 1; }
echo "$list"
