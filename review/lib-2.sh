# Sourced by the scripts of the cases 4 and later. Starts the stand-in for the users' platform and
# daemons on loopback, with settings like those of brodnica-search, and runs the callers.
#
# Ports from $BASE on: 0 the store, 1 the stand-in's control port, 100 to 149 the searchers, and for
# each VM from 200 + 10 n on: callers, ready, metrics, gather (after metrics), and feed (5).
CASE_DIR=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
cd "$CASE_DIR/../.." || exit 2
DAEMON=target/dogwoodsaddled STANDINS=build-review-2 TROUBLE=${TROUBLE:-1}
RUN=$(mktemp -d) PIDS=() VM_PIDS=()

stop_all() {
	local pid
	for pid in "${PIDS[@]}"; do kill -CONT "$pid" && kill -KILL "$pid"; done 2>/dev/null
	wait 2>/dev/null
	rm -rf "$RUN"
}
trap stop_all EXIT
cannot_run() { echo "cannot run: $1" | tee -a "$CASE_DIR/record.txt"; exit 2; }

[ -x $DAEMON ] || { echo "cannot run: $DAEMON is missing" >&2; exit 2; }
[ -x $STANDINS/caller ] && [ -x $STANDINS/standin-users-platform ] || { echo "cannot run: review/build-2.sh" >&2; exit 2; }
: >"$CASE_DIR/record.txt"
for _ in {1..50}; do
	BASE=$((10000 + RANDOM % 210 * 100))
	$STANDINS/caller free $BASE 300 && break
	BASE=
done
[ -n "$BASE" ] || cannot_run "no free ports"

# platform_start OPTION...: the stand-in for the store and the searchers.
platform_start() {
	$STANDINS/standin-users-platform --store "$BASE" --control $((BASE + 1)) --searchers $((BASE + 100)) "$@" \
		>"$RUN/platform.log" 2>&1 &
	PIDS+=($!)
	sleep 1
}

# vms_start COUNT: the daemons, with the settings that platform/settings.ini.in yields.
vms_start() {
	local i at
	for ((i = 0; i < $1; i++)); do
		at=$((BASE + 200 + 10 * i))
		cat >"$RUN/vm-$i.ini" <<-INI
			[vm]
			name = front-here-$i
			data_centre = here
			link_mbps = 1000.0
			cores = 1
			core_share = 0.25
			[front]
			callers = 127.0.0.1:$at
			ready = 127.0.0.1:$((at + 1))
			metrics = 127.0.0.1:$((at + 2))
			feed = 127.0.0.1:$((at + 5))
			store = 127.0.0.1:$BASE
			[regions]
			here = one
			there = two
			[retries]
			ratio = 0.2
			constant = 52
			window_s = 10
			[admission]
			enabled = yes
			[store]
			apply_ms = 3000
			leave_ms = 3000
			settle_ms = 5000
			[stop]
			grace_s = 6
		INI
		DOGWOODSADDLE_CONFIG=$RUN/vm-$i.ini $DAEMON >"$RUN/vm-$i.log" 2>&1 &
		VM_PIDS+=($!)
		PIDS+=($!)
	done
	for ((i = 0; i < $1; i++)); do
		for _ in {1..100}; do
			$STANDINS/caller ready $((BASE + 201 + 10 * i)) && continue 2
			sleep 0.1
		done
		cannot_run "VM $i is not ready: $(tail -n 2 "$RUN/vm-$i.log")"
	done
}

# Ends the daemons, so that vms_start can start them anew.
vms_stop() {
	kill -KILL "${VM_PIDS[@]}" 2>/dev/null
	wait "${VM_PIDS[@]}" 2>/dev/null
	VM_PIDS=()
}

# callers_run CASE: the callers and the operator; returns their verdict.
callers_run() {
	local verdict i
	timeout 55 $STANDINS/caller "$1" "$BASE" "$TROUBLE" "${VM_PIDS[@]}" >>"$CASE_DIR/record.txt" 2>&1
	verdict=$?
	[ $verdict -le 2 ] || cannot_run "the callers ended with $verdict"
	{
		echo
		for i in "${!VM_PIDS[@]}"; do
			kill -0 "${VM_PIDS[$i]}" 2>/dev/null && echo "VM $i is up" && continue
			wait "${VM_PIDS[$i]}" 2>/dev/null
			echo "VM $i has ended with status $?; the last lines of its output:"
			tail -n 3 "$RUN/vm-$i.log"
		done
		echo
		echo "What the searchers ran and answered:"
		grep -v event= "$RUN/platform.log"
	} >>"$CASE_DIR/record.txt"
	return $verdict
}
