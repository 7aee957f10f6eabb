/**
 * @file timeline.h
 * A ring buffer of the latest events of one daemon, stamped by its hybrid logical clock.
 */
#ifndef DS_TIMELINE_H
#define DS_TIMELINE_H

#include "core/hlc.h"

#include <glib.h>

#define TIMELINE_EVENTS 4096

typedef struct timeline_event_t {
	hlc_t at;
	char *text; /**< key=value pairs, starting with event= */
} timeline_event_t;

typedef struct timeline_t {
	hlc_t clock;
	uint64_t (*wall_ms)(void);
	/** Called with each event, for the log. May be NULL. */
	void (*sink)(void *ctx, hlc_t at, const char *text);
	void *ctx;
	timeline_event_t ring[TIMELINE_EVENTS];
	uint64_t count; /**< events added since the start */
} timeline_t;

timeline_t *timeline_new(uint64_t (*wall_ms)(void));
void timeline_free(timeline_t *timeline);
void timeline_add(timeline_t *timeline, const char *format, ...) G_GNUC_PRINTF(2, 3);
/** Call @p visit for each stored event at or after @p since, oldest first. */
void timeline_visit(const timeline_t *timeline, hlc_t since,
		    void (*visit)(void *ctx, const timeline_event_t *event), void *ctx);

#endif
