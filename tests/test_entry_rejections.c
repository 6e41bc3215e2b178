#include "support/entry_site.h"

#include <arpa/inet.h>
#include <check.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Rejections and other answers of faulty replicas that belong to no request,
   or to another one than that which waits on the connection.  */

#define UNNAMED_REJECTION(status)                                             \
  "HTTP/1.1 " status "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
#define UNNAMED_503 UNNAMED_REJECTION ("503 Service Unavailable")
#define NAMED_503                                                             \
  "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"                   \
  "Request-Id: {id}\r\nContent-Length: 0\r\n\r\n"
#define SOUND                                                                 \
  "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal.1\r\n"            \
  "Content-Length: 9\r\n\r\ni-0:hello"
#define EVENT(n) "id: " #n "\ndata: piece " #n "\n\n"
#define LAST_CHUNK "0\r\n\r\n"

/* More than the replicas have responses in their scripts.  */
#define REQUESTS 6
/* Longer than a replica waits in these scripts.  */
#define PAUSE_MS 400

static const char sound_stream[]
    = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal.1\r\n"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
static const char all_events[]
    = EVENT (1) EVENT (2) EVENT (3) EVENT (4) EVENT (5) EVENT (6);

static const char *const paths[]
    = { "/book/1", "/look/1", "/once/stream/1", "/stream/1" };

#define PATHS (sizeof paths / sizeof paths[0])

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

static bool
is_promise (long status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/* Checks that REPLY to the request ID holds no answer to another request.  */
static void
check_reply (const struct test_http_response *reply, const char *id)
{
  const char *named = strstr (reply->body.data, "of id-");

  if (named != NULL)
    ck_assert_str_eq (named + strlen ("of "), id);
  if (reply->code == 0 && reply->status == 200)
    ck_assert_msg (strcmp (reply->body.data, "i-0:hello") == 0
                       || strcmp (reply->body.data, "i-1:hello") == 0
                       || strcmp (reply->body.data, all_events) == 0,
                   "%s was answered: %s", id, reply->body.data);
}

/* Checks that the request ID ran no more than RUNS_MAX times, and not at all
   if it was answered with a STATUS that says so.  */
static void
check_runs (const char *id, long status, int runs_max)
{
  int runs = entry_count_runs (id);

  ck_assert_msg (runs <= runs_max, "%s ran %d times", id, runs);
  ck_assert_msg (runs == 0 || !is_promise (status),
                 "%s ran %d times and was answered %ld", id, runs, status);
}

static int
runs_allowed (const char *path)
{
  return strcmp (path, "/look/1") == 0 || strcmp (path, "/stream/1") == 0 ? 2
                                                                          : 1;
}

/* Sends requests with BODY to PATH until the replicas have used their scripts
   and beyond, and checks their answers and runs.  */
static void
check_requests (const char *path, const char *body)
{
  char id_line[32];
  const char *id = id_line + strlen ("Request-Id: ");
  const char *headers[] = { "Host: d.example", "Authorization: Bearer key-1",
                            "Deadline-Ms: 6000", id_line, NULL };
  struct test_http_call call = { .method = "POST",
                                 .address = entry_caller_addresses[0],
                                 .path = path,
                                 .headers = headers,
                                 .body = body };
  long statuses[REQUESTS];

  for (int i = 0; i < REQUESTS; i++)
    {
      struct test_http_response *reply;

      (void)snprintf (id_line, sizeof id_line, "Request-Id: id-%d", i);
      reply = test_http (&call);
      statuses[i] = reply->status;
      if (strlen (body) <= strlen ("hello"))
        check_reply (reply, id);
    }
  ck_assert_int_eq (statuses[REQUESTS - 1], 200);
  /* Replicas may run a request after its caller has been answered.  */
  test_sleep_ms (PAUSE_MS);
  for (int i = 0; i < REQUESTS; i++)
    {
      (void)snprintf (id_line, sizeof id_line, "Request-Id: id-%d", i);
      check_runs (id, statuses[i], runs_allowed (path));
    }
}

/* An answer, and bytes that follow it on its connection once the next request
   arrives there: at once, and, unless null, after a while.  */
struct late_bytes
{
  const char *answer;
  const char *first;
  const char *second;
  bool ran;
};

#define COPY(text)                                                            \
  {                                                                           \
    .answer = (text), .first = (text),                                        \
  }

static const struct late_bytes late_bytes[] = {
  COPY (UNNAMED_503),
  COPY (UNNAMED_REJECTION ("429 Too Many Requests")),
  COPY (UNNAMED_REJECTION ("421 Misdirected Request")),
  COPY (UNNAMED_REJECTION ("400 Bad Request")),
  COPY (NAMED_503),
  COPY ("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
        "Content-Length: 4\r\n\r\nfull"),
  COPY ("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: i-7\r\n"
        "Content-Length: 0\r\n\r\n"),
  /* In two parts.  */
  { .answer = UNNAMED_503,
    .first = "HTTP/1.1 503 Service Unavai",
    .second = "lable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n" },
  /* After an interim response.  */
  { .answer = UNNAMED_503,
    .first = "HTTP/1.1 100 Continue\r\n\r\n" UNNAMED_503 },
  /* A body that is longer than declared.  */
  { .answer = SOUND, .first = UNNAMED_503, .ran = true },
  { .answer = SOUND,
    .first = UNNAMED_REJECTION ("421 Misdirected Request"),
    .ran = true },
  { .answer = SOUND, .first = SOUND UNNAMED_503, .ran = true },
  /* A failure that names no request.  */
  { .answer = "HTTP/1.1 500 Internal Server Error\r\n"
              "Content-Length: 7\r\n\r\nof {id}",
    .first = "HTTP/1.1 500 Internal Server Error\r\n"
             "Content-Length: 7\r\n\r\nof {id}",
    .ran = true },
};

#define LATE_BYTES (sizeof late_bytes / sizeof late_bytes[0])

static void
add_late_bytes (const struct test_process *replica,
                const struct late_bytes *late)
{
  const char *second = late->second != NULL ? late->second : "";

  if (late->ran)
    entry_add_response (replica, "send", late->answer, "await_request", "",
                        "send", late->first, "wait_ms", "30", "send", second,
                        (char *)NULL);
  else
    entry_add_refusal (replica, "send", late->answer, "await_request", "",
                       "send", late->first, "wait_ms", "30", "send", second,
                       (char *)NULL);
}

/* Guards against taking an earlier answer that arrives once more for that to
   the next request on its connection, which runs: a caller was told that its
   request did not run, or it ran at a second replica.  */
START_TEST (a_late_answer_does_not_decide_about_the_next_request)
{
  const struct late_bytes *late = &late_bytes[(size_t)_i / PATHS];

  for (int i = 0; i < ENTRY_REPLICAS; i++)
    add_late_bytes (entry_replicas[i], late);
  check_requests (paths[(size_t)_i % PATHS], "hello");
}
END_TEST

/* Guards against the same for a request with a long body.  */
START_TEST (a_late_answer_does_not_end_a_request_that_is_being_sent)
{
  static char body[15000];

  memset (body, 'x', sizeof body - 1);
  for (int i = 0; i < ENTRY_REPLICAS; i++)
    add_late_bytes (entry_replicas[i], &late_bytes[0]);
  check_requests (paths[_i], body);
}
END_TEST

static int
connect_to (const char *address)
{
  struct sockaddr_in to = { .sin_family = AF_INET };
  const char *port = strchr (address, ':') + 1;
  char host[ENTRY_ADDRESS_BYTES];
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  (void)snprintf (host, sizeof host, "%.*s", (int)(port - 1 - address),
                  address);
  to.sin_port = htons ((uint16_t)strtoul (port, NULL, 10));
  ck_assert_int_eq (inet_pton (AF_INET, host, &to.sin_addr), 1);
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&to, sizeof to), 0);
  return fd;
}

static void
send_request (int fd, const char *method, const char *path, const char *id)
{
  char text[512];
  int length = snprintf (text, sizeof text,
                         "%s %s HTTP/1.1\r\nHost: d.example\r\n"
                         "Authorization: Bearer key-1\r\n"
                         "Deadline-Ms: 3000\r\nRequest-Id: %s\r\n"
                         "Content-Length: 5\r\n\r\nhello",
                         method, path, id);

  ck_assert_int_eq (send (fd, text, (size_t)length, MSG_NOSIGNAL), length);
}

/* Reads the head and the start of the body of a response and returns its
   status.  */
static long
read_status (int fd)
{
  char text[2048];
  size_t length = 0;

  do
    {
      ssize_t received = recv (fd, text + length, sizeof text - 1 - length, 0);

      ck_assert_int_gt (received, 0);
      length += (size_t)received;
      text[length] = '\0';
    }
  while (strstr (text, "\r\n\r\n") == NULL);
  return strtol (text + strlen ("HTTP/1.1 "), NULL, 10);
}

/* Guards against the same when the copy has arrived while the connection was
   idle, and the host reads it only after it has sent the next request: it is
   stopped until both are there, the request first.  */
START_TEST (a_late_answer_that_waits_is_not_taken_for_the_next_one)
{
  int fd = connect_to (entry_caller_addresses[0]);
  long status;

  for (int i = 0; i < ENTRY_REPLICAS; i++)
    entry_add_response (entry_replicas[i], "send", SOUND, "wait_ms", "200",
                        "send", UNNAMED_503, (char *)NULL);
  send_request (fd, "POST", paths[_i], "id-1");
  ck_assert_int_eq (read_status (fd), 200);
  ck_assert_int_eq (test_process_signal (entry_hosts[0], SIGSTOP), 0);
  send_request (fd, "POST", paths[_i], "id-2");
  test_sleep_ms (PAUSE_MS);
  ck_assert_int_eq (test_process_signal (entry_hosts[0], SIGCONT), 0);
  status = read_status (fd);
  (void)close (fd);
  test_sleep_ms (PAUSE_MS);
  check_runs ("id-2", status, runs_allowed (paths[_i]));
}
END_TEST

/* Guards against giving up requests that a full replica rejects, because the
   rejection names none: another replica has room.  */
START_TEST (a_rejection_without_an_id_is_retried_after_other_requests)
{
  for (int round = 0; round < 3; round++)
    {
      struct test_http_response *reply;
      char id[16];

      for (int i = 0; i < REQUESTS; i++)
        {
          (void)snprintf (id, sizeof id, "look-%d-%d", round, i);
          reply = entry_request (0, "POST", "/look/1", id, NULL);
          ck_assert_int_eq (reply->status, 200);
        }
      entry_add_refusal (entry_replicas[0], "send", UNNAMED_503, (char *)NULL);
      entry_add_refusal (entry_replicas[1], "send", UNNAMED_503, (char *)NULL);
      (void)snprintf (id, sizeof id, "refused-%d", round);
      reply = entry_request (0, "POST", "/book/1", id, NULL);
      ck_assert_int_eq (reply->status, 503);
      ck_assert_ptr_nonnull (test_http_header (reply, "Retry-After"));
      ck_assert_int_eq (entry_count_runs (id), 0);
      entry_add_refusal (entry_replicas[0], "send", UNNAMED_503, (char *)NULL);
      for (int i = 0; i < REQUESTS; i++)
        {
          (void)snprintf (id, sizeof id, "book-%d-%d", round, i);
          reply = entry_request (0, "POST", "/book/1", id, NULL);
          ck_assert_int_eq (reply->status, 200);
          ck_assert_int_eq (entry_count_runs (id), 1);
        }
    }
}
END_TEST

#define ANSWER(status, headers)                                               \
  "HTTP/1.1 " status "\r\nRequest-Id: {id}\r\n" headers                       \
  "Content-Length: 9\r\n\r\ni-0:hello"
#define SEAL "Server-Seal: seal.1\r\n"
#define NOT_EXECUTED "Not-Executed: 1\r\n"

static const char *const other_statuses[] = {
  ANSWER ("200 OK", SEAL NOT_EXECUTED),
  ANSWER ("200 OK", NOT_EXECUTED),
  ANSWER ("404 Not Found", NOT_EXECUTED),
  ANSWER ("500 Internal Server Error", NOT_EXECUTED),
  ANSWER ("504 Gateway Timeout", NOT_EXECUTED),
};

/* Answers one request to PATH with RESPONSE of the replica that has run it,
   and checks that it ran once and that the caller gets no promise.  */
static void
check_answer_of_run (const char *path, const char *response)
{
  struct test_http_response *reply;

  for (int i = 0; i < ENTRY_REPLICAS; i++)
    entry_add_response (entry_replicas[i], "send", response, (char *)NULL);
  reply = entry_request (0, "POST", path, "id-1", "100,24");
  check_reply (reply, "id-1");
  check_runs ("id-1", reply->status, 1);
}

/* Guards against running a request again because of a header that a faulty
   replica adds to an answer with another status than those of rejections.  */
START_TEST (only_statuses_of_rejections_say_that_a_request_did_not_run)
{
  check_answer_of_run ("/book/1", other_statuses[_i]);
}
END_TEST

/* Guards against the same after events of the stream were forwarded.  */
START_TEST (a_forwarded_stream_is_no_rejection)
{
  struct test_http_response *reply;

  for (int i = 0; i < ENTRY_REPLICAS; i++)
    entry_add_response (
        entry_replicas[i], "send",
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n" SEAL NOT_EXECUTED
        "Content-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n",
        "chunk", EVENT (1) EVENT (2), "send", LAST_CHUNK, (char *)NULL);
  reply = entry_request (0, "POST", "/once/stream/1", "id-1", "100,24");
  ck_assert_str_eq (reply->body.data, EVENT (1) EVENT (2));
  check_runs ("id-1", reply->status, 1);
}
END_TEST

static const char *const unmarked_answers[] = {
  ANSWER ("503 Service Unavailable", SEAL),
  ANSWER ("503 Service Unavailable", ""),
  ANSWER ("429 Too Many Requests", SEAL),
  ANSWER ("408 Request Timeout", SEAL),
  ANSWER ("408 Request Timeout", NOT_EXECUTED),
  "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
};

/* Guards against telling the caller of a request that ran that it did not,
   since its replica answered with such a status and did not say so.  */
START_TEST (a_status_without_a_rejection_is_no_promise)
{
  check_answer_of_run ((size_t)_i % 2 == 0 ? "/book/1" : "/once/stream/1",
                       unmarked_answers[(size_t)_i / 2]);
}
END_TEST

#define CUT "HTTP/1.1 503 Service Unavailable\r\n"

static const char *const cut_heads[] = {
  "HTTP/1.1 503 ",
  "HTTP/1.1 503 Service Unav",
  CUT "Not-Exec",
  CUT "Not-Executed: ",
  CUT "Not-Executed: 1",
  CUT NOT_EXECUTED,
  CUT NOT_EXECUTED "Retry-After: 0.",
  CUT NOT_EXECUTED "Request-Id: 12",
  CUT NOT_EXECUTED "Content-Length: ",
  CUT NOT_EXECUTED "Content-Length: 0\r\n",
  "HTTP/1.1 200 OK\r\nDate: Sat, 05 Dec",
};

/* Guards against one head made of a part of a rejection and the head of the
   answer, whose id it then bears.  */
START_TEST (a_cut_head_does_not_join_the_next_one)
{
  const char *path = paths[(size_t)_i % PATHS];
  const char *cut = cut_heads[(size_t)_i / PATHS];
  struct test_http_response *reply;

  for (int i = 0; i < ENTRY_REPLICAS; i++)
    if (strstr (path, "/stream/") != NULL)
      entry_add_response (entry_replicas[i], "send", cut, "send", sound_stream,
                          "chunk", all_events, "send", LAST_CHUNK,
                          (char *)NULL);
    else
      entry_add_response (entry_replicas[i], "send", cut, "send",
                          ANSWER ("500 Internal Server Error", SEAL),
                          (char *)NULL);
  reply = entry_request (0, "POST", path, "id-1", "100,24");
  ck_assert_int_ne (reply->status, 200);
  check_runs ("id-1", reply->status, runs_allowed (path));
}
END_TEST

/* Reads up to SIZE - 1 bytes until the connection has been silent for
   PAUSE_MS.  */
static size_t
read_all (int fd, char *out, size_t size)
{
  struct timeval wait = { .tv_usec = PAUSE_MS * 1000L };
  size_t length = 0;
  ssize_t received;

  ck_assert_int_eq (
      setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait), 0);
  while (length < size - 1
         && (received = recv (fd, out + length, size - 1 - length, 0)) > 0)
    length += (size_t)received;
  out[length] = '\0';
  return length;
}

static const struct
{
  const char *method;
  const char *path;
  const char *response; /* null for a sound one */
  const char *status;   /* of the response to the caller */
  const char *length;   /* that it declares; null for none */
} bodiless[] = {
  { "HEAD", "/look/1",
    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n" SEAL
    "Transfer-Encoding: chunked\r\n\r\n",
    "200", NULL },
  { "HEAD", "/look/1", "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n" SEAL "\r\n",
    "200", NULL },
  { "HEAD", "/look/1",
    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n" SEAL "Content-Length: 9\r\n\r\n",
    "200", "9" },
  { "HEAD", "/look/1",
    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n" SEAL
    "Content-Length: 900000\r\n\r\n",
    "200", "900000" },
  { "HEAD", "/look/1",
    "HTTP/1.1 404 Not Found\r\nRequest-Id: {id}\r\n" SEAL
    "Content-Length: 9\r\n\r\n",
    "404", "9" },
  { "POST", "/look/1",
    "HTTP/1.1 204 No Content\r\nRequest-Id: {id}\r\n" SEAL "\r\n", "204",
    NULL },
  { "POST", "/look/1",
    "HTTP/1.1 204 No Content\r\nRequest-Id: {id}\r\n" SEAL
    "Content-Length: 0\r\n\r\n",
    "204", NULL },
  { "POST", "/look/1",
    "HTTP/1.1 304 Not Modified\r\nRequest-Id: {id}\r\n" SEAL
    "Content-Length: 9\r\n\r\n",
    "304", "9" },
  /* Refused by the host: no route.  */
  { "HEAD", "/none/1", NULL, "404", "" },
};

/* Guards against bytes that belong to no response behind one that has no body:
   a last chunk, or the text of a refusal.  */
START_TEST (nothing_follows_a_response_without_a_body)
{
  int fd = connect_to (entry_caller_addresses[0]);
  char text[4096];
  const char *end;
  const char *length;

  for (int i = 0; i < ENTRY_REPLICAS && bodiless[_i].response != NULL; i++)
    entry_add_response (entry_replicas[i], "send", bodiless[_i].response,
                        (char *)NULL);
  send_request (fd, bodiless[_i].method, bodiless[_i].path, "id-1");
  ck_assert_uint_gt (read_all (fd, text, sizeof text), 0);
  end = strstr (text, "\r\n\r\n");
  ck_assert_ptr_nonnull (end);
  ck_assert_str_eq (end, "\r\n\r\n");
  ck_assert_int_eq (strncmp (text + strlen ("HTTP/1.1 "), bodiless[_i].status,
                             strlen (bodiless[_i].status)),
                    0);
  ck_assert_ptr_null (strstr (text, "Transfer-Encoding"));
  length = strstr (text, "Content-Length: ");
  if (bodiless[_i].length == NULL)
    ck_assert_ptr_null (length);
  else
    {
      ck_assert_ptr_nonnull (length);
      length += strlen ("Content-Length: ");
      ck_assert_int_eq (
          strncmp (length, bodiless[_i].length, strlen (bodiless[_i].length)),
          0);
    }
  /* The connection takes the next request.  */
  send_request (fd, "POST", "/look/1", "id-2");
  (void)read_all (fd, text, sizeof text);
  ck_assert_int_eq (strncmp (text, "HTTP/1.1 200 ", 13), 0);
  ck_assert_ptr_nonnull (strstr (text, ":hello"));
  (void)close (fd);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("entry_rejections");
  TCase *late = tcase_create ("late");
  TCase *cut = tcase_create ("cut");
  TCase *heads = tcase_create ("heads");
  TCase *statuses = tcase_create ("statuses");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (late, set_up, tear_down);
  tcase_set_timeout (late, 60);
  tcase_add_loop_test (late,
                       a_late_answer_does_not_decide_about_the_next_request, 0,
                       (int)(LATE_BYTES * PATHS));
  tcase_add_loop_test (late,
                       a_late_answer_does_not_end_a_request_that_is_being_sent,
                       0, (int)PATHS);
  tcase_add_loop_test (
      late, a_late_answer_that_waits_is_not_taken_for_the_next_one, 0, 2);
  tcase_add_test (late,
                  a_rejection_without_an_id_is_retried_after_other_requests);
  suite_add_tcase (suite, late);
  tcase_add_checked_fixture (statuses, set_up, tear_down);
  tcase_set_timeout (statuses, 60);
  tcase_add_loop_test (
      statuses, only_statuses_of_rejections_say_that_a_request_did_not_run, 0,
      sizeof other_statuses / sizeof other_statuses[0]);
  tcase_add_loop_test (
      statuses, a_status_without_a_rejection_is_no_promise, 0,
      (int)(2 * sizeof unmarked_answers / sizeof unmarked_answers[0]));
  tcase_add_test (statuses, a_forwarded_stream_is_no_rejection);
  suite_add_tcase (suite, statuses);
  tcase_add_checked_fixture (cut, set_up, tear_down);
  tcase_set_timeout (cut, 60);
  tcase_add_loop_test (cut, a_cut_head_does_not_join_the_next_one, 0,
                       (int)(PATHS * sizeof cut_heads / sizeof cut_heads[0]));
  suite_add_tcase (suite, cut);
  tcase_add_checked_fixture (heads, set_up, tear_down);
  tcase_set_timeout (heads, 60);
  tcase_add_loop_test (heads, nothing_follows_a_response_without_a_body, 0,
                       sizeof bodiless / sizeof bodiless[0]);
  suite_add_tcase (suite, heads);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
