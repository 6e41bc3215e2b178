#include "core/store_era.h"

#include <check.h>
#include <stdlib.h>

/* Guards against an older era that replaces a newer one, and against a start
   that is taken for a return of the store.  */
START_TEST (eras_only_increase)
{
  static const struct
  {
    uint64_t reported;
    enum ds_store_era_change change;
    uint64_t era;
  } steps[] = {
    { 3, DS_STORE_ERA_FIRST, 3 }, { 3, DS_STORE_ERA_SAME, 3 },
    { 2, DS_STORE_ERA_OLDER, 3 }, { 5, DS_STORE_ERA_NEWER, 5 },
    { 0, DS_STORE_ERA_OLDER, 5 }, { 5, DS_STORE_ERA_SAME, 5 },
  };
  struct ds_store_era era = { .hold_ms = 2000 };

  for (size_t i = 0; i < sizeof steps / sizeof steps[0]; i++)
    {
      ck_assert_int_eq (
          ds_store_era_observe (&era, steps[i].reported, 0, 100 + i),
          steps[i].change);
      ck_assert_uint_eq (era.era, steps[i].era);
      ck_assert_uint_eq (era.restored_ms, i < 3 ? 0 : 103);
    }
}
END_TEST

/* Guards against tokens that are granted before other hosts have raised a
   page, and against a wait where the store never returned from a copy.  */
START_TEST (pages_of_earlier_eras_are_held)
{
  struct ds_store_era era = { .hold_ms = 2000 };

  (void)ds_store_era_observe (&era, 0, 0, 1000);
  ck_assert (!ds_store_era_is_held (&era, 0, 1000));
  (void)ds_store_era_observe (&era, 1, 0, 5000);
  ck_assert (ds_store_era_is_held (&era, 0, 6999));
  ck_assert (!ds_store_era_is_held (&era, 1, 5000));
  ck_assert (!ds_store_era_is_held (&era, 0, 7000));
  /* A second return begins the hold again.  */
  (void)ds_store_era_observe (&era, 2, 1, 6500);
  ck_assert (ds_store_era_is_held (&era, 1, 8499));
}
END_TEST

/* Guards against a host that is cut off from the store for good by another one
   that reports an era which the store has never had.  */
START_TEST (the_store_refutes_a_wrong_report)
{
  struct ds_store_era era = { .hold_ms = 2000 };

  (void)ds_store_era_observe (&era, 1, 0, 1000);
  ck_assert_int_eq (ds_store_era_hear (&era, 9, 2000), DS_STORE_ERA_NEWER);
  /* A response to a call from before the report says nothing against it.  */
  ck_assert_int_eq (ds_store_era_observe (&era, 1, 1, 2001),
                    DS_STORE_ERA_OLDER);
  ck_assert_int_eq (ds_store_era_observe (&era, 1, 9, 2002),
                    DS_STORE_ERA_REFUTED);
  ck_assert_uint_eq (era.era, 1);
  ck_assert_int_eq (ds_store_era_hear (&era, 9, 2003), DS_STORE_ERA_SAME);
  ck_assert_int_eq (ds_store_era_hear (&era, 2, 2004), DS_STORE_ERA_NEWER);
  ck_assert_int_eq (ds_store_era_observe (&era, 2, 2, 2005),
                    DS_STORE_ERA_SAME);
  ck_assert_int_eq (ds_store_era_observe (&era, 1, 2, 2006),
                    DS_STORE_ERA_OLDER);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("store_era");
  TCase *test_case = tcase_create ("store_era");
  SRunner *runner;
  int failed;

  tcase_add_test (test_case, eras_only_increase);
  tcase_add_test (test_case, pages_of_earlier_eras_are_held);
  tcase_add_test (test_case, the_store_refutes_a_wrong_report);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
