#include "core/fleet_clock.h"
#include "core/ledger_page.h"

#include <check.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Hosts, a store and a true time, which only the model knows.  Hosts use all
   tokens as soon as they are usable.  The steps are updates of the ledger with
   any outcome, deaths, suspended machines and clocks that are set; clocks of a
   minority of the hosts are wrong at a time.  */

#define HOSTS 3
#define LIMIT 100000
#define DEPTH 4
#define SCHEDULES 20000
#define STEPS 60
#define CLOCK_STEP_MS 2000

enum outcome
{
  WRITTEN,
  WRITTEN_UNSEEN, /* the response is lost */
  WRITTEN_LATE    /* later, unless another write is first */
};

enum step_kind
{
  WAIT,
  UPDATE,
  SPEND,
  TRANSFER,
  KILL,
  SUSPEND,
  RESUME,
  SET_CLOCK
};

struct step
{
  enum step_kind kind;
  int host;
  int value;
};

struct host
{
  struct ds_allotment allotment;
  struct ds_fleet_clock clock;
  struct ds_successor peers[HOSTS]; /* the own one for itself */
  char name[32];
  uint64_t number;
  uint64_t base_revision;
  json_t *written;
  bool unresolved;
  bool suspended;
  uint64_t stood_still_ms;
  int64_t clock_error_ms;
};

struct model
{
  struct host hosts[HOSTS];
  json_t *page;
  json_t *late;
  uint64_t late_revision;
  uint64_t revision;
  uint64_t now_ms;
  uint64_t used;
  uint64_t starts;       /* microseconds that keep incarnations distinct */
  uint64_t end_error_ms; /* by which ends are taken too early */
};

static const struct ds_allotment_policy policy = { .hold_s = 13,
                                                   .max_fraction = 0.5,
                                                   .initial_fraction = 0.2,
                                                   .minimum = 20000,
                                                   .cushion_s = 1 };
static struct ds_release_policy release_policy
    = { .span_ms = 13000, .usable_ms = 2400 };
static TALLOC_CTX *scratch;

static uint64_t
monotonic (const struct model *model, const struct host *host)
{
  return model->now_ms - host->stood_still_ms;
}

static uint64_t
wall (const struct model *model, const struct host *host)
{
  return (uint64_t)((int64_t)model->now_ms + 1000000 + host->clock_error_ms);
}

/* Datagrams of all running hosts to each other.  */
static void
exchange_datagrams (struct model *model)
{
  for (int i = 0; i < HOSTS; i++)
    {
      struct host *host = &model->hosts[i];
      uint64_t now_ms = monotonic (model, host);

      if (host->suspended)
        continue;
      ds_fleet_clock_observe (&host->clock, wall (model, host), now_ms);
      for (int k = 0; k < HOSTS; k++)
        {
          struct host *peer = &model->hosts[k];
          uint64_t incarnation = peer->peers[k].incarnation;

          if (k == i || peer->suspended)
            continue;
          ds_fleet_clock_receive (&host->clock, (uint64_t)k,
                                  wall (model, peer), 0, now_ms);
          if (incarnation > host->peers[k].incarnation)
            host->peers[k] = (struct ds_successor){ .incarnation = incarnation,
                                                    .since_ms = now_ms };
        }
    }
}

static void
start_host (struct model *model, int i)
{
  struct host *host = &model->hosts[i];
  int64_t clock_error_ms = host->clock_error_ms;

  json_decref (host->written);
  *host = (struct host){
    .clock_error_ms = clock_error_ms,
    .allotment = { .workspace = DS_STR ("w"), .home = DS_HOME_SELF },
  };
  host->peers[i] = (struct ds_successor){
    .incarnation = wall (model, host) * 1000 + ++model->starts,
    .since_ms = monotonic (model, host),
    .is_self = true,
  };
  (void)snprintf (host->name, sizeof host->name, "%d#%" PRIu64, i,
                  host->peers[i].incarnation);
  ds_allotment_set_limit (&host->allotment, LIMIT, 1);
}

/* What a host knows of the end of a writer.  */
struct view
{
  const struct model *model;
  const struct host *host;
};

static bool
find_end (struct ds_str writer, uint64_t *end_ms, void *user_data)
{
  const struct view *view = user_data;
  int i = writer.data[0] - '0';
  bool ended = ds_fleet_clock_writer_end (
      &view->host->clock, end_ms, strtoull (writer.data + 2, NULL, 10),
      &view->host->peers[i], monotonic (view->model, view->host));

  if (ended)
    *end_ms -= view->model->end_error_ms;
  return ended;
}

static struct ds_ledger_page *
read_page (const struct model *model, const struct host *host)
{
  struct view view = { .model = model, .host = host };
  uint64_t now_ms = monotonic (model, host);
  struct ds_writer_ends ends
      = { .now_ms = ds_fleet_clock_latest (&host->clock, now_ms, now_ms),
          .find = find_end,
          .user_data = &view };
  struct ds_error error;
  struct ds_ledger_page *page;

  if (model->page == NULL)
    ck_assert_int_eq (ds_ledger_page_new (&page, scratch), 0);
  else
    ck_assert_int_eq (
        ds_ledger_page_decode (&page, scratch, model->page, &error), 0);
  (void)ds_ledger_page_reclaim (page, ds_str_from_c (host->name), &ends);
  return page;
}

static void
put_page (struct model *model, json_t *page)
{
  json_incref (page);
  json_decref (model->page);
  model->page = page;
  model->revision++;
}

static void
apply_late_write (struct model *model)
{
  if (model->late != NULL && model->late_revision == model->revision)
    put_page (model, model->late);
  json_decref (model->late);
  model->late = NULL;
}

static void
build_update (struct model *model, struct host *host)
{
  struct ds_ledger_page *page = read_page (model, host);
  uint64_t now_ms = monotonic (model, host);
  struct ds_release_moment moment
      = { .now_ms = now_ms,
          .wall_ms = ds_fleet_clock_earliest (&host->clock, now_ms) };
  struct ds_str name = ds_str_from_c (host->name);

  host->number++;
  ck_assert_int_eq (
      ds_allotment_apply (&host->allotment, page, &policy, false), 0);
  ck_assert_int_eq (ds_allotment_lock (&host->allotment, page, name,
                                       &release_policy, &moment, false),
                    0);
  ds_ledger_page_remove_old_writers (page, name);
  ck_assert_int_eq (
      ds_ledger_page_set_update_number (page, name, host->number), 0);
  json_decref (host->written);
  host->written = ds_ledger_page_encode (page);
  host->base_revision = model->revision;
  host->unresolved = true;
  talloc_free (page);
}

/* Learns whether the last update was written.  */
static void
resolve (struct model *model, struct host *host)
{
  struct ds_ledger_page *page = read_page (model, host);

  if (ds_ledger_page_update_number (page, ds_str_from_c (host->name))
      == host->number)
    ds_allotment_confirm (&host->allotment);
  else
    ds_allotment_withdraw (&host->allotment);
  ds_allotment_observe (&host->allotment, page, 1);
  host->unresolved = false;
  talloc_free (page);
}

static void
update (struct model *model, struct host *host, enum outcome outcome)
{
  if (!host->unresolved)
    build_update (model, host);
  if (outcome == WRITTEN_LATE)
    {
      apply_late_write (model);
      model->late = json_incref (host->written);
      model->late_revision = host->base_revision;
      return;
    }
  if (host->base_revision == model->revision)
    put_page (model, host->written);
  if (outcome == WRITTEN)
    resolve (model, host);
}

static void
spend (struct model *model, struct host *host)
{
  struct ds_allotment *allotment = &host->allotment;
  uint64_t tokens;

  ds_allotment_release (allotment, monotonic (model, host));
  tokens = allotment->free;
  if (!ds_allotment_reserve (allotment, tokens))
    return;
  allotment->demand_since_tick += tokens;
  ds_allotment_settle (allotment, tokens, tokens);
  model->used += tokens;
}

static void
take_step (struct model *model, const struct step *step)
{
  struct host *host = &model->hosts[step->host];

  if (host->suspended && step->kind != RESUME && step->kind != WAIT)
    return;
  switch (step->kind)
    {
    case WAIT:
      for (int waited = 0; waited < step->value; waited += 200)
        {
          model->now_ms += 200;
          for (int i = 0; i < HOSTS; i++)
            if (model->hosts[i].suspended)
              model->hosts[i].stood_still_ms += 200;
            else
              ds_allotment_tick (&model->hosts[i].allotment, 0.2);
          exchange_datagrams (model);
        }
      break;
    case UPDATE:
      update (model, host, (enum outcome)step->value);
      break;
    case SPEND:
      spend (model, host);
      break;
    case TRANSFER:
      model->hosts[step->value].allotment.free += host->allotment.free;
      host->allotment.free = 0;
      break;
    case KILL:
      /* The worst end: all usable tokens have just been used.  */
      if (step->value > 0)
        spend (model, host);
      start_host (model, step->host);
      break;
    case SUSPEND:
      host->suspended = true;
      break;
    case RESUME:
      host->suspended = false;
      break;
    case SET_CLOCK:
      for (int i = 0; i < HOSTS; i++)
        model->hosts[i].clock_error_ms = 0;
      host->clock_error_ms = step->value;
      break;
    }
}

static const struct step choices[] = {
  { WAIT, 0, 1000 },
  { WAIT, 0, 4000 },
  { UPDATE, 0, WRITTEN },
  { UPDATE, 0, WRITTEN_UNSEEN },
  { UPDATE, 0, WRITTEN_LATE },
  { UPDATE, 1, WRITTEN },
  { SPEND, 0, 0 },
  { KILL, 0, 1 },
  { SUSPEND, 0, 0 },
  { RESUME, 0, 0 },
  { SET_CLOCK, 0, CLOCK_STEP_MS },
  { SET_CLOCK, 0, -CLOCK_STEP_MS },
  { SET_CLOCK, 1, -CLOCK_STEP_MS },
  /* The random schedules use those below as well.  */
  { WAIT, 0, 200 },
  { UPDATE, 1, WRITTEN_UNSEEN },
  { UPDATE, 2, WRITTEN },
  { TRANSFER, 0, 1 },
  { SPEND, 1, 0 },
  { KILL, 0, 0 },
  { KILL, 1, 1 },
  { SUSPEND, 1, 0 },
  { RESUME, 1, 0 },
  { SET_CLOCK, 1, CLOCK_STEP_MS },
};
#define EXPLORED 13
#define CHOICES (sizeof choices / sizeof choices[0])

static void
start_model (struct model *model)
{
  static const struct step first[] = {
    { WAIT, 0, 6000 },      { UPDATE, 0, WRITTEN }, { SPEND, 0, 0 },
    { WAIT, 0, 1200 },      { UPDATE, 0, WRITTEN }, { WAIT, 0, 1200 },
    { UPDATE, 0, WRITTEN }, { UPDATE, 1, WRITTEN },
  };

  *model = (struct model){ .now_ms = 100000 };
  for (int i = 0; i < HOSTS; i++)
    start_host (model, i);
  for (size_t i = 0; i < sizeof first / sizeof first[0]; i++)
    take_step (model, &first[i]);
}

static struct model
copy_model (const struct model *model)
{
  json_incref (model->page);
  json_incref (model->late);
  for (int i = 0; i < HOSTS; i++)
    json_incref (model->hosts[i].written);
  return *model;
}

static void
free_model (struct model *model)
{
  json_decref (model->page);
  json_decref (model->late);
  for (int i = 0; i < HOSTS; i++)
    json_decref (model->hosts[i].written);
}

/* Lets all hosts use all that they can get; returns what has been used.  */
static uint64_t
finish (struct model *model, int rounds)
{
  const struct step wait = { WAIT, 0, 3200 };

  for (int i = 0; i < HOSTS; i++)
    model->hosts[i].suspended = false;
  for (int round = 0; round < rounds; round++)
    {
      for (int i = 0; i < HOSTS; i++)
        {
          update (model, &model->hosts[i], WRITTEN);
          spend (model, &model->hosts[i]);
        }
      take_step (model, &wait);
    }
  return model->used;
}

/* Tries all sequences of DEPTH steps; returns the number of those after which
   more than the limit was used, and counts the sequences.  */
static int
explore (const struct model *from, int depth, int *sequences)
{
  int violations = 0;

  for (size_t i = 0; i < EXPLORED; i++)
    {
      struct model model = copy_model (from);

      take_step (&model, &choices[i]);
      if (depth > 1)
        violations += explore (&model, depth - 1, sequences);
      else
        {
          (*sequences)++;
          violations += finish (&model, 6) > LIMIT ? 1 : 0;
        }
      free_model (&model);
    }
  return violations;
}

static int
count_violations (uint64_t end_error_ms, int depth)
{
  struct model model;
  int sequences = 0;
  int violations;

  start_model (&model);
  model.end_error_ms = end_error_ms;
  ck_assert_uint_gt (model.hosts[0].allotment.lock.locked, 0);
  violations = explore (&model, depth, &sequences);
  free_model (&model);
  printf ("%d of %d sequences use more than the limit\n", violations,
          sequences);
  return violations;
}

static void
set_up (void)
{
  scratch = talloc_new (NULL);
}

static void
tear_down (void)
{
  talloc_free (scratch);
}

/* Guards against tokens that a successor returns although they were used: by
   an end that is taken too early, a schedule that a lost response left behind
   or a clock that was set.  */
START_TEST (no_sequence_uses_more_than_the_limit)
{
  ck_assert_int_eq (count_violations (0, DEPTH), 0);
}
END_TEST

/* Guards against an exploration that cannot find a violation.  */
START_TEST (an_end_that_is_too_early_is_found)
{
  ck_assert_int_gt (count_violations (3000, DEPTH), 0);
}
END_TEST

/* As above with longer sequences and all hosts.  */
START_TEST (random_schedules_stay_within_the_limit)
{
  /* Set for the sanitizers, which run fewer.  */
  const char *text = getenv ("DS_FAULT_SEEDS");
  int schedules = text != NULL ? (int)strtol (text, NULL, 10) : SCHEDULES;

  for (int seed = 1; seed <= schedules; seed++)
    {
      struct model model;

      start_model (&model);
      srandom ((unsigned)seed);
      for (int i = 0; i < STEPS; i++)
        take_step (&model, &choices[(size_t)random () % CHOICES]);
      ck_assert_msg (finish (&model, 6) <= LIMIT, "seed %d: %" PRIu64, seed,
                     model.used);
      free_model (&model);
    }
}
END_TEST

/* Uses DEMAND tokens a second for SECONDS at the home, which writes the ledger
   every 1.2 s, and stops just before a write.  */
static void
serve_demand (struct model *model, uint64_t demand, int seconds)
{
  const struct step wait = { WAIT, 0, 200 };
  struct ds_allotment *home = &model->hosts[0].allotment;
  uint64_t tokens = demand / 5;

  for (int i = 1; i < HOSTS; i++)
    model->hosts[i].allotment.home = DS_HOME_OTHER;
  for (int i = 0; i < seconds * 5; i++)
    {
      home->demand_since_tick += tokens;
      home->largest = tokens;
      take_step (model, &wait);
      ds_allotment_release (home, monotonic (model, &model->hosts[0]));
      if (ds_allotment_reserve (home, tokens))
        {
          ds_allotment_settle (home, tokens, tokens);
          model->used += tokens;
        }
      if (i % 6 == 0 || ds_allotment_needs_update (home, &policy))
        update (model, &model->hosts[0], WRITTEN);
    }
}

/* Lets all hosts end and start again, and returns how many tokens of the
   budget are lost.  */
static uint64_t
lose_all_hosts (uint64_t span_ms, uint64_t demand, uint64_t *usable)
{
  struct model model = { .now_ms = 100000 };
  struct ds_ledger_page *page;
  const struct ds_ledger_account *account;
  const struct step wait = { WAIT, 0, 2000 };
  uint64_t used;
  uint64_t lost;

  release_policy.span_ms = span_ms;
  for (int i = 0; i < HOSTS; i++)
    start_host (&model, i);
  take_step (&model, &wait);
  serve_demand (&model, demand, 9);
  *usable = model.hosts[0].allotment.free;
  used = model.used;
  for (int i = 0; i < HOSTS; i++)
    start_host (&model, i);
  take_step (&model, &wait);
  page = read_page (&model, &model.hosts[0]);
  account = ds_ledger_page_find (page, DS_STR ("w"));
  lost = LIMIT - used - ds_ledger_account_ungranted (account);
  release_policy.span_ms = 13000;
  free_model (&model);
  return lost;
}

/* Guards against a reserve for an outage of the store that is lost with the
   hosts.  Lost are the tokens usable at the end, and those that may have
   become usable since the last write: at most two seconds of demand.  */
START_TEST (the_end_of_all_hosts_loses_little)
{
  const uint64_t demand = 2500;
  uint64_t usable;
  uint64_t lost_at_once = lose_all_hosts (0, demand, &usable);
  uint64_t lost = lose_all_hosts (13000, demand, &usable);

  printf ("lost %" PRIu64 " tokens, %" PRIu64 " usable; without release over "
          "time %" PRIu64 "\n",
          lost, usable, lost_at_once);
  ck_assert_uint_le (lost, usable + 2 * demand);
  ck_assert_uint_lt (2 * lost, lost_at_once);
}
END_TEST

/* Guards against an end that is unknown, or taken too early, because a clock
   was set, hosts are few or datagrams waited while this process stood
   still.  */
START_TEST (fleet_time_needs_three_clocks_and_no_pause)
{
  struct ds_fleet_clock clock = { .count = 0 };

  ds_fleet_clock_observe (&clock, 1002000, 1000);
  ds_fleet_clock_receive (&clock, 1, 1000000, 0, 1000);
  ck_assert_uint_eq (ds_fleet_clock_latest (&clock, 1000, 1000), 0);
  ck_assert_uint_eq (ds_fleet_clock_earliest (&clock, 1000), 0);
  ds_fleet_clock_receive (&clock, 2, 1000010, 0, 1000);
  /* The own clock is two seconds ahead.  */
  ck_assert_uint_eq (ds_fleet_clock_earliest (&clock, 1000), 1000010);
  ck_assert_uint_eq (ds_fleet_clock_latest (&clock, 1000, 1000), 1003000);
  ck_assert_uint_eq (ds_fleet_clock_latest (&clock, 500, 1000), 1002500);
  /* After a pause, datagrams that waited say a time that is past.  */
  ds_fleet_clock_observe (&clock, 1007000, 6000);
  ds_fleet_clock_receive (&clock, 1, 1000100, 0, 6000);
  ds_fleet_clock_receive (&clock, 2, 1000110, 0, 6000);
  ck_assert_uint_eq (ds_fleet_clock_latest (&clock, 6000, 6000), 0);
}
END_TEST

/* Guards against two wrong ones of the three clocks that a host in a large
   fleet receives: its relays send the median of their zone.  */
START_TEST (medians_of_relays_replace_their_clocks)
{
  struct ds_fleet_clock relay = { .count = 0 };
  struct ds_fleet_clock clock = { .count = 0 };

  ds_fleet_clock_observe (&relay, 1002000, 1000);
  for (uint64_t i = 1; i <= 3; i++)
    ds_fleet_clock_receive (&relay, i, 1000000, 0, 1000);
  ck_assert_uint_eq (ds_fleet_clock_report (&relay, 1000), 0);
  ds_fleet_clock_receive (&relay, 4, 1000000, 0, 1000);
  ck_assert_uint_eq (ds_fleet_clock_report (&relay, 1000), 1000000);
  ds_fleet_clock_observe (&clock, 1000000, 1000);
  for (uint64_t i = 1; i <= 2; i++)
    ds_fleet_clock_receive (&clock, i, 1002000,
                            ds_fleet_clock_report (&relay, 1000), 1000);
  ck_assert_uint_eq (ds_fleet_clock_earliest (&clock, 1000), 1000000);
}
END_TEST

/* Guards against a successor that is taken for one because a clock was set
   back between two starts, and against records of one that still runs.  */
START_TEST (a_writer_that_may_run_keeps_its_tokens)
{
  struct model model;
  struct ds_ledger_page *page;
  uint64_t granted;
  struct ds_successor later = { .incarnation = 20000000, .since_ms = 1 };
  uint64_t end_ms;

  start_model (&model);
  ck_assert (!ds_fleet_clock_writer_end (&model.hosts[1].clock, &end_ms,
                                         18000000, &later, model.now_ms));
  ck_assert (ds_fleet_clock_writer_end (&model.hosts[1].clock, &end_ms,
                                        14000000, &later, model.now_ms));
  page = read_page (&model, &model.hosts[1]);
  granted = ds_ledger_page_find (page, DS_STR ("w"))->granted;
  /* A later incarnation that was known before the record was written.  */
  model.hosts[1].peers[0]
      = (struct ds_successor){ .incarnation = UINT64_MAX / 2, .since_ms = 1 };
  page = read_page (&model, &model.hosts[1]);
  ck_assert_uint_eq (ds_ledger_page_find (page, DS_STR ("w"))->granted,
                     granted);
  model.hosts[1].peers[0].since_ms = model.now_ms;
  page = read_page (&model, &model.hosts[1]);
  ck_assert_uint_lt (ds_ledger_page_find (page, DS_STR ("w"))->granted,
                     granted);
  free_model (&model);
}
END_TEST

/* Guards against pages that hosts of the previous version cannot read, and
   damaged records that are taken for none.  */
START_TEST (pages_keep_their_format)
{
  static const char plain[]
      = "{\"format\":2,\"accounts\":{\"w\":{\"limit\":9,\"version\":1,"
        "\"settled\":2,\"granted\":5}},\"writers\":{}}";
  static const char *const damaged[]
      = { "{\"a#1\":7}", "{\"a#1\":[7,8]}", "{\"a#1\":[-7,8,9]}",
          "{\"a#1\":[7,8,4294967296]}" };
  struct ds_ledger_page *page;
  struct ds_release_schedule schedule = { 3, 4, 5 };
  struct ds_error error;
  json_t *spec = json_loads (plain, 0, NULL);
  json_t *copy;
  json_t *account;

  ck_assert_int_eq (ds_ledger_page_decode (&page, scratch, spec, &error), 0);
  copy = ds_ledger_page_encode (page);
  ck_assert (json_equal (copy, spec));
  json_decref (copy);
  ck_assert_int_eq (ds_ledger_page_set_release (page, DS_STR ("w"),
                                                DS_STR ("a#1"), &schedule),
                    0);
  copy = ds_ledger_page_encode (page);
  ck_assert_int_eq (ds_ledger_page_decode (&page, scratch, copy, &error), 0);
  ck_assert_uint_eq (page->release_count, 1);
  ck_assert_uint_eq (page->releases[0].schedule.span_ms, 5);
  account = json_object_get (json_object_get (copy, "accounts"), "w");
  for (size_t i = 0; i < sizeof damaged / sizeof damaged[0]; i++)
    {
      ck_assert_int_eq (json_object_set_new (account, "releases",
                                             json_loads (damaged[i], 0, NULL)),
                        0);
      ck_assert_int_eq (ds_ledger_page_decode (&page, scratch, copy, &error),
                        DS_EPROTOCOL);
    }
  json_decref (copy);
  json_decref (spec);
}
END_TEST

/* Guards against a home that is cut off from the store and rejects requests
   while it holds tokens for them: it holds five seconds of demand, and the
   span is meant for thirteen.  */
START_TEST (a_partitioned_home_serves_the_usual_demand)
{
  const uint64_t demand = 1000;
  struct ds_release_policy by_rate
      = { .span_ms = 13000, .usable_ms = 1600, .rate_percent = 110 };
  struct ds_release_policy over_span = { .span_ms = 13000, .usable_ms = 1600 };
  struct ds_release_moment moment = { .now_ms = 1000, .wall_ms = 5000 };
  const struct ds_release_policy *policies[] = { &over_span, &by_rate };
  uint64_t served_ms[2] = { 0, 0 };

  for (int i = 0; i < 2; i++)
    {
      struct ds_allotment allotment = { .workspace = DS_STR ("w"),
                                        .home = DS_HOME_SELF,
                                        .demand = (double)demand,
                                        .free = 5 * demand };
      struct ds_ledger_page *page;

      ck_assert_int_eq (ds_ledger_page_new (&page, scratch), 0);
      ck_assert_ptr_nonnull (
          ds_ledger_page_find_or_add (page, allotment.workspace));
      ck_assert_int_eq (ds_allotment_lock (&allotment, page, DS_STR ("a#1"),
                                           policies[i], &moment, false),
                        0);
      allotment.lock.confirmed = allotment.lock.proposed;
      for (uint64_t now_ms = 1000; now_ms < 9000; now_ms += 100)
        {
          ds_allotment_release (&allotment, now_ms);
          if (ds_allotment_reserve (&allotment, demand / 10))
            served_ms[i] += 100;
        }
    }
  ck_assert_uint_ge (served_ms[1], 4900);
  ck_assert_uint_lt (served_ms[0], 4500);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("grant_release");
  TCase *test_case = tcase_create ("grant_release");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_set_timeout (test_case, 120);
  tcase_add_test (test_case, no_sequence_uses_more_than_the_limit);
  tcase_add_test (test_case, an_end_that_is_too_early_is_found);
  tcase_add_test (test_case, random_schedules_stay_within_the_limit);
  tcase_add_test (test_case, the_end_of_all_hosts_loses_little);
  tcase_add_test (test_case, fleet_time_needs_three_clocks_and_no_pause);
  tcase_add_test (test_case, medians_of_relays_replace_their_clocks);
  tcase_add_test (test_case, a_writer_that_may_run_keeps_its_tokens);
  tcase_add_test (test_case, a_partitioned_home_serves_the_usual_demand);
  tcase_add_test (test_case, pages_keep_their_format);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
