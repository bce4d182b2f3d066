#!/usr/bin/env bash
# Builds the program that plays the cases 11 to 15: the stand-ins of the platform's store, of upstreams and of clients.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/mesh3 ./review/mesh3
