/*
 * The store is restored from an older copy of its data: its era rises, and its revisions go back and are
 * assigned again. An operator writes one object, an evacuation, may withdraw it, and writes it again after
 * the restore. One VM watches the store; another VM is fed by it, or by a feeder that is behind.
 *
 * Models src/core/store_era.c, src/core/evacuation.c, src/tasks/follower.c and store_sync_task.c. Replies may
 * be in flight while the store is restored; the first reply with the new era may belong to another kind.
 *
 * Properties: a VM that knows the evacuation never drops it before the operator withdraws it; once no more
 * events occur, both VMs know what the operator wrote last.
 */
#define OTHER_WRITES 2

mtype = { LIST, EVENT, NOTHING, GONE };

byte era = 0, rev = 1, changed = 0;      /* the store; changed: revision of the object's last change */
bool held = false;                       /* the evacuation is in the store */
bool wanted = false, written = false, withdrawn = false; /* what the operator wants, and has written */
bool copied = false, restored = false, rewritten = false;
bool retention_over = false; /* a missing evacuation no longer stays in force */
byte copy_rev, copy_changed;
bool copy_held;

chan reply = [1] of { byte, mtype, byte, bool }; /* era, what, revision, held */
chan feed = [6] of { byte, bool };               /* era, held */

bool asked = false, lists = true;        /* the watcher has an outstanding call; it reads the whole list */
byte since = 0;

proctype store()
{
	byte others = 0;

	do
	:: atomic { !written && (!restored || rewritten) -> wanted = true; written = true; held = true; rev++; changed = rev }
	:: atomic { written && !withdrawn && (!restored || rewritten) ->
		    wanted = false; withdrawn = true; held = false; rev++; changed = rev }
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

/* The store answers an outstanding call at any time. */
proctype answers()
{
end:	do
	:: atomic { asked && empty(reply) && lists -> reply!era, LIST, rev, held }
	:: atomic { asked && empty(reply) && !lists && since > rev -> reply!era, GONE, 0, false }
	:: atomic { asked && empty(reply) && !lists && since < rev && changed > since -> reply!era, EVENT, rev, held }
	:: atomic { asked && empty(reply) && !lists && since < rev && changed <= since -> reply!era, NOTHING, rev, held }
	od
}

/* The retention is longer than the operator takes to write again and the write takes to reach every VM. */
proctype clock()
{
end:	atomic { rewritten && !lists && since >= changed && empty(reply) && empty(feed) -> retention_over = true }
}

/* A VM applies a reply of the store, or the same from a feeder. */
inline apply(known, missing, is_list, now_held)
{
	if
	:: now_held -> known = true; missing = false
	:: !now_held && known ->
		if
#ifndef DROPS_AT_ONCE
		:: is_list && restored && !retention_over -> missing = true
#endif
		:: else -> assert(!wanted); known = false; missing = false
		fi
	:: else -> skip
	fi
}

proctype watcher()
{
	byte mine = 0, received, at;
	bool known = false, missing = false, now_held, stale = false;
	mtype what;

	do
	:: atomic { !asked && empty(reply) -> asked = true }
	/* Another kind's reply carries the new era first; the reply in flight is then discarded. */
	:: atomic { mine < era ->
		    mine = era;
#ifndef BELIEVES_OLDER
		    stale = asked;
#endif
#ifndef GOES_ON_WATCHING
		    lists = true
#endif
		  }
	:: atomic { reply?received, what, at, now_held ->
		    asked = false;
		    if
		    :: stale -> stale = false
#ifndef BELIEVES_OLDER
		    :: !stale && received < mine -> lists = true
#endif
		    :: !stale && received > mine -> mine = received; lists = true
		    :: else ->
			if
			:: what == LIST -> since = at; lists = false; apply(known, missing, true, now_held); feed!received, now_held
			:: what == EVENT -> since = at; apply(known, missing, false, now_held); feed!received, now_held
			:: what == NOTHING -> since = at
			:: what == GONE -> lists = true
			fi
		    fi }
	:: atomic { missing && retention_over -> missing = false; assert(!wanted); known = false }
	:: timeout -> assert(known == wanted); break
	od
}

proctype fed()
{
	byte mine = 0, received;
	bool known = false, missing = false, now_held, behind = false;

	do
	:: atomic { feed?received, now_held ->
		    if
		    :: received >= mine -> mine = received; apply(known, missing, true, now_held)
		    :: else -> skip
		    fi }
#ifdef TAKES_OLDER_FEED
	/* Another feeder, cut off from the store since before the evacuation, sends its list of the previous era. */
	:: atomic { !behind && mine > 0 -> behind = true; apply(known, missing, true, false) }
#endif
	:: atomic { missing && retention_over -> missing = false; assert(!wanted); known = false }
	:: timeout -> assert(known == wanted); break
	od
}

init
{
	atomic { run store(); run answers(); run clock(); run watcher(); run fed() }
}
