#include "core/reservation_order.h"

/* Waiting time that outweighs one step of the priority.  */
#define PRIORITY_STEP_MS 200
/* Waiting time that outweighs twice the size.  The sizes of requests, 100 to
   50,000 tokens, are nine doublings apart, less than a step of the
   priority.  */
#define DOUBLING_MS 20
/* Time after which no later reservation gets tokens first.  It is longer than
   the wait while the ledger is unreachable, when a large request would block
   the others in vain.  */
#define AGED_MS 300

/* Rank of a reservation that waits for TOKENS since QUEUED_MS: the lowest one
   is served first.  URGENCY is 0 for the most urgent.  The rank grows with
   the arrival, so none waits for ever.

   Load: a home has lost the ledger, and tokens for a quarter of the requests
   become usable in each second.  */
uint64_t
ds_reservation_rank (uint64_t queued_ms, uint32_t urgency, uint64_t tokens)
{
  uint64_t rank = queued_ms + (uint64_t)urgency * PRIORITY_STEP_MS;

  for (; tokens > 1; tokens /= 2)
    rank += DOUBLING_MS;
  return rank;
}

/* Whether later reservations have to wait for this one.  */
bool
ds_reservation_is_aged (uint64_t queued_ms, uint64_t now_ms)
{
  return now_ms - queued_ms >= AGED_MS;
}
