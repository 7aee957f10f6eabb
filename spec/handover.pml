/*
 * A request that another VM gathers: one taker, two gatherers, one shard, two tries allowed.
 *
 * Follows src/core/handover.c and src/tasks/hop_server.c. Any message may be late, as a gatherer that
 * is frozen reads and says nothing; a gatherer may die at any step, know an older configuration, not
 * take the request, or find no searcher with room.
 *
 * Promises: searchers of the shard run the request twice at most, whoever gathers; a caller that is
 * told "not run" is told the truth, also afterwards; it is told once; nobody gathers by an older
 * configuration than the one that the request was routed by.
 */
#define TRIES 2

mtype = { REQUEST, GO, CANCEL, TAKEN, NOT_TAKEN, ANSWER, NO_ROOM };
mtype = { NOTHING, ANSWERED, NOT_RUN, FAILED };

chan to[2] = [4] of { mtype };
chan from[2] = [4] of { mtype };
bool dead[2];
bool older[2];
byte runs = 0;
mtype told = NOTHING;

inline send_one()
{
	runs++;
	assert(runs <= TRIES);
	assert(told != NOT_RUN)
}

inline tell(what)
{
	assert(told == NOTHING);
	told = what;
	assert(told != NOT_RUN || runs == 0)
}

proctype gatherer(byte me)
{
	byte allowed, sent;

idle:	if
	:: atomic { dead[me] = true; goto gone }
	:: atomic { to[me]?GO -> goto idle }
	:: atomic { to[me]?CANCEL -> goto idle }
	:: atomic { to[me]?REQUEST ->
		    /* What was read with it is looked at first: a cancelled one is not begun. */
		    if
		    :: to[me]?[CANCEL] -> to[me]?CANCEL; goto idle
		    :: else -> skip
		    fi }
	fi;
	if
	:: atomic { dead[me] = true; goto gone }
	:: atomic { from[me]!NOT_TAKEN; goto idle }
#ifdef TAKES_OLDER
	:: atomic { from[me]!TAKEN; assert(!older[me]); goto taken }
#else
	:: atomic { !older[me] -> from[me]!TAKEN; goto taken }
#endif
	fi;
taken:	allowed = 1;
	sent = 0;
#ifdef ALL_AT_ONCE
	allowed = TRIES;
#endif
	do
	:: atomic { dead[me] = true; goto gone }
	:: atomic { sent < allowed -> sent++; send_one() }
	:: atomic { to[me]?GO -> allowed = TRIES }
	:: atomic { to[me]?CANCEL -> goto idle }
	:: atomic { sent > 0 -> from[me]!ANSWER; goto idle }
	:: atomic { sent == 0 -> from[me]!NO_ROOM; goto idle }
	od;
gone:	skip
}

proctype taker()
{
	byte at = 0, left = TRIES;
	bool taken = false, unknown = false;

hand_over:
	atomic { to[at]!REQUEST; left--; taken = false }
	do
	:: atomic { from[at]?TAKEN ->
		    taken = true;
		    if
		    :: left > 0 -> to[at]!GO; left = 0
		    :: else -> skip
		    fi }
	:: atomic { from[at]?NOT_TAKEN -> left++; goto go_on }
	:: atomic { from[at]?ANSWER -> tell(ANSWERED); goto done }
	:: atomic { from[at]?NO_ROOM ->
		    if
#ifndef BELIEVES_REFUSAL
		    :: unknown -> tell(FAILED)
#endif
		    :: else -> tell(NOT_RUN)
		    fi;
		    goto done }
	:: atomic { !taken -> to[at]!CANCEL; unknown = true; goto go_on } /* silent */
	:: atomic { taken -> to[at]!CANCEL; tell(FAILED); goto done } /* the deadline */
	:: atomic { dead[at] && empty(from[at]) -> unknown = true; goto go_on }
	od;

go_on:	atomic {
#ifdef KEEPS_ITS_TRIES
		left = TRIES;
#endif
		if
		:: left == 0 -> tell(FAILED); goto done
		:: left > 0 && at == 0 -> at = 1
		:: left > 0 && at == 1 ->
			if
#ifndef GATHERS_AFTER_ALL
			:: unknown -> tell(FAILED); goto done
#endif
			:: else -> skip
			fi;
			left = TRIES; /* here */
			do
			:: left > 0 -> left--; send_one()
			:: tell(ANSWERED); goto done
			od
		fi
	}
	goto hand_over;
done:	skip
}

init
{
	atomic {
		if
		:: older[0] = true
		:: older[1] = true
		:: skip
		fi;
		run gatherer(0);
		run gatherer(1);
		run taker()
	}
}
