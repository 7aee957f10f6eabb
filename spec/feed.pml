/*
 * The feed: a VM that watches the store subscribes to a feeder, and may lose the feed again. The
 * configuration is too large to be sent, so the feeder only announces that it has changed.
 *
 * Models src/core/list_watch.c and src/core/store_sync_links.c. The feeder may terminate at any time, and
 * messages may be late; a read of the list takes some time, and returns the store's state at its end.
 *
 * Property: once no more events occur, the VM knows the configuration that is in the store.
 */
#define CHANGES 2

mtype = { ANNOUNCED, STATUS, CLOSED };

chan feed = [6] of { mtype };
byte version = 1;           /* of the configuration in the store */
byte known = 0;             /* the version that the VM knows */
bool connected = false;
bool ended = false;         /* the feeder has terminated */

proctype store()
{
	byte changes = 0;

	do
	:: changes < CHANGES -> atomic { version++; changes++ }
	:: changes == CHANGES -> break
	od
}

/* Watches the store all the time. Announces its version when the VM connects, then each change, and sends
 * its status, which says that nothing else is pending. */
proctype feeder()
{
	byte announced = 0;
	bool status_sent = false;

	do
	:: atomic { connected && announced == 0 -> announced = version; feed!ANNOUNCED }
	:: atomic { announced > 0 && !status_sent -> status_sent = true; feed!STATUS }
	:: atomic { connected && announced > 0 && announced < version -> announced = version; feed!ANNOUNCED }
	:: atomic { connected -> ended = true; feed!CLOSED; break }
	:: atomic { announced == 1 + CHANGES && status_sent -> break }
	od
}

proctype vm()
{
	bool following = true;            /* the VM watches the store itself, as in store_sync.c */
	bool watches = true, lists = true, owed = false; /* calls of one kind, as in list_watch.c; owed: a read is due */

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
	:: atomic { feed?STATUS ->
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
