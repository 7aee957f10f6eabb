# Requests through all parts of the users' platform with real processes: a gather returns the greatest records of all
# shards with a signature for each part, and a single request is forwarded byte for byte. Callers get their answers
# although searchers hang, refuse, fail, answer another request, drain or are removed.
. tests/front_lib.sh
fronts_start 1

# The five greatest records of three shards in descending order; one signature for each part.
want=000802-0002-0000000801-0001-0000000800-0000-0000000702-0002-0001000701-0001-0001
[ "$(find_all q1)" = "$want" ] || fail "not the greatest records: $(cat "$RUN/head")"
[ "$(header Dogwoodsaddle-Missing-Parts)" = 0 ] || fail "parts are missing: $(cat "$RUN/head")"
[ "$(header Dogwoodsaddle-Part-Stamps | tr ',' '\n' | grep -c '\.q1$')" = 3 ] || fail "not three signatures: $(cat "$RUN/head")"

# Repeated headers and the query string are forwarded; the reply's signature is returned.
get_one q2 '/get/x?a=1&b=%20' -H 'X-Own: 1' -H 'X-Own: 2' >/dev/null
[ "$(status)" = 200 ] && [ "$(header Dogwoodsaddle-Response-Signature)" = i-single-here.q2 ] || fail "a single request was not forwarded: $(cat "$RUN/head")"

# A searcher hangs: its part is answered by the other data centre.
users hang i-shard-1-here >/dev/null
[ "$(find_all q3)" = "$want" ] && [ "$(header Dogwoodsaddle-Missing-Parts)" = 0 ] || fail "not a complete answer while a searcher hangs: $(cat "$RUN/head")"
users ok i-shard-1-here >/dev/null

# All searchers of a shard hang: at the target, two of three parts are returned, and one is reported missing.
users hang i-shard-1 >/dev/null
find_all q4 >/dev/null
[ "$(status)" = 200 ] && [ "$(header Dogwoodsaddle-Missing-Parts)" = 1 ] || fail "the missing part is not reported: $(cat "$RUN/head")"
users ok i-shard-1 >/dev/null
sleep 1

# A searcher answers with another request's id: the answer is not used.
users foreign i-shard-2-here >/dev/null
[ "$(find_all q5)" = "$want" ] && [ "$(header Dogwoodsaddle-Missing-Parts)" = 0 ] || fail "not a complete answer when a searcher answers another request: $(cat "$RUN/head")"
users ok i-shard-2-here >/dev/null

# A searcher refuses the request as not run: the other searcher runs it. If all refuse it, the caller gets 503 with
# Retry-After.
users shed i-single-here >/dev/null
get_one q6 /get/act/x -X POST -d body >/dev/null
[ "$(status)" = 200 ] || fail "not answered when one searcher refuses: $(cat "$RUN/head")"
users shed i-single >/dev/null
get_one q7 /get/act/x -X POST -d body >/dev/null
[ "$(status)" = 503 ] && [ -n "$(header Retry-After)" ] || fail "not 503 with Retry-After when all searchers refuse: $(cat "$RUN/head")"
users ok i-single >/dev/null
sleep 0.1

# A searcher's own error reply to a request that must not be repeated is returned unchanged.
users fail i-single >/dev/null
get_one q8 /get/act/x -X POST -d body >/dev/null
[ "$(status)" = 500 ] && [ -n "$(header Dogwoodsaddle-Response-Signature)" ] || fail "a searcher's error reply is not returned: $(cat "$RUN/head")"
users ok i-single >/dev/null

# A searcher that drains, and one that is removed without notice, get no requests after 1.5 s.
users drain i-shard-0-here >/dev/null
users remove i-single-here >/dev/null
sleep 1.5
before=$(users none | jq -c '[.runs["i-shard-0-here"], .runs["i-single-here"]]')
for i in 1 2 3; do
	find_all "d$i" >/dev/null
	get_one "e$i" /get/x >/dev/null
	[ "$(status)" = 200 ] || fail "not served by the remaining searchers: $(cat "$RUN/head")"
done
[ "$before" = "$(users none | jq -c '[.runs["i-shard-0-here"], .runs["i-single-here"]]')" ] || fail "a draining or removed searcher got work"
users ready i-shard-0-here >/dev/null
users ready i-single-here >/dev/null

# No route: 404. A caller disconnects: its sub-requests are cancelled within half a second.
get_one q9 /else/x >/dev/null
[ "$(status)" = 404 ] || fail "status $(status) instead of 404 without a route"
users hang i-shard-2 >/dev/null
find_all q10 -m 0.1 >/dev/null
sleep 0.8
[ "$(users none | jq '[.left[]] | add')" -ge 1 ] || fail "no sub-request of a disconnected caller was cancelled"
