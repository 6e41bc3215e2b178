#ifndef DS_CORE_ROUTER_STATE_H
#define DS_CORE_ROUTER_STATE_H

#include "core/crash_tracker.h"
#include "core/prefix_index.h"
#include "daisystep/router.h"

#include <glib.h>

/* History of the requests of this host in flight on an upstream, subtracted
   from a load report of that time: 40 samples at 100 ms cover 4 s.  */
#define DS_LOAD_SAMPLES 40
#define DS_LOAD_SAMPLE_MS 100
/* Connections lost within this time after the first one are attributed to the
   same crash.  */
#define DS_CRASH_WINDOW_MS 200

/* Minimum retry delay sent to callers.  */
#define DS_RETRY_AFTER_MIN_MS 100

struct ds_router_offering;

struct ds_load_sample
{
  uint64_t at_ms;
  uint32_t local_in_flight;
};

/* The attempts in flight when a connection was lost.  The upstream has crashed
   if all of them are lost as well.  */
struct ds_crash_window
{
  bool open;
  uint64_t number;
  uint64_t opened_ms;
  uint64_t *digests;
  size_t digest_count;
  size_t remaining;
};

/* Kept with its version after its removal, so that an older declaration does
   not restore it.  */
struct ds_router_upstream
{
  struct ds_str name;
  struct ds_str address;
  struct ds_str zone;
  uint64_t hash;
  uint64_t version;
  enum ds_upstream_state state;
  bool removed;
  bool same_zone;
  uint32_t max_in_flight;

  struct ds_router_request *in_flight;
  uint32_t local_in_flight;
  uint32_t suspects;

  struct ds_load_sample samples[DS_LOAD_SAMPLES];
  size_t sample_count;
  bool has_report;
  double reported_others;
  uint64_t report_time_ms;

  /* Begin of the slow start plus 1; 0 when it is over or not needed.  */
  uint64_t slow_start_ms;
  uint32_t failures;
  uint64_t failed_digest;
  uint32_t pauses;
  bool needs_probe;
  bool probe_in_flight;
  uint64_t paused_until_ms;
  uint32_t refusals;
  uint64_t refused_until_ms;
  struct ds_crash_window crash_window;

  /* Valid only during ds_router_choose.  */
  double estimated_load;
  double damped_load;
  double score;
};

struct ds_router_offering
{
  struct ds_str name;
  uint64_t hash;
  struct ds_router_upstream **upstreams;
  size_t upstream_count;
  /* Queued requests in the order of service.  */
  struct ds_router_request **queue;
  size_t queue_count;
  uint32_t in_flight;
  double duration_ms;
  uint64_t duration_count;
  double first_byte_ms;
};

struct ds_router_request
{
  struct ds_route_request params;
  struct ds_router_offering *offering;
  uint64_t sequence;
  uint64_t deadline_ms;
  uint64_t not_before_ms;
  enum ds_route_ran ran;
  uint32_t attempts;
  uint64_t resume_from;
  bool response_started;
  /* The upstreams of all attempts so far.  */
  struct ds_router_upstream **tried;

  /* Valid while an attempt is in flight.  */
  uint64_t attempt;
  struct ds_router_upstream *upstream;
  struct ds_router_request *previous;
  struct ds_router_request *next;
  uint64_t started_ms;
  bool probe;
  bool suspect;
  uint64_t crash_window;
};

struct ds_router
{
  struct ds_router_options options;
  uint64_t random_state;
  struct ds_router_upstream **upstreams;
  size_t upstream_count;
  struct ds_router_offering **offerings;
  size_t offering_count;
  /* Requests by handle and by attempt id.  */
  GHashTable *requests;
  GHashTable *attempts;
  size_t queued;
  uint64_t last_attempt;
  uint64_t sequence;
  double retry_tokens;
  uint64_t retry_refill_ms;
  struct ds_prefix_index *prefixes;
  struct ds_crash_tracker *crash_tracker;
  /* Decisions about other requests made by a submit, for the next tick.  */
  struct ds_route_decisions pending_decisions;
};

/* router_upstream.c */
double ds_router_random (struct ds_router *router);
uint64_t ds_router_jitter (struct ds_router *router, uint64_t ms);
struct ds_router_offering *
ds_router_find_offering (const struct ds_router *router, struct ds_str name);
void ds_router_link_attempt (struct ds_router_upstream *upstream,
                             struct ds_router_request *request,
                             uint64_t now_ms);
void ds_router_unlink_attempt (struct ds_router_request *request,
                               uint64_t now_ms);
void ds_router_record_outcome (struct ds_router *router,
                               struct ds_router_request *request,
                               enum ds_attempt_outcome outcome,
                               uint64_t now_ms);
bool ds_router_awaits_crash_window (const struct ds_router_request *request,
                                    uint64_t now_ms);
uint64_t ds_router_usable_at (const struct ds_router_upstream *upstream);

/* router_choice.c */
struct ds_router_upstream *ds_router_choose (struct ds_router *router,
                                             struct ds_router_request *request,
                                             uint64_t now_ms);
bool ds_router_was_tried (const struct ds_router_request *request,
                          const struct ds_router_upstream *upstream);
bool ds_router_has_retry_upstream (const struct ds_router_request *request);
void ds_router_record_prefixes (struct ds_router *router,
                                const struct ds_router_request *request,
                                struct ds_router_upstream *upstream);

/* router_decision.c */
struct ds_route_decision *
ds_router_add_decision (struct ds_route_decisions *decisions);
void ds_router_free_request (struct ds_router *router,
                             struct ds_router_request *request);
struct ds_route_decision
ds_router_final_decision (const struct ds_router_request *request,
                          enum ds_route_reason reason,
                          uint64_t retry_after_ms);
int ds_router_end_request (struct ds_router *router,
                           struct ds_router_request *request,
                           enum ds_route_reason reason,
                           uint64_t retry_after_ms,
                           struct ds_route_decisions *decisions);
struct ds_route_decision
ds_router_start_attempt (struct ds_router *router,
                         struct ds_router_request *request,
                         struct ds_router_upstream *upstream, uint64_t now_ms);
bool ds_router_is_poisonous (const struct ds_router *router,
                             const struct ds_router_request *request);

/* router_queue.c */
bool ds_router_ranks_before (const struct ds_router_request *a,
                             const struct ds_router_request *b);
int ds_router_queue_insert (struct ds_router *router,
                            struct ds_router_request *request);
void ds_router_queue_remove (struct ds_router *router,
                             struct ds_router_request *request);
uint64_t ds_router_expected_wait (const struct ds_router_request *request);
int ds_router_start_queued (struct ds_router *router, uint64_t now_ms,
                            struct ds_route_decisions *decisions);
int ds_router_expire_queued (struct ds_router *router, uint64_t now_ms,
                             struct ds_route_decisions *decisions);
bool ds_router_has_ready_ahead (const struct ds_router_request *request,
                                uint64_t now_ms);
uint64_t ds_router_first_usable_at (const struct ds_router_offering *offering);
int ds_router_queue_or_refuse (struct ds_router *router,
                               struct ds_router_request *request,
                               uint64_t now_ms, struct ds_route_decision *out);

#endif
