# Functions that start and stop one user's site on loopback. Sourced by the demo, the tests and the benchmarks.
#
#   site_start SITE    platform, searchers and daemons; SITE is brodnica or sablat
#   site_stop          kills the processes that site_start started, by process id
#
# All ports are numbered from PORT_BASE and lie below the kernel's ephemeral port range: an outgoing connection that
# got such a port would keep a listener from binding to it. RUN is the directory of settings and logs.

BUILD=${BUILD:-build}
PORT_BASE=${PORT_BASE:-20000}
TOKEN=operators-token-of-the-demo
KEY=peers-key-of-the-demo-0001
RUN=${RUN:-$(mktemp -d)}
PIDS=()
SEARCHERS_FROM=$((PORT_BASE + 1000))
CONTROLS_FROM=$((PORT_BASE + 2000))
CALLERS_FROM=$((PORT_BASE + 3000))
ADMINS_FROM=$((PORT_BASE + 3100))
PEERS_FROM=$((PORT_BASE + 3200))
PLATFORM=$PORT_BASE
PLATFORM_CONTROL=$((PORT_BASE + 1))
declare -A SEARCHER_PORT SEARCHER_CONTROL SEARCHER_PID VM_PID

site_describe() { # name kind groups searchers slots connections work_us timeout_ms partitions_per_group
	case $1 in
	brodnica)
		DCS=(zagreb split osijek)
		SERVICES=(
			"checklist-board gather 10 3 2 25 5000 5000 4"
			"starter-profile lookup 1 8 4 100 1000 3000 8"
			"reminder-sender once 1 4 4 100 1000 3000 1"
		)
		[ -z "${WHOLE:-}" ] || SERVICES+=("document-tracker gather 15 3 2 25 5000 5000 4")
		;;
	sablat)
		DCS=(muscat sohar salalah)
		SERVICES=(
			"visitor-search gather 10 3 2 25 5000 5000 4"
			"publishing-desk lookup 1 7 3 40 1000 3000 7"
			"billing-ledger once 1 3 3 40 1000 3000 1"
		)
		[ -z "${WHOLE:-}" ] || SERVICES+=("build-notifier gather 15 3 2 25 5000 5000 4")
		;;
	*)
		echo "unknown site $1: brodnica or sablat" >&2
		return 2
		;;
	esac
	VMS=()
	for dc in "${DCS[@]}"; do VMS+=("$dc-1" "$dc-2"); done
}

# Prints the partitions of group $1 if each group has $2 of them, such as "4,5,6,7".
partitions_of() { seq -s, $(($1 * $2)) $((($1 + 1) * $2 - 1)); }

start_searcher() { # name group groups slots connections work_us per_group
	local list of=$(($3 * $7)) name=$1
	list=$(partitions_of "$2" "$7")
	"$BUILD/standin-searcher" --name "$name" --port "${SEARCHER_PORT[$name]}" \
		--control "${SEARCHER_CONTROL[$name]}" --slots "$4" --connections "$5" --work-us "$6" \
		--versions "[{\"version\":1,\"of\":$of,\"partitions\":[$list]},{\"version\":2,\"of\":$of,\"partitions\":[$list]}]" \
		>>"$RUN/searchers.log" 2>&1 &
	SEARCHER_PID[$name]=$!
	PIDS+=($!)
}

# Defines the searchers: fills SEARCHER_* and START_LINES, and writes the configuration to $RUN/config.json.
site_configure() {
	local n=0 services="" row name kind groups each slots connections work timeout per
	START_LINES=()
	for row in "${SERVICES[@]}"; do
		read -r name kind groups each slots connections work timeout per <<<"$row"
		work=${WORK_US:-$work}
		local group_list="" g r
		for ((g = 0; g < groups; g++)); do
			local searchers=""
			for ((r = 0; r < each; r++)); do
				local searcher="$name-$g-$r" dc=${DCS[$((r % ${#DCS[@]}))]}
				SEARCHER_PORT[$searcher]=$((SEARCHERS_FROM + n))
				SEARCHER_CONTROL[$searcher]=$((CONTROLS_FROM + n))
				n=$((n + 1))
				searchers+="${searchers:+,}{\"name\":\"$searcher\",\"dc\":\"$dc\",\"address\":\"127.0.0.1\",\"port\":${SEARCHER_PORT[$searcher]}}"
				START_LINES+=("$searcher $g $groups $slots $connections $work $per")
			done
			group_list+="${group_list:+,}{\"name\":\"group-$g\",\"searchers\":[$searchers]}"
		done
		services+="${services:+,}\"$name\":{\"kind\":\"$kind\",\"timeout_ms\":$timeout,\"queue\":64,\"slots\":$slots,\"connections\":$connections,\"groups\":[$group_list]}"
	done
	echo "{\"entry_vms\":${#VMS[@]},\"services\":{$services}}" >"$RUN/config.json"
}

vm_settings() { # index
	local vm=${VMS[$1]} seeds="" i
	for ((i = 0; i < ${#VMS[@]}; i++)); do seeds+="127.0.0.1:$((PEERS_FROM + i)) "; done
	cat >"$RUN/$vm.ini" <<-INI
		[vm]
		name = $vm
		data_centre = ${vm%-*}
		[listen]
		address = 127.0.0.1
		callers_port = $((CALLERS_FROM + $1))
		admin_port = $((ADMINS_FROM + $1))
		peers_port = $((PEERS_FROM + $1))
		[platform]
		address = 127.0.0.1
		port = $PLATFORM
		[operators]
		token = $TOKEN
		[peers]
		key = $KEY
		seeds = $seeds
		[stop]
		drain_ms = ${DRAIN_MS:-1000}$([ -z "${GRACE_S:-}" ] || printf '\ngrace_s = %d' "$GRACE_S")
		[policy]
		hedge = ${HEDGE:-1}
		choose_by_cost = ${CHOOSE:-1}
		adapt_limit = ${ADAPT:-1}
	INI
}

start_vm() { # index
	local vm=${VMS[$1]}
	vm_settings "$1"
	"$BUILD/dogwoodsaddled" --config "$RUN/$vm.ini" >>"$RUN/$vm.log" 2>&1 &
	VM_PID[$vm]=$!
	PIDS+=($!)
}

start_platform() {
	"$BUILD/standin-platform" --port "$PLATFORM" --control "$PLATFORM_CONTROL" >>"$RUN/platform.log" 2>&1 &
	PLATFORM_PID=$!
	PIDS+=($!)
}

# Waits until the command succeeds, for 200 attempts at intervals of 0.1 s (20 s plus the command's own time).
wait_until() {
	local tries=0
	until "$@" >/dev/null 2>&1; do
		tries=$((tries + 1))
		[ $tries -lt 200 ] || { echo "gave up waiting for: $*" >&2; return 1; }
		sleep 0.1
	done
}

vm_ready() { curl -sf -m 2 "http://127.0.0.1:$((ADMINS_FROM + $1))/readyz"; }

put_first_config() {
	curl -sf -m 2 -X PUT --data-binary @<(echo "{\"by\":\"set-up\",\"config\":$(cat "$RUN/config.json")}") \
		"http://127.0.0.1:$PLATFORM/objects/config/main?if_version=0" >/dev/null
}

site_start() {
	local line i
	site_describe "$1" && site_configure || return
	start_platform
	for line in "${START_LINES[@]}"; do
		# shellcheck disable=SC2086
		start_searcher $line
	done
	wait_until put_first_config || return
	for ((i = 0; i < ${#VMS[@]}; i++)); do start_vm "$i"; done
	for ((i = 0; i < ${#VMS[@]}; i++)); do wait_until vm_ready "$i" || return; done
}

# Succeeds if the process is a child of this shell: the id of a terminated process may have been reused by another one.
is_own() { [ "$(awk '{sub(/.*\) /, ""); print $2}' "/proc/$1/stat" 2>/dev/null)" = "$BASHPID" ]; }

# Standard error is discarded: the shell's message on each killed process looks like a failure.
site_stop() {
	local pid
	{
		for pid in "${PIDS[@]}"; do
			is_own "$pid" || continue
			kill -CONT "$pid"
			kill -KILL "$pid"
		done
		for pid in "${PIDS[@]}"; do wait "$pid"; done
	} 2>/dev/null
	PIDS=()
}

control() { # searcher json
	curl -sf -m 2 -X POST -d "$2" "http://127.0.0.1:${SEARCHER_CONTROL[$1]}/"
}

platform_control() { curl -sf -m 2 -X POST -d "$1" "http://127.0.0.1:$PLATFORM_CONTROL/"; }
