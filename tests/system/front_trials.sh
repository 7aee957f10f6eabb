# If each VM sends a suspect request to a searcher before it knows the results of the other VMs, as many searchers
# crash as there are VMs. Only one trial may run at a time over all VMs.
. tests/front_lib.sh
fronts_start 3
attempt 0 get.example /get/crash
all_informed() { for vm in 0 1 2; do [ "$(metric 'poison_requests{state="remembered"}' $vm)" = 1 ] || return 1; done; }
wait_until all_informed || fail "not all VMs have a record of the suspect"
sleep 1.5 # until the searchers have restarted
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
[ "$(cat "$RUN"/status-* | grep -c 503)" = 8 ] || fail "not 8 attempts were rejected with 503: $(cat "$RUN"/status-* | xargs)"
[ "$(cat "$RUN"/front-*.log | grep -c 'event=poison-trial .*outcome=begun')" = 1 ] || fail "not exactly one trial: $(grep -h poison-trial "$RUN"/front-*.log)"
