#include "core/router_state.h"
#include "daisystep/error.h"

#include <string.h>

/* Pause after a 503 response, doubled for each consecutive one.  */
#define REFUSED_PAUSE_MS 100
#define REFUSED_DOUBLINGS_MAX 5
#define PAUSE_DOUBLINGS_MAX 10

static struct ds_router_upstream *
find_upstream (const struct ds_router *router, struct ds_str name)
{
  for (size_t i = 0; i < router->upstream_count; i++)
    if (ds_str_equal (router->upstreams[i]->name, name))
      return router->upstreams[i];
  return NULL;
}

static struct ds_router_upstream *
add_upstream (struct ds_router *router, struct ds_str name)
{
  struct ds_router_upstream *upstream
      = talloc_zero (router, struct ds_router_upstream);
  struct ds_router_upstream **grown
      = talloc_realloc (router, router->upstreams, struct ds_router_upstream *,
                        router->upstream_count + 1);

  if (grown != NULL)
    router->upstreams = grown;
  if (upstream == NULL || grown == NULL)
    {
      talloc_free (upstream);
      return NULL;
    }
  upstream->name = ds_str_copy (upstream, name);
  upstream->hash = ds_str_hash (name, 0);
  upstream->removed = true;
  grown[router->upstream_count++] = upstream;
  return upstream;
}

static struct ds_router_offering *
find_or_add_offering (struct ds_router *router, struct ds_str name)
{
  struct ds_router_offering *offering = ds_router_find_offering (router, name);
  struct ds_router_offering **grown;

  if (offering != NULL)
    return offering;
  offering = talloc_zero (router, struct ds_router_offering);
  grown
      = talloc_realloc (router, router->offerings, struct ds_router_offering *,
                        router->offering_count + 1);
  if (grown != NULL)
    router->offerings = grown;
  if (offering == NULL || grown == NULL)
    {
      talloc_free (offering);
      return NULL;
    }
  offering->name = ds_str_copy (offering, name);
  offering->hash = ds_str_hash (name, 0);
  grown[router->offering_count++] = offering;
  return offering;
}

static void
remove_from_offerings (struct ds_router *router,
                       const struct ds_router_upstream *upstream)
{
  for (size_t i = 0; i < router->offering_count; i++)
    {
      struct ds_router_offering *offering = router->offerings[i];
      size_t kept = 0;

      for (size_t j = 0; j < offering->upstream_count; j++)
        if (offering->upstreams[j] != upstream)
          offering->upstreams[kept++] = offering->upstreams[j];
      offering->upstream_count = kept;
    }
}

static int
add_to_offering (struct ds_router *router, struct ds_str name,
                 struct ds_router_upstream *upstream)
{
  struct ds_router_offering *offering = find_or_add_offering (router, name);
  struct ds_router_upstream **grown;

  if (offering == NULL)
    return DS_ENOMEM;
  grown = talloc_realloc (offering, offering->upstreams,
                          struct ds_router_upstream *,
                          offering->upstream_count + 1);
  if (grown == NULL)
    return DS_ENOMEM;
  offering->upstreams = grown;
  grown[offering->upstream_count++] = upstream;
  return 0;
}

static void
replace_text (struct ds_router_upstream *upstream, struct ds_str *text,
              struct ds_str value)
{
  if (ds_str_equal (*text, value) && text->data != NULL)
    return;
  talloc_free ((void *)text->data);
  *text = ds_str_copy (upstream, value);
}

static void
sample_load (struct ds_router_upstream *upstream, uint64_t now_ms)
{
  size_t last = upstream->sample_count - 1;

  if (upstream->sample_count > 0
      && now_ms - upstream->samples[last % DS_LOAD_SAMPLES].at_ms
             < DS_LOAD_SAMPLE_MS)
    {
      upstream->samples[last % DS_LOAD_SAMPLES].local_in_flight
          = upstream->local_in_flight;
      return;
    }
  upstream->samples[upstream->sample_count++ % DS_LOAD_SAMPLES]
      = (struct ds_load_sample){ .at_ms = now_ms,
                                 .local_in_flight
                                 = upstream->local_in_flight };
}

/* Returns the requests of this host in flight at AT_MS, or at the oldest
   sample.  */
static uint32_t
local_in_flight_at (const struct ds_router_upstream *upstream, uint64_t at_ms)
{
  size_t kept = upstream->sample_count < DS_LOAD_SAMPLES
                    ? upstream->sample_count
                    : DS_LOAD_SAMPLES;

  for (size_t i = 1; i <= kept; i++)
    {
      const struct ds_load_sample *sample
          = &upstream->samples[(upstream->sample_count - i) % DS_LOAD_SAMPLES];

      if (sample->at_ms <= at_ms)
        return sample->local_in_flight;
      if (i == DS_LOAD_SAMPLES)
        return sample->local_in_flight;
    }
  return 0;
}

static void
start_pause (struct ds_router *router, struct ds_router_upstream *upstream,
             uint64_t now_ms)
{
  uint64_t pause_ms
      = router->options.pause_min_ms
        << (upstream->pauses < PAUSE_DOUBLINGS_MAX ? upstream->pauses
                                                   : PAUSE_DOUBLINGS_MAX);

  if (pause_ms > router->options.pause_max_ms)
    pause_ms = router->options.pause_max_ms;
  upstream->pauses++;
  upstream->needs_probe = true;
  upstream->paused_until_ms = now_ms + ds_router_jitter (router, pause_ms);
}

/* Counts a failure.  Consecutive failures of the same request count once, so
   that a request that always fails does not pause every upstream.  A failed
   connection is the fault of the upstream and always counts.  */
static void
count_failure (struct ds_router *router, struct ds_router_request *request,
               enum ds_attempt_outcome outcome, uint64_t now_ms)
{
  struct ds_router_upstream *upstream = request->upstream;
  bool repeated = upstream->failures > 0
                  && upstream->failed_digest == request->params.body_digest
                  && outcome != DS_ATTEMPT_NOT_SENT;

  if (request->probe)
    {
      start_pause (router, upstream, now_ms);
      return;
    }
  if (repeated)
    return;
  upstream->failed_digest = request->params.body_digest;
  upstream->failures++;
  if (!upstream->needs_probe
      && upstream->failures >= router->options.failure_threshold)
    start_pause (router, upstream, now_ms);
}

static void
count_refusal (struct ds_router *router, struct ds_router_upstream *upstream,
               uint64_t now_ms)
{
  uint64_t pause_ms = (uint64_t)REFUSED_PAUSE_MS << upstream->refusals;

  upstream->refused_until_ms = now_ms + ds_router_jitter (router, pause_ms);
  if (upstream->refusals < REFUSED_DOUBLINGS_MAX)
    upstream->refusals++;
}

static void
count_success (struct ds_router_request *request)
{
  struct ds_router_upstream *upstream = request->upstream;

  if (upstream->needs_probe)
    return;
  upstream->failures = 0;
  upstream->pauses = 0;
  upstream->refusals = 0;
}

static void
open_window (struct ds_router_upstream *upstream, uint64_t now_ms)
{
  struct ds_crash_window *crash_window = &upstream->crash_window;

  talloc_free (crash_window->digests);
  *crash_window = (struct ds_crash_window){
    .open = true,
    .number = crash_window->number + 1,
    .opened_ms = now_ms,
    .digests = talloc_array (upstream, uint64_t, upstream->local_in_flight),
  };
  for (struct ds_router_request *other = upstream->in_flight; other != NULL;
       other = other->next)
    {
      other->crash_window = crash_window->number;
      if (crash_window->digests != NULL)
        crash_window->digests[crash_window->digest_count++]
            = other->params.body_digest;
      crash_window->remaining++;
    }
}

static bool
is_window_open (const struct ds_router_upstream *upstream, uint64_t now_ms)
{
  return upstream->crash_window.open
         && now_ms - upstream->crash_window.opened_ms <= DS_CRASH_WINDOW_MS;
}

static bool
is_lost_connection (enum ds_attempt_outcome outcome)
{
  return outcome == DS_ATTEMPT_FAILED_BEFORE_FIRST_BYTE
         || outcome == DS_ATTEMPT_FAILED_MID_RESPONSE;
}

/* Detects whether the upstream loses all its connections, which is a crash.
   Called while REQUEST is still linked.  */
static void
detect_crash (struct ds_router *router, struct ds_router_request *request,
              enum ds_attempt_outcome outcome, uint64_t now_ms)
{
  struct ds_router_upstream *upstream = request->upstream;
  struct ds_crash_window *crash_window = &upstream->crash_window;

  if (upstream->removed || upstream->state != DS_UPSTREAM_ACTIVE)
    return;
  if (is_lost_connection (outcome) && !is_window_open (upstream, now_ms))
    open_window (upstream, now_ms);
  if (!is_window_open (upstream, now_ms)
      || request->crash_window != crash_window->number)
    return;
  if (outcome == DS_ATTEMPT_COMPLETE || outcome == DS_ATTEMPT_REFUSED
      || outcome == DS_ATTEMPT_TIMED_OUT)
    {
      crash_window->open = false;
      return;
    }
  crash_window->remaining--;
  if (crash_window->remaining > 0)
    return;
  crash_window->open = false;
  ds_crash_tracker_add (router->crash_tracker,
                        &(struct ds_crash_report){
                            .upstream = upstream->hash,
                            .digests = crash_window->digests,
                            .digest_count = crash_window->digest_count,
                        },
                        true, now_ms);
}

/* Returns a random number from 0 to below 1 (splitmix64).  */
double
ds_router_random (struct ds_router *router)
{
  uint64_t z = router->random_state += 0x9e3779b97f4a7c15U;

  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9U;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebU;
  z ^= z >> 31;
  return (double)(z >> 11) * 0x1p-53;
}

/* Returns MS times a random factor from 0.5 to 1.5.  */
uint64_t
ds_router_jitter (struct ds_router *router, uint64_t ms)
{
  return (uint64_t)((double)ms * (0.5 + ds_router_random (router)));
}

/* Returns the offering NAME, or null if no upstream was ever declared for
   it.  */
struct ds_router_offering *
ds_router_find_offering (const struct ds_router *router, struct ds_str name)
{
  for (size_t i = 0; i < router->offering_count; i++)
    if (ds_str_equal (router->offerings[i]->name, name))
      return router->offerings[i];
  return NULL;
}

/* Counts REQUEST as in flight on UPSTREAM.  */
void
ds_router_link_attempt (struct ds_router_upstream *upstream,
                        struct ds_router_request *request, uint64_t now_ms)
{
  request->upstream = upstream;
  request->previous = NULL;
  request->next = upstream->in_flight;
  if (upstream->in_flight != NULL)
    upstream->in_flight->previous = request;
  upstream->in_flight = request;
  request->crash_window = 0;
  request->probe = upstream->needs_probe;
  upstream->probe_in_flight |= request->probe;
  upstream->local_in_flight++;
  upstream->suspects += request->suspect;
  request->offering->in_flight++;
  sample_load (upstream, now_ms);
}

/* Reverts ds_router_link_attempt.  The request keeps its upstream as that of
   its last attempt.  */
void
ds_router_unlink_attempt (struct ds_router_request *request, uint64_t now_ms)
{
  struct ds_router_upstream *upstream = request->upstream;

  if (request->previous != NULL)
    request->previous->next = request->next;
  else
    upstream->in_flight = request->next;
  if (request->next != NULL)
    request->next->previous = request->previous;
  request->previous = NULL;
  request->next = NULL;
  if (request->probe)
    upstream->probe_in_flight = false;
  request->probe = false;
  upstream->local_in_flight--;
  upstream->suspects -= request->suspect;
  request->suspect = false;
  request->offering->in_flight--;
  sample_load (upstream, now_ms);
}

/* Updates the health and crash state of the upstream after an attempt that is
   still linked.  */
void
ds_router_record_outcome (struct ds_router *router,
                          struct ds_router_request *request,
                          enum ds_attempt_outcome outcome, uint64_t now_ms)
{
  detect_crash (router, request, outcome, now_ms);
  switch (outcome)
    {
    case DS_ATTEMPT_COMPLETE:
      count_success (request);
      ds_crash_tracker_clear (router->crash_tracker,
                              request->params.body_digest);
      break;
    case DS_ATTEMPT_REFUSED:
      count_refusal (router, request->upstream, now_ms);
      break;
    case DS_ATTEMPT_NOT_SENT:
    case DS_ATTEMPT_FAILED_BEFORE_FIRST_BYTE:
    case DS_ATTEMPT_FAILED_MID_RESPONSE:
    case DS_ATTEMPT_TIMED_OUT:
      count_failure (router, request, outcome, now_ms);
      break;
    case DS_ATTEMPT_CANCELLED:
      break;
    }
}

/* Whether REQUEST must wait until it is known whether the upstream of its last
   attempt has crashed.  */
bool
ds_router_awaits_crash_window (const struct ds_router_request *request,
                               uint64_t now_ms)
{
  return request->upstream != NULL && request->crash_window != 0
         && request->crash_window == request->upstream->crash_window.number
         && is_window_open (request->upstream, now_ms);
}

/* Returns the time from which an active UPSTREAM is usable.  */
uint64_t
ds_router_usable_at (const struct ds_router_upstream *upstream)
{
  uint64_t paused = upstream->needs_probe ? upstream->paused_until_ms : 0;

  return paused > upstream->refused_until_ms ? paused
                                             : upstream->refused_until_ms;
}

/* Adds or updates an upstream.  One that is new or was not active begins with
   a slow start.  Returns 0, DS_ECONFLICT if SPEC is not newer than the current
   declaration, DS_EINVAL or DS_ENOMEM.  */
int
ds_router_put_upstream (struct ds_router *router,
                        const struct ds_upstream_spec *spec, uint64_t now_ms)
{
  struct ds_router_upstream *upstream = find_upstream (router, spec->name);
  bool was_active;

  if (spec->name.length == 0 || spec->max_in_flight == 0)
    return DS_EINVAL;
  if (upstream != NULL && spec->version <= upstream->version)
    return DS_ECONFLICT;
  if (upstream == NULL)
    upstream = add_upstream (router, spec->name);
  if (upstream == NULL)
    return DS_ENOMEM;
  was_active = !upstream->removed && upstream->state == DS_UPSTREAM_ACTIVE;
  if (!was_active && spec->state == DS_UPSTREAM_ACTIVE)
    upstream->slow_start_ms = now_ms + 1;
  replace_text (upstream, &upstream->address, spec->address);
  replace_text (upstream, &upstream->zone, spec->zone);
  upstream->same_zone = ds_str_equal (spec->zone, router->options.zone);
  upstream->version = spec->version;
  upstream->state = spec->state;
  upstream->removed = false;
  upstream->max_in_flight = spec->max_in_flight;
  remove_from_offerings (router, upstream);
  for (size_t i = 0; i < spec->offering_count; i++)
    if (add_to_offering (router, spec->offerings[i], upstream) < 0)
      return DS_ENOMEM;
  return 0;
}

/* Removes the upstream NAME at VERSION: it gets no new attempts, those in
   flight continue.  Returns 0, DS_ECONFLICT for a version that is not newer,
   or DS_ENOMEM.  */
int
ds_router_remove_upstream (struct ds_router *router, struct ds_str name,
                           uint64_t version, uint64_t now_ms)
{
  struct ds_router_upstream *upstream = find_upstream (router, name);

  (void)now_ms;
  if (upstream != NULL && version <= upstream->version)
    return DS_ECONFLICT;
  if (upstream == NULL)
    upstream = add_upstream (router, name);
  if (upstream == NULL)
    return DS_ENOMEM;
  upstream->version = version;
  upstream->removed = true;
  remove_from_offerings (router, upstream);
  return 0;
}

/* Adds a load report that the upstream created AGE_MS ago, with the RUNNING
   and QUEUED requests of all hosts.  A report older than the latest is
   ignored.  Returns 0 or DS_ENOTFOUND.  */
int
ds_router_report_load (struct ds_router *router, struct ds_str upstream_name,
                       uint32_t running, uint32_t queued, uint64_t age_ms,
                       uint64_t now_ms)
{
  struct ds_router_upstream *upstream = find_upstream (router, upstream_name);
  uint64_t at_ms = age_ms < now_ms ? now_ms - age_ms : 0;
  double remote_load;

  if (upstream == NULL)
    return DS_ENOTFOUND;
  if (upstream->has_report && at_ms < upstream->report_time_ms)
    return 0;
  remote_load
      = (double)running + queued - local_in_flight_at (upstream, at_ms);
  upstream->has_report = true;
  upstream->reported_others = remote_load > 0 ? remote_load : 0;
  upstream->report_time_ms = at_ms;
  return 0;
}
