#include "core/body_pool.h"

#include <check.h>
#include <stdlib.h>

#define MB ((uint64_t)1000000)
/* 24 MB for large bodies and 8 MB for small ones.  */
#define POOL_BYTES (32 * MB)
#define LARGE_BYTES (4 * MB)
#define LARGE_MAX 6
#define FIRST_STEP_BYTES 65536
/* Bodies of 100,000 bytes that fill the pool.  */
#define SMALL_MAX 320

static struct ds_body_pool pool;

static void
set_up (void)
{
  ds_body_pool_init (&pool, POOL_BYTES);
}

static uint64_t
held (void)
{
  return pool.small_held + pool.large_held;
}

static enum ds_body_verdict
request (struct ds_body_share *share, uint64_t bytes)
{
  return ds_body_pool_request (&pool, share, bytes, 1000, 500);
}

/* Guards against a host that holds as many bodies as callers send at once.  */
START_TEST (bodies_beyond_the_pool_wait)
{
  struct ds_body_share shares[30] = { { .held = 0 } };

  for (int i = 0; i < 30; i++)
    {
      ck_assert_int_eq (request (&shares[i], LARGE_BYTES),
                        i < LARGE_MAX ? DS_BODY_ADMITTED : DS_BODY_WAITS);
      ck_assert_uint_le (held (), POOL_BYTES);
    }
  ck_assert_uint_eq (held (), LARGE_MAX * LARGE_BYTES);
}
END_TEST

/* Guards against waiting connections without a bound: each holds its socket's
   buffer.  */
START_TEST (bodies_beyond_the_queue_are_refused)
{
  struct ds_body_share shares[200] = { { .held = 0 } };
  int refused = 0;

  for (int i = 0; i < 200; i++)
    refused += request (&shares[i], LARGE_BYTES) == DS_BODY_REFUSED;
  ck_assert_uint_eq (pool.waiting, pool.waiting_max);
  ck_assert_uint_eq ((size_t)refused, 200 - LARGE_MAX - pool.waiting_max);
}
END_TEST

/* Guards against the starvation of an upload by others that came later.  */
START_TEST (large_bodies_are_admitted_in_order)
{
  struct ds_body_share shares[LARGE_MAX + 2] = { { .held = 0 } };
  enum ds_body_verdict verdict;

  for (int i = 0; i < LARGE_MAX + 2; i++)
    (void)request (&shares[i], LARGE_BYTES);
  ck_assert_ptr_null (ds_body_pool_take (&pool, 1100, &verdict));
  ds_body_pool_release (&pool, &shares[3]);
  ck_assert_ptr_eq (ds_body_pool_take (&pool, 1100, &verdict),
                    &shares[LARGE_MAX]);
  ck_assert_int_eq (verdict, DS_BODY_ADMITTED);
  ck_assert_uint_eq (shares[LARGE_MAX].held, LARGE_BYTES);
  ck_assert_ptr_null (ds_body_pool_take (&pool, 1100, &verdict));
  /* One that is less than what is free does not pass it.  */
  ds_body_pool_release (&pool, &shares[0]);
  ck_assert_int_eq (request (&shares[0], LARGE_BYTES / 2), DS_BODY_WAITS);
  ck_assert_ptr_eq (ds_body_pool_take (&pool, 1100, &verdict),
                    &shares[LARGE_MAX + 1]);
}
END_TEST

/* Guards against ordinary calls that wait behind uploads.  */
START_TEST (small_bodies_pass_large_ones)
{
  struct ds_body_share large[LARGE_MAX + 10] = { { .held = 0 } };
  struct ds_body_share small[80] = { { .held = 0 } };

  for (int i = 0; i < LARGE_MAX + 10; i++)
    (void)request (&large[i], LARGE_BYTES);
  for (int i = 0; i < 80; i++)
    ck_assert_int_eq (request (&small[i], MB / 10), DS_BODY_ADMITTED);
  ck_assert_uint_eq (held (), POOL_BYTES);
  ck_assert_int_eq (request (&large[0], LARGE_BYTES), DS_BODY_WAITS);
}
END_TEST

/* Guards against small bodies that wait while the memory for large ones is
   free.  */
START_TEST (small_bodies_use_all_of_an_idle_pool)
{
  struct ds_body_share small[SMALL_MAX] = { { .held = 0 } };
  struct ds_body_share last = { .held = 0 };

  for (size_t i = 0; i < SMALL_MAX; i++)
    ck_assert_int_eq (request (&small[i], 100000), DS_BODY_ADMITTED);
  ck_assert_int_eq (request (&last, 100000), DS_BODY_WAITS);
}
END_TEST

/* Guards against a caller that is held until it gives up.  */
START_TEST (a_wait_ends_with_a_refusal)
{
  struct ds_body_share shares[LARGE_MAX + 1] = { { .held = 0 } };
  struct ds_body_share *waiting = &shares[LARGE_MAX];
  enum ds_body_verdict verdict;

  for (int i = 0; i <= LARGE_MAX; i++)
    (void)request (&shares[i], LARGE_BYTES);
  ck_assert_ptr_null (ds_body_pool_take (&pool, 1499, &verdict));
  ck_assert_ptr_eq (ds_body_pool_take (&pool, 1500, &verdict), waiting);
  ck_assert_int_eq (verdict, DS_BODY_REFUSED);
  ck_assert_uint_eq (pool.waiting, 0);
  ck_assert_uint_eq (waiting->held, 0);
  /* Without time to wait, it is refused at once.  */
  ck_assert_int_eq (
      ds_body_pool_request (&pool, waiting, LARGE_BYTES, 1500, 0),
      DS_BODY_REFUSED);
}
END_TEST

/* Guards against a body that waits for what the pool never has.  */
START_TEST (a_body_above_the_pool_is_refused)
{
  struct ds_body_share share = { .held = 0 };

  ck_assert_int_eq (request (&share, POOL_BYTES), DS_BODY_REFUSED);
  ck_assert_int_eq (request (&share, 24 * MB), DS_BODY_ADMITTED);
}
END_TEST

/* Guards against a pool that shrinks as callers give up.  */
START_TEST (a_caller_that_gives_up_frees_its_share)
{
  struct ds_body_share shares[LARGE_MAX + 3] = { { .held = 0 } };
  enum ds_body_verdict verdict;

  for (int i = 0; i < LARGE_MAX + 3; i++)
    (void)request (&shares[i], LARGE_BYTES);
  ds_body_pool_release (&pool, &shares[LARGE_MAX + 1]); /* waits */
  ck_assert_uint_eq (pool.waiting, 2);
  ds_body_pool_release (&pool, &shares[0]);
  ds_body_pool_release (&pool, &shares[1]);
  ck_assert_ptr_eq (ds_body_pool_take (&pool, 1001, &verdict),
                    &shares[LARGE_MAX]);
  ck_assert_ptr_eq (ds_body_pool_take (&pool, 1001, &verdict),
                    &shares[LARGE_MAX + 2]);
  for (int i = 0; i < LARGE_MAX + 3; i++)
    ds_body_pool_release (&pool, &shares[i]);
  ck_assert_uint_eq (held (), 0);
  ck_assert_uint_eq (pool.growing_held, 0);
}
END_TEST

/* Guards against half-read bodies of unknown length that hold all memory and
   wait for each other.  */
START_TEST (one_growing_body_can_always_finish)
{
  struct ds_body_share shares[200] = { { .held = 0 } };
  enum ds_body_verdict verdict;
  int begun = 0;
  int finished = 0;

  for (int i = 0; i < 200; i++)
    {
      shares[i].grows = true;
      begun += request (&shares[i], FIRST_STEP_BYTES) == DS_BODY_ADMITTED;
    }
  ck_assert_uint_eq ((size_t)begun, POOL_BYTES / 4 / FIRST_STEP_BYTES);
  for (int i = begun; i < 200; i++)
    ds_body_pool_release (&pool, &shares[i]);
  for (int i = 0; i < begun; i++)
    if (request (&shares[i], LARGE_BYTES) == DS_BODY_REFUSED)
      ds_body_pool_release (&pool, &shares[i]);
  ck_assert_uint_le (held (), POOL_BYTES);
  /* Each one that finishes lets the next in, up to the last.  */
  for (int i = 0; i < begun; i++)
    if (shares[i].held == LARGE_BYTES)
      {
        ds_body_pool_release (&pool, &shares[i]);
        finished++;
        while (ds_body_pool_take (&pool, 1200, &verdict) != NULL)
          ck_assert_int_eq (verdict, DS_BODY_ADMITTED);
        ck_assert_uint_le (held (), POOL_BYTES);
      }
  ck_assert_uint_eq (pool.waiting, 0);
  ck_assert_uint_eq (held (), 0);
  ck_assert_uint_eq ((size_t)finished, LARGE_MAX + pool.waiting_max);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("body_pool");
  TCase *test_case = tcase_create ("body_pool");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, NULL);
  tcase_add_test (test_case, bodies_beyond_the_pool_wait);
  tcase_add_test (test_case, bodies_beyond_the_queue_are_refused);
  tcase_add_test (test_case, large_bodies_are_admitted_in_order);
  tcase_add_test (test_case, small_bodies_pass_large_ones);
  tcase_add_test (test_case, small_bodies_use_all_of_an_idle_pool);
  tcase_add_test (test_case, a_wait_ends_with_a_refusal);
  tcase_add_test (test_case, a_body_above_the_pool_is_refused);
  tcase_add_test (test_case, a_caller_that_gives_up_frees_its_share);
  tcase_add_test (test_case, one_growing_body_can_always_finish);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
