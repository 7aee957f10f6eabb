# Callers that wait in a gatherer's full queue must not be left waiting when that VM is killed: neither those connected to
# it nor those whose VM handed their requests over to it. Here 80 callers send gathers without a pause where searchers
# complete 100 a second; half of them send to a VM that hands over, half to one of its two gatherers, which is killed. Each
# caller whose request was outstanding gets a final answer well before its deadline, or a closed connection, and then is
# served when it asks again at another VM.
. tests/front_lib.sh
USERS_ARGS='--work-ms 40 --queue 25'
DEADLINE_MS=1500 IN_TIME_S=1.4 CALLERS=80
front_size() { [ "$1" = 0 ] && printf 'link_mbps = 20\ncores = 1\ncore_share = 0.1\n' || printf 'link_mbps = 200\ncores = 1\ncore_share = 0.5\n'; }
fronts_start 3
has_gatherers() { [ "$(metric dogwoodsaddle_gatherers 0)" = 2 ]; }
wait_until has_gatherers || fail "VM 0 has $(metric dogwoodsaddle_gatherers 0) gatherers"
sleep 1
# Sends a gather and sets $code, $took_s, $retry_after, $started and $ended.
ask() { # caller id vm
	started=$(now_ms)
	: >"$RUN/h.$1"
	read -r code took_s < <(curl -s -m 5 -D "$RUN/h.$1" -o /dev/null -w '%{http_code} %{time_total}\n' -H 'Host: find.example' -H "Dogwoodsaddle-Request-Id: $2" \
		-H "Dogwoodsaddle-Request-Deadline: $DEADLINE_MS" "http://127.0.0.1:$((FRONT_FROM + 10 * $3))/find/x")
	ended=$(now_ms)
	retry_after=$(tr -d '\r' <"$RUN/h.$1" | grep -i '^Retry-After:' | cut -d' ' -f2)
}
# Asks until the gatherer has been killed, and writes a line "VM STATUS SECONDS RETRY_AFTER" for the
# request outstanding then. If its connection was closed, asks VM 2 up to five times.
caller() { # number vm
	local n=0 vm=$2 killed
	while [ ! -e "$RUN/killed" ]; do
		n=$((n + 1))
		ask "$1" "c$1-$n" "$vm"
		[ -z "$retry_after" ] || [ -e "$RUN/killed" ] || sleep "$retry_after"
	done
	killed=$(cat "$RUN/killed")
	[ "$started" -lt "$killed" ] && [ "$ended" -ge "$killed" ] || return
	echo "$vm $code $took_s $retry_after" >>"$RUN/answers"
	[ "$vm $code" = '1 000' ] || return
	for n in 1 2 3 4 5; do
		ask "$1" "again$1-$n" 2
		[ "$code" != 200 ] || break
		sleep "${retry_after:-0.1}"
	done
	echo "$code" >>"$RUN/again"
}
asking=()
for ((i = 0; i < CALLERS; i++)); do caller $i $((i % 2)) & asking+=($!); done
sleep 2
now_ms >"$RUN/killing"
kill -KILL "${FRONT_PID[1]}"
mv "$RUN/killing" "$RUN/killed"
wait "${asking[@]}"
counts=$(awk '{n[$1 " " $2]++} END {for (k in n) printf "%s: %d, ", k, n[k]}' "$RUN/answers")
lost=$(grep -c '^1 000 ' "$RUN/answers")
[ "$lost" -ge 5 ] || fail "only $lost callers waited at the gatherer when it was killed (VM and status: $counts)"
bad=$(awk -v limit=$IN_TIME_S '($3 > limit && $2 != 200) || $2 !~ /^(200|502|503|000)$/ || ($2 == "000" && $1 != 1) || ($2 == 503 && $4 == "")' "$RUN/answers")
[ -z "$bad" ] || fail "$(wc -l <<<"$bad") callers got no final answer in time (VM and status: $counts), such as $(head -n 3 <<<"$bad")"
[ "$(grep -c 200 "$RUN/again")" = "$lost" ] || fail "not served when they asked again: $(sort "$RUN/again" | uniq -c | xargs)"
