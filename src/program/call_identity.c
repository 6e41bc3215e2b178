#include "program/call.h"

#include <inttypes.h>
#include <stdio.h>

/* Derives the ID of a request from its session, its idempotency key or its
   handle, and responds to requests whose ID was used before.  */

#define REQUEST_ID_BYTES_MAX 256
#define REQUEST_ID_HEADER "Daisystep-Request-Id"
#define IDEMPOTENCY_HEADER "Idempotency-Key"
/* Retry-After time sent for transient conditions.  */
#define TRANSIENT_RETRY_AFTER_MS 1000

static void
set_id (struct call *call, struct ds_str text)
{
  (void)ds_request_id_digest (&call->id, call->workspace, text);
  ds_request_id_to_hex (call->id_hex, &call->id);
}

/* Handles a request ID of a session: only the session's home host may run
   it.  */
static void
identify_by_session (struct call *call, struct ds_str text)
{
  struct ds_server *server = call->worker->server;
  struct generation *generation = call->generation;
  uint64_t incarnation = 0;
  enum ds_session_check check;

  set_id (call, text);
  (void)pthread_mutex_lock (&generation->sessions_lock);
  check = ds_sessions_check (generation->sessions, text, server_now (),
                             &incarnation);
  (void)pthread_mutex_unlock (&generation->sessions_lock);
  switch (check)
    {
    case DS_SESSION_OPEN:
      call_reserve (call);
      return;
    case DS_SESSION_OTHER_INCARNATION:
    case DS_SESSION_EXPIRED:
      call->state = CALL_CHECKING_ID;
      server_query (server, call->handle, incarnation, &call->id, text);
      return;
    case DS_SESSION_MALFORMED:
      ds_metric_add (DS_METRIC_REFUSED_INVALID, 1);
      call_refuse (call, 400, PROBLEM_TYPE ("request-id"), DS_RAN_NO,
                   DS_PROBLEM_NO_RETRY,
                   "'" REQUEST_ID_HEADER
                   "' must be SESSION.NUMBER with a session that was issued");
      call_free (call);
      return;
    }
}

/* Handles an idempotency key without a session: an at-most-once call is
   claimed in the platform; the bill of any other is checked in the ledger.  */
static void
identify_by_key (struct call *call, struct ds_str key)
{
  set_id (call, key);
  call->is_keyed = true;
  if (call->is_repeatable)
    {
      call_reserve (call);
      return;
    }
  call->state = CALL_CHECKING_ID;
  server_claim (call->worker->server, call->handle, &call->id,
                call->workspace);
}

void
call_identify (struct call *call)
{
  struct ds_str session
      = ds_http_request_header (call->http, REQUEST_ID_HEADER);
  struct ds_str key = ds_http_request_header (call->http, IDEMPOTENCY_HEADER);
  char text[40];

  if (session.length > REQUEST_ID_BYTES_MAX
      || key.length > REQUEST_ID_BYTES_MAX)
    {
      ds_metric_add (DS_METRIC_REFUSED_INVALID, 1);
      call_refuse (call, 400, PROBLEM_TYPE ("request-id"), DS_RAN_NO,
                   DS_PROBLEM_NO_RETRY, "the request id is over %d bytes",
                   REQUEST_ID_BYTES_MAX);
      call_free (call);
    }
  else if (session.length > 0)
    identify_by_session (call, session);
  else if (key.length > 0)
    identify_by_key (call, key);
  else
    {
      (void)snprintf (text, sizeof text, "%016" PRIx64 "/%016" PRIx64,
                      call->generation->incarnation, call->handle);
      set_id (call, ds_str_from_c (text));
      call_reserve (call);
    }
}

/* Responds to CALL, whose ID was used here or elsewhere, and frees it.  */
void
call_refuse_duplicate (struct call *call, enum ds_identity identity)
{
  switch (identity)
    {
    case DS_IDENTITY_RUNNING:
      ds_metric_add (DS_METRIC_REFUSED_DUPLICATE, 1);
      call_refuse (call, 409, PROBLEM_TYPE ("running"), DS_RAN_UNKNOWN,
                   TRANSIENT_RETRY_AFTER_MS,
                   "a request with this id is running");
      break;
    case DS_IDENTITY_DONE:
      ds_metric_add (DS_METRIC_REFUSED_DUPLICATE, 1);
      call_refuse (call, 409, PROBLEM_TYPE ("already-ran"), DS_RAN_YES,
                   DS_PROBLEM_NO_RETRY,
                   "a request with this id has run and is billed");
      break;
    case DS_IDENTITY_MISMATCH:
      ds_metric_add (DS_METRIC_REFUSED_INVALID, 1);
      call_refuse (call, 422, PROBLEM_TYPE ("id-reused"), DS_RAN_NO,
                   DS_PROBLEM_NO_RETRY,
                   "this id was used for a request with another body; this "
                   "one did not run");
      break;
    case DS_IDENTITY_NOT_SEEN:
    case DS_IDENTITY_CLAIMED:
      call_refuse (call, 409, PROBLEM_TYPE ("not-run"), DS_RAN_NO,
                   TRANSIENT_RETRY_AFTER_MS,
                   "the request did not run and will not run under this id; "
                   "send it again under a new one");
      break;
    case DS_IDENTITY_UNKNOWN:
      ds_metric_add (DS_METRIC_REFUSED_UNKNOWN, 1);
      call_refuse (call, 503, PROBLEM_TYPE ("outcome-unknown"), DS_RAN_UNKNOWN,
                   TRANSIENT_RETRY_AFTER_MS,
                   "the host that this id belongs to cannot be asked");
      break;
    }
  call_free (call);
}

/* Handles the result of querying another host about a request.  */
void
call_on_identity (struct worker *worker, uint64_t handle,
                  enum ds_identity identity)
{
  struct call *call = call_find (worker, handle);

  if (call != NULL && call->state == CALL_CHECKING_ID)
    call_refuse_duplicate (call, identity);
}

/* Handles the outcome of claiming the key of an at-most-once call.  */
void
call_on_claim_result (struct worker *worker, uint64_t handle,
                      enum ds_platform_outcome outcome)
{
  struct call *call = call_find (worker, handle);

  if (call == NULL || call->state != CALL_CHECKING_ID)
    return;
  switch (outcome)
    {
    case DS_PLATFORM_OK:
      call->is_claimed = true;
      call_reserve (call);
      break;
    case DS_PLATFORM_CONFLICT:
      call_refuse_duplicate (call, DS_IDENTITY_UNKNOWN);
      break;
    default:
      call_refuse (call, 503, PROBLEM_TYPE ("claim-unavailable"), DS_RAN_NO,
                   TRANSIENT_RETRY_AFTER_MS,
                   "the platform that keeps idempotency keys cannot be "
                   "reached; with a session's request id it is not needed");
      call_free (call);
      break;
    }
}
