#!/usr/bin/env bash
# Measures the cost of logging: processor time a sub-request with all log lines and with warnings only. The two
# alternate within one run, so that other load on the machine affects both.
set -u
cd "$(dirname "$0")/.."
rounds=${ROUNDS:-3}
measure() { LOG_LEVEL=$1 PORT_BASE=14000 REQUESTS=${REQUESTS:-1500} bash scripts/bench_front.sh | sed -n 's/^front daemon: \([0-9]*\) us .*/\1/p'; }
with=0 without=0
for ((i = 0; i < rounds; i++)); do
	with=$((with + $(measure info)))
	without=$((without + $(measure warning)))
done
echo "logging: $with us with, $without us without, sums of $rounds runs each: $(((with - without) * 100 / without)) % more"
