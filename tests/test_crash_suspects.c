#include "core/crash_suspects.h"

#include "daisystep/error.h"

#include <check.h>
#include <stdlib.h>

/* Time after which all hosts must act on what one of them has seen:
   "contact_ms" of the users' platform.  */
#define CONTACT_MS 3000
/* Sends beyond the fifth crash and CONTACT_MS that the users' pages allow.  */
#define LATE_SENDS_MAX 3
#define CRASHES_BEFORE_BOUND 5

static TALLOC_CTX *owner;

static void
set_up (void)
{
  owner = talloc_new (NULL);
}

static void
tear_down (void)
{
  talloc_free (owner);
}

static struct ds_crash_suspects *
new_table (uint32_t host)
{
  struct ds_crash_suspects *table;

  ck_assert_int_eq (ds_crash_suspects_new (&table, owner, host), 0);
  return table;
}

static struct ds_suspect_key
part (uint64_t id)
{
  return (struct ds_suspect_key){ .kind = DS_SUSPECT_PART, .hash = id };
}

static bool
is_blocked (const struct ds_crash_suspects *table, struct ds_suspect_key key,
            uint64_t now_ms)
{
  return ds_crash_suspects_wait_ms (table, &key, 1, now_ms) > 0;
}

/* Sends all that TABLE reports to OTHER.  */
static void
exchange (struct ds_crash_suspects *table, struct ds_crash_suspects *other,
          uint64_t now_ms)
{
  struct ds_suspect_report reports[64];
  size_t count = ds_crash_suspects_take_reports (table, reports, 64, now_ms);

  for (size_t i = 0; i < count; i++)
    (void)ds_crash_suspects_merge (other, &reports[i], now_ms);
}

/* A request crashes every engine it runs on and is repeated.  It is refused
   after the third crash; requests that were in flight at one crash are
   not.  */
START_TEST (a_crashing_request_is_refused_after_three_crashes)
{
  struct ds_crash_suspects *table = new_table (1);
  struct ds_suspect_key request = { .kind = DS_SUSPECT_REQUEST, .hash = 99 };
  struct ds_suspect_key beside = { .kind = DS_SUSPECT_REQUEST, .hash = 1001 };
  struct ds_suspect_report reports[8];
  size_t count;
  size_t crashes = 0;

  for (uint64_t crash = 1; crash <= 3; crash++)
    {
      ck_assert (!is_blocked (table, request, 10));
      (void)ds_crash_suspects_record (table, request, crash, 10, 10);
      (void)ds_crash_suspects_record (table, request, crash, 10, 10);
      beside.hash = 1000 + crash;
      (void)ds_crash_suspects_record (table, beside, crash, 10, 10);
    }
  ck_assert (is_blocked (table, request, 10));
  beside.hash = 1001;
  ck_assert (!is_blocked (table, beside, 10));
  ck_assert (!is_blocked (table, request, 10000000));
  count = ds_crash_suspects_take_reports (table, reports, 8, 10);
  for (size_t i = 0; i < count; i++)
    crashes += reports[i].crash_count;
  ck_assert_uint_eq (crashes, 6);
}
END_TEST

/* A fleet before engines.  Requests have a part that all share, one of a few
   that some share, and one of their own; a few have a harmful part instead of
   the second one, and crash their engine as its answer begins.  */
#define HOSTS_MAX 40
#define ENGINES 9
#define IN_FLIGHT_MAX 400
#define STEP_MS 10
#define GOSSIP_MS 200
#define DAY_MS 34000
#define BACK_MS 3200
#define BEGIN_MS 300
#define BEYOND_CRASH_MS 60
#define ANSWER_MS 1500
#define COMMON_PART 7
#define HARMFUL_PART 666

struct request
{
  bool used;
  bool harmful;
  bool beyond_crash;
  size_t host;
  size_t engine;
  size_t attempts;
  struct ds_suspect_key parts[2];
  uint64_t sent_ms;
};

struct fleet
{
  struct ds_crash_suspects *hosts[HOSTS_MAX];
  size_t host_count;
  struct request requests[IN_FLIGHT_MAX];
  uint64_t incarnations[ENGINES];
  uint64_t down_until[ENGINES];
  uint64_t now_ms;
  uint64_t random;
  unsigned loss_percent; /* of reports between hosts */
  uint64_t bound_ms; /* time of the fifth crash, or of the last before it */
  int crashes;
  int late_sends; /* harmful ones, later than CONTACT_MS after BOUND_MS */
  int sound_sent; /* later than twice CONTACT_MS after BOUND_MS */
  int sound_refused;
};

static uint64_t
draw (struct fleet *fleet, uint64_t below)
{
  fleet->random = fleet->random * 6364136223846793005U + 1442695040888963407U;
  return (fleet->random >> 33) % below;
}

static void
send_request (struct fleet *fleet, struct request *request)
{
  struct ds_crash_suspects *host = fleet->hosts[request->host];
  bool late = fleet->crashes >= CRASHES_BEFORE_BOUND
              && fleet->now_ms > fleet->bound_ms + CONTACT_MS;
  bool settled
      = fleet->crashes > 0
        && fleet->now_ms > fleet->bound_ms + UINT64_C (2) * CONTACT_MS;
  size_t engine = draw (fleet, ENGINES);

  if (ds_crash_suspects_wait_ms (host, request->parts, 2, fleet->now_ms) > 0)
    {
      fleet->sound_refused += settled && !request->harmful;
      request->used = false;
      return;
    }
  while (fleet->down_until[engine] > fleet->now_ms)
    engine = (engine + 1) % ENGINES;
  ds_crash_suspects_note_sent (host, request->parts, 2, fleet->now_ms);
  fleet->sound_sent += settled && !request->harmful;
  fleet->late_sends += late && request->harmful;
  request->engine = engine;
  request->sent_ms = fleet->now_ms;
  request->beyond_crash = false;
  request->attempts++;
}

static void
crash_engine (struct fleet *fleet, size_t engine)
{
  fleet->crashes++;
  if (fleet->crashes <= CRASHES_BEFORE_BOUND)
    {
      fleet->bound_ms = fleet->now_ms;
      fleet->sound_sent = 0;
      fleet->sound_refused = 0;
    }
  fleet->down_until[engine] = fleet->now_ms + BACK_MS;
  for (size_t i = 0; i < IN_FLIGHT_MAX; i++)
    {
      struct request *request = &fleet->requests[i];

      if (!request->used || request->engine != engine)
        continue;
      for (int k = 0; k < 2 && !request->beyond_crash; k++)
        (void)ds_crash_suspects_record (
            fleet->hosts[request->host], request->parts[k],
            fleet->incarnations[engine], fleet->now_ms, fleet->now_ms);
      if (request->attempts < 2)
        send_request (fleet, request);
      else
        request->used = false;
    }
  fleet->incarnations[engine] += ENGINES;
}

static void
advance_request (struct fleet *fleet, struct request *request)
{
  uint64_t age_ms = fleet->now_ms - request->sent_ms;

  if (request->harmful && age_ms >= BEGIN_MS)
    {
      crash_engine (fleet, request->engine);
      return;
    }
  if (age_ms >= BEGIN_MS + BEYOND_CRASH_MS && !request->beyond_crash)
    {
      request->beyond_crash = true;
      for (int k = 0; k < 2; k++)
        (void)ds_crash_suspects_clear (
            fleet->hosts[request->host], request->parts[k],
            request->sent_ms + BEGIN_MS, fleet->now_ms);
    }
  if (age_ms >= ANSWER_MS)
    request->used = false;
}

static void
arrive (struct fleet *fleet, bool harmful)
{
  struct request *request = NULL;

  for (size_t i = 0; i < IN_FLIGHT_MAX && request == NULL; i++)
    if (!fleet->requests[i].used)
      request = &fleet->requests[i];
  ck_assert_ptr_nonnull (request);
  *request = (struct request){
    .used = true,
    .harmful = harmful,
    .host = draw (fleet, fleet->host_count),
    .parts = { part (COMMON_PART),
               part (harmful ? HARMFUL_PART : 100 + draw (fleet, 20)) },
  };
  send_request (fleet, request);
}

static void
gossip (struct fleet *fleet)
{
  for (size_t i = 0; i < fleet->host_count; i++)
    {
      struct ds_suspect_report reports[24];
      size_t count = ds_crash_suspects_take_reports (fleet->hosts[i], reports,
                                                     24, fleet->now_ms);

      for (size_t k = 0; k < fleet->host_count; k++)
        if (k != i && draw (fleet, 100) >= fleet->loss_percent)
          for (size_t j = 0; j < count; j++)
            (void)ds_crash_suspects_merge (fleet->hosts[k], &reports[j],
                                           fleet->now_ms);
    }
}

static void
run_day (struct fleet *fleet)
{
  for (size_t i = 0; i < fleet->host_count; i++)
    fleet->hosts[i] = new_table ((uint32_t)i + 1);
  for (size_t i = 0; i < ENGINES; i++)
    fleet->incarnations[i] = i + 1;
  for (fleet->now_ms = 1000; fleet->now_ms < DAY_MS; fleet->now_ms += STEP_MS)
    {
      if (draw (fleet, 5) == 0)
        arrive (fleet, false);
      if (fleet->now_ms > 5000 && draw (fleet, 100) < 2)
        arrive (fleet, true);
      for (size_t i = 0; i < IN_FLIGHT_MAX; i++)
        if (fleet->requests[i].used)
          advance_request (fleet, &fleet->requests[i]);
      if (fleet->now_ms % GOSSIP_MS == 0)
        gossip (fleet);
    }
}

/* At 1, 8 and 40 hosts, with up to a fifth of the reports lost.  Guards
   against counts that never add up, since no two requests with the part are
   alike and each comes at another host; against hosts that go on sending it
   after the others know; and against refusing sound requests that share
   another part.  */
START_TEST (a_harmful_part_is_found_though_no_two_requests_are_alike)
{
  static const size_t sizes[] = { 1, 8, HOSTS_MAX };
  struct fleet *fleet = talloc_zero (owner, struct fleet);

  fleet->host_count = sizes[_i % 3];
  fleet->random = (uint64_t)_i + 1;
  fleet->loss_percent = _i % 2 == 0 ? 0 : 20;
  run_day (fleet);
  ck_assert_int_ge (fleet->crashes, 3);
  ck_assert_int_le (fleet->late_sends, LATE_SENDS_MAX);
  for (size_t i = 0; i < fleet->host_count; i++)
    {
      struct ds_suspect_key common = part (COMMON_PART);

      ck_assert_uint_eq (
          ds_crash_suspects_wait_ms (fleet->hosts[i], &common, 1, DAY_MS), 0);
    }
  /* Half as often as without the harmful part: less than as many refused.  */
  ck_assert_int_lt (fleet->sound_refused, fleet->sound_sent);
}
END_TEST

static void
crash_three_times (struct ds_crash_suspects *table, uint64_t key,
                   uint64_t from_ms)
{
  for (uint64_t i = 0; i < 3; i++)
    (void)ds_crash_suspects_record (table, part (key), i + 1,
                                    from_ms + i * 500, from_ms + i * 500);
}

/* Guards against a part that is refused for ever because of crashes with
   another cause, and against many requests at once as soon as one may be
   tried.  */
START_TEST (a_suspicion_expires_after_a_trial)
{
  struct ds_crash_suspects *table = new_table (1);
  struct ds_suspect_key key = part (5);
  uint64_t wait_ms;
  uint64_t now_ms = 2000;

  crash_three_times (table, 5, 1000);
  wait_ms = ds_crash_suspects_wait_ms (table, &key, 1, now_ms);
  ck_assert_uint_gt (wait_ms, CONTACT_MS);
  ck_assert_uint_lt (wait_ms, 60000);
  now_ms += wait_ms;
  ck_assert_uint_eq (ds_crash_suspects_wait_ms (table, &key, 1, now_ms), 0);
  ds_crash_suspects_note_sent (table, &key, 1, now_ms);
  ck_assert_uint_gt (ds_crash_suspects_wait_ms (table, &key, 1, now_ms + 1),
                     0);
  ck_assert_int_eq (
      ds_crash_suspects_clear (table, key, now_ms + 300, now_ms + 400),
      DS_SUSPECT_CLEARED);
  ck_assert_uint_eq (ds_crash_suspects_wait_ms (table, &key, 1, now_ms + 400),
                     0);
}
END_TEST

/* Guards against a trial that crashes a replica every few seconds.  */
START_TEST (a_trial_that_crashes_a_replica_lengthens_the_block)
{
  struct ds_crash_suspects *table = new_table (1);
  struct ds_suspect_key key = part (5);
  uint64_t now_ms = 2000;
  uint64_t before_ms = 0;

  crash_three_times (table, 5, 1000);
  for (uint64_t trial = 0; trial < 2; trial++)
    {
      uint64_t wait_ms = ds_crash_suspects_wait_ms (table, &key, 1, now_ms);

      ck_assert_uint_gt (wait_ms, before_ms);
      before_ms = wait_ms;
      now_ms += wait_ms;
      ds_crash_suspects_note_sent (table, &key, 1, now_ms);
      now_ms += 500;
      (void)ds_crash_suspects_record (table, key, 10 + trial, now_ms, now_ms);
    }
  ck_assert_uint_gt (ds_crash_suspects_wait_ms (table, &key, 1, now_ms),
                     before_ms);
}
END_TEST

/* Guards against refusing all requests with a sound part that was only seen
   beside a harmful one: a request with the sound one alone tells them
   apart.  */
START_TEST (a_sound_part_seen_only_beside_the_harmful_one_is_tried_soon)
{
  struct ds_crash_suspects *table = new_table (1);
  struct ds_suspect_key both[] = { part (COMMON_PART), part (HARMFUL_PART) };
  struct ds_suspect_key sound[] = { part (COMMON_PART), part (101) };
  uint64_t now_ms = 2000 + CONTACT_MS;

  crash_three_times (table, COMMON_PART, 1000);
  crash_three_times (table, HARMFUL_PART, 1000);
  ck_assert_uint_gt (ds_crash_suspects_wait_ms (table, both, 2, now_ms), 0);
  ck_assert_uint_eq (ds_crash_suspects_wait_ms (table, sound, 2, now_ms), 0);
  ds_crash_suspects_note_sent (table, sound, 2, now_ms);
  ck_assert_uint_gt (ds_crash_suspects_wait_ms (table, sound, 2, now_ms), 0);
  for (int i = 0; i < 2; i++)
    (void)ds_crash_suspects_clear (table, sound[i], now_ms + 300,
                                   now_ms + 400);
  ck_assert_uint_eq (ds_crash_suspects_wait_ms (table, sound, 2, now_ms + 400),
                     0);
  ck_assert_uint_gt (ds_crash_suspects_wait_ms (table, both, 2, now_ms + 400),
                     0);
}
END_TEST

/* Guards against one host whose network or reports are wrong and that makes
   all others refuse a sound part.  */
START_TEST (crashes_that_one_host_alone_reports_block_nobody_else)
{
  struct ds_crash_suspects *wrong = new_table (1);
  struct ds_crash_suspects *other = new_table (2);
  struct ds_suspect_key key = part (5);

  crash_three_times (wrong, 5, 1000);
  exchange (wrong, other, 2100);
  ck_assert_uint_gt (ds_crash_suspects_wait_ms (wrong, &key, 1, 2100), 0);
  ck_assert_uint_eq (ds_crash_suspects_wait_ms (other, &key, 1, 2100), 0);
  /* Its own first crash confirms the others.  */
  (void)ds_crash_suspects_record (other, key, 50, 2200, 2200);
  ck_assert_uint_gt (ds_crash_suspects_wait_ms (other, &key, 1, 2200), 0);
}
END_TEST

/* Guards against a report from before a success that blocks the part again
   when another host repeats it.  */
START_TEST (an_echo_of_old_crashes_does_not_undo_a_success)
{
  struct ds_crash_suspects *first = new_table (1);
  struct ds_crash_suspects *second = new_table (2);
  struct ds_suspect_report echo;
  struct ds_suspect_key key = part (5);

  crash_three_times (first, 5, 1000);
  ck_assert_uint_eq (ds_crash_suspects_take_reports (first, &echo, 1, 2100),
                     1);
  (void)ds_crash_suspects_clear (first, key, 2200, 2300);
  (void)ds_crash_suspects_merge (first, &echo, 2400);
  (void)ds_crash_suspects_merge (first, &echo, 4000);
  ck_assert_uint_eq (ds_crash_suspects_wait_ms (first, &key, 1, 4000), 0);
  exchange (first, second, 2400);
  (void)ds_crash_suspects_record (second, key, 60, 2500, 2500);
  ck_assert_uint_eq (ds_crash_suspects_crashes (second, key), 1);
}
END_TEST

/* Guards against a host that has just started and sends the part that all
   others refuse.  */
START_TEST (a_host_that_starts_later_learns_what_is_blocked)
{
  struct ds_crash_suspects *first = new_table (1);
  struct ds_crash_suspects *second = new_table (2);
  struct ds_crash_suspects *late = new_table (3);
  struct ds_suspect_key key = part (5);

  (void)ds_crash_suspects_record (first, key, 1, 1000, 1000);
  (void)ds_crash_suspects_record (first, key, 2, 1500, 1500);
  exchange (first, second, 1600);
  (void)ds_crash_suspects_record (second, key, 3, 2000, 2000);
  exchange (second, late, 9000);
  ck_assert_uint_gt (ds_crash_suspects_wait_ms (late, &key, 1, 9000), 0);
}
END_TEST

/* Guards against refusing a popular part because a rack of replicas failed, or
   all connections of a host were reset, while requests with it began.  */
START_TEST (replicas_that_fail_together_count_as_one_crash)
{
  struct ds_crash_suspects *table = new_table (1);
  struct ds_suspect_key key = part (5);

  for (uint64_t i = 0; i < 6; i++)
    (void)ds_crash_suspects_record (table, key, i + 1, 1000 + i * 10,
                                    1000 + i * 10);
  ck_assert_uint_eq (ds_crash_suspects_crashes (table, key), 1);
  ck_assert_uint_eq (ds_crash_suspects_wait_ms (table, &key, 1, 1100), 0);
}
END_TEST

/* Guards against sparing a part that becomes harmful while answers to it that
   began before still succeed.  */
START_TEST (answers_begun_before_a_crash_do_not_clear_it)
{
  struct ds_crash_suspects *table = new_table (1);
  struct ds_suspect_key key = part (5);

  crash_three_times (table, 5, 1000);
  (void)ds_crash_suspects_clear (table, key, 990, 2100);
  ck_assert_uint_gt (ds_crash_suspects_wait_ms (table, &key, 1, 2100), 0);
}
END_TEST

/* Guards against memory that grows with the parts of all prompts, and against
   forgetting a harmful part because many others are suspected once.  */
START_TEST (the_table_is_bounded_and_keeps_what_is_blocked)
{
  struct ds_crash_suspects *table = new_table (1);
  struct ds_suspect_key key = part (5);
  size_t size = talloc_total_size (owner);

  crash_three_times (table, 5, 1000);
  for (uint64_t i = 0; i < 10000; i++)
    (void)ds_crash_suspects_record (table, part (1000 + i), i, 2000 + i,
                                    2000 + i);
  ck_assert_uint_eq (talloc_total_size (owner), size);
  ck_assert_uint_eq (ds_crash_suspects_crashes (table, key), 3);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("crash_suspects");
  TCase *test_case = tcase_create ("crash_suspects");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_add_test (test_case,
                  a_crashing_request_is_refused_after_three_crashes);
  tcase_add_loop_test (
      test_case, a_harmful_part_is_found_though_no_two_requests_are_alike, 0,
      60);
  tcase_add_test (test_case, a_suspicion_expires_after_a_trial);
  tcase_add_test (test_case,
                  a_trial_that_crashes_a_replica_lengthens_the_block);
  tcase_add_test (test_case,
                  a_sound_part_seen_only_beside_the_harmful_one_is_tried_soon);
  tcase_add_test (test_case,
                  crashes_that_one_host_alone_reports_block_nobody_else);
  tcase_add_test (test_case, an_echo_of_old_crashes_does_not_undo_a_success);
  tcase_add_test (test_case, a_host_that_starts_later_learns_what_is_blocked);
  tcase_add_test (test_case, replicas_that_fail_together_count_as_one_crash);
  tcase_add_test (test_case, answers_begun_before_a_crash_do_not_clear_it);
  tcase_add_test (test_case, the_table_is_bounded_and_keeps_what_is_blocked);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
