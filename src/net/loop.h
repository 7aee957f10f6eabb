/**
 * @file loop.h
 * One service loop: a libwebsockets context, a mailbox and timers.
 *
 * Tasks own their sockets and state; they reach each other only by posting messages here.
 * A message is delivered after the libwebsockets callback that caused it has returned.
 */
#ifndef DS_LOOP_H
#define DS_LOOP_H

#include "core/timers.h"

#include <glib.h>
#include <libwebsockets.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct loop_t loop_t;

/** Deliver @p message to @p task; the receiver frees it. */
typedef void (*loop_receive_f)(void *task, void *message);

/** A one-shot timer. Zero-initialise; set again from its own callback to repeat. */
typedef struct loop_timer_t {
	timer_entry_t entry;
	void (*fire)(void *ctx);
	void *ctx;
	struct loop_t *loop; /**< where it is set; NULL when it never was */
} loop_timer_t;

/** What happened to a watched descriptor. */
typedef enum fd_event_t {
	FD_READABLE,
	FD_WRITABLE, /**< told once after loop_want_write() */
	FD_CLOSED,   /**< the last event: the loop closes the descriptor after the return */
} fd_event_t;

/** A descriptor polled by the loop; embedded as the first member of its owner. */
typedef struct fd_watch_t {
	loop_t *loop; /**< private to the loop, as the next */
	bool wants_write;
	int fd;
	/** False asks the loop to close it; FD_CLOSED then follows. */
	bool (*event)(struct fd_watch_t *watch, fd_event_t event);
} fd_watch_t;

/** Watch @p watch->fd, which the loop owns from here on, also when this fails. With wants_write
 * set, it is told when it can be written. */
bool loop_watch(loop_t *loop, fd_watch_t *watch);
void loop_want_write(fd_watch_t *watch);
/** Close at once; FD_CLOSED is told before the return. Not from inside its own event. */
void loop_unwatch(fd_watch_t *watch);

loop_t *loop_new(void);
struct lws_context *loop_context(loop_t *loop);

/** Queue a message; never delivered before the caller returns to the loop. */
void loop_post(loop_t *loop, loop_receive_f receive, void *task, void *message);

/** Fire @p timer once after @p delay_us; replaces an earlier setting. */
void loop_timer_set(loop_t *loop, loop_timer_t *timer, uint64_t delay_us);
void loop_timer_cancel(loop_timer_t *timer);

/** Call @p done at the end of each turn, before waiting. */
void loop_set_iteration_end(loop_t *loop, void (*done)(void *ctx), void *ctx);
/** Call @p woke after the machine stood still for a while, as when it was suspended. */
void loop_set_resumed(loop_t *loop, void (*woke)(void *ctx, uint64_t still_us), void *ctx);

/** Run until loop_stop(); @p on_signal is called with each SIGTERM, SIGINT or SIGHUP. */
void loop_run(loop_t *loop, void (*on_signal)(void *ctx, int signal_number), void *ctx);
void loop_stop(loop_t *loop);

/** Microseconds of the clock that never goes back, and counts time in which the machine stood
 * still. */
uint64_t loop_now_us(void);
/**
 * The earliest that bytes which are being read may have arrived: while a long turn of the loop ran,
 * they waited in the kernel, and their sender's patience ran down.
 */
uint64_t loop_arrival_us(const loop_t *loop);
/** Wall clock, milliseconds since 1970. */
uint64_t loop_wall_ms(void);

#endif
