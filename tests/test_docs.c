#include "daisystep/metrics.h"

#include <check.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const sources[]
    = { "src/program/call.c", "src/program/call_identity.c",
        "src/io/http_server.c" };

static char *
read_file (const char *path)
{
  char *full = g_build_filename (DS_SOURCE_DIR, path, NULL);
  char *text = NULL;

  ck_assert_msg (g_file_get_contents (full, &text, NULL, NULL), "%s", full);
  g_free (full);
  return text;
}

/* Returns the set of the first capture groups of PATTERN in TEXT.  */
static GHashTable *
collect_matches (const char *text, const char *pattern)
{
  GHashTable *set
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GRegex *regex = g_regex_new (pattern, G_REGEX_MULTILINE, 0, NULL);
  GMatchInfo *info;

  ck_assert_ptr_nonnull (regex);
  g_regex_match (regex, text, 0, &info);
  for (; g_match_info_matches (info); g_match_info_next (info, NULL))
    g_hash_table_add (set, g_match_info_fetch (info, 1));
  g_match_info_free (info);
  g_regex_unref (regex);
  return set;
}

/* Checks that both sets are equal and have AT_LEAST elements.  Frees both.  */
static void
expect_equal_sets (GHashTable *documented, GHashTable *actual, guint at_least)
{
  GHashTableIter iterator;
  gpointer name;

  g_hash_table_iter_init (&iterator, actual);
  while (g_hash_table_iter_next (&iterator, &name, NULL))
    ck_assert_msg (g_hash_table_contains (documented, name),
                   "%s is not documented", (const char *)name);
  g_hash_table_iter_init (&iterator, documented);
  while (g_hash_table_iter_next (&iterator, &name, NULL))
    ck_assert_msg (g_hash_table_contains (actual, name), "%s does not exist",
                   (const char *)name);
  ck_assert_uint_ge (g_hash_table_size (actual), at_least);
  g_hash_table_destroy (documented);
  g_hash_table_destroy (actual);
}

/* Guards against problem types that callers cannot look up.  */
START_TEST (problem_types_are_documented)
{
  char *page = read_file ("docs/caller-api.md");
  GString *code = g_string_new (NULL);

  for (size_t i = 0; i < G_N_ELEMENTS (sources); i++)
    {
      char *text = read_file (sources[i]);

      g_string_append (code, text);
      g_free (text);
    }
  expect_equal_sets (
      collect_matches (page, "^\\| `([a-z-]+)` \\| [45][0-9][0-9] \\|"),
      collect_matches (
          code->str, "(?:PROBLEM_TYPE \\(\"|urn:daisystep:problem:)([a-z-]+)"),
      20);
  g_string_free (code, TRUE);
  g_free (page);
}
END_TEST

/* Guards against metrics that operators cannot look up.  */
START_TEST (metrics_are_documented)
{
  char *page = read_file ("docs/operators/running.md");
  char *text = ds_metrics_exposition (NULL);

  expect_equal_sets (collect_matches (page, "^\\| `(daisystep_[a-z_]+)` \\|"),
                     collect_matches (text, "^(daisystep_[a-z_]+) "), 20);
  talloc_free (text);
  g_free (page);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("docs");
  TCase *test_case = tcase_create ("docs");
  SRunner *runner;
  int failed;

  tcase_add_test (test_case, problem_types_are_documented);
  tcase_add_test (test_case, metrics_are_documented);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
