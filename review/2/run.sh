#!/usr/bin/env bash
# A VM gets SIGTERM, three times in a row, while its callers send actions that busy searchers answer after 1.3 to 3 s,
# with 15 s to the deadline. What it takes later than 3 s after the signal it must answer, or refuse before any searcher
# has it.
. "$(dirname "$0")/../lib.sh"
: >"$RECORD"
FOR_MS=66000 PER_S=20 WORK_MS=1300
ZONES=$'hall-a = north\nhall-b = south\nhall-c = west'
zones=(hall-a hall-b hall-c)
find_ports 160
searchers=()
for i in 0 1 2 3 4 5 6 7; do searchers+=(--searcher "i-desk-$i:desk:${zones[i % 3]}:$((PORT_BASE + 10 + i))"); done
start_platform --store "$PORT_BASE" --slots 3 --queue 12 --work-ms $WORK_MS "${searchers[@]}"
echo "put config main $CASE/config.json" >&7
for i in 0 1 2; do vm_start $i "front-$i" "${zones[i]}" "$PORT_BASE"; done
for i in 0 1 2; do wait_ready $i; done
sleep 8
# VM 0 is the only one of its zone, so that new connections come to it as long as it runs.
"$BIN/client" --name visit --port "$(vm_port 0)" --clients 100 --per-s $PER_S --for-ms $FOR_MS --deadline-ms 15000 \
	--method POST --host desk.example --path /visit/ >"$RUN/client.log" &
client=$!
PIDS+=($client)
# Sends SIGTERM to VM 0, waits until it has ended, kills it after the grace time, and starts it again.
stop_vm() {
	local from
	from=$(now_ms)
	note "SIGTERM"
	kill -TERM "${VM_PID[0]}"
	while kill -0 "${VM_PID[0]}" 2>/dev/null && [ $(($(now_ms) - from)) -lt 6000 ]; do sleep 0.02; done
	note "ended"
	kill -KILL "${VM_PID[0]}" 2>/dev/null
	vm_start 0 front-0 hall-a "$PORT_BASE"
}
for round in 1 2 3; do
	sleep 14
	[ "$TROUBLE" = 0 ] || stop_vm
done
wait $client
sort -n "$RUN/platform.log" "$RUN/client.log" "$RECORD" >"$RUN/all" && cp "$RUN/all" "$RECORD"
[ "$(grep -c ' answered visit-.* 200 ' "$RECORD")" -gt 50 ] || cannot_run "hardly any action was answered"
# Counted: sent later than 3 s after the signal, run by a searcher, and the connection ended without an answer.
awk '$2 == "SIGTERM" {term = $1}
	$2 == "sent" {sent[$3] = $1}
	$2 == "ran" {ran[$3] = $1}
	$2 == "answered" && $5 == 0 && ran[$3] {
		if (sent[$3] - term <= 3000) {excused++; next}
		print "LOST: " $3 " was sent " sent[$3] - term " ms after SIGTERM, ran from " ran[$3] - term " ms on, and its connection ended at " $1 - term " ms"
		lost++
	}
	END {print excused + 0 " cut actions were sent no later than 3 s after SIGTERM: not counted"; exit lost > 0}' "$RECORD" >"$RUN/verdict"
broken=$?
tee -a "$RECORD" <"$RUN/verdict"
exit $broken
