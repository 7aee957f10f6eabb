#!/usr/bin/env bash
# Measures processor time, memory, latency and writes on this machine: ratios within one run, and the slopes for
# docs/CAPACITY.md.
set -u
cd "$(dirname "$0")/.."
PORT_BASE=${PORT_BASE:-16000}
RUN=$(mktemp -d)
. scripts/site.sh
trap 'site_stop; rm -rf "$RUN"' EXIT
TICKS=$(getconf CLK_TCK)
BROAD=checklist-board

targets() {
	local i
	for ((i = 0; i < ${#VMS[@]}; i++)); do printf -- '-t 127.0.0.1:%d:%d ' $((CALLERS_FROM + i)) $((ADMINS_FROM + i)); done
}
# Prints the processor time of all daemons together, in microseconds.
daemon_cpu_us() {
	local vm sum=0 ticks
	for vm in "${VMS[@]}"; do
		ticks=$(awk '{print $14 + $15}' "/proc/${VM_PID[$vm]}/stat")
		sum=$((sum + ticks * 1000000 / TICKS))
	done
	echo $sum
}
metric() { # name with labels: the sum over all daemons
	local i sum=0 n
	for ((i = 0; i < ${#VMS[@]}; i++)); do
		n=$(curl -s -m 2 "http://127.0.0.1:$((ADMINS_FROM + i))/metrics" | grep -F "$1" | awk '{s += $2} END {print s + 0}')
		sum=$((sum + n))
	done
	echo $sum
}

echo "== src/core alone, by size"
"$BUILD/bench_core"

echo "== one gather: ten groups, service time 5 ms, 100 searches/s over six daemons"
site_start brodnica || exit 1
idle0=$(daemon_cpu_us)
sleep 4
idle=$(($(daemon_cpu_us) - idle0))
echo "idle daemon: $((idle / 4 / 6)) us of processor time a second, for 42 searchers probed"
awk '/VmRSS/ {print "resident memory of a daemon: " $2 " kB"}' "/proc/${VM_PID[${VMS[0]}]}/status"
cpu0=$(daemon_cpu_us) subs0=$(metric 'ds_sub_requests_total')
# shellcheck disable=SC2046
"$BUILD/dogwoodsaddle-load" $(targets) -j -r 100 -s 6 -m "$BROAD:search:normal:1:1000:Ana" >"$RUN/out.json" || echo "wrong answers"
cpu=$(($(daemon_cpu_us) - cpu0 - idle * 6 / 4)) subs=$(($(metric 'ds_sub_requests_total') - subs0))
echo "daemon: $((cpu / (subs > 0 ? subs : 1))) us of processor time a sub-request ($subs sub-requests)"
jq -r '.mix[0] | "callers: p50 \(.p50_ms) ms, p99 \(.p99_ms) ms"' "$RUN/out.json"
# The same load on a single VM: each iteration of the event loop then handles more sub-requests.
cpu0=$(daemon_cpu_us) subs0=$(metric 'ds_sub_requests_total')
"$BUILD/dogwoodsaddle-load" -t "127.0.0.1:$CALLERS_FROM:$ADMINS_FROM" -j -r 150 -s 5 -m "$BROAD:search:normal:1:1000:Ana" >"$RUN/out.json"
cpu=$(($(daemon_cpu_us) - cpu0 - idle * 5 / 4)) subs=$(($(metric 'ds_sub_requests_total') - subs0))
echo "one VM alone: $((cpu / (subs > 0 ? subs : 1))) us of processor time a sub-request at $((subs / 5)) a second"
timeout 10 bash -c '
	for ((i = 0; i < 200; i++)); do
		curl -s -m 2 -o /dev/null -w "%{time_total}\n" "http://127.0.0.1:'"${SEARCHER_PORT[$BROAD-0-0]}"'/search?version=2&partitions=0,1,2,3&text=Ana"
	done' | sort -n | awk '{a[NR] = $1} END {printf "one searcher alone: p50 %.1f ms, p99 %.1f ms; the slowest of ten such: about p93 of it, %.1f ms\n", a[int(NR * .5)] * 1000, a[int(NR * .99)] * 1000, a[int(NR * .933)] * 1000}'
site_stop

echo "== at most once: platform writes a send"
for rate in 6 60 600; do
	site_start brodnica || exit 1
	writes0=$(metric 'ds_claim_writes_total') won0=$(metric 'ds_claims_won_total')
	# shellcheck disable=SC2046
	"$BUILD/dogwoodsaddle-load" $(targets) -j -r $rate -s 6 -m 'reminder-sender:action:normal:1:2000' >"$RUN/out.json"
	writes=$(($(metric 'ds_claim_writes_total') - writes0)) won=$(($(metric 'ds_claims_won_total') - won0))
	jq -r --argjson w $writes --argjson n $won --argjson r $((rate / 6)) '.mix[0] |
		"\($r) sends/s a VM: \($w) writes for \($n) claims, \(100 * $w / ([$n, 1] | max) | round / 100) a send, \($w / 6 | round) writes/s in all; p50 \(.p50_ms) ms, p99 \(.p99_ms) ms, refused \(.refused), failed \(.failed)"' "$RUN/out.json"
	site_stop
done

echo "== configuration: 100 changes, from acceptance to being in force on all six"
site_start brodnica || exit 1
changes() { # count
	local i number start end worst=0 line
	for ((i = 0; i < $1; i++)); do
		number=$(curl -s -m 2 -H "Authorization: Bearer $TOKEN" "http://127.0.0.1:$ADMINS_FROM/v1/config" | jq .number)
		jq -n --argjson base "$number" --slurpfile c "$RUN/config.json" '{base: $base, by: "bench", config: $c[0]}' >"$RUN/body.json"
		curl -s -m 5 -X POST -H "Authorization: Bearer $TOKEN" --data-binary @"$RUN/body.json" \
			"http://127.0.0.1:$ADMINS_FROM/v1/config" >/dev/null
		sleep 0.05
	done
	sleep 1
	# From the daemons' logs: the first and the last time at which the same number came into force.
	cat "$RUN"/*.log | grep -o 'time=[^ ]* .*event=config-in-force number=[0-9]*' |
		sed 's/time=[^T]*T\([0-9:]*\)\.\([0-9]*\)Z.*number=\([0-9]*\)/\3 \1 \2/' |
		awk '{split($2, t, ":"); s = t[1] * 3600 + t[2] * 60 + t[3] + $3 / 1e6; if (!($1 in lo) || s < lo[$1]) lo[$1] = s; if (s > hi[$1]) hi[$1] = s; n[$1]++}
			END {for (k in lo) if (k > 1) printf "%.1f %d\n", (hi[k] - lo[k]) * 1000, n[k]}' | sort -n >"$RUN/spread.txt"
	awk '{a[NR] = $1; if ($2 != 6) missing++} END {printf "%d changes: p50 %.1f ms, worst %.1f ms from the first VM to the last; %d not applied by all six (superseded before they arrived)\n", NR, a[int(NR / 2) + 1], a[NR], missing}' "$RUN/spread.txt"
}
cpu0=$(daemon_cpu_us)
start=$(date +%s%N)
changes 100
echo "processor time a change and VM, idle work included: $((($(daemon_cpu_us) - cpu0) / 100 / 6)) us over $((($(date +%s%N) - start) / 1000000)) ms"
BUILD=$BUILD scripts/bench_front.sh
echo "== logging"
BUILD=$BUILD scripts/bench_logs.sh
