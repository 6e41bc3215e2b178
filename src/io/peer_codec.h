#ifndef DAISYSTEP_IO_PEER_CODEC_H
#define DAISYSTEP_IO_PEER_CODEC_H

#include "daisystep/backup.h"
#include "daisystep/error.h"
#include "proto/peer.pb-c.h"

#include <talloc.h>

/* Default limit on the bytes of records in one message; leaves space for the
   rest of the frame within its default limit of 1 MiB.  */
#define DS_PEER_RECORDS_BYTES_MAX ((size_t)960 * 1024)

/* Fields of a JournalAppend except the records; see ds_backup_append.  */
struct ds_peer_append_header
{
  uint64_t incarnation;
  uint32_t shard;
  bool is_copy;
  uint64_t copy_base;
};

/* Builds a SealReply, split into messages of limited size.  */
struct ds_peer_seal_reply;

struct ds_peer_seal_reply_options
{
  uint64_t operation;
  uint64_t incarnation;
  bool known;
  /* Limit on the bytes of records in one message.  */
  size_t records_bytes_max;
  /* Sends one complete message; a result other than 0 ends the reply.  */
  int (*emit) (void *context, const Daisystep__Peer__Envelope *message);
  void *context;
};

#define DS_PEER_SEAL_REPLY_OPTIONS_DEFAULT                                    \
  ((struct ds_peer_seal_reply_options){                                       \
      .records_bytes_max = DS_PEER_RECORDS_BYTES_MAX,                         \
  })

int ds_peer_record_to_message (Daisystep__Peer__JournalRecord **out,
                               TALLOC_CTX *owner,
                               const struct ds_record *record);
int ds_peer_record_from_message (struct ds_record *out,
                                 const Daisystep__Peer__JournalRecord *message,
                                 struct ds_error *error);

int ds_peer_append_to_message (Daisystep__Peer__Envelope **out,
                               size_t *out_included, TALLOC_CTX *owner,
                               const struct ds_peer_append_header *append,
                               const struct ds_record *records, size_t count,
                               size_t records_bytes_max);
int ds_peer_append_from_message (struct ds_record **out, size_t *out_count,
                                 TALLOC_CTX *owner,
                                 const Daisystep__Peer__JournalAppend *message,
                                 struct ds_error *error);

int ds_peer_ack_to_message (Daisystep__Peer__Envelope **out, TALLOC_CTX *owner,
                            const struct ds_backup_ack *ack);
void ds_peer_ack_from_message (struct ds_backup_ack *out,
                               const Daisystep__Peer__JournalAck *message);

int ds_peer_seal_reply_new (struct ds_peer_seal_reply **out, TALLOC_CTX *owner,
                            const struct ds_peer_seal_reply_options *options);
int ds_peer_seal_reply_add (void *reply, uint32_t shard,
                            const struct ds_record *record);
void ds_peer_seal_reply_add_end (void *reply, uint32_t shard,
                                 uint64_t sequence);
int ds_peer_seal_reply_finish (struct ds_peer_seal_reply *reply);
void ds_peer_seal_reply_free (struct ds_peer_seal_reply *reply);
int
ds_peer_seal_reply_from_message (const Daisystep__Peer__SealReply *message,
                                 int (*visit) (void *context, uint32_t shard,
                                               const struct ds_record *record),
                                 void *context, struct ds_error *error);

#endif
