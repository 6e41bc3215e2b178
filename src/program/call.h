#ifndef DAISYSTEP_PROGRAM_CALL_H
#define DAISYSTEP_PROGRAM_CALL_H

#include "io/http_client.h"
#include "io/problem_document.h"
#include "io/sse.h"
#include "program/server_internal.h"

/* Unsent response bytes at which reading from the upstream is paused.  */
#define CALL_BUFFER_BYTES ((size_t)64 << 10)

#define PROBLEM_TYPE(name) "urn:daisystep:problem:" name

enum call_state
{
  /* Its request ID is being checked at another host or at the platform.  */
  CALL_CHECKING_ID,
  /* Waits for a token reservation and its journal record.  */
  CALL_RESERVING,
  /* Waits for an upstream.  */
  CALL_QUEUED,
  CALL_RUNNING
};

/* A caller's request, owned by its worker.  HTTP is null once the caller has
   disconnected or has received its response.  */
struct call
{
  struct worker *worker;
  struct generation *generation;
  uint64_t handle;
  enum call_state state;
  struct ds_http_request *http;
  struct ds_request_id id;
  char id_hex[DS_REQUEST_ID_HEX_BYTES];
  struct ds_str workspace;
  struct ds_str budget;
  struct ds_str offering;
  uint32_t shard;
  uint64_t priority;
  /* Body sent to the upstream, and the digest of the caller's body.  */
  struct ds_str body;
  uint64_t body_digest;
  uint64_t prefix_digests[DS_PREFIX_DIGESTS_MAX];
  size_t prefix_count;
  uint64_t input_tokens_max;
  uint64_t reservation_tokens;
  uint64_t deadline;
  bool is_service;
  bool is_stream;
  bool wants_usage;
  bool is_repeatable;
  bool is_keyed;
  /* A Claim object of this host prevents other hosts from running it.  */
  bool is_claimed;

  /* The current attempt.  */
  uint64_t attempt;
  char attempt_text[40];
  struct ds_http_call *upstream;
  struct ds_sse_parser *parser;
  unsigned upstream_status;
  bool is_first_byte_seen;
  bool is_response_invalid;
  bool is_upstream_paused;
  /* An earlier attempt reached its upstream and failed.  */
  bool may_have_run;

  /* State of the response.  */
  bool is_response_started;
  bool is_done_seen;
  bool has_usage;
  uint64_t input_tokens;
  uint64_t output_tokens;
  uint64_t received_tokens;
};

/* call.c */
void call_handle (struct ds_http_request *http, void *user_data);
void call_on_shard_decision (struct worker *worker,
                             const struct ds_action *action);
void call_on_route_decision (struct worker *worker,
                             const struct ds_route_decision *decision);
void call_on_identity (struct worker *worker, uint64_t handle,
                       enum ds_identity identity);
void call_on_claim_result (struct worker *worker, uint64_t handle,
                           enum ds_platform_outcome outcome);
void call_refuse (struct call *call, unsigned status, const char *type,
                  enum ds_ran ran, int64_t retry_after_ms, const char *format,
                  ...) __attribute__ ((format (printf, 6, 7)));
void call_end (struct call *call, enum ds_request_end end, uint64_t tokens);
void call_free (struct call *call);

struct call *call_find (struct worker *worker, uint64_t handle);
void call_reserve (struct call *call);

/* call_identity.c */
void call_identify (struct call *call);
void call_refuse_duplicate (struct call *call, enum ds_identity identity);

/* call_parse.c */
int call_parse_body (struct call *call, struct json_t **out,
                     struct ds_error *error);
int call_parse_model_name (struct call *call, const struct json_t *json,
                           struct ds_error *error);
int call_parse_model (struct call *call, struct json_t *json,
                      const struct ds_offering *offering,
                      struct ds_error *error);
void call_parse_service (struct call *call,
                         const struct ds_offering *offering);

/* relay.c */
void relay_start (struct call *call, struct ds_str address, uint64_t attempt);
void relay_cancel (struct call *call);
uint64_t relay_interrupted_cost (const struct call *call);

#endif
