#include "daisystep/error.h"
#include "daisystep/router.h"

#include <check.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define MODEL DS_STR ("vogelbeere")
#define LOCAL_ZONE DS_STR ("kelheim")
#define REMOTE_ZONE DS_STR ("riedenburg")
/* Longer than the wait for reports about one crash.  */
#define REPORT_WAIT_MS 1100

/* Upstreams are added at BEGIN_MS; their slow start is over at WARM_MS.  */
#define BEGIN_MS 1000
#define WARM_MS 100000

static struct ds_router_options options;
static struct ds_router *router;
static struct ds_route_decisions decisions;
static uint64_t now;
static uint64_t next_handle;

static void
recreate_router (void)
{
  ds_router_free (router);
  ck_assert_int_eq (ds_router_new (&router, NULL, &options), 0);
  ck_assert_int_eq (ds_route_decisions_init (&decisions, router), 0);
  now = BEGIN_MS;
  next_handle = 1;
}

static void
set_up (void)
{
  router = NULL;
  options = DS_ROUTER_OPTIONS_DEFAULT;
  options.random_seed = 7;
  options.zone = LOCAL_ZONE;
  recreate_router ();
}

static void
tear_down (void)
{
  ds_router_free (router);
}

static int
put_spec (const char *name, uint64_t version, enum ds_upstream_state state,
          uint32_t max, struct ds_str zone)
{
  struct ds_str offering = MODEL;

  return ds_router_put_upstream (router,
                                 &(struct ds_upstream_spec){
                                     .name = ds_str_from_c (name),
                                     .address = DS_STR ("127.0.0.9:80"),
                                     .zone = zone,
                                     .offerings = &offering,
                                     .offering_count = 1,
                                     .state = state,
                                     .max_in_flight = max,
                                     .version = version,
                                 },
                                 now);
}

/* Adds COUNT upstreams named a, b, c … and skips their slow start.  */
static void
put_all (int count, uint32_t max)
{
  for (int i = 0; i < count; i++)
    {
      char name[2] = { (char)('a' + i), '\0' };

      ck_assert_int_eq (
          put_spec (name, 1, DS_UPSTREAM_ACTIVE, max, LOCAL_ZONE), 0);
    }
  now = WARM_MS;
}

static struct ds_route_request
request (void)
{
  return (struct ds_route_request){
    .handle = next_handle,
    .offering = MODEL,
    .priority = 5,
    .deadline_left_ms = 60000,
    .body_digest = 1000 + next_handle++,
    .repeatable = true,
  };
}

static struct ds_route_decision
submit (struct ds_route_request given)
{
  struct ds_route_decision decision;

  ck_assert_int_eq (ds_router_submit (router, &given, now, &decision), 0);
  return decision;
}

/* Submits a request that must be attempted at once; returns the attempt.  */
static struct ds_route_decision
start (struct ds_route_request given)
{
  struct ds_route_decision decision = submit (given);

  ck_assert_int_eq (decision.kind, DS_ROUTE_ATTEMPT);
  return decision;
}

static char
upstream_of (struct ds_route_decision decision)
{
  ck_assert_int_eq (decision.kind, DS_ROUTE_ATTEMPT);
  return decision.attempt.upstream.data[0];
}

/* Ends an attempt and returns the first resulting decision, or QUEUED for
   handle 0 if there is none.  */
static struct ds_route_decision
end_with (struct ds_route_decision attempt, enum ds_attempt_outcome outcome,
          uint64_t relayed, bool can_resume)
{
  struct ds_attempt_end end = {
    .attempt = attempt.attempt.attempt,
    .outcome = outcome,
    .relayed = relayed,
    .can_resume = can_resume,
  };

  ds_route_decisions_clear (&decisions);
  ck_assert_int_eq (ds_router_end_attempt (router, &end, now, &decisions), 0);
  if (decisions.count == 0)
    return (struct ds_route_decision){ .kind = DS_ROUTE_QUEUED };
  return decisions.items[0];
}

static struct ds_route_decision
end (struct ds_route_decision attempt, enum ds_attempt_outcome outcome)
{
  return end_with (attempt, outcome, 0, false);
}

/* Advances the clock and returns the number of decisions.  */
static size_t
tick (uint64_t ms)
{
  now += ms;
  ds_route_decisions_clear (&decisions);
  ck_assert_int_eq (ds_router_tick (router, now, &decisions), 0);
  return decisions.count;
}

/* Returns the decision of the last call about HANDLE.  */
static struct ds_route_decision
decision_on (uint64_t handle)
{
  for (size_t i = 0; i < decisions.count; i++)
    if (decisions.items[i].handle == handle)
      return decisions.items[i];
  ck_abort_msg ("no decision on handle %d", (int)handle);
  return (struct ds_route_decision){ 0 };
}

/* Guards against an older declaration that replaces a newer one or restores a
   removed upstream.  */
START_TEST (older_version_never_replaces_newer)
{
  ck_assert_int_eq (put_spec ("a", 5, DS_UPSTREAM_LEAVING, 4, LOCAL_ZONE), 0);
  ck_assert_int_eq (put_spec ("a", 4, DS_UPSTREAM_ACTIVE, 4, LOCAL_ZONE),
                    DS_ECONFLICT);
  ck_assert_int_eq (submit (request ()).kind, DS_ROUTE_REFUSED);
  ck_assert_int_eq (ds_router_remove_upstream (router, DS_STR ("a"), 7, now),
                    0);
  ck_assert_int_eq (put_spec ("a", 6, DS_UPSTREAM_ACTIVE, 4, LOCAL_ZONE),
                    DS_ECONFLICT);
  ck_assert_int_eq (ds_router_remove_upstream (router, DS_STR ("b"), 7, now),
                    0);
  ck_assert_int_eq (put_spec ("b", 6, DS_UPSTREAM_ACTIVE, 4, LOCAL_ZONE),
                    DS_ECONFLICT);
  ck_assert_int_eq (put_spec ("a", 8, DS_UPSTREAM_ACTIVE, 4, LOCAL_ZONE), 0);
  ck_assert_int_eq (ds_router_remove_upstream (router, DS_STR ("a"), 7, now),
                    DS_ECONFLICT);
  ck_assert_int_eq (upstream_of (submit (request ())), 'a');
}
END_TEST

/* Guards against new or queued requests on an upstream that is leaving or
   removed, and against losing its attempts in flight.  _i: 0 leaving, 1
   removed.  */
START_TEST (leaving_upstream_gets_no_new_attempt)
{
  struct ds_route_decision first;
  struct ds_route_decision queued;

  put_all (1, 1);
  first = start (request ());
  queued = submit (request ());
  ck_assert_int_eq (queued.kind, DS_ROUTE_QUEUED);
  if (_i == 0)
    ck_assert_int_eq (put_spec ("a", 2, DS_UPSTREAM_LEAVING, 1, LOCAL_ZONE),
                      0);
  else
    ck_assert_int_eq (ds_router_remove_upstream (router, DS_STR ("a"), 2, now),
                      0);
  (void)end (first, DS_ATTEMPT_COMPLETE);
  ck_assert_uint_eq (decisions.count, 0);
  ck_assert_uint_eq (tick (50), 0);
  ck_assert_int_eq (submit (request ()).end.reason, DS_ROUTE_NO_UPSTREAM);
}
END_TEST

/* Guards against a choice that considers only some of the upstreams.  */
START_TEST (chooses_the_least_loaded_of_all)
{
  put_all (12, 8);
  for (int round = 0; round < 4; round++)
    {
      unsigned seen = 0;

      for (int i = 0; i < 12; i++)
        seen |= 1U << (upstream_of (submit (request ())) - 'a');
      ck_assert_uint_eq (seen, 0xfff);
    }
}
END_TEST

/* Guards against a choice that ignores different upstream limits.  */
START_TEST (load_is_relative_to_the_limit)
{
  int on_large = 0;

  ck_assert_int_eq (put_spec ("a", 1, DS_UPSTREAM_ACTIVE, 4, LOCAL_ZONE), 0);
  ck_assert_int_eq (put_spec ("b", 1, DS_UPSTREAM_ACTIVE, 16, LOCAL_ZONE), 0);
  now = WARM_MS;
  for (int i = 0; i < 10; i++)
    on_large += upstream_of (submit (request ())) == 'b';
  ck_assert_int_ge (on_large, 7);
  ck_assert_int_le (on_large, 9);
}
END_TEST

/* Guards against a queue in order of arrival.  */
START_TEST (queue_is_served_by_priority_then_deadline)
{
  struct ds_route_request low = request ();
  struct ds_route_request late = request ();
  struct ds_route_request soon = request ();
  struct ds_route_decision running;

  put_all (1, 1);
  running = start (request ());
  low.priority = 4;
  low.deadline_left_ms = 1000;
  soon.deadline_left_ms = 50000;
  (void)submit (low);
  (void)submit (late);
  (void)submit (soon);
  running = end (running, DS_ATTEMPT_COMPLETE);
  ck_assert_uint_eq (running.handle, soon.handle);
  running = end (running, DS_ATTEMPT_COMPLETE);
  ck_assert_uint_eq (running.handle, late.handle);
  running = end (running, DS_ATTEMPT_COMPLETE);
  ck_assert_uint_eq (running.handle, low.handle);
}
END_TEST

/* Guards against an unbounded queue, and against one that requests of low
   priority keep full.  */
START_TEST (full_queue_refuses_or_evicts_a_lower_priority)
{
  struct ds_route_request low;
  struct ds_route_request high;
  uint64_t evicted;

  options.queue_limit = 2;
  recreate_router ();
  put_all (1, 1);
  (void)start (request ());
  (void)submit (request ());
  low = request ();
  evicted = low.handle;
  low.priority = 3;
  (void)submit (low);
  low = request ();
  low.priority = 3;
  ck_assert_int_eq (submit (low).end.reason, DS_ROUTE_OVERLOADED);
  high = request ();
  ck_assert_int_eq (submit (high).kind, DS_ROUTE_QUEUED);
  ck_assert_uint_eq (tick (1), 1);
  ck_assert_int_eq (decisions.items[0].kind, DS_ROUTE_REFUSED);
  ck_assert_int_eq (decisions.items[0].end.reason, DS_ROUTE_OVERLOADED);
  ck_assert_uint_eq (decisions.items[0].handle, evicted);
}
END_TEST

/* Guards against queueing requests that cannot start in time at the observed
   rate, and against waiting past the deadline.  */
START_TEST (deadline_that_cannot_be_met_is_refused_at_once)
{
  struct ds_route_request given;
  struct ds_route_decision decision;

  put_all (1, 1);
  for (int i = 0; i < 10; i++)
    {
      decision = start (request ());
      now += 1000;
      (void)end (decision, DS_ATTEMPT_COMPLETE);
    }
  (void)start (request ());
  given = request ();
  given.deadline_left_ms = 1500;
  ck_assert_int_eq (submit (given).kind, DS_ROUTE_QUEUED);
  given = request ();
  given.deadline_left_ms = 1900;
  decision = submit (given);
  ck_assert_int_eq (decision.kind, DS_ROUTE_REFUSED);
  ck_assert_int_eq (decision.end.reason, DS_ROUTE_DEADLINE);
  ck_assert_uint_eq (decision.end.retry_after_ms, 2000);
  ck_assert_uint_eq (tick (1499), 0);
  ck_assert_uint_eq (tick (1), 1);
  ck_assert_int_eq (decisions.items[0].end.reason, DS_ROUTE_DEADLINE);
  ck_assert_int_eq (decisions.items[0].end.ran, DS_ROUTE_RAN_NO);
}
END_TEST

static const struct
{
  enum ds_attempt_outcome outcome;
  bool repeatable;
  uint64_t relayed;
  bool can_resume;
  bool retried;
  enum ds_route_ran ran;
} retry_cases[] = {
  { DS_ATTEMPT_NOT_SENT, false, 0, false, true, DS_ROUTE_RAN_NO },
  { DS_ATTEMPT_REFUSED, false, 0, false, true, DS_ROUTE_RAN_NO },
  { DS_ATTEMPT_FAILED_BEFORE_FIRST_BYTE, true, 0, false, true, 0 },
  { DS_ATTEMPT_FAILED_BEFORE_FIRST_BYTE, false, 0, false, false,
    DS_ROUTE_RAN_UNKNOWN },
  { DS_ATTEMPT_TIMED_OUT, true, 0, false, true, 0 },
  { DS_ATTEMPT_TIMED_OUT, false, 0, false, false, DS_ROUTE_RAN_UNKNOWN },
  { DS_ATTEMPT_TIMED_OUT, true, 3, false, false, DS_ROUTE_RAN_YES },
  { DS_ATTEMPT_FAILED_MID_RESPONSE, true, 0, false, true, 0 },
  { DS_ATTEMPT_FAILED_MID_RESPONSE, true, 3, false, false, DS_ROUTE_RAN_YES },
  { DS_ATTEMPT_FAILED_MID_RESPONSE, true, 3, true, true, 0 },
  { DS_ATTEMPT_FAILED_MID_RESPONSE, false, 3, true, false, DS_ROUTE_RAN_YES },
};

/* Guards against a second run of a non-repeatable request, a repeated part of
   a response, and a false "did not run".  */
START_TEST (retries_only_what_is_safe_and_reports_whether_it_ran)
{
  struct ds_route_request given = request ();
  struct ds_route_decision attempt;
  struct ds_route_decision next;
  char first;

  put_all (2, 4);
  given.repeatable = retry_cases[_i].repeatable;
  attempt = start (given);
  first = upstream_of (attempt);
  next = end_with (attempt, retry_cases[_i].outcome, retry_cases[_i].relayed,
                   retry_cases[_i].can_resume);
  if (!retry_cases[_i].retried)
    {
      ck_assert_int_eq (next.kind, DS_ROUTE_FAILED);
      ck_assert_int_eq (next.end.ran, retry_cases[_i].ran);
      return;
    }
  ck_assert_int_eq (next.kind, DS_ROUTE_QUEUED);
  ck_assert (next.queued.retry);
  ck_assert_uint_eq (tick (9), 0);
  ck_assert_uint_eq (tick (600), 1);
  ck_assert_int_ne (upstream_of (decisions.items[0]), first);
  ck_assert_uint_eq (decisions.items[0].attempt.resume_from,
                     retry_cases[_i].relayed);
}
END_TEST

/* Guards against a "did not run" that is true for the last attempt only, and
   against a retry on the upstream that failed.  */
START_TEST (ran_covers_all_attempts)
{
  struct ds_route_decision next;

  put_all (2, 4);
  next = start (request ());
  (void)end (next, DS_ATTEMPT_FAILED_BEFORE_FIRST_BYTE);
  ck_assert_uint_eq (tick (600), 1);
  next = end (decisions.items[0], DS_ATTEMPT_NOT_SENT);
  ck_assert_int_eq (next.kind, DS_ROUTE_FAILED);
  ck_assert_int_eq (next.end.ran, DS_ROUTE_RAN_UNKNOWN);
}
END_TEST

/* Guards against a request that is tried on all upstreams.  */
START_TEST (attempts_are_limited)
{
  struct ds_route_decision next;

  put_all (6, 4);
  next = start (request ());
  for (int i = 0; i < 3; i++)
    {
      ck_assert_int_eq (end (next, DS_ATTEMPT_NOT_SENT).kind, DS_ROUTE_QUEUED);
      ck_assert_uint_eq (tick (600), 1);
      next = decisions.items[0];
    }
  ck_assert_int_eq (end (next, DS_ATTEMPT_NOT_SENT).kind, DS_ROUTE_FAILED);
}
END_TEST

/* Guards against retries that multiply the load when all attempts fail.  */
START_TEST (retries_stay_within_the_budget)
{
  int retried = 0;

  options.retry_min_per_s = 0;
  options.failure_threshold = 1000000;
  recreate_router ();
  put_all (12, 100);
  for (int i = 0; i < 300; i++)
    {
      struct ds_route_decision next
          = end (start (request ()), DS_ATTEMPT_NOT_SENT);

      retried += next.kind == DS_ROUTE_QUEUED;
      ck_assert_int_eq (ds_router_cancel (router, next.handle),
                        next.kind == DS_ROUTE_QUEUED ? 0 : DS_ENOTFOUND);
    }
  /* The burst of 10 and a tenth of 300.  */
  ck_assert_int_ge (retried, 38);
  ck_assert_int_le (retried, 40);
}
END_TEST

/* Guards against a router that ignores the requests of other hosts or counts
   those of its own host twice.  */
START_TEST (load_reports_add_the_share_of_others)
{
  options.report_gain = 1;
  recreate_router ();
  put_all (1, 100);
  for (int i = 0; i < 10; i++)
    (void)start (request ());
  ck_assert_int_eq (put_spec ("b", 1, DS_UPSTREAM_ACTIVE, 100, LOCAL_ZONE), 0);
  now += 20000;
  /* All 10 on "a" are from this host; "b" has 15 from others.  */
  ck_assert_int_eq (
      ds_router_report_load (router, DS_STR ("a"), 10, 0, 500, now), 0);
  ck_assert_int_eq (
      ds_router_report_load (router, DS_STR ("b"), 12, 3, 500, now), 0);
  ck_assert_int_eq (
      ds_router_report_load (router, DS_STR ("b"), 0, 0, 900, now), 0);
  for (int i = 0; i < 3; i++)
    ck_assert_int_eq (upstream_of (submit (request ())), 'a');
}
END_TEST

/* Guards against exceeding the limit of an upstream for all hosts, and against
   a new request that overtakes the queue when capacity is reported.  */
START_TEST (reported_load_counts_towards_the_limit)
{
  struct ds_route_request given;

  put_all (1, 10);
  ck_assert_int_eq (ds_router_report_load (router, DS_STR ("a"), 8, 1, 0, now),
                    0);
  (void)start (request ());
  ck_assert_int_eq (submit (request ()).kind, DS_ROUTE_QUEUED);
  ck_assert_int_eq (ds_router_report_load (router, DS_STR ("a"), 5, 0, 0, now),
                    0);
  given = request ();
  given.priority = 4;
  ck_assert_int_eq (submit (given).kind, DS_ROUTE_QUEUED);
  ck_assert_uint_eq (tick (20), 2);
  ck_assert_uint_eq (decisions.items[1].handle, given.handle);
}
END_TEST

/* Guards against an old report with the weight of a new one: 20 requests of
   others count as less than 1 after ten half-lives.  */
START_TEST (old_reports_weigh_less)
{
  options.report_gain = 1;
  recreate_router ();
  put_all (2, 100);
  ck_assert_int_eq (
      ds_router_report_load (router, DS_STR ("a"), 20, 0, 0, now), 0);
  ck_assert_int_eq (ds_router_report_load (router, DS_STR ("b"), 0, 0, 0, now),
                    0);
  ck_assert_int_eq (upstream_of (submit (request ())), 'b');
  now += 20000;
  ck_assert_int_eq (upstream_of (submit (request ())), 'a');
}
END_TEST

static struct ds_route_request
with_prefixes (uint64_t first, uint64_t second)
{
  struct ds_route_request given = request ();

  given.prefix_digests[0] = first;
  given.prefix_digests[1] = second;
  given.prefix_count = 2;
  return given;
}

/* Guards against missing a prefix cache: the longest match is chosen unless
   its upstream is much busier than the others.  */
START_TEST (prefix_affinity_within_a_bound)
{
  char with_long;
  char with_short;
  int busiest = 0;

  put_all (4, 100);
  with_long = upstream_of (submit (with_prefixes (1, 2)));
  ck_assert_int_eq (upstream_of (submit (with_prefixes (1, 2))), with_long);
  /* The first half of the prompt alone does not count.  */
  with_short = upstream_of (submit (with_prefixes (1, 3)));
  ck_assert_int_ne (with_short, with_long);
  for (int i = 0; i < 8; i++)
    (void)start (request ());
  ck_assert_int_eq (upstream_of (submit (with_prefixes (1, 2))), with_long);
  ck_assert_int_eq (upstream_of (submit (with_prefixes (1, 3))), with_short);
  for (int i = 0; i < 20; i++)
    busiest += upstream_of (submit (with_prefixes (1, 2))) == with_long;
  ck_assert_int_le (busiest, 8);
}
END_TEST

/* Guards against needless traffic to other zones, and against overloading the
   zone of the host.  */
START_TEST (own_zone_is_preferred_on_near_ties)
{
  ck_assert_int_eq (put_spec ("a", 1, DS_UPSTREAM_ACTIVE, 10, REMOTE_ZONE), 0);
  ck_assert_int_eq (put_spec ("b", 1, DS_UPSTREAM_ACTIVE, 10, LOCAL_ZONE), 0);
  ck_assert_int_eq (put_spec ("c", 1, DS_UPSTREAM_ACTIVE, 10, REMOTE_ZONE), 0);
  now = WARM_MS;
  ck_assert_int_eq (upstream_of (submit (request ())), 'b');
  ck_assert_int_ne (upstream_of (submit (request ())), 'b');
  ck_assert_int_ne (upstream_of (submit (request ())), 'b');
  ck_assert_int_eq (upstream_of (submit (request ())), 'b');
}
END_TEST

static int
count_on_new (void)
{
  int on_new = 0;

  for (int i = 0; i < 30; i++)
    {
      struct ds_route_decision decision = start (request ());

      on_new += upstream_of (decision) == 'c';
    }
  return on_new;
}

/* Guards against a new upstream that gets a full share at once.  */
START_TEST (new_upstream_gets_a_growing_share)
{
  int early;

  put_all (2, 100);
  ck_assert_int_eq (put_spec ("c", 1, DS_UPSTREAM_ACTIVE, 100, LOCAL_ZONE), 0);
  now += 1000;
  early = count_on_new ();
  ck_assert_int_ge (early, 1);
  ck_assert_int_le (early, 3);
  now += 9000;
  ck_assert_int_ge (count_on_new (), 15);
}
END_TEST

/* Fails three requests that cannot be retried, which pauses the upstream.  */
static void
pause_only_upstream (enum ds_attempt_outcome outcome)
{
  for (int i = 0; i < 3; i++)
    {
      struct ds_route_request given = request ();

      given.repeatable = false;
      (void)end (start (given), outcome);
    }
}

/* Guards against a failed upstream that stays in use, gets more than one probe
   or a non-repeatable one, or recovers without slow start.  */
START_TEST (consecutive_failures_pause_until_one_probe_succeeds)
{
  struct ds_route_request fixed = request ();
  struct ds_route_request given = request ();
  struct ds_route_decision probe;
  json_t *dump;

  put_all (1, 10);
  pause_only_upstream (DS_ATTEMPT_FAILED_BEFORE_FIRST_BYTE);
  ck_assert_int_eq (submit (given).kind, DS_ROUTE_QUEUED);
  ck_assert_uint_eq (tick (499), 0);
  ck_assert_int_eq (ds_router_cancel (router, given.handle), 0);
  now += 1100;
  fixed.repeatable = false;
  ck_assert_int_eq (submit (fixed).kind, DS_ROUTE_QUEUED);
  probe = start (request ());
  ck_assert_int_eq (submit (request ()).kind, DS_ROUTE_QUEUED);
  /* A failed probe starts a longer pause.  */
  (void)end (probe, DS_ATTEMPT_TIMED_OUT);
  ck_assert_uint_eq (tick (999), 0);
  ck_assert_uint_eq (tick (2100), 1);
  probe = decisions.items[0];
  ck_assert_int_eq (
      ds_router_record_first_byte (router, probe.attempt.attempt, now), 0);
  dump = ds_router_dump (router, now);
  ck_assert_str_eq (
      json_string_value (json_object_get (
          json_array_get (json_object_get (dump, "upstreams"), 0), "state")),
      "slow_start");
  json_decref (dump);
  ck_assert_uint_ge (tick (1), 1);
}
END_TEST

/* Guards against an offering without repeatable requests that never recovers
   its upstream.  */
START_TEST (probe_without_repeatable_requests)
{
  struct ds_route_request given;

  put_all (1, 10);
  pause_only_upstream (DS_ATTEMPT_NOT_SENT);
  given = request ();
  given.repeatable = false;
  ck_assert_int_eq (submit (given).kind, DS_ROUTE_QUEUED);
  ck_assert_uint_eq (tick (2000), 0);
  ck_assert_uint_eq (tick (10000), 1);
  ck_assert_int_eq (decisions.items[0].kind, DS_ROUTE_ATTEMPT);
}
END_TEST

/* Guards against one request that always fails and thereby pauses an
   upstream.  */
START_TEST (one_failing_request_does_not_pause_an_upstream)
{
  put_all (1, 10);
  for (int i = 0; i < 10; i++)
    {
      struct ds_route_request given = request ();

      given.body_digest = 5;
      (void)end (start (given), DS_ATTEMPT_TIMED_OUT);
      tick (600);
    }
  ck_assert_int_eq (submit (request ()).kind, DS_ROUTE_ATTEMPT);
}
END_TEST

/* Guards against further requests to an upstream that responds with 503.  */
START_TEST (refusing_upstream_is_skipped_for_a_while)
{
  put_all (2, 100);
  for (int i = 0; i < 2; i++)
    {
      struct ds_route_decision attempt = start (request ());

      if (upstream_of (attempt) == 'a')
        (void)end (attempt, DS_ATTEMPT_REFUSED);
    }
  for (int i = 0; i < 10; i++)
    ck_assert_int_eq (upstream_of (submit (request ())), 'b');
  now += 1000;
  ck_assert_int_eq (upstream_of (submit (request ())), 'a');
}
END_TEST

#define POISON 666

static struct ds_route_decision
start_digest (uint64_t digest)
{
  struct ds_route_request given = request ();

  given.body_digest = digest;
  return start (given);
}

static bool
is_refused (uint64_t digest)
{
  struct ds_route_request given = request ();
  struct ds_route_decision decision;

  given.body_digest = digest;
  decision = submit (given);
  return decision.kind == DS_ROUTE_REFUSED
         && decision.end.reason == DS_ROUTE_POISONOUS;
}

/* Upstream "a" crashes with POISON and three other requests in flight; their
   retries are queued.  */
static void
crash_first_upstream (void)
{
  struct ds_route_decision running[4];

  options.failure_threshold = 1000000;
  recreate_router ();
  put_all (1, 8);
  for (uint64_t i = 0; i < 4; i++)
    running[i] = start_digest (i == 2 ? POISON : i + 1);
  for (int i = 1; i < 8; i++)
    {
      char name[2] = { (char)('a' + i), '\0' };

      ck_assert_int_eq (put_spec (name, 1, DS_UPSTREAM_ACTIVE, 8, LOCAL_ZONE),
                        0);
    }
  now += 20000;
  for (int i = 0; i < 4; i++)
    ck_assert_int_eq (
        end (running[i], DS_ATTEMPT_FAILED_BEFORE_FIRST_BYTE).kind,
        DS_ROUTE_QUEUED);
}

/* Guards against refusing requests that were in flight beside the one that
   crashes upstreams, and against missing that one: each suspect runs again on
   a separate upstream, and the second crash identifies it.  */
START_TEST (second_crash_identifies_only_the_poisonous_request)
{
  struct ds_route_decision poison = { 0 };
  unsigned seen = 0;
  char other = '\0';
  json_t *dump;

  crash_first_upstream ();
  ck_assert_uint_eq (tick (600), 4);
  for (size_t i = 0; i < 4; i++)
    {
      unsigned bit = 1U << (upstream_of (decisions.items[i]) - 'a');

      ck_assert_uint_eq (seen & bit, 0);
      seen |= bit;
      if (decisions.items[i].handle == 3)
        poison = decisions.items[i];
    }
  /* New requests run beside the suspects.  */
  for (uint64_t i = 0; i < 16; i++)
    {
      struct ds_route_decision fresh = start_digest (100 + i);

      if (upstream_of (fresh) == upstream_of (poison))
        {
          other = upstream_of (fresh);
          (void)end (fresh, DS_ATTEMPT_FAILED_MID_RESPONSE);
        }
    }
  ck_assert_int_eq (other, upstream_of (poison));
  (void)end (poison, DS_ATTEMPT_FAILED_BEFORE_FIRST_BYTE);
  (void)tick (REPORT_WAIT_MS);
  ck_assert (is_refused (POISON));
  ck_assert_int_eq (decision_on (3).kind, DS_ROUTE_FAILED);
  ck_assert_int_eq (decision_on (3).end.reason, DS_ROUTE_POISONOUS);
  ck_assert_int_eq (decision_on (3).end.ran, DS_ROUTE_RAN_UNKNOWN);
  for (uint64_t digest = 1; digest < 200; digest++)
    ck_assert (!is_refused (digest));
  dump = ds_router_dump (router, now);
  ck_assert_int_eq (json_integer_value (json_object_get (
                        json_object_get (dump, "crashes"), "suspects")),
                    0);
  json_decref (dump);
}
END_TEST

/* Guards against suspects that share an upstream if there is no other: the
   second one waits.  */
START_TEST (suspects_never_share_an_upstream)
{
  struct ds_route_decision running[2];

  put_all (1, 8);
  running[0] = start_digest (1);
  running[1] = start_digest (2);
  ck_assert_int_eq (put_spec ("b", 1, DS_UPSTREAM_ACTIVE, 8, LOCAL_ZONE), 0);
  now += 20000;
  for (int i = 0; i < 2; i++)
    (void)end (running[i], DS_ATTEMPT_FAILED_BEFORE_FIRST_BYTE);
  ck_assert_uint_eq (tick (600), 1);
  ck_assert_uint_eq (tick (600), 0);
  running[0] = start_digest (3);
  ck_assert_int_eq (upstream_of (running[0]), 'a');
}
END_TEST

/* Guards against treating a single lost connection as a crash while other
   connections continue.  */
START_TEST (upstream_that_keeps_connections_has_not_crashed)
{
  for (int round = 0; round < 2; round++)
    {
      struct ds_route_decision bad;
      struct ds_route_decision good;

      recreate_router ();
      put_all (1, 8);
      bad = start_digest (POISON);
      good = start_digest (2);
      (void)end (bad, DS_ATTEMPT_FAILED_MID_RESPONSE);
      if (round == 0)
        now += 1000;
      (void)end (good, round == 0 ? DS_ATTEMPT_FAILED_MID_RESPONSE
                                  : DS_ATTEMPT_COMPLETE);
      ck_assert_int_eq (
          ds_router_add_crash_report (
              router,
              &(struct ds_crash_report){ .upstream = 99,
                                         .digests = (uint64_t[]){ POISON },
                                         .digest_count = 1 },
              now),
          0);
      (void)tick (REPORT_WAIT_MS);
      ck_assert (!is_refused (POISON));
    }
}
END_TEST

/* Guards against a retry that starts while it is unknown whether its upstream
   crashed, and hence which requests are suspects.  */
START_TEST (retry_waits_until_a_crash_is_ruled_out)
{
  struct ds_route_decision attempt;

  put_all (1, 8);
  attempt = start (request ());
  (void)start (request ());
  ck_assert_int_eq (put_spec ("b", 1, DS_UPSTREAM_ACTIVE, 8, LOCAL_ZONE), 0);
  (void)end (attempt, DS_ATTEMPT_FAILED_BEFORE_FIRST_BYTE);
  ck_assert_uint_eq (tick (100), 0);
  ck_assert_uint_eq (tick (150), 1);
}
END_TEST

/* Guards against treating a planned stop of an upstream as a crash.  */
START_TEST (leaving_upstream_does_not_count_as_crashed)
{
  struct ds_route_decision attempt;
  struct ds_crash_report *reports;
  size_t count;

  put_all (2, 8);
  attempt = start (request ());
  ck_assert_int_eq (put_spec (upstream_of (attempt) == 'a' ? "a" : "b", 2,
                              DS_UPSTREAM_LEAVING, 8, LOCAL_ZONE),
                    0);
  (void)end (attempt, DS_ATTEMPT_FAILED_MID_RESPONSE);
  ck_assert_int_eq (
      ds_router_take_crash_reports (router, &reports, &count, router), 0);
  ck_assert_uint_eq (count, 0);
}
END_TEST

/* Guards against refusing a request that completed between two crashes.  */
START_TEST (completion_clears_a_suspect)
{
  struct ds_route_decision attempt;

  put_all (3, 8);
  attempt = start_digest (POISON);
  (void)end (attempt, DS_ATTEMPT_FAILED_BEFORE_FIRST_BYTE);
  ck_assert_uint_eq (tick (REPORT_WAIT_MS), 1);
  (void)end (decisions.items[0], DS_ATTEMPT_COMPLETE);
  attempt = start_digest (POISON);
  (void)end (attempt, DS_ATTEMPT_FAILED_BEFORE_FIRST_BYTE);
  (void)tick (REPORT_WAIT_MS);
  ck_assert (!is_refused (POISON));
}
END_TEST

/* Sends all crash reports of FROM to TO and returns their number.  */
static size_t
relay_reports (struct ds_router *from, struct ds_router *to)
{
  struct ds_crash_report *reports;
  size_t count;

  ck_assert_int_eq (
      ds_router_take_crash_reports (from, &reports, &count, from), 0);
  for (size_t i = 0; i < count; i++)
    ck_assert_int_eq (ds_router_add_crash_report (to, &reports[i], now), 0);
  return count;
}

/* Guards against hosts that each need two local crashes.  */
START_TEST (two_crashes_in_the_fleet_suffice)
{
  struct ds_router *other = NULL;
  struct ds_router *mine;

  put_all (3, 8);
  (void)end (start_digest (POISON), DS_ATTEMPT_FAILED_BEFORE_FIRST_BYTE);
  mine = router;
  router = NULL;
  recreate_router ();
  other = router;
  ck_assert_int_eq (put_spec ("x", 1, DS_UPSTREAM_ACTIVE, 8, LOCAL_ZONE), 0);
  now = WARM_MS;
  ck_assert_uint_eq (relay_reports (mine, other), 1);
  (void)end (start_digest (POISON), DS_ATTEMPT_FAILED_BEFORE_FIRST_BYTE);
  (void)tick (REPORT_WAIT_MS);
  ck_assert (is_refused (POISON));
  ck_assert_uint_eq (relay_reports (other, mine), 2);
  router = mine;
  ck_assert (is_refused (POISON));
  ds_router_free (other);
}
END_TEST

/* Guards against counting two reports of one crash as two crashes.  */
START_TEST (one_crash_seen_by_two_hosts_counts_once)
{
  struct ds_crash_report report = { .upstream = 5,
                                    .digests = (uint64_t[]){ POISON },
                                    .digest_count = 1 };

  put_all (3, 8);
  for (int i = 0; i < 2; i++)
    {
      ck_assert_int_eq (ds_router_add_crash_report (router, &report, now), 0);
      (void)tick (REPORT_WAIT_MS);
    }
  ck_assert (!is_refused (POISON));
}
END_TEST

/* Guards against a host that blames its own suspect for a crash caused by a
   suspect of another host on the same upstream: the report of the other host
   arrives before the decision.  */
START_TEST (suspects_of_two_hosts_on_one_upstream_are_not_marked_poisonous)
{
  struct ds_route_decision attempt;
  uint64_t both[] = { 1, POISON };
  uint64_t poisonous_digest = POISON;
  struct ds_crash_report first
      = { .upstream = 5, .digests = both, .digest_count = 2 };
  struct ds_crash_report second
      = { .digests = &poisonous_digest, .digest_count = 1 };

  put_all (1, 8);
  second.upstream = ds_str_hash (DS_STR ("a"), 0);
  ck_assert_int_eq (ds_router_add_crash_report (router, &first, now), 0);
  attempt = start_digest (1);
  (void)end (attempt, DS_ATTEMPT_FAILED_BEFORE_FIRST_BYTE);
  now += 500;
  ck_assert_int_eq (ds_router_add_crash_report (router, &second, now), 0);
  (void)tick (REPORT_WAIT_MS);
  ck_assert (!is_refused (1));
  ck_assert (!is_refused (POISON));
}
END_TEST

/* Reports crashes of another host, given as pairs of upstream and digest,
   where pairs with the same upstream are one crash.  Waits until they are
   decided.  */
static void
report_crashes (const uint64_t (*pairs)[2], size_t count)
{
  for (size_t i = 0; i < count; i++)
    ck_assert_int_eq (ds_router_add_crash_report (
                          router,
                          &(struct ds_crash_report){ .upstream = pairs[i][0],
                                                     .digests = &pairs[i][1],
                                                     .digest_count = 1 },
                          now),
                      0);
  (void)tick (REPORT_WAIT_MS);
}

/* Guards against two suspects that cannot be distinguished because both are in
   the same crashes.  */
START_TEST (digest_present_at_most_crashes_is_marked_poisonous)
{
  const uint64_t first[][2] = { { 5, POISON }, { 5, 1 }, { 8, 2 } };
  const uint64_t second[][2] = { { 6, POISON }, { 6, 1 } };
  const uint64_t third[][2] = { { 7, POISON }, { 7, 2 } };

  put_all (3, 8);
  report_crashes (first, 3);
  report_crashes (second, 2);
  ck_assert (!is_refused (POISON));
  report_crashes (third, 2);
  ck_assert (is_refused (POISON));
  ck_assert (!is_refused (1));
  ck_assert (!is_refused (2));
}
END_TEST

/* Guards against blaming a suspect for a second crash whose cause is already
   known, or on an upstream that another suspect may have crashed before.  */
START_TEST (known_poisonous_digest_or_tied_suspect_clears_the_others)
{
  const uint64_t first[][2] = { { 4, POISON }, { 5, 1 }, { 6, 2 } };
  const uint64_t same[][2] = { { 6, 2 }, { 6, 1 } };
  const uint64_t known[][2] = { { 7, 2 }, { 7, POISON } };
  uint64_t poisonous_digest = POISON;

  put_all (3, 8);
  report_crashes (first, 3);
  report_crashes (same, 2);
  ck_assert (!is_refused (1));
  ck_assert_int_eq (
      ds_router_add_crash_report (
          router,
          &(struct ds_crash_report){ .poisonous = true,
                                     .digests = &poisonous_digest,
                                     .digest_count = 1 },
          now),
      0);
  report_crashes (known, 2);
  ck_assert (!is_refused (2));
}
END_TEST

/* Guards against blaming a request because one upstream crashes
   repeatedly.  */
START_TEST (crashes_of_the_same_upstream_count_once)
{
  const uint64_t same[][2] = { { 5, 1 } };
  const uint64_t other[][2] = { { 6, POISON } };
  const uint64_t both[][2] = { { 7, 1 }, { 7, POISON } };

  put_all (3, 8);
  report_crashes (same, 1);
  report_crashes (same, 1);
  report_crashes (other, 1);
  report_crashes (both, 2);
  ck_assert (!is_refused (1));
}
END_TEST

/* Guards against a suspect that crashes several upstreams concurrently.  */
START_TEST (suspect_runs_once_at_a_time)
{
  const uint64_t first[][2] = { { 5, 1 } };
  struct ds_route_request given;
  struct ds_route_decision running;

  put_all (3, 8);
  report_crashes (first, 1);
  running = start_digest (1);
  given = request ();
  given.body_digest = 1;
  ck_assert_int_eq (submit (given).kind, DS_ROUTE_QUEUED);
  (void)end (running, DS_ATTEMPT_COMPLETE);
  ck_assert_int_eq (decision_on (given.handle).kind, DS_ROUTE_ATTEMPT);
}
END_TEST

/* Guards against a suspect that crashes a third upstream while the second
   crash is being decided.  */
START_TEST (suspect_waits_until_its_second_crash_is_decided)
{
  struct ds_route_request given = request ();

  put_all (3, 8);
  (void)end (start_digest (POISON), DS_ATTEMPT_FAILED_BEFORE_FIRST_BYTE);
  ck_assert_uint_eq (tick (600), 1);
  (void)end (decisions.items[0], DS_ATTEMPT_FAILED_BEFORE_FIRST_BYTE);
  given.body_digest = POISON;
  ck_assert_int_eq (submit (given).kind, DS_ROUTE_QUEUED);
  ck_assert_uint_eq (tick (600), 0);
  ck_assert_uint_eq (tick (600), 2);
  ck_assert_int_eq (decisions.items[0].end.reason, DS_ROUTE_POISONOUS);
}
END_TEST

/* Guards against handles and attempts that are confused or not released.  */
START_TEST (unknown_and_repeated_handles_are_rejected)
{
  struct ds_route_request given = request ();
  struct ds_route_decision decision;

  put_all (1, 8);
  decision = start (given);
  ck_assert_int_eq (ds_router_submit (router, &given, now, &decision),
                    DS_EDUPLICATE);
  ck_assert_int_eq (ds_router_cancel (router, given.handle), DS_ECONFLICT);
  (void)end (decision, DS_ATTEMPT_CANCELLED);
  ck_assert_uint_eq (decisions.count, 0);
  ck_assert_int_eq (
      ds_router_end_attempt (
          router,
          &(struct ds_attempt_end){ .attempt = decision.attempt.attempt }, now,
          &decisions),
      DS_ENOTFOUND);
  ck_assert_int_eq (submit (given).kind, DS_ROUTE_ATTEMPT);
}
END_TEST

#define MODEL_UPSTREAMS 4
#define MODEL_HANDLES 4000
#define MODEL_LIMIT 3

/* Expected state of a request in the random test.  */
struct model
{
  bool repeatable;
  bool unfinished;
  bool may_have_run;
  uint64_t attempt;
  char upstream;
};

static struct model model[MODEL_HANDLES];
static bool model_active[MODEL_UPSTREAMS];
static int model_running[MODEL_UPSTREAMS];
static uint64_t model_seed;

static uint64_t
draw (uint64_t below)
{
  model_seed = model_seed * 6364136223846793005U + 1442695040888963407U;
  return (model_seed >> 33) % below;
}

static void
model_apply (struct ds_route_decision decision)
{
  struct model *known = &model[decision.handle];

  switch (decision.kind)
    {
    case DS_ROUTE_ATTEMPT:
      ck_assert (known->unfinished && known->attempt == 0);
      ck_assert (known->repeatable || !known->may_have_run);
      known->attempt = decision.attempt.attempt;
      known->upstream = upstream_of (decision);
      ck_assert (model_active[known->upstream - 'a']);
      ck_assert_int_le (++model_running[known->upstream - 'a'], MODEL_LIMIT);
      break;
    case DS_ROUTE_QUEUED:
      ck_assert (known->unfinished && known->attempt == 0);
      break;
    case DS_ROUTE_REFUSED:
    case DS_ROUTE_FAILED:
      ck_assert (known->unfinished && known->attempt == 0);
      ck_assert (!known->may_have_run || decision.end.ran != DS_ROUTE_RAN_NO);
      known->unfinished = false;
      break;
    }
}

static void
model_end (uint64_t handle, enum ds_attempt_outcome outcome)
{
  struct model *known = &model[handle];
  struct ds_route_decision attempt = { .handle = handle };

  attempt.attempt.attempt = known->attempt;
  known->attempt = 0;
  model_running[known->upstream - 'a']--;
  known->may_have_run
      |= outcome != DS_ATTEMPT_NOT_SENT && outcome != DS_ATTEMPT_REFUSED;
  if (outcome == DS_ATTEMPT_COMPLETE || outcome == DS_ATTEMPT_CANCELLED)
    known->unfinished = false;
  (void)end (attempt, outcome);
  for (size_t i = 0; i < decisions.count; i++)
    model_apply (decisions.items[i]);
}

static void
model_tick (uint64_t ms)
{
  (void)tick (ms);
  for (size_t i = 0; i < decisions.count; i++)
    model_apply (decisions.items[i]);
}

static void
model_submit (void)
{
  struct ds_route_request given = request ();

  given.priority = (uint32_t)draw (10);
  given.deadline_left_ms = 1 + draw (3000);
  given.body_digest = draw (30);
  given.repeatable = draw (2) == 0;
  model[given.handle]
      = (struct model){ .repeatable = given.repeatable, .unfinished = true };
  model_apply (submit (given));
}

static void
model_change_upstream (uint64_t version)
{
  size_t chosen = draw (MODEL_UPSTREAMS);
  char name[2] = { (char)('a' + chosen), '\0' };

  model_active[chosen] = draw (3) > 0;
  if (!model_active[chosen] && draw (2) == 0)
    ck_assert_int_eq (
        ds_router_remove_upstream (router, ds_str_from_c (name), version, now),
        0);
  else
    ck_assert_int_eq (put_spec (name, version,
                                model_active[chosen] ? DS_UPSTREAM_ACTIVE
                                                     : DS_UPSTREAM_LEAVING,
                                MODEL_LIMIT, LOCAL_ZONE),
                      0);
}

/* Guards, over random sequences, against a second run of a non-repeatable
   request, a false "did not run", an attempt on an inactive or full upstream,
   and a request that ends twice or never.  */
START_TEST (random_sequences_keep_the_invariants)
{
  uint64_t oldest = 1;

  model_seed = (uint64_t)_i + 1;
  memset (model, 0, sizeof model);
  memset (model_running, 0, sizeof model_running);
  options.queue_limit = 8;
  recreate_router ();
  put_all (MODEL_UPSTREAMS, MODEL_LIMIT);
  for (int i = 0; i < MODEL_UPSTREAMS; i++)
    model_active[i] = true;
  for (uint64_t step = 2; step < 6000; step++)
    {
      uint64_t handle = oldest + draw (next_handle - oldest + 1);

      if (draw (2) == 0 && next_handle < MODEL_HANDLES - 1)
        model_submit ();
      else if (handle < next_handle && model[handle].attempt != 0)
        model_end (handle, (enum ds_attempt_outcome)draw (7));
      else if (draw (40) == 0)
        model_change_upstream (step);
      else
        model_tick (draw (60));
      while (oldest < next_handle && !model[oldest].unfinished)
        oldest++;
    }
  for (uint64_t handle = 1; handle < next_handle; handle++)
    if (model[handle].attempt != 0)
      model_end (handle, DS_ATTEMPT_CANCELLED);
  model_tick (60000);
  for (uint64_t handle = 1; handle < next_handle; handle++)
    {
      if (model[handle].attempt != 0)
        model_end (handle, DS_ATTEMPT_CANCELLED);
      ck_assert (!model[handle].unfinished);
    }
}
END_TEST

/* The tests and their number of runs, counted by _i.  */
static const struct
{
  const TTest **test;
  int times;
} tests[] = {
  { &older_version_never_replaces_newer, 1 },
  { &leaving_upstream_gets_no_new_attempt, 2 },
  { &chooses_the_least_loaded_of_all, 1 },
  { &load_is_relative_to_the_limit, 1 },
  { &queue_is_served_by_priority_then_deadline, 1 },
  { &full_queue_refuses_or_evicts_a_lower_priority, 1 },
  { &deadline_that_cannot_be_met_is_refused_at_once, 1 },
  { &retries_only_what_is_safe_and_reports_whether_it_ran,
    sizeof retry_cases / sizeof *retry_cases },
  { &ran_covers_all_attempts, 1 },
  { &attempts_are_limited, 1 },
  { &retries_stay_within_the_budget, 1 },
  { &load_reports_add_the_share_of_others, 1 },
  { &reported_load_counts_towards_the_limit, 1 },
  { &old_reports_weigh_less, 1 },
  { &prefix_affinity_within_a_bound, 1 },
  { &own_zone_is_preferred_on_near_ties, 1 },
  { &new_upstream_gets_a_growing_share, 1 },
  { &consecutive_failures_pause_until_one_probe_succeeds, 1 },
  { &probe_without_repeatable_requests, 1 },
  { &one_failing_request_does_not_pause_an_upstream, 1 },
  { &refusing_upstream_is_skipped_for_a_while, 1 },
  { &second_crash_identifies_only_the_poisonous_request, 1 },
  { &suspects_never_share_an_upstream, 1 },
  { &upstream_that_keeps_connections_has_not_crashed, 1 },
  { &retry_waits_until_a_crash_is_ruled_out, 1 },
  { &leaving_upstream_does_not_count_as_crashed, 1 },
  { &completion_clears_a_suspect, 1 },
  { &two_crashes_in_the_fleet_suffice, 1 },
  { &one_crash_seen_by_two_hosts_counts_once, 1 },
  { &suspects_of_two_hosts_on_one_upstream_are_not_marked_poisonous, 1 },
  { &digest_present_at_most_crashes_is_marked_poisonous, 1 },
  { &known_poisonous_digest_or_tied_suspect_clears_the_others, 1 },
  { &crashes_of_the_same_upstream_count_once, 1 },
  { &suspect_runs_once_at_a_time, 1 },
  { &suspect_waits_until_its_second_crash_is_decided, 1 },
  { &unknown_and_repeated_handles_are_rejected, 1 },
  { &random_sequences_keep_the_invariants, 20 },
};

int
main (void)
{
  Suite *suite = suite_create ("router");
  TCase *test_case = tcase_create ("router");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  for (size_t i = 0; i < sizeof tests / sizeof *tests; i++)
    tcase_add_loop_test (test_case, *tests[i].test, 0, tests[i].times);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
