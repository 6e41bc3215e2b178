#include "entry/entry_settings.h"
#include "support/process.h"

#include <check.h>
#include <glib.h>
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

/* Replaces what PATTERN matches in TEXT, which is freed.  */
static char *
replace (char *text, const char *pattern, const char *by)
{
  GRegex *regex = g_regex_new (pattern, G_REGEX_DOTALL, 0, NULL);
  char *replaced = g_regex_replace (regex, text, -1, 0, by, 0, NULL);

  ck_assert_ptr_nonnull (replaced);
  g_regex_unref (regex);
  g_free (text);
  return replaced;
}

/* Loads the settings that the platform renders from the template.  NUMBER
   stands for all numbers, in an allowed range.  */
static struct ds_entry_settings *
load_template (bool has_cold_bounds, const char *number)
{
  struct ds_entry_settings *settings;
  struct ds_error error = DS_ERROR_NONE;
  char *text;

  ck_assert (g_file_get_contents (
      DS_SOURCE_DIR "/deploy/settings.json.template", &text, NULL, NULL));
  if (!has_cold_bounds)
    text = replace (text, "\\{\\{#(bounds\\.[a-z_]+)\\}\\}.*?\\{\\{/\\1\\}\\}",
                    "");
  text = replace (text, "\\{\\{[#/][a-z_.]+\\}\\}", "");
  text = replace (text, "\\{\\{ip\\}\\}:\\{\\{[a-z0-9_.]+\\}\\}",
                  "127.0.0.1:9");
  text = replace (text, "\\{\\{(listen|platform)[a-z.]+\\|json\\}\\}",
                  "\"127.0.0.1:8\"");
  text = replace (text, "\\{\\{bootstrap\\|json\\}\\}", "true");
  text = replace (text, "\\{\\{[a-z]+\\|json\\}\\}", "\"name\"");
  text = replace (text, "\\{\\{bounds\\.retry_budget_ratio\\}\\}", "0.2");
  text = replace (text, "\\{\\{[a-z_.]+\\}\\}", number);
  ck_assert_ptr_null (strstr (text, "{{"));
  ck_assert_msg (ds_entry_settings_load (&settings, NULL,
                                         test_file_write ("rendered", text),
                                         &error)
                     == 0,
                 "%s", error.message);
  g_free (text);
  return settings;
}

/* Guards against a host that does not start, or uses other bounds, where the
   platform sets or omits those of cold replicas.  */
START_TEST (the_template_is_valid_with_and_without_cold_bounds)
{
  struct ds_entry_settings *settings = load_template (true, "102.25");

  ck_assert_double_eq (settings->cold_overage, 102.25);
  ck_assert_double_eq (settings->cold_slack, 102.25);
  ds_entry_settings_free (settings);
  settings = load_template (false, "102.25");
  ck_assert_double_eq (settings->cold_overage, 1.5);
  ck_assert_double_eq (settings->cold_slack, 5);
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
  tcase_add_test (test_case, replica_capacity_is_off_if_absent);
  tcase_add_test (test_case,
                  the_template_is_valid_with_and_without_cold_bounds);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
