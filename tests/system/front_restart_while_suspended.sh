# VMs end with SIGSEGV, or give a caller the answer to another request: a searcher starts again under its id while a fed
# VM is suspended that still has to cancel a sub-request which the searcher never answered.
. tests/front_lib.sh
fronts_start 7
is_fed() { [ "$(metric store_is_fed "$1")" = 1 ]; }
fed_vms() { local i; for ((i = 0; i < 7; i++)); do ! is_fed "$i" || echo "$i"; done; }
has_fed_vm() { [ -n "$(fed_vms)" ]; }
wait_until has_fed_vm || fail "no VM is fed"
users remove i-single-there >/dev/null
# Each request times out before the suspension; its sub-request is to be cancelled 0.7 s later, during the suspension.
rounds=0
for vm in $(fed_vms); do
	rounds=$((rounds + 1))
	users hang i-single-here >/dev/null
	attempt "$vm" get.example /get/x
	[ "$(status)" = 504 ] || fail "VM $vm: $(cat "$RUN/head")"
	kill -STOP "${FRONT_PID[$vm]}"
	sleep 0.4
	users born >/dev/null
	users ok i-single-here >/dev/null
	users ready i-single-here >/dev/null
	sleep 1.2
	kill -CONT "${FRONT_PID[$vm]}"
	sleep 0.6
	kill -0 "${FRONT_PID[$vm]}" 2>/dev/null || fail "VM $vm has ended: $(tail -n 5 "$RUN/front-$vm.log")"
	grep -q 'event=sub-requests-lost ' "$RUN/front-$vm.log" || fail "VM $vm lost no sub-request: the case was not played"
	attempt "$vm" find.example /find/x
	[ "$(status) $(header Dogwoodsaddle-Missing-Parts)" = "200 0" ] || fail "VM $vm: $(cat "$RUN/head")"
	processes_are_sound
done
[ $rounds -gt 0 ] || fail "no round was played"
