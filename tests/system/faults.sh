# Real processes under real faults: a searcher frozen by SIGSTOP, one killed, every open connection gone
# silent, the platform down. Callers see whole, right answers throughout, since each group keeps a
# working searcher and deadlines are ample; nothing is cut.
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
wait $load || fail "a request was cut, unanswered or wrong: $(cat "$RUN/load.json")"
jq -e '[.mix[] | .partial + .refused + .failed] | add == 0' "$RUN/load.json" >/dev/null ||
	fail "not all whole: $(cat "$RUN/load.json")"
