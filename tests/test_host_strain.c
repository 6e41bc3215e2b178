#include "core/host_strain.h"

#include <check.h>
#include <stdlib.h>

/* Guards against replicas that are taken for unreachable, and requests that
   are refused, because the own link delays each connection by 300 ms.  */
START_TEST (slow_connections_raise_the_timeout)
{
  struct ds_host_strain strain = { .connect_ms = 2 };
  int given_up = 0;

  for (int i = 0; i < 40; i++)
    {
      uint32_t timeout_ms = ds_host_strain_connect_timeout_ms (&strain, 10000);
      bool connected = timeout_ms > 300;

      given_up += connected ? 0 : 1;
      ds_host_strain_record_connect (&strain, connected ? 300 : timeout_ms,
                                     1000);
    }
  ck_assert_int_le (given_up, 4);
  ck_assert (ds_host_strain_is_strained (&strain, 1000));
}
END_TEST

/* Guards against waiting long for a dead replica: one of ten connections goes
   to it, the others take 3 ms.  */
START_TEST (a_dead_replica_does_not_raise_the_timeout)
{
  struct ds_host_strain strain = { .connect_ms = 3 };

  for (int i = 0; i < 100; i++)
    {
      uint32_t timeout_ms = ds_host_strain_connect_timeout_ms (&strain, 10000);

      ck_assert_uint_le (timeout_ms, 300);
      ds_host_strain_record_connect (&strain, i % 10 == 0 ? timeout_ms : 3,
                                     1000);
    }
}
END_TEST

/* Guards against a host that keeps its callers although its timers fire late,
   and against one that is left out for a single pause.  */
START_TEST (late_ticks_show_a_lack_of_processor)
{
  struct ds_host_strain strain = { .connect_ms = 0 };

  ds_host_strain_record_tick (&strain, 3000, 5000);
  ck_assert (!ds_host_strain_is_strained (&strain, 5000));
  ds_host_strain_record_tick (&strain, 5, 5200);
  ds_host_strain_record_tick (&strain, 150, 5600);
  ck_assert (!ds_host_strain_is_strained (&strain, 5600));
  ds_host_strain_record_tick (&strain, 150, 6000);
  ck_assert (ds_host_strain_is_strained (&strain, 6000));
  ck_assert (!ds_host_strain_is_strained (&strain, 8000));
}
END_TEST

/* Guards against requests that reach their time limit while one connection is
   waited for, which leaves no time for a refusal.  */
START_TEST (a_connection_takes_a_part_of_the_time_left)
{
  struct ds_host_strain strain = { .connect_ms = 1000 };

  ck_assert_uint_eq (ds_host_strain_connect_timeout_ms (&strain, 10000), 1500);
  ck_assert_uint_eq (ds_host_strain_connect_timeout_ms (&strain, 2000), 500);
  ck_assert_uint_eq (ds_host_strain_connect_timeout_ms (&strain, 100), 250);
}
END_TEST

/* Guards against a host that is left out for good after a burst.  */
START_TEST (a_host_recovers)
{
  struct ds_host_strain strain = { .connect_ms = 400 };

  for (int i = 0; i < 20; i++)
    ds_host_strain_record_connect (&strain, 2, 1000 + 100 * (uint64_t)i);
  ck_assert (!ds_host_strain_is_strained (&strain, 6000));
  ck_assert_uint_eq (ds_host_strain_connect_timeout_ms (&strain, 10000), 250);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("host_strain");
  TCase *test_case = tcase_create ("host_strain");
  SRunner *runner;
  int failed;

  tcase_add_test (test_case, slow_connections_raise_the_timeout);
  tcase_add_test (test_case, a_dead_replica_does_not_raise_the_timeout);
  tcase_add_test (test_case, late_ticks_show_a_lack_of_processor);
  tcase_add_test (test_case, a_connection_takes_a_part_of_the_time_left);
  tcase_add_test (test_case, a_host_recovers);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
