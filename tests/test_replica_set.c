#include "core/replica_set.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

static TALLOC_CTX *owner;
static struct ds_replica_set *set;

static void
set_up (void)
{
  owner = talloc_new (NULL);
  ck_assert_int_eq (ds_replica_set_new (&set, owner), 0);
}

static void
tear_down (void)
{
  talloc_free (owner);
}

static void
put (const char *id, uint64_t start_time_ms, const char *address)
{
  struct ds_replica_record record = {
    .id = ds_str_from_c (id),
    .start_time_ms = start_time_ms,
    .service = DS_STR ("models"),
    .address = ds_str_from_c (address),
    .zone = DS_STR ("kelheim"),
    .slots = 4,
  };

  ck_assert_int_eq (ds_replica_set_put (set, &record), 0);
}

/* Guards against using the connections and load of a previous incarnation for
   the next one with the same id.  */
START_TEST (a_restarted_replica_is_a_new_replica)
{
  struct ds_replica *before;

  put ("a", 10, "10.0.0.1:80");
  before = ds_replica_set_at (set, 0);
  (void)talloc_reference (owner, before);
  put ("a", 11, "10.0.0.1:80");
  ck_assert_uint_eq (ds_replica_set_count (set), 1);
  ck_assert (before->removed);
  ck_assert_ptr_ne (ds_replica_set_at (set, 0), before);
}
END_TEST

/* Guards against a stale response that restores a previous incarnation.  */
START_TEST (a_record_of_an_older_start_is_ignored)
{
  put ("a", 11, "10.0.0.1:80");
  put ("a", 10, "10.0.0.9:80");
  ck_assert (ds_str_equal (ds_replica_set_at (set, 0)->record.address,
                           DS_STR ("10.0.0.1:80")));
}
END_TEST

/* All entries expired during a store outage.  The replicas stay in use until
   their expiry, after two seconds in operation, and are dropped if their
   entries do not return.  */
START_TEST (missing_replicas_are_used_until_they_expire)
{
  put ("a", 1, "10.0.0.1:80");
  put ("b", 1, "10.0.0.2:80");
  ds_replica_set_begin_list (set);
  ds_replica_set_end_list (set, 5000);
  ds_replica_set_remove_expired (set, 4999);
  ck_assert_uint_eq (ds_replica_set_count (set), 2);
  put ("b", 1, "10.0.0.2:80");
  ds_replica_set_remove_expired (set, 5000);
  ck_assert_uint_eq (ds_replica_set_count (set), 1);
  ck_assert (
      ds_str_equal (ds_replica_set_at (set, 0)->record.id, DS_STR ("b")));
}
END_TEST

/* Guards against requests for a replica that was removed without an outage of
   the store.  */
START_TEST (a_removed_replica_is_dropped_at_once)
{
  put ("a", 1, "10.0.0.1:80");
  ds_replica_set_remove (set, DS_STR ("a"), 0);
  ds_replica_set_remove (set, DS_STR ("unknown"), 0);
  ck_assert_uint_eq (ds_replica_set_count (set), 0);
}
END_TEST

/* Guards against a listing that drops replicas it contains.  */
START_TEST (a_list_drops_only_replicas_it_does_not_contain)
{
  put ("a", 1, "10.0.0.1:80");
  put ("b", 1, "10.0.0.2:80");
  ds_replica_set_begin_list (set);
  put ("b", 1, "10.0.0.2:80");
  put ("c", 1, "10.0.0.3:80");
  ds_replica_set_end_list (set, 0);
  ck_assert_uint_eq (ds_replica_set_count (set), 2);
  for (size_t i = 0; i < 2; i++)
    ck_assert (
        !ds_str_equal (ds_replica_set_at (set, i)->record.id, DS_STR ("a")));
}
END_TEST

static bool
is_used (void)
{
  return ds_replica_accepts_requests (ds_replica_set_at (set, 0));
}

static bool
report (uint64_t revision, uint64_t now_ms)
{
  return ds_replica_set_report_departure (
      set, ds_replica_set_at (set, 0)->hash, revision, 10, now_ms);
}

/* Guards against requests to a replica that has left, at a host whose watch of
   the store is late, and against a report that outlives its incarnation.  */
START_TEST (a_reported_departure_ends_the_use_of_a_replica)
{
  put ("a", 10, "10.0.0.1:80");
  ck_assert (report (20, 1000));
  ck_assert (!is_used ());
  ck_assert (!report (20, 1100));
  put ("a", 11, "10.0.0.1:80");
  ck_assert (is_used ());
}
END_TEST

/* Guards against a host that uses a replica for two more seconds, since its
   own calls to the store have failed, although others have seen it leave.  */
START_TEST (a_missing_replica_that_others_saw_leave_is_not_used)
{
  put ("a", 10, "10.0.0.1:80");
  ds_replica_set_remove (set, DS_STR ("a"), 5000);
  ck_assert (is_used ());
  ck_assert (report (9, 1000));
  ds_replica_set_end_reports (set, 20, 1100, 1110);
  ck_assert (!is_used ());
  /* It is registered again.  */
  put ("a", 10, "10.0.0.1:80");
  ds_replica_set_end_reports (set, 30, 1100, 1200);
  ck_assert (is_used ());
  ck_assert (!report (9, 1300));
}
END_TEST

/* Guards against a report that outweighs what the store says later: after an
   outage the registration is there again.  */
START_TEST (the_store_ends_a_report_once_the_host_knows_as_much)
{
  put ("a", 10, "10.0.0.1:80");
  ck_assert (report (20, 1000));
  /* The response of a call from before the report, and of an older state.  */
  ds_replica_set_end_reports (set, 19, 900, 1050);
  ck_assert (!is_used ());
  ds_replica_set_end_reports (set, 20, 900, 1100);
  ck_assert (is_used ());
}
END_TEST

/* Guards against one host that is wrong, again and again, about a replica of
   which the store knows no departure.  */
START_TEST (a_report_that_the_store_does_not_confirm_is_wrong)
{
  put ("a", 10, "10.0.0.1:80");
  ck_assert (report (999, 1000));
  ds_replica_set_end_reports (set, 20, 1400, 1410);
  ck_assert (is_used ());
  ck_assert (!report (999, 1500));
  ck_assert (!report (1000, 5000));
  ck_assert (is_used ());
  ck_assert (report (1000, 20000));
}
END_TEST

/* Guards against a replica that a host without the store never uses again.  */
START_TEST (a_report_expires_without_a_word_of_the_store)
{
  put ("a", 10, "10.0.0.1:80");
  ck_assert (report (20, 1000));
  ds_replica_set_remove_expired (set, 20000);
  ck_assert (!is_used ());
  ds_replica_set_remove_expired (set, 31001);
  ck_assert (is_used ());
}
END_TEST

/* Records a notice as an exchange does, which has chosen REPLICA before.  */
static bool
say_leaving (struct ds_replica *replica)
{
  return ds_replica_set_record_leaving (set, replica, 1000);
}

/* Guards against requests to a replica that has said that it leaves, since the
   store shows it as ready, or shows it again after its entry expired.  */
START_TEST (a_replica_that_leaves_stays_out_whatever_the_store_says)
{
  put ("a", 10, "10.0.0.1:80");
  ck_assert (say_leaving (ds_replica_set_at (set, 0)));
  ck_assert (!say_leaving (ds_replica_set_at (set, 0)));
  ck_assert (!is_used ());
  put ("a", 10, "10.0.0.1:80");
  ds_replica_set_end_reports (set, 20, 1100, 1110);
  ds_replica_set_remove_expired (set, 1000000);
  ck_assert (!is_used ());
  ds_replica_set_remove (set, DS_STR ("a"), 0);
  put ("a", 10, "10.0.0.1:80");
  ck_assert (!is_used ());
  put ("a", 10, "10.0.0.7:80");
  ck_assert (!is_used ());
}
END_TEST

/* Guards against a service that loses a replica for good: another process
   starts under its id or at its address.  */
START_TEST (a_new_lifetime_of_a_replica_that_left_is_used)
{
  put ("a", 10, "10.0.0.1:80");
  ck_assert (say_leaving (ds_replica_set_at (set, 0)));
  put ("a", 11, "10.0.0.1:80");
  ck_assert (is_used ());
  ck_assert (say_leaving (ds_replica_set_at (set, 0)));
  ds_replica_set_remove (set, DS_STR ("a"), 0);
  put ("b", 11, "10.0.0.1:80");
  ck_assert (is_used ());
}
END_TEST

/* Guards against a notice that is lost, since the entry of its replica expired
   while the response was on its way, and is back or not yet.  */
START_TEST (a_notice_reaches_a_lifetime_that_was_dropped_meanwhile)
{
  struct ds_replica *chosen;

  for (int back = 0; back < 2; back++)
    {
      uint64_t start_time_ms = 10 + (uint64_t)back;

      put ("a", start_time_ms, "10.0.0.1:80");
      chosen = talloc_reference (owner, ds_replica_set_at (set, 0));
      ds_replica_set_remove (set, DS_STR ("a"), 0);
      if (back == 1)
        put ("a", start_time_ms, "10.0.0.1:80");
      (void)say_leaving (chosen);
      if (back == 0)
        put ("a", start_time_ms, "10.0.0.1:80");
      ck_assert (!is_used ());
    }
}
END_TEST

/* Guards against a host that no longer passes on what the store says, since
   the replica itself said it before.  */
START_TEST (a_departure_is_news_after_the_notice_of_the_replica)
{
  put ("a", 10, "10.0.0.1:80");
  ck_assert (say_leaving (ds_replica_set_at (set, 0)));
  ck_assert (ds_replica_is_available (ds_replica_set_at (set, 0)));
  ck_assert (report (20, 1100));
}
END_TEST

/* Guards against requests to a replica that wants none, since its registration
   ran out and is back, and against a next lifetime that gets none for what
   the one before said.  */
START_TEST (a_hold_is_a_fact_about_one_lifetime)
{
  struct ds_replica *replica;

  put ("a", 10, "10.0.0.1:80");
  replica = talloc_reference (owner, ds_replica_set_at (set, 0));
  ck_assert (ds_replica_set_record_hold (set, replica, 3000, 1000));
  ck_assert (!ds_replica_set_record_hold (set, replica, 3000, 1100));
  ds_replica_set_remove (set, DS_STR ("a"), 0);
  put ("a", 10, "10.0.0.1:80");
  ck_assert_uint_eq (
      ds_replica_notice_wait_ms (&ds_replica_set_at (set, 0)->notice, 1200),
      2900);
  /* The answer to a request that was sent before.  */
  (void)ds_replica_set_record_hold (set, replica, 5000, 1300);
  ck_assert_uint_eq (
      ds_replica_notice_wait_ms (&ds_replica_set_at (set, 0)->notice, 1300),
      5000);
  put ("a", 11, "10.0.0.1:80");
  ck_assert_uint_eq (
      ds_replica_notice_wait_ms (&ds_replica_set_at (set, 0)->notice, 1300),
      0);
}
END_TEST

/* Guards against a wait that outlasts the bound, against one that a later,
   shorter wish ends early, and against one that the answer to an earlier
   request ends.  */
START_TEST (holds_are_bounded_and_end_in_time)
{
  struct ds_replica_notice notice = { .leaving_ms = 0 };

  ck_assert (!ds_replica_notice_record_hold (&notice, 0, 1000));
  ck_assert (ds_replica_notice_record_hold (&notice, 4000, 1000));
  ck_assert (!ds_replica_notice_record_hold (&notice, 500, 1100));
  ds_replica_notice_record_answer (&notice, 999);
  ck_assert_uint_eq (ds_replica_notice_wait_ms (&notice, 1600), 3400);
  ck_assert_uint_eq (ds_replica_notice_wait_ms (&notice, 5000), 0);
  ck_assert (ds_replica_notice_record_hold (&notice, UINT32_MAX, 5000));
  ck_assert_uint_eq (ds_replica_notice_wait_ms (&notice, 5000), 600000);
}
END_TEST

/* Guards against all requests at once when a hold ends: one is sent, and the
   others once it is answered, has failed, or takes too long.  */
START_TEST (one_request_follows_a_hold)
{
  struct ds_replica_notice held = { .leaving_ms = 0 };
  struct ds_replica_notice notice;

  (void)ds_replica_notice_record_hold (&held, 1000, 1000);
  ds_replica_notice_record_sent (&held, 1999);
  ck_assert_uint_eq (ds_replica_notice_wait_ms (&held, 2000), 0);
  ds_replica_notice_record_sent (&held, 2000);
  ck_assert_uint_gt (ds_replica_notice_wait_ms (&held, 2001), 0);
  notice = held;
  ds_replica_notice_record_answer (&notice, 2000);
  ck_assert_uint_eq (ds_replica_notice_wait_ms (&notice, 2100), 0);
  ds_replica_notice_record_sent (&notice, 2100);
  ck_assert_uint_eq (ds_replica_notice_wait_ms (&notice, 2101), 0);
  notice = held;
  ds_replica_notice_record_end (&notice, 1500);
  ck_assert_uint_gt (ds_replica_notice_wait_ms (&notice, 2100), 0);
  ds_replica_notice_record_end (&notice, 2000);
  ck_assert_uint_eq (ds_replica_notice_wait_ms (&notice, 2100), 0);
  ds_replica_notice_record_sent (&notice, 2100);
  ck_assert_uint_gt (ds_replica_notice_wait_ms (&notice, 2101), 0);
  ck_assert_uint_eq (ds_replica_notice_wait_ms (&held, 2500), 0);
  notice = held;
  ck_assert (ds_replica_notice_record_hold (&notice, 3000, 2100));
  ck_assert_uint_eq (ds_replica_notice_wait_ms (&notice, 2100), 3000);
}
END_TEST

static int
compare_hashes (const void *a, const void *b)
{
  const uint64_t *left = a;
  const uint64_t *right = b;

  return *left < *right ? -1 : *left > *right;
}

/* Guards against taking one replica for another: "i-0" and "i-1" that start
   one millisecond apart had the same hash, so that loads, departures and
   crashes of one counted for the other.  Ids and starts differ in their last
   digits only.  */
START_TEST (neighbours_have_different_hashes)
{
  static uint64_t hashes[100 * 100];
  static uint64_t short_hashes[600];
  char id[8];

  for (unsigned i = 0; i < 100; i++)
    for (unsigned k = 0; k < 100; k++)
      {
        (void)snprintf (id, sizeof id, "i-%u", i);
        hashes[i * 100 + k]
            = ds_replica_hash (ds_str_from_c (id), 1000 + (uint64_t)k);
      }
  qsort (hashes, 10000, sizeof hashes[0], compare_hashes);
  for (size_t i = 1; i < 10000; i++)
    ck_assert_uint_ne (hashes[i], hashes[i - 1]);
  /* Summaries identify replicas by half of the hash.  */
  for (unsigned i = 0; i < 600; i++)
    {
      (void)snprintf (id, sizeof id, "i-%u", i);
      short_hashes[i]
          = (uint32_t)ds_replica_hash (ds_str_from_c (id), 1000 + i);
    }
  qsort (short_hashes, 600, sizeof short_hashes[0], compare_hashes);
  for (size_t i = 1; i < 600; i++)
    ck_assert_uint_ne (short_hashes[i], short_hashes[i - 1]);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("replica_set");
  TCase *test_case = tcase_create ("replica_set");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_add_test (test_case, a_restarted_replica_is_a_new_replica);
  tcase_add_test (test_case, a_record_of_an_older_start_is_ignored);
  tcase_add_test (test_case, missing_replicas_are_used_until_they_expire);
  tcase_add_test (test_case, a_removed_replica_is_dropped_at_once);
  tcase_add_test (test_case, a_list_drops_only_replicas_it_does_not_contain);
  tcase_add_test (test_case, a_reported_departure_ends_the_use_of_a_replica);
  tcase_add_test (test_case,
                  the_store_ends_a_report_once_the_host_knows_as_much);
  tcase_add_test (test_case,
                  a_report_that_the_store_does_not_confirm_is_wrong);
  tcase_add_test (test_case,
                  a_missing_replica_that_others_saw_leave_is_not_used);
  tcase_add_test (test_case, a_report_expires_without_a_word_of_the_store);
  tcase_add_test (test_case,
                  a_replica_that_leaves_stays_out_whatever_the_store_says);
  tcase_add_test (test_case, a_new_lifetime_of_a_replica_that_left_is_used);
  tcase_add_test (test_case,
                  a_notice_reaches_a_lifetime_that_was_dropped_meanwhile);
  tcase_add_test (test_case,
                  a_departure_is_news_after_the_notice_of_the_replica);
  tcase_add_test (test_case, a_hold_is_a_fact_about_one_lifetime);
  tcase_add_test (test_case, holds_are_bounded_and_end_in_time);
  tcase_add_test (test_case, one_request_follows_a_hold);
  tcase_add_test (test_case, neighbours_have_different_hashes);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
