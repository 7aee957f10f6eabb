/*
 * Hand-over of a request: one taker, two gatherers, one shard, two sub-requests allowed.
 *
 * Models src/core/handover.c and src/tasks/hop_server.c. Any message may be late, as a suspended
 * gatherer neither reads nor sends; a gatherer may terminate at any step, have an older configuration,
 * reject the request, or find no searcher with capacity.
 *
 * Properties: searchers of the shard run the request at most twice, whichever VM gathers; if a caller
 * is answered "not run", the request has not run and never will; a caller is answered once; no VM
 * gathers with an older configuration than the one by which the request was routed.
 */
#define TRIES 2

mtype = { REQUEST, GRANT, CANCEL, ACCEPTED, REJECTED, ANSWER, NO_CAPACITY };
mtype = { NOTHING, ANSWERED, NOT_RUN, FAILED };

chan to[2] = [4] of { mtype };
chan from[2] = [4] of { mtype };
bool dead[2];
bool older[2];
byte runs = 0;
mtype answered = NOTHING; /* what the caller was answered */

inline send_one()
{
	runs++;
	assert(runs <= TRIES);
	assert(answered != NOT_RUN)
}

inline answer(what)
{
	assert(answered == NOTHING);
	answered = what;
	assert(answered != NOT_RUN || runs == 0)
}

proctype gatherer(byte me)
{
	byte allowed, sent;

idle:	if
	:: atomic { dead[me] = true; goto gone }
	:: atomic { to[me]?GRANT -> goto idle }
	:: atomic { to[me]?CANCEL -> goto idle }
	:: atomic { to[me]?REQUEST ->
		    /* Messages read together with the request come first: a cancelled request is not started. */
		    if
		    :: to[me]?[CANCEL] -> to[me]?CANCEL; goto idle
		    :: else -> skip
		    fi }
	fi;
	if
	:: atomic { dead[me] = true; goto gone }
	:: atomic { from[me]!REJECTED; goto idle }
#ifdef TAKES_OLDER
	:: atomic { from[me]!ACCEPTED; assert(!older[me]); goto accepted }
#else
	:: atomic { !older[me] -> from[me]!ACCEPTED; goto accepted }
#endif
	fi;
accepted:
	allowed = 1;
	sent = 0;
#ifdef ALL_AT_ONCE
	allowed = TRIES;
#endif
	do
	:: atomic { dead[me] = true; goto gone }
	:: atomic { sent < allowed -> sent++; send_one() }
	:: atomic { to[me]?GRANT -> allowed = TRIES }
	:: atomic { to[me]?CANCEL -> goto idle }
	:: atomic { sent > 0 -> from[me]!ANSWER; goto idle }
	:: atomic { sent == 0 -> from[me]!NO_CAPACITY; goto idle }
	od;
gone:	skip
}

proctype taker()
{
	byte at = 0, left = TRIES;
	bool accepted = false, unknown = false;

hand_over:
	atomic { to[at]!REQUEST; left--; accepted = false }
	do
	:: atomic { from[at]?ACCEPTED ->
		    accepted = true;
		    if
		    :: left > 0 -> to[at]!GRANT; left = 0
		    :: else -> skip
		    fi }
	:: atomic { from[at]?REJECTED -> left++; goto go_on }
	:: atomic { from[at]?ANSWER -> answer(ANSWERED); goto done }
	:: atomic { from[at]?NO_CAPACITY ->
		    if
#ifndef BELIEVES_REFUSAL
		    :: unknown -> answer(FAILED)
#endif
		    :: else -> answer(NOT_RUN)
		    fi;
		    goto done }
	:: atomic { !accepted -> to[at]!CANCEL; unknown = true; goto go_on } /* unresponsive */
	:: atomic { accepted -> to[at]!CANCEL; answer(FAILED); goto done } /* the deadline */
	:: atomic { dead[at] && empty(from[at]) -> unknown = true; goto go_on }
	od;

go_on:	atomic {
#ifdef KEEPS_ITS_TRIES
		left = TRIES;
#endif
		if
		:: left == 0 -> answer(FAILED); goto done
		:: left > 0 && at == 0 -> at = 1
		:: left > 0 && at == 1 ->
			if
#ifndef GATHERS_AFTER_ALL
			:: unknown -> answer(FAILED); goto done
#endif
			:: else -> skip
			fi;
			left = TRIES; /* the taker gathers itself */
			do
			:: left > 0 -> left--; send_one()
			:: answer(ANSWERED); goto done
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
