# Callers are answered by an old configuration because VMs wait for the answer to a call that the store swallowed just
# before it recovered.
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
	# Changes of searchers must arrive again, too: a searcher that drains now is known to drain within DUE_MS.
	users drain i-shard-0-there >/dev/null
	drained=$(now_ms)
	sleep_until_ms $((drained + DUE_MS))
	for ((i = 0; i < 2; i++)); do
		[ "$(grep -c 'event=searcher-draining ' "$RUN/front-$i.log")" -ge $rounds ] || fail "VM $i does not know that a searcher is draining"
	done
	users born >/dev/null # a new start, as a draining incarnation stays draining
	users ready i-shard-0-there >/dev/null
done
