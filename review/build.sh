#!/bin/sh
# Builds the stand-ins and clients of all scripts.
cd "$(dirname "$0")/.." || exit 2
exec go build -o review/bin/review review/standin/*.go
