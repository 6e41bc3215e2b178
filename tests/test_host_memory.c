#include "core/host_memory.h"

#include <check.h>
#include <stdlib.h>

#define MB ((uint64_t)1024 * 1024)
#define READ_BYTES 16384

static struct ds_host_memory memory;

static void
set_up (void)
{
  ds_host_memory_init (&memory, 88);
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

/* Guards against socket buffers that are too small for one caller on a fast
   link (200 Mbit/s over 4 ms, unsent bytes beside those in flight), and
   against those of many callers that add up.  */
START_TEST (socket_buffers_depend_on_the_requests_in_progress)
{
  ck_assert_uint_ge (ds_host_memory_socket_buffer (&memory),
                     UINT64_C (200000));
  for (int i = 0; i < 100; i++)
    {
      uint64_t all;

      memory.requests++;
      all = memory.requests * ds_host_memory_socket_buffer (&memory);
      ck_assert_uint_le (2 * all, memory.unsent_max);
    }
  ck_assert_uint_eq (ds_host_memory_socket_buffer (&memory), 32768);
}
END_TEST

/* Guards against closing connections while the share lasts, and against
   keeping them until the machine is out of memory.  */
START_TEST (slow_callers_go_once_the_share_is_used_up)
{
  memory.unsent = memory.unsent_max / 2;
  memory.unread = memory.unsent_max / 2;
  ck_assert_int_eq (ds_host_memory_excess (&memory), DS_HOST_MEMORY_WITHIN);
  memory.unread += memory.unsent_max;
  ck_assert_int_eq (ds_host_memory_excess (&memory), DS_HOST_MEMORY_ABOVE);
  memory.unread += 2;
  ck_assert_int_eq (ds_host_memory_excess (&memory), DS_HOST_MEMORY_FAR_ABOVE);
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

/* Guards against long events that add up, and against one that is refused for
   what it holds itself.  */
START_TEST (held_events_stay_within_their_share)
{
  const size_t most = memory.held_max / 4;

  for (int i = 0; i < 4; i++)
    {
      ck_assert_uint_eq (ds_host_memory_event_limit (&memory, 0, most), most);
      memory.held += most;
    }
  ck_assert_uint_le (ds_host_memory_event_limit (&memory, 0, most), 65536);
  ck_assert_uint_eq (ds_host_memory_event_limit (&memory, most, most), most);
  ck_assert_uint_eq (ds_host_memory_event_limit (&memory, 0, 100), 100);
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
  tcase_add_test (test_case,
                  socket_buffers_depend_on_the_requests_in_progress);
  tcase_add_test (test_case, slow_callers_go_once_the_share_is_used_up);
  tcase_add_test (test_case, held_responses_stay_within_their_share);
  tcase_add_test (test_case, held_events_stay_within_their_share);
  tcase_add_test (test_case, long_heads_stay_within_their_share);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
