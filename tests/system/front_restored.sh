# The store comes back from a copy some seconds old. Callers of a VM that goes by what it knew would be answered by
# an older configuration, sent to searchers that have left, or into a data centre that is being emptied; a watch
# from a revision that is given out again would miss the next change for good. All of that was written after the
# copy, on seven VMs of which some are fed: nothing goes back, and what changes afterwards is heard.
. tests/front_lib.sh
EVACUATE_MS=5000
fronts_start 6
users copy >/dev/null
front_start 6
wait_until is_ready 6
fed() {
	local i n=0
	for ((i = 0; i < 7; i++)); do [ "$(metric store_is_fed "$i")" = 1 ] && n=$((n + 1)); done
	[ $n -ge 4 ]
}
wait_until fed || fail "some are fed"
all_have() { # metric value
	local i
	for ((i = 0; i < 7; i++)); do [ "$(metric "$1" "$i")" = "$2" ] || return 1; done
}
users configure '' 5 >/dev/null
users evacuate there >/dev/null
users remove i-shard-0-there >/dev/null
for ((i = 0; i < 4; i++)); do
	attempt 0 get.example /get/crash
	sleep 1.2
done
wait_until all_have 'poison_requests{state="refused"}' 1 || fail "a request that crashes searchers is refused everywhere"
wait_until all_have configuration_version 5 || fail "version 5 everywhere"
wait_until all_have dogwoodsaddle_evacuations 1 || fail "the evacuation is known everywhere"
wait_until all_have dogwoodsaddle_searchers 7 || fail "one searcher has left"

# Away for a moment, then back from the copy. A change comes first, and so many writes after it that every revision
# of before was given out again when the first VM asks.
users down '' 1 >/dev/null
sleep 0.5
users restore >/dev/null
users configure '' 7 >/dev/null
for ((i = 0; i < 30; i++)); do users ready i-shard-1-here >/dev/null; done
users down '' 0 >/dev/null
wait_until all_have store_era 1 || fail "the era is known everywhere: $(for ((i = 0; i < 7; i++)); do metric store_era "$i"; done)"
wait_until all_have configuration_version 7 || fail "the change behind the return is heard: $(for ((i = 0; i < 7; i++)); do metric configuration_version "$i"; done)"

# The evacuation is not written again yet, and counts.
runs_there() { users none | jq '[.runs | to_entries[] | select(.key | endswith("-there")) | .value] | add'; }
before=$(runs_there)
for ((i = 0; i < 7; i++)); do
	attempt "$i" find.example /find/x
	[ "$(status)" = 200 ] || fail "VM $i answers $(status)"
	[ "$(metric dogwoodsaddle_evacuations "$i")" = 1 ] || fail "VM $i has taken the data centre back"
	[ "$(metric dogwoodsaddle_searchers "$i")" = 7 ] || fail "VM $i knows $(metric dogwoodsaddle_searchers "$i") searchers"
done
[ "$(runs_there)" = "$before" ] || fail "$(($(runs_there) - before)) requests reached an evacuated data centre"
users evacuate there >/dev/null
sleep 5
[ "$(metric dogwoodsaddle_evacuations 0)" = 1 ] || fail "written again, the evacuation counts on"

# What the system wrote is written again by those who know it: the request that is refused, and the VM.
stored() { [ "$(curl -s "http://127.0.0.1:$STORE/objects/poison-requests" | jq '.items | length')" = 1 ]; }
wait_until stored || fail "the request that crashes searchers is written again"
registered() { [ "$(curl -s "http://127.0.0.1:$STORE/objects/entry-vms" | jq '.items | length')" = 7 ]; }
wait_until registered || fail "the VM that the copy lacks registers again"

# Changes are heard by all.
users configure '' 9 >/dev/null
users reopen there >/dev/null
wait_until all_have configuration_version 9 || fail "a change after the return is heard"
wait_until all_have dogwoodsaddle_evacuations 0 || fail "the data centre is taken back"
