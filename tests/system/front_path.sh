# The whole path on the users' platform with real processes: a gather returns the greatest records of
# all shards with a stamp for each, a single request is handed on byte for byte; searchers that hang,
# refuse, fail, answer something else, leave, or are replaced cost no caller its answer.
. tests/front_lib.sh
fronts_start 1

# The greatest five of three shards' records, falling; every part stamped once.
want=000802-0002-0000000801-0001-0000000800-0000-0000000702-0002-0001000701-0001-0001
[ "$(find_all q1)" = "$want" ] || fail "the greatest records: $(cat "$RUN/head")"
[ "$(header Dogwoodsaddle-Missing-Parts)" = 0 ] || fail "nothing is missing"
[ "$(header Dogwoodsaddle-Part-Stamps | tr ',' '\n' | grep -c '\.q1$')" = 3 ] || fail "three stamps: $(cat "$RUN/head")"

# Repeated headers and the query go through; the answer's stamp comes back.
get_one q2 '/get/x?a=1&b=%20' -H 'X-Own: 1' -H 'X-Own: 2' >/dev/null
[ "$(status)" = 200 ] && [ "$(header Dogwoodsaddle-Response-Signature)" = i-single-here.q2 ] || fail "handed on: $(cat "$RUN/head")"

# A searcher that hangs: its part comes from the other data centre.
users hang i-shard-1-here >/dev/null
[ "$(find_all q3)" = "$want" ] && [ "$(header Dogwoodsaddle-Missing-Parts)" = 0 ] || fail "a hanging searcher: $(cat "$RUN/head")"
users ok i-shard-1-here >/dev/null

# A whole shard hangs: two of three parts, said to be two, at the target.
users hang i-shard-1 >/dev/null
find_all q4 >/dev/null
[ "$(status)" = 200 ] && [ "$(header Dogwoodsaddle-Missing-Parts)" = 1 ] || fail "a part missing is said: $(cat "$RUN/head")"
users ok i-shard-1 >/dev/null
sleep 1

# One that answers with another request's id is not believed.
users foreign i-shard-2-here >/dev/null
[ "$(find_all q5)" = "$want" ] && [ "$(header Dogwoodsaddle-Missing-Parts)" = 0 ] || fail "a foreign answer: $(cat "$RUN/head")"
users ok i-shard-2-here >/dev/null

# Refused without having run: the other searcher runs it; with none left the caller hears 503 and when
# to come back.
users shed i-single-here >/dev/null
get_one q6 /get/act/x -X POST -d body >/dev/null
[ "$(status)" = 200 ] || fail "refused by one: $(cat "$RUN/head")"
users shed i-single >/dev/null
get_one q7 /get/act/x -X POST -d body >/dev/null
[ "$(status)" = 503 ] && [ -n "$(header Retry-After)" ] || fail "refused by all: $(cat "$RUN/head")"
users ok i-single >/dev/null
sleep 0.1

# A searcher's own failure of a request that must not be repeated is handed on as it is.
users fail i-single >/dev/null
get_one q8 /get/act/x -X POST -d body >/dev/null
[ "$(status)" = 500 ] && [ -n "$(header Dogwoodsaddle-Response-Signature)" ] || fail "a failure: $(cat "$RUN/head")"
users ok i-single >/dev/null

# One that leaves, and one that is gone without a word, get nothing more within a second and a half.
users drain i-shard-0-here >/dev/null
users remove i-single-here >/dev/null
sleep 1.5
before=$(users none | jq -c '[.runs["i-shard-0-here"], .runs["i-single-here"]]')
for i in 1 2 3; do
	find_all "d$i" >/dev/null
	get_one "e$i" /get/x >/dev/null
	[ "$(status)" = 200 ] || fail "served by those that stay: $(cat "$RUN/head")"
done
[ "$before" = "$(users none | jq -c '[.runs["i-shard-0-here"], .runs["i-single-here"]]')" ] || fail "work for one that left"
users ready i-shard-0-here >/dev/null
users ready i-single-here >/dev/null

# No route: 404. A caller that leaves: its searchers are let go within half a second.
get_one q9 /else/x >/dev/null
[ "$(status)" = 404 ] || fail "no route"
users hang i-shard-2 >/dev/null
find_all q10 -m 0.1 >/dev/null
sleep 0.8
[ "$(users none | jq '[.left[]] | add')" -ge 1 ] || fail "a caller left, and searchers work on"
