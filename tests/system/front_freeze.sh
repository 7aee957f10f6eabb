# A VM stands still for longer than its watch of the store lasts, then goes on. Callers who ask it get
# whole answers at once. When it wakes, the reply to the old watch lies ready beside the decision to read
# everything anew; taken for the first page of the new list it named no searcher, all were dropped, and
# the VMs that this one feeds dropped them, too.
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
