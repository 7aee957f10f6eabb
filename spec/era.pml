/*
 * The store comes back from a copy some time old: its era rises, its revisions go back and are given out
 * again. One object, an evacuation, is written by an operator, taken back perhaps, and written again after
 * the return. A VM watches the store; another hears of it from that one, or from one that is behind.
 *
 * Follows src/core/store_era.c, src/core/evacuation.c, src/tasks/follower.c and store_sync_task.c. Replies may
 * be on their way while the store comes back; the era may be heard of first by another kind's reply.
 *
 * Promises: a VM that knows the evacuation never drops it before the operator takes it back; once nothing
 * more happens, both VMs know what the operator wrote last.
 */
#define OTHER_WRITES 2

mtype = { LIST, EVENT, NOTHING, GONE };

byte era = 0, rev = 1, changed = 0;      /* the store; changed: revision of the object's last change */
bool held = false;                       /* the evacuation is in the store */
bool wanted = false, written = false, taken_back = false; /* the operator's word */
bool copied = false, restored = false, rewritten = false;
bool heard = false; /* the time for which one that is missing counts on is over */
byte copy_rev, copy_changed;
bool copy_held;

chan reply = [1] of { byte, mtype, byte, bool }; /* era, what, revision, held */
chan feed = [6] of { byte, bool };               /* era, held */

bool asked = false, lists = true;        /* the watcher's call, and whether it is for the whole list */
byte since = 0;

proctype store()
{
	byte others = 0;

	do
	:: atomic { !written && (!restored || rewritten) -> wanted = true; written = true; held = true; rev++; changed = rev }
	:: atomic { written && !taken_back && (!restored || rewritten) ->
		    wanted = false; taken_back = true; held = false; rev++; changed = rev }
	:: atomic { others < OTHER_WRITES -> others++; rev++ }
	:: atomic { !copied -> copied = true; copy_rev = rev; copy_held = held; copy_changed = changed }
	:: atomic { copied && !restored ->
		    restored = true; era++; rev = copy_rev; held = copy_held; changed = copy_changed }
	:: atomic { restored && !rewritten ->
		    rewritten = true;
		    if
		    :: held != wanted -> held = wanted; rev++; changed = rev
		    :: else -> skip
		    fi }
	:: restored && rewritten && written && others == OTHER_WRITES -> break
	od
}

/* Answers a call at some moment. */
proctype answers()
{
end:	do
	:: atomic { asked && empty(reply) && lists -> reply!era, LIST, rev, held }
	:: atomic { asked && empty(reply) && !lists && since > rev -> reply!era, GONE, 0, false }
	:: atomic { asked && empty(reply) && !lists && since < rev && changed > since -> reply!era, EVENT, rev, held }
	:: atomic { asked && empty(reply) && !lists && since < rev && changed <= since -> reply!era, NOTHING, rev, held }
	od
}

/* It is longer than the operator takes to write again, and the way of that to every VM. */
proctype clock()
{
end:	atomic { rewritten && !lists && since >= changed && empty(reply) && empty(feed) -> heard = true }
}

/* What a VM makes of a word of the store. */
inline take(known, missing, is_list, now_held)
{
	if
	:: now_held -> known = true; missing = false
	:: !now_held && known ->
		if
#ifndef DROPS_AT_ONCE
		:: is_list && restored && !heard -> missing = true
#endif
		:: else -> assert(!wanted); known = false; missing = false
		fi
	:: else -> skip
	fi
}

proctype watcher()
{
	byte mine = 0, told, at;
	bool known = false, missing = false, now_held, stale = false;
	mtype what;

	do
	:: atomic { !asked && empty(reply) -> asked = true }
	/* Another kind's reply tells the era first; what is under way is of no use then. */
	:: atomic { mine < era ->
		    mine = era;
#ifndef BELIEVES_OLDER
		    stale = asked;
#endif
#ifndef GOES_ON_WATCHING
		    lists = true
#endif
		  }
	:: atomic { reply?told, what, at, now_held ->
		    asked = false;
		    if
		    :: stale -> stale = false
#ifndef BELIEVES_OLDER
		    :: !stale && told < mine -> lists = true
#endif
		    :: !stale && told > mine -> mine = told; lists = true
		    :: else ->
			if
			:: what == LIST -> since = at; lists = false; take(known, missing, true, now_held); feed!told, now_held
			:: what == EVENT -> since = at; take(known, missing, false, now_held); feed!told, now_held
			:: what == NOTHING -> since = at
			:: what == GONE -> lists = true
			fi
		    fi }
	:: atomic { missing && heard -> missing = false; assert(!wanted); known = false }
	:: timeout -> assert(known == wanted); break
	od
}

proctype fed()
{
	byte mine = 0, told;
	bool known = false, missing = false, now_held, behind = false;

	do
	:: atomic { feed?told, now_held ->
		    if
		    :: told >= mine -> mine = told; take(known, missing, true, now_held)
		    :: else -> skip
		    fi }
#ifdef TAKES_OLDER_FEED
	/* Another feeder, cut off since before the evacuation, gives its list; it is of the era before. */
	:: atomic { !behind && mine > 0 -> behind = true; take(known, missing, true, false) }
#endif
	:: atomic { missing && heard -> missing = false; assert(!wanted); known = false }
	:: timeout -> assert(known == wanted); break
	od
}

init
{
	atomic { run store(); run answers(); run clock(); run watcher(); run fed() }
}
