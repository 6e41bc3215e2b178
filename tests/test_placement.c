#include "core/placement.h"

#include "core/budget_home.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#define SHARED_TOKENS 13300
#define OWN_TOKENS 3700

static TALLOC_CTX *owner;
static struct ds_replica_set *set;

static void
add_replica (const char *id, const char *service, const char *zone,
             bool draining)
{
  struct ds_replica_record record = {
    .id = ds_str_from_c (id),
    .start_time_ms = 5,
    .service = ds_str_from_c (service),
    .address = DS_STR ("10.0.0.1:80"),
    .zone = ds_str_from_c (zone),
    .slots = 6,
    .draining = draining,
  };

  ck_assert_int_eq (ds_replica_set_put (set, &record), 0);
}

static void
set_up (void)
{
  char id[8];

  owner = talloc_new (NULL);
  ck_assert_int_eq (ds_replica_set_new (&set, owner), 0);
  for (int i = 0; i < 12; i++)
    {
      (void)snprintf (id, sizeof id, "m%d", i);
      add_replica (id, "models", i % 3 == 0 ? "kelheim" : "riedenburg", false);
    }
  add_replica ("b1", "ledger", "kelheim", false);
  add_replica ("b2", "ledger", "riedenburg", false);
}

static void
tear_down (void)
{
  talloc_free (owner);
}

static struct ds_placement_request
history_request (uint64_t shared, uint64_t local_load)
{
  return (struct ds_placement_request){
    .service = DS_STR ("models"),
    .zone = DS_STR ("kelheim"),
    .parts = { { .id = shared, .tokens = SHARED_TOKENS },
               { .id = local_load, .tokens = OWN_TOKENS } },
    .part_count = 2,
    .prompt_tokens = SHARED_TOKENS + OWN_TOKENS,
    .target_latency_ms = 800,
  };
}

/* Load: eight hosts meet the same long shared part within one moment, before
   any has told the others.  All of them must send it to one replica, or it is
   read several times.  */
START_TEST (concurrent_requests_for_a_new_part_share_a_replica)
{
  for (uint64_t part = 1; part < 40; part++)
    {
      struct ds_placement_request first = history_request (part, 1000 + part);
      struct ds_placement_request second = history_request (part, 2000 + part);
      struct ds_placement a = ds_placement_choose (set, &first, 1);
      struct ds_placement b = ds_placement_choose (set, &second, 1);

      ck_assert_int_eq (a.status, DS_PLACEMENT_OK);
      ck_assert_ptr_eq (a.replica, b.replica);
    }
}
END_TEST

/* Load: many requests about one part, others idle.  They stay with the replica
   that has read it while its queue is shorter than half of the objective, and
   leave it when the queue is longer.  */
START_TEST (requests_follow_cached_parts_until_the_queue_is_long)
{
  struct ds_placement_request request = history_request (77, 1);
  struct ds_placement first = ds_placement_choose (set, &request, 1);
  struct ds_placement next;

  ds_placement_record_prefill (first.replica, &request, 1);
  request = history_request (77, 2);
  first.replica->local_load.prefill_tokens = 15000;
  next = ds_placement_choose (set, &request, 2);
  ck_assert_ptr_eq (next.replica, first.replica);
  ck_assert_uint_eq (next.uncached_tokens, OWN_TOKENS);
  first.replica->local_load.prefill_tokens = 80000;
  next = ds_placement_choose (set, &request, 2);
  ck_assert_ptr_ne (next.replica, first.replica);
}
END_TEST

/* Load: what the other hosts have sent to a replica counts as its queue too;
   without it all hosts choose the same one.  */
START_TEST (load_of_other_hosts_counts)
{
  struct ds_placement_request request
      = { .service = DS_STR ("ledger"), .zone = DS_STR ("kelheim") };
  struct ds_placement near = ds_placement_choose (set, &request, 1);
  struct ds_placement far;

  ck_assert (ds_str_equal (near.replica->record.id, DS_STR ("b1")));
  near.replica->remote_load.running = 12;
  far = ds_placement_choose (set, &request, 1);
  ck_assert (ds_str_equal (far.replica->record.id, DS_STR ("b2")));
}
END_TEST

/* Guards against work for a replica that is leaving.  */
START_TEST (a_draining_replica_gets_no_work)
{
  struct ds_placement_request request
      = { .service = DS_STR ("ledger"), .zone = DS_STR ("kelheim") };

  add_replica ("b1", "ledger", "kelheim", true);
  add_replica ("b2", "ledger", "riedenburg", true);
  ck_assert_int_eq (ds_placement_choose (set, &request, 1).status,
                    DS_PLACEMENT_NO_REPLICA);
}
END_TEST

/* Load: a replica fails part of its requests while its health is good.  It is
   avoided for longer with each failure in a row, and used when nothing else is
   left.  */
START_TEST (a_failing_replica_is_avoided)
{
  struct ds_placement_request request
      = { .service = DS_STR ("ledger"), .zone = DS_STR ("kelheim") };
  struct ds_placement first = ds_placement_choose (set, &request, 1000);
  struct ds_placement next;

  ds_placement_record_failure (first.replica, 1000);
  next = ds_placement_choose (set, &request, 1001);
  ck_assert_ptr_ne (next.replica, first.replica);
  request.tried[0] = next.replica->hash;
  request.tried_count = 1;
  ck_assert_ptr_eq (ds_placement_choose (set, &request, 1001).replica,
                    first.replica);
  ds_placement_record_success (first.replica);
  request.tried_count = 0;
  ck_assert_ptr_eq (ds_placement_choose (set, &request, 1002).replica,
                    first.replica);
}
END_TEST

/* Guards against sending one request to a replica twice.  */
START_TEST (tried_replicas_are_left_out)
{
  struct ds_placement_request request
      = { .service = DS_STR ("ledger"), .zone = DS_STR ("kelheim") };

  for (int i = 0; i < 2; i++)
    {
      struct ds_placement placement = ds_placement_choose (set, &request, 1);

      ck_assert_int_eq (placement.status, DS_PLACEMENT_OK);
      request.tried[request.tried_count++] = placement.replica->hash;
    }
  ck_assert_int_eq (ds_placement_choose (set, &request, 1).status,
                    DS_PLACEMENT_ALL_TRIED);
}
END_TEST

/* Guards against taking a part as kept although one before it is not: engines
   keep a prompt from its beginning.  */
START_TEST (a_missing_part_ends_the_cached_prefix)
{
  struct ds_placement_request request = history_request (5, 6);
  struct ds_replica *replica = ds_replica_set_at (set, 0);

  (void)ds_placement_record_part (replica, 6, 1);
  ck_assert_uint_eq (ds_placement_uncached_tokens (replica, &request, 2),
                     SHARED_TOKENS + OWN_TOKENS);
  (void)ds_placement_record_part (replica, 5, 1);
  ck_assert_uint_eq (ds_placement_uncached_tokens (replica, &request, 2), 1);
}
END_TEST

/* Load: each request brings a part of its own; with one place a hash these
   overwrote shared parts, which were then read again elsewhere.  */
START_TEST (private_parts_do_not_evict_shared_parts)
{
  struct ds_replica *replica = ds_replica_set_at (set, 0);
  struct ds_placement_request request = history_request (77, 1);

  /* Forty shared parts in use, and a hundred requests a replica between two
     uses of one, each with a part of its own.  */
  for (uint64_t shared = 0; shared < 40; shared++)
    (void)ds_placement_record_part (replica, 70 + shared, 1000);
  for (uint64_t local_load = 0; local_load < 100; local_load++)
    (void)ds_placement_record_part (replica, 5000 + local_load * 977,
                                    2000 + local_load);
  for (uint64_t shared = 0; shared < 40; shared++)
    {
      request.parts[0].id = 70 + shared;
      ck_assert_uint_eq (
          ds_placement_uncached_tokens (replica, &request, 3000), OWN_TOKENS);
    }
}
END_TEST

/* Guards against a host that keeps most of the budgets, and against pages that
   move between hosts which stay when another one goes.  */
START_TEST (budget_pages_spread_evenly_and_move_only_to_a_new_host)
{
  char names[9][16];
  int kept[8] = { 0 };

  for (int i = 0; i < 9; i++)
    (void)snprintf (names[i], sizeof names[i], "front-%d", i);
  for (uint32_t page = 0; page < 512; page++)
    {
      int best[2] = { 0, 0 };

      for (int i = 1; i < 9; i++)
        {
          uint64_t weight
              = ds_budget_home_weight (ds_str_from_c (names[i]), page);

          if (weight
              > ds_budget_home_weight (ds_str_from_c (names[best[0]]), page))
            best[0] = i;
          if (i < 8
              && weight > ds_budget_home_weight (
                     ds_str_from_c (names[best[1]]), page))
            best[1] = i;
        }
      kept[best[1]]++;
      /* The ninth host takes pages; none goes from one of the eight to
         another.  */
      if (best[0] != 8)
        ck_assert_int_eq (best[0], best[1]);
    }
  for (int i = 0; i < 8; i++)
    ck_assert (kept[i] > 32 && kept[i] < 128);
}
END_TEST

/* Load: one of three engines is slower by a third.  Its slowness is learnt and
   moves work away from it.  */
START_TEST (latency_factor_follows_observed_latency)
{
  struct ds_replica *replica = ds_replica_set_at (set, 0);

  for (int i = 0; i < 60; i++)
    ds_placement_record_first_event (replica, 400,
                                     200 * replica->latency_factor);
  ck_assert (replica->latency_factor > 1.3F);
  ck_assert (replica->latency_factor < 3.0F);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("placement");
  TCase *test_case = tcase_create ("placement");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_add_test (test_case,
                  concurrent_requests_for_a_new_part_share_a_replica);
  tcase_add_test (test_case,
                  requests_follow_cached_parts_until_the_queue_is_long);
  tcase_add_test (test_case, load_of_other_hosts_counts);
  tcase_add_test (test_case, a_draining_replica_gets_no_work);
  tcase_add_test (test_case, a_failing_replica_is_avoided);
  tcase_add_test (test_case, tried_replicas_are_left_out);
  tcase_add_test (test_case, a_missing_part_ends_the_cached_prefix);
  tcase_add_test (test_case, private_parts_do_not_evict_shared_parts);
  tcase_add_test (test_case,
                  budget_pages_spread_evenly_and_move_only_to_a_new_host);
  tcase_add_test (test_case, latency_factor_follows_observed_latency);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
