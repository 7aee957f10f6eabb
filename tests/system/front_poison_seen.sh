# A searcher ends, and its entry stays in the store for seconds: callers that repeat the request in that time end
# the next searcher. The VM must know from its own connections: they break, and nobody listens there any more.
# One whose answers are cut while it goes on listening has not ended, and nothing is held against its requests.
. tests/front_lib.sh
USERS_ARGS='--back-ms 60000' fronts_start 2
strikes() { metric poison_strikes_total "$1"; }
attempt 0 get.example /get/crash
struck() { [ "$(strikes 0)" = 1 ]; }
wait_until struck || fail "VM 0 has not noticed that a searcher ended: $(strikes 0) strikes"
told() { [ "$(metric 'poison_requests{state="remembered"}' 1)" = 1 ]; }
wait_until told || fail "VM 1 was not told"
for ((i = 0; i < 10; i++)); do
	users cut i-shard-1 >/dev/null
	attempt 0 find.example "/find/sound-$i"
	users ok i-shard-1 >/dev/null
done
[ "$(strikes 0)" = 1 ] || fail "searchers that listen count as ended: $(strikes 0) strikes"
