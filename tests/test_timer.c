#include "io/event_context.h"
#include "io/timer.h"

#include <check.h>
#include <stdlib.h>

static struct tevent_context *ev;
static int order[8];
static int fired;
static struct ds_timer *other;

static void
note (void *user_data)
{
  order[fired++] = *(const int *)user_data;
}

static void
free_other (void *user_data)
{
  (void)user_data;
  talloc_free (other);
  order[fired++] = 9;
}

static void
add_inside (void *user_data)
{
  static const int value = 7;

  (void)user_data;
  ck_assert_ptr_nonnull (ds_timer_add (ev, ev, 0, note, (void *)&value));
}

static void
set_up (void)
{
  ev = ds_event_context_new (NULL);
  ck_assert_ptr_nonnull (ev);
  fired = 0;
}

static void
tear_down (void)
{
  talloc_free (ev);
}

static void
run_until (int count)
{
  while (fired < count)
    ck_assert_int_eq (tevent_loop_once (ev), 0);
}

/* Guards against a timer that waits for one that was added before it.  */
START_TEST (timers_go_by_their_time)
{
  static const int values[] = { 0, 1, 2, 3 };

  (void)ds_timer_add (ev, ev, 60, note, (void *)&values[3]);
  (void)ds_timer_add (ev, ev, 20, note, (void *)&values[1]);
  (void)ds_timer_add (ev, ev, 1, note, (void *)&values[0]);
  (void)ds_timer_add (ev, ev, 40, note, (void *)&values[2]);
  run_until (4);
  for (int i = 0; i < 4; i++)
    ck_assert_int_eq (order[i], i);
}
END_TEST

/* Guards against a call for an object that is gone, also when it goes in the
   same turn.  */
START_TEST (a_freed_timer_is_silent)
{
  static const int value = 1;
  static const int last = 2;

  (void)ds_timer_add (ev, ev, 5, free_other, NULL);
  other = ds_timer_add (ev, ev, 6, note, (void *)&value);
  talloc_free (ds_timer_add (ev, ev, 1, note, (void *)&value));
  (void)ds_timer_add (ev, ev, 30, note, (void *)&last);
  run_until (2);
  ck_assert_int_eq (order[0], 9);
  ck_assert_int_eq (order[1], 2);
}
END_TEST

/* Guards against a lost timer that is added while others are called.  */
START_TEST (a_timer_may_add_another)
{
  (void)ds_timer_add (ev, ev, 1, add_inside, NULL);
  run_until (1);
  ck_assert_int_eq (order[0], 7);
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
  tcase_add_test (test_case, timers_go_by_their_time);
  tcase_add_test (test_case, a_freed_timer_is_silent);
  tcase_add_test (test_case, a_timer_may_add_another);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
