# Requests that must stay in a region leave it: a VM in another region gets requests of a route bound to one region, a
# single request and a gather, while the searchers near that VM are idle. They must be served in their own region
# only. While its data centre is evacuated, they are rejected at once as not run; once it is reopened, they are served.
. tests/front_lib.sh
EVACUATE_MS=5000
fronts_start 2
runs_here() { users none | jq '[.runs | to_entries[] | select(.key | endswith("-here")) | .value] | add'; }
before=$(runs_here)
for i in 1 2 3; do
	attempt 0 home.example /home/x && [ "$(status)" = 200 ] || fail "a single request gets $(status)"
	attempt 1 home.example /kept/x && [ "$(status)" = 200 ] || fail "a gather gets $(status)"
	[ "$(header Dogwoodsaddle-Missing-Parts)" = 0 ] || fail "parts are missing: $(cat "$RUN/head")"
done
[ "$(runs_here)" = "$before" ] || fail "searchers in another region got requests"
users evacuate there >/dev/null
closed() { [ "$(metric dogwoodsaddle_evacuations "$1")" = 1 ]; }
wait_until closed 0 && wait_until closed 1 || fail "a VM does not know the evacuation"
for path in /home/x /kept/x; do
	started=$(date +%s%3N)
	attempt 0 home.example $path
	[ "$(status)" = 503 ] && [ -n "$(header Retry-After)" ] || fail "$path gets $(status), $(header Retry-After)"
	[ $(($(date +%s%3N) - started)) -lt 700 ] || fail "$path was not rejected at once"
done
"$BUILD/dogwoodsaddle" explain "attempt-$ATTEMPTS" "$RUN"/front-*.log >"$RUN/explained"
grep -q 'passed_over=shard-0:elsewhere=1:evacuated=1:cold=0' "$RUN/explained" || fail "explain does not give the reason: $(cat "$RUN/explained")"
attempt 0 find.example /find/x && [ "$(status)" = 200 ] || fail "a route of all regions gets $(status)"
[ "$(header Dogwoodsaddle-Missing-Parts)" = 0 ] || fail "parts are missing although no evacuated searcher is needed: $(cat "$RUN/head")"
users reopen there >/dev/null
opened() { [ "$(metric dogwoodsaddle_evacuations 0)" = 0 ]; }
wait_until opened || fail "VM 0 does not know that the data centre was reopened"
attempt 0 home.example /home/x && [ "$(status)" = 200 ] || fail "a request gets $(status) after its data centre was reopened"
[ "$(metric loads_told_total)" -gt 0 ] || fail "the load that searchers report is not read"

# An evacuation of an unknown data centre is an operator's mistake: it is ignored and counted.
users evacuate nowhere >/dev/null
ignored() { [ "$(metric evacuations_ignored_total)" -gt 0 ]; }
wait_until ignored || fail "the ignored evacuation is not counted"
grep -q 'event=evacuation data_centre="nowhere" outcome=ignored' "$RUN/front-0.log" || fail "the log does not name the ignored evacuation"
