#include "support/model.h"

#include <check.h>
#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Explores a small model of the production decision code breadth first, each
   state once: two holders of a budget, each a backup of the other together
   with a third host, one recovery and one operator.  The steps are every order
   of the messages in flight, a lost platform response, a pause, a resume, a
   crash, a restart and a change of the budget.  A state is reached by
   replaying its steps from the start.  */

#define THREADS 8
#define DELIVERIES_MAX 12
/* Most states, and most steps from the start: both fit in a minute.  */
#define STATES_MAX 60000
#define DEPTH_MAX 24

/* Steps that occur at most once on a path.  */
enum once
{
  ONCE_CRASH = 1,
  ONCE_RESTART = 2,
  ONCE_PAUSE = 4,
  ONCE_DISCONNECT = 8,
  ONCE_RESUME = 16,
  ONCE_LOWER = 32,
  ONCE_RAISE = 64,
  ONCE_LOST_RESPONSE = 128,
  ONCE_ARRIVAL = 256,
  ONCE_END = 512
};

/* A state, as the previous state and the step from there.  */
struct node
{
  struct node *parent;
  struct model_step step;
  unsigned used;
  int depth;
};

struct exploration
{
  struct model_options options;
  size_t states_max;
  pthread_mutex_t lock;
  GQueue *frontier;
  GHashTable *seen;
  GPtrArray *nodes;
  size_t states;
  size_t transitions;
  int deepest;
  int busy;
  char failure[256];
  GString *schedule;
};

static struct model *
start (const struct model_options *options)
{
  struct model *model = model_new (options);
  int first;

  model_run (model, 2500);
  first = model_arrive (model, 0, 0, 100, 80);
  model_run (model, 1000);
  ck_assert (model_is_running (model, first));
  model_arrive (model, 0, 0, 60, 60);
  model_arrive (model, 1, 0, 60, 60);
  return model;
}

static void
replay_to (struct model *model, const struct node *node)
{
  if (node->parent == NULL)
    return;
  replay_to (model, node->parent);
  model_apply_step (model, &node->step);
}

static void
describe (GString *out, const struct node *node)
{
  char line[96];

  if (node->parent == NULL)
    return;
  describe (out, node->parent);
  model_step_print (&node->step, line, sizeof line);
  g_string_append_printf (out, "  %s\n", line);
}

struct choice
{
  struct model_step step;
  unsigned once;
};

static const struct choice choices[] = {
  { { .kind = MODEL_TICK, .a = 0, .b = 100 }, 0 },
  { { .kind = MODEL_TICK, .a = 1, .b = 100 }, 0 },
  { { .kind = MODEL_TICK, .a = 2, .b = 100 }, 0 },
  { { .kind = MODEL_TICK, .a = 1, .b = 4000 }, 0 },
  { { .kind = MODEL_CRASH, .a = 0 }, ONCE_CRASH },
  { { .kind = MODEL_RESTART, .a = 0 }, ONCE_RESTART },
  { { .kind = MODEL_PAUSE, .a = 0 }, ONCE_PAUSE },
  { { .kind = MODEL_DISCONNECT_PAUSED, .a = 0 }, ONCE_DISCONNECT },
  { { .kind = MODEL_RESUME, .a = 0 }, ONCE_RESUME },
  { { .kind = MODEL_PREPAID, .a = 0, .amount = 100 }, ONCE_LOWER },
  { { .kind = MODEL_PREPAID, .a = 0, .amount = 400 }, ONCE_RAISE },
  { { .kind = MODEL_ARRIVE, .a = 1, .b = 0, .amount = 90, .cost = 90 },
    ONCE_ARRIVAL },
  { { .kind = MODEL_END, .a = 0 }, ONCE_END },
};

/* The steps to try in NODE's state.  */
static GArray *
steps_from (const struct exploration *exploration, const struct node *node)
{
  struct model *model = start (&exploration->options);
  GArray *steps = g_array_new (FALSE, FALSE, sizeof (struct choice));
  int deliveries[DELIVERIES_MAX];
  size_t count;

  replay_to (model, node);
  count = model_list_deliverable (model, deliveries, DELIVERIES_MAX);
  for (size_t i = 0; i < count; i++)
    {
      struct choice choice
          = { .step = { .kind = MODEL_DELIVER, .a = deliveries[i] } };

      g_array_append_val (steps, choice);
      choice.step.b = 1;
      choice.once = ONCE_LOST_RESPONSE;
      if ((node->used & ONCE_LOST_RESPONSE) == 0
          && model_is_platform_call (model, deliveries[i]))
        g_array_append_val (steps, choice);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (choices); i++)
    if ((node->used & choices[i].once) == 0)
      g_array_append_val (steps, choices[i]);
  model_free (model);
  return steps;
}

/* Tries one step from NODE.  A new state is added to the frontier, and is run
   until it is idle, where bills and grants have to add up.  */
static void
try_step (struct exploration *exploration, struct node *node,
          const struct choice *choice)
{
  struct model *model = start (&exploration->options);
  struct node *next = g_new (struct node, 1);
  uint64_t digest;
  bool is_new;

  *next = (struct node){ .parent = node,
                         .step = choice->step,
                         .used = node->used | choice->once,
                         .depth = node->depth + 1 };
  replay_to (model, next);
  digest = model_digest (model) ^ (uint64_t)next->used << 48;
  (void)pthread_mutex_lock (&exploration->lock);
  exploration->transitions++;
  is_new = g_hash_table_add (exploration->seen,
                             g_memdup2 (&digest, sizeof digest));
  if (is_new)
    {
      exploration->states++;
      if (next->depth > exploration->deepest)
        exploration->deepest = next->depth;
    }
  (void)pthread_mutex_unlock (&exploration->lock);
  if (is_new && model_failure (model) == NULL)
    model_finish_and_check (model);
  (void)pthread_mutex_lock (&exploration->lock);
  if (model_failure (model) != NULL && exploration->failure[0] == '\0')
    {
      (void)snprintf (exploration->failure, sizeof exploration->failure, "%s",
                      model_failure (model));
      describe (exploration->schedule, next);
    }
  if (is_new && next->depth < DEPTH_MAX)
    {
      g_queue_push_tail (exploration->frontier, next);
      g_ptr_array_add (exploration->nodes, next);
      next = NULL;
    }
  (void)pthread_mutex_unlock (&exploration->lock);
  g_free (next);
  model_free (model);
}

static void *
explore (void *argument)
{
  struct exploration *exploration = argument;

  for (;;)
    {
      struct node *node;
      GArray *steps;

      (void)pthread_mutex_lock (&exploration->lock);
      node = exploration->states < exploration->states_max
                     && exploration->failure[0] == '\0'
                 ? g_queue_pop_head (exploration->frontier)
                 : NULL;
      exploration->busy += node != NULL ? 1 : 0;
      if (node == NULL
          && (exploration->busy == 0
              || exploration->states >= exploration->states_max
              || exploration->failure[0] != '\0'))
        {
          (void)pthread_mutex_unlock (&exploration->lock);
          return NULL;
        }
      (void)pthread_mutex_unlock (&exploration->lock);
      if (node == NULL)
        {
          g_usleep (100);
          continue;
        }
      steps = steps_from (exploration, node);
      for (guint i = 0; i < steps->len; i++)
        try_step (exploration, node, &g_array_index (steps, struct choice, i));
      g_array_free (steps, TRUE);
      (void)pthread_mutex_lock (&exploration->lock);
      exploration->busy--;
      (void)pthread_mutex_unlock (&exploration->lock);
    }
}

static size_t
states_max (void)
{
  const char *text = getenv ("DS_EXPLORE_STATES");

  return text != NULL ? strtoull (text, NULL, 10) : STATES_MAX;
}

static struct exploration *
explore_all (enum model_weakness weakness, size_t limit)
{
  struct exploration *exploration = g_new0 (struct exploration, 1);
  struct node *root = g_new0 (struct node, 1);
  pthread_t threads[THREADS];

  exploration->states_max = limit;
  exploration->options = (struct model_options)MODEL_OPTIONS_DEFAULT;
  exploration->options.seed = 1;
  exploration->options.hosts = 3;
  exploration->options.budgets = 1;
  exploration->options.pages = 1;
  exploration->options.prepaid = 300;
  exploration->options.weakness = weakness;
  (void)pthread_mutex_init (&exploration->lock, NULL);
  exploration->frontier = g_queue_new ();
  exploration->seen
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  exploration->nodes = g_ptr_array_new_with_free_func (g_free);
  exploration->schedule = g_string_new (NULL);
  g_queue_push_tail (exploration->frontier, root);
  g_ptr_array_add (exploration->nodes, root);
  for (int i = 0; i < THREADS; i++)
    pthread_create (&threads[i], NULL, explore, exploration);
  for (int i = 0; i < THREADS; i++)
    pthread_join (threads[i], NULL);
  printf ("%zu states, %zu transitions, depth %d, %u states left in the "
          "frontier\n",
          exploration->states, exploration->transitions, exploration->deepest,
          g_queue_get_length (exploration->frontier));
  return exploration;
}

static void
free_exploration (struct exploration *exploration)
{
  g_queue_free (exploration->frontier);
  g_hash_table_destroy (exploration->seen);
  g_ptr_array_free (exploration->nodes, TRUE);
  g_string_free (exploration->schedule, TRUE);
  (void)pthread_mutex_destroy (&exploration->lock);
  g_free (exploration);
}

/* Guards against failures after a short sequence of events that random
   schedules miss.  */
START_TEST (invariants_hold_in_every_explored_state)
{
  struct exploration *exploration
      = explore_all (MODEL_NO_WEAKNESS, states_max ());

  ck_assert_msg (exploration->failure[0] == '\0', "%s after\n%s",
                 exploration->failure, exploration->schedule->str);
  ck_assert_uint_ge (exploration->states, exploration->states_max);
  free_exploration (exploration);
}
END_TEST

/* Guards against an exploration that never reaches a dispatch: without quorums
   it has to find a violated invariant.  */
START_TEST (a_missing_quorum_is_found)
{
  struct exploration *exploration = explore_all (MODEL_EARLY_ACK, STATES_MAX);

  ck_assert_msg (exploration->failure[0] != '\0',
                 "no violation found without quorums");
  printf ("%s after\n%s", exploration->failure, exploration->schedule->str);
  free_exploration (exploration);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("core_explore");
  TCase *test_case = tcase_create ("core_explore");
  SRunner *runner;
  int failed;

  tcase_set_timeout (test_case, 280);
  tcase_add_test (test_case, invariants_hold_in_every_explored_state);
  tcase_add_test (test_case, a_missing_quorum_is_found);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
