# A VM exceeds its memory because callers send bodies that they never finish. Meanwhile other callers are served; those whose
# requests take too much memory are told to come back.
. tests/front_lib.sh
MEMORY_MB=32
front_size() { echo "memory_mb = $MEMORY_MB"; }
CONNECTIONS=2000 UNFINISHED=8000 # the configuration allows bodies of 8192 bytes, and a second for each
printf -v body '%*s' $UNFINISHED ''
fronts_start 1
memory_mb() { awk '/VmHWM/ {print int($2 / 1024)}' "/proc/${FRONT_PID[0]}/status"; }
# begin_requests NUMBER: sends a tenth of the unfinished requests, each on a connection of its own, and prints the heads of the
# answers.
begin_requests() {
	local i fd line fds=()
	for ((i = 0; i < CONNECTIONS / 10; i++)); do
		exec {fd}<>"/dev/tcp/127.0.0.1/$FRONT_FROM"
		fds+=("$fd")
		printf 'POST /get/act/x HTTP/1.1\r\nHost: get.example\r\nDogwoodsaddle-Request-Id: e%d-%d\r\nContent-Length: %d\r\n\r\n%s' \
			"$1" $i $((UNFINISHED + 1)) "$body" >&$fd
	done 2>/dev/null
	for fd in "${fds[@]}"; do
		while IFS= read -r -t 0.02 line <&$fd && [ "$line" != $'\r' ]; do echo "${line%$'\r'}"; done
	done
}
senders=()
for ((n = 0; n < 10; n++)); do
	begin_requests $n >"$RUN/refused.$n" &
	senders+=($!)
done
while kill -0 "${senders[@]}" 2>/dev/null; do
	find_all "beside-$RANDOM" >/dev/null
	[ "$(status)" = 200 ] || fail "beside unfinished requests: $(cat "$RUN/head")"
	sleep 0.05
done
wait "${senders[@]}"
[ "$(memory_mb)" -le $MEMORY_MB ] || fail "$(memory_mb) MB of $MEMORY_MB"
[ "$(metric requests_given_up_total)" -gt 0 ] || fail "no request was given up"
grep -hq '^HTTP/1.1 503 ' "$RUN"/refused.* || fail "no caller was told: $(grep -h '^HTTP' "$RUN"/refused.* | sort | uniq -c)"
! grep -h '^HTTP' "$RUN"/refused.* | grep -v " 503 \| 408 " || fail "another answer to an unfinished request"
grep -q '^Retry-After: ' "$RUN"/refused.* || fail "no Retry-After"
processes_are_sound
