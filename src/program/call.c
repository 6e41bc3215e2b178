#include "program/call.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define COMPLETIONS_PATH "/v1/chat/completions"
#define SERVICES_PATH "/v1/services/"
#define ADDRESS_PATH "/v1/address"
#define KEY_BYTES_MAX 512
#define REPEAT_HEADER "Daisystep-Repeat"
/* Retry-After time sent for transient conditions.  */
#define TRANSIENT_RETRY_AFTER_MS 1000

static const struct ds_str bearer_prefix
    = { .data = "Bearer ", .length = sizeof "Bearer " - 1 };

static bool
starts_with (struct ds_str text, struct ds_str prefix)
{
  return text.length >= prefix.length
         && memcmp (text.data, prefix.data, prefix.length) == 0;
}

struct call *
call_find (struct worker *worker, uint64_t handle)
{
  return g_hash_table_lookup (worker->calls, &handle);
}

static void
reply_problem (struct ds_http_request *http, const char *id_hex,
               unsigned status, const char *type, enum ds_ran ran,
               int64_t retry_after_ms, const char *detail)
{
  struct ds_problem_document problem = DS_PROBLEM_DOCUMENT_DEFAULT;
  char seconds[24];
  struct ds_http_header header
      = { .name = DS_STR ("Retry-After"), .value = DS_STR_EMPTY };
  struct ds_str body;

  problem.type = type;
  problem.title = strrchr (type, ':') + 1;
  problem.status = status;
  problem.detail = detail;
  problem.ran = ran;
  problem.retry_after_ms = retry_after_ms;
  problem.request_id = id_hex != NULL && *id_hex != '\0' ? id_hex : NULL;
  if (ds_problem_document_format (&body, NULL, &problem) < 0)
    body = DS_STR_EMPTY;
  (void)snprintf (seconds, sizeof seconds, "%" PRId64,
                  (retry_after_ms + 999) / 1000);
  header.value = ds_str_from_c (seconds);
  ds_http_request_reply (http, status, DS_PROBLEM_CONTENT_TYPE, &header,
                         retry_after_ms > 0 ? 1 : 0, body);
  talloc_free ((void *)body.data);
}

/* The decision core reports 0 when a retry cannot succeed.  */
static int64_t
retry_after (uint64_t ms)
{
  return ms > 0 ? (int64_t)ms : DS_PROBLEM_NO_RETRY;
}

/* Refuses a request that has no call object.  */
static void
reject (struct ds_http_request *http, enum ds_metric metric, unsigned status,
        const char *type, const char *detail)
{
  ds_metric_add (metric, 1);
  reply_problem (http, NULL, status, type, DS_RAN_NO, DS_PROBLEM_NO_RETRY,
                 detail);
}

/* Sends an error event and aborts the stream; the missing end mark and the
   closed connection tell the caller that it is incomplete.  */
static void
abort_stream (struct call *call, const char *type, enum ds_ran ran,
              const char *detail)
{
  struct ds_problem_document problem = DS_PROBLEM_DOCUMENT_DEFAULT;
  struct ds_sse_event event = { .name = DS_STR ("error") };
  struct ds_str text;

  problem.type = type;
  problem.title = strrchr (type, ':') + 1;
  problem.status = 502;
  problem.detail = detail;
  problem.ran = ran;
  problem.request_id = call->id_hex;
  if (ds_problem_document_format (&event.data, call, &problem) == 0
      && ds_sse_format (&text, call, &event) == 0)
    ds_http_request_write (call->http, text);
  ds_http_request_finish (call->http, false);
}

/* Responds to CALL with a problem document, or aborts its started stream, and
   detaches the caller.  The call itself stays.  */
void
call_refuse (struct call *call, unsigned status, const char *type,
             enum ds_ran ran, int64_t retry_after_ms, const char *format, ...)
{
  struct ds_http_request *http = call->http;
  struct ds_log_fields fields = DS_LOG_FIELDS_DEFAULT;
  char detail[256];
  va_list arguments;

  if (http == NULL)
    return;
  va_start (arguments, format);
  (void)vsnprintf (detail, sizeof detail, format, arguments);
  va_end (arguments);
  fields.request_id = call->id_hex;
  fields.step = "respond to caller";
  fields.peer = ds_http_request_peer (http);
  ds_log (DS_LOG_INFO, &fields, "%s: %s (ran: %s)", type, detail,
          ds_ran_name (ran));
  if (call->is_response_started)
    {
      ds_metric_add (DS_METRIC_ANSWERS_CUT, 1);
      abort_stream (call, type, ran, detail);
    }
  else
    reply_problem (http, call->id_hex, status, type, ran, retry_after_ms,
                   detail);
  call->http = NULL;
}

/* Frees CALL, which must have no attempt in progress.  */
void
call_free (struct call *call)
{
  if (call->http != NULL)
    ds_http_request_on_close (call->http, NULL);
  ds_metric_add (DS_METRIC_REQUESTS_RUNNING, -1);
  g_hash_table_remove (call->worker->calls, &call->handle);
  talloc_free (call);
}

/* Reports the end of CALL and its cost, TOKENS, to the shard and frees
   CALL.  */
void
call_end (struct call *call, enum ds_request_end end, uint64_t tokens)
{
  struct ds_event event = {
    .kind = DS_EVENT_END,
    .end = { .handle = call->handle,
             .end = end,
             .input_tokens = call->input_tokens,
             .output_tokens = call->output_tokens,
             .tokens = tokens },
  };

  if (end != DS_END_NOT_RUN)
    {
      if (tokens > call->reservation_tokens)
        ds_metric_add (DS_METRIC_COST_ABOVE_RESERVATION, 1);
      ds_metric_add (DS_METRIC_TOKENS_BILLED,
                     (int64_t)(tokens < call->reservation_tokens
                                   ? tokens
                                   : call->reservation_tokens));
    }
  server_shard_handle_event (call->generation, call->shard, &event);
  if (end == DS_END_NOT_RUN && call->is_claimed)
    server_release_claim (call->worker->server, &call->id);
  call_free (call);
}

/* Refers to an abandoned call by its handle.  */
struct abandon_message
{
  struct worker *worker;
  uint64_t handle;
};

static void
handle_abandon (void *payload, void *context)
{
  const struct abandon_message *message = payload;
  struct call *call = call_find (message->worker, message->handle);

  (void)context;
  if (call != NULL)
    call_free (call);
}

/* Withdraws from its shard a call whose caller has disconnected.  Any decision
   on it is in the worker's mailbox by then, so a call that still exists when
   this message arrives gets none.  Its claim stays: the reservation may have
   reached a backup.  */
static void
abandon_reservation (struct call *call)
{
  struct ds_event event = {
    .kind = DS_EVENT_ABANDON,
    .abandon = { .handle = call->handle },
  };
  struct abandon_message *message = g_new0 (struct abandon_message, 1);

  message->worker = call->worker;
  message->handle = call->handle;
  server_shard_handle_event (call->generation, call->shard, &event);
  if (server_post (call->worker->mailbox, handle_abandon, message, g_free) < 0)
    g_free (message);
}

/* The caller closed its connection.  */
static void
on_close (struct ds_http_request *http, void *user_data)
{
  struct call *call = user_data;

  (void)http;
  call->http = NULL;
  switch (call->state)
    {
    case CALL_CHECKING_ID:
      call_free (call);
      break;
    case CALL_RESERVING:
      abandon_reservation (call);
      break;
    case CALL_QUEUED:
    case CALL_RUNNING:
      relay_cancel (call);
      break;
    }
}

/* Copies the workspace that declares KEY; DS_EDENIED if there is none.  */
static int
find_workspace (struct ds_server *server, struct ds_str key,
                struct ds_str *name, struct ds_workspace *workspace,
                TALLOC_CTX *owner)
{
  char *hash = g_compute_checksum_for_data (
      G_CHECKSUM_SHA256, (const guchar *)key.data, key.length);
  int result = DS_EDENIED;
  const char *found;

  (void)pthread_rwlock_rdlock (&server->catalogue_lock);
  found = g_hash_table_lookup (server->keys, hash);
  if (found != NULL)
    {
      const struct ds_catalogue_entry *entry = ds_catalogue_find (
          server->catalogue, DS_STR ("Workspace"), ds_str_from_c (found));
      const struct ds_resource *resource
          = entry != NULL && !entry->deleted ? entry->payload : NULL;

      if (resource != NULL)
        {
          *name = ds_str_copy (owner, resource->name);
          workspace->budget = ds_str_copy (owner, resource->workspace.budget);
          workspace->priority = resource->workspace.priority;
          result = 0;
        }
    }
  (void)pthread_rwlock_unlock (&server->catalogue_lock);
  g_free (hash);
  return result;
}

/* Copies offering NAME if WORKSPACE may use it.  Returns DS_ENOTFOUND
   otherwise, so as not to reveal other workspaces' offerings.  */
static int
find_offering (struct ds_server *server, struct ds_str workspace,
               struct ds_str name, struct ds_offering *out, TALLOC_CTX *owner)
{
  const struct ds_catalogue_entry *entry;
  int result = DS_ENOTFOUND;

  (void)pthread_rwlock_rdlock (&server->catalogue_lock);
  entry
      = ds_catalogue_find (server->catalogue, DS_STR ("Workspace"), workspace);
  if (entry != NULL && !entry->deleted)
    {
      const struct ds_resource *resource = entry->payload;

      for (size_t i = 0; i < resource->workspace.offerings.count; i++)
        if (ds_str_equal (resource->workspace.offerings.items[i], name))
          result = 0;
    }
  entry = result == 0 ? ds_catalogue_find (server->catalogue,
                                           DS_STR ("Offering"), name)
                      : NULL;
  if (entry == NULL || entry->deleted)
    result = DS_ENOTFOUND;
  else
    {
      *out = ((const struct ds_resource *)entry->payload)->offering;
      out->model = ds_str_copy (owner, out->model);
      out->adapter = ds_str_copy (owner, out->adapter);
    }
  (void)pthread_rwlock_unlock (&server->catalogue_lock);
  return result;
}

static bool
authenticate (struct worker *worker, struct ds_http_request *http,
              struct ds_str *name, struct ds_workspace *workspace,
              TALLOC_CTX *owner)
{
  struct ds_str header = ds_http_request_header (http, "Authorization");
  struct ds_str key = header;

  if (starts_with (header, bearer_prefix))
    {
      key.data += bearer_prefix.length;
      key.length -= bearer_prefix.length;
      if (key.length > 0 && key.length <= KEY_BYTES_MAX
          && find_workspace (worker->server, key, name, workspace, owner) == 0)
        return true;
    }
  reject (http, DS_METRIC_REFUSED_CREDENTIAL, 401, PROBLEM_TYPE ("credential"),
          "the request needs 'Authorization: Bearer KEY' with a key of a "
          "workspace");
  return false;
}

static json_t *
address_json (const struct ds_host *host, size_t rank)
{
  /* The first two hosts receive most of a workspace's requests: this keeps its
     budget in few grants and tolerates the failure of one host.  */
  int weight = rank < 2 ? 100 : 1;

  return json_pack ("{s:s%, s:s%, s:i}", "address", host->caller_address.data,
                    host->caller_address.length, "zone", host->zone.data,
                    host->zone.length, "weight", weight);
}

/* Handles GET /v1/address.  */
static void
handle_address (struct worker *worker, struct ds_http_request *http)
{
  struct ds_server *server = worker->server;
  struct generation *generation = server->generation;
  TALLOC_CTX *memory = talloc_new (worker->memory);
  struct ds_workspace workspace;
  struct ds_str name;
  const struct ds_host **hosts;
  char session[DS_SESSION_TEXT_BYTES] = "";
  json_t *addresses = json_array ();
  json_t *response = NULL;
  char *text = NULL;
  size_t count;

  if (!authenticate (worker, http, &name, &workspace, memory))
    goto done;
  (void)pthread_mutex_lock (&server->fleet_lock);
  count = ds_fleet_hosts_for_workspace (server->fleet, memory, name, &hosts);
  for (size_t i = 0; i < count; i++)
    json_array_append_new (addresses, address_json (hosts[i], i));
  (void)pthread_mutex_unlock (&server->fleet_lock);
  response = json_pack ("{s:O, s:I}", "addresses", addresses, "valid_for_ms",
                        (json_int_t)server->settings->address_valid_ms);
  if (!server->is_draining)
    {
      (void)pthread_mutex_lock (&generation->sessions_lock);
      (void)ds_sessions_issue (generation->sessions, server_now (), session);
      (void)pthread_mutex_unlock (&generation->sessions_lock);
      json_object_set_new (response, "session", json_string (session));
      json_object_set_new (
          response, "session_address",
          json_stringn (server->settings->caller_address.data,
                        server->settings->caller_address.length));
    }
  text = json_dumps (response, JSON_COMPACT);
  ds_http_request_reply (http, 200, "application/json", NULL, 0,
                         ds_str_from_c (text));

done:
  free (text);
  json_decref (response);
  json_decref (addresses);
  talloc_free (memory);
}

/* Reserves tokens for CALL, whose request ID has been checked.  */
void
call_reserve (struct call *call)
{
  struct ds_event event = {
    .kind = DS_EVENT_ARRIVE,
    .arrive = { .handle = call->handle,
                .id = call->id,
                .body_digest = call->body_digest,
                .budget = call->budget,
                .workspace = call->workspace,
                .offering = call->offering,
                .tokens = call->reservation_tokens,
                .repeatable = call->is_repeatable,
                .keyed = call->is_keyed },
  };

  call->state = CALL_RESERVING;
  server_shard_handle_event (call->generation, call->shard, &event);
}

static struct call *
call_new (struct worker *worker, struct ds_http_request *http)
{
  struct call *call = talloc_zero (worker->memory, struct call);

  if (call == NULL)
    return NULL;
  call->worker = worker;
  call->generation = worker->server->generation;
  call->http = http;
  call->handle = (uint64_t)worker->index << HANDLE_WORKER_SHIFT
                 | (uint64_t)call->generation->number
                       << HANDLE_GENERATION_SHIFT
                 | ++worker->last_call_number;
  call->deadline
      = server_now () + worker->server->settings->timeouts.request_ms;
  g_hash_table_insert (worker->calls, &call->handle, call);
  ds_metric_add (DS_METRIC_REQUESTS_RUNNING, 1);
  ds_http_request_set_user_data (http, call);
  ds_http_request_on_close (http, on_close);
  return call;
}

static void
refuse_invalid (struct call *call, const struct ds_error *error)
{
  ds_metric_add (DS_METRIC_REFUSED_INVALID, 1);
  call_refuse (call, 400, PROBLEM_TYPE ("invalid-request"), DS_RAN_NO,
               DS_PROBLEM_NO_RETRY, "%s", error->message);
}

static bool
require_offering (struct call *call, struct ds_offering *offering,
                  unsigned int type)
{
  if (find_offering (call->worker->server, call->workspace, call->offering,
                     offering, call)
          == 0
      && offering->type == type)
    return true;
  ds_metric_add (DS_METRIC_REFUSED_INVALID, 1);
  call_refuse (call, 404, PROBLEM_TYPE ("offering"), DS_RAN_NO,
               DS_PROBLEM_NO_RETRY,
               "the workspace has no %s offering of that name",
               type == DS_OFFERING_SERVICE ? "service" : "model");
  return false;
}

/* Refuses CALL if the configuration is older than OFFERING allows.  It is
   current while the platform is reachable; a disconnected host gets no
   changes.  */
static bool
require_fresh_config (struct call *call, const struct ds_offering *offering)
{
  uint64_t lost_at = call->worker->server->platform_unreachable_since;

  if (offering->max_config_age_ms == 0 || lost_at == 0
      || server_now () - lost_at <= offering->max_config_age_ms)
    return true;
  ds_metric_add (DS_METRIC_REFUSED_OVERLOAD, 1);
  call_refuse (call, 503, PROBLEM_TYPE ("config-too-old"), DS_RAN_NO,
               TRANSIENT_RETRY_AFTER_MS,
               "this host has been cut off from the platform for longer than "
               "the offering allows");
  return false;
}

/* Parses the request into CALL.  Responds to an invalid one and returns
   false.  */
static bool
parse_request (struct call *call, bool is_service)
{
  struct ds_offering offering;
  struct ds_error error = DS_ERROR_NONE;
  struct ds_str path = ds_http_request_path (call->http);
  json_t *json = NULL;
  bool is_read = false;

  if (is_service)
    call->offering = ds_str_copy (
        call, ds_str_from_c (path.data + sizeof SERVICES_PATH - 1));
  if (call_parse_body (call, &json, &error) < 0
      || (!is_service && call_parse_model_name (call, json, &error) < 0))
    {
      refuse_invalid (call, &error);
      goto done;
    }
  if (!require_offering (call, &offering,
                         is_service ? DS_OFFERING_SERVICE : DS_OFFERING_MODEL)
      || !require_fresh_config (call, &offering))
    goto done;
  call->is_repeatable
      = offering.repeatable
        && !ds_str_equal (ds_http_request_header (call->http, REPEAT_HEADER),
                          DS_STR ("never"));
  if (is_service)
    call_parse_service (call, &offering);
  else if (call_parse_model (call, json, &offering, &error) < 0)
    {
      refuse_invalid (call, &error);
      goto done;
    }
  is_read = true;

done:
  json_decref (json);
  return is_read;
}

/* Handles the POST of a completion or a service call.  */
static void
handle_call (struct worker *worker, struct ds_http_request *http,
             bool is_service)
{
  TALLOC_CTX *memory = talloc_new (worker->memory);
  struct ds_workspace workspace;
  struct ds_str name;
  struct call *call;

  ds_metric_add (DS_METRIC_REQUESTS, 1);
  if (!authenticate (worker, http, &name, &workspace, memory))
    {
      talloc_free (memory);
      return;
    }
  call = call_new (worker, http);
  if (call == NULL)
    g_error ("out of memory for a request");
  talloc_steal (call, memory);
  call->workspace = name;
  call->budget = workspace.budget;
  call->priority = workspace.priority;
  call->shard = server_shard_of_page (
      call->generation, server_page_of_budget (worker->server, call->budget));
  call->body_digest = ds_str_hash (ds_http_request_body (http), 1);
  if (parse_request (call, is_service))
    call_identify (call);
  else
    call_free (call);
}

/* Handles a caller's request; the request handler of a worker's HTTP
   server.  */
void
call_handle (struct ds_http_request *http, void *user_data)
{
  struct worker *worker = user_data;
  struct ds_str path = ds_http_request_path (http);
  struct ds_str method = ds_http_request_method (http);
  bool is_post = ds_str_equal (method, DS_STR ("POST"));

  if (ds_str_equal (path, DS_STR (ADDRESS_PATH))
      && ds_str_equal (method, DS_STR ("GET")))
    handle_address (worker, http);
  else if (ds_str_equal (path, DS_STR (COMPLETIONS_PATH)) && is_post)
    handle_call (worker, http, false);
  else if (starts_with (path, DS_STR (SERVICES_PATH)) && is_post)
    handle_call (worker, http, true);
  else
    reject (http, DS_METRIC_REFUSED_INVALID, 404, PROBLEM_TYPE ("not-found"),
            "there are GET " ADDRESS_PATH ", POST " COMPLETIONS_PATH
            " and POST " SERVICES_PATH "OFFERING");
}

static void
route (struct call *call)
{
  struct ds_server *server = call->worker->server;
  uint64_t now = server_now ();
  struct ds_route_request request = {
    .handle = call->handle,
    .offering = call->offering,
    .priority = (uint32_t)call->priority,
    .deadline_left_ms = call->deadline > now ? call->deadline - now : 0,
    .prefix_count = call->prefix_count,
    .body_digest = call->body_digest,
    .repeatable = call->is_repeatable,
  };
  struct ds_route_decisions decisions;
  struct ds_route_decision *decision;

  memcpy (request.prefix_digests, call->prefix_digests,
          sizeof request.prefix_digests);
  call->state = CALL_QUEUED;
  if (ds_route_decisions_init (&decisions, NULL) < 0)
    g_error ("out of memory for a request");
  decisions.items = g_new0 (struct ds_route_decision, 1);
  decision = decisions.items;
  (void)pthread_mutex_lock (&server->router_lock);
  if (ds_router_submit (server->router, &request, now, decision) < 0)
    g_error ("the router rejected a newly submitted request");
  decision->handle = call->handle;
  if (decision->kind == DS_ROUTE_ATTEMPT)
    decision->attempt.address = ds_str_copy (call, decision->attempt.address);
  (void)pthread_mutex_unlock (&server->router_lock);
  call_on_route_decision (call->worker, decision);
  g_free (decisions.items);
  decisions.items = NULL;
  ds_route_decisions_clear (&decisions);
}

static void
handle_shard_refusal (struct call *call, const struct ds_action *action)
{
  static const struct
  {
    unsigned status;
    const char *type;
    const char *detail;
    enum ds_metric metric;
  } problems[] = {
    [DS_REFUSAL_BUDGET_EXHAUSTED]
    = { 402, PROBLEM_TYPE ("budget-exhausted"),
        "what is left of the prepaid budget does not cover the largest "
        "possible cost of the request",
        DS_METRIC_REFUSED_BUDGET },
    [DS_REFUSAL_PLATFORM_UNAVAILABLE]
    = { 503, PROBLEM_TYPE ("budget-unavailable"),
        "this host has no tokens of the budget left and cannot reach the "
        "platform",
        DS_METRIC_REFUSED_BUDGET },
    [DS_REFUSAL_JOURNAL_UNAVAILABLE]
    = { 503, PROBLEM_TYPE ("backups-unavailable"),
        "too few other hosts can be reached to record the request",
        DS_METRIC_REFUSED_OVERLOAD },
    [DS_REFUSAL_UNKNOWN_BUDGET]
    = { 503, PROBLEM_TYPE ("budget-unknown"),
        "the workspace's budget is not declared here",
        DS_METRIC_REFUSED_BUDGET },
    [DS_REFUSAL_STOPPING]
    = { 503, PROBLEM_TYPE ("stopping"), "this host is stopping",
        DS_METRIC_REFUSED_DRAINING },
    [DS_REFUSAL_SEALED]
    = { 503, PROBLEM_TYPE ("sealed"),
        "this host was cut off and taken for dead; ask for an address again",
        DS_METRIC_REFUSED_DRAINING },
  };
  bool is_outcome_unknown = action->refuse.is_outcome_unknown;

  ds_metric_add (problems[action->refuse.reason].metric, 1);
  if (is_outcome_unknown)
    ds_metric_add (DS_METRIC_REFUSED_UNKNOWN, 1);
  call_refuse (call, problems[action->refuse.reason].status,
               problems[action->refuse.reason].type,
               is_outcome_unknown ? DS_RAN_UNKNOWN : DS_RAN_NO,
               retry_after (action->refuse.retry_after_ms), "%s",
               problems[action->refuse.reason].detail);
  if (call->is_claimed && !is_outcome_unknown)
    server_release_claim (call->worker->server, &call->id);
  call_free (call);
}

/* Handles the shard's decision on the request with ACTION's handle.  */
void
call_on_shard_decision (struct worker *worker, const struct ds_action *action)
{
  struct call *call;

  switch (action->kind)
    {
    case DS_ACTION_DISPATCH:
      call = call_find (worker, action->dispatch.handle);
      if (call == NULL)
        return;
      if (call->http == NULL)
        call_end (call, DS_END_NOT_RUN, 0);
      else
        route (call);
      break;
    case DS_ACTION_REFUSE:
      call = call_find (worker, action->refuse.handle);
      if (call != NULL)
        handle_shard_refusal (call, action);
      break;
    case DS_ACTION_DUPLICATE:
      call = call_find (worker, action->duplicate.handle);
      if (call != NULL)
        call_refuse_duplicate (call, action->duplicate.identity);
      break;
    default:
      break;
    }
}

static void
handle_route_failure (struct call *call,
                      const struct ds_route_decision *decision)
{
  static const struct
  {
    unsigned status;
    const char *type;
    const char *detail;
  } problems[] = {
    [DS_ROUTE_NO_UPSTREAM] = { 503, PROBLEM_TYPE ("no-upstream"),
                               "no upstream of the offering can be used" },
    [DS_ROUTE_OVERLOADED] = { 503, PROBLEM_TYPE ("overloaded"),
                              "the queue of the offering is full" },
    [DS_ROUTE_DEADLINE]
    = { 503, PROBLEM_TYPE ("deadline"),
        "the answer could not begin before the request's deadline" },
    [DS_ROUTE_POISONOUS]
    = { 422, PROBLEM_TYPE ("crashes-upstreams"),
        "this request has crashed two upstreams and is not run again" },
    [DS_ROUTE_UPSTREAM_FAILED]
    = { 502, PROBLEM_TYPE ("upstream-failed"),
        "the upstream failed while it had the request" },
  };
  enum ds_ran ran = decision->end.ran == DS_ROUTE_RAN_NO    ? DS_RAN_NO
                    : decision->end.ran == DS_ROUTE_RAN_YES ? DS_RAN_YES
                                                            : DS_RAN_UNKNOWN;

  ds_metric_add (DS_METRIC_REFUSED_OVERLOAD, 1);
  call_refuse (call, problems[decision->end.reason].status,
               problems[decision->end.reason].type, ran,
               retry_after (decision->end.retry_after_ms), "%s",
               problems[decision->end.reason].detail);
  if (ran == DS_RAN_NO)
    call_end (call, DS_END_NOT_RUN, 0);
  else
    call_end (call, DS_END_INTERRUPTED, relay_interrupted_cost (call));
}

/* Handles the router's decision on a call.  */
void
call_on_route_decision (struct worker *worker,
                        const struct ds_route_decision *decision)
{
  struct call *call = call_find (worker, decision->handle);
  struct ds_attempt_end unused = { .outcome = DS_ATTEMPT_CANCELLED };

  if (call == NULL)
    {
      /* The caller disconnected before the decision arrived.  */
      if (decision->kind == DS_ROUTE_ATTEMPT)
        {
          unused.attempt = decision->attempt.attempt;
          server_attempt_ended (worker->server, &unused);
        }
      return;
    }
  switch (decision->kind)
    {
    case DS_ROUTE_ATTEMPT:
      relay_start (call, decision->attempt.address, decision->attempt.attempt);
      break;
    case DS_ROUTE_QUEUED:
      call->state = CALL_QUEUED;
      break;
    case DS_ROUTE_REFUSED:
    case DS_ROUTE_FAILED:
      handle_route_failure (call, decision);
      break;
    }
}
