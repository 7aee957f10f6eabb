# Every open connection goes silent at once while all searchers are sound and no request is under way.
# A caller who asks next gets whole answers: the health probes time out once on their kept connections
# and go on over new ones. Counting each probe that finds the last one still out as a failure of its
# own made three of one, and whole groups were taken for down.
. tests/lib.sh
site_start brodnica || exit 1
for round in 1 2 3; do
	for name in "${!SEARCHER_CONTROL[@]}"; do
		control "$name" '{"silence_open_connections":true}' >/dev/null
	done
	sleep 2.5
	down=$(cat "$RUN"/*-[12].log | grep -c 'event=upstream-down')
	[ "$down" = 0 ] || fail "round $round: $down times a sound searcher was taken for down"
done
