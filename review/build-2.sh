#!/usr/bin/env bash
# Builds the program with the stand-ins and the scripted cases of the second review.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-second ./review/testdata/second
