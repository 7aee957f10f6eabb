/*
 * Configuration: two operators propose changes concurrently through two VMs; two more VMs apply the
 * configurations that they receive.
 *
 * Models src/core/proposal.c and active_config.c. Reads may be stale, replies may be lost, VMs may restart
 * (they then have no configuration in force), and peers relay the configuration that they have.
 *
 * Properties: the number of the configuration in force on a VM never decreases while it runs; if an
 * operator was answered "accepted", his change is at that number; if "conflict", he has no change.
 */
#define NUMBERS 4
#define NONE 0

byte number = 1;            /* the platform's version of the object */
byte at[NUMBERS + 1];       /* the operator whose change each number is: the object's history */
byte in_force[2];           /* by VM */
bool went_back = false;
bool lied = false;

inline check()
{
	assert(!went_back && !lied)
}

inline apply(vm, received)
{
	if
#ifdef TAKE_ANY
	:: received != NONE && received < in_force[vm] -> went_back = true; check(); in_force[vm] = received
#endif
	:: received > in_force[vm] -> in_force[vm] = received
	:: else -> skip
	fi
}

proctype operator(byte me)
{
	byte base, tries = 0, i;
	bool found;

	atomic { base = number }; /* the number in force on the operator's VM */
write:	if
	:: tries == 2 -> goto done /* answered: unknown */
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
		:: found -> goto done /* answered: accepted, which is true */
		:: !found && number == base -> goto write
		:: else -> skip
		fi;
		/* answered: conflict */
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
	/* Answered: accepted at base + 1. This is wrong if that number is the other operator's change. */
	if
	:: at[base + 1] != me -> lied = true; check()
	:: else -> skip
	fi;

done:	skip
}

proctype vm(byte me)
{
	byte received, steps = 0;

	do
	:: steps < 3 ->
		steps++;
		if
		:: atomic { received = number; apply(me, received) }
		:: atomic { received = 1; apply(me, received) }       /* an outdated replica */
		:: atomic { received = in_force[1 - me]; apply(me, received) } /* a peer */
		:: in_force[me] = NONE                                /* restarted; not ready without a configuration */
		fi
	:: else -> break
	od
}

init
{
	atomic { run operator(1); run operator(2); run vm(0); run vm(1) }
}
