# A VM is stopped while callers send actions that last long, with long deadlines. Their connections ended without an answer
# while searchers were at work, also those of actions sent when half of the grace time was over.
. tests/front_lib.sh
USERS_ARGS='--work-ms 2000 --timeout-ms 15000 --log-runs' fronts_start 1
# act ID: sends an action and writes "ID STATUS MS_AFTER_SIGTERM" to $RUN/answers when it ends.
act() {
	local sent=$(($(now_ms) - stopped)) code
	code=$(curl -s -m 9 -o /dev/null -w '%{http_code}' -H 'Host: get.example' -H "Dogwoodsaddle-Request-Id: $1" -d body \
		-H 'Dogwoodsaddle-Request-Deadline: 8000' "http://127.0.0.1:$FRONT_FROM/get/act/x")
	echo "$1 $code $sent" >>"$RUN/answers"
}
stopped=$(now_ms)
act warm
users hang i-single-there >/dev/null
callers=()
for i in 1 2 3 4; do act "before-$i" & callers+=($!); done
sleep 0.1
kill -TERM "${FRONT_PID[0]}"
stopped=$(now_ms)
for ((i = 0; i < 40 && $(now_ms) - stopped < 4900; i++)); do
	act "on-$i" & callers+=($!)
	sleep 0.12
done
wait "${callers[@]}"
wait "${FRONT_PID[0]}" || fail "it ends with 0"
cut=$(awk '$1 == "ran" {ran[$2] = 1; next} $2 == "000" && ($1 in ran) {print $1 ", sent " $3 " ms after SIGTERM"}' "$RUN/users.log" "$RUN/answers")
[ -z "$cut" ] || fail "connections ended without an answer while searchers were at work on: $cut"
grep -q ' 504 ' "$RUN/answers" || fail "no action outlasted the stop, so the test shows nothing: $(cut -d' ' -f2 "$RUN/answers" | sort | uniq -c | xargs)"
ran=$(awk '$1 == "ran" {ran[$2] = 1; next} $2 == 503 && ($1 in ran) {print $1}' "$RUN/users.log" "$RUN/answers")
[ -z "$ran" ] || fail "answered 503, but ran: $ran"
# The grace time is 5 s.
late=$(awk '$1 == "ran" {ran[$2] = 1; next} $1 != "warm" && $3 > 2600 && ($1 in ran) {print $1 ", " $3 " ms after SIGTERM"}' "$RUN/users.log" "$RUN/answers")
[ -z "$late" ] || fail "passed on though it could last beyond the grace time: $late"
