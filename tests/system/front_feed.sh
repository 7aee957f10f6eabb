# Seven VMs of one data centre: three of them watch the store, the others hear from these. When those
# that feed are killed or frozen, the fed ones go on and take in changes: from another, or by watching.
. tests/front_lib.sh
fronts_start 7
fed() {
	local i n=0
	for ((i = 0; i < 7; i++)); do [ "$(metric store_is_fed "$i")" = 1 ] && n=$((n + 1)); done
	[ $n -ge "${1:-5}" ]
}
wait_until fed 5 || fail "five of seven are fed"
users configure '' 5 >/dev/null
sleep 2
for ((i = 0; i < 7; i++)); do
	[ "$(metric configuration_version "$i")" = 5 ] || fail "VM $i has $(metric configuration_version "$i")"
done
feeders=$(grep -ho 'event=feed-taken vm=front-[0-9]' "$RUN"/front-*.log | sort -u | grep -o '[0-9]$' | tr '\n' ' ')
[ -n "$feeders" ] || fail "somebody feeds"
first=${feeders%% *}
kill -STOP "${FRONT_PID[$first]}"
for i in $feeders; do [ "$i" = "$first" ] || kill -KILL "${FRONT_PID[$i]}"; done
sleep 0.5
users configure '' 8 >/dev/null
sleep 5
for ((i = 0; i < 7; i++)); do
	[[ " $feeders" == *" $i "* ]] && continue
	[ "$(metric configuration_version "$i")" = 8 ] || fail "VM $i has $(metric configuration_version "$i") after its feed ended"
done
kill -CONT "${FRONT_PID[$first]}"

# One that starts again hears everything from a VM that watches: of the store it asks only to be
# who is registered, and finds itself there. With each VM of a large deployment reading all lists at its start, a
# restart of 90 VMs took some 700 calls, each of them counted.
last=""
for ((i = 0; i < 7; i++)); do [[ " $feeders" == *" $i "* ]] || last=$i; done
wait_until fed 4 || fail "those left are fed again"
kill -KILL "${FRONT_PID[$last]}"
front_start "$last"
wait_until is_ready "$last" || fail "VM $last is not ready after its restart"
is_fed() { [ "$(metric store_is_fed "$1")" = 1 ]; }
wait_until is_fed "$last" || fail "VM $last does not hear the store from another VM"
[ "$(metric dogwoodsaddle_searchers "$last")" = 8 ] || fail "VM $last knows $(metric dogwoodsaddle_searchers "$last") searchers"
calls=$(($(metric 'store_calls_total{kind="read"}' "$last") + $(metric 'store_calls_total{kind="write"}' "$last")))
[ $calls -le 1 ] || fail "VM $last made $calls calls for its start"

# The store is down for a while: VMs that hear it from others go on with what those know, and look for
# themselves now and then. Left to themselves, each tried it some twice a second; all VMs of a large
# deployment made thousands of calls in an outage of 7 s. Of the six that are allowed two list the VMs.
for i in $feeders; do [ "$i" = "$first" ] || front_start "$i"; done
wait_until fed 4 || fail "four are fed again"
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
# A feeder hears one kind of objects before the other: nobody leaves it for the age of that one.
[ "$(left)" = "$left_before" ] || fail "$(($(left) - left_before)) VMs left their feeds when the store was back"
for i in "${!before[@]}"; do
	[ "$(metric configuration_version "$i")" = 12 ] || fail "VM $i has $(metric configuration_version "$i") after the outage"
done
