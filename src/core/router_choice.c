#include "core/router_state.h"

#include <float.h>

/* Minimum share of an upstream during its slow start.  */
#define SLOW_START_MIN 0.1
/* Scores within half a request of the best one count as ties.  */
#define NEAR_TIE_REQUESTS 0.5

/* Weight of the load report of UPSTREAM: one half at the half-life, then
   decreasing with the square of its age.  */
static double
report_weight (const struct ds_router *router,
               const struct ds_router_upstream *upstream, uint64_t now_ms)
{
  double age;

  if (!upstream->has_report || !router->options.use_load_reports)
    return 0;
  age = (double)(now_ms - upstream->report_time_ms)
        / (double)router->options.report_half_life_ms;
  return 1 / (1 + age * age);
}

/* Estimated requests of other hosts on an upstream of OFFERING without a load
   report: the mean of the weighted reports.  */
static double
mean_remote_load (const struct ds_router *router,
                  const struct ds_router_offering *offering, uint64_t now_ms)
{
  double sum = 0;

  for (size_t i = 0; i < offering->upstream_count; i++)
    sum += report_weight (router, offering->upstreams[i], now_ms)
           * offering->upstreams[i]->reported_others;
  return offering->upstream_count > 0 ? sum / (double)offering->upstream_count
                                      : 0;
}

static double
slow_start_share (const struct ds_router *router,
                  struct ds_router_upstream *upstream, uint64_t now_ms)
{
  double share;

  if (upstream->slow_start_ms == 0)
    return 1;
  share = (double)(now_ms + 1 - upstream->slow_start_ms)
          / (double)router->options.slow_start_ms;
  if (share >= 1)
    {
      upstream->slow_start_ms = 0;
      return 1;
    }
  return share > SLOW_START_MIN ? share : SLOW_START_MIN;
}

/* Sets the estimated load of all hosts on UPSTREAM, the damped load, and the
   score, which is the used share of its limit with one more request.  The
   choice uses damped differences: all hosts get the same delayed reports and
   would otherwise all move to the same upstream until the next report.  */
static void
set_score (const struct ds_router *router, struct ds_router_upstream *upstream,
           double mean, uint64_t now_ms)
{
  double weight = report_weight (router, upstream, now_ms);
  double difference = weight * (upstream->reported_others - mean);

  upstream->estimated_load = upstream->local_in_flight + mean + difference;
  upstream->damped_load = upstream->local_in_flight + mean
                          + router->options.report_gain * difference;
  upstream->score = (upstream->damped_load + 1)
                    / (upstream->max_in_flight
                       * slow_start_share (router, upstream, now_ms));
}

static bool
is_active (const struct ds_router_upstream *upstream)
{
  return !upstream->removed && upstream->state == DS_UPSTREAM_ACTIVE;
}

/* Whether REQUEST may probe UPSTREAM after its pause.  If no repeatable
   request arrives for a while, any request may; otherwise an offering without
   repeatable requests would never recover its upstream.  */
static bool
may_probe (const struct ds_router *router,
           const struct ds_router_upstream *upstream,
           const struct ds_router_request *request, uint64_t now_ms)
{
  if (upstream->probe_in_flight)
    return false;
  return (request->params.repeatable && !request->suspect)
         || now_ms
                >= upstream->paused_until_ms + router->options.probe_wait_ms;
}

/* Whether UPSTREAM can accept REQUEST now.  Its load must be set.  */
static bool
is_usable (const struct ds_router *router,
           const struct ds_router_upstream *upstream,
           const struct ds_router_request *request, uint64_t now_ms)
{
  if (!is_active (upstream) || ds_router_usable_at (upstream) > now_ms)
    return false;
  if (upstream->needs_probe && !may_probe (router, upstream, request, now_ms))
    return false;
  if (request->suspect && upstream->suspects > 0)
    return false;
  return upstream->estimated_load + 1 <= upstream->max_in_flight;
}

/* Whether REQUEST may return to an upstream: every active one was tried, and
   no attempt was executed.  */
static bool
may_repeat_upstream (const struct ds_router_request *request)
{
  const struct ds_router_offering *offering = request->offering;

  if (request->ran != DS_ROUTE_RAN_NO)
    return false;
  for (size_t i = 0; i < offering->upstream_count; i++)
    if (is_active (offering->upstreams[i])
        && !ds_router_was_tried (request, offering->upstreams[i]))
      return false;
  return true;
}

/* Maximum number of requests of this host on an upstream preferred for its
   prefix cache.  The margin over the mean shrinks with the load of the USABLE
   upstreams, because a full batch costs more than a cached prefix saves.  It
   limits the requests of this host, as each host may exceed the mean
   alike.  */
static double
affinity_bound (const struct ds_router *router,
                struct ds_router_upstream *const *usable, size_t count)
{
  double local_in_flight = 0;
  double damped_load = 0;
  double limit = 0;

  for (size_t i = 0; i < count; i++)
    {
      local_in_flight += usable[i]->local_in_flight;
      damped_load += usable[i]->damped_load;
      limit += usable[i]->max_in_flight;
    }
  return router->options.affinity_ratio * local_in_flight / (double)count
         + router->options.affinity_extra * (1 - damped_load / limit);
}

/* Returns the upstream that most likely has the longest prefix of REQUEST in
   its cache, if it is within the bound, else tries the next shorter one.
   Prefixes below half the prompt save too little and are common to many
   requests.  */
static struct ds_router_upstream *
find_by_prefix (const struct ds_router *router,
                const struct ds_router_request *request,
                struct ds_router_upstream *const *usable, size_t count)
{
  double bound = affinity_bound (router, usable, count);

  for (size_t i = request->params.prefix_count;
       i-- > request->params.prefix_count / 2;)
    {
      struct ds_router_upstream *candidate = ds_prefix_index_get (
          router->prefixes,
          request->params.prefix_digests[i] ^ request->offering->hash);

      for (size_t j = 0; candidate != NULL && j < count; j++)
        if (usable[j] == candidate && candidate->slow_start_ms == 0
            && candidate->local_in_flight <= bound)
          return candidate;
    }
  return NULL;
}

/* Returns a random upstream among those with nearly the best score, from the
   zone of this host if possible: hosts with the same reports must not all
   choose the same one.  */
static struct ds_router_upstream *
find_least_loaded (struct ds_router *router,
                   struct ds_router_upstream *const *usable, size_t count)
{
  struct ds_router_upstream *chosen = NULL;
  double best = DBL_MAX;
  uint32_t drawn = 0;

  for (size_t i = 0; i < count; i++)
    if (usable[i]->score < best)
      best = usable[i]->score;
  for (size_t i = 0; i < count; i++)
    {
      struct ds_router_upstream *upstream = usable[i];

      if (upstream->score > best + NEAR_TIE_REQUESTS / upstream->max_in_flight)
        continue;
      if (chosen != NULL && upstream->same_zone != chosen->same_zone)
        {
          if (chosen->same_zone)
            continue;
          drawn = 0;
        }
      drawn++;
      if (ds_router_random (router) * drawn < 1)
        chosen = upstream;
    }
  return chosen;
}

/* Whether a request with the body of REQUEST is in flight.  */
static bool
is_body_in_flight (const struct ds_router *router,
                   const struct ds_router_request *request)
{
  for (size_t i = 0; i < router->upstream_count; i++)
    for (const struct ds_router_request *other
         = router->upstreams[i]->in_flight;
         other != NULL; other = other->next)
      if (other->params.body_digest == request->params.body_digest)
        return true;
  return false;
}

/* Whether an earlier attempt of REQUEST went to UPSTREAM.  */
bool
ds_router_was_tried (const struct ds_router_request *request,
                     const struct ds_router_upstream *upstream)
{
  for (uint32_t i = 0; i < request->attempts; i++)
    if (request->tried[i] == upstream)
      return true;
  return false;
}

/* Whether an active upstream remains for a retry of REQUEST.  */
bool
ds_router_has_retry_upstream (const struct ds_router_request *request)
{
  const struct ds_router_offering *offering = request->offering;
  bool repeat = may_repeat_upstream (request);

  for (size_t i = 0; i < offering->upstream_count; i++)
    if (is_active (offering->upstreams[i])
        && (repeat || !ds_router_was_tried (request, offering->upstreams[i])))
      return true;
  return false;
}

/* Chooses the upstream for REQUEST: one that needs a probe, else by prefix,
   else the least loaded.  A suspect goes to the least loaded one without
   another suspect.  Returns null if no upstream can accept it.  */
struct ds_router_upstream *
ds_router_choose (struct ds_router *router, struct ds_router_request *request,
                  uint64_t now_ms)
{
  struct ds_router_offering *offering = request->offering;
  struct ds_router_upstream *usable[offering->upstream_count + 1];
  struct ds_router_upstream *chosen = NULL;
  double mean = mean_remote_load (router, offering, now_ms);
  size_t count = 0;
  bool repeat = request->attempts > 0 && may_repeat_upstream (request);

  if (ds_crash_tracker_is_undecided (router->crash_tracker,
                                     request->params.body_digest))
    return NULL;
  request->suspect = ds_crash_tracker_is_suspect (
      router->crash_tracker, request->params.body_digest, now_ms);
  if (request->suspect && is_body_in_flight (router, request))
    return NULL;
  for (size_t i = 0; i < offering->upstream_count; i++)
    {
      struct ds_router_upstream *upstream = offering->upstreams[i];

      set_score (router, upstream, mean, now_ms);
      if (!is_usable (router, upstream, request, now_ms)
          || (!repeat && ds_router_was_tried (request, upstream)))
        continue;
      if (upstream->needs_probe && !request->suspect)
        return upstream;
      usable[count++] = upstream;
    }
  if (count == 0)
    return NULL;
  if (router->options.use_affinity && !request->suspect)
    chosen = find_by_prefix (router, request, usable, count);
  return chosen != NULL ? chosen : find_least_loaded (router, usable, count);
}

/* Records that UPSTREAM now has the prefixes of REQUEST in its cache.  */
void
ds_router_record_prefixes (struct ds_router *router,
                           const struct ds_router_request *request,
                           struct ds_router_upstream *upstream)
{
  for (size_t i = 0; i < request->params.prefix_count; i++)
    ds_prefix_index_put (
        router->prefixes,
        request->params.prefix_digests[i] ^ request->offering->hash, upstream);
}
