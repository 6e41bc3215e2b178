/* Compares the router with simpler load-balancing policies in a time-stepped
   simulation of continuous-batching servers.  All variants get the same
   requests.  Times except decision_time are simulated.  */

#include "daisystep/router.h"
#include "daisystep/error.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define REPLICAS 12
#define ROUTERS 8
#define WORKSPACES 10
#define SEEDS 5
#define STEP_MS 5
/* Arrival draws in a step, which approximate a Poisson process.  */
#define ARRIVAL_DRAWS_PER_STEP 10
#define RUN_MS 240000
#define TICK_MS 20
#define REPORT_INTERVAL_MS 250
#define REPORT_DELAY_MS 1000
#define REPORT_SLOTS (REPORT_DELAY_MS / REPORT_INTERVAL_MS)
#define DEADLINE_MS 1000
/* Replicas of one model: 600 replicas of 13 models.  */
#define TARGET_UPSTREAMS 46
#define DECISIONS 200000

/* One replica: concurrent streams, time per token, prefill time of a block of
   256 prompt tokens, blocks in its prefix cache.  */
#define STREAMS_MAX 32
#define TOKEN_MS 20.0
#define TOKEN_MS_PER_STREAM 0.9
#define BLOCK_MS 32.0
#define CACHE_BLOCKS 600

#define HOSTS_PER_WORKSPACE 3
#define ADDRESS_VALID_MS 30000
#define CONVERSATIONS 600
#define SHORT_TOKENS 60
#define LONG_TOKENS 600
#define LONG_SHARE 0.3

enum policy
{
  POLICY_ROUND_ROBIN,
  POLICY_TWO_CHOICES,
  POLICY_ROUTER
};

struct variant
{
  const char *metric_prefix;
  enum policy policy;
  bool use_load_reports;
  bool use_affinity;
};

struct call
{
  struct ds_route_request route;
  uint32_t router;
  uint64_t arrived_ms;
  uint64_t attempt;
  uint32_t replica;
  double prefill_ms;
  double tokens_left;
  bool admitted;
  bool streaming;
};

struct cached_block
{
  uint64_t digest;
  uint64_t last_used;
};

struct replica
{
  GPtrArray *calls;
  GHashTable *cache;
  struct cached_block blocks[CACHE_BLOCKS];
  size_t block_count;
  uint32_t load_history[REPORT_SLOTS];
};

struct result
{
  double calls;
  double deadlines_met;
  double refused;
  double blocks;
  double hits;
};

struct simulation
{
  const struct variant *variant;
  uint64_t now;
  uint64_t random;
  uint64_t use_counter;
  struct replica replicas[REPLICAS];
  struct ds_router *routers[ROUTERS];
  uint32_t in_flight[ROUTERS][REPLICAS];
  uint32_t next_replica[ROUTERS];
  uint32_t conversation_blocks[CONVERSATIONS];
  uint32_t conversation_generation[CONVERSATIONS];
  GPtrArray *calls;
  struct ds_route_decisions decisions;
  struct result result;
};

/* Percentage of the requests by workspace; two are large.  */
static const uint32_t shares[WORKSPACES] = { 32, 24, 10, 8, 6, 5, 5, 4, 3, 3 };

static uint64_t
next_random (uint64_t *state)
{
  uint64_t z = *state += 0x9e3779b97f4a7c15U;

  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9U;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebU;
  return z ^ (z >> 31);
}

static double
uniform (uint64_t *state)
{
  return (double)(next_random (state) >> 11) * 0x1p-53;
}

static uint64_t
block_digest (uint64_t a, uint64_t b, uint64_t c)
{
  uint64_t words[3] = { a, b, c };

  return ds_str_hash (
      (struct ds_str){ .data = (const char *)words, .length = sizeof words },
      1);
}

static uint32_t
workspace_of (uint32_t conversation)
{
  uint32_t remaining_percent = conversation * 100 / CONVERSATIONS;

  for (uint32_t i = 0; i < WORKSPACES; i++)
    {
      if (remaining_percent < shares[i])
        return i;
      remaining_percent -= shares[i];
    }
  return WORKSPACES - 1;
}

/* The address response directs a workspace to a few hosts; a caller keeps the
   chosen address for ADDRESS_VALID_MS.  */
static uint32_t
router_of (const struct simulation *simulation, uint32_t workspace,
           uint32_t conversation)
{
  uint64_t choice
      = block_digest (conversation, simulation->now / ADDRESS_VALID_MS, 2);

  return (uint32_t)(((uint64_t)workspace * 3 + choice % HOSTS_PER_WORKSPACE)
                    % ROUTERS);
}

/* Generates the next request of a conversation: the workspace's 2 to 6 shared
   blocks, then those of the conversation, which restarts when the blocks
   exceed DS_PREFIX_DIGESTS_MAX.  */
static struct call *
generate_call (struct simulation *simulation)
{
  struct call *call = g_new0 (struct call, 1);
  uint32_t conversation
      = (uint32_t)(next_random (&simulation->random) % CONVERSATIONS);
  uint32_t workspace = workspace_of (conversation);
  uint32_t shared = 2 + workspace % 5;
  uint32_t *block_count = &simulation->conversation_blocks[conversation];

  *block_count += 1 + (uint32_t)(next_random (&simulation->random) % 2);
  if (shared + *block_count > DS_PREFIX_DIGESTS_MAX)
    {
      *block_count = 1;
      simulation->conversation_generation[conversation]++;
    }
  for (uint32_t i = 0; i < shared + *block_count; i++)
    call->route.prefix_digests[call->route.prefix_count++]
        = i < shared ? block_digest (workspace, 0, i)
                     : block_digest (
                         1000 + conversation,
                         simulation->conversation_generation[conversation], i);
  call->route.offering = DS_STR ("model");
  call->route.priority = 5;
  call->route.deadline_left_ms = DEADLINE_MS;
  call->route.repeatable = true;
  call->route.body_digest = next_random (&simulation->random);
  call->tokens_left = uniform (&simulation->random) < LONG_SHARE
                          ? LONG_TOKENS
                          : SHORT_TOKENS;
  call->router = router_of (simulation, workspace, conversation);
  call->arrived_ms = simulation->now;
  g_ptr_array_add (simulation->calls, call);
  call->route.handle = simulation->calls->len;
  return call;
}

/* Looks up DIGEST in the LRU cache of REPLICA and adds it if it is missing.
   Returns whether it was present.  */
static bool
access_cached_block (struct simulation *simulation, struct replica *replica,
                     uint64_t digest)
{
  struct cached_block *block = g_hash_table_lookup (replica->cache, &digest);
  bool hit = block != NULL;

  if (!hit && replica->block_count < CACHE_BLOCKS)
    block = &replica->blocks[replica->block_count++];
  else if (!hit)
    {
      block = &replica->blocks[0];
      for (size_t i = 1; i < CACHE_BLOCKS; i++)
        if (replica->blocks[i].last_used < block->last_used)
          block = &replica->blocks[i];
      g_hash_table_remove (replica->cache, &block->digest);
    }
  block->last_used = ++simulation->use_counter;
  if (!hit)
    {
      block->digest = digest;
      g_hash_table_insert (replica->cache, &block->digest, block);
    }
  return hit;
}

/* Only the prompt blocks after the cached prefix cost prefill time.  */
static void
admit_call (struct simulation *simulation, struct replica *replica,
            struct call *call)
{
  bool is_cached_prefix = true;
  size_t hits = 0;

  for (size_t i = 0; i < call->route.prefix_count; i++)
    {
      is_cached_prefix &= access_cached_block (simulation, replica,
                                               call->route.prefix_digests[i]);
      hits += is_cached_prefix;
    }
  call->admitted = true;
  call->prefill_ms
      = BLOCK_MS * ((double)(call->route.prefix_count - hits) + 0.25);
  simulation->result.blocks += (double)call->route.prefix_count;
  simulation->result.hits += (double)hits;
}

static void
send_call (struct simulation *simulation, struct call *call, uint32_t replica)
{
  call->replica = replica;
  simulation->in_flight[call->router][replica]++;
  g_ptr_array_add (simulation->replicas[replica].calls, call);
}

static void
apply_decision (struct simulation *simulation,
                const struct ds_route_decision *decision)
{
  struct call *call
      = g_ptr_array_index (simulation->calls, decision->handle - 1);

  switch (decision->kind)
    {
    case DS_ROUTE_ATTEMPT:
      call->attempt = decision->attempt.attempt;
      send_call (simulation, call,
                 (uint32_t)(decision->attempt.upstream.data[0] - 'a'));
      break;
    case DS_ROUTE_QUEUED:
      break;
    case DS_ROUTE_REFUSED:
    case DS_ROUTE_FAILED:
      simulation->result.refused++;
      break;
    }
}

static void
apply_decisions (struct simulation *simulation)
{
  for (size_t i = 0; i < simulation->decisions.count; i++)
    apply_decision (simulation, &simulation->decisions.items[i]);
  ds_route_decisions_clear (&simulation->decisions);
}

static void
submit_call (struct simulation *simulation, struct call *call)
{
  uint32_t *in_flight = simulation->in_flight[call->router];
  struct ds_route_decision decision;
  uint32_t first;
  uint32_t second;

  simulation->result.calls++;
  switch (simulation->variant->policy)
    {
    case POLICY_ROUND_ROBIN:
      send_call (simulation, call,
                 simulation->next_replica[call->router]++ % REPLICAS);
      break;
    case POLICY_TWO_CHOICES:
      first = (uint32_t)(block_digest (call->route.body_digest, 1, 0)
                         % REPLICAS);
      second = (uint32_t)(block_digest (call->route.body_digest, 2, 0)
                          % REPLICAS);
      send_call (simulation, call,
                 in_flight[first] <= in_flight[second] ? first : second);
      break;
    case POLICY_ROUTER:
      if (ds_router_submit (simulation->routers[call->router], &call->route,
                            simulation->now, &decision)
          == 0)
        apply_decision (simulation, &decision);
      break;
    }
}

static void
start_streaming (struct simulation *simulation, struct call *call)
{
  call->streaming = true;
  simulation->result.deadlines_met
      += simulation->now - call->arrived_ms <= DEADLINE_MS;
  if (simulation->variant->policy == POLICY_ROUTER)
    (void)ds_router_record_first_byte (simulation->routers[call->router],
                                       call->attempt, simulation->now);
}

static void
complete_call (struct simulation *simulation, struct call *call)
{
  struct ds_attempt_end end
      = { .attempt = call->attempt, .outcome = DS_ATTEMPT_COMPLETE };

  simulation->in_flight[call->router][call->replica]--;
  if (simulation->variant->policy != POLICY_ROUTER)
    return;
  (void)ds_router_end_attempt (simulation->routers[call->router], &end,
                               simulation->now, &simulation->decisions);
}

/* Advances REPLICA by one step: admits calls in order of arrival, prefills one
   prompt at a time and generates tokens for all streaming calls.  */
static void
step_replica (struct simulation *simulation, struct replica *replica)
{
  guint running = MIN (replica->calls->len, STREAMS_MAX);
  double tokens = STEP_MS / (TOKEN_MS + TOKEN_MS_PER_STREAM * running);
  double prefill_left = STEP_MS;

  for (guint i = 0; i < running;)
    {
      struct call *call = g_ptr_array_index (replica->calls, i);

      if (!call->admitted)
        admit_call (simulation, replica, call);
      if (call->streaming)
        call->tokens_left -= tokens;
      else if (prefill_left > 0)
        {
          double used = MIN (prefill_left, call->prefill_ms);

          prefill_left -= used;
          call->prefill_ms -= used;
          if (call->prefill_ms <= 0)
            start_streaming (simulation, call);
        }
      if (call->tokens_left > 0)
        {
          i++;
          continue;
        }
      g_ptr_array_remove_index (replica->calls, i);
      running--;
      complete_call (simulation, call);
    }
}

/* Reports to each router the loads of all replicas REPORT_DELAY_MS ago.  */
static void
report_loads (struct simulation *simulation)
{
  size_t slot = simulation->now / REPORT_INTERVAL_MS % REPORT_SLOTS;

  for (uint32_t i = 0; i < REPLICAS; i++)
    {
      struct replica *replica = &simulation->replicas[i];
      char name = (char)('a' + i);

      for (uint32_t j = 0; j < ROUTERS && simulation->now >= REPORT_DELAY_MS;
           j++)
        if (simulation->variant->policy == POLICY_ROUTER)
          (void)ds_router_report_load (
              simulation->routers[j],
              (struct ds_str){ .data = &name, .length = 1 },
              replica->load_history[slot], 0, REPORT_DELAY_MS,
              simulation->now);
      replica->load_history[slot] = replica->calls->len;
    }
}

static void
simulation_init (struct simulation *simulation, const struct variant *variant,
                 uint64_t seed)
{
  struct ds_router_options options = DS_ROUTER_OPTIONS_DEFAULT;
  struct ds_str offering = DS_STR ("model");

  *simulation = (struct simulation){ .variant = variant, .random = seed };
  options.use_load_reports = variant->use_load_reports;
  options.use_affinity = variant->use_affinity;
  simulation->calls = g_ptr_array_new_with_free_func (g_free);
  (void)ds_route_decisions_init (&simulation->decisions, NULL);
  for (uint32_t i = 0; i < REPLICAS; i++)
    {
      simulation->replicas[i].calls = g_ptr_array_new ();
      simulation->replicas[i].cache
          = g_hash_table_new (g_int64_hash, g_int64_equal);
    }
  for (uint32_t i = 0; i < ROUTERS; i++)
    {
      simulation->next_replica[i] = i * 5;
      options.random_seed = seed * ROUTERS + i;
      if (ds_router_new (&simulation->routers[i], NULL, &options) < 0)
        abort ();
      for (uint32_t j = 0; j < REPLICAS; j++)
        {
          char name = (char)('a' + j);

          (void)ds_router_put_upstream (
              simulation->routers[i],
              &(struct ds_upstream_spec){
                  .name = { .data = &name, .length = 1 },
                  .address = DS_STR ("127.0.0.1:1"),
                  .zone = DS_STR ("kelheim"),
                  .offerings = &offering,
                  .offering_count = 1,
                  .max_in_flight = STREAMS_MAX,
                  .version = 1,
              },
              0);
        }
    }
}

static void
simulation_clear (struct simulation *simulation)
{
  for (uint32_t i = 0; i < ROUTERS; i++)
    ds_router_free (simulation->routers[i]);
  for (uint32_t i = 0; i < REPLICAS; i++)
    {
      g_ptr_array_free (simulation->replicas[i].calls, TRUE);
      g_hash_table_destroy (simulation->replicas[i].cache);
    }
  g_ptr_array_free (simulation->calls, TRUE);
  talloc_free (simulation->decisions.items);
}

static void
run_variant (const struct variant *variant, uint64_t seed, double calls_per_s,
             struct result *sum)
{
  struct simulation *simulation = g_new (struct simulation, 1);

  simulation_init (simulation, variant, seed);
  for (; simulation->now < RUN_MS; simulation->now += STEP_MS)
    {
      for (int i = 0; i < ARRIVAL_DRAWS_PER_STEP; i++)
        if (uniform (&simulation->random)
            < calls_per_s * STEP_MS / 1000 / ARRIVAL_DRAWS_PER_STEP)
          submit_call (simulation, generate_call (simulation));
      for (uint32_t i = 0; i < REPLICAS; i++)
        step_replica (simulation, &simulation->replicas[i]);
      apply_decisions (simulation);
      if (simulation->now % REPORT_INTERVAL_MS == 0)
        report_loads (simulation);
      for (uint32_t i = 0; i < ROUTERS && simulation->now % TICK_MS == 0; i++)
        (void)ds_router_tick (simulation->routers[i], simulation->now,
                              &simulation->decisions);
      apply_decisions (simulation);
    }
  sum->calls += simulation->result.calls;
  sum->deadlines_met += simulation->result.deadlines_met;
  sum->refused += simulation->result.refused;
  sum->blocks += simulation->result.blocks;
  sum->hits += simulation->result.hits;
  simulation_clear (simulation);
  g_free (simulation);
}

static const struct variant variants[] = {
  { "", POLICY_ROUTER, true, true },
  { "no_reports_", POLICY_ROUTER, false, true },
  { "no_affinity_", POLICY_ROUTER, true, false },
  { "least_own_", POLICY_ROUTER, false, false },
  { "baseline_round_robin_", POLICY_ROUND_ROBIN, false, false },
  { "baseline_two_choices_", POLICY_TWO_CHOICES, false, false },
};

static const struct
{
  const char *name;
  double calls_per_s;
} loads[] = { { "", 30 }, { "heavy_", 34 }, { "over_", 45 } };

static double
monotonic_seconds (void)
{
  struct timespec time;

  (void)clock_gettime (CLOCK_MONOTONIC, &time);
  return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

/* Measures the wall time of a decision and the end of its attempt, with
   TARGET_UPSTREAMS upstreams of one offering.  */
static void
measure_decision_time (void)
{
  struct ds_router_options options = DS_ROUTER_OPTIONS_DEFAULT;
  struct ds_str offering = DS_STR ("model");
  struct ds_route_decisions decisions;
  struct ds_route_decision decision;
  struct ds_router *router;
  double begin;

  if (ds_router_new (&router, NULL, &options) < 0)
    abort ();
  (void)ds_route_decisions_init (&decisions, router);
  for (int i = 0; i < TARGET_UPSTREAMS; i++)
    {
      char name[16];
      int length = snprintf (name, sizeof name, "u%d", i);

      (void)ds_router_put_upstream (
          router,
          &(struct ds_upstream_spec){
              .name = { .data = name, .length = (size_t)length },
              .address = DS_STR ("127.0.0.1:1"),
              .zone = DS_STR ("kelheim"),
              .offerings = &offering,
              .offering_count = 1,
              .max_in_flight = STREAMS_MAX,
              .version = 1,
          },
          0);
    }
  begin = monotonic_seconds ();
  for (uint64_t i = 1; i <= DECISIONS; i++)
    {
      struct ds_route_request request = {
        .handle = i,
        .offering = offering,
        .deadline_left_ms = DEADLINE_MS,
        .prefix_digests = { i % 100, i },
        .prefix_count = 2,
        .body_digest = i,
      };
      struct ds_attempt_end end = { .outcome = DS_ATTEMPT_COMPLETE };

      if (ds_router_submit (router, &request, i, &decision) < 0)
        abort ();
      end.attempt = decision.attempt.attempt;
      (void)ds_router_end_attempt (router, &end, i, &decisions);
    }
  printf ("metric decision_time %.0f ns\n",
          (monotonic_seconds () - begin) / DECISIONS * 1e9);
  ds_router_free (router);
}

int
main (void)
{
  measure_decision_time ();
  for (size_t load = 0; load < G_N_ELEMENTS (loads); load++)
    for (size_t i = 0; i < G_N_ELEMENTS (variants); i++)
      {
        struct result sum = { 0 };
        const char *metric_prefix = variants[i].metric_prefix;

        for (uint64_t seed = 1; seed <= SEEDS; seed++)
          run_variant (&variants[i], seed, loads[load].calls_per_s, &sum);
        printf ("metric %s%sdeadline_met_ratio %.4f ratio\n", loads[load].name,
                metric_prefix, sum.deadlines_met / sum.calls);
        printf ("metric %s%sprefix_hit_ratio %.4f ratio\n", loads[load].name,
                strcmp (metric_prefix, "baseline_round_robin_") == 0
                    ? "baseline_"
                    : metric_prefix,
                sum.hits / sum.blocks);
        printf ("metric %s%srefused_ratio %.4f ratio\n", loads[load].name,
                metric_prefix, sum.refused / sum.calls);
      }
  return EXIT_SUCCESS;
}
