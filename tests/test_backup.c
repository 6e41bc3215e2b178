#include "daisystep/backup.h"
#include "daisystep/error.h"
#include "io/peer_codec.h"

#include <check.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#define HOST_A UINT64_C (0xa1)
#define HOST_B UINT64_C (0xb1)

static struct ds_backup_store *store;

static void
set_up (void)
{
  ck_assert_int_eq (ds_backup_new (&store, NULL), 0);
}

static void
tear_down (void)
{
  ds_backup_free (store);
}

static struct ds_request_id
request_id (uint64_t number)
{
  struct ds_request_id id = { .bytes = { 0 } };

  for (size_t i = 0; i < sizeof number; i++)
    id.bytes[i] = (uint8_t)(number * UINT64_C (0x9e3779b97f4a7c15) >> (8 * i));
  return id;
}

static struct ds_record
reserve (uint64_t sequence, uint64_t request)
{
  return (struct ds_record){
    .sequence = sequence,
    .kind = DS_RECORD_RESERVE,
    .id = request_id (request),
    .body_digest = 77,
    .budget = DS_STR ("altmuehl"),
    .workspace = DS_STR ("workspace"),
    .offering = DS_STR ("offering"),
    .tokens = 100,
    .repeatable = true,
  };
}

static struct ds_record
settle (uint64_t sequence, uint64_t request)
{
  return (struct ds_record){
    .sequence = sequence,
    .kind = DS_RECORD_SETTLE,
    .id = request_id (request),
    .budget = DS_STR_EMPTY,
    .workspace = DS_STR_EMPTY,
    .offering = DS_STR_EMPTY,
    .tokens = 60,
    .input_tokens = 20,
    .output_tokens = 40,
  };
}

static struct ds_record
removal (uint64_t sequence, uint64_t request)
{
  struct ds_record record = settle (sequence, request);

  record.kind = DS_RECORD_REMOVE;
  return record;
}

static struct ds_record
transfer (uint64_t sequence, uint64_t total)
{
  struct ds_record record = reserve (sequence, 0);

  record.kind = DS_RECORD_TRANSFER_OUT;
  record.tokens = total;
  record.peer = HOST_B;
  return record;
}

static struct ds_backup_ack
append (const struct ds_record *records, size_t count)
{
  struct ds_backup_ack ack;

  ck_assert_int_eq (
      ds_backup_append (&ack, store, HOST_A, 0, false, 0, records, count), 0);
  return ack;
}

static struct ds_backup_ack
copy (uint64_t base, const struct ds_record *records, size_t count)
{
  struct ds_backup_ack ack;

  ck_assert_int_eq (
      ds_backup_append (&ack, store, HOST_A, 0, true, base, records, count),
      0);
  return ack;
}

static bool
holds (uint64_t request)
{
  struct ds_request_id id = request_id (request);
  struct ds_backup_request found;

  return ds_backup_find_request (&found, store, &id) == 0;
}

struct sums
{
  size_t reserves;
  size_t settles;
  size_t transfers;
  uint64_t transferred;
  uint64_t sequences;
};

static int
sum_record (void *context, uint32_t shard, const struct ds_record *record)
{
  struct sums *sums = context;

  ck_assert_uint_le (shard, 1);
  sums->reserves += record->kind == DS_RECORD_RESERVE;
  sums->settles += record->kind == DS_RECORD_SETTLE;
  sums->transfers += record->kind == DS_RECORD_TRANSFER_OUT;
  if (record->kind == DS_RECORD_TRANSFER_OUT)
    sums->transferred += record->tokens;
  sums->sequences += record->sequence;
  return 0;
}

START_TEST (finds_both_records_of_a_request)
{
  struct ds_record records[] = { reserve (1, 1), settle (2, 1) };
  struct ds_request_id id = request_id (1);
  struct ds_backup_request found;

  ck_assert_uint_eq (append (records, 2).sequence, 2);
  ck_assert_int_eq (ds_backup_find_request (&found, store, &id), 0);
  ck_assert (found.incarnation == HOST_A && found.reserved && found.settled);
  ck_assert (ds_str_equal (found.reserve.budget, DS_STR ("altmuehl")));
  ck_assert_uint_eq (found.reserve.tokens, 100);
  ck_assert_uint_eq (found.reserve.body_digest, 77);
  ck_assert (found.reserve.repeatable);
  ck_assert_uint_eq (found.settle.tokens, 60);
  ck_assert_uint_eq (found.settle.output_tokens, 40);
  ck_assert_uint_eq (ds_backup_record_count (store), 2);
}
END_TEST

START_TEST (remove_record_deletes_a_request)
{
  struct ds_record records[]
      = { reserve (1, 1), settle (2, 1), removal (3, 1), reserve (4, 2) };

  ck_assert_uint_eq (append (records, 4).sequence, 4);
  ck_assert (!holds (1) && holds (2));
  ck_assert_uint_eq (ds_backup_record_count (store), 1);
}
END_TEST

/* Guards against an acknowledgement of records after a lost one.  */
START_TEST (stops_at_a_gap)
{
  struct ds_record first = reserve (1, 1);
  struct ds_record behind_gap[] = { reserve (3, 3), reserve (4, 4) };
  struct ds_record inner_gap[] = { reserve (2, 2), reserve (4, 4) };

  append (&first, 1);
  ck_assert_uint_eq (append (behind_gap, 2).sequence, 1);
  ck_assert (!holds (3) && !holds (4));
  ck_assert_uint_eq (append (inner_gap, 2).sequence, 2);
  ck_assert (holds (2) && !holds (4));
}
END_TEST

/* Guards against a repeated append that undoes a later record.  */
START_TEST (skips_repeated_records)
{
  struct ds_record records[]
      = { reserve (1, 1), removal (2, 1), reserve (3, 2), settle (4, 2) };

  append (records, 3);
  ck_assert_uint_eq (append (records, 1).sequence, 3);
  ck_assert (!holds (1));
  ck_assert_uint_eq (append (records, 4).sequence, 4);
  ck_assert (!holds (1) && holds (2));
  ck_assert_uint_eq (ds_backup_record_count (store), 2);
}
END_TEST

/* Guards against a backup that acknowledges records without the earlier
   ones.  */
START_TEST (replies_unknown_without_earlier_records)
{
  struct ds_record late = reserve (2, 2);
  bool known = true;

  ck_assert (append (&late, 1).unknown);
  ck_assert (append (NULL, 0).unknown);
  ck_assert (!holds (2));
  ds_backup_seal (store, HOST_A, &known);
  ck_assert (!known);
}
END_TEST

START_TEST (rejects_records_out_of_order)
{
  struct ds_record records[] = { reserve (2, 2), reserve (1, 1) };
  struct ds_record zero = reserve (0, 1);
  struct ds_backup_ack ack;

  ck_assert_int_eq (
      ds_backup_append (&ack, store, HOST_A, 0, true, 3, records, 2),
      DS_EINVAL);
  ck_assert_int_eq (
      ds_backup_append (&ack, store, HOST_A, 0, true, 3, &zero, 1), DS_EINVAL);
  ck_assert_int_eq (
      ds_backup_append (&ack, store, HOST_A, 0, true, 0, NULL, 0), DS_EINVAL);
  ck_assert_uint_eq (ds_backup_record_count (store), 0);
}
END_TEST

START_TEST (copy_starts_at_any_sequence)
{
  struct ds_record records[]
      = { reserve (3, 3), reserve (7, 7), reserve (10, 10), reserve (11, 11) };
  struct ds_record next = reserve (12, 12);

  ck_assert_uint_eq (copy (10, records, 4).sequence, 11);
  ck_assert (holds (3) && holds (7) && holds (10) && holds (11));
  ck_assert_uint_eq (append (&next, 1).sequence, 12);
}
END_TEST

/* Guards against an acknowledgement of records after a gap in a copy.  */
START_TEST (copy_stops_at_a_gap_above_its_base)
{
  struct ds_record records[] = { reserve (3, 3), reserve (12, 12) };

  ck_assert_uint_eq (copy (11, records, 2).sequence, 10);
  ck_assert (holds (3) && !holds (12));
}
END_TEST

/* Guards against a reservation that was settled and removed on the other
   backups and would be billed again from this one.  */
START_TEST (copy_drops_obsolete_records)
{
  struct ds_record old[] = { reserve (1, 1), reserve (2, 2), transfer (3, 5) };
  struct ds_record records[] = { reserve (2, 2), reserve (9, 9) };

  append (old, 3);
  ck_assert_uint_eq (copy (10, records, 2).sequence, 9);
  ck_assert (!holds (1) && holds (2) && holds (9));
  ck_assert_uint_eq (ds_backup_record_count (store), 2);
}
END_TEST

/* Guards against a delayed copy that removes acknowledged records.  */
START_TEST (older_copy_changes_nothing)
{
  struct ds_record records[]
      = { reserve (1, 1), reserve (2, 2), reserve (3, 3) };
  struct ds_record with_gap[] = { records[1], reserve (8, 8), reserve (9, 9) };

  append (records, 3);
  ck_assert_uint_eq (copy (2, records, 1).sequence, 3);
  ck_assert_uint_eq (copy (2, with_gap, 3).sequence, 3);
  ck_assert (holds (3) && !holds (9));
}
END_TEST

/* A host that opens sends an empty copy.  */
START_TEST (empty_copy_makes_the_shard_known)
{
  struct ds_record first = reserve (1, 1);
  bool known = false;

  ck_assert_uint_eq (copy (1, NULL, 0).sequence, 0);
  ck_assert_uint_eq (append (&first, 1).sequence, 1);
  ds_backup_seal (store, HOST_A, &known);
  ck_assert (known);
}
END_TEST

/* Guards against mixing the sequences of two shards or two hosts.  */
START_TEST (keeps_shards_and_incarnations_apart)
{
  struct ds_record records[] = { reserve (1, 1), reserve (2, 2) };
  struct ds_backup_ack ack;
  struct sums sums = { 0 };
  bool known;

  append (records, 2);
  ds_backup_append (&ack, store, HOST_A, 1, false, 0, &records[1], 1);
  ck_assert (ack.unknown);
  ds_backup_append (&ack, store, HOST_B, 0, false, 0, &records[1], 1);
  ck_assert (ack.unknown);
  ds_backup_append (&ack, store, HOST_A, 1, false, 0, records, 1);
  ck_assert_uint_eq (ack.sequence, 1);
  ds_backup_seal (store, HOST_A, &known);
  ds_backup_append (&ack, store, HOST_B, 0, false, 0, records, 1);
  ck_assert (!ack.sealed);
  ck_assert_int_eq (ds_backup_visit_records (store, HOST_A, sum_record, &sums),
                    0);
  ck_assert_uint_eq (sums.reserves, 3);
}
END_TEST

/* Guards against a dispatch by a sealed host that its recovery cannot see.  */
START_TEST (seal_rejects_appends_and_copies)
{
  struct ds_record records[] = { reserve (1, 1), reserve (2, 2) };
  bool known = false;

  append (records, 1);
  ds_backup_seal (store, HOST_A, &known);
  ck_assert (known && ds_backup_is_sealed (store, HOST_A));
  ck_assert (append (records, 2).sealed);
  ck_assert (copy (3, records, 2).sealed);
  ck_assert (!holds (2));
  ds_backup_seal (store, HOST_A, &known);
  ck_assert (known);
}
END_TEST

/* Guards against a first append that arrives after the seal request.  */
START_TEST (seal_of_an_unknown_host_rejects_its_appends)
{
  struct ds_record first = reserve (1, 1);
  bool known = true;

  ds_backup_seal (store, HOST_A, &known);
  ck_assert (!known);
  ck_assert (append (&first, 1).sealed);
  ck_assert (copy (1, NULL, 0).sealed);
  ck_assert_int_eq (ds_backup_visit_records (store, HOST_A, sum_record, NULL),
                    DS_ENOTFOUND);
}
END_TEST

/* Guards against a paused host that copies its journal again after its
   recovery, and against the reply "known" without records.  */
START_TEST (dropped_incarnation_stays_sealed)
{
  struct ds_record first = reserve (1, 1);
  bool known = true;

  append (&first, 1);
  ds_backup_drop_incarnation (store, HOST_A);
  ck_assert_uint_eq (ds_backup_record_count (store), 0);
  ck_assert (!holds (1));
  ck_assert (copy (1, NULL, 0).sealed);
  ds_backup_seal (store, HOST_A, &known);
  ck_assert (!known);
}
END_TEST

START_TEST (keeps_the_largest_total_of_a_transfer)
{
  struct ds_record records[]
      = { transfer (1, 10), transfer (2, 30), transfer (3, 20) };
  struct sums sums = { 0 };

  append (records, 3);
  ck_assert_int_eq (ds_backup_visit_records (store, HOST_A, sum_record, &sums),
                    0);
  ck_assert_uint_eq (sums.transfers, 1);
  ck_assert_uint_eq (sums.transferred, 30);
}
END_TEST

/* A reservation after a settlement as not run makes the request pending.  */
START_TEST (new_reservation_reopens_a_request)
{
  struct ds_record records[]
      = { reserve (1, 1), settle (2, 1), reserve (3, 1) };
  struct ds_request_id id = request_id (1);
  struct ds_backup_request found;

  append (records, 3);
  ck_assert_int_eq (ds_backup_find_request (&found, store, &id), 0);
  ck_assert (found.reserved && !found.settled);
  ck_assert_uint_eq (ds_backup_record_count (store), 1);
}
END_TEST

static size_t
allocated_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

/* Guards against an entry larger than a host's memory limit for control data
   allows: 250,000 retained requests in 40 MB.  */
START_TEST (a_request_takes_little_memory)
{
  enum
  {
    REQUESTS = 100000
  };
  size_t before = allocated_bytes ();
  double each;

  for (uint64_t i = 0; i < REQUESTS; i++)
    {
      struct ds_record records[]
          = { reserve (2 * i + 1, i), settle (2 * i + 2, i) };

      append (records, 2);
    }
  each = (double)(allocated_bytes () - before) / REQUESTS;
  printf ("bytes per request with both records: %.1f\n", each);
  ck_assert (each < 160);
}
END_TEST

static Daisystep__Peer__Envelope *
repack (const Daisystep__Peer__Envelope *envelope)
{
  size_t length = daisystep__peer__envelope__get_packed_size (envelope);
  uint8_t *bytes = malloc (length);
  Daisystep__Peer__Envelope *copied;

  ck_assert_ptr_nonnull (bytes);
  daisystep__peer__envelope__pack (envelope, bytes);
  copied = daisystep__peer__envelope__unpack (NULL, length, bytes);
  free (bytes);
  ck_assert_ptr_nonnull (copied);
  return copied;
}

START_TEST (append_message_keeps_every_member)
{
  struct ds_record records[]
      = { reserve (4, 1), settle (5, 1), removal (6, 2), transfer (7, 9) };
  struct ds_peer_append_header head
      = { .incarnation = HOST_A, .shard = 3, .is_copy = true, .copy_base = 5 };
  TALLOC_CTX *owner = talloc_new (NULL);
  Daisystep__Peer__Envelope *built;
  Daisystep__Peer__Envelope *parsed;
  struct ds_record *read;
  size_t count;

  records[0].keyed = true;
  records[1].estimated = true;
  ck_assert_int_eq (ds_peer_append_to_message (&built, &count, owner, &head,
                                               records, 4, SIZE_MAX),
                    0);
  ck_assert_uint_eq (count, 4);
  parsed = repack (built);
  ck_assert (parsed->journal_append->is_copy);
  ck_assert_uint_eq (parsed->journal_append->copy_base, 5);
  ck_assert_int_eq (ds_peer_append_from_message (&read, &count, owner,
                                                 parsed->journal_append, NULL),
                    0);
  ck_assert_uint_eq (count, 4);
  for (size_t i = 0; i < 4; i++)
    {
      ck_assert (read[i].sequence == records[i].sequence);
      ck_assert (read[i].kind == records[i].kind);
      ck_assert (read[i].kind == DS_RECORD_TRANSFER_OUT
                 || ds_request_id_equal (&read[i].id, &records[i].id));
      ck_assert (read[i].body_digest == records[i].body_digest);
      ck_assert (ds_str_equal (read[i].budget, records[i].budget));
      ck_assert (ds_str_equal (read[i].workspace, records[i].workspace));
      ck_assert (ds_str_equal (read[i].offering, records[i].offering));
      ck_assert (read[i].tokens == records[i].tokens);
      ck_assert (read[i].repeatable == records[i].repeatable);
      ck_assert (read[i].keyed == records[i].keyed);
      ck_assert (read[i].estimated == records[i].estimated);
      ck_assert (read[i].input_tokens == records[i].input_tokens);
      ck_assert (read[i].output_tokens == records[i].output_tokens);
      ck_assert (read[i].peer == records[i].peer);
    }
  daisystep__peer__envelope__free_unpacked (parsed, NULL);
  talloc_free (owner);
}
END_TEST

/* Guards against a frame over its size limit, and against a sender that makes
   no progress because not even one record fits.  */
START_TEST (append_message_takes_what_fits)
{
  struct ds_record records[] = { reserve (1, 1), reserve (2, 2) };
  struct ds_peer_append_header head = { .incarnation = HOST_A };
  TALLOC_CTX *owner = talloc_new (NULL);
  Daisystep__Peer__Envelope *built;
  size_t taken;

  ds_peer_append_to_message (&built, &taken, owner, &head, records, 2, 100);
  ck_assert_uint_eq (taken, 1);
  ds_peer_append_to_message (&built, &taken, owner, &head, records, 2, 1);
  ck_assert_uint_eq (taken, 1);
  talloc_free (owner);
}
END_TEST

/* Guards against accepting records that no sender of this version writes.  */
START_TEST (faulty_record_messages_are_errors)
{
  struct ds_record records[] = { reserve (1, 1), transfer (2, 9) };
  TALLOC_CTX *owner = talloc_new (NULL);
  Daisystep__Peer__JournalRecord *message;
  struct ds_record read;

#define REJECTED(record, change)                                              \
  ds_peer_record_to_message (&message, owner, &(record));                     \
  message->change;                                                            \
  ck_assert_int_eq (ds_peer_record_from_message (&read, message, NULL),       \
                    DS_EPROTOCOL)

  REJECTED (records[0], request_id.len = 15);
  REJECTED (records[0], request_id.len = 0);
  REJECTED (records[0], sequence = 0);
  REJECTED (records[0], budget = (char *)"");
  REJECTED (records[0], kind = 0);
  REJECTED (records[0], kind = 99);
  REJECTED (records[1], peer = 0);
  REJECTED (records[1], budget = (char *)"");
  REJECTED (records[1], request_id.len = 16);
#undef REJECTED
  talloc_free (owner);
}
END_TEST

START_TEST (faulty_append_messages_are_errors)
{
  struct ds_record records[] = { reserve (2, 2), reserve (2, 1) };
  struct ds_peer_append_header head
      = { .incarnation = HOST_A, .is_copy = true };
  TALLOC_CTX *owner = talloc_new (NULL);
  Daisystep__Peer__Envelope *built;
  struct ds_record *read;
  size_t count;

  ds_peer_append_to_message (&built, &count, owner, &head, records, 1, 999);
  ck_assert_int_eq (ds_peer_append_from_message (&read, &count, owner,
                                                 built->journal_append, NULL),
                    DS_EPROTOCOL);
  head.copy_base = 1;
  ds_peer_append_to_message (&built, &count, owner, &head, records, 2, 999);
  ck_assert_int_eq (ds_peer_append_from_message (&read, &count, owner,
                                                 built->journal_append, NULL),
                    DS_EPROTOCOL);
  talloc_free (owner);
}
END_TEST

START_TEST (ack_message_keeps_every_member)
{
  struct ds_backup_ack ack = {
    .incarnation = HOST_A,
    .shard = 2,
    .sequence = 9,
    .sealed = true,
    .unknown = true,
  };
  struct ds_backup_ack read;
  Daisystep__Peer__Envelope *built;

  ck_assert_int_eq (ds_peer_ack_to_message (&built, NULL, &ack), 0);
  ds_peer_ack_from_message (&read, built->journal_ack);
  ck_assert (read.incarnation == HOST_A && read.shard == 2);
  ck_assert (read.sequence == 9 && read.sealed && read.unknown);
  talloc_free (built);
}
END_TEST

struct received
{
  struct sums sums;
  size_t messages;
  bool more;
};

static int
receive_reply (void *context, const Daisystep__Peer__Envelope *message)
{
  struct received *received = context;
  Daisystep__Peer__Envelope *parsed = repack (message);

  ck_assert_uint_eq (parsed->seal_reply->operation, 5);
  ck_assert (parsed->seal_reply->known);
  received->messages++;
  received->more = parsed->seal_reply->more;
  ck_assert_int_eq (ds_peer_seal_reply_from_message (
                        parsed->seal_reply, sum_record, &received->sums, NULL),
                    0);
  daisystep__peer__envelope__free_unpacked (parsed, NULL);
  return 0;
}

/* Guards against a reply over the frame limit, and against a record that is
   lost where a reply is split.  */
START_TEST (seal_reply_is_split)
{
  struct ds_peer_seal_reply_options options
      = DS_PEER_SEAL_REPLY_OPTIONS_DEFAULT;
  struct ds_peer_seal_reply *reply;
  struct received received = { .messages = 0 };
  struct ds_backup_ack ack;

  for (uint64_t i = 1; i <= 50; i++)
    {
      struct ds_record record = reserve (i, i);

      append (&record, 1);
      ds_backup_append (&ack, store, HOST_A, 1, false, 0, &record, 1);
    }
  options.operation = 5;
  options.incarnation = HOST_A;
  options.known = true;
  options.records_bytes_max = 1000;
  options.emit = receive_reply;
  options.context = &received;
  ck_assert_int_eq (ds_peer_seal_reply_new (&reply, NULL, &options), 0);
  ck_assert_int_eq (
      ds_backup_visit_records (store, HOST_A, ds_peer_seal_reply_add, reply),
      0);
  ck_assert_int_eq (ds_peer_seal_reply_finish (reply), 0);
  ck_assert_uint_gt (received.messages, 3);
  ck_assert (!received.more);
  ck_assert_uint_eq (received.sums.reserves, 100);
  ck_assert_uint_eq (received.sums.sequences, UINT64_C (50) * 51);
  ds_peer_seal_reply_free (reply);
}
END_TEST

START_TEST (seal_reply_with_foreign_records_is_an_error)
{
  Daisystep__Peer__SealReply message = DAISYSTEP__PEER__SEAL_REPLY__INIT;
  Daisystep__Peer__JournalAppend shard = DAISYSTEP__PEER__JOURNAL_APPEND__INIT;
  Daisystep__Peer__JournalAppend *shards[] = { &shard };

  message.shards = shards;
  message.n_shards = 1;
  message.incarnation = shard.incarnation = HOST_A;
  ck_assert_int_eq (
      ds_peer_seal_reply_from_message (&message, NULL, NULL, NULL),
      DS_EPROTOCOL);
  message.known = true;
  ck_assert_int_eq (
      ds_peer_seal_reply_from_message (&message, NULL, NULL, NULL), 0);
  shard.incarnation = HOST_B;
  ck_assert_int_eq (
      ds_peer_seal_reply_from_message (&message, NULL, NULL, NULL),
      DS_EPROTOCOL);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("backup");
  TCase *test_case = tcase_create ("backup");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_add_test (test_case, finds_both_records_of_a_request);
  tcase_add_test (test_case, remove_record_deletes_a_request);
  tcase_add_test (test_case, stops_at_a_gap);
  tcase_add_test (test_case, skips_repeated_records);
  tcase_add_test (test_case, replies_unknown_without_earlier_records);
  tcase_add_test (test_case, rejects_records_out_of_order);
  tcase_add_test (test_case, copy_starts_at_any_sequence);
  tcase_add_test (test_case, copy_stops_at_a_gap_above_its_base);
  tcase_add_test (test_case, copy_drops_obsolete_records);
  tcase_add_test (test_case, older_copy_changes_nothing);
  tcase_add_test (test_case, empty_copy_makes_the_shard_known);
  tcase_add_test (test_case, keeps_shards_and_incarnations_apart);
  tcase_add_test (test_case, seal_rejects_appends_and_copies);
  tcase_add_test (test_case, seal_of_an_unknown_host_rejects_its_appends);
  tcase_add_test (test_case, dropped_incarnation_stays_sealed);
  tcase_add_test (test_case, keeps_the_largest_total_of_a_transfer);
  tcase_add_test (test_case, new_reservation_reopens_a_request);
  tcase_add_test (test_case, a_request_takes_little_memory);
  tcase_add_test (test_case, append_message_keeps_every_member);
  tcase_add_test (test_case, append_message_takes_what_fits);
  tcase_add_test (test_case, faulty_record_messages_are_errors);
  tcase_add_test (test_case, faulty_append_messages_are_errors);
  tcase_add_test (test_case, ack_message_keeps_every_member);
  tcase_add_test (test_case, seal_reply_is_split);
  tcase_add_test (test_case, seal_reply_with_foreign_records_is_an_error);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
