#!/usr/bin/env bash
# Compares the policy with a baseline (no hedges, round robin, fixed limits) under faults.
# Usage: scripts/measure.sh [SITE] [SCENARIO...]. Prints a Markdown table; every answer is checked.
set -u
cd "$(dirname "$0")/.."
SITE=${1:-brodnica}
shift
SCENARIOS=("$@")
[ ${#SCENARIOS[@]} -gt 0 ] || SCENARIOS=(healthy straggler one-in-ten searcher-lost dc-cut platform-out load-0.7 load-1.0 load-1.5)
SECONDS_EACH=${SECONDS_EACH:-6}
PORT_BASE=${PORT_BASE:-16000}
RUN=$(mktemp -d)
. scripts/site.sh
trap 'site_stop; rm -rf "$RUN"' EXIT
case $SITE in brodnica) BROAD=checklist-board ;; *) BROAD=visitor-search ;; esac
# 10 groups of 3 searchers with 2 slots each, WORK_US a sub-request: FULL_RATE searches a second use all slots.
WORK_US=10000
FULL_RATE=$((3 * 2 * 1000000 / WORK_US))

targets() {
	local i
	for ((i = 0; i < ${#VMS[@]}; i++)); do printf -- '-t 127.0.0.1:%d:%d ' $((CALLERS_FROM + i)) $((ADMINS_FROM + i)); done
}

load() { # rate seconds
	# shellcheck disable=SC2046
	"$BUILD/dogwoodsaddle-load" $(targets) -j -r "$1" -s "$2" -m "$BROAD:search:urgent:1:300:Ana" \
		-m "$BROAD:search:normal:2:600:Ana" -m "$BROAD:search:background:1:1000:Ana"
}

subs() { # kind
	local i sum=0 n
	for ((i = 0; i < ${#VMS[@]}; i++)); do
		n=$(curl -s -m 2 "http://127.0.0.1:$((ADMINS_FROM + i))/metrics" |
			awk -v s="$BROAD" -v k="$1" '$0 ~ "ds_sub_requests_total.*\"" s "\".*\"" k "\"" {print $2}')
		sum=$((sum + ${n:-0}))
	done
	echo $sum
}

inject_fault() { # scenario
	local name dc=${DCS[0]}
	case $1 in
	straggler) control "$BROAD-0-0" '{"slow_factor":10}' >/dev/null ;;
	one-in-ten) for name in "${!SEARCHER_CONTROL[@]}"; do control "$name" '{"slow_one_in":10}' >/dev/null; done ;;
	searcher-lost) kill -KILL "${SEARCHER_PID[$BROAD-0-0]}" ;;
	dc-cut) for name in "${!SEARCHER_PID[@]}"; do [[ $name == $BROAD-*-0 ]] && kill -STOP "${SEARCHER_PID[$name]}"; done ;;
	platform-out) platform_control '{"down":true}' >/dev/null ;;
	esac
}

rate_of() { # scenario
	case $1 in
	load-*) awk -v f="${1#load-}" -v r="$FULL_RATE" 'BEGIN {print int(f * r)}' ;;
	*) echo $((FULL_RATE * 4 / 10)) ;;
	esac
}

one_run() { # scenario
	local rate before_first before_extra first extra
	site_start "$SITE" || return
	load $((FULL_RATE * 3 / 10)) 2 >/dev/null
	before_first=$(subs first) before_extra=$(($(subs hedge) + $(subs retry)))
	rate=$(rate_of "$1")
	# The fault is injected one second after the start of the run.
	(sleep 1 && inject_fault "$1") &
	load "$rate" "$SECONDS_EACH" >"$RUN/out.json"
	wait $!
	first=$(($(subs first) - before_first)) extra=$(($(subs hedge) + $(subs retry) - before_extra))
	site_stop
	jq -r --argjson first "$first" --argjson extra "$extra" --argjson s "$SECONDS_EACH" '
		def sum(f): [.mix[] | f] | add;
		(.mix[0]) as $u | (.mix[1]) as $n |
		[$u.p50_ms, $u.p99_ms, $u.p999_ms, $n.p99_ms,
		 (100 * sum(.whole) / ([sum(.whole) + sum(.partial), 1] | max)),
		 (100 * sum(.mean_coverage * (.whole + .partial)) / ([sum(.whole) + sum(.partial), 1] | max)),
		 (100 * $extra / ([$first, 1] | max)), (sum(.whole) / $s), sum(.refused),
		 ([.mix[].refusal_p99_ms] | max), (sum(.wrong) + sum(.cut) + sum(.failed))] |
		map(. * 10 | round / 10) | @tsv' "$RUN/out.json"
}

echo "| $SITE: $BROAD | policy | urgent p50 ms | p99 | p99.9 | normal p99 | complete % | coverage % | extra load % | complete/s | refused | refusal p99 ms | wrong, aborted or failed |"
echo "|---|---|---|---|---|---|---|---|---|---|---|---|---|"
for scenario in "${SCENARIOS[@]}"; do
	for policy in ours baseline; do
		if [ $policy = ours ]; then export HEDGE=1 CHOOSE=1 ADAPT=1; else export HEDGE=0 CHOOSE=0 ADAPT=0; fi
		row=$(one_run "$scenario") || { echo "$scenario $policy did not run"; continue; }
		echo "| $scenario | $policy | ${row//$'\t'/ | } |"
	done
done
