# Seven VMs of one data centre. A searcher hangs, and a request at one VM waits for it. That VM shares its observation
# with the other VMs through their feeder, so they do not use the searcher: their callers get complete answers without
# the delay of a hedge.
. tests/front_lib.sh
fronts_start 7
list_fed() { for ((i = 0; i < 7; i++)); do [ "$(metric store_is_fed "$i")" = 1 ] && echo "$i"; done; }
five_fed() { [ "$(list_fed | wc -l)" -ge 5 ]; }
wait_until five_fed || fail "fewer than five of seven VMs are fed"
at() { echo "http://127.0.0.1:$((FRONT_FROM + 10 * $1))/find/x?q=1"; }
ask() { # vm id
	curl -s -m 5 -o /dev/null -D "$RUN/head" -H 'Host: find.example' -H "Dogwoodsaddle-Request-Id: $2" \
		-H 'Dogwoodsaddle-Request-Deadline: 2000' "$(at "$1")"
}
# Open the connections first: the latency of a sub-request that has to connect is not an observation of the searcher.
for ((i = 0; i < 7; i++)); do ask "$i" "warm$i"; done
users hang i-shard-1-here >/dev/null
asker=$(list_fed | head -n 1)
ask "$asker" hung1
informed() { grep -l 'event=searcher-hangs searcher=i-shard-1-here .*told_by=other-vm' "$RUN"/front-*.log 2>/dev/null | wc -l; }
two_informed() { [ "$(informed)" -ge 2 ]; }
wait_until two_informed || fail "$(informed) VMs received the observation, fewer than 2"
grep -q 'event=searcher-hangs searcher=i-shard-1-here .*outcome=avoided' "$RUN/front-$asker.log" ||
	fail "VM $asker does not log that the searcher hangs"
vm=$(grep -l 'told_by=other-vm' "$RUN"/front-*.log | head -n 1 | sed 's/.*front-\([0-9]\).log/\1/')
before=$(metric 'sub_requests_total{purpose="hedge"}' "$vm")
ask "$vm" spared
[ "$(status) $(header Dogwoodsaddle-Missing-Parts)" = "200 0" ] || fail "VM $vm: $(cat "$RUN/head")"
[ "$(metric 'sub_requests_total{purpose="hedge"}' "$vm")" = "$before" ] || fail "VM $vm needed a hedge"
