# A tenant's quota holds for all VMs together, and a tenant within it must not be refused: six VMs share three tokens a
# second, so that no VM has one of its own, and a tenant that sends far more than its quota must not be served beyond it
# at any VM, also when the VMs that pool the quotas are killed.
. tests/front_lib.sh
VMS=6
QUOTA_SLACK=6
fronts_start $VMS
knows_all() { [ "$(metric dogwoodsaddle_vms 0)" = $VMS ]; }
wait_until knows_all || fail "VM 0 knows $(metric dogwoodsaddle_vms 0) VMs"
users tenant small 3 >/dev/null
users tenant large 40 >/dev/null
users configure '' 2 >/dev/null
wait_until all_configured 2 $VMS
# A VM that was added accrues its share once all others know of it.
sleep 5
ask() { # vm tenant
	attempt "$1" get.example /get/x -H "Dogwoodsaddle-Credential: key-$2"
}
ran() { users none | jq ".tenants.$1 // 0"; }

# Two requests a second, at another VM each time: within the quota.
for i in 0 1 2 3 4 5; do
	ask "$i" small
	[ "$(status)" = 200 ] || fail "status $(status) at VM $i within the quota"
	sleep 0.5
done

# Far more than the quota, at all VMs, for some three seconds: (3 x 5 + 3) x 1.1 + 6 in a window of 5 s.
before=$(ran small) refused=0 until=$(($(now_ms) + 3000))
while [ "$(now_ms)" -lt $until ]; do
	for ((vm = 0; vm < VMS; vm++)); do
		ask "$vm" small
		[ "$(status)" = 200 ] && continue
		refused=$((refused + 1))
		[ "$(status)" = 429 ] || fail "status $(status) beyond the quota"
		[ -n "$(header Retry-After)" ] || fail "no Retry-After: $(cat "$RUN/head")"
	done
done
served=$(($(ran small) - before))
[ $served -le 25 ] || fail "$served requests ran in 3 s, 25 allowed in 5"
[ $served -ge 9 ] || fail "$served requests ran in 3 s, the quota has 9"
[ $refused -gt 0 ] || fail "none was refused"
# The other tenant is not touched by it.
for ((vm = 0; vm < VMS; vm++)); do
	ask "$vm" large
	[ "$(status)" = 200 ] || fail "status $(status) for the other tenant"
done

# The tenant goes on, and the VMs that pool the quotas are killed: never more than the quota.
pools=$(for ((vm = 0; vm < VMS; vm++)); do [ "$(metric quota_pool_share_ppm $vm)" -gt 0 ] && echo $vm; done)
[ "$(echo "$pools" | wc -w)" = 2 ] || fail "pools: $pools"
sleep 5
before=$(ran small) until=$(($(now_ms) + 4500))
for vm in $pools; do
	kill -KILL "${FRONT_PID[$vm]}"
	wait "${FRONT_PID[$vm]}" 2>/dev/null
done
while [ "$(now_ms)" -lt $until ]; do
	for ((vm = 0; vm < VMS; vm++)); do
		[[ " $(echo $pools) " == *" $vm "* ]] || ask "$vm" small
	done
done
served=$(($(ran small) - before))
[ $served -le 25 ] || fail "$served requests ran in 4.5 s after the pools were killed, 25 allowed"
[ $served -ge 3 ] || fail "$served requests ran in 4.5 s after the pools were killed"
