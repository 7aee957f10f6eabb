# Guards against an answer that the end of a process cuts off, at the product's own interface: near its end a VM refuses
# requests whose deadline is later, as not run, and serves those whose deadline is earlier.
GRACE_S=4
. tests/lib.sh
site_start brodnica || exit 1
C=http://127.0.0.1:$CALLERS_FROM/v1/services/checklist-board/search
sent=0
# Sends a search with a deadline and prints its status; fails when there is no answer.
search() { # timeout_ms
	curl -s -m 8 -o "$RUN/body" -w '%{http_code}' -X POST -H "Request-Timeout-Ms: $1" -d '{"text":""}' "$C"
}
[ "$(search 2000)" = 200 ] || fail "not served: $(cat "$RUN/body")"
kill -TERM "${VM_PID[${VMS[0]}]}"
until [ "$(search 2000)" = 503 ]; do
	sent=$((sent + 1))
	[ $sent -lt 300 ] || fail "no request is refused"
	sleep 0.1
done
[ $sent -gt 0 ] || fail "a request right after SIGTERM is refused: $(cat "$RUN/body")"
jq -e '.type == "no-time" and .ran == "no"' "$RUN/body" >/dev/null || fail "not refused as not run: $(cat "$RUN/body")"
[ "$(search 300)" = 200 ] || fail "a short request is refused, too: $(cat "$RUN/body")"
wait "${VM_PID[${VMS[0]}]}" || fail "the VM exited with $?"
