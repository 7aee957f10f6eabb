# A caller closes its connection while its search is running. The daemon must detect this and cancel the
# sub-requests by closing its connections to the searchers, so that they do no work for a lost caller.
. tests/lib.sh
WORK_US=2000000
site_start brodnica || exit 1
curl -s -m 0.3 -X POST -d '{}' "http://127.0.0.1:$CALLERS_FROM/v1/services/checklist-board/search"
cancelled() {
	local name sum=0
	for name in "${!SEARCHER_CONTROL[@]}"; do
		sum=$((sum + $(control "$name" '{}' | jq .cancelled)))
	done
	[ $sum -ge 10 ]
}
wait_until cancelled || fail "the ten sub-requests were not cancelled"
