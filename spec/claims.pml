/*
 * One idempotency key is claimed through three VMs while the platform's replies are lost or late.
 *
 * Models src/core/claims.c and engine_claimed(). A VM may be slow or suspended between any two steps, so
 * pauses and kills need no steps of their own. Each variant removes one safeguard.
 *
 * Properties: the action runs at most once; a VM that answered "not run" has not run it and never will.
 */
#define VMS 3
#define NOBODY 0
#define TRIES 2

byte version = 0;       /* of the platform's bucket */
byte holder = NOBODY;   /* the VM whose claim is in the bucket */
byte effects = 0;       /* how often the action ran */
bool answered_not_run[VMS + 1];
bool ran[VMS + 1];
bool lied = false;      /* a VM took its own claim for another VM's */

inline check()
{
	assert(effects <= 1 && !lied && !(answered_not_run[1] && ran[1]) && !(answered_not_run[2] && ran[2]) &&
	       !(answered_not_run[3] && ran[3]))
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
	:: seen_holder != NOBODY && (seen_holder != me || !written) -> goto done /* answered: unknown */
#ifdef NO_READ_BACK
	:: seen_holder == me -> lied = true; check(); goto done /* answered: held by another VM */
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
	:: atomic { apply(seen_version, me); goto read }             /* took effect, reply lost */
	:: atomic { late ! seen_version, me; goto read }             /* may take effect later */
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
	:: answered_not_run[me] = true; check(); /* resumed after the deadline: answered, nothing sent */
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
	answered_not_run[me] = true; check(); /* nothing was sent to an upstream; a claim that still succeeds is released */
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
