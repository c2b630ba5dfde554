#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec target/review-3/standin3 drain-after-drill review/14
