# Each VM sends a suspect to a searcher of its own, before it can know what the others' came to, and as many searchers end
# as there are VMs. One VM of all has its turn at a time.
. tests/front_lib.sh
fronts_start 3
attempt 0 get.example /get/crash
all_told() { for vm in 0 1 2; do [ "$(metric 'poison_requests{state="remembered"}' $vm)" = 1 ] || return 1; done; }
wait_until all_told || fail "not all VMs were told"
sleep 1.5 # searchers are back
before=$(crashes /get/crash reached)
pids=()
for i in 1 2 3 4 5 6 7 8 9; do
	curl -s -m 5 -o /dev/null -w '%{http_code}\n' -H 'Host: get.example' -H "Dogwoodsaddle-Request-Id: at-once-$i" \
		-H 'Dogwoodsaddle-Request-Deadline: 1000' "http://127.0.0.1:$((FRONT_FROM + 10 * (i % 3)))/get/crash" >"$RUN/status-$i" &
	pids+=($!)
done
wait "${pids[@]}"
reached=$(($(crashes /get/crash reached) - before))
[ $reached = 1 ] || fail "$reached of 9 attempts at three VMs reached a searcher"
[ "$(cat "$RUN"/status-* | grep -c 503)" = 8 ] || fail "the others were not told to come back: $(cat "$RUN"/status-* | xargs)"
[ "$(cat "$RUN"/front-*.log | grep -c 'event=poison-trial .*outcome=begun')" = 1 ] || fail "not one trial: $(grep -h poison-trial "$RUN"/front-*.log)"
