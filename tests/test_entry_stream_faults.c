#include "support/entry_site.h"

#include <check.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Streams through several hosts from replicas that send random faults.  Each
   seed has its own hosts and replicas.  DS_STREAM_SEEDS sets the number of
   seeds, DS_STREAM_FIRST_SEED the first one; the log of a failure names the
   seed and the request.  */

#define HOSTS 3
#define EVENTS 6
#define ROUNDS 12
/* Responses with faults that each replica gets for a round, and requests that
   run at the same time in it.  */
#define RESPONSES 5
#define REQUESTS 12
#define TEXT_BYTES 2048
#define SEEDS_DEFAULT 3
#define LOG_INTERVAL_MS 1500
/* A quarter of the streams is whole at least: the sound responses must not be
   cut off with the faulty ones.  */
#define WHOLE_DIVISOR 4

#define HEAD(type)                                                            \
  "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal.1\r\n"            \
  "Content-Type: " type "\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n"
#define LAST_CHUNK "0\r\n\r\n"

static const char *const garbage[]
    = { "!\x01 garbage\n\n",
        "garbage",
        "\r\n\r\n",
        "data: no id\n\n",
        "id: 99\ndata: far\n\n",
        "id: x\ndata: x\n\n",
        "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
        "Content-Length: 0\r\n\r\n",
        "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: {previous}\r\n"
        "Content-Length: 4\r\n\r\nfail",
        HEAD ("text/event-stream") "\r\nid: 1\ndata: other\n\n",
        "\xc3\xa9\xe2\x82\xac {\"error\":\"failed\"}\n\n" };

static const char *const other_answers[]
    = { HEAD ("text/plain") CHUNKED "\r\n5\r\nplain\r\n" LAST_CHUNK,
        HEAD ("text/plain") "\r\nplain",
        HEAD ("text/event-stream") "\r\n",
        HEAD ("text/event-stream") CHUNKED "\r\n" LAST_CHUNK,
        "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: {id}\r\n"
        "Server-Seal: seal.1\r\nContent-Length: 4\r\n\r\nfail",
        "HTTP/1.1 404 Not Found\r\nRequest-Id: {id}\r\n"
        "Server-Seal: seal.1\r\nContent-Length: 4\r\n\r\nnone",
        "!\x01 garbage\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" };

#define COUNT(table) (sizeof (table) / sizeof (table)[0])

static uint64_t random_state;
static int seed;
static int whole_streams;

/* Returns a number below LIMIT (xorshift64).  */
static size_t
draw (size_t limit)
{
  random_state ^= random_state << 13;
  random_state ^= random_state >> 7;
  random_state ^= random_state << 17;
  return (size_t)(random_state % limit);
}

static void
add_step (json_t *steps, const char *step, const char *text)
{
  json_array_append_new (steps, json_pack ("{s:s}", step, text));
}

static void
format_event (char out[static 64], int number)
{
  (void)snprintf (out, 64, "id: %d\ndata: piece %d\n\n", number, number);
}

static void
append_text (char text[static TEXT_BYTES], const char *more)
{
  size_t length = strlen (text);

  (void)snprintf (text + length, TEXT_BYTES - length, "%s", more);
}

/* Appends an event to TEXT, as a chunk if asked for.  */
static void
append_event (char text[static TEXT_BYTES], int number, bool chunked)
{
  char event[64];
  char size[24];

  format_event (event, number);
  (void)snprintf (size, sizeof size, "%zx\r\n", strlen (event));
  append_text (text, chunked ? size : "");
  append_text (text, event);
  append_text (text, chunked ? "\r\n" : "");
}

/* Breaks a sound response off at any byte.  One that its connection ends is
   complete between two events, so it is closed inside one, or reset.  */
static void
add_broken_response (json_t *steps, bool chunked)
{
  char text[TEXT_BYTES] = "";
  const char *end = draw (2) == 0 ? "close" : "reset";
  size_t head;
  size_t cut;

  (void)snprintf (text, sizeof text, "%s%s\r\n", HEAD ("text/event-stream"),
                  chunked ? CHUNKED : "");
  head = strlen (text);
  for (int i = 1; i <= EVENTS; i++)
    append_event (text, i, chunked);
  if (chunked)
    append_text (text, LAST_CHUNK);
  cut = draw (strlen (text) - head) + head;
  if (!chunked && text[cut - 1] == '\n' && text[cut] == 'i')
    cut++;
  text[cut] = '\0';
  add_step (steps, "send", text);
  if (!chunked && draw (2) == 0)
    add_step (steps, "send",
              "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
              "Content-Length: 0\r\n\r\n");
  add_step (steps, end, "");
}

/* Sends garbage after any event, or repeats or leaves out one.  */
static void
add_spoiled_response (json_t *steps, bool chunked)
{
  const char *body = chunked ? "chunk" : "send";
  size_t fault = draw (3);
  int at = (int)draw (EVENTS) + 1;
  char text[TEXT_BYTES];

  (void)snprintf (text, sizeof text, "%s%s\r\n", HEAD ("text/event-stream"),
                  chunked ? CHUNKED : "");
  add_step (steps, "send", text);
  for (int i = 1; i <= EVENTS; i++)
    {
      /* Without the last event the response would look like a sound one that
         is shorter.  */
      if (i == at && fault == 0 && i < EVENTS)
        continue;
      format_event (text, i);
      add_step (steps, body, text);
      if (i == at && fault == 1)
        add_step (steps, body, text);
      if (i == at && fault == 2)
        add_step (steps, draw (2) == 0 ? body : "send",
                  garbage[draw (COUNT (garbage))]);
      if (draw (8) == 0)
        add_step (steps, "wait_ms", "20");
    }
  if (chunked)
    add_step (steps, "send", LAST_CHUNK);
  if (draw (4) == 0)
    add_step (steps, "send", garbage[draw (COUNT (garbage))]);
  if (!chunked || draw (2) == 0)
    add_step (steps, "close", "");
}

static void
add_faulty_response (const struct test_process *replica)
{
  json_t *steps = json_array ();
  bool chunked = draw (2) == 0;

  switch (draw (3))
    {
    case 0:
      add_broken_response (steps, chunked);
      break;
    case 1:
      add_spoiled_response (steps, chunked);
      break;
    default:
      add_step (steps, "send", other_answers[draw (COUNT (other_answers))]);
      add_step (steps, "close", "");
      break;
    }
  entry_add_steps (replica, draw (2) == 0 ? "for_resumed" : "runs", steps);
}

/* One request of a round.  */
struct request
{
  char id[48];
  char id_line[64];
  const char *headers[7];
  struct test_http_task *task;
  bool resumable;
};

static void
start_request (struct request *request, int round, int number)
{
  struct test_http_call call
      = { .method = "POST",
          .address = entry_caller_addresses[draw (HOSTS)],
          .headers = request->headers,
          .body = "hello" };

  request->resumable = draw (3) != 0;
  call.path = request->resumable ? "/stream/1" : "/once/stream/1";
  (void)snprintf (request->id, sizeof request->id, "s%d-%d-%d", seed, round,
                  number);
  (void)snprintf (request->id_line, sizeof request->id_line, "Request-Id: %s",
                  request->id);
  request->headers[0] = "Host: d.example";
  request->headers[1] = "Authorization: Bearer key-1";
  request->headers[2] = "Deadline-Ms: 6000";
  request->headers[3] = "Token-Count: 100,24";
  request->headers[4] = request->id_line;
  request->headers[5] = NULL;
  request->task = test_http_start (&call);
}

/* Whether BODY holds whole events of the sound stream, from the first one on,
   and all of them if the response is COMPLETE.  */
static bool
is_sound (struct ds_str body, bool complete)
{
  char sound[TEXT_BYTES] = "";

  for (int i = 1; i <= EVENTS; i++)
    append_event (sound, i, false);
  return body.length <= strlen (sound)
         && memcmp (body.data, sound, body.length) == 0
         && (!complete || body.length == strlen (sound));
}

/* Checks the response of REQUEST, and that the request ran as often as its
   status and route allow.  */
static void
check_response (const struct request *request,
                const struct test_http_response *reply)
{
  int runs = entry_count_runs (request->id);
  bool is_stream
      = reply->status == 200
        && strstr (reply->headers.data, "text/event-stream") != NULL;
  bool sound = !is_stream || is_sound (reply->body, reply->code == 0);
  bool honest = (reply->status != 503 && reply->status != 429) || runs == 0;
  bool ran_once = request->resumable || runs <= 1;

  if (is_stream && reply->code == 0)
    whole_streams++;
  if (sound && honest && ran_once)
    return;
  /* Hosts write their logs every second; the files are kept.  */
  test_sleep_ms (LOG_INTERVAL_MS);
  ck_abort_msg ("%s: status %ld, code %d, %d runs, body: %s", request->id,
                reply->status, reply->code, runs, reply->body.data);
}

static void
run_round (int round)
{
  static struct request requests[REQUESTS];

  for (int i = 0; i < ENTRY_REPLICAS; i++)
    for (int k = 0; k < RESPONSES; k++)
      add_faulty_response (entry_replicas[i]);
  for (int i = 0; i < REQUESTS; i++)
    start_request (&requests[i], round, i);
  for (int i = 0; i < REQUESTS; i++)
    check_response (&requests[i], test_http_join (requests[i].task));
}

static void
set_up (void)
{
  entry_start_scripted_standins (10000000);
  for (int i = 0; i < HOSTS; i++)
    entry_start_host (i, "z");
  for (int i = 0; i < HOSTS; i++)
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

static int
environment_number (const char *name, int default_value)
{
  const char *text = getenv (name);

  return text != NULL ? atoi (text) : default_value;
}

/* Guards against any bytes of a faulty replica in a caller's stream, and
   against streams that lack events and look complete.  */
START_TEST (streams_of_faulty_replicas_hold_only_their_events)
{
  seed = environment_number ("DS_STREAM_FIRST_SEED", 1) + _i;
  random_state = 0x9e3779b97f4a7c15U * (uint64_t)(seed + 1);
  whole_streams = 0;
  for (int round = 0; round < ROUNDS; round++)
    run_round (round);
  ck_assert_int_ge (whole_streams, ROUNDS * REQUESTS / WHOLE_DIVISOR);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("entry_stream_faults");
  TCase *test_case = tcase_create ("entry_stream_faults");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_set_timeout (test_case, 60);
  tcase_add_loop_test (test_case,
                       streams_of_faulty_replicas_hold_only_their_events, 0,
                       environment_number ("DS_STREAM_SEEDS", SEEDS_DEFAULT));
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
