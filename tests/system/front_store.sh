# The store misbehaves: down at the start, it keeps VMs unready and they say 503; down later, what is
# known goes on being used, and what changed meanwhile is in force soon after; history that is gone is
# read anew; an older version never comes back.
. tests/front_lib.sh
"$BUILD/standin-users-platform" --store "$STORE" --control "$CONTROL" --searchers "$SHARDS_FROM" >>"$RUN/users.log" 2>&1 &
PIDS+=($!)
wait_until users none
users down '' 1 >/dev/null
front_start 0
wait_until curl -s -m 1 "http://127.0.0.1:$((FRONT_FROM + 1))/ready"
is_ready 0 && fail "ready without a configuration"
find_all q1 >/dev/null
[ "$(status)" = 503 ] && [ -n "$(header Retry-After)" ] || fail "nothing is known yet: $(cat "$RUN/head")"
users down '' 0 >/dev/null
wait_until is_ready 0

users down '' 1 >/dev/null
sleep 1
find_all q2 >/dev/null
[ "$(status)" = 200 ] || fail "what is known is used while the store is down"
users configure '' 5 >/dev/null
users down '' 0 >/dev/null
sleep 5
[ "$(metric configuration_version)" = 5 ] || fail "the change made meanwhile: $(metric configuration_version)"

users forget >/dev/null
users configure '' 9 >/dev/null
sleep 5
[ "$(metric configuration_version)" = 9 ] || fail "after the history is gone: $(metric configuration_version)"
users configure '' 7 >/dev/null
sleep 2
[ "$(metric configuration_version)" = 9 ] || fail "an older version came back"
grep -q 'event=configuration version=7 outcome=ignored reason=not-newer' "$RUN/front-0.log" || fail "the log says so"
