# A request that admission control refused is explained from its lines: the shard that lacked room, how long it waited and
# what its caller was told. The lines are as the daemons write them; no process runs.
set -u
RUN=$(mktemp -d)
trap 'rm -rf "$RUN"' EXIT
fail() {
	echo "check failed: $*"
	exit 1
}
explain() { "$BUILD/dogwoodsaddle" explain "$@" "$RUN/log"; }
expect() { # REQUEST TEXT...
	local request=$1 out text
	shift
	out=$(explain "$request")
	for text in "$@"; do
		[[ $out == *"$text"* ]] || fail "explain $request lacks \"$text\": $out"
	done
}

cat >"$RUN/log" <<'LOG'
time=2026-03-01T10:00:00.000000Z level=info vm=v1 event=sub-request request=o1 service=shard-7 searcher=i-7-1 purpose=first outcome=not-run status=503 took_us=900 out=4
time=2026-03-01T10:00:00.100000Z level=info vm=v1 event=answer request=arrived route=find outcome=full status=503 took_us=300 patience_us=600000 parts=0 missing=0 version=3 store_age_us=5 reason=admission shard=shard-7 wait_us=0 rank=1 retry_after_us=41200 tenant=shop fingerprint=0a
time=2026-03-01T10:00:00.200000Z level=info vm=v1 event=answer request=waited route=find outcome=full status=503 took_us=93000 patience_us=600000 parts=0 missing=0 version=3 store_age_us=5 reason=admission shard=shard-2 wait_us=92000 rank=3 retry_after_us=180000 fingerprint=0b
time=2026-03-01T10:00:00.300000Z level=info vm=v1 event=answer request=behind route=find outcome=full status=503 took_us=93000 patience_us=600000 parts=0 missing=0 version=3 store_age_us=5 reason=admission shard=none wait_us=92000 rank=3 retry_after_us=180000 fingerprint=0c
time=2026-03-01T10:00:00.400000Z level=info vm=v2 event=answer request=handed outcome=full status=503 took_us=9000 patience_us=600000 parts=0 missing=0 gathered_by=v1 asked=1 taken=1 gather_us=8000 store_age_us=5 reason=admission shard=shard-7 wait_us=7000 rank=1 retry_after_us=90000 fingerprint=0d
time=2026-03-01T10:00:00.401000Z level=info vm=v1 event=answer request=handed route=find outcome=full status=503 took_us=7000 patience_us=600000 parts=0 missing=0 version=3 store_age_us=5 reason=admission shard=shard-7 wait_us=7000 rank=1 retry_after_us=90000 fingerprint=0d
time=2026-03-01T10:00:00.500000Z level=info vm=v1 event=answer request=second route=find outcome=full status=503 took_us=7000 patience_us=600000 parts=0 missing=0 version=3 store_age_us=5 reason=admission shard=shard-7 wait_us=0 rank=1 retry_after_us=90000 fingerprint=0e
time=2026-03-01T10:00:00.499000Z level=info vm=v2 event=answer request=second outcome=failed status=502 took_us=9000 patience_us=600000 parts=0 missing=0 gathered_by=v1 asked=2 taken=1 gather_us=8000 store_age_us=5 fingerprint=0e
time=2026-03-01T10:00:00.600000Z level=info vm=v1 event=answer request=plain route=find outcome=full status=503 took_us=93 patience_us=600000 parts=0 missing=0 version=3 store_age_us=5 fingerprint=0f lost=shard-1:waiting:nobody:no-reply
time=2026-03-01T10:00:00.700000Z level=info vm=v1 event=answer request=old outcome=full status=503 took_us=9 patience_us=6 parts=0 missing=0 gathered_by=v9 asked=1 taken=1 gather_us=8 store_age_us=5 fingerprint=10
LOG

expect arrived "not run: admission control refused it as a whole" "shard shard-7 lacked room" "refused on arrival; rank 1, tenant shop" \
	"the caller was told 503 and to come back in 41 ms" "searcher i-7-1, sub-requests logged by all VMs within 1.5 s: not-run=1"
expect waited "shard shard-2 lacked room at its searchers; it waited 92 ms for room; rank 3" "come back in 180 ms"
expect behind "because requests before it take the room" "no shard lacked room when it was refused; it waited 92 ms"
# Both lines of a request that was handed over tell one refusal.
expect handed "shard shard-7 lacked room" "it waited 7 ms" "come back in 90 ms" "by shard, logged by all VMs within 1.5 s: none=1 shard-2=1 shard-7=3" \
	"VM v2 in the" "VM v1 in the"
# The second gatherer refused it, but the first one may have run it: what the caller got counts, whatever the clocks say.
expect second "request second: may have run"
[[ $(explain second) != *"lacked room"* ]] || fail "explain tells a request that may have run as refused: $(explain second)"
# Refused for another reason, and by a gatherer of an earlier version, which does not say why.
expect plain "no connection to a searcher would have become free in time"
expect old "no connection to a searcher would have become free in time"
[[ $(explain plain)$(explain old) != *admission* ]] || fail "explain takes a refusal without a reason for one by admission control"
exit 0
