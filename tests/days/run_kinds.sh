#!/usr/bin/env bash
# Runs one simulated day for each line of kinds.txt, with that fault or plan entry three times in the day. Prints the
# days that break a rule. Needs the users' bench; not part of CI.
#
#   tests/days/run_kinds.sh BENCH SITE [JOBS]
#
# A line of kinds.txt: 'plan' or 'faults', the kind, then fields; the words of `how` and `on` are joined by '_'.
set -u
bench=$1 site=$2 jobs=${3:-4}
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
n=0
while read -r list kind fields; do
	n=$((n + 1))
	entry="kind = \"$kind\""
	for field in $fields; do
		key=${field%%=*} value=${field#*=}
		case $key in how | on) value="\"${value//_/ }\"" ;; esac
		entry+=", $key = $value"
	done
	other=faults
	[ "$list" = faults ] && other=plan
	{
		echo "name = \"$kind-$n\""
		echo "seed = $((1000 + n))"
		echo "$other = []"
		echo "$list = [ { at = 1.0, $entry }, { at = 13.0, $entry }, { at = 24.0, $entry } ]"
	} >"$dir/$kind-$n.toml"
done <"$(dirname "$0")/kinds.txt"
export bench site
run_day() {
	out=$(timeout 120 "$bench" run "$site" "$1" --jobs 1 --why "own day for each trouble: $(basename "$1" .toml)" 2>&1)
	line=$(grep -E "^$(basename "$1" .toml) " <<<"$out" | cut -c1-170)
	case $line in
	*BROKEN*) echo "BROKEN $line"; grep -m 1 -E '^[A-Z]+ at' <<<"$out" | cut -c1-200; grep -A1 'list = \|= \[ {' "$1" | head -2 ;;
	'') echo "NOT RUN $(basename "$1"): $(tail -n 1 <<<"$out" | cut -c1-150)" ;;
	*) echo "ok $line" ;;
	esac
}
export -f run_day
ls "$dir"/*.toml | xargs -P "$jobs" -I{} bash -c 'run_day {}' >"$dir/out"
grep -v '^ok ' "$dir/out"
echo "$(grep -c '^ok ' "$dir/out") of $n days break no rule"
