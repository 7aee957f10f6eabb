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
# A searcher is back after a second.
all_ended_three() {
	local path
	for path in "${REQUESTS[@]}"; do [ "$(crashes "$path" ended)" -ge 3 ] || return 1; done
}
for ((i = 0; i < 14; i++)); do all_ended_three || round; done
all_ended_three || bad "too few searchers ended: $(users none | jq -c .crashes)"

# Known everywhere once the settle time is over: of the attempts from then on at most three may reach a searcher.
sleep 5.2
for ((i = 0; i < 10; i++)); do round; done
for path in "${REQUESTS[@]}"; do
	[ "$(crashes "$path" late)" -le 3 ] || bad "$path reached searchers in $(crashes "$path" late) attempts after three had ended"
done

# Others are served.
for vm in 0 1 2; do
	attempt $vm get.example /get/sound && [ "$(status)" = 200 ] || bad "VM $vm: a sound request gets $(status)"
	attempt $vm find.example /find/sound && [ "$(status)" = 200 ] || bad "VM $vm: a sound gather gets $(status)"
done
