# The store is restored from an older copy of its data, some seconds old. If a VM applied the restored data, it would
# answer by an older configuration, or send requests to removed searchers or to an evacuated data centre. A watch from
# a revision that is assigned again would miss the next change for good. Here the configuration, the evacuation and the
# removal are written after the copy, with seven VMs of which some are fed: none may be undone, and later changes must
# arrive.
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
wait_until fed || fail "fewer than four VMs are fed"
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
wait_until all_have 'poison_requests{state="refused"}' 1 || fail "not all VMs block the poison request"
wait_until all_have configuration_version 5 || fail "not all VMs have version 5"
wait_until all_have dogwoodsaddle_evacuations 1 || fail "not all VMs know the evacuation"
wait_until all_have dogwoodsaddle_searchers 7 || fail "not all VMs know that one searcher was removed"

# The store is down for a moment, then restored from the copy. The configuration changes first, followed by so many
# writes that all earlier revisions are assigned again before the first VM's call.
users down '' 1 >/dev/null
sleep 0.5
users restore >/dev/null
users configure '' 7 >/dev/null
for ((i = 0; i < 30; i++)); do users ready i-shard-1-here >/dev/null; done
users down '' 0 >/dev/null
wait_until all_have store_era 1 || fail "not all VMs know the store era: $(for ((i = 0; i < 7; i++)); do metric store_era "$i"; done)"
wait_until all_have configuration_version 7 || fail "not all VMs have the change made after the restore: $(for ((i = 0; i < 7; i++)); do metric configuration_version "$i"; done)"

# The evacuation is not written again yet, but stays in force.
runs_there() { users none | jq '[.runs | to_entries[] | select(.key | endswith("-there")) | .value] | add'; }
before=$(runs_there)
for ((i = 0; i < 7; i++)); do
	attempt "$i" find.example /find/x
	[ "$(status)" = 200 ] || fail "VM $i answers $(status)"
	[ "$(metric dogwoodsaddle_evacuations "$i")" = 1 ] || fail "VM $i has dropped the evacuation"
	[ "$(metric dogwoodsaddle_searchers "$i")" = 7 ] || fail "VM $i knows $(metric dogwoodsaddle_searchers "$i") searchers, not 7"
done
[ "$(runs_there)" = "$before" ] || fail "$(($(runs_there) - before)) requests reached an evacuated data centre"
users evacuate there >/dev/null
sleep 5
[ "$(metric dogwoodsaddle_evacuations 0)" = 1 ] || fail "the evacuation is not in force after it was written again"

# The VMs write their own lost objects again: the blocked request, and the registration of the new VM.
stored() { [ "$(curl -s "http://127.0.0.1:$STORE/objects/poison-requests" | jq '.items | length')" = 1 ]; }
wait_until stored || fail "the poison request is not written again"
registered() { [ "$(curl -s "http://127.0.0.1:$STORE/objects/entry-vms" | jq '.items | length')" = 7 ]; }
wait_until registered || fail "the VM that the copy lacks does not register again"

# Later changes arrive at all VMs.
users configure '' 9 >/dev/null
users reopen there >/dev/null
wait_until all_have configuration_version 9 || fail "not all VMs have a later change of the configuration"
wait_until all_have dogwoodsaddle_evacuations 0 || fail "not all VMs know that the data centre was reopened"
