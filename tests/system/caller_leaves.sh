# A caller gives up and closes its connection while its search is under way. The daemon must notice,
# and cancel at the searchers by closing its own connections; nobody goes on working for nobody.
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
