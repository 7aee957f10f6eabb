# Many whole requests of legal size wait at once, because the searchers are slow, and exceed a VM's memory.
. tests/crowd_lib.sh
USERS_ARGS+=" --work-ms 500"
INTERVAL=500
# Requests are read as fast as a whole processor allows, so that memory is what limits them.
CORE_SHARE=1 EXCESS_PERCENT=100
fronts_start 1
# shellcheck disable=SC2086
{
	beside "slow searchers alone" 4
	check_beside "slow searchers alone" 50
	play "whole requests" 4 50 whole 1200 $FIND
	play "whole requests of many fields" 4 50 fields 1200 $FIND
	play "whole requests to one searcher" 4 50 whole 1200 $GET
	play "whole actions" 4 50 whole 1200 $ACT --ids
	refusals_are_true
}
[ "$(metric open_requests_refused_total)" -gt 0 ] || fail "no request was refused for want of memory"
processes_are_sound
