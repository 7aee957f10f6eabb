# Callers of a VM that the store turns away are answered by an old configuration, though its neighbours have the new one.
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
# Four VMs of a region all watch the store; the last of them is turned away.
STORE_OF[3]=$STORE_SIDE
fronts_start 4
version=1 rounds=0
for how in busy reset silent; do
	version=$((version + 4)) rounds=$((rounds + 1))
	users side $how >/dev/null
	sleep 6 # a watch that was waiting is over by now
	users configure '' $version >/dev/null
	sleep $APPLY_S
	all_have $version 0 1 2 3 || fail "turned away ($how): $(versions 4), not $version"
	users drain i-shard-0-there >/dev/null
	sleep $APPLY_S
	[ "$(grep -c 'event=searcher-draining ' "$RUN/front-3.log")" -ge $rounds ] || fail "turned away ($how): sends to a searcher that leaves"
	users born >/dev/null # a start that leaves stays so
	users ready i-shard-0-there >/dev/null
	users side open >/dev/null
	sleep 4
	[ "$(metric store_is_fed 3)" = 0 ] || fail "hears the store from another VM though it reaches it"
done
# The neighbours start again while it is turned away.
users side busy >/dev/null
sleep 6
kill -KILL "${FRONT_PID[0]}" "${FRONT_PID[1]}" "${FRONT_PID[2]}"
for i in 0 1 2; do front_start $i; done
for i in 0 1 2; do wait_until is_ready $i; done
users configure '' 21 >/dev/null
sleep $APPLY_S
all_have 21 0 1 2 3 || fail "turned away, others started again: $(versions 4), not 21"
