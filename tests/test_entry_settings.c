#include "entry/entry_settings.h"
#include "support/process.h"

#include <check.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Loads settings with the bounds in the order of the settings template.  */
static int
load (struct ds_entry_settings **out, const char *grace_s,
      const char *config_apply_ms, const char *drain_ms, const char *ratio,
      const char *slack, const char *window_s)
{
  struct ds_error error = DS_ERROR_NONE;
  char *text = talloc_asprintf (
      NULL,
      "{\"host\":\"a\",\"zone\":\"z\",\"region\":\"r\","
      "\"caller_address\":\"127.0.0.1:1\",\"readiness_address\":"
      "\"127.0.0.1:2\",\"directory_address\":\"127.0.0.1:3\","
      "\"gossip_address\":\"127.0.0.1:4\",\"metrics_address\":"
      "\"127.0.0.1:5\",\"store_address\":\"127.0.0.1:6\",\"grace_s\":%s,"
      "\"address_ttl_s\":2,\"memory_mb\":61.5,\"config_apply_ms\":%s,\"drain_"
      "ms\":%s,"
      "\"retry\":{\"ratio\":%s,\"slack\":%s,\"window_s\":%s},"
      "\"budget\":{\"settle_ms\":1200}}",
      grace_s, config_apply_ms, drain_ms, ratio, slack, window_s);
  char *path = test_file_write ("entry-settings", text);
  int status = ds_entry_settings_load (out, NULL, path, &error);

  talloc_free (text);
  return status;
}

/* A fleet played at a part of its size has bounds such as a slack of 37.24;
   hosts that accept whole numbers only did not start.  */
START_TEST (bounds_may_be_fractions)
{
  struct ds_entry_settings *settings;

  ck_assert_int_eq (
      load (&settings, "7.5", "1999.5", "2000.25", "0.2", "37.24", "9.6"), 0);
  ck_assert_double_eq (settings->grace_s, 7.5);
  ck_assert_double_eq (settings->config_apply_ms, 1999.5);
  ck_assert_double_eq (settings->drain_ms, 2000.25);
  ck_assert_double_eq (settings->memory_mb, 61.5);
  ck_assert_double_eq (settings->retry.slack, 37.24);
  ck_assert_double_eq (settings->retry.window_s, 9.6);
  ds_entry_settings_free (settings);
}
END_TEST

/* Guards against a host that does not start with unusual but valid bounds.  */
START_TEST (extreme_bounds_are_accepted)
{
  struct ds_entry_settings *settings;

  ck_assert_int_eq (load (&settings, "1", "100", "100", "0", "0", "1"), 0);
  ds_entry_settings_free (settings);
  ck_assert_int_eq (
      load (&settings, "3600", "600000", "600000", "10", "1000000", "3600"),
      0);
  ds_entry_settings_free (settings);
}
END_TEST

/* Guards against a fault in the settings that takes effect silently.  */
START_TEST (bounds_outside_their_range_are_refused)
{
  struct ds_entry_settings *settings;

  ck_assert_int_ne (load (&settings, "0", "2000", "2000", "0.2", "50", "10"),
                    0);
  ck_assert_int_ne (load (&settings, "8", "99", "2000", "0.2", "50", "10"), 0);
  ck_assert_int_ne (load (&settings, "8", "2000", "600001", "0.2", "50", "10"),
                    0);
  ck_assert_int_ne (load (&settings, "8", "2000", "2000", "-1", "50", "10"),
                    0);
  ck_assert_int_ne (load (&settings, "8", "2000", "2000", "0.2", "-1", "10"),
                    0);
  ck_assert_int_ne (
      load (&settings, "8", "2000", "2000", "0.2", "50", "\"ten\""), 0);
}
END_TEST

/* Guards against learning that is on without the setting, or off with an
   empty object.  */
START_TEST (replica_capacity_is_off_if_absent)
{
  struct ds_entry_settings *settings;

  ck_assert_int_eq (load (&settings, "8", "2000", "2000", "0.2", "50", "10"),
                    0);
  ck_assert_uint_eq (settings->replica_capacity.report_ttl_ms, 0);
  ds_entry_settings_free (settings);
  ck_assert_int_eq (load (&settings, "8,\"replica_capacity\":{}", "2000",
                          "2000", "0.2", "50", "10"),
                    0);
  ck_assert_uint_eq (settings->replica_capacity.min_samples, 8);
  ck_assert_uint_eq (settings->replica_capacity.report_ttl_ms, 5000);
  ds_entry_settings_free (settings);
}
END_TEST

/* The value that the platform puts in the place of FIELD of the template.  */
static const char *
field_value (const char *field)
{
  static const struct
  {
    const char *part; /* of the name of the field */
    const char *value;
  } values[] = {
    { "zones", "{\"east\":\"home\",\"west\":\"away\"}" },
    { "address|json", "\"127.0.0.1:1\"" },
    { "listen", "\"127.0.0.1:1\"" },
    { "bootstrap", "true" },
    { "|json", "\"a\"" },
    { "internal_ports", "1" },
    { "ip", "127.0.0.1" },
    { "ratio", "0.2" },
    { "_ms", "5000" },
    { "cold_", "102.25" },
    { "memory_mb", "88" },
  };

  for (size_t i = 0; i < sizeof values / sizeof values[0]; i++)
    if (strstr (field, values[i].part) != NULL)
      return values[i].value;
  return "10";
}

/* Renders the template, with its sections or without.  */
static char *
render (const char *template, bool sections)
{
  char *out = talloc_strdup (NULL, "");
  const char *open;

  while ((open = strstr (template, "{{")) != NULL)
    {
      const char *close = strstr (open, "}}");
      char *field = talloc_strndup (out, open + 2, (size_t)(close - open - 2));

      out = talloc_strndup_append_buffer (out, template,
                                          (size_t)(open - template));
      template = close + 2;
      if (field[0] == '#' && !sections)
        {
          field[0] = '/';
          template = strstr (template, field) + strlen (field) + 2;
        }
      else if (field[0] != '#' && field[0] != '/')
        out = talloc_strdup_append_buffer (out, field_value (field));
    }
  return talloc_strdup_append_buffer (out, template);
}

/* Guards against a template that renders settings with which no host starts,
   on platforms with the optional fields and on those without.  */
START_TEST (the_template_renders_valid_settings)
{
  struct ds_entry_settings *settings;
  struct ds_error error = DS_ERROR_NONE;
  char *template;
  char *text;

  ck_assert (g_file_get_contents (
      DS_SOURCE_DIR "/deploy/settings.json.template", &template, NULL, NULL));
  text = render (template, _i != 0);
  ck_assert_int_eq (ds_entry_settings_load (
                        &settings, NULL,
                        test_file_write ("rendered-settings", text), &error),
                    0);
  ck_assert_double_eq (settings->evacuation_ms, _i != 0 ? 5000 : 0);
  ck_assert_uint_eq (settings->zones.count, 2);
  ck_assert_double_eq (settings->cold_overage, _i != 0 ? 102.25 : 1.5);
  ck_assert_double_eq (settings->cold_slack, _i != 0 ? 102.25 : 5);
  ck_assert (
      ds_str_equal (settings->zones.items[0].value, DS_STR ("home"))
      != ds_str_equal (settings->zones.items[0].value, DS_STR ("away")));
  ds_entry_settings_free (settings);
  talloc_free (text);
  g_free (template);
}
END_TEST

/* Guards against a map of zones that takes effect although it cannot be
   read.  */
START_TEST (zones_that_are_no_names_are_refused)
{
  static const char *const values[]
      = { "[]", "\"a\"", "{\"a\":7}", "{\"a\":\"\"}", "{\"A\":\"b\"}" };
  struct ds_entry_settings *settings;
  char zones[64];

  for (size_t i = 0; i < sizeof values / sizeof values[0]; i++)
    {
      (void)snprintf (zones, sizeof zones, "2000,\"zones\":%s", values[i]);
      ck_assert_int_ne (
          load (&settings, "8", zones, "2000", "0.2", "50", "10"), 0);
    }
  ck_assert_int_eq (load (&settings, "8", "2000,\"zones\":{\"a\":\"b\"}",
                          "2000", "0.2", "50", "10"),
                    0);
  ds_entry_settings_free (settings);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("entry_settings");
  TCase *test_case = tcase_create ("entry_settings");
  SRunner *runner;
  int failed;

  tcase_add_test (test_case, bounds_may_be_fractions);
  tcase_add_test (test_case, extreme_bounds_are_accepted);
  tcase_add_test (test_case, bounds_outside_their_range_are_refused);
  tcase_add_loop_test (test_case, the_template_renders_valid_settings, 0, 2);
  tcase_add_test (test_case, zones_that_are_no_names_are_refused);
  tcase_add_test (test_case, replica_capacity_is_off_if_absent);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
