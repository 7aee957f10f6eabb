# Requests that a VM has received behind another one on their connection are dropped when that one is answered after SIGTERM.
. tests/front_lib.sh
USERS_ARGS="--work-ms 400" fronts_start 1
request() { printf 'POST /get/act/x HTTP/1.1\r\nHost: get.example\r\nDogwoodsaddle-Request-Id: %s\r\nContent-Length: 4\r\n\r\nbody' "$1"; }
exec 3<>"/dev/tcp/127.0.0.1/$FRONT_FROM"
# The third one is refused as soon as it is parsed.
{ request first; request second; request unknown | sed 's|/get/act/x|/none/|'; request last; } >&3
sleep 0.1
kill -TERM "${FRONT_PID[0]}"
timeout 4 cat <&3 >"$RUN/answers"
for id in first second last; do
	grep -q "^Dogwoodsaddle-Response-Signature: i-single-[a-z]*\.$id"$'\r' "$RUN/answers" || fail "$id is not answered: $(cat "$RUN/answers")"
done
grep -q 'HTTP/1.1 404 ' "$RUN/answers" || fail "no 404: $(cat "$RUN/answers")"
[ "$(tr -d '\r' <"$RUN/answers" | grep -i '^Connection: close\|Signature' | tail -n 2 | cut -d: -f1 | xargs)" = "Dogwoodsaddle-Response-Signature Connection" ] ||
	fail "the last answer alone closes the connection: $(cat "$RUN/answers")"
[ "$(grep -ci '^Connection: close' "$RUN/answers")" = 1 ] || fail "an answer before the last one closes the connection: $(cat "$RUN/answers")"
