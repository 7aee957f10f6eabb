# Callers get 502 for seconds: a poison request crashes every searcher that runs it, and its caller repeats it with
# the same path and body at any VM. Each attempt has a new request id. If VMs do not recognise it as the same request,
# they send it to two searchers a shard each time, and all searchers of all shards crash again as soon as they have
# restarted. Tested with a request to one searcher, a gather over all shards, and a request that must not be repeated.
. tests/front_lib.sh
fronts_start 3
REQUESTS=(/get/crash /find/crash /get/act/crash)
poison() { # VM path
	case $2 in
	/find/*) attempt "$1" find.example "$2" ;;
	/get/act/*) attempt "$1" get.example "$2" -X POST -d body ;;
	*) attempt "$1" get.example "$2" ;;
	esac
}
# /get/ and /get/act/ go to the same searchers, so the rounds alternate between them.
ROUNDS=0
round() {
	ROUNDS=$((ROUNDS + 1))
	poison $((ROUNDS % 3)) /find/crash
	poison $((ROUNDS % 3)) "$([ $((ROUNDS % 2)) = 0 ] && echo /get/crash || echo /get/act/crash)"
	sleep 1.3
}
# A searcher restarts after a second. A request that is blocked after its second crash causes no third.
all_crashed() { # times
	local path
	for path in "${REQUESTS[@]}"; do [ "$(crashes "$path" ended)" -ge "$1" ] || return 1; done
}
for ((i = 0; i < 10; i++)); do all_crashed 3 || round; done
all_crashed 2 || fail "too few searchers crashed: $(users none | jq -c .crashes)"

# After the settle time all VMs know the requests: at most three later attempts may reach a searcher.
sleep 5.2
declare -A BEFORE
for path in "${REQUESTS[@]}"; do BEFORE[$path]=$(crashes "$path" reached); done
for ((i = 0; i < 10; i++)); do round; done
for path in "${REQUESTS[@]}"; do
	reached=$(($(crashes "$path" reached) - BEFORE[$path]))
	[ $reached -le 3 ] || fail "$path reached searchers in $reached attempts after all VMs knew it"
	[ "$(crashes "$path" late)" -le 3 ] || fail "$path reached searchers in $(crashes "$path" late) attempts long after the third crash"
done

# Other requests are served.
for vm in 0 1 2; do
	attempt $vm get.example /get/sound && [ "$(status)" = 200 ] || fail "VM $vm: an ordinary request gets $(status)"
	attempt $vm find.example /find/sound && [ "$(status)" = 200 ] || fail "VM $vm: an ordinary gather gets $(status)"
done

# Each VM rejects the requests as not run, with Retry-After; so does a VM that is restarted now.
refused() { # VM path
	poison "$1" "$2"
	[ "$(status)" = 503 ] && [ -n "$(header Retry-After)" ] || fail "VM $1 answers $2 with $(status), $(header Retry-After)"
	grep -q blocked "$RUN/body" || fail "VM $1 does not give the reason: $(cat "$RUN/body")"
}
kill -KILL "${FRONT_PID[1]}"
front_start 1
wait_until is_ready 1
blocks_three() { [ "$(metric 'poison_requests{state="refused"}' "$1")" = 3 ]; }
for vm in 0 1 2; do
	wait_until blocks_three $vm || fail "VM $vm blocks $(metric 'poison_requests{state="refused"}' $vm) requests, not 3"
	ended=$(users none | jq '[.crashes[].ended] | add')
	for path in "${REQUESTS[@]}"; do refused $vm "$path"; done
	[ "$(users none | jq '[.crashes[].ended] | add')" = "$ended" ] || fail "VM $vm sent a blocked request to a searcher"
done
"$BUILD/dogwoodsaddle" explain "attempt-$ATTEMPTS" "$RUN"/front-*.log >"$RUN/explained"
grep -q 'not run: searchers have ended under this request' "$RUN/explained" || fail "explain: $(cat "$RUN/explained")"
grep -q 'event=poison .*outcome=blocked' "$RUN/explained" || fail "explain does not show when the request was blocked: $(cat "$RUN/explained")"
grep -q 'other attempts at the same request' "$RUN/explained" || fail "explain does not show other attempts"

# The operator unblocks one of the requests, as docs/OPERATIONS.md shows.
store=http://127.0.0.1:$STORE/objects/poison-requests
fingerprint=$(grep -h "event=answer request=attempt-$ATTEMPTS " "$RUN"/front-*.log | grep -o 'fingerprint=[0-9a-f]*' | cut -d= -f2)
curl -s "$store" | jq -e --arg f "$fingerprint" '.items[] | select(.meta.name == $f) | .spec.strikes >= 2' >/dev/null ||
	fail "the store has no record of it with at least two strikes: $(curl -s "$store")"
curl -s -X DELETE "$store/$fingerprint" >/dev/null
blocks_two() { [ "$(metric 'poison_requests{state="refused"}' "$1")" = 2 ]; }
for vm in 0 1 2; do wait_until blocks_two $vm || fail "VM $vm still blocks the removed request"; done
before=$(crashes /get/act/crash ended)
poison 2 /get/act/crash
sleep 0.3
[ "$(crashes /get/act/crash ended)" -gt "$before" ] || fail "the request is not sent after it was unblocked"
