#include "core/evacuation.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ZONE DS_STR ("east")

enum step_kind
{
  LIST_EMPTY, /* a full list without evacuations, up to REVISION */
  LIST_PART,  /* one without them that may lack some */
  PUT,        /* the own watch shows one at REVISION */
  DELETE,     /* the own watch shows its removal */
  APPLY,      /* a response up to REVISION to a call begun at ASKED_MS */
  REPORT,     /* another host reports REVISION, confirmed AGE_MS ago */
  ERA,        /* the store has returned from an older copy */
  WAIT
};

/* An event at a host, and whether the zone counts as evacuated after it.  */
struct step
{
  uint64_t now_ms;
  enum step_kind kind;
  uint64_t revision;
  uint64_t asked_ms; /* of APPLY; the age of REPORT */
  bool covered;
};

struct replay
{
  struct step steps[10];
  size_t count;
  uint64_t ended_ms; /* after the last step */
};

static void
run_step (struct ds_evacuations *set, const struct step *step)
{
  struct ds_evacuation_report report
      = { .zone = ZONE, .revision = step->revision, .age_ms = step->asked_ms };

  switch (step->kind)
    {
    case LIST_EMPTY:
      ds_evacuations_begin_list (set);
      ds_evacuations_end_list (set, step->now_ms);
      ds_evacuations_apply (set, step->revision, step->asked_ms, step->now_ms);
      break;
    case LIST_PART:
      ds_evacuations_begin_list (set);
      ds_evacuations_end_incomplete_list (set);
      ds_evacuations_apply (set, step->revision, step->asked_ms, step->now_ms);
      break;
    case PUT:
      (void)ds_evacuations_put (set, ZONE, step->revision);
      break;
    case DELETE:
      (void)ds_evacuations_remove (set, ZONE, step->now_ms);
      break;
    case APPLY:
      ds_evacuations_apply (set, step->revision, step->asked_ms, step->now_ms);
      break;
    case ERA:
      ds_evacuations_begin_era (set, step->now_ms + 2200);
      break;
    case REPORT:
      (void)ds_evacuations_report (set, &report, step->now_ms);
      break;
    case WAIT:
      break;
    }
  ds_evacuations_expire (set, step->now_ms);
}

/* Each replay is a failure: a zone that is still used or still avoided.  */
static const struct replay replays[] = {
  /* Before the first list any zone may be evacuated.  */
  { { { 50000, WAIT, 0, 0, true }, { 50010, LIST_EMPTY, 5, 50000, false } },
    2,
    0 },
  /* Begun and ended by the own watch.  */
  { { { 50000, LIST_EMPTY, 5, 49990, false },
      { 51000, PUT, 6, 0, true },
      { 51000, APPLY, 6, 50000, true },
      { 90000, DELETE, 7, 0, false },
      { 90000, APPLY, 7, 51000, false } },
    5,
    90000 },
  /* Deleted while the host was cut off: the list after it has none.  */
  { { { 50000, LIST_EMPTY, 5, 49990, false },
      { 51000, PUT, 6, 0, true },
      { 95000, LIST_EMPTY, 9, 94990, false } },
    3,
    95000 },
  /* A list that cannot be read to its end: none has ended.  */
  { { { 50000, LIST_PART, 5, 49990, false },
      { 51000, PUT, 6, 0, true },
      { 95000, LIST_PART, 9, 94990, true },
      { 96000, LIST_EMPTY, 10, 95990, false } },
    4,
    96000 },
  /* Cut off from the store: reported, confirmed again, and ended 30 s after
     the store last confirmed it to any host.  */
  { { { 50000, LIST_EMPTY, 5, 49990, false },
      { 52000, REPORT, 6, 0, true },
      { 60000, REPORT, 6, 2000, true },
      { 87999, WAIT, 0, 0, true },
      { 88000, WAIT, 0, 0, false } },
    5,
    88000 },
  /* A report that is older than the host's own watch, or too old.  */
  { { { 50000, LIST_EMPTY, 8, 49990, false },
      { 52000, REPORT, 6, 0, false },
      { 52000, REPORT, 8, 0, false },
      { 52000, REPORT, 9, 30000, false } },
    4,
    0 },
  /* The own watch comes as far and shows that it has ended.  */
  { { { 50000, LIST_EMPTY, 5, 49990, false },
      { 52000, REPORT, 6, 0, true },
      { 53000, APPLY, 7, 51000, false } },
    3,
    53000 },
  /* The own watch comes as far and shows it as well.  */
  { { { 50000, LIST_EMPTY, 5, 49990, false },
      { 52000, REPORT, 6, 0, true },
      { 52100, PUT, 6, 0, true },
      { 52100, APPLY, 6, 51000, true },
      { 99000, WAIT, 0, 0, true } },
    5,
    0 },
  /* A wrong report: a response to a call from before it says nothing, one to a
     later call ends it, and none is believed for 10 s.  */
  { { { 50000, LIST_EMPTY, 5, 49990, false },
      { 52000, REPORT, 99, 0, true },
      { 52100, APPLY, 5, 51000, true },
      { 52200, REPORT, 99, 0, true },
      { 52500, APPLY, 5, 52100, false },
      { 52600, REPORT, 99, 0, false },
      { 62499, REPORT, 100, 0, false },
      { 62500, REPORT, 100, 0, true } },
    8,
    0 },
  /* Lost by the store and not written again in time.  */
  { { { 50000, PUT, 60, 0, true },
      { 50000, LIST_EMPTY, 61, 49990, false },
      { 51000, PUT, 62, 0, true },
      { 52000, ERA, 0, 0, true },
      { 52100, LIST_EMPTY, 40, 52050, true },
      { 54199, WAIT, 0, 0, true },
      { 54200, WAIT, 0, 0, false } },
    7,
    54200 },
  /* Lost and written again with a revision that is lower than before.  */
  { { { 50000, LIST_EMPTY, 61, 49990, false },
      { 51000, PUT, 62, 0, true },
      { 52000, ERA, 0, 0, true },
      { 52100, LIST_EMPTY, 40, 52050, true },
      { 53000, PUT, 41, 0, true },
      { 53000, APPLY, 41, 52100, true },
      { 55000, WAIT, 0, 0, true },
      { 56000, DELETE, 42, 0, false } },
    8,
    56000 },
  /* Cut off: what was reported stays until the report expires, and reports of
     the new era count though their revisions are lower.  */
  { { { 50000, LIST_EMPTY, 61, 49990, false },
      { 51000, REPORT, 62, 0, true },
      { 52000, ERA, 0, 0, true },
      { 60000, REPORT, 41, 0, true },
      { 89999, WAIT, 0, 0, true },
      { 90000, WAIT, 0, 0, false } },
    6,
    90000 },
};

START_TEST (zones_are_evacuated_as_the_store_and_reports_say)
{
  const struct replay *replay = &replays[_i];
  struct ds_evacuations *set;

  ck_assert_int_eq (ds_evacuations_new (&set, NULL), 0);
  for (size_t i = 0; i < replay->count; i++)
    {
      run_step (set, &replay->steps[i]);
      ck_assert_msg (ds_evacuations_cover (set, ZONE)
                         == replay->steps[i].covered,
                     "replay %d, step %zu", _i, i);
    }
  ck_assert_uint_eq (ds_evacuations_ended_ms (set, ZONE), replay->ended_ms);
  talloc_free (set);
}
END_TEST

/* Guards against two hosts that keep a zone evacuated by telling each other of
   it after the host that knew it from the store has gone.  */
START_TEST (hosts_do_not_keep_a_report_alive_among_themselves)
{
  struct ds_evacuations *hosts[2];
  struct ds_evacuation_report reports[DS_EVACUATION_REPORTS_MAX];
  struct ds_evacuation_report first = { .zone = ZONE, .revision = 6 };

  for (int i = 0; i < 2; i++)
    {
      ck_assert_int_eq (ds_evacuations_new (&hosts[i], NULL), 0);
      ds_evacuations_end_list (hosts[i], 50000);
    }
  ck_assert (ds_evacuations_report (hosts[0], &first, 50000));
  for (uint64_t now_ms = 50000; now_ms < 80000; now_ms += 200)
    for (int i = 0; i < 2; i++)
      {
        ck_assert_uint_eq (
            ds_evacuations_list_reports (hosts[i], reports, now_ms), 1);
        (void)ds_evacuations_report (hosts[1 - i], reports, now_ms);
        ck_assert (ds_evacuations_cover (hosts[1 - i], ZONE));
      }
  for (int i = 0; i < 2; i++)
    {
      ds_evacuations_expire (hosts[i], 80000);
      ck_assert (!ds_evacuations_cover (hosts[i], ZONE));
      ck_assert_uint_eq (
          ds_evacuations_list_reports (hosts[i], reports, 80000), 0);
      talloc_free (hosts[i]);
    }
}
END_TEST

/* Guards against a host that passes on what it knew from the store long ago,
   and against unbounded memory for the reports of a wrong host.  */
START_TEST (what_is_passed_on_is_recent_and_bounded)
{
  struct ds_evacuations *set;
  struct ds_evacuation_report reports[DS_EVACUATION_REPORTS_MAX];
  char name[16];

  ck_assert_int_eq (ds_evacuations_new (&set, NULL), 0);
  (void)ds_evacuations_put (set, ZONE, 6);
  ds_evacuations_end_list (set, 50000);
  ds_evacuations_apply (set, 6, 49990, 50000);
  ck_assert_uint_eq (ds_evacuations_list_reports (set, reports, 60000), 1);
  ck_assert_uint_eq (reports[0].revision, 6);
  ck_assert_uint_eq (reports[0].age_ms, 10000);
  ck_assert_uint_eq (ds_evacuations_list_reports (set, reports, 80000), 0);
  ck_assert (ds_evacuations_cover (set, ZONE));
  for (int i = 0; i < 1000; i++)
    {
      struct ds_evacuation_report report = { .revision = 7 };

      (void)sprintf (name, "zone-%d", i);
      report.zone = ds_str_from_c (name);
      (void)ds_evacuations_report (set, &report, 60000);
    }
  ck_assert_uint_le (ds_evacuations_count (set), 64);
  ck_assert_uint_eq (ds_evacuations_list_reports (set, reports, 60000),
                     DS_EVACUATION_REPORTS_MAX);
  talloc_free (set);
}
END_TEST

/* Guards against entries of another writer that keep an evacuation from other
   hosts, or make the datagrams to them too long.  */
START_TEST (names_that_no_zone_has_are_not_passed_on)
{
  static char long_name[20000];
  struct ds_evacuations *set;
  struct ds_evacuation_report reports[DS_EVACUATION_REPORTS_MAX];

  ck_assert_int_eq (ds_evacuations_new (&set, NULL), 0);
  memset (long_name, 'n', sizeof long_name);
  (void)ds_evacuations_put (
      set, (struct ds_str){ .data = long_name, .length = sizeof long_name },
      6);
  for (int i = 0; i < DS_EVACUATION_REPORTS_MAX; i++)
    {
      char name[] = "a&+#% ?";

      name[6] = (char)(i + 1);
      (void)ds_evacuations_put (set, ds_str_from_c (name), 6);
    }
  (void)ds_evacuations_put (set, ZONE, 6);
  ds_evacuations_end_list (set, 50000);
  ds_evacuations_apply (set, 6, 49990, 50000);
  ck_assert_uint_eq (ds_evacuations_list_reports (set, reports, 60000), 1);
  ck_assert (ds_str_equal (reports[0].zone, ZONE));
  talloc_free (set);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("evacuation");
  TCase *test_case = tcase_create ("evacuation");
  SRunner *runner;
  int failed;

  tcase_add_loop_test (test_case,
                       zones_are_evacuated_as_the_store_and_reports_say, 0,
                       sizeof replays / sizeof replays[0]);
  tcase_add_test (test_case,
                  hosts_do_not_keep_a_report_alive_among_themselves);
  tcase_add_test (test_case, what_is_passed_on_is_recent_and_bounded);
  tcase_add_test (test_case, names_that_no_zone_has_are_not_passed_on);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
