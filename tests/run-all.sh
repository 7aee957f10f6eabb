#!/usr/bin/env bash
# Runs all checks of CI in order. KNOWN-RED.txt lists the tests that fail because of a known open fault.
set -eu
cd "$(dirname "$0")/.."
make --no-print-directory lint
make --no-print-directory spec
make --no-print-directory unit
make --no-print-directory overload
make --no-print-directory system
# Tests of failures that only the sanitizers show for certain.
BUILD=build-san TESTS="tests/system/front_restart_while_suspended.sh tests/system/front_feed_descriptors.sh" tests/run-system.sh
scripts/fuzz.sh 3 1
# Real processes under faults, with the seeds of seeds.txt. `make soak` runs more seeds, new ones each time.
grep -v '^#' tests/soak/seeds.txt | while read -r soak build seed seconds _; do
	SOAK=${soak}_soak.sh BUILD=$build tests/soak/run.sh "$seed" "$seed" "$seconds" </dev/null || exit 1
done
