# Requests are judged by the limits of a former configuration: on connections that have carried a request before the change,
# and on those that were opened before it. A request whose head has begun keeps the limits that it began with.
. tests/front_lib.sh
fronts_start 1
version=1
limit() { # bytes of a body
	version=$((version + 1))
	users body-max '' "$1" >/dev/null
	users configure '' $version >/dev/null
	wait_until all_configured $version 1
}
head_of() { printf 'POST /get/x HTTP/1.1\r\nHost: get.example\r\nDogwoodsaddle-Request-Id: l%d\r\nContent-Length: %d\r\n' $RANDOM "$1"; }
body_of() { printf '%*s' "$1" ''; }
request() { # descriptor, bytes
	{ head_of "$2"; printf '\r\n'; body_of "$2"; } >&"$1"
}
# answer DESCRIPTOR: reads an answer whole and prints its status.
answer() {
	local line status length=0
	IFS=' ' read -r -t 2 _ status _ <&"$1"
	while IFS= read -r -t 2 line <&"$1" && [ "$line" != $'\r' ]; do
		case ${line,,} in content-length:*) length=${line//[!0-9]/} ;; esac
	done
	[ "$length" = 0 ] || IFS= LC_ALL=C read -r -d '' -N "$length" -t 2 _ <&"$1"
	echo "$status"
}
connect() { exec {fd}<>"/dev/tcp/127.0.0.1/$FRONT_FROM"; }

connect; used=$fd
request $used 100
[ "$(answer $used)" = 200 ] || fail "a small request is not served"
connect; unused=$fd
limit 50000
request $used 20000
[ "$(answer $used)" = 200 ] || fail "a kept connection has the limits of the former configuration"
request $unused 20000
[ "$(answer $unused)" = 200 ] || fail "a connection that was opened before the change has the limits of the former configuration"

connect; begun=$fd
head_of 20000 >&$begun
sleep 0.1
limit 1000
{ printf '\r\n'; body_of 20000; } >&$begun
[ "$(answer $begun)" = 200 ] || fail "a request that had begun has the limits of the new configuration"
request $used 2000
[ "$(answer $used)" = 413 ] || fail "a kept connection has the limits of the configuration before the last one"
