#!/usr/bin/env bash
# Two searchers of four spoil some of their answers: one byte of the status code is wrong. Callers may get a failure, but
# never bytes that are no answer, and none that belong to the answer before.
. "$(dirname "$0")/../lib.sh"
: >"$RECORD"
FOR_MS=40000 SPOILED_PERCENT=5
ZONES=$'hall-a = north\nhall-b = south\nhall-c = west'
zones=(hall-a hall-b hall-c)
find_ports 160
start_platform --store "$PORT_BASE" --slots 4 --queue 12 --work-ms 30 \
	--searcher "i-desk-0:desk:hall-a:$((PORT_BASE + 10)):faulty" \
	--searcher "i-desk-1:desk:hall-b:$((PORT_BASE + 11)):faulty" \
	--searcher "i-desk-2:desk:hall-c:$((PORT_BASE + 12))" \
	--searcher "i-desk-3:desk:hall-a:$((PORT_BASE + 13))"
echo "put config main $CASE/config.json" >&7
for i in 0 1 2; do vm_start $i "front-$i" "${zones[i]}" "$PORT_BASE"; done
for i in 0 1 2; do wait_ready $i; done
sleep 8
clients=()
client() { # name method
	"$BIN/client" --name "$1" --port "$(vm_port 0)" --port "$(vm_port 1)" --port "$(vm_port 2)" --clients 40 --per-s 200 \
		--for-ms $FOR_MS --deadline-ms 2500 --method "$2" --host desk.example --path "/$1/" >"$RUN/client-$1.log" &
	PIDS+=($!)
	clients+=($!)
}
client act POST
client get GET
end=$(($(now_ms) + FOR_MS))
while [ "$(now_ms)" -lt "$end" ]; do
	[ "$TROUBLE" = 0 ] || echo "spoil $SPOILED_PERCENT" >&7
	sleep 5
	echo "spoil 0" >&7
	sleep 1
done
wait "${clients[@]}"
sort -n -s -k1,1 "$RUN/platform.log" "$RUN"/client-*.log >"$RECORD"
[ "$(grep -c ' answered .* 200 ' "$RECORD")" -gt 1000 ] || cannot_run "hardly any request was answered"
grep -a ' garbage ' "$RECORD" | sed 's/^\([0-9]*\) garbage \([^ ]*\) \([0-9]*\)/MIXED: the caller of \2 gets bytes that are no answer:/' >"$RUN/verdict"
tee -a "$RECORD" <"$RUN/verdict"
[ ! -s "$RUN/verdict" ]
