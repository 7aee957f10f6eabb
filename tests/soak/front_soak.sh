#!/usr/bin/env bash
# Runs real daemons under faults chosen by a seed: signals, also overlapping ones; a store that is down, loses its
# history or changes; searchers that hang, refuse, fail or drain; connections that a loopback proxy delays, silences,
# silences in one direction, or closes. Meanwhile callers check their answers:
#
#   A merged answer names each part once, with its own request's id, reports the true number of missing parts, and
#   contains the greatest records of exactly the parts that it names. A request that was rejected as not run did not
#   run. A request that must not be repeated ran at most once. Afterwards all VMs serve again.
#
# If the seed is divisible by three, two poison requests crash the searchers that run them and are repeated at any VM.
# Afterwards, when all VMs reach the store and each other, few more attempts reach a searcher, and no other request is
# blocked.
#
# If the seed is at least 1000, a data centre is evacuated and reopened, searchers become cold, the store is restored
# from an older copy of its data after which the operator and the searchers write again, and callers send requests
# that must stay in the other region.
#
#   tests/soak/front_soak.sh SEED [SECONDS]
set -u
cd "$(dirname "$0")/../.."
SEED=$1 SECONDS_RUN=${2:-10}
PORT_BASE=${PORT_BASE:-$((15000 + SEED % 8 * 600))}
. tests/front_lib.sh
RANDOM=$SEED
VMS_RUN=3 SHARDS=3 OFFSET=100
REGION_FAULTS=$((SEED >= 1000))
[ $REGION_FAULTS = 0 ] || EVACUATE_MS=5000
# If the seed is odd, two large VMs gather for a small one.
front_size() {
	[ $((SEED % 2)) = 1 ] || return 0
	[ "$1" = 0 ] && printf 'link_mbps = 20\ncores = 1\ncore_share = 0.1\n' || printf 'link_mbps = 200\ncores = 1\ncore_share = 0.5\n'
}
PROXY=$((PORT_BASE + 2)) STORE_ENDPOINT=$((PORT_BASE + 3))
pick() { local -a all=("$@"); echo "${all[RANDOM % ${#all[@]}]}"; }
proxy() { curl -s -m 2 "http://127.0.0.1:$PROXY/do?mode=$1${2:-}" >/dev/null; }

endpoints=("$STORE_ENDPOINT:$STORE")
for ((i = 0; i < 2 * (SHARDS + 1); i++)); do endpoints+=("$((SHARDS_FROM + OFFSET + i)):$((SHARDS_FROM + i))"); done
"$BUILD/standin-proxy" "$PROXY" "${endpoints[@]}" >>"$RUN/proxy.log" 2>&1 &
PIDS+=($!)
REAL_STORE=$STORE
"$BUILD/standin-users-platform" --store "$REAL_STORE" --control "$CONTROL" --searchers "$SHARDS_FROM" \
	--advertise $OFFSET --cold-per-s $((4 * REGION_FAULTS)) >>"$RUN/users.log" 2>&1 &
PIDS+=($!)
STORE=$STORE_ENDPOINT
wait_until users none
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

caller() { # number
	local n=0 id vm at code
	while [ ! -e "$RUN/over" ]; do
		n=$((n + 1)) id=c$1-$n vm=$((n % VMS_RUN))
		at=http://127.0.0.1:$((FRONT_FROM + 10 * vm))
		if [ $((n % 3)) = 0 ]; then
			code=$(curl -s -m 3 -o "$RUN/b.$1" -w '%{http_code}' -H 'Host: get.example' -H "Dogwoodsaddle-Request-Id: $id" \
				-H 'Dogwoodsaddle-Request-Deadline: 1500' -d body "$at/get/act/x")
			echo "$code $id" >>"$RUN/posts.$1"
		else
			code=$(curl -s -m 3 -D "$RUN/h.$1" -o "$RUN/b.$1" -w '%{http_code}' -H 'Host: find.example' -H "Dogwoodsaddle-Request-Id: $id" \
				-H 'Dogwoodsaddle-Request-Deadline: 1500' "$at/find/x")
			[ "$code" != 200 ] || check_gather "$id" "$RUN/h.$1" "$RUN/b.$1" >>"$RUN/wrong"
		fi
		case $code in 200 | 000 | 500 | 502 | 503 | 504) ;; *) echo "$id: status $code" >>"$RUN/wrong" ;; esac
		echo "$code" >>"$RUN/codes"
	done
}

# Sends requests that must stay in region two: only searchers of that region may answer them.
home_caller() {
	local n=0 code path stamps
	while [ ! -e "$RUN/over" ]; do
		n=$((n + 1)) path=$([ $((n % 2)) = 0 ] && echo home || echo kept)
		code=$(curl -s -m 3 -D "$RUN/h.home" -o "$RUN/b.home" -w '%{http_code}' -H 'Host: home.example' \
			-H "Dogwoodsaddle-Request-Id: home-$n" -H 'Dogwoodsaddle-Request-Deadline: 1500' \
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
	while [ ! -e "$RUN/over" ]; do
		attempt $((RANDOM % VMS_RUN)) "${1%%/*}" "/${1#*/}"
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

version=1
# The operator and the searchers write again what the restored store has lost.
write_again() {
	users ready i- >/dev/null
	users configure '' $version >/dev/null
}
region_fault() { # data centre
	case $((RANDOM % 4)) in
	0) users evacuate "$1" >/dev/null; sleep 1; users reopen "$1" >/dev/null ;;
	1) users cold "$(pick i-shard-0 i-single-here i-shard-2-there)" 1500 >/dev/null ;;
	2) users copy >/dev/null ;;
	3) users down '' 1 >/dev/null; sleep 0.5; users restore >/dev/null; users down '' 0 >/dev/null; sleep 0.4; write_again ;;
	esac
}
fault() {
	local vm=$((RANDOM % VMS_RUN)) searcher
	[ $REGION_FAULTS = 0 ] || region_fault "$(pick here there)"
	searcher=$(pick i-shard-0-here i-shard-1-here i-shard-2-there i-single-here i-shard-1)
	case $((RANDOM % 12)) in
	0) kill -KILL "${FRONT_PID[$vm]}" ;;
	1) kill -TERM "${FRONT_PID[$vm]}" ;;
	2) kill -STOP "${FRONT_PID[$vm]}"; sleep 1; kill -CONT "${FRONT_PID[$vm]}" ;;
	3) kill -HUP "${FRONT_PID[$vm]}" ;;
	4) users down '' 1 >/dev/null; sleep 1; users down '' 0 >/dev/null ;;
	5) users forget >/dev/null ;;
	6) version=$((version + 1 + RANDOM % 3)); users configure '' $version >/dev/null ;;
	7) users "$(pick hang shed foreign fail)" "$searcher" >/dev/null; sleep 0.7; users ok i- >/dev/null ;;
	8) users drain i-shard-2-there >/dev/null; sleep 0.5; users ready i-shard-2-there >/dev/null ;;
	9) proxy "$(pick silent oneway)" '&open=1' ;;
	10) proxy delay; sleep 0.7; proxy pass ;;
	11) proxy cut ;;
	esac
}

callers=()
for ((i = 0; i < 4; i++)); do caller $i & callers+=($!); done
for path in ${POISON_REQUESTS[@]+"${POISON_REQUESTS[@]}"}; do poison_caller "$path" & callers+=($!); done
[ $REGION_FAULTS = 0 ] || { home_caller & callers+=($!); }
end=$(($(date +%s) + SECONDS_RUN))
while [ "$(date +%s)" -lt $end ]; do
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
for ((i = 0; i < VMS_RUN; i++)); do
	kill -CONT "${FRONT_PID[$i]}" 2>/dev/null
	wait_until is_up "$i" || fail "seed $SEED: VM $i is not ready at the end: $(tail -n 3 "$RUN/front-$i.log")"
	served=0
	for ((n = 0; n < 10; n++)); do
		[ "$(curl -s -m 3 -o /dev/null -w '%{http_code}' -H 'Host: find.example' -H "Dogwoodsaddle-Request-Id: end$i$n" "http://127.0.0.1:$((FRONT_FROM + 10 * i))/find/x")" = 200 ] && served=$((served + 1))
		sleep 0.5
	done
	[ $served -ge 5 ] || fail "seed $SEED: VM $i served $served of 10 after the faults:$(grep -o "event=answer request=end$i.*" "$RUN/front-$i.log" | grep -o ' outcome=[a-z-]*' | sort | uniq -c | xargs)"
done
# The poison requests are known by now or soon: each VM gets a few attempts, and a few more after the settle time.
each_poison_request() { # times
	local n path
	for ((n = 0; n < $1; n++)); do
		for path in ${POISON_REQUESTS[@]+"${POISON_REQUESTS[@]}"}; do attempt $((n % VMS_RUN)) "${path%%/*}" "/${path#*/}"; done
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
posted=$(users none | jq '.posted')
jq -e 'all(.[]; . < 2)' <<<"$posted" >/dev/null || fail "seed $SEED: ran more than once: $(jq -c 'with_entries(select(.value > 1))' <<<"$posted")"
for id in $(cat "$RUN"/posts.* | awk '$1 == 503 {print $2}'); do
	jq -e --arg id "$id" 'has($id) | not' <<<"$posted" >/dev/null || fail "seed $SEED: rejected as not run, but ran: $id"
done
[ ! -s "$RUN/wrong" ] || fail "seed $SEED: $(head -n 3 "$RUN/wrong")"
[ "$(grep -c 200 "$RUN/codes")" -ge 5 ] || fail "seed $SEED: fewer than 5 requests were served"
echo "seed $SEED: $(sort "$RUN/codes" | uniq -c | awk '{printf "%s x %s  ", $1, $2}')"
