#include "daisystep/fleet.h"
#include "daisystep/shard.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#define SELF 1
#define DEAD 99
#define PAGE 0

static TALLOC_CTX *memory;
static struct ds_fleet *fleet;
static struct ds_shard *shard;
static uint64_t now;

static void
set_up (void)
{
  struct ds_fleet_options options = DS_FLEET_OPTIONS_DEFAULT;
  struct ds_shard_options shard_options = DS_SHARD_OPTIONS_DEFAULT;

  memory = talloc_new (NULL);
  now = 1000;
  options.incarnation = SELF;
  options.host = DS_STR ("riedenburg-1");
  options.zone = DS_STR ("riedenburg");
  options.peer_address = DS_STR ("127.5.0.1:1");
  options.caller_address = DS_STR ("127.5.0.1:2");
  options.suspect_ms = 2000;
  options.second_pass_ms = 30000;
  ck_assert_int_eq (ds_fleet_new (&fleet, NULL, &options), 0);
  shard_options.incarnation = SELF;
  ck_assert_int_eq (ds_shard_new (&shard, NULL, &shard_options), 0);
}

static void
tear_down (void)
{
  ds_fleet_free (fleet);
  ds_shard_free (shard);
  talloc_free (memory);
}

/* Handles EVENT; returns the number of actions of KIND.  */
static size_t
count_actions (const struct ds_fleet_event *event,
               enum ds_fleet_action_kind kind)
{
  struct ds_fleet_actions actions;
  size_t count = 0;

  ck_assert_int_eq (ds_fleet_actions_init (&actions, memory), 0);
  ds_fleet_handle (fleet, event, now, &actions);
  for (size_t i = 0; i < actions.count; i++)
    if (actions.items[i].kind == kind)
      count++;
  ds_fleet_actions_clear (&actions);
  return count;
}

/* Ticks for MS milliseconds; returns the number of seal requests sent.  */
static size_t
count_seals (uint64_t ms)
{
  struct ds_fleet_event tick = { .kind = DS_FLEET_TICK };
  size_t count = 0;

  for (uint64_t end = now + ms; now < end; now += 50)
    count += count_actions (&tick, DS_FLEET_SEND_SEAL);
  return count;
}

static void
deliver_sealed_host (const uint64_t backups[DS_BACKUPS_MAX])
{
  struct ds_host object = {
    .version = 10,
    .incarnation = DEAD,
    .host = DS_STR ("kelheim-1"),
    .zone = DS_STR ("kelheim"),
    .peer_address = DS_STR ("127.5.0.2:1"),
    .caller_address = DS_STR ("127.5.0.2:2"),
    .state = DS_HOST_SEALED,
    .backup_count = DS_BACKUPS_MAX,
  };
  struct ds_fleet_event event
      = { .kind = DS_FLEET_HOST_UPDATED, .host = { .object = &object } };

  for (size_t i = 0; i < DS_BACKUPS_MAX; i++)
    object.backups[i]
        = (struct ds_backup_ref){ .incarnation = backups[i],
                                  .host = DS_STR ("backup"),
                                  .peer_address = DS_STR ("127.5.0.3:1") };
  (void)count_actions (&event, DS_FLEET_CONNECT);
}

/* Guards against a fleet in which every host repeats a recovery that one of
   the backups runs and that only waits for its second pass.  */
START_TEST (a_host_that_is_no_backup_waits_for_the_second_pass)
{
  deliver_sealed_host ((const uint64_t[]){ 2, 3, 4 });
  ck_assert_uint_eq (count_seals (30000 + 10 * 2000 - 100), 0);
  ck_assert_uint_gt (count_seals (500), 0);
}
END_TEST

/* Guards against a recovery that no host takes over when the backup that
   started it dies as well.  */
START_TEST (a_backup_takes_over_a_recovery_early)
{
  deliver_sealed_host ((const uint64_t[]){ 2, SELF, 4 });
  ck_assert_uint_eq (count_seals (2000 + 1000 - 100), 0);
  ck_assert_uint_gt (count_seals (500), 0);
}
END_TEST

struct page_counts
{
  size_t reads;
  size_t writes;
  size_t sealed;
};

static struct page_counts
shard_event (const struct ds_event *event)
{
  struct page_counts counts = { 0 };
  struct ds_actions actions;

  ck_assert_int_eq (ds_actions_init (&actions, memory), 0);
  ds_shard_handle (shard, event, now, &actions);
  for (size_t i = 0; i < actions.count; i++)
    {
      counts.reads += actions.items[i].kind == DS_ACTION_PAGE_READ;
      counts.writes += actions.items[i].kind == DS_ACTION_PAGE_WRITE;
      counts.sealed += actions.items[i].kind == DS_ACTION_HOLDER_SEALED;
    }
  ds_actions_clear (&actions);
  return counts;
}

/* A page in which DEAD has drawn 100 tokens and is sealed if IS_SEALED.  */
static struct ds_ledger *
make_page (bool is_sealed)
{
  struct ds_ledger *ledger;
  struct ds_ledger_op ops[] = {
    { .kind = DS_LEDGER_SET_LIMIT,
      .budget = DS_STR ("barges"),
      .set_limit = { .prepaid = 1000, .budget_version = 1 } },
    { .kind = DS_LEDGER_DRAW,
      .incarnation = DEAD,
      .budget = DS_STR ("barges"),
      .draw = { .wanted = 100, .minimum = 1 } },
    { .kind = DS_LEDGER_SEAL, .incarnation = DEAD },
  };

  ck_assert_int_eq (ds_ledger_new (&ledger, memory), 0);
  ck_assert_int_eq (ds_ledger_record_update (ledger, DEAD, 1), 0);
  for (size_t i = 0; i < (is_sealed ? 3U : 2U); i++)
    ck_assert_int_eq (ds_ledger_apply (ledger, &ops[i]), 0);
  ledger->version = 20;
  return ledger;
}

/* Starts a recovery in the shard and replies to its read with LEDGER.  */
static struct page_counts
recover_page (const struct ds_ledger *ledger)
{
  const struct ds_record records[] = {
    { .sequence = 1,
      .kind = DS_RECORD_RESERVE,
      .id = { { 7 } },
      .budget = DS_STR ("barges"),
      .workspace = DS_STR ("lock-keepers"),
      .offering = DS_STR ("assistant"),
      .tokens = 40 },
  };
  struct ds_event seal = {
    .kind = DS_EVENT_SEAL_HOLDER,
    .seal_holder = { .page = PAGE,
                     .incarnation = DEAD,
                     .records = records,
                     .record_count = 1 },
  };
  struct ds_event tick = { .kind = DS_EVENT_TICK };
  struct ds_event page
      = { .kind = DS_EVENT_PAGE, .page = { .page = PAGE, .ledger = ledger } };

  ck_assert_uint_eq (shard_event (&seal).reads + shard_event (&tick).reads, 1);
  return shard_event (&page);
}

/* Guards against backups that write every page again after another backup has
   recovered the same host.  */
START_TEST (a_page_that_is_sealed_already_is_not_written)
{
  struct page_counts counts = recover_page (make_page (true));

  ck_assert_uint_eq (counts.sealed, 1);
  ck_assert_uint_eq (counts.writes, 0);
}
END_TEST

/* Guards against a seal reported as done before it is in the page.  */
START_TEST (a_page_that_is_not_sealed_is_written)
{
  struct page_counts counts = recover_page (make_page (false));

  ck_assert_uint_eq (counts.sealed, 0);
  ck_assert_uint_eq (counts.writes, 1);
}
END_TEST

/* Opens this host without peers.  */
static void
open_alone (void)
{
  struct ds_fleet_event event = { .kind = DS_FLEET_TICK };
  struct ds_host object = {
    .version = 5,
    .incarnation = SELF,
    .host = DS_STR ("riedenburg-1"),
    .zone = DS_STR ("riedenburg"),
    .peer_address = DS_STR ("127.5.0.1:1"),
    .caller_address = DS_STR ("127.5.0.1:2"),
    .state = DS_HOST_OPEN,
  };

  count_actions (&event, DS_FLEET_PROPOSE_BACKUPS);
  now += 1500;
  ck_assert_uint_eq (count_actions (&event, DS_FLEET_PROPOSE_BACKUPS), 1);
  event = (struct ds_fleet_event){ .kind = DS_FLEET_SHARD_SYNCED };
  ck_assert_uint_eq (count_actions (&event, DS_FLEET_WRITE_HOST), 1);
  event = (struct ds_fleet_event){ .kind = DS_FLEET_HOST_WRITTEN,
                                   .host = { .object = &object } };
  ck_assert_uint_eq (count_actions (&event, DS_FLEET_ADOPT_BACKUPS), 1);
  ck_assert (ds_fleet_is_open (fleet));
}

/* Guards against a host that was paused for so long that its closed Host
   object has been deleted, and goes on as if it had never been recovered.  */
START_TEST (a_host_without_its_object_is_sealed)
{
  struct ds_fleet_event gone
      = { .kind = DS_FLEET_HOST_DELETED, .object = { .incarnation = SELF } };

  open_alone ();
  ck_assert_uint_eq (count_actions (&gone, DS_FLEET_SELF_SEALED), 1);
  ck_assert (!ds_fleet_is_open (fleet));
}
END_TEST

/* Guards against Host objects of closed hosts that are never deleted, or
   deleted while their requests can still be queried.  */
START_TEST (deletes_a_closed_object_after_its_time)
{
  struct ds_fleet_event tick = { .kind = DS_FLEET_TICK };
  struct ds_host object = {
    .version = 10,
    .incarnation = DEAD,
    .host = DS_STR ("kelheim-1"),
    .zone = DS_STR ("kelheim"),
    .peer_address = DS_STR ("127.5.0.2:1"),
    .caller_address = DS_STR ("127.5.0.2:2"),
    .state = DS_HOST_CLOSED,
  };
  struct ds_fleet_event closed
      = { .kind = DS_FLEET_HOST_UPDATED, .host = { .object = &object } };

  open_alone ();
  ck_assert_uint_eq (count_actions (&closed, DS_FLEET_HOST_CLOSED), 1);
  now += (uint64_t)19 * 60 * 1000;
  ck_assert_uint_eq (count_actions (&tick, DS_FLEET_DELETE_HOST), 0);
  now += (uint64_t)2 * 60 * 1000;
  ck_assert_uint_eq (count_actions (&tick, DS_FLEET_DELETE_HOST), 1);
  ck_assert_uint_eq (count_actions (&tick, DS_FLEET_DELETE_HOST), 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("recovery");
  TCase *test_case = tcase_create ("recovery");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_add_test (test_case,
                  a_host_that_is_no_backup_waits_for_the_second_pass);
  tcase_add_test (test_case, a_backup_takes_over_a_recovery_early);
  tcase_add_test (test_case, a_page_that_is_sealed_already_is_not_written);
  tcase_add_test (test_case, a_page_that_is_not_sealed_is_written);
  tcase_add_test (test_case, a_host_without_its_object_is_sealed);
  tcase_add_test (test_case, deletes_a_closed_object_after_its_time);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
