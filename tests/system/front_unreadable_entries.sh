# Another program overwrites a searcher's entry in the store with something unreadable. VMs that watch the store and
# VMs that are fed send nothing new to that searcher, give complete answers from the other searchers, and name the
# entry in one log line each. A searcher that drains and restarts under its id is used again.
. tests/front_lib.sh
fronts_start 6
all_know() { local i; for i in 0 1 2 3 4 5; do [ "$(metric dogwoodsaddle_searchers "$i")" = "$1" ] || return 1; done; }
wait_until all_know 8
users spoil i-shard-0-here >/dev/null
wait_until all_know 7
for i in 1 2 3; do find_all "q$i" >/dev/null; [ "$(status)" = 200 ] || fail "q$i: $(cat "$RUN/head")"; done
for i in 0 1 2 3 4 5; do
	[ "$(grep -c 'event=searcher-ignored searcher="i-shard-0-here' "$RUN/front-$i.log")" = 1 ] || fail "VM $i does not log the ignored entry exactly once"
	[ "$(metric dogwoodsaddle_searcher_entries_ignored_total "$i")" -ge 1 ] || fail "VM $i does not count the ignored entry"
done
users ready i-shard-0-here >/dev/null
wait_until all_know 8

users drain i-shard-1-here >/dev/null
drained() { local i; for i in 0 1 2 3 4 5; do grep -q 'event=searcher-draining searcher=i-shard-1-here' "$RUN/front-$i.log" || return 1; done; }
wait_until drained
users born >/dev/null
users ready i-shard-1-here >/dev/null
again() { local i; for i in 0 1 2 3 4 5; do [ "$(grep -c 'event=searcher-ready searcher=i-shard-1-here' "$RUN/front-$i.log")" = 2 ] || return 1; done; }
wait_until again
