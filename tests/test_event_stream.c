#include "daisystep/error.h"
#include "entry/event_stream.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define OUTPUT_BYTES 1024

static TALLOC_CTX *owner;
static char output[OUTPUT_BYTES];

static void
set_up (void)
{
  owner = talloc_new (NULL);
}

static void
tear_down (void)
{
  talloc_free (owner);
}

static void
append_output (struct ds_str event, void *user_data)
{
  size_t length = strlen (output);

  (void)user_data;
  ck_assert_uint_lt (length + event.length, sizeof output);
  memcpy (output + length, event.data, event.length);
  output[length + event.length] = '\0';
}

static int
feed (struct ds_event_stream *stream, struct ds_str bytes)
{
  return ds_event_stream_feed (owner, stream, bytes, append_output, NULL);
}

/* Guards against cutting or changing streams that are sound.  Each comes at
   once, and byte by byte.  */
START_TEST (sound_streams_are_forwarded_unchanged)
{
  static const char *const streams[]
      = { "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
          "id: 0\ndata: a\n\nid: 1\ndata: b\n\n",
          "id:1\ndata:a\n\n",
          "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
          "weight-versions: 7\nid: 1\ndata: a\n\n",
          "event: token\nid: 1\ndata: a\ndata: b\ndata\n\n",
          "data: a\nid: 1\nevent: token\nretry: 10\n\n",
          ": comment\n\nid: 1\ndata: a\n\n: \x01 any bytes\n\n",
          ": comment\nid: 1\ndata: a\n\n",
          "retry: 3000\n\nid: 1\ndata: a\n\n",
          "id: 1\ndata: \xc3\xa9 {\"a\":\"b: c\"}\n\n",
          "id: 1\ndata: HTTP/1.1 200 OK\n\n" };

  for (size_t i = 0; i < sizeof streams / sizeof streams[0]; i++)
    for (int at_once = 0; at_once <= 1; at_once++)
      {
        struct ds_event_stream stream = { .last_id = 0 };
        size_t length = strlen (streams[i]);
        size_t step = at_once ? length : 1;

        output[0] = '\0';
        for (size_t k = 0; k < length; k += step)
          ck_assert_int_eq (
              feed (&stream,
                    (struct ds_str){ .data = streams[i] + k, .length = step }),
              0);
        ck_assert (!ds_event_stream_is_inside_event (&stream));
        ck_assert_str_eq (output, streams[i]);
      }
}
END_TEST

/* Guards against forwarding bytes of a faulty replica: nothing after the event
   with id 2 reaches the caller.  */
START_TEST (bytes_that_are_no_event_are_refused)
{
  static const char sound[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  static const struct ds_str bad[] = {
    DS_STR ("!\x01 garbage\n\n"),
    DS_STR ("\xff\xfe\n\n"),
    DS_STR ("data: c\n\n"),
    DS_STR ("id:\ndata: c\n\n"),
    DS_STR ("id: x3\ndata: c\n\n"),
    DS_STR ("id: -3\ndata: c\n\n"),
    DS_STR ("id: 99999999999999999999999\ndata: c\n\n"),
    DS_STR ("id: 4\ndata: d\n\n"),
    DS_STR ("id: 3\n\n"),
    DS_STR ("id: 3\nid: 4\ndata: c\n\n"),
    DS_STR ("id: 9\nid: 3\ndata: c\n\n"),
    DS_STR ("retry: \x01 garbage\n\n"),
    DS_STR ("id: 3\n!\x01 garbage\ndata: c\n\n"),
    DS_STR ("id: 3\nda\0ta: c\n\n"),
    DS_STR ("id: 3\ndata: c\r\rid: 4\ndata: d\n\n"),
    DS_STR ("event: token\n\n"),
    DS_STR ("HTTP/1.1 503 Service Unavailable\r\n"
            "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"),
    DS_STR ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
            "id: 3\ndata: c\n\n"),
    DS_STR ("id: 3\ndaHTTP/1.1 200 OK\r\nid: 3\ndata: c\n\n"),
    DS_STR ("id: 3\ndata: cHTTP/1.1 503 Service Unavailable\r\n"
            "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"),
    DS_STR ("Content-Type: text/plain\r\n\r\n"),
    DS_STR ("{\"error\":\"failed\"}\n\n"),
  };

  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      struct ds_event_stream stream = { .last_id = 0 };

      output[0] = '\0';
      ck_assert_int_eq (feed (&stream, ds_str_from_c (sound)), 0);
      ck_assert_int_eq (feed (&stream, bad[i]), DS_EPROTOCOL);
      ck_assert_ptr_nonnull (stream.fault);
      ck_assert_uint_gt (stream.fault_text.length, 0);
      ck_assert_str_eq (output, sound);
    }
}
END_TEST

/* Guards against empty lines that a caller's parser may take for an event.  */
START_TEST (empty_lines_between_events_are_left_out)
{
  struct ds_event_stream stream = { .last_id = 0 };
  const char text[] = "\r\n\nid: 1\ndata: a\n\n\r\n\r\nid: 2\ndata: b\n\n\n\n";

  output[0] = '\0';
  for (size_t i = 0; i < strlen (text); i++)
    ck_assert_int_eq (
        feed (&stream, (struct ds_str){ .data = text + i, .length = 1 }), 0);
  ck_assert_str_eq (output, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  ck_assert (!ds_event_stream_is_inside_event (&stream));
}
END_TEST

/* Guards against a stream whose first events are missing.  */
START_TEST (a_stream_begins_with_its_first_event)
{
  struct ds_event_stream stream = { .last_id = 0 };

  output[0] = '\0';
  ck_assert_int_eq (feed (&stream, DS_STR ("id: 2\ndata: b\n\n")),
                    DS_EPROTOCOL);
  ck_assert_str_eq (output, "");
}
END_TEST

/* Guards against repeating events to a caller that resumes a stream at a
   replica that starts anew, and against a hole after the last one.  */
START_TEST (a_stream_continues_after_the_event_that_the_caller_names)
{
  struct ds_event_stream stream = { .last_id = 0 };
  struct ds_event_stream other = { .last_id = 0 };

  output[0] = '\0';
  ds_event_stream_set_last_id (&stream, 2);
  ck_assert_int_eq (feed (&stream, DS_STR ("id: 1\ndata: a\n\n"
                                           "id: 2\ndata: b\n\n"
                                           "id: 3\ndata: c\n\n")),
                    0);
  ck_assert_str_eq (output, "id: 3\ndata: c\n\n");
  ck_assert_uint_eq (stream.events, 1);
  ds_event_stream_set_last_id (&other, 2);
  ck_assert_int_eq (feed (&other, DS_STR ("id: 4\ndata: d\n\n")),
                    DS_EPROTOCOL);
}
END_TEST

/* Guards against buffering an event without an end, and against scanning it
   from its start again for each part that arrives: the replica that sends it
   must not use up the host's processor.  */
START_TEST (an_event_that_is_too_long_is_refused)
{
  struct ds_event_stream stream = { .last_id = 0 };
  struct ds_str line = DS_STR ("data: 0123456789012345678901234567890123\n");
  int status = 0;
  size_t sent;

  for (sent = 0; status == 0 && sent <= DS_EVENT_BYTES_MAX;
       sent += line.length)
    status = feed (&stream, line);
  ck_assert_int_eq (status, DS_EPROTOCOL);
  ck_assert_uint_le (sent, DS_EVENT_BYTES_MAX + line.length);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("event_stream");
  TCase *test_case = tcase_create ("event_stream");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_add_test (test_case, sound_streams_are_forwarded_unchanged);
  tcase_add_test (test_case, bytes_that_are_no_event_are_refused);
  tcase_add_test (test_case, empty_lines_between_events_are_left_out);
  tcase_add_test (test_case, a_stream_begins_with_its_first_event);
  tcase_add_test (test_case,
                  a_stream_continues_after_the_event_that_the_caller_names);
  tcase_add_test (test_case, an_event_that_is_too_long_is_refused);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
