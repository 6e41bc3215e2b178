#include "io/event_context.h"
#include "io/http_client.h"
#include "io/http_server.h"
#include "io/socket_address.h"

#include <check.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TEST_TIMEOUT_S 60
#define BODY_LIMIT_BYTES ((size_t)2 << 20)
#define RAW_BYTES 65536
#define PARALLEL_CALLS 200
#define STREAM_CHUNK_BYTES ((size_t)64 << 10)
#define STREAM_TOTAL_BYTES ((size_t)16 << 20)
#define STREAM_PAUSE_BYTES ((size_t)256 << 10)

#define SHORT_RESPONSE "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
#define LATE_RESPONSE "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"

/* How a call ended.  */
struct outcome
{
  bool done;
  struct ds_http_result result;
  TALLOC_CTX *owner;
  char *body;
  char *name; /* of the reply header X-Name */
  size_t data_bytes;
  unsigned header_status;
};

/* One server, one client and what the server's handler recorded.  */
struct fixture
{
  struct tevent_context *ev;
  struct ds_http_server *server;
  struct ds_http_client *client;
  struct ds_http_request *pending_request;
  int handled;
  int closed;
  size_t written;
  size_t max_unsent_bytes;
};

/* A server on a plain socket: RESPONSES[i] is the response to request i, null
   closes the connection without a response, "" sends nothing.  */
struct raw_server
{
  struct tevent_context *ev;
  int listener;
  char address[DS_SOCKET_ADDRESS_BYTES];
  const char *const *responses;
  bool close_after_response;
  int accepted;
  int requests;
  int last_fd;
};

struct raw_connection
{
  struct raw_server *server;
  int fd;
};

/* A client on a plain socket.  */
struct raw_client
{
  int fd;
  char text[RAW_BYTES];
  size_t length;
  bool ended;
};

static void
wait_for (const struct fixture *f, const bool *flag)
{
  while (!*flag)
    ck_assert_int_eq (tevent_loop_once (f->ev), 0);
}

static void
wait_for_count (const struct fixture *f, const int *count, int target)
{
  while (*count < target)
    ck_assert_int_eq (tevent_loop_once (f->ev), 0);
}

static void
set_flag (struct tevent_context *ev, struct tevent_timer *timer,
          struct timeval now, void *private_data)
{
  bool *flag = private_data;

  (void)ev;
  (void)timer;
  (void)now;
  *flag = true;
}

/* Runs the loop for a time and returns the number of its iterations.  */
static int
run_for_ms (const struct fixture *f, uint32_t ms)
{
  bool over = false;
  int iterations = 0;

  tevent_add_timer (f->ev, f->ev, tevent_timeval_current_ofs (0, ms * 1000),
                    set_flag, &over);
  while (!over)
    {
      ck_assert_int_eq (tevent_loop_once (f->ev), 0);
      iterations++;
    }
  return iterations;
}

static void
handle_close (struct ds_http_request *request, void *user_data)
{
  struct fixture *f = user_data;

  (void)request;
  f->closed++;
  f->pending_request = NULL;
}

static void
write_more (struct ds_http_request *request, void *user_data)
{
  static char chunk[STREAM_CHUNK_BYTES];
  struct fixture *f = user_data;
  size_t waiting = 0;

  memset (chunk, 'x', sizeof chunk);
  while (f->written < STREAM_TOTAL_BYTES && waiting < STREAM_PAUSE_BYTES)
    {
      waiting = ds_http_request_write (
          request, (struct ds_str){ .data = chunk, .length = sizeof chunk });
      f->written += sizeof chunk;
      if (waiting > f->max_unsent_bytes)
        f->max_unsent_bytes = waiting;
    }
  if (f->written == STREAM_TOTAL_BYTES)
    ds_http_request_finish (request, true);
}

static void
reply_echo (struct ds_http_request *request)
{
  struct ds_str name = ds_http_request_query (request, "name");
  struct ds_str type = ds_http_request_header (request, "content-type");
  struct ds_str method = ds_http_request_method (request);
  char *text = talloc_asprintf (NULL, "%.*s %.*s %.*s", DS_STR_ARG (name),
                                DS_STR_ARG (type), DS_STR_ARG (method));
  struct ds_http_header header
      = { .name = DS_STR ("X-Name"), .value = ds_str_from_c (text) };

  ck_assert_int_eq (strncmp (ds_http_request_peer (request), "127.0.0.1:", 10),
                    0);
  ds_http_request_reply (request, 200, "text/plain", &header, 1,
                         ds_http_request_body (request));
  talloc_free (text);
}

static void
handle_request (struct ds_http_request *request, void *user_data)
{
  struct fixture *f = user_data;
  struct ds_str path = ds_http_request_path (request);

  f->handled++;
  if (ds_str_equal (path, DS_STR ("/echo")))
    {
      reply_echo (request);
      return;
    }
  ds_http_request_set_user_data (request, f);
  ds_http_request_on_close (request, handle_close);
  if (ds_str_equal (path, DS_STR ("/large")))
    {
      ds_http_request_on_drained (request, write_more);
      ds_http_request_begin (request, 200, "text/plain", NULL, 0);
      write_more (request, f);
    }
  else
    f->pending_request = request;
}

static void
record_headers (struct ds_http_call *call, unsigned status, void *user_data)
{
  struct outcome *outcome = user_data;

  outcome->header_status = status;
  outcome->name = talloc_strdup (outcome->owner,
                                 ds_http_call_header (call, "x-name").data);
}

static void
record_data (struct ds_http_call *call, struct ds_str data, void *user_data)
{
  struct outcome *outcome = user_data;

  (void)call;
  outcome->data_bytes += data.length;
}

static void
record_result (struct ds_http_call *call, const struct ds_http_result *result,
               void *user_data)
{
  struct outcome *outcome = user_data;

  (void)call;
  ck_assert (!outcome->done);
  outcome->done = true;
  outcome->result = *result;
  outcome->body = talloc_strndup (outcome->owner, result->body.data,
                                  result->body.length);
}

static void
setup (struct fixture *f)
{
  struct ds_http_server_options server_options
      = DS_HTTP_SERVER_OPTIONS_DEFAULT;
  struct ds_http_client_options client_options
      = DS_HTTP_CLIENT_OPTIONS_DEFAULT;
  struct ds_error error = DS_ERROR_NONE;

  *f = (struct fixture){ .ev = ds_event_context_new (NULL) };
  server_options.handler = handle_request;
  server_options.user_data = f;
  server_options.body_limit = BODY_LIMIT_BYTES;
  ck_assert_int_eq (
      ds_http_server_new (&f->server, f->ev, f->ev, &server_options, &error),
      0);
  ck_assert_int_eq (
      ds_http_client_new (&f->client, f->ev, f->ev, &client_options), 0);
}

static void
teardown (struct fixture *f)
{
  ds_http_client_free (f->client);
  ds_http_server_free (f->server);
  talloc_free (f->ev);
}

static struct ds_http_call *
start_at (struct fixture *f, const char *address, const char *method,
          const char *path, struct ds_str body, struct outcome *outcome,
          struct ds_http_call_options options)
{
  char *url = talloc_asprintf (f->ev, "http://%s%s", address, path);
  struct ds_http_call *call = NULL;
  struct ds_error error = DS_ERROR_NONE;

  options.method = method;
  options.url = url;
  options.body = body;
  options.on_headers = record_headers;
  options.on_done = record_result;
  options.user_data = outcome;
  *outcome = (struct outcome){ .owner = f->ev };
  ck_assert_int_eq (ds_http_call_start (&call, f->client, &options, &error),
                    0);
  return call;
}

static struct ds_http_call *
start (struct fixture *f, const char *path, struct outcome *outcome)
{
  return start_at (f, ds_http_server_address (f->server), "GET", path,
                   DS_STR_EMPTY, outcome, DS_HTTP_CALL_OPTIONS_DEFAULT);
}

static void
call_at (struct fixture *f, const char *address, struct outcome *outcome,
         struct ds_http_call_options options)
{
  start_at (f, address, "GET", "/", DS_STR_EMPTY, outcome, options);
  wait_for (f, &outcome->done);
}

static void
raw_send (int fd, const char *text)
{
  ck_assert_int_eq (send (fd, text, strlen (text), 0), (ssize_t)strlen (text));
}

static void
raw_respond (struct tevent_context *ev, struct tevent_fd *event,
             uint16_t flags, void *private_data)
{
  struct raw_connection *connection = private_data;
  struct raw_server *server = connection->server;
  char buffer[RAW_BYTES];
  ssize_t length = recv (connection->fd, buffer, sizeof buffer, MSG_DONTWAIT);
  const char *response;

  (void)ev;
  (void)flags;
  if (length <= 0)
    {
      talloc_free (event);
      close (connection->fd);
      return;
    }
  response = server->responses[server->requests++];
  if (response != NULL)
    raw_send (connection->fd, response);
  if (response == NULL || server->close_after_response)
    {
      talloc_free (event);
      close (connection->fd);
    }
}

static void
raw_accept (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags,
            void *private_data)
{
  struct raw_server *server = private_data;
  struct raw_connection *connection
      = talloc_zero (server->ev, struct raw_connection);

  (void)event;
  (void)flags;
  connection->server = server;
  connection->fd = accept (server->listener, NULL, NULL);
  ck_assert_int_ge (connection->fd, 0);
  server->accepted++;
  server->last_fd = connection->fd;
  tevent_add_fd (ev, connection, connection->fd, TEVENT_FD_READ, raw_respond,
                 connection);
}

static int
raw_listen (char text[DS_SOCKET_ADDRESS_BYTES], int backlog)
{
  struct ds_socket_address address;
  struct sockaddr *storage = (struct sockaddr *)&address.storage;
  int fd;

  ck_assert_int_eq (ds_socket_address_parse (&address, DS_STR ("127.0.0.1:0")),
                    0);
  fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ck_assert_int_eq (bind (fd, storage, address.length), 0);
  ck_assert_int_eq (listen (fd, backlog), 0);
  ck_assert_int_eq (getsockname (fd, storage, &address.length), 0);
  ds_socket_address_format (text, &address);
  return fd;
}

static void
raw_server_start (struct raw_server *server, const struct fixture *f,
                  const char *const *responses)
{
  *server = (struct raw_server){ .ev = f->ev, .responses = responses };
  server->listener = raw_listen (server->address, 16);
  tevent_add_fd (f->ev, f->ev, server->listener, TEVENT_FD_READ, raw_accept,
                 server);
}

static int
raw_connect (const char *text)
{
  struct ds_socket_address address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  ck_assert_int_eq (ds_socket_address_parse (&address, ds_str_from_c (text)),
                    0);
  ck_assert_int_eq (
      connect (fd, (struct sockaddr *)&address.storage, address.length), 0);
  return fd;
}

static void
raw_read (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags,
          void *private_data)
{
  struct raw_client *client = private_data;
  ssize_t length
      = recv (client->fd, client->text + client->length,
              sizeof client->text - 1 - client->length, MSG_DONTWAIT);

  (void)ev;
  (void)flags;
  if (length > 0)
    {
      client->length += (size_t)length;
      return;
    }
  client->ended = true;
  talloc_free (event);
}

/* Sends TEXT to the server under test and reads until it closes.  */
static void
raw_exchange (const struct fixture *f, struct raw_client *client,
              struct ds_str text)
{
  memset (client, 0, sizeof *client);
  client->fd = raw_connect (ds_http_server_address (f->server));
  ck_assert_int_eq (send (client->fd, text.data, text.length, 0),
                    (ssize_t)text.length);
  tevent_add_fd (f->ev, f->ev, client->fd, TEVENT_FD_READ, raw_read, client);
  wait_for (f, &client->ended);
  close (client->fd);
}

START_TEST (carries_bodies_headers_and_arguments)
{
  struct fixture f;
  struct outcome outcome;
  struct ds_str body = { .length = BODY_LIMIT_BYTES };
  char *data = malloc (BODY_LIMIT_BYTES);
  struct ds_http_header header = { .name = DS_STR ("Content-Type"),
                                   .value = DS_STR ("application/x-test") };
  struct ds_http_call_options options = DS_HTTP_CALL_OPTIONS_DEFAULT;

  setup (&f);
  for (size_t i = 0; i < BODY_LIMIT_BYTES; i++)
    data[i] = (char)('a' + i % 23);
  body.data = data;
  options.headers = &header;
  options.header_count = 1;
  start_at (&f, ds_http_server_address (f.server), "PUT", "/echo?name=a%20b",
            body, &outcome, options);
  wait_for (&f, &outcome.done);
  ck_assert_int_eq (outcome.result.error.code, 0);
  ck_assert_uint_eq (outcome.result.status, 200);
  ck_assert_uint_eq (outcome.header_status, 200);
  ck_assert_str_eq (outcome.name, "a b application/x-test PUT");
  ck_assert (outcome.result.sent && outcome.result.framed);
  ck_assert_uint_eq (outcome.result.body.length, BODY_LIMIT_BYTES);
  ck_assert_int_eq (memcmp (outcome.body, data, BODY_LIMIT_BYTES), 0);
  free (data);
  teardown (&f);
}
END_TEST

/* Guards against a limit that trusts the declared length: the first body
   declares its length, the second does not, the third is never sent.  */
START_TEST (refuses_a_body_over_the_limit)
{
  struct fixture f;
  struct outcome outcome;
  struct raw_client raw;
  struct ds_http_header header;
  struct ds_http_call_options options = DS_HTTP_CALL_OPTIONS_DEFAULT;
  size_t length = BODY_LIMIT_BYTES + 1;
  char *body = calloc (1, length);

  setup (&f);
  start_at (&f, ds_http_server_address (f.server), "POST", "/echo",
            (struct ds_str){ .data = body, .length = length }, &outcome,
            DS_HTTP_CALL_OPTIONS_DEFAULT);
  wait_for (&f, &outcome.done);
  ck_assert_uint_eq (outcome.result.status, 413);
  header = (struct ds_http_header){ .name = DS_STR ("Transfer-Encoding"),
                                    .value = DS_STR ("chunked") };
  options.headers = &header;
  options.header_count = 1;
  start_at (&f, ds_http_server_address (f.server), "POST", "/echo",
            (struct ds_str){ .data = body, .length = length }, &outcome,
            options);
  wait_for (&f, &outcome.done);
  ck_assert_uint_eq (outcome.result.status, 413);
  raw_exchange (&f, &raw,
                DS_STR ("POST /echo HTTP/1.1\r\nHost: a\r\nConnection: close"
                        "\r\nContent-Length: 99999999999\r\n\r\n"));
  ck_assert_ptr_nonnull (strstr (raw.text, " 413 "));
  ck_assert_int_eq (f.handled, 0);
  free (body);
  teardown (&f);
}
END_TEST

START_TEST (refuses_long_heads_and_malformed_requests)
{
  struct fixture f;
  struct raw_client raw;
  char *value = malloc (20000);
  char *text;

  setup (&f);
  memset (value, 'v', 19999);
  value[19999] = '\0';
  text = talloc_asprintf (
      f.ev, "GET /echo HTTP/1.1\r\nHost: a\r\nX: %s\r\n\r\n", value);
  raw_exchange (&f, &raw, ds_str_from_c (text));
  ck_assert_ptr_nonnull (strstr (raw.text, " 431 "));
  raw_exchange (&f, &raw, DS_STR ("nonsense\r\n\r\n"));
  ck_assert (raw.length == 0 || strstr (raw.text, " 400 ") != NULL);
  raw_exchange (&f, &raw,
                DS_STR ("GET /echo HTTP/1.1\r\nContent-Length: x\r\n\r\n"));
  ck_assert_ptr_nonnull (strstr (raw.text, " 400 "));
  ck_assert_int_eq (f.handled, 0);
  free (value);
  teardown (&f);
}
END_TEST

/* Guards against unbounded buffering for a slow client.  */
START_TEST (streams_with_back_pressure)
{
  struct fixture f;
  struct outcome outcome;
  struct ds_http_call_options options = DS_HTTP_CALL_OPTIONS_DEFAULT;
  struct ds_http_call *call;

  setup (&f);
  options.on_data = record_data;
  options.body_limit = 0;
  call = start_at (&f, ds_http_server_address (f.server), "GET", "/large",
                   DS_STR_EMPTY, &outcome, options);
  while (outcome.data_bytes == 0)
    tevent_loop_once (f.ev);
  ds_http_call_pause (call, true);
  run_for_ms (&f, 100);
  ck_assert_uint_lt (f.written, STREAM_TOTAL_BYTES);
  ck_assert (!outcome.done);
  ds_http_call_pause (call, false);
  wait_for (&f, &outcome.done);
  ck_assert_int_eq (outcome.result.error.code, 0);
  ck_assert_uint_eq (outcome.data_bytes, STREAM_TOTAL_BYTES);
  ck_assert_uint_le (f.max_unsent_bytes,
                     STREAM_PAUSE_BYTES + STREAM_CHUNK_BYTES);
  ck_assert_int_eq (f.closed, 0);
  teardown (&f);
}
END_TEST

START_TEST (reports_a_client_that_disconnects)
{
  struct fixture f;
  struct outcome outcome;

  setup (&f);
  for (int streaming = 0; streaming < 2; streaming++)
    {
      struct ds_http_call *call = start (&f, "/hold", &outcome);

      wait_for_count (&f, &f.handled, streaming + 1);
      if (streaming)
        {
          ds_http_request_begin (f.pending_request, 200, "text/plain", NULL,
                                 0);
          ds_http_request_write (f.pending_request, DS_STR ("first"));
          while (outcome.header_status == 0)
            tevent_loop_once (f.ev);
        }
      ck_assert_uint_eq (ds_http_server_request_count (f.server), 1);
      ds_http_call_cancel (call);
      wait_for_count (&f, &f.closed, streaming + 1);
      ck_assert_uint_eq (ds_http_server_request_count (f.server), 0);
    }
  ck_assert (!outcome.done);
  teardown (&f);
}
END_TEST

/* Guards against a truncated response that is taken for a complete one.  */
START_TEST (shows_a_truncated_stream_to_the_client)
{
  struct fixture f;
  struct outcome outcome;

  setup (&f);
  for (int complete = 0; complete < 2; complete++)
    {
      start (&f, "/hold", &outcome);
      wait_for_count (&f, &f.handled, complete + 1);
      ds_http_request_begin (f.pending_request, 200, "text/plain", NULL, 0);
      ds_http_request_write (f.pending_request, DS_STR ("some "));
      ds_http_request_write (f.pending_request, DS_STR ("text"));
      ds_http_request_finish (f.pending_request, complete);
      wait_for (&f, &outcome.done);
      ck_assert_str_eq (outcome.body, "some text");
      ck_assert (outcome.result.sent && outcome.result.framed);
      ck_assert_int_eq (outcome.result.error.code,
                        complete ? DS_OK : DS_EPROTOCOL);
    }
  ck_assert_int_eq (f.closed, 0);
  teardown (&f);
}
END_TEST

/* Guards against waiting forever on a connection that stays open without
   traffic, and against reusing it.  */
START_TEST (times_out_a_silent_connection)
{
  static const char *const responses[]
      = { "", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
          SHORT_RESPONSE };
  struct fixture f;
  struct raw_server raw;
  struct outcome outcome;
  struct ds_http_call_options options = DS_HTTP_CALL_OPTIONS_DEFAULT;

  setup (&f);
  raw_server_start (&raw, &f, responses);
  options.first_byte_timeout_ms = 50;
  options.progress_timeout_ms = 50;
  call_at (&f, raw.address, &outcome, options);
  ck_assert_int_eq (outcome.result.error.code, DS_ETIMEOUT);
  ck_assert_str_eq (outcome.result.error.step, "first_byte");
  ck_assert_str_eq (outcome.result.error.peer, raw.address);
  ck_assert (outcome.result.sent);
  call_at (&f, raw.address, &outcome, options);
  ck_assert_int_eq (outcome.result.error.code, DS_ETIMEOUT);
  ck_assert_str_eq (outcome.result.error.step, "progress");
  call_at (&f, raw.address, &outcome, DS_HTTP_CALL_OPTIONS_DEFAULT);
  ck_assert_int_eq (outcome.result.error.code, 0);
  ck_assert_int_eq (raw.accepted, 3);
  teardown (&f);
}
END_TEST

START_TEST (reports_that_nothing_was_sent)
{
  struct fixture f;
  struct outcome outcome;
  struct ds_http_call_options options = DS_HTTP_CALL_OPTIONS_DEFAULT;
  char address[DS_SOCKET_ADDRESS_BYTES];
  int listener = raw_listen (address, 0);
  int filler = raw_connect (address);

  setup (&f);
  /* The backlog of the listener is full, so that it ignores a SYN.  */
  options.connect_timeout_ms = 100;
  call_at (&f, address, &outcome, options);
  ck_assert_int_eq (outcome.result.error.code, DS_ETIMEOUT);
  ck_assert_str_eq (outcome.result.error.step, "connect");
  ck_assert (!outcome.result.sent);
  close (filler);
  close (listener);
  call_at (&f, address, &outcome, DS_HTTP_CALL_OPTIONS_DEFAULT);
  ck_assert_int_eq (outcome.result.error.code, DS_EUNAVAILABLE);
  ck_assert (!outcome.result.sent);
  teardown (&f);
}
END_TEST

/* Guards against libcurl's own retry on a reused connection that ends without
   a response: the request may have been executed.  */
START_TEST (never_sends_a_request_twice)
{
  static const char *const responses[]
      = { SHORT_RESPONSE, NULL, SHORT_RESPONSE };
  static const char *const methods[] = { "GET", "POST" };
  struct fixture f;
  struct outcome outcome;

  setup (&f);
  for (int i = 0; i < 2; i++)
    {
      struct raw_server raw;

      raw_server_start (&raw, &f, responses);
      call_at (&f, raw.address, &outcome, DS_HTTP_CALL_OPTIONS_DEFAULT);
      ck_assert_int_eq (outcome.result.error.code, 0);
      start_at (&f, raw.address, methods[i], "/",
                i == 0 ? DS_STR_EMPTY : DS_STR ("body"), &outcome,
                DS_HTTP_CALL_OPTIONS_DEFAULT);
      wait_for (&f, &outcome.done);
      ck_assert_int_eq (outcome.result.error.code, DS_EUNAVAILABLE);
      ck_assert (outcome.result.sent);
      run_for_ms (&f, 50);
      ck_assert_int_eq (raw.requests, 2);
    }
  teardown (&f);
}
END_TEST

/* Guards against a call that fails because the idle connection was closed
   before the call started.  */
START_TEST (replaces_a_kept_connection_that_is_closed)
{
  static const char *const responses[] = { SHORT_RESPONSE, SHORT_RESPONSE };
  struct fixture f;
  struct raw_server raw;
  struct outcome outcome;

  setup (&f);
  raw_server_start (&raw, &f, responses);
  raw.close_after_response = true;
  for (int i = 0; i < 2; i++)
    {
      call_at (&f, raw.address, &outcome, DS_HTTP_CALL_OPTIONS_DEFAULT);
      ck_assert_int_eq (outcome.result.error.code, 0);
      run_for_ms (&f, 20);
    }
  ck_assert_int_eq (raw.requests, 2);
  ck_assert_int_eq (raw.accepted, 2);
  teardown (&f);
}
END_TEST

/* Guards against late bytes on an idle connection that are taken for the
   response to the next call.  */
START_TEST (ignores_unsolicited_bytes)
{
  static const char *const responses[]
      = { SHORT_RESPONSE, SHORT_RESPONSE LATE_RESPONSE, SHORT_RESPONSE };
  struct fixture f;
  struct raw_server raw;
  struct outcome outcome;

  setup (&f);
  raw_server_start (&raw, &f, responses);
  for (int i = 0; i < 3; i++)
    {
      call_at (&f, raw.address, &outcome, DS_HTTP_CALL_OPTIONS_DEFAULT);
      ck_assert_str_eq (outcome.body, "ok");
      if (i == 0)
        raw_send (raw.last_fd, LATE_RESPONSE);
    }
  ck_assert_int_eq (raw.requests, 3);
  teardown (&f);
}
END_TEST

/* Guards against responses delivered to the wrong call.  */
START_TEST (runs_many_calls_in_parallel)
{
  struct fixture f;
  struct outcome *outcomes = calloc (PARALLEL_CALLS, sizeof *outcomes);
  char text[32];

  setup (&f);
  for (int round = 0; round < 2; round++)
    {
      for (int i = 0; i < PARALLEL_CALLS; i++)
        {
          (void)snprintf (text, sizeof text, "body %d", i);
          start_at (&f, ds_http_server_address (f.server), "POST", "/echo",
                    ds_str_from_c (text), &outcomes[i],
                    DS_HTTP_CALL_OPTIONS_DEFAULT);
        }
      for (int i = 0; i < PARALLEL_CALLS; i++)
        {
          wait_for (&f, &outcomes[i].done);
          (void)snprintf (text, sizeof text, "body %d", i);
          ck_assert_str_eq (outcomes[i].body, text);
        }
    }
  ck_assert_uint_eq (ds_http_client_call_count (f.client), 0);
  free (outcomes);
  teardown (&f);
}
END_TEST

START_TEST (reports_a_port_in_use)
{
  struct fixture f;
  struct ds_http_server_options options = DS_HTTP_SERVER_OPTIONS_DEFAULT;
  struct ds_http_server *second = NULL;
  struct ds_error error = DS_ERROR_NONE;

  setup (&f);
  options.handler = handle_request;
  options.address = ds_http_server_address (f.server);
  ck_assert_int_eq (ds_http_server_new (&second, f.ev, f.ev, &options, &error),
                    DS_EIO);
  ck_assert_str_eq (error.step, "listen");
  ck_assert_str_eq (error.peer, ds_http_server_address (f.server));
  options.address = "localhost:80";
  ck_assert_int_eq (ds_http_server_new (&second, f.ev, f.ev, &options, &error),
                    DS_EINVAL);
  teardown (&f);
}
END_TEST

/* Guards against busy-waiting while requests await their reply.  */
START_TEST (does_not_spin_while_idle)
{
  struct fixture f;
  struct outcome waiting;
  struct outcome streaming;
  struct outcome kept;

  setup (&f);
  start (&f, "/echo", &kept);
  wait_for (&f, &kept.done);
  start (&f, "/hold", &waiting);
  wait_for_count (&f, &f.handled, 2);
  start (&f, "/hold", &streaming);
  wait_for_count (&f, &f.handled, 3);
  ds_http_request_begin (f.pending_request, 200, "text/plain", NULL, 0);
  ds_http_request_write (f.pending_request, DS_STR ("first"));
  run_for_ms (&f, 100);
  ck_assert_int_lt (run_for_ms (&f, 300), 10);
  teardown (&f);
}
END_TEST

/* Guards against a request that hangs because it arrived while the connection
   was suspended for the previous one.  */
START_TEST (answers_pipelined_requests)
{
  struct fixture f;
  int fd;
  struct raw_client raw = { .length = 0 };

  setup (&f);
  fd = raw_connect (ds_http_server_address (f.server));
  raw_send (fd, "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n"
                "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n");
  wait_for_count (&f, &f.handled, 1);
  raw_send (fd, "GET /echo HTTP/1.1\r\nHost: a\r\nConnection: close"
                "\r\n\r\n");
  ck_assert_int_lt (run_for_ms (&f, 50), 10);
  ck_assert_int_eq (f.handled, 1);
  ds_http_request_reply (f.pending_request, 200, NULL, NULL, 0,
                         DS_STR ("one"));
  wait_for_count (&f, &f.handled, 2);
  ds_http_request_reply (f.pending_request, 200, NULL, NULL, 0,
                         DS_STR ("two"));
  raw.fd = fd;
  tevent_add_fd (f.ev, f.ev, fd, TEVENT_FD_READ, raw_read, &raw);
  wait_for (&f, &raw.ended);
  ck_assert_int_eq (f.handled, 3);
  ck_assert_ptr_nonnull (strstr (raw.text, "two"));
  close (fd);
  teardown (&f);
}
END_TEST

/* Guards against a stream that waits forever for a client that stopped reading
   and disconnected, and against busy-waiting until then.  */
START_TEST (closes_the_stream_of_a_client_that_stops_reading)
{
  struct fixture f;
  int fd;

  setup (&f);
  fd = raw_connect (ds_http_server_address (f.server));
  raw_send (fd, "GET /large HTTP/1.1\r\nHost: a\r\n\r\n");
  wait_for_count (&f, &f.handled, 1);
  run_for_ms (&f, 100);
  ck_assert_int_lt (run_for_ms (&f, 200), 10);
  ck_assert_uint_lt (f.written, STREAM_TOTAL_BYTES);
  close (fd);
  wait_for_count (&f, &f.closed, 1);
  teardown (&f);
}
END_TEST

/* Guards against idle connections that use up the connection limit.  */
START_TEST (closes_idle_connections)
{
  struct fixture f;
  struct ds_http_server_options options = DS_HTTP_SERVER_OPTIONS_DEFAULT;
  struct raw_client raw;

  setup (&f);
  ds_http_server_free (f.server);
  options.handler = handle_request;
  options.user_data = &f;
  options.idle_timeout_s = 1;
  ck_assert_int_eq (ds_http_server_new (&f.server, f.ev, f.ev, &options, NULL),
                    0);
  raw_exchange (&f, &raw, DS_STR ("GET /echo HTT"));
  ck_assert_int_eq (f.handled, 0);
  teardown (&f);
}
END_TEST

/* Guards against a second server that cannot share the port, and against a
   server whose shutdown affects the other.  */
START_TEST (shares_a_port)
{
  struct fixture f;
  struct outcome outcome;
  struct ds_http_server_options options = DS_HTTP_SERVER_OPTIONS_DEFAULT;
  struct ds_http_server *servers[2];

  setup (&f);
  options.handler = handle_request;
  options.user_data = &f;
  options.reuse_port = true;
  for (int i = 0; i < 2; i++)
    {
      ck_assert_int_eq (
          ds_http_server_new (&servers[i], f.ev, f.ev, &options, NULL), 0);
      options.address = ds_http_server_address (servers[i]);
    }
  ds_http_server_free (servers[1]);
  start_at (&f, ds_http_server_address (servers[0]), "GET", "/echo",
            DS_STR_EMPTY, &outcome, DS_HTTP_CALL_OPTIONS_DEFAULT);
  wait_for (&f, &outcome.done);
  ck_assert_uint_eq (outcome.result.status, 200);
  teardown (&f);
}
END_TEST

static void
reply_twice (struct ds_http_request *request, void *user_data)
{
  (void)user_data;
  ds_http_request_reply (request, 200, NULL, NULL, 0, DS_STR_EMPTY);
  ds_http_request_reply (request, 200, NULL, NULL, 0, DS_STR_EMPTY);
}

/* Guards against a second reply that reaches another request.  The test passes
   if the process aborts.  */
START_TEST (aborts_on_a_second_reply)
{
  struct fixture f;
  struct outcome outcome;
  struct ds_http_server_options options = DS_HTTP_SERVER_OPTIONS_DEFAULT;

  setup (&f);
  ds_http_server_free (f.server);
  options.handler = reply_twice;
  ck_assert_int_eq (ds_http_server_new (&f.server, f.ev, f.ev, &options, NULL),
                    0);
  start (&f, "/", &outcome);
  wait_for (&f, &outcome.done);
}
END_TEST

START_TEST (finishes_requests_after_quiesce)
{
  struct fixture f;
  struct outcome outcome;

  setup (&f);
  start (&f, "/hold", &outcome);
  wait_for_count (&f, &f.handled, 1);
  ds_http_server_quiesce (f.server);
  ds_http_request_reply (f.pending_request, 200, "text/plain", NULL, 0,
                         DS_STR ("end"));
  wait_for (&f, &outcome.done);
  ck_assert_str_eq (outcome.body, "end");
  start (&f, "/echo", &outcome);
  wait_for (&f, &outcome.done);
  ck_assert_int_eq (outcome.result.error.code, DS_EUNAVAILABLE);
  ck_assert (!outcome.result.sent);
  teardown (&f);
}
END_TEST

static void
cancel_in_callback (struct ds_http_call *call, struct ds_str data,
                    void *user_data)
{
  struct outcome *outcome = user_data;

  outcome->data_bytes += data.length;
  ds_http_call_cancel (call);
}

/* Guards against removing a handle inside a libcurl callback.  */
START_TEST (cancels_inside_a_callback)
{
  struct fixture f;
  struct outcome outcome;
  struct ds_http_call_options options = DS_HTTP_CALL_OPTIONS_DEFAULT;

  setup (&f);
  options.on_data = cancel_in_callback;
  start_at (&f, ds_http_server_address (f.server), "GET", "/large",
            DS_STR_EMPTY, &outcome, options);
  wait_for_count (&f, &f.closed, 1);
  ck_assert (!outcome.done);
  ck_assert_uint_eq (ds_http_client_call_count (f.client), 0);
  teardown (&f);
}
END_TEST

START_TEST (limits_the_response_body)
{
  struct fixture f;
  struct outcome outcome;
  struct ds_http_call_options options = DS_HTTP_CALL_OPTIONS_DEFAULT;

  setup (&f);
  options.body_limit = 100000;
  start_at (&f, ds_http_server_address (f.server), "GET", "/large",
            DS_STR_EMPTY, &outcome, options);
  wait_for (&f, &outcome.done);
  ck_assert_int_eq (outcome.result.error.code, DS_ERANGE);
  wait_for_count (&f, &f.closed, 1);
  teardown (&f);
}
END_TEST

START_TEST (rejects_invalid_urls_and_headers)
{
  static const char *const urls[]
      = { "http://localhost/", "https://127.0.0.1/", "ftp://127.0.0.1/", "" };
  struct ds_http_header bad
      = { .name = DS_STR ("X"), .value = DS_STR ("a\r\nY: b") };
  struct ds_http_call_options options = DS_HTTP_CALL_OPTIONS_DEFAULT;
  struct fixture f;

  setup (&f);
  for (size_t i = 0; i < sizeof urls / sizeof urls[0]; i++)
    {
      options.url = urls[i];
      ck_assert_int_eq (ds_http_call_start (NULL, f.client, &options, NULL),
                        DS_EINVAL);
    }
  options.url = "http://127.0.0.1:1/";
  options.headers = &bad;
  options.header_count = 1;
  ck_assert_int_eq (ds_http_call_start (NULL, f.client, &options, NULL),
                    DS_EINVAL);
  ck_assert_uint_eq (ds_http_client_call_count (f.client), 0);
  teardown (&f);
}
END_TEST

static void *
run_pair (void *closure)
{
  struct fixture f;
  struct outcome outcome;
  bool *passed = closure;

  setup (&f);
  for (int i = 0; i < PARALLEL_CALLS; i++)
    {
      start (&f, "/echo", &outcome);
      wait_for (&f, &outcome.done);
      *passed = outcome.result.status == 200;
      if (!*passed)
        break;
    }
  teardown (&f);
  return NULL;
}

START_TEST (works_in_several_threads)
{
  pthread_t threads[4];
  bool passed[4] = { false };

  for (size_t i = 0; i < 4; i++)
    ck_assert_int_eq (pthread_create (&threads[i], NULL, run_pair, &passed[i]),
                      0);
  for (size_t i = 0; i < 4; i++)
    {
      ck_assert_int_eq (pthread_join (threads[i], NULL), 0);
      ck_assert (passed[i]);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("http");
  TCase *test_case = tcase_create ("http");
  SRunner *runner;
  int failed;

  tcase_set_timeout (test_case, TEST_TIMEOUT_S);
  tcase_add_test (test_case, carries_bodies_headers_and_arguments);
  tcase_add_test (test_case, refuses_a_body_over_the_limit);
  tcase_add_test (test_case, refuses_long_heads_and_malformed_requests);
  tcase_add_test (test_case, streams_with_back_pressure);
  tcase_add_test (test_case, reports_a_client_that_disconnects);
  tcase_add_test (test_case, shows_a_truncated_stream_to_the_client);
  tcase_add_test (test_case, times_out_a_silent_connection);
  tcase_add_test (test_case, reports_that_nothing_was_sent);
  tcase_add_test (test_case, never_sends_a_request_twice);
  tcase_add_test (test_case, replaces_a_kept_connection_that_is_closed);
  tcase_add_test (test_case, ignores_unsolicited_bytes);
  tcase_add_test (test_case, runs_many_calls_in_parallel);
  tcase_add_test (test_case, reports_a_port_in_use);
  tcase_add_test (test_case, does_not_spin_while_idle);
  tcase_add_test (test_case, answers_pipelined_requests);
  tcase_add_test (test_case, closes_the_stream_of_a_client_that_stops_reading);
  tcase_add_test (test_case, closes_idle_connections);
  tcase_add_test (test_case, shares_a_port);
  tcase_add_test_raise_signal (test_case, aborts_on_a_second_reply, SIGABRT);
  tcase_add_test (test_case, finishes_requests_after_quiesce);
  tcase_add_test (test_case, cancels_inside_a_callback);
  tcase_add_test (test_case, limits_the_response_body);
  tcase_add_test (test_case, rejects_invalid_urls_and_headers);
  tcase_add_test (test_case, works_in_several_threads);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
