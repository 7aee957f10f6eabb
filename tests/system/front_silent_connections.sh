# Callers are answered by an old configuration, and draining searchers get requests: the open connections to the store
# went silent for good while new ones work, so the watch on a silent connection never reports a change.
. tests/front_lib.sh
SETTLE_MS=5000 DUE_MS=3000 PROXY=$((PORT_BASE + 3)) STORE_ENDPOINT=$((PORT_BASE + 4))
"$BUILD/standin-proxy" "$PROXY" "$STORE_ENDPOINT:$STORE" >>"$RUN/proxy.log" 2>&1 &
PIDS+=($!)
STORE_OF=("$STORE_ENDPOINT" "$STORE_ENDPOINT" "$STORE")
fronts_start 3
later() { [ "$1" -gt "$2" ] && echo "$1" || echo "$2"; }
version=1 rounds=0
for change_after_ms in 0 1300 4500; do
	version=$((version + 4)) rounds=$((rounds + 1))
	curl -s "http://127.0.0.1:$PROXY/do?mode=silent&open=1" >/dev/null
	silent=$(now_ms)
	sleep_until_ms $((silent + change_after_ms))
	users configure '' $version >/dev/null
	users drain i-shard-0-there >/dev/null
	sleep_until_ms "$(later $((silent + SETTLE_MS)) $(($(now_ms) + DUE_MS)))"
	all_configured $version 3 ||
		fail "configuration changed $change_after_ms ms after connections went silent: versions $(for i in 0 1 2; do metric configuration_version $i; done | xargs), not $version"
	for ((i = 0; i < 3; i++)); do
		[ "$(grep -c 'event=searcher-draining ' "$RUN/front-$i.log")" -ge $rounds ] || fail "VM $i does not know that a searcher is draining"
	done
	users born >/dev/null # a new start, as a draining incarnation stays draining
	users ready i-shard-0-there >/dev/null
done
