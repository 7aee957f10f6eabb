#!/usr/bin/env bash
# The store turns one VM away while two versions of the configuration come: one moves a single-target route to another
# service, the next one names other shards. The VM hands its gathers over to others, so that its callers see the newest
# version in force; no later request to it may be handled as only an older version allows.
. "$(dirname "$0")/../lib.sh"
: >"$RECORD"
FOR_MS=24000 SLACK_MS=250
ZONES=$'zg-hall-a = zagreb\nst-hall-b = split\nos-hall-c = osijek'
names=(front-zg-hall-a-1 front-zg-hall-a-2 front-zg-hall-a-3 front-st-hall-b-1 front-st-hall-b-2 front-st-hall-b-3
	front-st-hall-b-4 front-os-hall-c-1 front-os-hall-c-2)
TAKER=6 # of the four VMs of its region three gather, as the searchers have 25 connections each for nine VMs
find_ports 220
searchers=()
n=0
for service in old-0 old-1 new-0 new-1 desk desk-b; do
	for zone in zg-hall-a st-hall-b os-hall-c; do
		searchers+=(--searcher "i-$service-$zone:$service:$zone:$((PORT_BASE + 10 + n))")
		n=$((n + 1))
	done
done
start_platform --store "$PORT_BASE" --store $((PORT_BASE + 1)) --slots 4 --queue 12 --work-ms 10 "${searchers[@]}"
echo "put config main $CASE/version-1.json" >&7
for i in "${!names[@]}"; do
	zone=${names[i]#front-}
	vm_start "$i" "${names[i]}" "${zone%-*}" $((PORT_BASE + (i == TAKER)))
done
for i in "${!names[@]}"; do wait_ready "$i"; done
sleep 20
client() { # name path
	"$BIN/client" --name "$1" --port "$(vm_port $TAKER)" --clients 10 --per-s 40 --for-ms $FOR_MS --deadline-ms 800 --method GET \
		--host desk.example --path "$2" >"$RUN/client-$1.log" &
	PIDS+=($!)
	clients+=($!)
}
clients=()
client find /find/
client get /get/
sleep 10
[ "$TROUBLE" = 0 ] || echo "silent 1" >&7
sleep 0.2
echo "put config main $CASE/version-3.json" >&7
sleep 0.4
echo "put config main $CASE/version-6.json" >&7
sleep 4.4
echo "open 1" >&7
wait "${clients[@]}"
sort -n -s -k1,1 "$RUN/platform.log" "$RUN"/client-*.log >"$RECORD"
[ "$(grep -c ' answered .* 200 ' "$RECORD")" -gt 500 ] || cannot_run "hardly any request was answered"
# From the first run at a new shard, of a request that this VM's caller sent, nothing may run at the service of version 1.
awk -v slack=$SLACK_MS '$2 == "acknowledged" {print $0}
	$2 == "sent" {sent[$3] = $1}
	$2 == "ran" && $5 ~ /^new-/ && !seen {seen = $1; print "the VM\x27s caller sees version 6: " $3 " runs at " $5 " at " $1}
	$2 == "ran" && $5 == "desk" && seen && sent[$3] > seen + slack {
		if (!broken++) first = $3 " was sent " sent[$3] - seen " ms after that and ran at the service of version 1"
		last = sent[$3] - seen
	}
	END {
		if (broken) print "CONFIG: " first "; " broken " requests in all, the last one " last " ms after"
		exit broken > 0
	}' "$RECORD" >"$RUN/verdict"
broken=$?
tee -a "$RECORD" <"$RUN/verdict"
exit $broken
