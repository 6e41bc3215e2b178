#include "core/crash_record.h"

#include "daisystep/error.h"

#include <check.h>
#include <stdlib.h>

#define HOST 7
#define OTHER_HOST 8
#define WALL_MS 1764911000000
#define MINUTE_MS ((int64_t)60000)

static TALLOC_CTX *owner;
static struct ds_crash_record record;

static void
set_up (void)
{
  owner = talloc_new (NULL);
  record.count = 0;
}

static void
tear_down (void)
{
  talloc_free (owner);
}

static struct ds_crash_suspects *
new_table (uint32_t host)
{
  struct ds_crash_suspects *table;

  ck_assert_int_eq (ds_crash_suspects_new (&table, owner, host), 0);
  return table;
}

static struct ds_suspect_key
part (uint64_t id)
{
  return (struct ds_suspect_key){ .kind = DS_SUSPECT_PART, .hash = id };
}

/* Has KEY crash COUNT replicas in TABLE, a second apart, the last at
   LAST_MS.  */
static void
crash (struct ds_crash_suspects *table, struct ds_suspect_key key,
       uint64_t count, uint64_t last_ms)
{
  for (uint64_t i = 1; i <= count; i++)
    (void)ds_crash_suspects_record (table, key, key.hash * 100 + i,
                                    last_ms - 1000 * (count - i),
                                    last_ms - 1000 * (count - i));
}

static void
list (struct ds_crash_suspects *table, uint64_t now_ms)
{
  record.count = ds_crash_suspects_list_causes (table, record.reports,
                                                DS_CRASH_RECORD_MAX, now_ms);
}

/* Returns a table of HOST with what TABLE records at NOW_MS, read after
   PASSED_MS on a machine whose clock shows STARTED_MS.  */
static struct ds_crash_suspects *
restart (struct ds_crash_suspects *table, uint32_t host, uint64_t now_ms,
         int64_t passed_ms, uint64_t started_ms)
{
  struct ds_crash_suspects *restarted = new_table (host);
  json_t *json;

  list (table, now_ms);
  json = ds_crash_record_encode (&record, WALL_MS);
  ds_crash_record_decode (&record, json,
                          (uint64_t)((int64_t)WALL_MS + passed_ms));
  json_decref (json);
  for (size_t i = 0; i < record.count; i++)
    (void)ds_crash_suspects_restore (restarted, &record.reports[i],
                                     started_ms);
  return restarted;
}

/* Guards against a host that starts the evidence anew: with five crashes a
   part is blocked for two minutes at least, with three for ten seconds.  The
   clock of the host that starts has just begun.  */
START_TEST (a_block_goes_on_after_a_restart)
{
  static const struct
  {
    uint64_t crashes;
    uint64_t blocked_ms;
  } rows[] = { { 3, 9000 }, { 4, 29000 }, { 5, 119000 }, { 6, 119000 } };
  struct ds_crash_suspects *table = new_table (HOST);
  struct ds_suspect_key key = part (40 + (uint64_t)_i);
  struct ds_crash_suspects *restarted;

  crash (table, key, rows[_i].crashes, 100000);
  restarted = restart (table, HOST, 100000, 500, 20);
  ck_assert_uint_eq (ds_crash_suspects_crashes (restarted, key),
                     rows[_i].crashes);
  ck_assert_uint_gt (
      ds_crash_suspects_wait_ms (restarted, &key, 1, 20 + rows[_i].blocked_ms),
      0);
  ck_assert_uint_eq (ds_crash_suspects_wait_ms (restarted, &key, 1, 500000),
                     0);
}
END_TEST

/* Guards against a record that blocks a part for good, or not at all, because
   the clocks of hosts differ or step by seconds.  */
START_TEST (clocks_that_differ_matter_little)
{
  struct ds_crash_suspects *table = new_table (HOST);
  struct ds_suspect_key key = part (5);
  struct ds_crash_suspects *restarted;

  crash (table, key, 5, 100000);
  restarted = restart (table, HOST, 100000, -30000, 20);
  ck_assert_uint_eq (ds_crash_suspects_crashes (restarted, key), 5);
  ck_assert_uint_gt (ds_crash_suspects_wait_ms (restarted, &key, 1, 30), 0);
  ck_assert_uint_eq (ds_crash_suspects_wait_ms (restarted, &key, 1, 300000),
                     0);
  restarted = restart (table, HOST, 100000, 30000, 20);
  ck_assert_uint_gt (ds_crash_suspects_wait_ms (restarted, &key, 1, 80000), 0);
}
END_TEST

/* Guards against old causes that hold for ever.  */
START_TEST (a_record_expires)
{
  struct ds_crash_suspects *table = new_table (HOST);
  struct ds_suspect_key key = part (5);
  struct ds_crash_suspects *restarted;

  crash (table, key, 6, 100000);
  restarted = restart (table, HOST, 100000, 6 * MINUTE_MS, 20);
  ck_assert_uint_eq (ds_crash_suspects_crashes (restarted, key), 0);
  list (table, 100000 + (uint64_t)(6 * MINUTE_MS));
  ck_assert_uint_eq (record.count, 0);
}
END_TEST

/* Guards against a host that believes after a restart what it would not have
   believed before.  */
START_TEST (crashes_that_one_host_has_seen_block_only_there)
{
  struct ds_crash_suspects *table = new_table (HOST);
  struct ds_suspect_key key = part (5);

  crash (table, key, 5, 100000);
  ck_assert_uint_gt (ds_crash_suspects_wait_ms (
                         restart (table, HOST, 100000, 0, 20), &key, 1, 30),
                     0);
  ck_assert_uint_eq (
      ds_crash_suspects_wait_ms (restart (table, OTHER_HOST, 100000, 0, 20),
                                 &key, 1, 30),
      0);
}
END_TEST

/* Guards against a record that grows with the suspects, and loses the newest
   cause for old ones.  */
START_TEST (a_record_is_bounded)
{
  struct ds_crash_suspects *table = new_table (HOST);
  json_t *json;
  char *text;

  for (uint64_t i = 0; i < 100; i++)
    crash (table, part (1000 + i), 6, 100000 + i);
  list (table, 101000);
  ck_assert_uint_eq (record.count, DS_CRASH_RECORD_MAX);
  ck_assert_uint_eq (record.reports[0].key.hash, 1099);
  json = ds_crash_record_encode (&record, WALL_MS);
  text = json_dumps (json, JSON_COMPACT);
  ck_assert_uint_lt (strlen (text), 12000);
  free (text);
  json_decref (json);
}
END_TEST

/* Guards against calls to the store by hosts that have nothing to add.  */
START_TEST (only_the_first_to_see_a_crash_writes)
{
  struct ds_crash_suspects *table = new_table (HOST);
  struct ds_crash_record stored = { .count = 0 };
  struct ds_suspect_key key = part (5);

  crash (table, key, 2, 100000);
  list (table, 100000);
  ck_assert (!ds_crash_record_is_behind (&stored, &record, table, HOST));
  (void)ds_crash_suspects_record (table, key, 3, 101000, 101000);
  list (table, 101000);
  ck_assert (ds_crash_record_is_behind (&stored, &record, table, HOST));
  ck_assert (!ds_crash_record_is_behind (&stored, &record, table, OTHER_HOST));
  stored = record;
  ck_assert (!ds_crash_record_is_behind (&stored, &record, table, HOST));
  (void)ds_crash_suspects_record (table, key, 4, 120000, 120000);
  list (table, 120000);
  ck_assert (ds_crash_record_is_behind (&stored, &record, table, HOST));
  /* What has only expired is left.  */
  stored = record;
  list (table, 120000 + (uint64_t)(6 * MINUTE_MS));
  ck_assert_uint_eq (record.count, 0);
  ck_assert (!ds_crash_record_is_behind (&stored, &record, table, HOST));
}
END_TEST

/* Guards against a record that goes on to refuse a part which is sound.  */
START_TEST (a_cleared_cause_is_written_out)
{
  struct ds_crash_suspects *table = new_table (HOST);
  struct ds_crash_record stored;
  struct ds_suspect_key key = part (5);

  crash (table, key, 3, 100000);
  list (table, 100000);
  stored = record;
  (void)ds_crash_suspects_clear (table, key, 130000, 131000);
  list (table, 131000);
  ck_assert_uint_eq (record.count, 0);
  ck_assert (ds_crash_record_is_behind (&stored, &record, table, OTHER_HOST));
}
END_TEST

/* One entry that can be read stands between the bad ones.  */
#define GOOD                                                                  \
  "{\"kind\":\"part\",\"key\":\"000000000000abcd\",\"crashes\":["             \
  "{\"replica\":\"0000000000000001\",\"host\":7,\"time\":1764911000000}]}"
#define CRASH(member)                                                         \
  "{\"kind\":\"part\",\"key\":\"000000000000abcd\",\"crashes\":[{" member "}" \
  "]"                                                                         \
  "}"

static const char *const bad_entries[] = {
  "null",
  "7",
  "[]",
  "{}",
  "{\"kind\":\"part\"}",
  "{\"kind\":7,\"key\":\"000000000000abcd\",\"crashes\":[]}",
  "{\"kind\":\"other\",\"key\":\"000000000000abcd\",\"crashes\":[]}",
  "{\"kind\":\"part\",\"key\":\"abcd\",\"crashes\":[]}",
  "{\"kind\":\"part\",\"key\":\"00000000000zabcd\",\"crashes\":[]}",
  "{\"kind\":\"part\",\"key\":\"000000000000abcd\"}",
  "{\"kind\":\"part\",\"key\":\"000000000000abcd\",\"crashes\":{}}",
  "{\"kind\":\"part\",\"key\":\"000000000000abcd\",\"crashes\":[null,[],7]}",
  CRASH ("\"replica\":\"1\",\"host\":7,\"time\":1764911000000"),
  CRASH ("\"replica\":\"0000000000000001\",\"host\":-1,\"time\":1"),
  CRASH ("\"replica\":\"0000000000000001\",\"host\":4294967296,\"time\":1"),
  CRASH ("\"replica\":\"0000000000000001\",\"host\":7,\"time\":1.5"),
  CRASH ("\"replica\":\"0000000000000001\",\"host\":7,\"time\":0"),
  CRASH ("\"replica\":\"0000000000000001\",\"host\":7,\"time\":-5"),
  CRASH ("\"replica\":\"0000000000000001\",\"host\":7"),
};

/* Guards against a bad entry of another writer that costs the good ones.  */
START_TEST (a_bad_entry_costs_only_itself)
{
  char text[1024];
  json_t *json;

  (void)snprintf (text, sizeof text, "{\"causes\":[" GOOD ",%s," GOOD "]}",
                  bad_entries[_i]);
  json = json_loads (text, 0, NULL);
  ck_assert_ptr_nonnull (json);
  ds_crash_record_decode (&record, json, WALL_MS);
  ck_assert_uint_eq (record.count, 2);
  ck_assert_uint_eq (record.reports[1].key.hash, 0xabcd);
  json_decref (json);
}
END_TEST

static const char *const bad_records[]
    = { "{}", "[]", "{\"causes\":7}", "{\"causes\":{\"a\":1}}",
        "{\"causes\":[]}" };

START_TEST (a_bad_record_is_an_empty_one)
{
  json_t *json = json_loads (bad_records[_i], 0, NULL);

  ds_crash_record_decode (&record, json, WALL_MS);
  ck_assert_uint_eq (record.count, 0);
  json_decref (json);
  ds_crash_record_decode (&record, NULL, WALL_MS);
  ck_assert_uint_eq (record.count, 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("crash_record");
  TCase *test_case = tcase_create ("crash_record");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_add_loop_test (test_case, a_block_goes_on_after_a_restart, 0, 4);
  tcase_add_test (test_case, clocks_that_differ_matter_little);
  tcase_add_test (test_case, a_record_expires);
  tcase_add_test (test_case, crashes_that_one_host_has_seen_block_only_there);
  tcase_add_test (test_case, a_record_is_bounded);
  tcase_add_test (test_case, only_the_first_to_see_a_crash_writes);
  tcase_add_test (test_case, a_cleared_cause_is_written_out);
  tcase_add_loop_test (test_case, a_bad_entry_costs_only_itself, 0,
                       sizeof bad_entries / sizeof bad_entries[0]);
  tcase_add_loop_test (test_case, a_bad_record_is_an_empty_one, 0,
                       sizeof bad_records / sizeof bad_records[0]);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
