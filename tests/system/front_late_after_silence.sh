# Callers are answered by an old configuration: a call that the store swallowed just before its return is waited for.
. tests/front_lib.sh
SETTLE_MS=5000 DUE_MS=3000
fronts_start 2
is_open() { [ "$(users none | jq .open)" = true ]; }
version=1 rounds=0
for away_ms in 6000 9000; do
	version=$((version + 4)) rounds=$((rounds + 1))
	users silent '' $away_ms >/dev/null
	for ((i = 0; i < 300; i++)); do is_open && break || sleep 0.05; done
	back=$(now_ms)
	users configure '' $version >/dev/null
	sleep_until_ms $((back + SETTLE_MS))
	all_configured $version 2 || fail "$SETTLE_MS ms after a silence of $away_ms: $(metric configuration_version 0) $(metric configuration_version 1), not $version"
	# Searchers are heard again as well: one that leaves now is known to leave when that is due.
	users drain i-shard-0-there >/dev/null
	drained=$(now_ms)
	sleep_until_ms $((drained + DUE_MS))
	for ((i = 0; i < 2; i++)); do
		[ "$(grep -c 'event=searcher-draining ' "$RUN/front-$i.log")" -ge $rounds ] || fail "VM $i sends to a searcher that leaves"
	done
	users born >/dev/null # a start that leaves stays so
	users ready i-shard-0-there >/dev/null
done
