#include "platform/config_codec.h"

#include <check.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

static TALLOC_CTX *owner;

static const char config_text[]
    = "{\"version\":7,\"routes\":["
      "{\"name\":\"r1\",\"host\":\"ficu95.example\",\"path_prefix\":\"/a/\","
      "\"kind\":\"idempotent\",\"timeout_ms\":800,\"target_latency_ms\":300,"
      "\"priority\":2,\"service\":\"s1\",\"max_attempts\":2,\"public\":true},"
      "{\"name\":\"r2\",\"host\":\"ficu95.example\","
      "\"path_prefix\":\"/a/b/\",\"kind\":\"streaming\",\"timeout_ms\":9000,"
      "\"traffic_split\":[{\"service\":\"s1\",\"weight\":90},"
      "{\"service\":\"s2\",\"weight\":10}],\"max_attempts\":2,"
      "\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":250},"
      "{\"name\":\"r3\",\"host\":\"ficu95.example\",\"path_prefix\":\"/u/\","
      "\"kind\":\"a-later-kind\",\"service\":\"s2\"}],"
      "\"services\":[{\"name\":\"s1\",\"health_path\":\"/health\","
      "\"max_connections\":370,\"engine\":{\"slots\":64,\"kv_capacity\":"
      "421968,"
      "\"stride\":4},\"cold_start_s\":12.5,\"cold_per_s\":7.3},{\"name\":"
      "\"s2\","
      "\"health_path\":\"/h\",\"cold_start_s\":-1,\"cold_per_s\":\"7\"}],"
      "\"limits\":{\"max_header_bytes\":9000,\"max_body_bytes\":70000,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
      "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"k1\",\"k2\"],"
      "\"priority\":1,\"prepaid\":4958671},{\"name\":\"free\","
      "\"api_keys\":[\"k3\"]}]}";

static struct ds_routing_config *
load (void)
{
  json_t *spec = json_loads (config_text, 0, NULL);
  struct ds_routing_config *config;
  struct ds_error error;

  ck_assert_int_eq (ds_config_decode (&config, owner, spec, &error), 0);
  json_decref (spec);
  return config;
}

static void
set_up (void)
{
  owner = talloc_new (NULL);
}

static void
tear_down (void)
{
  talloc_free (owner);
}

/* Guards against a shorter prefix that hides a longer one, and a prefix that
   matches inside a path segment.  */
START_TEST (the_longest_prefix_of_the_host_wins)
{
  struct ds_routing_config *config = load ();
  struct ds_str host = DS_STR ("FICU95.example:8080");

  ck_assert (ds_str_equal (
      ds_routing_config_find_route (config, host, DS_STR ("/a/b/2f"))->name,
      DS_STR ("r2")));
  ck_assert (ds_str_equal (
      ds_routing_config_find_route (config, host, DS_STR ("/a/bc/2f"))->name,
      DS_STR ("r1")));
  ck_assert_ptr_null (
      ds_routing_config_find_route (config, host, DS_STR ("/ab/2f")));
  ck_assert_ptr_null (
      ds_routing_config_find_route (config, host, DS_STR ("/a")));
  ck_assert_ptr_null (ds_routing_config_find_route (
      config, DS_STR ("other.example"), DS_STR ("/a/2f")));
}
END_TEST

/* Guards against repeating calls of a kind unknown to this version.  */
START_TEST (an_unknown_kind_runs_once)
{
  struct ds_routing_config *config = load ();
  const struct ds_route *route = ds_routing_config_find_route (
      config, DS_STR ("ficu95.example"), DS_STR ("/u/1"));

  ck_assert_int_eq (route->kind, DS_CALL_AT_MOST_ONCE);
  ck_assert_uint_eq (route->max_attempts, 1);
}
END_TEST

START_TEST (configuration_fields_are_decoded)
{
  struct ds_routing_config *config = load ();
  const struct ds_route *stream = ds_routing_config_find_route (
      config, DS_STR ("ficu95.example"), DS_STR ("/a/b/"));
  const struct ds_service *service
      = ds_routing_config_find_service (config, DS_STR ("s1"));

  ck_assert_int_eq (stream->kind, DS_CALL_STREAM);
  ck_assert (stream->resumable && stream->has_prompt && !stream->is_public);
  ck_assert_uint_eq (stream->target_event_gap_ms, 250);
  ck_assert (service->is_engine);
  ck_assert_uint_eq (service->tokens_per_event, 4);
  ck_assert_uint_eq (config->limits.header_bytes, 9000);
  ck_assert_uint_eq (config->limits.body_bytes, 70000);
}
END_TEST

/* Guards against an API key that maps to the wrong workspace, and a budget for
   a workspace that has none.  */
START_TEST (keys_belong_to_their_workspace)
{
  struct ds_routing_config *config = load ();
  const struct ds_routing_workspace *workspace
      = ds_routing_config_find_workspace (config, DS_STR ("k2"));

  ck_assert (ds_str_equal (workspace->name, DS_STR ("hule930")));
  ck_assert (workspace->has_budget && workspace->prepaid == 4958671);
  ck_assert (
      !ds_routing_config_find_workspace (config, DS_STR ("k3"))->has_budget);
  ck_assert_ptr_null (ds_routing_config_find_workspace (config, DS_STR ("k")));
  ck_assert_ptr_null (ds_routing_config_find_workspace (config, DS_STR_EMPTY));
}
END_TEST

START_TEST (a_split_follows_its_weights)
{
  struct ds_routing_config *config = load ();
  const struct ds_route *route = ds_routing_config_find_route (
      config, DS_STR ("ficu95.example"), DS_STR ("/a/b/"));
  int second = 0;

  for (uint64_t draw = 0; draw < 1000; draw++)
    if (ds_str_equal (ds_route_choose_service (route, draw), DS_STR ("s2")))
      second++;
  ck_assert_int_eq (second, 100);
}
END_TEST

/* Guards against applying a document that is not a configuration.  */
START_TEST (a_configuration_without_version_or_routes_is_refused)
{
  static const char *const bad[]
      = { "{}", "{\"version\":1}", "{\"routes\":[]}",
          "{\"version\":\"7\",\"routes\":[]}" };

  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      json_t *spec = json_loads (bad[i], 0, NULL);
      struct ds_routing_config *config;
      struct ds_error error;

      ck_assert_int_eq (ds_config_decode (&config, owner, spec, &error),
                        DS_EPROTOCOL);
      json_decref (spec);
    }
}
END_TEST

/* Guards against using entries of another writer among the replica
   entries.  */
START_TEST (foreign_replica_entries_are_refused)
{
  static const char *const bad[] = {
    "{}",
    "{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\"}",
    "{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\","
    "\"state\":\"resting\"}",
    "{\"service\":7,\"address\":\"1.2.3.4:5\",\"zone\":\"z\","
    "\"state\":\"ready\"}",
    "{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\","
    "\"state\":\"ready\",\"slots\":\"six\"}",
    "{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\","
    "\"state\":\"ready\",\"born\":1.5}",
    "[]",
  };
  struct ds_replica_record record;
  struct ds_error error;
  json_t *good
      = json_loads ("{\"service\":\"s\",\"address\":\"1.2.3.4:5\","
                    "\"zone\":\"z\",\"state\":\"draining\",\"slots\":6,"
                    "\"born\":1779876379362}",
                    0, NULL);

  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      json_t *spec = json_loads (bad[i], 0, NULL);

      ck_assert_int_eq (
          ds_replica_decode (&record, DS_STR ("i-1"), spec, &error),
          DS_EPROTOCOL);
      json_decref (spec);
    }
  ck_assert_int_eq (ds_replica_decode (&record, DS_STR ("i-1"), good, &error),
                    0);
  ck_assert (record.draining && record.slots == 6
             && record.start_time_ms == 1779876379362);
  json_decref (good);
}
END_TEST

/* Guards against an entry of another writer that is taken for a replica, which
   no request can name.  */
START_TEST (names_that_no_header_holds_are_refused)
{
  static const struct
  {
    struct ds_str id;
    bool valid;
  } cases[] = {
    { DS_STR ("a&b+c#d%e f"), true },
    { DS_STR ("\xc3\xa4"), true },
    { DS_STR (""), false },
    { DS_STR (" i-1"), false },
    { DS_STR ("i-1 "), false },
    { DS_STR ("i-1\t"), false },
    { DS_STR ("i-1\r\nTenant: south"), false },
    { DS_STR ("i-1\n"), false },
    { DS_STR ("i\0001"), false },
    { DS_STR ("i-1\x7f"), false },
    { DS_STR ("i-1\xff"), false },
  };
  struct ds_replica_record record;
  struct ds_error error;
  char long_id[2000];
  json_t *spec = json_loads ("{\"service\":\"s\",\"address\":\"1.2.3.4:5\","
                             "\"zone\":\"z\",\"state\":\"ready\"}",
                             0, NULL);

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    ck_assert_int_eq (ds_replica_decode (&record, cases[i].id, spec, &error),
                      cases[i].valid ? 0 : DS_EPROTOCOL);
  memset (long_id, 'n', sizeof long_id);
  ck_assert_int_eq (
      ds_replica_decode (
          &record,
          (struct ds_str){ .data = long_id, .length = sizeof long_id }, spec,
          &error),
      DS_EPROTOCOL);
  json_decref (spec);
}
END_TEST

/* Guards against a cold phase that is overlooked, or that a value which is
   none brings about.  */
START_TEST (cold_phases_are_read)
{
  struct ds_routing_config *config = load ();
  const struct ds_service *cold
      = ds_routing_config_find_service (config, DS_STR ("s1"));
  const struct ds_service *other
      = ds_routing_config_find_service (config, DS_STR ("s2"));

  ck_assert_uint_eq (cold->cold_start_ms, 12500);
  ck_assert_double_eq (cold->cold_per_s, 7.3);
  ck_assert_uint_eq (other->cold_start_ms, 0);
  ck_assert_double_eq (other->cold_per_s, 0);
}
END_TEST

/* Members of registrations, and the remaining cold time that they state.  */
static const struct
{
  const char *members;
  uint64_t remaining_ms;
} registrations[] = {
  { "", DS_COLD_UNKNOWN },
  { ",\"cold_remaining_ms\":0", 0 },
  { ",\"cold_remaining_ms\":4100.5", 4100 },
  { ",\"cold_remaining_ms\":-1", DS_COLD_UNKNOWN },
  { ",\"cold_remaining_ms\":\"0\"", DS_COLD_UNKNOWN },
  { ",\"cold_remaining_ms\":1e20", DS_COLD_UNKNOWN },
};

/* Guards against a replica that counts as warm although its registration does
   not say so.  */
START_TEST (registrations_state_the_remaining_cold_time)
{
  struct ds_replica_record record;
  struct ds_error error;
  char *text = talloc_asprintf (
      owner,
      "{\"service\":\"s\",\"zone\":\"z\",\"state\":\"ready\","
      "\"address\":\"1.2.3.4:1\"%s}",
      registrations[_i].members);
  json_t *spec = json_loads (text, 0, NULL);

  ck_assert_int_eq (ds_replica_decode (&record, DS_STR ("i-1"), spec, &error),
                    0);
  ck_assert_uint_eq (record.cold_remaining_ms, registrations[_i].remaining_ms);
  json_decref (spec);
}
END_TEST

/* Guards against requests that are sent to what another writer has left, and
   against numbers that lose their upper bits.  */
START_TEST (entries_with_values_out_of_range_are_refused)
{
  static const char *const bad[] = {
    "\"address\":\"1.2.3.4:0\"",
    "\"address\":\"1.2.3.4:65536\"",
    "\"address\":\"1.2.3.4:99999999999999999999999\"",
    "\"address\":\"1.2.3.4:-5\"",
    "\"address\":\"1.2.3.4:\"",
    "\"address\":\"1.2.3.4\"",
    "\"address\":\"replica.example:80\"",
    "\"address\":\"1.2.3.4:5 \"",
    "\"address\":\"1.2.3:5\"",
    "\"address\":\":5\"",
    "\"address\":\"[::1:5\"",
    "\"address\":\"\\u0001\\u0002\\u0003\"",
    "\"address\":[\"1.2.3.4:5\"]",
    "\"address\":\"1.2.3.4:5\",\"slots\":-1",
    "\"address\":\"1.2.3.4:5\",\"slots\":4294967296",
    "\"address\":\"1.2.3.4:5\",\"slots\":1.5",
    "\"address\":\"1.2.3.4:5\",\"slots\":null",
    "\"address\":\"1.2.3.4:5\",\"born\":-1",
  };
  static const char *const good[] = {
    "\"address\":\"1.2.3.4:1\"",
    "\"address\":\"1.2.3.4:65535\"",
    "\"address\":\"[::1]:80\",\"slots\":4294967295,\"born\":0",
  };
  struct ds_replica_record record;
  struct ds_error error;

  for (size_t i = 0;
       i < sizeof bad / sizeof bad[0] + sizeof good / sizeof good[0]; i++)
    {
      bool is_bad = i < sizeof bad / sizeof bad[0];
      char *text = talloc_asprintf (
          owner, "{\"service\":\"s\",\"zone\":\"z\",\"state\":\"ready\",%s}",
          is_bad ? bad[i] : good[i - sizeof bad / sizeof bad[0]]);
      json_t *spec = json_loads (text, 0, NULL);

      ck_assert_ptr_nonnull (spec);
      ck_assert_msg (
          (ds_replica_decode (&record, DS_STR ("i-1"), spec, &error) != 0)
              == is_bad,
          "%s", text);
      json_decref (spec);
    }
}
END_TEST

/* Guards against a limit or time that becomes another one since it does not
   fit.  */
START_TEST (numbers_out_of_range_get_the_default)
{
  json_t *spec = json_loads (
      "{\"version\":9007199254740993,\"routes\":[{\"name\":\"r\",\"host\":"
      "\"h\",\"path_prefix\":\"/\",\"service\":\"s\",\"timeout_ms\":"
      "4294967297,\"max_attempts\":1e300}],\"tenants\":[{\"name\":\"t\","
      "\"prepaid\":100000000000000001}],\"limits\":{\"max_header_bytes\":-1,"
      "\"max_body_bytes\":1e300,\"idle_timeout_ms\":4294967297}}",
      0, NULL);
  struct ds_caller_limits fallback = DS_CALLER_LIMITS_DEFAULT;
  struct ds_routing_config *config;
  struct ds_error error;

  ck_assert_int_eq (ds_config_decode (&config, owner, spec, &error), 0);
  json_decref (spec);
  ck_assert_uint_eq (config->version, 9007199254740993);
  ck_assert_uint_eq (config->routes[0].timeout_ms, 30000);
  ck_assert_uint_eq (config->routes[0].max_attempts, 1);
  ck_assert_uint_eq (config->workspaces[0].prepaid, 100000000000000001);
  ck_assert_uint_eq (config->limits.header_bytes, fallback.header_bytes);
  ck_assert_uint_eq (config->limits.body_bytes, fallback.body_bytes);
  ck_assert_uint_eq (config->limits.idle_timeout_ms, fallback.idle_timeout_ms);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("routing_config");
  TCase *test_case = tcase_create ("routing_config");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_add_test (test_case, the_longest_prefix_of_the_host_wins);
  tcase_add_test (test_case, an_unknown_kind_runs_once);
  tcase_add_test (test_case, configuration_fields_are_decoded);
  tcase_add_test (test_case, keys_belong_to_their_workspace);
  tcase_add_test (test_case, a_split_follows_its_weights);
  tcase_add_test (test_case,
                  a_configuration_without_version_or_routes_is_refused);
  tcase_add_test (test_case, foreign_replica_entries_are_refused);
  tcase_add_test (test_case, names_that_no_header_holds_are_refused);
  tcase_add_test (test_case, entries_with_values_out_of_range_are_refused);
  tcase_add_test (test_case, cold_phases_are_read);
  tcase_add_loop_test (test_case, registrations_state_the_remaining_cold_time,
                       0, sizeof registrations / sizeof registrations[0]);
  tcase_add_test (test_case, numbers_out_of_range_get_the_default);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
