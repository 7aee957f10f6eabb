# Seven VMs of one data centre: three of them watch the store and feed the others. When the feeders are killed or
# suspended, the other VMs must still receive changes, from another feeder or by watching the store.
. tests/front_lib.sh
fronts_start 7
fed() {
	local i n=0
	for ((i = 0; i < 7; i++)); do [ "$(metric store_is_fed "$i")" = 1 ] && n=$((n + 1)); done
	[ $n -ge "${1:-5}" ]
}
wait_until fed 5 || fail "fewer than five of seven VMs are fed"
users configure '' 5 >/dev/null
sleep 2
for ((i = 0; i < 7; i++)); do
	[ "$(metric configuration_version "$i")" = 5 ] || fail "VM $i has version $(metric configuration_version "$i"), not 5"
done
feeders=$(grep -ho 'event=feed-taken vm=front-[0-9]' "$RUN"/front-*.log | sort -u | grep -o '[0-9]$' | tr '\n' ' ')
[ -n "$feeders" ] || fail "no VM is a feeder"
first=${feeders%% *}
kill -STOP "${FRONT_PID[$first]}"
for i in $feeders; do [ "$i" = "$first" ] || kill -KILL "${FRONT_PID[$i]}"; done
sleep 0.5
users configure '' 8 >/dev/null
sleep 5
for ((i = 0; i < 7; i++)); do
	[[ " $feeders" == *" $i "* ]] && continue
	[ "$(metric configuration_version "$i")" = 8 ] || fail "VM $i has version $(metric configuration_version "$i"), not 8, after its feed was lost"
done
kill -CONT "${FRONT_PID[$first]}"

# A VM that restarts gets everything from a feeder. Its only call to the store reads the list of registered VMs,
# where it finds its own entry. If each VM of a large deployment read all lists when it starts, a restart of 90 VMs
# would take some 700 calls, each of which is billed.
last=""
for ((i = 0; i < 7; i++)); do [[ " $feeders" == *" $i "* ]] || last=$i; done
wait_until fed 4 || fail "fewer than four VMs are fed after the feeders were lost"
kill -KILL "${FRONT_PID[$last]}"
front_start "$last"
wait_until is_ready "$last" || fail "VM $last is not ready after its restart"
is_fed() { [ "$(metric store_is_fed "$1")" = 1 ]; }
wait_until is_fed "$last" || fail "VM $last is not fed"
[ "$(metric dogwoodsaddle_searchers "$last")" = 8 ] || fail "VM $last knows $(metric dogwoodsaddle_searchers "$last") searchers"
calls=$(($(metric 'store_calls_total{kind="read"}' "$last") + $(metric 'store_calls_total{kind="write"}' "$last")))
[ $calls -le 1 ] || fail "VM $last made $calls calls to the store when it started"

# The store is down for a while: fed VMs go on with the data of their feeders and check the store only now and
# then. If each VM tried the store by itself, some twice a second, all VMs of a large deployment would make thousands
# of calls in an outage of 7 s. Two of the six allowed calls list the VMs.
for i in $feeders; do [ "$i" = "$first" ] || front_start "$i"; done
wait_until fed 4 || fail "fewer than four VMs are fed after the feeders restarted"
reads() { metric 'store_calls_total{kind="read"}' "$1"; }
declare -A before
for ((i = 0; i < 7; i++)); do ! is_fed "$i" || before[$i]=$(reads "$i"); done
users down '' 1 >/dev/null
sleep 4
for i in "${!before[@]}"; do
	made=$(($(reads "$i") - before[$i]))
	[ $made -le 6 ] || fail "VM $i made $made calls while the store was down"
done
left() { cat "$RUN"/front-*.log | grep -c 'event=feed-lost .*reason=news-old'; }
left_before=$(left)
users down '' 0 >/dev/null
users configure '' 12 >/dev/null
sleep 3
# A feeder receives one kind of objects before the other. No VM may leave its feeder because of the age of the kind
# that the feeder receives later.
[ "$(left)" = "$left_before" ] || fail "$(($(left) - left_before)) VMs left their feeds when the store recovered"
for i in "${!before[@]}"; do
	[ "$(metric configuration_version "$i")" = 12 ] || fail "VM $i has version $(metric configuration_version "$i"), not 12, after the outage"
done
