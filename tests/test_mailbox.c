#include "io/mailbox.h"

#include <check.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>

enum
{
  THREADS = 4,
  POSTS = 20000
};

/* Counters of the owner thread.  */
struct owner_state
{
  size_t handled;
  size_t destroyed;
  uint64_t last[THREADS];
  struct ds_mailbox *mailbox;
};

struct payload
{
  struct owner_state *owner_state;
  size_t thread;
  uint64_t number;
};

static TALLOC_CTX *root;
static struct tevent_context *events;
static struct ds_mailbox *mailbox;
static struct owner_state owner_state;

static void
open_mailbox (size_t capacity)
{
  struct ds_mailbox_options options = DS_MAILBOX_OPTIONS_DEFAULT;

  options.capacity = capacity;
  options.owner_context = &owner_state;
  ck_assert_int_eq (ds_mailbox_new (&mailbox, root, events, &options, NULL),
                    0);
  owner_state = (struct owner_state){ .mailbox = mailbox };
}

static void
set_up (void)
{
  root = talloc_new (NULL);
  events = tevent_context_init (root);
  ck_assert_ptr_nonnull (events);
}

static void
tear_down (void)
{
  talloc_free (root);
}

static void
handle (void *data, void *owner_context)
{
  struct payload *payload = data;
  struct owner_state *owner = owner_context;

  ck_assert_uint_eq (payload->number, owner->last[payload->thread] + 1);
  owner->last[payload->thread]++;
  owner->handled++;
}

static void
destroy (void *data)
{
  struct payload *payload = data;

  payload->owner_state->destroyed++;
  free (payload);
}

static int
post (size_t thread, uint64_t number)
{
  struct payload *payload = malloc (sizeof *payload);
  struct ds_mailbox_message message
      = { .handle = handle, .destroy = destroy, .payload = payload };
  int result;

  if (payload == NULL)
    return DS_ENOMEM;
  *payload = (struct payload){
    .owner_state = &owner_state,
    .thread = thread,
    .number = number,
  };
  result = ds_mailbox_post (mailbox, &message);
  if (result != 0)
    free (payload);
  return result;
}

static void *
post_all (void *data)
{
  size_t thread = (size_t)(uintptr_t)data;

  for (uint64_t number = 1; number <= POSTS; number++)
    while (post (thread, number) == DS_ELIMIT)
      sched_yield ();
  return NULL;
}

/* Guards against lost, repeated or reordered messages, against a wake-up lost
   between the last message and the next poll, and, with tsan, against data
   races.  */
START_TEST (handles_posts_of_several_threads)
{
  pthread_t threads[THREADS];

  open_mailbox (100);
  for (size_t i = 0; i < THREADS; i++)
    ck_assert_int_eq (
        pthread_create (&threads[i], NULL, post_all, (void *)(uintptr_t)i), 0);
  while (owner_state.handled < (size_t)THREADS * POSTS)
    ck_assert_int_eq (tevent_loop_once (events), 0);
  for (size_t i = 0; i < THREADS; i++)
    pthread_join (threads[i], NULL);
  ck_assert_uint_eq (owner_state.destroyed, owner_state.handled);
}
END_TEST

START_TEST (handles_a_batch_in_one_iteration)
{
  open_mailbox (100);
  for (uint64_t number = 1; number <= 50; number++)
    ck_assert_int_eq (post (0, number), 0);
  ck_assert_int_eq (tevent_loop_once (events), 0);
  ck_assert_uint_eq (owner_state.handled, 50);
}
END_TEST

/* Guards against unbounded memory use when the owner thread is too slow.  */
START_TEST (refuses_posts_when_full)
{
  open_mailbox (3);
  for (uint64_t number = 1; number <= 3; number++)
    ck_assert_int_eq (post (0, number), 0);
  ck_assert_int_eq (post (0, 4), DS_ELIMIT);
  ck_assert_int_eq (tevent_loop_once (events), 0);
  ck_assert_uint_eq (owner_state.handled, 3);
  ck_assert_int_eq (post (0, 4), 0);
}
END_TEST

START_TEST (closed_mailbox_handles_queued_messages)
{
  open_mailbox (3);
  ck_assert_int_eq (post (0, 1), 0);
  ds_mailbox_close (mailbox);
  ck_assert_int_eq (post (0, 2), DS_EUNAVAILABLE);
  ck_assert_int_eq (tevent_loop_once (events), 0);
  ck_assert_uint_eq (owner_state.handled, 1);
}
END_TEST

/* Guards against leaked payloads (detected with asan) and against handlers
   that run while their owner is being freed.  */
START_TEST (free_destroys_queued_payloads)
{
  open_mailbox (3);
  ck_assert_int_eq (post (0, 1), 0);
  ck_assert_int_eq (post (0, 2), 0);
  ds_mailbox_free (mailbox);
  ck_assert_uint_eq (owner_state.handled, 0);
  ck_assert_uint_eq (owner_state.destroyed, 2);
}
END_TEST

static void
post_again (void *data, void *owner_context)
{
  struct owner_state *owner = owner_context;
  struct ds_mailbox_message message = { .handle = post_again };

  (void)data;
  owner->handled++;
  ck_assert_int_eq (ds_mailbox_post (owner->mailbox, &message), 0);
}

/* Guards against a deadlock when a handler posts to its own mailbox, and
   against starving other events.  */
START_TEST (post_from_a_handler_is_handled_in_the_next_iteration)
{
  struct ds_mailbox_message message = { .handle = post_again };

  open_mailbox (3);
  ck_assert_int_eq (ds_mailbox_post (mailbox, &message), 0);
  for (size_t i = 1; i <= 3; i++)
    {
      ck_assert_int_eq (tevent_loop_once (events), 0);
      ck_assert_uint_eq (owner_state.handled, i);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("mailbox");
  TCase *test_case = tcase_create ("mailbox");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_set_timeout (test_case, 60);
  tcase_add_test (test_case, handles_posts_of_several_threads);
  tcase_add_test (test_case, handles_a_batch_in_one_iteration);
  tcase_add_test (test_case, refuses_posts_when_full);
  tcase_add_test (test_case, closed_mailbox_handles_queued_messages);
  tcase_add_test (test_case, free_destroys_queued_payloads);
  tcase_add_test (test_case,
                  post_from_a_handler_is_handled_in_the_next_iteration);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
