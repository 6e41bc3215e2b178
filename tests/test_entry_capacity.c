#include "support/entry_site.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Two hosts that learn the capacity of replicas, with real processes.  */

#define HEAD                                                                  \
  "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal.1\r\n"            \
  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
#define EVENT(n) "id: " #n "\ndata: piece " #n "\n\n"
/* Of a replica; prompts of PROMPT fill it with one of them.  */
#define KV_CAPACITY 3000
#define PROMPT "2000,24"

static void
set_up (void)
{
  entry_further_settings = "\"replica_capacity\":{},";
  entry_kv_capacity = KV_CAPACITY;
  entry_start_scripted_standins (1000000);
  for (int i = 0; i < 2; i++)
    entry_start_host (i, "z");
  for (int i = 0; i < 2; i++)
    {
      entry_wait_ready (i);
      entry_wait_served (i);
    }
}

static void
tear_down (void)
{
  test_processes_clean_up ();
}

/* A stream through host 0.  A running task uses its strings.  */
struct stream
{
  char id_line[64];
  const char *headers[6];
  struct test_http_task *task;
};

static void
start_stream (struct stream *stream, const char *id)
{
  struct test_http_call call = {
    .method = "POST",
    .address = entry_caller_addresses[0],
    .path = "/stream/1",
    .headers = stream->headers,
    .body = "hello",
  };

  (void)snprintf (stream->id_line, sizeof stream->id_line, "Request-Id: %s",
                  id);
  stream->headers[0] = "Host: d.example";
  stream->headers[1] = "Authorization: Bearer key-1";
  stream->headers[2] = "Deadline-Ms: 8000";
  stream->headers[3] = "Token-Count: " PROMPT;
  stream->headers[4] = stream->id_line;
  stream->headers[5] = NULL;
  stream->task = test_http_start (&call);
}

static void
wait_until_run (const char *id)
{
  for (int waited = 0; waited < ENTRY_WAIT_MS && entry_count_runs (id) == 0;
       waited += ENTRY_POLL_MS)
    test_sleep_ms (ENTRY_POLL_MS);
  ck_assert_int_eq (entry_count_runs (id), 1);
}

/* Requests through host 1 until STATUS is the response; returns the last.  */
static struct test_http_response *
request_until (long status, const char *name)
{
  struct test_http_response *reply = NULL;

  for (int i = 0, waited = 0; waited < ENTRY_WAIT_MS;
       i++, waited += ENTRY_POLL_MS)
    {
      char id[32];

      (void)snprintf (id, sizeof id, "%s-%d", name, i);
      reply = entry_request (1, "POST", "/look/1", id, PROMPT);
      if (reply->status == status)
        break;
      test_sleep_ms (ENTRY_POLL_MS);
    }
  return reply;
}

/* Guards against a replica that crashes because hosts do not know of each
   other's prompts: while streams of host 0 fill the memory of both replicas,
   host 1 refuses at once what they cannot hold, sends what they can, and sends
   everything again afterwards.  */
START_TEST (prompts_of_other_hosts_count_against_the_memory)
{
  struct stream streams[2];
  struct test_http_response *reply;

  for (int i = 0; i < ENTRY_REPLICAS; i++)
    entry_add_response (entry_replicas[i], "send", HEAD, "chunk", EVENT (1),
                        "wait_ms", "5000", "chunk",
                        EVENT (2) EVENT (3) EVENT (4) EVENT (5) EVENT (6),
                        "send", "0\r\n\r\n", NULL);
  start_stream (&streams[0], "stream-0");
  wait_until_run ("stream-0");
  start_stream (&streams[1], "stream-1");
  wait_until_run ("stream-1");
  reply = request_until (503, "full");
  ck_assert_int_eq (reply->status, 503);
  ck_assert_msg (strstr (reply->body.data, "memory") != NULL, "%s",
                 reply->body.data);
  ck_assert_ptr_nonnull (test_http_header (reply, "Retry-After"));
  ck_assert_int_eq (
      entry_request (1, "POST", "/look/1", "small", "300,24")->status, 200);
  for (int i = 0; i < 2; i++)
    {
      reply = test_http_join (streams[i].task);
      ck_assert_int_eq (reply->code, 0);
      ck_assert_int_eq (reply->status, 200);
    }
  ck_assert_int_eq (request_until (200, "free")->status, 200);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("entry_capacity");
  TCase *test_case = tcase_create ("entry_capacity");
  SRunner *runner;
  int failed;

  tcase_set_timeout (test_case, 60);
  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_add_test (test_case, prompts_of_other_hosts_count_against_the_memory);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
