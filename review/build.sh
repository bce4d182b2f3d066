#!/usr/bin/env bash
# Builds what the scripted cases start beside the daemon of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-harness ./review/testdata/harness
