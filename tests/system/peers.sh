# The platform goes down right after a change was accepted, and a VM is replaced meanwhile: the new VM gets the
# configuration from its peers and serves. A draining searcher's health page wrongly reports ready; one VM learns from
# a reply that it is draining and sends the others a leave notice, so that none of them sends it new work.
. tests/lib.sh
site_start brodnica || exit 1
export DOGWOODSADDLE_TOKEN=$TOKEN DOGWOODSADDLE_ADMIN=127.0.0.1:$ADMINS_FROM
ds() { timeout 20 "$BUILD/dogwoodsaddle" "$@"; }
all_members_alive() { [ "$(ds members --json | jq '[.[] | select(.state == "alive")] | length')" = 5 ]; }
wait_until all_members_alive || fail "not five members are alive: $(ds members)"
ds confirm "$(ds take-out osijek | jq -r .plan)" >/dev/null || fail "take out"
platform_control '{"down":true}' >/dev/null
kill -KILL "${VM_PID[${VMS[4]}]}"
start_vm 4
wait_until vm_ready 4 || fail "a replaced VM is not ready without the platform"
ds -a "127.0.0.1:$((ADMINS_FROM + 4))" status | grep -q ' 2 ' || fail "the replaced VM does not have configuration 2: $(ds status)"
search() { # vm
	curl -s -m 3 -X POST -d '{"text":"Ana"}' "http://127.0.0.1:$((CALLERS_FROM + $1))/v1/services/checklist-board/search" |
		jq -e '.complete' >/dev/null
}
search 4 || fail "the replaced VM does not serve"

control checklist-board-0-0 '{"leaving":true,"lie_ready":true}' >/dev/null
informed() { ds timeline -a "$1" | grep -q 'upstream=checklist-board-0-0.*\(to=leaving\|told_by=peer\)'; }
any_informed() {
	local i
	for ((i = 0; i < 6; i++)); do search $i; done
	informed "$(seq -s, -f '127.0.0.1:%.0f' "$ADMINS_FROM" $((ADMINS_FROM + 5)))"
}
wait_until any_informed || fail "no VM logs that the searcher is draining"
sleep 2
before=$(control checklist-board-0-0 '{}' | jq .started)
for ((round = 0; round < 5; round++)); do
	for ((i = 0; i < 6; i++)); do search $i || fail "a search was not complete"; done
done
[ "$(control checklist-board-0-0 '{}' | jq .started)" = "$before" ] || fail "a draining searcher got new work"

# Bytes from a sender without the key are rejected, and the VM goes on serving.
printf '\000\000\000\100 a stranger says hello, with no key at all, in 64 bytes or so.....' |
	timeout 2 bash -c "cat >/dev/tcp/127.0.0.1/$PEERS_FROM"
refused() { ds timeline | grep -q 'event=peer-rejected'; }
wait_until refused || fail "a message without the key was not rejected"
search 0 || fail "VM 0 does not serve after a message without the key"
