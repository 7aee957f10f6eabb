#!/usr/bin/env bash
# Tests with real processes on loopback. Each prints one line; none judges speed.
set -u
cd "$(dirname "$0")/.."
passed=0 failed=0
for test in tests/system/*.sh; do
	if out=$(bash "$test" 2>&1); then
		passed=$((passed + 1))
		echo "ok   $(basename "$test" .sh)"
	else
		failed=$((failed + 1))
		echo "FAIL $(basename "$test" .sh)"
		printf '%s\n' "$out" | tail -n 40 | sed 's/^/     /'
	fi
done
echo "$passed passed, $failed failed"
[ $failed = 0 ] && [ $passed -gt 0 ]
