#ifndef TEST_SUPPORT_ENTRY_SITE_H
#define TEST_SUPPORT_ENTRY_SITE_H

#include "support/http.h"
#include "support/process.h"
#include "support/site.h"

#include <jansson.h>

#define ENTRY_HOSTS_MAX 32
#define ENTRY_REPLICAS 2
#define ENTRY_ADDRESS_BYTES 32
#define ENTRY_OBJECTS "/daisystep/objects/"
/* Upper bound of waits for a state; it only ends a run that hangs.  */
#define ENTRY_WAIT_MS 20000
#define ENTRY_POLL_MS 20

/* Adds a response to the script of a scripted replica: pairs of a step and its
   text, then a null pointer.  The request that gets it is executed.  */
#define entry_add_response(replica, ...)                                      \
  entry_add_script (replica, "runs", (const char *const[]){ __VA_ARGS__ })
/* The same for a request that resumes a stream.  */
#define entry_add_resume_response(replica, ...)                               \
  entry_add_script (replica, "for_resumed",                                   \
                    (const char *const[]){ __VA_ARGS__ })
/* The same for a request that is not executed.  */
#define entry_add_refusal(replica, ...)                                       \
  entry_add_script (replica, "not_run", (const char *const[]){ __VA_ARGS__ })

/* Entry hosts with stand-ins for the platform's store and replicas.  */
extern struct test_process *entry_store;
extern struct test_process *entry_replicas[ENTRY_REPLICAS];
extern struct test_process *entry_hosts[ENTRY_HOSTS_MAX];
/* "minimum_tokens" of the hosts started from now on.  */
extern long entry_minimum_tokens;
/* Further members of the settings of hosts started from now on, each with a
   comma after it.  */
extern const char *entry_further_settings;
/* Regions of the hosts started, and zones of the replicas registered, from now
   on.  */
extern const char *entry_region;
extern const char *entry_replica_zones[ENTRY_REPLICAS];
/* "release.span_ms" of the hosts started from now on; 0 for off.  */
extern long entry_release_span_ms;
/* "kv_capacity" in configurations written from now on; 0 for unknown.  */
extern long entry_kv_capacity;
extern char entry_caller_addresses[ENTRY_HOSTS_MAX][ENTRY_ADDRESS_BYTES];
extern char entry_readiness_addresses[ENTRY_HOSTS_MAX][ENTRY_ADDRESS_BYTES];
extern char entry_directory_addresses[ENTRY_HOSTS_MAX][ENTRY_ADDRESS_BYTES];

void entry_start_standins (long prepaid);
void entry_start_scripted_standins (long prepaid);
void entry_add_steps (const struct test_process *replica,
                      const char *condition, json_t *steps);
void entry_add_script (const struct test_process *replica,
                       const char *condition, const char *const *steps);
void entry_put_config (long prepaid);
long entry_put_object (const char *method, const char *path, json_t *spec,
                       const char *name);
void entry_set_body_limit (long bytes);
void entry_set_cold_phase (double start_s, double per_s, long remaining_ms);
void entry_put_config_with_route (long prepaid, const char *path_prefix);
void entry_format_address (char *out, int number, int port);
void entry_put_replica (int i, const char *state);
void entry_restart_replica (int i);
void entry_start_host (int i, const char *zone);
void entry_wait_ready (int i);
void entry_wait_served (int i);
struct test_http_response *entry_request (int host, const char *method,
                                          const char *path, const char *id,
                                          const char *tokens);
int entry_count_runs (const char *id);
void entry_set_faults (const struct test_process *standin, const char *text);
const char *entry_ledger_path (void);
long entry_settled_tokens (void);

#endif
