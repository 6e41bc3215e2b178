#include "daisystep/error.h"
#include "io/problem_document.h"
#include "io/sse.h"

#include <check.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define EVENT_LIMIT_BYTES 64

static int
record (const struct ds_sse_event *event, void *user_data)
{
  char **log = user_data;

  *log = talloc_asprintf_append (
      *log, "[%.*s|%.*s|%.*s]", DS_STR_ARG (event->name),
      DS_STR_ARG (event->data), DS_STR_ARG (event->id));
  return 0;
}

/* Parses TEXT in parts split at FIRST and SECOND and returns all events; OUT
   gets the result of the last feed.  */
static char *
parse (int *out, struct ds_str text, size_t first, size_t second,
       size_t event_limit)
{
  struct ds_sse_parser *parser = NULL;
  struct ds_sse_parser_options options = DS_SSE_PARSER_OPTIONS_DEFAULT;
  char *log = talloc_strdup (NULL, "");
  size_t ends[] = { first, second, text.length };
  size_t start = 0;

  options.event_limit = event_limit;
  options.on_event = record;
  options.user_data = &log;
  ck_assert_int_eq (ds_sse_parser_new (&parser, NULL, &options), 0);
  for (size_t i = 0; i < 3; i++)
    {
      /* With a copy of the exact size AddressSanitizer detects reads beyond
         the part.  */
      char *part;

      if (ends[i] == start)
        continue;
      part = malloc (ends[i] - start);

      memcpy (part, text.data + start, ends[i] - start);
      *out = ds_sse_parser_feed (
          parser, (struct ds_str){ .data = part, .length = ends[i] - start });
      free (part);
      start = ends[i];
    }
  ds_sse_parser_free (parser);
  return log;
}

/* Guards against events that depend on how the network splits the stream.  */
START_TEST (gives_the_same_events_for_every_split)
{
  static const char text[]
      = "\xef\xbb\xbf"
        "data: a\n\n: comment\r\nevent: x\r\ndata:b\r\ndata: c\r\n\r\n"
        "id: 7\rdata\r\rdata:  d\n\nevent: lost\n\nid\ndata: \xc3\xbc:e\n\n"
        "data: no end\n";
  static const char expected[] = "[|a|][x|b\nc|][||7][| d|7][|\xc3\xbc:e|]";
  struct ds_str whole = { .data = text, .length = sizeof text - 1 };

  for (size_t first = 0; first <= whole.length; first++)
    for (size_t second = first; second <= whole.length; second++)
      {
        int status = 0;
        char *log = parse (&status, whole, first, second, 1000);

        ck_assert_int_eq (status, 0);
        ck_assert_str_eq (log, expected);
        talloc_free (log);
      }
}
END_TEST

/* Guards against an unbounded event or line that exhausts memory.  */
START_TEST (limits_events_for_every_split)
{
  static const struct
  {
    const char *text;
    const char *events;
    int status;
  } cases[] = {
    { "data: 1\n\n"
      "data: 123456789012345678901234567890\n"
      "data: 123456789012345678901234567890\n\n",
      "[|1|]", DS_ERANGE },
    { "data: 1\n\n: 123456789012345678901234567890123456789012345678901234567"
      "8901234567890",
      "[|1|]", DS_ERANGE },
    { "data: 12345678901234567890\ndata: 12345678901234567890\n\n"
      "data: 12345678901234567890\ndata: 12345678901234567890\n\n",
      "[|12345678901234567890\n12345678901234567890|]"
      "[|12345678901234567890\n12345678901234567890|]",
      0 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct ds_str text = ds_str_from_c (cases[i].text);

      for (size_t first = 0; first <= text.length; first++)
        {
          int status = 0;
          char *log
              = parse (&status, text, first, text.length, EVENT_LIMIT_BYTES);

          ck_assert_int_eq (status, cases[i].status);
          ck_assert_str_eq (log, cases[i].events);
          talloc_free (log);
        }
    }
}
END_TEST

/* Guards against losing a partial BOM, and against dropping a BOM that is not
   at the start.  */
START_TEST (skips_only_a_whole_bom_at_the_start)
{
  int status = 0;
  char *log = parse (&status, DS_STR ("\xef\xbbid: 1\ndata: a\n\n"), 1, 3,
                     EVENT_LIMIT_BYTES);

  ck_assert_str_eq (log, "[|a|]");
  talloc_free (log);
  log = parse (&status,
               DS_STR ("data: a\n\n\xef\xbb\xbf"
                       "data: b\n\n"),
               1, 3, EVENT_LIMIT_BYTES);
  ck_assert_str_eq (log, "[|a|]");
  talloc_free (log);
}
END_TEST

static int
refuse (const struct ds_sse_event *event, void *user_data)
{
  int *count = user_data;

  (void)event;
  (*count)++;
  return DS_EPROTOCOL;
}

START_TEST (stops_when_the_callback_fails)
{
  struct ds_sse_parser *parser = NULL;
  struct ds_sse_parser_options options = DS_SSE_PARSER_OPTIONS_DEFAULT;
  int count = 0;

  options.on_event = refuse;
  options.user_data = &count;
  ck_assert_int_eq (ds_sse_parser_new (&parser, NULL, &options), 0);
  for (int i = 0; i < 2; i++)
    ck_assert_int_eq (
        ds_sse_parser_feed (parser, DS_STR ("data: a\n\ndata: b\n\n")),
        DS_EPROTOCOL);
  ck_assert_int_eq (count, 1);
  ds_sse_parser_free (parser);
}
END_TEST

/* Guards against output that a parser reads as different events.  */
START_TEST (parses_what_it_writes)
{
  struct ds_sse_event event = { .name = DS_STR ("error"),
                                .data = DS_STR ("a\n\nb\r\nc\rd\n"),
                                .id = DS_STR ("9") };
  struct ds_str text = DS_STR_EMPTY;
  char *log;
  int status = 0;

  ck_assert_int_eq (ds_sse_format (&text, NULL, &event), 0);
  log = parse (&status, text, 0, 1, EVENT_LIMIT_BYTES);
  ck_assert_str_eq (log, "[error|a\n\nb\nc\nd\n|9]");
  talloc_free (log);
  talloc_free ((void *)(uintptr_t)text.data);
  event = (struct ds_sse_event){ .name = DS_STR_EMPTY,
                                 .data = DS_STR_EMPTY,
                                 .id = DS_STR_EMPTY };
  ck_assert_int_eq (ds_sse_format (&text, NULL, &event), 0);
  ck_assert (ds_str_equal (text, DS_STR ("data: \n\n")));
  talloc_free ((void *)(uintptr_t)text.data);
  event.name = DS_STR ("x\ndata: y");
  ck_assert_int_eq (ds_sse_format (&text, NULL, &event), DS_EINVAL);
}
END_TEST

/* Guards against external text that makes the document invalid.  */
START_TEST (formats_problem_documents)
{
  struct ds_problem_document problem = DS_PROBLEM_DOCUMENT_DEFAULT;
  struct ds_str text = DS_STR_EMPTY;
  json_t *document;

  problem.status = 409;
  problem.title = "a \"quoted\"\nline";
  problem.detail = "\xff";
  problem.ran = DS_RAN_NO;
  problem.retry_after_ms = 0;
  ck_assert_int_eq (ds_problem_document_format (&text, NULL, &problem), 0);
  ck_assert_ptr_null (memchr (text.data, '\n', text.length));
  document = json_loadb (text.data, text.length, 0, NULL);
  ck_assert_ptr_nonnull (document);
  ck_assert_str_eq (json_string_value (json_object_get (document, "title")),
                    problem.title);
  ck_assert_str_eq (json_string_value (json_object_get (document, "ran")),
                    "no");
  ck_assert_int_eq (json_integer_value (json_object_get (document, "status")),
                    409);
  ck_assert (json_is_integer (json_object_get (document, "retry_after_ms")));
  ck_assert_ptr_null (json_object_get (document, "detail"));
  ck_assert_ptr_null (json_object_get (document, "request_id"));
  json_decref (document);
  talloc_free ((void *)(uintptr_t)text.data);
  problem.retry_after_ms = DS_PROBLEM_NO_RETRY;
  ck_assert_int_eq (ds_problem_document_format (&text, NULL, &problem), 0);
  ck_assert_ptr_null (strstr (text.data, "retry_after_ms"));
  talloc_free ((void *)(uintptr_t)text.data);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("sse");
  TCase *test_case = tcase_create ("sse");
  SRunner *runner;
  int failed;

  tcase_add_test (test_case, gives_the_same_events_for_every_split);
  tcase_add_test (test_case, limits_events_for_every_split);
  tcase_add_test (test_case, skips_only_a_whole_bom_at_the_start);
  tcase_add_test (test_case, stops_when_the_callback_fails);
  tcase_add_test (test_case, parses_what_it_writes);
  tcase_add_test (test_case, formats_problem_documents);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
