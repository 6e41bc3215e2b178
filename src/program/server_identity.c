#include "program/call.h"
#include "program/server_internal.h"

#include <stdio.h>
#include <string.h>

/* Queries about the state of requests whose ID belongs to another host or to
   an earlier incarnation.  */

/* Time after which a query without a reply results in "unknown".  */
#define QUERY_TIMEOUT_MS 2000

struct query
{
  uint64_t operation;
  uint64_t handle;
  uint64_t sent_at;
  /* Sent to every peer: there is no link to the home host, and only the host
     that has recovered it has the records.  */
  bool is_broadcast;
};

struct query_request
{
  struct ds_server *server;
  uint64_t handle;
  uint64_t incarnation;
  struct ds_request_id id;
  char text[2 * DS_SESSION_TEXT_BYTES];
};

struct query_result
{
  struct worker *worker;
  uint64_t handle;
  enum ds_identity identity;
};

static void
handle_query_result (void *payload, void *context)
{
  struct query_result *result = payload;

  (void)context;
  call_on_identity (result->worker, result->handle, result->identity);
}

static void
post_query_result (struct ds_server *server, uint64_t handle,
                   enum ds_identity identity)
{
  struct query_result *result = g_new0 (struct query_result, 1);

  result->worker = server_worker_for_request (server, handle);
  result->handle = handle;
  result->identity = identity;
  if (server_post (result->worker->mailbox, handle_query_result, result,
                   g_free)
      < 0)
    g_free (result);
}

/* Whether GENERATION would have a record of a request if it had run: its
   session, or the claim of its key, is within the retention period of ended
   requests.  */
static bool
is_within_retention (struct generation *generation, struct ds_str text)
{
  struct ds_str prefix = DS_STR (DS_CLAIM_TEXT_PREFIX);
  uint64_t incarnation;
  enum ds_session_check check;

  if (text.length > prefix.length
      && memcmp (text.data, prefix.data, prefix.length) == 0)
    return server_now () - strtoull (text.data + prefix.length, NULL, 16)
           < SESSION_LIFETIME_MS;
  (void)pthread_mutex_lock (&generation->sessions_lock);
  check = ds_sessions_check (generation->sessions, text, server_now (),
                             &incarnation);
  (void)pthread_mutex_unlock (&generation->sessions_lock);
  return check == DS_SESSION_OPEN;
}

/* Returns the state of request ID in an own generation.  If it is unseen, the
   shards refuse it from now on, so that the result stays valid.  */
static enum ds_identity
own_request_state (struct generation *generation,
                   const struct ds_request_id *id, struct ds_str text)
{
  bool remembers = is_within_retention (generation, text);

  for (uint32_t i = 0; i < generation->shard_count; i++)
    {
      struct server_shard *entry = &generation->shards[i];
      enum ds_identity identity;

      (void)pthread_mutex_lock (&entry->lock);
      identity = ds_shard_claim (entry->shard, id, server_now ());
      (void)pthread_mutex_unlock (&entry->lock);
      if (identity != DS_IDENTITY_NOT_SEEN && identity != DS_IDENTITY_CLAIMED)
        return identity;
    }
  return remembers ? DS_IDENTITY_CLAIMED : DS_IDENTITY_UNKNOWN;
}

/* Returns the state of a request of a failed host, from the records of a
   recovery by this host.  */
static enum ds_identity
recovered_request_state (struct ds_server *server, uint64_t incarnation,
                         const struct ds_request_id *id, struct ds_str text)
{
  enum ds_identity identity;

  (void)pthread_mutex_lock (&server->fleet_lock);
  identity = ds_fleet_recovered_request_state (server->fleet, incarnation, id,
                                               text);
  (void)pthread_mutex_unlock (&server->fleet_lock);
  return identity;
}

/* Queries the home host or, if there is no link to it, every peer.  */
static void
send_query (struct ds_server *server, const struct query_request *request)
{
  Daisystep__Peer__Envelope envelope = DAISYSTEP__PEER__ENVELOPE__INIT;
  Daisystep__Peer__IdentityQuery message
      = DAISYSTEP__PEER__IDENTITY_QUERY__INIT;
  struct query *query = g_new0 (struct query, 1);

  query->operation = ++server->last_operation_id;
  query->handle = request->handle;
  query->sent_at = server_now ();
  message.operation = query->operation;
  message.incarnation = request->incarnation;
  message.request_id.data = (uint8_t *)request->id.bytes;
  message.request_id.len = DS_REQUEST_ID_BYTES;
  message.text = (char *)request->text;
  envelope.body_case = DAISYSTEP__PEER__ENVELOPE__BODY_IDENTITY_QUERY;
  envelope.identity_query = &message;
  if (ds_peer_hub_send (server->hub, request->incarnation, &envelope) < 0)
    {
      query->is_broadcast = true;
      server_send_to_all (server, &envelope);
    }
  g_hash_table_insert (server->pending_queries, &query->operation, query);
}

static void
handle_query (void *payload, void *context)
{
  const struct query_request *request = payload;
  struct ds_server *server = request->server;
  struct ds_str text = ds_str_from_c (request->text);
  struct generation *own
      = server_find_generation (server, request->incarnation);
  enum ds_identity identity;

  (void)context;
  identity = own != NULL ? own_request_state (own, &request->id, text)
                         : recovered_request_state (
                             server, request->incarnation, &request->id, text);
  if (own != NULL || identity != DS_IDENTITY_UNKNOWN)
    post_query_result (server, request->handle, identity);
  else
    send_query (server, request);
}

/* Queries INCARNATION for the state of request ID on behalf of call HANDLE.
   TEXT is its "SESSION.NUMBER", or the time of its claim.  Safe from any
   thread.  */
void
server_query (struct ds_server *server, uint64_t handle, uint64_t incarnation,
              const struct ds_request_id *id, struct ds_str text)
{
  struct query_request *request = g_new0 (struct query_request, 1);

  request->server = server;
  request->handle = handle;
  request->incarnation = incarnation;
  request->id = *id;
  (void)snprintf (request->text, sizeof request->text, "%.*s",
                  DS_STR_ARG (text));
  if (server_post (server->mailbox, handle_query, request, g_free) < 0)
    {
      post_query_result (server, handle, DS_IDENTITY_UNKNOWN);
      g_free (request);
    }
}

/* Ends queries that have timed out with the result "unknown".  */
void
server_expire_queries (struct ds_server *server)
{
  GHashTableIter iterator;
  gpointer item;

  g_hash_table_iter_init (&iterator, server->pending_queries);
  while (g_hash_table_iter_next (&iterator, NULL, &item))
    {
      const struct query *query = item;

      if (server_now () - query->sent_at < QUERY_TIMEOUT_MS)
        continue;
      post_query_result (server, query->handle, DS_IDENTITY_UNKNOWN);
      g_hash_table_iter_remove (&iterator);
    }
}

static Daisystep__Peer__IdentityReply__State
identity_to_message (enum ds_identity identity)
{
  switch (identity)
    {
    case DS_IDENTITY_CLAIMED:
    case DS_IDENTITY_NOT_SEEN:
      return DAISYSTEP__PEER__IDENTITY_REPLY__STATE__CLAIMED;
    case DS_IDENTITY_RUNNING:
      return DAISYSTEP__PEER__IDENTITY_REPLY__STATE__RUNNING;
    case DS_IDENTITY_DONE:
      return DAISYSTEP__PEER__IDENTITY_REPLY__STATE__DONE;
    case DS_IDENTITY_MISMATCH:
    case DS_IDENTITY_UNKNOWN:
      break;
    }
  return DAISYSTEP__PEER__IDENTITY_REPLY__STATE__UNKNOWN;
}

/* Replies to a peer's query about a request of this host, or of one that this
   host has recovered.  */
void
server_on_identity_query (struct ds_server *server,
                          const struct ds_peer_info *peer,
                          const Daisystep__Peer__IdentityQuery *message)
{
  struct generation *own
      = server_find_generation (server, message->incarnation);
  struct ds_str text = ds_str_from_c (message->text);
  Daisystep__Peer__Envelope envelope = DAISYSTEP__PEER__ENVELOPE__INIT;
  Daisystep__Peer__IdentityReply reply = DAISYSTEP__PEER__IDENTITY_REPLY__INIT;
  struct ds_request_id id;

  if (message->request_id.len != DS_REQUEST_ID_BYTES)
    return;
  memcpy (id.bytes, message->request_id.data, DS_REQUEST_ID_BYTES);
  reply.operation = message->operation;
  reply.state = identity_to_message (
      own != NULL
          ? own_request_state (own, &id, text)
          : recovered_request_state (server, message->incarnation, &id, text));
  envelope.body_case = DAISYSTEP__PEER__ENVELOPE__BODY_IDENTITY_REPLY;
  envelope.identity_reply = &reply;
  (void)ds_peer_hub_send (server->hub, peer->incarnation, &envelope);
}

static enum ds_identity
identity_from_message (Daisystep__Peer__IdentityReply__State state)
{
  switch (state)
    {
    case DAISYSTEP__PEER__IDENTITY_REPLY__STATE__CLAIMED:
      return DS_IDENTITY_CLAIMED;
    case DAISYSTEP__PEER__IDENTITY_REPLY__STATE__RUNNING:
      return DS_IDENTITY_RUNNING;
    case DAISYSTEP__PEER__IDENTITY_REPLY__STATE__DONE:
      return DS_IDENTITY_DONE;
    default:
      return DS_IDENTITY_UNKNOWN;
    }
}

/* Handles a reply.  Of the peers that got a broadcast only one can have the
   records; "unknown" from the others is ignored.  */
void
server_on_identity_reply (struct ds_server *server,
                          const Daisystep__Peer__IdentityReply *message)
{
  struct query *query
      = g_hash_table_lookup (server->pending_queries, &message->operation);
  enum ds_identity identity = identity_from_message (message->state);

  if (query == NULL
      || (query->is_broadcast && identity == DS_IDENTITY_UNKNOWN))
    return;
  post_query_result (server, query->handle, identity);
  g_hash_table_remove (server->pending_queries, &message->operation);
}
