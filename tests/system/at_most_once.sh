# Actions are sent through six VMs while the platform loses replies, one VM is killed and another is suspended.
# Each caller immediately repeats its key through the next VM. No key may run twice, and if both VMs answer
# "not run", the action must not have run.
. tests/lib.sh
site_start brodnica || exit 1
send() { # vm key
	curl -s -m 5 -X POST -H "Idempotency-Key: $2" -H 'Request-Timeout-Ms: 1500' -d '{}' \
		"http://127.0.0.1:$((CALLERS_FROM + $1))/v1/services/reminder-sender/actions" | jq -r '.ran // "none"'
}
# One caller: sends a key through one VM, then immediately through the next.
caller() { # number
	local vm=$(($1 % 6)) key first second
	key=$(date +%s%3N)-caller-$1-key
	first=$(send $vm "$key") second=$(send $(((vm + 1) % 6)) "$key")
	echo "$key ${first:-none} ${second:-none}" >>"$RUN/answers.txt"
}
platform_control '{"lose_replies":6}' >/dev/null
pids=()
for ((i = 0; i < 60; i++)); do
	caller $i &
	pids+=($!)
	[ $i = 20 ] && kill -KILL "${VM_PID[${VMS[1]}]}"
	[ $i = 30 ] && kill -STOP "${VM_PID[${VMS[2]}]}"
	sleep 0.03
done
sleep 2
kill -CONT "${VM_PID[${VMS[2]}]}"
for pid in "${pids[@]}"; do wait "$pid"; done
sleep 1
ran=0
for name in "${!SEARCHER_CONTROL[@]}"; do
	[[ $name == reminder-sender-* ]] || continue
	[ "$(control "$name" '{}' | jq .actions_doubled)" = 0 ] || fail "$name ran a key twice"
	ran=$((ran + $(control "$name" '{}' | jq .actions)))
done
yes=$(grep -c yes "$RUN/answers.txt")
no=$(grep -c ' no no$' "$RUN/answers.txt")
[ $ran -ge "$yes" ] || fail "$yes callers were answered that the action ran, but only $ran ran"
[ $ran -le $((60 - no)) ] || fail "$no of 60 callers were answered twice that the action did not run, but $ran ran"
[ "$yes" -gt 20 ] || fail "only $yes of 60 ran: $(cat "$RUN/answers.txt")"
