#include "support/model.h"

#include <check.h>
#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

#define THREADS 8
#define FAILURE_BYTES 256
/* Maximum number of replays to shorten the schedule of one failure.  */
#define SHRINK_REPLAYS 3000

/* A range of seeds for one thread, with its first failing seed.  */
struct run
{
  struct model_options options;
  uint64_t first_seed;
  uint64_t seeds;
  int steps;
  uint64_t failed_seed;
  uint64_t failures;
  char failure[FAILURE_BYTES];
  struct model_totals totals;
};

static void
add_totals (struct model_totals *sum, struct model_totals part)
{
  sum->arrived += part.arrived;
  sum->dispatched += part.dispatched;
  sum->refused += part.refused;
  sum->bills += part.bills;
  sum->recoveries += part.recoveries;
  sum->lost_recoveries += part.lost_recoveries;
  sum->archives += part.archives;
}

static void
run_seed (struct run *run, uint64_t seed)
{
  struct model_options options = run->options;
  struct model *model;

  options.seed = seed;
  model = model_new (&options);
  for (int i = 0; i < run->steps && model_failure (model) == NULL; i++)
    model_random_step (model);
  if (model_failure (model) == NULL)
    model_finish_and_check (model);
  if (model_failure (model) != NULL && run->failures++ == 0)
    {
      run->failed_seed = seed;
      (void)snprintf (run->failure, sizeof run->failure, "%s",
                      model_failure (model));
    }
  add_totals (&run->totals, model_totals (model));
  model_free (model);
}

static void *
run_seeds (void *argument)
{
  struct run *run = argument;

  for (uint64_t i = 0; i < run->seeds; i++)
    run_seed (run, run->first_seed + i);
  return NULL;
}

/* Runs SEEDS schedules on several threads and returns the combined result.  */
static struct run
run_all (const struct model_options *options, uint64_t seeds, int steps)
{
  struct run runs[THREADS];
  pthread_t threads[THREADS];
  struct run result = { .options = *options, .steps = steps };

  for (int i = 0; i < THREADS; i++)
    {
      runs[i] = (struct run){
        .options = *options,
        .first_seed = 1 + (uint64_t)i * (seeds / THREADS),
        .seeds = seeds / THREADS,
        .steps = steps,
      };
      pthread_create (&threads[i], NULL, run_seeds, &runs[i]);
    }
  for (int i = 0; i < THREADS; i++)
    {
      pthread_join (threads[i], NULL);
      if (runs[i].failures > 0 && result.failures == 0)
        {
          result.failed_seed = runs[i].failed_seed;
          (void)snprintf (result.failure, sizeof result.failure, "%s",
                          runs[i].failure);
        }
      result.failures += runs[i].failures;
      add_totals (&result.totals, runs[i].totals);
    }
  return result;
}

/* Whether the schedule STEPS violates an invariant.  */
static bool
fails (const struct model_options *options, const GArray *steps)
{
  struct model *model = model_new (options);
  bool failed;

  for (guint i = 0; i < steps->len && model_failure (model) == NULL; i++)
    model_apply_step (model, &g_array_index (steps, struct model_step, i));
  if (model_failure (model) == NULL)
    model_finish_and_check (model);
  failed = model_failure (model) != NULL;
  model_free (model);
  return failed;
}

static GArray *
without (const GArray *steps, guint from, guint count)
{
  GArray *rest = g_array_new (FALSE, FALSE, sizeof (struct model_step));

  for (guint i = 0; i < steps->len; i++)
    if (i < from || i >= from + count)
      g_array_append_val (rest, g_array_index (steps, struct model_step, i));
  return rest;
}

/* Removes steps, first many at a time, while the schedule still fails.  */
static GArray *
shrink (const struct model_options *options, GArray *steps)
{
  int replays = 0;

  for (guint chunk = steps->len / 2; chunk > 0; chunk /= 2)
    for (guint from = 0; from < steps->len && replays < SHRINK_REPLAYS;)
      {
        GArray *shorter = without (steps, from, chunk);

        replays++;
        if (fails (options, shorter))
          {
            g_array_free (steps, TRUE);
            steps = shorter;
          }
        else
          {
            g_array_free (shorter, TRUE);
            from += chunk;
          }
      }
  return steps;
}

/* Prints the shortened schedule of a failing seed in the format of a trace
   file.  */
static void
print_failure (const struct run *run)
{
  struct model_options options = run->options;
  GArray *steps = g_array_new (FALSE, FALSE, sizeof (struct model_step));
  struct model *model;

  options.seed = run->failed_seed;
  model = model_new (&options);
  for (int i = 0; i < run->steps && model_failure (model) == NULL; i++)
    {
      struct model_step step = model_random_step (model);

      g_array_append_val (steps, step);
    }
  model_free (model);
  steps = shrink (&options, steps);
  printf ("seed %lu, %u steps:\n", (unsigned long)run->failed_seed,
          steps->len);
  for (guint i = 0; i < steps->len; i++)
    {
      char line[96];

      model_step_print (&g_array_index (steps, struct model_step, i), line,
                        sizeof line);
      printf ("  %s\n", line);
    }
  (void)fflush (stdout);
  g_array_free (steps, TRUE);
}

static void
print_totals (const char *name, const struct run *run)
{
  printf ("%s: %lu arrived, %lu dispatched, %lu refused, %lu bills, "
          "%lu archives, %lu recoveries, %lu requests not recoverable\n",
          name, (unsigned long)run->totals.arrived,
          (unsigned long)run->totals.dispatched,
          (unsigned long)run->totals.refused, (unsigned long)run->totals.bills,
          (unsigned long)run->totals.archives,
          (unsigned long)run->totals.recoveries,
          (unsigned long)run->totals.lost_recoveries);
}

static void
assert_no_failure (const char *name, const struct run *run)
{
  print_totals (name, run);
  if (run->failures > 0)
    print_failure (run);
  ck_assert_msg (run->failures == 0, "%lu seeds fail, seed %lu first: %s",
                 (unsigned long)run->failures, (unsigned long)run->failed_seed,
                 run->failure);
  ck_assert (run->totals.dispatched > 0 && run->totals.recoveries > 0);
}

static struct model_options
all_faults (void)
{
  struct model_options options = MODEL_OPTIONS_DEFAULT;

  options.crash = 4;
  options.pause = 8;
  options.cut = 8;
  options.platform_outage = 4;
  options.lost_response_chance = 30;
  return options;
}

static uint64_t
seed_count (void)
{
  const char *text = getenv ("DS_FAULT_SEEDS");

  return text != NULL ? strtoull (text, NULL, 10) : 10000;
}

/* Guards against any order of crashes, pauses, partitions, platform outages
   and lost responses that violates an invariant.  */
START_TEST (invariants_hold_under_random_faults)
{
  struct model_options options = all_faults ();
  struct run run = run_all (&options, seed_count (), 300);

  assert_no_failure ("faults", &run);
}
END_TEST

/* Guards against violated invariants when operators raise and lower a limit
   while hosts draw and some of them are partitioned.  */
START_TEST (invariants_hold_while_operators_change_budgets)
{
  struct model_options options = all_faults ();
  struct run run;

  options.operator_change = 10;
  run = run_all (&options, seed_count () / 4, 300);
  assert_no_failure ("operators", &run);
}
END_TEST

/* Guards against violated invariants with the smallest quorums, when each of
   two hosts is the only backup of the other.  */
START_TEST (invariants_hold_with_few_hosts)
{
  struct model_options options = all_faults ();
  struct run run;

  options.hosts = 3;
  options.budgets = 1;
  options.pages = 1;
  run = run_all (&options, seed_count () / 4, 300);
  assert_no_failure ("three hosts", &run);
}
END_TEST

/* Guards against bills that are lost or duplicated as they move from a page to
   an archive.  */
START_TEST (bills_survive_the_move_to_archives)
{
  struct model_options options = all_faults ();
  struct run run;

  options.budgets = 1;
  options.pages = 1;
  options.prepaid = 1000000;
  options.crash = 1;
  run = run_all (&options, seed_count () / 25, 3000);
  assert_no_failure ("archives", &run);
  ck_assert (run.totals.archives > 0);
}
END_TEST

struct weakness_case
{
  const char *name;
  enum model_weakness weakness;
};

static const struct weakness_case weaknesses[] = {
  { "records count as committed before backups have them", MODEL_EARLY_ACK },
  { "updates ignore the version they are based on",
    MODEL_UNCONDITIONAL_UPDATES },
  { "pages do not keep the number of a writer's last update",
    MODEL_DROP_OPERATION_NUMBERS },
  { "a recovery uses the shortest records", MODEL_SHORTEST_RECORDS },
  { "pages do not keep which settlements they include",
    MODEL_DROP_SETTLED_THROUGH },
};

/* Guards against checks that cannot fail: with one protection disabled, some
   schedule must violate an invariant.  */
START_TEST (a_missing_protection_is_noticed)
{
  const struct weakness_case *each = &weaknesses[_i];
  struct model_options options = all_faults ();
  struct run run;

  options.weakness = each->weakness;
  run = run_all (&options, 4000, 300);
  printf ("%s: %lu of 4000 seeds fail, for example: %s\n", each->name,
          (unsigned long)run.failures, run.failure);
  ck_assert_msg (run.failures > 0, "no violation found although %s",
                 each->name);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("core_faults");
  TCase *test_case = tcase_create ("core_faults");
  SRunner *runner;
  int failed;

  tcase_set_timeout (test_case, 280);
  tcase_add_test (test_case, invariants_hold_under_random_faults);
  tcase_add_test (test_case, invariants_hold_while_operators_change_budgets);
  tcase_add_test (test_case, invariants_hold_with_few_hosts);
  tcase_add_test (test_case, bills_survive_the_move_to_archives);
  tcase_add_loop_test (test_case, a_missing_protection_is_noticed, 0,
                       (int)G_N_ELEMENTS (weaknesses));
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
