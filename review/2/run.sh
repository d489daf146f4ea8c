#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/cardamomfront ] && [ -x target/review-standin ] || exit 2
exec target/review-standin -case quota-kill -binary target/cardamomfront -record "$here/record.txt" -trouble="$([ "${TROUBLE:-1}" = 0 ] && echo false || echo true)"
