#include "daisystep/catalogue.h"
#include "daisystep/error.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#define WORKSPACE DS_STR ("Workspace")

struct payload
{
  int value;
};

static struct ds_catalogue *catalogue;

static void
set_up (void)
{
  ck_assert_int_eq (ds_catalogue_new (&catalogue, NULL), 0);
}

static void
tear_down (void)
{
  ds_catalogue_free (catalogue);
}

static int
put (struct ds_catalogue *into, const char *name, uint64_t version, int value)
{
  struct payload *payload = talloc_zero (NULL, struct payload);
  int code;

  payload->value = value;
  code = ds_catalogue_put (into, WORKSPACE, ds_str_from_c (name), version,
                           payload);
  if (code < 0)
    talloc_free (payload);
  return code;
}

static int
value_of (const char *name)
{
  const struct ds_catalogue_entry *entry
      = ds_catalogue_find (catalogue, WORKSPACE, ds_str_from_c (name));
  const struct payload *payload;

  if (entry == NULL || entry->deleted)
    return -1;
  payload = DS_CATALOGUE_PAYLOAD (entry, struct payload);
  return payload != NULL ? payload->value : -1;
}

/* Guards against a stale or repeated update that reverts an object.  */
START_TEST (accepts_only_a_higher_version)
{
  ck_assert_int_eq (put (catalogue, "altmuehl", 7, 1), 0);
  ck_assert_int_eq (put (catalogue, "altmuehl", 6, 2), DS_ECONFLICT);
  ck_assert_int_eq (put (catalogue, "altmuehl", 7, 3), DS_ECONFLICT);
  ck_assert_int_eq (value_of ("altmuehl"), 1);
  ck_assert_int_eq (put (catalogue, "altmuehl", 8, 4), 0);
  ck_assert_int_eq (value_of ("altmuehl"), 4);
}
END_TEST

/* Guards against an old put that restores a deleted object, and an old
   deletion that removes a newer object.  */
START_TEST (deletion_leaves_a_tombstone_with_its_version)
{
  struct ds_str name = DS_STR ("altmuehl");

  ck_assert_int_eq (put (catalogue, "altmuehl", 7, 1), 0);
  ck_assert_int_eq (ds_catalogue_delete (catalogue, WORKSPACE, name, 6),
                    DS_ECONFLICT);
  ck_assert_int_eq (ds_catalogue_delete (catalogue, WORKSPACE, name, 9), 0);
  ck_assert_int_eq (put (catalogue, "altmuehl", 8, 2), DS_ECONFLICT);
  ck_assert_int_eq (value_of ("altmuehl"), -1);
  ck_assert_int_eq (
      ds_catalogue_delete (catalogue, WORKSPACE, DS_STR ("unseen"), 5), 0);
  ck_assert_int_eq (put (catalogue, "unseen", 4, 2), DS_ECONFLICT);
  ck_assert_int_eq (put (catalogue, "altmuehl", 10, 3), 0);
  ck_assert_int_eq (value_of ("altmuehl"), 3);
}
END_TEST

/* Guards against mixing up objects of two kinds with the same name.  */
START_TEST (the_kind_is_part_of_the_key)
{
  struct payload *payload = talloc_zero (NULL, struct payload);

  ck_assert_int_eq (put (catalogue, "altmuehl", 7, 1), 0);
  ck_assert_int_eq (ds_catalogue_put (catalogue, DS_STR ("Budget"),
                                      DS_STR ("altmuehl"), 3, payload),
                    0);
  ck_assert_int_eq (value_of ("altmuehl"), 1);
  ck_assert_uint_eq (ds_catalogue_count (catalogue), 2);
}
END_TEST

static int
relay (const struct ds_catalogue_entry *entry, void *context)
{
  struct ds_catalogue *other = context;
  const struct payload *payload = DS_CATALOGUE_PAYLOAD (entry, struct payload);
  char name[32];

  (void)snprintf (name, sizeof name, "%.*s", DS_STR_ARG (entry->name));
  if (payload == NULL)
    return ds_catalogue_delete (other, entry->kind, entry->name,
                                entry->version);
  return put (other, name, entry->version, payload->value);
}

/* Guards against a relay that misses a deletion or an object with a lower
   version that arrives after one with a higher version, or that repeats old
   objects.  */
START_TEST (a_cursor_relays_late_arrivals_and_deletions)
{
  struct ds_catalogue *other;
  uint64_t cursor = 0;

  ck_assert_int_eq (ds_catalogue_new (&other, NULL), 0);
  ck_assert_int_eq (put (catalogue, "a", 12, 1), 0);
  ck_assert_int_eq (
      ds_catalogue_visit_changes (catalogue, &cursor, 10, relay, other), 0);
  ck_assert_int_eq (put (catalogue, "b", 10, 2), 0);
  ck_assert_int_eq (
      ds_catalogue_delete (catalogue, WORKSPACE, DS_STR ("c"), 11), 0);
  ck_assert (ds_catalogue_digest (other) != ds_catalogue_digest (catalogue));
  /* A repeated entry would fail with DS_ECONFLICT; a LIMIT of 1 is tested.  */
  for (int i = 0; i < 3; i++)
    ck_assert_int_eq (
        ds_catalogue_visit_changes (catalogue, &cursor, 1, relay, other), 0);
  ck_assert (ds_catalogue_digest (other) == ds_catalogue_digest (catalogue));
  ck_assert_uint_eq (ds_catalogue_version (other), 12);
  ds_catalogue_free (other);
}
END_TEST

/* Guards against a digest that depends on the order of arrival or on replaced
   versions.  */
START_TEST (digest_depends_only_on_current_versions)
{
  struct ds_catalogue *other;

  ck_assert_int_eq (ds_catalogue_new (&other, NULL), 0);
  for (int i = 0; i < 200; i++)
    {
      char name[16];

      (void)snprintf (name, sizeof name, "n%d", i);
      ck_assert_int_eq (put (catalogue, name, (uint64_t)i + 1000, i), 0);
      (void)snprintf (name, sizeof name, "n%d", 199 - i);
      ck_assert_int_eq (put (other, name, 5, 0), 0);
      ck_assert_int_eq (put (other, name, (uint64_t)(199 - i) + 1000, 0), 0);
    }
  ck_assert (ds_catalogue_digest (other) == ds_catalogue_digest (catalogue));
  ck_assert_int_eq (value_of ("n77"), 77);
  ds_catalogue_free (other);
}
END_TEST

/* Guards against a list that is unordered or contains older versions.  */
START_TEST (lists_versions_above_a_given_one_in_order)
{
  const struct ds_catalogue_entry **list;
  size_t count;

  put (catalogue, "a", 12, 1);
  put (catalogue, "b", 10, 2);
  put (catalogue, "c", 11, 3);
  ck_assert_int_eq (
      ds_catalogue_list_since (catalogue, 10, &list, &count, catalogue), 0);
  ck_assert_uint_eq (count, 2);
  ck_assert_uint_eq (list[0]->version, 11);
  ck_assert_uint_eq (list[1]->version, 12);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("catalogue");
  TCase *test_case = tcase_create ("catalogue");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_add_test (test_case, accepts_only_a_higher_version);
  tcase_add_test (test_case, deletion_leaves_a_tombstone_with_its_version);
  tcase_add_test (test_case, the_kind_is_part_of_the_key);
  tcase_add_test (test_case, a_cursor_relays_late_arrivals_and_deletions);
  tcase_add_test (test_case, digest_depends_only_on_current_versions);
  tcase_add_test (test_case, lists_versions_above_a_given_one_in_order);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
