# Invalid requests get a 4xx problem that names the error and says that nothing ran. Other requests are served
# as before.
. tests/lib.sh
site_start brodnica || exit 1
C=http://127.0.0.1:$CALLERS_FROM/v1/services

expect 400 bad-request -X POST -d 'not json' "$C/checklist-board/search"
expect 400 bad-request -X POST -d '{"texts":"x"}' "$C/checklist-board/search"
expect 400 bad-request -X POST -d '{"text":"a","text":"b"}' "$C/checklist-board/search"
expect 400 bad-request -X POST -d '{"limit":0}' "$C/checklist-board/search"
expect 400 bad-request -X POST -d '[]' "$C/checklist-board/search"
expect 400 bad-request -X POST -H 'Request-Timeout-Ms: 0' -d '{}' "$C/checklist-board/search"
expect 400 bad-request -X POST -H 'Request-Timeout-Ms: -5' -d '{}' "$C/checklist-board/search"
expect 400 bad-request -X POST -H 'Request-Timeout-Ms: 99999999999999999999' -d '{}' "$C/checklist-board/search"
expect 400 bad-request -X POST -H 'Request-Class: gold' -d '{}' "$C/checklist-board/search"
expect 400 bad-request -X POST -H 'Request-Id: a b' -d '{}' "$C/checklist-board/search"
expect 404 unknown-service -X POST -d '{}' "$C/nobody/search"
expect 404 unknown-service "http://127.0.0.1:$CALLERS_FROM/else"
expect 405 wrong-method "$C/checklist-board/search"
expect 400 bad-request "$C/checklist-board/records/r000001"
expect 400 bad-request -X POST -d '{}' "$C/reminder-sender/actions"
expect 400 bad-request -X POST -H 'Idempotency-Key: short' -d '{}' "$C/reminder-sender/actions"
expect 400 key-too-old -X POST -H 'Idempotency-Key: 1000000000000-an-old-key' -d '{}' "$C/reminder-sender/actions"
expect 413 too-large -X POST --data-binary @<(head -c 70000 /dev/zero) "$C/checklist-board/search"
expect 411 length-required -X POST -H 'Transfer-Encoding: chunked' -d '{}' "$C/checklist-board/search"

# A request whose body does not arrive times out with 408. Other connections are not affected.
exec 3<>"/dev/tcp/127.0.0.1/$CALLERS_FROM"
printf 'POST /v1/services/checklist-board/search HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n{' >&3
curl -s -m 3 -X POST -d '{}' "$C/checklist-board/search" | jq -e .complete >/dev/null || fail "another caller is not served while a body is incomplete"
read -r -t 8 line <&3
[[ $line == *408* ]] || fail "expected 408 for a slow body, got: $line"
exec 3>&-

# Unfinished bodies take too much memory: the largest request is told to come back, in a problem of its own type.
body=$(head -c 60000 /dev/zero | tr '\0' x) unfinished=()
for ((i = 0; i < 700; i++)); do
	exec {fd}<>"/dev/tcp/127.0.0.1/$CALLERS_FROM"
	unfinished+=("$fd")
	printf 'POST /v1/services/checklist-board/search HTTP/1.1\r\nHost: x\r\nContent-Length: 60001\r\n\r\n%s' "$body" >&"$fd"
done
answer=$(timeout 2 cat <&"${unfinished[0]}" | tr -d '\r')
[[ $answer == 'HTTP/1.1 503 '* && $answer == *$'\nRetry-After: 1\n'* ]] || fail "expected 503 for unfinished bodies, got: $answer"
jq -e '.type == "queue-full" and .ran == "no" and .retry_after_ms == 1000' <<<"${answer##*$'\n\n'}" >/dev/null || fail "another problem: $answer"
for fd in "${unfinished[@]}"; do exec {fd}>&-; done

# Headers over the size limit close the connection; the daemon goes on serving.
curl -s -m 3 -o /dev/null -H "X-Big: $(head -c 20000 /dev/zero | tr '\0' x)" "$C/checklist-board/search"
curl -s -m 3 -X POST -d '{}' "$C/checklist-board/search" | jq -e .complete >/dev/null || fail "the daemon does not serve after oversized headers"

# Operators' paths require the token; health and metrics do not.
A=http://127.0.0.1:$ADMINS_FROM
expect 401 unauthorized "$A/v1/status"
expect 401 unauthorized -H 'Authorization: Bearer wrong' "$A/v1/status"
curl -sf -m 3 "$A/healthz" >/dev/null && curl -sf -m 3 "$A/metrics" >/dev/null || fail "health and metrics do not answer without the token"
curl -sf -m 3 -H "Authorization: Bearer $TOKEN" "$A/v1/status" >/dev/null || fail "status does not accept the token"
