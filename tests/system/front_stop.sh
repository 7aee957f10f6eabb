# A VM is stopped with SIGTERM: it reports not ready at once, serves requests on keep-alive and new connections with
# `Connection: close`, and then exits. After it is killed and restarted, it serves as before.
. tests/front_lib.sh
USERS_ARGS='--work-ms 400' fronts_start 2
find_all slow >"$RUN/body" &
request=$!
sleep 0.1
kill -TERM "${FRONT_PID[0]}"
sleep 0.1
is_ready 0 && fail "VM 0 is ready while it drains"
[ "$(get_one late /get/x -w '%{http_code}' -o /dev/null)" = 200 ] || fail "a new connection is not served while the VM drains"
[ "$(header Connection)" = close ] || fail "no 'Connection: close' while the VM drains"
wait $request
[ -s "$RUN/body" ] || fail "the outstanding request is not answered"
wait "${FRONT_PID[0]}" || fail "it ends with 0"
# A caller keeps sending until the VM exits: near the end of the grace time its requests are rejected as not run, with
# Retry-After, so that no request is aborted when the process exits.
front_start 0
wait_until is_ready 0
kill -TERM "${FRONT_PID[0]}"
n=0
while [ "$(get_one "on$n" /get/x -o /dev/null -w '%{http_code}')" = 200 ]; do n=$((n + 1)); done
[ "$(status)" = 503 ] && [ -n "$(header Retry-After)" ] || fail "not 503 with Retry-After at the end of the grace time: $(cat "$RUN/head")"
grep -q "event=answer request=on$n .*outcome=leaving" "$RUN/front-0.log" || fail "the log does not give the reason of the rejection"
wait "${FRONT_PID[0]}" || fail "it ends with 0"
is_ready 1 || fail "VM 1 is not ready while VM 0 stops"
kill -KILL "${FRONT_PID[1]}"
wait "${FRONT_PID[1]}" 2>/dev/null
front_start 0
wait_until is_ready 0
find_all again >/dev/null
[ "$(status)" = 200 ] || fail "status $(status) after a kill and a restart"

# The settings file changes: it is reloaded with or without a signal. An invalid file is rejected, and the settings in
# force stay.
sed -i 's/^constant = .*/constant = 60/' "$RUN/front-0.ini"
wait_until grep -q 'event=reloaded' "$RUN/front-0.log" || fail "the changed settings are not loaded without a signal"
sed -i 's/^constant = .*/constant = many/' "$RUN/front-0.ini"
kill -HUP "${FRONT_PID[0]}"
wait_until grep -q 'event=reload-refused reason=settings' "$RUN/front-0.log" || fail "invalid settings are not rejected"
find_all reloaded >/dev/null
[ "$(status)" = 200 ] || fail "status $(status) after invalid settings"
