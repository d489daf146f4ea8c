#!/usr/bin/env bash
# Plays the case of claim.txt, see there. TROUBLE=0 leaves out both disruptions,
# TROUBLE=restore plays the store's copy alone, TROUBLE=kill the kill of all processes alone.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/cardamomfront ] || [ ! -x target/stand-3 ]; then
	echo "build first: the deploy file's build, then review/build-3.sh" >&2
	exit 2
fi
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
target/stand-3 restore target/cardamomfront "$dir" review/11/record.txt
