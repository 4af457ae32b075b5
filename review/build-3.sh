#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-third review/third/*.go
# Case 14 starts the stand-ins of the second review.
go build -o target/review-second review/second/*.go
