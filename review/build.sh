#!/usr/bin/env bash
# Builds the stand-in that the cases' scripts start, after the build of the deploy
# file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -ldflags=-linkmode=external -o target/review-standin ./review/standin/*.go
