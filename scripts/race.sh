#!/usr/bin/env bash
# Runs tests under the race detector. Packages with tests in virtual time get one
# processor each: Go 1.26 runs timer channels that expired unwatched in the one race
# context of their synctest bubble, and two at once crash the detector.
# Usage: scripts/race.sh PACKAGE...
set -euo pipefail
cd "$(dirname "$0")/.."
listed=$(go list -f '{{.ImportPath}} {{join .TestImports " "}} {{join .XTestImports " "}}' "$@")
mapfile -t virtual < <(awk '/ testing\/synctest( |$)/ {print $1}' <<<"$listed")
mapfile -t other < <(awk '!/ testing\/synctest( |$)/ {print $1}' <<<"$listed")

output=$(mktemp)
trap 'rm -f "$output"' EXIT
failed=0
if [ ${#virtual[@]} -gt 0 ]; then
	scripts/test.sh -race -short -cpu 1 "${virtual[@]}" >"$output" 2>&1 &
fi
if [ ${#other[@]} -gt 0 ]; then
	scripts/test.sh -race -short "${other[@]}" || failed=1
fi
wait ${!:+$!} || failed=1
cat "$output"
exit "$failed"
