#include "proto/gossip.pb-c.h"
#include "support/entry_site.h"

#include "core/replica_set.h"
#include "io/socket_address.h"

#include <check.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/* Time after which a host that is in touch with the store must know what the
   store has accepted: "contact_ms" of the users' platform.  */
#define CONTACT_MS 3000
#define PREPAID 1000000
/* Time after which a replica that has left gets no requests: "drain_ms" of the
   users' platform.  */
#define DRAIN_MS 2000
/* Calls of the two watches within CONTACT_MS, checked once in an interval of a
   second and ending by themselves as often.  */
#define CALLS_MAX 24

/* One host that has no other host to hear from, and no work that calls the
   store.  */
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

static long
now_ms (void)
{
  struct timespec now;

  (void)clock_gettime (CLOCK_MONOTONIC, &now);
  return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/* Waits until the host serves the route at PATH, and returns when it did.  */
static long
wait_for_route (const char *path)
{
  char id[32];

  for (int i = 0; i < ENTRY_WAIT_MS / ENTRY_POLL_MS * 2; i++)
    {
      (void)snprintf (id, sizeof id, "id-%d", i);
      if (entry_request (0, "GET", path, id, NULL)->status == 200)
        return now_ms ();
      test_sleep_ms (ENTRY_POLL_MS);
    }
  ck_abort_msg ("%s is not served", path);
}

static size_t
count_runs_at (int replica)
{
  json_t *runs
      = test_get_json (entry_replicas[replica]->address, "/standin/runs");
  size_t count = json_array_size (runs);

  json_decref (runs);
  return count;
}

static json_int_t
count_watches (void)
{
  json_t *counts = test_get_json (entry_store->address, "/standin/counts");
  json_int_t watches
      = json_integer_value (json_object_get (counts, "watches"));

  json_decref (counts);
  return watches;
}

/* Guards against a host that serves by an old configuration for as long as its
   watch waits, since the response with the new one was lost and its connection
   stays open.  */
START_TEST (a_configuration_whose_watch_response_is_lost_takes_effect)
{
  long accepted_ms;

  entry_set_faults (entry_store,
                    "{\"lose_watches\":1,\"lose_kind\":\"config\"}");
  entry_put_config_with_route (PREPAID, "/new/");
  accepted_ms = now_ms ();
  ck_assert_int_le (wait_for_route ("/new/1") - accepted_ms, CONTACT_MS);
}
END_TEST

/* Guards against requests to a replica that is leaving, since the response
   that says so was lost.  */
START_TEST (a_drain_whose_watch_response_is_lost_takes_effect)
{
  size_t runs;
  char id[32];

  entry_set_faults (entry_store,
                    "{\"lose_watches\":1,\"lose_kind\":\"servers\"}");
  entry_put_replica (0, "draining");
  test_sleep_ms (CONTACT_MS);
  runs = count_runs_at (0);
  for (int i = 0; i < 8; i++)
    {
      (void)snprintf (id, sizeof id, "id-%d", i);
      ck_assert_int_eq (entry_request (0, "GET", "/look/1", id, NULL)->status,
                        200);
    }
  ck_assert_uint_eq (count_runs_at (0), runs);
}
END_TEST

/* Another host that is wrong about what the store has.  */
struct wrong_host
{
  int socket_fd;
  struct ds_socket_address to;
  Daisystep__Gossip__Datagram datagram;
};

static void
init_wrong_host (struct wrong_host *wrong)
{
  static char empty[] = "";
  static char host[] = "wrong";
  static char zone[] = "z";
  static char gossip[] = "127.0.0.1:9";
  char address[ENTRY_ADDRESS_BYTES];

  entry_format_address (address, 0, 8083);
  ck_assert_int_eq (
      ds_socket_address_parse (&wrong->to, ds_str_from_c (address)), 0);
  wrong->socket_fd = socket (AF_INET, SOCK_DGRAM, 0);
  daisystep__gossip__datagram__init (&wrong->datagram);
  wrong->datagram.host = host;
  wrong->datagram.incarnation = 1;
  wrong->datagram.zone = zone;
  wrong->datagram.region = empty;
  wrong->datagram.caller_address = empty;
  wrong->datagram.gossip_address = gossip;
  wrong->datagram.ready = true;
}

/* Sends the datagram of WRONG to the host for DURATION_MS.  */
static void
send_wrong_reports (const struct wrong_host *wrong, long duration_ms)
{
  long start_ms = now_ms ();
  uint8_t bytes[512];
  size_t size = daisystep__gossip__datagram__pack (&wrong->datagram, bytes);

  while (now_ms () - start_ms < duration_ms)
    {
      ck_assert_int_eq (sendto (wrong->socket_fd, bytes, size, 0,
                                (const struct sockaddr *)&wrong->to.storage,
                                wrong->to.length),
                        (ssize_t)size);
      test_sleep_ms (100);
    }
}

/* Guards against one host with a wrong revision that makes another call the
   store without pause, or that hides a change from it.  */
START_TEST (a_wrong_revision_of_another_host_costs_few_calls)
{
  struct wrong_host wrong;
  json_int_t before = count_watches ();
  long accepted_ms;

  init_wrong_host (&wrong);
  wrong.datagram.config_revision = UINT64_MAX;
  wrong.datagram.replica_revision = UINT64_MAX;
  send_wrong_reports (&wrong, CONTACT_MS);
  ck_assert_int_le (count_watches () - before, CALLS_MAX);
  entry_put_config_with_route (PREPAID, "/new/");
  accepted_ms = now_ms ();
  ck_assert_int_le (wait_for_route ("/new/1") - accepted_ms, CONTACT_MS);
  (void)close (wrong.socket_fd);
}
END_TEST

/* Guards against one host that reports an era which the store has never had,
   and so makes another one discard all that the store says.  */
START_TEST (a_wrong_era_of_another_host_costs_few_calls)
{
  struct wrong_host wrong;
  json_int_t before;
  long accepted_ms;

  ck_assert_int_eq (test_post (entry_store->address, "/standin/era", "1"),
                    200);
  entry_put_config (PREPAID);
  test_sleep_ms (1000);
  before = count_watches ();
  init_wrong_host (&wrong);
  wrong.datagram.store_era = 1000;
  send_wrong_reports (&wrong, CONTACT_MS);
  ck_assert_int_le (count_watches () - before, CALLS_MAX);
  entry_put_config_with_route (PREPAID, "/new/");
  accepted_ms = now_ms ();
  ck_assert_int_le (wait_for_route ("/new/1") - accepted_ms, CONTACT_MS);
  entry_wait_served (0);
  (void)close (wrong.socket_fd);
}
END_TEST

/* Guards against one host that reports replicas as gone, again and again, and
   takes them out of service at another that can ask the store.  */
START_TEST (a_wrong_departure_of_another_host_ends_soon)
{
  struct wrong_host wrong;
  Daisystep__Gossip__Departure departures[ENTRY_REPLICAS];
  Daisystep__Gossip__Departure *messages[ENTRY_REPLICAS];
  char id[16];

  init_wrong_host (&wrong);
  for (int i = 0; i < ENTRY_REPLICAS; i++)
    {
      (void)snprintf (id, sizeof id, "i-%d", i);
      daisystep__gossip__departure__init (&departures[i]);
      departures[i].replica
          = ds_replica_hash (ds_str_from_c (id), 1000 + (uint64_t)i);
      departures[i].revision = UINT64_MAX - 1;
      departures[i].gone = true;
      messages[i] = &departures[i];
    }
  wrong.datagram.departures = messages;
  wrong.datagram.n_departures = ENTRY_REPLICAS;
  send_wrong_reports (&wrong, 150);
  /* The reports count at first.  */
  ck_assert_int_eq (entry_request (0, "GET", "/look/1", "id-1", NULL)->status,
                    503);
  send_wrong_reports (&wrong, CONTACT_MS);
  ck_assert_int_eq (entry_request (0, "GET", "/look/1", "id-2", NULL)->status,
                    200);
  (void)close (wrong.socket_fd);
}
END_TEST

/* Guards against a host that has lost the store, uses replicas that have left
   meanwhile, and does not believe the others, whose store works.  */
START_TEST (a_departure_counts_at_a_host_that_has_lost_the_store)
{
  struct wrong_host other;
  Daisystep__Gossip__Departure departure = DAISYSTEP__GOSSIP__DEPARTURE__INIT;
  Daisystep__Gossip__Departure *messages[] = { &departure };

  init_wrong_host (&other);
  departure.replica = ds_replica_hash (DS_STR ("i-0"), 1000);
  departure.revision = 1000000;
  departure.gone = true;
  entry_set_faults (entry_store, "{\"busy\":true}");
  test_sleep_ms (CONTACT_MS);
  other.datagram.departures = messages;
  other.datagram.n_departures = 1;
  send_wrong_reports (&other, 300);
  entry_set_faults (entry_replicas[1], "{\"shed\":10}");
  ck_assert_int_eq (entry_request (0, "GET", "/look/1", "id", NULL)->status,
                    503);
  ck_assert_int_eq (entry_count_runs ("id"), 0);
  (void)close (other.socket_fd);
}
END_TEST

/* Guards against a host that uses a replica longer than allowed after it has
   left, since the store turns other hosts away, for a moment or for long, but
   not this one.  */
START_TEST (a_removal_counts_at_once_while_others_are_turned_away)
{
  struct wrong_host turned_away;
  struct test_http_call removal = { .method = "DELETE",
                                    .address = entry_store->address,
                                    .path = ENTRY_OBJECTS "servers/i-0" };

  init_wrong_host (&turned_away);
  turned_away.datagram.ledger_near = false;
  send_wrong_reports (&turned_away, _i == 0 ? 500 : CONTACT_MS);
  ck_assert_int_eq (test_http (&removal)->status, 200);
  send_wrong_reports (&turned_away, DRAIN_MS / 2);
  /* Only the replica that has left would take the request.  */
  entry_set_faults (entry_replicas[1], "{\"shed\":10}");
  ck_assert_int_eq (entry_request (0, "GET", "/look/1", "id", NULL)->status,
                    503);
  ck_assert_int_eq (entry_count_runs ("id"), 0);
  (void)close (turned_away.socket_fd);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("store_watcher");
  TCase *test_case = tcase_create ("store_watcher");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_set_timeout (test_case, 90);
  tcase_add_test (test_case,
                  a_configuration_whose_watch_response_is_lost_takes_effect);
  tcase_add_test (test_case,
                  a_drain_whose_watch_response_is_lost_takes_effect);
  tcase_add_test (test_case, a_wrong_revision_of_another_host_costs_few_calls);
  tcase_add_test (test_case, a_wrong_era_of_another_host_costs_few_calls);
  tcase_add_test (test_case, a_wrong_departure_of_another_host_ends_soon);
  tcase_add_loop_test (
      test_case, a_removal_counts_at_once_while_others_are_turned_away, 0, 2);
  tcase_add_test (test_case,
                  a_departure_counts_at_a_host_that_has_lost_the_store);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
