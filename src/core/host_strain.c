#include "core/host_strain.h"

/* A replica accepts a connection within some milliseconds; an unreachable one
   never does, and since nothing was sent, the request can be sent
   elsewhere.  */
#define CONNECT_TIMEOUT_MIN_MS 250
/* Longer ones would take most of a caller's time.  */
#define CONNECT_TIMEOUT_MAX_MS 1500
/* Timeout as a multiple of the average time to connect.  */
#define CONNECT_TIMEOUT_FACTOR 4
/* Part of the time left that one connection may take.  */
#define CONNECT_TIME_LEFT_DIVISOR 4
/* Weight of the newest connection in the average.  */
#define CONNECT_WEIGHT 0.2
/* Average time to connect above which the own link or processor is the likely
   cause: replicas are a few milliseconds away.  */
#define STRAINED_CONNECT_MS 60
/* Lateness of a tick, and number of late ticks in a row, that show a lack of
   processor.  */
#define LATE_TICK_MS 100
#define LATE_TICKS 2
/* Time for which a host counts as strained after the last sign.  */
#define STRAIN_HOLD_MS 2000

/* Records that the periodic tick ran LATE_MS after its time.  */
void
ds_host_strain_record_tick (struct ds_host_strain *strain, uint64_t late_ms,
                            uint64_t now_ms)
{
  strain->late_in_a_row
      = late_ms >= LATE_TICK_MS ? strain->late_in_a_row + 1 : 0;
  if (strain->late_in_a_row >= LATE_TICKS)
    strain->strained_ms = now_ms;
}

/* Records a connection to a replica that took TOOK_MS, or was given up after
   that time.  */
void
ds_host_strain_record_connect (struct ds_host_strain *strain, uint64_t took_ms,
                               uint64_t now_ms)
{
  strain->connect_ms
      += CONNECT_WEIGHT * ((double)took_ms - strain->connect_ms);
  if (strain->connect_ms > STRAINED_CONNECT_MS)
    strain->strained_ms = now_ms;
}

/* True while the host should get fewer requests.

   Load: a host with a link of 10 Mbit/s gets one large caller's requests.  Its
   connections took longer than 250 ms, so it refused each request after that
   time as if the replicas were unreachable, and the caller repeated them
   there.  */
bool
ds_host_strain_is_strained (const struct ds_host_strain *strain,
                            uint64_t now_ms)
{
  return strain->strained_ms > 0
         && now_ms - strain->strained_ms < STRAIN_HOLD_MS;
}

/* Time after which a connection to a replica is given up, for a request with
   LEFT_MS of its time left: longer while the own host delays all of them, but
   leaving time for another replica or a refusal.  */
uint32_t
ds_host_strain_connect_timeout_ms (const struct ds_host_strain *strain,
                                   uint64_t left_ms)
{
  double timeout_ms = CONNECT_TIMEOUT_FACTOR * strain->connect_ms;
  double most_ms = (double)left_ms / CONNECT_TIME_LEFT_DIVISOR;

  if (timeout_ms > CONNECT_TIMEOUT_MAX_MS)
    timeout_ms = CONNECT_TIMEOUT_MAX_MS;
  if (timeout_ms > most_ms)
    timeout_ms = most_ms;
  return timeout_ms > CONNECT_TIMEOUT_MIN_MS ? (uint32_t)timeout_ms
                                             : CONNECT_TIMEOUT_MIN_MS;
}
