/* Measures refusals, bills and platform calls of the decision core in virtual
   time under the workloads of two deployments, next to two baselines that get
   the same arrivals.  "bench_budget sweep" repeats the situations for several
   values of draw_percent.  */
#include "bench/support/virtual_fleet.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_SECOND ((uint64_t)1000000)
#define US_PER_MS ((uint64_t)1000)
#define HOSTS 8
#define BUDGETS 10
#define LARGE_BUDGETS 3
/* Share of eight hosts in 3,300 requests/s on 390 hosts.  */
#define REQUESTS_PER_SECOND 68.0
/* Load is in proportion to budget size: three budgets of 500 M and seven of
   20 M tokens.  */
#define LARGE_BUDGETS_LOAD_SHARE (1500.0 / 1640.0)
#define LAST_PERCENT_SEEDS 8
#define START_US (5 * US_PER_SECOND)
/* Load before a fault, long enough to fill the demand windows.  */
#define WARM_UP_US (120 * US_PER_SECOND)
#define PARTITION_US (600 * US_PER_SECOND)

struct deployment
{
  const char *name;
  uint64_t cross_zone_delay_us;
  uint64_t client_delay_us;
  /* As in examples/NAME/budgets.json.  */
  uint32_t draw_percent;
  /* Long requests per 1,000 requests.  */
  int long_per_mille;
  /* Body bytes, output limit and smallest output in tokens, each for short
     and long requests.  */
  int input_bytes[2][2];
  int output_limit[2];
  int min_output[2];
  /* The load rises from 0.5 to 1.5 times the mean and falls again.  */
  bool has_peak;
};

static const struct deployment deployments[] = {
  { .name = "treidelstall",
    .cross_zone_delay_us = 1500,
    .client_delay_us = 1000,
    .draw_percent = 50,
    .long_per_mille = 150,
    .input_bytes = { { 200, 1500 }, { 20000, 100000 } },
    .output_limit = { 256, 2048 },
    .min_output = { 20, 200 },
    .has_peak = true },
  { .name = "consorzio",
    .cross_zone_delay_us = 500,
    .client_delay_us = 3000,
    .draw_percent = 12,
    .long_per_mille = 100,
    .input_bytes = { { 200, 2000 }, { 5000, 40000 } },
    .output_limit = { 512, 4096 },
    .min_output = { 50, 1000 },
    .has_peak = false },
};

enum situation
{
  HEALTHY,
  /* Two zones cannot reach the third and the platform.  */
  PARTITION_TWO_ZONES,
  /* One zone cannot reach the others and the platform.  */
  PARTITION_ONE_ZONE,
  LAST_PERCENT_LARGE,
  LAST_PERCENT_SMALL,
  CRASH
};

struct arrival
{
  uint64_t at;
  int host;
  int budget;
  uint64_t reserve;
  uint64_t cost;
  uint64_t duration_us;
};

struct scenario
{
  const struct deployment *deployment;
  enum situation situation;
  struct virtual_fleet_options options;
  GArray *arrivals;
  uint64_t fault_at;
  uint64_t fault_end;
  uint64_t end;
};

struct result
{
  struct virtual_fleet_totals totals;
  uint64_t requests; /* in the measured period */
  uint64_t false_refusals;
  uint64_t journal_refusals;
  uint64_t dispatched;
  uint64_t estimated_bills;
  uint64_t double_bills;
  uint64_t lost_bills;
  uint64_t wrong_bills;
  uint64_t second_runs;
  uint64_t false_did_not_run;
  uint64_t recovery_us;
};

static uint64_t
random_in_range (GRand *random, int low, int high)
{
  return (uint64_t)g_rand_int_range (random, low, high + 1);
}

static bool
is_partition (const struct scenario *scenario)
{
  return scenario->situation == PARTITION_TWO_ZONES
         || scenario->situation == PARTITION_ONE_ZONE;
}

static bool
is_last_percent (const struct scenario *scenario)
{
  return scenario->situation == LAST_PERCENT_LARGE
         || scenario->situation == LAST_PERCENT_SMALL;
}

static bool
is_isolated_host (const struct scenario *scenario, int host)
{
  bool is_first_zone = host % 3 == 0;

  return scenario->situation == PARTITION_ONE_ZONE ? is_first_zone
                                                   : !is_first_zone;
}

/* Requests per second at AT.  */
static double
request_rate (const struct scenario *scenario, uint64_t at)
{
  double peak = 1.0;
  double middle = (double)scenario->end / 2;

  if (scenario->deployment->has_peak)
    peak = 1.5 - ABS ((double)at - middle) / middle;
  switch (scenario->situation)
    {
    case LAST_PERCENT_LARGE:
      return REQUESTS_PER_SECOND * LARGE_BUDGETS_LOAD_SHARE / LARGE_BUDGETS;
    case LAST_PERCENT_SMALL:
      return REQUESTS_PER_SECOND * (1 - LARGE_BUDGETS_LOAD_SHARE)
             / (BUDGETS - LARGE_BUDGETS);
    case CRASH:
      return REQUESTS_PER_SECOND / 4;
    default:
      return REQUESTS_PER_SECOND * peak;
    }
}

static int
pick_budget (const struct scenario *scenario, GRand *random)
{
  if (scenario->situation == LAST_PERCENT_LARGE)
    return 0;
  if (scenario->situation == LAST_PERCENT_SMALL)
    return LARGE_BUDGETS;
  return g_rand_double (random) < LARGE_BUDGETS_LOAD_SHARE
             ? (int)random_in_range (random, 0, LARGE_BUDGETS - 1)
             : (int)random_in_range (random, LARGE_BUDGETS, BUDGETS - 1);
}

/* Picks a host by the weights of the address response.  RANKS holds the hosts
   of each budget in the order of the response.  In the last-percent situations
   all hosts are equally likely.  */
static int
pick_host (const struct scenario *scenario, GRand *random,
           int ranks[BUDGETS][HOSTS], int budget)
{
  uint64_t point = random_in_range (random, 0, 2 * 100 + HOSTS - 3);

  if (is_last_percent (scenario))
    return (int)random_in_range (random, 0, HOSTS - 1);
  return ranks[budget][point < 200 ? point / 100 : point - 198];
}

static void
generate_arrivals (struct scenario *scenario, int ranks[BUDGETS][HOSTS])
{
  const struct deployment *deployment = scenario->deployment;
  GRand *random = g_rand_new_with_seed ((guint32)scenario->options.seed);
  uint64_t last = is_partition (scenario) ? scenario->fault_end
                                          : scenario->end - 60 * US_PER_SECOND;
  double at = (double)START_US;

  scenario->arrivals = g_array_new (FALSE, TRUE, sizeof (struct arrival));
  for (;;)
    {
      struct arrival arrival = { .budget = pick_budget (scenario, random) };
      int is_long = (int)random_in_range (random, 1, 1000)
                    <= deployment->long_per_mille;
      uint64_t input_bytes
          = random_in_range (random, deployment->input_bytes[is_long][0],
                             deployment->input_bytes[is_long][1]);
      uint64_t output
          = random_in_range (random, deployment->min_output[is_long],
                             deployment->output_limit[is_long]);

      at += (double)US_PER_SECOND / request_rate (scenario, (uint64_t)at) * 2
            * g_rand_double (random);
      arrival.at = (uint64_t)at + deployment->client_delay_us;
      if (arrival.at >= last)
        break;
      arrival.host = pick_host (scenario, random, ranks, arrival.budget);
      arrival.reserve
          = input_bytes + (uint64_t)deployment->output_limit[is_long];
      arrival.cost = input_bytes / 4 + output;
      arrival.duration_us = 300 * US_PER_MS + output * 25 * US_PER_MS;
      g_array_append_val (scenario->arrivals, arrival);
    }
  g_rand_free (random);
}

static void
set_budgets (struct scenario *scenario)
{
  for (int i = 0; i < BUDGETS; i++)
    {
      uint64_t prepaid = i < LARGE_BUDGETS ? 500000000 : 20000000;

      scenario->options.prepaid[i] = prepaid;
      if (is_partition (scenario))
        scenario->options.settled[i] = prepaid / 5 * 4;
      else if (is_last_percent (scenario))
        scenario->options.settled[i] = prepaid / 100 * 99;
    }
}

static struct scenario
make_scenario (const struct deployment *deployment, enum situation situation,
               uint32_t draw_percent)
{
  struct scenario scenario = { .deployment = deployment,
                               .situation = situation,
                               .options = VIRTUAL_FLEET_OPTIONS_DEFAULT };

  scenario.options.seed = 1 + (uint64_t)situation;
  scenario.options.draw_percent = draw_percent;
  scenario.options.cross_zone_delay_us = deployment->cross_zone_delay_us;
  scenario.fault_at = START_US + WARM_UP_US;
  scenario.fault_end = scenario.fault_at + PARTITION_US;
  scenario.end = scenario.fault_end + 60 * US_PER_SECOND;
  set_budgets (&scenario);
  return scenario;
}

static void
set_partition (struct virtual_fleet *fleet, const struct scenario *scenario,
               bool is_partitioned)
{
  for (int i = 0; i < HOSTS; i++)
    {
      if (!is_isolated_host (scenario, i))
        continue;
      virtual_fleet_disconnect_platform (fleet, i, is_partitioned);
      for (int j = 0; j < HOSTS; j++)
        if (is_isolated_host (scenario, j))
          continue;
        else if (is_partitioned)
          virtual_fleet_disconnect_hosts (fleet, i, j);
        else
          virtual_fleet_reconnect_hosts (fleet, i, j);
    }
}

/* Crashes HOST, waits until its grants are recovered, and queries the requests
   that it has not ended.  */
static void
crash_host (struct virtual_fleet *fleet, int host, struct result *result)
{
  uint64_t incarnation = virtual_fleet_host_incarnation (fleet, host);
  uint64_t at = virtual_fleet_now (fleet);

  virtual_fleet_crash_host (fleet, host);
  while (!virtual_fleet_is_grant_recovered (fleet, incarnation)
         && virtual_fleet_now (fleet) < at + 60 * US_PER_SECOND)
    virtual_fleet_run_until (fleet,
                             virtual_fleet_now (fleet) + 10 * US_PER_MS);
  result->recovery_us = virtual_fleet_now (fleet) - at;
  for (int i = 0; i < virtual_fleet_request_count (fleet); i++)
    if (virtual_fleet_request_at (fleet, i)->incarnation == incarnation
        && !virtual_fleet_request_at (fleet, i)->is_ended)
      (void)virtual_fleet_query_recovered (fleet, (host + 1) % HOSTS, i);
}

static void
check_bills (struct virtual_fleet *fleet, struct result *result)
{
  virtual_fleet_count_bills (fleet);
  for (int i = 0; i < virtual_fleet_request_count (fleet); i++)
    {
      const struct virtual_request *request
          = virtual_fleet_request_at (fleet, i);

      result->estimated_bills += request->is_estimated;
      result->double_bills += request->bills > 1;
      result->lost_bills += request->dispatches > 0 && request->bills == 0;
      result->wrong_bills
          += request->bills > 0 && !request->is_estimated
             && (request->dispatches == 0 || request->billed != request->cost);
      result->second_runs += request->dispatches > 1;
      result->false_did_not_run
          += request->is_reported_not_run && request->dispatches > 0;
    }
}

static void
find_ranks (struct virtual_fleet *fleet, int ranks[BUDGETS][HOSTS])
{
  for (int i = 0; i < BUDGETS; i++)
    for (int j = 0; j < HOSTS; j++)
      ranks[i][j] = virtual_fleet_host_at_rank (fleet, i, j);
}

static void
replay_arrivals (struct virtual_fleet *fleet, const struct scenario *scenario,
                 struct result *result)
{
  int crashed_host = -1;
  bool is_partitioned = false;

  for (guint i = 0; i < scenario->arrivals->len; i++)
    {
      const struct arrival *arrival
          = &g_array_index (scenario->arrivals, struct arrival, i);
      int host = arrival->host;
      int number;

      if (is_partition (scenario) && !is_partitioned
          && arrival->at >= scenario->fault_at)
        {
          virtual_fleet_run_until (fleet, scenario->fault_at);
          set_partition (fleet, scenario, true);
          is_partitioned = true;
          result->totals = virtual_fleet_totals (fleet);
        }
      if (scenario->situation == CRASH && crashed_host < 0
          && arrival->at >= scenario->fault_at)
        {
          crashed_host = virtual_fleet_host_at_rank (fleet, 0, 0);
          crash_host (fleet, crashed_host, result);
        }
      if (arrival->at < virtual_fleet_now (fleet))
        continue;
      virtual_fleet_run_until (fleet, arrival->at);
      if (!virtual_fleet_is_host_alive (fleet, host))
        host = (host + 1) % HOSTS;
      number = virtual_fleet_submit (fleet, host, arrival->budget,
                                     arrival->reserve, arrival->cost,
                                     arrival->duration_us);
      /* Some callers resend a request before it has ended.  */
      if (i % 64 == 0)
        virtual_fleet_resubmit (fleet, number);
    }
}

/* Runs SCENARIO on the decision core.  The ratios cover the partition or,
   without one, the whole run.  */
static struct result
run_fleet (struct scenario *scenario)
{
  struct virtual_fleet *fleet = virtual_fleet_new (&scenario->options);
  struct result result = { .requests = 0 };
  struct virtual_fleet_totals before;
  struct virtual_fleet_totals after;
  int ranks[BUDGETS][HOSTS];

  virtual_fleet_run_until (fleet, START_US);
  find_ranks (fleet, ranks);
  generate_arrivals (scenario, ranks);
  replay_arrivals (fleet, scenario, &result);
  before = result.totals;
  if (is_partition (scenario))
    {
      virtual_fleet_run_until (fleet, scenario->fault_end);
      set_partition (fleet, scenario, false);
    }
  after = virtual_fleet_totals (fleet);
  /* Provisional bills become final after ten minutes.  */
  virtual_fleet_run_until (fleet, scenario->end + 720 * US_PER_SECOND);
  check_bills (fleet, &result);
  result.totals = virtual_fleet_totals (fleet);
  result.requests = after.arrived - before.arrived;
  result.false_refusals = after.false_refusals - before.false_refusals;
  result.journal_refusals = after.refused[DS_REFUSAL_JOURNAL_UNAVAILABLE]
                            - before.refused[DS_REFUSAL_JOURNAL_UNAVAILABLE]
                            + after.refused[DS_REFUSAL_SEALED]
                            - before.refused[DS_REFUSAL_SEALED];
  result.dispatched = after.dispatched - before.dispatched;
  virtual_fleet_free (fleet);
  return result;
}

/* Baselines.  */

enum event_kind
{
  EVENT_ARRIVAL,
  EVENT_WRITE,
  EVENT_WRITE_RESPONSE,
  EVENT_REQUEST_END
};

struct event
{
  uint64_t at;
  enum event_kind kind;
  guint number;
  uint64_t version;
  bool is_done;
};

struct baseline
{
  const struct scenario *scenario;
  GSequence *events;
  uint64_t committed_tokens[BUDGETS];
  uint64_t local_share[HOSTS][BUDGETS];
  uint64_t version[BUDGETS];
  uint64_t known_version[HOSTS][BUDGETS];
  uint64_t writes;
  uint64_t requests;
  uint64_t dispatched;
  uint64_t false_refusals;
};

static gint
compare_events (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct event *first = a;
  const struct event *second = b;

  (void)data;
  return first->at < second->at ? -1 : first->at > second->at;
}

static void
schedule_event (struct baseline *baseline, uint64_t at, enum event_kind kind,
                guint number, uint64_t version)
{
  struct event *event = g_new0 (struct event, 1);

  *event = (struct event){
    .at = at, .kind = kind, .number = number, .version = version
  };
  g_sequence_insert_sorted (baseline->events, event, compare_events, NULL);
}

static bool
is_measured (const struct baseline *baseline, uint64_t at)
{
  return !is_partition (baseline->scenario)
         || at >= baseline->scenario->fault_at;
}

static void
start_request (struct baseline *baseline, const struct event *event,
               const struct arrival *arrival)
{
  baseline->committed_tokens[arrival->budget] += arrival->reserve;
  baseline->dispatched += is_measured (baseline, arrival->at);
  schedule_event (baseline, event->at + arrival->duration_us,
                  EVENT_REQUEST_END, event->number, 0);
}

static void
count_refusal (struct baseline *baseline, const struct arrival *arrival)
{
  if (is_measured (baseline, arrival->at)
      && baseline->committed_tokens[arrival->budget] + arrival->reserve
             <= baseline->scenario->options.prepaid[arrival->budget])
    baseline->false_refusals++;
}

static void
admit_static_split (struct baseline *baseline, const struct event *event,
                    const struct arrival *arrival)
{
  uint64_t *local_share
      = &baseline->local_share[arrival->host][arrival->budget];

  if (*local_share < arrival->reserve)
    {
      count_refusal (baseline, arrival);
      return;
    }
  *local_share -= arrival->reserve;
  start_request (baseline, event, arrival);
}

static void
send_conditional_write (struct baseline *baseline, const struct event *event,
                        const struct arrival *arrival)
{
  const struct scenario *scenario = baseline->scenario;

  if (is_partition (scenario) && event->at >= scenario->fault_at
      && is_isolated_host (scenario, arrival->host))
    {
      count_refusal (baseline, arrival);
      return;
    }
  schedule_event (baseline, event->at + scenario->options.platform_delay_us,
                  EVENT_WRITE, event->number,
                  baseline->known_version[arrival->host][arrival->budget]);
}

/* A conditional write, which succeeds if the version is unchanged.  */
static void
apply_conditional_write (struct baseline *baseline, const struct event *event,
                         const struct arrival *arrival)
{
  uint64_t *version = &baseline->version[arrival->budget];
  bool is_done = *version == event->version;

  baseline->writes++;
  if (is_done
      && baseline->committed_tokens[arrival->budget] + arrival->reserve
             > baseline->scenario->options.prepaid[arrival->budget])
    {
      count_refusal (baseline, arrival);
      return;
    }
  if (is_done)
    {
      ++*version;
      start_request (baseline, event, arrival);
    }
  schedule_event (baseline,
                  event->at + baseline->scenario->options.platform_delay_us,
                  EVENT_WRITE_RESPONSE, event->number, is_done ? 0 : *version);
  if (is_done)
    baseline->known_version[arrival->host][arrival->budget] = *version;
}

static void
end_request (struct baseline *baseline, const struct arrival *arrival)
{
  uint64_t unused = arrival->reserve - arrival->cost;

  baseline->committed_tokens[arrival->budget] -= unused;
  baseline->local_share[arrival->host][arrival->budget] += unused;
}

static void
process_event (struct baseline *baseline, const struct event *event,
               bool is_static)
{
  const struct arrival *arrival = &g_array_index (
      baseline->scenario->arrivals, struct arrival, event->number);

  switch (event->kind)
    {
    case EVENT_ARRIVAL:
      baseline->requests += is_measured (baseline, arrival->at);
      if (is_static)
        admit_static_split (baseline, event, arrival);
      else
        send_conditional_write (baseline, event, arrival);
      break;
    case EVENT_WRITE:
      apply_conditional_write (baseline, event, arrival);
      break;
    case EVENT_WRITE_RESPONSE:
      if (event->version == 0)
        break;
      if (baseline->known_version[arrival->host][arrival->budget]
          < event->version)
        baseline->known_version[arrival->host][arrival->budget]
            = event->version;
      send_conditional_write (baseline, event, arrival);
      break;
    case EVENT_REQUEST_END:
      end_request (baseline, arrival);
      break;
    }
}

static struct baseline
run_baseline (const struct scenario *scenario, bool is_static)
{
  struct baseline baseline
      = { .scenario = scenario, .events = g_sequence_new (g_free) };

  for (int i = 0; i < BUDGETS; i++)
    {
      baseline.committed_tokens[i] = scenario->options.settled[i];
      for (int j = 0; j < HOSTS; j++)
        baseline.local_share[j][i]
            = (scenario->options.prepaid[i] - scenario->options.settled[i])
              / HOSTS;
    }
  for (guint i = 0; i < scenario->arrivals->len; i++)
    schedule_event (&baseline,
                    g_array_index (scenario->arrivals, struct arrival, i).at,
                    EVENT_ARRIVAL, i, 0);
  while (!g_sequence_is_empty (baseline.events))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (baseline.events);
      struct event event = *(struct event *)g_sequence_get (first);

      g_sequence_remove (first);
      process_event (&baseline, &event, is_static);
    }
  g_sequence_free (baseline.events);
  return baseline;
}

/* Reports.  */

static void
print_metric (const char *name, const char *deployment, double value,
              const char *unit)
{
  printf ("metric %s_%s %.6g %s\n", name, deployment, value, unit);
  (void)fflush (stdout);
}

/* False refusals divided by all requests; in the last-percent situations, by
   the requests that the budget could still cover.  */
static double
false_refusal_ratio (const struct scenario *scenario, uint64_t false_refusals,
                     uint64_t dispatched, uint64_t requests)
{
  uint64_t total
      = is_last_percent (scenario) ? false_refusals + dispatched : requests;

  return total > 0 ? (double)false_refusals / (double)total : 0.0;
}

static const struct
{
  enum situation situation;
  const char *name;
} ratio_situations[] = {
  { HEALTHY, "healthy" },
  { PARTITION_TWO_ZONES, "partition" },
  { PARTITION_ONE_ZONE, "partition_one_zone" },
  { LAST_PERCENT_LARGE, "last_percent" },
  { LAST_PERCENT_SMALL, "last_percent_small" },
};

static void
add_fault_counts (struct result *sum, const struct result *result)
{
  sum->totals.overspend
      = MAX (sum->totals.overspend, result->totals.overspend);
  sum->totals.max_page_bills
      = MAX (sum->totals.max_page_bills, result->totals.max_page_bills);
  sum->estimated_bills += result->estimated_bills;
  sum->double_bills += result->double_bills;
  sum->lost_bills += result->lost_bills;
  sum->wrong_bills += result->wrong_bills;
  sum->second_runs += result->second_runs;
  sum->false_did_not_run += result->false_did_not_run;
}

/* Last-percent results depend on the order of a few requests, so the results
   of several seeds are summed.  */
static struct result
run_seeds (const struct deployment *deployment, enum situation situation,
           uint32_t draw_percent, int seeds)
{
  struct result sum = { .requests = 0 };

  for (int i = 0; i < seeds; i++)
    {
      struct scenario scenario
          = make_scenario (deployment, situation, draw_percent);
      struct result result;

      scenario.options.seed += 100 * (uint64_t)i;
      result = run_fleet (&scenario);
      sum.requests += result.requests;
      sum.dispatched += result.dispatched;
      sum.false_refusals += result.false_refusals;
      add_fault_counts (&sum, &result);
      g_array_free (scenario.arrivals, TRUE);
    }
  return sum;
}

static struct result
measure_ratio (const struct deployment *deployment, size_t index,
               uint32_t draw_percent, const char *suffix, bool has_baselines)
{
  struct scenario scenario = make_scenario (
      deployment, ratio_situations[index].situation, draw_percent);
  struct result result = run_fleet (&scenario);
  char name[96];

  if (is_last_percent (&scenario))
    result = run_seeds (deployment, scenario.situation, draw_percent,
                        LAST_PERCENT_SEEDS);
  (void)snprintf (name, sizeof name, "false_refusal_ratio_%s%s",
                  ratio_situations[index].name, suffix);
  print_metric (name, deployment->name,
                false_refusal_ratio (&scenario, result.false_refusals,
                                     result.dispatched, result.requests),
                "ratio");
  if (is_partition (&scenario))
    {
      (void)snprintf (name, sizeof name, "journal_refusal_ratio_%s%s",
                      ratio_situations[index].name, suffix);
      print_metric (name, deployment->name,
                    (double)result.journal_refusals / (double)result.requests,
                    "ratio");
    }
  for (int is_static = 0; has_baselines && is_static < 2; is_static++)
    {
      struct baseline baseline = run_baseline (&scenario, is_static);
      const char *baseline_name
          = is_static ? "static_split" : "write_per_request";

      (void)snprintf (name, sizeof name, "baseline_%s_false_refusal_ratio_%s",
                      baseline_name, ratio_situations[index].name);
      print_metric (name, deployment->name,
                    false_refusal_ratio (&scenario, baseline.false_refusals,
                                         baseline.dispatched,
                                         baseline.requests),
                    "ratio");
      if (!is_static && scenario.situation == HEALTHY)
        print_metric ("baseline_write_per_request_store_writes_per_request",
                      deployment->name,
                      (double)baseline.writes / (double)baseline.requests,
                      "writes");
    }
  g_array_free (scenario.arrivals, TRUE);
  return result;
}

static struct result
measure_crash (const struct deployment *deployment)
{
  struct scenario scenario
      = make_scenario (deployment, CRASH, deployment->draw_percent);
  struct result result = run_fleet (&scenario);

  print_metric ("grant_recovery_ms", deployment->name,
                (double)result.recovery_us / (double)US_PER_MS, "ms");
  g_array_free (scenario.arrivals, TRUE);
  return result;
}

static void
measure_deployment (const struct deployment *deployment)
{
  struct result sum = { .requests = 0 };
  struct result result;
  const char *name = deployment->name;

  for (size_t i = 0; i < G_N_ELEMENTS (ratio_situations); i++)
    {
      result
          = measure_ratio (deployment, i, deployment->draw_percent, "", true);
      add_fault_counts (&sum, &result);
      if (ratio_situations[i].situation != HEALTHY)
        continue;
      print_metric ("store_writes_per_request", name,
                    (double)result.totals.writes
                        / (double)result.totals.arrived,
                    "writes");
      print_metric ("store_reads_per_request", name,
                    (double)result.totals.reads
                        / (double)result.totals.arrived,
                    "reads");
    }
  result = measure_crash (deployment);
  add_fault_counts (&sum, &result);
  print_metric ("overspend_tokens", name, (double)sum.totals.overspend,
                "tokens");
  print_metric ("ledger_page_bills_max", name,
                (double)sum.totals.max_page_bills, "bills");
  print_metric ("estimated_bills", name, (double)sum.estimated_bills, "bills");
  print_metric ("double_bills", name, (double)sum.double_bills, "bills");
  print_metric ("lost_bills", name, (double)sum.lost_bills, "bills");
  print_metric ("wrong_bills", name, (double)sum.wrong_bills, "bills");
  print_metric ("second_runs", name, (double)sum.second_runs, "requests");
  print_metric ("false_did_not_run", name, (double)sum.false_did_not_run,
                "requests");
}

static void
sweep_draw_percent (const struct deployment *deployment)
{
  static const uint32_t percents[] = { 2, 5, 12, 25, 50 };

  for (size_t i = 0; i < G_N_ELEMENTS (percents); i++)
    for (size_t j = 0; j < G_N_ELEMENTS (ratio_situations); j++)
      {
        char suffix[32];

        (void)snprintf (suffix, sizeof suffix, "_draw_%" PRIu32, percents[i]);
        (void)measure_ratio (deployment, j, percents[i], suffix, false);
      }
}

/* Usage: bench_budget [sweep] [DEPLOYMENT].  */
int
main (int argc, char **argv)
{
  bool is_sweep = argc > 1 && strcmp (argv[1], "sweep") == 0;
  const char *only_deployment
      = argc > 1 + is_sweep ? argv[1 + is_sweep] : NULL;

  setlinebuf (stdout);
  for (size_t i = 0; i < G_N_ELEMENTS (deployments); i++)
    if (only_deployment != NULL
        && strcmp (only_deployment, deployments[i].name) != 0)
      continue;
    else if (is_sweep)
      sweep_draw_percent (&deployments[i]);
    else
      measure_deployment (&deployments[i]);
  return EXIT_SUCCESS;
}
