#!/usr/bin/env bash
# Runs real daemons under faults chosen by a seed: signals, also overlapping ones; a store that is down, loses its
# history or changes; searchers that hang, refuse, fail or drain; connections that a loopback proxy delays, silences,
# silences in one direction, or closes. Meanwhile callers check their answers:
#
#   A merged answer names each part once, with its own request's id, reports the true number of missing parts, and
#   contains the greatest records of exactly the parts that it names. A request that was answered 401, 429 or 503 did
#   not run, nor did any of its sub-requests; 429 and 503 come with Retry-After. A request that must not be repeated ran
#   at most once. Afterwards all VMs serve again.
#
# If the seed is divisible by three, two poison requests crash the searchers that run them and are repeated at any VM.
# Afterwards, when all VMs reach the store and each other, few more attempts reach a searcher, and no other request is
# blocked.
#
# If the seed is at least 1000, a data centre is evacuated and reopened, searchers become cold, the store is restored
# from an older copy of its data after which the operator and the searchers write again, and callers send requests
# that must stay in the other region.
#
# If the seed is at least 2000, searchers have slots and queues, all callers are tenants, and beside the faults there are
# bursts, shards whose searchers are four times slower for a time, a tenant that sends many times its quota (hot), one
# whose quota changes (varied), one whose key comes and goes (fickle), and callers with an unknown key (none):
#
#   An unknown key gets 401 and runs nothing, the key of calm is always known, and calm, which has no quota, never gets
#   429. No tenant runs more than its quota, by the tolerance of the settings. Afterwards, in a burst on a slow shard, a
#   caller whose parts were answered is answered, also long after the target of its route.
#
# If the seed is at least 800000, there are seven VMs, of which some feed the others, each has few descriptors, and at times a
# VM gets more idle connections than it has descriptors:
#
#   A caller beside idle connections is answered or refused, in time. Afterwards a change of the configuration is in force
#   everywhere within the apply time.
#
# If the seed is at least 1000000, the store and some searchers answer without end at times, fast or a byte at a time. No VM
# exceeds the memory of the smallest ones.
#
# In half of the seeds callers wait after a refusal, so that more requests are served than refused.
#
#   tests/soak/front_soak.sh SEED [SECONDS]
#
# ADMISSION=yes enables [admission] in the daemons' settings.
set -u
cd "$(dirname "$0")/../.."
SEED=$1 SECONDS_RUN=${2:-10}
PORT_BASE=${PORT_BASE:-$((15000 + SEED % 8 * 600))}
. tests/front_lib.sh
RANDOM=$SEED
VMS_RUN=3 SHARDS=3 OFFSET=100 APPLY_S=3 SETTLE_S=5 DESCRIPTORS=150
PATIENT=$((SEED / 2 % 2)) REGION_FAULTS=$((SEED >= 1000)) OVERLOAD=$((SEED >= 2000)) SCARCE=$((SEED >= 800000)) ENDLESS=$((SEED >= 1000000)) MEMORY_MB=160
[ $REGION_FAULTS = 0 ] || EVACUATE_MS=5000
if [ $SCARCE = 1 ]; then
	VMS_RUN=7
	front_start() { # index
		front_settings "$1"
		(ulimit -n $DESCRIPTORS && exec "$BUILD/dogwoodsaddled" --config "$RUN/front-$1.ini") >>"$RUN/front-$1.log" 2>&1 &
		FRONT_PID[$1]=$!
		PIDS+=($!)
	}
fi
# If the seed is odd, two large VMs gather for a small one.
front_size() {
	[ $ENDLESS = 0 ] || echo "memory_mb = $MEMORY_MB"
	[ $((SEED % 2)) = 1 ] || return 0
	[ "$1" = 0 ] && printf 'link_mbps = 20\ncores = 1\ncore_share = 0.1\n' || printf 'link_mbps = 200\ncores = 1\ncore_share = 0.5\n'
}
PROXY=$((PORT_BASE + 2)) STORE_ENDPOINT=$((PORT_BASE + 3))
# Sets $picked to one of the arguments. A command substitution would not draw from the seed: bash seeds the RANDOM of
# each subshell anew.
pick() { local -a all=("$@"); picked=${all[RANDOM % ${#all[@]}]}; }
proxy() { curl -s -m 2 "http://127.0.0.1:$PROXY/do?mode=$1${2:-}" >/dev/null; }

endpoints=("$STORE_ENDPOINT:$STORE")
for ((i = 0; i < 2 * (SHARDS + 1); i++)); do endpoints+=("$((SHARDS_FROM + OFFSET + i)):$((SHARDS_FROM + i))"); done
"$BUILD/standin-proxy" "$PROXY" "${endpoints[@]}" >>"$RUN/proxy.log" 2>&1 &
PIDS+=($!)
REAL_STORE=$STORE
"$BUILD/standin-users-platform" --store "$REAL_STORE" --control "$CONTROL" --searchers "$SHARDS_FROM" \
	--advertise $OFFSET --cold-per-s $((4 * REGION_FAULTS)) --log-runs --queue $((4 * OVERLOAD)) --work-ms $((5 + 35 * OVERLOAD)) \
	>>"$RUN/users.log" 2>&1 &
PIDS+=($!)
STORE=$STORE_ENDPOINT
wait_until users none
version=1
configure() { # [by how much the version rises]
	version=$((version + ${1:-1}))
	users configure '' $version >/dev/null
}
now() { echo $((${EPOCHREALTIME/./} / 1000)); }
# Changes a tenant's quota, and notes from when on the new one may be in force.
QUOTA_SLACK=4 QUOTA_MAX=6
quota() { # tenant rate
	echo "$(now) $1 $2" >>"$RUN/quotas"
	users tenant "$1" "$2" >/dev/null
	users priority "$1" 2 >/dev/null
}
TENANTS=('' '' '' '') # of the callers
KEY=()
if [ $OVERLOAD = 1 ]; then
	TENANTS=(calm hot hot hot fickle varied varied) KEY=(-H 'Dogwoodsaddle-Credential: key-calm')
	users tenant calm 0 >/dev/null
	users tenant fickle 0 >/dev/null
	quota hot 2
	quota varied 2
	configure
fi
for ((i = 0; i < VMS_RUN; i++)); do front_start "$i"; done
for ((i = 0; i < VMS_RUN; i++)); do wait_until is_ready "$i" || fail "seed $SEED: VM $i is not ready at the start"; done

# Prints the expected merge of these shards (numbers): the stand-in's greatest records in descending order.
merged() {
	local n i
	for n in "$@"; do for ((i = 0; i < 8; i++)); do printf '%06d-%04d-%04d\n' $(((8 - i) * 100 + n)) "$n" "$i"; done; done | sort -r | head -n 5 | tr -d '\n'
}

check_gather() { # id head body
	local stamps missing numbers
	stamps=$(tr -d '\r' <"$2" | grep -i '^Dogwoodsaddle-Part-Stamps:' | cut -d' ' -f2- | tr ',' '\n' | tr -d ' ')
	missing=$(tr -d '\r' <"$2" | grep -i '^Dogwoodsaddle-Missing-Parts:' | cut -d' ' -f2)
	numbers=$(sed 's/^i-shard-\([0-9]*\)-.*/\1/' <<<"$stamps" | sort -n | uniq)
	[ "$(grep -c "\.$1\$" <<<"$stamps")" = "$(wc -l <<<"$stamps")" ] || { echo "$1: a part of another request: $stamps"; return; }
	[ "$(wc -l <<<"$numbers")" = "$(wc -l <<<"$stamps")" ] || { echo "$1: a part is named twice: $stamps"; return; }
	[ $(($(wc -l <<<"$stamps") + missing)) = $SHARDS ] || { echo "$1: answered and missing parts are not $SHARDS together: $stamps, $missing"; return; }
	# shellcheck disable=SC2086
	[ "$(cat "$3")" = "$(merged $numbers)" ] || echo "$1: not the greatest records of $numbers"
}

# Sends requests of a tenant until a file exists. Each is a line "ID TENANT START_MS END_MS STATUS RETRY_AFTER" in $RUN/asked.*.
caller() { # number tenant file
	local n=0 id vm at code start tenant more head=$RUN/h.$1 post allowed
	while [ ! -e "$3" ]; do
		n=$((n + 1)) id=c$1-$n vm=$((n % VMS_RUN)) tenant=$2 more=()
		[ $OVERLOAD = 0 ] || [ $((n % 10)) != 0 ] || tenant=none
		[ -z "$tenant" ] || more=(-H "Dogwoodsaddle-Credential: key-$tenant")
		at=http://127.0.0.1:$((FRONT_FROM + 10 * vm)) post=$((n % 3 == 0)) start=$(now)
		[ $post = 0 ] && more+=(-H 'Host: find.example' "$at/find/x") || more+=(-H 'Host: get.example' -d body "$at/get/act/x")
		: >"$head"
		code=$(curl -s -m 3 -D "$head" -o "$RUN/b.$1" -w '%{http_code}' -H "Dogwoodsaddle-Request-Id: $id" \
			-H 'Dogwoodsaddle-Request-Deadline: 1500' "${more[@]}")
		[ "$code" != 200 ] || [ $post = 1 ] || check_gather "$id" "$head" "$RUN/b.$1" >>"$RUN/wrong"
		case $tenant in none) allowed='401' ;; fickle) allowed='200 401 500 502 504' ;; hot | varied) allowed='200 429 500 502 504' ;; *) allowed='200 500 502 504' ;; esac
		[[ " $allowed 000 503 " == *" $code "* ]] || echo "$id: status $code for '$tenant'" >>"$RUN/wrong"
		echo "$id ${tenant:--} $start $(now) $code $(tr -d '\r' <"$head" | grep -i '^Retry-After:' | cut -d' ' -f2)" >>"$RUN/asked.$1"
		[ $PATIENT = 0 ] || [[ $code != 4?? ]] || sleep 0.5
	done
}

# Sends requests that must stay in region two: only searchers of that region may answer them.
home_caller() {
	local n=0 code path stamps
	while [ ! -e "$RUN/over" ]; do
		n=$((n + 1)) path=$([ $((n % 2)) = 0 ] && echo home || echo kept)
		code=$(curl -s -m 3 -D "$RUN/h.home" -o "$RUN/b.home" -w '%{http_code}' -H 'Host: home.example' \
			-H "Dogwoodsaddle-Request-Id: home-$n" "${KEY[@]}" -H 'Dogwoodsaddle-Request-Deadline: 1500' \
			"http://127.0.0.1:$((FRONT_FROM + 10 * (n % VMS_RUN)))/$path/x")
		stamps=$(tr -d '\r' <"$RUN/h.home" | grep -i '^Dogwoodsaddle-\(Part-Stamps\|Response-Signature\):')
		! grep -q -e '-here\.' <<<"$stamps" || echo "home-$n: answered by another region: $stamps" >>"$RUN/wrong"
		case $code in 200 | 000 | 500 | 502 | 503 | 504) ;; *) echo "home-$n: status $code" >>"$RUN/wrong" ;; esac
		sleep 0.1
	done
}

POISON_REQUESTS=(find.example/find/crash get.example/get/crash)
[ $((SEED % 3)) = 0 ] || POISON_REQUESTS=()
poison_caller() { # host/path
	local ATTEMPT=crasher$BASHPID
	# Bash seeds RANDOM anew in a subshell.
	RANDOM=$((SEED + ${#1}))
	while [ ! -e "$RUN/over" ]; do
		attempt $((RANDOM % VMS_RUN)) "${1%%/*}" "/${1#*/}" "${KEY[@]}"
		sleep "0.$((RANDOM % 9 + 1))"
	done
}

# Restarts the daemons that have terminated, as the platform does.
ended() { case $(awk '{print $3}' "/proc/${FRONT_PID[$1]}/stat" 2>/dev/null) in '' | Z) return 0 ;; esac; return 1; }
supervise() {
	local i
	for ((i = 0; i < VMS_RUN; i++)); do
		ended "$i" || continue
		wait "${FRONT_PID[$i]}" 2>/dev/null
		front_start "$i"
	done
}
is_up() { supervise; is_ready "$1"; }

# The operator and the searchers write again what the restored store has lost. Until then an earlier quota may be in force.
write_again() {
	echo "$(now) varied $QUOTA_MAX" >>"$RUN/quotas"
	users ready i- >/dev/null
	configure 0
}
region_fault() { # data centre
	case $((RANDOM % 4)) in
	0) users evacuate "$1" >/dev/null; sleep 1; users reopen "$1" >/dev/null ;;
	1) pick i-shard-0 i-single-here i-shard-2-there; users cold "$picked" 1500 >/dev/null ;;
	2) users copy >/dev/null ;;
	3) users down '' 1 >/dev/null; sleep 0.5; users restore >/dev/null; users down '' 0 >/dev/null; sleep 0.4; write_again ;;
	esac
}
fault() {
	local vm=$((RANDOM % VMS_RUN)) searcher
	[ $REGION_FAULTS = 0 ] || { pick here there; region_fault "$picked"; }
	pick i-shard-0-here i-shard-1-here i-shard-2-there i-single-here i-shard-1
	searcher=$picked
	case $((RANDOM % 12)) in
	0) kill -KILL "${FRONT_PID[$vm]}" ;;
	1) kill -TERM "${FRONT_PID[$vm]}" ;;
	2) kill -STOP "${FRONT_PID[$vm]}"; sleep 1; kill -CONT "${FRONT_PID[$vm]}" ;;
	3) kill -HUP "${FRONT_PID[$vm]}" ;;
	4) users down '' 1 >/dev/null; sleep 1; users down '' 0 >/dev/null ;;
	5) users forget >/dev/null ;;
	6) configure $((1 + RANDOM % 3)) ;;
	7) pick hang shed foreign fail; users "$picked" "$searcher" >/dev/null; sleep 0.7; users ok i- >/dev/null ;;
	8) users drain i-shard-2-there >/dev/null; sleep 0.5; users ready i-shard-2-there >/dev/null ;;
	9) pick silent oneway; proxy "$picked" '&open=1' ;;
	10) proxy delay; sleep 0.7; proxy pass ;;
	11) proxy cut ;;
	esac
}

# Opens more connections to a VM than it has descriptors, in two processes, and closes them again.
hoard() { # index
	local port=$((FRONT_FROM + 10 * $1)) code
	for _ in 1 2; do
		( for ((n = 0; n < 100; n++)); do exec {fd}<>"/dev/tcp/127.0.0.1/$port" || exit; done; sleep 6 ) 2>/dev/null &
	done
	sleep 0.7
	curl -s -m 4.5 -o /dev/null -H 'Host: get.example' -H "Dogwoodsaddle-Request-Id: beside-$1-$RANDOM" \
		-H 'Dogwoodsaddle-Request-Deadline: 1500' "${KEY[@]}" "http://127.0.0.1:$port/get/x"
	code=$?
	[ $code != 28 ] || ended "$1" || echo "VM $1 neither serves nor refuses a caller beside idle connections" >>"$RUN/wrong"
}

endless() {
	local kind
	pick interim head length unframed chunks extension trailers garbage
	kind=$picked
	pick 1 3 5 # the store, and no, two or four searchers
	curl -s -m 2 "http://127.0.0.1:$PROXY/do?endless=$kind&bad=$picked&slow=$((RANDOM % 2))" >/dev/null
	sleep 0.7
	curl -s -m 2 "http://127.0.0.1:$PROXY/do?endless=" >/dev/null
}

# Eighteen more callers for a time: four times the usual number.
bursts=0
burst() { # seconds
	local i name over
	bursts=$((bursts + 1)) over=$RUN/burst-$bursts
	for ((i = 0; i < 18; i++)); do
		name=$([ $((i % 3)) = 0 ] && echo hot || echo calm)
		caller "b$bursts.$i" "$name" "$over" & callers+=($!)
	done
	{ sleep "$1"; touch "$over"; } & callers+=($!)
}
overload() {
	local seconds=$((1 + RANDOM % 2))
	case $((RANDOM % 6)) in
	0 | 1) burst $seconds ;;
	2) pick 0 1 2; users slow "i-shard-$picked" 4 >/dev/null; { sleep $seconds; users slow "i-shard-$picked" 1 >/dev/null; } & callers+=($!) ;;
	3) users revoke fickle >/dev/null; configure ;;
	4) users tenant fickle 0 >/dev/null; configure ;;
	5) pick 1 2 $QUOTA_MAX; quota varied "$picked"; configure ;;
	esac
}

callers=()
for ((i = 0; i < ${#TENANTS[@]}; i++)); do caller $i "${TENANTS[$i]}" "$RUN/over" & callers+=($!); done
for path in ${POISON_REQUESTS[@]+"${POISON_REQUESTS[@]}"}; do poison_caller "$path" & callers+=($!); done
[ $REGION_FAULTS = 0 ] || { home_caller & callers+=($!); }
end=$(($(date +%s) + SECONDS_RUN))
while [ "$(date +%s)" -lt $end ]; do
	[ $OVERLOAD = 0 ] || overload
	[ $SCARCE = 0 ] || [ $((RANDOM % 3)) != 0 ] || hoard $((RANDOM % VMS_RUN))
	[ $ENDLESS = 0 ] || [ $((RANDOM % 3)) != 0 ] || endless
	fault
	supervise
	sleep "0.$((RANDOM % 6))"
done
proxy pass
proxy cut
users ok i- >/dev/null
users down '' 0 >/dev/null
[ $REGION_FAULTS = 0 ] || { users reopen here >/dev/null; users reopen there >/dev/null; write_again; }
touch "$RUN/over"
wait "${callers[@]}"
processes_are_sound
for ((i = 0; i < VMS_RUN; i++)); do
	if [ $ENDLESS = 1 ] && ! grep -q asan "/proc/${FRONT_PID[$i]}/maps" 2>/dev/null; then
		peak_mb=$(awk '/VmHWM/ {print int($2 / 1024)}' "/proc/${FRONT_PID[$i]}/status" 2>/dev/null)
		[ "${peak_mb:-0}" -le $MEMORY_MB ] || fail "seed $SEED: VM $i has used $peak_mb MB"
	fi
	kill -CONT "${FRONT_PID[$i]}" 2>/dev/null
	wait_until is_up "$i" || fail "seed $SEED: VM $i is not ready at the end: $(tail -n 3 "$RUN/front-$i.log")"
	served=0
	for ((n = 0; n < 10; n++)); do
		[ "$(curl -s -m 3 -o /dev/null -w '%{http_code}' "${KEY[@]}" -H 'Host: find.example' -H "Dogwoodsaddle-Request-Id: end$i$n" "http://127.0.0.1:$((FRONT_FROM + 10 * i))/find/x")" = 200 ] && served=$((served + 1))
		sleep 0.5
	done
	[ $served -ge 5 ] || fail "seed $SEED: VM $i served $served of 10 after the faults:$(grep -o "event=answer request=end$i.*" "$RUN/front-$i.log" | grep -o ' outcome=[a-z-]*' | sort | uniq -c | xargs)"
done
if [ $SCARCE = 1 ]; then
	sleep $SETTLE_S
	configure
	sleep $APPLY_S
	all_configured $version $VMS_RUN ||
		fail "seed $SEED: versions $(for ((i = 0; i < VMS_RUN; i++)); do metric configuration_version "$i"; done | xargs) after the faults, not $version; fed: $(for ((i = 0; i < VMS_RUN; i++)); do metric store_is_fed "$i"; done | xargs)"
fi
# The poison requests are known by now or soon: each VM gets a few attempts, and a few more after the settle time.
each_poison_request() { # times
	local n path
	for ((n = 0; n < $1; n++)); do
		for path in ${POISON_REQUESTS[@]+"${POISON_REQUESTS[@]}"}; do attempt $((n % VMS_RUN)) "${path%%/*}" "/${path#*/}" "${KEY[@]}"; done
		sleep 1.3
	done
}
if [ ${#POISON_REQUESTS[@]} -gt 0 ]; then
	each_poison_request 6
	sleep 5.2
	before=$(users none | jq '[.crashes[].reached] | add')
	each_poison_request 6
	reached=$(($(users none | jq '[.crashes[].reached] | add') - before))
	[ $reached -le 6 ] || fail "seed $SEED: two poison requests reached searchers in $reached of 12 attempts: $(users none | jq -c .crashes)"
	for ((i = 0; i < VMS_RUN; i++)); do
		refused=$(metric 'poison_requests{state="refused"}' "$i")
		[ "$refused" -le 2 ] || fail "seed $SEED: VM $i blocks $refused requests, but there are two poison requests"
	done
fi
if [ $OVERLOAD = 1 ]; then
	callers=()
	users slow i-shard-1 4 >/dev/null
	burst 2
	wait "${callers[@]}"
	awk -v late="$bursts" '$1 == "answered" { if (!(($2, $3) in at)) at[$2, $3] = $4; next }
		index($1, "cb" late ".") == 1 {
			parts = 0
			for (i = 0; i < 3; i++) parts += (($1, "shard-" i) in at) && at[$1, "shard-" i] <= $3 + 1000
			ready = parts >= 2 || (($1, "single") in at) && at[$1, "single"] <= $3 + 1000
			if (ready && $5 != 200) print $1 ": answered by searchers in time, but status " $5
		}' "$RUN/users.log" "$RUN"/asked.b"$bursts".* >>"$RUN/wrong"
fi
posted=$(users none | jq '.posted')
jq -e 'all(.[]; . < 2)' <<<"$posted" >/dev/null || fail "seed $SEED: ran more than once: $(jq -c 'with_entries(select(.value > 1))' <<<"$posted")"
awk '$1 == "ran" { ran[$2] = 1; next } $1 == "answered" { next }
	$5 ~ /401|429|503/ && ($1 in ran) { print $1 ": status " $5 ", but ran" }
	$5 ~ /429|503/ && $6 == "" { print $1 ": status " $5 " without Retry-After" }' "$RUN/users.log" "$RUN"/asked.* >>"$RUN/wrong"
# A request that ran got its token between its start and its end. For a window of 5 s the highest quota counts that was in
# force in it or shortly before: VMs that are cut off keep a configuration for up to 5 s in these faults.
[ $OVERLOAD = 0 ] || awk -v slack=$QUOTA_SLACK -v window=5000 -v kept=5000 '
	FILENAME ~ /quotas$/ { at[$2, ++changes[$2]] = $1; rate[$2, changes[$2]] = $3; next }
	$1 == "ran" { ran[$2] = 1; next } $1 == "answered" { next }
	($2 in changes) && ($1 in ran) { start[$2, ++count[$2]] = $3; end[$2, count[$2]] = $4 }
	END {
		for (t in changes) for (i = 1; i <= count[t]; i++) {
			from = start[t, i]; n = highest = 0
			for (j = 1; j <= count[t]; j++) n += start[t, j] >= from && end[t, j] <= from + window
			for (j = 1; j <= changes[t]; j++)
				if (at[t, j] <= from + window && (j == changes[t] || at[t, j + 1] > from - kept) && rate[t, j] > highest) highest = rate[t, j]
			if (n > (highest * window / 1000 + highest) * 1.1 + slack) print t ": " n " requests ran within " window " ms from " from ", the quota is " highest
		}
	}' "$RUN/quotas" "$RUN/users.log" "$RUN"/asked.* >>"$RUN/wrong"
processes_are_sound
[ ! -s "$RUN/wrong" ] || fail "seed $SEED: $(wc -l <"$RUN/wrong") faults, such as $(head -n 3 "$RUN/wrong")"
[ "$(cat "$RUN"/asked.* | awk '$5 == 200' | wc -l)" -ge 5 ] || fail "seed $SEED: fewer than 5 requests were served"
echo "seed $SEED: $(cat "$RUN"/asked.* | awk '{ n[$5]++; late += $5 == 200 && $4 > $3 + 300 }
	END { for (code in n) printf "%s x %s  ", n[code], code; printf "served after 300 ms: %d  ", late }')sub-requests: $(grep -c '^ran ' "$RUN/users.log") ran, $(users none | jq .rejected) exceeded a queue"
