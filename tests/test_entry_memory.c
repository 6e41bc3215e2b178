#include "support/entry_site.h"

#include <arpa/inet.h>
#include <check.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* What a host holds of its callers' requests, on real processes.  */
#define BODY_BYTES 4000000
#define BODY_LIMIT_BYTES 4194304
#define UPLOADS_MAX 200
/* memory_mb of the hosts, the default of the setting.  */
#define MEMORY_LIMIT_KB (88L * 1024)
#define SMALL_BYTES 100000
#define ANSWER_BYTES 1024

struct upload
{
  pthread_t thread;
  int number;
  char answer[ANSWER_BYTES];
};

static char body[BODY_BYTES + 1];

static void
set_up (void)
{
  for (size_t i = 0; i < BODY_BYTES; i++)
    body[i] = (char)('a' + (i + i / 1000) % 26);
  entry_start_standins (1000000);
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

static int
open_connection (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct timeval limit = { .tv_sec = ENTRY_WAIT_MS / 1000 };
  char text[ENTRY_ADDRESS_BYTES];
  char *colon;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  (void)snprintf (text, sizeof text, "%s", entry_caller_addresses[0]);
  colon = strchr (text, ':');
  *colon = '\0';
  address.sin_port = htons ((uint16_t)atoi (colon + 1));
  (void)inet_pton (AF_INET, text, &address.sin_addr);
  (void)setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  (void)setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) != 0)
    ck_abort_msg ("cannot connect to the host");
  return fd;
}

static bool
send_all (int fd, const char *bytes, size_t count)
{
  while (count > 0)
    {
      ssize_t sent = send (fd, bytes, count, MSG_NOSIGNAL);

      if (sent <= 0)
        return false;
      bytes += sent;
      count -= (size_t)sent;
    }
  return true;
}

/* Sends the head of a booking; FRAMING is the header of its body.  */
static bool
send_head (int fd, const char *path, const char *key, const char *id,
           const char *framing)
{
  char head[512];
  int length
      = snprintf (head, sizeof head,
                  "POST %s HTTP/1.1\r\nHost: d.example\r\nAuthorization: "
                  "Bearer %s\r\nDeadline-Ms: 6000\r\nRequest-Id: %s\r\n"
                  "%s\r\n\r\n",
                  path, key, id, framing);

  return send_all (fd, head, (size_t)length);
}

/* Whether ANSWER has a whole head and the body that it declares.  */
static bool
is_whole (const char *answer)
{
  const char *end = strstr (answer, "\r\n\r\n");
  const char *length = strstr (answer, "Content-Length: ");

  return end != NULL && length != NULL
         && strlen (end + 4) >= (size_t)atoi (length + 16);
}

/* Reads an answer, or what comes up to the end of the connection.  */
static void
read_answer (int fd, char *answer)
{
  size_t length = 0;
  ssize_t count;

  answer[0] = '\0';
  while (!is_whole (answer) && length < ANSWER_BYTES - 1
         && (count = recv (fd, answer + length, ANSWER_BYTES - 1 - length, 0))
                > 0)
    {
      length += (size_t)count;
      answer[length] = '\0';
    }
}

static int
status_of (const char *answer)
{
  return strncmp (answer, "HTTP/1.1 ", 9) == 0 ? atoi (answer + 9) : 0;
}

static const char *
framing_of (size_t bytes)
{
  static __thread char text[64];

  (void)snprintf (text, sizeof text, "Content-Length: %zu", bytes);
  return text;
}

/* Books with a body of BYTES on a new connection and returns the status.  */
static int
book (const char *id, size_t bytes, char *answer)
{
  int fd = open_connection ();

  if (send_head (fd, "/book/1", "key-1", id, framing_of (bytes)))
    (void)send_all (fd, body, bytes);
  read_answer (fd, answer);
  (void)close (fd);
  return status_of (answer);
}

static void *
run_upload (void *data)
{
  struct upload *upload = data;
  char id[32];

  (void)snprintf (id, sizeof id, "upload-%d", upload->number);
  (void)book (id, BODY_BYTES, upload->answer);
  return NULL;
}

static long
peak_kb (pid_t pid)
{
  char path[64];
  char line[256];
  long kb = 0;
  FILE *file;

  (void)snprintf (path, sizeof path, "/proc/%d/status", (int)pid);
  file = fopen (path, "r");
  ck_assert_ptr_nonnull (file);
  while (fgets (line, sizeof line, file) != NULL)
    if (sscanf (line, "VmHWM: %ld kB", &kb) == 1)
      break;
  (void)fclose (file);
  return kb;
}

/* Fails if the host has exceeded its memory limit.  Sanitizers keep freed
   memory and tables of their own, so that only other builds show it.  */
static void
check_peak (void)
{
#if !defined __SANITIZE_ADDRESS__ && !defined __SANITIZE_THREAD__
  ck_assert_int_le (peak_kb (entry_hosts[0]->pid), MEMORY_LIMIT_KB);
#else
  ck_assert_int_gt (peak_kb (entry_hosts[0]->pid), 0);
#endif
}

/* Sends COUNT uploads at once, and small bookings meanwhile.  */
static void
send_uploads (int count)
{
  static struct upload uploads[UPLOADS_MAX];
  char answer[ANSWER_BYTES];
  char id[32];
  int served = 0;

  for (int i = 0; i < count; i++)
    {
      uploads[i] = (struct upload){ .number = i };
      ck_assert_int_eq (
          pthread_create (&uploads[i].thread, NULL, run_upload, &uploads[i]),
          0);
    }
  for (int i = 0; i < 20; i++)
    {
      (void)snprintf (id, sizeof id, "small-%d", i);
      ck_assert_int_eq (book (id, SMALL_BYTES, answer), 200);
    }
  for (int i = 0; i < count; i++)
    {
      int status;

      (void)pthread_join (uploads[i].thread, NULL);
      status = status_of (uploads[i].answer);
      ck_assert_msg (status == 200 || status == 503,
                     "upload %d is answered \"%s\"", i, uploads[i].answer);
      ck_assert (status == 200
                 || strstr (uploads[i].answer, "Retry-After:") != NULL);
      (void)snprintf (id, sizeof id, "upload-%d", i);
      ck_assert_int_eq (entry_count_runs (id), status == 200);
      served += status == 200;
    }
  ck_assert_int_gt (served, 0);
  check_peak ();
}

/* Guards against a host that holds all bodies that callers send at once and
   exceeds the memory of its machine, which ends the requests of all.  */
START_TEST (thirty_bodies_at_once_stay_within_the_memory)
{
  send_uploads (30);
}
END_TEST

START_TEST (two_hundred_bodies_at_once_stay_within_the_memory)
{
  send_uploads (UPLOADS_MAX);
}
END_TEST

/* Guards against memory for requests that are refused in any case.  The body
   is not sent, so only a host that does not wait for it answers.  */
START_TEST (an_unknown_key_or_route_is_refused_before_the_body)
{
  char answer[ANSWER_BYTES];
  int fd = open_connection ();

  ck_assert (
      send_head (fd, "/book/1", "no-key", "a", framing_of (BODY_BYTES)));
  read_answer (fd, answer);
  ck_assert_int_eq (status_of (answer), 401);
  (void)close (fd);
  fd = open_connection ();
  ck_assert (send_head (fd, "/none/1", "key-1", "b", framing_of (BODY_BYTES)));
  read_answer (fd, answer);
  ck_assert_int_eq (status_of (answer), 404);
  (void)close (fd);
  fd = open_connection ();
  ck_assert (
      send_head (fd, "/book/1", "no-key", "c", "Transfer-Encoding: chunked"));
  read_answer (fd, answer);
  ck_assert_int_eq (status_of (answer), 401);
  (void)close (fd);
}
END_TEST

/* Guards against a refusal that is lost because the host closes a connection
   with unread bytes.  The caller sends its whole body before it reads.  */
START_TEST (a_refusal_reaches_a_caller_that_goes_on_sending)
{
  char answer[ANSWER_BYTES];
  int fd = open_connection ();

  ck_assert (
      send_head (fd, "/book/1", "no-key", "a", framing_of (BODY_BYTES)));
  ck_assert (send_all (fd, body, BODY_BYTES));
  read_answer (fd, answer);
  ck_assert_int_eq (status_of (answer), 401);
  ck_assert_ptr_nonnull (strstr (answer, "Connection: close"));
  ck_assert_int_eq (recv (fd, answer, sizeof answer, 0) < 0, 0);
  (void)close (fd);
}
END_TEST

/* Guards against shares that callers who gave up keep, until nobody gets
   any.  */
START_TEST (callers_that_give_up_free_their_memory)
{
  char answer[ANSWER_BYTES];
  char id[32];
  int fds[40];
  int status = 0;

  for (int i = 0; i < 40; i++)
    {
      fds[i] = open_connection ();
      (void)snprintf (id, sizeof id, "half-%d", i);
      ck_assert (
          send_head (fds[i], "/book/1", "key-1", id, framing_of (BODY_BYTES)));
      (void)send_all (fds[i], body, SMALL_BYTES);
    }
  for (int i = 0; i < 40; i++)
    (void)close (fds[i]);
  for (int waited = 0; waited < ENTRY_WAIT_MS && status != 200;
       waited += ENTRY_POLL_MS)
    {
      (void)snprintf (id, sizeof id, "after-%d", waited);
      status = book (id, BODY_BYTES, answer);
      if (status != 200)
        test_sleep_ms (ENTRY_POLL_MS);
    }
  ck_assert_int_eq (status, 200);
  for (int i = 0; i < 40; i++)
    {
      (void)snprintf (id, sizeof id, "half-%d", i);
      ck_assert_int_eq (entry_count_runs (id), 0);
    }
}
END_TEST

/* Fails unless one replica has run request ID, with the first BYTES of the
   body.  */
static void
check_body (const char *id, size_t bytes)
{
  json_int_t hash
      = (json_int_t)(ds_str_hash (
                         (struct ds_str){ .data = body, .length = bytes }, 0)
                     >> 1);
  int found = 0;

  for (int i = 0; i < ENTRY_REPLICAS; i++)
    {
      json_t *runs
          = test_get_json (entry_replicas[i]->address, "/standin/runs");
      size_t k;
      json_t *run;

      json_array_foreach (runs, k, run)
      {
        if (strcmp (json_string_value (json_object_get (run, "id")), id) != 0)
          continue;
        found++;
        ck_assert_int_eq (json_integer_value (json_object_get (run, "bytes")),
                          bytes);
        ck_assert_int_eq (json_integer_value (json_object_get (run, "hash")),
                          hash);
      }
      json_decref (runs);
    }
  ck_assert_int_eq (found, 1);
}

static bool
send_chunks (int fd, size_t bytes)
{
  for (size_t sent = 0; sent < bytes;)
    {
      size_t part = bytes - sent < 9999 ? bytes - sent : 9999;
      char line[32];
      int length = snprintf (line, sizeof line, "%zx\r\n", part);

      if (!send_all (fd, line, (size_t)length)
          || !send_all (fd, body + sent, part) || !send_all (fd, "\r\n", 2))
        return false;
      sent += part;
    }
  return send_all (fd, "0\r\n\r\n", 5);
}

/* Guards against bodies that lose bytes as they move to more memory, or while
   they are sent without a copy; and against lost bytes of the next request on
   the connection.  */
START_TEST (bodies_arrive_whole)
{
  static const size_t sizes[] = { 10, 5000, 70000, BODY_BYTES, 4096, 4097 };
  char answer[ANSWER_BYTES];
  char id[32];
  int fd = open_connection ();

  for (size_t i = 0; i < 2 * sizeof sizes / sizeof sizes[0]; i++)
    {
      size_t bytes = sizes[i / 2];

      (void)snprintf (id, sizeof id, "whole-%zu", i);
      ck_assert (send_head (fd, "/book/1", "key-1", id,
                            i % 2 == 0 ? "Transfer-Encoding: chunked"
                                       : framing_of (bytes)));
      ck_assert (i % 2 == 0 ? send_chunks (fd, bytes)
                            : send_all (fd, body, bytes));
      read_answer (fd, answer);
      ck_assert_int_eq (status_of (answer), 200);
      check_body (id, bytes);
    }
  (void)close (fd);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("entry_memory");
  TCase *test_case = tcase_create ("entry_memory");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_set_timeout (test_case, 60);
  tcase_add_test (test_case, thirty_bodies_at_once_stay_within_the_memory);
  tcase_add_test (test_case,
                  two_hundred_bodies_at_once_stay_within_the_memory);
  tcase_add_test (test_case,
                  an_unknown_key_or_route_is_refused_before_the_body);
  tcase_add_test (test_case, a_refusal_reaches_a_caller_that_goes_on_sending);
  tcase_add_test (test_case, callers_that_give_up_free_their_memory);
  tcase_add_test (test_case, bodies_arrive_whole);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
