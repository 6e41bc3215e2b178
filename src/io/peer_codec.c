#include "io/peer_codec.h"

#include <inttypes.h>
#include <string.h>

/* Tag and length of a record in its message: one byte and, for records below
   16 KiB, at most two.  */
#define RECORD_PREFIX_BYTES 3

struct ds_peer_seal_reply
{
  struct ds_peer_seal_reply_options options;
  /* Owner of SHARDS and its records: the next message to be emitted.  */
  TALLOC_CTX *message_owner;
  Daisystep__Peer__JournalAppend **shards;
  size_t shard_count;
  size_t bytes;
  Daisystep__Peer__ShardEnd **ends;
  size_t end_count;
};

static Daisystep__Peer__Envelope *
new_envelope (TALLOC_CTX *owner, Daisystep__Peer__Envelope__BodyCase kind)
{
  Daisystep__Peer__Envelope *envelope
      = talloc (owner, Daisystep__Peer__Envelope);

  if (envelope == NULL)
    return NULL;
  daisystep__peer__envelope__init (envelope);
  envelope->body_case = kind;
  return envelope;
}

static Daisystep__Peer__JournalRecord__Kind
kind_to_message (enum ds_record_kind kind)
{
  switch (kind)
    {
    case DS_RECORD_RESERVE:
      return DAISYSTEP__PEER__JOURNAL_RECORD__KIND__RESERVE;
    case DS_RECORD_SETTLE:
      return DAISYSTEP__PEER__JOURNAL_RECORD__KIND__SETTLE;
    case DS_RECORD_REMOVE:
      return DAISYSTEP__PEER__JOURNAL_RECORD__KIND__FORGET;
    case DS_RECORD_TRANSFER_OUT:
      return DAISYSTEP__PEER__JOURNAL_RECORD__KIND__TRANSFER_OUT;
    case DS_RECORD_TRANSFER_IN:
      return DAISYSTEP__PEER__JOURNAL_RECORD__KIND__TRANSFER_IN;
    case DS_RECORD_SESSION_FLOOR:
      return DAISYSTEP__PEER__JOURNAL_RECORD__KIND__SESSION_FLOOR;
    }
  return DAISYSTEP__PEER__JOURNAL_RECORD__KIND__UNSPECIFIED;
}

static int
kind_from_message (enum ds_record_kind *out,
                   Daisystep__Peer__JournalRecord__Kind kind)
{
  switch (kind)
    {
    case DAISYSTEP__PEER__JOURNAL_RECORD__KIND__RESERVE:
      *out = DS_RECORD_RESERVE;
      return 0;
    case DAISYSTEP__PEER__JOURNAL_RECORD__KIND__SETTLE:
      *out = DS_RECORD_SETTLE;
      return 0;
    case DAISYSTEP__PEER__JOURNAL_RECORD__KIND__FORGET:
      *out = DS_RECORD_REMOVE;
      return 0;
    case DAISYSTEP__PEER__JOURNAL_RECORD__KIND__TRANSFER_OUT:
      *out = DS_RECORD_TRANSFER_OUT;
      return 0;
    case DAISYSTEP__PEER__JOURNAL_RECORD__KIND__TRANSFER_IN:
      *out = DS_RECORD_TRANSFER_IN;
      return 0;
    case DAISYSTEP__PEER__JOURNAL_RECORD__KIND__SESSION_FLOOR:
      *out = DS_RECORD_SESSION_FLOOR;
      return 0;
    default:
      return DS_EPROTOCOL;
    }
}

static bool
refers_to_peer (enum ds_record_kind kind)
{
  return kind == DS_RECORD_TRANSFER_OUT || kind == DS_RECORD_TRANSFER_IN
         || kind == DS_RECORD_SESSION_FLOOR;
}

/* A zero-terminated copy for protobuf-c, or its shared empty string.  */
static char *
copy_text (TALLOC_CTX *owner, struct ds_str text)
{
  if (text.length == 0)
    return (char *)protobuf_c_empty_string;
  return talloc_strndup (owner, text.data, text.length);
}

/* Why MESSAGE is not a valid record of KIND, or null.  */
static const char *
record_error (const Daisystep__Peer__JournalRecord *message,
              enum ds_record_kind kind)
{
  if (message->sequence == 0)
    return "record without a sequence";
  if (!refers_to_peer (kind) && message->request_id.len != DS_REQUEST_ID_BYTES)
    return "request ID has the wrong length";
  if (refers_to_peer (kind) && message->request_id.len != 0)
    return "unexpected request ID";
  if (refers_to_peer (kind) && message->peer == 0)
    return "record without a peer incarnation";
  if (kind != DS_RECORD_SESSION_FLOOR
      && (refers_to_peer (kind) || kind == DS_RECORD_RESERVE)
      && message->budget[0] == '\0')
    return "record without a budget";
  return NULL;
}

/* Adds RECORD to APPEND.  The array is doubled when the number of records is a
   power of two.  */
static int
append_record (Daisystep__Peer__JournalAppend *append, TALLOC_CTX *owner,
               Daisystep__Peer__JournalRecord *record)
{
  size_t count = append->n_records;

  if ((count & (count - 1)) == 0)
    {
      Daisystep__Peer__JournalRecord **grown = talloc_realloc (
          owner, append->records, Daisystep__Peer__JournalRecord *,
          count > 0 ? 2 * count : 1);

      if (grown == NULL)
        return DS_ENOMEM;
      append->records = grown;
    }
  append->records[append->n_records++] = record;
  return 0;
}

static size_t
record_bytes (const Daisystep__Peer__JournalRecord *record)
{
  return daisystep__peer__journal_record__get_packed_size (record)
         + RECORD_PREFIX_BYTES;
}

static int
start_message (struct ds_peer_seal_reply *reply)
{
  TALLOC_FREE (reply->message_owner);
  reply->message_owner = talloc_new (reply);
  reply->shards = NULL;
  reply->shard_count = 0;
  reply->bytes = 0;
  return reply->message_owner != NULL ? 0 : DS_ENOMEM;
}

static int
emit_message (struct ds_peer_seal_reply *reply, bool more)
{
  Daisystep__Peer__SealReply body = DAISYSTEP__PEER__SEAL_REPLY__INIT;
  Daisystep__Peer__Envelope envelope = DAISYSTEP__PEER__ENVELOPE__INIT;

  body.operation = reply->options.operation;
  body.incarnation = reply->options.incarnation;
  body.known = reply->options.known;
  body.more = more;
  body.shards = reply->shards;
  body.n_shards = reply->shard_count;
  body.ends = more ? NULL : reply->ends;
  body.n_ends = more ? 0 : reply->end_count;
  envelope.body_case = DAISYSTEP__PEER__ENVELOPE__BODY_SEAL_REPLY;
  envelope.seal_reply = &body;
  return reply->options.emit (reply->options.context, &envelope);
}

/* The entry for SHARD in the next message, or null when out of memory.  */
static Daisystep__Peer__JournalAppend *
find_or_add_shard (struct ds_peer_seal_reply *reply, uint32_t shard)
{
  Daisystep__Peer__JournalAppend **grown;
  Daisystep__Peer__JournalAppend *append;

  if (reply->shard_count > 0
      && reply->shards[reply->shard_count - 1]->shard == shard)
    return reply->shards[reply->shard_count - 1];
  grown = talloc_realloc (reply->message_owner, reply->shards,
                          Daisystep__Peer__JournalAppend *,
                          reply->shard_count + 1);
  append = talloc (reply->message_owner, Daisystep__Peer__JournalAppend);
  if (grown == NULL || append == NULL)
    return NULL;
  daisystep__peer__journal_append__init (append);
  append->incarnation = reply->options.incarnation;
  append->shard = shard;
  reply->shards = grown;
  reply->shards[reply->shard_count++] = append;
  return append;
}

/* Converts RECORD to a message owned by OWNER.  DS_ENOMEM.  */
int
ds_peer_record_to_message (Daisystep__Peer__JournalRecord **out,
                           TALLOC_CTX *owner, const struct ds_record *record)
{
  Daisystep__Peer__JournalRecord *message
      = talloc (owner, Daisystep__Peer__JournalRecord);

  if (message == NULL)
    return DS_ENOMEM;
  daisystep__peer__journal_record__init (message);
  message->sequence = record->sequence;
  message->kind = kind_to_message (record->kind);
  if (!refers_to_peer (record->kind))
    {
      message->request_id.len = DS_REQUEST_ID_BYTES;
      message->request_id.data
          = talloc_memdup (message, record->id.bytes, DS_REQUEST_ID_BYTES);
    }
  message->body_digest = record->body_digest;
  message->budget = copy_text (message, record->budget);
  message->workspace = copy_text (message, record->workspace);
  message->offering = copy_text (message, record->offering);
  message->tokens = record->tokens;
  message->repeatable = record->repeatable;
  message->input_tokens = record->input_tokens;
  message->output_tokens = record->output_tokens;
  message->peer = record->peer;
  message->keyed = record->keyed;
  message->estimated = record->estimated;
  if ((message->request_id.len > 0 && message->request_id.data == NULL)
      || message->budget == NULL || message->workspace == NULL
      || message->offering == NULL)
    {
      talloc_free (message);
      return DS_ENOMEM;
    }
  *out = message;
  return 0;
}

/* Converts MESSAGE to OUT, whose strings point into MESSAGE.  DS_EPROTOCOL for
   an unknown kind, an ID of the wrong length or a missing field.  */
int
ds_peer_record_from_message (struct ds_record *out,
                             const Daisystep__Peer__JournalRecord *message,
                             struct ds_error *error)
{
  enum ds_record_kind kind;
  const char *fault;

  if (kind_from_message (&kind, message->kind) != 0)
    return ds_error_set (error, DS_EPROTOCOL, "read journal record", NULL,
                         "unknown record kind %d", (int)message->kind);
  fault = record_error (message, kind);
  if (fault != NULL)
    return ds_error_set (error, DS_EPROTOCOL, "read journal record", NULL,
                         "%s, sequence %" PRIu64, fault, message->sequence);
  *out = (struct ds_record){
    .sequence = message->sequence,
    .kind = kind,
    .body_digest = message->body_digest,
    .budget = ds_str_from_c (message->budget),
    .workspace = ds_str_from_c (message->workspace),
    .offering = ds_str_from_c (message->offering),
    .tokens = message->tokens,
    .repeatable = message->repeatable,
    .keyed = message->keyed,
    .estimated = message->estimated,
    .input_tokens = message->input_tokens,
    .output_tokens = message->output_tokens,
    .peer = message->peer,
  };
  if (!refers_to_peer (kind))
    memcpy (out->id.bytes, message->request_id.data, sizeof out->id.bytes);
  return 0;
}

/* Creates a JournalAppend, owned by OWNER, of the first RECORDS that fit into
   RECORDS_BYTES_MAX bytes, at least one, and stores their number in
   OUT_INCLUDED.  The caller sends the others in further appends.  A copy that
   does not fit must continue without a gap: set copy_base to the sequence of
   the first record left out, see ds_backup_append.  */
int
ds_peer_append_to_message (Daisystep__Peer__Envelope **out,
                           size_t *out_included, TALLOC_CTX *owner,
                           const struct ds_peer_append_header *append,
                           const struct ds_record *records, size_t count,
                           size_t records_bytes_max)
{
  Daisystep__Peer__Envelope *envelope
      = new_envelope (owner, DAISYSTEP__PEER__ENVELOPE__BODY_JOURNAL_APPEND);
  Daisystep__Peer__JournalAppend *body
      = talloc (envelope, Daisystep__Peer__JournalAppend);
  size_t bytes = 0;
  int result = DS_ENOMEM;

  if (envelope == NULL || body == NULL)
    goto failed;
  daisystep__peer__journal_append__init (body);
  body->incarnation = append->incarnation;
  body->shard = append->shard;
  body->is_copy = append->is_copy;
  body->copy_base = append->copy_base;
  envelope->journal_append = body;
  while (body->n_records < count)
    {
      Daisystep__Peer__JournalRecord *record;

      result = ds_peer_record_to_message (&record, body,
                                          &records[body->n_records]);
      if (result != 0)
        goto failed;
      bytes += record_bytes (record);
      if (bytes > records_bytes_max && body->n_records > 0)
        break;
      result = append_record (body, body, record);
      if (result != 0)
        goto failed;
    }
  *out = envelope;
  *out_included = body->n_records;
  return 0;

failed:
  talloc_free (envelope);
  return result;
}

/* Converts the records of MESSAGE to an array owned by OWNER; their strings
   point into MESSAGE.  DS_EPROTOCOL for an invalid record, sequences that do
   not increase, or a copy without a base.  */
int
ds_peer_append_from_message (struct ds_record **out, size_t *out_count,
                             TALLOC_CTX *owner,
                             const Daisystep__Peer__JournalAppend *message,
                             struct ds_error *error)
{
  struct ds_record *records;
  uint64_t last = 0;

  if (message->is_copy && message->copy_base == 0)
    return ds_error_set (error, DS_EPROTOCOL, "read journal append", NULL,
                         "copy without a base sequence");
  records = talloc_array (owner, struct ds_record, message->n_records);
  if (records == NULL)
    return ds_error_set (error, DS_ENOMEM, "read journal append", NULL,
                         "out of memory for %zu records", message->n_records);
  for (size_t i = 0; i < message->n_records; i++)
    {
      int result = ds_peer_record_from_message (&records[i],
                                                message->records[i], error);

      if (result == 0 && records[i].sequence <= last)
        result = ds_error_set (error, DS_EPROTOCOL, "read journal append",
                               NULL, "sequence %" PRIu64 " not above %" PRIu64,
                               records[i].sequence, last);
      if (result != 0)
        {
          talloc_free (records);
          return result;
        }
      last = records[i].sequence;
    }
  *out = records;
  *out_count = message->n_records;
  return 0;
}

/* Creates a JournalAck owned by OWNER.  */
int
ds_peer_ack_to_message (Daisystep__Peer__Envelope **out, TALLOC_CTX *owner,
                        const struct ds_backup_ack *ack)
{
  Daisystep__Peer__Envelope *envelope
      = new_envelope (owner, DAISYSTEP__PEER__ENVELOPE__BODY_JOURNAL_ACK);
  Daisystep__Peer__JournalAck *body
      = talloc (envelope, Daisystep__Peer__JournalAck);

  if (envelope == NULL || body == NULL)
    {
      talloc_free (envelope);
      return DS_ENOMEM;
    }
  daisystep__peer__journal_ack__init (body);
  body->incarnation = ack->incarnation;
  body->shard = ack->shard;
  body->sequence = ack->sequence;
  body->sealed = ack->sealed;
  body->unknown = ack->unknown;
  envelope->journal_ack = body;
  *out = envelope;
  return 0;
}

/* Converts MESSAGE to OUT.  */
void
ds_peer_ack_from_message (struct ds_backup_ack *out,
                          const Daisystep__Peer__JournalAck *message)
{
  *out = (struct ds_backup_ack){
    .incarnation = message->incarnation,
    .shard = message->shard,
    .sequence = message->sequence,
    .sealed = message->sealed,
    .unknown = message->unknown,
  };
}

/* Starts a reply.  Pass it to ds_backup_visit_records with
   ds_peer_seal_reply_add, then call ds_peer_seal_reply_finish.  DS_ENOMEM.  */
int
ds_peer_seal_reply_new (struct ds_peer_seal_reply **out, TALLOC_CTX *owner,
                        const struct ds_peer_seal_reply_options *options)
{
  struct ds_peer_seal_reply *reply
      = talloc_zero (owner, struct ds_peer_seal_reply);

  if (reply == NULL)
    return DS_ENOMEM;
  reply->options = *options;
  if (start_message (reply) != 0)
    {
      talloc_free (reply);
      return DS_ENOMEM;
    }
  *out = reply;
  return 0;
}

/* Adds RECORD of SHARD to REPLY, a struct ds_peer_seal_reply; first emits the
   current message if RECORD would take it over the limit.  */
int
ds_peer_seal_reply_add (void *reply, uint32_t shard,
                        const struct ds_record *record)
{
  struct ds_peer_seal_reply *self = reply;
  Daisystep__Peer__JournalRecord *message;
  Daisystep__Peer__JournalAppend *append;
  int result
      = ds_peer_record_to_message (&message, self->message_owner, record);

  if (result != 0)
    return result;
  if (self->bytes > 0
      && self->bytes + record_bytes (message)
             > self->options.records_bytes_max)
    {
      message = talloc_steal (self, message);
      result = emit_message (self, true);
      if (result == 0)
        result = start_message (self);
      if (result != 0)
        {
          talloc_free (message);
          return result;
        }
      message = talloc_steal (self->message_owner, message);
    }
  append = find_or_add_shard (self, shard);
  if (append == NULL)
    return DS_ENOMEM;
  self->bytes += record_bytes (message);
  return append_record (append, self->message_owner, message);
}

/* Adds to the last message that SHARD is complete up to SEQUENCE; to be passed
   to ds_backup_visit_shards.  */
void
ds_peer_seal_reply_add_end (void *reply, uint32_t shard, uint64_t sequence)
{
  struct ds_peer_seal_reply *self = reply;
  Daisystep__Peer__ShardEnd **grown = talloc_realloc (
      self, self->ends, Daisystep__Peer__ShardEnd *, self->end_count + 1);
  Daisystep__Peer__ShardEnd *end = talloc (self, Daisystep__Peer__ShardEnd);

  if (grown == NULL || end == NULL)
    return;
  daisystep__peer__shard_end__init (end);
  end->shard = shard;
  end->sequence = sequence;
  self->ends = grown;
  self->ends[self->end_count++] = end;
}

/* Emits the last message of REPLY, the only one if all records fit into it. */
int
ds_peer_seal_reply_finish (struct ds_peer_seal_reply *reply)
{
  return emit_message (reply, false);
}

/* Frees REPLY.  */
void
ds_peer_seal_reply_free (struct ds_peer_seal_reply *reply)
{
  talloc_free (reply);
}

/* Passes the records of one SealReply to VISIT.  DS_EPROTOCOL for an invalid
   record, records of another incarnation, or records in a reply without
   "known"; or the first result of VISIT other than 0.  */
int
ds_peer_seal_reply_from_message (const Daisystep__Peer__SealReply *message,
                                 int (*visit) (void *context, uint32_t shard,
                                               const struct ds_record *record),
                                 void *context, struct ds_error *error)
{
  if (!message->known && (message->n_shards > 0 || message->more))
    return ds_error_set (error, DS_EPROTOCOL, "read seal reply", NULL,
                         "records in a reply for an unknown incarnation");
  for (size_t i = 0; i < message->n_shards; i++)
    {
      const Daisystep__Peer__JournalAppend *shard = message->shards[i];

      if (shard->incarnation != message->incarnation)
        return ds_error_set (error, DS_EPROTOCOL, "read seal reply", NULL,
                             "records of another incarnation than the reply");
      for (size_t j = 0; j < shard->n_records; j++)
        {
          struct ds_record record;
          int result = ds_peer_record_from_message (&record, shard->records[j],
                                                    error);

          if (result == 0)
            result = visit (context, shard->shard, &record);
          if (result != 0)
            return result;
        }
    }
  return 0;
}
