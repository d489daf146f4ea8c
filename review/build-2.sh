#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 9 start. The project's own
# program is built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin2 review/standin2/*.go
