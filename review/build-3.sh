#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/11 to review/15 into target/. The build of
# the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/stand-3 review/stand-3/*.go
