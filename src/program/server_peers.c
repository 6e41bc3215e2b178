#include "io/peer_codec.h"
#include "program/call.h"
#include "program/server_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* All records of a sealed host may be queued for one link at once.  */
#define LINK_QUEUE_BYTES_MAX ((size_t)64 << 20)
/* Connections in all states.  Each host links to every other one, so the
   design target of 390 hosts needs 389; with the default of 64 a larger fleet
   would open and close links continually.  */
#define LINKS_MAX 1024

/* A seal reply whose parts, which arrive in order, are not complete.  */
struct partial_seal_reply
{
  uint64_t backup;
  uint64_t incarnation;
  uint64_t operation;
  TALLOC_CTX *memory;
  struct ds_sealed_shard *shards;
  size_t shard_count;
};

static void
send_or_drop (struct ds_server *server, uint64_t incarnation,
              const Daisystep__Peer__Envelope *envelope)
{
  /* A message to a peer without a link is dropped; each sender repeats what it
     still needs.  */
  (void)ds_peer_hub_send (server->hub, incarnation, envelope);
}

struct envelope_sender
{
  struct ds_server *server;
  const Daisystep__Peer__Envelope *envelope;
};

/* Sends the envelope of CONTEXT, a struct envelope_sender, to PEER.  */
static void
send_to_peer (const struct ds_peer_info *peer, void *context)
{
  const struct envelope_sender *sender = context;

  send_or_drop (sender->server, peer->incarnation, sender->envelope);
}

/* Sends ENVELOPE to every peer with a link.  */
void
server_send_to_all (struct ds_server *server,
                    const Daisystep__Peer__Envelope *envelope)
{
  struct envelope_sender sender = { .server = server, .envelope = envelope };

  ds_peer_hub_visit_peers (server->hub, send_to_peer, &sender);
}

/* Returns the generation of this process that has INCARNATION, or null.  */
struct generation *
server_find_generation (struct ds_server *server, uint64_t incarnation)
{
  for (uint32_t i = 0; i < server->generation_count; i++)
    if (server->generations[i]->incarnation == incarnation)
      return server->generations[i];
  return NULL;
}

/* Sends journal records to a backup, in as many messages as needed.  The first
   part of a copy always fits into one.  */
void
server_send_journal (struct generation *generation, uint32_t shard,
                     const struct ds_journal_batch *batch)
{
  struct ds_server *server = generation->server;
  struct ds_peer_append_header append = {
    .incarnation = generation->incarnation,
    .shard = shard,
    .is_copy = batch->is_copy,
    .copy_base = batch->base,
  };
  size_t done = 0;

  ds_metric_add (DS_METRIC_JOURNAL_RECORDS, (int64_t)batch->count);
  do
    {
      TALLOC_CTX *memory = talloc_new (NULL);
      Daisystep__Peer__Envelope *envelope;
      size_t taken = 0;

      if (ds_peer_append_to_message (
              &envelope, &taken, memory, &append, batch->records + done,
              batch->count - done, DS_PEER_RECORDS_BYTES_MAX)
          == 0)
        send_or_drop (server, batch->backup, envelope);
      talloc_free (memory);
      if (taken == 0)
        break;
      done += taken;
    }
  while (done < batch->count);
}

/* Sends a token request or a token transfer to another host.  */
void
server_send_tokens (struct generation *generation,
                    const struct ds_action *action)
{
  Daisystep__Peer__Envelope envelope = DAISYSTEP__PEER__ENVELOPE__INIT;
  Daisystep__Peer__TokenAsk ask = DAISYSTEP__PEER__TOKEN_ASK__INIT;
  Daisystep__Peer__TokenGive give = DAISYSTEP__PEER__TOKEN_GIVE__INIT;

  if (action->kind == DS_ACTION_TOKEN_ASK)
    {
      ask.budget = (char *)action->token_ask.budget.data;
      ask.amount = action->token_ask.amount;
      ask.asker = generation->incarnation;
      envelope.body_case = DAISYSTEP__PEER__ENVELOPE__BODY_TOKEN_ASK;
      envelope.token_ask = &ask;
      if (action->token_ask.holder == DS_HOLDER_ALL_PEERS)
        server_send_to_all (generation->server, &envelope);
      else
        send_or_drop (generation->server, action->token_ask.holder, &envelope);
      return;
    }
  give.budget = (char *)action->token_give.budget.data;
  give.total = action->token_give.total;
  give.giver = generation->incarnation;
  give.receiver = action->token_give.receiver;
  envelope.body_case = DAISYSTEP__PEER__ENVELOPE__BODY_TOKEN_GIVE;
  envelope.token_give = &give;
  send_or_drop (generation->server, action->token_give.receiver, &envelope);
}

/* Seals.  */

static void
drop_partial (struct ds_server *server, struct partial_seal_reply *partial)
{
  g_ptr_array_remove_fast (server->partial_seal_replies, partial);
  talloc_free (partial->memory);
  g_free (partial);
}

/* Returns the partial reply of BACKUP, a new one if needed.  The seal request
   may have been repeated: parts of a reply to an earlier one are dropped.  */
static struct partial_seal_reply *
find_or_add_partial (struct ds_server *server, uint64_t backup,
                     uint64_t incarnation, uint64_t operation)
{
  struct partial_seal_reply *partial;

  for (guint i = 0; i < server->partial_seal_replies->len; i++)
    {
      partial = g_ptr_array_index (server->partial_seal_replies, i);
      if (partial->backup != backup || partial->incarnation != incarnation)
        continue;
      if (partial->operation == operation)
        return partial;
      drop_partial (server, partial);
      break;
    }
  partial = g_new0 (struct partial_seal_reply, 1);
  partial->backup = backup;
  partial->incarnation = incarnation;
  partial->operation = operation;
  partial->memory = talloc_new (NULL);
  g_ptr_array_add (server->partial_seal_replies, partial);
  return partial;
}

static struct ds_sealed_shard *
partial_shard (struct partial_seal_reply *partial, uint32_t number)
{
  for (size_t i = 0; i < partial->shard_count; i++)
    if (partial->shards[i].shard == number)
      return &partial->shards[i];
  partial->shards
      = talloc_realloc (partial->memory, partial->shards,
                        struct ds_sealed_shard, partial->shard_count + 1);
  if (partial->shards == NULL)
    g_error ("out of memory for a recovery");
  partial->shards[partial->shard_count]
      = (struct ds_sealed_shard){ .shard = number };
  return &partial->shards[partial->shard_count++];
}

static int
add_sealed_record (void *context, uint32_t number,
                   const struct ds_record *record)
{
  struct partial_seal_reply *partial = context;
  struct ds_sealed_shard *shard = partial_shard (partial, number);
  struct ds_record *records = (struct ds_record *)shard->records;
  struct ds_record *slot;

  records = talloc_realloc (partial->memory, records, struct ds_record,
                            shard->count + 1);
  if (records == NULL)
    return DS_ENOMEM;
  shard->records = records;
  slot = &records[shard->count++];
  *slot = *record;
  slot->budget = ds_str_copy (partial->memory, record->budget);
  slot->workspace = ds_str_copy (partial->memory, record->workspace);
  slot->offering = ds_str_copy (partial->memory, record->offering);
  return 0;
}

static void
add_sealed_end (void *context, uint32_t number, uint64_t sequence)
{
  partial_shard (context, number)->sequence = sequence;
}

static void
finish_reply (struct ds_server *server, struct partial_seal_reply *partial,
              bool known)
{
  struct ds_fleet_event event = {
    .kind = DS_FLEET_SEAL_REPLY,
    .seal_reply = { .backup = partial->backup,
                    .incarnation = partial->incarnation,
                    .known = known,
                    .shards = partial->shards,
                    .shard_count = partial->shard_count },
  };

  server_fleet_handle_event (server, &event);
  drop_partial (server, partial);
}

/* Seals INCARNATION in this host's own backup store.  */
static void
seal_local_records (struct ds_server *server, uint64_t incarnation)
{
  struct partial_seal_reply *partial
      = find_or_add_partial (server, server->generation->incarnation,
                             incarnation, ++server->last_operation_id);
  bool known;

  ds_backup_seal (server->backups, incarnation, &known);
  if (known)
    {
      (void)ds_backup_visit_shards (server->backups, incarnation,
                                    add_sealed_end, partial);
      (void)ds_backup_visit_records (server->backups, incarnation,
                                     add_sealed_record, partial);
    }
  finish_reply (server, partial, known);
}

/* Requests BACKUP, which may be this host, to seal INCARNATION.  */
void
server_send_seal (struct ds_server *server, uint64_t backup,
                  uint64_t incarnation)
{
  Daisystep__Peer__Envelope envelope = DAISYSTEP__PEER__ENVELOPE__INIT;
  Daisystep__Peer__Seal seal = DAISYSTEP__PEER__SEAL__INIT;

  if (backup == server->generation->incarnation)
    {
      seal_local_records (server, incarnation);
      return;
    }
  seal.operation = ++server->last_operation_id;
  seal.incarnation = incarnation;
  envelope.body_case = DAISYSTEP__PEER__ENVELOPE__BODY_SEAL;
  envelope.seal = &seal;
  send_or_drop (server, backup, &envelope);
}

struct seal_sender
{
  struct ds_server *server;
  uint64_t to;
};

static int
send_seal_reply (void *context, const Daisystep__Peer__Envelope *message)
{
  const struct seal_sender *sender = context;

  return ds_peer_hub_send (sender->server->hub, sender->to, message);
}

static void
on_seal (struct ds_server *server, const struct ds_peer_info *peer,
         const Daisystep__Peer__Seal *message)
{
  struct seal_sender sender = { .server = server, .to = peer->incarnation };
  struct ds_peer_seal_reply_options options
      = DS_PEER_SEAL_REPLY_OPTIONS_DEFAULT;
  struct ds_peer_seal_reply *reply;

  options.operation = message->operation;
  options.incarnation = message->incarnation;
  options.emit = send_seal_reply;
  options.context = &sender;
  ds_backup_seal (server->backups, message->incarnation, &options.known);
  if (ds_peer_seal_reply_new (&reply, NULL, &options) < 0)
    return;
  if (options.known)
    {
      (void)ds_backup_visit_shards (server->backups, message->incarnation,
                                    ds_peer_seal_reply_add_end, reply);
      (void)ds_backup_visit_records (server->backups, message->incarnation,
                                     ds_peer_seal_reply_add, reply);
    }
  (void)ds_peer_seal_reply_finish (reply);
  ds_peer_seal_reply_free (reply);
}

static void
on_seal_reply (struct ds_server *server, const struct ds_peer_info *peer,
               const Daisystep__Peer__SealReply *message)
{
  struct partial_seal_reply *partial = find_or_add_partial (
      server, peer->incarnation, message->incarnation, message->operation);
  struct ds_error error = DS_ERROR_NONE;

  if (ds_peer_seal_reply_from_message (message, add_sealed_record, partial,
                                       &error)
      < 0)
    {
      ds_log_error (&error, NULL);
      drop_partial (server, partial);
      return;
    }
  for (size_t i = 0; i < message->n_ends; i++)
    add_sealed_end (partial, message->ends[i]->shard,
                    message->ends[i]->sequence);
  if (!message->more)
    finish_reply (server, partial, message->known);
}

/* Journals.  */

static void
on_journal_append (struct ds_server *server, const struct ds_peer_info *peer,
                   const Daisystep__Peer__JournalAppend *message)
{
  TALLOC_CTX *memory = talloc_new (NULL);
  struct ds_error error = DS_ERROR_NONE;
  struct ds_backup_ack ack;
  struct ds_record *records;
  size_t count;
  Daisystep__Peer__Envelope *reply;
  size_t before = ds_backup_record_count (server->backups);

  /* A host may append to its own journal only.  */
  if (message->incarnation != peer->incarnation)
    {
      talloc_free (memory);
      return;
    }
  if (ds_peer_append_from_message (&records, &count, memory, message, &error)
      < 0)
    ds_log_error (&error, NULL);
  else if (ds_backup_append (&ack, server->backups, message->incarnation,
                             message->shard, message->is_copy,
                             message->copy_base, records, count)
           < 0)
    {
      (void)ds_error_set (&error, DS_EPROTOCOL, "store journal records",
                          peer->host.data,
                          "records out of order or of unknown kind");
      ds_log_error (&error, NULL);
    }
  else if (ds_peer_ack_to_message (&reply, memory, &ack) == 0)
    send_or_drop (server, peer->incarnation, reply);
  ds_metric_add (DS_METRIC_BACKUP_RECORDS,
                 (int64_t)ds_backup_record_count (server->backups)
                     - (int64_t)before);
  talloc_free (memory);
}

static void
on_journal_ack (struct ds_server *server, const struct ds_peer_info *peer,
                const Daisystep__Peer__JournalAck *message)
{
  struct generation *generation
      = server_find_generation (server, message->incarnation);
  struct ds_event event = {
    .kind = DS_EVENT_JOURNAL_ACK,
    .journal_ack
    = { .backup = peer->incarnation, .sequence = message->sequence },
  };

  if (generation == NULL || message->shard >= generation->shard_count)
    return;
  if (message->sealed)
    event.kind = DS_EVENT_SEALED;
  else if (message->unknown)
    {
      event.kind = DS_EVENT_JOURNAL_RESET;
      event.journal_reset.backup = peer->incarnation;
    }
  server_shard_handle_event (generation, message->shard, &event);
}

/* Tokens.  */

static void
send_token_event (struct ds_server *server, const struct ds_event *event,
                  struct ds_str budget)
{
  struct generation *generation = server->generation;

  server_shard_handle_event (
      generation,
      server_shard_of_page (generation,
                            server_page_of_budget (server, budget)),
      event);
}

static void
on_token_ask (struct ds_server *server,
              const Daisystep__Peer__TokenAsk *message)
{
  struct ds_event event = {
    .kind = DS_EVENT_TOKEN_ASK,
    .token_ask = { .budget = ds_str_from_c (message->budget),
                   .amount = message->amount,
                   .asker = message->asker },
  };

  send_token_event (server, &event, event.token_ask.budget);
}

static void
on_token_give (struct ds_server *server,
               const Daisystep__Peer__TokenGive *message)
{
  struct ds_event event = {
    .kind = DS_EVENT_TOKEN_GIVE,
    .token_give = { .budget = ds_str_from_c (message->budget),
                    .giver = message->giver,
                    .receiver = message->receiver,
                    .total = message->total },
  };

  send_token_event (server, &event, event.token_give.budget);
}

/* Crash reports.  */

static void
on_crash_note (struct ds_server *server,
               const Daisystep__Peer__CrashNote *message)
{
  struct ds_crash_report report = {
    .upstream = message->upstream,
    .poisonous = message->poisonous,
    .digests = message->digests,
    .digest_count = message->n_digests,
  };

  (void)pthread_mutex_lock (&server->router_lock);
  (void)ds_router_add_crash_report (server->router, &report, server_now ());
  (void)pthread_mutex_unlock (&server->router_lock);
}

/* Sends every peer the crashes that this host has seen since the last
   call.  */
void
server_send_crash_reports (struct ds_server *server)
{
  TALLOC_CTX *memory = talloc_new (NULL);
  struct ds_crash_report *reports = NULL;
  size_t count = 0;

  (void)pthread_mutex_lock (&server->router_lock);
  (void)ds_router_take_crash_reports (server->router, &reports, &count,
                                      memory);
  (void)pthread_mutex_unlock (&server->router_lock);
  for (size_t i = 0; i < count; i++)
    {
      Daisystep__Peer__Envelope envelope = DAISYSTEP__PEER__ENVELOPE__INIT;
      Daisystep__Peer__CrashNote message = DAISYSTEP__PEER__CRASH_NOTE__INIT;
      message.upstream = reports[i].upstream;
      message.poisonous = reports[i].poisonous;
      message.digests = (uint64_t *)reports[i].digests;
      message.n_digests = reports[i].digest_count;
      envelope.body_case = DAISYSTEP__PEER__ENVELOPE__BODY_CRASH_NOTE;
      envelope.crash_note = &message;
      server_send_to_all (server, &envelope);
    }
  talloc_free (memory);
}

/* Links.  */

static void
send_link_event (struct ds_server *server, uint64_t backup, bool is_up)
{
  struct ds_event event = {
    .kind = DS_EVENT_BACKUP_LINK,
    .backup_link = { .backup = backup, .is_up = is_up },
  };

  server_all_shards_handle_event (server->generation, &event);
}

static void
on_link_up (struct ds_peer_hub *hub, const struct ds_peer_info *peer,
            void *context)
{
  struct ds_server *server = context;
  struct ds_fleet_event event = {
    .kind = DS_FLEET_PEER_UP,
    .peer_up = { .incarnation = peer->incarnation,
                 .host = peer->host,
                 .zone = peer->zone,
                 .peer_address = DS_STR_EMPTY },
  };

  (void)hub;
  send_link_event (server, peer->incarnation, true);
  server_fleet_handle_event (server, &event);
}

static void
on_link_down (struct ds_peer_hub *hub, const struct ds_peer_info *peer,
              const char *reason, void *context)
{
  struct ds_server *server = context;
  struct ds_fleet_event event = {
    .kind = DS_FLEET_PEER_DOWN,
    .peer_down = { .incarnation = peer->incarnation },
  };

  (void)hub;
  (void)reason;
  for (guint i = server->partial_seal_replies->len; i-- > 0;)
    {
      struct partial_seal_reply *partial
          = g_ptr_array_index (server->partial_seal_replies, i);

      if (partial->backup == peer->incarnation)
        drop_partial (server, partial);
    }
  send_link_event (server, peer->incarnation, false);
  server_fleet_handle_event (server, &event);
}

static void
on_message (struct ds_peer_hub *hub, const struct ds_peer_info *peer,
            const Daisystep__Peer__Envelope *envelope, void *context)
{
  struct ds_server *server = context;

  (void)hub;
  switch (envelope->body_case)
    {
    case DAISYSTEP__PEER__ENVELOPE__BODY_JOURNAL_APPEND:
      on_journal_append (server, peer, envelope->journal_append);
      break;
    case DAISYSTEP__PEER__ENVELOPE__BODY_JOURNAL_ACK:
      on_journal_ack (server, peer, envelope->journal_ack);
      break;
    case DAISYSTEP__PEER__ENVELOPE__BODY_SEAL:
      on_seal (server, peer, envelope->seal);
      break;
    case DAISYSTEP__PEER__ENVELOPE__BODY_SEAL_REPLY:
      on_seal_reply (server, peer, envelope->seal_reply);
      break;
    case DAISYSTEP__PEER__ENVELOPE__BODY_IDENTITY_QUERY:
      server_on_identity_query (server, peer, envelope->identity_query);
      break;
    case DAISYSTEP__PEER__ENVELOPE__BODY_IDENTITY_REPLY:
      server_on_identity_reply (server, envelope->identity_reply);
      break;
    case DAISYSTEP__PEER__ENVELOPE__BODY_TOKEN_ASK:
      on_token_ask (server, envelope->token_ask);
      break;
    case DAISYSTEP__PEER__ENVELOPE__BODY_TOKEN_GIVE:
      on_token_give (server, envelope->token_give);
      break;
    case DAISYSTEP__PEER__ENVELOPE__BODY_CRASH_NOTE:
      on_crash_note (server, envelope->crash_note);
      break;
    default:
      /* The link handles Hello, Goodbye and Heartbeat.  */
      break;
    }
}

/* Starts the peer links of the current incarnation.  */
int
server_peers_start (struct ds_server *server, struct ds_error *error)
{
  const struct ds_settings *settings = server->settings;
  struct ds_peer_hub_options options = DS_PEER_HUB_OPTIONS_DEFAULT;

  options.host = settings->host;
  options.zone = settings->zone;
  options.caller_address = settings->caller_address;
  options.incarnation = server->generation->incarnation;
  options.peer_key
      = settings->peer_key.length > 0 ? settings->peer_key : DS_STR ("none");
  options.listen_address = settings->peer_address;
  options.random_seed = server->generation->incarnation;
  options.heartbeat_ms = settings->heartbeat_ms;
  options.receive_timeout_ms = settings->suspect_ms;
  options.frame_bytes_max = settings->limits.frame_bytes;
  options.queue_bytes_max = LINK_QUEUE_BYTES_MAX;
  options.links_max = LINKS_MAX;
  options.on_link_up = on_link_up;
  options.on_link_down = on_link_down;
  options.on_message = on_message;
  options.context = server;
  return ds_peer_hub_new (&server->hub, server->memory, server->events,
                          &options, error);
}

/* Closes all peer links.  */
void
server_peers_stop (struct ds_server *server)
{
  while (server->partial_seal_replies->len > 0)
    drop_partial (server, g_ptr_array_index (server->partial_seal_replies, 0));
  ds_peer_hub_free (server->hub);
  server->hub = NULL;
}
