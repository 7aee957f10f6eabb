#!/usr/bin/env bash
# Case 4: a caller gets the answer to another caller's request. See claim.txt. TROUBLE=0 leaves the disruption out.
#
# Freezes one daemon after the other, until a caller gets a wrong answer. All of them end by themselves, but most of them
# before they answer anybody wrongly; so there is a second round with new daemons.
. "$(dirname "${BASH_SOURCE[0]}")/../lib-2.sh"
platform_start --shards 8 --work-ms 450 --log-runs
for _ in 1 2; do
	vms_start 8
	callers_run foreign
	verdict=$?
	[ $verdict = 0 ] || exit $verdict
	vms_stop
done
exit 0
