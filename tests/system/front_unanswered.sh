# Callers are answered by an old configuration, and searchers that leave are sent to: connections to the store went silent
# for good, while new ones work, so nothing says that the change that is awaited on them has come.
. tests/front_lib.sh
SETTLE_MS=5000 DUE_MS=3000 PROXY=$((PORT_BASE + 3)) DOOR=$((PORT_BASE + 4))
"$BUILD/standin-proxy" "$PROXY" "$DOOR:$STORE" >>"$RUN/proxy.log" 2>&1 &
PIDS+=($!)
STORE_OF=("$DOOR" "$DOOR" "$STORE")
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
		fail "changed $change_after_ms ms after the silence: $(for i in 0 1 2; do metric configuration_version $i; done | xargs), not $version"
	for ((i = 0; i < 3; i++)); do
		[ "$(grep -c 'event=searcher-draining ' "$RUN/front-$i.log")" -ge $rounds ] || fail "VM $i sends to a searcher that leaves"
	done
	users born >/dev/null # a start that leaves stays so
	users ready i-shard-0-there >/dev/null
done
