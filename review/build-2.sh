#!/bin/sh
# Builds the stand-ins and clients of the scripts of the second review.
cd "$(dirname "$0")/.." || exit 2
exec go build -o review/bin/review-2 review/second/*.go
