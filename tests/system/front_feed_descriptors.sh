# A fed VM ends, reported by the sanitizers only, when it loses its feeder while it has no descriptor to connect to the next one.
. tests/front_lib.sh
fronts_start 7
fed_vm() { local i; for ((i = 0; i < 7; i++)); do [ "$(metric store_is_fed "$i")" = 1 ] && echo "$i" && return; done; return 1; }
wait_until fed_vm >/dev/null || fail "no VM is fed"
vm=$(fed_vm)
feeder=$(grep -o 'event=feed-taken vm=front-[0-9]' "$RUN/front-$vm.log" | tail -n 1 | grep -o '[0-9]$')
hard=$(awk '/Max open files/ {print $5}' "/proc/${FRONT_PID[$vm]}/limits")
prlimit --pid "${FRONT_PID[$vm]}" --nofile=3:"$hard"
kill -KILL "${FRONT_PID[$feeder]}"
sleep 1
processes_are_sound
kill -0 "${FRONT_PID[$vm]}" || fail "VM $vm has ended: $(tail -n 3 "$RUN/front-$vm.log")"
grep -q 'event=feed-lost ' "$RUN/front-$vm.log" || fail "VM $vm has not lost its feed"
prlimit --pid "${FRONT_PID[$vm]}" --nofile="$hard":"$hard"
users configure '' 5 >/dev/null
is_configured() { [ "$(metric configuration_version "$vm")" = 5 ]; }
wait_until is_configured || fail "VM $vm has version $(metric configuration_version "$vm"), not 5, with descriptors again"
