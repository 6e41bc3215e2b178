#include "io/event_context.h"
#include "io/timer.h"

#include <check.h>
#include <stdlib.h>

static struct tevent_context *ev;
static int fired_values[8];
static int fired_count;
static struct ds_timer *other;

static void
record_value (void *user_data)
{
  fired_values[fired_count++] = *(const int *)user_data;
}

static void
free_other (void *user_data)
{
  (void)user_data;
  talloc_free (other);
  fired_values[fired_count++] = 9;
}

static void
add_inside (void *user_data)
{
  static const int value = 7;

  (void)user_data;
  ck_assert_ptr_nonnull (
      ds_timer_add (ev, ev, 0, record_value, (void *)&value));
}

static void
set_up (void)
{
  ev = ds_event_context_new (NULL);
  ck_assert_ptr_nonnull (ev);
  fired_count = 0;
}

static void
tear_down (void)
{
  talloc_free (ev);
}

static void
run_until (int count)
{
  while (fired_count < count)
    ck_assert_int_eq (tevent_loop_once (ev), 0);
}

/* Guards against timers that fire in the order in which they were added.  */
START_TEST (timers_fire_in_order_of_expiry)
{
  static const int values[] = { 0, 1, 2, 3 };

  (void)ds_timer_add (ev, ev, 60, record_value, (void *)&values[3]);
  (void)ds_timer_add (ev, ev, 20, record_value, (void *)&values[1]);
  (void)ds_timer_add (ev, ev, 1, record_value, (void *)&values[0]);
  (void)ds_timer_add (ev, ev, 40, record_value, (void *)&values[2]);
  run_until (4);
  for (int i = 0; i < 4; i++)
    ck_assert_int_eq (fired_values[i], i);
}
END_TEST

/* Guards against a callback for a freed object, also if another timer's
   callback frees it in the same iteration.  */
START_TEST (a_freed_timer_does_not_fire)
{
  static const int value = 1;
  static const int last = 2;

  (void)ds_timer_add (ev, ev, 5, free_other, NULL);
  other = ds_timer_add (ev, ev, 6, record_value, (void *)&value);
  talloc_free (ds_timer_add (ev, ev, 1, record_value, (void *)&value));
  (void)ds_timer_add (ev, ev, 30, record_value, (void *)&last);
  run_until (2);
  ck_assert_int_eq (fired_values[0], 9);
  ck_assert_int_eq (fired_values[1], 2);
}
END_TEST

/* Guards against losing a timer that is added by a callback.  */
START_TEST (a_callback_may_add_a_timer)
{
  (void)ds_timer_add (ev, ev, 1, add_inside, NULL);
  run_until (1);
  ck_assert_int_eq (fired_values[0], 7);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("timer");
  TCase *test_case = tcase_create ("timer");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_add_test (test_case, timers_fire_in_order_of_expiry);
  tcase_add_test (test_case, a_freed_timer_does_not_fire);
  tcase_add_test (test_case, a_callback_may_add_a_timer);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
