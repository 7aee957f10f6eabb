#!/usr/bin/env bash
# Runs front_soak.sh, or the script that SOAK names, for a range of seeds, WORKERS of them in parallel, and prints what each
# one printed last.
#
#   [SOAK=stop_soak.sh] tests/soak/run.sh FROM TO [SECONDS]
set -u
cd "$(dirname "$0")/../.."
from=$1 to=$2 each=${3:-8} workers=${WORKERS:-4} ports=${PORT_BASE:-15000}
soak=${SOAK:-front_soak.sh}
last_port=$((ports + 600 * workers)) ephemeral_from=$(cut -f1 /proc/sys/net/ipv4/ip_local_port_range)
if [ $last_port -gt "$ephemeral_from" ]; then
	echo "ports up to $last_port reach those that the system uses for outgoing connections, from $ephemeral_from on: set PORT_BASE lower"
	exit 2
fi
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
worker() {
	local seed
	for ((seed = from + $1; seed <= to; seed += workers)); do
		if PORT_BASE=$((ports + 600 * $1)) timeout 120 "tests/soak/$soak" $seed "$each" >"$out/$seed" 2>&1; then
			tail -n 1 "$out/$seed"
		else
			echo "FAIL seed $seed: $(grep -v Killed "$out/$seed" | tail -n 2)"
		fi
	done
}
for ((w = 0; w < workers; w++)); do worker $w >"$out/worker.$w" & done
wait
cat "$out"/worker.*
failed=$(cat "$out"/worker.* | grep -c '^FAIL')
echo "$((to - from + 1 - failed)) passed, $failed failed"
[ "$failed" = 0 ]
