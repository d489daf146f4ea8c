#!/usr/bin/env bash
# Runs all tests except those listed in KNOWN-RED.txt, and prints the skipped ones.
# Caching is off: end-to-end tests build the commands themselves, so the test cache
# does not notice changes of them.
# Usage: scripts/test.sh [OPTION...] [PACKAGE...]
set -euo pipefail
cd "$(dirname "$0")/.."
red=$(grep -vE '^[[:space:]]*(#|$)' KNOWN-RED.txt || true)
skip=()
if [ -n "$red" ]; then
	echo "Skipped, see KNOWN-RED.txt:"
	echo "$red"
	names=$(cut -d'|' -f1 <<<"$red" | tr -d ' ' | paste -sd'|')
	skip=(-skip "^($names)\$")
fi
options=()
while [[ "${1:-}" == -* ]]; do
	options+=("$1")
	shift
done
[ $# -gt 0 ] || set -- ./steer/... ./front/... ./platform/... ./tools/...
exec go test -count=1 -timeout 20m "${skip[@]}" "${options[@]}" "$@"
