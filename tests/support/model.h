#ifndef DAISYSTEP_TESTS_MODEL_H
#define DAISYSTEP_TESTS_MODEL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A simulation of a few hosts: the decision core with fakes for links,
   platform and upstreams.  The caller or a seeded generator decides what is
   reordered, delayed or lost, and the invariants are checked after every step.
 */
struct model;

#define MODEL_HOSTS_MAX 5

/* Safeguards that a test can disable to verify that the checks detect it.  */
enum model_weakness
{
  MODEL_NO_WEAKNESS = 0,
  /* A record counts as committed once it is sent.  */
  MODEL_EARLY_ACK = 1,
  /* Backups acknowledge records after a seal.  */
  MODEL_IGNORE_SEAL = 2,
  /* The platform accepts updates whose base version is outdated.  */
  MODEL_UNCONDITIONAL_UPDATES = 4,
  /* Pages do not store the number of a writer's last update.  */
  MODEL_DROP_OPERATION_NUMBERS = 8,
  /* A recovery uses the shortest reply, not the longest.  */
  MODEL_SHORTEST_RECORDS = 16,
  /* Pages do not store the last settlement included of each writer.  */
  MODEL_DROP_SETTLED_THROUGH = 32
};

struct model_options
{
  uint64_t seed;
  int hosts;
  int budgets;
  int pages;
  uint64_t prepaid;
  uint64_t smallest_reservation;
  enum model_weakness weakness;
  /* Probability of each fault per step, in thousandths.  */
  int crash;
  int pause;
  int cut;
  int platform_outage;
  int lost_response_chance;
  int operator_change;
};

#define MODEL_OPTIONS_DEFAULT                                                 \
  ((struct model_options){                                                    \
      .hosts = 4,                                                             \
      .budgets = 3,                                                           \
      .pages = 2,                                                             \
      .prepaid = 3000,                                                        \
      .smallest_reservation = 20,                                             \
  })

struct model_totals
{
  uint64_t arrived;
  uint64_t dispatched;
  uint64_t refused;
  uint64_t false_refusals;
  uint64_t bills;
  uint64_t recoveries;
  uint64_t lost_recoveries;
  uint64_t archives;
  uint64_t platform_writes;
  uint64_t platform_reads;
};

/* One step of a schedule.  Which members are used depends on KIND.  */
enum model_step_kind
{
  MODEL_ARRIVE,
  MODEL_END,
  MODEL_DELIVER,
  MODEL_TICK,
  MODEL_REPEAT_REQUEST,
  MODEL_CRASH,
  MODEL_RESTART,
  MODEL_PAUSE,
  MODEL_DISCONNECT_PAUSED,
  MODEL_RESUME,
  MODEL_CUT,
  MODEL_HEAL,
  MODEL_PLATFORM,
  MODEL_PREPAID,
  MODEL_STEP_KINDS
};

struct model_step
{
  enum model_step_kind kind;
  /* Host; request for END; message index for DELIVER; whether the platform is
     up for PLATFORM; budget for PREPAID.  */
  int a;
  /* Budget for ARRIVE; other host for CUT and HEAL; request for
     REPEAT_REQUEST; whether the platform's response is lost for DELIVER;
     milliseconds for TICK.  */
  int b;
  /* Reservation for ARRIVE; tokens for PREPAID.  */
  uint64_t amount;
  /* Cost for ARRIVE.  */
  uint64_t cost;
};

struct model *model_new (const struct model_options *options);
void model_free (struct model *model);

/* A description of the first violated invariant, or null.  */
const char *model_failure (const struct model *model);
struct model_totals model_totals (const struct model *model);

/* Performs a random step and returns it.  */
struct model_step model_random_step (struct model *model);
/* Performs STEP if it is possible in the current state.  */
void model_apply_step (struct model *model, const struct model_step *step);
/* Converts a step to and from a line of text such as "arrive 0 1 200 150".  */
void model_step_print (const struct model_step *step, char *out, size_t size);
bool model_step_parse (struct model_step *out, const char *line);
/* A digest of the state, for exploration.  */
uint64_t model_digest (struct model *model);
/* Whether the message with index MESSAGE is a call to the platform.  */
bool model_is_platform_call (const struct model *model, int message);
/* Writes the indices of messages that can be delivered now to OUT, at most
   MOST, and returns their number.  */
size_t model_list_deliverable (const struct model *model, int *out,
                               size_t most);
/* Ends all faults, lets all requests finish and checks the final state.  */
void model_finish_and_check (struct model *model);

/* Single steps for scripted scenarios.  Hosts and budgets count from zero.
   model_arrive returns the request's number for the other functions.  */
int model_arrive (struct model *model, int host, int budget, uint64_t reserve,
                  uint64_t cost);
bool model_is_running (const struct model *model, int request);
bool model_was_refused (const struct model *model, int request);
int model_bill_count (const struct model *model, int request);
void model_end_request (struct model *model, int request);
/* A caller repeats REQUEST at HOST.  Returns whether it ran: "no", "yes" or
   "unknown".  */
const char *model_repeat_request (struct model *model, int host, int request);
void model_crash (struct model *model, int host);
void model_restart (struct model *model, int host);
void model_pause (struct model *model, int host);
void model_disconnect_paused (struct model *model, int host);
void model_resume (struct model *model, int host);
void model_cut (struct model *model, int a, int b);
void model_heal (struct model *model, int a, int b);
void model_set_platform_state (struct model *model, bool is_up);
void model_lose_responses (struct model *model, int count);
void model_set_prepaid (struct model *model, int budget, uint64_t prepaid);
void model_stop_host (struct model *model, int host);
/* Delivers messages and ticks the hosts until MS have passed.  */
void model_run (struct model *model, uint64_t ms);
uint64_t model_settled_tokens (const struct model *model, int budget);
uint64_t model_granted_tokens (const struct model *model, int budget);
uint64_t model_host_available_tokens (struct model *model, int host,
                                      int budget);

#endif
