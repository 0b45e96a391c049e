#!/usr/bin/env bash
# Exits with 1 if a runner is ordered to load more than it can hold, 0 if none is, 2 if the case
# could not run. TROUBLE=0 leaves the change of the configuration out.
cd "$(dirname "$0")/../.." || exit 2
timeout --kill-after=2 118 target/review-2/standin-2 retired-model review/4/record.txt &
play=$!
trap 'kill "$play"' INT TERM
wait "$play"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
