# Crowds that send far too much, send or read slowly, or stop half-way take all connections of a VM, or its processor and memory:
# other callers can't connect.
. tests/crowd_lib.sh
ulimit -n 4100
fronts_start 1
READY="--port $((FRONT_FROM + 1)) --path /ready"
# shellcheck disable=SC2086
{
	for kind in oversize oversize-chunks head; do
		for at in "$NO_ROUTE" "$FIND" "$READY"; do play "$kind, $at" 2 100 $kind 400 $at; done
	done
	# More than the connections that callers may have together.
	for kind in silent slow half-head; do play "$kind, $FIND" 3 100 $kind 3600 $FIND; done
	for kind in half-body unread; do play "$kind, $FIND" 3 100 $kind 1200 $FIND; done
	for kind in silent slow half-head half-body unread; do play "$kind, $READY" 2 100 $kind 1200 $READY; done
}
[ "$(metric caller_connections_refused_total)" -gt 0 ] || fail "callers have not reached the limit on connections"
processes_are_sound
