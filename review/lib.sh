# Sourced by the cases: a small deployment on loopback ports with the daemon of the deploy file.
set -u
REVIEW=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
CASE=$(cd "$(dirname "$0")" && pwd)
DAEMON=$REVIEW/../target/dogwoodsaddled
BIN=$REVIEW/bin
RECORD=$CASE/record.txt
TROUBLE=${TROUBLE:-1}
RUN=$(mktemp -d)
PIDS=() VM_PID=()

finish() {
	exec 7>&- 2>/dev/null
	[ ${#PIDS[@]} -eq 0 ] || { kill -CONT "${PIDS[@]}"; kill -KILL "${PIDS[@]}"; wait "${PIDS[@]}"; } 2>/dev/null
	rm -rf "$RUN"
}
trap finish EXIT

# cannot_run REASON: the case could not be played.
cannot_run() {
	echo "cannot run: $*" | tee -a "$RECORD"
	exit 2
}
now_ms() { date +%s%3N; }
note() { echo "$(now_ms) $*" >>"$RECORD"; }

# Finds COUNT free ports in a row and sets PORT_BASE.
find_ports() { # count
	local try i free
	for try in $(seq 50); do
		PORT_BASE=$((20000 + (RANDOM * 32768 + RANDOM) % 10000))
		free=1
		for ((i = 0; i < $1; i++)); do
			! (exec 3<>"/dev/tcp/127.0.0.1/$((PORT_BASE + i))") 2>/dev/null || { free=0; break; }
		done
		[ $free = 0 ] || return 0
	done
	cannot_run "no free ports"
}

# start_platform [arguments]: starts the stand-in; its commands are written to descriptor 7.
start_platform() {
	mkfifo "$RUN/commands"
	"$BIN/platform" "$@" <"$RUN/commands" >"$RUN/platform.log" 2>&1 &
	PIDS+=($!)
	exec 7>"$RUN/commands"
}

# vm_settings INDEX NAME ZONE STORE_PORT: the settings that the platform renders from platform/settings.ini.in. A VM
# has ten ports, in the order callers, ready, metrics, gatherer, feed. ZONES holds lines "zone = region".
vm_port() { echo $((PORT_BASE + 100 + 10 * $1)); }
vm_settings() {
	local at
	at=$(vm_port "$1")
	cat <<-INI
		[vm]
		name = $2
		data_centre = $3
		link_mbps = ${LINK_MBPS:-1000}
		cores = ${CORES:-1}
		core_share = ${CORE_SHARE:-0.25}

		[front]
		callers = 127.0.0.1:$at
		ready = 127.0.0.1:$((at + 1))
		metrics = 127.0.0.1:$((at + 2))
		feed = 127.0.0.1:$((at + 4))
		store = 127.0.0.1:$4

		[regions]
		$ZONES

		[retries]
		ratio = 0.2
		constant = 52
		window_s = 10
		${QUOTAS:-}

		[admission]
		enabled = yes

		[store]
		apply_ms = 3000
		leave_ms = 3000
		settle_ms = 5000

		[stop]
		grace_s = 6
	INI
}
vm_start() { # index name zone store_port
	vm_settings "$@" >"$RUN/vm-$1.ini"
	DOGWOODSADDLE_CONFIG=$RUN/vm-$1.ini "$DAEMON" >>"$RUN/vm-$1.log" 2>&1 &
	VM_PID[$1]=$!
	PIDS+=($!)
}
is_ready() { # index
	local line
	exec 3<>"/dev/tcp/127.0.0.1/$(($(vm_port "$1") + 1))" || return 1
	printf 'GET /ready HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n' >&3
	read -r -t 1 line <&3
	exec 3>&-
	[[ $line == *" 200 "* ]]
} 2>/dev/null
wait_ready() { # index
	local try
	for try in $(seq 100); do
		! is_ready "$1" || return 0
		sleep 0.1
	done
	cannot_run "VM $1 is not ready"
}
