#include "core/cold_limit.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define BOUNDS ((struct ds_cold_bounds){ .overage = 1.5, .slack = 5 })
#define RULE ((struct ds_cold_rule){ .start_ms = 30000, .per_s = 7.3 })

#define HOSTS 60
#define REPLICAS 6
#define STEP_MS 5
#define RUN_MS UINT64_C (90000)
/* The links of all hosts stall for this time.  */
#define STALL_MS 50000
#define STALL_END_MS 53000
#define ARRIVALS_MAX 20000
/* Hosts that may send to one replica.  */
#define SENDERS 4

/* A host of the simulation.  It exists from JOINED_MS on, restarts when
   RESTART_MS has come, and does not reach the store while it is cut.  */
struct host
{
  struct ds_cold_limit limit;
  struct ds_cold_state states[REPLICAS];
  uint64_t name;
  uint64_t joined_ms;
  uint64_t restart_ms;
  uint64_t cut_ms;
  uint64_t cut_end_ms;
  unsigned stalled; /* replicas to which a request is held up, as bits */
  bool registered;
  bool settled;      /* as the store says */
  uint64_t asked_ms; /* of a list that has no response yet; or 0 */
  uint64_t listed[HOSTS];
  size_t listed_count;
};

static struct host hosts[HOSTS];
static struct arrival
{
  uint64_t ms;
  int host;
} arrivals[REPLICAS][ARRIVALS_MAX];
static size_t arrival_counts[REPLICAS];
static TALLOC_CTX *owner;

static uint64_t
draw (uint64_t below)
{
  return (uint64_t)random () % below;
}

static void
set_up (void)
{
  owner = talloc_new (NULL);
  memset (hosts, 0, sizeof hosts);
  memset (arrival_counts, 0, sizeof arrival_counts);
}

static void
tear_down (void)
{
  talloc_free (owner);
}

static bool
is_cut (const struct host *host, uint64_t now_ms)
{
  return now_ms >= host->cut_ms && now_ms < host->cut_end_ms;
}

static void
start (struct host *host, uint64_t now_ms)
{
  talloc_free (host->limit.hosts);
  host->limit = (struct ds_cold_limit){ .bounds = BOUNDS, .self = host->name };
  memset (host->states, 0, sizeof host->states);
  host->asked_ms = 0;
  for (int i = 0; i < REPLICAS; i++)
    (void)ds_cold_state_observe (&host->states[i], DS_COLD_UNKNOWN, 1, now_ms);
}

/* Registers the host, or reads the list of hosts; a list shows what the store
   held when it was read, and arrives a while later.  */
static void
call_store (struct host *host, uint64_t now_ms)
{
  if (host->asked_ms > 0 && now_ms - host->asked_ms > draw (400))
    {
      ck_assert_int_eq (
          ds_cold_limit_set_hosts (&host->limit, owner, host->listed,
                                   host->listed_count, host->asked_ms),
          0);
      host->asked_ms = 0;
    }
  if (is_cut (host, now_ms) || host->asked_ms > 0)
    return;
  if (host->limit.registered_ms == 0)
    {
      host->registered = true;
      host->limit.registered_ms = now_ms;
      host->limit.settled = host->settled;
      return;
    }
  if (ds_cold_limit_is_settled (&host->limit, now_ms))
    host->settled = true;
  if (!ds_cold_limit_needs_list (&host->limit, now_ms))
    return;
  host->asked_ms = now_ms;
  host->listed_count = 0;
  for (int i = 0; i < HOSTS; i++)
    if (hosts[i].registered)
      host->listed[host->listed_count++] = hosts[i].name;
}

/* Records a request sent at NOW_MS that arrives at AT_MS.  While the links
   stall, no connection is established; only a request that was sent on one
   before arrives afterwards.  */
static void
arrive (struct host *host, int replica, uint64_t now_ms, uint64_t at_ms)
{
  if (now_ms >= STALL_MS && now_ms < STALL_END_MS)
    {
      if ((host->stalled & 1U << replica) != 0)
        return;
      host->stalled |= 1U << replica;
      at_ms = STALL_END_MS;
    }
  ck_assert_uint_lt (arrival_counts[replica], ARRIVALS_MAX);
  arrivals[replica][arrival_counts[replica]++]
      = (struct arrival){ .ms = at_ms, .host = (int)(host - hosts) };
}

static void
send_all (struct host *host, uint64_t now_ms)
{
  /* Long enough for all of the run.  */
  struct ds_cold_rule rule = { .start_ms = 2 * RUN_MS, .per_s = RULE.per_s };

  for (int i = 0; i < REPLICAS; i++)
    {
      if (ds_cold_limit_wait_ms (&host->limit, &rule, &host->states[i],
                                 1000 + (uint64_t)i, 0, now_ms)
          > 0)
        continue;
      host->states[i].sent_ms = now_ms;
      /* Connecting takes no time or as long as it may.  */
      arrive (host, i, now_ms, now_ms + draw (2) * 250);
    }
}

static void
run (void)
{
  for (uint64_t now_ms = 1; now_ms < RUN_MS; now_ms += STEP_MS)
    for (int i = 0; i < HOSTS; i++)
      {
        struct host *host = &hosts[i];

        if (now_ms < host->joined_ms)
          continue;
        if (host->limit.self == 0)
          start (host, now_ms);
        if (host->restart_ms > 0 && now_ms >= host->restart_ms)
          {
            host->restart_ms = 0;
            start (host, now_ms);
          }
        call_store (host, now_ms);
        send_all (host, now_ms);
      }
}

static int
compare_times (const void *a, const void *b)
{
  const struct arrival *left = a;
  const struct arrival *right = b;

  return left->ms < right->ms ? -1 : left->ms > right->ms;
}

/* Checks the arrivals from FIRST to LAST, which lie within a second.  */
static void
check_second (const struct arrival *first, const struct arrival *last)
{
  bool sent[HOSTS] = { false };
  int senders = 0;

  for (const struct arrival *a = first; a <= last; a++)
    {
      senders += !sent[a->host];
      sent[a->host] = true;
    }
  ck_assert_int_le (senders, SENDERS);
  ck_assert_double_le ((double)(last - first + 1),
                       RULE.per_s * BOUNDS.overage + BOUNDS.slack);
}

/* Checks the arrivals at each replica in any span of one second, both ends
   included.  */
static void
check_arrivals (void)
{
  for (int i = 0; i < REPLICAS; i++)
    {
      size_t first = 0;

      qsort (arrivals[i], arrival_counts[i], sizeof arrivals[i][0],
             compare_times);
      for (size_t k = 0; k < arrival_counts[i]; k++)
        {
          while (arrivals[i][k].ms - arrivals[i][first].ms > 1000)
            first++;
          check_second (&arrivals[i][first], &arrivals[i][k]);
        }
    }
}

static size_t
arrivals_between (uint64_t begin_ms, uint64_t end_ms)
{
  size_t count = 0;

  for (int i = 0; i < REPLICAS; i++)
    for (size_t k = 0; k < arrival_counts[i]; k++)
      count += arrivals[i][k].ms >= begin_ms && arrivals[i][k].ms < end_ms;
  return count;
}

/* Some start together, the others join one after another; they restart and are
   cut off at different times.  */
static void
plan_disorder (struct host *host, int i)
{
  host->joined_ms = 1 + (i < HOSTS / 3 ? draw (500) : draw (60000));
  if (draw (3) == 0)
    host->restart_ms = host->joined_ms + 1 + draw (60000);
  if (draw (2) == 0)
    {
      host->cut_ms = draw (RUN_MS);
      host->cut_end_ms = host->cut_ms + draw (60000);
    }
}

/* Half of the hosts are cut off for good; then the others join.  */
static void
plan_replacement (struct host *host, int i)
{
  host->joined_ms = i < HOSTS / 2 ? 1 : 15000 + draw (2000);
  host->cut_ms = i < HOSTS / 2 ? 14000 + draw (1000) : RUN_MS;
  host->cut_end_ms = RUN_MS;
}

static void
plan_calm (struct host *host, int i)
{
  (void)i;
  host->joined_ms = 1;
}

static void
run_plan (void (*plan) (struct host *, int), unsigned seed)
{
  srandom (seed);
  for (int i = 0; i < HOSTS; i++)
    {
      hosts[i].name = (uint64_t)random () << 8 | (uint64_t)i;
      plan (&hosts[i], i);
    }
  run ();
  check_arrivals ();
}

/* Guards against a replica that gets more than its limit from hosts that know
   different sets of hosts.  All send whenever they may.  */
START_TEST (the_limit_holds_when_hosts_disagree)
{
  run_plan (_i % 5 == 0 ? plan_replacement : plan_disorder, (unsigned)_i);
}
END_TEST

/* Guards against a limit that keeps replicas idle: from hosts that all run,
   each replica gets nearly what the service takes.  */
START_TEST (a_steady_fleet_uses_the_rate)
{
  double whole = RULE.per_s * REPLICAS * 30;

  run_plan (plan_calm, 1);
  ck_assert_uint_eq (arrivals_between (0, 9000), 0);
  ck_assert_double_le ((double)arrivals_between (15000, 45000), whole);
  ck_assert_double_ge ((double)arrivals_between (15000, 45000), 0.9 * whole);
}
END_TEST

/* Bounds and rates with which the share must stay within the limit.  */
static const struct
{
  double overage;
  double slack;
  double per_s;
} limits[] = {
  { 1.5, 5, 7.3 }, { 1.5, 5, 0.2 }, { 1.5, 5, 60 }, { 1, 0, 7.3 },
  { 1, 0, 1 },     { 1, 0, 0.5 },   { 2, 1, 1 },    { 1, 1, 1000 },
};

/* Guards against settings that leave no room for as many senders, for one more
   than chosen, or for a request that a stall has held up.  */
START_TEST (the_share_fits_any_settings)
{
  struct ds_cold_bounds bounds
      = { .overage = limits[_i].overage, .slack = limits[_i].slack };
  struct ds_cold_rule rule = { .start_ms = 1000, .per_s = limits[_i].per_s };
  double limit = rule.per_s * bounds.overage + bounds.slack;

  for (size_t count = 0; count < 8; count++)
    {
      struct ds_cold_share share = ds_cold_limit_share (&bounds, &rule, count);
      uint64_t senders;
      uint64_t most;

      ck_assert_int_eq (share.hosts == 0, count == 0 || limit < 1);
      if (share.hosts == 0)
        continue;
      ck_assert_uint_le (share.hosts, count);
      senders = share.hosts + (limit >= 2);
      most = senders * (1250 / share.spacing_ms + 1);
      ck_assert_double_le ((double)most, limit);
      most = senders * (1000 / share.spacing_ms + 2);
      if (limit >= 4)
        ck_assert_double_le ((double)most, limit);
      ck_assert_double_le (
          (double)(share.hosts * 1000) / (double)share.spacing_ms, rule.per_s);
    }
}
END_TEST

/* Returns a host that is alone in the fleet and may send.  */
static struct ds_cold_limit
lone_host (void)
{
  struct ds_cold_limit limit
      = { .bounds = BOUNDS, .self = 7, .registered_ms = 1 };

  ck_assert_int_eq (
      ds_cold_limit_set_hosts (&limit, owner, &limit.self, 1, 15000), 0);
  return limit;
}

/* Guards against requests to a replica of which nothing is known, against one
   that counts as cold again with each list, against a copy of an old response
   that makes it warm, and against one whose connection broke and that no call
   to the store has named since.  */
START_TEST (what_is_known_of_a_replica_ages)
{
  struct ds_cold_state state = { .observed_ms = 0 };

  ck_assert_uint_eq (ds_cold_state_remaining_ms (&state, &RULE, 99999), 30000);
  ck_assert (ds_cold_state_observe (&state, DS_COLD_UNKNOWN, 4, 1000));
  /* An earlier incarnation of the host may have sent a request just now.  */
  ck_assert_uint_eq (state.sent_ms, 1000);
  ck_assert_uint_eq (ds_cold_state_remaining_ms (&state, &RULE, 2000), 29000);
  ck_assert (!ds_cold_state_observe (&state, DS_COLD_UNKNOWN, 4, 20000));
  ck_assert_uint_eq (ds_cold_state_remaining_ms (&state, &RULE, 31000), 0);
  ck_assert (ds_cold_state_observe (&state, 4000, 5, 40000));
  ds_cold_state_hear (&state, 0, false, 40001);
  ck_assert_uint_eq (ds_cold_state_remaining_ms (&state, &RULE, 40500), 3500);
  ds_cold_state_hear (&state, 9000, false, 41000);
  ck_assert_uint_eq (ds_cold_state_remaining_ms (&state, &RULE, 41000), 9000);
  ds_cold_state_hear (&state, 0, true, 42000);
  ck_assert_uint_eq (ds_cold_state_remaining_ms (&state, &RULE, 42000), 0);
  ds_cold_state_forget (&state, 50000);
  ck_assert_uint_eq (ds_cold_state_remaining_ms (&state, &RULE, 51000), 29000);
  ck_assert_uint_eq (ds_cold_state_remaining_ms (
                         &state, &(struct ds_cold_rule){ .per_s = 0 }, 51000),
                     0);
  /* It may restart while the host is cut off from the store.  */
  (void)ds_cold_state_observe (&state, 0, 6, 60000);
  ds_cold_state_doubt (&state, 65000);
  ds_cold_state_end_doubt (&state, 64000);
  ck_assert_uint_eq (ds_cold_state_remaining_ms (&state, &RULE, 66000), 29000);
  ds_cold_state_end_doubt (&state, 66000);
  ck_assert_uint_eq (ds_cold_state_remaining_ms (&state, &RULE, 66000), 0);
}
END_TEST

/* Guards against requests from a host that does not know the others, or whose
   list is old, or that the others may not know yet.  */
START_TEST (a_host_without_a_current_list_sends_nothing)
{
  struct ds_cold_limit limit = lone_host ();
  struct ds_cold_limit unlisted = { .bounds = BOUNDS, .registered_ms = 1 };
  struct ds_cold_state state = { .observed_ms = 0 };
  struct ds_cold_state other = { .observed_ms = 0 };

  (void)ds_cold_state_observe (&state, 20000, 1, 15000);
  (void)ds_cold_state_observe (&other, 20000, 1, 15000);
  ck_assert_uint_eq (
      ds_cold_limit_wait_ms (&unlisted, &RULE, &other, 5, 0, 16000), 1000);
  ck_assert_uint_eq (
      ds_cold_limit_wait_ms (&limit, &RULE, &state, 5, 0, 16000), 0);
  ck_assert_uint_gt (
      ds_cold_limit_wait_ms (&limit, &RULE, &state, 5, 0, 24000), 0);
  ck_assert_uint_eq (
      ds_cold_limit_wait_ms (&limit, &RULE, &state, 5, 0, 34900), 100);
  limit.registered_ms = 10000;
  ck_assert_uint_eq (
      ds_cold_limit_wait_ms (&limit, &RULE, &state, 5, 0, 16000), 4251);
}
END_TEST

/* Guards against hosts that choose other senders from lists which lack the
   registrations that a restored store has lost.  */
START_TEST (a_new_era_makes_a_settled_host_wait)
{
  struct ds_cold_limit limit = lone_host ();
  struct ds_cold_state state = { .observed_ms = 0 };

  limit.settled = true;
  (void)ds_cold_state_observe (&state, 20000, 1, 15000);
  ck_assert_uint_eq (
      ds_cold_limit_wait_ms (&limit, &RULE, &state, 5, 0, 16000), 0);
  ds_cold_limit_begin_era (&limit);
  ck_assert (ds_cold_limit_needs_list (&limit, 16000));
  ck_assert_uint_gt (
      ds_cold_limit_wait_ms (&limit, &RULE, &state, 5, 0, 16000), 0);
  limit.registered_ms = 16000;
  ck_assert_int_eq (
      ds_cold_limit_set_hosts (&limit, owner, &limit.self, 1, 16000), 0);
  ck_assert_uint_gt (
      ds_cold_limit_wait_ms (&limit, &RULE, &state, 5, 0, 24000), 0);
  ck_assert (!ds_cold_limit_is_settled (&limit, 26250));
  ck_assert (ds_cold_limit_is_settled (&limit, 26251));
}
END_TEST

/* Guards against a less urgent request that takes the turn of a more urgent
   one which was told to come back for it, and against one that waits for an
   urgent request which does not return.  */
START_TEST (the_most_urgent_request_goes_first)
{
  struct ds_cold_limit limit = lone_host ();
  struct ds_cold_state state = { .observed_ms = 0 };
  uint64_t wait_ms;

  (void)ds_cold_state_observe (&state, 20000, 1, 15000);
  state.sent_ms = 16000;
  wait_ms = ds_cold_limit_wait_ms (&limit, &RULE, &state, 5, 0, 16000);
  ck_assert_uint_gt (wait_ms, 0);
  ds_cold_limit_record_refusal (&limit, 0, wait_ms, 16000);
  ck_assert_uint_gt (
      ds_cold_limit_wait_ms (&limit, &RULE, &state, 5, 3, 16000 + wait_ms), 0);
  ck_assert_uint_eq (
      ds_cold_limit_wait_ms (&limit, &RULE, &state, 5, 0, 16000 + wait_ms), 0);
  ck_assert_uint_eq (
      ds_cold_limit_wait_ms (&limit, &RULE, &state, 5, 3, 16000 + 2 * wait_ms),
      0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("cold_limit");
  TCase *core = tcase_create ("core");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_checked_fixture (core, set_up, tear_down);
  tcase_set_timeout (core, 120);
  tcase_add_loop_test (core, the_limit_holds_when_hosts_disagree, 0, 25);
  tcase_add_test (core, a_steady_fleet_uses_the_rate);
  tcase_add_loop_test (core, the_share_fits_any_settings, 0,
                       sizeof limits / sizeof limits[0]);
  tcase_add_test (core, what_is_known_of_a_replica_ages);
  tcase_add_test (core, a_host_without_a_current_list_sends_nothing);
  tcase_add_test (core, a_new_era_makes_a_settled_host_wait);
  tcase_add_test (core, the_most_urgent_request_goes_first);
  suite_add_tcase (suite, core);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
