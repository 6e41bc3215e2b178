#include "core/host_memory.h"

#include <check.h>
#include <stdlib.h>

#define MB ((uint64_t)1024 * 1024)
#define READ_BYTES 16384

static struct ds_host_memory memory;

static void
set_up (void)
{
  ds_host_memory_init (&memory, 88 * MB);
}

/* Guards against shares that leave the process too little: 27 MB is the most
   that a host has taken on the users' days.  */
START_TEST (shares_leave_room_for_the_process)
{
  ck_assert_uint_le (memory.bodies.bytes + memory.unsent_max + memory.held_max
                         + memory.heads_max
                         + memory.requests_max * (uint64_t)16384,
                     (88 - 27) * MB);
}
END_TEST

/* Guards against unsent bytes for slow callers that add up: as many responses
   as the share allows at their least, each with one read more.  */
START_TEST (slow_callers_stay_within_their_share)
{
  int callers = 0;

  while (memory.unsent < memory.unsent_max)
    {
      memory.unsent += ds_host_memory_unsent_limit (&memory);
      callers++;
    }
  ck_assert_int_ge (callers, 50);
  ck_assert_uint_le (memory.unsent, memory.unsent_max + READ_BYTES);
  ck_assert_uint_eq (ds_host_memory_unsent_limit (&memory), 4096);
  memory.unsent = 0;
  ck_assert_uint_eq (ds_host_memory_unsent_limit (&memory), 131072);
}
END_TEST

/* Guards against responses held for a retry that add up.  */
START_TEST (held_responses_stay_within_their_share)
{
  while (ds_host_memory_held_limit (&memory) > 4096)
    memory.held += ds_host_memory_held_limit (&memory);
  ck_assert_uint_le (memory.held, memory.held_max);
  ck_assert_uint_gt (memory.held, memory.held_max - (uint64_t)2 * 65536);
}
END_TEST

/* Guards against long heads that add up, and against ordinary ones that are
   refused for them.  */
START_TEST (long_heads_stay_within_their_share)
{
  int heads = 0;

  while (memory.heads += READ_BYTES,
         ds_host_memory_admits_head (&memory, READ_BYTES))
    heads++;
  ck_assert_uint_eq ((uint64_t)heads, memory.heads_max / READ_BYTES);
  ck_assert (ds_host_memory_admits_head (&memory, 3000));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("host_memory");
  TCase *test_case = tcase_create ("host_memory");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, NULL);
  tcase_add_test (test_case, shares_leave_room_for_the_process);
  tcase_add_test (test_case, slow_callers_stay_within_their_share);
  tcase_add_test (test_case, held_responses_stay_within_their_share);
  tcase_add_test (test_case, long_heads_stay_within_their_share);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
