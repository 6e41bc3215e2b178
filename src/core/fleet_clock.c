#include "core/fleet_clock.h"

#include <stdlib.h>

/* Age up to which a sample counts; relays send every few hundred ms.  */
#define SAMPLE_TTL_MS 3000
/* Clocks for a fleet time: with fewer, one wrong clock decides.  */
#define CLOCKS_MIN 3
/* Clocks for a median that other hosts use in place of the sender's clock.  A
   host that hears few has it from its relays, which hear their zone: of three
   clocks, two may be wrong.  */
#define REPORT_CLOCKS_MIN 5
/* A longer time between two readings means that this process was stopped, and
   a larger change of the difference between its clocks that the machine was
   suspended or its clock set.  Datagrams that waited meanwhile say a time that
   is past; they are read within RESUME_MS.  */
#define GAP_MAX_MS 1000
#define STEP_MAX_MS 300
#define RESUME_MS 1000
/* What the fleet time may lag behind the true one: the time that a datagram
   waits on a busy host, and the difference of sound clocks.  */
#define MARGIN_MS 1000
/* Incarnations are wall-clock times in microseconds, and the clock may be set
   back between two starts.  Those of another host that are closer count as in
   unknown order.  */
#define INCARNATION_MARGIN_US 5000000

static int
compare (const void *a, const void *b)
{
  const int64_t *left = a;
  const int64_t *right = b;

  return *left < *right ? -1 : *left > *right;
}

static uint64_t
to_time (int64_t difference, uint64_t now_ms)
{
  int64_t time = difference + (int64_t)now_ms;

  return time > 0 ? (uint64_t)time : 0;
}

/* Collects the differences of the own clock and of the recent samples, in
   ascending order, and returns their number.  */
static size_t
collect (int64_t *out, const struct ds_fleet_clock *clock, bool medians,
         uint64_t now_ms)
{
  size_t count = 0;

  if (clock->observed_ms == 0)
    return 0;
  out[count++] = clock->own;
  for (size_t i = 0; i < clock->count; i++)
    if (now_ms - clock->samples[i].received_ms < SAMPLE_TTL_MS)
      out[count++]
          = medians ? clock->samples[i].median : clock->samples[i].wall;
  qsort (out, count, sizeof out[0], compare);
  return count;
}

/* Reads this host's own clocks.  After a step of the wall clock, or a time in
   which the process or the machine stood still, the samples are dropped.  */
void
ds_fleet_clock_observe (struct ds_fleet_clock *clock, uint64_t wall_ms,
                        uint64_t now_ms)
{
  int64_t own = (int64_t)wall_ms - (int64_t)now_ms;

  if (clock->observed_ms > 0
      && (now_ms - clock->observed_ms > GAP_MAX_MS
          || llabs (own - clock->own) > STEP_MAX_MS))
    {
      clock->count = 0;
      clock->trusted_ms = now_ms + RESUME_MS;
    }
  clock->own = own;
  clock->observed_ms = now_ms;
}

/* Takes the WALL_MS that HOST has sent, with the median of the clocks that it
   hears, or 0.  Call ds_fleet_clock_observe before.  */
void
ds_fleet_clock_receive (struct ds_fleet_clock *clock, uint64_t host,
                        uint64_t wall_ms, uint64_t median_ms, uint64_t now_ms)
{
  size_t at = 0;

  if (wall_ms == 0 || now_ms < clock->trusted_ms)
    return;
  while (at < clock->count && clock->samples[at].host != host)
    at++;
  if (at == DS_FLEET_CLOCK_SAMPLES)
    {
      at = 0;
      for (size_t i = 1; i < clock->count; i++)
        if (clock->samples[i].received_ms < clock->samples[at].received_ms)
          at = i;
    }
  if (at == clock->count)
    clock->count++;
  clock->samples[at] = (struct ds_clock_sample){
    .host = host,
    .wall = (int64_t)wall_ms - (int64_t)now_ms,
    .median = (int64_t)(median_ms > 0 ? median_ms : wall_ms) - (int64_t)now_ms,
    .received_ms = now_ms,
  };
}

/* The median of the clocks that this host hears itself, for others; 0 if they
   are few.  */
uint64_t
ds_fleet_clock_report (const struct ds_fleet_clock *clock, uint64_t now_ms)
{
  int64_t all[DS_FLEET_CLOCK_SAMPLES + 1];
  size_t count = collect (all, clock, false, now_ms);

  return count >= REPORT_CLOCKS_MIN ? to_time (all[count / 2], now_ms) : 0;
}

/* A wall-clock time that is not later than now: the earlier one of the own
   clock and the fleet's; 0 if the latter is unknown.  */
uint64_t
ds_fleet_clock_earliest (const struct ds_fleet_clock *clock, uint64_t now_ms)
{
  int64_t all[DS_FLEET_CLOCK_SAMPLES + 1];
  size_t count = collect (all, clock, true, now_ms);
  int64_t median;

  if (count < CLOCKS_MIN)
    return 0;
  median = all[(count - 1) / 2];
  return to_time (median < clock->own ? median : clock->own, now_ms);
}

/* A wall-clock time that is not earlier than SINCE_MS of the monotonic clock,
   which is past: the later one of the own clock and the fleet's, and a margin;
   0 if the latter is unknown.  */
uint64_t
ds_fleet_clock_latest (const struct ds_fleet_clock *clock, uint64_t since_ms,
                       uint64_t now_ms)
{
  int64_t all[DS_FLEET_CLOCK_SAMPLES + 1];
  size_t count = collect (all, clock, true, now_ms);
  int64_t median;

  if (count < CLOCKS_MIN)
    return 0;
  median = all[count / 2];
  return to_time (median > clock->own ? median : clock->own,
                  since_ms + MARGIN_MS);
}

/* Whether INCARNATION of a host has ended, given its SUCCESSOR; writes a
   wall-clock time that is not earlier than the end.  All other processes of
   the own host have ended before this one started.  */
bool
ds_fleet_clock_writer_end (const struct ds_fleet_clock *clock,
                           uint64_t *end_ms, uint64_t incarnation,
                           const struct ds_successor *successor,
                           uint64_t now_ms)
{
  if (successor->is_self
          ? incarnation == successor->incarnation
          : incarnation + INCARNATION_MARGIN_US >= successor->incarnation)
    return false;
  *end_ms = ds_fleet_clock_latest (clock, successor->since_ms, now_ms);
  return *end_ms > 0;
}
