# Three failed requests can be explained from their ids and the logs alone, as docs/OPERATIONS.md shows. If the
# reader of the log stops reading, log lines are dropped, but no request waits.
. tests/front_lib.sh
fronts_start 1
LOGS=$RUN/front-0.log
answer_line() { sleep 0.3; grep -h "event=answer request=$1 " "$LOGS"; }
sub_lines() { grep -h "event=sub-request request=$1 " "$LOGS"; }

users hang i-shard-1 >/dev/null
find_all partial >/dev/null
[[ $(answer_line partial) == *"outcome=answered status=200"*"missing=1"*"lost=shard-1:sent:i-shard-1-"* ]] || fail "the log does not explain the missing part: $(answer_line partial)"
users ok i-shard-1 >/dev/null

users shed i-single >/dev/null
get_one refused /get/act/x -X POST -d body >/dev/null
[[ $(answer_line refused) == *"outcome=rejected status=503"* ]] || fail "the log does not show the rejected request: $(answer_line refused)"
[ "$(sub_lines refused | grep -c 'outcome=not-run')" = 2 ] || fail "the log does not show that both searchers refused: $(sub_lines refused)"
users ok i-single >/dev/null
sleep 0.1

users foreign i-single >/dev/null
get_one broken /get/act/x -X POST -d body >/dev/null
[[ $(answer_line broken) == *"outcome=failed status=502"* ]] || fail "the log does not show the failed request: $(answer_line broken)"
[ "$(sub_lines broken | grep -c 'outcome=unknown')" = 1 ] || fail "the log does not show exactly one failed sub-request: $(sub_lines broken)"
users ok i-single >/dev/null

# The tool's explain command finds the same.
explain() { "$BUILD/dogwoodsaddle" explain "$1" "$LOGS"; }
get_one again /get/act/x -X POST -d body >/dev/null
get_one other /get/act/x -X POST -d other >/dev/null
[[ $(answer_line again) == *"fingerprint="* ]] || fail "no fingerprint: $(answer_line again)"
[ "$(explain again | grep -A 2 'other attempts at the same request' | grep -c 'request=refused\|request=broken')" = 2 ] ||
	fail "explain does not show the attempts at the same request: $(explain again)"
[[ $(explain other) != *"other attempts"* ]] || fail "explain takes another request for an attempt at the same one: $(explain other)"
[[ $(explain partial) == *"parts that are missing"*"lost=shard-1:sent"*"searcher i-shard-1-here, sub-requests"*"event=searcher-ready searcher=i-shard-1-here"*"VM front-0 in the"*"event=configuration version=1"* ]] ||
	fail "explain partial: $(explain partial)"
[[ $(explain refused) == *"not run: every searcher asked refused it"*"not-run="* ]] || fail "explain refused: $(explain refused)"
[[ $(explain broken) == *"may have run: the answer was lost"*"unknown=1"* ]] || fail "explain broken: $(explain broken)"
explain nobody 2>/dev/null && fail "explain succeeds for a request that no line names"
"$BUILD/dogwoodsaddle" explain x "$RUN/none" 2>&1 | grep -q "can't read" || fail "explain does not report a missing log file"
[ "$("$BUILD/dogwoodsaddle" -r broken timeline "$LOGS" | grep -c request=broken)" = 2 ] || fail "the time line of one request does not have two lines"
head -c 3000 /dev/urandom | "$BUILD/dogwoodsaddle" timeline - >/dev/null || fail "timeline fails on random bytes"

# The log goes to a pipe that nothing reads.
mkfifo "$RUN/pipe"
front_settings 1
exec 5<>"$RUN/pipe"
"$BUILD/dogwoodsaddled" --config "$RUN/front-1.ini" >"$RUN/pipe" 2>&1 &
PIDS+=($!)
wait_until is_ready 1
for i in $(seq 1500); do printf 'GET /none/ HTTP/1.1\r\nHost: x\r\n\r\n'; done >"$RUN/requests"
exec 6<>"/dev/tcp/127.0.0.1/$((FRONT_FROM + 10))"
cat "$RUN/requests" >&6 &
[ "$(timeout 20 grep -a -m 1500 -c 'HTTP/1.1 404' <&6)" = 1500 ] || fail "requests wait for the log's reader"
exec 6>&- 5>&-
