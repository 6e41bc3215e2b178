#include "core/allotment.h"
#include "core/reservation_order.h"

#include <check.h>
#include <stdlib.h>

#define SMALL 100
#define LARGE 50000

/* Guards against urgent or small requests that wait behind others.  */
START_TEST (urgent_then_small_reservations_go_first)
{
  ck_assert_uint_lt (ds_reservation_rank (150, 0, LARGE),
                     ds_reservation_rank (0, 9, SMALL));
  ck_assert_uint_lt (ds_reservation_rank (100, 0, LARGE),
                     ds_reservation_rank (100, 1, SMALL));
  ck_assert_uint_lt (ds_reservation_rank (150, 1, SMALL),
                     ds_reservation_rank (0, 1, LARGE));
}
END_TEST

/* Guards against large or less urgent requests that wait for ever while others
   keep arriving: after two seconds they are first.  */
START_TEST (none_waits_for_ever)
{
  ck_assert_uint_lt (ds_reservation_rank (0, 9, LARGE),
                     ds_reservation_rank (2000, 0, SMALL));
  ck_assert (!ds_reservation_is_aged (1000, 1299));
  ck_assert (ds_reservation_is_aged (1000, 1300));
}
END_TEST

/* Guards against requests that wait although neither the hosts nor the ledger
   have enough for them.  */
START_TEST (what_nobody_has_is_known)
{
  struct ds_allotment allotment = {
    .free = 10, .lock.locked = 20, .peer_free = 30, .ledger_ungranted = 40
  };

  ck_assert (ds_allotment_may_cover (&allotment, 101));
  allotment.known = true;
  ck_assert (ds_allotment_may_cover (&allotment, 100));
  ck_assert (!ds_allotment_may_cover (&allotment, 101));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("reservation_order");
  TCase *test_case = tcase_create ("reservation_order");
  SRunner *runner;
  int failed;

  tcase_add_test (test_case, urgent_then_small_reservations_go_first);
  tcase_add_test (test_case, none_waits_for_ever);
  tcase_add_test (test_case, what_nobody_has_is_known);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
