# All clients that don't behave come at once, at several addresses, while searchers are slow.
. tests/crowd_lib.sh
ulimit -n 4100
USERS_ARGS+=" --work-ms 500"
INTERVAL=500
fronts_start 1
READY="--port $((FRONT_FROM + 1)) --path /ready"
beside "slow searchers alone" 4
check_beside "slow searchers alone" 50
# shellcheck disable=SC2086
{
	for at in "$FIND" "$GET" "$ACT" "$NO_ROUTE" "$READY"; do
		for kind in whole fields chunks pieces oversize; do crowd $kind 20 9 $at --ids; done
		for kind in ahead ahead-read; do crowd $kind 20 9 $at --method GET; done
		for kind in slow half-head half-body unread silent head; do crowd $kind 30 9 $at; done
	done
}
sleep 0.5
beside "all at once" 7
check_beside "all at once" 50
refusals_are_true
processes_are_sound
