/**
 * @file timeline.c
 * See timeline.h.
 */
#include "core/timeline.h"

#include <stdarg.h>

timeline_t *timeline_new(uint64_t (*wall_ms)(void))
{
	timeline_t *timeline = g_new0(timeline_t, 1);

	timeline->wall_ms = wall_ms;
	return timeline;
}

void timeline_free(timeline_t *timeline)
{
	for (uint32_t i = 0; i < TIMELINE_EVENTS; i++)
		g_free(timeline->ring[i].text);
	g_free(timeline);
}

void timeline_add(timeline_t *timeline, const char *format, ...)
{
	timeline_event_t *event = &timeline->ring[timeline->count++ % TIMELINE_EVENTS];
	va_list args;

	g_free(event->text);
	event->at = hlc_tick(&timeline->clock, timeline->wall_ms());
	va_start(args, format);
	event->text = g_strdup_vprintf(format, args);
	va_end(args);
	if (timeline->sink)
		timeline->sink(timeline->ctx, event->at, event->text);
}

void timeline_visit(const timeline_t *timeline, hlc_t since,
		    void (*visit)(void *ctx, const timeline_event_t *event), void *ctx)
{
	uint64_t first = timeline->count > TIMELINE_EVENTS ? timeline->count - TIMELINE_EVENTS : 0;

	for (uint64_t i = first; i < timeline->count; i++) {
		const timeline_event_t *event = &timeline->ring[i % TIMELINE_EVENTS];

		if (event->at >= since)
			visit(ctx, event);
	}
}
