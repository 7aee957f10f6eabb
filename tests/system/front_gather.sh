# Six VMs of one data centre: three large VMs gather for three small VMs. A caller of a small VM gets the complete
# answer from any gatherer. When gatherers are suspended, killed, stopped or all gone, the caller is still answered:
# by another gatherer, or by the small VM itself.
. tests/front_lib.sh
front_size() {
	[ "$1" -lt 3 ] && printf 'link_mbps = 20\ncores = 1\ncore_share = 0.1\n' || printf 'link_mbps = 200\ncores = 1\ncore_share = 0.5\n'
}
fronts_start 6
has_gatherers() { [ "$(metric dogwoodsaddle_gatherers 0)" = 3 ]; }
wait_until has_gatherers || fail "VM 0 has $(metric dogwoodsaddle_gatherers 0) gatherers"
sleep 1
asked=0
# Sends a gather to VM 0, which must answer in time and completely, and sets $gatherer.
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
[ -n "$gatherer" ] || fail "the gather at a small VM was not handed over"
[ "$(metric handovers_total 0)" = 1 ] || fail "handovers: $(metric handovers_total 0)"
grep -q "event=answer request=sound-1 route=" "$RUN/$gatherer.log" || fail "$gatherer does not log the gather"
"$BUILD/dogwoodsaddle" explain sound-1 "$RUN"/front-*.log >"$RUN/explained" || fail "explain fails"
grep -q "VM $gatherer in the" "$RUN/explained" || fail "explain does not show the gatherer"
curl -s -m 2 "http://127.0.0.1:$((FRONT_FROM + 2))/metrics" | grep -q "dogwoodsaddle_gatherer{vm=\"$gatherer\",data_centre=\"here\",state=\"there\"}" ||
	fail "metrics do not show the gatherer $gatherer"

# A gatherer is suspended: the request is handed over to another one.
frozen=${gatherer#front-}
kill -STOP "${FRONT_PID[$frozen]}"
answered frozen
[ "$gatherer" != "front-$frozen" ] || fail "a suspended VM has gathered"
[ "$(metric gatherers_silent_total 0)" = 1 ] || fail "unresponsive gatherers: $(metric gatherers_silent_total 0), not 1"
before=$(metric gatherers_silent_total 0)
answered avoided
[ "$(metric gatherers_silent_total 0)" = "$before" ] || fail "a request was handed over to an unresponsive gatherer again"
kill -CONT "${FRONT_PID[$frozen]}"

# One gatherer is killed, and then one is stopped with SIGTERM.
answered before-kill
killed=${gatherer#front-}
kill -KILL "${FRONT_PID[$killed]}"
for ((i = 0; i < 5; i++)); do answered killed; done
answered before-stop
stops=${gatherer#front-}
kill -TERM "${FRONT_PID[$stops]}"
sleep 0.3
for ((i = 0; i < 5; i++)); do answered stops; done
[ "$gatherer" != "front-$stops" ] || fail "a stopping VM has gathered"

# No gatherer is left: small VMs gather themselves.
for i in 3 4 5; do kill -KILL "${FRONT_PID[$i]}" 2>/dev/null; done
sleep 0.3
answered alone
[ -z "$gatherer" ] || fail "$gatherer has gathered although all gatherers were killed"

# The gatherers are started again and used again.
for i in 3 4 5; do front_start "$i"; done
for i in 3 4 5; do wait_until is_ready "$i"; done
sleep 2
answered back
[ -n "$gatherer" ] || fail "restarted gatherers are not used"
