#!/usr/bin/env bash
# Connections to the store go silent, just after the operator has made a change, while new ones work. Meanwhile a
# searcher's entry is removed; it goes on serving for a while. From the moment at which the VMs are in touch again, they
# may send it nothing more.
. "$(dirname "$0")/../lib.sh"
: >"$RECORD"
FOR_MS=30000 DRAIN_MS=3000 SETTLE_MS=5000
ZONES=$'hall-a = north\nhall-b = south\nhall-c = west'
zones=(hall-a hall-b hall-c)
find_ports 160
searchers=()
for i in 0 1 2 3 4 5; do searchers+=(--searcher "i-desk-$i:desk:${zones[i % 3]}:$((PORT_BASE + 10 + i))"); done
start_platform --store "$PORT_BASE" --slots 4 --queue 12 --work-ms 20 "${searchers[@]}"
echo "put config main $CASE/version-1.json" >&7
for i in 0 1 2; do vm_start $i "front-$i" "${zones[i]}" "$PORT_BASE"; done
for i in 0 1 2; do wait_ready $i; done
sleep 10
"$BIN/client" --name get --port "$(vm_port 0)" --port "$(vm_port 1)" --port "$(vm_port 2)" --clients 30 --per-s 150 \
	--for-ms $FOR_MS --deadline-ms 2500 --method GET --host desk.example --path /get/ >"$RUN/client.log" &
client=$!
PIDS+=($client)
sleep 14
# Planned: one searcher of the service leaves after the other, and the configuration changes.
echo "state i-desk-0 draining" >&7
sleep 0.6
echo "put config main $CASE/version-3.json" >&7
sleep 0.6
[ "$TROUBLE" = 0 ] || echo "mute 0" >&7
sleep 2
echo "remove servers i-desk-1" >&7
wait $client
sort -n -s -k1,1 "$RUN/platform.log" "$RUN/client.log" >"$RECORD"
[ "$(grep -c ' answered get-.* 200 ' "$RECORD")" -gt 500 ] || cannot_run "hardly any request was answered"
# Counted: taken by a VM in touch, and run by the searcher later than DRAIN_MS after its removal was acknowledged.
awk -v drain=$DRAIN_MS -v settle=$SETTLE_MS '$2 == "store-port" {muted = $1}
	$2 == "acknowledged" && $3 == "servers/i-desk-1" {removed = $1}
	$2 == "sent" {sent[$3] = $1}
	$2 == "ran" && $4 == "i-desk-1" && removed && $1 > removed + drain && (!muted || sent[$3] > muted + settle) {
		if (!broken++) first = $1 - removed
		last = $1 - removed
	}
	END {
		if (broken) print "DRAIN: " broken " requests reached i-desk-1 " first " to " last " ms after its removal was acknowledged, sent later than " settle " ms after the connections went silent"
		exit broken > 0
	}' "$RECORD" >"$RUN/verdict"
broken=$?
tee -a "$RECORD" <"$RUN/verdict"
exit $broken
