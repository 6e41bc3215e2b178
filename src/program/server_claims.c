#include "program/call.h"
#include "program/server_internal.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

/* Attempts to write a claim while its outcome is unknown, and their
   interval.  */
#define CLAIM_ATTEMPTS_MAX 10
#define CLAIM_RETRY_DELAY_US 200000

struct claim_call
{
  struct ds_server *server;
  uint64_t handle;
  uint64_t incarnation;
  /* Monotonic clock of this host.  */
  uint64_t claimed_at;
  unsigned attempts;
  char name[DS_REQUEST_ID_HEX_BYTES];
  struct ds_request_id id;
  struct ds_str workspace;
  char workspace_text[64];
};

struct claim_result
{
  struct worker *worker;
  uint64_t handle;
  enum ds_platform_outcome outcome;
};

static void send_claim (struct claim_call *call);

static void
handle_claim_result (void *payload, void *context)
{
  struct claim_result *result = payload;

  (void)context;
  call_on_claim_result (result->worker, result->handle, result->outcome);
}

static void
post_claim_result (struct claim_call *call, enum ds_platform_outcome outcome)
{
  struct claim_result *result = g_new0 (struct claim_result, 1);

  result->worker = server_worker_for_request (call->server, call->handle);
  result->handle = call->handle;
  result->outcome = outcome;
  if (server_post (result->worker->mailbox, handle_claim_result, result,
                   g_free)
      < 0)
    g_free (result);
  g_free (call);
}

static uint64_t
claim_number (const json_t *object, const char *member)
{
  const char *text = json_string_value (
      json_object_get (json_object_get (object, "spec"), member));

  return text != NULL ? strtoull (text, NULL, 16) : 0;
}

/* Queries the host that claimed the key before.  It needs the time of the
   claim to decide whether it would still have a record of the call.  */
static void
query_claimant (struct claim_call *call, const json_t *object)
{
  char text[DS_SESSION_TEXT_BYTES];

  (void)snprintf (text, sizeof text, DS_CLAIM_TEXT_PREFIX "%016" PRIx64,
                  claim_number (object, "claimed_at"));
  server_query (call->server, call->handle,
                claim_number (object, "incarnation"), &call->id,
                ds_str_from_c (text));
  g_free (call);
}

static void
retry_claim (struct tevent_context *events, struct tevent_timer *timer,
             struct timeval now, void *private_data)
{
  (void)events;
  (void)timer;
  (void)now;
  send_claim (private_data);
}

/* An existing claim is this call's own if the response to its write was lost;
   any other belongs to an earlier call.  A write of unknown outcome is
   repeated: the claim is then either created or found.  */
static void
on_claimed (const struct ds_platform_result *result, void *user_data)
{
  struct claim_call *call = user_data;
  bool is_own = claim_number (result->json, "incarnation") == call->incarnation
                && claim_number (result->json, "handle") == call->handle;

  if (result->outcome == DS_PLATFORM_CONFLICT && result->json != NULL
      && !is_own)
    query_claimant (call, result->json);
  else if (result->outcome == DS_PLATFORM_CONFLICT && is_own)
    post_claim_result (call, DS_PLATFORM_OK);
  else if (result->outcome == DS_PLATFORM_OUTCOME_UNKNOWN
           && ++call->attempts < CLAIM_ATTEMPTS_MAX
           && tevent_add_timer (
                  call->server->events, call->server->memory,
                  tevent_timeval_current_ofs (0, CLAIM_RETRY_DELAY_US),
                  retry_claim, call)
                  != NULL)
    return;
  else
    post_claim_result (call, result->outcome);
}

static void
send_claim (struct claim_call *call)
{
  struct ds_platform_callback callback
      = { .on_done = on_claimed, .user_data = call };
  json_t *spec = json_object ();
  json_t *object;

  json_object_set_new (spec, "incarnation",
                       json_sprintf ("%016" PRIx64, call->incarnation));
  json_object_set_new (spec, "handle",
                       json_sprintf ("%016" PRIx64, call->handle));
  json_object_set_new (spec, "claimed_at",
                       json_sprintf ("%016" PRIx64, call->claimed_at));
  json_object_set_new (
      spec, "workspace",
      json_stringn (call->workspace.data, call->workspace.length));
  object = server_object_json ("Claim", call->name, spec);
  if (ds_platform_put (call->server->platform, "Claim", call->name, 0, object,
                       callback, NULL)
      < 0)
    post_claim_result (call, DS_PLATFORM_UNAVAILABLE);
  json_decref (object);
}

/* The mailbox frees PAYLOAD afterwards; the platform request needs its own
   copy.  */
static void
handle_claim (void *payload, void *context)
{
  struct claim_call *call = g_memdup2 (payload, sizeof *call);

  (void)context;
  call->workspace.data = call->workspace_text;
  send_claim (call);
}

/* Claims the key ID for the call HANDLE; the platform creates each claim only
   once.  Called on a worker thread.  */
void
server_claim (struct ds_server *server, uint64_t handle,
              const struct ds_request_id *id, struct ds_str workspace)
{
  struct claim_call *call = g_new0 (struct claim_call, 1);

  call->server = server;
  call->handle = handle;
  call->incarnation
      = server_generation_for_request (server, handle)->incarnation;
  call->claimed_at = server_now ();
  call->id = *id;
  call->workspace.length = workspace.length < sizeof call->workspace_text
                               ? workspace.length
                               : sizeof call->workspace_text;
  memcpy (call->workspace_text, workspace.data, call->workspace.length);
  call->workspace.data = call->workspace_text;
  ds_request_id_to_hex (call->name, id);
  if (server_post (server->mailbox, handle_claim, call, g_free) < 0)
    post_claim_result (call, DS_PLATFORM_UNAVAILABLE);
}

struct claim_release
{
  struct ds_server *server;
  char name[DS_REQUEST_ID_HEX_BYTES];
};

static void
on_claim_deleted (const struct ds_platform_result *result, void *user_data)
{
  (void)user_data;
  if (result->outcome != DS_PLATFORM_OK)
    ds_log_error (&result->error, NULL);
}

static void
on_claim_read (const struct ds_platform_result *result, void *user_data)
{
  struct claim_release *release = user_data;
  struct ds_platform_callback callback = { .on_done = on_claim_deleted };

  if (result->outcome == DS_PLATFORM_OK)
    (void)ds_platform_delete (release->server->platform, "Claim",
                              release->name, result->version, callback, NULL);
  g_free (release);
}

static void
handle_claim_release (void *payload, void *context)
{
  struct claim_release *release = g_memdup2 (payload, sizeof *release);
  struct ds_platform_callback callback
      = { .on_done = on_claim_read, .user_data = release };

  (void)context;
  if (ds_platform_get (release->server->platform, "Claim", release->name,
                       callback, NULL)
      < 0)
    g_free (release);
}

/* Deletes the claim of a call that did not run, so that the caller can retry
   under the same key.  If this fails, the key stays refused, which is safe.
   Called on a worker thread.  */
void
server_release_claim (struct ds_server *server, const struct ds_request_id *id)
{
  struct claim_release *release = g_new0 (struct claim_release, 1);

  release->server = server;
  ds_request_id_to_hex (release->name, id);
  if (server_post (server->mailbox, handle_claim_release, release, g_free) < 0)
    g_free (release);
}
