/*
 * Configuration: two operators race through two VMs; two more VMs take up what they hear.
 *
 * Follows src/core/proposal.c and active_config.c. Reads may be stale, answers lost, VMs restarted (they
 * forget what was in force and start at nothing), and peers pass on what they have.
 *
 * Promises: what is in force on a VM never goes back while it runs; an operator who was told
 * "accepted" has his change at that number; one who was told "conflict" has none.
 */
#define NUMBERS 4
#define NONE 0

byte number = 1;            /* the platform's version of the object */
byte at[NUMBERS + 1];       /* whose change each number is; the value's history */
byte in_force[2];           /* by VM */
bool went_back = false;
bool lied = false;

inline check()
{
	assert(!went_back && !lied)
}

inline take(vm, heard)
{
	if
#ifdef TAKE_ANY
	:: heard != NONE && heard < in_force[vm] -> went_back = true; check(); in_force[vm] = heard
#endif
	:: heard > in_force[vm] -> in_force[vm] = heard
	:: else -> skip
	fi
}

proctype operator(byte me)
{
	byte base, tries = 0, i;
	bool found;

	atomic { base = number }; /* what his VM has in force */
write:	if
	:: tries == 2 -> goto done /* told: unknown */
	:: else -> tries++
	fi;
	if
	:: atomic { number == base && number < NUMBERS -> number++; at[number] = me; goto accepted }
	:: atomic { number == base && number < NUMBERS -> number++; at[number] = me; goto read_back }
	:: atomic { number != base -> goto read_back }
	:: goto read_back /* never arrived */
#ifdef UNCONDITIONAL_WRITE
	:: atomic { number < NUMBERS -> at[base + 1] = me;
		    if
		    :: number == base -> number++
		    :: else -> skip
		    fi;
		    goto accepted }
#endif
	fi;

read_back:
	atomic {
		found = false;
#ifdef NO_HISTORY
		if
		:: at[number] == me -> found = true
		:: else -> skip
		fi;
#else
		i = 1;
		do
		:: i <= number -> if
				  :: at[i] == me -> found = true
				  :: else -> skip
				  fi; i++
		:: else -> break
		od;
#endif
		if
		:: found -> goto done /* told: accepted, as it is */
		:: !found && number == base -> goto write
		:: else -> skip
		fi;
		/* told: conflict */
		i = 1;
		do
		:: i <= number -> if
				  :: at[i] == me -> lied = true; check()
				  :: else -> skip
				  fi; i++
		:: else -> break
		od
	}
	goto done;

accepted:
	/* told: accepted at base + 1. Somebody else's change at that number makes it untrue. */
	if
	:: at[base + 1] != me -> lied = true; check()
	:: else -> skip
	fi;

done:	skip
}

proctype vm(byte me)
{
	byte heard, steps = 0;

	do
	:: steps < 3 ->
		steps++;
		if
		:: atomic { heard = number; take(me, heard) }
		:: atomic { heard = 1; take(me, heard) }              /* a copy that lags */
		:: atomic { heard = in_force[1 - me]; take(me, heard) } /* a peer */
		:: in_force[me] = NONE                                /* restarted; not ready until it hears */
		fi
	:: else -> break
	od
}

init
{
	atomic { run operator(1); run operator(2); run vm(0); run vm(1) }
}
