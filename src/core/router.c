#include "core/router_state.h"
#include "daisystep/error.h"

/* Retry delay if a known offering has no active upstream.  */
#define NO_UPSTREAM_RETRY_MS 1000
/* Time that an interrupted response may wait for another upstream.  */
#define RESUME_WAIT_MS 5000
/* Weight of a new sample in the exponential moving averages.  */
#define AVERAGE_SHARE 0.05

static int
free_tables (struct ds_router *router)
{
  g_hash_table_destroy (router->requests);
  g_hash_table_destroy (router->attempts);
  return 0;
}

static void
add_average (double *average, double sample)
{
  *average
      = *average > 0 ? *average + AVERAGE_SHARE * (sample - *average) : sample;
}

static void
add_retries (struct ds_router *router, double count)
{
  router->retry_tokens += count;
  if (router->retry_tokens > router->options.retry_burst)
    router->retry_tokens = router->options.retry_burst;
}

static void
refill_retries (struct ds_router *router, uint64_t now_ms)
{
  uint64_t passed_ms = now_ms - router->retry_refill_ms;

  router->retry_refill_ms = now_ms;
  add_retries (router,
               (double)passed_ms / 1000 * router->options.retry_min_per_s);
}

static bool
take_retry (struct ds_router *router, uint64_t now_ms)
{
  refill_retries (router, now_ms);
  if (router->retry_tokens < 1)
    return false;
  router->retry_tokens -= 1;
  return true;
}

static struct ds_router_request *
new_request (struct ds_router *router, const struct ds_route_request *params,
             struct ds_router_offering *offering, uint64_t now_ms)
{
  struct ds_router_request *request
      = talloc_zero (router, struct ds_router_request);

  if (request == NULL)
    return NULL;
  request->tried = talloc_zero_array (request, struct ds_router_upstream *,
                                      router->options.attempts_max);
  if (request->tried == NULL)
    {
      talloc_free (request);
      return NULL;
    }
  request->params = *params;
  request->params.offering = offering->name;
  request->offering = offering;
  request->sequence = ++router->sequence;
  if (__builtin_add_overflow (now_ms, params->deadline_left_ms,
                              &request->deadline_ms))
    request->deadline_ms = UINT64_MAX;
  g_hash_table_insert (router->requests, &request->params.handle, request);
  return request;
}

/* Refuses REQUEST for reasons other than load; returns whether it did.  */
static bool
refuse_outright (const struct ds_router *router,
                 const struct ds_route_request *request,
                 const struct ds_router_offering *offering,
                 struct ds_route_decision *out)
{
  *out = (struct ds_route_decision){
    .kind = DS_ROUTE_REFUSED,
    .handle = request->handle,
    .end = { .ran = DS_ROUTE_RAN_NO },
  };
  if (ds_crash_tracker_is_poisonous (router->crash_tracker,
                                     request->body_digest))
    out->end.reason = DS_ROUTE_POISONOUS;
  else if (offering == NULL)
    out->end.reason = DS_ROUTE_NO_UPSTREAM;
  else if (ds_router_first_usable_at (offering) == UINT64_MAX)
    {
      out->end.reason = DS_ROUTE_NO_UPSTREAM;
      out->end.retry_after_ms = NO_UPSTREAM_RETRY_MS;
    }
  else if (request->deadline_left_ms == 0)
    {
      out->end.reason = DS_ROUTE_DEADLINE;
      out->end.retry_after_ms = DS_RETRY_AFTER_MIN_MS;
    }
  else
    return false;
  return true;
}

/* Whether an attempt with OUTCOME was executed.  */
static enum ds_route_ran
execution_of (enum ds_attempt_outcome outcome, uint64_t relayed,
              bool response_started)
{
  switch (outcome)
    {
    case DS_ATTEMPT_NOT_SENT:
    case DS_ATTEMPT_REFUSED:
      return DS_ROUTE_RAN_NO;
    case DS_ATTEMPT_COMPLETE:
    case DS_ATTEMPT_FAILED_MID_RESPONSE:
      return DS_ROUTE_RAN_YES;
    case DS_ATTEMPT_FAILED_BEFORE_FIRST_BYTE:
    case DS_ATTEMPT_TIMED_OUT:
    case DS_ATTEMPT_CANCELLED:
      break;
    }
  return response_started || relayed > 0 ? DS_ROUTE_RAN_YES
                                         : DS_ROUTE_RAN_UNKNOWN;
}

static bool
may_retry (const struct ds_router_request *request,
           const struct ds_attempt_end *end)
{
  if (request->ran == DS_ROUTE_RAN_NO)
    return true;
  return request->params.repeatable && (end->relayed == 0 || end->can_resume);
}

static uint64_t
backoff (struct ds_router *router, const struct ds_router_request *request)
{
  uint64_t ms = router->options.backoff_min_ms;

  for (uint32_t i = 1;
       i < request->attempts && ms < router->options.backoff_max_ms; i++)
    ms *= 2;
  return ds_router_jitter (router, ms < router->options.backoff_max_ms
                                       ? ms
                                       : router->options.backoff_max_ms);
}

/* Queues a retry of REQUEST after the failed attempt END, or ends it.  */
static int
retry_or_fail (struct ds_router *router, struct ds_router_request *request,
               const struct ds_attempt_end *end, uint64_t now_ms,
               struct ds_route_decisions *decisions)
{
  uint64_t wait_ms = backoff (router, request);
  struct ds_route_decision *decision;

  if (ds_router_is_poisonous (router, request))
    return ds_router_end_request (router, request, DS_ROUTE_POISONOUS, 0,
                                  decisions);
  if (request->response_started)
    request->deadline_ms = now_ms + RESUME_WAIT_MS;
  if (!may_retry (request, end)
      || request->attempts >= router->options.attempts_max
      || now_ms + wait_ms >= request->deadline_ms
      || !ds_router_has_retry_upstream (request)
      || !take_retry (router, now_ms))
    return ds_router_end_request (router, request, DS_ROUTE_UPSTREAM_FAILED,
                                  DS_RETRY_AFTER_MIN_MS, decisions);
  request->resume_from = end->relayed;
  request->not_before_ms = now_ms + wait_ms;
  decision = ds_router_add_decision (decisions);
  if (decision == NULL)
    return DS_ENOMEM;
  *decision = (struct ds_route_decision){
    .kind = DS_ROUTE_QUEUED,
    .handle = request->params.handle,
    .queued = { .wait_ms = wait_ms, .retry = true },
  };
  return ds_router_queue_insert (router, request);
}

/* A successful probe makes its upstream usable again, with slow start and one
   failure short of the next pause.  */
static void
end_probe (const struct ds_router *router, struct ds_router_request *request,
           uint64_t now_ms)
{
  struct ds_router_upstream *upstream = request->upstream;

  if (!request->probe)
    return;
  request->probe = false;
  upstream->probe_in_flight = false;
  upstream->needs_probe = false;
  upstream->failures = router->options.failure_threshold - 1;
  upstream->failed_digest = 0;
  upstream->slow_start_ms = now_ms + 1;
}

static struct ds_router_request *
find_attempt (const struct ds_router *router, uint64_t attempt)
{
  return g_hash_table_lookup (router->attempts, &attempt);
}

static bool
are_valid (const struct ds_router_options *options)
{
  return options->attempts_max > 0 && options->failure_threshold > 0
         && options->report_half_life_ms > 0 && options->slow_start_ms > 0
         && options->prefix_entries > 0;
}

/* Creates a router without upstreams.  The random seed should differ between
   hosts and incarnations, as attempt ids are derived from it.  Returns 0,
   DS_EINVAL for options out of range, or DS_ENOMEM.  */
int
ds_router_new (struct ds_router **out, TALLOC_CTX *owner,
               const struct ds_router_options *options)
{
  struct ds_router *router;
  int code = DS_ENOMEM;

  if (!are_valid (options))
    return DS_EINVAL;
  router = talloc_zero (owner, struct ds_router);
  if (router == NULL)
    return DS_ENOMEM;
  router->options = *options;
  router->options.zone = ds_str_copy (router, options->zone);
  router->random_state = options->random_seed;
  router->retry_tokens = options->retry_burst;
  router->last_attempt = ds_str_hash (DS_STR ("attempt"), options->random_seed)
                         & ~(uint64_t)UINT32_MAX;
  code = ds_route_decisions_init (&router->pending_decisions, router);
  if (code < 0)
    goto fail;
  code = ds_prefix_index_new (&router->prefixes, router,
                              options->prefix_entries);
  if (code < 0)
    goto fail;
  code = ds_crash_tracker_new (&router->crash_tracker, router);
  if (code < 0)
    goto fail;
  router->requests = g_hash_table_new (g_int64_hash, g_int64_equal);
  router->attempts = g_hash_table_new (g_int64_hash, g_int64_equal);
  talloc_set_destructor (router, free_tables);
  *out = router;
  return 0;

fail:
  talloc_free (router);
  return code;
}

/* Frees ROUTER and all its requests; null is allowed.  */
void
ds_router_free (struct ds_router *router)
{
  talloc_free (router);
}

/* Initializes DECISIONS as an empty list in memory of OWNER.  Returns 0.  */
int
ds_route_decisions_init (struct ds_route_decisions *decisions,
                         TALLOC_CTX *owner)
{
  *decisions = (struct ds_route_decisions){ .owner = owner };
  return 0;
}

/* Empties DECISIONS and keeps its memory for reuse.  */
void
ds_route_decisions_clear (struct ds_route_decisions *decisions)
{
  decisions->count = 0;
}

/* Adds a new request and writes to OUT whether it is attempted at once, queued
   or refused, which releases its handle.  Returns 0, DS_EINVAL for a malformed
   request, DS_EDUPLICATE if its handle is in use, or DS_ENOMEM.  */
int
ds_router_submit (struct ds_router *router,
                  const struct ds_route_request *request, uint64_t now_ms,
                  struct ds_route_decision *out)
{
  struct ds_router_offering *offering
      = ds_router_find_offering (router, request->offering);
  struct ds_router_request *entry;
  struct ds_router_upstream *upstream = NULL;

  if (request->prefix_count > DS_PREFIX_DIGESTS_MAX || request->priority > 9)
    return DS_EINVAL;
  if (g_hash_table_contains (router->requests, &request->handle))
    return DS_EDUPLICATE;
  if (refuse_outright (router, request, offering, out))
    return 0;
  entry = new_request (router, request, offering, now_ms);
  if (entry == NULL)
    return DS_ENOMEM;
  refill_retries (router, now_ms);
  add_retries (router, router->options.retry_ratio);
  if (!ds_router_has_ready_ahead (entry, now_ms))
    upstream = ds_router_choose (router, entry, now_ms);
  if (upstream == NULL)
    return ds_router_queue_or_refuse (router, entry, now_ms, out);
  *out = ds_router_start_attempt (router, entry, upstream, now_ms);
  return 0;
}

/* Removes a queued request whose caller has disconnected; no decision follows.
   An attempt in flight is ended with DS_ATTEMPT_CANCELLED instead.  Returns 0,
   DS_ENOTFOUND, or DS_ECONFLICT if an attempt is in flight.  */
int
ds_router_cancel (struct ds_router *router, uint64_t handle)
{
  struct ds_router_request *request
      = g_hash_table_lookup (router->requests, &handle);

  if (request == NULL)
    return DS_ENOTFOUND;
  if (request->attempt != 0)
    return DS_ECONFLICT;
  ds_router_queue_remove (router, request);
  ds_router_free_request (router, request);
  return 0;
}

/* Records that the response to ATTEMPT has begun: its upstream is alive, and
   the deadline is met.  Returns 0 or DS_ENOTFOUND.  */
int
ds_router_record_first_byte (struct ds_router *router, uint64_t attempt,
                             uint64_t now_ms)
{
  struct ds_router_request *request = find_attempt (router, attempt);

  if (request == NULL)
    return DS_ENOTFOUND;
  if (request->resume_from == 0)
    add_average (&request->offering->first_byte_ms,
                 (double)(now_ms - request->started_ms));
  request->response_started = true;
  end_probe (router, request, now_ms);
  return 0;
}

/* Handles the end of an attempt.  Adds to DECISIONS the decision on its
   request, unless that is complete or cancelled, and the attempts of queued
   requests that start now.  A final failure reports whether any attempt was
   executed.  Returns 0, DS_ENOTFOUND or DS_ENOMEM.  */
int
ds_router_end_attempt (struct ds_router *router,
                       const struct ds_attempt_end *end, uint64_t now_ms,
                       struct ds_route_decisions *decisions)
{
  struct ds_router_request *request = find_attempt (router, end->attempt);
  enum ds_route_ran ran;
  int code = 0;

  if (request == NULL)
    return DS_ENOTFOUND;
  g_hash_table_remove (router->attempts, &request->attempt);
  request->attempt = 0;
  if (end->outcome == DS_ATTEMPT_COMPLETE)
    {
      end_probe (router, request, now_ms);
      add_average (&request->offering->duration_ms,
                   (double)(now_ms - request->started_ms));
      request->offering->duration_count++;
    }
  ds_router_record_outcome (router, request, end->outcome, now_ms);
  ds_router_unlink_attempt (request, now_ms);
  ran = execution_of (end->outcome, end->relayed, request->response_started);
  if (ran > request->ran)
    request->ran = ran;
  if (end->outcome == DS_ATTEMPT_COMPLETE
      || end->outcome == DS_ATTEMPT_CANCELLED)
    ds_router_free_request (router, request);
  else
    code = retry_or_fail (router, request, end, now_ms, decisions);
  if (code < 0)
    return code;
  return ds_router_start_queued (router, now_ms, decisions);
}

/* Ends queued requests past their deadline and starts those whose backoff, or
   the pause of whose upstream, is over.  To be called every few tens of
   milliseconds.  Returns 0 or DS_ENOMEM.  */
int
ds_router_tick (struct ds_router *router, uint64_t now_ms,
                struct ds_route_decisions *decisions)
{
  ds_crash_tracker_tick (router->crash_tracker, now_ms);
  for (size_t i = 0; i < router->pending_decisions.count; i++)
    {
      struct ds_route_decision *decision = ds_router_add_decision (decisions);

      if (decision == NULL)
        return DS_ENOMEM;
      *decision = router->pending_decisions.items[i];
    }
  router->pending_decisions.count = 0;
  if (ds_router_expire_queued (router, now_ms, decisions) < 0)
    return DS_ENOMEM;
  return ds_router_start_queued (router, now_ms, decisions);
}

/* Adds a crash report of another host.  Returns 0.  */
int
ds_router_add_crash_report (struct ds_router *router,
                            const struct ds_crash_report *report,
                            uint64_t now_ms)
{
  ds_crash_tracker_add (router->crash_tracker, report, false, now_ms);
  return 0;
}

/* Moves the crash reports for other hosts, created since the last call, to an
   array owned by OWNER.  Returns 0 or DS_ENOMEM.  */
int
ds_router_take_crash_reports (struct ds_router *router,
                              struct ds_crash_report **out, size_t *out_count,
                              TALLOC_CTX *owner)
{
  return ds_crash_tracker_take_reports (router->crash_tracker, out, out_count,
                                        owner);
}
