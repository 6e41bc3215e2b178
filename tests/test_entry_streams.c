#include "support/entry_site.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Streams of faulty replicas, as a caller of an entry host gets them.  */

#define UNFRAMED_HEAD                                                         \
  "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal.1\r\n"            \
  "Content-Type: text/event-stream\r\n\r\n"
#define CHUNKED_HEAD                                                          \
  "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal.1\r\n"            \
  "Content-Type: text/event-stream\r\n"                                       \
  "Transfer-Encoding: chunked\r\n\r\n"
#define LAST_CHUNK "0\r\n\r\n"
#define EVENT(n) "id: " #n "\ndata: piece " #n "\n\n"
#define COMMENT ": comment\n\n"
#define GARBAGE "!\x01 garbage\n\n"
#define REJECTION                                                             \
  "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"                   \
  "Content-Length: 0\r\n\r\n"

/* More than the replicas have responses in their scripts.  */
#define REQUESTS 6

static const char chunked_head[] = CHUNKED_HEAD;
static const char unframed_head[] = UNFRAMED_HEAD;
static const char all_events[]
    = EVENT (1) EVENT (2) EVENT (3) EVENT (4) EVENT (5) EVENT (6);

static void
set_up (void)
{
  entry_start_scripted_standins (1000000);
  entry_start_host (0, "z");
  entry_wait_ready (0);
  entry_wait_served (0);
}

static void
tear_down (void)
{
  test_processes_clean_up ();
}

/* Adds the same response to both replicas.  */
#define ADD_RESPONSES(...)                                                    \
  do                                                                          \
    for (int i = 0; i < ENTRY_REPLICAS; i++)                                  \
      entry_add_response (entry_replicas[i], __VA_ARGS__, NULL);              \
  while (0)

/* Returns a copy of BODY without the comments that replicas send.  */
static const char *
without_comments (const struct ds_str *body)
{
  static char text[1024];
  const char *from = body->data;
  size_t length = 0;

  ck_assert_uint_lt (body->length, sizeof text);
  while (*from != '\0')
    if (strncmp (from, COMMENT, strlen (COMMENT)) == 0)
      from += strlen (COMMENT);
    else
      text[length++] = *from++;
  text[length] = '\0';
  return text;
}

/* Sends requests to PATH until the replicas have used their scripts and
   beyond, and checks that each response holds only events of the sound stream,
   from the first one on, and all of them if it looks complete.  */
static void
check_streams_of (const char *path)
{
  for (int i = 0; i < REQUESTS; i++)
    {
      struct test_http_response *reply;
      const char *events;
      char id[16];

      (void)snprintf (id, sizeof id, "id-%d", i);
      reply = entry_request (0, "POST", path, id, "100,24");
      events = without_comments (&reply->body);
      ck_assert_msg (strncmp (events, all_events, strlen (events)) == 0,
                     "caller got: %s", events);
      if (reply->code == 0 || i == REQUESTS - 1)
        ck_assert_str_eq (events, all_events);
    }
}

/* The same for a route whose streams may be resumed.  */
static void
check_streams (void)
{
  check_streams_of ("/stream/1");
}

/* Guards against forwarding bytes of a faulty replica that are no event and
   end with an empty line.  */
START_TEST (garbage_between_events_does_not_reach_the_caller)
{
  ADD_RESPONSES ("send", CHUNKED_HEAD, "chunk", EVENT (1) EVENT (2) EVENT (3),
                 "chunk", GARBAGE, "chunk", EVENT (4) EVENT (5) EVENT (6),
                 "send", LAST_CHUNK);
  check_streams ();
}
END_TEST

/* Guards against forwarding the head of a second response as an event of a
   stream that ends with its connection.  */
START_TEST (a_second_response_in_an_unframed_stream_does_not_reach_the_caller)
{
  ADD_RESPONSES ("send", UNFRAMED_HEAD EVENT (1) EVENT (2) EVENT (3), "send",
                 REJECTION, "close", "");
  check_streams ();
}
END_TEST

/* Guards against losing a stream that another replica can continue.  */
START_TEST (a_stream_with_garbage_is_resumed_at_another_replica)
{
  struct test_http_response *reply;
  char id[16];

  for (int i = 0; i < REQUESTS; i++)
    {
      entry_add_response (entry_replicas[0], "send", CHUNKED_HEAD, "chunk",
                          EVENT (1) EVENT (2), "chunk", GARBAGE, NULL);
      (void)snprintf (id, sizeof id, "id-%d", i);
      reply = entry_request (0, "POST", "/stream/1", id, "100,24");
      ck_assert_int_eq (reply->code, 0);
      ck_assert_str_eq (reply->body.data, all_events);
    }
  ck_assert_int_gt (entry_count_runs ("id-0") + entry_count_runs ("id-1"), 2);
}
END_TEST

/* Guards against the same on a route whose streams may not be resumed.  */
START_TEST (garbage_ends_a_stream_that_cannot_be_resumed)
{
  ADD_RESPONSES ("send", CHUNKED_HEAD, "chunk", EVENT (1) EVENT (2), "chunk",
                 GARBAGE, "chunk", EVENT (3) EVENT (4), "send", LAST_CHUNK);
  check_streams_of ("/once/stream/1");
}
END_TEST

/* Guards against a response that ends with bytes which are no event.  */
START_TEST (garbage_after_the_last_event_does_not_reach_the_caller)
{
  ADD_RESPONSES ("send", UNFRAMED_HEAD EVENT (1) EVENT (2) EVENT (3), "send",
                 EVENT (4) EVENT (5) EVENT (6) GARBAGE, "close", "");
  check_streams ();
}
END_TEST

/* Sends a request of a caller that resumes after the event LAST.  */
static struct test_http_response *
resume_after (const char *last)
{
  char line[32];
  const char *headers[] = { "Host: d.example",
                            "Authorization: Bearer key-1",
                            "Deadline-Ms: 6000",
                            "Request-Id: id-1",
                            "Token-Count: 100,24",
                            line,
                            NULL };
  struct test_http_call call = { .method = "POST",
                                 .address = entry_caller_addresses[0],
                                 .path = "/stream/1",
                                 .headers = headers,
                                 .body = "hello" };

  (void)snprintf (line, sizeof line, "Last-Event-Id: %s", last);
  return test_http (&call);
}

/* Guards against repeating events when a caller resumes a stream at a replica
   that starts anew.  */
START_TEST (a_caller_that_resumes_gets_no_event_twice)
{
  struct test_http_response *reply;

  ADD_RESPONSES ("send", CHUNKED_HEAD, "chunk", EVENT (1) EVENT (2), "chunk",
                 EVENT (3) EVENT (4) EVENT (5) EVENT (6), "send", LAST_CHUNK);
  reply = resume_after ("2");
  ck_assert_int_eq (reply->code, 0);
  ck_assert_str_eq (reply->body.data, EVENT (3) EVENT (4) EVENT (5) EVENT (6));
}
END_TEST

/* Guards against failing a caller that has all events and asks for more, and
   against telling it that the stream has ended on the word of a head alone. */
START_TEST (only_a_declared_end_completes_a_stream_that_a_caller_resumes)
{
  struct test_http_response *reply;

  ADD_RESPONSES ("send", chunked_head, "send", LAST_CHUNK);
  reply = resume_after ("6");
  ck_assert_int_eq (reply->code, 0);
  ck_assert_int_eq (reply->status, 200);
  ck_assert_str_eq (reply->body.data, "");
  for (int i = 0; i < ENTRY_REPLICAS; i++)
    for (int k = 0; k < ENTRY_REPLICAS; k++)
      entry_add_response (entry_replicas[i], "send", unframed_head, "close",
                          "", NULL);
  /* The other replica still has the first script.  */
  (void)resume_after ("6");
  reply = resume_after ("6");
  ck_assert (reply->code != 0 || reply->status == 502);
}
END_TEST

/* Number of requests that replicas got to resume a stream.  */
static int
count_resumed (void)
{
  int count = 0;

  for (int i = 0; i < ENTRY_REPLICAS; i++)
    {
      json_t *runs
          = test_get_json (entry_replicas[i]->address, "/standin/runs");
      json_t *run;
      size_t k;

      json_array_foreach (runs, k, run)
      {
        if (*json_string_value (json_object_get (run, "last")) != '\0')
          count++;
      }
      json_decref (runs);
    }
  return count;
}

/* Lets the next stream break off after two events, and answers the attempt to
   resume it with RESPONSE.  */
static void
check_resume (const char *response)
{
  for (int i = 0; i < ENTRY_REPLICAS; i++)
    {
      entry_add_resume_response (entry_replicas[i], "send", response, "close",
                                 "", NULL);
      entry_add_response (entry_replicas[i], "send", CHUNKED_HEAD, "chunk",
                          EVENT (1) EVENT (2), "close", "", NULL);
    }
  check_streams ();
  ck_assert_int_ge (count_resumed (), 1);
}

#define ANSWER_HEAD(status)                                                   \
  "HTTP/1.1 " status "\r\nRequest-Id: {id}\r\nServer-Seal: seal.1\r\n"
#define PLAIN_BODY "Transfer-Encoding: chunked\r\n\r\n5\r\nplain\r\n0\r\n\r\n"

static const char *const other_answers[] = {
  ANSWER_HEAD ("200 OK") "Content-Type: text/plain\r\n" PLAIN_BODY,
  ANSWER_HEAD ("200 OK") PLAIN_BODY,
  ANSWER_HEAD ("200 OK") "Content-Type: text/plain\r\n\r\nplain",
  ANSWER_HEAD ("200 OK") "Content-Type: text/plain\r\n"
                         "Content-Length: 5\r\n\r\nplain",
  ANSWER_HEAD ("204 No Content") "\r\n",
  ANSWER_HEAD ("302 Found") "Location: /\r\n" PLAIN_BODY,
  ANSWER_HEAD ("404 Not Found") PLAIN_BODY,
  ANSWER_HEAD ("500 Internal Server Error") PLAIN_BODY,
  ANSWER_HEAD ("500 Internal Server Error") "Content-Type: "
                                            "text/event-stream\r\n" PLAIN_BODY,
  ANSWER_HEAD ("503 Service Unavailable") "Content-Length: 0\r\n\r\n",
  REJECTION,
  "!\x01 garbage\r\n\r\n",
  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" PLAIN_BODY,
};

/* Guards against joining another answer, or its head, to a stream that broke
   off, and against ending the stream as if it were complete.  */
START_TEST (a_resumed_stream_takes_events_only)
{
  check_resume (other_answers[_i]);
}
END_TEST

static const char *const empty_streams[] = {
  ANSWER_HEAD ("200 OK") "Content-Type: text/event-stream\r\n\r\n",
  ANSWER_HEAD ("200 OK") "Content-Type: text/event-stream\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
  ANSWER_HEAD ("200 OK") "Content-Type: text/event-stream\r\n"
                         "Content-Length: 0\r\n\r\n",
  ANSWER_HEAD ("200 OK") "Content-Type: text/event-stream\r\n\r\n" COMMENT,
};

/* Guards against a stream that broke off and ends as if it were complete,
   since the next replica sent no event.  */
START_TEST (a_resumed_stream_without_an_event_is_not_complete)
{
  check_resume (empty_streams[_i]);
}
END_TEST

/* Guards against a complete response without an event for a request that is
   not resumed.  */
START_TEST (a_stream_without_an_event_is_not_complete)
{
  ADD_RESPONSES ("send", empty_streams[_i], "close", "");
  check_streams ();
}
END_TEST

/* Guards against joining events to a response that is no stream and broke
   off.  */
START_TEST (a_broken_response_that_is_no_stream_is_not_resumed)
{
  ADD_RESPONSES ("send",
                 ANSWER_HEAD ("200 OK") "Content-Type: text/plain\r\n"
                                        "Transfer-Encoding: chunked\r\n\r\n"
                                        "5\r\nplain\r\n",
                 "close", "");
  for (int i = 0; i < ENTRY_REPLICAS; i++)
    {
      struct test_http_response *reply = entry_request (
          0, "POST", "/stream/1", i == 0 ? "id-0" : "id-1", "100,24");

      if (reply->code == 0)
        ck_assert_str_eq (reply->body.data, all_events);
      else
        ck_assert_str_eq (reply->body.data, "plain");
    }
  ck_assert_int_eq (count_resumed (), 0);
}
END_TEST

#define REJECTION_WITH_BODY                                                   \
  "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\n"                  \
  "Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull"
#define SHORT_ANSWER ANSWER_HEAD ("200 OK") "Content-Length: 5\r\n\r\nsound"

/* Guards against joining the body of a rejection to the answer of the next
   replica.  */
START_TEST (the_body_of_a_rejection_does_not_reach_the_caller)
{
  static const char *const paths[] = { "/look/1", "/book/1" };

  for (int i = 0; i < REQUESTS; i++)
    {
      struct test_http_response *reply;
      char id[16];

      entry_add_refusal (entry_replicas[0], "send", REJECTION_WITH_BODY, NULL);
      (void)snprintf (id, sizeof id, "id-%d", i);
      reply = entry_request (0, "POST", paths[_i], id, NULL);
      ck_assert_int_eq (reply->status, 200);
      ck_assert_ptr_eq (strstr (reply->body.data, "full"), NULL);
    }
}
END_TEST

static const char *const low_statuses[] = {
  "HTTP/1.1 20 OK\r\nContent-Length: 4\r\n\r\nevil",
  "HTTP/1.1 099 OK\r\nContent-Length: 4\r\n\r\nevil",
  "HTTP/1.1 5 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nevil\r\n0\r\n\r\n",
};

/* Guards against forwarding the body of a response with a status below 100,
   whose head is passed over as an interim one.  */
START_TEST (a_body_of_a_status_below_100_does_not_reach_the_caller)
{
  char text[512];

  (void)snprintf (text, sizeof text, "%s%s", low_statuses[_i], SHORT_ANSWER);
  ADD_RESPONSES ("send", text);
  for (int i = 0; i < REQUESTS; i++)
    {
      struct test_http_response *reply = entry_request (
          0, "POST", "/look/1", i == 0 ? "id-0" : "id-1", NULL);

      ck_assert_ptr_eq (strstr (reply->body.data, "evil"), NULL);
    }
}
END_TEST

/* Guards against the same in a stream that is resumed.  */
START_TEST (events_of_a_status_below_100_do_not_continue_a_stream)
{
  check_resume (
      "HTTP/1.1 20 OK\r\nContent-Length: 21\r\n\r\n"
      "id: 3\ndata: evil!!!\n\n" ANSWER_HEAD (
          "200 OK") "Content-Type: text/event-stream\r\n\r\n" EVENT (4)
          EVENT (5) EVENT (6));
}
END_TEST

static const char *const rests[] = {
  CHUNKED_HEAD "29\r\n" EVENT (1) ":\rid: 9\rdata: evil\r\r\r\n" LAST_CHUNK,
  UNFRAMED_HEAD EVENT (1) ":\rid: 9\rdata: evil\r\r",
};

/* Guards against forwarding what follows the last event without a check:
   carriage returns end lines for parsers of callers.  */
START_TEST (a_rest_with_carriage_returns_does_not_reach_the_caller)
{
  ADD_RESPONSES ("send", rests[_i], "close", "");
  for (int i = 0; i < REQUESTS; i++)
    {
      struct test_http_response *reply = entry_request (
          0, "POST", "/stream/1", i == 0 ? "id-0" : "id-1", "100,24");

      ck_assert_ptr_eq (strstr (reply->body.data, "evil"), NULL);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("entry_streams");
  TCase *test_case = tcase_create ("entry_streams");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_set_timeout (test_case, 60);
  tcase_add_test (test_case, garbage_between_events_does_not_reach_the_caller);
  tcase_add_test (
      test_case,
      a_second_response_in_an_unframed_stream_does_not_reach_the_caller);
  tcase_add_test (test_case,
                  a_stream_with_garbage_is_resumed_at_another_replica);
  tcase_add_test (test_case, garbage_ends_a_stream_that_cannot_be_resumed);
  tcase_add_test (test_case,
                  garbage_after_the_last_event_does_not_reach_the_caller);
  tcase_add_test (test_case, a_caller_that_resumes_gets_no_event_twice);
  tcase_add_test (
      test_case, only_a_declared_end_completes_a_stream_that_a_caller_resumes);
  tcase_add_loop_test (test_case, a_resumed_stream_takes_events_only, 0,
                       sizeof other_answers / sizeof other_answers[0]);
  tcase_add_loop_test (test_case,
                       a_resumed_stream_without_an_event_is_not_complete, 0,
                       sizeof empty_streams / sizeof empty_streams[0]);
  tcase_add_loop_test (test_case, a_stream_without_an_event_is_not_complete, 0,
                       sizeof empty_streams / sizeof empty_streams[0]);
  tcase_add_test (test_case,
                  a_broken_response_that_is_no_stream_is_not_resumed);
  tcase_add_loop_test (
      test_case, the_body_of_a_rejection_does_not_reach_the_caller, 0, 2);
  tcase_add_loop_test (test_case,
                       a_body_of_a_status_below_100_does_not_reach_the_caller,
                       0, sizeof low_statuses / sizeof low_statuses[0]);
  tcase_add_test (test_case,
                  events_of_a_status_below_100_do_not_continue_a_stream);
  tcase_add_loop_test (test_case,
                       a_rest_with_carriage_returns_does_not_reach_the_caller,
                       0, sizeof rests / sizeof rests[0]);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
