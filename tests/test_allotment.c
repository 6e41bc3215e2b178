#include "core/ledger_page.h"

#include <check.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define HOSTS 6
#define LIMIT 400000
#define STEPS 6000

/* A host of the schedule, with an update whose outcome it may not know.  */
struct host
{
  struct ds_allotment allotment;
  char name[16];
  uint64_t number;
  uint64_t base_revision;
  json_t *written;
  bool unresolved;
  bool dead;
  uint64_t running[64];
  size_t running_count;
};

/* The store's object, changed only under its revision.  A lost write may be
   done later if its condition still holds.  */
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
name_of (const struct host *host)
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
do_late_write (struct store *store)
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

  if (ds_ledger_page_update_number (page, name_of (host)) == host->number)
    ds_allotment_confirm (&host->allotment);
  else
    ds_allotment_withdraw (&host->allotment);
  ds_allotment_observe (&host->allotment, page, 1);
  host->unresolved = false;
  talloc_free (page);
}

/* One update: OUTCOME 0 is answered, 1 is done and the answer lost, 2 is not
   done now and perhaps later.  */
static void
update (struct host *host, struct store *store, int outcome)
{
  if (!host->unresolved)
    {
      struct ds_ledger_page *page = read_page (store);

      host->number++;
      ck_assert_int_eq (
          ds_allotment_apply (&host->allotment, page, &policy, false), 0);
      ck_assert_int_eq (ds_ledger_page_set_update_number (page, name_of (host),
                                                          host->number),
                        0);
      json_decref (host->written);
      host->written = ds_ledger_page_encode (page);
      host->base_revision = store->revision;
      host->unresolved = true;
      talloc_free (page);
    }
  if (outcome == 2)
    {
      do_late_write (store);
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

/* One host asks another for tokens, or hands over to it; the transfer may be
   lost with what it holds.  */
static void
move_tokens (struct host *from, struct host *to, uint64_t now_ms)
{
  struct ds_token_transfer transfer = { .tokens = 0 };
  uint64_t peer_requested = 1 + (uint64_t)rand () % 9000;

  if (rand () % 2 == 0)
    transfer.tokens
        = ds_allotment_give (&from->allotment, peer_requested,
                             1 + (uint64_t)rand () % peer_requested, now_ms);
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
      int draw = rand () % 100;

      if (host->dead)
        continue;
      if (draw < 45)
        start_request (host, 20 + (uint64_t)rand () % 2000);
      else if (draw < 70 && host->running_count > 0)
        delivered += end_request (host);
      else if (draw < 88)
        update (host, &store, rand () % 10 < 7 ? 0 : 1 + rand () % 2);
      else if (draw < 96 && other != host && !other->dead)
        move_tokens (host, other, (uint64_t)step);
      else if (draw < 97)
        do_late_write (&store);
      else if (draw < 98)
        ds_allotment_tick (&host->allotment, 0.2);
      else if (draw < 99)
        {
          /* Hosts need not agree on who the home is.  */
          host->allotment.home = (enum ds_allotment_home) (rand () % 3);
          host->allotment.home_timed_out = rand () % 2 == 0;
        }
      else if (rand () % 40 == 0)
        {
          /* What runs there has been delivered for all anyone knows.  */
          host->dead = true;
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

/* Guards against overspending: answers of the store lost, writes done late,
   hosts that die with tokens, tokens passed on between hosts.  */
START_TEST (no_schedule_spends_more_than_the_limit)
{
  run_schedule ((unsigned)_i + 1);
}
END_TEST

/* Guards against an update that counts twice when its answer was lost and the
   same update is sent again.  */
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

/* Guards against spending after the operator lowered the limit: until the
   ledger has answered nothing is free.  */
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

/* Guards against an older limit that comes later, from a stale answer.  */
START_TEST (an_older_limit_is_ignored)
{
  struct ds_allotment allotment = { .workspace = DS_STR ("north") };

  ds_allotment_set_limit (&allotment, 500, 9);
  ds_allotment_set_limit (&allotment, 900, 8);
  ck_assert_uint_eq (allotment.limit, 500);
}
END_TEST

/* Load: a workspace asks 1,000 tokens a second of this host and 5,000 of the
   others, and all hosts lose the store.  The home's share must cover nine
   seconds of the fleet's demand, and at the end of a budget no more than its
   part may be lost with the hosts.  */
START_TEST (a_share_outlasts_a_cut_and_shrinks_with_the_budget)
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
  /* Requests that still fit must not wait for one refill each.  */
  allotment.ledger_ungranted = 4000;
  ck_assert_uint_eq (ds_allotment_target (&allotment, &fleet), fleet.minimum);
}
END_TEST

/* Load: eight hosts serve a workspace whose prompts of up to 50,000 tokens
   come to any of them, a few a second in all, and the store is cut off.  With
   a share at each host no one share covered a large prompt and each kept its
   own reserve: hosts other than the home hold a cushion only.  */
START_TEST (only_the_home_holds_a_share_for_a_cut)
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
  /* Without a home that helps, the host draws for what waits only.  */
  allotment.free = 0;
  allotment.waiting_tokens = 9000;
  ck_assert (!ds_allotment_needs_update (&allotment, &policy));
  allotment.home_timed_out = true;
  ck_assert (ds_allotment_needs_update (&allotment, &policy));
}
END_TEST

/* Guards against parts of a need that serve no request, and against a home
   that does not draw what it was asked for and lacks.  */
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
  /* More than is needed at once is given from plenty only.  */
  ck_assert_uint_eq (ds_allotment_give (&home, 9000, 1000, 500), 2000);
  ck_assert_uint_eq (ds_allotment_give (&home, 9000, 8000, 500), 8000);
  ck_assert_uint_eq (home.free, 6000);
}
END_TEST

/* Guards against a limit that is lowered while an update is under way: the
   update's answer does not know it and must not free the tokens again.  */
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

/* Guards against a receiver that goes on with a limit which the sender knows
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

/* Guards against a demand that needs many seconds to be seen: the first cut of
   a day may come five seconds after the first request.  */
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
   forgetting a host whose name begins like another's.  */
START_TEST (earlier_lives_of_a_writer_are_forgotten)
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
   hand out the whole budget again.  */
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
                  a_share_outlasts_a_cut_and_shrinks_with_the_budget);
  tcase_add_test (test_case, demand_is_right_from_the_first_seconds);
  tcase_add_test (test_case, only_the_home_holds_a_share_for_a_cut);
  tcase_add_test (test_case, a_need_is_covered_whole_or_drawn);
  tcase_add_test (test_case,
                  a_limit_lowered_during_an_update_waits_for_the_next);
  tcase_add_test (test_case, a_transfer_carries_a_lowered_limit);
  tcase_add_test (test_case, earlier_lives_of_a_writer_are_forgotten);
  tcase_add_test (test_case, a_page_that_cannot_be_read_is_refused);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
