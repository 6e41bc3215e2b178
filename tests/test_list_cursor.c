#include "core/list_cursor.h"

#include <check.h>
#include <stdlib.h>

/* More than the pages of any list in this test.  */
#define PAGES_MAX 1000

static TALLOC_CTX *owner;
static struct ds_list_cursor cursor;

static void
set_up (void)
{
  owner = talloc_new (NULL);
  cursor = (struct ds_list_cursor){ .after = DS_STR_EMPTY };
  ds_list_cursor_begin (&cursor);
}

static void
tear_down (void)
{
  talloc_free (owner);
}

static void
expect_next (const char *last_name, struct ds_str after)
{
  ck_assert (ds_list_cursor_advance (&cursor, owner, ds_str_from_c (last_name),
                                     true));
  ck_assert (ds_str_equal (cursor.after, after));
}

/* Guards against a second page that is not asked for, and memory that is freed
   though it was not allocated, or kept for each page.  */
START_TEST (a_list_continues_after_the_last_name)
{
  size_t blocks;

  ck_assert (ds_list_cursor_is_first (&cursor));
  expect_next ("a", DS_STR ("a"));
  ck_assert (!ds_list_cursor_is_first (&cursor));
  expect_next ("b", DS_STR ("b"));
  blocks = talloc_total_blocks (owner);
  for (char name[] = "c"; name[0] <= 'z'; name[0]++)
    expect_next (name, ds_str_from_c (name));
  ck_assert_uint_eq (talloc_total_blocks (owner), blocks);
  ck_assert (!ds_list_cursor_advance (&cursor, owner, DS_STR ("zz"), false));
  ck_assert (!cursor.incomplete);
  ds_list_cursor_begin (&cursor);
  ck_assert (ds_list_cursor_is_first (&cursor));
  expect_next ("a", DS_STR ("a"));
}
END_TEST

/* Guards against entries that count as removed since those of another writer
   before them have no names.  */
START_TEST (a_page_without_names_is_passed_over_once)
{
  expect_next ("i-0", DS_STR ("i-0"));
  expect_next ("", DS_STR ("i-0~"));
  ck_assert (cursor.incomplete);
  expect_next ("i-1", DS_STR ("i-1"));
  expect_next ("", DS_STR ("i-1~"));
  ck_assert (!ds_list_cursor_advance (&cursor, owner, DS_STR_EMPTY, true));
  ck_assert (cursor.incomplete);
}
END_TEST

/* Guards against a guess that leads back, since the name before has a zero
   byte.  */
START_TEST (a_guess_has_all_bytes_of_the_name)
{
  ck_assert (ds_list_cursor_advance (&cursor, owner, DS_STR ("\0a\0b"), true));
  expect_next ("", DS_STR ("\0a\0b~"));
}
END_TEST

START_TEST (a_list_without_any_name_is_incomplete)
{
  ck_assert (!ds_list_cursor_advance (&cursor, owner, DS_STR_EMPTY, true));
  ck_assert (cursor.incomplete);
  ds_list_cursor_begin (&cursor);
  ck_assert (!ds_list_cursor_advance (&cursor, owner, DS_STR_EMPTY, false));
  ck_assert (!cursor.incomplete);
}
END_TEST

/* Guards against calls without end to a store that does not go on from a name:
   it returns the same _i pages again and again.  */
START_TEST (a_list_that_repeats_itself_ends)
{
  int pages = 0;

  expect_next ("first", DS_STR ("first"));
  while (pages < PAGES_MAX)
    {
      char name[16];

      (void)snprintf (name, sizeof name, "n-%d", pages++ % _i);
      if (!ds_list_cursor_advance (&cursor, owner, ds_str_from_c (name), true))
        break;
    }
  ck_assert (cursor.incomplete);
  /* The mark is set after at most twice the period, and met one period on.
   */
  ck_assert_int_le (pages, 4 * _i + 4);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("list_cursor");
  TCase *test_case = tcase_create ("list_cursor");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_add_test (test_case, a_list_continues_after_the_last_name);
  tcase_add_test (test_case, a_page_without_names_is_passed_over_once);
  tcase_add_test (test_case, a_guess_has_all_bytes_of_the_name);
  tcase_add_test (test_case, a_list_without_any_name_is_incomplete);
  tcase_add_loop_test (test_case, a_list_that_repeats_itself_ends, 1, 20);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
