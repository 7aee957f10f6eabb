# Guards against a VM that serves callers by an older configuration than it has shown them: its gatherers use the new
# one, while the store is silent for the VM itself. Its other requests must be refused until it has the new one.
. tests/front_lib.sh
PROXY=$((PORT_BASE + 3)) STORE_ENDPOINT=$((PORT_BASE + 4)) SLACK_MS=250
"$BUILD/standin-proxy" "$PROXY" "$STORE_ENDPOINT:$STORE" >>"$RUN/proxy.log" 2>&1 &
PIDS+=($!)
STORE_OF=("$STORE_ENDPOINT")
front_size() {
	[ "$1" = 0 ] && printf 'link_mbps = 20\ncores = 1\ncore_share = 0.1\n' || printf 'link_mbps = 200\ncores = 1\ncore_share = 0.5\n'
}
fronts_start 3
has_gatherers() { [ "$(metric dogwoodsaddle_gatherers 0)" = 2 ]; }
wait_until has_gatherers || fail "VM 0 has $(metric dogwoodsaddle_gatherers 0) gatherers"
# After a change of either kind VM 0 has begun new watches, whose silence it notices in seconds.
users configure '' 2 >/dev/null
users drain i-shard-2-there >/dev/null
knows_changes() { [ "$(metric configuration_version 0)" = 2 ] && grep -q 'event=searcher-draining ' "$RUN/front-0.log"; }
wait_until knows_changes || fail "VM 0 does not receive changes"
sleep 1
gathers=0
# Sends a gather to VM 0; succeeds if a gatherer has served it by version 5.
shows_new_version() {
	gathers=$((gathers + 1))
	find_all "gather-$gathers" >/dev/null
	grep -qh "event=answer request=gather-$gathers .* version=5 " "$RUN"/front-[12].log
}
curl -s "http://127.0.0.1:$PROXY/do?mode=silent" >/dev/null
users configure '' 5 >/dev/null
wait_until shows_new_version || fail "no gatherer uses the new configuration"
shown=$(now_ms)
[ "$(metric configuration_version 0)" = 2 ] || fail "VM 0 has the new configuration already"
attempt 0 get.example /get/x
[ "$(status)" = 200 ] || [ $(($(now_ms) - shown)) -gt 200 ] || fail "status $(status) right after a newer configuration was seen"
sleep_until_ms $((shown + SLACK_MS))
refused=0
while attempt 0 get.example /get/x; [ "$(metric configuration_version 0)" = 2 ]; do
	[ "$(status)" = 503 ] || fail "status $(status) by the old configuration, $(($(now_ms) - shown)) ms after the new one was seen"
	[ -n "$(header Retry-After)" ] || fail "a refusal without Retry-After"
	refused=$((refused + 1))
	[ $(($(now_ms) - shown)) -lt 10000 ] || fail "VM 0 still has the old configuration"
	sleep 0.05
done
[ $refused -gt 0 ] || fail "VM 0 received the configuration before it could be asked"
attempt 0 get.example /get/x
[ "$(status)" = 200 ] || fail "status $(status) by the new configuration"
