#include "support/http.h"
#include "support/process.h"

#include "daisystep/error.h"

#include <check.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define ARGUMENTS(...) ((const char *const[]){ __VA_ARGS__, NULL })
#define NO_ARGUMENTS ((const char *const[]){ NULL })
#define CREATE "If-None-Match: *"
#define WRITERS 8
#define WRITES_EACH 25L
#define LIMIT_BYTES ((size_t)1024 * 1024)
#define COMPLETIONS "/v1/chat/completions"
#define COMPLETION(rest)                                                      \
  "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":"            \
  "\"123456789\"}]" rest "}"
#define STREAM COMPLETION (",\"stream\":true")

static struct test_process *process;
static const char *address;

static void
start (const char *program, const char *const *arguments)
{
  ck_assert_int_eq (
      test_standin_start (&process, "standin", program, arguments), 0);
  address = process->address;
}

static void
sleep_ms (long ms)
{
  struct timespec time = { .tv_nsec = ms * 1000000L };

  nanosleep (&time, NULL);
}

/* Sends a conditional write and returns its status, 0 without a response.  */
static long
write_object (const char *method, const char *name, const char *condition,
              const char *body)
{
  char path[128];
  const char *headers[] = { condition, NULL };
  struct test_http_call call = { .method = method,
                                 .address = address,
                                 .path = path,
                                 .headers = headers,
                                 .body = body };
  struct test_http_response *response;
  long status;

  (void)snprintf (path, sizeof path, "/v1/objects/%s", name);
  response = test_http (&call);
  status = response->code == 0 ? response->status : 0;
  talloc_free (response);
  return status;
}

static long
put (const char *name, const char *condition, const char *body)
{
  return write_object ("PUT", name, condition, body);
}

/* The version of the object NAME, 0 if there is none; *VALUE receives its
   spec.value.  */
static json_int_t
read_object (const char *name, json_int_t *value)
{
  char path[128];
  json_t *object;
  json_int_t version;

  (void)snprintf (path, sizeof path, "/v1/objects/%s", name);
  object = test_get_json (address, path);
  version = json_integer_value (json_object_get (object, "version"));
  if (value != NULL)
    *value = json_integer_value (test_json_at (object, "spec/value"));
  json_decref (object);
  return version;
}

static char *
if_match (char *out, size_t size, json_int_t version)
{
  (void)snprintf (out, size, "If-Match: \"%" JSON_INTEGER_FORMAT "\"",
                  version);
  return out;
}

static struct test_http_call
get (const char *path)
{
  return (struct test_http_call){ .address = address, .path = path };
}

static long
get_status (const char *path)
{
  struct test_http_call call = get (path);
  struct test_http_response *response = test_http (&call);
  long status = response->code == 0 ? response->status : 0;

  talloc_free (response);
  return status;
}

static struct test_http_call
completion (const char *body)
{
  static const char *const headers[]
      = { "X-Attempt-Id: a-7", "X-Request-Id: s.1", NULL };

  return (struct test_http_call){ .method = "POST",
                                  .address = address,
                                  .path = COMPLETIONS,
                                  .headers = headers,
                                  .body = body };
}

/* Opens a connection to the stand-in without sending a request.  */
static int
connect_idle (void)
{
  struct sockaddr_in peer = { .sin_family = AF_INET };
  int descriptor = socket (AF_INET, SOCK_STREAM, 0);
  const char *colon = strchr (address, ':');

  peer.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  peer.sin_port = htons ((uint16_t)strtoul (colon + 1, NULL, 10));
  ck_assert_int_eq (
      connect (descriptor, (struct sockaddr *)&peer, sizeof peer), 0);
  return descriptor;
}

static unsigned
count_text (const struct test_http_response *response, const char *text)
{
  unsigned count = 0;

  for (const char *at = response->body.data; (at = strstr (at, text)) != NULL;
       at++)
    count++;
  return count;
}

static bool
is_done (const struct test_http_response *response)
{
  return strstr (response->body.data, "data: [DONE]\n\n") != NULL;
}

/* Waits until the value at PATH in the engine's log of calls is TEXT; fails
   after 3 s.  */
static void
wait_for_call_member (const char *path, const char *text)
{
  for (int i = 0; i < 300; i++)
    {
      json_t *calls = test_get_json (address, "/standin/calls");
      const char *found = json_string_value (test_json_at (calls, path));
      bool equal = found != NULL && strcmp (found, text) == 0;

      json_decref (calls);
      if (equal)
        return;
      sleep_ms (10);
    }
  ck_abort_msg ("%s did not become %s within 3 s", path, text);
}

static json_int_t
logged_number (const char *path)
{
  json_t *calls = test_get_json (address, "/standin/calls");
  json_int_t number = json_integer_value (test_json_at (calls, path));

  json_decref (calls);
  return number;
}

/* A conditional write must not ignore its condition.  */
START_TEST (writes_only_on_the_current_version)
{
  char condition[64];
  json_int_t first, second, value;

  start (TEST_STANDIN ("object_api"), NO_ARGUMENTS);
  ck_assert_int_eq (put ("Budget/x", CREATE, "{\"spec\":{\"value\":1}}"), 201);
  ck_assert_int_eq (put ("Budget/x", CREATE, "{\"spec\":{\"value\":2}}"), 412);
  first = read_object ("Budget/x", &value);
  ck_assert_int_eq (value, 1);
  if_match (condition, sizeof condition, first);
  ck_assert_int_eq (put ("Budget/x", condition, "{\"spec\":{\"value\":3}}"),
                    200);
  ck_assert_int_eq (put ("Budget/x", condition, "{\"spec\":{\"value\":4}}"),
                    412);
  ck_assert_int_eq (put ("Budget/x", "X-None: 1", "{}"), 428);
  second = read_object ("Budget/x", &value);
  ck_assert_int_eq (value, 3);
  ck_assert_int_gt (second, first);
  ck_assert_int_eq (write_object ("DELETE", "Budget/x", condition, NULL), 412);
  if_match (condition, sizeof condition, second);
  ck_assert_int_eq (write_object ("DELETE", "Budget/x", condition, NULL), 200);
  ck_assert_int_eq (get_status ("/v1/objects/Budget/x"), 404);
  ck_assert_int_eq (put ("Budget/x", CREATE, "{}"), 201);
  ck_assert_int_gt (read_object ("Budget/x", NULL), second + 1);
}
END_TEST

/* A list must not contain deleted objects or objects of a kind whose name has
   the listed kind as a prefix.  */
START_TEST (lists_the_live_objects_of_a_kind)
{
  json_t *list;

  start (TEST_STANDIN ("object_api"), NO_ARGUMENTS);
  ck_assert_int_eq (put ("HostList/a", CREATE, "{}"), 201);
  ck_assert_int_eq (put ("Host/b", CREATE, "{}"), 201);
  ck_assert_int_eq (put ("Host/a", CREATE, "{}"), 201);
  ck_assert_int_eq (put ("Host/c", CREATE, "{}"), 201);
  ck_assert_int_eq (write_object ("DELETE", "Host/c", "If-Match: \"4\"", NULL),
                    200);
  list = test_get_json (address, "/v1/objects/Host");
  ck_assert_int_eq (json_integer_value (test_json_at (list, "version")), 5);
  ck_assert_uint_eq (json_array_size (test_json_at (list, "items")), 2);
  ck_assert_int_eq (
      json_integer_value (test_json_at (list, "items/0/version")), 3);
  ck_assert_int_eq (
      json_integer_value (test_json_at (list, "items/1/version")), 2);
  json_decref (list);
}
END_TEST

static void *
increment (void *closure)
{
  char condition[64], body[64];

  (void)closure;
  for (int done = 0; done < WRITES_EACH;)
    {
      json_int_t value;
      json_int_t version = read_object ("Budget/n", &value);

      (void)snprintf (body, sizeof body,
                      "{\"spec\":{\"value\":%" JSON_INTEGER_FORMAT "}}",
                      value + 1);
      if (put ("Budget/n", if_match (condition, sizeof condition, version),
               body)
          == 200)
        done++;
    }
  return NULL;
}

/* Two writers must not both succeed on the same version.  */
START_TEST (loses_no_concurrent_update)
{
  pthread_t writers[WRITERS];
  json_int_t value;

  start (TEST_STANDIN ("object_api"), NO_ARGUMENTS);
  ck_assert_int_eq (put ("Budget/n", CREATE, "{\"spec\":{\"value\":0}}"), 201);
  for (int i = 0; i < WRITERS; i++)
    ck_assert_int_eq (pthread_create (&writers[i], NULL, increment, NULL), 0);
  for (int i = 0; i < WRITERS; i++)
    pthread_join (writers[i], NULL);
  (void)read_object ("Budget/n", &value);
  ck_assert_int_eq (value, WRITERS * WRITES_EACH);
}
END_TEST

/* A watch must not miss a write, return for a write of another kind, or
   respond only at its timeout.  */
START_TEST (wakes_a_watch_on_a_write_of_its_kind)
{
  struct test_http_call call;
  struct test_http_response *response;
  struct test_http_task *task;
  json_t *events;

  start (TEST_STANDIN ("object_api"), NO_ARGUMENTS);
  call = get ("/v1/objects/Host?watch=1&since=0&timeout_ms=8000");
  task = test_http_start (&call);
  sleep_ms (100);
  ck_assert_int_eq (put ("Budget/x", CREATE, "{}"), 201);
  sleep_ms (100);
  ck_assert_int_eq (put ("Host/h", CREATE, "{}"), 201);
  response = test_http_join (task);
  ck_assert_int_eq (response->code, 0);
  ck_assert_int_lt (response->elapsed_ms, 5000);
  events = test_http_json (response);
  ck_assert_int_eq (json_integer_value (test_json_at (events, "version")), 2);
  ck_assert_uint_eq (json_array_size (test_json_at (events, "events")), 1);
  ck_assert_str_eq (
      json_string_value (test_json_at (events, "events/0/object/name")), "h");
  json_decref (events);
  talloc_free (response);
  events = test_get_json (address,
                          "/v1/objects/Host?watch=1&since=2&timeout_ms=100");
  ck_assert_int_eq (json_integer_value (test_json_at (events, "version")), 2);
  ck_assert_uint_eq (json_array_size (test_json_at (events, "events")), 0);
  json_decref (events);
}
END_TEST

/* Guards against a write that does not wake the watch, which then responds
   only at its next check of the client, 50 ms after its start.  The fastest of
   ten tries counts, since single ones may be slow on a busy machine.  */
START_TEST (wakes_a_watch_at_once)
{
  long fastest = 1000;

  start (TEST_STANDIN ("object_api"), NO_ARGUMENTS);
  for (int i = 0; i < 10; i++)
    {
      char path[80], name[32];
      struct test_http_call call = get (path);
      struct test_http_task *task;
      struct test_http_response *response;

      (void)snprintf (path, sizeof path,
                      "/v1/objects/Host?watch=1&since=%d&timeout_ms=8000", i);
      (void)snprintf (name, sizeof name, "Host/h%d", i);
      task = test_http_start (&call);
      sleep_ms (20);
      ck_assert_int_eq (put (name, CREATE, "{}"), 201);
      response = test_http_join (task);
      ck_assert_int_eq (response->status, 200);
      if (response->elapsed_ms < fastest)
        fastest = response->elapsed_ms;
      talloc_free (response);
    }
  ck_assert_int_lt (fastest, 40);
}
END_TEST

/* A watch must not silently skip events that have left the history.  */
START_TEST (refuses_a_watch_older_than_the_history)
{
  char name[32];
  json_t *events;

  start (TEST_STANDIN ("object_api"), ARGUMENTS ("--events", "4"));
  for (int i = 0; i < 6; i++)
    {
      (void)snprintf (name, sizeof name, "Host/h%d", i);
      ck_assert_int_eq (put (name, CREATE, "{}"), 201);
    }
  ck_assert_int_eq (get_status ("/v1/objects/Host?watch=1&since=1"), 410);
  events = test_get_json (address, "/v1/objects/Host?watch=1&since=2");
  ck_assert_uint_eq (json_array_size (test_json_at (events, "events")), 4);
  json_decref (events);
}
END_TEST

/* A write whose response is dropped must take effect, and responses to writes
   of other kinds must not be dropped.  */
START_TEST (drops_the_answer_of_a_write_that_took_effect)
{
  start (TEST_STANDIN ("object_api"), NO_ARGUMENTS);
  ck_assert_int_eq (test_post (address, "/standin/faults",
                               "{\"drop_answers\":1,"
                               "\"kind\":\"LedgerPage\"}"),
                    200);
  ck_assert_int_eq (put ("Budget/x", CREATE, "{}"), 201);
  ck_assert_int_eq (put ("LedgerPage/1", CREATE, "{}"), 0);
  ck_assert_int_gt (read_object ("LedgerPage/1", NULL), 0);
  ck_assert_int_eq (put ("LedgerPage/1", CREATE, "{}"), 412);
  ck_assert_int_eq (put ("LedgerPage/2", CREATE, "{}"), 201);
}
END_TEST

/* An outage must end watches, close idle connections and keep all objects.  */
START_TEST (closes_all_connections_while_down)
{
  struct test_http_call call;
  struct test_http_response *response;
  struct test_http_task *task;
  struct pollfd idle = { .events = POLLIN };

  start (TEST_STANDIN ("object_api"), NO_ARGUMENTS);
  idle.fd = connect_idle ();
  ck_assert_int_eq (put ("Host/h", CREATE, "{}"), 201);
  call = get ("/v1/objects/Host?watch=1&since=1&timeout_ms=8000");
  task = test_http_start (&call);
  sleep_ms (100);
  ck_assert_int_eq (test_post (address, "/standin/faults", "{\"down\":true}"),
                    200);
  response = test_http_join (task);
  ck_assert_int_eq (response->code, DS_EUNAVAILABLE);
  ck_assert_int_lt (response->elapsed_ms, 5000);
  talloc_free (response);
  ck_assert_int_eq (poll (&idle, 1, 3000), 1);
  close (idle.fd);
  ck_assert_int_eq (get_status ("/v1/objects/Host/h"), 0);
  ck_assert_int_eq (put ("Host/i", CREATE, "{}"), 0);
  ck_assert_int_eq (test_post (address, "/standin/faults", "{\"down\":false}"),
                    200);
  ck_assert_int_eq (get_status ("/v1/objects/Host/h"), 200);
  ck_assert_int_eq (get_status ("/v1/objects/Host/i"), 404);
}
END_TEST

START_TEST (delays_answers_and_counts_calls)
{
  struct test_http_call call;
  struct test_http_response *response;
  json_t *stats;

  start (TEST_STANDIN ("object_api"), NO_ARGUMENTS);
  ck_assert_int_eq (put ("Host/h", CREATE, "{}"), 201);
  ck_assert_int_eq (put ("Host/h", CREATE, "{}"), 412);
  ck_assert_int_eq (
      test_post (address, "/standin/faults", "{\"delay_ms\":150}"), 200);
  call = get ("/v1/objects/Host");
  response = test_http (&call);
  ck_assert_int_eq (response->status, 200);
  ck_assert_int_ge (response->elapsed_ms, 150);
  talloc_free (response);
  stats = test_get_json (address, "/standin/stats");
  ck_assert_int_eq (json_integer_value (test_json_at (stats, "reads")), 1);
  ck_assert_int_eq (json_integer_value (test_json_at (stats, "writes")), 2);
  ck_assert_int_eq (json_integer_value (test_json_at (stats, "conflicts")), 1);
  ck_assert_int_eq (json_integer_value (test_json_at (stats, "watches")), 0);
  ck_assert_int_gt (json_integer_value (test_json_at (stats, "bytes")), 0);
  json_decref (stats);
}
END_TEST

START_TEST (refuses_a_missing_token_and_a_large_object)
{
  struct test_http_call call;
  struct test_http_response *response;
  char *body = talloc_size (NULL, LIMIT_BYTES + 2);

  start (TEST_STANDIN ("object_api"), ARGUMENTS ("--token", "secret"));
  ck_assert_int_eq (get_status ("/v1/objects/Host"), 401);
  call = get ("/v1/objects/Host");
  call.headers = ARGUMENTS ("Authorization: Bearer secret");
  response = test_http (&call);
  ck_assert_int_eq (response->status, 200);
  talloc_free (response);
  memset (body, ' ', LIMIT_BYTES + 1);
  body[LIMIT_BYTES + 1] = '\0';
  call = (struct test_http_call){
    .method = "PUT",
    .address = address,
    .path = "/v1/objects/Host/h",
    .headers = ARGUMENTS ("Authorization: Bearer secret", CREATE),
    .body = body,
  };
  response = test_http (&call);
  ck_assert_int_eq (response->status, 413);
  talloc_free (response);
  body[0] = '{';
  body[LIMIT_BYTES - 1] = '}';
  body[LIMIT_BYTES] = '\0';
  response = test_http (&call);
  ck_assert_int_eq (response->status, 201);
  talloc_free (response);
  talloc_free (body);
}
END_TEST

/* A history that loses versions would hide violated invariants from other
   tests.  */
START_TEST (keeps_every_version)
{
  json_t *history;
  char condition[64], body[64];

  start (TEST_STANDIN ("object_api"),
         ARGUMENTS ("--keep-history", "--events", "2"));
  ck_assert_int_eq (put ("Host/h", CREATE, "{\"spec\":{\"value\":0}}"), 201);
  for (int i = 1; i < 5; i++)
    {
      (void)snprintf (body, sizeof body, "{\"spec\":{\"value\":%d}}", i);
      ck_assert_int_eq (
          put ("Host/h", if_match (condition, sizeof condition, i), body),
          200);
    }
  if_match (condition, sizeof condition, 5);
  ck_assert_int_eq (write_object ("DELETE", "Host/h", condition, NULL), 200);
  history = test_get_json (address, "/standin/history?kind=Host&name=h");
  ck_assert_uint_eq (json_array_size (test_json_at (history, "versions")), 6);
  for (int i = 0; i < 6; i++)
    {
      json_t *item
          = json_array_get (test_json_at (history, "versions"), (size_t)i);

      ck_assert_int_eq (
          json_integer_value (test_json_at (item, "object/version")), i + 1);
      ck_assert_int_eq (
          json_integer_value (test_json_at (item, "object/spec/value")),
          i < 5 ? i : 4);
      ck_assert_str_eq (json_string_value (test_json_at (item, "type")),
                        i < 5 ? "put" : "delete");
    }
  json_decref (history);
}
END_TEST

/* Guards against a stream with a wrong number of tokens, or without usage, end
   marker or attempt id.  */
START_TEST (streams_one_token_a_chunk)
{
  struct test_http_call call;
  struct test_http_response *response;

  start (TEST_STANDIN ("engine"), ARGUMENTS ("--default-output", "300"));
  call = completion (STREAM);
  response = test_http (&call);
  ck_assert_int_eq (response->code, 0);
  ck_assert_int_eq (response->status, 200);
  ck_assert_str_eq (test_http_header (response, "X-Attempt-Id"), "a-7");
  ck_assert_uint_eq (count_text (response, "\"content\":\""), 300);
  ck_assert_uint_eq (count_text (response, "\"content\":\" tok299\""), 1);
  ck_assert_uint_eq (count_text (response, "\"prompt_tokens\":3,"
                                           "\"completion_tokens\":300,"),
                     1);
  ck_assert (is_done (response));
  talloc_free (response);
  wait_for_call_member ("calls/0/state", "complete");
  wait_for_call_member ("calls/0/attempt_id", "a-7");
  wait_for_call_member ("calls/0/request_id", "s.1");
  ck_assert_int_eq (logged_number ("calls/0/output_tokens"), 300);
}
END_TEST

START_TEST (unstreamed_completion_ends_at_the_smaller_limit)
{
  struct test_http_call call;
  struct test_http_response *response;
  json_t *completion_json;

  start (TEST_STANDIN ("engine"), ARGUMENTS ("--default-output", "5"));
  call = completion (COMPLETION (",\"max_tokens\":3"));
  response = test_http (&call);
  completion_json = test_http_json (response);
  ck_assert_str_eq (json_string_value (test_json_at (
                        completion_json, "choices/0/message/content")),
                    "tok0 tok1 tok2");
  ck_assert_int_eq (json_integer_value (test_json_at (
                        completion_json, "usage/completion_tokens")),
                    3);
  json_decref (completion_json);
  talloc_free (response);
  call = completion (COMPLETION (",\"max_tokens\":9"));
  response = test_http (&call);
  completion_json = test_http_json (response);
  ck_assert_int_eq (json_integer_value (test_json_at (
                        completion_json, "usage/completion_tokens")),
                    5);
  json_decref (completion_json);
  talloc_free (response);
}
END_TEST

static json_int_t
running_calls (void)
{
  json_t *load = test_get_json (address, "/v1/load");
  json_int_t running = json_integer_value (test_json_at (load, "running"));

  json_decref (load);
  return running;
}

START_TEST (reports_running_calls)
{
  struct test_http_call call;
  struct test_http_response *response;
  struct test_http_task *task;

  start (TEST_STANDIN ("engine"), ARGUMENTS ("--first-token-ms", "300"));
  call = completion (COMPLETION (""));
  task = test_http_start (&call);
  wait_for_call_member ("calls/0/state", "running");
  ck_assert_int_eq (running_calls (), 1);
  response = test_http_join (task);
  ck_assert_int_eq (response->status, 200);
  ck_assert_int_ge (response->elapsed_ms, 300);
  talloc_free (response);
  ck_assert_int_eq (running_calls (), 0);
}
END_TEST

/* A call, streamed or not, must stop producing tokens when its client has
   disconnected.  */
START_TEST (stops_a_call_whose_client_has_gone)
{
  struct test_http_call call;
  struct test_http_response *response;

  start (TEST_STANDIN ("engine"),
         ARGUMENTS ("--default-output", "1000", "--token-ms", "20"));
  call = completion (STREAM);
  call.stop_after_bytes = 1;
  response = test_http (&call);
  ck_assert_int_eq (response->code, DS_EUNAVAILABLE);
  talloc_free (response);
  wait_for_call_member ("calls/0/state", "cancelled");
  ck_assert_int_lt (logged_number ("calls/0/output_tokens"), 100);
  call = completion (COMPLETION (""));
  call.timeout_ms = 100;
  response = test_http (&call);
  ck_assert_int_eq (response->code, DS_ETIMEOUT);
  talloc_free (response);
  wait_for_call_member ("calls/1/state", "cancelled");
  ck_assert_int_lt (logged_number ("calls/1/output_tokens"), 200);
}
END_TEST

/* The fault "silent_after_tokens" must keep the connection open and not affect
   new calls.  */
START_TEST (stalls_running_streams_only)
{
  struct test_http_call old, new;
  struct test_http_response *response;
  struct test_http_task *task;

  start (TEST_STANDIN ("engine"),
         ARGUMENTS ("--default-output", "50", "--token-ms", "10"));
  old = completion (STREAM);
  old.timeout_ms = 2000;
  task = test_http_start (&old);
  wait_for_call_member ("calls/0/state", "running");
  ck_assert_int_eq (
      test_post (address, "/standin/faults", "{\"silent_after_tokens\":0}"),
      200);
  new = completion (STREAM);
  response = test_http (&new);
  ck_assert (is_done (response));
  talloc_free (response);
  response = test_http_join (task);
  ck_assert_int_eq (response->code, DS_ETIMEOUT);
  ck_assert_uint_lt (count_text (response, "\"content\":"), 50);
  ck_assert (!is_done (response));
  talloc_free (response);
  wait_for_call_member ("calls/0/state", "cancelled");
}
END_TEST

/* A truncated stream must not look complete.  */
START_TEST (cut_stream_has_no_end_marker)
{
  struct test_http_call call;
  struct test_http_response *response;

  start (TEST_STANDIN ("engine"), NO_ARGUMENTS);
  ck_assert_int_eq (
      test_post (address, "/standin/faults", "{\"cut_after_tokens\":3}"), 200);
  call = completion (STREAM);
  response = test_http (&call);
  ck_assert_int_eq (response->code, DS_EUNAVAILABLE);
  ck_assert_uint_eq (count_text (response, "\"content\":"), 3);
  ck_assert (!is_done (response));
  talloc_free (response);
  wait_for_call_member ("calls/0/state", "cancelled");
  ck_assert_int_eq (
      test_post (address, "/standin/faults", "{\"cut_after_tokens\":null}"),
      200);
  response = test_http (&call);
  ck_assert (is_done (response));
  talloc_free (response);
}
END_TEST

/* A crash must end all other streams and give no response.  */
START_TEST (crash_closes_all_connections)
{
  struct test_http_call call, bad;
  struct test_http_response *response;
  struct test_http_task *task;

  start (TEST_STANDIN ("engine"),
         ARGUMENTS ("--default-output", "1000", "--token-ms", "10"));
  ck_assert_int_eq (
      test_post (address, "/standin/faults", "{\"crash_on\":\"poison\"}"),
      200);
  call = completion (STREAM);
  task = test_http_start (&call);
  wait_for_call_member ("calls/0/state", "running");
  bad = completion (COMPLETION (",\"user\":\"poison\""));
  ck_assert_int_eq (test_post (address, COMPLETIONS, bad.body), 0);
  response = test_http_join (task);
  ck_assert_int_eq (response->code, DS_EUNAVAILABLE);
  ck_assert_int_lt (response->elapsed_ms, 5000);
  talloc_free (response);
  wait_for_call_member ("calls/0/state", "cancelled");
  ck_assert_int_eq (test_post (address, "/standin/faults",
                               "{\"crash_on\":\"poison\",\"exit\":true}"),
                    200);
  ck_assert_int_eq (test_post (address, COMPLETIONS, bad.body), 0);
  ck_assert (test_process_wait (process, 3000));
  ck_assert (WIFEXITED (process->status)
             && WEXITSTATUS (process->status) != 0);
}
END_TEST

START_TEST (refuses_and_echoes_a_wrong_attempt)
{
  struct test_http_call call;
  struct test_http_response *response;

  start (TEST_STANDIN ("engine"), NO_ARGUMENTS);
  call = completion (STREAM);
  ck_assert_int_eq (
      test_post (address, "/standin/faults", "{\"refuse\":true}"), 200);
  response = test_http (&call);
  ck_assert_int_eq (response->status, 503);
  talloc_free (response);
  ck_assert_int_eq (test_post (address, "/standin/faults",
                               "{\"refuse\":false,\"wrong_attempt\":true}"),
                    200);
  response = test_http (&call);
  ck_assert_int_eq (response->status, 200);
  ck_assert_str_ne (test_http_header (response, "X-Attempt-Id"), "a-7");
  talloc_free (response);
  /* The refused call must not be in the log.  */
  ck_assert_int_eq (logged_number ("calls/0/output_tokens"), 16);
}
END_TEST

static void
check_orders (const char *program_option, long status_of_older)
{
  json_t *orders;

  start (TEST_STANDIN ("engine"), ARGUMENTS ("--name", "e", program_option));
  ck_assert_int_eq (test_post (address, "/standin/orders", "{\"fencing\":7}"),
                    200);
  ck_assert_int_eq (test_post (address, "/standin/orders", "{\"fencing\":7}"),
                    200);
  ck_assert_int_eq (test_post (address, "/standin/orders", "{\"fencing\":6}"),
                    status_of_older);
  orders = test_get_json (address, "/standin/orders");
  ck_assert_uint_eq (json_array_size (test_json_at (orders, "orders")),
                     status_of_older == 200 ? 3 : 2);
  json_decref (orders);
}

/* The engine must reject the order of an old controller.  */
START_TEST (checks_fencing_with_the_option)
{
  check_orders ("--check-fencing", 409);
}
END_TEST

START_TEST (ignores_fencing_without_the_option) { check_orders (NULL, 200); }
END_TEST

/* A call with a dropped response must have run, a refused call must not.  */
START_TEST (logs_each_run_of_the_service)
{
  json_t *calls;

  start (TEST_STANDIN ("service"), NO_ARGUMENTS);
  ck_assert_int_eq (test_post (address, "/", "{\"n\":1}"), 200);
  ck_assert_int_eq (
      test_post (address, "/standin/faults", "{\"drop_answer\":1}"), 200);
  ck_assert_int_eq (test_post (address, "/", "{\"n\":2}"), 0);
  ck_assert_int_eq (
      test_post (address, "/standin/faults", "{\"refuse\":true}"), 200);
  ck_assert_int_eq (test_post (address, "/", "{\"n\":3}"), 503);
  ck_assert_int_eq (test_post (address, "/standin/faults",
                               "{\"refuse\":false,\"delay_ms\":50}"),
                    200);
  ck_assert_int_eq (test_post (address, "/", "{\"n\":4}"), 200);
  calls = test_get_json (address, "/standin/calls");
  ck_assert_int_eq (json_integer_value (test_json_at (calls, "count")), 3);
  ck_assert_int_eq (
      json_integer_value (test_json_at (calls, "calls/1/body/n")), 2);
  ck_assert_int_eq (
      json_integer_value (test_json_at (calls, "calls/2/body/n")), 4);
  json_decref (calls);
}
END_TEST

/* A stand-in must not be reachable from other machines.  */
START_TEST (listens_on_loopback_only)
{
  ck_assert_int_eq (test_standin_start (&process, "standin",
                                        TEST_STANDIN ("service"),
                                        ARGUMENTS ("--address", "0.0.0.0:0")),
                    DS_EUNAVAILABLE);
  start (TEST_STANDIN ("service"), ARGUMENTS ("--address", "127.0.0.9:0"));
  ck_assert (strncmp (address, "127.0.0.9:", 10) == 0);
}
END_TEST

START_TEST (exits_after_stop_after_ms)
{
  ck_assert_int_eq (test_process_start (&process, "standin",
                                        TEST_STANDIN ("service"),
                                        ARGUMENTS ("--stop-after-ms", "50")),
                    0);
  ck_assert (test_process_wait (process, 3000));
  ck_assert (WIFEXITED (process->status)
             && WEXITSTATUS (process->status) == 0);
}
END_TEST

START_TEST (stops_and_continues_a_process)
{
  struct test_http_call call;
  struct test_http_response *response;

  start (TEST_STANDIN ("service"), NO_ARGUMENTS);
  ck_assert_int_eq (test_process_signal (process, SIGSTOP), 0);
  call = get ("/standin/calls");
  call.timeout_ms = 200;
  response = test_http (&call);
  ck_assert_int_eq (response->code, DS_ETIMEOUT);
  talloc_free (response);
  ck_assert_int_eq (test_process_signal (process, SIGCONT), 0);
  ck_assert_int_eq (get_status ("/standin/calls"), 200);
  ck_assert_int_eq (test_process_signal (process, SIGTERM), 0);
  ck_assert (test_process_wait (process, 3000));
  ck_assert (WIFEXITED (process->status)
             && WEXITSTATUS (process->status) == 0);
}
END_TEST

/* A failed assertion ends a test without clean-up; the processes that it
   started must end too.  This process adopts the orphan to observe its end. */
START_TEST (leaves_no_process_behind)
{
  int channel[2];
  pid_t test, orphan = 0;
  int status;

  ck_assert_int_eq (pipe (channel), 0);
  ck_assert_int_eq (prctl (PR_SET_CHILD_SUBREAPER, 1), 0);
  test = fork ();
  if (test == 0)
    {
      if (test_standin_start (&process, "left", TEST_STANDIN ("service"),
                              NO_ARGUMENTS)
          == 0)
        (void)!write (channel[1], &process->pid, sizeof process->pid);
      (void)unlink (process->log_path);
      (void)unlink (process->ready_path);
      (void)rmdir (test_directory ());
      _exit (1);
    }
  ck_assert_int_eq (waitpid (test, &status, 0), test);
  ck_assert_int_eq (read (channel[0], &orphan, sizeof orphan), sizeof orphan);
  ck_assert_int_eq (waitpid (orphan, &status, 0), orphan);
  ck_assert (WIFSIGNALED (status) && WTERMSIG (status) == SIGKILL);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("standins");
  TCase *test_case = tcase_create ("standins");
  SRunner *runner;
  int failed;

  tcase_set_timeout (test_case, 30);
  tcase_add_checked_fixture (test_case, NULL, test_processes_clean_up);
  tcase_add_test (test_case, writes_only_on_the_current_version);
  tcase_add_test (test_case, lists_the_live_objects_of_a_kind);
  tcase_add_test (test_case, loses_no_concurrent_update);
  tcase_add_test (test_case, wakes_a_watch_on_a_write_of_its_kind);
  tcase_add_test (test_case, wakes_a_watch_at_once);
  tcase_add_test (test_case, refuses_a_watch_older_than_the_history);
  tcase_add_test (test_case, drops_the_answer_of_a_write_that_took_effect);
  tcase_add_test (test_case, closes_all_connections_while_down);
  tcase_add_test (test_case, delays_answers_and_counts_calls);
  tcase_add_test (test_case, refuses_a_missing_token_and_a_large_object);
  tcase_add_test (test_case, keeps_every_version);
  tcase_add_test (test_case, streams_one_token_a_chunk);
  tcase_add_test (test_case, unstreamed_completion_ends_at_the_smaller_limit);
  tcase_add_test (test_case, reports_running_calls);
  tcase_add_test (test_case, stops_a_call_whose_client_has_gone);
  tcase_add_test (test_case, stalls_running_streams_only);
  tcase_add_test (test_case, cut_stream_has_no_end_marker);
  tcase_add_test (test_case, crash_closes_all_connections);
  tcase_add_test (test_case, refuses_and_echoes_a_wrong_attempt);
  tcase_add_test (test_case, checks_fencing_with_the_option);
  tcase_add_test (test_case, ignores_fencing_without_the_option);
  tcase_add_test (test_case, logs_each_run_of_the_service);
  tcase_add_test (test_case, listens_on_loopback_only);
  tcase_add_test (test_case, exits_after_stop_after_ms);
  tcase_add_test (test_case, stops_and_continues_a_process);
  tcase_add_test (test_case, leaves_no_process_behind);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
