# As front_poison, but small VMs hand gathers over to large ones: the VM that takes the request sees no searcher
# crash, and another VM gathers the next attempt. Callers of other requests get 502 while all searchers of all shards
# crash again and again.
. tests/front_lib.sh
front_size() {
	[ "$1" -lt 3 ] && printf 'link_mbps = 20\ncores = 1\ncore_share = 0.1\n' || printf 'link_mbps = 200\ncores = 1\ncore_share = 0.5\n'
}
fronts_start 6
has_gatherers() { [ "$(metric dogwoodsaddle_gatherers 0)" = 3 ]; }
wait_until has_gatherers || fail "VM 0 has $(metric dogwoodsaddle_gatherers 0) gatherers"
sleep 1
round() { attempt $((ATTEMPTS % 3)) find.example /find/crash; sleep 1.3; }
for ((i = 0; i < 6; i++)); do [ "$(crashes /find/crash ended)" -ge 3 ] || round; done
[ "$(crashes /find/crash ended)" -ge 3 ] || fail "too few searchers crashed: $(users none | jq -c .crashes)"
sleep 5.2
for ((i = 0; i < 6; i++)); do round; done
[ "$(crashes /find/crash late)" -le 3 ] || fail "it reached searchers in $(crashes /find/crash late) of 6 attempts long after the third crash"
attempt 0 find.example /find/sound && [ "$(status)" = 200 ] || fail "an ordinary gather gets $(status)"
grep -q "gathered_by=" "$RUN/front-0.log" || fail "no gather was handed over"
