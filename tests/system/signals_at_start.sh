# Guards against signals that end a VM while it starts: a SIGHUP must not, and after a SIGTERM it ends with 0. Its settings
# come through a pipe, so that the signal arrives before it has read them.
. tests/front_lib.sh
fronts_start 1
kill -KILL "${FRONT_PID[0]}"
wait "${FRONT_PID[0]}" 2>/dev/null
cp "$RUN/front-0.ini" "$RUN/settings"
# Starts VM 0, sends it a signal while it waits for its settings, and writes them.
start_with() { # signal
	rm "$RUN/front-0.ini"
	mkfifo "$RUN/front-0.ini"
	"$BUILD/dogwoodsaddled" --config "$RUN/front-0.ini" >>"$RUN/front-0.log" 2>&1 &
	FRONT_PID[0]=$!
	PIDS+=($!)
	exec 3>"$RUN/front-0.ini" # waits until the VM opens the pipe
	kill "-$1" "${FRONT_PID[0]}"
	cat "$RUN/settings" >&3
	exec 3>&-
}
start_with HUP
timeout 2 cp "$RUN/settings" "$RUN/front-0.ini" || fail "the VM does not read its settings again after SIGHUP"
mv "$RUN/settings" "$RUN/front-0.ini"
cp "$RUN/front-0.ini" "$RUN/settings"
wait_until is_ready 0 || fail "a VM that got SIGHUP while it started does not run"
kill -KILL "${FRONT_PID[0]}"
wait "${FRONT_PID[0]}" 2>/dev/null
start_with TERM
wait "${FRONT_PID[0]}" || fail "a VM that got SIGTERM while it started ends with status $?"
