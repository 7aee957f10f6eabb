# Bodies in chunks of one byte, or in small pieces, take all of a VM's processor time: readiness is late, and other callers are not
# served. One such client must leave a VM with an eighth of a core most of it.
. tests/crowd_lib.sh
fronts_start 1
# one_client KIND AT: a single client takes no more than the VM's share of a core, ordinary callers included.
one_client() {
	# shellcheck disable=SC2086
	play "one client, $1, $2" 2 100 "$1" 1 $2
	[ "$PROCESSOR" -le "$(awk -v share="$CORE_SHARE" 'BEGIN {print share * 100}')" ] || fail "one client, $1, $2: $PROCESSOR % of a core"
}
for kind in chunks pieces; do
	for at in "$NO_ROUTE" "$FIND" "$ACT" "--port $((FRONT_FROM + 1)) --path /ready"; do
		one_client $kind "$at"
		# shellcheck disable=SC2086
		play "$kind, $at" 2 100 $kind 400 $at --ids
	done
done
for kind in whole fields; do
	for at in "$NO_ROUTE" "$FIND"; do one_client $kind "$at"; done
done
refusals_are_true
[ "$(metric callers_paced_total)" -gt 0 ] || fail "no client was paced"
processes_are_sound
