#include "daisystep/error.h"
#include "daisystep/router.h"

#include <check.h>
#include <stdlib.h>

/* The hosts share the upstreams.  A request with the digest POISON crashes the
   upstream it runs on, and callers repeat it.  Times in ms.  */
#define HOSTS 4
#define UPSTREAMS 6
#define CALLS 4000
#define STEP_MS 10
#define RUN_MS 20000
#define CRASH_AFTER_MS 150
#define RESTART_MS 500
#define REPORT_INTERVAL_MS 100
#define POISON 666

struct call
{
  struct ds_route_request route;
  int host;
  uint64_t attempt;
  int upstream;
  uint64_t ends_ms;
};

static struct ds_router *hosts[HOSTS];
static struct call calls[CALLS];
static size_t call_count;
static uint64_t down_until[UPSTREAMS];
static uint64_t now;
static uint64_t seed;
static int crashes;
static int others_refused;
static int poison_refused;
static struct ds_route_decisions decisions;

static uint64_t
draw (uint64_t below)
{
  seed = seed * 6364136223846793005U + 1442695040888963407U;
  return (seed >> 33) % below;
}

static void
apply_decision (struct ds_route_decision decision)
{
  struct call *call = &calls[decision.handle];

  if (decision.kind == DS_ROUTE_ATTEMPT)
    {
      call->attempt = decision.attempt.attempt;
      call->upstream = decision.attempt.upstream.data[0] - 'a';
      call->ends_ms
          = now
            + (call->route.body_digest == POISON ? CRASH_AFTER_MS
                                                 : 100 + draw (1500));
    }
  else if (decision.kind != DS_ROUTE_QUEUED
           && decision.end.reason == DS_ROUTE_POISONOUS)
    {
      others_refused += call->route.body_digest != POISON;
      poison_refused += call->route.body_digest == POISON;
    }
}

static void
apply_decisions (void)
{
  for (size_t i = 0; i < decisions.count; i++)
    apply_decision (decisions.items[i]);
  ds_route_decisions_clear (&decisions);
}

static void
end (struct call *call, enum ds_attempt_outcome outcome)
{
  struct ds_attempt_end ended
      = { .attempt = call->attempt, .outcome = outcome };

  call->attempt = 0;
  ck_assert_int_eq (
      ds_router_end_attempt (hosts[call->host], &ended, now, &decisions), 0);
}

static void
crash (int upstream)
{
  crashes++;
  down_until[upstream] = now + RESTART_MS;
  for (size_t i = 0; i < call_count; i++)
    if (calls[i].attempt != 0 && calls[i].upstream == upstream)
      end (&calls[i], DS_ATTEMPT_FAILED_BEFORE_FIRST_BYTE);
}

static void
submit (uint64_t digest)
{
  struct call *call = &calls[call_count];
  struct ds_route_decision decision;

  *call = (struct call){
    .route = {
        .handle = call_count++,
        .offering = DS_STR ("model"),
        .priority = 5,
        .deadline_left_ms = 5000,
        .body_digest = digest,
        .repeatable = true,
    },
    .host = (int)draw (HOSTS),
  };
  ck_assert_int_eq (
      ds_router_submit (hosts[call->host], &call->route, now, &decision), 0);
  apply_decision (decision);
}

static void
run_upstreams (void)
{
  for (size_t i = 0; i < call_count; i++)
    {
      struct call *call = &calls[i];

      if (call->attempt == 0)
        continue;
      if (now < down_until[call->upstream])
        end (call, DS_ATTEMPT_NOT_SENT);
      else if (now < call->ends_ms)
        continue;
      else if (call->route.body_digest == POISON)
        crash (call->upstream);
      else
        end (call, DS_ATTEMPT_COMPLETE);
    }
  apply_decisions ();
}

static void
exchange_reports (void)
{
  for (int i = 0; i < HOSTS; i++)
    {
      struct ds_crash_report *reports;
      size_t count;

      ck_assert_int_eq (
          ds_router_take_crash_reports (hosts[i], &reports, &count, NULL), 0);
      for (size_t j = 0; j < count; j++)
        for (int k = 0; k < HOSTS; k++)
          if (k != i)
            ck_assert_int_eq (
                ds_router_add_crash_report (hosts[k], &reports[j], now), 0);
      talloc_free (reports);
    }
}

static void
create_hosts (void)
{
  struct ds_router_options options = DS_ROUTER_OPTIONS_DEFAULT;
  struct ds_str offering = DS_STR ("model");

  for (int i = 0; i < HOSTS; i++)
    {
      options.random_seed = seed * HOSTS + (uint64_t)i;
      ck_assert_int_eq (ds_router_new (&hosts[i], NULL, &options), 0);
      for (int j = 0; j < UPSTREAMS; j++)
        {
          char name = (char)('a' + j);

          ck_assert_int_eq (ds_router_put_upstream (
                                hosts[i],
                                &(struct ds_upstream_spec){
                                    .name = { .data = &name, .length = 1 },
                                    .address = DS_STR ("127.0.0.1:1"),
                                    .zone = DS_STR ("kelheim"),
                                    .offerings = &offering,
                                    .offering_count = 1,
                                    .max_in_flight = 32,
                                    .version = 1 },
                                0),
                            0);
        }
    }
}

/* At 10 and 50 calls per second.  Guards against refusing digests that only
   ran beside the one that crashes upstreams, also on other hosts, and against
   continuing crashes.  */
START_TEST (fleet_finds_the_digest_that_crashes_upstreams)
{
  seed = (uint64_t)_i + 1;
  create_hosts ();
  ck_assert_int_eq (ds_route_decisions_init (&decisions, NULL), 0);
  for (now = 10000; now < 10000 + RUN_MS; now += STEP_MS)
    {
      if (draw (_i % 2 == 0 ? 10 : 2) == 0)
        submit (1000 + draw (500));
      if (now % 500 == 0)
        submit (POISON);
      run_upstreams ();
      for (int i = 0; i < HOSTS; i++)
        ck_assert_int_eq (ds_router_tick (hosts[i], now, &decisions), 0);
      apply_decisions ();
      if (now % REPORT_INTERVAL_MS == 0)
        exchange_reports ();
    }
  ck_assert_int_eq (others_refused, 0);
  ck_assert_int_ge (poison_refused, 10);
  ck_assert_int_le (crashes, 6);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("crash_fleet");
  TCase *test_case = tcase_create ("crash_fleet");
  SRunner *runner;
  int failed;

  tcase_add_loop_test (test_case,
                       fleet_finds_the_digest_that_crashes_upstreams, 0, 40);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
