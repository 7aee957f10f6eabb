# A searcher crashes, and its entry stays in the store for seconds: callers that repeat the request in that time crash
# the next searcher. The VM must detect the crash from its own connections: they are closed, and new ones are refused.
# A searcher that closes connections but still accepts new ones has not crashed, and its requests get no strike.
. tests/front_lib.sh
USERS_ARGS='--back-ms 60000' fronts_start 2
strikes() { metric poison_strikes_total "$1"; }
attempt 0 get.example /get/crash
struck() { [ "$(strikes 0)" = 1 ]; }
wait_until struck || fail "VM 0 has not detected the searcher's crash: $(strikes 0) strikes, not 1"
informed() { [ "$(metric 'poison_requests{state="remembered"}' 1)" = 1 ]; }
wait_until informed || fail "VM 1 has no record of the request"
for ((i = 0; i < 10; i++)); do
	users cut i-shard-1 >/dev/null
	attempt 0 find.example "/find/sound-$i"
	users ok i-shard-1 >/dev/null
done
[ "$(strikes 0)" = 1 ] || fail "searchers that still accept connections count as crashed: $(strikes 0) strikes, not 1"
