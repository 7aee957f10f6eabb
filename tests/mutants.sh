#!/usr/bin/env bash
# Mutation tests: removes one safeguard at a time from a scratch copy; at least one test program must then fail.
# A safeguard whose removal no test detects is either not needed or not tested.
#
# Each row: name (the fault that appears without the safeguard) | file | Perl expression that removes the safeguard.
# ONLY=TEXT tries only the rows that contain TEXT.
set -u
cd "$(dirname "$0")/.."
MUTANTS=(
	'other requests share the searcher of a suspect|src/core/placement.c|s/define SHARING_PENALTY_US 150000/define SHARING_PENALTY_US 50000/'
	'a part is hedged to a searcher that runs a suspect|src/core/part.c|s/!searcher \|\| searcher->probes\)/!searcher)/'
	'announced objects that the store does not return are not requested from the feeder|src/core/store_sync.c|s/if \(sync->feed\)\n\t\tsync->ops->request_announced/if (0)\n\t\tsync->ops->request_announced/'
	'a new subscriber is sent announced objects whole|src/core/feed_cache.c|s/announced \? "" : object->text/object->text/'
	'a call to a failing store times out only after the wait of a watch|src/core/store_sync.c|s/brief = list \|\| sync->failing \|\| kind->failures \|\|/brief = list ||/'
	'a removal after connections went silent waits as if the entry had lapsed|src/core/registry.c|s/brief_loss = now_us < registry->lost_us \+ BRIEF_LOSS_US;/brief_loss = false;/'
	'all removals after a short outage are believed|src/core/registry.c|s/ \|\| !can_spare_one\(pool\)//'
	'removals that arrive just before a feeder reaches the store again wait|src/core/registry.c|s/\treconsider_removals\(registry, now_us\);//'
	'a second change of the configuration lets callers see the first one reverted for longer|src/core/handover.c|s/if \(!handovers_is_behind\(all\)\)\n\t\tall->behind_since_us/all->behind_since_us/'
	'callers see a change reverted as long as this VM has not read it|src/core/handover.c|s/return handovers_is_behind\(all\) && now_us >= .*?;/return false;/'
	'postponed kinds are not requested after the store recovers|src/core/store_sync.c|s/\(kind->postponed \|\| may_be_lost/(may_be_lost/'
	'a kind is requested by a watch that waits as soon as the store answers again|src/core/store_sync.c|s/kind->resumed = kind->config.frequent;//'
	'a kind that waits for its retry stays behind as the store answers again|src/core/store_sync.c|s/kind->failures && !kind->pending;/false;/'
	'calls lost while the store timed out are not repeated|src/core/store_sync.c|s/kind->pending \&\& \(sync->timed_out \|\| !kind->config.frequent\)/0/'
	'a watch waits for the whole settle time|src/core/feed_timing.c|s/saturating_sub\(settle_ms, WATCH_RECOVERY_MS\)/settle_ms/'
	'probes have no time-out limit|src/core/feed_timing.c|s/define PROBE_TIMEOUT_MAX_MS 1500/define PROBE_TIMEOUT_MAX_MS 9000/; s/tries_ms \/ 2/tries_ms/'
	'store checks are rare|src/core/feed_timing.c|s/MIN\(timing.age_max_us,\s*\(uint64_t\)saturating_sub\(tries_ms, probe_ms\) \* 1000\)/4 * timing.age_max_us/'
	'a feeder that sends no status does not time out|src/core/store_sync_links.c|s/store_sync_set_timer\(sync, &sync->candidate_timer, now_us \+ CANDIDATE_TIMEOUT_US\);/;/'
	'a feed with stale data is kept|src/core/store_sync_links.c|s/\trecord_status\(sync, link\);\n\tif \(action/\tif (action/; s/link->last_answer_us \+ feed_age_max_us\(&sync->timing, link->backup\)/UINT64_MAX \/ 2/'
	'a VM that can not reach the store tries no backup feeder|src/core/store_sync_links.c|s/if \(sync->candidate \|\| !needs_backup\(sync\) \|\|/if (1 || sync->candidate ||/'
	'the feeder that a rejected backup names is not tried|src/core/store_sync_links.c|s/if \(link->backup && \*status->from\) \{/if (0) {/'
	'a backup feed is kept after the store recovers|src/core/store_sync_links.c|s/if \(link->backup\)\n\t\tcheck_store_later\(sync, now_us\);//'
	'a backup candidate keeps feeders from being tried|src/core/store_sync_links.c|s/close_feed\(sync, reason\);\n\tstore_sync_close_backup_candidate\(sync, reason\);/close_feed(sync, reason);/'
	'backups are tried without a pause|src/core/store_sync_links.c|s/if \(sync->backups_in_round >= BACKUPS_PER_ROUND\)/if (0)/'
	'requests leave the regions that their route allows|src/core/placement.c|s/\(!candidates->route \|\| route_allows\(candidates->route, searcher->region\)\)/1/'
	'a part that is bound to a region blocks the queue|src/core/forwarder.c|s/ && !forward_is_bound\(forward\)//'
	'a route bound to no region goes anywhere|src/core/region_list.c|s/if \(!list\)\n\t\treturn true;/return true;/'
	'a request without a valid API key runs|src/core/routing.c|s/return !routing->tenants \|\| route->is_public \|\| \*tenant;/return true;/'
	'the tenant of a request is not known without a list of searchers|src/core/forwarder.c|s/return access->route && !is_refused/return access->route \&\& registry_is_ready(forwarder->registry) \&\& !is_refused/'
	'a caller without a route is told that its key may be new|src/core/forwarder.c|s/return route && !routing_authorize/return !route || !routing_authorize/'
	'requests leave the regions that their tenant allows|src/core/placement.c|s/tenant_allows\(candidates->tenant, searcher->region\)/1/'
	'a refusal names a shard that the coverage allows to miss|src/core/forward_admission.c|s/!forward_has_enough\(forward, --with_room\)/--with_room < forward->part_count/'
	'the deadline of a waiting caller is not told as a refusal by admission control|src/core/forward.c|s/outcome == FORWARD_FULL && forward->admission.queued/0/'
	'a request that lacks room at its target keeps others from theirs|src/core/forward_admission.c|s/return targets == 1 \&\& /return /'
	'parts that wait for the end of a pause wait to their deadline|src/core/forwarder.c|s/\(first \&\& !shedding_is_allowed\(first->forward\) \&\& placement_has_paused/(0 \&\& placement_has_paused/'
	'late answers of one moment each lower a limit|src/core/send_limit.c|s/if \(sample->sent_us < limit->lowered_us\)\n\t\treturn;//'
	'an overload ends while requests wait or are refused|src/core/overload.c|s/(void overload_note_shortage[^}]*)overload->seen_us = now_us;/$1/'
	'the rank of a tenant does not count|src/core/forward.c|s/tenant && tenant->has_rank \? tenant->rank : //'
	'requests of two tenants have one fingerprint|src/core/fingerprint.c|s/if \(key\)/if (0)/'
	'a VM takes a feeder that has not noticed the outage yet|src/core/store_sync_links.c|s/return !sync->feed \|\| link->last_answer_us/return 1 || link->last_answer_us/'
	'VMs read the lists themselves while their feeder does|src/core/store_sync_links.c|s/if \(link && !link->backup && now_us < link->progress_us/if (0 \&\& now_us < link->progress_us/'
	'a feeder that repeats the lists it has sent is waited for|src/core/store_sync_links.c|s/if \(!\(link->lists_done & 1u << kind\)\)//'
	'each VM of a large fleet reads a large configuration from the store|src/core/feed_choice.c|s/\? FEED_IN_TURN : FEED_ANNOUNCES/? FEED_ANNOUNCES : FEED_ANNOUNCES/'
	'a feeder sends a large object to all subscribers at once|src/core/feed_choice.c|s/if \(all_us <= AT_ONCE_MAX_US\)/if (all_us <= 20 * AT_ONCE_MAX_US)/'
	'objects that are sent in turn occupy the link of a feeder|src/core/feed_choice.c|s/define TURN_LINK_DIVISOR 4/define TURN_LINK_DIVISOR 1/'
	'an object of a list that is being read is not found|src/core/feed_cache.c|s/if \(cache->listing\)\n\t\tobject =/if (0)\n\t\tobject =/'
	'a subscriber misses the beginning of a list|src/core/feed_cache.c|s/if \(cache->listing\)\n\t\twrite_objects/if (0)\n\t\twrite_objects/'
	'VMs that start do not look for feeders|src/core/member_sync.c|s/return in_region >= FEEDERS_MIN/return 0 \&\& in_region >= FEEDERS_MIN/'
	'the VMs of a new fleet read the list of VMs at the same time|src/core/member_sync.c|s/OTHERS_REGISTER_DELAY_US \+ read_spread_us\(sync\)/OTHERS_REGISTER_DELAY_US/'
	'a VM that is subscribed to waits with reading the list|src/core/member_sync.c|s/if \(sync->phase != FIND_FEEDERS \|\| /if (1 || /'
	'fed VMs read the list of VMs themselves|src/core/member_sync.c|s/return sync->fed && now_us/return 0 \&\& now_us/'
	'a VM relies on a list of VMs that its feeder no longer reads|src/core/member_sync.c|s/return sync->fed && now_us < [^;]+;/return sync->fed;/'
	'VMs that feeders retain count as registered after a restore|src/core/member_sync.c|s/if \(!sync->restored_us\)\n\t\tcheck/if (1)\n\t\tcheck/'
	'a VM that starts makes two calls a try while the store is down|src/core/member_sync.c|s/if \(!feeders && \+\+sync->failed_reads % FEEDERS_TRIES\)/if (0)/'
	'a VM is missing from the list that it is sent|src/core/member_sync.c|s/if \(sync->registered && sync->fed\)/if (0)/'
	'a VM that no longer feeds others stays listed as a feeder|src/core/member_sync.c|s/if \(!is_feeder && \(entry/if (0 \&\& (entry/'
	'a feeder has a status before it has read the lists|src/core/store_sync.c|s/return sync->is_feeder &&/return 0 \&\&/'
	'each VM connects to all searchers of a service ahead of need|src/core/warm_set.c|s/i < WARM_SET_SIZE && //'
	'connections that nobody uses are opened again and again|src/core/warm_set.c|s/return !searcher->was_warmed \|\|/return 1 ||/'
	'VMs all connect to the same searchers|src/core/warm_set.c|s/XXH64\(own_name, strlen\(own_name\), 0\)/0/'
	'a long absence of a VM adds tokens|src/core/quota_pool.c|s/MIN\(share->accrued_us, QUOTA_ACCRUED_MAX_US\)/share->accrued_us/'
	'a pool keeps the capacity of VMs that have left|src/core/quota_pool.c|s/return \(\(member_t \*\)value\)->until_us < \*\(uint64_t \*\)now_us;/return FALSE;/'
	'a pool holds more tokens than its capacity|src/core/quota_pool.c|s/bucket->tokens = MIN\(bucket->tokens, capacity\);/;/'
	'a pool gives all of its tokens to other pools|src/core/quota_pool.c|s/define KEPT_SHARE 0.25/define KEPT_SHARE 0/'
	'pools hold more tokens than the tolerance allows|src/core/quota_pool.c|s/define TOLERANCE_HELD_SHARE 0.7/define TOLERANCE_HELD_SHARE 2.5/'
	'a pool has tokens to begin with each time that it is asked|src/core/quota_pool.c|s/bucket->started = pool->fraction;/;/'
	'refused requests are all promised the same token|src/core/quota_pool.c|s/bucket->due_us \+= /bucket->due_us = now_us + /'
	'a VM that was added accrues before others know of it|src/core/quota.c|s/is_first_list \? now_us : now_us \+ quota->listed_after_us/now_us/'
	'tokens that come too late are lost|src/core/quota.c|s/if \(message->quota.count\)\n\t\t\treturn_to/if (0)\n\t\t\treturn_to/'
	'a pool without a configuration admits every request|src/core/quota.c|s/if \(!quota->tenants\)\n\t\treturn;//'
	'pools that run low ask no other pool|src/core/quota.c|s/if \(!quota->own \|\|/if (1 ||/'
	'pools that have left are still asked for tokens|src/core/quota.c|s/transfer->left = MIN\(transfer->left, quota->peers->len\);//'
	'promises of tokens are kept for callers that stay away|src/core/quota_pool.c|s/if \(bucket->tokens >= 1\)\n\t\tbucket->due_us = 0;//'
	'an evacuated data centre is sent work|src/core/searcher.c|s/ && !searcher->evacuated//'
	'searchers that register in an evacuated data centre are sent work|src/core/registry.c|s/searcher->evacuated = g_hash_table_contains\(registry->evacuated, entry->data_centre\);//'
	'an evacuation that a restored store lacks is dropped|src/core/evacuation.c|s/name && now_us < evacuations->restore_grace_end_us/0/'
	'cold searchers are not throttled|src/core/placement.c|s/return !searcher->cold_share \|\| now_us < searcher->cold_next_us;/return false;/'
	'sub-requests sent to a cold searcher are not counted|src/core/placement.c|s/searcher->cold_next_us =\s+now_us \+/searcher->cold_next_us = 0 */'
	'searchers are assumed to be warm after an evacuation|src/core/registry.c|s/if \(evacuated \|\| !pool->cold.per_s\)/if (1)/'
	'a searcher that becomes cold again counts as warm|src/core/registry.c|s/bool again = entry->cold_us > searcher->cold_us;/bool again = false;/'
	'a searcher that becomes warm and draining in one update is sent work|src/core/registry.c|s/changed = update_draining\(searcher, entry\);\n\tchanged = update_cold\(registry, searcher, entry, now_us\) \|\| changed;/changed = update_cold(registry, searcher, entry, now_us);\n\tif (changed)\n\t\tregistry->ops->changed(registry->ctx, searcher);\n\tchanged = update_draining(searcher, entry);/'
	'parts that wait for a cold searcher wait to their deadline|src/core/forwarder.c|s/if \(at_us != UINT64_MAX \&\&/if (0 \&\&/'
	'a part waits for a searcher that is cold past its deadline|src/core/part.c|s/if \(placement_all_cold\(&candidates, now_us\)\)/if (0)/'
	'a VM takes its cold share before other VMs know it|src/core/cold_share.c|s/define MEMBER_MIN_US .*/define MEMBER_MIN_US 0/'
	'an outdated list of VMs is relied on|src/core/cold_share.c|s/define LIST_VALID_US 15000000/define LIST_VALID_US 15000000000ull/; s/define MEMBER_MIN_US .*/define MEMBER_MIN_US 30000000/'
	'each VM sends a cold searcher the whole limit|src/core/cold_share.c|s/return max \/ members->vms->len;/return max;/'
	'a version that names cold searchers sets no limit|src/core/forwarder.c|s/routing = routing;\n\tset_cold_limits\(forwarder\);/routing = routing;\n\t(void)set_cold_limits;/'
	'all VMs send a cold searcher one request|src/core/cold_share.c|s/return before < max;/return true;/'
	'a removed searcher reappears from an older copy of the store|src/core/registry.c|s/return incarnation && incarnation->gone &&/return 0 \&\& incarnation->gone \&\&/'
	'searchers missing from an older copy of the store are removed at once|src/core/registry.c|s/(void registry_store_restored[^}]*)registry->grace_end_us = now_us \+ REREGISTER_GRACE_US;/$1/'
	'a message of an earlier store era is accepted|src/core/store_era.c|s/if \(era->known && number < era->number\)/if (0)/'
	'a restored store gets no updates again|src/core/poison_share.c|s/if \(!record->stored\)\n\t\t\tcontinue;\n\t\trecord->stored = 0;/continue;\n\t\trecord->stored = 0;/'
	'all VMs publish to a restored store|src/core/poison_share.c|s/record->publish_us = 0; \/\* another VM published the same \*\//;/'
	'a poison request gets no record|src/core/poison_losses.c|s/if \(!fingerprint \|\| poison_was_served_recently/if (1 || poison_was_served_recently/'
	'requests concurrent with a poison request are blocked too|src/core/poison_losses.c|s/record->strikes == 1 \? STRIKE_MIN_GAP_US : 0/0/'
	'a suspect is sent to all shards at once|src/core/forwarder.c|s/if \(!forward_is_suspect\(forward, now_us\)\)\n\t\tstart_parts/if (1)\n\t\tstart_parts/'
	'a suspect that crashed its searcher is sent to the next|src/core/part.c|s/bool gives_up = reply->broken && forward->probe == part;/bool gives_up = false;/'
	'a gather without an answered part is hedged like others|src/core/part.c|s/return forward->answered \|\| forward->part_count < HEDGE_HELD_MIN_PARTS;/return true;/'
	'hedges stay held once a first part is answered|src/core/part.c|s/if \(!part->forward->answered\+\+\)\n\t\thedge_others\(part, now_us\);/part->forward->answered++;\n\t(void)hedge_others;/'
	'a request that crashes many searchers at once is published late|src/core/poison_share.c|s/define URGENT_CRASHES 3/define URGENT_CRASHES 3000/'
	'a request with answered parts is published at once|src/core/poison_losses.c|s/unanswered_crashes \+= !loss->sending.answered;/unanswered_crashes++;/'
	'requests lost with a data centre flood the store|src/core/poison_share.c|s/define URGENT_BURST 2/define URGENT_BURST 200/'
	'a suspect is hedged|src/core/part.c|s/if \(forward_is_suspect\(part->forward, now_us\)\) \{/if (0) {/'
	'copies of a suspect are sent all at once|src/core/poison_trials.c|s/now_us < record->probe_us \+ PROBE_GAP_US/0/'
	'an answer does not clear a suspect|src/core/poison_losses.c|s/if \(record->strikes && g_str_equal\(record->service, service\)\) \{/if (0) {/'
	'an answer of any shard clears a suspect|src/core/poison_losses.c|s/if \(record->strikes && g_str_equal\(record->service, service\)\) \{/if (record->strikes) {/'
	'a reset connection counts as a crash|src/core/poison_losses.c|s/return !loss->listens \|\| /return 1 || /'
	'a proxy hides crashes|src/core/poison_losses.c|s/return !loss->listens \|\| .*;/return !loss->listens;/'
	'strikes of other VMs are added up|src/core/poison_share.c|s/set_strikes\(record, update->strikes, update->service, now_us\);/set_strikes(record, record->strikes + update->strikes, update->service, now_us);/'
	'the number of records is not limited|src/core/poison.c|s/if \(g_hash_table_size\(poison->records\) >= POISON_MAX_RECORDS\)/if (0)/'
	'a removed record stays in the store|src/core/poison.c|s/if \(record->stored && poison->ops\)/if (0)/'
	'first strikes flood the store|src/core/poison_share.c|s/define STRIKE_PUBLISH_BURST 8/define STRIKE_PUBLISH_BURST 800/'
	'a block ends while callers keep sending the request|src/core/poison.c|s/record->renewals\+\+;/return 0;/'
	'a request that was just served becomes suspect|src/core/poison_losses.c|s/return served->fingerprint == fingerprint &&/return 0 \&\&/'
	'two suspects share a searcher|src/core/placement.c|s/\(alone && searcher->probes\)/0/'
	'parts of an overloaded shard wait to the target|src/core/part.c|s/if \(shedding_is_allowed\(part->forward\) && shedding_waits_too_long/if (0 \&\& shedding_waits_too_long/; s/if \(shedding_is_allowed\(part->forward\) && shedding_is_too_late/if (0 \&\& shedding_is_too_late/'
	'more parts are shed than coverage allows|src/core/shedding.c|s/forward_has_enough\(forward, left - 1\)/1/'
	'parts that their requests need wait behind others|src/core/part.c|s/if \(spare != shedding_is_allowed\(other->forward\)\)/if (0)/'
	'searchers work on parts of an overloaded shard past the target|src/core/part.c|s/!shedding_is_on\(sub->pool, now_us\) \|\|/1 ||/'
	'an inconclusive trial is followed by the next searcher|src/core/forward_suspect.c|s/if \(!end->ran \|\| !forward->has_trial/if (1 || !forward->has_trial/'
	'an attempt finishes the trial of another attempt|src/core/forward_suspect.c|s/forward->has_trial = decision == TRIAL_BEGIN;/forward->has_trial = decision == TRIAL_BEGIN || decision == TRIAL_NOT_NEEDED;/'
	'an answered attempt keeps its trial|src/core/forward_suspect.c|s/!forward->answered && !has_claimed_trial/!has_claimed_trial/'
	'a trial is cut short because its shard is overloaded|src/core/part.c|s/forward->probe == &forward->parts\[sub->part\] \|\|/0 ||/'
	'a request that cannot reach its coverage is tried|src/core/forward_suspect.c|s/return !forward->route->gathers \|\|\s*forward_has/return 1 || forward_has/'
	'an attempt with little time left is a trial|src/core/forward_suspect.c|s/return \(double\)forward_time_left_us\(forward, now_us\) >= min_us;/return 1;/'
	'callers with little time are deferred forever|src/core/poison_trials.c|s/define ANY_CALLER_AFTER_US 3000000/define ANY_CALLER_AFTER_US 3000000000/'
	'trials are not claimed|src/core/poison_trials.c|s/if \(poison->ops && poison->ops->claim\)/if (0)/'
	'claims flood the store|src/core/poison_trials.c|s/define CLAIM_BURST 4/define CLAIM_BURST 400/'
	'crashes before a request was suspect add up|src/core/poison_losses.c|s/if \(!loss->sending.on_trial \|\|/if (/'
	'searchers that had terminated behind a proxy count|src/core/poison_losses.c|s/loss->listens && !loss->sending.reused/0/'
	'sub-requests beside the trial of another attempt count|src/core/forward_suspect.c|s/return forward->has_trial &&\s*poison_has_claimed_trial/return poison_has_claimed_trial/'
	'two crashes block a request|src/core/poison_losses.c|s/set_strikes\(record, record->strikes \+ 1,/set_strikes(record, record->strikes + (record->strikes ? 2 : 1),/'
	'a blocked request is never tried again|src/core/poison.c|s/return record->strikes == POISON_STRIKES && trial/return 0 \&\& trial/'
	'a blocked request is tried again and again|src/core/poison.c|s/return record->strikes == POISON_STRIKES && trial/return trial/'
	'trials that found no searcher count as run|src/core/trial.c|s/trial->ran \+= ran;/trial->ran++;/'
	'a trial that found no searcher is taken for lost|src/core/poison_trials.c|s/if \(!counted\)\n\t\treturn;/if (!counted || !result->ran)\n\t\treturn;/'
	'a retrial follows too many early trials|src/core/poison.c|s/define MAX_EARLY_TRIALS 3/define MAX_EARLY_TRIALS 300/'
	'trials follow each other without a pause|src/core/trial.c|s/define TRIAL_PAUSE_US 1000000/define TRIAL_PAUSE_US 1000/'
	'the pause does not grow with inconclusive trials|src/core/trial.c|s/return \(uint64_t\)TRIAL_PAUSE_US << .*;/return TRIAL_PAUSE_US;/'
	'the pause does not grow with inconclusive trials of other VMs|src/core/trial.c|s/(trial->state = TRIAL_IDLE;\n\ttrial_postpone\(trial, now_us \+ )pause_us\(trial\)\);\n\}/$1TRIAL_PAUSE_US);\n}/'
	'a trial lost on another VM blocks the next trials|src/core/trial.c|s/return trial->state == TRIAL_CLAIMED_ELSEWHERE &&/return 0 \&\&/'
	'a store that does not answer keeps suspects waiting|src/core/trial.c|s/define CLAIM_TIMEOUT_US 250000/define CLAIM_TIMEOUT_US 250000000/'
	'a granted trial never expires|src/core/trial.c|s/define TRIAL_GRANT_TIMEOUT_US 1000000/define TRIAL_GRANT_TIMEOUT_US 1000000000/'
	'a failure rate adds no cost|src/core/placement.c|s/cost_us \+= failure_rate_now\(&searcher->failure_rate, now_us\) \* FAILURE_PENALTY_US;//'
	'a searcher that refuses a share is tried only once for a part|src/core/part.c|s/if \(failure_rate_now\(&searcher->failure_rate, now_us\) <= REFUSAL_RATE_MIN \|\|/if (1 ||/'
	'parts are left out in the order of the shards|src/core/forwarder.c|s/wait_us\(part, now_us\) > wait_us\(longest, now_us\)/0/'
	'the wait limit does not shrink for a shard that stays overloaded|src/core/shedding.c|s/define SHED_SHARE_FACTOR 4/define SHED_SHARE_FACTOR 0/'
	'callers retry before the store has recovered|src/core/retry_after.c|s/if \(store_unreachable && share_us > time_us\)/if (0)/'
	'an announced change is not read after the switch to a feed|src/core/list_watch.c|s/list_watch->list_due = list_watch->announced;/list_watch->list_due = false;/'
	'a VM stops watching the store on an announcement|src/core/list_watch.c|s/list_watch->announced = true;/list_watch->announced = true;\n\tlist_watch->watching = false;/'
	'a gatherer with an older configuration answers after one with a newer|src/core/handover.c|s/all->version = version;/;/'
	'an unresponsive gatherer does not time out|src/core/handover.c|s/if \(!handover->accepted\)\n\t\tnext_us/if (0)\n\t\tnext_us/'
	'an unresponsive gatherer gets new requests|src/core/handover.c|s/handover->gatherer->state = GATHERER_UNRESPONSIVE;/;/'
	'two gatherers may each use all attempts|src/core/handover.c|s/handover->attempts_left -= more;/;/; s/handover->attempts_left < INITIAL_ATTEMPTS\) \{/0) {/'
	'a request that may have run is reported as not run|src/core/handover.c|s/if \(handover->outcome_unknown && means_not_run\(reported.end\)\)/if (0)/'
	'a request that may have run is gathered on this VM, too|src/core/handover.c|s/\} else if \(handover->outcome_unknown\) \{/} else if (0) {/'
	'a late message counts for another gatherer|src/core/handover.c|s/if \(handover->gatherer != gatherer\) \{/if (0) {/'
	'a VM that was suspended blames gatherers|src/core/handover.c|s/now_us > handover->timer.at_us \+ LATE_TIMER_US/0/'
	'small VMs gather like large ones|src/core/gatherer_choice.c|s/\tdrop_slow\(gatherers\);//'
	'the number of gatherers has no limit|src/core/gatherer_choice.c|s/if \(gatherers->len > max\)/if (0)/'
	'VMs that gather and VMs that do not share the constant as one group|src/core/sharing.c|s/sharing->gatherers.fraction = 1 - GATHERERS_SHARE;/sharing->gatherers.fraction = 1;/; s/sharing->gatherers.fraction = GATHERERS_SHARE;/;/; s/define CONSTANT_USED_SHARE 0.8/define CONSTANT_USED_SHARE 1.0/'
	'VMs that do not gather open connections to all shards|src/core/sharing.c|s/return routing && sharers->is_member && vms;/return routing \&\& vms;/'
	'VMs that start together each take more than one connection|src/core/connection_share.c|s/vms->all \? connections \* CONNECTIONS_USED_SHARE : 0/connections * CONNECTIONS_USED_SHARE/'
	'no time is reserved for leaving a feed|src/core/feed_timing.c|s/define LEAVE_FEED_MS .*/define LEAVE_FEED_MS 0/'
	'a gather that cannot reach its coverage is sent to free searchers|src/core/forwarder.c|s/if \(is_coverage_unreachable\(forward, now_us\)\)/if (0)/'
	'failures do not count in the failure rate|src/core/searcher.c|s/(uint64_t avoid_us = AVOID_FIRST_US[^;]*;\n)\n\tfailure_rate_note\(&searcher->failure_rate, true, now_us\);/$1/'
	'replies of another version are merged|src/core/query.c|s/if \(reply->version != query->snapshot->version \|\|/if (0 \&\&/'
	'an action whose connection was lost is sent again|src/core/dispatch.c|s/if \(may_have_run && part->query->request->kind == SERVICE_ONCE\)/if (0)/'
	'an action that was sent counts as not run|src/core/engine.c|s/\} else if \(action_was_sent\(query\)\) \{/} else if (0) {/'
	'a claim of another attempt is overwritten|src/core/claims.c|s/if \(entry && !op->read_after_arrival\)/if (0)/; s/if \(entry\) \{/if (0) {/'
	'a claim whose answer was lost is not looked up|src/core/claims.c|s/if \(entry && g_str_equal\(entry->holder, op->holder\)\) \{/if (0) {/'
	'the batch accepts claims while it is being finished|src/core/claims.c|s/bucket->state = BUCKET_BUSY;\n\twhile \(\(op = g_queue_pop_head\(&bucket->batch/bucket->state = BUCKET_IDLE;\n\twhile ((op = g_queue_pop_head(&bucket->batch/'
	'a late claim is not released|src/core/engine.c|s/if \(end == CLAIM_ACQUIRED\)\n\t\t\tengine->ops->claim_outcome/if (0)\n\t\t\tengine->ops->claim_outcome/'
	'a claim holder that was paused sends after its deadline|src/core/engine.c|s/now_us >= query->deadline.at_us \|\| !service->snapshot/!service->snapshot/; s/if \(query->finished\) \{\n\t\t\/\* Answered/if (0) {\n\t\t\/* Answered/'
	'the health page overrides a reported "leaving"|src/core/upstream.c|s/return !upstream->withdrawn && !upstream->leaving_reported &&/return !upstream->withdrawn \&\&/'
	'a pause is not detected|src/core/upstream_status.c|s/now_us - before_us < PAUSE_MIN_US/1/'
	'one searcher may define the whole index|src/core/snapshot.c|s/if \(by_group\[group\].has_versions && !by_group\[group\].holds_candidate\)/if (0)/'
	'a change of versions is not awaited|src/core/engine.c|s/\|\|\s+restart_wait_for_versions\(engine, query, now_us\)\)/|| 0)/'
	'no restart at another version|src/core/restart.c|s/if \(!service->snapshot \|\| !covers_more/if (1 || !covers_more/'
	'no hedge|src/core/dispatch.c|s/!budget_spend\(&service->hedge_budget\)/1/'
	'no rescue|src/core/dispatch.c|s/if \(!budget_spend\(&service->rescue_budget\)\)/if (1)/'
	'an older configuration replaces a newer one|src/core/active_config.c|s/if \(number <= active_config_number\(active\)\)/if (0)/'
	'a proposal that took effect is not found in the history|src/core/proposal.c|s/\tif \(own\) \{/\tif (0) {/'
	'pending claims wait during an outage|src/core/claims.c|s/claims->failures >= CLAIM_OUTAGE_FAILURES/0/'
	'an unauthenticated peer is accepted|src/core/frame.c|s/return difference == 0;/return true;/'
	'a report of an earlier incarnation counts|src/core/registry.c|s/return incarnation && born_ms < incarnation->born_ms;/return false;/'
	'a late list makes a draining incarnation ready again|src/core/registry.c|s/incarnation->draining = incarnation->draining \|\| entry->draining;/incarnation->draining = entry->draining;/'
	'an observation of an earlier start is applied to the next|src/core/observation.c|s/ \|\| searcher->born_ms != observation->born_ms//'
	'a searcher whose entry became unreadable is still used|src/core/registry.c|s/mark_listed\(registry, id\);\n\tremove_entry\(registry, id\);/mark_listed(registry, id);/'
	'an outdated update of a member is applied|src/core/gossip.c|s/received->incarnation < member->incarnation \|\|/0 ||/'
	'the end of a network partition is not detected|src/core/gossip.c|s/!is_known\(gossip, seed\) \|\| g_rand_int_range\(gossip->rand, 0, 10\) == 0/!is_known(gossip, seed)/'
	'a leaving note never expires|src/core/gossip.c|s/at_ms \+ NOTE_RETENTION_MS < gossip->timeline->wall_ms\(\) \|\|/0 ||/; s/if \(note->at_ms \+ NOTE_RETENTION_MS < now_ms\)/if (0)/'
	'urgent requests may starve the rest|src/core/gate.c|s/\+\+gate->pick_count % FAIR_PICK_INTERVAL/1/'
	'a searcher whose address was reused is still sent work|src/core/forwarder.c|s/registry_mark_replaced\(forwarder->registry, sub->searcher\);//'
	'a request that may have run and must not be repeated is retried|src/core/part.c|s/return part->forward->route->idempotent &&/return/'
	'requests that cannot succeed put searchers to work|src/core/forwarder.c|s/\tlose_unservable\(forward\);//'
	'retries have no limit|src/core/retry_budget.c|s/if \(retry_budget_left\(budget, bound, purpose, now_us\) < 1\)/if (0)/'
	'a gather waits for a missing part past its target|src/core/forward.c|s/now_us < forward->partial_us \|\|/1 ||/'
	'removals are applied as soon as the store recovers|src/core/registry.c|s/if \(may_be_lapsed\(registry, searcher, now_us\)\)/if (0)/'
	'an old list makes a draining searcher ready|src/core/registry.c|s/if \(!entry->draining \|\| searcher->state != SEARCHER_READY\)\n\t\treturn false;\n\tsearcher->state = SEARCHER_DRAINING/searcher->state = entry->draining ? SEARCHER_DRAINING : SEARCHER_READY/'
	'callers that disconnected keep searchers at work|src/core/forwarder.c|s/forward_release\(forward, ABANDONED_CANCEL_US, now_us\)/forward_release(forward, 600000, now_us)/'
	'parts wait for searchers that are gone|src/core/forwarder.c|s/\tlose_without_candidates\(pool, now_us\);//'
	'urgent parts get no priority in the queue|src/core/part.c|s/return forward_rank\(part->forward\) < forward_rank\(other->forward\);/return false;/'
	'a refused request may come twice on one connection|src/core/subrequest.c|s/sub->resent = part->refused_may_retry;/sub->resent = false;/'
	'requests are cut off when the VM stops|src/core/forwarder.c|s/\tforward->deadline_us = stop_us;/\tif (0) forward->deadline_us = stop_us;/'
	'hand-overs are cut off when the VM stops|src/core/handover.c|s/MIN\(handover->limits.deadline_us \+ FINAL_ANSWER_MARGIN_US, handover->all->stop_us\)/handover->limits.deadline_us + FINAL_ANSWER_MARGIN_US/'
	'a VM that stops soon takes long requests|src/core/forwarder.c|s/return forwarder->refuses_long && !request->handed_over &&/return 0 \&\&/'
	'a part is sent though its VM stops before the answer|src/core/part.c|s/else if \(part_would_outlast_stop\(part, now_us\)\)/else if (0)/'
	'a request is taken though its VM stops before the answer|src/core/forwarder.c|s/lost_or_late \+= part_would_outlast_stop\(part, now_us\);/;/'
	'a status of two digits is a reply|src/net/http_message.c|s/\(in_status_line && !is_valid_in_status_line\(scan->line_bytes, data\[i\]\)\) \|\|//'
	'a 204 with a body is a reply|src/net/http_message.c|s/return http_status_has_body\(parser->status_code\) \|\| parser->status_code == 304 \|\|/return true ||/'
	'a 304 has a body|src/net/http_message.c|s/parser->status_code == 304\)\n\t\tmessage->no_body = true;/0)\n\t\tmessage->no_body = true;/'
	'the end of a chunk is not checked|src/net/http_message.c|s/if \(!scan_chunk_byte\(chunks, data\[i\]\)\)/if (0)/'
	'a folded header is accepted|src/net/http_message.c|s/return !folded;/return true;/'
	'all requests are admitted in order of arrival|src/core/gate.c|s/\+\+gate->pick_count % FAIR_PICK_INTERVAL/0/'
	'a VM that is slow itself shares observations|src/core/observation.c|s/return filter->unexpected_share < UNEXPECTED_SHARE_MAX &&/return/'
	'slowness is shared while all VMs connect|src/core/observation.c|s/\(settled \|\| type == OBSERVATION_HUNG\)/1/'
	'another VM'"'"'s observation overrides an own answer|src/core/observation.c|s/else if \(answered_since\(searcher, after_us, now_us\)\)/else if (0)/'
	'all VMs connect to searchers in other regions at once|src/core/placement.c|s/define STUCK_REPORTED_PENALTY_US 60000/define STUCK_REPORTED_PENALTY_US 150000/'
	'the time to connect is shared as slowness|src/core/forwarder.c|s/if \(sub->opens_connection \|\| /if (/'
	'a refusal hides that the request ran before|src/core/part.c|s/if \(part->reply && part->reply->outcome == SUB_FAILED &&/if (0 \&\&/'
	'a long request makes its searcher look hung|src/core/subrequest.c|s/return sub->searcher->last_served_sent_us <= sub->sending.sent_us &&/return/'
	'a hedge is sent at once|src/core/part.c|s/if \(now_us < due_us\)/if (0)/'
	'hedges are sent as early when the budget is nearly used up|src/core/part.c|s/spent \* HEDGE_SPENT_FACTOR/0/'
	'a route of long requests makes searchers look hung|src/core/route_state.c|s/return state->hang_rate < HANG_RATE_MAX;/return true;/'
)
# Mechanisms that improve results but guarantee nothing: no test fails without them, so they are not tried here.
# scripts/ablate.sh removes them as well, and runs simulated days with and without each.
ABLATIONS=(
	'no part is hedged|src/core/part.c|s/part->hedge_us = may_run_again\(part\) \? hedge_due_us\(part, now_us\) : 0;/part->hedge_us = 0;/'
	'hedges are sent only at the latest time|src/core/part.c|s/due_us = searcher->idle \? MIN\(hedge_due_us\(part, now_us\), late_us\) : late_us;/due_us = late_us;/'
	'failures are not retried|src/core/part.c|s/: !may_run_again\(part\)\)\n\t\treturn false;/: 1)\n\t\treturn false;/'
	'refusals are not retried|src/core/part.c|s/part->refusals > MAX_REFUSALS : !may_run/1 : !may_run/'
	'failing searchers are not avoided|src/core/searcher.c|s/MIN\(avoid_us, AVOID_MAX_US\)/0 * avoid_us/'
	'hung searchers are not avoided|src/core/searcher.c|s/MIN\(avoid_us, AVOID_HUNG_MAX_US\)/0 * avoid_us/'
	'stuck searchers cost nothing|src/core/placement.c|s/cost_us \+= STUCK_PENALTY_US;/cost_us += 0;/'
	'no observations are shared with other VMs|src/core/forwarder.c|s/if \(sub->opens_connection \|\| !forwarder->ops->observed\)/if (1)/'
	'cold searchers cost nothing|src/core/placement.c|s/cost_us \*= COLD_FACTOR;/cost_us *= 1;/'
	'all VMs choose the same searcher|src/core/placement.c|s/define COST_JITTER 0.1/define COST_JITTER 1e-9/'
	'outstanding sub-requests cost nothing|src/core/placement.c|s/cost_us \*= 1 \+ \(double\)searcher->outstanding.length \/ searcher->slots;//'
	'measured latency does not decay|src/core/placement.c|s/exp2\(-age_us \/ LATENCY_HALF_LIFE_US\)/exp2(0 * age_us)/'
	'a part that would wait past its deadline is not refused|src/core/part.c|s/else if \(part_would_miss_deadline\(part, now_us\)\)/else if (0)/'
	'far connections are shared equally by all VMs|src/core/connection_share.c|s/bool spread = each < MIN_CONNECTIONS_EACH \&\&/bool spread = 0 \&\&/'
	'connections to searchers are not opened ahead of need|src/core/warm_set.c|s/if \(!searcher->is_warm \|\| searcher->connections\)/if (1)/'
)
SCRATCH=$(mktemp -d)
trap 'rm -rf "$SCRATCH"' EXIT
CFLAGS="-w -O1 -Isrc -Itests $(pkg-config --cflags glib-2.0 jansson libxxhash msgpack)"
LIBS="$(pkg-config --libs glib-2.0 jansson libxxhash msgpack) -lcmocka -lm"

# Test programs in the order in which they are tried, and what each is linked with besides src/core.
TESTS="forward_test send_limit_test poison_test store_sync_test handover_test fleet_test parts_test message_test gossip_test script_test load_test random_test front_random_test front_fleet_test member_sync_test quota_test"
declare -A SEEN_BY=(
	[forward_test]='the forwarding scripts' [send_limit_test]='the tests of the send limits' [store_sync_test]='the store sync tests' [member_sync_test]='the tests of the list of VMs'
	[handover_test]='the hand-over scripts' [quota_test]='the tests of quotas'
	[fleet_test]='the fleet tests' [parts_test]='the unit tests of small modules' [message_test]='the HTTP message tests'
	[load_test]='the load scenarios' [poison_test]='the tests of poison records'
	[front_random_test]='the random schedules of forwarding' [front_fleet_test]='the random schedules of several VMs'
	[gossip_test]='the membership tests' [script_test]='the query scripts' [random_test]='the random schedules of queries')
declare -A WITH=([forward_test]='script_runner' [handover_test]='script_runner' [message_test]='net_http_message' [script_test]='world' [random_test]='world'
	[load_test]='load_world' [front_random_test]='front_world' [front_fleet_test]='front_world')
declare -A ARGS=([random_test]=400 [front_random_test]=400 [front_fleet_test]=100)

object_of() { echo "$SCRATCH/objects/$(echo "${1#src/}" | sed 's|^core/||; s|^tests/||; s|/|_|g; s|\.c$||').o"; }

# Compiles the unchanged sources once; for a mutant, only its file is compiled and the test programs are linked.
compile_all() {
	mkdir -p "$SCRATCH/objects"
	for file in src/core/*.c src/net/http_message.c tests/world.c tests/load_world.c tests/front_world.c tests/script_runner.c $(printf 'tests/%s.c ' $TESTS); do
		echo "$file $(object_of "$file")"
	done | xargs -P "$(nproc)" -L 1 sh -c "gcc $CFLAGS -c -o \"\$1\" \"\$0\""
}

# Succeeds if the test program fails. A time-out, as on a busy machine, does not count as a failure.
fails() { timeout 300 "$@" >/dev/null 2>&1; case $? in 0 | 124) return 1 ;; esac; }

# Prints the objects of a test program, with the mutant's object in place of the unchanged one. message_test is linked
# without src/core.
objects_for() { # test, unchanged object, mutant's object
	local test=$1 file
	for file in "$SCRATCH/objects/$test.o" ${WITH[$test]:+"$SCRATCH/objects/${WITH[$test]}.o"} \
		$([ "$test" = message_test ] || ls src/core/*.c | sed "s|src/core/\(.*\)\.c|$SCRATCH/objects/\1.o|"); do
		[ "$file" = "$2" ] && echo "$3" || echo "$file"
	done
}

try_mutant() { # row, index
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

compile_all || { echo "the unchanged sources do not compile"; exit 1; }
jobs=()
for i in "${!MUTANTS[@]}"; do
	case ${MUTANTS[$i]} in *${ONLY:-}*) ;; *) continue ;; esac
	(try_mutant "${MUTANTS[$i]}" "$i" >"$SCRATCH/out.$i" 2>&1 && touch "$SCRATCH/seen.$i") &
	jobs[$i]=$!
	# Run at most as many mutants at a time as there are processors.
	while [ "$(jobs -rp | wc -l)" -ge "$(nproc)" ]; do wait -n; done
done
wait
bad=0
# The results are read from files, not from `wait`: the shell forgets a child whose process id was reused.
for i in "${!jobs[@]}"; do
	[ -e "$SCRATCH/seen.$i" ] || bad=$((bad + 1))
	cat "$SCRATCH/out.$i"
done
echo "$((${#jobs[@]} - bad)) of ${#jobs[@]} safeguards are detected as missing when removed"
[ $bad = 0 ]
