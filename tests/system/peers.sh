# The platform goes down right after a change was accepted, and a VM is replaced meanwhile: it takes the
# configuration from its peers and serves. A searcher that leaves, with a health page that lies, tells
# one VM by its answer; the others hear it from that VM and send it nothing new.
. tests/lib.sh
site_start brodnica || exit 1
export DOGWOODSADDLE_TOKEN=$TOKEN DOGWOODSADDLE_ADMIN=127.0.0.1:$ADMINS_FROM
ds() { timeout 20 "$BUILD/dogwoodsaddle" "$@"; }
everyone_known() { [ "$(ds members --json | jq '[.[] | select(.state == "alive")] | length')" = 5 ]; }
wait_until everyone_known || fail "the members: $(ds members)"
ds confirm "$(ds take-out osijek | jq -r .plan)" >/dev/null || fail "take out"
platform_control '{"down":true}' >/dev/null
kill -KILL "${VM_PID[${VMS[4]}]}"
start_vm 4
wait_until vm_ready 4 || fail "a replaced VM is not ready without the platform"
ds -a "127.0.0.1:$((ADMINS_FROM + 4))" status | grep -q ' 2 ' || fail "its configuration: $(ds status)"
search() { # vm
	curl -s -m 3 -X POST -d '{"text":"Ana"}' "http://127.0.0.1:$((CALLERS_FROM + $1))/v1/services/checklist-board/search" |
		jq -e '.complete' >/dev/null
}
search 4 || fail "the replaced VM does not serve"

control checklist-board-0-0 '{"leaving":true,"lie_ready":true}' >/dev/null
told() { ds timeline -a "$1" | grep -q 'upstream=checklist-board-0-0.*\(to=leaving\|told_by=peer\)'; }
someone_told() {
	local i
	for ((i = 0; i < 6; i++)); do search $i; done
	told "$(seq -s, -f '127.0.0.1:%.0f' "$ADMINS_FROM" $((ADMINS_FROM + 5)))"
}
wait_until someone_told || fail "nobody was told"
sleep 2
before=$(control checklist-board-0-0 '{}' | jq .started)
for ((round = 0; round < 5; round++)); do
	for ((i = 0; i < 6; i++)); do search $i || fail "a search was not whole"; done
done
[ "$(control checklist-board-0-0 '{}' | jq .started)" = "$before" ] || fail "a leaving searcher got new work"

# A stranger's bytes are refused, and the VM goes on.
printf '\000\000\000\100 a stranger says hello, with no key at all, in 64 bytes or so.....' |
	timeout 2 bash -c "cat >/dev/tcp/127.0.0.1/$PEERS_FROM"
refused() { ds timeline | grep -q 'event=peer-rejected'; }
wait_until refused || fail "a stranger was not refused"
search 0 || fail "it does not serve after a stranger's bytes"
