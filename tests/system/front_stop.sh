# A planned stop: not ready at once, requests on kept and new connections are served to their end with
# `Connection: close`, then the process ends by itself. A kill and a start again serve as before.
. tests/front_lib.sh
USERS_ARGS='--work-ms 400' fronts_start 2
find_all slow >"$RUN/body" &
request=$!
sleep 0.1
kill -TERM "${FRONT_PID[0]}"
sleep 0.1
is_ready 0 && fail "ready while it stops"
[ "$(get_one late /get/x -w '%{http_code}' -o /dev/null)" = 200 ] || fail "a new connection is served"
[ "$(header Connection)" = close ] || fail "and told to close"
wait $request
[ -s "$RUN/body" ] || fail "the request that was under way is answered"
wait "${FRONT_PID[0]}" || fail "it ends with 0"
# A caller that goes on sending to the last: towards the end of the grace time it is refused, as not run
# and with a time to come back, so that the end of the process cuts none of its requests.
front_start 0
wait_until is_ready 0
kill -TERM "${FRONT_PID[0]}"
n=0
while [ "$(get_one "on$n" /get/x -o /dev/null -w '%{http_code}')" = 200 ]; do n=$((n + 1)); done
[ "$(status)" = 503 ] && [ -n "$(header Retry-After)" ] || fail "refused at the end: $(cat "$RUN/head")"
grep -q "event=answer request=on$n .*outcome=leaving" "$RUN/front-0.log" || fail "the log says why"
wait "${FRONT_PID[0]}" || fail "it ends with 0"
is_ready 1 || fail "the other one goes on"
kill -KILL "${FRONT_PID[1]}"
wait "${FRONT_PID[1]}" 2>/dev/null
front_start 0
wait_until is_ready 0
find_all again >/dev/null
[ "$(status)" = 200 ] || fail "a start after a kill"

# The settings file changes: with a signal or without one it is in force, and a faulty one is refused,
# with what was in force kept.
sed -i 's/^constant = .*/constant = 60/' "$RUN/front-0.ini"
wait_until grep -q 'event=reloaded' "$RUN/front-0.log" || fail "a silent change is taken"
sed -i 's/^constant = .*/constant = many/' "$RUN/front-0.ini"
kill -HUP "${FRONT_PID[0]}"
wait_until grep -q 'event=reload-refused reason=settings' "$RUN/front-0.log" || fail "a faulty one is refused"
find_all reloaded >/dev/null
[ "$(status)" = 200 ] || fail "and cuts nothing"
