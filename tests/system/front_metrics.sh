# The metrics that a VM serves and those in the table of docs/OPERATIONS.md are the same. The counters match what
# the caller did: three merged answers and one single answer, each with its latency.
. tests/front_lib.sh
fronts_start 1
for n in 1 2 3; do find_all "m$n" >/dev/null; done
get_one m4 /get/x >/dev/null
curl -s -m 2 "http://127.0.0.1:$((FRONT_FROM + 2))/metrics" >"$RUN/metrics"
served=$(sed -n 's/^dogwoodsaddle_\([a-z_]*\).*/\1/p' "$RUN/metrics" | sed 's/_us_\(bucket\|sum\|count\)$/_us/' | sort -u)
documented=$(sed -n '/^| metric/,/^$/p' docs/OPERATIONS.md | cut -d'|' -f2 | grep -o '`[a-z_]*' | tr -d '`' | grep -v '^dogwoodsaddle\|^$' | sort -u)
[ "$served" = "$documented" ] || fail "served and documented metrics differ: $(diff <(echo "$served") <(echo "$documented"))"
has() { grep -qxF "dogwoodsaddle_$1" "$RUN/metrics" || fail "no line $1: $(grep -F "dogwoodsaddle_${1%%[\{ ]*}" "$RUN/metrics" | head -n 5)"; }
has 'requests_total 4'
has 'answers_total{outcome="answered"} 4'
has 'answer_latency_us_count{route="find"} 3'
has 'answer_latency_us_bucket{route="find",le="+Inf"} 3'
has 'answer_latency_us_bucket{route="find",le="5000000"} 3'
has 'sub_reply_latency_us_count{service="shard-0"} 3'
has 'sub_reply_latency_us_count{service="single"} 1'
