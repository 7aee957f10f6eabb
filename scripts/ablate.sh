#!/usr/bin/env bash
# Ablation study: removes one mechanism at a time, and runs the same simulated days and seeds with and without it.
#
#     BENCH=path/of/fleetbench scripts/ablate.sh OUT "SITE.toml..." "DAY..." "SEED..." [TEXT]
#
# The mechanisms are the rows of tests/mutants.sh for the files of forwarding that contain TEXT (all if not given).
# Writes one table a mechanism to OUT; mechanisms whose table exists already are skipped.
set -eu
cd "$(dirname "$0")/.."
out=$1 sites=$2 days=$3 seeds=$4 text=${5:-}
mkdir -p "$out/whole"
# shellcheck disable=SC1090
eval "$(sed -n '/^MUTANTS=(/,/^)/p; /^ABLATIONS=(/,/^)/p' tests/mutants.sh)"
copy() { git ls-files -co --exclude-standard | grep -v '^journal/' | cpio -pdm --quiet "$1"; }
[ -e "$out/whole/Makefile" ] || copy "$out/whole"
total=0 done=0
rows=()
for row in "${ABLATIONS[@]}" "${MUTANTS[@]}"; do
	file=${row#*|} file=${file%%|*}
	case $file in src/core/part.c | src/core/forward*.c | src/core/placement.c | src/core/shedding.c | \
		src/core/failure_rate.c | src/core/observation.c | src/core/subrequest.c | src/core/searcher.c | \
		src/core/retry_*.c | src/core/connection_share.c | src/core/registry.c | src/tasks/link_task.c) ;; *) continue ;; esac
	case $row in *"$text"*) rows+=("$row") ;; esac
done
for row in "${rows[@]}"; do
	total=$((total + 1))
	name=${row%%|*} rest=${row#*|} file=${rest%%|*} expression=${rest#*|}
	slug=$(echo "$name" | tr -c 'a-z0-9\n' '-')
	if [ ! -s "$out/$slug.txt" ]; then
		rm -rf "${out:?}/$slug" && mkdir "$out/$slug" && copy "$out/$slug"
		perl -0pi -e "$expression" "$out/$slug/$file"
		cmp -s "$file" "$out/$slug/$file" && { echo "STALE  $name"; continue; }
		scripts/rounds.sh "ablation: without it $name" "$sites" "$days" "$seeds" "$out/whole" "$out/$slug" >"$out/$slug.part" ||
			{ echo "NOT RUN without it $name"; continue; }
		mv "$out/$slug.part" "$out/$slug.txt"
	fi
	done=$((done + 1))
	echo "[$done of ${#rows[@]}] without it $name"
	grep '^all of' "$out/$slug.txt" | sed 's/, [^:]*:/:/'
	grep '^RED' "$out/$slug.txt" || true
done
