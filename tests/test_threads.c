#include "support/site.h"

#include "program/server.h"
#include "program/settings.h"

#include <check.h>
#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define STREAMS 200
#define DISCONNECTS 40
#define SERVICE_CALLS 40
/* Tokens of the shortest stream; each stream has a different length.  */
#define TOKENS_MIN 20
#define FOUR_WORKERS ",\"worker_threads\":4"

static const char *const north[] = { TEST_BEARER (TEST_KEY_NORTH), NULL };
static const char *const engine_arguments[]
    = { "--token-ms", "2", "--default-output", "1000", NULL };

static void *
run_server (void *server)
{
  return ds_server_run (server) == 0 ? server : NULL;
}

/* Returns the text of a response of COUNT tokens.  */
static char *
expected_text (size_t count)
{
  GString *text = g_string_new (NULL);

  for (size_t i = 0; i < count; i++)
    g_string_append_printf (text, "%stok%zu", i > 0 ? " " : "", i);
  return g_string_free (text, FALSE);
}

/* Returns the text of a stream, without its end mark.  */
static char *
streamed_text (const struct test_http_response *reply)
{
  char **lines = g_strsplit (reply->body.data, "\n", -1);
  GString *text = g_string_new (NULL);

  for (size_t i = 0; lines[i] != NULL; i++)
    {
      json_t *event = g_str_has_prefix (lines[i], "data: {")
                          ? json_loads (lines[i] + strlen ("data: "), 0, NULL)
                          : NULL;
      const char *part = json_string_value (
          test_json_at (event, "choices/0/delta/content"));

      g_string_append (text, part != NULL ? part : "");
      json_decref (event);
    }
  g_strfreev (lines);
  return g_string_free (text, FALSE);
}

static struct test_http_call
stream_call (size_t tokens)
{
  return (struct test_http_call){
    .method = "POST",
    .address = test_fixture.caller,
    .path = TEST_COMPLETIONS,
    .headers = north,
    .body = talloc_asprintf (NULL,
                             "{\"model\":\"assistant\",\"stream\":true,"
                             "\"max_tokens\":%zu," TEST_MESSAGES "}",
                             tokens),
    .timeout_ms = 60000,
  };
}

static void
check_stream (struct test_http_task *task, size_t tokens)
{
  struct test_http_response *reply = test_http_join (task);
  char *text = streamed_text (reply);
  char *expected = expected_text (tokens);

  ck_assert_msg (reply->code == 0 && reply->status == 200,
                 "code %d status %ld: %s", reply->code, reply->status,
                 reply->body.data);
  ck_assert_str_eq (text, expected);
  ck_assert (g_str_has_suffix (reply->body.data, "data: [DONE]\n\n"));
  g_free (text);
  g_free (expected);
  talloc_free (reply);
}

/* Reads metrics and dump, which takes every lock, until STOP is set.  */
static void *
read_state (void *stop)
{
  while (!atomic_load ((atomic_bool *)stop))
    {
      json_decref (test_get_json (test_fixture.operators, "/v1/dump"));
      (void)test_fixture_metric ("requests_total");
    }
  return NULL;
}

/* Runs streams, streams whose caller disconnects, and service calls
   concurrently.  Returns the number of bills that must result.  */
static size_t
run_mixed_load (void)
{
  struct test_http_call service = { .method = "POST",
                                    .address = test_fixture.caller,
                                    .path = "/v1/services/booking",
                                    .headers = north,
                                    .body = "{\"shift\":\"dawn\"}",
                                    .timeout_ms = 60000 };
  struct test_http_call whole[STREAMS];
  struct test_http_call disconnecting = stream_call (1000);
  struct test_http_task *streams[STREAMS];
  struct test_http_task *disconnects[DISCONNECTS];
  struct test_http_task *services[SERVICE_CALLS];

  disconnecting.stop_after_bytes = 1;
  for (size_t i = 0; i < STREAMS; i++)
    {
      whole[i] = stream_call (TOKENS_MIN + i);
      streams[i] = test_http_start (&whole[i]);
      if (i < DISCONNECTS)
        disconnects[i] = test_http_start (&disconnecting);
      if (i < SERVICE_CALLS)
        services[i] = test_http_start (&service);
    }
  for (size_t i = 0; i < STREAMS; i++)
    {
      check_stream (streams[i], TOKENS_MIN + i);
      talloc_free ((void *)(uintptr_t)whole[i].body);
    }
  for (size_t i = 0; i < DISCONNECTS; i++)
    talloc_free (test_http_join (disconnects[i]));
  for (size_t i = 0; i < SERVICE_CALLS; i++)
    {
      struct test_http_response *reply = test_http_join (services[i]);

      ck_assert_int_eq (reply->status, 200);
      talloc_free (reply);
    }
  talloc_free ((void *)(uintptr_t)disconnecting.body);
  return STREAMS + DISCONNECTS + SERVICE_CALLS;
}

/* Detects data races between the workers and the control thread, and streams
   that get each other's events.  The server runs in this process, so that the
   thread sanitizer covers it.  */
START_TEST (in_process_server_completes_mixed_load)
{
  struct ds_error error = DS_ERROR_NONE;
  struct ds_settings *settings = NULL;
  struct ds_server *server = NULL;
  atomic_bool stop = false;
  pthread_t control;
  pthread_t reader;
  void *result;
  size_t bills;
  char *path;

  test_fixture_start_standins (
      &(struct test_fixture_options){ .engine_arguments = engine_arguments,
                                      .settings = FOUR_WORKERS },
      &path);
  ck_assert_msg (ds_settings_load (&settings, NULL, path, &error) == 0, "%s",
                 error.message);
  ck_assert_msg (ds_server_new (&server, settings, &error) == 0, "%s",
                 error.message);
  ck_assert_int_eq (pthread_create (&control, NULL, run_server, server), 0);
  test_fixture_wait_ready ();
  ck_assert_int_eq (pthread_create (&reader, NULL, read_state, &stop), 0);
  bills = run_mixed_load ();
  atomic_store (&stop, true);
  pthread_join (reader, NULL);
  test_fixture_expect_bills (bills);
  ck_assert_int_eq (kill (getpid (), SIGTERM), 0);
  pthread_join (control, &result);
  ck_assert_ptr_eq (result, server);
  ds_server_free (server);
  ds_settings_free (settings);
  talloc_free (path);
}
END_TEST

/* The same load on the program as operators start it; its exit status must be
   0.  */
START_TEST (serve_command_completes_mixed_load)
{
  size_t bills;

  test_fixture_start (&(struct test_fixture_options){
      .engine_arguments = engine_arguments, .settings = FOUR_WORKERS });
  bills = run_mixed_load ();
  test_fixture_expect_bills (bills);
  ck_assert_int_eq (test_fixture_metric ("answers_whole_total"),
                    STREAMS + SERVICE_CALLS);
  ck_assert_int_eq (test_process_signal (test_fixture.host, SIGTERM), 0);
  ck_assert (test_process_wait (test_fixture.host, 60000));
  ck_assert_int_eq (test_fixture.host->status, 0);
}
END_TEST

#define DISCONNECTING_THREADS 32
#define DISCONNECTING_CALLS 60

/* Sends calls whose caller disconnects after 1 to 12 ms, while most wait for
   an upstream.  */
static void *
send_disconnecting_calls (void *number)
{
  GRand *random = g_rand_new_with_seed (GPOINTER_TO_UINT (number));
  struct test_http_call call = stream_call (2);

  for (int i = 0; i < DISCONNECTING_CALLS; i++)
    {
      call.timeout_ms = g_rand_int_range (random, 1, 13);
      talloc_free (test_http (&call));
    }
  talloc_free ((void *)(uintptr_t)call.body);
  g_rand_free (random);
  return NULL;
}

/* An upstream's slot must be released if the caller disconnects while the
   decision to use the upstream is in the worker's mailbox.  */
START_TEST (disconnected_callers_release_their_upstream_slots)
{
  pthread_t threads[DISCONNECTING_THREADS];
  struct test_http_call last;
  struct test_http_task *task;

  test_fixture_start (
      &(struct test_fixture_options){ .engine_arguments = engine_arguments,
                                      .settings = FOUR_WORKERS,
                                      .max_in_flight = 2 });
  for (guint i = 0; i < DISCONNECTING_THREADS; i++)
    ck_assert_int_eq (pthread_create (&threads[i], NULL,
                                      send_disconnecting_calls,
                                      GUINT_TO_POINTER (i + 1)),
                      0);
  for (guint i = 0; i < DISCONNECTING_THREADS; i++)
    pthread_join (threads[i], NULL);
  TEST_WAIT_UNTIL (test_fixture_metric ("requests_running") == 0);
  TEST_WAIT_UNTIL (test_fixture_dump_number ("router/queued") == 0);
  TEST_WAIT_UNTIL (test_fixture_dump_number ("router/upstreams/0/in_flight")
                   == 0);
  TEST_WAIT_UNTIL (test_fixture_dump_number ("router/upstreams/1/in_flight")
                   == 0);
  last = stream_call (TOKENS_MIN);
  task = test_http_start (&last);
  check_stream (task, TOKENS_MIN);
  talloc_free ((void *)(uintptr_t)last.body);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("threads");
  TCase *test_case = tcase_create ("threads");
  TCase *disconnects = tcase_create ("hurried");
  SRunner *runner;
  int failed;

  tcase_set_timeout (test_case, 200);
  tcase_add_test (test_case, in_process_server_completes_mixed_load);
  tcase_add_test (test_case, serve_command_completes_mixed_load);
  suite_add_tcase (suite, test_case);
  tcase_set_timeout (disconnects, 200);
  tcase_add_test (disconnects,
                  disconnected_callers_release_their_upstream_slots);
  suite_add_tcase (suite, disconnects);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
