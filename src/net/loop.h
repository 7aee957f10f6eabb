/**
 * @file loop.h
 * The event loop: a libwebsockets context, a message queue and timers.
 *
 * Tasks own their sockets and state; they communicate only by messages posted to the loop.
 * A message is delivered after the libwebsockets callback that posted it has returned.
 */
#ifndef DS_LOOP_H
#define DS_LOOP_H

#include "core/timers.h"

#include <glib.h>
#include <libwebsockets.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct loop_t loop_t;

/** Receives @p message for @p task; the receiver frees the message. */
typedef void (*loop_receive_f)(void *task, void *message);

/** A one-shot timer. Zero-initialise it; to repeat, set it again from its own callback. */
typedef struct loop_timer_t {
	timer_entry_t entry;
	void (*fire)(void *ctx);
	void *ctx;
	struct loop_t *loop; /**< the loop that the timer was set on; NULL if it was never set */
} loop_timer_t;

/** Event of a watched descriptor. */
typedef enum fd_event_t {
	FD_READABLE,
	FD_WRITABLE, /**< reported once after loop_want_write() */
	FD_CLOSED,   /**< the last event; the loop closes the descriptor after the callback */
} fd_event_t;

/** A descriptor polled by the loop; embedded as the first member of its owner's structure. */
typedef struct fd_watch_t {
	loop_t *loop;	   /**< private to the loop */
	bool wants_write;  /**< private to the loop after loop_watch() */
	bool reads_paused; /**< private to the loop */
	int fd;
	/** Returns false to have the loop close the descriptor; FD_CLOSED then follows. */
	bool (*event)(struct fd_watch_t *watch, fd_event_t event);
} fd_watch_t;

/** Watch @p watch->fd. The loop owns the descriptor from then on, even when this fails. With
 * wants_write set, FD_WRITABLE is reported when the descriptor is writable. */
bool loop_watch(loop_t *loop, fd_watch_t *watch);
void loop_want_write(fd_watch_t *watch);
/** While paused, FD_READABLE is reported only when the peer has closed its side or the connection
 * has failed. */
void loop_pause_reads(fd_watch_t *watch, bool paused);
/** Close immediately; FD_CLOSED is reported before this returns. Not to be called from the watch's
 * own event callback. */
void loop_unwatch(fd_watch_t *watch);

loop_t *loop_new(void);
struct lws_context *loop_context(loop_t *loop);

/**
 * Queue a message; it is never delivered before the caller returns to the loop, and it can't be
 * withdrawn. So nobody but the queue may free what @p receive uses of @p message before it is
 * delivered: the receiver owns the message or a reference to it. For an object that its owner may
 * free earlier, set a timer of that object, and cancel it when the object is freed.
 */
void loop_post(loop_t *loop, loop_receive_f receive, void *task, void *message);

/** Fire @p timer once after @p delay_us; replaces the timer's earlier setting. */
void loop_timer_set(loop_t *loop, loop_timer_t *timer, uint64_t delay_us);
void loop_timer_cancel(loop_timer_t *timer);

/** Call @p iteration_end at the end of each loop iteration, before waiting for events. */
void loop_set_iteration_end(loop_t *loop, void (*iteration_end)(void *ctx), void *ctx);
/** Call @p resumed after the machine did not run for a while, for example when it was suspended. */
void loop_set_resumed(loop_t *loop, void (*resumed)(void *ctx, uint64_t suspended_us), void *ctx);

/** Keep each SIGTERM, SIGINT and SIGHUP from now on for loop_run(); without this, one that arrives
 * before loop_run() ends the process. */
void loop_hold_signals(void);
/** Run until loop_stop(); @p on_signal is called with each SIGTERM, SIGINT or SIGHUP. */
void loop_run(loop_t *loop, void (*on_signal)(void *ctx, int signal_number), void *ctx);
void loop_stop(loop_t *loop);

/** Microseconds of a monotonic clock that also counts the time of a suspension. */
uint64_t loop_now_us(void);
/**
 * The earliest time at which the bytes being read may have arrived. During a long loop iteration
 * they wait in the kernel while their sender's time-out already runs.
 */
uint64_t loop_arrival_us(const loop_t *loop);
/** Wall clock, milliseconds since 1970. */
uint64_t loop_wall_ms(void);

#endif
