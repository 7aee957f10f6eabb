#!/usr/bin/env bash
# Checks the full state space of every model, and each variant without one safeguard, in which spin must find an error.
set -u
cd "$(dirname "$0")"
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT

check() { # model variant: prints the number of errors that spin found, or "broken"
	local dir=$WORK/$1-${2:-as-is} define=()
	mkdir -p "$dir"
	[ -z "${2:-}" ] || define=("-D$2")
	(
		cd "$dir" || exit
		spin -a "${define[@]}" "$OLDPWD/$1.pml" >spin.log 2>&1 &&
			gcc -w -O2 -DSAFETY -DCOLLAPSE -o pan pan.c >gcc.log 2>&1 &&
			timeout 120 ./pan -m100000 >pan.log 2>&1
		# An incomplete search without an error is no proof.
		if grep -q 'search not completed\|max search depth too small\|out of memory' pan.log; then
			[ -s ./*.trail ] 2>/dev/null || { echo broken; exit; }
		fi
		grep -o 'errors: [0-9]*' pan.log 2>/dev/null | awk '{print $2; found = 1} END {if (!found) print "broken"}'
	)
}

expect() { # model variant wanted
	local got
	got=$(check "$1" "$2")
	case $3:$got in
	none:0) echo "ok   $1: all properties hold" ;;
	some:[1-9]*) echo "ok   $1 without its safeguard ($2): caught" ;;
	*) echo "FAIL $1 ${2:-as it is}: errors $got" ;;
	esac
}

for model in *.pml; do
	model=${model%.pml}
	expect "$model" "" none >"$WORK/$model.0.out" &
	for variant in $(grep -oh '^#if\(n\)\?def [A-Z_]*' "$model.pml" | awk '{print $2}' | sort -u); do
		expect "$model" "$variant" some >"$WORK/$model.$variant.out" &
	done
done
wait
cat "$WORK"/*.out
! grep -q ^FAIL "$WORK"/*.out
