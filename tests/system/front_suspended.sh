# A VM is suspended for longer than its watch of the store lasts, then resumed. Callers get complete answers from it
# at once. When it resumes, the reply to the old watch is ready to be read while the VM decides to read all lists
# again. If it took that reply for the first page of the new list, which then names no searcher, it would drop all
# searchers, and so would the VMs that it feeds.
. tests/front_lib.sh
fronts_start 1
for round in 1 2 3; do
	kill -STOP "${FRONT_PID[0]}"
	sleep 4.2
	kill -CONT "${FRONT_PID[0]}"
	sleep 0.6
	[ "$(metric dogwoodsaddle_searchers)" = 8 ] || fail "round $round: knows $(metric dogwoodsaddle_searchers) searchers of 8"
	find_all "f$round" >/dev/null
	[ "$(status) $(header Dogwoodsaddle-Missing-Parts)" = "200 0" ] || fail "round $round: $(cat "$RUN/head")"
done
