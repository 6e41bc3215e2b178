#ifndef DS_CORE_GRANT_RELEASE_H
#define DS_CORE_GRANT_RELEASE_H

#include "daisystep/str.h"

#include <stdbool.h>
#include <stdint.h>

struct ds_allotment;
struct ds_ledger_page;

/* TOKENS that become usable linearly over SPAN_MS from START_MS on.  */
struct ds_release_schedule
{
  uint64_t tokens;
  uint64_t start_ms;
  uint64_t span_ms;
};

/* Tokens of an allotment that are not usable yet.  The times of its schedules
   are monotonic.  The page in the store has the schedule CONFIRMED or, while
   an update is in flight, possibly PROPOSED.  */
struct ds_grant_lock
{
  uint64_t locked;
  struct ds_release_schedule confirmed;
  struct ds_release_schedule proposed;
  uint64_t drawn;    /* of PROPOSED, tokens that the update draws */
  uint64_t returned; /* of the locked tokens, by the update */
};

/* SPAN_MS 0 locks nothing.  The tokens usable at once cover the demand of
   USABLE_MS.  The others become usable at RATE_PERCENT of the demand, or over
   SPAN_MS if that takes less time; 0 for no rate.  */
struct ds_release_policy
{
  uint64_t span_ms;
  uint64_t usable_ms;
  uint64_t rate_percent;
};

/* When an update is built: the monotonic time, and a wall-clock time that is
   not later than now, 0 if none is known.  */
struct ds_release_moment
{
  uint64_t now_ms;
  uint64_t wall_ms;
};

/* What is known of the ends of writers.  NOW_MS is a wall-clock time that is
   not earlier than now; with 0, nothing is reclaimed.  FIND returns whether
   WRITER has ended and writes a time that is not earlier than its end.  */
struct ds_writer_ends
{
  uint64_t now_ms;
  bool (*find) (struct ds_str writer, uint64_t *end_ms, void *user_data);
  void *user_data;
};

uint64_t ds_release_remaining (const struct ds_release_schedule *schedule,
                               uint64_t now_ms);
void ds_allotment_release (struct ds_allotment *allotment, uint64_t now_ms);
int ds_allotment_lock (struct ds_allotment *allotment,
                       struct ds_ledger_page *page, struct ds_str writer,
                       const struct ds_release_policy *policy,
                       const struct ds_release_moment *moment, bool closing);
uint64_t ds_ledger_page_reclaim (struct ds_ledger_page *page,
                                 struct ds_str writer,
                                 const struct ds_writer_ends *ends);

#endif
