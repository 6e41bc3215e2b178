#include "core/grant_release.h"
#include "core/ledger_restore.h"

#include <check.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define HOSTS 5
#define LIMIT 400000
#define STEPS 9000
#define HOLD_MS 2000
#define PART 0.35
#define RUNNING_MAX 64
/* Time after its last call in which a connected host hears of a new era.  */
#define WATCH_MS 500

static TALLOC_CTX *owner;
static const struct ds_allotment_policy policy = { .hold_s = 5,
                                                   .max_fraction = PART,
                                                   .initial_fraction = 0.1,
                                                   .minimum = 3000,
                                                   .cushion_s = 1 };

static const struct ds_release_policy release
    = { .span_ms = 8000, .usable_ms = 1200 };

/* A host with its copy of the page, and an update whose outcome it may not
   know.  */
struct host
{
  struct ds_allotment allotment;
  struct ds_store_era era;
  struct ds_ledger_restore restore;
  char name[32];
  uint64_t id;
  uint64_t started_ms;
  uint64_t number;
  uint64_t revision;
  uint64_t written_era;
  uint64_t heard_ms;
  uint64_t called_ms;
  json_t *page;
  json_t *written;
  bool has_page;
  bool page_known;
  bool call_failed; /* the last one */
  bool unresolved;
  bool cut_from_store;
  bool cut_from_hosts;
  uint64_t frozen_sum; /* seen_sum at the completion of the page */
  bool steady; /* it has run and reached all others since the last return */
  uint64_t running[RUNNING_MAX];
  size_t running_count;
};

struct store
{
  json_t *page;
  json_t *copy;
  uint64_t revision;
  uint64_t copied_revision;
  uint64_t era;
};

static struct host hosts[HOSTS];
static struct store store;
static uint64_t now_ms;
static uint64_t ids;
/* Settled and granted tokens before the last return of the store.  */
static uint64_t lost_sum;
static uint64_t unseen_sum; /* of earlier returns */
/* Whether the page was completed since the last return, and its sum then.  */
static bool completed;
static uint64_t completed_sum;
static bool with_failures;
static uint64_t reclaimed;

static struct ds_str
writer_name (const struct host *host)
{
  return ds_str_from_c (host->name);
}

static struct ds_ledger_page *
decode (const json_t *spec)
{
  struct ds_error error;
  struct ds_ledger_page *page;

  if (spec == NULL)
    ck_assert_int_eq (ds_ledger_page_new (&page, owner), 0);
  else
    ck_assert_int_eq (ds_ledger_page_decode (&page, owner, spec, &error), 0);
  return page;
}

static uint64_t
sum_of (const struct ds_ledger_page *page)
{
  const struct ds_ledger_account *account
      = ds_ledger_page_find (page, DS_STR ("north"));

  return account != NULL ? account->settled + account->granted : 0;
}

/* The sum that HOST would raise the page to.  */
static uint64_t
seen_sum (const struct host *host)
{
  uint64_t sum = 0;
  struct ds_ledger_page *page;

  if (host->restore.marks != NULL)
    sum = sum_of (host->restore.marks);
  for (size_t i = 0; i < host->restore.report_count; i++)
    if (LIMIT - host->restore.reports[i].ungranted > sum)
      sum = LIMIT - host->restore.reports[i].ungranted;
  if (host->has_page && host->restore.marks == NULL)
    {
      page = decode (host->page);
      sum = sum_of (page);
      talloc_free (page);
    }
  if (host->allotment.known && host->allotment.ledger_reporter != 0
      && LIMIT - host->allotment.ledger_ungranted > sum)
    sum = LIMIT - host->allotment.ledger_ungranted;
  return sum;
}

/* What was drawn before the last return and seen by no host that has run and
   been connected since; 0 without failures, since a draw whose response was
   lost is not used.  */
static uint64_t
unseen (void)
{
  uint64_t seen = completed ? completed_sum : 0;

  if (!with_failures)
    return 0;
  for (int i = 0; i < HOSTS; i++)
    {
      uint64_t sum = completed ? hosts[i].frozen_sum : seen_sum (&hosts[i]);

      if (hosts[i].steady && sum > seen)
        seen = sum;
    }
  return lost_sum > seen ? lost_sum - seen : 0;
}

/* Notes what was seen when the page is completed: later sums also cover what
   was drawn since.  */
static void
note_completion (void)
{
  struct ds_ledger_page *page = decode (store.page);
  const struct ds_ledger_account *account
      = ds_ledger_page_find (page, DS_STR ("north"));

  if (!completed && store.era > 0 && page->era == store.era && account != NULL
      && account->base_count > 0)
    {
      completed_sum = account->bases[account->base_count - 1].committed;
      for (int i = 0; i < HOSTS; i++)
        hosts[i].frozen_sum = seen_sum (&hosts[i]);
      completed = true;
    }
  talloc_free (page);
}

static enum ds_reporter_state
reporter_state (uint64_t id, uint64_t since_ms, void *user_data)
{
  (void)user_data;
  for (int i = 0; i < HOSTS; i++)
    if (hosts[i].id == id && hosts[i].heard_ms > since_ms)
      return hosts[i].cut_from_store ? DS_REPORTER_CUT_OFF
                                     : DS_REPORTER_CONNECTED;
  return DS_REPORTER_SILENT;
}

static const struct ds_ledger_restore_peers peers
    = { .state = reporter_state };

/* HOST learns of ERA, as ds_ledger_client_begin_era does.  */
static void
learn_era (struct host *host, uint64_t era)
{
  struct ds_ledger_page *copy = NULL;
  struct ds_ledger_report report = {
    .workspace = DS_STR ("north"),
    .reporter = host->allotment.ledger_reporter,
    .limit = LIMIT,
    .version = 1,
    .settled = host->allotment.ledger_settled,
    .ungranted = host->allotment.ledger_ungranted,
  };

  if (ds_store_era_observe (&host->era, era, 0, now_ms) != DS_STORE_ERA_NEWER)
    return;
  if (host->has_page)
    copy = decode (host->page);
  report.era = host->era.previous;
  ck_assert_int_eq (
      ds_ledger_restore_begin (&host->restore, owner, copy, now_ms,
                               (uint32_t)rand () % (HOLD_MS / 2)),
      0);
  if (host->allotment.known && report.reporter != 0)
    ck_assert_int_eq (
        ds_ledger_restore_add_report (&host->restore, owner, &report), 0);
  talloc_free (copy);
  ds_allotment_drop_returned (&host->allotment);
  host->page_known = false;
}

/* A writer that is not the present process of its host ended when that
   started.  */
static bool
find_end (struct ds_str writer, uint64_t *end_ms, void *user_data)
{
  (void)user_data;
  for (int i = 0; i < HOSTS; i++)
    if (writer.length > 6 && writer.data[5] - '0' == i
        && !ds_str_equal (writer, writer_name (&hosts[i])))
      {
        *end_ms = hosts[i].started_ms;
        return true;
      }
  return false;
}

/* Decodes the copy of HOST and reclaims from it as decode_page of a ledger
   client does.  */
static struct ds_ledger_page *
decode_own (const struct host *host)
{
  struct ds_ledger_page *page = decode (host->page);
  struct ds_writer_ends ends = { .now_ms = now_ms, .find = find_end };

  if (page->era == host->era.era)
    reclaimed += ds_ledger_page_reclaim (page, writer_name (host), &ends);
  return page;
}

/* HOST reads the page and resolves its update.  */
static void
read_page (struct host *host)
{
  struct ds_ledger_page *page;

  json_decref (host->page);
  host->page = json_incref (store.page);
  page = decode_own (host);
  host->has_page = store.page != NULL;
  host->page_known = true;
  host->revision = store.revision;
  if (host->unresolved)
    {
      if (ds_ledger_page_update_number (page, writer_name (host))
          == host->number)
        ds_allotment_confirm (&host->allotment);
      else
        ds_allotment_withdraw (&host->allotment);
      host->unresolved = false;
    }
  if (host->has_page)
    {
      ds_ledger_restore_observe (&host->restore, page, &host->era, now_ms);
      ds_allotment_observe (&host->allotment, page, now_ms);
    }
  talloc_free (page);
}

/* Builds an update; false if the page is held and nothing has to be raised. */
static bool
build_update (struct host *host)
{
  struct ds_ledger_restore_result result;
  struct ds_ledger_page *page = decode_own (host);
  struct ds_release_moment moment = { .now_ms = now_ms, .wall_ms = now_ms };

  ck_assert_int_eq (ds_ledger_restore_apply (&host->restore, page, &host->era,
                                             PART, now_ms, &result),
                    0);
  if (result.held && !result.changed)
    {
      talloc_free (page);
      return false;
    }
  host->number++;
  if (!result.held)
    {
      ck_assert_int_eq (
          ds_allotment_apply (&host->allotment, page, &policy, false), 0);
      ck_assert_int_eq (ds_allotment_lock (&host->allotment, page,
                                           writer_name (host), &release,
                                           &moment, false),
                        0);
    }
  ck_assert_int_eq (ds_ledger_page_set_update_number (page, writer_name (host),
                                                      host->number),
                    0);
  json_decref (host->written);
  host->written = ds_ledger_page_encode (page);
  host->written_era = host->era.era;
  talloc_free (page);
  return true;
}

/* A call of HOST to the store, whose response may be LOST.  */
static void
call_store (struct host *host, bool lost)
{
  bool stale;

  (void)ds_ledger_restore_check_reports (&host->restore, &host->era, PART,
                                         &peers, now_ms);
  if (host->cut_from_store || host->call_failed)
    host->page_known = false;
  if (host->cut_from_store)
    return;
  host->call_failed = lost;
  host->called_ms = now_ms;
  if (host->restore.read_again
      && ds_ledger_restore_is_due (&host->restore, now_ms))
    {
      host->restore.read_again = false;
      host->page_known = host->unresolved && host->page_known;
    }
  if (!host->page_known)
    {
      learn_era (host, store.era);
      read_page (host);
      return;
    }
  if (!host->unresolved && !build_update (host))
    return;
  host->unresolved = true;
  stale = host->written_era != store.era;
  if (host->revision == store.revision)
    {
      json_decref (store.page);
      store.page = json_incref (host->written);
      store.revision++;
    }
  if (lost)
    return;
  learn_era (host, store.era);
  if (stale)
    host->page_known = false;
  else
    read_page (host);
}

/* HOST tells the others the era and, as the home, its view of the ledger.  */
static void
send_datagram (struct host *host)
{
  if (host->cut_from_hosts)
    return;
  host->heard_ms = now_ms;
  for (int i = 0; i < HOSTS; i++)
    {
      struct host *other = &hosts[i];

      if (other == host || other->cut_from_hosts)
        continue;
      if (host->era.era > 0)
        learn_era (other, host->era.era);
      if (host->allotment.home != DS_HOME_SELF || !host->allotment.known
          || host->era.era != other->era.era)
        continue;
      other->allotment.known = true;
      other->allotment.ledger_ungranted = host->allotment.ledger_ungranted;
      other->allotment.ledger_settled = host->allotment.ledger_settled;
      other->allotment.ledger_observed_ms = now_ms;
      other->allotment.ledger_reporter = host->id;
    }
}

static void
start_host (struct host *host)
{
  json_decref (host->page);
  json_decref (host->written);
  talloc_free (host->restore.marks);
  talloc_free (host->restore.reports);
  *host = (struct host){ .id = ++ids, .started_ms = now_ms };
  (void)snprintf (host->name, sizeof host->name, "host-%d#%d",
                  (int)(host - hosts), (int)host->id);
  host->era.hold_ms = HOLD_MS;
  host->allotment.workspace = DS_STR ("north");
  host->allotment.home = DS_HOME_OTHER;
  ds_allotment_set_limit (&host->allotment, LIMIT, 1);
}

static void
copy_or_restore (bool copies)
{
  if (copies)
    {
      json_decref (store.copy);
      store.copy = json_incref (store.page);
      store.copied_revision = store.revision;
      return;
    }
  if (store.copy == NULL)
    return;
  unseen_sum += unseen ();
  struct ds_ledger_page *page = decode (store.page);

  lost_sum = sum_of (page);
  talloc_free (page);
  json_decref (store.page);
  store.page = json_incref (store.copy);
  store.revision = store.copied_revision;
  store.era++;
  completed = false;
  for (int i = 0; i < HOSTS; i++)
    hosts[i].steady = !hosts[i].cut_from_store && !hosts[i].cut_from_hosts;
}

static uint64_t
use_tokens (struct host *host, int choice)
{
  uint64_t tokens = 20 + (uint64_t)rand () % 2000;
  uint64_t reserved;
  uint64_t spent;
  size_t at;

  if (choice < 30)
    {
      host->allotment.demand_since_tick += tokens;
      host->allotment.waiting_tokens = tokens;
      if (host->running_count < RUNNING_MAX
          && ds_allotment_reserve (&host->allotment, tokens))
        host->running[host->running_count++] = tokens;
      return 0;
    }
  if (host->running_count == 0)
    return 0;
  at = (size_t)rand () % host->running_count;
  reserved = host->running[at];
  spent = reserved - (uint64_t)rand () % (reserved / 4 + 1);
  host->running[at] = host->running[--host->running_count];
  ds_allotment_settle (&host->allotment, reserved, spent);
  return spent;
}

static void
move_tokens (struct host *from, struct host *to)
{
  struct ds_token_transfer transfer = { .tokens = 0 };
  uint64_t requested = 1 + (uint64_t)rand () % 9000;

  if (from == to || from->cut_from_hosts || to->cut_from_hosts)
    return;
  if (rand () % 2 == 0)
    transfer.tokens
        = ds_allotment_give (&from->allotment, requested,
                             1 + (uint64_t)rand () % requested, now_ms);
  else
    (void)ds_allotment_make_transfer (&from->allotment, &transfer, &policy,
                                      false);
  if (rand () % 20 != 0)
    ds_allotment_receive (&to->allotment, &transfer);
}

/* Ends HOST and starts it again, or changes what it reaches.  Returns what its
   running requests may have used.  */
static uint64_t
fail_host (struct host *host)
{
  uint64_t used = 0;

  host->steady = false;
  host->call_failed = true;
  switch (rand () % 4)
    {
    case 0:
      for (size_t i = 0; i < host->running_count; i++)
        used += host->running[i];
      start_host (host);
      return used;
    case 1:
      host->cut_from_store = true;
      return 0;
    case 2:
      host->cut_from_store = true;
      host->cut_from_hosts = true;
      return 0;
    default:
      host->cut_from_store = false;
      host->cut_from_hosts = false;
      return 0;
    }
}

static uint64_t
run_schedule (unsigned seed)
{
  uint64_t delivered = 0;

  srand (seed);
  store = (struct store){ .revision = 7 };
  now_ms = 10000;
  ids = 0;
  lost_sum = 0;
  unseen_sum = 0;
  completed = false;
  memset (hosts, 0, sizeof hosts);
  for (int i = 0; i < HOSTS; i++)
    start_host (&hosts[i]);
  hosts[0].allotment.home = DS_HOME_SELF;
  for (int step = 0; step < STEPS; step++)
    {
      struct host *host = &hosts[rand () % HOSTS];
      int choice = rand () % 1000;

      now_ms += (uint64_t)rand () % 40;
      ds_allotment_release (&host->allotment, now_ms);
      /* Its watches and its datagrams tell a host of a new era.  */
      if (!host->cut_from_store && now_ms - host->called_ms > WATCH_MS)
        learn_era (host, store.era);
      if (choice < 500)
        delivered += use_tokens (host, choice * 60 / 500);
      else if (choice < 750)
        call_store (host, rand () % 10 == 0);
      else if (choice < 860)
        send_datagram (host);
      else if (choice < 960)
        move_tokens (host, &hosts[rand () % HOSTS]);
      else if (choice < 975)
        ds_allotment_tick (&host->allotment, 0.2);
      else if (choice < 985)
        {
          host->allotment.home
              = rand () % 2 == 0 ? DS_HOME_SELF : DS_HOME_OTHER;
          host->allotment.home_timed_out = rand () % 2 == 0;
        }
      else if (choice < 996)
        copy_or_restore (choice < 993);
      else if (with_failures)
        delivered += fail_host (host);
      note_completion ();
      ck_assert_msg (delivered <= LIMIT + unseen_sum + unseen (),
                     "step %d: %llu tokens used, %llu unseen", step,
                     (unsigned long long)delivered,
                     (unsigned long long)(unseen_sum + unseen ()));
    }
  for (int i = 0; i < HOSTS; i++)
    start_host (&hosts[i]);
  json_decref (store.page);
  json_decref (store.copy);
  return delivered;
}

/* Guards against use above the limit when the store returns from older copies,
   also twice in a row, while responses are lost and tokens move.  As long as
   no host fails, some host has seen each draw, and nothing may be exceeded. */
START_TEST (returns_of_the_store_grant_no_token_twice)
{
  with_failures = false;
  (void)run_schedule ((unsigned)_i + 1);
}
END_TEST

/* Guards against use above the limit when hosts end, start again or are cut
   off from the store or from each other around the returns.  Only what no host
   has seen that still runs and is connected may be used again.  */
START_TEST (failures_exceed_a_budget_by_unseen_draws_at_most)
{
  with_failures = true;
  (void)run_schedule ((unsigned)_i + 1);
}
END_TEST

static struct ds_ledger_page *
page_with (uint64_t settled, uint64_t granted)
{
  struct ds_ledger_page *page = decode (NULL);
  struct ds_ledger_account *account
      = ds_ledger_page_find_or_add (page, DS_STR ("north"));

  account->limit = LIMIT;
  account->version = 1;
  account->settled = settled;
  account->granted = granted;
  return page;
}

static struct ds_ledger_restore_result
apply (struct ds_ledger_restore *restore, struct ds_ledger_page *page,
       const struct ds_store_era *era, uint64_t at_ms)
{
  struct ds_ledger_restore_result result;

  ck_assert_int_eq (
      ds_ledger_restore_apply (restore, page, era, PART, at_ms, &result), 0);
  return result;
}

/* Guards against a page that grants tokens, or passes for complete, before the
   other hosts had time to raise it, and against sums that go back.  */
START_TEST (a_page_is_raised_in_the_hold_and_completed_after_it)
{
  struct ds_store_era era
      = { .era = 1, .detected_ms = 1000, .hold_ms = HOLD_MS, .known = true };
  struct ds_ledger_restore restore = { 0 };
  struct ds_ledger_page *page = page_with (100, 50);
  struct ds_ledger_restore_result result;

  ck_assert_int_eq (ds_ledger_restore_begin (&restore, owner,
                                             page_with (300, 20), 1000, 500),
                    0);
  ck_assert (!ds_ledger_restore_is_due (&restore, 1499));
  ck_assert (ds_ledger_restore_is_due (&restore, 1501));
  result = apply (&restore, page, &era, 1501);
  ck_assert (result.held && result.changed);
  ck_assert_uint_eq (page->accounts[0].settled, 300);
  ck_assert_uint_eq (sum_of (page), 320);
  ck_assert_uint_eq (page->era, 0);
  ds_ledger_restore_observe (&restore, page, &era, 1510);
  ck_assert (!ds_ledger_restore_is_due (&restore, 1000 + HOLD_MS - 1));
  ck_assert (ds_ledger_restore_is_due (&restore, 1000 + HOLD_MS));
  result = apply (&restore, page, &era, 1000 + HOLD_MS);
  ck_assert (!result.held);
  ck_assert_uint_eq (result.held_back, 0);
  ck_assert_uint_eq (page->era, 1);
  ds_ledger_restore_observe (&restore, page, &era, 4000);
  ck_assert (!ds_ledger_restore_is_due (&restore, 100000));
}
END_TEST

/* Guards against draws that are lost since others have drawn as much after the
   completion, and against draws that are added twice.  */
START_TEST (what_a_late_host_has_seen_is_added_once)
{
  struct ds_store_era era
      = { .era = 1, .detected_ms = 1000, .hold_ms = HOLD_MS, .known = true };
  struct ds_ledger_restore first = { 0 };
  struct ds_ledger_restore late = { 0 };
  struct ds_ledger_page *page = page_with (0, 100);

  ck_assert_int_eq (
      ds_ledger_restore_begin (&first, owner, page_with (0, 100), 1000, 0), 0);
  ck_assert_int_eq (
      ds_ledger_restore_begin (&late, owner, page_with (0, 150), 1000, 0), 0);
  (void)apply (&first, page, &era, 1000 + HOLD_MS);
  page->accounts[0].granted += 80;
  ck_assert_uint_eq (apply (&late, page, &era, 4000).raised, 50);
  ck_assert_uint_eq (apply (&late, page, &era, 4001).raised, 0);
  ck_assert_uint_eq (sum_of (page), 230);
}
END_TEST

/* Guards against tokens that a host may have drawn before it ended and that
   are granted again, and against tokens that are held back although it runs.
 */
START_TEST (tokens_of_a_silent_reporter_are_held_back)
{
  static const uint64_t heard_ms[] = { 1500, 900 };
  static const uint64_t held_back[] = { 0, (uint64_t)(PART * 300000) };
  struct ds_store_era era
      = { .era = 1, .detected_ms = 1000, .hold_ms = HOLD_MS, .known = true };
  struct ds_ledger_restore restore = { 0 };
  struct ds_ledger_report report = { .workspace = DS_STR ("north"),
                                     .reporter = 1,
                                     .limit = LIMIT,
                                     .settled = 1000,
                                     .ungranted = 300000 };
  struct ds_ledger_page *page = page_with (0, 100);

  ids = 0;
  start_host (&hosts[0]);
  hosts[0].heard_ms = heard_ms[_i];
  ck_assert_int_eq (ds_ledger_restore_begin (&restore, owner, NULL, 1000, 0),
                    0);
  ck_assert_int_eq (ds_ledger_restore_add_report (&restore, owner, &report),
                    0);
  ck_assert_uint_eq (
      ds_ledger_restore_check_reports (&restore, &era, PART, &peers, 1999), 0);
  ck_assert_uint_eq (
      ds_ledger_restore_check_reports (&restore, &era, PART, &peers, 2000),
      held_back[_i]);
  ck_assert (ds_ledger_restore_is_due (&restore, 2001) == (_i == 1));
  (void)apply (&restore, page, &era, 2001);
  ck_assert_uint_eq (sum_of (page), 100000 + held_back[_i]);
}
END_TEST

/* Guards against records of releases from a copy by which tokens are reclaimed
   that were returned and drawn again in the lost part.  */
START_TEST (a_completed_page_has_no_records_of_a_copy)
{
  struct ds_store_era era
      = { .era = 1, .detected_ms = 1000, .hold_ms = HOLD_MS, .known = true };
  struct ds_ledger_restore restore = { 0 };
  struct ds_ledger_page *page = page_with (0, 100000);
  struct ds_release_schedule record
      = { .tokens = 5000, .start_ms = 900, .span_ms = 8000 };

  ck_assert_int_eq (ds_ledger_page_set_release (page, DS_STR ("north"),
                                                DS_STR ("host-1#1"), &record),
                    0);
  (void)apply (&restore, page, &era, 1500);
  ck_assert_uint_eq (page->release_count, 1);
  (void)apply (&restore, page, &era, 3000);
  ck_assert_uint_eq (page->release_count, 0);
  /* Records of the present era stay.  */
  ck_assert_int_eq (ds_ledger_page_set_release (page, DS_STR ("north"),
                                                DS_STR ("host-1#1"), &record),
                    0);
  (void)apply (&restore, page, &era, 3100);
  ck_assert_uint_eq (page->release_count, 1);
}
END_TEST

/* Guards against locked tokens that become usable, or a count that wraps
   around, when the outcome of an update that returns them is given up.  */
START_TEST (locked_tokens_of_a_dropped_update_are_given_up)
{
  struct ds_allotment allotment = { .workspace = DS_STR ("north"),
                                    .free = 1000,
                                    .home = DS_HOME_SELF,
                                    .lock = { .locked = 9000 } };
  struct ds_ledger_page *page = page_with (0, 10000);

  ds_allotment_set_limit (&allotment, LIMIT, 1);
  ck_assert_int_eq (ds_allotment_apply (&allotment, page, &policy, true), 0);
  ck_assert_uint_gt (allotment.lock.returned, 0);
  ds_allotment_drop_returned (&allotment);
  ds_allotment_withdraw (&allotment);
  ck_assert_uint_le (allotment.free, 1000);
  ck_assert_uint_eq (allotment.lock.locked, 0);
}
END_TEST

/* Guards against a fleet that has ended and grants again what it drew after
   the copy.  */
START_TEST (a_page_that_no_host_has_seen_holds_tokens_back)
{
  struct ds_store_era era
      = { .era = 1, .detected_ms = 1000, .hold_ms = HOLD_MS, .known = true };
  struct ds_ledger_restore restore = { 0 };
  struct ds_ledger_page *page = page_with (0, 100000);

  ck_assert (apply (&restore, page, &era, 1500).held);
  ck_assert_uint_eq (apply (&restore, page, &era, 3000).held_back,
                     (uint64_t)(PART * 300000));
  ck_assert_uint_eq (page->era, 1);
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
  Suite *suite = suite_create ("ledger_restore");
  TCase *test_case = tcase_create ("ledger_restore");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_set_timeout (test_case, 60);
  tcase_add_test (test_case,
                  a_page_is_raised_in_the_hold_and_completed_after_it);
  tcase_add_test (test_case, what_a_late_host_has_seen_is_added_once);
  tcase_add_loop_test (test_case, tokens_of_a_silent_reporter_are_held_back, 0,
                       2);
  tcase_add_test (test_case, a_page_that_no_host_has_seen_holds_tokens_back);
  tcase_add_test (test_case, a_completed_page_has_no_records_of_a_copy);
  tcase_add_test (test_case, locked_tokens_of_a_dropped_update_are_given_up);
  tcase_add_loop_test (test_case, returns_of_the_store_grant_no_token_twice, 0,
                       60);
  tcase_add_loop_test (
      test_case, failures_exceed_a_budget_by_unseen_draws_at_most, 0, 60);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
