#!/usr/bin/env bash
# Runs the load scenarios of tests/load_test.c with src/core of this tree and of an earlier revision, and prints the
# shares served to callers side by side. With gnuplot it also draws build/loads.png.
#
#     scripts/loads.sh [REVISION] [SEEDS]
set -eu
cd "$(dirname "$0")/.."
revision=${1:-HEAD} seeds=${2:-8}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
flags="-O2 -w $(pkg-config --cflags glib-2.0 jansson libxxhash msgpack)"
libs="$(pkg-config --libs glib-2.0 jansson libxxhash msgpack) -lcmocka -lm"
git archive "$revision" src | tar -x -C "$work"
build() { # src folder, program
	# shellcheck disable=SC2086
	gcc $flags -I"$1" -Itests -o "$2" tests/load_test.c tests/load_world.c "$1"/core/*.c $libs
}
build "$work/src" "$work/before"
build src "$work/now"
"$work/before" table "$seeds" >"$work/before.txt" &
"$work/now" table "$seeds" >"$work/now.txt"
wait
printf '%-12s %22s %22s\n' scenario "$revision" 'this tree'
paste -d'|' <(grep ' served ' "$work/before.txt") <(grep ' served ' "$work/now.txt") |
	awk -F'|' '{split($1, b, " "); split($2, n, " "); what = $2; sub(/^[^:]*: /, "", what)
		printf "%-12s %14s sd %s %14s sd %s  %s\n", b[1], b[3], b[5], n[3], n[5], what}' | tee "$work/table"
echo
for side in before now; do
	echo "== the last seed, by route: $side"
	cat "$work/$side.txt"
done
command -v gnuplot >/dev/null || exit 0
mkdir -p build
gnuplot <<-P
	set terminal png size 1000,420
	set output 'build/loads.png'
	set style data histogram
	set style fill solid 0.8
	set yrange [0:1.05]
	set ylabel 'served in time'
	set key below
	plot '$work/table' using 2:xtic(1) title '$revision', '' using 5 title 'this tree'
P
echo "drawn: build/loads.png"
