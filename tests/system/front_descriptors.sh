# Guards against a VM without descriptors: it accepted no connection, kept a processor busy with the one that waited, and
# had none left for searchers. Callers' connections take three quarters of them; beyond that the one that has been idle
# the longest makes room, or the new one is closed at once.
. tests/front_lib.sh
DESCRIPTORS=120 CALLERS_MAX=90
front_start() { # index
	front_settings "$1"
	(ulimit -n $DESCRIPTORS && exec "$BUILD/dogwoodsaddled" --config "$RUN/front-$1.ini") >>"$RUN/front-$1.log" 2>&1 &
	FRONT_PID[$1]=$!
	PIDS+=($!)
}
fronts_start 1
# Opens connections to a port, and sends the given bytes on each.
OPEN=()
open_connections() { # count port bytes
	local i fd
	for ((i = 0; i < $1; i++)); do
		{ exec {fd}<>"/dev/tcp/127.0.0.1/$2"; } 2>/dev/null || continue
		{ [ -z "$3" ] || printf '%s' "$3" >&"$fd"; } 2>/dev/null
		OPEN+=("$fd")
	done
}
close_connections() {
	local fd
	for fd in "${OPEN[@]}"; do exec {fd}>&-; done
	OPEN=()
}
used_ms() { awk -v per_s="$(getconf CLK_TCK)" '{print int(($14 + $15) * 1000 / per_s)}' "/proc/${FRONT_PID[0]}/stat"; }

# Idle connections make room for callers with requests.
open_connections 150 "$FRONT_FROM" ''
sleep 0.5
[ "$(metric caller_connections 0)" -le $CALLERS_MAX ] || fail "$(metric caller_connections 0) connections of callers"
[ "$(metric caller_connections_refused_total 0)" -ge 60 ] || fail "$(metric caller_connections_refused_total 0) connections were closed for the limit"
for ((n = 0; n < 5; n++)); do
	attempt 0 get.example /get/x
	[ "$(status)" = 200 ] || fail "a caller is not served beside idle connections: status $(status)"
done
close_connections

# Sends requests on new connections, which must be closed at once, and checks that the VM is not busy with them.
are_closed_at_once() {
	local before start n code
	before=$(used_ms) start=$(now_ms)
	for ((n = 0; n < 5; n++)); do
		curl -s -m 3 -o /dev/null "http://127.0.0.1:$FRONT_FROM/get/x"
		code=$?
		[ $code != 28 ] || fail "a connection is neither served nor closed while there are too many $1"
	done
	[ $(($(now_ms) - start)) -lt 3000 ] || fail "five connections took $(($(now_ms) - start)) ms while there are too many $1"
	sleep 1
	[ $(($(used_ms) - before)) -lt 900 ] || fail "the VM used $(($(used_ms) - before)) ms of processor time while there are too many $1"
}
served() { attempt 0 get.example /get/x && [ "$(status)" = 200 ]; }

# Connections whose requests are not complete are not idle.
open_connections 150 "$FRONT_FROM" 'GET /get/x HTTP/1.1'
are_closed_at_once "of callers"
is_ready 0 || fail "the VM is not ready while callers have many connections"
close_connections
wait_until served || fail "the VM does not serve after callers have closed their connections"

# Connections for metrics and probes have a limit of their own.
open_connections 150 $((FRONT_FROM + 2)) ''
are_closed_at_once "for metrics"
[ -n "$(metric caller_connections 0)" ] || fail "no metrics while there are too many connections for them"
close_connections

# All descriptors are in use, by connections that are not callers'.
open_connections 150 $((FRONT_FROM + 4)) ''
are_closed_at_once "of other VMs"
close_connections
wait_until served || fail "the VM does not serve after descriptors have become free"
grep -q 'event=connections-refused reason=descriptors' "$RUN/front-0.log" || fail "the log does not say that descriptors were missing"
