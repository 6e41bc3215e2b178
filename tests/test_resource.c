#include "daisystep/resource.h"

#include <check.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COUNT(rows) (sizeof (rows) / sizeof (rows)[0])
#define KEY_A                                                                 \
  "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define KEY_B                                                                 \
  "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"

static const char *const samples[DS_RESOURCE_KINDS] = {
  "{\"kind\":\"Workspace\",\"name\":\"alfa\",\"version\":7,\"status\":{},"
  "\"spec\":{\"budget\":\"b1\",\"key_sha256\":[\"" KEY_A
  "\"],\"offerings\":[\"chat\"]}}",
  "{\"kind\":\"Budget\",\"name\":\"b1\",\"spec\":{\"prepaid\":1000}}",
  "{\"kind\":\"Offering\",\"name\":\"chat\",\"spec\":{\"type\":\"model\","
  "\"model\":\"m/large\"}}",
  "{\"kind\":\"Upstream\",\"name\":\"e1\",\"spec\":{\"address\":"
  "\"127.0.0.1:7001\",\"zone\":\"kelheim\",\"offerings\":[\"chat\"]}}",
};

static const char service[]
    = "{\"kind\":\"Offering\",\"name\":\"tool\",\"spec\":{\"type\":"
      "\"service\",\"tokens_per_call\":5,\"repeatable\":false}}";

static int
parse (struct ds_resource **out, const char *text, struct ds_error *error)
{
  json_t *json = json_loads (text, JSON_DECODE_ANY, NULL);
  int status;

  ck_assert_ptr_nonnull (json);
  status = ds_resource_from_json (out, NULL, json, error);
  json_decref (json);
  return status;
}

/* Reads the sample of KIND with the spec field FIELD, or the envelope field
   after a slash, set to the JSON text VALUE; null removes it.  */
static int
parse_with (struct ds_resource **out, const char *sample, const char *field,
            const char *value, struct ds_error *error)
{
  json_t *json = json_loads (sample, 0, NULL);
  json_t *object = json_object_get (json, "spec");
  int status;

  if (field[0] == '/')
    {
      object = json;
      field++;
    }
  if (value == NULL)
    json_object_del (object, field);
  else
    ck_assert_int_eq (
        json_object_set_new (object, field,
                             json_loads (value, JSON_DECODE_ANY, NULL)),
        0);
  status = ds_resource_from_json (out, NULL, json, error);
  json_decref (json);
  return status;
}

START_TEST (reads_every_kind)
{
  struct ds_resource *got[DS_RESOURCE_KINDS + 1];
  struct ds_error error = DS_ERROR_NONE;

  for (size_t i = 0; i < DS_RESOURCE_KINDS; i++)
    {
      ck_assert_msg (parse (&got[i], samples[i], &error) == 0, "%s",
                     error.message);
      ck_assert_uint_eq (got[i]->kind, i);
    }
  ck_assert_int_eq (parse (&got[4], service, &error), 0);
  ck_assert_str_eq (got[0]->name.data, "alfa");
  ck_assert_uint_eq (got[0]->version, 7);
  ck_assert_str_eq (got[0]->workspace.budget.data, "b1");
  ck_assert_str_eq (got[0]->workspace.key_sha256.items[0].data, KEY_A);
  ck_assert_str_eq (got[0]->workspace.offerings.items[0].data, "chat");
  ck_assert_uint_eq (got[0]->workspace.priority, 0);
  ck_assert_uint_eq (got[1]->version, 0);
  ck_assert_uint_eq (got[1]->budget.prepaid, 1000);
  ck_assert_uint_eq (got[1]->budget.draw_percent, 12);
  ck_assert_uint_eq (got[2]->offering.type, DS_OFFERING_MODEL);
  ck_assert_str_eq (got[2]->offering.model.data, "m/large");
  ck_assert_uint_eq (got[2]->offering.adapter.length, 0);
  ck_assert_uint_eq (got[2]->offering.max_output_tokens, 4096);
  ck_assert (got[2]->offering.repeatable);
  ck_assert_uint_eq (got[2]->offering.max_config_age_ms, 0);
  ck_assert_str_eq (got[3]->upstream.address.data, "127.0.0.1:7001");
  ck_assert_uint_eq (got[3]->upstream.state, DS_UPSTREAM_ACTIVE);
  ck_assert_uint_eq (got[3]->upstream.max_in_flight, 64);
  ck_assert (!got[3]->upstream.checks_fencing);
  ck_assert_uint_eq (got[4]->offering.type, DS_OFFERING_SERVICE);
  ck_assert_uint_eq (got[4]->offering.tokens_per_call, 5);
  ck_assert (!got[4]->offering.repeatable);
  for (size_t i = 0; i < COUNT (got); i++)
    ds_resource_free (got[i]);
}
END_TEST

/* Guards against limits that are off by one: the largest and smallest values
   are accepted.  */
START_TEST (accepts_values_at_the_limits)
{
  static const struct
  {
    enum ds_resource_kind kind;
    const char *field;
    const char *value;
  } cases[] = {
    { DS_RESOURCE_BUDGET, "prepaid", "0" },
    { DS_RESOURCE_BUDGET, "prepaid", "9007199254740992" },
    { DS_RESOURCE_BUDGET, "draw_percent", "1" },
    { DS_RESOURCE_BUDGET, "draw_percent", "50" },
    { DS_RESOURCE_WORKSPACE, "priority", "9" },
    { DS_RESOURCE_WORKSPACE, "key_sha256", "[]" },
    { DS_RESOURCE_OFFERING, "max_output_tokens", "1" },
    { DS_RESOURCE_OFFERING, "max_output_tokens", "1048576" },
    { DS_RESOURCE_OFFERING, "tokens_per_call", "1048576" },
    { DS_RESOURCE_UPSTREAM, "max_in_flight", "65536" },
    { DS_RESOURCE_UPSTREAM, "state", "\"leaving\"" },
    { DS_RESOURCE_BUDGET, "/name",
      "\"012345678901234567890123456789012345678901234567890123456789.-z\"" },
  };

  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct ds_resource *resource;
      struct ds_error error = DS_ERROR_NONE;

      ck_assert_msg (parse_with (&resource, samples[cases[i].kind],
                                 cases[i].field, cases[i].value, &error)
                         == 0,
                     "%s", error.message);
      ds_resource_free (resource);
    }
}
END_TEST

/* Guards against a missing check: the error for each row has kind/name, field,
   value and the allowed values.  */
START_TEST (refuses_bad_values)
{
  static const struct
  {
    enum ds_resource_kind kind;
    const char *field;
    const char *value;
    const char *allowed;
  } cases[] = {
    { DS_RESOURCE_WORKSPACE, "budget", "\"B\"", "[a-z0-9.-]" },
    { DS_RESOURCE_WORKSPACE, "budget", "\"\"", "1..63" },
    { DS_RESOURCE_WORKSPACE, "key_sha256", "\"x\"", "64 hex digits" },
    { DS_RESOURCE_WORKSPACE, "key_sha256", "[\"abc\"]", "64 hex digits" },
    { DS_RESOURCE_WORKSPACE, "key_sha256",
      "[\"gaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\"]",
      "64 hex digits" },
    { DS_RESOURCE_WORKSPACE, "priority", "10", "0..9" },
    { DS_RESOURCE_WORKSPACE, "priority", "-1", "0..9" },
    { DS_RESOURCE_WORKSPACE, "priority", "1.5", "0..9" },
    { DS_RESOURCE_WORKSPACE, "offerings", "{}", "list" },
    { DS_RESOURCE_WORKSPACE, "offerings", "[7]", "names" },
    { DS_RESOURCE_BUDGET, "prepaid", "-1", "0..9007199254740992" },
    { DS_RESOURCE_BUDGET, "prepaid", "9007199254740993",
      "0..9007199254740992" },
    { DS_RESOURCE_BUDGET, "prepaid", "\"1\"", "0..9007199254740992" },
    { DS_RESOURCE_BUDGET, "draw_percent", "0", "1..50" },
    { DS_RESOURCE_BUDGET, "draw_percent", "51", "1..50" },
    { DS_RESOURCE_OFFERING, "type", "\"tool\"", "\"model\" \"service\"" },
    { DS_RESOURCE_OFFERING, "model", "\"\"", "1..256" },
    { DS_RESOURCE_OFFERING, "model", "3", "256 bytes" },
    { DS_RESOURCE_OFFERING, "adapter", "null", "256 bytes" },
    { DS_RESOURCE_OFFERING, "max_output_tokens", "0", "1..1048576" },
    { DS_RESOURCE_OFFERING, "max_output_tokens", "1048577", "1..1048576" },
    { DS_RESOURCE_OFFERING, "tokens_per_call", "0", "1..1048576" },
    { DS_RESOURCE_OFFERING, "tokens_per_call", "1048577", "1..1048576" },
    { DS_RESOURCE_OFFERING, "repeatable", "\"no\"", "true or false" },
    { DS_RESOURCE_OFFERING, "max_config_age_ms", "-5", "0..604800000" },
    { DS_RESOURCE_OFFERING, "max_config_age_ms", "604800001", "604800000" },
    { DS_RESOURCE_UPSTREAM, "address", "\"engine:80\"", "IP:PORT" },
    { DS_RESOURCE_UPSTREAM, "zone", "\"\"", "1..63" },
    { DS_RESOURCE_UPSTREAM, "offerings", "[]", "1..1024" },
    { DS_RESOURCE_UPSTREAM, "state", "\"gone\"", "\"active\" \"leaving\"" },
    { DS_RESOURCE_UPSTREAM, "max_in_flight", "0", "1..65536" },
    { DS_RESOURCE_UPSTREAM, "max_in_flight", "65537", "1..65536" },
    { DS_RESOURCE_UPSTREAM, "checks_fencing", "1", "true or false" },
    { DS_RESOURCE_BUDGET, "/name", "\"B1\"", "[a-z0-9.-]" },
    { DS_RESOURCE_BUDGET, "/name",
      "\"0123456789012345678901234567890123456789012345678901234567890123\"",
      "1..63" },
    { DS_RESOURCE_BUDGET, "/kind", "\"Host\"", "\"Workspace\" \"Budget\"" },
    { DS_RESOURCE_BUDGET, "/version", "-1", "0.." },
    { DS_RESOURCE_BUDGET, "/spec", "[]", "an object" },
  };

  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct ds_resource *resource;
      struct ds_error error = DS_ERROR_NONE;
      const char *field = cases[i].field + (cases[i].field[0] == '/' ? 1 : 0);
      int status = parse_with (&resource, samples[cases[i].kind],
                               cases[i].field, cases[i].value, &error);
      char value[62];

      (void)snprintf (value, sizeof value, "%s", cases[i].value);
      value[strcspn (value, "[")] = '\0';
      ck_assert_msg (status < 0, "%s %s accepted", field, cases[i].value);
      ck_assert_ptr_null (resource);
      ck_assert_msg (strstr (error.message, field) != NULL
                         && strstr (error.message, value) != NULL
                         && strstr (error.message, "/") != NULL
                         && strstr (error.message, cases[i].allowed) != NULL,
                     "%s: %s", field, error.message);
    }
}
END_TEST

START_TEST (names_the_object_in_errors)
{
  struct ds_resource *resource;
  struct ds_error error = DS_ERROR_NONE;

  ck_assert_int_eq (parse_with (&resource, samples[DS_RESOURCE_BUDGET],
                                "prepaid", "-1", &error),
                    DS_ERANGE);
  ck_assert_ptr_nonnull (strstr (error.message, "Budget/b1: spec.prepaid: "));
}
END_TEST

START_TEST (refuses_missing_and_unknown_fields)
{
  static const struct
  {
    enum ds_resource_kind kind;
    const char *field;
  } required[] = {
    { DS_RESOURCE_WORKSPACE, "budget" },
    { DS_RESOURCE_WORKSPACE, "key_sha256" },
    { DS_RESOURCE_WORKSPACE, "offerings" },
    { DS_RESOURCE_BUDGET, "prepaid" },
    { DS_RESOURCE_OFFERING, "type" },
    { DS_RESOURCE_OFFERING, "model" },
    { DS_RESOURCE_UPSTREAM, "address" },
    { DS_RESOURCE_UPSTREAM, "zone" },
    { DS_RESOURCE_UPSTREAM, "offerings" },
    { DS_RESOURCE_BUDGET, "/kind" },
    { DS_RESOURCE_BUDGET, "/name" },
    { DS_RESOURCE_BUDGET, "/spec" },
  };
  struct ds_resource *resource;
  struct ds_error error = DS_ERROR_NONE;

  for (size_t i = 0; i < COUNT (required); i++)
    ck_assert_msg (parse_with (&resource, samples[required[i].kind],
                               required[i].field, NULL, &error)
                       < 0,
                   "%s", required[i].field);
  ck_assert_int_lt (
      parse_with (&resource, service, "tokens_per_call", NULL, &error), 0);
  ck_assert_ptr_nonnull (strstr (error.message, "spec.tokens_per_call"));
  for (size_t i = 0; i < DS_RESOURCE_KINDS; i++)
    {
      ck_assert_int_lt (
          parse_with (&resource, samples[i], "colour", "1", &error), 0);
      ck_assert_ptr_nonnull (strstr (error.message, "spec.colour: unknown"));
      ck_assert_int_lt (
          parse_with (&resource, samples[i], "/colour", "1", &error), 0);
      ck_assert_ptr_nonnull (strstr (error.message, "colour: unknown"));
    }
  ck_assert_int_lt (parse (&resource, "[]", &error), 0);
  ck_assert_ptr_nonnull (strstr (error.message, "an object"));
}
END_TEST

START_TEST (refuses_too_many_keys)
{
  char *keys = talloc_strdup (NULL, "[");
  struct ds_resource *resource;
  struct ds_error error = DS_ERROR_NONE;

  for (int i = 0; i < 65; i++)
    keys = talloc_asprintf_append (keys, "%s\"%064d\"", i > 0 ? "," : "", i);
  keys = talloc_asprintf_append (keys, "]");
  ck_assert_int_eq (parse_with (&resource, samples[DS_RESOURCE_WORKSPACE],
                                "key_sha256", keys, &error),
                    DS_ERANGE);
  ck_assert_ptr_nonnull (strstr (error.message, "0..64 strings"));
  talloc_free (keys);
}
END_TEST

/* Guards against two spellings of one key that count as two keys.  */
START_TEST (compares_keys_without_case)
{
  struct ds_resource *resource;
  struct ds_error error = DS_ERROR_NONE;

  ck_assert_int_lt (parse_with (&resource, samples[DS_RESOURCE_WORKSPACE],
                                "key_sha256",
                                "[\"" KEY_A "\",\"AAAAAAAAAAAAAAAAAAAAAAAAAAAA"
                                "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA\"]",
                                &error),
                    0);
  ck_assert_ptr_nonnull (strstr (error.message, "key_sha256[1]"));
  ck_assert_ptr_nonnull (strstr (error.message, "twice"));
}
END_TEST

/* Checks EXTRA, an object, with the samples if WITH_SAMPLES, and returns the
   problems as one text.  */
static char *
check_with (TALLOC_CTX *owner, const char *extra, bool with_samples)
{
  struct ds_resource_entry entries[DS_RESOURCE_KINDS + 1];
  struct ds_problems *problems;
  size_t count = 0;
  char *text = talloc_strdup (owner, "");

  ck_assert_int_eq (ds_problems_new (&problems, owner), 0);
  for (size_t i = 0; i <= DS_RESOURCE_KINDS; i++)
    {
      const char *source = i < DS_RESOURCE_KINDS ? samples[i] : extra;
      struct ds_resource *resource;
      struct ds_error error = DS_ERROR_NONE;

      if (source == NULL || (i < DS_RESOURCE_KINDS && !with_samples))
        continue;
      ck_assert_msg (parse (&resource, source, &error) == 0, "%s",
                     error.message);
      entries[count++] = (struct ds_resource_entry){
        .resource = talloc_steal (owner, resource),
        .location
        = { .file = i < DS_RESOURCE_KINDS ? "first" : "extra", .path = "" },
      };
    }
  ck_assert_int_eq (ds_resources_check (entries, count, problems) != 0,
                    problems->count != 0);
  for (size_t i = 0; i < problems->count; i++)
    text = talloc_asprintf_append (
        text, "%s\n", ds_problem_to_text (owner, &problems->items[i]));
  return text;
}

START_TEST (checks_duplicates_and_references)
{
  static const struct
  {
    const char *extra;
    const char *message;
  } cases[] = {
    { "{\"kind\":\"Budget\",\"name\":\"b1\",\"spec\":{\"prepaid\":1}}",
      "extra: name: value \"b1\" is declared in first too" },
    { "{\"kind\":\"Workspace\",\"name\":\"beta\",\"spec\":{\"budget\":\"b1\","
      "\"key_sha256\":[\"" KEY_B "\",\"" KEY_A "\"],\"offerings\":[]}}",
      "extra: spec.key_sha256[1]: value \"" KEY_A "\" is a key of "
      "Workspace/alfa" },
    { "{\"kind\":\"Workspace\",\"name\":\"beta\",\"spec\":{\"budget\":\"b2\","
      "\"key_sha256\":[],\"offerings\":[]}}",
      "extra: spec.budget: value \"b2\" names no Budget" },
    { "{\"kind\":\"Workspace\",\"name\":\"beta\",\"spec\":{\"budget\":\"b1\","
      "\"key_sha256\":[],\"offerings\":[\"chat\",\"b1\"]}}",
      "extra: spec.offerings[1]: value \"b1\" names no Offering" },
  };
  TALLOC_CTX *owner = talloc_new (NULL);

  ck_assert_str_eq (check_with (owner, NULL, true), "");
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      const char *text = check_with (owner, cases[i].extra, true);

      ck_assert_msg (strstr (text, cases[i].message) != NULL, "%zu: %s", i,
                     text);
    }
  ck_assert_ptr_nonnull (
      strstr (check_with (owner, samples[DS_RESOURCE_WORKSPACE], false),
              "spec.budget: value \"b1\" names no Budget"));
  ck_assert_ptr_nonnull (
      strstr (check_with (owner, samples[DS_RESOURCE_UPSTREAM], false),
              "spec.offerings[0]: value \"chat\" names no Offering"));
  talloc_free (owner);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("resource");
  TCase *test_case = tcase_create ("resource");
  SRunner *runner;
  int failed;

  tcase_add_test (test_case, reads_every_kind);
  tcase_add_test (test_case, accepts_values_at_the_limits);
  tcase_add_test (test_case, refuses_bad_values);
  tcase_add_test (test_case, names_the_object_in_errors);
  tcase_add_test (test_case, refuses_missing_and_unknown_fields);
  tcase_add_test (test_case, refuses_too_many_keys);
  tcase_add_test (test_case, compares_keys_without_case);
  tcase_add_test (test_case, checks_duplicates_and_references);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
