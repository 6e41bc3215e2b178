#include "support/entry_site.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Two weak hosts, which start first, and two strong ones.  */
#define HOSTS 4
#define WEAK 2
#define BODY_BYTES 16000

static void
set_up (void)
{
  entry_start_standins (1000000);
  for (int i = 0; i < HOSTS; i++)
    {
      entry_further_settings
          = i < WEAK ? "\"spread_callers\":true,\"link_mbps\":4,"
                     : "\"spread_callers\":true,\"link_mbps\":200,";
      entry_start_host (i, "east");
    }
  for (int i = 0; i < HOSTS; i++)
    entry_wait_ready (i);
}

static void
tear_down (void)
{
  test_processes_clean_up ();
}

/* Whether host I offers the hosts in MASK and no others.  */
static bool
offers (int i, unsigned mask)
{
  struct test_http_call call
      = { .address = entry_directory_addresses[i],
          .path = "/daisystep/resolve?name=d.example&region=r&zone=east" };
  const char *answer = test_http (&call)->body.data;
  unsigned found = 0;

  for (int k = 0; k < HOSTS; k++)
    if (strstr (answer, entry_caller_addresses[k]) != NULL)
      found |= 1U << k;
  return found == mask;
}

static void
wait_for_offer (unsigned mask)
{
  for (int i = 0; i < HOSTS; i++)
    {
      int waited = 0;

      for (; waited < ENTRY_WAIT_MS && !offers (i, mask);
           waited += ENTRY_POLL_MS)
        test_sleep_ms (ENTRY_POLL_MS);
      ck_assert_msg (waited < ENTRY_WAIT_MS, "host %d", i);
    }
}

/* Sends a large request to host 0 and returns its Connection header.  */
static char *
send_large (int number)
{
  static char body[BODY_BYTES + 1];
  char id[48];
  const char *headers[] = { "Host: d.example",
                            "Authorization: Bearer key-1",
                            "Deadline-Ms: 6000",
                            "Token-Count: 100,24",
                            id,
                            NULL };
  struct test_http_call call = {
    .method = "POST",
    .address = entry_caller_addresses[0],
    .path = "/stream/1",
    .headers = headers,
    .body = body,
  };
  struct test_http_response *response;

  memset (body, 'x', BODY_BYTES);
  (void)snprintf (id, sizeof id, "Request-Id: large-%d", number);
  response = test_http (&call);
  ck_assert_int_eq (response->status, 200);
  return test_http_header (response, "Connection");
}

/* Load: one caller sends more to a weak host than its link carries.  Guards
   against hosts that go on naming weak hosts to it, and against a weak host
   that keeps its connections.  */
START_TEST (a_heavy_caller_is_led_to_strong_hosts)
{
  bool closes = false;

  entry_wait_served (0);
  wait_for_offer (0xF);
  for (int i = 0; i < 400 && !closes; i++)
    {
      const char *connection = send_large (i);

      closes = connection != NULL && strcmp (connection, "close") == 0;
      test_sleep_ms (10);
    }
  ck_assert (closes);
  wait_for_offer (0xC);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("entry_spread");
  TCase *test_case = tcase_create ("entry_spread");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_set_timeout (test_case, 60);
  tcase_add_test (test_case, a_heavy_caller_is_led_to_strong_hosts);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
