#include "support/entry_site.h"

#include <arpa/inet.h>
#include <check.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

/* A planned stop in calm, with callers that go on using their connections.  */

#define GRACE_MS 8000
#define ANSWER_BYTES 1024
#define RECEIVE_LIMIT_S 15
/* Pause in the stream that keeps the host from stopping early.  */
#define LONG_PAUSE_MS "6500"

static const char answer_of_work[]
    = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal.1\r\n"
      "Content-Length: 4\r\n\r\ndone";
static const char stream_head[]
    = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal.1\r\n"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
static const char rejection[]
    = "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRequest-Id: {id}\r\n"
      "Content-Length: 0\r\n\r\n";

/* When a request is sent after SIGTERM, and how long it works: less than the
   timeout of its route.  */
static const struct
{
  long sent_ms;
  const char *work_ms;
} requests[] = {
  { 100, "300" },   { 1000, "300" },  { 2000, "3500" }, { 2600, "300" },
  { 2790, "300" },  { 3000, "300" },  { 3500, "3500" }, { 4500, "3400" },
  { 5500, "2400" }, { 6000, "1900" },
};
#define REQUESTS (sizeof requests / sizeof requests[0])

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

static int
open_connection (void)
{
  struct timeval limit = { .tv_sec = RECEIVE_LIMIT_S };
  struct sockaddr_in address = { .sin_family = AF_INET };
  char text[ENTRY_ADDRESS_BYTES];
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  char *colon;

  (void)snprintf (text, sizeof text, "%s", entry_caller_addresses[0]);
  colon = strchr (text, ':');
  *colon = '\0';
  address.sin_port = htons ((uint16_t)atoi (colon + 1));
  (void)inet_pton (AF_INET, text, &address.sin_addr);
  (void)setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&address, sizeof address),
                    0);
  return fd;
}

static bool
send_request (int fd, const char *path, const char *id)
{
  char text[512];
  int length = snprintf (text, sizeof text,
                         "POST %s HTTP/1.1\r\nHost: d.example\r\n"
                         "Authorization: Bearer key-1\r\nDeadline-Ms: 12000"
                         "\r\nRequest-Id: %s\r\nContent-Length: 5\r\n\r\n"
                         "hello",
                         path, id);

  return send (fd, text, (size_t)length, MSG_NOSIGNAL) == length;
}

/* Reads a response.  Returns its status; 0 if the connection ends without a
   byte of it, -1 if it ends within it.  */
static int
read_status (int fd)
{
  char answer[ANSWER_BYTES];
  size_t length = 0;
  ssize_t count;

  while (length < sizeof answer - 1
         && (count = recv (fd, answer + length, sizeof answer - 1 - length, 0))
                > 0)
    {
      const char *end;
      const char *declared;

      length += (size_t)count;
      answer[length] = '\0';
      if (strstr (answer, "\r\n0\r\n\r\n") != NULL)
        return atoi (answer + strlen ("HTTP/1.1 "));
      end = strstr (answer, "\r\n\r\n");
      declared = strstr (answer, "Content-Length: ");
      if (end != NULL && declared != NULL
          && strlen (end + 4) >= (size_t)atoi (declared + 16))
        return atoi (answer + strlen ("HTTP/1.1 "));
    }
  return length == 0 ? 0 : -1;
}

static void
add_work (const char *work_ms)
{
  for (int i = 0; i < ENTRY_REPLICAS; i++)
    {
      ck_assert_int_eq (
          test_post (entry_replicas[i]->address, "/standin/clear", ""), 200);
      entry_add_response (entry_replicas[i], "wait_ms", work_ms, "send",
                          answer_of_work, (char *)NULL);
    }
}

static bool
was_run (const char *id)
{
  return entry_count_runs (id) > 0;
}

static void
wait_until_run (const char *id)
{
  for (int waited = 0; waited < ENTRY_WAIT_MS; waited += ENTRY_POLL_MS)
    {
      if (was_run (id))
        return;
      test_sleep_ms (ENTRY_POLL_MS);
    }
  ck_abort_msg ("%s is not run", id);
}

static long
now_ms (void)
{
  struct timespec now;

  (void)clock_gettime (CLOCK_MONOTONIC, &now);
  return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void
sleep_until (long ms)
{
  long left = ms - now_ms ();

  if (left > 0)
    test_sleep_ms (left);
}

/* Guards against a request that comes late in the grace period, is passed on,
   and is cut when the process ends.  Requests may not be repeated on the first
   route.  */
START_TEST (requests_in_the_grace_period_are_answered_or_not_run)
{
  const char *path = _i == 0 ? "/book/1" : "/look/1";
  int long_fd = open_connection ();
  int fds[REQUESTS];
  bool sent[REQUESTS];
  long begin;
  char id[32];

  for (size_t i = 0; i < REQUESTS; i++)
    {
      fds[i] = open_connection ();
      (void)snprintf (id, sizeof id, "before-%zu", i);
      ck_assert (send_request (fds[i], path, id));
      ck_assert_int_eq (read_status (fds[i]), 200);
    }
  for (int i = 0; i < ENTRY_REPLICAS; i++)
    entry_add_response (entry_replicas[i], "send", stream_head, "chunk",
                        "id: 1\ndata: a\n\n", "wait_ms", LONG_PAUSE_MS,
                        "chunk", "id: 2\ndata: b\n\n", "send", "0\r\n\r\n",
                        (char *)NULL);
  ck_assert (send_request (long_fd, "/once/1", "long"));
  wait_until_run ("long");
  begin = now_ms ();
  ck_assert_int_eq (test_process_signal (entry_hosts[0], SIGTERM), 0);
  for (size_t i = 0; i < REQUESTS; i++)
    {
      add_work (requests[i].work_ms);
      (void)snprintf (id, sizeof id, "late-%zu", i);
      sleep_until (begin + requests[i].sent_ms);
      sent[i] = send_request (fds[i], path, id);
    }
  for (size_t i = 0; i < REQUESTS; i++)
    {
      int status = sent[i] ? read_status (fds[i]) : 0;

      (void)snprintf (id, sizeof id, "late-%zu", i);
      ck_assert_msg (status == 200 || !was_run (id),
                     "%s was run and got status %d", id, status);
      ck_assert_msg (status == 200 || status == 503 || status == 0,
                     "%s got status %d", id, status);
    }
  ck_assert_int_eq (read_status (long_fd), 200);
  ck_assert (test_process_wait (entry_hosts[0], GRACE_MS));
  ck_assert (WIFEXITED (entry_hosts[0]->status));
  ck_assert_int_eq (WEXITSTATUS (entry_hosts[0]->status), 0);
}
END_TEST

/* Guards against the same for a request that was taken in time and that a
   replica rejects later, without a run: another replica would not complete it
   before the process ends, but another host has the time.  */
START_TEST (a_request_that_is_rejected_late_is_not_passed_on_again)
{
  int long_fd = open_connection ();
  int fd = open_connection ();
  int status;
  long begin;

  for (int i = 0; i < ENTRY_REPLICAS; i++)
    entry_add_response (entry_replicas[i], "send", stream_head, "chunk",
                        "id: 1\ndata: a\n\n", "wait_ms", LONG_PAUSE_MS, "send",
                        "0\r\n\r\n", (char *)NULL);
  ck_assert (send_request (long_fd, "/once/1", "long"));
  wait_until_run ("long");
  begin = now_ms ();
  ck_assert_int_eq (test_process_signal (entry_hosts[0], SIGTERM), 0);
  for (int i = 0; i < ENTRY_REPLICAS; i++)
    {
      ck_assert_int_eq (
          test_post (entry_replicas[i]->address, "/standin/clear", ""), 200);
      entry_add_refusal (entry_replicas[i], "wait_ms", "3500", "send",
                         rejection, (char *)NULL);
    }
  sleep_until (begin + 2000);
  ck_assert (send_request (fd, "/once/1", "late"));
  sleep_until (begin + 3000);
  for (int i = 0; i < ENTRY_REPLICAS; i++)
    {
      ck_assert_int_eq (
          test_post (entry_replicas[i]->address, "/standin/clear", ""), 200);
      entry_add_response (entry_replicas[i], "send", stream_head, "chunk",
                          "id: 1\ndata: a\n\n", "wait_ms", "4000", "send",
                          "0\r\n\r\n", (char *)NULL);
    }
  status = read_status (fd);
  ck_assert_msg (status == 503, "status %d", status);
  ck_assert (!was_run ("late"));
  ck_assert (test_process_wait (entry_hosts[0], GRACE_MS));
  ck_assert_int_eq (WEXITSTATUS (entry_hosts[0]->status), 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("entry_stop");
  TCase *test_case = tcase_create ("entry_stop");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_set_timeout (test_case, 60);
  tcase_add_loop_test (
      test_case, requests_in_the_grace_period_are_answered_or_not_run, 0, 2);
  tcase_add_test (test_case,
                  a_request_that_is_rejected_late_is_not_passed_on_again);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
