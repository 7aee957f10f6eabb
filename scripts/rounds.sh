#!/usr/bin/env bash
# Runs the same simulated days with the same seeds on several checkouts of this repository, interleaved, and prints for
# each site and day the mean worth with its standard deviation and the mean share served of each checkout.
#
#     BENCH=path/of/fleetbench scripts/rounds.sh "why" "SITE.toml..." "DAY..." "SEED..." DIR...
#
# The other checkouts are compared with the first DIR. JOBS days run in parallel (default 4).
set -eu
why=$1 sites=$2 days=$3 seeds=$4
shift 4
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

for dir in "$@"; do
	(cd "$dir" && "$BENCH" build) >/dev/null
done
run_day() { # index dir site day seed
	name=$(basename "$3" .toml)
	(cd "$2" && timeout 900 "$BENCH" run "$3" "$4" --seed "$5" --why "$WHY") >"$OUT/$1.$name.$4.$5" 2>&1 || true
}
export -f run_day
export BENCH OUT=$out WHY=$why
index=0
for dir in "$@"; do
	for site in $sites; do for day in $days; do for seed in $seeds; do
		printf '%s\n' "$seed" "$index" "$dir" "$site" "$day"
	done; done; done
	index=$((index + 1))
done | paste -d ' ' - - - - - | sort -s -k1,1 | while read -r seed i dir site day; do
	printf '%s %s %s %s %s\0' "$i" "$dir" "$site" "$day" "$seed"
done | xargs -0 -P "${JOBS:-4}" -I{} bash -c 'run_day {}'
python3 - "$out" "$@" <<'P'
import glob, os, re, statistics, sys
out, dirs = sys.argv[1], sys.argv[2:]
rows, red = {}, []
for path in glob.glob(out + "/*"):
    index, site, day, seed = os.path.basename(path).split(".")
    text = open(path).read()
    line = re.search(r"^\S+ +\d+/\d+ +[\d.-]+ +([\d.-]+) +([\d.]+) +([\d.]+) +([\d.]+)", text, re.M)
    if re.search(r"\b(MIXED|UNASKED|TWICE|REFUSED|DENIED|BUDGET|GONE|LOST|CONFIG|ROUTE|DRAIN|RECOVER)\b", text):
        red.append(f"{dirs[int(index)]} {site} {day} {seed}: " + " ".join(re.findall(r"^.*\b(?:MIXED|UNASKED|TWICE|REFUSED|DENIED|BUDGET|GONE|LOST|CONFIG|ROUTE|DRAIN|RECOVER)\b.*$", text, re.M)[:1]))
    if not line:
        red.append(f"{dirs[int(index)]} {site} {day} {seed}: not run: {text[-200:]!r}")
        continue
    rows.setdefault((site, day), {}).setdefault(int(index), {})[seed] = [float(x) for x in line.groups()]
print(f"{'site':28}{'day':12}" + "".join(f"{os.path.basename(d.rstrip('/')):>26}" for d in dirs) + "   difference to the first (standard error)")
total = {}
for (site, day), by in sorted(rows.items()):
    text = f"{site:28}{day:12}"
    for i in range(len(dirs)):
        got = list(by.get(i, {}).values())
        w = [g[0] for g in got]
        if not w: text += f"{'none':>26}"; continue
        sd = statistics.stdev(w) if len(w) > 1 else 0
        text += f"{statistics.mean(w):10.3f} sd{sd:.3f} srv{statistics.mean(g[1] for g in got):.3f}"
    for i in range(1, len(dirs)):
        both = [by[i][s][0] - by[0][s][0] for s in by.get(i, {}) if s in by.get(0, {})]
        if both:
            se = statistics.stdev(both) / len(both) ** 0.5 if len(both) > 1 else 0
            text += f"   {statistics.mean(both):+.3f} ({se:.3f})"
            total.setdefault((site, i), []).extend(both)
    print(text)
for (site, i), both in sorted(total.items()):
    se = statistics.stdev(both) / len(both) ** 0.5 if len(both) > 1 else 0
    print(f"all of {site}, {dirs[i]}: {statistics.mean(both):+.3f} ({se:.3f}), {len(both)} pairs")
for line in red: print("RED", line)
P
