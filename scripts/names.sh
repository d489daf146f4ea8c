#!/usr/bin/env bash
# Checks that names of the platform's wire protocol occur in no Go file outside
# platform/.
set -euo pipefail
cd "$(dirname "$0")/.."
names='"(Response-Stamp|Not-Run|Expect-Instance|Server-Load|Server-Leaving|Server-Limit|Affinity-Key|Instance-Id|Cold-Ms|routeType|aimS|coldLeftS|rolled_back)"|rows-tx|rows-feed|rows-get|blob-put|usage_report|"(Duty-Holder|Fence-Token|requireFence|dutyPerS)"'
if found=$(git grep -nE "$names" -- '*.go' ':!platform/*'); then
	echo "names of the platform's wire protocol outside platform/:"
	echo "$found"
	exit 1
fi
