#include "core/address_choice.h"
#include "core/host_load.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Replays of loads on a fleet, with the usual choice of addresses and with the
   one by load.  Loads are in thousandths of a core; capacities in hundredths,
   as hosts report them.  */

#define ZONES 3
#define HOSTS_MAX 62
#define CALLERS_MAX 400
#define TICK_MS 200
#define STRONG 50 /* capacity of the strongest hosts */
#define TTL_MS 2000
#define TWO_LIFETIMES_MS 4000
/* Bytes of both directions in a tick for a load of 1; 200 Mbit/s are as much
   as a core.  */
#define BYTES_PER_LOAD (0.2e6 / 8 * TICK_MS / 1000)

static const struct ds_str zone_names[ZONES]
    = { DS_STR ("a"), DS_STR ("b"), DS_STR ("c") };

struct host
{
  char address[24];
  uint32_t capacity;
  int zone;
  double offered;
  uint64_t bytes;
  struct ds_host_load load;
  struct ds_heavy_callers heavy;
  uint64_t level_changed_ms;
  int over_ms;  /* above three times the fair load until now */
  int over_max; /* longest such time */
};

struct caller
{
  uint64_t origin;
  int zone;
  double load;
  bool single; /* sends all to one host at a time */
  uint64_t lookup_ms;
  struct ds_str list[DS_ADDRESSES_MAX];
  size_t count;
  size_t usual; /* position of the host in use, if SINGLE */
  int moves;
  double sent;
  double served;
};

/* A load: hosts of each zone, strong ones first; callers with a constant load
   each, which changes for zone a at LATER_MS.  */
struct replay
{
  const char *name;
  int hosts[ZONES];
  int strong;    /* in each zone */
  uint32_t weak; /* capacity of the others */
  int callers[ZONES];
  double load;
  int single[ZONES];
  double single_load;
  double later; /* factor for zone a */
  uint64_t later_ms;
};

struct outcome
{
  int over_max_ms;
  int moves_max;        /* of a single caller */
  double served[ZONES]; /* part of the load, in the first part */
  int differing;        /* answers at the end that are not the usual ones */
};

static struct host hosts[HOSTS_MAX];
static int host_count;
static struct caller callers[CALLERS_MAX];
static int caller_count;
static uint32_t random_state;

static uint32_t
next_random (void)
{
  random_state = random_state * 1664525 + 1013904223;
  return random_state >> 8;
}

static void
set_up (const struct replay *replay)
{
  memset (hosts, 0, sizeof hosts);
  memset (callers, 0, sizeof callers);
  host_count = 0;
  caller_count = 0;
  random_state = 7;
  for (int zone = 0; zone < ZONES; zone++)
    {
      for (int i = 0; i < replay->hosts[zone]; i++)
        {
          struct host *host = &hosts[host_count++];

          (void)snprintf (host->address, sizeof host->address, "10.0.%d.%d:80",
                          zone, i);
          host->zone = zone;
          host->capacity = i < replay->strong ? STRONG : replay->weak;
        }
      for (int i = 0; i < replay->callers[zone] + replay->single[zone]; i++)
        {
          struct caller *caller = &callers[caller_count++];

          *caller = (struct caller){
            .origin = ds_str_hash (zone_names[zone], 1000 + (uint64_t)i),
            .zone = zone,
            .single = i >= replay->callers[zone],
            .lookup_ms = 1000 + next_random () % TTL_MS,
          };
          caller->load = caller->single ? replay->single_load : replay->load;
        }
    }
}

static size_t
list_candidates (struct ds_address_candidate *out)
{
  for (int i = 0; i < host_count; i++)
    out[i] = (struct ds_address_candidate){
      .zone = zone_names[hosts[i].zone],
      .region = DS_STR ("r"),
      .address = ds_str_from_c (hosts[i].address),
      .capacity = hosts[i].capacity,
      .machine_capacity = hosts[i].capacity,
      .id = (uint32_t)i,
      .level = hosts[i].load.level,
    };
  return (size_t)host_count;
}

static struct host *
find_host (struct ds_str address)
{
  for (int i = 0; i < host_count; i++)
    if (ds_str_equal (ds_str_from_c (hosts[i].address), address))
      return &hosts[i];
  ck_abort_msg ("no such host");
}

/* CALLER asks some host for addresses.  A single caller keeps its host if it
   is still named.  True if the answer is the usual one.  */
static bool
look_up (struct caller *caller, bool spread, uint64_t now_ms)
{
  struct ds_address_candidate candidates[HOSTS_MAX];
  size_t count = list_candidates (candidates);
  const struct host *answering = &hosts[next_random () % (uint32_t)host_count];
  struct ds_str list[DS_ADDRESSES_MAX];
  struct ds_str before
      = caller->count > 0 ? caller->list[caller->usual] : DS_STR_EMPTY;
  size_t found
      = ds_address_choose (list, candidates, count, zone_names[caller->zone],
                           DS_STR ("r"), caller->origin);
  bool same;

  caller->count = found;
  memcpy (caller->list, list, sizeof list);
  if (spread)
    caller->count = ds_address_spread (
        caller->list, candidates, count, zone_names[caller->zone],
        DS_STR ("r"), caller->origin, &answering->heavy, now_ms);
  same = found == caller->count;
  for (size_t i = 0; i < found && same; i++)
    same = ds_str_equal (caller->list[i], list[i]);
  caller->lookup_ms = now_ms + TTL_MS;
  for (caller->usual = 0; caller->usual < caller->count; caller->usual++)
    if (ds_str_equal (caller->list[caller->usual], before))
      return same;
  ck_assert_uint_gt (caller->count, 0);
  caller->usual = next_random () % caller->count;
  caller->moves++;
  return same;
}

/* Whether the host in use closes the connections of CALLER.  */
static bool
is_shed (const struct caller *caller)
{
  const struct host *host = find_host (caller->list[caller->usual]);
  uint32_t load = ds_heavy_callers_load (&host->heavy, caller->origin);

  return load > 0 && host->capacity < STRONG
         && !ds_heavy_fits (load, host->capacity * 10);
}

static void
send_requests (bool spread, uint64_t now_ms)
{
  for (int i = 0; i < host_count; i++)
    hosts[i].offered = 0;
  for (int i = 0; i < caller_count; i++)
    {
      struct caller *caller = &callers[i];

      if (now_ms >= caller->lookup_ms || caller->count == 0)
        (void)look_up (caller, spread, now_ms);
      if (spread && caller->single && is_shed (caller))
        {
          caller->usual = next_random () % caller->count;
          caller->moves++;
        }
      for (size_t k = 0; k < caller->count; k++)
        {
          struct host *host = find_host (caller->list[k]);
          double load = caller->single
                            ? (k == caller->usual ? caller->load : 0)
                            : caller->load / (double)caller->count;

          host->offered += load;
          if (load > 0)
            ds_heavy_callers_record (&host->heavy, caller->origin,
                                     (uint64_t)(load * BYTES_PER_LOAD));
        }
    }
  for (int i = 0; i < caller_count; i++)
    for (size_t k = 0; k < callers[i].count; k++)
      {
        const struct host *host = find_host (callers[i].list[k]);
        double load = callers[i].single
                          ? (k == callers[i].usual ? callers[i].load : 0)
                          : callers[i].load / (double)callers[i].count;
        double part = host->offered > host->capacity * 10.0
                          ? host->capacity * 10.0 / host->offered
                          : 1;

        callers[i].sent += load;
        callers[i].served += load * part;
      }
}

/* One tick of HOST; what it reports reaches the others.  */
static void
tick (struct host *host, uint64_t now_ms)
{
  const struct ds_host_limits limits = { .link_mbps = host->capacity * 2 };
  double capacity = host->capacity * 10.0;
  double used = host->offered < capacity ? host->offered : capacity;
  uint32_t id = (uint32_t)(host - hosts);
  struct ds_host_usage usage;
  struct ds_heavy_tick heavy = {
    .host = id, .capacity = capacity, .elapsed_ms = TICK_MS, .now_ms = now_ms
  };
  double percent;

  host->bytes += (uint64_t)(used * BYTES_PER_LOAD);
  usage = (struct ds_host_usage){ .bytes = host->bytes };
  ds_host_load_measure (&host->load, &limits, &usage, now_ms);
  percent = ds_host_load_percent (&host->load);
  heavy.used = ds_host_load_demand (percent) * capacity / 100;
  heavy.over = ds_host_load_is_over (percent);
  (void)ds_heavy_callers_tick (&host->heavy, &heavy);
  if (host->capacity < STRONG)
    percent -= 100.0 / capacity
               * ds_heavy_callers_misplaced (&host->heavy, id,
                                             (uint32_t)capacity, now_ms);
  if (ds_host_load_update_level (&host->load, percent, TTL_MS, now_ms))
    {
      ck_assert (host->level_changed_ms == 0
                 || now_ms - host->level_changed_ms >= TWO_LIFETIMES_MS);
      host->level_changed_ms = now_ms;
    }
  for (size_t k = 0; k < host->heavy.count; k++)
    for (int i = 0; i < host_count; i++)
      if (&hosts[i] != host && host->heavy.callers[k].host == id
          && ds_heavy_caller_is_recent (&host->heavy.callers[k],
                                        DS_HEAVY_DIRECT, now_ms))
        (void)ds_heavy_callers_report (
            &hosts[i].heavy, host->heavy.callers[k].origin, id,
            host->heavy.callers[k].load, DS_HEAVY_FLEET, now_ms);
}

/* Notes for how long hosts have had more than three times their fair load.  A
   host that is below its limit counts as within it: responses must not change
   while no host is short.  */
static void
judge_hosts (void)
{
  double offered = 0;
  double capacity = 0;

  for (int i = 0; i < host_count; i++)
    {
      offered += hosts[i].offered;
      capacity += hosts[i].capacity;
    }
  for (int i = 0; i < host_count; i++)
    {
      struct host *host = &hosts[i];

      host->over_ms = host->offered > 3 * offered * host->capacity / capacity
                              && ds_host_load_is_over (host->offered * 10
                                                       / host->capacity)
                          ? host->over_ms + TICK_MS
                          : 0;
      if (host->over_ms > host->over_max)
        host->over_max = host->over_ms;
    }
}

static struct outcome
play (const struct replay *replay, bool spread)
{
  struct outcome outcome = { .over_max_ms = 0 };
  double sent[ZONES] = { 0 };
  double served[ZONES] = { 0 };

  set_up (replay);
  for (uint64_t now_ms = 1000; now_ms < 2 * replay->later_ms;
       now_ms += TICK_MS)
    {
      if (now_ms == replay->later_ms)
        for (int i = 0; i < caller_count; i++)
          {
            struct caller *caller = &callers[i];

            sent[caller->zone] += caller->sent;
            served[caller->zone] += caller->served;
            caller->load *= caller->zone == 0 ? replay->later : 1;
          }
      send_requests (spread, now_ms);
      judge_hosts ();
      for (int i = 0; i < host_count; i++)
        tick (&hosts[i], now_ms);
    }
  for (int i = 0; i < host_count; i++)
    if (hosts[i].over_max > outcome.over_max_ms)
      outcome.over_max_ms = hosts[i].over_max;
  for (int i = 0; i < ZONES; i++)
    outcome.served[i] = served[i] / sent[i];
  for (int i = 0; i < caller_count; i++)
    {
      if (callers[i].single && callers[i].moves > outcome.moves_max)
        outcome.moves_max = callers[i].moves;
      outcome.differing
          += look_up (&callers[i], spread, 2 * replay->later_ms) ? 0 : 1;
    }
  printf ("%s, %s: over %d ms, moves %d, served %.2f %.2f %.2f, differing "
          "%d\n",
          replay->name, spread ? "by load" : "usual", outcome.over_max_ms,
          outcome.moves_max, outcome.served[0], outcome.served[1],
          outcome.served[2], outcome.differing);
  (void)fflush (stdout);
  return outcome;
}

static const struct replay heavy_callers[] = {
  { "one caller in each zone",
    { 21, 21, 20 },
    2,
    5,
    { 60, 60, 60 },
    8,
    { 1, 1, 1 },
    80,
    1,
    60000 },
  { "two callers in each zone",
    { 21, 21, 20 },
    2,
    5,
    { 60, 60, 60 },
    8,
    { 2, 2, 2 },
    120,
    1,
    60000 },
  { "three callers in one zone",
    { 21, 21, 20 },
    2,
    5,
    { 60, 60, 60 },
    8,
    { 3, 0, 0 },
    160,
    1,
    60000 },
  { "six callers in one zone",
    { 21, 21, 20 },
    2,
    5,
    { 60, 60, 60 },
    8,
    { 6, 0, 0 },
    160,
    1,
    60000 },
  { "seven hosts",
    { 3, 2, 2 },
    1,
    20,
    { 20, 20, 20 },
    5,
    { 1, 1, 0 },
    320,
    1,
    60000 },
};

/* Guards against a caller that stays at, or wanders between, hosts that it
   overloads.  */
START_TEST (a_heavy_caller_gets_hosts_that_carry_it)
{
  struct outcome usual = play (&heavy_callers[_i], false);
  struct outcome spread = play (&heavy_callers[_i], true);

  ck_assert_int_gt (usual.over_max_ms, TWO_LIFETIMES_MS);
  ck_assert_int_le (spread.over_max_ms, TWO_LIFETIMES_MS);
  ck_assert_int_le (spread.moves_max, 8);
}
END_TEST

static const struct replay short_zones[] = {
  { "one zone is short",
    { 21, 21, 20 },
    2,
    5,
    { 100, 12, 12 },
    26,
    { 0, 0, 0 },
    0,
    0.1,
    120000 },
  { "seven hosts, one zone is short",
    { 3, 2, 2 },
    1,
    20,
    { 60, 10, 10 },
    18,
    { 0, 0, 0 },
    0,
    0.1,
    120000 },
};

/* Guards against a zone that is short while others are idle, and against
   callers that stay in other zones afterwards.  */
START_TEST (callers_of_a_short_zone_get_other_hosts)
{
  struct outcome usual = play (&short_zones[_i], false);
  struct outcome spread = play (&short_zones[_i], true);

  ck_assert_double_lt (usual.served[0] + 0.15, usual.served[1]);
  for (int i = 0; i < ZONES; i++)
    for (int k = 0; k < ZONES; k++)
      ck_assert_double_le (spread.served[i], spread.served[k] + 0.15);
  ck_assert_int_le (spread.over_max_ms, TWO_LIFETIMES_MS);
  ck_assert_int_eq (spread.differing, 0);
}
END_TEST

static const struct replay ample[] = {
  { "no overload",
    { 21, 21, 20 },
    2,
    5,
    { 60, 60, 60 },
    5,
    { 0, 0, 0 },
    0,
    1,
    30000 },
  { "seven hosts, no overload",
    { 3, 2, 2 },
    1,
    20,
    { 10, 10, 10 },
    5,
    { 0, 0, 0 },
    0,
    1,
    30000 },
};

/* Guards against other answers than the usual ones while no host is short.  */
START_TEST (answers_do_not_change_without_overload)
{
  ck_assert_int_eq (play (&ample[_i], true).differing, 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("caller_spread");
  TCase *test_case = tcase_create ("caller_spread");
  SRunner *runner;
  int failed;

  tcase_set_timeout (test_case, 60);
  tcase_add_loop_test (test_case, a_heavy_caller_gets_hosts_that_carry_it, 0,
                       5);
  tcase_add_loop_test (test_case, callers_of_a_short_zone_get_other_hosts, 0,
                       2);
  tcase_add_loop_test (test_case, answers_do_not_change_without_overload, 0,
                       2);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
