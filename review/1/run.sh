#!/usr/bin/env bash
# Actions (non_idempotent) are sent to a service of three searchers. The route's allowed region has one of them, which
# for five seconds at a time refuses some requests with Dogwoodsaddle-Not-Executed and sends some of its answers twice,
# the second copy late. No action may run twice, and none that is answered 503 may have run.
. "$(dirname "$0")/../lib.sh"
: >"$RECORD"
FOR_MS=78000 PER_S=40 REFUSED_PERCENT=40 EXTRA_PERCENT=3
ZONES=$'hall-a = north\nhall-b = south\nhall-c = west'
zones=(hall-a hall-b hall-c)
find_ports 160
start_platform --store "$PORT_BASE" --slots 3 --queue 12 --work-ms 60 \
	--searcher "i-desk-0:desk:hall-a:$((PORT_BASE + 10)):faulty" \
	--searcher "i-desk-1:desk:hall-b:$((PORT_BASE + 11))" \
	--searcher "i-desk-2:desk:hall-c:$((PORT_BASE + 12))"
echo "put config main $CASE/config.json" >&7
for i in 0 1 2; do vm_start $i "front-$i" "${zones[i]}" "$PORT_BASE"; done
for i in 0 1 2; do wait_ready $i; done
sleep 8
"$BIN/client" --name act --port "$(vm_port 0)" --port "$(vm_port 1)" --port "$(vm_port 2)" --clients 60 --per-s $PER_S \
	--for-ms $FOR_MS --deadline-ms 1000 --method POST --host desk.example --path /act/ >"$RUN/client.log" &
client=$!
PIDS+=($client)
end=$(($(now_ms) + FOR_MS))
while [ "$(now_ms)" -lt "$end" ]; do
	[ "$TROUBLE" = 0 ] || printf 'shed %d\nextra %d\n' $REFUSED_PERCENT $EXTRA_PERCENT >&7
	sleep 5
	printf 'shed 0\nextra 0\n' >&7
	sleep 1
done
wait $client
sleep 1
sort -n "$RUN/platform.log" "$RUN/client.log" >>"$RECORD"
[ "$(grep -c ' answered act-.* 200 ' "$RECORD")" -gt 100 ] || cannot_run "hardly any action was answered"
awk '$2 == "ran" {runs[$3]++}
	$2 == "answered" {status[$3] = $5}
	END {
		for (id in runs) {
			if (runs[id] > 1) {print "TWICE: " id " ran " runs[id] " times and was answered " status[id]; broken++}
			if (status[id] ~ /^(503|429|408|421)$/) {print "REFUSED: " id " was answered " status[id] " and ran"; broken++}
		}
		exit broken > 0
	}' "$RECORD" >"$RUN/verdict"
broken=$?
tee -a "$RECORD" <"$RUN/verdict"
exit $broken
