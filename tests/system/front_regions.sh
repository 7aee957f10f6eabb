# What must stay in a region leaves it: a request of such a route comes to a VM in another region, alone and as a
# gather, while the searchers next to that VM are idle. It is served there and nowhere else; with that data centre
# evacuated it is refused at once as not run, and served again once it is taken back.
. tests/front_lib.sh
EVACUATE_MS=5000
fronts_start 2
runs_here() { users none | jq '[.runs | to_entries[] | select(.key | endswith("-here")) | .value] | add'; }
before=$(runs_here)
for i in 1 2 3; do
	attempt 0 home.example /home/x && [ "$(status)" = 200 ] || fail "a request alone gets $(status)"
	attempt 1 home.example /kept/x && [ "$(status)" = 200 ] || fail "a gather gets $(status)"
	[ "$(header Dogwoodsaddle-Missing-Parts)" = 0 ] || fail "parts are missing: $(cat "$RUN/head")"
done
[ "$(runs_here)" = "$before" ] || fail "searchers in another region were asked"
users evacuate there >/dev/null
closed() { [ "$(metric dogwoodsaddle_evacuations "$1")" = 1 ]; }
wait_until closed 0 && wait_until closed 1 || fail "the evacuation is known"
for path in /home/x /kept/x; do
	started=$(date +%s%3N)
	attempt 0 home.example $path
	[ "$(status)" = 503 ] && [ -n "$(header Retry-After)" ] || fail "$path gets $(status), $(header Retry-After)"
	[ $(($(date +%s%3N) - started)) -lt 700 ] || fail "$path was not refused at once"
done
"$BUILD/dogwoodsaddle" explain "attempt-$ATTEMPTS" "$RUN"/front-*.log >"$RUN/explained"
grep -q 'passed_over=shard-0:elsewhere=1:evacuated=1:cold=0' "$RUN/explained" || fail "explain says why: $(cat "$RUN/explained")"
attempt 0 find.example /find/x && [ "$(status)" = 200 ] || fail "a route of all regions gets $(status)"
[ "$(header Dogwoodsaddle-Missing-Parts)" = 0 ] || fail "it needs nobody there"
users reopen there >/dev/null
opened() { [ "$(metric dogwoodsaddle_evacuations 0)" = 0 ]; }
wait_until opened || fail "taken back"
attempt 0 home.example /home/x && [ "$(status)" = 200 ] || fail "taken back, it gets $(status)"
[ "$(metric loads_told_total)" -gt 0 ] || fail "what searchers tell of their load is not read"

# An evacuation of no data centre is a slip: nothing changes, and it is counted.
users evacuate nowhere >/dev/null
ignored() { [ "$(metric evacuations_ignored_total)" -gt 0 ]; }
wait_until ignored || fail "it is counted"
grep -q 'event=evacuation data_centre="nowhere" outcome=ignored' "$RUN/front-0.log" || fail "the log names it"
