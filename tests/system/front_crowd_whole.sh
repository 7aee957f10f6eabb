# Many whole requests of legal size at once exceed a VM's memory: those that are being answered are not counted.
. tests/crowd_lib.sh
# Requests are read as fast as a whole processor allows, so that memory is what limits them.
CORE_SHARE=1 EXCESS_PERCENT=100
fronts_start 1
# shellcheck disable=SC2086
{
	play "whole requests" 3 100 whole 400 $FIND
	play "whole requests of many fields" 3 100 fields 400 $FIND
	play "actions of many fields" 3 100 fields 400 $ACT --ids
	refusals_are_true
}
[ "$(metric open_requests_refused_total)" -gt 0 ] || fail "no request was refused for want of memory"
processes_are_sound
