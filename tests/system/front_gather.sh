# Six VMs of one data centre: three large ones gather for three small ones. A caller of a small VM gets
# the whole answer, whoever gathers it. When gatherers freeze, are killed, stop or are all gone, the
# caller is still answered: by another gatherer, or by the small VM itself.
. tests/front_lib.sh
front_size() {
	[ "$1" -lt 3 ] && printf 'link_mbps = 20\ncores = 1\ncore_share = 0.1\n' || printf 'link_mbps = 200\ncores = 1\ncore_share = 0.5\n'
}
fronts_start 6
has_gatherers() { [ "$(metric dogwoodsaddle_gatherers 0)" = 3 ]; }
wait_until has_gatherers || fail "VM 0 has $(metric dogwoodsaddle_gatherers 0) gatherers"
sleep 1
asked=0
# The answer to a gather at VM 0, in time and whole.
answered() {
	asked=$((asked + 1))
	local id="$1-$asked"
	find_all "$id" >"$RUN/body"
	[ "$(status)" = 200 ] || fail "$id: status $(status)"
	[ "$(header Dogwoodsaddle-Missing-Parts)" = 0 ] || fail "$id: parts are missing"
	[ -s "$RUN/body" ] || fail "$id: no records"
	gatherer=$(grep -h "event=answer request=$id " "$RUN/front-0.log" | grep -o 'gathered_by=[a-z0-9-]*' | cut -d= -f2)
}
answered sound
[ -n "$gatherer" ] || fail "a gather at a small VM is not handed over"
[ "$(metric handovers_total 0)" = 1 ] || fail "handovers: $(metric handovers_total 0)"
grep -q "event=answer request=sound-1 route=" "$RUN/$gatherer.log" || fail "$gatherer does not log the gather"
"$BUILD/dogwoodsaddle" explain sound-1 "$RUN"/front-*.log >"$RUN/explained" || fail "explain fails"
grep -q "VM $gatherer in the" "$RUN/explained" || fail "explain does not show the gatherer"
curl -s -m 2 "http://127.0.0.1:$((FRONT_FROM + 2))/metrics" | grep -q "dogwoodsaddle_gatherer{vm=\"$gatherer\",data_centre=\"here\",state=\"there\"}" ||
	fail "metrics do not show who gathers"

# A gatherer that is frozen: another one is asked.
frozen=${gatherer#front-}
kill -STOP "${FRONT_PID[$frozen]}"
answered frozen
[ "$gatherer" != "front-$frozen" ] || fail "a frozen VM has gathered"
[ "$(metric gatherers_silent_total 0)" = 1 ] || fail "silent: $(metric gatherers_silent_total 0)"
before=$(metric gatherers_silent_total 0)
answered avoided
[ "$(metric gatherers_silent_total 0)" = "$before" ] || fail "a silent gatherer was asked again"
kill -CONT "${FRONT_PID[$frozen]}"

# One that is killed, and then one that stops as planned.
answered before-kill
killed=${gatherer#front-}
kill -KILL "${FRONT_PID[$killed]}"
for ((i = 0; i < 5; i++)); do answered killed; done
answered before-stop
stops=${gatherer#front-}
kill -TERM "${FRONT_PID[$stops]}"
sleep 0.3
for ((i = 0; i < 5; i++)); do answered stops; done
[ "$gatherer" != "front-$stops" ] || fail "a VM that stops has gathered"

# Nobody is left: small VMs gather for themselves.
for i in 3 4 5; do kill -KILL "${FRONT_PID[$i]}" 2>/dev/null; done
sleep 0.3
answered alone
[ -z "$gatherer" ] || fail "$gatherer has gathered, and is gone"

# They are back, and gather again.
for i in 3 4 5; do front_start "$i"; done
for i in 3 4 5; do wait_until is_ready "$i"; done
sleep 2
answered back
[ -n "$gatherer" ] || fail "gatherers that are back are not used"
