# A VM whose calls the store rejects keeps an old configuration because the new one is too large to be sent over a feed
# and is only announced.
. tests/front_lib.sh
STORE_OF[3]=$STORE_SIDE
fronts_start 4
users side busy >/dev/null
sleep 6 # until a pending watch has ended
users pad '' 600 >/dev/null
users configure '' 5 >/dev/null
sleep 3
for ((i = 0; i < 4; i++)); do
	[ "$(metric configuration_version "$i")" = 5 ] || fail "VM $i has $(metric configuration_version "$i"), not 5"
done
