. "$(dirname "$0")/lib.sh"
RECORD=/tmp/x/record.$1
: >"$RECORD"
MODE=$1 FOR_MS=${FOR_MS:-40000}
ZONES=$'hall-a = north\nhall-b = south\nhall-c = west'
zones=(hall-a hall-b hall-c)
find_ports 160
s=() n=0
for svc in desk s0 s1 s2 s3; do for i in 0 1 2; do s+=(--searcher "i-$svc-$i:$svc:${zones[i]}:$((PORT_BASE + 10 + n))"); n=$((n+1)); done; done
start_platform --store "$PORT_BASE" --slots 3 --queue 12 --work-ms ${WORK:-15} "${s[@]}"
echo "put config main /tmp/x/stress.json" >&7
for i in 0 1 2; do vm_start $i "front-$i" "${zones[i]}" "$PORT_BASE"; done
for i in 0 1 2; do wait_ready $i; done
sleep 6
P=(--port "$(vm_port 0)" --port "$(vm_port 1)" --port "$(vm_port 2)")
"$BIN/client" --name act "${P[@]}" --clients 60 --per-s 200 --for-ms $FOR_MS --deadline-ms 1500 --method POST --host desk.example --path /act/ >"$RUN/client.log" &
c1=$!
"$BIN/client" --name find "${P[@]}" --clients 60 --per-s 100 --for-ms $FOR_MS --deadline-ms 1500 --method GET --host desk.example --path /find/ >"$RUN/client2.log" &
c2=$!
PIDS+=($c1 $c2)
end=$(($(now_ms) + FOR_MS))
while [ "$(now_ms)" -lt "$end" ]; do
	v=$((RANDOM % 3)); pid=${VM_PID[$v]}
	case $MODE in
	stop) kill -STOP $pid; sleep 0.$((RANDOM % 10))$((RANDOM%10)); [ $((RANDOM % 4)) = 0 ] && sleep 1; kill -CONT $pid; sleep 0.$((RANDOM%10));;
	term) kill -TERM $pid; for t in $(seq 70); do kill -0 $pid 2>/dev/null || break; sleep 0.1; done; vm_start $v "front-$v" "${zones[v]}" "$PORT_BASE"; sleep 1.$((RANDOM%10));;
	kill) kill -KILL $pid;  sleep 0.$((RANDOM % 10)); vm_start $v "front-$v" "${zones[v]}" "$PORT_BASE"; sleep 1.$((RANDOM%10));;
	hup) kill -HUP $pid; sleep 0.0$((RANDOM%10));;
	esac
done
wait $c1; wait $c2
sleep 1
sort -n "$RUN/platform.log" "$RUN/client.log" "$RUN/client2.log" >"$RECORD"
mkdir -p /tmp/x/$MODE; cp $RUN/vm-*.log /tmp/x/$MODE/
echo "== $MODE"; awk '$2=="answered"{split($3,a,"-"); print a[1],$5}' "$RECORD" | sort | uniq -c
awk '$2 == "ran" && $3 ~ /^act/ {runs[$3]++}
	$2 == "answered" {status[$3] = $5; if ($3 ~ /^find/ && $5 == 200 && ($7 + $8 != 4)) print "MIXED", $0}
	END { for (id in runs) { if (runs[id] > 1) print "TWICE: " id " " runs[id] " " status[id];
			if (status[id] ~ /^(503|429|408|421)$/) print "REFUSED: " id " " status[id] } }' "$RECORD"
