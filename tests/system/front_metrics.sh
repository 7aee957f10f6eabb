# The metrics that a VM serves and those in the table of docs/OPERATIONS.md are the same. The counters match what
# the caller did: three merged answers and one single answer, each with its latency; then a tenant with a quota sends one
# request within it and more beyond it.
. tests/front_lib.sh
# The metrics of admission control are served only where it is enabled.
ADMISSION=yes fronts_start 1
for n in 1 2 3; do find_all "m$n" >/dev/null; done
get_one m4 /get/x >/dev/null
curl -s -m 2 "http://127.0.0.1:$((FRONT_FROM + 2))/metrics" >"$RUN/metrics"
has() { grep -qxF "dogwoodsaddle_$1" "$RUN/metrics" || fail "no line $1: $(grep -F "dogwoodsaddle_${1%%[\{ ]*}" "$RUN/metrics" | head -n 5)"; }
has 'requests_total 4'
has 'answers_total{outcome="answered"} 4'
has 'answer_latency_us_count{route="find"} 3'
has 'answer_latency_us_bucket{route="find",le="+Inf"} 3'
has 'answer_latency_us_bucket{route="find",le="5000000"} 3'
has 'sub_reply_latency_us_count{service="shard-0"} 3'
has 'sub_reply_latency_us_count{service="single"} 1'

users tenant one\"tenant 1 >/dev/null
users configure '' 2 >/dev/null
wait_until all_configured 2 1
admitted=0 refused=0
ask() {
	attempt 0 get.example /get/x -H 'Dogwoodsaddle-Credential: key-one"tenant'
	case $(status) in
	200) admitted=$((admitted + 1)) ;;
	429) refused=$((refused + 1)) ;;
	*) fail "status $(status) with a key" ;;
	esac
}
is_admitted() { ask && [ $admitted -gt 0 ]; }
wait_until is_admitted || fail "no token within the time to wait"
for n in 1 2 3; do ask; done
[ $refused -gt 0 ] || fail "4 requests at once have got tokens, the quota is 1 a second"
curl -s -m 2 "http://127.0.0.1:$((FRONT_FROM + 2))/metrics" >"$RUN/metrics"
has 'tenant_requests_admitted_total{tenant="one\"tenant"} '"$admitted"
has 'tenant_requests_over_quota_total{tenant="one\"tenant"} '"$refused"
has 'quota_pool_share_ppm 1000000'
served=$(sed -n 's/^dogwoodsaddle_\([a-z_]*\).*/\1/p' "$RUN/metrics" | sed 's/_us_\(bucket\|sum\|count\)$/_us/' | sort -u)
documented=$(sed -n '/^| metric/,/^$/p' docs/OPERATIONS.md | cut -d'|' -f2 | grep -o '`[a-z_]*' | tr -d '`' | grep -v '^dogwoodsaddle\|^$' | sort -u)
[ "$served" = "$documented" ] || fail "served and documented metrics differ: $(diff <(echo "$served") <(echo "$documented"))"
