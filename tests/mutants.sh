#!/usr/bin/env bash
# Takes one safeguard out of a scratch copy at a time; the scripts or the random schedules must notice.
# A safeguard whose loss nobody notices is either not needed or not tested.
#
# Each row: name | file | perl expression that takes the safeguard out. ONLY=TEXT tries rows that hold it.
set -u
cd "$(dirname "$0")/.."
MUTANTS=(
	'others are put beside a suspect|src/core/placement.c|s/define COMPANY_US 150000/define COMPANY_US 50000/'
	'a part is hedged to where a suspect is|src/core/part.c|s/!searcher \|\| searcher->probes\)/!searcher)/'
	'announced objects that the store does not return are not requested from the feeder|src/core/hearing.c|s/if \(sync->feed\)\n\t\tsync->ops->request_announced/if (0)\n\t\tsync->ops->request_announced/'
	'a new subscriber is sent announced objects whole|src/core/feed_book.c|s/announced \? "" : object->text/object->text/'
	'a call to a failing store times out only after the wait of a watch|src/core/hearing.c|s/brief = list \|\| sync->failing \|\| kind->failures;/brief = list;/'
	'postponed kinds are not requested after the store recovers|src/core/hearing.c|s/if \(kind->postponed \|\|/if (0 \&\& (0 ||/; s/kind != answered\)\)\n/kind != answered)))\n/'
	'calls lost while the store timed out are not repeated|src/core/hearing.c|s/kind->pending \&\& \(sync->timed_out \|\| !kind->config.frequent\)/0/'
	'a watch waits for the whole settle time|src/core/feed_timing.c|s/saturating_sub\(settle_ms, WATCH_RECOVERY_MS\)/settle_ms/'
	'probes have no time-out limit|src/core/feed_timing.c|s/define PROBE_TIMEOUT_MAX_MS 1500/define PROBE_TIMEOUT_MAX_MS 9000/; s/tries_ms \/ 2/tries_ms/'
	'store checks are rare|src/core/feed_timing.c|s/MIN\(timing.age_max_us,\s*\(uint64_t\)saturating_sub\(tries_ms, probe_ms\) \* 1000\)/4 * timing.age_max_us/'
	'a feeder that sends no status does not time out|src/core/hearing_links.c|s/store_sync_set_timer\(sync, &sync->candidate_timer, now_us \+ CANDIDATE_TIMEOUT_US\);/;/'
	'a feed with stale data is kept|src/core/hearing_links.c|s/\trecord_status\(sync, link\);\n\tif \(action/\tif (action/; s/link->last_answer_us \+ feed_age_max_us\(&sync->timing, link->backup\)/UINT64_MAX \/ 2/'
	'a VM that can not reach the store tries no backup feeder|src/core/hearing_links.c|s/if \(sync->candidate \|\| !needs_backup\(sync\) \|\|/if (1 || sync->candidate ||/'
	'the feeder that a rejected backup names is not tried|src/core/hearing_links.c|s/if \(link->backup && \*status->from\) \{/if (0) {/'
	'a backup feed is kept after the store recovers|src/core/hearing_links.c|s/if \(link->backup\)\n\t\tcheck_store_later\(sync, now_us\);//'
	'a backup candidate keeps feeders from being tried|src/core/hearing_links.c|s/close_feed\(sync, reason\);\n\tstore_sync_close_backup_candidate\(sync, reason\);/close_feed(sync, reason);/'
	'backups are tried without a pause|src/core/hearing_links.c|s/if \(sync->backups_in_round >= BACKUPS_PER_ROUND\)/if (0)/'
	'requests leave their regions|src/core/placement.c|s/\(!route \|\| route_allows\(route, searcher->region\)\)/1/'
	'room in other regions holds up the queue|src/core/forwarder.c|s/ && !forward->route->regions//'
	'a route bound to no region goes anywhere|src/core/routing.c|s/if \(!route->regions\)\n\t\treturn true;/return true;/'
	'an evacuated data centre is sent work|src/core/searcher.c|s/ && !searcher->evacuated//'
	'searchers that register there are sent work|src/core/registry.c|s/searcher->evacuated = g_hash_table_contains\(registry->evacuated, entry->data_centre\);//'
	'an evacuation that a copy lacks is dropped|src/core/evacuation.c|s/name && now_us < evacuations->rewritten_us/0/'
	'cold searchers are pressed|src/core/placement.c|s/return !searcher->cold_share \|\| now_us < searcher->cold_next_us;/return false;/'
	'what was sent to a cold searcher is forgotten|src/core/placement.c|s/searcher->cold_next_us =\s+now_us \+/searcher->cold_next_us = 0 */'
	'searchers that are taken back are taken to be warm|src/core/registry.c|s/if \(evacuated \|\| !pool->cold.per_s\)/if (1)/'
	'cold again is not heard|src/core/registry.c|s/bool again = entry->cold_us > searcher->cold_us;/bool again = false;/'
	'one that warms and leaves at once is sent work|src/core/registry.c|s/changed = note_draining\(searcher, entry\);\n\tchanged = note_cold\(registry, searcher, entry, now_us\) \|\| changed;/changed = note_cold(registry, searcher, entry, now_us);\n\tif (changed)\n\t\tregistry->ops->changed(registry->ctx, searcher);\n\tchanged = note_draining(searcher, entry);/'
	'those that wait for a cold searcher wait to their deadline|src/core/forwarder.c|s/if \(at_us != UINT64_MAX \&\&/if (0 \&\&/'
	'a part that is cold past its deadline waits|src/core/part.c|s/if \(placement_is_all_cold\(&candidates, now_us\)\)/if (0)/'
	'a VM counts before others know it|src/core/cold_share.c|s/define MEMBER_LEAST_US .*/define MEMBER_LEAST_US 0/'
	'an old list of VMs is relied on|src/core/cold_share.c|s/define LIST_TRUSTED_US 15000000/define LIST_TRUSTED_US 15000000000ull/; s/define MEMBER_LEAST_US .*/define MEMBER_LEAST_US 30000000/'
	'cold searchers get as much of each VM|src/core/cold_share.c|s/return most \/ members->vms->len;/return most;/'
	'a version that names cold searchers sets no bound|src/core/forwarder.c|s/routing = routing;\n\tset_cold_bounds\(forwarder\);/routing = routing;\n\t(void)set_cold_bounds;/'
	'all VMs send a cold searcher one|src/core/cold_share.c|s/return before < most;/return true;/'
	'one that had gone comes back by a copy|src/core/registry.c|s/return start && start->gone &&/return 0 \&\& start->gone \&\&/'
	'searchers that a copy lacks are gone at once|src/core/registry.c|s/(void registry_store_restored[^}]*)registry->lapse_end_us = now_us \+ LAPSE_US;/$1/'
	'a word of an earlier era is believed|src/core/store_era.c|s/if \(era->known && number < era->number\)/if (0)/'
	'a restored store is not told again|src/core/poison_share.c|s/if \(!record->stored\)\n\t\t\tcontinue;\n\t\trecord->stored = 0;/continue;\n\t\trecord->stored = 0;/'
	'all VMs tell a restored store|src/core/poison_share.c|s/record->tell_us = 0; \/\* told by another VM \*\//;/'
	'a request that crashes searchers is not remembered|src/core/poison_losses.c|s/if \(!fingerprint \|\| poison_was_served/if (1 || poison_was_served/'
	'what runs beside such a request is refused with it|src/core/poison_losses.c|s/record->strikes == 1 \? STRIKE_GAP_US : 0/0/'
	'a suspect goes to all shards|src/core/forwarder.c|s/if \(!forward_is_careful\(forward, now_us\)\)\n\t\tstart_parts/if (1)\n\t\tstart_parts/'
	'a suspect that lost its searcher asks the next|src/core/part.c|s/bool gives_up = reply->broken && forward->probe == part;/bool gives_up = false;/'
	'a gather of which nothing is in is hedged like others|src/core/part.c|s/return forward->answered \|\| forward->part_count < HEDGE_ALONE_PARTS;/return true;/'
	'hedges wait on once a first part is in|src/core/part.c|s/if \(!part->forward->answered\+\+\)\n\t\thedge_others\(part, now_us\);/part->forward->answered++;\n\t(void)hedge_others;/'
	'a wave of ends is told late|src/core/poison_share.c|s/define ENDS_TOLD_AT_ONCE 3/define ENDS_TOLD_AT_ONCE 3000/'
	'what lost parts beside others is told at once|src/core/poison_losses.c|s/unanswered_ends \+= !loss->sending.answered;/unanswered_ends++;/'
	'requests beside a lost data centre flood the store|src/core/poison_share.c|s/define HURRY_BURST 2/define HURRY_BURST 200/'
	'a suspect is hedged|src/core/part.c|s/if \(forward_is_careful\(part->forward, now_us\)\) \{/if (0) {/'
	'copies of a suspect go all at once|src/core/poison_trials.c|s/now_us < record->probe_us \+ PROBE_GAP_US/0/'
	'an answer does not clear|src/core/poison_losses.c|s/if \(record->strikes && g_str_equal\(record->service, service\)\) \{/if (0) {/'
	'an answer of any shard clears|src/core/poison_losses.c|s/if \(record->strikes && g_str_equal\(record->service, service\)\) \{/if (record->strikes) {/'
	'a reset connection counts as an end|src/core/poison_losses.c|s/return !loss->listens \|\| /return 1 || /'
	'a proxy hides ends|src/core/poison_losses.c|s/return !loss->listens \|\| .*;/return !loss->listens;/'
	'strikes of other VMs are added up|src/core/poison_share.c|s/set_strikes\(record, news->strikes, news->service, now_us\);/set_strikes(record, record->strikes + news->strikes, news->service, now_us);/'
	'any number of requests is remembered|src/core/poison.c|s/if \(g_hash_table_size\(poison->records\) >= POISON_RECORDS_MOST\)/if (0)/'
	'what is forgotten stays in the store|src/core/poison.c|s/if \(record->stored && poison->ops\)/if (0)/'
	'first strikes flood the store|src/core/poison_share.c|s/define TELL_BURST 8/define TELL_BURST 800/'
	'a block ends while it is asked for|src/core/poison.c|s/record->renewals\+\+;/return 0;/'
	'what was just served is suspected|src/core/poison_losses.c|s/return served->fingerprint == fingerprint &&/return 0 \&\&/'
	'suspects share a searcher|src/core/placement.c|s/\(alone && searcher->probes\)/0/'
	'parts of a short shard wait to the target|src/core/part.c|s/if \(shedding_is_allowed\(part->forward\) && shedding_waits_too_long/if (0 \&\& shedding_waits_too_long/; s/if \(shedding_is_allowed\(part->forward\) && shedding_is_too_late/if (0 \&\& shedding_is_too_late/'
	'more parts are left out than coverage allows|src/core/shedding.c|s/forward_has_enough\(forward, left - 1\)/1/'
	'parts that a request needs wait behind others|src/core/part.c|s/if \(spare != shedding_is_allowed\(other->forward\)\)/if (0)/'
	'searchers work on parts of a short shard past the target|src/core/part.c|s/!shedding_is_on\(sub->pool, now_us\) \|\|/1 ||/'
	'a trial that showed nothing is followed by the next searcher|src/core/forward_suspect.c|s/if \(!end->ran \|\| !forward->has_trial/if (1 || !forward->has_trial/'
	'an attempt ends the trial of another that it never had|src/core/forward_suspect.c|s/forward->has_trial = turn == TRIAL_GO;/forward->has_trial = turn == TRIAL_GO || turn == TRIAL_NONE;/'
	'an attempt that was answered keeps its trial|src/core/forward_suspect.c|s/!forward->answered && !has_claimed/!has_claimed/'
	'a trial is cut short for its shard|src/core/part.c|s/forward->probe == &forward->parts\[sub->part\] \|\|/0 ||/'
	'a request without hope is tried|src/core/forward_suspect.c|s/return !forward->route->gathers \|\|\s*forward_has/return 1 || forward_has/'
	'an attempt with little time is a trial|src/core/forward_suspect.c|s/return \(double\)forward_left_us\(forward, now_us\) >= least_us;/return 1;/'
	'callers in a hurry are put off for good|src/core/poison_trials.c|s/define SHORT_AFTER_US 3000000/define SHORT_AFTER_US 3000000000/'
	'trials are not claimed|src/core/poison_trials.c|s/if \(poison->ops && poison->ops->claim\)/if (0)/'
	'claims flood the store|src/core/poison_trials.c|s/define CLAIM_BURST 4/define CLAIM_BURST 400/'
	'ends before a request was suspect add up|src/core/poison_losses.c|s/if \(!loss->sending.on_trial \|\|/if (/'
	'searchers that had ended behind a proxy count|src/core/poison_losses.c|s/loss->listens && !loss->sending.kept/0/'
	'what an attempt sends beside a trial of another counts|src/core/forward_suspect.c|s/return forward->has_trial &&\s*poison_is_on_trial/return poison_is_on_trial/'
	'two ends refuse a request|src/core/poison_losses.c|s/set_strikes\(record, record->strikes \+ 1,/set_strikes(record, record->strikes + (record->strikes ? 2 : 1),/'
	'a refused request is never tried again|src/core/poison.c|s/return record->strikes == POISON_STRIKES && trial/return 0 \&\& trial/'
	'a refused request is tried again and again|src/core/poison.c|s/return record->strikes == POISON_STRIKES && trial/return trial/'
	'trials that found nobody count as if they had cost a searcher|src/core/trial.c|s/trial->ran \+= ran;/trial->ran++;/'
	'a trial that found nobody is taken for lost|src/core/poison_trials.c|s/if \(!counted\)\n\t\treturn;/if (!counted || !end->ran)\n\t\treturn;/'
	'a late trial costs one searcher more|src/core/poison.c|s/define TRIALS_MOST 3/define TRIALS_MOST 300/'
	'trials follow each other at once|src/core/trial.c|s/define PAUSE_US 1000000/define PAUSE_US 1000/'
	'trials that show nothing go on at the same pace|src/core/trial.c|s/return \(uint64_t\)PAUSE_US << .*;/return PAUSE_US;/'
	'trials of other VMs that showed nothing go on at the same pace|src/core/trial.c|s/(trial->state = TRIAL_IDLE;\n\ttrial_delay\(trial, now_us \+ )pause_us\(trial\)\);\n\}/$1PAUSE_US);\n}/'
	'a trial that was lost elsewhere holds up the others|src/core/trial.c|s/return trial->state == TRIAL_ELSEWHERE &&/return 0 \&\&/'
	'a silent store keeps suspects waiting|src/core/trial.c|s/define CLAIM_WAIT_US 250000/define CLAIM_WAIT_US 250000000/'
	'a grant is kept for good|src/core/trial.c|s/define GRANT_KEEP_US 1000000/define GRANT_KEEP_US 1000000000/'
	'searchers that refuse a share are asked like others|src/core/placement.c|s/cost_us \+= yield_lost\(&searcher->yield, now_us\) \* LOST_US;//'
	'one that refuses a share is asked once only|src/core/part.c|s/if \(yield_lost\(&searcher->yield, now_us\) > REFUSES_A_SHARE &&/if (0 \&\&/'
	'parts are left out in the order of the shards|src/core/forwarder.c|s/wait_us\(part, now_us\) > wait_us\(longest, now_us\)/0/'
	'a shard that is short all the time is waited for as long|src/core/shedding.c|s/define SHARE_TIMES 4/define SHARE_TIMES 0/'
	'callers come back before the store|src/core/retry_after.c|s/if \(store_away && share_us > time_us\)/if (0)/'
	'an announced change is not read after the switch to a feed|src/core/follow.c|s/list_watch->list_due = list_watch->announced;/list_watch->list_due = false;/'
	'a VM stops watching the store on an announcement|src/core/follow.c|s/list_watch->announced = true;/list_watch->announced = true;\n\tlist_watch->watching = false;/'
	'a gatherer that is behind answers after one that is ahead|src/core/handover.c|s/all->version = version;/;/'
	'a silent gatherer is waited for|src/core/handover.c|s/if \(!handover->taken\)\n\t\tnext_us/if (0)\n\t\tnext_us/'
	'a silent gatherer is asked again|src/core/handover.c|s/handover->gatherer->state = GATHERER_SILENT;/;/'
	'two gatherers may each use all tries|src/core/handover.c|s/handover->attempts_left -= more;/;/; s/handover->attempts_left < FIRST_ATTEMPTS\) \{/0) {/'
	'what may have run is said not to have|src/core/handover.c|s/if \(handover->unknown && promises\(told.end\)\)/if (0)/'
	'what may have run is gathered here, too|src/core/handover.c|s/\} else if \(handover->unknown\) \{/} else if (0) {/'
	'a late word counts for another gatherer|src/core/handover.c|s/if \(handover->gatherer != gatherer\) \{/if (0) {/'
	'a VM that stood still blames gatherers|src/core/handover.c|s/now_us > handover->timer.at_us \+ LATE_US/0/'
	'small VMs gather like large ones|src/core/gatherer_choice.c|s/\tkeep_strong\(gatherers\);//'
	'any number of VMs gathers|src/core/gatherer_choice.c|s/if \(gatherers->len > most\)/if (0)/'
	'VMs that gather and others share the constant as one|src/core/sharing.c|s/sharing->gatherers.part = 1 - GATHERERS_PART;/sharing->gatherers.part = 1;/; s/sharing->gatherers.part = GATHERERS_PART;/;/; s/define CONSTANT_USED 0.8/define CONSTANT_USED 1.0/'
	'VMs that do not gather connect to all shards|src/core/sharing.c|s/return routing && sharers->own && vms;/return routing \&\& vms;/'
	'VMs that start together each take a share|src/core/connection_share.c|s/vms->all \? connections \* USED : 0/connections * USED/'
	'no time is reserved for leaving a feed|src/core/feed_timing.c|s/define LEAVE_FEED_MS .*/define LEAVE_FEED_MS 0/'
	'a hopeless gather is sent to those that have room|src/core/forwarder.c|s/if \(is_hopeless\(forward, now_us\)\)/if (0)/'
	'failures do not assess in placing|src/core/searcher.c|s/(uint64_t avoid_us = AVOID_FIRST_US[^;]*;\n)\n\tyield_note\(&searcher->yield, true, now_us\);/$1/'
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
	'an older configuration replaces a newer one|src/core/adoption.c|s/if \(number <= active_config_number\(active\)\)/if (0)/'
	'a proposal that took effect is not found in the history|src/core/proposal.c|s/\tif \(own\) \{/\tif (0) {/'
	'an outage is waited out|src/core/claims.c|s/claims->failures >= FAILURES_TO_OUTAGE/0/'
	'an unauthenticated peer is accepted|src/core/frame.c|s/return difference == 0;/return true;/'
	'a report of an earlier start counts|src/core/registry.c|s/return start && born_ms < start->born_ms;/return false;/'
	'a start that leaves is made ready by a late list|src/core/registry.c|s/start->draining = start->draining \|\| entry->draining;/start->draining = entry->draining;/'
	'what was seen of an earlier start counts for the next|src/core/sighting.c|s/ \|\| searcher->born_ms != sighting->born_ms//'
	'an entry that turned bad goes on being used|src/core/registry.c|s/note_listed\(registry, id\);\n\tremove_now\(registry, id\);/note_listed(registry, id);/'
	'old news of a member are taken|src/core/gossip.c|s/heard->incarnation < member->incarnation \|\|/0 ||/'
	'a cut that heals is not found|src/core/gossip.c|s/!is_known\(gossip, seed\) \|\| g_rand_int_range\(gossip->rand, 0, 10\) == 0/!is_known(gossip, seed)/'
	'a note lives for ever|src/core/gossip.c|s/at_ms \+ NOTE_KEEP_MS < gossip->timeline->wall_ms\(\) \|\|/0 ||/; s/if \(note->at_ms \+ NOTE_KEEP_MS < now_ms\)/if (0)/'
	'urgent work may starve the rest|src/core/gate.c|s/\+\+gate->turn % FAIR_TURN/1/'
	'a searcher with a reused address goes on being asked|src/core/forwarder.c|s/registry_note_replaced\(forwarder->registry, sub->searcher\);//'
	'what may have run is sent again|src/core/part.c|s/return part->forward->route->idempotent &&/return/'
	'hopeless gathers put searchers to work|src/core/forwarder.c|s/\tlose_impossible\(forward\);//'
	'second tries have no bound|src/core/retry_budget.c|s/if \(retry_budget_left\(budget, bound, purpose, now_us\) < 1\)/if (0)/'
	'a part that is missing is waited for|src/core/forward.c|s/now_us < forward->partial_us \|\|/1 ||/'
	'the store is believed as soon as it is back|src/core/registry.c|s/if \(may_be_lapse && searcher->state == SEARCHER_READY\)/if (0)/'
	'an old list makes a draining searcher ready|src/core/registry.c|s/if \(!entry->draining \|\| searcher->state != SEARCHER_READY\)\n\t\treturn false;\n\tsearcher->state = SEARCHER_DRAINING/searcher->state = entry->draining ? SEARCHER_DRAINING : SEARCHER_READY/'
	'callers that left keep searchers at work|src/core/forwarder.c|s/forward_release\(forward, LEFT_US, now_us\)/forward_release(forward, 600000, now_us)/'
	'parts wait for searchers that are gone|src/core/forwarder.c|s/\tlose_hopeless\(pool, now_us\);//'
	'urgent parts wait their turn|src/core/part.c|s/return part->forward->route->rank < other->forward->route->rank;/return false;/'
	'a chunk may end in anything|src/net/http_message.c|s/if \(!scan_chunk_byte\(chunks, data\[i\]\)\)/if (0)/'
	'a folded header is taken|src/net/http_message.c|s/return !folded;/return true;/'
	'all are served in order of arrival|src/core/gate.c|s/\+\+gate->turn % FAIR_TURN/0/'
	'a VM that is slow itself tells of searchers|src/core/sighting.c|s/return filter->odd < ODD_MOST &&/return/'
	'slowness counts while all connect|src/core/sighting.c|s/\(settled \|\| type == SIGHTING_HUNG\)/1/'
	'the word of another VM goes before an own answer|src/core/sighting.c|s/else if \(answered_since\(searcher, after_us, now_us\)\)/else if (0)/'
	'all VMs connect to far searchers at once|src/core/placement.c|s/define STUCK_TOLD_US 60000/define STUCK_TOLD_US 150000/'
	'the time to connect is told as slowness|src/core/forwarder.c|s/if \(sub->connects \|\| /if (/'
	'a refusal hides that the request ran before|src/core/part.c|s/if \(part->reply && part->reply->end == SUB_FAILED &&/if (0 \&\&/'
	'a long request makes its searcher look hung|src/core/sub.c|s/return sub->searcher->served_us <= sub->sending.sent_us &&/return/'
	'a hedge waits for nothing|src/core/part.c|s/if \(now_us < due_us\)/if (0)/'
	'hedges come as early when the budget is nearly gone|src/core/part.c|s/spent \* HEDGE_TIMES_SPENT/0/'
	'a route of long requests makes searchers look hung|src/core/route_state.c|s/return state->hung < HUNG_MOST;/return true;/'
)
# Mechanisms that gain something and keep no promise: no test fails without them, so they are not tried
# here; scripts/ablate.sh takes them out, too, and plays days with and without.
ABLATIONS=(
	'no part is asked a second time for speed|src/core/part.c|s/part->hedge_us = may_run_again\(part\) \? hedge_due_us\(part, now_us\) : 0;/part->hedge_us = 0;/'
	'hedges come at the last moment only|src/core/part.c|s/due_us = searcher->idle \? MIN\(hedge_due_us\(part, now_us\), late_us\) : late_us;/due_us = late_us;/'
	'failures are not tried again|src/core/part.c|s/: !may_run_again\(part\)\)\n\t\treturn false;/: 1)\n\t\treturn false;/'
	'refusals are not tried again|src/core/part.c|s/part->refusals > REFUSALS_MOST : !may_run/1 : !may_run/'
	'failing searchers are not avoided|src/core/searcher.c|s/MIN\(avoid_us, AVOID_MOST_US\)/0 * avoid_us/'
	'hung searchers are not avoided|src/core/searcher.c|s/MIN\(avoid_us, AVOID_HUNG_MOST_US\)/0 * avoid_us/'
	'stuck searchers cost nothing|src/core/placement.c|s/cost_us \+= STUCK_US;/cost_us += 0;/'
	'nothing is told to other VMs|src/core/forwarder.c|s/if \(sub->connects \|\| !forwarder->ops->sighted\)/if (1)/'
	'cold searchers cost nothing|src/core/placement.c|s/cost_us \*= COLD_TIMES;/cost_us *= 1;/'
	'all VMs choose alike|src/core/placement.c|s/define SPREAD 0.1/define SPREAD 1e-9/'
	'own sub-requests out cost nothing|src/core/placement.c|s/cost_us \*= 1 \+ \(double\)searcher->out.length \/ searcher->slots;//'
	'what was measured never fades|src/core/placement.c|s/exp2\(-age_us \/ MEMORY_HALF_US\)/exp2(0 * age_us)/'
	'waits in vain are not refused|src/core/part.c|s/else if \(part_waits_in_vain\(part, now_us\)\)/else if (0)/'
	'far connections are shared by all VMs alike|src/core/connection_share.c|s/bool spread = each < ENOUGH_EACH \&\&/bool spread = 0 \&\&/'
	'connections are not made ahead|src/tasks/link_task.c|s/if \(searcher_is_usable\(searcher\) \&\& !searcher->connections \&\&/if (0 \&\&/'
)
SCRATCH=$(mktemp -d)
trap 'rm -rf "$SCRATCH"' EXIT
CFLAGS="-w -O1 -Isrc -Itests $(pkg-config --cflags glib-2.0 jansson libxxhash msgpack)"
LIBS="$(pkg-config --libs glib-2.0 jansson libxxhash msgpack) -lcmocka -lm"

# Test programs in the order they are tried, and what each is linked from besides src/core.
TESTS="forward_test poison_test hearing_test handover_test fleet_test parts_test message_test gossip_test script_test load_test random_test front_random_test front_fleet_test"
declare -A SEEN_BY=(
	[forward_test]='the forwarding scripts' [hearing_test]='the plays of an absent store'
	[handover_test]='the scripts of handing over'
	[fleet_test]='the fleets' [parts_test]='the small parts' [message_test]="the codec's tests"
	[load_test]='the loads' [poison_test]='the bounds on what is remembered'
	[front_random_test]='the schedules of forwarding' [front_fleet_test]='the schedules of several VMs'
	[gossip_test]='the members' [script_test]='the scripts' [random_test]='the schedules')
declare -A WITH=([forward_test]='playbook' [handover_test]='playbook' [message_test]='net_http_message' [script_test]='world' [random_test]='world'
	[load_test]='load_world' [front_random_test]='front_world' [front_fleet_test]='front_world')
declare -A ARGS=([random_test]=400 [front_random_test]=400 [front_fleet_test]=100)

object_of() { echo "$SCRATCH/objects/$(echo "${1#src/}" | sed 's|^core/||; s|^tests/||; s|/|_|g; s|\.c$||').o"; }

# Everything sound is compiled once; a mutant needs its one file, and a link.
compile_all() {
	mkdir -p "$SCRATCH/objects"
	for file in src/core/*.c src/net/http_message.c tests/world.c tests/load_world.c tests/front_world.c tests/playbook.c $(printf 'tests/%s.c ' $TESTS); do
		echo "$file $(object_of "$file")"
	done | xargs -P "$(nproc)" -L 1 sh -c "gcc $CFLAGS -c -o \"\$1\" \"\$0\""
}

# A test that does not end, as on a busy machine, has seen nothing.
fails() { timeout 300 "$@" >/dev/null 2>&1; case $? in 0 | 124) return 1 ;; esac; }

# The objects of a test program, the mutant's in place of the sound one. message_test knows no core.
objects_for() { # test, sound object, mutant's object
	local test=$1 file
	for file in "$SCRATCH/objects/$test.o" ${WITH[$test]:+"$SCRATCH/objects/${WITH[$test]}.o"} \
		$([ "$test" = message_test ] || ls src/core/*.c | sed "s|src/core/\(.*\)\.c|$SCRATCH/objects/\1.o|"); do
		[ "$file" = "$2" ] && echo "$3" || echo "$file"
	done
}

try_mutant() { # row index
	local name file expression dir=$SCRATCH/$2 row=$1 test
	name=${row%%|*} row=${row#*|}
	file=${row%%|*} expression=${row#*|}
	mkdir -p "$dir" && cp "$file" "$dir/mutant.c"
	perl -0pi -e "$expression" "$dir/mutant.c"
	cmp -s "$file" "$dir/mutant.c" && { echo "STALE  $name: nothing to take out of $file"; return 1; }
	# shellcheck disable=SC2086
	gcc $CFLAGS -I"$(dirname "$file")" -c -o "$dir/mutant.o" "$dir/mutant.c" || { echo "BROKEN $name"; return 1; }
	for test in $TESTS; do
		# shellcheck disable=SC2046,SC2086
		gcc -o "$dir/$test" $(objects_for "$test" "$(object_of "$file")" "$dir/mutant.o") \
			$([ "$test" = message_test ] && echo -lhttp_parser) $LIBS || { echo "BROKEN $name"; return 1; }
		fails "$dir/$test" ${ARGS[$test]:-} && { echo "seen by ${SEEN_BY[$test]}: without it $name"; return; }
	done
	echo "UNSEEN $name"
	return 1
}

compile_all || { echo "the sound sources do not compile"; exit 1; }
jobs=()
for i in "${!MUTANTS[@]}"; do
	case ${MUTANTS[$i]} in *${ONLY:-}*) ;; *) continue ;; esac
	(try_mutant "${MUTANTS[$i]}" "$i" >"$SCRATCH/out.$i" 2>&1 && touch "$SCRATCH/seen.$i") &
	jobs[$i]=$!
	# As many at once as there are processors, each to its end.
	while [ "$(jobs -rp | wc -l)" -ge "$(nproc)" ]; do wait -n; done
done
wait
bad=0
# Not by what `wait` says of each: the shell forgets a child whose id another process has taken.
for i in "${!jobs[@]}"; do
	[ -e "$SCRATCH/seen.$i" ] || bad=$((bad + 1))
	cat "$SCRATCH/out.$i"
done
echo "$((${#jobs[@]} - bad)) of ${#jobs[@]} safeguards are missed when taken out"
[ $bad = 0 ]
