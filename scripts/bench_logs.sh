#!/usr/bin/env bash
# What logging costs: processor time a sub-request with all lines and with warnings only, by turns in one
# run, so that the rest of the machine's load falls on both.
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
