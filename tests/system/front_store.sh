# Faults of the store. While it is down when a VM starts, the VM is not ready and answers 503. While it is down later,
# the VM uses the data that it has, and applies the changes made meanwhile soon after the store recovers. When the
# store's history is gone, the VM reads the lists again. An older version of the configuration is never applied.
. tests/front_lib.sh
"$BUILD/standin-users-platform" --store "$STORE" --control "$CONTROL" --searchers "$SHARDS_FROM" >>"$RUN/users.log" 2>&1 &
PIDS+=($!)
wait_until users none
users down '' 1 >/dev/null
front_start 0
wait_until curl -s -m 1 "http://127.0.0.1:$((FRONT_FROM + 1))/ready"
is_ready 0 && fail "VM 0 is ready without a configuration"
find_all q1 >/dev/null
[ "$(status)" = 503 ] && [ -n "$(header Retry-After)" ] || fail "not 503 with Retry-After without a configuration: $(cat "$RUN/head")"
users down '' 0 >/dev/null
wait_until is_ready 0

users down '' 1 >/dev/null
sleep 1
find_all q2 >/dev/null
[ "$(status)" = 200 ] || fail "status $(status) while the store is down"
users configure '' 5 >/dev/null
users down '' 0 >/dev/null
sleep 5
[ "$(metric configuration_version)" = 5 ] || fail "version $(metric configuration_version), not 5, after the store recovered"

users forget >/dev/null
users configure '' 9 >/dev/null
sleep 5
[ "$(metric configuration_version)" = 9 ] || fail "version $(metric configuration_version), not 9, after the store lost its history"
users configure '' 7 >/dev/null
sleep 2
[ "$(metric configuration_version)" = 9 ] || fail "an older version was applied: $(metric configuration_version)"
grep -q 'event=configuration version=7 outcome=ignored reason=not-newer' "$RUN/front-0.log" || fail "the log does not show the ignored older version"
