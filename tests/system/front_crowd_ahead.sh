# Requests sent ahead on a connection, whose answers are not read, take all of a VM's processor time: readiness is late, and other
# callers are not served. One such client must leave a VM with an eighth of a core most of it.
. tests/crowd_lib.sh
fronts_start 1
# one_client LABEL KIND [arguments]: a single client takes no more than the VM's share of a core, ordinary callers included.
one_client() {
	play "one client, $1" 3 100 "$2" 1 "${@:3}"
	[ "$PROCESSOR" -le "$(awk -v share="$CORE_SHARE" 'BEGIN {print share * 100}')" ] || fail "one client, $1: $PROCESSOR % of a core"
}
# shellcheck disable=SC2086
for kind in ahead ahead-read; do
	one_client "$kind, no route" $kind $NO_ROUTE --method GET
	one_client "$kind, gathers" $kind $FIND --method GET
	one_client "$kind, readiness" $kind --port $((FRONT_FROM + 1)) --path /ready --method GET
	play "$kind, no route" 3 100 $kind 400 $NO_ROUTE --method GET
	play "$kind, gathers" 3 100 $kind 400 $FIND --method GET
	play "$kind, single searcher" 3 100 $kind 400 $GET --method GET
	play "$kind, actions" 3 100 $kind 400 $ACT --method GET
	play "$kind, readiness" 3 100 $kind 400 --port $((FRONT_FROM + 1)) --path /ready --method GET
done
[ "$(metric callers_paced_total)" -gt 0 ] || fail "no client was paced"
processes_are_sound
