#include "program/settings.h"

#include "daisystep/log.h"

#include <check.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define COUNT(rows) (sizeof (rows) / sizeof (rows)[0])

static const char minimal[]
    = "{\"host\":\"kelheim-1\",\"zone\":\"kelheim\","
      "\"caller_address\":\"127.0.1.1:8080\","
      "\"operator_address\":\"127.0.1.1:8081\","
      "\"peer_address\":\"127.0.1.1:8082\","
      "\"platform\":{\"url\":\"http://127.0.0.9:9000\"}}";

static char path[64];

static void
write_file (const char *text, size_t length)
{
  int file;

  (void)snprintf (path, sizeof path, "/tmp/daisystep-settings-XXXXXX");
  file = mkstemp (path);
  ck_assert_int_ge (file, 0);
  ck_assert_int_eq (write (file, text, length), (ssize_t)length);
  ck_assert_int_eq (close (file), 0);
}

static int
load (struct ds_settings **out, const char *text, size_t length,
      struct ds_error *error)
{
  int status;

  write_file (text, length);
  status = ds_settings_load (out, NULL, path, error);
  ck_assert_int_eq (unlink (path), 0);
  return status;
}

/* Sets FIELD, "NAME" or "OBJECT.NAME", of the minimal document to the JSON
   text VALUE, or removes it when VALUE is null.  */
static char *
document_with (const char *field, const char *value)
{
  json_t *root = json_loads (minimal, 0, NULL);
  json_t *object = root;
  const char *dot = strchr (field, '.');
  char *text;

  if (dot != NULL)
    {
      char *outer = g_strndup (field, (size_t)(dot - field));

      if (json_object_get (root, outer) == NULL)
        json_object_set_new (root, outer, json_object ());
      object = json_object_get (root, outer);
      field = dot + 1;
      g_free (outer);
    }
  if (value == NULL)
    json_object_del (object, field);
  else
    ck_assert_int_eq (
        json_object_set_new (object, field,
                             json_loads (value, JSON_DECODE_ANY, NULL)),
        0);
  text = json_dumps (root, 0);
  json_decref (root);
  return text;
}

START_TEST (fills_defaults)
{
  struct ds_settings *settings;
  struct ds_error error = DS_ERROR_NONE;

  ck_assert_msg (load (&settings, minimal, strlen (minimal), &error) == 0,
                 "%s", error.message);
  ck_assert_str_eq (settings->host.data, "kelheim-1");
  ck_assert_uint_eq (settings->region.length, 0);
  ck_assert_uint_eq (settings->peer_key.length, 0);
  ck_assert_uint_eq (settings->platform.token.length, 0);
  ck_assert_uint_eq (settings->worker_threads, 2);
  ck_assert_uint_eq (settings->shards, 4);
  ck_assert_uint_eq (settings->ledger_pages, 8);
  ck_assert_uint_eq (settings->backups, 3);
  ck_assert_uint_eq (settings->flush_ms, 2000);
  ck_assert_uint_eq (settings->limits.frame_bytes, 1048576);
  ck_assert_uint_eq (settings->address_valid_ms, 30000);
  ck_assert_uint_eq (settings->log_level, DS_LOG_INFO);
  ds_settings_free (settings);
}
END_TEST

/* Guards against a row of the field table that writes another member.  */
START_TEST (reads_given_values)
{
  static const struct
  {
    const char *field;
    const char *value;
    size_t offset;
    uint64_t number;
  } cases[] = {
#define CASE(member, given)                                                   \
  { #member, #given, offsetof (struct ds_settings, member), (given) }
    CASE (platform.timeout_ms, 77),
    CASE (worker_threads, 64),
    CASE (shards, 1),
    CASE (ledger_pages, 4096),
    CASE (limits.body_bytes, 2048),
    CASE (limits.header_bytes, 2049),
    CASE (limits.frame_bytes, 8192),
    CASE (limits.connections, 5),
    CASE (limits.queued_requests, 6),
    CASE (timeouts.connect_ms, 11),
    CASE (timeouts.first_byte_ms, 12),
    CASE (timeouts.progress_ms, 13),
    CASE (timeouts.request_ms, 70000),
    CASE (timeouts.draw_wait_ms, 15),
    CASE (flush_ms, 16),
    CASE (idle_ms, 117),
    CASE (backups, 0),
    CASE (heartbeat_ms, 18),
    CASE (suspect_ms, 1019),
    CASE (address_valid_ms, 20000),
    CASE (drain_min_ms, 31000),
    CASE (drain_max_ms, 32000),
  };

  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct ds_settings *settings;
      struct ds_error error = DS_ERROR_NONE;
      char *text = document_with (cases[i].field, cases[i].value);
      uint64_t got;

      ck_assert_msg (load (&settings, text, strlen (text), &error) == 0, "%s",
                     error.message);
      memcpy (&got, (char *)settings + cases[i].offset, sizeof got);
      ck_assert_msg (got == cases[i].number, "%s", cases[i].field);
      free (text);
      ds_settings_free (settings);
    }
}
END_TEST

START_TEST (reads_texts_and_choices)
{
  static const struct
  {
    const char *field;
    size_t offset;
  } cases[] = {
    { "region", offsetof (struct ds_settings, region) },
    { "peer_key", offsetof (struct ds_settings, peer_key) },
    { "platform.token", offsetof (struct ds_settings, platform.token) },
  };
  struct ds_settings *settings;
  struct ds_error error = DS_ERROR_NONE;
  char *text = document_with ("log_level", "\"debug\"");

  ck_assert_int_eq (load (&settings, text, strlen (text), &error), 0);
  ck_assert_uint_eq (settings->log_level, DS_LOG_DEBUG);
  ds_settings_free (settings);
  free (text);
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct ds_str got;

      text = document_with (cases[i].field, "\"altmuehl\"");
      ck_assert_int_eq (load (&settings, text, strlen (text), &error), 0);
      memcpy (&got, (char *)settings + cases[i].offset, sizeof got);
      ck_assert_str_eq (got.data, "altmuehl");
      ds_settings_free (settings);
      free (text);
    }
}
END_TEST

/* Guards against a limit that is missing or off by one on either side.  */
START_TEST (refuses_numbers_outside_their_limits)
{
  static const struct
  {
    const char *field;
    json_int_t low;
    json_int_t high;
  } cases[] = {
    { "platform.timeout_ms", 10, 300000 },
    { "worker_threads", 1, 64 },
    { "shards", 1, 64 },
    { "ledger_pages", 1, 4096 },
    { "limits.body_bytes", 1024, 67108864 },
    { "limits.header_bytes", 1024, 1048576 },
    { "limits.frame_bytes", 4096, 1048576 },
    { "limits.connections", 1, 65536 },
    { "limits.queued_requests", 1, 65536 },
    { "timeouts.connect_ms", 10, 60000 },
    { "timeouts.first_byte_ms", 10, 3600000 },
    { "timeouts.progress_ms", 10, 3600000 },
    { "timeouts.request_ms", 10, 86400000 },
    { "timeouts.draw_wait_ms", 10, 300000 },
    { "flush_ms", 10, 300000 },
    { "idle_ms", 100, 3600000 },
    { "backups", 0, 3 },
    { "heartbeat_ms", 10, 60000 },
    { "suspect_ms", 20, 600000 },
    { "address_valid_ms", 100, 3600000 },
    { "drain_min_ms", 0, 3600000 },
    { "drain_max_ms", 0, 86400000 },
  };

  for (size_t i = 0; i < 2 * COUNT (cases); i++)
    {
      const char *field = cases[i / 2].field;
      json_int_t low = cases[i / 2].low;
      json_int_t high = cases[i / 2].high;
      struct ds_settings *settings;
      struct ds_error error = DS_ERROR_NONE;
      char value[32];
      char allowed[64];
      char *text;

      (void)snprintf (value, sizeof value, "%" JSON_INTEGER_FORMAT,
                      i % 2 == 0 ? low - 1 : high + 1);
      (void)snprintf (allowed, sizeof allowed,
                      "%" JSON_INTEGER_FORMAT "..%" JSON_INTEGER_FORMAT, low,
                      high);
      text = document_with (field, value);
      ck_assert_msg (load (&settings, text, strlen (text), &error)
                         == DS_ERANGE,
                     "%s %s", field, value);
      ck_assert_msg (strstr (error.message, field) != NULL
                         && strstr (error.message, value) != NULL
                         && strstr (error.message, allowed) != NULL,
                     "%s", error.message);
      free (text);
    }
}
END_TEST

/* Each row is a value that must be rejected with a message that gives file,
   field, value and allowed values.  Guards against a missing check of a
   field.  */
START_TEST (refuses_bad_values)
{
  static const struct
  {
    const char *field;
    const char *value;
    const char *allowed;
  } cases[] = {
    { "host", "\"Kelheim\"", "[a-z0-9.-]" },
    { "host", "\"\"", "1..63" },
    { "host", "7", "1..63" },
    { "zone", "\"kel heim\"", "[a-z0-9.-]" },
    { "region", "\"K\"", "0..63" },
    { "caller_address", "\"localhost:80\"", "IP:PORT" },
    { "caller_address", "\"127.0.0.1\"", "IP:PORT" },
    { "caller_address", "\"127.0.0.1:0\"", "1..65535" },
    { "operator_address", "\"127.0.0.1:65536\"", "1..65535" },
    { "operator_address", "\"127.0.0.1:+80\"", "1..65535" },
    { "operator_address", "\"127.0.0.1:080\"", "1..65535" },
    { "peer_address", "\"127.0.0.256:80\"", "IP:PORT" },
    { "peer_address", "\"[::1]:80\"", "IP:PORT" },
    { "platform", "[]", "an object" },
    { "platform.url", "\"127.0.0.1:80\"", "http://IP:PORT" },
    { "platform.url", "\"ftp://127.0.0.1:80\"", "http://IP:PORT" },
    { "platform.url", "\"http://127.0.0.1:80/v1\"", "http://IP:PORT" },
    { "worker_threads", "2.5", "1..64" },
    { "worker_threads", "\"2\"", "1..64" },
    { "log_level", "\"loud\"", "\"error\" \"warning\" \"info\" \"debug\"" },
    { "log_level", "1", "\"error\"" },
    { "limits", "1", "an object" },
    { "timeouts.progress_ms", "true", "10..3600000" },
    { "timeouts.request_ms", "null", "10..86400000" },
    { "suspect_ms", "999", "at least 1000" },
    { "drain_min_ms", "29999", "at least 30000" },
    { "drain_max_ms", "29999", "at least 30000" },
    { "timeouts.request_ms", "59999", "at least 60000" },
    { "timeouts.progress_ms", "600001", "at least 600001" },
  };

  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct ds_settings *settings;
      struct ds_error error = DS_ERROR_NONE;
      char *text = document_with (cases[i].field, cases[i].value);

      ck_assert_msg (load (&settings, text, strlen (text), &error) < 0,
                     "%s %s accepted", cases[i].field, cases[i].value);
      ck_assert_ptr_null (settings);
      ck_assert_msg (strstr (error.message, path) != NULL
                         && strstr (error.message, cases[i].field) != NULL
                         && strstr (error.message, cases[i].value) != NULL
                         && strstr (error.message, cases[i].allowed) != NULL,
                     "%s: %s", cases[i].field, error.message);
      free (text);
    }
}
END_TEST

START_TEST (refuses_a_missing_required_field)
{
  static const char *const fields[]
      = { "host",         "zone",     "caller_address", "operator_address",
          "peer_address", "platform", "platform.url" };

  for (size_t i = 0; i < COUNT (fields); i++)
    {
      struct ds_settings *settings;
      struct ds_error error = DS_ERROR_NONE;
      char *text = document_with (fields[i], NULL);

      ck_assert_msg (load (&settings, text, strlen (text), &error) < 0, "%s",
                     fields[i]);
      ck_assert_ptr_nonnull (strstr (error.message, fields[i]));
      ck_assert_ptr_nonnull (strstr (error.message, "missing"));
      free (text);
    }
}
END_TEST

/* Guards against a misspelt field that is silently ignored.  */
START_TEST (refuses_an_unknown_field)
{
  static const char *const fields[]
      = { "zones", "platform.urls", "limits.body", "timeouts.draw" };

  for (size_t i = 0; i < COUNT (fields); i++)
    {
      struct ds_settings *settings;
      struct ds_error error = DS_ERROR_NONE;
      char *text = document_with (fields[i], "1");

      ck_assert_msg (load (&settings, text, strlen (text), &error) < 0, "%s",
                     fields[i]);
      ck_assert_ptr_nonnull (strstr (error.message, fields[i]));
      ck_assert_ptr_nonnull (strstr (error.message, "unknown field"));
      free (text);
    }
}
END_TEST

/* Guards against a secret that reaches a terminal or log in an error
   message.  */
START_TEST (hides_secrets_in_messages)
{
  static const char *const fields[] = { "platform.token", "peer_key" };
  char *long_secret = g_strnfill (4099, 'x');

  long_secret[0] = long_secret[4098] = '"';
  for (size_t i = 0; i < 3 * COUNT (fields); i++)
    {
      const char *const values[] = { "[\"hush\"]", "\"\"", long_secret };
      const char *field = fields[i / 3];
      struct ds_settings *settings;
      struct ds_error error = DS_ERROR_NONE;
      char *text = document_with (field, values[i % 3]);

      ck_assert_int_lt (load (&settings, text, strlen (text), &error), 0);
      ck_assert_ptr_nonnull (strstr (error.message, field));
      ck_assert_ptr_nonnull (strstr (error.message, "1..4096 bytes"));
      ck_assert_ptr_null (strstr (error.message, "hush"));
      ck_assert_ptr_null (strstr (error.message, "xxx"));
      free (text);
    }
  g_free (long_secret);
}
END_TEST

START_TEST (refuses_one_address_for_two_listeners)
{
  struct ds_settings *settings;
  struct ds_error error = DS_ERROR_NONE;
  char *text = document_with ("peer_address", "\"127.0.1.1:8080\"");

  ck_assert_int_eq (load (&settings, text, strlen (text), &error), DS_EINVAL);
  ck_assert_ptr_nonnull (strstr (error.message, "peer_address"));
  ck_assert_ptr_nonnull (
      strstr (error.message, "another address than caller_address"));
  free (text);
}
END_TEST

/* Parse errors are reported with line and column.  */
START_TEST (reports_parser_faults_with_line_and_column)
{
  static const struct
  {
    struct ds_str text;
    const char *message;
  } cases[] = {
    { DS_STR ("{\n \"host\": \"a\""), ":2: line 2, column" },
    { DS_STR ("{\n\"host\":\"\xff\"}"), "invalid UTF-8" },
    { DS_STR ("{\n\"shards\":18446744073709551616}"), "too big integer" },
    { DS_STR ("{\"host\":\"a\",\n\"host\":\"b\"}"), ":2: line 2, column 6" },
    { DS_STR ("{}\n{}"), ":2: line 2" },
    { DS_STR ("{\"host\":\"a\\u0000b\"}"), "\\u0000" },
    { DS_STR (""), "column 0" },
  };

  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct ds_settings *settings;
      struct ds_error error = DS_ERROR_NONE;

      ck_assert_int_eq (
          load (&settings, cases[i].text.data, cases[i].text.length, &error),
          DS_EINVAL);
      ck_assert_msg (strstr (error.message, cases[i].message) != NULL
                         && strstr (error.message, path) != NULL
                         && strstr (error.message, "column") != NULL,
                     "%zu: %s", i, error.message);
    }
}
END_TEST

START_TEST (reports_an_unreadable_file)
{
  struct ds_settings *settings;
  struct ds_error error = DS_ERROR_NONE;

  ck_assert_int_eq (
      ds_settings_load (&settings, NULL, "/tmp/daisystep-absent", &error),
      DS_EIO);
  ck_assert_ptr_nonnull (strstr (error.message, "/tmp/daisystep-absent"));
}
END_TEST

/* Guards against a reader that stops at the first problem.  */
START_TEST (collects_every_fault)
{
  struct ds_settings *settings;
  struct ds_problems *problems;
  char *text = document_with ("shards", "0");
  json_t *json = json_loads (text, 0, NULL);

  free (text);
  json_object_set_new (json, "backups", json_integer (9));
  json_object_set_new (json, "extra", json_null ());
  json_object_del (json, "zone");
  text = json_dumps (json, 0);
  json_decref (json);
  ck_assert_int_eq (ds_problems_new (&problems, NULL), 0);
  write_file (text, strlen (text));
  ck_assert_int_lt (ds_settings_read (&settings, NULL, path, problems), 0);
  ck_assert_uint_eq (problems->count, 4);
  ck_assert_int_eq (unlink (path), 0);
  ds_problems_free (problems);
  free (text);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("settings");
  TCase *test_case = tcase_create ("settings");
  SRunner *runner;
  int failed;

  tcase_add_test (test_case, fills_defaults);
  tcase_add_test (test_case, reads_given_values);
  tcase_add_test (test_case, reads_texts_and_choices);
  tcase_add_test (test_case, refuses_numbers_outside_their_limits);
  tcase_add_test (test_case, refuses_bad_values);
  tcase_add_test (test_case, refuses_a_missing_required_field);
  tcase_add_test (test_case, refuses_an_unknown_field);
  tcase_add_test (test_case, hides_secrets_in_messages);
  tcase_add_test (test_case, refuses_one_address_for_two_listeners);
  tcase_add_test (test_case, reports_parser_faults_with_line_and_column);
  tcase_add_test (test_case, reports_an_unreadable_file);
  tcase_add_test (test_case, collects_every_fault);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
