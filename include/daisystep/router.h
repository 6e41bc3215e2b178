#ifndef DAISYSTEP_ROUTER_H
#define DAISYSTEP_ROUTER_H

#include "daisystep/resource.h"
#include "daisystep/str.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Maximum number of prefix digests of a request.  */
#define DS_PREFIX_DIGESTS_MAX 16

/* The upstreams as one host knows them, with the requests queued for them or
   running on them.  The router does no I/O and reads no clock: callers pass
   times in milliseconds of a monotonic clock and serialize the calls with a
   lock.  */
struct ds_router;

struct ds_router_options
{
  uint64_t random_seed;
  /* The availability zone of this host; copied.  */
  struct ds_str zone;
  /* Maximum number of queued requests over all offerings.  */
  size_t queue_limit;
  /* Maximum number of attempts per request, including the first.  */
  uint32_t attempts_max;
  /* Backoff before a retry; doubled for each further retry.  */
  uint64_t backoff_min_ms;
  uint64_t backoff_max_ms;
  /* Token bucket for retries: tokens added per submitted request and per
     second, and its capacity.  */
  double retry_ratio;
  double retry_min_per_s;
  double retry_burst;
  /* Consecutive failures after which an upstream is paused, and for how
     long.  */
  uint32_t failure_threshold;
  uint64_t pause_min_ms;
  uint64_t pause_max_ms;
  /* After its pause an upstream is probed with a repeatable request; if none
     arrives within this time, with any request.  */
  uint64_t probe_wait_ms;
  uint64_t slow_start_ms;
  /* Age at which the weight of a load report is one half.  */
  uint64_t report_half_life_ms;
  /* Share of the differences between load reports that the choice uses.  */
  double report_gain;
  bool use_load_reports;
  bool use_affinity;
  /* An upstream is preferred for its prefix cache while this host has at most
     AFFINITY_RATIO x mean + AFFINITY_EXTRA x (unused share of the capacity of
     all upstreams) requests in flight on it.  */
  double affinity_ratio;
  double affinity_extra;
  /* Capacity of the prefix index; rounded up to a power of two.  */
  size_t prefix_entries;
};

#define DS_ROUTER_OPTIONS_DEFAULT                                             \
  ((struct ds_router_options){                                                \
      .zone = DS_STR_EMPTY,                                                   \
      .queue_limit = 1024,                                                    \
      .attempts_max = 4,                                                      \
      .backoff_min_ms = 20,                                                   \
      .backoff_max_ms = 1000,                                                 \
      .retry_ratio = 0.1,                                                     \
      .retry_min_per_s = 1.0,                                                 \
      .retry_burst = 10.0,                                                    \
      .failure_threshold = 3,                                                 \
      .pause_min_ms = 1000,                                                   \
      .pause_max_ms = 30000,                                                  \
      .probe_wait_ms = 10000,                                                 \
      .slow_start_ms = 10000,                                                 \
      .report_half_life_ms = 2000,                                            \
      .report_gain = 0.1,                                                     \
      .use_load_reports = true,                                               \
      .use_affinity = true,                                                   \
      .affinity_ratio = 1.0,                                                  \
      .affinity_extra = 2.0,                                                  \
      .prefix_entries = 65536,                                                \
  })

/* The declaration of an upstream.  The router copies what it keeps.  */
struct ds_upstream_spec
{
  struct ds_str name;
  struct ds_str address;
  struct ds_str zone;
  const struct ds_str *offerings;
  size_t offering_count;
  enum ds_upstream_state state;
  /* Maximum number of concurrent requests from all hosts together.  */
  uint32_t max_in_flight;
  uint64_t version;
};

struct ds_route_request
{
  /* Chosen by the caller; unique among the requests that have not ended.  */
  uint64_t handle;
  struct ds_str offering;
  /* 0 to 9; higher values are served first.  */
  uint32_t priority;
  /* Time left until the response must begin.  */
  uint64_t deadline_left_ms;
  /* Rolling hashes of the prefixes of the prompt, shortest first.  */
  uint64_t prefix_digests[DS_PREFIX_DIGESTS_MAX];
  size_t prefix_count;
  uint64_t body_digest;
  bool repeatable;
};

/* Whether a request was executed, as far as this host knows.  */
enum ds_route_ran
{
  DS_ROUTE_RAN_NO,
  DS_ROUTE_RAN_UNKNOWN,
  DS_ROUTE_RAN_YES
};

enum ds_route_reason
{
  DS_ROUTE_NO_UPSTREAM,
  DS_ROUTE_OVERLOADED,
  DS_ROUTE_DEADLINE,
  DS_ROUTE_POISONOUS,
  DS_ROUTE_UPSTREAM_FAILED
};

enum ds_route_decision_kind
{
  /* Send the request to an upstream now.  */
  DS_ROUTE_ATTEMPT,
  /* Queued; a later decision with the same handle follows.  */
  DS_ROUTE_QUEUED,
  /* Never attempted; the handle is released.  */
  DS_ROUTE_REFUSED,
  /* Attempted without success; the handle is released.  */
  DS_ROUTE_FAILED
};

struct ds_route_decision
{
  enum ds_route_decision_kind kind;
  uint64_t handle;
  union
  {
    /* The strings belong to the router and are valid until the next call.
       RESUME_FROM is the token index at which a resumed response
       continues.  */
    struct
    {
      uint64_t attempt;
      struct ds_str upstream;
      struct ds_str address;
      uint64_t resume_from;
    } attempt;
    /* WAIT_MS is a lower bound for a retry, an estimate otherwise.  */
    struct
    {
      uint64_t wait_ms;
      bool retry;
    } queued;
    /* For REFUSED and FAILED.  RETRY_AFTER_MS is 0 if the caller should not
       retry.  */
    struct
    {
      enum ds_route_reason reason;
      enum ds_route_ran ran;
      uint64_t retry_after_ms;
    } end;
  };
};

struct ds_route_decisions
{
  struct ds_route_decision *items;
  size_t count;
  size_t capacity;
  TALLOC_CTX *owner;
};

enum ds_attempt_outcome
{
  DS_ATTEMPT_COMPLETE,
  /* No byte of the request reached the upstream.  */
  DS_ATTEMPT_NOT_SENT,
  /* The upstream responded with 503.  */
  DS_ATTEMPT_REFUSED,
  /* The connection was lost.  */
  DS_ATTEMPT_FAILED_BEFORE_FIRST_BYTE,
  DS_ATTEMPT_FAILED_MID_RESPONSE,
  /* No progress within the timeout.  */
  DS_ATTEMPT_TIMED_OUT,
  /* The caller disconnected.  */
  DS_ATTEMPT_CANCELLED
};

struct ds_attempt_end
{
  uint64_t attempt;
  enum ds_attempt_outcome outcome;
  /* Tokens, or bytes for a plain service, relayed to the caller so far over
     all attempts.  */
  uint64_t relayed;
  /* Another upstream can resume the response at token index RELAYED.  */
  bool can_resume;
};

/* Sent by one host to the others: the digests in flight on an upstream that
   crashed, or digests to be refused from now on.  */
struct ds_crash_report
{
  /* Hash of the name of the upstream.  */
  uint64_t upstream;
  bool poisonous;
  const uint64_t *digests;
  size_t digest_count;
};

int ds_router_new (struct ds_router **out, TALLOC_CTX *owner,
                   const struct ds_router_options *options);
void ds_router_free (struct ds_router *router);

int ds_route_decisions_init (struct ds_route_decisions *decisions,
                             TALLOC_CTX *owner);
void ds_route_decisions_clear (struct ds_route_decisions *decisions);

int ds_router_put_upstream (struct ds_router *router,
                            const struct ds_upstream_spec *spec,
                            uint64_t now_ms);
int ds_router_remove_upstream (struct ds_router *router, struct ds_str name,
                               uint64_t version, uint64_t now_ms);
int ds_router_report_load (struct ds_router *router, struct ds_str upstream,
                           uint32_t running, uint32_t queued, uint64_t age_ms,
                           uint64_t now_ms);

int ds_router_submit (struct ds_router *router,
                      const struct ds_route_request *request, uint64_t now_ms,
                      struct ds_route_decision *out);
int ds_router_cancel (struct ds_router *router, uint64_t handle);
int ds_router_record_first_byte (struct ds_router *router, uint64_t attempt,
                                 uint64_t now_ms);
int ds_router_end_attempt (struct ds_router *router,
                           const struct ds_attempt_end *end, uint64_t now_ms,
                           struct ds_route_decisions *decisions);
int ds_router_tick (struct ds_router *router, uint64_t now_ms,
                    struct ds_route_decisions *decisions);

int ds_router_add_crash_report (struct ds_router *router,
                                const struct ds_crash_report *report,
                                uint64_t now_ms);
int ds_router_take_crash_reports (struct ds_router *router,
                                  struct ds_crash_report **out,
                                  size_t *out_count, TALLOC_CTX *owner);
struct json_t *ds_router_dump (const struct ds_router *router,
                               uint64_t now_ms);

#endif
