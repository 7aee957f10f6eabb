#!/usr/bin/env bash
# Everything CI checks, in order. KNOWN-RED.txt names tests that fail for a real fault still open.
set -eu
cd "$(dirname "$0")/.."
make --no-print-directory lint
make --no-print-directory spec
make --no-print-directory unit
make --no-print-directory system
# Real processes under faults: two seeds, a few seconds each. `make soak` runs many with fresh ones.
BUILD=build tests/soak/run.sh 1 2 4
