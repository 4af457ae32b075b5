#!/usr/bin/env bash
# Case 14; review/build-3.sh builds what it starts.
cd "$(dirname "$0")" || exit 2
test -x ../../target/review-second && test -x ../../target/medlarpond || exit 2
exec ../../target/review-second quota
