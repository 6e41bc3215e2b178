#include "daisystep/error.h"
#include "daisystep/str.h"

#include <check.h>
#include <stdlib.h>

START_TEST (parses_the_largest_number)
{
  uint64_t value = 0;

  ck_assert_int_eq (ds_str_to_u64 (&value, DS_STR ("18446744073709551615")),
                    0);
  ck_assert (value == UINT64_MAX);
}
END_TEST

/* Guards against a number that wraps around to a small one.  */
START_TEST (rejects_a_number_that_overflows)
{
  uint64_t value = 7;

  ck_assert_int_eq (ds_str_to_u64 (&value, DS_STR ("18446744073709551616")),
                    DS_ERANGE);
  ck_assert (value == 7);
}
END_TEST

START_TEST (rejects_text_that_is_no_number)
{
  uint64_t value;

  ck_assert_int_eq (ds_str_to_u64 (&value, DS_STR ("")), DS_EINVAL);
  ck_assert_int_eq (ds_str_to_u64 (&value, DS_STR ("12a")), DS_EINVAL);
  ck_assert_int_eq (ds_str_to_u64 (&value, DS_STR ("-1")), DS_EINVAL);
}
END_TEST

/* Guards against a comparison that stops at a zero byte.  */
START_TEST (compares_bytes_behind_a_zero_byte)
{
  struct ds_str a = { .data = "a\0b", .length = 3 };
  struct ds_str b = { .data = "a\0c", .length = 3 };

  ck_assert (!ds_str_equal (a, b));
  ck_assert_int_lt (ds_str_compare (a, b), 0);
  ck_assert_int_lt (ds_str_compare (DS_STR ("a"), a), 0);
}
END_TEST

START_TEST (detects_invalid_utf8)
{
  ck_assert (ds_str_is_utf8 (DS_STR ("Altm\xc3\xbchl")));
  ck_assert (!ds_str_is_utf8 (DS_STR ("\xff")));
  ck_assert (!ds_str_is_utf8 ((struct ds_str){ .data = "a\0b", .length = 3 }));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("str");
  TCase *test_case = tcase_create ("str");
  SRunner *runner;
  int failed;

  tcase_add_test (test_case, parses_the_largest_number);
  tcase_add_test (test_case, rejects_a_number_that_overflows);
  tcase_add_test (test_case, rejects_text_that_is_no_number);
  tcase_add_test (test_case, compares_bytes_behind_a_zero_byte);
  tcase_add_test (test_case, detects_invalid_utf8);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
