#include "support/entry_site.h"

#include <check.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define PREPAID 1000000
#define RAW "/standin/raw/"
/* Interval of probes, each of which may use up a retry: a host has 40 of them
   in 10 s.  */
#define PROBE_MS 300L
#define NESTED ((size_t)100000)
#define NESTED_MARK "nested"

/* Specs that another writer may leave.  The last ones are valid JSON.  */
static const char *const odd_specs[] = {
  "\"\\u0000\\u0001\\u0002\"",
  "\"\xff\xfe\"",
  "\xff\xfe",
  "\"\\ud800\"",
  NESTED_MARK,
  "{\"service\":\"pool\",\"slots\":123456789012345678901234567890}",
  "{\"service\":\"pool\",\"slots\":1e999}",
  "{\"service\":7}",
  "[]",
  "null",
};
#define ODD_SPECS (int)(sizeof odd_specs / sizeof odd_specs[0])

static void
set_up (void)
{
  entry_start_standins (PREPAID);
  entry_start_host (0, "z");
  entry_wait_ready (0);
}

static void
tear_down (void)
{
  test_processes_clean_up ();
}

/* Writes the object KIND/NAME with SPEC, which need not be valid.  */
static void
put_raw (const char *kind_and_name, const char *spec)
{
  char path[64];
  char *nested = NULL;

  if (strcmp (spec, NESTED_MARK) == 0)
    {
      nested = malloc (2 * NESTED + 1);
      memset (nested, '[', NESTED);
      memset (nested + NESTED, ']', NESTED);
      nested[2 * NESTED] = '\0';
      spec = nested;
    }
  (void)snprintf (path, sizeof path, RAW "%s", kind_and_name);
  ck_assert_int_eq (test_post (entry_store->address, path, spec), 200);
  free (nested);
}

/* True if HOST serves a request while replica 1 refuses all.  */
static bool
uses_replica_0 (int host)
{
  static int number;
  char id[32];
  long status;

  (void)snprintf (id, sizeof id, "probe-%d", number++);
  entry_set_faults (entry_replicas[1], "{\"shed\":100}");
  status = entry_request (host, "GET", "/look/1", id, NULL)->status;
  entry_set_faults (entry_replicas[1], "{\"shed\":0}");
  ck_assert (status == 200 || status == 503);
  return status == 200;
}

static void
wait_until_replica_0_is_used (int host, bool used)
{
  for (int waited = 0; waited < ENTRY_WAIT_MS; waited += PROBE_MS)
    {
      if (uses_replica_0 (host) == used)
        return;
      test_sleep_ms (PROBE_MS);
    }
  ck_abort_msg ("replica 0 is %s", used ? "not used" : "still used");
}

static long
count_unreadable (int host)
{
  char address[ENTRY_ADDRESS_BYTES];
  struct test_http_call call = { .address = address, .path = "/metrics" };
  const char *line;

  entry_format_address (address, host, 8084);
  line = strstr (test_http (&call)->body.data,
                 "\ndaisystep_unreadable_entries_total ");
  ck_assert_ptr_nonnull (line);
  return strtol (strchr (line + 1, ' '), NULL, 10);
}

static void
wait_for_unreadable (int host, long count)
{
  for (int waited = 0; waited < ENTRY_WAIT_MS; waited += ENTRY_POLL_MS)
    {
      if (count_unreadable (host) >= count)
        break;
      test_sleep_ms (ENTRY_POLL_MS);
    }
  ck_assert_int_eq (count_unreadable (host), count);
}

/* Number of lines with TEXT in the log of HOST, which is written a few times a
   second.  */
static int
count_lines (int host, const char *text)
{
  FILE *file = fopen (entry_hosts[host]->log_path, "r");
  char line[2048];
  int count = 0;

  ck_assert_ptr_nonnull (file);
  test_sleep_ms (2 * PROBE_MS);
  while (fgets (line, sizeof line, file) != NULL)
    count += strstr (line, text) != NULL;
  (void)fclose (file);
  return count;
}

/* Guards against an entry of another writer that stops a host from following
   the replicas, and keeps a host that starts from becoming ready.  */
START_TEST (an_odd_entry_hides_no_change_of_the_replicas)
{
  put_raw ("servers/a-odd", odd_specs[_i]);
  entry_put_replica (0, "draining");
  wait_until_replica_0_is_used (0, false);
  wait_for_unreadable (0, 1);
  entry_start_host (1, "z");
  entry_wait_ready (1);
  ck_assert (!uses_replica_0 (1));
  ck_assert_int_eq (entry_request (1, "GET", "/look/1", "id", NULL)->status,
                    200);
  ck_assert_int_eq (count_lines (0, "\"store_lost\""), 0);
  ck_assert_int_eq (count_lines (1, "\"store_lost\""), 0);
  ck_assert_int_eq (count_unreadable (1), 1);
}
END_TEST

/* Guards against requests to a replica whose entry has become unreadable, and
   against avoiding it after the entry has been written again.  */
START_TEST (a_replica_whose_entry_becomes_unreadable_is_gone)
{
  put_raw ("servers/i-0", odd_specs[_i]);
  wait_until_replica_0_is_used (0, false);
  entry_restart_replica (0);
  wait_until_replica_0_is_used (0, true);
}
END_TEST

/* Guards against a host that stops at a configuration that cannot be read.  */
START_TEST (an_odd_configuration_leaves_the_one_in_force)
{
  put_raw ("config/main", odd_specs[_i]);
  entry_put_replica (0, "draining");
  wait_until_replica_0_is_used (0, false);
  ck_assert_int_eq (entry_request (0, "GET", "/look/1", "id-1", NULL)->status,
                    200);
  wait_for_unreadable (0, 1);
  entry_put_config_with_route (PREPAID, "/new/");
  for (int i = 0; i < ENTRY_WAIT_MS / ENTRY_POLL_MS; i++)
    {
      char id[32];

      (void)snprintf (id, sizeof id, "new-%d", i);
      if (entry_request (0, "GET", "/new/1", id, NULL)->status == 200)
        return;
      test_sleep_ms (ENTRY_POLL_MS);
    }
  ck_abort_msg ("the next configuration is not in force");
}
END_TEST

/* Guards against requests that are refused since an entry whose address cannot
   be read is taken for a replica.  */
START_TEST (an_entry_with_an_odd_address_gets_no_request)
{
  static const char *const addresses[]
      = { "\\u0001\\u0002\\u0003", "127.0.0.1:0", "127.0.0.1:70000",
          "127.0.0.1", "replica.example:80" };
  char spec[256];
  char path[64];

  for (size_t i = 0; i < sizeof addresses / sizeof addresses[0]; i++)
    {
      (void)snprintf (spec, sizeof spec,
                      "{\"service\":\"pool\",\"zone\":\"z\",\"state\":"
                      "\"ready\",\"slots\":8,\"address\":\"%s\"}",
                      addresses[i]);
      (void)snprintf (path, sizeof path, "servers/a-%zu", i);
      put_raw (path, spec);
    }
  /* Their names come before those of the replicas, in lists and in the order
     of creation.  */
  for (int i = 0; i < ENTRY_REPLICAS; i++)
    {
      struct test_http_call removal = { .method = "DELETE",
                                        .address = entry_store->address,
                                        .path = path };

      (void)snprintf (path, sizeof path, ENTRY_OBJECTS "servers/i-%d", i);
      ck_assert_int_eq (test_http (&removal)->status, 200);
      entry_put_replica (i, "ready");
    }
  entry_start_host (1, "z");
  entry_wait_ready (1);
  for (int i = 0; i < 20; i++)
    {
      char id[32];

      (void)snprintf (id, sizeof id, "id-%d", i);
      ck_assert_int_eq (entry_request (1, "POST", "/book/1", id, NULL)->status,
                        200);
    }
  wait_for_unreadable (1, sizeof addresses / sizeof addresses[0]);
}
END_TEST

/* Guards against a log line for each list that has the entry.  */
START_TEST (an_odd_entry_is_reported_once_a_change)
{
  static const char line[] = "\"replica\":\"a-odd\"";

  put_raw ("servers/a-odd", "1e999");
  wait_for_unreadable (0, 1);
  for (int i = 0; i < 3; i++)
    {
      entry_set_faults (entry_store, "{\"compact\":true}");
      if (i % 2 == 0)
        entry_put_replica (0, "draining");
      else
        entry_restart_replica (0);
      wait_until_replica_0_is_used (0, i % 2 != 0);
    }
  ck_assert_int_eq (count_unreadable (0), 1);
  ck_assert_int_eq (count_lines (0, line), 1);
  put_raw ("servers/a-odd", "1e998");
  wait_for_unreadable (0, 2);
  wait_until_replica_0_is_used (0, false);
  ck_assert_int_eq (count_lines (0, line), 2);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("unreadable_entries");
  TCase *test_case = tcase_create ("unreadable_entries");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_set_timeout (test_case, 90);
  tcase_add_loop_test (test_case, an_odd_entry_hides_no_change_of_the_replicas,
                       0, ODD_SPECS);
  tcase_add_loop_test (test_case,
                       a_replica_whose_entry_becomes_unreadable_is_gone, 0,
                       ODD_SPECS);
  tcase_add_loop_test (test_case, an_odd_configuration_leaves_the_one_in_force,
                       0, ODD_SPECS);
  tcase_add_test (test_case, an_entry_with_an_odd_address_gets_no_request);
  tcase_add_test (test_case, an_odd_entry_is_reported_once_a_change);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
