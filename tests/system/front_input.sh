# Callers that send invalid, oversized or too slow requests get one error reply and a closed connection, without
# effect on other callers. A request smuggled inside another one reaches no searcher.
. tests/front_lib.sh
fronts_start 1

# raw STATUS BYTES: sends the bytes over a new connection, which must be answered with this status.
raw() {
	local line=""
	exec 3<>"/dev/tcp/127.0.0.1/$FRONT_FROM"
	printf "$2" >&3
	read -r -t 4 line <&3
	exec 3>&-
	[[ $line == "HTTP/1.1 $1 "* ]] || fail "expected status $1 for ${2:0:200}, got: $line"
}
H='Host: get.example\r\n'
raw 400 "POST /get/x HTTP/1.1\r\n${H}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
raw 400 "POST /get/x HTTP/1.1\r\n${H}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc"
raw 400 "GET /get/x HTTP/1.1\r\n${H}X: a\r\n b\r\n\r\n"
raw 400 "GET /get/x HTTP/1.1\r\n${H}X: a\rb\r\n\r\n"
raw 400 "POST /get/x HTTP/1.1\r\n${H}Transfer-Encoding: chunked\r\n\r\nzz\r\n"
raw 400 "POST /get/x HTTP/1.1\r\n${H}Transfer-Encoding: chunked\r\n\r\n2\r\nabcd0\r\n\r\n"
raw 400 "GET /get/x HTTP/1.1\r\n\r\n"
raw 400 "GET /get/x HTTP/1.1\r\n${H}${H}\r\n"
raw 400 "nonsense\r\n\r\n"
raw 431 "GET /get/x HTTP/1.1\r\n${H}X: $(head -c 5000 /dev/zero | tr '\0' x)\r\n\r\n"
raw 431 "GET /get/x HTTP/1.1\r\n${H}$(printf 'X: y%.0s\\r\\n' {1..1000})\r\n"
raw 413 "POST /get/x HTTP/1.1\r\n${H}Content-Length: 9000\r\n\r\n"
raw 404 "GET /else/ HTTP/1.1\r\n${H}\r\n"
raw 408 "GET /get/x HTTP/1.1\r\n${H}"
runs=$(users none | jq '[.runs[]] | add')
[ "$runs" = 0 ] || fail "invalid requests reached searchers: $runs"

# A head of many short lines is within the limit: it is counted in bytes.
raw 200 "GET /get/x HTTP/1.1\r\n${H}Dogwoodsaddle-Request-Id: many-lines\r\n$(printf 'X: y%.0s\\r\\n' {1..200})\r\n"

# A chunked body is forwarded completely, and so are pipelined requests.
get_one q1 /get/x -X POST -H 'Transfer-Encoding: chunked' -d body >/dev/null
[ "$(status)" = 200 ] || fail "a chunked body gets status $(status)"
exec 3<>"/dev/tcp/127.0.0.1/$FRONT_FROM"
printf "GET /get/a HTTP/1.1\r\n${H}Dogwoodsaddle-Request-Id: a\r\n\r\nGET /get/b HTTP/1.1\r\n${H}Dogwoodsaddle-Request-Id: b\r\nConnection: close\r\n\r\n" >&3
got=$(timeout 3 cat <&3 | tr -d '\r' | grep -a -o 'Signature: .*' | tr '\n' ' ')
[ "$got" = "Signature: i-single-here.a Signature: i-single-here.b " ] || fail "pipelined: $got"
exec 3>&-

# A caller whose request arrives slowly does not delay the others.
exec 4<>"/dev/tcp/127.0.0.1/$FRONT_FROM"
printf 'GET /get/' >&4
find_all q2 >/dev/null
[ "$(status)" = 200 ] || fail "other callers wait for a slow caller"
exec 4>&-
