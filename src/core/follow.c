/**
 * @file follow.c
 * See follow.h.
 */
#include "core/follow.h"

void follow_start(follow_t *follow)
{
	follow->watches = true;
	follow->lists = true;
}

/*
 * What was announced is still read. A VM that takes a feed is told first that a large configuration
 * has changed, and a moment later that it now knows all: with its read given up then, it went on
 * with the old version, 7 s after the next was accepted, until the one after.
 */
void follow_stop(follow_t *follow)
{
	follow->watches = false;
	follow->lists = follow->owed;
}

/*
 * Whether it watches stays as it is. A VM that reads for an announcement while it still watches by
 * itself must go on watching after that: the feed may end before it is taken.
 */
void follow_announced(follow_t *follow)
{
	follow->owed = true;
	follow->lists = true;
}

void follow_again(follow_t *follow)
{
	follow->lists = true;
}

void follow_listed(follow_t *follow)
{
	follow->lists = false;
	follow->owed = false;
}

follow_ask_t follow_next(const follow_t *follow)
{
	if (follow->lists)
		return FOLLOW_LIST;
	return follow->watches ? FOLLOW_WATCH : FOLLOW_NOTHING;
}
