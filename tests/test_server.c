#include "support/site.h"

#include "io/frame.h"
#include "io/peer_link.h"
#include "io/socket_address.h"

#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#define COUNT(rows) (sizeof (rows) / sizeof (rows)[0])
#define TYPE_PREFIX "urn:daisystep:problem:"
#define WAIT_TIMEOUT_MS 20000
/* Limits of the host under test, small enough to be exceeded cheaply.  */
#define BODY_LIMIT 65536
#define SMALL_LIMITS ",\"limits\":{\"body_bytes\":65536,\"header_bytes\":8192}"

/* The beginning of a completion's head, for raw connections.  */
#define RAW_POST                                                              \
  "POST " TEST_COMPLETIONS                                                    \
  " HTTP/1.1\r\nHost: x\r\n" TEST_BEARER (TEST_KEY_NORTH) "\r\n"

static const char *const north[] = { TEST_BEARER (TEST_KEY_NORTH), NULL };

static void
start (const char *settings, const char *const *engine_arguments,
       int max_in_flight)
{
  test_fixture_start (
      &(struct test_fixture_options){ .settings = settings,
                                      .engine_arguments = engine_arguments,
                                      .max_in_flight = max_in_flight });
}

/* Checks that REPLY is a complete problem document and returns it, owned by
   the caller.  */
static json_t *
parse_problem (const struct test_http_response *reply, const char *what)
{
  json_t *problem = test_http_json (reply);
  const char *type = json_string_value (json_object_get (problem, "type"));
  const char *title = json_string_value (json_object_get (problem, "title"));
  const char *detail = json_string_value (json_object_get (problem, "detail"));

  ck_assert_msg (reply->code == 0, "%s: incomplete response", what);
  ck_assert_msg (problem != NULL
                     && g_strcmp0 (test_http_header (reply, "Content-Type"),
                                   "application/problem+json")
                            == 0,
                 "%s: status %ld, no problem document: %s", what,
                 reply->status, reply->body.data);
  ck_assert_msg (type != NULL && g_str_has_prefix (type, TYPE_PREFIX)
                     && g_strcmp0 (type + strlen (TYPE_PREFIX), title) == 0
                     && detail != NULL && *detail != '\0',
                 "%s: %s", what, reply->body.data);
  ck_assert_int_eq (json_integer_value (json_object_get (problem, "status")),
                    reply->status);
  return problem;
}

/* Checks the status, the title and "ran" of the refusal REPLY, and that its
   detail has the text DETAIL, and releases it.  */
static void
expect_problem (struct test_http_response *reply, const char *what,
                long status, const char *title, const char *ran,
                const char *detail)
{
  json_t *problem = parse_problem (reply, what);
  const char *text = json_string_value (json_object_get (problem, "detail"));

  ck_assert_msg (
      reply->status == status
          && g_strcmp0 (json_string_value (json_object_get (problem, "title")),
                        title)
                 == 0
          && g_strcmp0 (json_string_value (json_object_get (problem, "ran")),
                        ran)
                 == 0
          && strstr (text, detail) != NULL,
      "%s: expected %ld %s ran %s: %s", what, status, title, ran,
      reply->body.data);
  json_decref (problem);
  talloc_free (reply);
}

static void
expect_good_request (void)
{
  struct test_http_response *reply
      = test_fixture_post (TEST_COMPLETIONS, north, TEST_REQUEST);

  ck_assert_int_eq (reply->status, 200);
  ck_assert_ptr_nonnull (strstr (reply->body.data, "\"tok0 tok1 tok2\""));
  talloc_free (reply);
}

/* The ledger pages as text; their versions reveal any change of bills and
   grants.  */
static char *
ledger_text (void)
{
  json_t *pages = test_get_json (test_fixture.platform->address,
                                 "/v1/objects/LedgerPage");
  char *text = json_dumps (json_object_get (pages, "items"),
                           JSON_COMPACT | JSON_SORT_KEYS);

  json_decref (pages);
  ck_assert_ptr_nonnull (text);
  return text;
}

static size_t
upstream_calls (const struct test_process *upstream)
{
  json_t *calls = test_get_json (upstream->address, "/standin/calls");
  size_t count = json_array_size (json_object_get (calls, "calls"));

  json_decref (calls);
  return count;
}

/* Ledger before the invalid input.  */
static char *ledger_before;

static void
start_bad_input_test (void)
{
  start (SMALL_LIMITS, NULL, 0);
  expect_good_request ();
  test_fixture_expect_bills (1);
  ledger_before = ledger_text ();
}

/* A refused request must not run, cost tokens, stay in progress or harm the
   next request.  */
static void
finish_bad_input_test (void)
{
  char *after;

  TEST_WAIT_UNTIL (test_fixture_metric ("requests_running") == 0);
  after = ledger_text ();
  ck_assert_str_eq (after, ledger_before);
  ck_assert_uint_eq (upstream_calls (test_fixture.engine), 1);
  ck_assert_uint_eq (upstream_calls (test_fixture.service), 0);
  expect_good_request ();
  test_fixture_expect_bills (2);
  free (after);
  free (ledger_before);
}

#define REQUEST_WITH(members)                                                 \
  "{\"model\":\"assistant\"," TEST_MESSAGES "," members "}"
#define REQUEST_WITH_MESSAGES(messages)                                       \
  "{\"model\":\"assistant\",\"messages\":" messages "}"

/* Invalid bodies, and bodies whose cost could exceed the reservation, must be
   refused.  */
START_TEST (refuses_bad_bodies)
{
  static const struct
  {
    const char *body;
    const char *detail;
  } rows[] = {
    { "", "" },
    { "not json", "line 1" },
    { "{\"model\":\"assistant\",", "line 1" },
    { "[]", "JSON object" },
    { "\"text\"", "" },
    { REQUEST_WITH ("\"stream\":true") "x", "line 1" },
    { REQUEST_WITH ("\"user\":\"\xff\xfe\""), "UTF-8" },
    { REQUEST_WITH ("\"user\":\"\\ud800\""), "line 1" },
    { REQUEST_WITH ("\"max_tokens\":1,\"max_tokens\":2"), "duplicate" },
    { REQUEST_WITH ("\"model\":\"notary\""), "duplicate" },
    { "{\"model\":5," TEST_MESSAGES "}", "'model'" },
    { "{" TEST_MESSAGES "}", "'model'" },
    { "{\"model\":\"assistant\"}", "'messages'" },
    { REQUEST_WITH_MESSAGES ("\"hello\""), "'messages'" },
    { REQUEST_WITH_MESSAGES ("[]"), "'messages'" },
    { REQUEST_WITH_MESSAGES ("[5]"), "messages[0]" },
    { REQUEST_WITH_MESSAGES ("[{\"role\":\"user\"}]"), "messages[0]" },
    { REQUEST_WITH_MESSAGES ("[{\"role\":1,\"content\":\"\"}]"),
      "messages[0]" },
    { REQUEST_WITH_MESSAGES (
          "[{\"role\":\"user\",\"content\":[{\"type\":"
          "\"image_url\",\"image_url\":{\"url\":\"x\"}}]}]"),
      "messages[0]" },
    { REQUEST_WITH_MESSAGES ("[{\"role\":\"user\",\"content\":[\"x\"]}]"),
      "messages[0]" },
    { REQUEST_WITH ("\"stream\":\"yes\""), "'stream'" },
    { REQUEST_WITH ("\"stream\":1"), "'stream'" },
    { REQUEST_WITH ("\"stream\":true,\"stream_options\":5"),
      "'stream_options'" },
    { REQUEST_WITH ("\"max_tokens\":0"), "'max_tokens'" },
    { REQUEST_WITH ("\"max_tokens\":-1"), "'max_tokens'" },
    { REQUEST_WITH ("\"max_tokens\":\"5\""), "'max_tokens'" },
    { REQUEST_WITH ("\"max_tokens\":1.5"), "'max_tokens'" },
    { REQUEST_WITH ("\"max_tokens\":true"), "'max_tokens'" },
    { REQUEST_WITH ("\"max_tokens\":9223372036854775808"), "line 1" },
    { REQUEST_WITH ("\"max_tokens\":1e400"), "line 1" },
    { REQUEST_WITH ("\"max_completion_tokens\":0"),
      "'max_completion_tokens'" },
    { REQUEST_WITH ("\"n\":2"), "'n'" },
    { REQUEST_WITH ("\"n\":\"1\""), "'n'" },
    { REQUEST_WITH ("\"best_of\":4"), "'best_of'" },
  };
  char *deep = g_strnfill (30000, '[');
  char *zero
      = talloc_asprintf (NULL, REQUEST_WITH ("\"user\":\"%s\""), "\\u0000");

  start_bad_input_test ();
  for (size_t i = 0; i < COUNT (rows); i++)
    expect_problem (test_fixture_post (TEST_COMPLETIONS, north, rows[i].body),
                    rows[i].body, 400, "invalid-request", "no",
                    rows[i].detail);
  expect_problem (test_fixture_post (TEST_COMPLETIONS, north, deep),
                  "deep nesting", 400, "invalid-request", "no", "line 1");
  expect_problem (test_fixture_post (TEST_COMPLETIONS, north, zero),
                  "zero character", 400, "invalid-request", "no", "line 1");
  expect_problem (test_fixture_post ("/v1/services/booking", north, "[1]"),
                  "service", 400, "invalid-request", "no", "JSON object");
  g_free (deep);
  talloc_free (zero);
  finish_bad_input_test ();
}
END_TEST

/* A refusal must not reveal the offerings of other workspaces.  */
START_TEST (refuses_offerings_not_listed_by_the_workspace)
{
  static const struct
  {
    const char *path;
    const char *body;
  } rows[] = {
    { TEST_COMPLETIONS, "{\"model\":\"nothing\"," TEST_MESSAGES "}" },
    { TEST_COMPLETIONS, "{\"model\":\"notary\"," TEST_MESSAGES "}" },
    { TEST_COMPLETIONS, "{\"model\":\"booking\"," TEST_MESSAGES "}" },
    { "/v1/services/nothing", "{}" },
    { "/v1/services/notary", "{}" },
    { "/v1/services/assistant", TEST_REQUEST },
    { "/v1/services/", "{}" },
    { "/v1/services/booking/more", "{}" },
  };

  start_bad_input_test ();
  for (size_t i = 0; i < COUNT (rows); i++)
    expect_problem (test_fixture_post (rows[i].path, north, rows[i].body),
                    rows[i].path, 404, "offering", "no",
                    "offering of that name");
  finish_bad_input_test ();
}
END_TEST

/* Requests without a valid key must be refused, on every path.  */
START_TEST (refuses_bad_credentials)
{
  static const char *const rows[] = {
    NULL,
    "Authorization;",
    "Authorization: Bearer",
    TEST_BEARER ("wrong"),
    "Authorization: Basic " TEST_KEY_NORTH,
    "Authorization: bearer" TEST_KEY_NORTH,
    TEST_BEARER (TEST_KEY_NORTH "x"),
    TEST_BEARER ("\xff\xfe"),
  };
  char *oversized = g_strnfill (2000, 'k');
  char *header = talloc_asprintf (NULL, "Authorization: Bearer %s", oversized);

  start_bad_input_test ();
  for (size_t i = 0; i <= COUNT (rows); i++)
    {
      const char *const headers[]
          = { i < COUNT (rows) ? rows[i] : header, NULL };
      struct test_http_call address = { .address = test_fixture.caller,
                                        .path = "/v1/address",
                                        .headers = headers };

      expect_problem (
          test_fixture_post (TEST_COMPLETIONS, headers, TEST_REQUEST),
          "completion", 401, "credential", "no", "Bearer KEY");
      expect_problem (
          test_fixture_post ("/v1/services/booking", headers, "{}"), "service",
          401, "credential", "no", "Bearer KEY");
      expect_problem (test_http (&address), "address", 401, "credential", "no",
                      "Bearer KEY");
    }
  ck_assert_int_eq (test_fixture_metric ("refused_credential_total"),
                    3 * (json_int_t)COUNT (rows) + 3);
  g_free (oversized);
  talloc_free (header);
  finish_bad_input_test ();
}
END_TEST

/* A path or method that merely resembles a valid one must be refused.  */
START_TEST (refuses_unknown_paths_and_methods)
{
  static const struct
  {
    const char *method;
    const char *path;
  } rows[] = {
    { "GET", "/" },
    { "GET", TEST_COMPLETIONS },
    { "PUT", TEST_COMPLETIONS },
    { "post", TEST_COMPLETIONS },
    { "DELETE", "/v1/services/booking" },
    { "POST", "/v1/address" },
    { "POST", "/v1/chat/completions/" },
    { "POST", "/V1/chat/completions" },
    { "GET", "/metrics" },
    { "GET", "/v1/dump" },
    { "GET", "/v1/%00address" },
  };

  start_bad_input_test ();
  for (size_t i = 0; i < COUNT (rows); i++)
    {
      struct test_http_call call = { .method = rows[i].method,
                                     .address = test_fixture.caller,
                                     .path = rows[i].path,
                                     .headers = north,
                                     .body = TEST_REQUEST };

      expect_problem (test_http (&call), rows[i].path, 404, "not-found", "no",
                      "POST " TEST_COMPLETIONS);
    }
  finish_bad_input_test ();
}
END_TEST

/* An oversized request must not be buffered. libmicrohttpd sends 431 itself,
   before daisystep receives the request.  */
START_TEST (refuses_oversized_requests)
{
  char *body = g_strnfill (BODY_LIMIT + 1, 'x');
  char *far_oversized = g_strnfill ((gsize)17 << 20, 'x');
  char *field = g_strnfill (16000, 'h');
  char *header = talloc_asprintf (NULL, "X-Long: %s", field);
  const char *const headers[] = { north[0], header, NULL };
  struct test_http_response *reply;

  start_bad_input_test ();
  expect_problem (test_fixture_post (TEST_COMPLETIONS, north, body),
                  "body over the limit", 413, "too-large", "no", "limit");
  reply = test_fixture_post (TEST_COMPLETIONS, north, far_oversized);
  ck_assert (reply->status == 413 || reply->code != 0);
  talloc_free (reply);
  reply = test_fixture_post (TEST_COMPLETIONS, headers, TEST_REQUEST);
  ck_assert_int_eq (reply->status, 431);
  talloc_free (reply);
  g_free (body);
  g_free (far_oversized);
  g_free (field);
  talloc_free (header);
  finish_bad_input_test ();
}
END_TEST

static char *
issue_session (void)
{
  struct test_http_call call = { .address = test_fixture.caller,
                                 .path = "/v1/address",
                                 .headers = north };
  struct test_http_response *reply = test_http (&call);
  json_t *json = test_http_json (reply);
  char *session = talloc_strdup (
      NULL, json_string_value (json_object_get (json, "session")));

  ck_assert_ptr_nonnull (session);
  json_decref (json);
  talloc_free (reply);
  return session;
}

static struct test_http_response *
post_with_id (const char *id, const char *body)
{
  char *header = talloc_asprintf (NULL, "Daisystep-Request-Id: %s", id);
  const char *const headers[] = { north[0], header, NULL };
  struct test_http_response *reply
      = test_fixture_post (TEST_COMPLETIONS, headers, body);

  talloc_free (header);
  return reply;
}

/* A malformed request ID must not be taken for another one, and the refusal of
   an unknown host's ID must not say that the request did not run.  */
START_TEST (refuses_bad_request_ids)
{
  static const char *const malformed[] = {
    "x",
    ".",
    "1.1",
    "claim:0",
    "0123456789abcdef-1",
    "0123456789abcdef-1.",
    "0123456789abcdef-1.x",
    "0123456789abcdef-1.-1",
    "0123456789abcdef-1.99999999999999999999",
    "0123456789ABCDEF-1.1",
    "0123456789abcdef-1.1 2",
  };
  char *oversized = g_strnfill (300, '1');
  char *key = talloc_asprintf (NULL, "Idempotency-Key: %s", oversized);
  const char *const keyed[] = { north[0], key, NULL };
  char *session;
  char *id;

  start_bad_input_test ();
  for (size_t i = 0; i < COUNT (malformed); i++)
    expect_problem (post_with_id (malformed[i], TEST_REQUEST), malformed[i],
                    400, "request-id", "no", "SESSION.NUMBER");
  session = issue_session ();
  id = talloc_asprintf (session, "%sff.1", session);
  expect_problem (post_with_id (id, TEST_REQUEST), "session not issued", 400,
                  "request-id", "no", "issued");
  expect_problem (post_with_id ("0123456789abcdef-1.1", TEST_REQUEST),
                  "unknown host", 503, "outcome-unknown", "unknown", "asked");
  expect_problem (post_with_id (oversized, TEST_REQUEST), "oversized id", 400,
                  "request-id", "no", "256");
  expect_problem (test_fixture_post (TEST_COMPLETIONS, keyed, TEST_REQUEST),
                  "oversized key", 400, "request-id", "no", "256");
  talloc_free (session);
  talloc_free (key);
  g_free (oversized);
  finish_bad_input_test ();
}
END_TEST

/* A repeated request ID must cause neither a second run nor a second bill.  */
START_TEST (refuses_an_id_that_was_used)
{
  char *session;
  char *id;
  struct test_http_response *reply;

  start (NULL, NULL, 0);
  session = issue_session ();
  id = talloc_asprintf (session, "%s.7", session);
  reply = post_with_id (id, TEST_REQUEST);
  ck_assert_int_eq (reply->status, 200);
  talloc_free (reply);
  expect_problem (post_with_id (id, TEST_REQUEST), "the same", 409,
                  "already-ran", "yes", "");
  expect_problem (post_with_id (id, REQUEST_WITH ("\"max_tokens\":4")),
                  "other body", 422, "id-reused", "no", "another body");
  expect_good_request ();
  test_fixture_expect_bills (2);
  ck_assert_uint_eq (upstream_calls (test_fixture.engine), 2);
  talloc_free (session);
}
END_TEST

/* A retry must not run beside its first attempt, and after an interrupted
   response the refusal must not say that the request did not run.  */
START_TEST (refuses_an_id_that_is_running)
{
  static const char *const slow[]
      = { "--token-ms", "20", "--default-output", "100000", NULL };
  static const char body[]
      = REQUEST_WITH ("\"stream\":true,\"max_tokens\":100000");
  struct test_http_call call = { .method = "POST",
                                 .path = TEST_COMPLETIONS,
                                 .body = body,
                                 .timeout_ms = WAIT_TIMEOUT_MS,
                                 .stop_after_bytes = 20000 };
  struct test_http_task *task;
  char *session;
  char *id;

  start (NULL, slow, 0);
  session = issue_session ();
  id = talloc_asprintf (session, "%s.1", session);
  call.address = test_fixture.caller;
  call.headers = (const char *const[]){
    north[0], talloc_asprintf (session, "Daisystep-Request-Id: %s", id), NULL
  };
  task = test_http_start (&call);
  TEST_WAIT_UNTIL (test_fixture_metric ("tokens_relayed_total") > 0);
  expect_problem (post_with_id (id, body), "while it runs", 409, "running",
                  "unknown", "");
  talloc_free (test_http_join (task));
  TEST_WAIT_UNTIL (test_fixture_metric ("requests_running") == 0);
  expect_problem (post_with_id (id, body), "after it was cut", 409,
                  "already-ran", "yes", "");
  test_fixture_expect_bills (1);
  ck_assert_uint_eq (upstream_calls (test_fixture.engine), 1);
  talloc_free (session);
}
END_TEST

/* Returns a connection to ADDRESS, or -1.  */
static int
try_connect (const char *address)
{
  struct ds_socket_address parsed;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  ck_assert_int_eq (ds_socket_address_parse (&parsed, ds_str_from_c (address)),
                    0);
  if (connect (fd, (struct sockaddr *)&parsed.storage, parsed.length) == 0)
    return fd;
  (void)close (fd);
  return -1;
}

static int
connect_to (const char *address)
{
  int fd = try_connect (address);

  ck_assert_msg (fd >= 0, "%s: %s", address, g_strerror (errno));
  return fd;
}

static void
send_text (int fd, const void *data, size_t length)
{
  ck_assert_int_eq (send (fd, data, length, MSG_NOSIGNAL), (ssize_t)length);
}

/* Sends DATA, which the peer port must refuse, and reads until it closes.
   Returns the reason of its Goodbye, or null.  */
static char *
read_goodbye_reason (const void *data, size_t length)
{
  int fd = connect_to (test_fixture.peers);
  struct ds_frame_decoder *decoder;
  char *reason = NULL;
  uint8_t buffer[4096];
  ssize_t count;

  ck_assert_int_eq (ds_frame_decoder_new (&decoder, NULL, DS_FRAME_BYTES_MAX),
                    0);
  send_text (fd, data, length);
  while ((count = recv (fd, buffer, sizeof buffer, 0)) > 0)
    {
      Daisystep__Peer__Envelope *envelope;

      ck_assert_int_eq (ds_frame_decoder_feed (decoder, buffer, (size_t)count),
                        0);
      while (ds_frame_decoder_next (&envelope, decoder, NULL) == 0
             && envelope != NULL)
        {
          if (envelope->body_case == DAISYSTEP__PEER__ENVELOPE__BODY_GOODBYE)
            reason = talloc_strdup (NULL, envelope->goodbye->reason);
          ds_frame_release (envelope);
        }
    }
  ds_frame_decoder_free (decoder);
  (void)close (fd);
  return reason;
}

static struct ds_byte_queue
hello_bytes (TALLOC_CTX *memory, uint32_t version, const char *key)
{
  Daisystep__Peer__Envelope envelope = DAISYSTEP__PEER__ENVELOPE__INIT;
  Daisystep__Peer__Hello hello = DAISYSTEP__PEER__HELLO__INIT;
  struct ds_byte_queue queue;

  hello.protocol_version = version;
  hello.host = (char *)"stranger";
  hello.incarnation = 5;
  hello.peer_key.data = (uint8_t *)key;
  hello.peer_key.len = strlen (key);
  envelope.body_case = DAISYSTEP__PEER__ENVELOPE__BODY_HELLO;
  envelope.hello = &hello;
  ds_byte_queue_init (&queue, memory);
  ck_assert_int_eq (ds_frame_append (&queue, &envelope, DS_FRAME_BYTES_MAX),
                    0);
  return queue;
}

static char *
send_refused_hello (uint32_t version, const char *key)
{
  TALLOC_CTX *memory = talloc_new (NULL);
  struct ds_byte_queue queue = hello_bytes (memory, version, key);
  char *reason;

  reason = read_goodbye_reason (ds_byte_queue_front (&queue), queue.length);
  talloc_free (memory);
  ck_assert_ptr_nonnull (reason);
  return reason;
}

/* Malformed frames, other protocols and wrong keys on the peer port must be
   refused.  */
START_TEST (refuses_invalid_peer_connections)
{
  static const uint8_t oversized[] = { 0x7f, 0xff, 0xff, 0xff, 1, 2, 3 };
  static const uint8_t unparsable[] = { 0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff };
  static const uint8_t empty[] = { 0, 0, 0, 0 };
  static const char http[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  json_int_t rejected;
  char *reason;

  start_bad_input_test ();
  rejected = test_fixture_metric ("peer_frames_rejected_total");
  talloc_free (read_goodbye_reason (oversized, sizeof oversized));
  talloc_free (read_goodbye_reason (unparsable, sizeof unparsable));
  talloc_free (read_goodbye_reason (empty, sizeof empty));
  talloc_free (read_goodbye_reason (http, sizeof http - 1));
  ck_assert_int_eq (test_fixture_metric ("peer_frames_rejected_total"),
                    rejected + 4);
  reason = send_refused_hello (DS_PEER_PROTOCOL_VERSION + 1, "fleet");
  ck_assert_ptr_nonnull (strstr (reason, "protocol version"));
  talloc_free (reason);
  reason = send_refused_hello (DS_PEER_PROTOCOL_VERSION, "wrong");
  ck_assert_ptr_nonnull (strstr (reason, "peer key"));
  talloc_free (reason);
  finish_bad_input_test ();
}
END_TEST

/* Appends the tag of FIELD and VALUE, as a varint or as eight fixed bytes.  */
static void
append_number (GByteArray *out, uint32_t field, uint64_t value, bool is_fixed)
{
  uint8_t bytes[20];
  size_t length = 0;
  uint64_t parts[2] = { (uint64_t)field << 3 | (is_fixed ? 1 : 0), value };

  for (size_t i = 0; i < (is_fixed ? 1 : 2); i++)
    {
      for (; parts[i] >= 0x80; parts[i] >>= 7)
        bytes[length++] = (uint8_t)(parts[i] | 0x80);
      bytes[length++] = (uint8_t)parts[i];
    }
  for (int i = 0; is_fixed && i < 8; i++)
    bytes[length++] = (uint8_t)(value >> 8 * i);
  g_byte_array_append (out, bytes, (guint)length);
}

static void
append_bytes (GByteArray *out, uint32_t field, const void *data, size_t length)
{
  GByteArray *head = g_byte_array_new ();

  append_number (head, field, length, false);
  /* Wire type 2 instead of 0.  All field numbers are below 16.  */
  head->data[0] |= 2;
  g_byte_array_append (out, head->data, head->len);
  g_byte_array_append (out, data, (guint)length);
  g_byte_array_unref (head);
}

static uint64_t
random_number (GRand *random, uint64_t incarnation)
{
  switch (g_rand_int_range (random, 0, 5))
    {
    case 0:
      return incarnation;
    case 1:
      return UINT64_MAX - (uint64_t)g_rand_int_range (random, 0, 2);
    case 2:
      return (uint64_t)g_rand_int (random) << 32 | g_rand_int (random);
    default:
      return (uint64_t)g_rand_int_range (random, 0, 8);
    }
}

static void append_random (GByteArray *out,
                           const ProtobufCMessageDescriptor *message,
                           GRand *random, uint64_t incarnation);

static void
append_random_field (GByteArray *out, const ProtobufCFieldDescriptor *field,
                     GRand *random, uint64_t incarnation)
{
  static const char *const texts[]
      = { "plenty", "", "claim:0", "0123456789abcdef-1.1", "nothing" };
  const char *text = texts[g_rand_int_range (random, 0, 5)];
  uint8_t bytes[32];
  GByteArray *inner;

  switch (field->type)
    {
    case PROTOBUF_C_TYPE_MESSAGE:
      inner = g_byte_array_new ();
      append_random (inner, field->descriptor, random, incarnation);
      append_bytes (out, field->id, inner->data, inner->len);
      g_byte_array_unref (inner);
      break;
    case PROTOBUF_C_TYPE_STRING:
      append_bytes (out, field->id, text, strlen (text));
      break;
    case PROTOBUF_C_TYPE_BYTES:
      for (size_t i = 0; i < sizeof bytes; i++)
        bytes[i] = (uint8_t)g_rand_int_range (random, 0, 4);
      append_bytes (out, field->id, bytes,
                    (size_t)g_rand_int_range (random, 0, 3) * 16);
      break;
    default:
      append_number (out, field->id, random_number (random, incarnation),
                     field->type == PROTOBUF_C_TYPE_FIXED64);
      break;
    }
}

/* Appends a message whose fields have the right types and random values; some
   are missing.  */
static void
append_random (GByteArray *out, const ProtobufCMessageDescriptor *message,
               GRand *random, uint64_t incarnation)
{
  for (unsigned i = 0; i < message->n_fields; i++)
    {
      const ProtobufCFieldDescriptor *field = &message->fields[i];
      int count = field->label == PROTOBUF_C_LABEL_REPEATED
                      ? g_rand_int_range (random, 0, 4)
                      : g_rand_int_range (random, 0, 8) > 0;

      while (count-- > 0)
        append_random_field (out, field, random, incarnation);
    }
}

/* Sends random messages as a peer with the right key, until COUNT are sent or
   the host closes the connection.  Returns the number sent.  */
static int
send_random_messages (GRand *random, uint64_t incarnation, int count)
{
  const ProtobufCMessageDescriptor *kinds
      = &daisystep__peer__envelope__descriptor;
  TALLOC_CTX *memory = talloc_new (NULL);
  struct ds_byte_queue hello = hello_bytes (memory, 1, "fleet");
  char sink[4096];
  int sent = 0;
  int fd;

  /* A sealed host closes its port until its new incarnation opens.  */
  TEST_WAIT_UNTIL ((fd = try_connect (test_fixture.peers)) >= 0);
  send_text (fd, ds_byte_queue_front (&hello), hello.length);
  for (bool is_open = true; is_open && sent < count; sent++)
    {
      /* The kinds after Hello and Goodbye.  */
      const ProtobufCFieldDescriptor *kind = &kinds->fields[g_rand_int_range (
          random, 2, (gint32)kinds->n_fields)];
      GByteArray *frame = g_byte_array_new ();
      uint32_t length;

      append_random_field (frame, kind, random, incarnation);
      length = htonl (frame->len);
      g_byte_array_prepend (frame, (const uint8_t *)&length, sizeof length);
      is_open = send (fd, frame->data, frame->len, MSG_NOSIGNAL) > 0;
      while (recv (fd, sink, sizeof sink, MSG_DONTWAIT) > 0)
        ;
      g_byte_array_unref (frame);
    }
  (void)close (fd);
  talloc_free (memory);
  return sent;
}

static bool
does_good_request_succeed (void)
{
  struct test_http_response *reply
      = test_fixture_post (TEST_COMPLETIONS, north, TEST_REQUEST);
  bool good = reply->status == 200;

  talloc_free (reply);
  return good;
}

/* Messages of a faulty peer must not crash the host.  They may seal it; it
   then continues as a new incarnation.  */
START_TEST (survives_random_peer_messages)
{
  json_t *dump;
  uint64_t incarnation;

  start (",\"drain_max_ms\":300", NULL, 0);
  expect_good_request ();
  for (guint32 seed = 1; seed <= 20; seed++)
    {
      GRand *random = g_rand_new_with_seed (seed);

      dump = test_get_json (test_fixture.operators, "/v1/dump");
      incarnation = strtoull (
          json_string_value (test_json_at (dump, "fleet/self/incarnation")),
          NULL, 16);
      json_decref (dump);
      for (int left = 500; left > 0;)
        left -= send_random_messages (random, incarnation, left);
      ck_assert_msg (!test_process_wait (test_fixture.host, 0),
                     "seed %u: ended with status %d", seed,
                     test_fixture.host->status);
      g_rand_free (random);
    }
  TEST_WAIT_UNTIL (does_good_request_succeed ());
  ck_assert_int_eq (test_process_signal (test_fixture.host, SIGTERM), 0);
  ck_assert (test_process_wait (test_fixture.host, WAIT_TIMEOUT_MS));
  ck_assert_int_eq (test_fixture.host->status, 0);
}
END_TEST

static void
check_metrics (const char *text)
{
  char **lines = g_strsplit (text, "\n", -1);
  guint count = g_strv_length (lines);

  ck_assert_uint_gt (count, 30);
  ck_assert_str_eq (lines[count - 1], "");
  for (guint i = 0; i + 1 < count; i += 3)
    {
      char name[64];
      char type[16];
      char sample[64];
      long long value;

      ck_assert_int_eq (sscanf (lines[i], "# HELP %63s", name), 1);
      ck_assert (g_str_has_prefix (name, "daisystep_"));
      ck_assert_int_eq (
          sscanf (lines[i + 1], "# TYPE %63s %15s", sample, type), 2);
      ck_assert_str_eq (sample, name);
      ck_assert (strcmp (type, "counter") == 0 || strcmp (type, "gauge") == 0);
      ck_assert_int_eq (sscanf (lines[i + 2], "%63s %lld", sample, &value), 2);
      ck_assert_str_eq (sample, name);
      ck_assert_int_ge (value, 0);
    }
  g_strfreev (lines);
}

static void
check_dump (const json_t *dump)
{
  static const char *const members[] = {
    "host",          "zone",  "version", "draining",    "platform_reachable",
    "catalogue",     "fleet", "router",  "generations", "requests_running",
    "backup_records"
  };

  ck_assert (json_is_object (dump));
  for (size_t i = 0; i < COUNT (members); i++)
    ck_assert_msg (json_object_get (dump, members[i]) != NULL, "no '%s'",
                   members[i]);
  ck_assert_str_eq (json_string_value (json_object_get (dump, "host")),
                    "host-1");
  ck_assert (json_is_true (json_object_get (dump, "platform_reachable")));
}

/* The JSON object of the last line of the host's log that has MEMBER, or null.
   The caller owns it.  */
static json_t *
last_log_line_with (const char *member)
{
  char *text;
  char **lines;
  json_t *found = NULL;

  ck_assert (
      g_file_get_contents (test_fixture.host->log_path, &text, NULL, NULL));
  lines = g_strsplit (text, "\n", -1);
  for (guint i = 0; lines[i] != NULL; i++)
    {
      json_t *line = json_loads (lines[i], 0, NULL);

      if (json_object_get (line, member) != NULL)
        {
          json_decref (found);
          found = json_incref (line);
        }
      json_decref (line);
    }
  g_strfreev (lines);
  g_free (text);
  return found;
}

static bool
has_log_line_with (const char *member)
{
  json_t *line = last_log_line_with (member);
  bool found = line != NULL;

  json_decref (line);
  return found;
}

static void
expect_status (const char *method, const char *path, long status)
{
  struct test_http_call call
      = { .method = method, .address = test_fixture.operators, .path = path };
  struct test_http_response *reply = test_http (&call);

  ck_assert_msg (reply->status == status, "%s %s: %ld", method, path,
                 reply->status);
  talloc_free (reply);
}

/* Metrics, dump and health must be readable by operators' programs.  */
START_TEST (operators_read_metrics_dump_and_health)
{
  struct test_http_call call = { .path = "/metrics" };
  struct test_http_response *reply;
  json_t *dump;

  start (NULL, NULL, 0);
  expect_good_request ();
  call.address = test_fixture.operators;
  reply = test_http (&call);
  ck_assert_int_eq (reply->status, 200);
  ck_assert (g_str_has_prefix (test_http_header (reply, "Content-Type"),
                               "text/plain"));
  check_metrics (reply->body.data);
  talloc_free (reply);
  dump = test_get_json (test_fixture.operators, "/v1/dump");
  check_dump (dump);
  json_decref (dump);
  expect_status ("GET", "/healthz", 200);
  expect_status ("GET", "/nothing", 404);
  expect_status ("POST", "/v1/block?host=host-2&on=true", 403);
  expect_status ("GET", "/v1/block?host=host-2&on=true", 405);
  expect_status ("POST", "/v1/dump", 405);
  expect_status ("DELETE", "/metrics", 405);
  ck_assert_int_eq (test_process_signal (test_fixture.host, SIGUSR1), 0);
  TEST_WAIT_UNTIL (has_log_line_with ("generations"));
  dump = last_log_line_with ("generations");
  check_dump (dump);
  json_decref (dump);
}
END_TEST

static void
check_log_line (const char *text, bool *has_request)
{
  static const char *const members[]
      = { "time", "level", "host", "zone", "message" };
  json_t *line = json_loads (text, JSON_REJECT_DUPLICATES, NULL);

  ck_assert_msg (json_is_object (line), "not a JSON object: %s", text);
  for (size_t i = 0; i < COUNT (members); i++)
    ck_assert_msg (json_is_string (json_object_get (line, members[i])),
                   "no '%s': %s", members[i], text);
  if (json_object_get (line, "request_id") != NULL)
    {
      *has_request = true;
      ck_assert_msg (json_object_get (line, "step") != NULL
                         && json_object_get (line, "peer") != NULL,
                     "a line of a request without step or peer: %s", text);
    }
  json_decref (line);
}

/* Each log line must be a JSON object, and one about a request must have its
   request ID, step and peer.  */
START_TEST (log_lines_are_json_objects)
{
  char *text;
  char **lines;
  bool has_request = false;

  start (",\"log_level\":\"debug\"", NULL, 0);
  talloc_free (test_fixture_post (TEST_COMPLETIONS, north,
                                  REQUEST_WITH ("\"stream\":5")));
  test_post (test_fixture.engine->address, "/standin/faults",
             "{\"cut_after_tokens\":1}");
  talloc_free (test_fixture_post (TEST_COMPLETIONS, north, TEST_REQUEST));
  ck_assert_int_eq (test_process_signal (test_fixture.host, SIGTERM), 0);
  ck_assert (test_process_wait (test_fixture.host, WAIT_TIMEOUT_MS));
  ck_assert_int_eq (test_fixture.host->status, 0);
  ck_assert (
      g_file_get_contents (test_fixture.host->log_path, &text, NULL, NULL));
  lines = g_strsplit (text, "\n", -1);
  for (guint i = 0; lines[i] != NULL && *lines[i] != '\0'; i++)
    check_log_line (lines[i], &has_request);
  ck_assert (has_request);
  g_strfreev (lines);
  g_free (text);
}
END_TEST

/* An incomplete request must not be run as a complete one.  */
START_TEST (a_caller_disconnects_before_its_body_is_complete)
{
  static const char head[]
      = RAW_POST "Content-Length: 5000\r\n\r\n" TEST_REQUEST;
  int fd;

  start_bad_input_test ();
  fd = connect_to (test_fixture.caller);
  send_text (fd, head, sizeof head - 1);
  (void)close (fd);
  finish_bad_input_test ();
}
END_TEST

/* Bytes that are not HTTP, or HTTP that two parsers may read differently, must
   not harm the ports that serve HTTP.  */
START_TEST (survives_malformed_http)
{
  static const char *const rows[] = {
    "GARBAGE\r\n\r\n",
    "\x16\x03\x01\x02\x01\x01\xff\xff",
    "POST " TEST_COMPLETIONS " HTTP/9.9\r\n\r\n",
    "POST " TEST_COMPLETIONS " HTTP/1.1\r\n: x\r\n\r\n",
    RAW_POST "Content-Length: -1\r\n\r\n" TEST_REQUEST,
    RAW_POST "Content-Length: 99999999999999999999999\r\n\r\n" TEST_REQUEST,
    RAW_POST "Content-Length: 5\r\nContent-Length: 6\r\n\r\n{}",
    RAW_POST "Transfer-Encoding: chunked\r\n\r\nzz\r\n" TEST_REQUEST,
    RAW_POST "Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n{}",
  };
  /* An incomplete header gets no response; what matters is checked below.  */
  const struct timeval pause = { .tv_usec = 200000 };

  start_bad_input_test ();
  for (size_t i = 0; i < 2 * COUNT (rows); i++)
    {
      int fd = connect_to (i % 2 == 0 ? test_fixture.caller
                                      : test_fixture.operators);
      char answer[4096];

      send_text (fd, rows[i / 2], strlen (rows[i / 2]));
      (void)setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &pause, sizeof pause);
      while (recv (fd, answer, sizeof answer, 0) > 0)
        ;
      (void)close (fd);
    }
  finish_bad_input_test ();
}
END_TEST

/* A request whose caller has disconnected must not be dispatched once its
   tokens arrive.  */
START_TEST (a_caller_disconnects_before_dispatch)
{
  struct test_http_call call = { .method = "POST",
                                 .path = TEST_COMPLETIONS,
                                 .headers = north,
                                 .body = TEST_REQUEST,
                                 .timeout_ms = 300 };
  struct test_http_response *reply;

  start (",\"timeouts\":{\"draw_wait_ms\":10000}", NULL, 0);
  ck_assert_int_eq (test_post (test_fixture.platform->address,
                               "/standin/faults", "{\"delay_ms\":1500}"),
                    200);
  call.address = test_fixture.caller;
  reply = test_http (&call);
  ck_assert_int_eq (reply->code, DS_ETIMEOUT);
  talloc_free (reply);
  test_post (test_fixture.platform->address, "/standin/faults",
             "{\"delay_ms\":0}");
  test_fixture_expect_bills (0);
  ck_assert_uint_eq (upstream_calls (test_fixture.engine), 0);
  expect_good_request ();
  test_fixture_expect_bills (1);
}
END_TEST

/* A queued request must not run after its caller has disconnected, and an
   upstream must not continue a stream for a disconnected caller.  */
START_TEST (callers_disconnect_while_queued_and_while_streaming)
{
  static const char *const slow[]
      = { "--token-ms", "20", "--default-output", "100000", NULL };
  struct test_http_call stream
      = { .method = "POST",
          .path = TEST_COMPLETIONS,
          .headers = north,
          .body = REQUEST_WITH ("\"stream\":true,\"max_tokens\":100000"),
          .timeout_ms = WAIT_TIMEOUT_MS,
          .stop_after_bytes = 60000 };
  struct test_http_call queued = { .method = "POST",
                                   .path = TEST_COMPLETIONS,
                                   .headers = north,
                                   .body = TEST_REQUEST,
                                   .timeout_ms = 300 };
  struct test_http_task *task;
  struct test_http_response *reply;
  json_t *calls;

  start (NULL, slow, 1);
  stream.address = queued.address = test_fixture.caller;
  task = test_http_start (&stream);
  TEST_WAIT_UNTIL (test_fixture_metric ("tokens_relayed_total") > 0);
  reply = test_http (&queued);
  ck_assert_int_eq (reply->code, DS_ETIMEOUT);
  talloc_free (reply);
  TEST_WAIT_UNTIL (test_fixture_dump_number ("router/queued") == 0);
  TEST_WAIT_UNTIL (test_fixture_metric ("requests_running") == 1);
  talloc_free (test_http_join (task));
  test_fixture_expect_bills (1);
  calls = test_get_json (test_fixture.engine->address, "/standin/calls");
  ck_assert_uint_eq (json_array_size (json_object_get (calls, "calls")), 1);
  ck_assert_str_eq (json_string_value (test_json_at (calls, "calls/0/state")),
                    "cancelled");
  json_decref (calls);
  ck_assert_int_eq (test_fixture_metric ("answers_cut_total"), 1);
  expect_good_request ();
}
END_TEST

/* Returns the resident memory of the host in kilobytes.  */
static long
host_memory_kb (void)
{
  char path[64];
  char *text;
  const char *line;
  long kb;

  (void)snprintf (path, sizeof path, "/proc/%d/status",
                  (int)test_fixture.host->pid);
  ck_assert (g_file_get_contents (path, &text, NULL, NULL));
  line = strstr (text, "VmRSS:");
  ck_assert_ptr_nonnull (line);
  kb = strtol (line + strlen ("VmRSS:"), NULL, 10);
  g_free (text);
  return kb;
}

/* Makes the address sanitizer release freed memory at once, so that the
   resident memory shows what the host uses.  */
static void
disable_quarantine (void)
{
  const char *options = g_getenv ("ASAN_OPTIONS");
  char *all = g_strdup_printf ("%s:quarantine_size_mb=0:"
                               "thread_local_quarantine_size_kb=0",
                               options != NULL ? options : "");

  (void)g_setenv ("ASAN_OPTIONS", all, TRUE);
  g_free (all);
}

/* Waits until no more tokens are relayed and returns their number.  */
static json_int_t
wait_until_relay_stalls (void)
{
  json_int_t last = -1;
  int same = 0;

  while (same < 20)
    {
      json_int_t now = test_fixture_metric ("tokens_relayed_total");

      same = now == last && now > 0 ? same + 1 : 0;
      last = now;
      test_sleep_ms (25);
    }
  return last;
}

/* A response must not be buffered in the host while its caller does not read,
   and no part of it may be lost when the caller continues.  The whole response
   is about 60 MB.  */
START_TEST (a_slow_reader_pauses_its_upstream)
{
  static const char *const fast[] = { "--default-output", "400000", NULL };
  static const char body[]
      = REQUEST_WITH ("\"stream\":true,\"max_tokens\":400000");
  char *request = talloc_asprintf (
      NULL,
      "POST " TEST_COMPLETIONS " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
      "%s\r\nContent-Length: %zu\r\n\r\n%s",
      north[0], sizeof body - 1, body);
  GString *tail = g_string_new (NULL);
  char *buffer = talloc_size (NULL, 1 << 20);
  json_int_t relayed;
  long before;
  long growth;
  ssize_t count;
  int fd;

  disable_quarantine ();
  start (NULL, fast, 0);
  before = host_memory_kb ();
  fd = connect_to (test_fixture.caller);
  send_text (fd, request, strlen (request));
  relayed = wait_until_relay_stalls ();
  growth = host_memory_kb () - before;
  ck_assert_int_lt (relayed, 200000);
  ck_assert_msg (growth < 8192, "%ld kB for %ld tokens", growth,
                 (long)relayed);
  while ((count = recv (fd, buffer, 1 << 20, 0)) > 0)
    {
      g_string_append_len (tail, buffer, count);
      if (tail->len > 4096)
        g_string_erase (tail, 0, (gssize)tail->len - 4096);
    }
  ck_assert_ptr_nonnull (strstr (tail->str, "tok399999"));
  ck_assert_ptr_nonnull (strstr (tail->str, "data: [DONE]"));
  ck_assert_int_eq (test_fixture_metric ("tokens_relayed_total"), 400000);
  test_fixture_expect_bills (1);
  (void)close (fd);
  g_string_free (tail, TRUE);
  talloc_free (buffer);
  talloc_free (request);
}
END_TEST

/* A shutdown that reaches its time limit must not use freed memory or wait for
   callers who have disconnected.  */
START_TEST (a_forced_stop_aborts_streams)
{
  static const char *const slow[]
      = { "--token-ms", "20", "--default-output", "100000", NULL };
  struct test_http_call stream
      = { .method = "POST",
          .path = TEST_COMPLETIONS,
          .headers = north,
          .body = REQUEST_WITH ("\"stream\":true,\"max_tokens\":100000"),
          .timeout_ms = WAIT_TIMEOUT_MS };
  struct test_http_task *tasks[8];

  start (",\"drain_max_ms\":300,\"worker_threads\":3", slow, 6);
  stream.address = test_fixture.caller;
  for (size_t i = 0; i < COUNT (tasks); i++)
    tasks[i] = test_http_start (&stream);
  TEST_WAIT_UNTIL (test_fixture_metric ("requests_running") == COUNT (tasks));
  TEST_WAIT_UNTIL (test_fixture_dump_number ("router/queued") == 2);
  ck_assert_int_eq (test_process_signal (test_fixture.host, SIGTERM), 0);
  ck_assert (test_process_wait (test_fixture.host, WAIT_TIMEOUT_MS));
  ck_assert_int_eq (test_fixture.host->status, 0);
  for (size_t i = 0; i < COUNT (tasks); i++)
    {
      struct test_http_response *reply = test_http_join (tasks[i]);

      ck_assert_ptr_null (strstr (reply->body.data, "[DONE]"));
      ck_assert_int_ne (reply->code, 0);
      talloc_free (reply);
    }
}
END_TEST

static char *
settings_file (const char *name, const char *more)
{
  char *settings = test_fixture_settings ("http://127.0.0.1:9", more);
  char *path = test_file_write (name, settings);

  talloc_free (settings);
  return path;
}

static void
expect_start_fails (const char *path, int status, const char *message)
{
  const char *const arguments[] = { "serve", "--config", path, NULL };
  int result;
  char *output = test_run_program (arguments, &result);

  ck_assert_msg (WIFEXITED (result) && WEXITSTATUS (result) == status
                     && strstr (output, message) != NULL,
                 "status %d, expected %d and '%s': %s", result, status,
                 message, output);
  g_free (output);
}

/* A host must not start with only some of its listeners or with unknown
   settings.  */
START_TEST (does_not_start_with_bad_settings_or_ports_in_use)
{
  char *good;
  char *bad;
  int fd;

  test_fixture_choose_addresses ();
  good = settings_file ("good.json", NULL);
  bad = settings_file ("bad.json", ",\"workers\":3");
  expect_start_fails ("/nonexistent/settings.json", 3, "/nonexistent");
  expect_start_fails (bad, 1, "workers");
  talloc_free (bad);
  bad = test_file_write ("broken.json", "{\"host\":");
  expect_start_fails (bad, 1, "broken.json");
  talloc_free (bad);
  for (int i = 0; i < 3; i++)
    {
      const char *const addresses[]
          = { test_fixture.caller, test_fixture.operators,
              test_fixture.peers };
      struct ds_socket_address address;

      fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      ds_socket_address_parse (&address, ds_str_from_c (addresses[i]));
      ck_assert_int_eq (
          bind (fd, (struct sockaddr *)&address.storage, address.length), 0);
      ck_assert_int_eq (listen (fd, 1), 0);
      expect_start_fails (good, 3, addresses[i]);
      (void)close (fd);
    }
  talloc_free (good);
}
END_TEST

/* Two hosts on one machine must not share the caller address by SO_REUSEPORT:
   each would get half of the callers.  */
START_TEST (two_hosts_do_not_share_a_callers_address)
{
  struct test_fixture first;
  char *settings;
  char *path;

  start (NULL, NULL, 0);
  first = test_fixture;
  (void)g_strlcpy (strrchr (test_fixture.operators, ':'), ":18083", 7);
  (void)g_strlcpy (strrchr (test_fixture.peers, ':'), ":18084", 7);
  settings = test_fixture_settings (test_fixture.platform_url, NULL);
  test_fixture = first;
  path = test_file_write ("second.json", settings);
  expect_start_fails (path, 3, test_fixture.caller);
  talloc_free (path);
  talloc_free (settings);
  expect_good_request ();
}
END_TEST

static bool
is_platform_reachable (void)
{
  json_t *dump = test_get_json (test_fixture.operators, "/v1/dump");
  bool is_reachable
      = json_is_true (json_object_get (dump, "platform_reachable"));

  json_decref (dump);
  return is_reachable;
}

/* A host without the platform must refuse calls of offerings that need a
   recent configuration, and no others.  */
START_TEST (refuses_only_what_needs_a_fresh_configuration)
{
  static const char *const south[] = { TEST_BEARER (TEST_KEY_SOUTH), NULL };
  static const char notary[]
      = "{\"model\":\"notary\",\"max_tokens\":3," TEST_MESSAGES "}";
  struct test_http_response *reply;

  start (NULL, NULL, 0);
  expect_good_request ();
  reply = test_fixture_post (TEST_COMPLETIONS, south, notary);
  ck_assert_int_eq (reply->status, 200);
  talloc_free (reply);
  ck_assert_int_eq (test_post (test_fixture.platform->address,
                               "/standin/faults", "{\"down\":true}"),
                    200);
  TEST_WAIT_UNTIL (!is_platform_reachable ());
  test_sleep_ms (10);
  expect_problem (test_fixture_post (TEST_COMPLETIONS, south, notary),
                  "cut off", 503, "config-too-old", "no", "");
  expect_good_request ();
}
END_TEST

/* A host must start without the platform, but must run no request that is not
   paid for.  */
START_TEST (starts_without_the_platform_but_is_not_ready)
{
  char *path;
  json_t *dump = NULL;

  test_fixture_choose_addresses ();
  path = settings_file ("host.json", ",\"drain_max_ms\":300");
  ck_assert_int_eq (test_host_start (&test_fixture.host, "host", path), 0);
  TEST_WAIT_UNTIL ((dump = test_get_json (test_fixture.operators, "/v1/dump"))
                   != NULL);
  json_decref (dump);
  expect_status ("GET", "/healthz", 503);
  TEST_WAIT_UNTIL (has_log_line_with ("step"));
  expect_problem (test_fixture_post (TEST_COMPLETIONS, north, TEST_REQUEST),
                  "no catalogue", 401, "credential", "no", "");
  ck_assert_int_eq (test_process_signal (test_fixture.host, SIGTERM), 0);
  ck_assert (test_process_wait (test_fixture.host, WAIT_TIMEOUT_MS));
  ck_assert_int_eq (test_fixture.host->status, 0);
  talloc_free (path);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("server");
  TCase *test_case = tcase_create ("server");
  TCase *random_messages = tcase_create ("nonsense");
  SRunner *runner;
  int failed;

  tcase_set_timeout (test_case, 120);
  tcase_add_test (test_case, refuses_bad_bodies);
  tcase_add_test (test_case, refuses_offerings_not_listed_by_the_workspace);
  tcase_add_test (test_case, refuses_bad_credentials);
  tcase_add_test (test_case, refuses_unknown_paths_and_methods);
  tcase_add_test (test_case, refuses_oversized_requests);
  tcase_add_test (test_case, refuses_bad_request_ids);
  tcase_add_test (test_case, refuses_an_id_that_was_used);
  tcase_add_test (test_case, refuses_an_id_that_is_running);
  tcase_add_test (test_case, refuses_invalid_peer_connections);
  tcase_add_test (test_case, operators_read_metrics_dump_and_health);
  tcase_add_test (test_case, log_lines_are_json_objects);
  tcase_add_test (test_case, survives_malformed_http);
  tcase_add_test (test_case, a_caller_disconnects_before_its_body_is_complete);
  tcase_add_test (test_case, a_caller_disconnects_before_dispatch);
  tcase_add_test (test_case,
                  callers_disconnect_while_queued_and_while_streaming);
  tcase_add_test (test_case, a_slow_reader_pauses_its_upstream);
  tcase_add_test (test_case, a_forced_stop_aborts_streams);
  tcase_add_test (test_case, does_not_start_with_bad_settings_or_ports_in_use);
  tcase_add_test (test_case, two_hosts_do_not_share_a_callers_address);
  tcase_add_test (test_case, refuses_only_what_needs_a_fresh_configuration);
  tcase_add_test (test_case, starts_without_the_platform_but_is_not_ready);
  suite_add_tcase (suite, test_case);
  tcase_set_timeout (random_messages, 120);
  tcase_add_test (random_messages, survives_random_peer_messages);
  suite_add_tcase (suite, random_messages);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
