#ifndef TEST_SUPPORT_CLUSTER_H
#define TEST_SUPPORT_CLUSTER_H

#include "process.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define CLUSTER_HOSTS_MAX 4
#define CLUSTER_ENGINES_MAX 3
/* The time limit of each wait of a test, long enough for a busy machine.  */
#define CLUSTER_WAIT_MS 30000
#define CLUSTER_BUDGET "budget-north"
/* Offerings: a model, a repeatable service of 1000 tokens a call, and a
   service of 10 tokens a call that is not repeatable.  */
#define CLUSTER_MODEL "assistant"
#define CLUSTER_BULK "bulk"
#define CLUSTER_BULK_TOKENS 1000
#define CLUSTER_BOOKING "booking"

struct cluster_options
{
  int hosts;
  int engines;
  int token_ms; /* from one token of an engine to the next */
  int prepaid;
  int draw_percent;
  int flush_ms;
  int idle_ms;
  int draw_wait_ms;
  int progress_ms;
};

#define CLUSTER_OPTIONS_DEFAULT                                               \
  {                                                                           \
    .hosts = 4, .engines = 2, .token_ms = 20, .prepaid = 20000,               \
    .draw_percent = 20, .flush_ms = 100, .idle_ms = 600,                      \
    .draw_wait_ms = 1000, .progress_ms = 2000,                                \
  }

struct cluster_host
{
  char name[16];
  char caller[32];    /* IP:PORT */
  char operators[32]; /* IP:PORT */
  struct test_process *process;
};

/* The processes of one test.  VIOLATION describes the first violated
   invariant, or is null.  */
struct cluster
{
  struct cluster_options options;
  struct test_process *platform;
  struct test_process *service;
  struct test_process *engines[CLUSTER_ENGINES_MAX];
  struct cluster_host hosts[CLUSTER_HOSTS_MAX];
  json_t *completed_ids; /* requests with a complete response */
  json_t *not_run_ids;   /* requests reported as not run */
  char *violation;
};

/* A request to host number HOST.  TOKENS is the requested output.  The
   defaults for null are the model, a standard text, no request id and no key.
 */
struct cluster_call
{
  int host;
  const char *offering;
  bool is_stream;
  int tokens;
  const char *text;
  const char *request_id;
  const char *key;
};

enum cluster_outcome
{
  CLUSTER_COMPLETE,
  CLUSTER_TRUNCATED,  /* started, and recognisably incomplete */
  CLUSTER_REFUSED,    /* a problem document */
  CLUSTER_NO_RESPONSE /* no response, or an incomplete error */
};

/* RAN and TYPE are members of the problem document, else empty.  ID is the
   digest that identifies the request in bills, empty if unknown.  */
struct cluster_response
{
  enum cluster_outcome outcome;
  long status;
  long retry_after_ms;
  char ran[16];
  char type[64];
  char id[40];
};

struct cluster_task;

struct cluster *cluster_start (const struct cluster_options *options);
void cluster_free (struct cluster *cluster);

struct cluster_task *cluster_send (struct cluster *cluster,
                                   const struct cluster_call *call);
struct cluster_response cluster_receive (struct cluster_task *task);
struct cluster_response
cluster_send_and_receive (struct cluster *cluster,
                          const struct cluster_call *call);
char *cluster_new_session (struct cluster *cluster, int host);
json_t *cluster_address (struct cluster *cluster, int host);
const char *cluster_request_digest (const char *text);

json_t *cluster_objects (struct cluster *cluster, const char *kind);
json_t *cluster_host_object (struct cluster *cluster, const char *incarnation);
char *cluster_incarnation (struct cluster *cluster, int host);
long cluster_put (struct cluster *cluster, const char *kind, const char *name,
                  json_t *spec);
void cluster_set_fault (const struct test_process *standin, const char *json);
json_t *cluster_account (struct cluster *cluster);
json_int_t cluster_member_integer (const json_t *object, const char *member);
int cluster_bill_count (struct cluster *cluster, const char *id);
json_t *cluster_logged_calls (const struct test_process *standin);
int cluster_running_calls (struct cluster *cluster);
int cluster_count_prefix (json_t *calls, const char *member,
                          const char *prefix);

bool cluster_is_ready (struct cluster *cluster, int host);
double cluster_metric (struct cluster *cluster, int host, const char *name);
void cluster_block_link (struct cluster *cluster, int a, int b, bool is_on);
json_int_t cluster_spend_budget (struct cluster *cluster, int first, int last,
                                 json_int_t left);

long cluster_now_ms (void);
void cluster_sleep_ms (long ms);
const char *cluster_check (struct cluster *cluster);

/* Polls CONDITION until it is true.  The value is false if that took longer
   than CLUSTER_WAIT_MS.  */
#define CLUSTER_WAIT_UNTIL(condition)                                         \
  ({                                                                          \
    long cluster_end_ = cluster_now_ms () + CLUSTER_WAIT_MS;                  \
    bool cluster_is_true_;                                                    \
    while (!(cluster_is_true_ = (condition))                                  \
           && cluster_now_ms () < cluster_end_)                               \
      cluster_sleep_ms (20);                                                  \
    cluster_is_true_;                                                         \
  })

#endif
