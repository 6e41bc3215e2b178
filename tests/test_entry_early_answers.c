#include "support/entry_site.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Answers of faulty replicas that end while the request is still being sent or
   within their heads, and answers with a status that does not exist.  */

#define BODY_LIMIT_BYTES 4194304
#define HEAD "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal.1\r\n"
#define EVENT(n) "id: " #n "\ndata: piece " #n "\n\n"

/* The first fits into socket buffers; of the second, some stays with the
   host.  */
static const size_t upload_bytes[] = { 400000, 4000000 };

static const struct
{
  const char *path;
  const char *answer; /* of unknown length, in part */
} part_answers[] = {
  { "/book/1", HEAD "\r\npart" },
  { "/look/1", HEAD "\r\npart" },
  { "/stream/1",
    HEAD "Content-Type: text/event-stream\r\n\r\n" EVENT (1) EVENT (2) },
  { "/once/stream/1",
    HEAD "Content-Type: text/event-stream\r\n\r\n" EVENT (1) EVENT (2) },
};

#define PART_ANSWERS (sizeof part_answers / sizeof part_answers[0])

/* Steps after the answer.  Waits are shorter than the time after which the
   host gives up a connection whose replica reads nothing.  */
static const char *const ends[][5] = {
  { "reset", "" },
  { "wait_ms", "100", "reset", "" },
  { "close", "" },
  { "wait_ms", "100", "close", "" },
  { "half_close", "", "wait_ms", "300" },
};

#define ENDS (sizeof ends / sizeof ends[0])

static void
set_up (void)
{
  entry_start_scripted_standins (1000000);
  entry_set_body_limit (BODY_LIMIT_BYTES);
  entry_put_config (1000000);
  entry_start_host (0, "z");
  entry_wait_ready (0);
}

static void
tear_down (void)
{
  test_processes_clean_up ();
}

static struct test_http_response *
send_upload (const char *path, const char *body)
{
  const char *headers[] = { "Host: d.example", "Authorization: Bearer key-1",
                            "Deadline-Ms: 6000", "Request-Id: id-1", NULL };

  return test_http (&(struct test_http_call){
      .method = "POST",
      .address = entry_caller_addresses[0],
      .path = path,
      .headers = headers,
      .body = body,
  });
}

/* Guards against passing a part of an answer on as a whole one, because its
   connection ended while the request was being sent: the error of the reset
   was lost to the write, and the read saw an orderly close.  */
START_TEST (an_answer_that_ends_within_the_upload_is_not_whole)
{
  size_t size = upload_bytes[(size_t)_i / ENDS % 2];
  size_t kind = (size_t)_i / ENDS / 2;
  const char *const *end = ends[(size_t)_i % ENDS];
  char *body = malloc (size + 1);
  struct test_http_response *reply;

  memset (body, 'x', size);
  body[size] = '\0';
  for (int i = 0; i < ENTRY_REPLICAS; i++)
    {
      /* The step "read_body" comes last, so that the body is not read
         before.  */
      const char *steps[9] = { "send", part_answers[kind].answer };
      size_t count = 2;

      for (size_t k = 0; end[k] != NULL; k++)
        steps[count++] = end[k];
      steps[count] = "read_body";
      steps[count + 1] = "";
      entry_add_script (entry_replicas[i], "runs", steps);
    }
  reply = send_upload (part_answers[kind].path, body);
  free (body);
  ck_assert_msg (reply->code != 0 || reply->status != 200,
                 "%s, %zu bytes, %s: got \"%s\" as a whole answer",
                 part_answers[kind].path, size, end[0], reply->body.data);
  ck_assert_msg (reply->code != 0 || reply->status == 502, "status %ld",
                 reply->status);
}
END_TEST

/* Guards against the same rule for rejections, which a replica may send before
   it has read the request: the caller of a rejected request may send it
   again.  */
START_TEST (a_rejection_within_the_upload_counts)
{
  static const char rejection[] = "HTTP/1.1 503 Service Unavailable\r\n"
                                  "Not-Executed: 1\r\nRequest-Id: {id}\r\n"
                                  "Content-Length: 0\r\n\r\n";
  size_t size = upload_bytes[_i];
  char *body = malloc (size + 1);
  struct test_http_response *reply;

  memset (body, 'x', size);
  body[size] = '\0';
  for (int i = 0; i < ENTRY_REPLICAS; i++)
    entry_add_refusal (entry_replicas[i], "send", rejection, "wait_ms", "100",
                       "close", "", "read_body", "", (char *)NULL);
  reply = send_upload ("/book/1", body);
  free (body);
  ck_assert_int_eq (reply->code, 0);
  ck_assert_int_eq (reply->status, 503);
  ck_assert_int_eq (entry_count_runs ("id-1"), 0);
}
END_TEST

#define STATUS(code)                                                          \
  "HTTP/1.1 " code " X\r\nRequest-Id: {id}\r\nServer-Seal: seal.1\r\n"        \
  "Content-Length: 4\r\n\r\nnone"

static const char *const invalid_statuses[]
    = { STATUS ("000"),        STATUS ("099"), STATUS ("0"),
        STATUS ("1000"),       STATUS ("-1"),  STATUS ("20"),
        STATUS ("200x"),       STATUS ("0x0"), STATUS (""),
        "HTTP/1.1 000\r\n\r\n" };

static const char *const paths[] = { "/book/1", "/look/1", "/stream/1" };

#define PATHS (sizeof paths / sizeof paths[0])

/* Guards against an answer with a status that is none.  */
START_TEST (an_answer_without_a_valid_status_is_not_passed_on)
{
  const char *answer = invalid_statuses[(size_t)_i / PATHS];
  struct test_http_response *reply;

  for (int i = 0; i < ENTRY_REPLICAS; i++)
    entry_add_response (entry_replicas[i], "send", answer, (char *)NULL);
  reply = send_upload (paths[(size_t)_i % PATHS], "hello");
  ck_assert_int_eq (reply->code, 0);
  ck_assert_msg (reply->status == 502, "status %ld: %s", reply->status,
                 reply->body.data);
}
END_TEST

static const char *const whole_answers[] = {
  HEAD "Content-Length: 4\r\n\r\nbody",
  HEAD "Content-Length: 0\r\n\r\n",
  HEAD "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
  HEAD "Content-Type: text/event-stream\r\n\r\n" EVENT (1),
  "HTTP/1.1 100 Continue\r\n\r\n" HEAD "\r\nbody",
};

#define WHOLE_ANSWERS (sizeof whole_answers / sizeof whole_answers[0])

static const char *const cut_paths[]
    = { "/book/1", "/look/1", "/stream/1", "/once/stream/1" };

#define CUT_PATHS (sizeof cut_paths / sizeof cut_paths[0])

/* Guards against a head that a replica has not finished, and that the caller
   gets as that of a whole answer with an empty or short body.  It is cut after
   each of its bytes.  */
START_TEST (a_head_that_is_cut_is_no_answer)
{
  const char *answer = whole_answers[(size_t)_i / CUT_PATHS];
  const char *path = cut_paths[(size_t)_i % CUT_PATHS];
  const char *head = strstr (answer, HEAD);
  size_t length = (size_t)(strstr (head, "\r\n\r\n") - answer) + 4;
  char id_line[64];
  const char *headers[] = { "Host: d.example", "Authorization: Bearer key-1",
                            "Deadline-Ms: 6000", id_line, NULL };

  for (size_t cut = 0; cut < length; cut++)
    {
      char part[256];
      struct test_http_response *reply;

      (void)snprintf (part, sizeof part, "%.*s", (int)cut, answer);
      (void)snprintf (id_line, sizeof id_line, "Request-Id: id-%zu", cut);
      for (int i = 0; i < ENTRY_REPLICAS; i++)
        {
          ck_assert_int_eq (
              test_post (entry_replicas[i]->address, "/standin/clear", ""),
              200);
          entry_add_response (entry_replicas[i], "send", part,
                              cut % 2 == 0 ? "close" : "reset", "",
                              (char *)NULL);
        }
      reply = test_http (&(struct test_http_call){
          .method = "POST",
          .address = entry_caller_addresses[0],
          .path = path,
          .headers = headers,
          .body = "hello",
      });
      ck_assert_int_eq (reply->code, 0);
      ck_assert_msg (reply->status == 502, "cut after %zu bytes: status %ld",
                     cut, reply->status);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("entry_early_answers");
  TCase *test_case = tcase_create ("entry_early_answers");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_set_timeout (test_case, 60);
  tcase_add_loop_test (test_case,
                       an_answer_that_ends_within_the_upload_is_not_whole, 0,
                       (int)(PART_ANSWERS * 2 * ENDS));
  tcase_add_loop_test (test_case, a_rejection_within_the_upload_counts, 0, 2);
  tcase_add_loop_test (test_case, a_head_that_is_cut_is_no_answer, 0,
                       (int)(WHOLE_ANSWERS * CUT_PATHS));
  tcase_add_loop_test (
      test_case, an_answer_without_a_valid_status_is_not_passed_on, 0,
      (int)(PATHS * sizeof invalid_statuses / sizeof invalid_statuses[0]));
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
