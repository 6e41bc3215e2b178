#include "support/entry_site.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Replicas that say in their answers that they leave, or that they want no
   requests for a while.  */

#define SEALED "Request-Id: {id}\r\nServer-Seal: seal.1\r\n"
#define LEAVING "Server-Leaving: 1\r\n"
#define STREAM_HEAD                                                           \
  "HTTP/1.1 200 OK\r\n" SEALED "Content-Type: text/event-stream\r\n"          \
  "Transfer-Encoding: chunked\r\n"
#define LAST_CHUNK "0\r\n\r\n"
#define EVENT(n) "id: " #n "\ndata: piece " #n "\n\n"
#define ALL_EVENTS EVENT (1) EVENT (2) EVENT (3) EVENT (4) EVENT (5) EVENT (6)

/* Requests that must not reach a replica.  */
#define REQUESTS 12
/* More than enough for each replica to get one, as placement spreads them.  */
#define REQUESTS_MAX 200

static int serial;

static void
start_hosts (void)
{
  for (int i = 0; i < 2; i++)
    entry_start_host (i, "z");
  for (int i = 0; i < 2; i++)
    entry_wait_ready (i);
}

static void
set_up (void)
{
  entry_start_standins (1000000);
  start_hosts ();
}

static void
set_up_scripted (void)
{
  entry_start_scripted_standins (1000000);
  start_hosts ();
}

static void
tear_down (void)
{
  test_processes_clean_up ();
}

/* Sends a request whose prompt has a shared part of its own, so that requests
   are spread over the replicas.  */
static struct test_http_response *
send_prompt (int host)
{
  char id[48];
  char parts[96];
  const char *headers[] = { "Host: d.example",
                            "Authorization: Bearer key-1",
                            "Deadline-Ms: 6000",
                            "Token-Count: 1010,24",
                            id,
                            parts,
                            NULL };
  struct test_http_call call = { .method = "POST",
                                 .address = entry_caller_addresses[host],
                                 .path = "/stream/1",
                                 .headers = headers,
                                 .body = "hello" };

  serial++;
  (void)snprintf (id, sizeof id, "Request-Id: id-%d", serial);
  (void)snprintf (parts, sizeof parts, "Prompt-Prefix: shared%d:1000,own%d:10",
                  serial, serial);
  return test_http (&call);
}

static struct test_http_response *
send_lookup (int host)
{
  char id[32];

  (void)snprintf (id, sizeof id, "id-%d", ++serial);
  return entry_request (host, "GET", "/look/1", id, NULL);
}

static size_t
count_runs (int replica)
{
  json_t *runs
      = test_get_json (entry_replicas[replica]->address, "/standin/runs");
  size_t count = json_array_size (runs);

  json_decref (runs);
  return count;
}

static size_t
count_left (int replica)
{
  json_t *left
      = test_get_json (entry_replicas[replica]->address, "/standin/left");
  size_t count = (size_t)json_integer_value (left);

  json_decref (left);
  return count;
}

static long
read_metric (int host, const char *name)
{
  char address[ENTRY_ADDRESS_BYTES];
  struct test_http_call call = { .address = address, .path = "/metrics" };
  struct test_http_response *reply;
  char line[96];
  const char *found;

  entry_format_address (address, host, 8084);
  reply = test_http (&call);
  (void)snprintf (line, sizeof line, "\n%s ", name);
  found = strstr (reply->body.data, line);
  ck_assert_ptr_nonnull (found);
  return atol (found + strlen (line));
}

/* Sends requests through HOST and checks that all are served and none reaches
   REPLICA.  */
static void
expect_no_use (int host, int replica)
{
  size_t runs = count_runs (replica);

  for (int i = 0; i < REQUESTS; i++)
    {
      ck_assert_int_eq (send_lookup (host)->status, 200);
      ck_assert_int_eq (send_prompt (host)->status, 200);
    }
  ck_assert_uint_eq (count_runs (replica), runs);
}

/* Sends requests through HOST until one has reached REPLICA.  */
static void
use_replica (int host, int replica)
{
  size_t runs = count_runs (replica);

  for (int i = 0; i < REQUESTS_MAX && count_runs (replica) == runs; i++)
    {
      (void)send_prompt (host);
      test_sleep_ms (ENTRY_POLL_MS);
    }
  ck_assert_uint_gt (count_runs (replica), runs);
}

/* Sends requests of a stream through HOST until the script of REPLICA is used
   up.  */
static void
use_script (int host, int replica)
{
  for (int i = 0; i < REQUESTS_MAX && count_left (replica) > 0; i++)
    ck_assert_int_eq (send_prompt (host)->status, 200);
  ck_assert_uint_eq (count_left (replica), 0);
}

/* Guards against requests to a replica that has said in the head of a long
   stream that it leaves, and against ending that stream.  */
START_TEST (a_replica_that_leaves_ends_its_streams_and_gets_no_more)
{
  struct test_http_response *reply;
  struct test_http_task *task = NULL;
  char id_line[64];
  char parts[64];
  const char *headers[] = { "Host: d.example",
                            "Authorization: Bearer key-1",
                            "Deadline-Ms: 6000",
                            id_line,
                            "Token-Count: 1010,24",
                            parts,
                            NULL };
  struct test_http_call call = { .method = "POST",
                                 .address = entry_caller_addresses[0],
                                 .path = "/stream/1",
                                 .headers = headers,
                                 .body = "hello" };

  entry_add_response (entry_replicas[0], "send", STREAM_HEAD LEAVING "\r\n",
                      "chunk", EVENT (1), "wait_ms", "2500", "chunk",
                      EVENT (2) EVENT (3) EVENT (4) EVENT (5) EVENT (6),
                      "send", LAST_CHUNK, NULL);
  for (int i = 0; i < REQUESTS_MAX && task == NULL; i++)
    {
      (void)snprintf (id_line, sizeof id_line, "Request-Id: long-%d", i);
      (void)snprintf (parts, sizeof parts, "Prompt-Prefix: long%d:1000,own:10",
                      i);
      task = test_http_start (&call);
      while (entry_count_runs (id_line + strlen ("Request-Id: ")) == 0)
        test_sleep_ms (ENTRY_POLL_MS);
      if (count_left (0) > 0)
        {
          ck_assert_int_eq (test_http_join (task)->code, 0);
          task = NULL;
        }
    }
  ck_assert_ptr_nonnull (task);
  for (int waited = 0;
       waited < ENTRY_WAIT_MS
       && read_metric (0, "daisystep_replicas_leaving_total") == 0;
       waited += ENTRY_POLL_MS)
    test_sleep_ms (ENTRY_POLL_MS);
  expect_no_use (0, 0);
  reply = test_http_join (task);
  ck_assert_int_eq (reply->code, 0);
  ck_assert_str_eq (reply->body.data, ALL_EVENTS);
  ck_assert_str_eq (test_http_header (reply, "Server-Leaving"), "1");
  ck_assert_int_eq (read_metric (0, "daisystep_replicas_leaving_total"), 1);
}
END_TEST

/* Answers in which a replica may say that it leaves, the callers of which get
   the answer of another replica.  */
static const char *const other_answers[] = {
  "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n" LEAVING
  "Content-Length: 0\r\n\r\n",
  "HTTP/1.1 500 Internal Server Error\r\n" SEALED LEAVING
  "Content-Length: 0\r\n\r\n",
  "HTTP/1.1 200 OK\r\n" LEAVING "Content-Length: 0\r\n\r\n",
  "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Seal: seal.1\r\n" LEAVING
  "Content-Length: 0\r\n\r\n",
  STREAM_HEAD LEAVING "\r\n4\r\nid: ",
};

/* Guards against overlooking the notice in an answer that is not the one that
   the caller gets.  */
START_TEST (a_replica_says_that_it_leaves_in_any_answer)
{
  entry_add_response (entry_replicas[0], "send", other_answers[_i], "close",
                      "", NULL);
  use_script (0, 0);
  expect_no_use (0, 0);
}
END_TEST

/* Guards against a host that was told and goes on, against taking what one
   host was told for a fact at another one, and against a new lifetime that is
   left out for the words of the one before.  */
START_TEST (a_host_that_was_told_stops_until_the_next_lifetime)
{
  entry_set_faults (entry_replicas[0], "{\"leaving\":true}");
  use_replica (0, 0);
  expect_no_use (0, 0);
  ck_assert_int_gt (read_metric (0, "daisystep_requests_passed_over_total"),
                    0);
  use_replica (1, 0);
  expect_no_use (1, 0);
  entry_set_faults (entry_replicas[0], "{}");
  entry_restart_replica (0);
  use_replica (0, 0);
  use_replica (0, 0);
}
END_TEST

/* Guards against refusing requests at once when all replicas leave, and
   against sending them any after the time in which these serve.  */
START_TEST (the_last_replicas_serve_while_they_drain)
{
  struct test_http_response *reply = NULL;
  size_t runs;

  for (int i = 0; i < ENTRY_REPLICAS; i++)
    entry_set_faults (entry_replicas[i], "{\"leaving\":true}");
  for (int i = 0;
       i < REQUESTS_MAX
       && read_metric (0, "daisystep_replicas_leaving_total") < ENTRY_REPLICAS;
       i++)
    ck_assert_int_eq (send_prompt (0)->status, 200);
  ck_assert_int_eq (send_lookup (0)->status, 200);
  for (int waited = 0; waited < ENTRY_WAIT_MS; waited += ENTRY_POLL_MS)
    {
      reply = send_lookup (0);
      if (reply->status != 200)
        break;
      test_sleep_ms (ENTRY_POLL_MS);
    }
  ck_assert_int_eq (reply->status, 503);
  ck_assert_ptr_nonnull (test_http_header (reply, "Retry-After"));
  runs = count_runs (0) + count_runs (1);
  for (int i = 0; i < REQUESTS; i++)
    ck_assert_int_eq (send_lookup (0)->status, 503);
  ck_assert_uint_eq (count_runs (0) + count_runs (1), runs);
}
END_TEST

/* Guards against a request on a kept connection that the replica is about to
   close.  */
START_TEST (connections_to_a_replica_that_leaves_are_closed)
{
  struct test_http_response *reply;

  for (int i = 0; i < ENTRY_REPLICAS; i++)
    {
      entry_add_response (entry_replicas[i], "send",
                          "HTTP/1.1 200 OK\r\n" SEALED LEAVING
                          "Content-Length: 0\r\n\r\n",
                          NULL);
      entry_add_response (entry_replicas[i], "send",
                          "HTTP/1.1 200 OK\r\n" SEALED
                          "Previous: before{previous}\r\n"
                          "Content-Length: 0\r\n\r\n",
                          NULL);
    }
  for (int i = 0; i < ENTRY_REPLICAS; i++)
    ck_assert_int_eq (send_lookup (0)->status, 200);
  ck_assert_int_eq (read_metric (0, "daisystep_replicas_leaving_total"),
                    ENTRY_REPLICAS);
  reply = send_lookup (0);
  ck_assert_int_eq (reply->status, 200);
  ck_assert_str_eq (test_http_header (reply, "Previous"), "before");
}
END_TEST

#define REJECTION "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
#define NO_BODY "Content-Length: 0\r\n\r\n"
/* Longer than a test; and short, with the time after which it has ended.  */
#define LONG_HOLD "Retry-After: 30\r\n"
#define SHORT_HOLD "Retry-After: 2.5\r\n"
#define SHORT_HOLD_MS 2500
/* More than a host tells callers without a hold.  */
#define BUSY_WAIT_S 0.5
#define CALLERS 8

static const char empty_answer[] = "HTTP/1.1 200 OK\r\n" SEALED NO_BODY;

/* Answers that push back: rejections, and a 503 that does not say whether the
   request ran.  */
static const char *const holds[] = {
  REJECTION LONG_HOLD NO_BODY,
  REJECTION SEALED LONG_HOLD NO_BODY,
  "HTTP/1.1 503 Service Unavailable\r\n" SEALED LONG_HOLD NO_BODY,
  REJECTION LEAVING "Retry-After: 0.01\r\n" NO_BODY,
};

/* Guards against requests to a replica that wants none, while another one can
   take them.  */
START_TEST (a_replica_that_pushes_back_gets_no_requests)
{
  entry_add_response (entry_replicas[0], "send", holds[_i], NULL);
  use_script (0, 0);
  expect_no_use (0, 0);
  ck_assert_int_eq (read_metric (0, "daisystep_replicas_held_total"), 1);
  ck_assert_int_gt (read_metric (0, "daisystep_requests_passed_over_total"),
                    0);
  /* It asked host 0 alone.  */
  use_replica (1, 0);
}
END_TEST

/* Values that ask for nothing.  */
static const char *const no_holds[]
    = { "-30", "0", "3e1", "soon", "Sat, 05 Dec 2026 23:00:00 GMT" };

/* Guards against leaving out a replica for a value without sense.  */
START_TEST (a_value_without_sense_holds_nothing_back)
{
  char text[256];

  (void)snprintf (text, sizeof text, REJECTION "Retry-After: %s\r\n" NO_BODY,
                  no_holds[_i]);
  entry_add_response (entry_replicas[0], "send", text, NULL);
  use_script (0, 0);
  use_replica (0, 0);
  ck_assert_int_eq (read_metric (0, "daisystep_replicas_held_total"), 0);
}
END_TEST

/* Guards against overlooking the answer to a retry, and against holding back
   the replica of the first attempt for it.  */
START_TEST (a_retry_is_pushed_back)
{
  entry_add_response (entry_replicas[0], "send",
                      "HTTP/1.1 500 Internal Server Error\r\n" SEALED NO_BODY,
                      NULL);
  entry_add_response (entry_replicas[1], "send", REJECTION LONG_HOLD NO_BODY,
                      NULL);
  for (int i = 0; i < REQUESTS_MAX && count_left (0) > 0; i++)
    (void)send_lookup (0);
  ck_assert_uint_eq (count_left (1), 0);
  expect_no_use (0, 1);
  ck_assert_int_eq (read_metric (0, "daisystep_replicas_held_total"), 1);
}
END_TEST

/* A request under way; its texts are read until it is joined.  */
struct caller
{
  char id[32];
  char tokens[64];
  const char *headers[6];
  struct test_http_task *task;
};

static void
start_caller (struct caller *caller, const char *path, const char *tokens)
{
  const struct test_http_call call = { .method = "POST",
                                       .address = entry_caller_addresses[0],
                                       .path = path,
                                       .headers = caller->headers,
                                       .body = "hello" };

  (void)snprintf (caller->id, sizeof caller->id, "Request-Id: id-%d",
                  ++serial);
  (void)snprintf (caller->tokens, sizeof caller->tokens, "Token-Count: %s",
                  tokens);
  caller->headers[0] = "Host: d.example";
  caller->headers[1] = "Authorization: Bearer key-1";
  caller->headers[2] = "Deadline-Ms: 3000";
  caller->headers[3] = caller->id;
  caller->headers[4] = caller->tokens;
  caller->headers[5] = NULL;
  caller->task = test_http_start (&call);
}

/* Sends CALLERS requests at once to PATH, the first ones of a host for tokens,
   and returns how many are served.  The others are told when to come back, in
   LONGEST_S at the latest.  */
static int
send_together (const char *path, const char *tokens, double *longest_s)
{
  struct caller callers[CALLERS];
  int served = 0;

  *longest_s = 0;
  for (int i = 0; i < CALLERS; i++)
    start_caller (&callers[i], path, tokens);
  for (int i = 0; i < CALLERS; i++)
    {
      struct test_http_response *reply = test_http_join (callers[i].task);

      if (reply->status == 200)
        served++;
      else
        {
          double wait_s = atof (test_http_header (reply, "Retry-After"));

          ck_assert_int_eq (reply->status, 503);
          /* A third of the time that the caller has.  */
          ck_assert (wait_s > 0 && wait_s <= 1);
          if (wait_s > *longest_s)
            *longest_s = wait_s;
        }
    }
  return served;
}

/* Guards against sending requests that waited for tokens to replicas that want
   none, against a Retry-After that callers do not honour, and against all
   callers at once when the replicas are back.  */
START_TEST (callers_are_sent_away_while_all_replicas_push_back)
{
  double longest_s;

  for (int i = 0; i < ENTRY_REPLICAS; i++)
    {
      entry_add_refusal (entry_replicas[i], "send",
                         REJECTION SHORT_HOLD NO_BODY, NULL);
      entry_add_response (entry_replicas[i], "wait_ms", "400", "send",
                          empty_answer, NULL);
    }
  ck_assert_int_eq (send_lookup (0)->status, 503);
  for (int i = 0; i < ENTRY_REPLICAS; i++)
    ck_assert_uint_eq (count_left (i), 1);
  ck_assert_int_eq (send_together ("/stream/1", "1000,24", &longest_s), 0);
  ck_assert (longest_s > BUSY_WAIT_S);
  for (int i = 0; i < ENTRY_REPLICAS; i++)
    ck_assert_uint_eq (count_runs (i), 0);
  test_sleep_ms (SHORT_HOLD_MS);
  ck_assert_int_lt (send_together ("/look/1", "1,1", &longest_s), CALLERS);
  for (int waited = 0;
       waited < ENTRY_WAIT_MS
       && send_together ("/look/1", "1,1", &longest_s) < CALLERS;
       waited += ENTRY_POLL_MS)
    test_sleep_ms (ENTRY_POLL_MS);
  ck_assert_int_eq (send_together ("/look/1", "1,1", &longest_s), CALLERS);
}
END_TEST

/* Guards against a next lifetime that gets no requests for the words of the
   one before.  */
START_TEST (a_new_lifetime_is_not_held_back)
{
  entry_set_faults (entry_replicas[0], "{\"shed\":1,\"retry_after\":\"600\"}");
  for (int i = 0; i < REQUESTS_MAX
                  && read_metric (0, "daisystep_replicas_held_total") == 0;
       i++)
    (void)send_prompt (0);
  expect_no_use (0, 0);
  entry_restart_replica (0);
  use_replica (0, 0);
  use_replica (0, 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("entry_pushback");
  TCase *leaving = tcase_create ("leaving");
  TCase *scripted = tcase_create ("scripted");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (leaving, set_up, tear_down);
  tcase_set_timeout (leaving, 60);
  tcase_add_test (leaving, a_host_that_was_told_stops_until_the_next_lifetime);
  tcase_add_test (leaving, the_last_replicas_serve_while_they_drain);
  tcase_add_checked_fixture (scripted, set_up_scripted, tear_down);
  tcase_set_timeout (scripted, 60);
  tcase_add_test (scripted,
                  a_replica_that_leaves_ends_its_streams_and_gets_no_more);
  tcase_add_loop_test (scripted, a_replica_says_that_it_leaves_in_any_answer,
                       0, sizeof other_answers / sizeof other_answers[0]);
  tcase_add_test (scripted, connections_to_a_replica_that_leaves_are_closed);
  tcase_add_test (leaving, a_new_lifetime_is_not_held_back);
  tcase_add_loop_test (scripted, a_replica_that_pushes_back_gets_no_requests,
                       0, sizeof holds / sizeof holds[0]);
  tcase_add_loop_test (scripted, a_value_without_sense_holds_nothing_back, 0,
                       sizeof no_holds / sizeof no_holds[0]);
  tcase_add_test (scripted, a_retry_is_pushed_back);
  tcase_add_test (scripted,
                  callers_are_sent_away_while_all_replicas_push_back);
  suite_add_tcase (suite, leaving);
  suite_add_tcase (suite, scripted);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
