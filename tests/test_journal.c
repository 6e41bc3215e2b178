#include "daisystep/backup.h"
#include "daisystep/error.h"
#include "daisystep/journal.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define JOURNAL_HOST 7

static struct ds_record
reserve (uint64_t number)
{
  struct ds_record record = {
    .kind = DS_RECORD_RESERVE,
    .budget = DS_STR ("budget"),
    .workspace = DS_STR ("workspace"),
    .offering = DS_STR ("offering"),
    .tokens = number,
  };

  memcpy (record.id.bytes, &number, sizeof number);
  return record;
}

static uint64_t
append (struct ds_journal *journal, struct ds_record record)
{
  uint64_t sequence;

  ck_assert_int_eq (ds_journal_append (journal, &sequence, &record), 0);
  return sequence;
}

static void
append_removal (struct ds_journal *journal, uint64_t number)
{
  struct ds_record record = reserve (number);

  record.kind = DS_RECORD_REMOVE;
  append (journal, record);
}

/* Sends everything that is due to STORES, whose incarnations count from one,
   until nothing is.  LOSSY_BACKUP is the one whose replies are lost, or zero.
 */
static void
exchange (struct ds_journal *journal, struct ds_backup_store **stores,
          uint64_t lossy_backup, uint64_t *now)
{
  struct ds_journal_batch batches[2 * DS_BACKUPS_MAX];
  size_t count;
  int rounds = 0;

  do
    {
      TALLOC_CTX *memory = talloc_new (NULL);

      *now += 400;
      count = ds_journal_collect_batches (journal, memory, *now, batches);
      for (size_t i = 0; i < count; i++)
        {
          const struct ds_journal_batch *batch = &batches[i];
          struct ds_backup_ack ack;

          ck_assert_int_eq (ds_backup_append (&ack, stores[batch->backup - 1],
                                              JOURNAL_HOST, 0, batch->is_copy,
                                              batch->base, batch->records,
                                              batch->count),
                            0);
          if (batch->backup == lossy_backup)
            continue;
          if (ack.unknown)
            ds_journal_reset_backup (journal, batch->backup);
          else
            ds_journal_ack (journal, batch->backup, ack.sequence, *now);
        }
      talloc_free (memory);
    }
  while (count > 0 && ++rounds < 50);
}

static struct ds_journal *
journal_with_backups (struct ds_backup_store **stores, size_t count,
                      uint64_t *now)
{
  static const uint64_t backups[] = { 1, 2, 3 };
  struct ds_journal *journal;

  ck_assert_int_eq (ds_journal_new (&journal, NULL), 0);
  for (size_t i = 0; i < 3; i++)
    ck_assert_int_eq (ds_backup_new (&stores[i], NULL), 0);
  ds_journal_propose_backups (journal, backups, count);
  ck_assert (!ds_journal_is_proposal_synced (journal));
  exchange (journal, stores, 0, now);
  ck_assert (ds_journal_is_proposal_synced (journal));
  ds_journal_adopt_backups (journal);
  return journal;
}

static void
free_journal_and_stores (struct ds_journal *journal,
                         struct ds_backup_store **stores)
{
  ds_journal_free (journal);
  for (size_t i = 0; i < 3; i++)
    ds_backup_free (stores[i]);
}

/* Guards against an append that a recovery could miss.  */
START_TEST (append_and_seal_quorums_intersect)
{
  for (size_t n = 1; n <= DS_BACKUPS_MAX; n++)
    ck_assert_uint_gt (
        ds_journal_append_quorum (n) + ds_journal_seal_quorum (n), n);
  ck_assert_uint_eq (ds_journal_append_quorum (0), 0);
}
END_TEST

/* Guards against a dispatch that one backup of three has acknowledged.  */
START_TEST (commits_only_what_a_quorum_has)
{
  struct ds_backup_store *stores[3];
  uint64_t now = 1000;
  struct ds_journal *journal = journal_with_backups (stores, 3, &now);
  uint64_t sequence = append (journal, reserve (1));

  ck_assert_uint_lt (ds_journal_committed_sequence (journal), sequence);
  ds_journal_ack (journal, 1, sequence, now);
  ck_assert_uint_lt (ds_journal_committed_sequence (journal), sequence);
  ds_journal_ack (journal, 2, sequence, now);
  ck_assert_uint_eq (ds_journal_committed_sequence (journal), sequence);
  free_journal_and_stores (journal, stores);
}
END_TEST

/* Guards against counting a quorum of the old set alone while the set of
   backups changes: a recovery may read either.  */
START_TEST (a_change_of_backups_needs_both_quorums)
{
  static const uint64_t next[] = { 3 };
  struct ds_backup_store *stores[3];
  uint64_t now = 1000;
  struct ds_journal *journal = journal_with_backups (stores, 2, &now);
  uint64_t sequence;

  ds_journal_propose_backups (journal, next, 1);
  sequence = append (journal, reserve (1));
  ds_journal_ack (journal, 1, sequence, now);
  ds_journal_ack (journal, 2, sequence, now);
  ck_assert_uint_lt (ds_journal_committed_sequence (journal), sequence);
  exchange (journal, stores, 0, &now);
  ck_assert_uint_eq (ds_journal_committed_sequence (journal), sequence);
  ck_assert (ds_journal_is_proposal_synced (journal));
  free_journal_and_stores (journal, stores);
}
END_TEST

/* Guards against a copy too long for a frame, and against gaps that removed
   records leave in it.  */
START_TEST (copies_a_long_journal_in_parts)
{
  static const uint64_t next[] = { 1, 3 };
  struct ds_backup_store *stores[3];
  uint64_t now = 1000;
  struct ds_journal *journal = journal_with_backups (stores, 1, &now);

  for (uint64_t i = 1; i <= 10000; i++)
    {
      append (journal, reserve (i));
      if (i % 3 == 0)
        append_removal (journal, i - 1);
      if (i % 1000 == 0)
        exchange (journal, stores, 0, &now);
    }
  ds_journal_propose_backups (journal, next, 2);
  exchange (journal, stores, 0, &now);
  ck_assert (ds_journal_is_proposal_synced (journal));
  ck_assert_uint_eq (ds_backup_record_count (stores[2]), 10000 - 10000 / 3);
  ck_assert_uint_eq (ds_backup_record_count (stores[2]),
                     ds_backup_record_count (stores[0]));
  free_journal_and_stores (journal, stores);
}
END_TEST

/* Guards against a backup that lagged when records were removed and still
   holds them.  */
START_TEST (a_backup_that_fell_behind_gets_a_copy)
{
  struct ds_backup_store *stores[3];
  uint64_t now = 1000;
  struct ds_journal *journal = journal_with_backups (stores, 3, &now);

  append (journal, reserve (1));
  exchange (journal, stores, 0, &now);
  ds_journal_set_link (journal, 3, false);
  append_removal (journal, 1);
  for (uint64_t i = 2; i < 2000; i++)
    {
      append (journal, reserve (i));
      append_removal (journal, i);
    }
  exchange (journal, stores, 0, &now);
  ck_assert_uint_eq (ds_backup_record_count (stores[2]), 1);
  ck_assert_uint_lt (ds_journal_record_count (journal), 1000);
  ds_journal_set_link (journal, 3, true);
  exchange (journal, stores, 0, &now);
  ck_assert_uint_eq (ds_backup_record_count (stores[2]), 0);
  free_journal_and_stores (journal, stores);
}
END_TEST

/* Guards against records that stay uncommitted after a lost reply.  */
START_TEST (resends_unacknowledged_records)
{
  struct ds_backup_store *stores[3];
  uint64_t now = 1000;
  struct ds_journal *journal = journal_with_backups (stores, 1, &now);
  uint64_t sequence = append (journal, reserve (1));

  exchange (journal, stores, 1, &now);
  ck_assert_uint_lt (ds_journal_committed_sequence (journal), sequence);
  exchange (journal, stores, 0, &now);
  ck_assert_uint_eq (ds_journal_committed_sequence (journal), sequence);
  free_journal_and_stores (journal, stores);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("journal");
  TCase *test_case = tcase_create ("journal");
  SRunner *runner;
  int failed;

  tcase_add_test (test_case, append_and_seal_quorums_intersect);
  tcase_add_test (test_case, commits_only_what_a_quorum_has);
  tcase_add_test (test_case, a_change_of_backups_needs_both_quorums);
  tcase_add_test (test_case, copies_a_long_journal_in_parts);
  tcase_add_test (test_case, a_backup_that_fell_behind_gets_a_copy);
  tcase_add_test (test_case, resends_unacknowledged_records);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
