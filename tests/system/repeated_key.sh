# A caller or proxy sends two Idempotency-Key headers. If the action ran under one key, a retry with only the other key
# would run it twice, so the request must be rejected before a claim is made.
. tests/lib.sh
site_start brodnica || exit 1
expect 400 bad-request -X POST -H "Idempotency-Key: $(date +%s%3N)-one" \
	-H "Idempotency-Key: $(date +%s%3N)-two" -d '{}' \
	"http://127.0.0.1:$CALLERS_FROM/v1/services/reminder-sender/actions"
