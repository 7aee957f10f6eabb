# Bodies in chunks of one byte, or in small pieces, take all of a VM's processor time: readiness is late, and other callers are not
# served. One such client must leave a VM with an eighth of a core most of it.
. tests/crowd_lib.sh
fronts_start 1
# shellcheck disable=SC2086
for kind in chunks pieces; do
	for at in "$NO_ROUTE" "$FIND" "$ACT" "--port $((FRONT_FROM + 1)) --path /ready"; do
		play "one client, $kind, $at" 2 100 $kind 1 $at
		[ "$PROCESSOR" -le "$(awk -v share="$CORE_SHARE" 'BEGIN {print share * 100}')" ] ||
			fail "one client, $kind, $at: $PROCESSOR % of a core"
		play "$kind, $at" 2 100 $kind 400 $at --ids
	done
done
refusals_are_true
[ "$(metric callers_paced_total)" -gt 0 ] || fail "no client was paced"
processes_are_sound
