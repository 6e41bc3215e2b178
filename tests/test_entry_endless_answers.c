#include "support/entry_site.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Replicas that send bytes without end until their connection is closed.  */

/* Limit of the machine: memory_mb of the hosts, the default of the setting.
 */
#define MEMORY_LIMIT_KB (88L * 1024)
/* Requests that get such bytes at once.  */
#define REQUESTS 8
/* Requests that one replica may run at once.  */
#define MANY_REQUESTS 128
#define DEADLINE "Deadline-Ms: 1500"
/* Bytes of a body after which its caller goes away.  */
#define CALLER_BYTES ((size_t)4 * 1024 * 1024)

#define OK "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n"
#define SEALED OK "Server-Seal: seal.1\r\n"
#define STREAM SEALED "Content-Type: text/event-stream\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define TEXT_64                                                               \
  "nnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnn"

static const struct
{
  const char *path;
  const char *begin; /* null for nothing */
  const char *repeated;
} answers[] = {
  /* No answer, and heads.  */
  { "/book/1", NULL, "x" },
  { "/look/1", NULL, "\r\n" },
  { "/book/1", "H", "T" },
  { "/book/1", "HTTP/1.1 2", "0" },
  { "/book/1", "HTTP/1.1 200 ", "OK " },
  { "/book/1", "HTTP/1.1 200 OK\r\n", "X-Name: value\r\n" },
  { "/look/1", "HTTP/1.1 200 OK\r\n", TEXT_64 },
  { "/book/1", OK "X-Name: ", TEXT_64 },
  { "/book/1", OK "X-Name:", "        " },
  { "/book/1", OK "X-Name: a", "\r\n b" },
  { "/book/1", OK "Content-Length: ", "0" },
  { "/stream/1", STREAM "X-Name: ", TEXT_64 },
  /* Interim answers, and answers to other requests.  */
  { "/book/1", NULL, "HTTP/1.1 100 Continue\r\n\r\n" },
  { "/look/1", NULL, "HTTP/1.1 103 Early\r\nX-Name: " TEXT_64 "\r\n\r\n" },
  { "/book/1", NULL,
    "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Seal: s\r\n"
    "Content-Length: 5\r\n\r\nother" },
  { "/book/1",
    "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Seal: s\r\n\r\n",
    TEXT_64 },
  /* Bodies.  */
  { "/book/1", OK "\r\n", TEXT_64 },
  { "/book/1", OK "Content-Length: 99999999999\r\n\r\n", TEXT_64 },
  { "/book/1", OK CHUNKED, "40\r\n" TEXT_64 "\r\n" },
  { "/book/1", SEALED "\r\n", TEXT_64 },
  { "/look/1", SEALED "Content-Length: 99999999999\r\n\r\n", TEXT_64 },
  { "/look/1", SEALED CHUNKED, "40\r\n" TEXT_64 "\r\n" },
  { "/book/1", SEALED CHUNKED, "0" },
  { "/book/1", SEALED CHUNKED "5;", TEXT_64 },
  { "/book/1", SEALED CHUNKED "0\r\n", "X-Name: value\r\n" },
  { "/book/1", SEALED CHUNKED "0\r\nX-Name: ", TEXT_64 },
  { "/look/1", "HTTP/1.1 503 X\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n\r\n",
    TEXT_64 },
  { "/look/1", "HTTP/1.1 500 X\r\nRequest-Id: {id}\r\n\r\n", TEXT_64 },
  { "/book/1", SEALED "Content-Length: 4\r\n\r\nbody", TEXT_64 },
  /* Streams.  */
  { "/stream/1", STREAM "\r\n", TEXT_64 },
  { "/stream/1", STREAM "\r\nid: 1\ndata: ", TEXT_64 },
  { "/stream/1", STREAM "\r\n", "\n" },
  { "/stream/1", STREAM "\r\n", ": comment\n" },
  { "/stream/1", STREAM "\r\n", "id: 1\ndata: again\n\n" },
  { "/stream/1", STREAM "\r\n", "data: " TEXT_64 "\n\n" },
  { "/once/1", STREAM CHUNKED, "40\r\n" TEXT_64 "\r\n" },
};
#define ANSWERS (int)(sizeof answers / sizeof answers[0])

/* Answers that stop before what ends them.  */
static const struct
{
  const char *path;
  const char *begin;
  const char *bytes;
} stops[] = {
  { "/book/1", OK "X-Name: ", "60000" },
  { "/book/1", OK "\r\n", "60000" },
  { "/book/1", SEALED "Content-Length: 60010\r\n\r\n", "60000" },
  { "/book/1", SEALED "\r\n", "1000000" },
  { "/stream/1", STREAM "\r\nid: 1\ndata: ", "1000000" },
};
#define STOPS (int)(sizeof stops / sizeof stops[0])

static void
set_up (void)
{
  entry_start_scripted_standins (1000000);
  entry_start_host (0, "z");
  entry_wait_ready (0);
}

static void
tear_down (void)
{
  test_processes_clean_up ();
}

/* The most memory that the process PID has had.  */
static long
peak_kb (int pid)
{
  char path[64];
  char line[256];
  long kb = 0;
  FILE *file;

  (void)snprintf (path, sizeof path, "/proc/%d/status", pid);
  file = fopen (path, "r");
  ck_assert_ptr_nonnull (file);
  while (fgets (line, sizeof line, file) != NULL)
    if (sscanf (line, "VmHWM: %ld kB", &kb) == 1)
      break;
  (void)fclose (file);
  return kb;
}

/* Sanitizers keep freed memory and tables of their own, so that only other
   builds show how much the host takes.  */
static void
expect_memory (void)
{
#if !defined __SANITIZE_ADDRESS__ && !defined __SANITIZE_THREAD__
  ck_assert_int_le (peak_kb (entry_hosts[0]->pid), MEMORY_LIMIT_KB);
#else
  ck_assert_int_gt (peak_kb (entry_hosts[0]->pid), 0);
#endif
}

static void
clear_scripts (void)
{
  for (int i = 0; i < ENTRY_REPLICAS; i++)
    ck_assert_int_eq (
        test_post (entry_replicas[i]->address, "/standin/clear", ""), 200);
}

/* Sends COUNT requests to PATH at once and waits for the end of each.  */
static void
send_requests (const char *path, int count)
{
  static char id_lines[MANY_REQUESTS][32];
  static const char *headers[MANY_REQUESTS][5];
  struct test_http_task *tasks[MANY_REQUESTS];

  for (int i = 0; i < count; i++)
    {
      (void)snprintf (id_lines[i], sizeof id_lines[i], "Request-Id: id-%d", i);
      headers[i][0] = "Host: d.example";
      headers[i][1] = "Authorization: Bearer key-1";
      headers[i][2] = DEADLINE;
      headers[i][3] = id_lines[i];
      tasks[i] = test_http_start (&(struct test_http_call){
          .method = "POST",
          .address = entry_caller_addresses[0],
          .path = path,
          .headers = headers[i],
          .body = "hello",
          .stop_after_bytes = CALLER_BYTES,
      });
    }
  for (int i = 0; i < count; i++)
    (void)test_http_join (tasks[i]);
  ck_assert (!test_process_wait (entry_hosts[0], 0));
}

/* The replicas are sound again, and are tried again after 4 s at most.  */
static void
expect_service (void)
{
  clear_scripts ();
  for (int waited = 0; waited < ENTRY_WAIT_MS; waited += ENTRY_POLL_MS)
    {
      char id[32];

      (void)snprintf (id, sizeof id, "sound-%d", waited);
      if (entry_request (0, "GET", "/look/1", id, NULL)->status == 200)
        return;
      test_sleep_ms (ENTRY_POLL_MS);
    }
  ck_abort_msg ("no request is served any more");
}

/* Guards against a host that keeps what a faulty replica sends until its
   machine has no memory left, which ends the requests of all callers.  */
START_TEST (bytes_without_end_take_no_memory)
{
  const char *begin = answers[_i].begin;

  for (int i = 0; i < ENTRY_REPLICAS; i++)
    for (int k = 0; k < 2 * REQUESTS; k++)
      entry_add_response (entry_replicas[i],
                          begin != NULL ? "send" : "wait_ms",
                          begin != NULL ? begin : "0", "repeat",
                          answers[_i].repeated, (char *)NULL);
  send_requests (answers[_i].path, REQUESTS);
  expect_memory ();
  expect_service ();
}
END_TEST

/* Guards against the same by replicas that send as much as the host keeps for
   an answer, and no more, to many requests at once.  */
START_TEST (answers_that_stop_take_little_memory)
{
  for (int i = 0; i < ENTRY_REPLICAS; i++)
    for (int k = 0; k < 2 * MANY_REQUESTS; k++)
      entry_add_response (entry_replicas[i], "send", stops[_i].begin, "fill",
                          stops[_i].bytes, "wait_ms", "2000", (char *)NULL);
  send_requests (stops[_i].path, MANY_REQUESTS);
  expect_memory ();
  expect_service ();
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("entry_endless_answers");
  TCase *test_case = tcase_create ("entry_endless_answers");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_set_timeout (test_case, 60);
  tcase_add_loop_test (test_case, bytes_without_end_take_no_memory, 0,
                       ANSWERS);
  tcase_add_loop_test (test_case, answers_that_stop_take_little_memory, 0,
                       STOPS);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
