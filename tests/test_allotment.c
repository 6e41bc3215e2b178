#include "core/ledger_page.h"

#include <check.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define HOSTS 6
#define LIMIT 400000
#define STEPS 6000

/* A simulated host, with an update whose outcome it may not know.  */
struct host
{
  struct ds_allotment allotment;
  char name[16];
  uint64_t number;
  uint64_t base_revision;
  json_t *written;
  bool unresolved;
  bool crashed;
  uint64_t running[64];
  size_t running_count;
};

/* The page object in the store, written only if its revision matches.  A write
   without a response may take effect later if the revision still matches.  */
struct store
{
  json_t *page;
  uint64_t revision;
  json_t *late;
  uint64_t late_revision;
};

static TALLOC_CTX *owner;
static const struct ds_allotment_policy policy = { .hold_s = 5,
                                                   .max_fraction = 0.5,
                                                   .initial_fraction = 0.1,
                                                   .minimum = 3000,
                                                   .cushion_s = 1 };

static struct ds_str
writer_name (const struct host *host)
{
  return ds_str_from_c (host->name);
}

static void
store_put (struct store *store, json_t *page)
{
  json_decref (store->page);
  store->page = json_incref (page);
  store->revision++;
}

static void
apply_late_write (struct store *store)
{
  if (store->late != NULL && store->late_revision == store->revision)
    store_put (store, store->late);
  json_decref (store->late);
  store->late = NULL;
}

static struct ds_ledger_page *
read_page (const struct store *store)
{
  struct ds_error error;
  struct ds_ledger_page *page;

  if (store->page == NULL)
    ck_assert_int_eq (ds_ledger_page_new (&page, owner), 0);
  else
    ck_assert_int_eq (
        ds_ledger_page_decode (&page, owner, store->page, &error), 0);
  return page;
}

static void
resolve (struct host *host, const struct store *store)
{
  struct ds_ledger_page *page = read_page (store);

  if (ds_ledger_page_update_number (page, writer_name (host)) == host->number)
    ds_allotment_confirm (&host->allotment);
  else
    ds_allotment_withdraw (&host->allotment);
  ds_allotment_observe (&host->allotment, page, 1);
  host->unresolved = false;
  talloc_free (page);
}

/* One update.  With OUTCOME 0 it gets a response; with 1 it takes effect and
   the response is lost; with 2 it takes effect later or never.  */
static void
update (struct host *host, struct store *store, int outcome)
{
  if (!host->unresolved)
    {
      struct ds_ledger_page *page = read_page (store);

      host->number++;
      ck_assert_int_eq (
          ds_allotment_apply (&host->allotment, page, &policy, false), 0);
      ck_assert_int_eq (ds_ledger_page_set_update_number (
                            page, writer_name (host), host->number),
                        0);
      json_decref (host->written);
      host->written = ds_ledger_page_encode (page);
      host->base_revision = store->revision;
      host->unresolved = true;
      talloc_free (page);
    }
  if (outcome == 2)
    {
      apply_late_write (store);
      store->late = json_incref (host->written);
      store->late_revision = host->base_revision;
      return;
    }
  if (store->revision != host->base_revision)
    {
      if (outcome == 0)
        resolve (host, store);
      return;
    }
  store_put (store, host->written);
  if (outcome == 0)
    resolve (host, store);
}

static void
start_request (struct host *host, uint64_t tokens)
{
  host->allotment.demand_since_tick += tokens;
  if (host->running_count < 64
      && ds_allotment_reserve (&host->allotment, tokens))
    host->running[host->running_count++] = tokens;
}

static uint64_t
end_request (struct host *host)
{
  size_t at = (size_t)rand () % host->running_count;
  uint64_t reserved = host->running[at];
  uint64_t used = reserved - (uint64_t)rand () % (reserved / 2 + 1);

  host->running[at] = host->running[--host->running_count];
  ds_allotment_settle (&host->allotment, reserved, used);
  return used;
}

/* TO requests tokens from FROM, or FROM transfers its surplus; the transfer
   may be lost with its tokens.  */
static void
move_tokens (struct host *from, struct host *to, uint64_t now_ms)
{
  struct ds_token_transfer transfer = { .tokens = 0 };
  uint64_t requested = 1 + (uint64_t)rand () % 9000;

  if (rand () % 2 == 0)
    transfer.tokens
        = ds_allotment_give (&from->allotment, requested,
                             1 + (uint64_t)rand () % requested, now_ms);
  else
    (void)ds_allotment_make_transfer (&from->allotment, &transfer, &policy,
                                      rand () % 10 == 0);
  if (rand () % 20 != 0)
    ds_allotment_receive (&to->allotment, &transfer);
}

static void
check_page (const struct store *store)
{
  struct ds_ledger_page *page = read_page (store);

  for (size_t i = 0; i < page->account_count; i++)
    ck_assert_uint_le (page->accounts[i].settled + page->accounts[i].granted,
                       LIMIT);
  talloc_free (page);
}

static void
run_schedule (unsigned seed)
{
  struct host hosts[HOSTS] = { 0 };
  struct store store = { .revision = 7 };
  uint64_t delivered = 0;

  srand (seed);
  for (int i = 0; i < HOSTS; i++)
    {
      hosts[i].allotment.workspace = DS_STR ("north");
      (void)snprintf (hosts[i].name, sizeof hosts[i].name, "host-%d#1", i);
      ds_allotment_set_limit (&hosts[i].allotment, LIMIT, 1);
    }
  hosts[0].allotment.home = DS_HOME_SELF;
  for (int step = 0; step < STEPS; step++)
    {
      struct host *host = &hosts[rand () % HOSTS];
      struct host *other = &hosts[rand () % HOSTS];
      int choice = rand () % 100;

      if (host->crashed)
        continue;
      if (choice < 45)
        start_request (host, 20 + (uint64_t)rand () % 2000);
      else if (choice < 70 && host->running_count > 0)
        delivered += end_request (host);
      else if (choice < 88)
        update (host, &store, rand () % 10 < 7 ? 0 : 1 + rand () % 2);
      else if (choice < 96 && other != host && !other->crashed)
        move_tokens (host, other, (uint64_t)step);
      else if (choice < 97)
        apply_late_write (&store);
      else if (choice < 98)
        ds_allotment_tick (&host->allotment, 0.2);
      else if (choice < 99)
        {
          /* Hosts need not agree on who the home is.  */
          host->allotment.home = (enum ds_allotment_home) (rand () % 4);
          host->allotment.demand_is_requested = rand () % 2 == 0;
          host->allotment.home_timed_out = rand () % 2 == 0;
        }
      else if (rand () % 40 == 0)
        {
          /* Its running requests may have been served in full.  */
          host->crashed = true;
          for (size_t i = 0; i < host->running_count; i++)
            delivered += host->running[i];
        }
      check_page (&store);
      ck_assert_uint_le (delivered, LIMIT);
    }
  for (int i = 0; i < HOSTS; i++)
    json_decref (hosts[i].written);
  json_decref (store.page);
  json_decref (store.late);
}

/* Guards against overspending when responses of the store are lost, writes
   take effect late, hosts crash with tokens and tokens move between hosts.  */
START_TEST (no_schedule_spends_more_than_the_limit)
{
  run_schedule ((unsigned)_i + 1);
}
END_TEST

/* Guards against an update that takes effect twice when its response is lost
   and it is sent again.  */
START_TEST (a_lost_answer_counts_once)
{
  struct host host = { .name = "a#1" };
  struct store store = { .revision = 1 };
  struct ds_ledger_page *page;

  host.allotment.workspace = DS_STR ("north");
  ds_allotment_set_limit (&host.allotment, LIMIT, 1);
  host.allotment.waiting_tokens = 5000;
  update (&host, &store, 1);
  ck_assert_uint_eq (host.allotment.free, 0);
  update (&host, &store, 0);
  page = read_page (&store);
  ck_assert_uint_eq (page->accounts[0].granted, host.allotment.free);
  ck_assert_uint_ge (host.allotment.free, 5000);
  talloc_free (page);
}
END_TEST

/* Guards against spending above a limit that the operator has lowered: no
   reservation until the ledger has been updated.  */
START_TEST (a_lowered_limit_stops_spending)
{
  struct host host = { .name = "a#1" };
  struct store store = { .revision = 1 };

  host.allotment.workspace = DS_STR ("north");
  ds_allotment_set_limit (&host.allotment, LIMIT, 1);
  host.allotment.waiting_tokens = 50000;
  update (&host, &store, 0);
  host.allotment.waiting_tokens = 0;
  ck_assert (ds_allotment_reserve (&host.allotment, 100));
  ds_allotment_set_limit (&host.allotment, 1000, 2);
  ck_assert (!ds_allotment_reserve (&host.allotment, 100));
  update (&host, &store, 0);
  ck_assert_uint_le (host.allotment.free + host.allotment.reserved, 1000);
}
END_TEST

/* Guards against a stale response that restores an older limit.  */
START_TEST (an_older_limit_is_ignored)
{
  struct ds_allotment allotment = { .workspace = DS_STR ("north") };

  ds_allotment_set_limit (&allotment, 500, 9);
  ds_allotment_set_limit (&allotment, 900, 8);
  ck_assert_uint_eq (allotment.limit, 500);
}
END_TEST

/* Guards against a home that runs out of tokens while all hosts lose the store
   for nine seconds, with a demand of 1,000 tokens/s here and 5,000 at the
   peers, and against one that holds, and can lose, more than its fraction of a
   budget that is nearly used up.  */
START_TEST (the_target_covers_an_outage_and_shrinks_with_the_budget)
{
  struct ds_allotment_policy fleet = policy;
  struct ds_allotment allotment = { .workspace = DS_STR ("north"),
                                    .home = DS_HOME_SELF,
                                    .limit = LIMIT,
                                    .known = true };

  fleet.hold_s = 13;
  fleet.max_fraction = 0.35;
  for (int i = 0; i < 50; i++)
    {
      allotment.demand_since_tick = 200;
      ds_allotment_tick (&allotment, 0.2);
    }
  allotment.peer_demand = 5000;
  allotment.ledger_ungranted = 300000;
  ck_assert_uint_ge (ds_allotment_target (&allotment, &fleet), 54000);
  allotment.ledger_ungranted = 30000;
  ck_assert_uint_le (ds_allotment_target (&allotment, &fleet),
                     (uint64_t)(0.35 * 30000) + 1);
  /* The minimum would be three quarters of what is left here.  */
  allotment.ledger_ungranted = 4000;
  ck_assert_uint_eq (ds_allotment_target (&allotment, &fleet), 1400);
}
END_TEST

/* Guards against tokens spread over the hosts during an outage of the store:
   with eight hosts and a few prompts a second of up to 50,000 tokens at any of
   them, no host's tokens covered a large prompt and each kept a reserve.
   Hosts other than the home hold a cushion only.  */
START_TEST (only_the_home_holds_a_reserve_for_outages)
{
  struct ds_allotment allotment = { .workspace = DS_STR ("north"),
                                    .home = DS_HOME_OTHER,
                                    .limit = LIMIT,
                                    .ledger_ungranted = LIMIT,
                                    .known = true };
  struct ds_token_transfer transfer;

  allotment.demand = 1500;
  allotment.peer_demand = 9500;
  allotment.free = 40000;
  allotment.spent = 700;
  ck_assert_uint_eq (ds_allotment_target (&allotment, &policy), 1500);
  ck_assert (
      ds_allotment_make_transfer (&allotment, &transfer, &policy, false));
  ck_assert_uint_eq (allotment.free, 1500);
  ck_assert_uint_eq (transfer.tokens, 38500);
  ck_assert_uint_eq (transfer.spent, 700);
  ck_assert_uint_eq (allotment.spent, 0);
  /* When the home times out, the host draws for waiting requests only.  */
  allotment.free = 0;
  allotment.waiting_tokens = 9000;
  ck_assert (!ds_allotment_needs_update (&allotment, &policy));
  allotment.home_timed_out = true;
  ck_assert (ds_allotment_needs_update (&allotment, &policy));
}
END_TEST

/* Guards against giving too few tokens for any request, and against a home
   that does not draw the requested tokens that it lacks.  */
START_TEST (a_need_is_covered_whole_or_drawn)
{
  struct ds_allotment home = { .workspace = DS_STR ("north"),
                               .home = DS_HOME_SELF,
                               .limit = LIMIT,
                               .ledger_ungranted = LIMIT,
                               .known = true,
                               .free = 16000 };

  ck_assert_uint_eq (ds_allotment_give (&home, 20000, 17000, 500), 0);
  ck_assert_uint_eq (home.peer_requested, 20000);
  ck_assert (ds_allotment_needs_update (&home, &policy));
  /* Beyond what is needed at once, only a fraction of the free tokens.  */
  ck_assert_uint_eq (ds_allotment_give (&home, 9000, 1000, 500), 2000);
  ck_assert_uint_eq (ds_allotment_give (&home, 9000, 8000, 500), 8000);
  ck_assert_uint_eq (home.free, 6000);
}
END_TEST

/* Guards against a limit that is lowered while an update is under way: the
   update is based on the old one and must not allow reservations again.  */
START_TEST (a_limit_lowered_during_an_update_waits_for_the_next)
{
  struct ds_allotment allotment
      = { .workspace = DS_STR ("north"), .home = DS_HOME_SELF };
  struct ds_ledger_page *page;

  ck_assert_int_eq (ds_ledger_page_new (&page, owner), 0);
  ds_allotment_set_limit (&allotment, LIMIT, 1);
  allotment.waiting_tokens = 50000;
  ck_assert_int_eq (ds_allotment_apply (&allotment, page, &policy, false), 0);
  ds_allotment_set_limit (&allotment, 1000, 2);
  ds_allotment_confirm (&allotment);
  ck_assert_uint_ge (allotment.free, 50000);
  ck_assert (!ds_allotment_reserve (&allotment, 100));
}
END_TEST

/* Guards against a receiver that continues with a limit which the sender knows
   to be lowered.  */
START_TEST (a_transfer_carries_a_lowered_limit)
{
  struct ds_allotment sender
      = { .workspace = DS_STR ("north"), .home = DS_HOME_OTHER };
  struct ds_allotment receiver
      = { .workspace = DS_STR ("north"), .home = DS_HOME_SELF };
  struct ds_token_transfer transfer;

  ds_allotment_set_limit (&sender, LIMIT, 1);
  ds_allotment_set_limit (&receiver, LIMIT, 1);
  sender.free = 5000;
  sender.demand = 9000;
  ds_allotment_set_limit (&sender, 1000, 2);
  ck_assert (ds_allotment_make_transfer (&sender, &transfer, &policy, false));
  ck_assert_uint_eq (sender.free, 0);
  ds_allotment_receive (&receiver, &transfer);
  ck_assert_uint_eq (receiver.free, 5000);
  ck_assert (!ds_allotment_reserve (&receiver, 100));
}
END_TEST

/* Guards against a demand that takes many seconds to rise: an outage may begin
   five seconds after the first request.  */
START_TEST (demand_is_right_from_the_first_seconds)
{
  struct ds_allotment allotment = { .workspace = DS_STR ("north") };

  ds_allotment_tick (&allotment, 5);
  for (int i = 0; i < 10; i++)
    {
      allotment.demand_since_tick = 400;
      ds_allotment_tick (&allotment, 0.2);
    }
  ck_assert (allotment.demand > 1900 && allotment.demand < 2100);
}
END_TEST

/* Guards against a page that grows with each restart of a host, and against
   removing a host whose name has another's as its prefix.  */
START_TEST (old_writers_of_a_host_are_removed)
{
  struct ds_ledger_page *page;

  ck_assert_int_eq (ds_ledger_page_new (&page, owner), 0);
  ck_assert_int_eq (ds_ledger_page_set_update_number (page, DS_STR ("a#1"), 4),
                    0);
  ck_assert_int_eq (
      ds_ledger_page_set_update_number (page, DS_STR ("ab#1"), 5), 0);
  ck_assert_int_eq (ds_ledger_page_set_update_number (page, DS_STR ("a#2"), 1),
                    0);
  ds_ledger_page_remove_old_writers (page, DS_STR ("a#2"));
  ck_assert_uint_eq (page->writer_count, 2);
  ck_assert_uint_eq (ds_ledger_page_update_number (page, DS_STR ("a#2")), 1);
  ck_assert_uint_eq (ds_ledger_page_update_number (page, DS_STR ("ab#1")), 5);
}
END_TEST

/* Guards against reading a page of another format as an empty one, which would
   grant the whole budget again.  */
START_TEST (a_page_that_cannot_be_read_is_refused)
{
  static const char *const bad[]
      = { "{}", "{\"format\":1,\"accounts\":{},\"writers\":{}}",
          "{\"format\":2,\"accounts\":{\"t\":{\"limit\":1,\"version\":1,"
          "\"settled\":-1,\"granted\":0}},\"writers\":{}}",
          "{\"format\":2,\"accounts\":{\"t\":{\"limit\":1,\"version\":1,"
          "\"settled\":0,\"granted\":\"x\"}},\"writers\":{}}" };

  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      json_t *spec = json_loads (bad[i], 0, NULL);
      struct ds_ledger_page *page = NULL;
      struct ds_error error;

      ck_assert_ptr_nonnull (spec);
      ck_assert_int_lt (ds_ledger_page_decode (&page, owner, spec, &error), 0);
      json_decref (spec);
    }
}
END_TEST

static void
set_up (void)
{
  owner = talloc_new (NULL);
}

static void
tear_down (void)
{
  talloc_free (owner);
}

int
main (void)
{
  Suite *suite = suite_create ("allotment");
  TCase *test_case = tcase_create ("allotment");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_set_timeout (test_case, 120);
  tcase_add_loop_test (test_case, no_schedule_spends_more_than_the_limit, 0,
                       60);
  tcase_add_test (test_case, a_lost_answer_counts_once);
  tcase_add_test (test_case, a_lowered_limit_stops_spending);
  tcase_add_test (test_case, an_older_limit_is_ignored);
  tcase_add_test (test_case,
                  the_target_covers_an_outage_and_shrinks_with_the_budget);
  tcase_add_test (test_case, demand_is_right_from_the_first_seconds);
  tcase_add_test (test_case, only_the_home_holds_a_reserve_for_outages);
  tcase_add_test (test_case, a_need_is_covered_whole_or_drawn);
  tcase_add_test (test_case,
                  a_limit_lowered_during_an_update_waits_for_the_next);
  tcase_add_test (test_case, a_transfer_carries_a_lowered_limit);
  tcase_add_test (test_case, old_writers_of_a_host_are_removed);
  tcase_add_test (test_case, a_page_that_cannot_be_read_is_refused);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
