# Actions go through six VMs while the platform loses answers, a VM is killed and another frozen; every
# caller repeats its key through the next VM at once. No key may run twice, and a caller who was told
# "not run" by both must find that nothing ran.
. tests/lib.sh
site_start brodnica || exit 1
send() { # vm key
	curl -s -m 5 -X POST -H "Idempotency-Key: $2" -H 'Request-Timeout-Ms: 1500' -d '{}' \
		"http://127.0.0.1:$((CALLERS_FROM + $1))/v1/services/reminder-sender/actions" | jq -r '.ran // "none"'
}
# One caller: a key through one VM, and at once again through the next.
caller() { # number
	local vm=$(($1 % 6)) key first second
	key=$(date +%s%3N)-caller-$1-key
	first=$(send $vm "$key") second=$(send $(((vm + 1) % 6)) "$key")
	echo "$key ${first:-none} ${second:-none}" >>"$RUN/told.txt"
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
yes=$(grep -c yes "$RUN/told.txt")
no=$(grep -c ' no no$' "$RUN/told.txt")
[ $ran -ge "$yes" ] || fail "$yes were told it ran, and $ran ran"
[ $ran -le $((60 - no)) ] || fail "$no of 60 were told twice that nothing ran, and $ran ran"
[ "$yes" -gt 20 ] || fail "only $yes of 60 ran: $(cat "$RUN/told.txt")"
