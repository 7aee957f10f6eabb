# All open connections go silent at once while all searchers are healthy and no request is outstanding. The next
# caller must get complete answers: the health probes time out once on their keep-alive connections and continue over
# new ones. If a probe that is due while the last one is outstanding counted as another failure, one failure would
# count as three, and whole groups would be marked down.
. tests/lib.sh
site_start brodnica || exit 1
for round in 1 2 3; do
	for name in "${!SEARCHER_CONTROL[@]}"; do
		control "$name" '{"silence_open_connections":true}' >/dev/null
	done
	sleep 2.5
	down=$(cat "$RUN"/*-[12].log | grep -c 'event=upstream-down')
	[ "$down" = 0 ] || fail "round $round: healthy searchers were marked down $down times"
done
