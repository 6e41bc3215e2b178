#ifndef DS_IO_TIMER_H
#define DS_IO_TIMER_H

#include <stdint.h>
#include <tevent.h>

/* A timer on the monotonic clock.  The timers of tevent use the wall clock: if
   it steps back by some seconds, every timeout is delayed by as much.  */
struct ds_timer;

typedef void ds_timer_fn (void *user_data);

struct ds_timer *ds_timer_add (struct tevent_context *ev, TALLOC_CTX *owner,
                               uint64_t after_ms, ds_timer_fn *on_expiry,
                               void *user_data);

#endif
