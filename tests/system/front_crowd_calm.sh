# A limit against clients that don't behave refuses, delays or changes a single request at the greatest head and body.
. tests/crowd_lib.sh
# With the smallest memory that settings allow, and the smallest share of a processor on the users' sites.
MEMORY_MB=16
fronts_start 1
head -c 262144 /dev/urandom >"$RUN/largest"
# Adds lines of 9 bytes, up to a head of nearly 16384 bytes.
fields=()
for ((i = 0; i < 1780; i++)); do fields+=(-H "$(printf 'f%03x: 1' $i)"); done
# largest LABEL [curl arguments]: the request must be served within the time that callers have to send one.
largest() {
	local label=$1 from
	shift
	from=$(now_ms)
	get_one "calm-$((++CALM))" /get/act/x "$@" >"$RUN/body"
	[ "$(status)" = 200 ] || fail "$label: status $(status)"
	echo "$label: $(($(now_ms) - from)) ms"
	[ $(($(now_ms) - from)) -lt 3000 ] || fail "$label: took $(($(now_ms) - from)) ms"
	sleep 1
}
CALM=0
largest "body" --data-binary "@$RUN/largest"
largest "body in chunks" -H 'Transfer-Encoding: chunked' --data-binary "@$RUN/largest"
largest "head" "${fields[@]}"
largest "head and body" "${fields[@]}" --data-binary "@$RUN/largest"
[ "$(users none | jq '.posted | length')" -ge 3 ] || fail "searchers have run $(users none | jq -c .posted)"
# Chunks of one byte, and small pieces; the crowd of one ends after its answers.
# shellcheck disable=SC2086
for kind in chunks pieces; do
	crowd $kind 1 6 $ACT
	wait "${CROWDS[@]}"
	CROWDS=()
	tail -qn 1 "$RUN/crowd.$CROWD_NUMBER"
	grep -q ' 200=[1-9]' "$RUN/crowd.$CROWD_NUMBER" || fail "$kind: $(cat "$RUN/crowd.$CROWD_NUMBER")"
done
# Requests sent ahead, within one read, are all answered in order.
exec {fd}<>"/dev/tcp/127.0.0.1/$FRONT_FROM"
for ((i = 0; i < 20; i++)); do
	printf 'GET /get/x HTTP/1.1\r\nHost: get.example\r\nDogwoodsaddle-Request-Id: ahead-%d\r\n\r\n' $i
done >&"$fd"
answers=$(timeout 5 grep -m 20 -ai '^Dogwoodsaddle-Request-Id' <&"$fd" | grep -o 'ahead-[0-9]*' | tr '\n' ' ')
[ "$answers" = "$(seq -s ' ' -f 'ahead-%g' 0 19) " ] || fail "answers to requests sent ahead: $answers"
exec {fd}>&-
processes_are_sound
