#include "core/placement.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

/* Replays of the load of a small service: hosts that each see a part of the
   requests choose among replicas whose engines behave as the page
   docs/design/load-and-recovery.md says.  */

#define STEP_MS 10
#define REPORT_MS 200
#define GAPS_MS 500
#define PROMPT_TOKENS 3700
#define EVENTS 100
#define SLOTS 64
#define HOSTS_MAX 60
#define REPLICAS_MAX 6
#define ACTIVE_MAX 4096
#define DRAWS 4

/* Time of one event of an engine of speed 1 that runs N requests: four steps,
   which each request lengthens.  */
#define EVENT_MS(n) (4 * (6.45 + 0.0967 * (n)))

struct active
{
  int host;
  int replica;
  uint64_t tokens;
  uint64_t ahead;
  double sent_ms;
  double first_ms;
  double events;
  bool begun;
  bool used;
};

struct replay
{
  int hosts;
  int replicas;
  double speed[REPLICAS_MAX];
  uint64_t per_second; /* requests */
  uint64_t until_ms;
  int slow_replica; /* its speed halves at SLOW_MS; -1 for none */
  uint64_t slow_ms;
  uint32_t seed;
  int wrong_host; /* reports the greatest speed and no limit; -1 for none */
  bool learning;
};

struct outcome
{
  double late;    /* share of requests whose first event took over 400 ms */
  double mean_ms; /* to the first event */
  double speed[REPLICAS_MAX]; /* as host 0 estimates it */
  double share[REPLICAS_MAX]; /* of requests in the second half */
  uint64_t noticed_ms; /* that host 0 takes the slow one for slower by a third
                          than before */
};

static TALLOC_CTX *owner;
static struct ds_replica_set *sets[HOSTS_MAX];
static struct active active[ACTIVE_MAX];

static struct ds_replica *
replica_at (int host, int replica)
{
  return ds_replica_set_at (sets[host], (size_t)replica);
}

static void
set_up_replay (const struct replay *replay)
{
  const struct ds_capacity_options options
      = { .min_samples = 8, .report_ttl_ms = 5000 };

  owner = talloc_new (NULL);
  for (int h = 0; h < replay->hosts; h++)
    {
      ck_assert_int_eq (ds_replica_set_new (&sets[h], owner), 0);
      if (replay->learning)
        ds_replica_set_learn_capacity (sets[h], &options);
      for (int r = 0; r < replay->replicas; r++)
        {
          char id[8];
          struct ds_replica_record record = {
            .id = { .data = id },
            .start_time_ms = 5,
            .service = DS_STR ("models"),
            .address = DS_STR ("10.0.0.1:80"),
            .zone = DS_STR ("z"),
            .slots = SLOTS,
          };

          record.id.length = (size_t)snprintf (id, sizeof id, "m%d", r);
          ck_assert_int_eq (ds_replica_set_put (sets[h], &record), 0);
        }
    }
  for (int i = 0; i < ACTIVE_MAX; i++)
    active[i].used = false;
}

/* Exchanges loads and reports, as datagrams do.  */
static void
exchange_reports (const struct replay *replay, uint64_t now_ms)
{
  for (int r = 0; r < replay->replicas; r++)
    {
      struct ds_replica_load sum = { .running = 0 };

      for (int h = 0; h < replay->hosts; h++)
        {
          const struct ds_replica *replica = replica_at (h, r);
          struct ds_capacity_report report;

          sum.running += replica->local_load.running;
          sum.prefill_tokens += replica->local_load.prefill_tokens;
          if (!replay->learning)
            continue;
          if (h == replay->wrong_host)
            report = (struct ds_capacity_report){
              .speed = 1000, .stretch = 100, .gap_ms = 1000, .samples = 1e9
            };
          else if (!ds_replica_capacity_take_report (replica->capacity,
                                                     DS_CAPACITY_OWN, false,
                                                     &report, now_ms))
            continue;
          for (int to = 0; to < replay->hosts; to++)
            if (to != h)
              ds_replica_capacity_receive (
                  replica_at (to, r)->capacity,
                  (struct ds_capacity_source){ .id = (uint32_t)h }, &report,
                  now_ms);
        }
      for (int h = 0; h < replay->hosts; h++)
        {
          struct ds_replica *replica = replica_at (h, r);

          replica->remote_load.running
              = sum.running - replica->local_load.running;
          replica->remote_load.prefill_tokens
              = sum.prefill_tokens - replica->local_load.prefill_tokens;
        }
    }
}

/* One engine of the replay.  */
struct engine
{
  double speed;
  double free_ms; /* when all prompts are prefilled */
  uint32_t running;
};

static void
send_request (const struct replay *replay, struct engine *engines,
              uint32_t draw, uint64_t now_ms, struct outcome *out)
{
  struct ds_placement_request request = {
    .service = DS_STR ("models"),
    .zone = DS_STR ("z"),
    .prompt_tokens = PROMPT_TOKENS,
    .target_latency_ms = 800,
    .draw = (uint64_t)draw + 1,
  };
  int host = (int)((draw >> 16) % (uint32_t)replay->hosts);
  struct ds_placement placement
      = ds_placement_choose (sets[host], &request, now_ms);
  struct ds_replica *replica = placement.replica;
  struct engine *engine;
  struct active *a = NULL;

  ck_assert_int_eq (placement.status, DS_PLACEMENT_OK);
  for (int i = 0; i < ACTIVE_MAX && a == NULL; i++)
    if (!active[i].used)
      a = &active[i];
  ck_assert_ptr_nonnull (a);
  *a = (struct active){ .host = host,
                        .used = true,
                        .sent_ms = (double)now_ms,
                        .tokens = PROMPT_TOKENS };
  while (replica_at (host, a->replica) != replica)
    a->replica++;
  a->ahead = replica->local_load.prefill_tokens
             + replica->remote_load.prefill_tokens;
  replica->local_load.running++;
  replica->local_load.prefill_tokens += a->tokens;
  if (replay->learning)
    ds_replica_capacity_record_sent (
        replica->capacity,
        replica->local_load.running + replica->remote_load.running, now_ms);
  engine = &engines[a->replica];
  engine->running++;
  if (engine->free_ms < a->sent_ms)
    engine->free_ms = a->sent_ms;
  engine->free_ms += PROMPT_TOKENS / (50 * engine->speed)
                     * EVENT_MS (engine->running) / EVENT_MS (0);
  a->first_ms = engine->free_ms + 2;
  if (now_ms >= replay->until_ms / 2)
    out->share[a->replica] += 1;
}

/* Advances the request A by one step.  */
static void
advance (const struct replay *replay, struct engine *engines, struct active *a,
         uint64_t now_ms)
{
  struct ds_replica *replica = replica_at (a->host, a->replica);
  struct engine *engine = &engines[a->replica];
  double gap_ms = EVENT_MS (engine->running) / engine->speed;

  if (!a->begun && a->first_ms <= (double)now_ms)
    {
      struct ds_capacity_first_event event = {
        .tokens = a->tokens,
        .ahead_tokens = a->ahead,
        .took_ms = (uint64_t)(a->first_ms - a->sent_ms),
      };

      a->begun = true;
      replica->local_load.prefill_tokens -= a->tokens;
      if (replay->learning)
        ds_replica_capacity_record_first_event (replica->capacity, &event,
                                                now_ms);
      else
        ds_placement_record_first_event (replica, a->first_ms - a->sent_ms,
                                         (double)(a->ahead + a->tokens) / 50);
    }
  if (!a->begun)
    return;
  a->events += STEP_MS / gap_ms;
  if (replay->learning && now_ms % GAPS_MS == 0)
    ds_replica_capacity_record_gaps (replica->capacity,
                                     (uint64_t)(GAPS_MS / gap_ms),
                                     (uint64_t)GAPS_MS, now_ms);
  if (a->events < EVENTS)
    return;
  a->used = false;
  replica->local_load.running--;
  engine->running--;
  if (replay->learning)
    ds_replica_capacity_record_end (replica->capacity, now_ms);
}

/* Returns the speed of REPLICA as host 0 estimates it.  */
static double
speed_at (int replica, uint64_t now_ms)
{
  return ds_replica_capacity_estimate (replica_at (0, replica)->capacity,
                                       now_ms)
      .speed;
}

static void
note_slow (const struct replay *replay, struct outcome *out, double before,
           uint64_t now_ms)
{
  if (replay->slow_replica < 0 || !replay->learning || now_ms < replay->slow_ms
      || out->noticed_ms > 0)
    return;
  if (speed_at (replay->slow_replica, now_ms) < before / 1.5)
    out->noticed_ms = now_ms - replay->slow_ms;
}

static struct outcome
run (const struct replay *replay)
{
  struct engine engines[REPLICAS_MAX] = { { .speed = 0 } };
  struct outcome out = { .late = 0 };
  uint64_t due = 0; /* requests in units of a thousandth */
  double before = 1;
  double served = 0;
  uint32_t draw = replay->seed;

  set_up_replay (replay);
  for (int r = 0; r < replay->replicas; r++)
    engines[r].speed = replay->speed[r];
  for (uint64_t now_ms = STEP_MS; now_ms <= replay->until_ms;
       now_ms += STEP_MS)
    {
      if (replay->slow_replica >= 0 && now_ms == replay->slow_ms)
        {
          if (replay->learning)
            before
                = ds_replica_capacity_estimate (
                      replica_at (0, replay->slow_replica)->capacity, now_ms)
                      .speed;
          engines[replay->slow_replica].speed /= 2;
        }
      due += replay->per_second * STEP_MS;
      for (; due >= 1000; due -= 1000)
        {
          draw = draw * 1664525 + 1013904223;
          send_request (replay, engines, draw, now_ms, &out);
        }
      for (int i = 0; i < ACTIVE_MAX; i++)
        {
          bool begun = active[i].begun;

          if (!active[i].used)
            continue;
          advance (replay, engines, &active[i], now_ms);
          if (begun || !active[i].begun || now_ms < replay->until_ms / 2)
            continue;
          served += 1;
          out.mean_ms += active[i].first_ms - active[i].sent_ms;
          out.late += active[i].first_ms - active[i].sent_ms > 400;
        }
      if (now_ms % REPORT_MS == 0)
        exchange_reports (replay, now_ms);
      note_slow (replay, &out, before, now_ms);
    }
  out.mean_ms /= served;
  out.late /= served;
  for (int r = 0; r < replay->replicas && replay->learning; r++)
    out.speed[r] = speed_at (r, replay->until_ms);
  talloc_free (owner);
  return out;
}

/* The load of 60 hosts, each of which sees a sixtieth of it.  */
static const struct replay unequal = {
  .hosts = 60,
  .replicas = 3,
  .speed = { 0.6, 1.0, 1.6 },
  .per_second = 20,
  .until_ms = 40000,
  .slow_replica = -1,
  .wrong_host = -1,
};

/* Runs REPLAY with several draws and returns the means.  */
static struct outcome
run_draws (struct replay replay)
{
  struct outcome sum = { .late = 0 };

  for (uint32_t draws = 1; draws <= DRAWS; draws++)
    {
      struct outcome one;

      replay.seed = draws * 7919;
      one = run (&replay);
      sum.late += one.late / DRAWS;
      sum.mean_ms += one.mean_ms / DRAWS;
      if (one.noticed_ms > sum.noticed_ms)
        sum.noticed_ms = one.noticed_ms;
      for (int r = 0; r < replay.replicas; r++)
        {
          sum.speed[r] += one.speed[r] / DRAWS;
          sum.share[r] += one.share[r] / DRAWS;
        }
    }
  return sum;
}

/* Runs REPLAY with learning and without it.  */
static void
compare (struct replay replay, struct outcome *learned, struct outcome *plain)
{
  replay.learning = false;
  *plain = run_draws (replay);
  replay.learning = true;
  *learned = run_draws (replay);
}

/* Guards against equal shares for replicas of unequal speed: without learning,
   a tenth of the requests get their first event after 400 ms, with it hardly
   any.  */
START_TEST (unequal_replicas_get_unequal_shares)
{
  struct outcome learned;
  struct outcome plain;

  compare (unequal, &learned, &plain);
  ck_assert_double_gt (plain.late, 0.05);
  ck_assert_double_lt (learned.late, 0.01);
  ck_assert_double_lt (learned.mean_ms, 0.8 * plain.mean_ms);
  ck_assert_double_lt (1.3 * learned.speed[0], learned.speed[1]);
  ck_assert_double_lt (1.3 * learned.speed[1], learned.speed[2]);
  ck_assert_double_lt (2 * learned.share[0], learned.share[2]);
}
END_TEST

/* Guards against an estimate that needs the reports of others.  */
START_TEST (a_single_host_finds_the_speeds)
{
  struct replay replay = unequal;
  struct outcome learned;

  replay.hosts = 1;
  replay.per_second = 16;
  replay.learning = true;
  learned = run_draws (replay);
  for (int r = 0; r < replay.replicas; r++)
    {
      ck_assert_double_gt (learned.speed[r], 0.8 * replay.speed[r]);
      ck_assert_double_lt (learned.speed[r], 1.25 * replay.speed[r]);
    }
}
END_TEST

/* Guards against requests that keep following the speed of before: a replica
   whose speed halves is noticed within five seconds, by all of 60 hosts and by
   a single one, and fewer requests are late than without learning.  */
START_TEST (a_replica_that_becomes_slow_is_noticed)
{
  static const int hosts[] = { 1, 60 };
  struct replay replay = unequal;
  struct outcome learned;
  struct outcome plain;

  for (int r = 0; r < 3; r++)
    replay.speed[r] = 1;
  replay.per_second = 14;
  replay.slow_replica = 1;
  replay.slow_ms = 18000;
  replay.hosts = hosts[_i];
  compare (replay, &learned, &plain);
  ck_assert_uint_gt (learned.noticed_ms, 0);
  ck_assert_uint_le (learned.noticed_ms, 5000);
  ck_assert_double_le (learned.late, plain.late);
  ck_assert_double_lt (learned.mean_ms, plain.mean_ms);
  ck_assert_double_lt (learned.share[1], 0.8 * plain.share[1]);
}
END_TEST

/* Guards against one host that claims absurd figures with a billion samples
   and moves the requests of the others.  */
START_TEST (a_wrong_report_has_little_effect)
{
  struct replay replay = unequal;
  struct outcome right;
  struct outcome wrong;

  replay.per_second = 16;
  replay.learning = true;
  right = run_draws (replay);
  replay.wrong_host = 7;
  wrong = run_draws (replay);
  for (int r = 0; r < replay.replicas; r++)
    {
      ck_assert_double_lt (wrong.speed[r], 1.25 * right.speed[r]);
      ck_assert_double_gt (wrong.speed[r], 0.8 * right.speed[r]);
    }
  ck_assert_double_lt (wrong.mean_ms, 1.1 * right.mean_ms);
}
END_TEST

static struct ds_replica_capacity *
new_capacity (void)
{
  const struct ds_capacity_options options
      = { .min_samples = 8, .report_ttl_ms = 5000 };
  struct ds_replica_capacity *capacity;

  ck_assert_int_eq (ds_replica_capacity_new (&capacity, NULL, &options, SLOTS),
                    0);
  return capacity;
}

/* Ten requests of one host run until UNTIL_MS, with RUNNING of all hosts, and
   events that take GAP_MS.  */
static void
feed_gaps (struct ds_replica_capacity *capacity, uint64_t *now_ms,
           uint64_t until_ms, uint64_t gap_ms, uint32_t running)
{
  for (; *now_ms < until_ms; *now_ms += 500)
    {
      ds_replica_capacity_record_sent (capacity, running, *now_ms);
      for (int i = 0; i < 10; i++)
        ds_replica_capacity_record_gaps (capacity, 500 / gap_ms, 500, *now_ms);
    }
}

/* Guards against requests piled on a replica whose steps have become three
   times as long: its limit falls within seconds, not to nothing, and comes
   back once it is fast again.  */
START_TEST (the_limit_follows_the_gaps)
{
  struct ds_replica_capacity *capacity = new_capacity ();
  uint64_t now_ms = 1000;
  uint32_t low;

  feed_gaps (capacity, &now_ms, 10000, 25, 40);
  ck_assert_uint_eq (ds_replica_capacity_room (capacity, 40, now_ms), 24);
  feed_gaps (capacity, &now_ms, 15000, 80, 40);
  low = ds_replica_capacity_estimate (capacity, now_ms).limit;
  ck_assert_uint_lt (low, 40);
  ck_assert_uint_ge (low, 20);
  ck_assert_uint_eq (ds_replica_capacity_room (capacity, 40, now_ms), 0);
  feed_gaps (capacity, &now_ms, 30000, 25, low);
  ck_assert_uint_gt (ds_replica_capacity_estimate (capacity, now_ms).limit,
                     low);
  talloc_free (capacity);
}
END_TEST

/* Guards against a limit that falls without end while all replicas are at
   their limits and requests exceed them, and then keeps requests from a
   replica that could run more.  */
START_TEST (a_limit_that_is_exceeded_does_not_fall_further)
{
  struct ds_replica_capacity *capacity = new_capacity ();
  uint64_t now_ms = 1000;

  feed_gaps (capacity, &now_ms, 10000, 25, 40);
  feed_gaps (capacity, &now_ms, 60000, 80, 40);
  ck_assert_uint_ge (ds_replica_capacity_estimate (capacity, now_ms).limit,
                     20);
  talloc_free (capacity);
}
END_TEST

/* Guards against further requests for a replica that rejects them for lack of
   room, and against a limit for one that rejects them for another reason.  */
START_TEST (a_rejection_sets_the_limit)
{
  struct ds_replica_capacity *capacity = new_capacity ();

  ds_replica_capacity_record_rejection (capacity, 3, 1000);
  ck_assert_uint_eq (ds_replica_capacity_room (capacity, 3, 1000), SLOTS - 3);
  ds_replica_capacity_record_rejection (capacity, 30, 1000);
  ck_assert_uint_eq (ds_replica_capacity_room (capacity, 27, 1000), 0);
  ck_assert_uint_eq (ds_replica_capacity_room (capacity, 20, 1000), 7);
  talloc_free (capacity);
}
END_TEST

/* Guards against estimates that outlast their reports, and against reports
   that are repeated without news.  */
START_TEST (reports_are_told_once_and_expire)
{
  struct ds_replica_capacity *capacity = new_capacity ();
  struct ds_replica_capacity *other = new_capacity ();
  const struct ds_capacity_first_event event
      = { .tokens = 5000, .took_ms = 210 };
  struct ds_capacity_report report;

  for (int i = 0; i < 16; i++)
    ds_replica_capacity_record_first_event (capacity, &event, 1000);
  ck_assert (ds_replica_capacity_take_report (capacity, DS_CAPACITY_OWN, false,
                                              &report, 1100));
  ck_assert (!ds_replica_capacity_take_report (capacity, DS_CAPACITY_OWN,
                                               false, &report, 1200));
  ds_replica_capacity_receive (other, (struct ds_capacity_source){ .id = 1 },
                               &report, 1200);
  ck_assert_double_lt (ds_replica_capacity_estimate (other, 1300).speed, 0.7);
  ck_assert_double_eq_tol (ds_replica_capacity_estimate (other, 7000).speed, 1,
                           0.001);
  talloc_free (capacity);
  talloc_free (other);
}
END_TEST

/* Guards against figures that relays of two zones return to each other for
   good.  */
START_TEST (relayed_reports_are_not_passed_to_other_zones)
{
  struct ds_replica_capacity *capacity = new_capacity ();
  struct ds_capacity_report report
      = { .speed = 0.5, .stretch = 1, .gap_ms = 50, .samples = 9 };

  ds_replica_capacity_receive (
      capacity, (struct ds_capacity_source){ .id = 1, .relayed = true },
      &report, 1000);
  ck_assert (!ds_replica_capacity_take_report (capacity, DS_CAPACITY_ZONE,
                                               false, &report, 1100));
  ck_assert (ds_replica_capacity_take_report (capacity, DS_CAPACITY_FLEET,
                                              false, &report, 1100));
  ck_assert_double_eq_tol (report.speed, 0.5, 0.01);
  talloc_free (capacity);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("replica_capacity");
  TCase *test_case = tcase_create ("replica_capacity");
  SRunner *runner;
  int failed;

  tcase_set_timeout (test_case, 60);
  tcase_add_test (test_case, unequal_replicas_get_unequal_shares);
  tcase_add_test (test_case, a_single_host_finds_the_speeds);
  tcase_add_loop_test (test_case, a_replica_that_becomes_slow_is_noticed, 0,
                       2);
  tcase_add_test (test_case, a_wrong_report_has_little_effect);
  tcase_add_test (test_case, the_limit_follows_the_gaps);
  tcase_add_test (test_case, a_limit_that_is_exceeded_does_not_fall_further);
  tcase_add_test (test_case, a_rejection_sets_the_limit);
  tcase_add_test (test_case, reports_are_told_once_and_expire);
  tcase_add_test (test_case, relayed_reports_are_not_passed_to_other_zones);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
