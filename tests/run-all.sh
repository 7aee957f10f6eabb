#!/usr/bin/env bash
# Everything CI checks, in order. KNOWN-RED.txt names tests that fail for a real fault still open.
set -eu
cd "$(dirname "$0")/.."
make --no-print-directory lint
make --no-print-directory spec
make --no-print-directory unit
make --no-print-directory system
# Real processes under faults: the seeds that failed once. `make soak` runs many with fresh ones.
grep -v '^#' tests/soak/seeds.txt | while read -r seed seconds _; do
	BUILD=build tests/soak/run.sh "$seed" "$seed" "$seconds" </dev/null || exit 1
done
