# Real processes under faults: one searcher is suspended by SIGSTOP, one is killed, all open connections go silent, and
# the platform is down. All answers must be complete and correct and no request aborted, since each group keeps a
# working searcher and the deadlines are long.
. tests/lib.sh
site_start brodnica || exit 1
# shellcheck disable=SC2046
"$BUILD/dogwoodsaddle-load" $(all_targets) -r 40 -s 9 -j -m checklist-board:search:normal:3:4000 \
	-m starter-profile:record:normal:2:2500 >"$RUN/load.json" &
load=$!
sleep 1
kill -STOP "${SEARCHER_PID[checklist-board-0-0]}"
sleep 1
kill -KILL "${SEARCHER_PID[checklist-board-1-1]}"
sleep 1
platform_control '{"down":true}' >/dev/null
sleep 1
for name in "${!SEARCHER_CONTROL[@]}"; do
	control "$name" '{"silence_open_connections":true}' >/dev/null
done
wait $load || fail "a request was aborted, unanswered or wrong: $(cat "$RUN/load.json")"
jq -e '[.mix[] | .partial + .refused + .failed] | add == 0' "$RUN/load.json" >/dev/null ||
	fail "not all answers are complete: $(cat "$RUN/load.json")"
