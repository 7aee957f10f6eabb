#!/usr/bin/env bash
# Runs random simulated days on which the store becomes unavailable in all ways and the configuration changes just
# before, at or after its recovery. Prints the days that break a rule. Needs the users' bench; not part of CI.
#
#   tests/days/outages.sh BENCH SITE FIRST LAST [AT-ONCE]
set -u
bench=$1 site=$2 first=$3 last=$4 at_once=${5:-3}
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
write_day() { # seed
	awk -v seed="$1" '
	function between(low, high) { return low + rand() * (high - low) }
	function pick(list, parts, n) { n = split(list, parts, ","); return parts[1 + int(rand() * n)] }
	BEGIN {
		srand(seed)
		printf "name = \"outages-%d\"\nseed = %d\n", seed, seed
		for (at = between(3, 6); at < 24; at = back + between(2, 6)) {
			away = between(0.3, 9.5)
			back = at + away
			how = pick("silent,busy,reset,silent,nodes busy,nodes silent,nodes reset,nodes many")
			share = how ~ /nodes/ ? sprintf(", share = %.2f", between(0.1, 0.8)) : ""
			faults = faults sprintf("  { kind = \"platform_down\", how = \"%s\", at = %.2f, for_s = %.2f%s },\n", how, at, away, share)
			for (i = 0; i < 3; i++)
				plan = plan sprintf("  { kind = \"config_change\", how = \"%s\", at = %.2f },\n", pick("route,weights,timeout,idle"), back + between(-1, 3))
		}
		other[1] = "kind = \"reset_conns\", share = 0.5, x = 0.6"
		other[2] = "kind = \"platform_slow\", x = 60, for_s = 4.0"
		other[3] = "kind = \"platform_lost\", x = 0.3, for_s = 6.0"
		other[4] = "kind = \"node_cut\", share = 0.3, for_s = 4.0"
		other[5] = "kind = \"core_cut\", count = 2, how = \"one_way\", for_s = 5.0"
		other[6] = "kind = \"node_freeze\", share = 0.2, for_s = 3.0"
		other[7] = "kind = \"platform_compact\""
		for (i = 0; i < 3; i++)
			faults = faults sprintf("  { at = %.2f, %s },\n", between(2, 28), other[1 + int(rand() * 7)])
		printf "plan = [\n%s]\nfaults = [\n%s]\n", plan, faults
	}' </dev/null >"$dir/outages-$1.toml"
}
export bench site dir
run_day() {
	out=$(timeout 300 "$bench" run "$site" "$dir/outages-$1.toml" --jobs 1 --why "random outages with changes behind them, seed $1" 2>&1)
	line=$(grep -E "^outages-$1 " <<<"$out" | cut -c1-170)
	case $line in
	*BROKEN*)
		echo "BROKEN $line"
		grep -E '^[A-Z]+ at' <<<"$out" | head -n 2 | cut -c1-200
		;;
	'') echo "NOT RUN outages-$1: $(tail -n 1 <<<"$out" | cut -c1-150)" ;;
	*) echo "ok $line" ;;
	esac
}
export -f run_day
for ((seed = first; seed <= last; seed++)); do write_day "$seed"; done
seq "$first" "$last" | xargs -P "$at_once" -I{} bash -c 'run_day {}'
