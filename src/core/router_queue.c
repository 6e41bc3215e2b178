#include "core/router_state.h"
#include "daisystep/error.h"

#include <string.h>

/* Minimum number of completed attempts for an estimate of the wait.  */
#define RATE_SAMPLES_MIN 8

/* Returns the index after all queued requests that rank before REQUEST.  */
static size_t
queue_index (const struct ds_router_request *request)
{
  const struct ds_router_offering *offering = request->offering;
  size_t low = 0;
  size_t high = offering->queue_count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;

      if (ds_router_ranks_before (offering->queue[middle], request))
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

/* Ends queued requests that are past their deadline or poisonous.  */
static int
expire_queue (struct ds_router *router, struct ds_router_offering *offering,
              uint64_t now_ms, struct ds_route_decisions *decisions)
{
  for (size_t i = 0; i < offering->queue_count;)
    {
      struct ds_router_request *request = offering->queue[i];
      bool poisonous = ds_router_is_poisonous (router, request);

      if (!poisonous && now_ms < request->deadline_ms)
        {
          i++;
          continue;
        }
      ds_router_queue_remove (router, request);
      if (ds_router_end_request (
              router, request,
              poisonous ? DS_ROUTE_POISONOUS : DS_ROUTE_DEADLINE,
              poisonous ? 0 : DS_RETRY_AFTER_MIN_MS, decisions)
          < 0)
        return DS_ENOMEM;
    }
  return 0;
}

/* Whether REQUEST is a first attempt and not a suspect: if no upstream accepts
   it, none accepts a later request of that kind.  */
static bool
is_ordinary_first_attempt (const struct ds_router *router,
                           const struct ds_router_request *request)
{
  return request->attempts == 0 && !request->suspect
         && !ds_crash_tracker_is_undecided (router->crash_tracker,
                                            request->params.body_digest);
}

static bool
may_start (const struct ds_router *router,
           const struct ds_router_request *request, uint64_t now_ms)
{
  return request->not_before_ms <= now_ms && now_ms < request->deadline_ms
         && !ds_router_is_poisonous (router, request)
         && !ds_router_awaits_crash_window (request, now_ms);
}

/* Starts the queued requests of OFFERING that an upstream can accept.  */
static int
start_queued (struct ds_router *router, struct ds_router_offering *offering,
              uint64_t now_ms, struct ds_route_decisions *decisions)
{
  bool non_repeatable_blocked = false;

  for (size_t i = 0; i < offering->queue_count;)
    {
      struct ds_router_request *request = offering->queue[i];
      struct ds_router_upstream *upstream = NULL;
      struct ds_route_decision *decision;

      if (may_start (router, request, now_ms)
          && !(non_repeatable_blocked && request->attempts == 0
               && !request->params.repeatable))
        {
          upstream = ds_router_choose (router, request, now_ms);
          if (upstream == NULL && is_ordinary_first_attempt (router, request))
            {
              /* A later repeatable request may still serve as a probe.  */
              if (request->params.repeatable)
                return 0;
              non_repeatable_blocked = true;
            }
        }
      if (upstream == NULL)
        {
          i++;
          continue;
        }
      decision = ds_router_add_decision (decisions);
      if (decision == NULL)
        return DS_ENOMEM;
      ds_router_queue_remove (router, request);
      *decision = ds_router_start_attempt (router, request, upstream, now_ms);
    }
  return 0;
}

/* Evicts a queued request of lower priority than REQUEST from a full queue;
   its decision is returned by the next tick.  */
static bool
evict_for (struct ds_router *router, const struct ds_router_request *request)
{
  struct ds_router_offering *offering = request->offering;

  for (size_t i = offering->queue_count; i-- > 0;)
    {
      struct ds_router_request *last = offering->queue[i];

      if (last->params.priority >= request->params.priority)
        return false;
      if (last->attempts > 0)
        continue;
      ds_router_queue_remove (router, last);
      return ds_router_end_request (router, last, DS_ROUTE_OVERLOADED,
                                    DS_RETRY_AFTER_MIN_MS,
                                    &router->pending_decisions)
             == 0;
    }
  return false;
}

/* Whether A is served before B: by priority, deadline, then arrival.  */
bool
ds_router_ranks_before (const struct ds_router_request *a,
                        const struct ds_router_request *b)
{
  if (a->params.priority != b->params.priority)
    return a->params.priority > b->params.priority;
  if (a->deadline_ms != b->deadline_ms)
    return a->deadline_ms < b->deadline_ms;
  return a->sequence < b->sequence;
}

/* Inserts REQUEST into the queue of its offering.  Returns 0 or DS_ENOMEM.  */
int
ds_router_queue_insert (struct ds_router *router,
                        struct ds_router_request *request)
{
  struct ds_router_offering *offering = request->offering;
  size_t index = queue_index (request);
  size_t capacity = talloc_array_length (offering->queue);

  if (offering->queue_count == capacity)
    {
      struct ds_router_request **grown
          = talloc_realloc (offering, offering->queue,
                            struct ds_router_request *, capacity * 2 + 8);

      if (grown == NULL)
        return DS_ENOMEM;
      offering->queue = grown;
    }
  memmove (offering->queue + index + 1, offering->queue + index,
           (offering->queue_count - index)
               * sizeof (struct ds_router_request *));
  offering->queue[index] = request;
  offering->queue_count++;
  router->queued++;
  return 0;
}

/* Removes REQUEST from the queue of its offering if it is queued.  */
void
ds_router_queue_remove (struct ds_router *router,
                        struct ds_router_request *request)
{
  struct ds_router_offering *offering = request->offering;
  size_t index = queue_index (request);

  if (index >= offering->queue_count || offering->queue[index] != request)
    return;
  offering->queue_count--;
  router->queued--;
  memmove (offering->queue + index, offering->queue + index + 1,
           (offering->queue_count - index)
               * sizeof (struct ds_router_request *));
}

/* Estimates the time in milliseconds until REQUEST can start, from the mean
   duration of completed attempts and the number in flight.  Zero if too few
   have completed.  */
uint64_t
ds_router_expected_wait (const struct ds_router_request *request)
{
  const struct ds_router_offering *offering = request->offering;
  double running = offering->in_flight > 0 ? offering->in_flight : 1;

  if (offering->duration_count < RATE_SAMPLES_MIN)
    return 0;
  return (uint64_t)((double)(queue_index (request) + 1) * offering->duration_ms
                    / running);
}

/* Starts the queued requests that an upstream can accept.  Returns 0 or
   DS_ENOMEM.  */
int
ds_router_start_queued (struct ds_router *router, uint64_t now_ms,
                        struct ds_route_decisions *decisions)
{
  for (size_t i = 0; i < router->offering_count && router->queued > 0; i++)
    if (start_queued (router, router->offerings[i], now_ms, decisions) < 0)
      return DS_ENOMEM;
  return 0;
}

/* Ends the queued requests that are past their deadline or poisonous.  Returns
   0 or DS_ENOMEM.  */
int
ds_router_expire_queued (struct ds_router *router, uint64_t now_ms,
                         struct ds_route_decisions *decisions)
{
  for (size_t i = 0; i < router->offering_count && router->queued > 0; i++)
    if (expire_queue (router, router->offerings[i], now_ms, decisions) < 0)
      return DS_ENOMEM;
  return 0;
}

/* Whether a queued request that may start now ranks before REQUEST.  A request
   that is not repeatable does not block a repeatable one, which may be needed
   as a probe.  */
bool
ds_router_has_ready_ahead (const struct ds_router_request *request,
                           uint64_t now_ms)
{
  const struct ds_router_offering *offering = request->offering;

  for (size_t i = 0; i < offering->queue_count; i++)
    {
      const struct ds_router_request *other = offering->queue[i];

      if (!ds_router_ranks_before (other, request))
        return false;
      if (other->not_before_ms <= now_ms && other->attempts == 0
          && !other->suspect
          && (other->params.repeatable || !request->params.repeatable))
        return true;
    }
  return false;
}

/* Returns the time when the first active upstream of OFFERING becomes usable,
   UINT64_MAX if there is none.  */
uint64_t
ds_router_first_usable_at (const struct ds_router_offering *offering)
{
  uint64_t first = UINT64_MAX;

  for (size_t i = 0; i < offering->upstream_count; i++)
    {
      const struct ds_router_upstream *upstream = offering->upstreams[i];

      if (!upstream->removed && upstream->state == DS_UPSTREAM_ACTIVE
          && ds_router_usable_at (upstream) < first)
        first = ds_router_usable_at (upstream);
    }
  return first;
}

/* Queues the new REQUEST, or refuses it if the queue is full or its deadline
   cannot be met.  */
int
ds_router_queue_or_refuse (struct ds_router *router,
                           struct ds_router_request *request, uint64_t now_ms,
                           struct ds_route_decision *out)
{
  uint64_t usable_at = ds_router_first_usable_at (request->offering);
  uint64_t wait_ms = ds_router_expected_wait (request);

  if (usable_at > now_ms && usable_at - now_ms > wait_ms)
    wait_ms = usable_at - now_ms;
  if ((double)now_ms + (double)wait_ms + request->offering->first_byte_ms
      >= (double)request->deadline_ms)
    *out = ds_router_final_decision (
        request, DS_ROUTE_DEADLINE,
        wait_ms > DS_RETRY_AFTER_MIN_MS ? wait_ms : DS_RETRY_AFTER_MIN_MS);
  else if (router->queued >= router->options.queue_limit
           && !evict_for (router, request))
    *out = ds_router_final_decision (
        request, DS_ROUTE_OVERLOADED,
        wait_ms > DS_RETRY_AFTER_MIN_MS ? wait_ms : DS_RETRY_AFTER_MIN_MS);
  else
    {
      *out = (struct ds_route_decision){
        .kind = DS_ROUTE_QUEUED,
        .handle = request->params.handle,
        .queued = { .wait_ms = wait_ms },
      };
      return ds_router_queue_insert (router, request);
    }
  ds_router_free_request (router, request);
  return 0;
}
