# A VM that the store turns away goes on with an old configuration because the new one is too large to be told, and only announced.
. tests/front_lib.sh
STORE_OF[3]=$STORE_SIDE
fronts_start 4
users side busy >/dev/null
sleep 6 # a watch that was waiting is over by now
users pad '' 600 >/dev/null
users configure '' 5 >/dev/null
sleep 3
for ((i = 0; i < 4; i++)); do
	[ "$(metric configuration_version "$i")" = 5 ] || fail "VM $i has $(metric configuration_version "$i"), not 5"
done
