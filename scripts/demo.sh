#!/usr/bin/env bash
# Demonstrates one user's site: searches, a record, an action, and a planned stop under load.
# Exits with an error if an answer is not as expected.
set -u
cd "$(dirname "$0")/.."
. scripts/site.sh
SITE=${SITE:-brodnica}
trap '[ -n "${KEEP:-}" ] || site_stop' EXIT

fail() { echo "check failed: $*" >&2; tail -n 5 "$RUN"/*.log >&2; exit 1; }
say() { printf '\n== %s\n' "$*"; }

say "starting $SITE: a platform, its searchers, and six entry VMs"
site_start "$SITE" || fail "the site did not start"
case $SITE in
brodnica) BROAD=checklist-board RECORD=starter-profile ACTION=reminder-sender ;;
sablat) BROAD=visitor-search RECORD=publishing-desk ACTION=billing-ledger ;;
esac
CALL=http://127.0.0.1:$CALLERS_FROM

say "a broad search of $BROAD"
answer=$(curl -s -m 5 -X POST -d '{"text":""}' "$CALL/v1/services/$BROAD/search")
jq -c '{snapshot, complete, coverage, found, first: .records[0]}' <<<"$answer"
jq -e '.complete and .coverage.answered == 40 and .found == 400' <<<"$answer" >/dev/null ||
	fail "a complete answer has 40 partitions and 400 records"

say "an urgent quick-find of \"Ana\""
answer=$(curl -s -m 5 -X POST -H 'Request-Class: urgent' -H 'Request-Timeout-Ms: 300' \
	-d '{"text":"Ana","limit":2}' "$CALL/v1/services/$BROAD/search")
jq -c '{snapshot, complete, found, records}' <<<"$answer"
jq -e '.complete and .found == 50 and (.records | length) == 2' <<<"$answer" >/dev/null ||
	fail "not complete with 50 matching records, of which two are returned"

say "one record of $RECORD"
answer=$(curl -s -m 5 "$CALL/v1/services/$RECORD/records/r000012")
echo "$answer"
jq -e '.record.id == "r000012"' <<<"$answer" >/dev/null || fail "not the requested record"

say "an action of $ACTION, then the same key again through another VM"
key=$(date +%s%3N)-demo-reminder
answer=$(curl -s -m 5 -X POST -H "Idempotency-Key: $key" -d '{"to":"r000012"}' "$CALL/v1/services/$ACTION/actions")
echo "$answer"
jq -e '.ran == "yes"' <<<"$answer" >/dev/null || fail "the action did not run"
answer=$(curl -s -m 5 -X POST -H "Idempotency-Key: $key" -d '{"to":"r000012"}' \
	"http://127.0.0.1:$((CALLERS_FROM + 1))/v1/services/$ACTION/actions")
echo "$answer"
jq -e '.ran != "no"' <<<"$answer" >/dev/null || fail "the answer to a repeated key says that the action did not run"

say "every VM is stopped by SIGTERM under load, one after the other"
targets=()
for ((i = 0; i < ${#VMS[@]}; i++)); do
	targets+=(-t "127.0.0.1:$((CALLERS_FROM + i)):$((ADMINS_FROM + i))")
done
"$BUILD/dogwoodsaddle-load" "${targets[@]}" -r 150 -s 13 -m "$BROAD:search:normal:2:1000" \
	-m "$BROAD:search:urgent:2:300:Ana" -m "$RECORD:record:normal:2:300" \
	-m "$ACTION:action:normal:0.1:2000" >"$RUN/load.txt" &
load=$!
sleep 1
for ((i = 0; i < ${#VMS[@]}; i++)); do
	vm=${VMS[$i]}
	kill -TERM "${VM_PID[$vm]}"
	wait "${VM_PID[$vm]}" || fail "$vm did not exit with 0"
	start_vm "$i"
	wait_until vm_ready "$i" || fail "$vm is not ready after its restart"
	echo "$vm exited with 0 and is ready again"
done
wait $load
load_status=$?
cat "$RUN/load.txt"
[ $load_status = 0 ] || fail "a request was aborted or an answer was wrong"
for name in "${!SEARCHER_CONTROL[@]}"; do
	peak=$(control "$name" '{}' | jq '.connections_peak')
	case $name in $BROAD-*) limit=25 ;; *) limit=$([ "$SITE" = brodnica ] && echo 100 || echo 40) ;; esac
	[ "$peak" -le "$limit" ] || fail "$name had $peak connections of $limit"
done
echo "no request was aborted, every answer was correct, and no searcher exceeded its connection limit"

if [ -n "${KEEP:-}" ]; then
	say "the site is left running"
	for ((i = 0; i < ${#VMS[@]}; i++)); do
		vm_ready "$i" >/dev/null || start_vm "$i"
		echo "${VMS[$i]}: callers http://127.0.0.1:$((CALLERS_FROM + i)) admin http://127.0.0.1:$((ADMINS_FROM + i)) token $TOKEN"
	done
	echo "process ids: ${PIDS[*]}"
fi
