# Searchers whose answers have a spoiled status: bytes that are no answer must not reach callers, who took them, or the
# body behind a status without one, for the beginning of their next answer.
. tests/front_lib.sh
fronts_start_behind_proxy 1
spoil() { proxy_searchers "status=$1"; }
# raw METHOD PATH [BODY]: sends a request and writes all bytes that come within 0.3 s to $RUN/raw.
raw() {
	exec 3<>"/dev/tcp/127.0.0.1/$FRONT_FROM"
	printf '%s %s HTTP/1.1\r\nHost: get.example\r\nDogwoodsaddle-Request-Id: r%d\r\nDogwoodsaddle-Request-Deadline: 2000\r\nContent-Length: %d\r\n\r\n%s' \
		"$1" "$2" $RANDOM ${#3} "$3" >&3
	timeout 0.3 cat <&3 >"$RUN/raw"
	exec 3>&-
}
# whole STATUS BODY_BYTES: succeeds if the bytes received are one answer with this status and a body of this length.
whole() {
	local head length
	head=$(tr -d '\r' <"$RUN/raw" | sed '/^$/q')
	length=$(grep -i '^Content-Length:' <<<"$head" | cut -d' ' -f2)
	grep -q "^HTTP/1.1 $1 " <<<"$head" && [ "${length:-0}" = "$2" ] &&
		[ "$(($(wc -c <"$RUN/raw") - $2))" = "$(sed '/^\r$/q' "$RUN/raw" | wc -c)" ]
}
raw POST /get/act/x body
whole 200 128 || fail "an answer that is not spoiled does not arrive whole: $(cat "$RUN/raw")"
for status in '20 ' ' 00' '2 0' 000 100 101 204 600 '2x0'; do
	spoil "$status"
	raw POST /get/act/x body
	whole 502 6 || fail "status '$status' of a searcher: $(cat "$RUN/raw")"
done
# Statuses of searchers that are answers without a body.
spoil 304
raw GET /get/x ''
whole 304 0 || fail "status 304 of a searcher: $(cat "$RUN/raw")"
! grep -qi '^Content-Length' "$RUN/raw" || fail "a 304 states the length of a body that is not known: $(cat "$RUN/raw")"
spoil ''
raw HEAD /get/x ''
whole 200 0 || fail "an answer to HEAD: $(cat "$RUN/raw")"
! grep -qi '^Content-Length' "$RUN/raw" || fail "an answer to HEAD states a wrong length: $(cat "$RUN/raw")"
