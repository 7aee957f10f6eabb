/*
 * One idempotency key, claimed through three VMs while the platform's answers get lost or late.
 *
 * Follows src/core/claims.c and engine_claimed(). A VM may be slow or stopped between any two steps;
 * so "paused" and "killed" need no steps of their own. Each variant takes one safeguard out.
 *
 * Promises: the action runs at most once; a VM that said "not run" has not run it and never will.
 */
#define VMS 3
#define NOBODY 0
#define TRIES 2

byte version = 0;       /* of the platform's bucket */
byte holder = NOBODY;   /* whose claim stands there */
byte effects = 0;       /* how often the action ran */
bool told_not_run[VMS + 1];
bool ran[VMS + 1];
bool lied = false;      /* a VM took its own claim for somebody else's */

inline check()
{
	assert(effects <= 1 && !lied && !(told_not_run[1] && ran[1]) && !(told_not_run[2] && ran[2]) &&
	       !(told_not_run[3] && ran[3]))
}

chan late = [VMS * TRIES] of { byte, byte }; /* writes still in the network: if_version, holder */

inline apply(if_version, who)
{
#ifdef UNCONDITIONAL_WRITE
	version++; holder = who;
#else
	if
	:: version == if_version -> version++; holder = who
	:: else -> skip
	fi
#endif
}

active proctype network()
{
	byte if_version, who;

end:	do
	:: atomic { late ? if_version, who -> apply(if_version, who) }
	od
}

proctype vm(byte me)
{
	byte seen_version, seen_holder, tries = 0;
	bool written = false;

read:	if
	:: atomic { seen_version = version; seen_holder = holder }
	:: goto give_up /* an outage, or the deadline */
	fi;
	if
#ifndef NO_READ_BACK
	:: written && seen_holder == me -> goto ours
#endif
#ifndef OVERWRITE_OTHERS
	:: seen_holder != NOBODY && (seen_holder != me || !written) -> goto done /* told: unknown */
#ifdef NO_READ_BACK
	:: seen_holder == me -> lied = true; check(); goto done /* told: somebody else has it */
#endif
#endif
	:: else -> skip
	fi;
	if
	:: tries == TRIES -> goto give_up
	:: else -> tries++
	fi;
	written = true;
	if
	:: atomic { version == seen_version -> version++; holder = me; goto ours }
	:: atomic { version != seen_version -> goto read }           /* conflict */
#ifdef UNCONDITIONAL_WRITE
	:: atomic { version++; holder = me; goto ours }
#endif
	:: atomic { apply(seen_version, me); goto read }             /* took effect, answer lost */
	:: atomic { late ! seen_version, me; goto read }             /* will take effect, or not, later */
	:: goto read                                                 /* never arrived */
	fi;

ours:	if
	:: atomic { true -> /* in time */
send:		effects++; ran[me] = true;
#ifdef ASK_AGAIN_WHEN_UNKNOWN
		if
		:: effects++
		:: skip
		fi;
#endif
		check()
	   }; goto done
	:: told_not_run[me] = true; check(); /* woke after the deadline: answered, and nothing sent */
#ifdef SEND_AFTER_ANSWER
	   goto late_send
#endif
	   atomic {
		if
#ifdef RELEASE_ANY
		:: holder = NOBODY; version++
#else
		:: holder == me -> holder = NOBODY; version++
#endif
		:: else -> skip
		fi
	   }
	   goto done
	fi;

#ifdef SEND_AFTER_ANSWER
late_send:
	atomic { effects++; ran[me] = true; check() };
	goto done;
#endif

give_up:
	told_not_run[me] = true; check(); /* no byte went to an upstream; a claim that still lands is given back */
	if
	:: !written -> goto done
	:: else -> skip
	fi;
	if
	:: atomic {
		if
#ifdef RELEASE_ANY
		:: holder = NOBODY; version++
#else
		:: holder == me -> holder = NOBODY; version++
#endif
		:: else -> skip
		fi
	   }
	:: skip
	fi;

done:	skip
}

init
{
	atomic { run vm(1); run vm(2); run vm(3) }
}
