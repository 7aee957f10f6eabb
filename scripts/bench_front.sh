#!/usr/bin/env bash
# Measures the processor time a sub-request and the memory of a daemon that forwards by routes. Load: pipelined gathers
# over 16 shards on four connections. The searchers are those of the stand-in for the users' platform.
set -u
cd "$(dirname "$0")/.."
PORT_BASE=${PORT_BASE:-14000} DRAIN_MS=100
. tests/front_lib.sh
USERS_ARGS='--shards 16 --work-ms 2' fronts_start 1
ticks() { awk '{print $14 + $15}' "/proc/${FRONT_PID[0]}/stat"; }
requests=${REQUESTS:-1000}
for ((i = 0; i < requests; i++)); do
	printf 'GET /find/x HTTP/1.1\r\nHost: find.example\r\nDogwoodsaddle-Request-Id: r%d\r\n\r\n' "$i"
done >"$RUN/requests"
before=$(ticks)
loads=()
for connection in 1 2 3 4; do
	(exec 3<>"/dev/tcp/127.0.0.1/$FRONT_FROM"; cat "$RUN/requests" >&3 & timeout 60 grep -a -m "$requests" -c 'HTTP/1.1 200' <&3 >"$RUN/got.$connection") &
	loads+=($!)
done
wait "${loads[@]}"
after=$(ticks)
subs=$(metric 'sub_requests_total{purpose="first"}')
echo "front daemon: $(((after - before) * 1000000 / $(getconf CLK_TCK) / subs)) us of processor time a sub-request ($subs sub-requests, $(cat "$RUN"/got.* | paste -sd+ | bc 2>/dev/null || cat "$RUN"/got.* | tr '\n' ' ') complete answers)"
grep -E 'VmHWM|RssAnon' "/proc/${FRONT_PID[0]}/status" | tr -s '\t ' ' ' | sed 's/^/front daemon: /'
