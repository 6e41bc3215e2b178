#include "io/http_message.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

/* What a reader has reported.  */
struct observed
{
  int heads;
  int ends;
  size_t body_bytes;
  unsigned status;
  bool keep_alive;
  bool framed;
  char target[64];
};

static TALLOC_CTX *owner;
static struct observed observed;

static void
on_head (const struct ds_http_head *head, void *user_data)
{
  (void)user_data;
  observed.heads++;
  observed.status = head->status;
  observed.keep_alive = head->keep_alive;
  observed.framed = head->framed;
  if (head->target.length > 0 && head->target.length < sizeof observed.target)
    {
      memcpy (observed.target, head->target.data, head->target.length);
      observed.target[head->target.length] = '\0';
    }
}

static void
on_body (struct ds_str bytes, void *user_data)
{
  (void)user_data;
  observed.body_bytes += bytes.length;
}

static void
on_end (void *user_data)
{
  (void)user_data;
  observed.ends++;
}

static struct ds_http_reader *
new_reader (bool reads_requests)
{
  struct ds_http_reader_handlers handlers
      = { .on_head = on_head, .on_body = on_body, .on_end = on_end };
  struct ds_http_reader *reader;

  ck_assert_int_eq (ds_http_reader_new (&reader, owner, reads_requests, 2000,
                                        5000, &handlers),
                    0);
  return reader;
}

static void
set_up (void)
{
  owner = talloc_new (NULL);
  observed = (struct observed){ .heads = 0 };
}

static void
tear_down (void)
{
  talloc_free (owner);
}

static size_t
feed (struct ds_http_reader *reader, const char *text)
{
  return ds_http_reader_feed (reader, ds_str_from_c (text));
}

/* Guards against parsing the next request as part of this one, or dropping
   it.  */
START_TEST (a_message_ends_where_its_length_says)
{
  struct ds_http_reader *reader = new_reader (true);
  const char *first = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                      "\r\nabc";
  char both[256];

  (void)snprintf (both, sizeof both, "%sGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
                  first);
  ck_assert_uint_eq (feed (reader, both), strlen (first));
  ck_assert_int_eq (observed.ends, 1);
  ck_assert_uint_eq (observed.body_bytes, 3);
  (void)feed (reader, both + strlen (first));
  ck_assert_int_eq (observed.ends, 2);
  ck_assert_str_eq (observed.target, "/b");
}
END_TEST

START_TEST (a_message_may_arrive_byte_by_byte)
{
  struct ds_http_reader *reader = new_reader (true);
  const char *text = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                     "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";

  for (const char *at = text; *at != '\0'; at++)
    ck_assert_uint_eq (ds_http_reader_feed (
                           reader, (struct ds_str){ .data = at, .length = 1 }),
                       1);
  ck_assert_int_eq (observed.ends, 1);
  ck_assert_uint_eq (observed.body_bytes, 3);
}
END_TEST

#define CHUNKED_RESPONSE                                                      \
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc"

static const char *const sound_chunks[] = {
  "\r\n0\r\n\r\n",
  "\r\n00a\r\n0123456789\r\n000\r\n\r\n",
  "\r\nB\r\n0123456789a\r\n0\r\n\r\n",
  "\r\n1;name=value\r\n\xff\r\n0;last\r\n\r\n",
  "\r\n1 \t;name=\"\xc3\xa9\"\r\nx\r\n0 \r\n\r\n",
  "\r\n0\r\nTrailer: value\r\n\r\n",
};

/* Guards against refusing a body in chunks that is sound.  */
START_TEST (sound_chunks_are_read_whole)
{
  struct ds_http_reader *reader = new_reader (false);
  const char *rest = sound_chunks[_i];

  ck_assert_uint_eq (feed (reader, CHUNKED_RESPONSE),
                     strlen (CHUNKED_RESPONSE));
  for (const char *at = rest; *at != '\0'; at++)
    ck_assert_uint_eq (ds_http_reader_feed (
                           reader, (struct ds_str){ .data = at, .length = 1 }),
                       1);
  ck_assert_int_eq (ds_http_reader_error (reader), DS_HTTP_PARSE_ERROR_NONE);
  ck_assert_int_eq (observed.ends, 1);
}
END_TEST

static const char *const bad_chunks[] = {
  "\r\n\xc3\xa9 bytes\r\n\r\n",
  "\r\n\xff\r\n\r\n",
  "\r\n0 bytes\r\n\r\n",
  "\r\n1 bytes\r\nx\r\n0\r\n\r\n",
  "\r\n0\xc3\r\n\r\n",
  "\r\n-1\r\n\r\n",
  "\r\n0x1\r\nx\r\n0\r\n\r\n",
  "\r\n\r\n\r\n",
  "\r\n;name\r\n\r\n",
  "\r\n0\n\r\n",
  "\r\n1;na\nme\r\nx\r\n0\r\n\r\n",
  "\r\nfffffffffffffffff\r\nx\r\n0\r\n\r\n",
  "xx0\r\n\r\n",
  "\n\n0\r\n\r\n",
  "\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
};

/* Guards against ending a body at bytes of a faulty peer that stand in the
   place of a chunk, at once and byte by byte.  */
START_TEST (bytes_that_are_no_chunk_are_malformed)
{
  for (int at_once = 0; at_once <= 1; at_once++)
    {
      struct ds_http_reader *reader = new_reader (false);
      size_t length = strlen (bad_chunks[_i]);
      size_t step = at_once ? length : 1;

      observed = (struct observed){ .heads = 0 };
      (void)feed (reader, CHUNKED_RESPONSE);
      for (size_t k = 0; k < length; k += step)
        (void)ds_http_reader_feed (
            reader,
            (struct ds_str){ .data = bad_chunks[_i] + k, .length = step });
      ck_assert_int_eq (ds_http_reader_error (reader),
                        DS_HTTP_PARSE_ERROR_MALFORMED);
      ck_assert_int_eq (observed.ends, 0);
      ck_assert_uint_le (observed.body_bytes, 4);
    }
}
END_TEST

/* Guards against request smuggling: one request parsed as two.  */
START_TEST (ambiguous_requests_are_malformed)
{
  static const char *const bad[] = {
    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
    "Content-Length: 4\r\n\r\nabcd",
    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked, gzip\r\n\r\n",
    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc",
    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc",
    "GET /a HTTP/1.1\r\nHost: h\r\nX: a\x01"
    "b\r\n\r\n",
    "GET /a HTTP/1.1\r\nHost: h\r\nUpgrade: other\r\nConnection: upgrade\r\n"
    "\r\n",
    "nonsense\r\n\r\n",
  };

  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      struct ds_http_reader *reader = new_reader (true);

      (void)feed (reader, bad[i]);
      ck_assert_msg (ds_http_reader_error (reader)
                         == DS_HTTP_PARSE_ERROR_MALFORMED,
                     "malformed request %zu was accepted", i);
    }
}
END_TEST

START_TEST (enforces_head_and_body_limits)
{
  struct ds_http_reader *head = new_reader (true);
  struct ds_http_reader *body = new_reader (true);
  struct ds_http_reader *chunks = new_reader (true);
  char large[3000];

  memset (large, 'x', sizeof large - 1);
  large[sizeof large - 1] = '\0';
  (void)feed (head, "GET /a HTTP/1.1\r\nHost: h\r\nX: ");
  (void)feed (head, large);
  ck_assert_int_eq (ds_http_reader_error (head),
                    DS_HTTP_PARSE_ERROR_HEAD_TOO_LARGE);
  (void)feed (body,
              "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5001\r\n\r\n");
  ck_assert_int_eq (ds_http_reader_error (body),
                    DS_HTTP_PARSE_ERROR_BODY_TOO_LARGE);
  (void)feed (chunks, "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                      "chunked\r\n\r\n1800\r\n");
  (void)feed (chunks, large);
  (void)feed (chunks, large);
  ck_assert_int_eq (ds_http_reader_error (chunks),
                    DS_HTTP_PARSE_ERROR_BODY_TOO_LARGE);
}
END_TEST

/* Guards against a truncated response that looks complete.  */
START_TEST (only_a_response_without_length_ends_with_the_connection)
{
  struct ds_http_reader *cut = new_reader (false);
  struct ds_http_reader *open = new_reader (false);

  (void)feed (cut, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
  ck_assert (observed.framed);
  ds_http_reader_end_input (cut);
  ck_assert_int_eq (observed.ends, 0);
  ck_assert_int_eq (ds_http_reader_error (cut), DS_HTTP_PARSE_ERROR_MALFORMED);
  (void)feed (open, "HTTP/1.1 200 OK\r\n\r\nabc");
  ck_assert (!observed.framed && !observed.keep_alive);
  ds_http_reader_end_input (open);
  ck_assert_int_eq (observed.ends, 1);
}
END_TEST

/* Guards against taking an interim (1xx) response for the final one.  */
START_TEST (interim_responses_are_skipped)
{
  struct ds_http_reader *reader = new_reader (false);

  (void)feed (reader, "HTTP/1.1 100 Continue\r\n\r\n"
                      "HTTP/1.1 204 No Content\r\n\r\n");
  ck_assert_int_eq (observed.heads, 1);
  ck_assert_uint_eq (observed.status, 204);
  ck_assert_int_eq (observed.ends, 1);
}
END_TEST

/* Guards against taking bytes behind a response that has no body for one, or
   waiting for it: an interim response, one to HEAD, 204 and 304.  */
START_TEST (responses_without_a_body_end_with_their_head)
{
  static const char *const heads[]
      = { "HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n",
          "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n",
          "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n",
          "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n",
          "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n" };
  static const char answer[]
      = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";

  for (size_t i = 0; i < sizeof heads / sizeof heads[0]; i++)
    {
      struct ds_http_reader *reader = new_reader (false);
      bool interim = i < 2;
      char both[256];
      size_t taken;

      observed = (struct observed){ .heads = 0 };
      (void)snprintf (both, sizeof both, "%s%s", heads[i], answer);
      taken = feed (reader, both);
      ck_assert_uint_eq (taken, strlen (interim ? both : heads[i]));
      ck_assert_int_eq (observed.heads, 1);
      ck_assert_int_eq (observed.ends, 1);
      ck_assert_uint_eq (observed.body_bytes, interim ? 3 : 0);
    }
}
END_TEST

/* Guards against one response made of the start of a head and the head of the
   next response.  */
START_TEST (a_head_that_holds_a_status_line_is_malformed)
{
  static const struct
  {
    const char *text;
    bool joined;
  } heads[] = {
    { "HTTP/1.1 503 UnavHTTP/1.1 200 OK\r\nA: 1\r\n\r\n", true },
    { "HTTP/1.1 503 Unav\r\nA: 1HTTP/1.0 404 Not Found\r\n\r\n", true },
    { "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy 200\r\n"
      "Content-Length: 0\r\n\r\n",
      false },
    { "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", false },
  };

  for (size_t i = 0; i < sizeof heads / sizeof heads[0]; i++)
    {
      struct ds_http_reader *reader = new_reader (false);

      observed.heads = 0;
      for (const char *at = heads[i].text; *at != '\0'; at++)
        (void)ds_http_reader_feed (reader,
                                   (struct ds_str){ .data = at, .length = 1 });
      ck_assert_int_eq (observed.heads, heads[i].joined ? 0 : 1);
      ck_assert_int_eq (ds_http_reader_error (reader),
                        heads[i].joined ? DS_HTTP_PARSE_ERROR_MALFORMED
                                        : DS_HTTP_PARSE_ERROR_NONE);
    }
}
END_TEST

START_TEST (recognises_hop_by_hop_headers)
{
  struct ds_http_header_line lines[] = {
    { DS_STR ("Connection"), DS_STR ("close, X-Private") },
    { DS_STR ("x-private"), DS_STR ("1") },
    { DS_STR ("X-Other"), DS_STR ("2") },
    { DS_STR ("content-length"), DS_STR ("5") },
  };
  struct ds_http_head head = { .lines = lines, .line_count = 4 };

  ck_assert (ds_http_header_line_is_hop_by_hop (&head, &lines[0]));
  ck_assert (ds_http_header_line_is_hop_by_hop (&head, &lines[1]));
  ck_assert (!ds_http_header_line_is_hop_by_hop (&head, &lines[2]));
  ck_assert (ds_http_header_line_is_hop_by_hop (&head, &lines[3]));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("http_message");
  TCase *test_case = tcase_create ("http_message");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_add_test (test_case, a_message_ends_where_its_length_says);
  tcase_add_test (test_case, a_message_may_arrive_byte_by_byte);
  tcase_add_loop_test (test_case, sound_chunks_are_read_whole, 0,
                       sizeof sound_chunks / sizeof sound_chunks[0]);
  tcase_add_loop_test (test_case, bytes_that_are_no_chunk_are_malformed, 0,
                       sizeof bad_chunks / sizeof bad_chunks[0]);
  tcase_add_test (test_case, ambiguous_requests_are_malformed);
  tcase_add_test (test_case, enforces_head_and_body_limits);
  tcase_add_test (test_case,
                  only_a_response_without_length_ends_with_the_connection);
  tcase_add_test (test_case, interim_responses_are_skipped);
  tcase_add_test (test_case, responses_without_a_body_end_with_their_head);
  tcase_add_test (test_case, a_head_that_holds_a_status_line_is_malformed);
  tcase_add_test (test_case, recognises_hop_by_hop_headers);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
