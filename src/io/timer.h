#ifndef DS_IO_TIMER_H
#define DS_IO_TIMER_H

#include <stdint.h>
#include <tevent.h>

/* A timer on the steady clock.  The timers of tevent run on the time of day: a
   step back by some seconds would hold up every timeout for as long.  */
struct ds_timer;

typedef void ds_timer_fn (void *user_data);

struct ds_timer *ds_timer_add (struct tevent_context *ev, TALLOC_CTX *owner,
                               uint64_t after_ms, ds_timer_fn *on_expiry,
                               void *user_data);

#endif
