#!/usr/bin/env bash
# Takes one safeguard out of a scratch copy at a time; the scripts or the random schedules must notice.
# A safeguard whose loss nobody notices is either not needed or not tested.
#
# Each row: name | file | perl expression that takes the safeguard out
set -u
cd "$(dirname "$0")/.."
MUTANTS=(
	'any answer is merged|src/core/query.c|s/if \(reply->version != query->snapshot->version \|\|/if (0 \&\&/'
	'a cut action is asked again|src/core/dispatch.c|s/if \(may_have_run && part->query->request->kind == SERVICE_ONCE\)/if (0)/'
	'an action that is out counts as not run|src/core/engine.c|s/\} else if \(action_is_out\(query\)\) \{/} else if (0) {/'
	'a claim of another is overwritten|src/core/claims.c|s/if \(entry && !op->read_since\)/if (0)/; s/if \(entry\) \{/if (0) {/'
	'a lost claim answer is not looked up|src/core/claims.c|s/if \(entry && g_str_equal\(entry->holder, op->holder\)\) \{/if (0) {/'
	'the batch stays open while it is ended|src/core/claims.c|s/bucket->state = BUCKET_FILLING;\n\twhile \(\(op = g_queue_pop_head\(&bucket->batch/bucket->state = BUCKET_IDLE;\n\twhile ((op = g_queue_pop_head(&bucket->batch/'
	'a late claim is not given back|src/core/engine.c|s/if \(end == CLAIM_OURS\)\n\t\t\tengine->ops->claim_outcome/if (0)\n\t\t\tengine->ops->claim_outcome/'
	'a paused holder sends all the same|src/core/engine.c|s/now_us >= query->deadline.at_us \|\| !service->snapshot/!service->snapshot/; s/if \(query->finished\) \{\n\t\t\/\* Answered/if (0) {\n\t\t\/* Answered/'
	'the health page is believed|src/core/upstream.c|s/return !upstream->out && !upstream->leaving_said &&/return !upstream->out \&\&/'
	'a pause is not noticed|src/core/news.c|s/now_us - before_us < PAUSE_US/1/'
	'one searcher may name the whole index|src/core/snapshot.c|s/if \(news\[group\].tells && !news\[group\].holds\)/if (0)/'
	'news of versions are not awaited|src/core/engine.c|s/\|\|\s+restart_await\(engine, query, now_us\)\)/|| 0)/'
	'no restart at another version|src/core/restart.c|s/if \(!service->snapshot \|\| !gives_more/if (1 || !gives_more/'
	'no hedge|src/core/dispatch.c|s/!budget_spend\(&service->hedge_budget\)/1/'
	'no rescue|src/core/dispatch.c|s/if \(!budget_spend\(&service->rescue_budget\)\)/if (1)/'
	'an old configuration comes back|src/core/adoption.c|s/if \(number <= adoption_number\(adoption\)\)/if (0)/'
	'a proposal is not looked up|src/core/proposal.c|s/\tif \(own\) \{/\tif (0) {/'
	'an outage is waited out|src/core/claims.c|s/claims->failures >= FAILURES_TO_OUTAGE/0/'
	'a stranger may speak|src/core/frame.c|s/return difference == 0;/return true;/'
	'old news of a member are taken|src/core/gossip.c|s/heard->incarnation < member->incarnation \|\|/0 ||/'
	'a cut that heals is not found|src/core/gossip.c|s/!is_known\(gossip, seed\) \|\| g_rand_int_range\(gossip->rand, 0, 10\) == 0/!is_known(gossip, seed)/'
	'a note lives for ever|src/core/gossip.c|s/at_ms \+ NOTE_KEEP_MS < gossip->timeline->wall_ms\(\) \|\|/0 ||/; s/if \(note->at_ms \+ NOTE_KEEP_MS < now_ms\)/if (0)/'
	'urgent work may starve the rest|src/core/gate.c|s/\+\+gate->turn % FAIR_TURN/1/'
	'all are served in order of arrival|src/core/gate.c|s/\+\+gate->turn % FAIR_TURN/0/'
)
SCRATCH=$(mktemp -d)
trap 'rm -rf "$SCRATCH"' EXIT
FLAGS="$(pkg-config --cflags --libs glib-2.0 jansson libxxhash msgpack) -lcmocka -lm"

try_mutant() { # row index
	local name file expression dir=$SCRATCH/$2 row=$1
	name=${row%%|*} row=${row#*|}
	file=${row%%|*} expression=${row#*|}
	mkdir -p "$dir" && cp -r src tests "$dir"
	perl -0pi -e "$expression" "$dir/$file"
	cmp -s "$file" "$dir/$file" && { echo "STALE  $name: nothing to take out of $file"; return 1; }
	cd "$dir" || return 1
	# shellcheck disable=SC2086
	gcc -w -O1 -Isrc -Itests -o script_test tests/script_test.c tests/world.c src/core/*.c $FLAGS &&
		gcc -w -O1 -Isrc -Itests -o random_test tests/random_test.c tests/world.c src/core/*.c $FLAGS ||
		{ echo "BROKEN $name"; return 1; }
	# shellcheck disable=SC2086
	gcc -w -O1 -Isrc -Itests -o gossip_test tests/gossip_test.c src/core/*.c $FLAGS || { echo "BROKEN $name"; return 1; }
	if ! timeout 60 ./gossip_test >/dev/null 2>&1; then
		echo "seen by the members: without it $name"
	elif ! timeout 60 ./script_test >/dev/null 2>&1; then
		echo "seen by the scripts: without it $name"
	elif ! timeout 120 ./random_test 400 >/dev/null 2>&1; then
		echo "seen by the schedules: without it $name"
	else
		echo "UNSEEN $name"
		return 1
	fi
}

jobs=()
for i in "${!MUTANTS[@]}"; do
	(try_mutant "${MUTANTS[$i]}" "$i" >"$SCRATCH/out.$i" 2>&1) &
	jobs+=($!)
	# As many at once as there are processors, each to its end.
	while [ "$(jobs -rp | wc -l)" -ge "$(nproc)" ]; do wait -n; done
done
bad=0
for i in "${!jobs[@]}"; do
	wait "${jobs[$i]}" || bad=$((bad + 1))
	cat "$SCRATCH/out.$i"
done
echo "$((${#MUTANTS[@]} - bad)) of ${#MUTANTS[@]} safeguards are missed when taken out"
[ $bad = 0 ]
