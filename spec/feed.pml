/*
 * The feed: a VM that watches the store takes a feed, and may lose it again. The configuration is too
 * large to be told, so the feeder only announces that it has changed.
 *
 * Follows src/core/list_watch.c and src/core/store_sync_links.c. The feeder may end at any moment, and messages
 * may be late; a read of the list takes its time, and sees the store as it is at its end.
 *
 * Promise: once nothing more happens, the VM knows the configuration that the store has.
 */
#define CHANGES 2

mtype = { ANNOUNCED, NEWS, CLOSED };

chan feed = [6] of { mtype };
byte version = 1;           /* of the configuration in the store */
byte known = 0;             /* by the VM */
bool connected = false;
bool ended = false;         /* the feeder */

proctype store()
{
	byte changes = 0;

	do
	:: changes < CHANGES -> atomic { version++; changes++ }
	:: changes == CHANGES -> break
	od
}

/* Watches the store all the time; what it has is sent on connecting, then each change, and now and then
 * that this is all. */
proctype feeder()
{
	byte told = 0;
	bool said_all = false;

	do
	:: atomic { connected && told == 0 -> told = version; feed!ANNOUNCED }
	:: atomic { told > 0 && !said_all -> said_all = true; feed!NEWS }
	:: atomic { connected && told > 0 && told < version -> told = version; feed!ANNOUNCED }
	:: atomic { connected -> ended = true; feed!CLOSED; break }
	:: atomic { told == 1 + CHANGES && said_all -> break }
	od
}

proctype vm()
{
	bool following = true;            /* as hearing keeps it */
	bool watches = true, lists = true, owed = false; /* as list_watch.c does */

	do
	:: atomic { lists -> known = version; lists = false; owed = false }
	:: atomic { watches && !lists && known < version -> known = version }
	:: atomic { !connected -> connected = true }
	:: atomic { feed?ANNOUNCED ->
		    owed = true;
		    lists = true;
#ifdef STOPS_WATCHING
		    watches = false
#endif
		  }
	:: atomic { feed?NEWS ->
		    following = false;
		    watches = false;
#ifdef DROPS_WHAT_IS_OWED
		    owed = false;
#endif
		    lists = owed
		  }
	:: atomic { feed?CLOSED ->
		    if
		    :: following -> skip
		    :: else -> following = true; watches = true; lists = true
		    fi
		  }
	:: timeout -> assert(known == version); break
	od
}

init
{
	atomic {
		run store();
		run feeder();
		run vm()
	}
}
