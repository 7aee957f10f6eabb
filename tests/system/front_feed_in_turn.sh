# A configuration that is too large to be sent to all subscribers at once, and small enough to be sent to one after the
# other: if fed VMs read it from the store, each version would cost a large fleet a call for each VM.
. tests/front_lib.sh
fronts_start 7
fed() {
	local i n=0
	for ((i = 0; i < 7; i++)); do [ "$(metric store_is_fed "$i")" = 1 ] && n=$((n + 1)); done
	[ $n -ge 4 ]
}
wait_until fed || fail "fewer than four of seven VMs are fed"
users pad '' 300 >/dev/null
users configure '' 5 >/dev/null
sleep 2
for ((i = 0; i < 7; i++)); do
	[ "$(metric configuration_version "$i")" = 5 ] || fail "VM $i has version $(metric configuration_version "$i"), not 5"
done
! grep -l 'event=feed-announced' "$RUN"/front-*.log || fail "VMs were told to read the configuration from the store"
# A VM that subscribes later receives it whole.
last=""
for ((i = 0; i < 7; i++)); do [ "$(metric store_is_fed "$i")" = 1 ] && last=$i; done
kill -KILL "${FRONT_PID[$last]}"
front_start "$last"
wait_until is_ready "$last" || fail "VM $last is not ready after its restart"
[ "$(metric configuration_version "$last")" = 5 ] || fail "VM $last has version $(metric configuration_version "$last") after its restart, not 5"
! grep -l 'event=feed-announced' "$RUN"/front-*.log || fail "a VM was told to read the configuration from the store after its restart"
