# A stopping VM keeps callers' idle connections open, one after the other, until it ends: their next requests are lost.
. tests/front_lib.sh
USERS_ARGS="--work-ms 3000 --timeout-ms 4000"
IDLE=150
fronts_start 1
fds=()
for ((i = 0; i < IDLE; i++)); do
	exec {fd}<>"/dev/tcp/127.0.0.1/$FRONT_FROM"
	fds+=("$fd")
done
sleep 0.5 # a new connection is not idle yet
curl -s -m 5 -D "$RUN/head" -o /dev/null -X POST -H 'Host: get.example' -H 'Dogwoodsaddle-Request-Id: long' \
	-H 'Dogwoodsaddle-Request-Deadline: 4000' "http://127.0.0.1:$FRONT_FROM/get/act/x" &
long=$!
sleep 0.2
kill -TERM "${FRONT_PID[0]}"
sleep 1.5 # DRAIN_MS, and time to close them
kill -0 "${FRONT_PID[0]}" 2>/dev/null || fail "the VM has ended before its request"
open=0
for fd in "${fds[@]}"; do
	read -r -t 0.01 -u "$fd"
	[ $? -le 128 ] || open=$((open + 1)) # above 128: nothing arrived, not even the end
done
[ $open = 0 ] || fail "$open of $IDLE idle connections are still open"
wait $long
[ "$(status)" = 200 ] || fail "the request that was being answered: $(status)"
