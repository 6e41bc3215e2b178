#include "support/entry_site.h"

#include <check.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Hosts before replicas that crash as they begin the answer to a prompt with
   one part.  */
#define HOSTS 3
#define DEADLY "dead"
#define COMMON "c0"
/* Crashes after which the part must be refused.  */
#define ROUNDS 5
/* Time in which a host learns what another one has seen, and of a replica that
   is back; "contact_ms" of the users' platform.  */
#define CONTACT_MS 3000

/* Crashes after which the part is refused for 30 s, and the time between
   requests that lead to them.  Hosts must have heard of a crash before the
   next, and replicas are back.  */
#define LONG_BLOCK_CRASHES 4
#define SEND_PERIOD_MS 1000

static int serial;

static void
set_up (void)
{
  entry_start_standins (1000000);
  for (int i = 0; i < HOSTS; i++)
    entry_start_host (i, "z");
  for (int i = 0; i < HOSTS; i++)
    entry_wait_ready (i);
  for (int i = 0; i < ENTRY_REPLICAS; i++)
    entry_set_faults (entry_replicas[i], "{\"deadly\":\"" DEADLY "\"}");
}

static void
tear_down (void)
{
  test_processes_clean_up ();
}

/* Sends a request to ROUTE whose prompt has the common part, PART and one of
   its own.  No two requests are alike.  */
static struct test_http_response *
send_prompt_to (const char *route, int host, const char *part)
{
  char id[48];
  char path[48];
  char parts[96];
  const char *headers[] = { "Host: d.example",
                            "Authorization: Bearer key-1",
                            "Deadline-Ms: 6000",
                            id,
                            "Token-Count: 300,24",
                            parts,
                            NULL };
  struct test_http_call call = { .method = "POST",
                                 .address = entry_caller_addresses[host],
                                 .path = path,
                                 .headers = headers,
                                 .body = parts };

  serial++;
  (void)snprintf (id, sizeof id, "Request-Id: id-%d", serial);
  (void)snprintf (path, sizeof path, "/%s/%d", route, serial);
  (void)snprintf (parts, sizeof parts,
                  "Prompt-Prefix: " COMMON ":100,%s:100,own%d:100", part,
                  serial);
  return test_http (&call);
}

static struct test_http_response *
send_prompt (int host, const char *part)
{
  return send_prompt_to ("stream", host, part);
}

static size_t
count_runs (void)
{
  size_t count = 0;

  for (int i = 0; i < ENTRY_REPLICAS; i++)
    {
      json_t *runs
          = test_get_json (entry_replicas[i]->address, "/standin/runs");

      count += json_array_size (runs);
      json_decref (runs);
    }
  return count;
}

/* Crashes replicas through host after host, each crash with another
   incarnation of the replicas.  */
static void
crash_replicas (void)
{
  for (int round = 0; round < ROUNDS; round++)
    {
      (void)send_prompt (round % HOSTS, DEADLY);
      for (int i = 0; i < ENTRY_REPLICAS; i++)
        entry_restart_replica (i);
      test_sleep_ms (CONTACT_MS / 2);
    }
  test_sleep_ms (CONTACT_MS);
}

/* Guards against requests with one part that crash a replica after the other,
   since no two of them are alike and each comes at another host; and against
   refusing sound ones of the same caller with the same first part.  */
START_TEST (a_part_that_crashes_replicas_is_refused_at_every_host)
{
  size_t runs;

  crash_replicas ();
  runs = count_runs ();
  for (int i = 0; i < HOSTS; i++)
    {
      struct test_http_response *reply = send_prompt (i, DEADLY);

      ck_assert_int_eq (reply->status, 503);
      ck_assert_ptr_nonnull (test_http_header (reply, "Retry-After"));
      ck_assert_ptr_nonnull (strstr (reply->body.data, "\"ran\":\"no\""));
    }
  ck_assert_uint_eq (count_runs (), runs);
  for (int i = 0; i < HOSTS; i++)
    {
      ck_assert_int_eq (send_prompt (i, "s1")->status, 200);
      ck_assert_int_eq (send_prompt (i, "s2")->status, 200);
    }
  ck_assert_uint_eq (count_runs (), runs + (size_t)2 * HOSTS);
}
END_TEST

/* Guards against a host that starts when the others refuse the part already,
   and crashes replicas with it again.  */
START_TEST (a_host_that_starts_later_refuses_the_part)
{
  size_t runs;

  crash_replicas ();
  entry_start_host (HOSTS, "z");
  entry_wait_ready (HOSTS);
  test_sleep_ms (CONTACT_MS);
  runs = count_runs ();
  ck_assert_int_eq (send_prompt (HOSTS, DEADLY)->status, 503);
  ck_assert_uint_eq (count_runs (), runs);
  ck_assert_int_eq (send_prompt (HOSTS, "s1")->status, 200);
}
END_TEST

static void
kill_all_hosts (void)
{
  for (int i = 0; i < HOSTS; i++)
    test_process_kill (entry_hosts[i]);
  for (int i = 0; i < HOSTS; i++)
    entry_start_host (i, "z");
  for (int i = 0; i < HOSTS; i++)
    entry_wait_ready (i);
}

/* The record of the causes of crashes in the store; null if there is none.  */
static json_t *
get_causes (void)
{
  json_t *object = test_get_json (entry_store->address,
                                  ENTRY_OBJECTS "daisystep-crashes/causes");
  json_t *causes = json_incref (test_json_at (object, "spec/causes"));

  json_decref (object);
  return causes;
}

/* Sends requests with the part until it has crashed four replicas, the last
   one in a trial.  From then on it is refused for at least 30 s.  Requests to
   this route run once.  */
static void
crash_four_replicas (void)
{
  size_t runs = 0;

  for (int waited = 0; waited < 2 * ENTRY_WAIT_MS && runs < LONG_BLOCK_CRASHES;
       waited += SEND_PERIOD_MS)
    {
      (void)send_prompt_to ("once", waited / SEND_PERIOD_MS % HOSTS, DEADLY);
      if (count_runs () > runs)
        for (int i = 0; i < ENTRY_REPLICAS; i++)
          entry_restart_replica (i);
      runs = count_runs ();
      test_sleep_ms (SEND_PERIOD_MS);
    }
  ck_assert_uint_eq (runs, LONG_BLOCK_CRASHES);
}

static void
expect_refusal (void)
{
  size_t runs = count_runs ();

  for (int i = 0; i < HOSTS; i++)
    ck_assert_int_eq (send_prompt (i, DEADLY)->status, 503);
  ck_assert_uint_eq (count_runs (), runs);
}

/* Guards against a fleet that learns anew which part crashes replicas after
   the death of all hosts, by crashes.  */
START_TEST (a_part_is_refused_after_the_death_of_all_hosts)
{
  crash_four_replicas ();
  expect_refusal ();
  for (int death = 0; death < 2; death++)
    {
      kill_all_hosts ();
      expect_refusal ();
    }
  for (int i = 0; i < HOSTS; i++)
    {
      int status = 0;

      for (int waited = 0; waited < ENTRY_WAIT_MS && status != 200;
           waited += ENTRY_POLL_MS)
        {
          status = (int)send_prompt (i, "s1")->status;
          test_sleep_ms (ENTRY_POLL_MS);
        }
      ck_assert_int_eq (status, 200);
    }
  expect_refusal ();
}
END_TEST

/* Guards against hosts that do not start, or give up, while the store turns
   the record away.  */
START_TEST (the_record_is_written_once_the_store_takes_it)
{
  json_t *causes = NULL;

  entry_set_faults (entry_store, "{\"busy_kind\":\"daisystep-crashes\"}");
  kill_all_hosts ();
  crash_four_replicas ();
  expect_refusal ();
  entry_set_faults (entry_store, "{}");
  for (int waited = 0; waited < ENTRY_WAIT_MS && causes == NULL;
       waited += ENTRY_POLL_MS)
    {
      causes = get_causes ();
      test_sleep_ms (ENTRY_POLL_MS);
    }
  /* The common part, too, as nothing with it has succeeded since.  */
  ck_assert_uint_eq (json_array_size (causes), 2);
  json_decref (causes);
  kill_all_hosts ();
  expect_refusal ();
}
END_TEST

/* Guards against calls to the store, which are priced, while nothing crashes
   replicas.  */
START_TEST (nothing_is_recorded_without_crashes)
{
  for (int round = 0; round < 3; round++)
    for (int i = 0; i < HOSTS; i++)
      ck_assert_int_eq (send_prompt (i, "s1")->status, 200);
  test_sleep_ms (CONTACT_MS);
  ck_assert_ptr_null (get_causes ());
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("entry_crash");
  TCase *test_case = tcase_create ("entry_crash");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_set_timeout (test_case, 120);
  tcase_add_test (test_case,
                  a_part_that_crashes_replicas_is_refused_at_every_host);
  tcase_add_test (test_case, a_host_that_starts_later_refuses_the_part);
  tcase_add_test (test_case, a_part_is_refused_after_the_death_of_all_hosts);
  tcase_add_test (test_case, the_record_is_written_once_the_store_takes_it);
  tcase_add_test (test_case, nothing_is_recorded_without_crashes);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
