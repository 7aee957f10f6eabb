#!/usr/bin/env bash
# Runs the tests that start real processes on loopback. Prints one line a test; no test checks performance.
# A failure of a test that KNOWN-RED.txt lists is printed, but does not fail the run.
set -u
cd "$(dirname "$0")/.."
passed=0 failed=0 red=0
for test in ${TESTS:-tests/system/*.sh}; do
	name=$(basename "$test" .sh)
	if out=$(bash "$test" 2>&1); then
		passed=$((passed + 1))
		echo "ok   $name"
	elif grep -q "^$name:" KNOWN-RED.txt; then
		red=$((red + 1))
		echo "RED  $(grep "^$name:" KNOWN-RED.txt)"
	else
		failed=$((failed + 1))
		echo "FAIL $name"
		printf '%s\n' "$out" | tail -n 40 | sed 's/^/     /'
	fi
done
echo "known red: $red"
echo "$passed passed, $failed failed"
[ $failed = 0 ] && [ $passed -gt 0 ]
