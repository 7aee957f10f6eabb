# Callers get 502 for seconds: one request ends every searcher that runs it, and comes again with the same
# path, caller and body, at any VM. Each attempt bears a new id, so no VM knew it for the same request: it was
# sent to two searchers a shard each time, and all searchers of all shards ended once more, as soon as they
# were back. Here: to one searcher, over all shards, and one that must not be repeated.
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
# /get/ and /get/act/ go to the same searchers, so they come by turns.
ROUNDS=0
round() {
	ROUNDS=$((ROUNDS + 1))
	poison $((ROUNDS % 3)) /find/crash
	poison $((ROUNDS % 3)) "$([ $((ROUNDS % 2)) = 0 ] && echo /get/crash || echo /get/act/crash)"
	sleep 1.3
}
# A searcher is back after a second. One that is refused after its second end has no third.
all_ended() { # times
	local path
	for path in "${REQUESTS[@]}"; do [ "$(crashes "$path" ended)" -ge "$1" ] || return 1; done
}
for ((i = 0; i < 10; i++)); do all_ended 3 || round; done
all_ended 2 || fail "too few searchers ended: $(users none | jq -c .crashes)"

# Known everywhere once the settle time is over: of the attempts from then on at most three may reach a searcher.
sleep 5.2
declare -A BEFORE
for path in "${REQUESTS[@]}"; do BEFORE[$path]=$(crashes "$path" reached); done
for ((i = 0; i < 10; i++)); do round; done
for path in "${REQUESTS[@]}"; do
	reached=$(($(crashes "$path" reached) - BEFORE[$path]))
	[ $reached -le 3 ] || fail "$path reached searchers in $reached attempts once it was known"
	[ "$(crashes "$path" late)" -le 3 ] || fail "$path reached searchers in $(crashes "$path" late) attempts after three had ended"
done

# Others are served.
for vm in 0 1 2; do
	attempt $vm get.example /get/sound && [ "$(status)" = 200 ] || fail "VM $vm: a sound request gets $(status)"
	attempt $vm find.example /find/sound && [ "$(status)" = 200 ] || fail "VM $vm: a sound gather gets $(status)"
done

# Each VM refuses it, as not run and with a time to come back; so does one that starts only now.
refused() { # VM path
	poison "$1" "$2"
	[ "$(status)" = 503 ] && [ -n "$(header Retry-After)" ] || fail "VM $1 answers $2 with $(status), $(header Retry-After)"
	grep -q blocked "$RUN/body" || fail "VM $1 does not say why: $(cat "$RUN/body")"
}
kill -KILL "${FRONT_PID[1]}"
front_start 1
wait_until is_ready 1
blocks_three() { [ "$(metric 'poison_requests{state="refused"}' "$1")" = 3 ]; }
for vm in 0 1 2; do
	wait_until blocks_three $vm || fail "VM $vm refuses $(metric 'poison_requests{state="refused"}' $vm) requests"
	ended=$(users none | jq '[.crashes[].ended] | add')
	for path in "${REQUESTS[@]}"; do refused $vm "$path"; done
	[ "$(users none | jq '[.crashes[].ended] | add')" = "$ended" ] || fail "VM $vm has sent what it refused"
done
"$BUILD/dogwoodsaddle" explain "attempt-$ATTEMPTS" "$RUN"/front-*.log >"$RUN/explained"
grep -q 'not run: searchers have ended under this request' "$RUN/explained" || fail "explain: $(cat "$RUN/explained")"
grep -q 'event=poison .*outcome=blocked' "$RUN/explained" || fail "explain does not say since when: $(cat "$RUN/explained")"
grep -q 'other attempts at the same request' "$RUN/explained" || fail "explain does not show other attempts"

# The operator lets one through, as docs/OPERATIONS.md shows it.
store=http://127.0.0.1:$STORE/objects/poison-requests
fingerprint=$(grep -h "event=answer request=attempt-$ATTEMPTS " "$RUN"/front-*.log | grep -o 'fingerprint=[0-9a-f]*' | cut -d= -f2)
curl -s "$store" | jq -e --arg f "$fingerprint" '.items[] | select(.meta.name == $f) | .spec.strikes >= 2' >/dev/null ||
	fail "the store does not hold it: $(curl -s "$store")"
curl -s -X DELETE "$store/$fingerprint" >/dev/null
blocks_two() { [ "$(metric 'poison_requests{state="refused"}' "$1")" = 2 ]; }
for vm in 0 1 2; do wait_until blocks_two $vm || fail "VM $vm goes on refusing it"; done
before=$(crashes /get/act/crash ended)
poison 2 /get/act/crash
sleep 0.3
[ "$(crashes /get/act/crash ended)" -gt "$before" ] || fail "it is not sent after it was let through"
