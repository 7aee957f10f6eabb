# A VM exceeds its memory, or serves nobody any more, because searchers or the store answer without end, in a head or a body,
# fast or a byte at a time. Each gather is answered within its time, and the VM stays ready.
. tests/front_lib.sh
MEMORY_MB=160 # of the smallest VMs
front_size() { echo "memory_mb = $MEMORY_MB"; }
GATHERS=300 DEADLINE_MS=2000 LATE_MS=500
STORE_PROXY=$((PORT_BASE + 5)) STORE_ENDPOINT=$((PORT_BASE + 6))
"$BUILD/standin-proxy" "$STORE_PROXY" "$STORE_ENDPOINT:$STORE" >>"$RUN/proxy.log" 2>&1 &
PIDS+=($!)
STORE_OF=("$STORE_ENDPOINT")
fronts_start_behind_proxy 1
endless() { curl -s -m 2 "http://127.0.0.1:$SEARCHERS_PROXY/do?endless=$1&bad=${2:-4}&slow=${3:-0}" >/dev/null; }
endless_store() { curl -s -m 2 "http://127.0.0.1:$STORE_PROXY/do?endless=$1" >/dev/null; }
begin_peak() { echo 5 >"/proc/${FRONT_PID[0]}/clear_refs"; }
memory_mb() { awk '/VmHWM/ {print int($2 / 1024)}' "/proc/${FRONT_PID[0]}/status"; }

# gathers NAME: sends gathers at once; prints the status and the time of each.
gathers() {
	local i
	for ((i = 0; i < GATHERS; i++)); do
		[ $i = 0 ] || echo next
		printf 'url = "http://127.0.0.1:%d/find/x"\nmax-time = 5\noutput = /dev/null\n' "$FRONT_FROM"
		printf 'header = "Host: find.example"\nheader = "Dogwoodsaddle-Request-Id: %s-%d"\n' "$1" $i
		printf 'header = "Dogwoodsaddle-Request-Deadline: %d"\nwrite-out = "%%{http_code} %%{time_total}\\n"\n' $DEADLINE_MS
	done >"$RUN/gathers"
	curl -s --no-progress-meter -Z --parallel-immediate --parallel-max $GATHERS -K "$RUN/gathers"
}
stay_ready() {
	local status
	while [ -e "$RUN/playing" ]; do
		status=$(curl -s -m 0.$LATE_MS -o /dev/null -w '%{http_code}' "http://127.0.0.1:$((FRONT_FROM + 1))/ready")
		[ "$status" = 200 ] || echo "not ready: $status"
		sleep 0.05
	done
}
# play KIND BAD SLOW: the first BAD searchers answer 300 gathers so.
play() {
	local what="$*" ready_pid
	endless "$@"
	begin_peak
	touch "$RUN/playing"
	stay_ready >"$RUN/not-ready" &
	ready_pid=$!
	gathers "$1-$2-$3" >"$RUN/answers"
	rm "$RUN/playing"
	wait $ready_pid
	endless ''
	echo "$what: $(memory_mb) MB, $(awk '{n[$1]++; if ($2 > t) t = $2} END {for (s in n) printf "%s: %d, ", s, n[s]; print "at most " t " s"}' "$RUN/answers")"
	kill -0 "${FRONT_PID[0]}" || fail "$what: the VM has ended"
	[ "$(memory_mb)" -le $MEMORY_MB ] || fail "$what: $(memory_mb) MB of $MEMORY_MB"
	[ ! -s "$RUN/not-ready" ] || fail "$what: $(sort "$RUN/not-ready" | uniq -c)"
	[ "$(wc -l <"$RUN/answers")" = $GATHERS ] || fail "$what: $(wc -l <"$RUN/answers") answers to $GATHERS gathers"
	awk -v most=$((DEADLINE_MS + LATE_MS)) '$1 == 0 || $2 * 1000 > most {bad = 1} END {exit bad}' "$RUN/answers" ||
		fail "$what: $(sort "$RUN/answers" | tail -n 3)"
	sleep 1 # until the searchers are no longer avoided
}
for kind in interim head length unframed chunks extension trailers garbage; do
	play $kind 1 0 # one searcher
	play $kind 4 0 # one of each service
	play $kind 4 1
done
# The store: callers are served by what the VM knows, and a change is in force once the store answers again.
version=1
is_configured() { all_configured $version 1; }
for kind in interim length unframed chunks; do
	version=$((version + 1))
	begin_peak
	endless_store $kind
	users configure '' $version >/dev/null
	for ((i = 0; i < 30; i++)); do
		find_all "store-$kind-$i" >/dev/null
		[ "$(status)" = 200 ] || fail "while the store answers without end ($kind): $(cat "$RUN/head")"
		sleep 0.1
	done
	[ "$(memory_mb)" -le $MEMORY_MB ] || fail "while the store answers without end ($kind): $(memory_mb) MB of $MEMORY_MB"
	endless_store ''
	wait_until is_configured || fail "version $version is not in force after the store has answered without end ($kind)"
done
holds_no_replies() { [ "$(metric replies_bytes)" = 0 ]; }
wait_until holds_no_replies || fail "$(metric replies_bytes) bytes of replies remain"
grep -q 'event=reply-cut searcher=i-shard-0-here in=head bytes=' "$RUN/front-0.log" || fail "no head was cut"
grep -q 'event=reply-cut searcher=i-shard-0-here in=body bytes=' "$RUN/front-0.log" || fail "no body was cut"

# An action whose searcher answers so may have run: its caller gets 502, and the searcher elsewhere doesn't get it.
endless unframed
attempt 0 get.example /get/act/x -X POST -d body
[ "$(status)" = 502 ] || fail "an action: $(cat "$RUN/head")"
[ "$(users none | jq '.posted | length')" = 0 ] || fail "an action was sent again: $(users none | jq -c .posted)"
processes_are_sound
