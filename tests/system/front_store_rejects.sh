# The store rejects the calls of one VM: its callers are answered by an old configuration although the other VMs of the
# region have the new one.
. tests/front_lib.sh
APPLY_S=3 # the settings' apply_ms
all_have() { # version VM...
	local version=$1 i
	shift
	for i in "$@"; do [ "$(metric configuration_version "$i")" = "$version" ] || return 1; done
}
versions() {
	local i
	for ((i = 0; i < $1; i++)); do metric configuration_version "$i"; done | tr '\n' ' '
}
# Four VMs of a region all watch the store; the store rejects the calls of the last one.
STORE_OF[3]=$STORE_SIDE
fronts_start 4
version=1 rounds=0
for how in busy reset silent; do
	version=$((version + 4)) rounds=$((rounds + 1))
	users side $how >/dev/null
	sleep 6 # until a pending watch has ended
	users configure '' $version >/dev/null
	sleep $APPLY_S
	all_have $version 0 1 2 3 || fail "store rejects VM 3 ($how): versions $(versions 4), not $version"
	users drain i-shard-0-there >/dev/null
	sleep $APPLY_S
	[ "$(grep -c 'event=searcher-draining ' "$RUN/front-3.log")" -ge $rounds ] || fail "store rejects VM 3 ($how): it does not know that a searcher is draining"
	users born >/dev/null # a new start, as a draining incarnation stays draining
	users ready i-shard-0-there >/dev/null
	users side open >/dev/null
	sleep 4
	[ "$(metric store_is_fed 3)" = 0 ] || fail "VM 3 is fed by another VM although it reaches the store"
done
# The other VMs restart while the store rejects VM 3.
users side busy >/dev/null
sleep 6
kill -KILL "${FRONT_PID[0]}" "${FRONT_PID[1]}" "${FRONT_PID[2]}"
for i in 0 1 2; do front_start $i; done
for i in 0 1 2; do wait_until is_ready $i; done
users configure '' 21 >/dev/null
sleep $APPLY_S
all_have 21 0 1 2 3 || fail "store rejects VM 3, others restarted: versions $(versions 4), not 21"
