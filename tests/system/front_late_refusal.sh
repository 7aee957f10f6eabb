# A searcher's refusal comes a second time, late, when the action that it refused has been sent to it once more: taken for
# the answer to that, the action ran twice, or was answered 503 and ran.
. tests/front_lib.sh
USERS_ARGS='--log-runs' fronts_start_behind_proxy 1
act() { attempt 0 get.example /get/act/x -d body -w '%{http_code}\n'; }
# Searchers that refuse a share of their requests are asked again.
users shed i-single >/dev/null
for ((i = 0; i < 3; i++)); do act >/dev/null; done
users shed-first i-single >/dev/null
proxy_searchers late=1
: >"$RUN/answers"
for ((i = 0; i < 6; i++)); do
	proxy_searchers mode=cut
	echo "$ATTEMPT-$((ATTEMPTS + 1)) $(act)" >>"$RUN/answers"
	ATTEMPTS=$((ATTEMPTS + 1))
done
sleep 0.3
again=$(grep -c '^ran ' "$RUN/users.log")
[ "$again" -ge 3 ] || fail "too few actions were sent to a searcher that had refused them: $again of 6 ran"
twice=$(users none | jq -c '.posted | with_entries(select(.value > 1))')
[ "$twice" = '{}' ] || fail "actions ran twice: $twice; $(grep -c 'outcome=not-run' "$RUN/front-0.log") refusals"
refused=$(awk '$1 == "ran" {ran[$2] = 1; next} $2 != 200 && ($1 in ran)' "$RUN/users.log" "$RUN/answers")
[ -z "$refused" ] || fail "actions ran and were not answered by their searcher: $refused"
# The log tells which connection each of them was sent on.
grep 'purpose=retry outcome=not-run' "$RUN/front-0.log" | grep -q 'connection=[1-9]' || fail "the log does not name the connections"
