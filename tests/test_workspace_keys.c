#include "support/http.h"
#include "support/process.h"

#include <check.h>
#include <stdlib.h>
#include <time.h>

#include <glib.h>

#define HOST "127.5.250.1"
#define WAIT_STEPS 200
#define WAIT_STEP_US 50000

static struct test_process *platform;

/* Returns the status of an address request with KEY.  */
static long
address_status (const char *key)
{
  char *line = g_strdup_printf ("Authorization: Bearer %s", key);
  const char *const headers[] = { line, NULL };
  struct test_http_call call = { .address = HOST ":18080",
                                 .path = "/v1/address",
                                 .headers = headers };
  struct test_http_response *reply = test_http (&call);
  long status = reply->status;

  talloc_free (reply);
  g_free (line);
  return status;
}

static void
wait_status (const char *key, long status)
{
  for (int i = 0; i < WAIT_STEPS && address_status (key) != status; i++)
    g_usleep (WAIT_STEP_US);
  ck_assert_int_eq (address_status (key), status);
}

/* Declares workspace NAME with the digest of KEY; creates it, or replaces
   version VERSION.  Returns the new version.  */
static json_int_t
put_workspace (const char *name, const char *key, json_int_t version)
{
  char *condition = version == 0 ? g_strdup ("If-None-Match: *")
                                 : g_strdup_printf ("If-Match: \"%lld\"",
                                                    (long long)version);
  const char *const headers[] = { condition, NULL };
  char *digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, key, -1);
  char *path = g_strdup_printf ("/v1/objects/Workspace/%s", name);
  char *body = g_strdup_printf (
      "{\"kind\":\"Workspace\",\"name\":\"%s\",\"spec\":{\"budget\":\"b\","
      "\"priority\":5,\"offerings\":[\"assistant\"],\"key_sha256\":[\"%s\"]}}",
      name, digest);
  struct test_http_call call = { .method = "PUT",
                                 .address = platform->address,
                                 .path = path,
                                 .headers = headers,
                                 .body = body };
  struct test_http_response *reply = test_http (&call);
  json_t *json = test_http_json (reply);

  ck_assert_int_eq (reply->status / 100, 2);
  version = json_integer_value (json_object_get (json, "version"));
  json_decref (json);
  talloc_free (reply);
  g_free (condition);
  g_free (digest);
  g_free (path);
  g_free (body);
  return version;
}

static void
set_up (void)
{
  struct test_process *host;
  char *settings;
  char *path;

  ck_assert_int_eq (test_standin_start (&platform, "platform",
                                        TEST_STANDIN ("object_api"),
                                        (const char *const[]){ NULL }),
                    0);
  settings = g_strdup_printf (
      "{\"host\": \"host-1\", \"zone\": \"zone-1\", \"backups\": 0,"
      " \"caller_address\": \"" HOST ":18080\","
      " \"operator_address\": \"" HOST ":18081\","
      " \"peer_address\": \"" HOST ":18082\","
      " \"platform\": {\"url\": \"http://%s\"}}",
      platform->address);
  path = test_file_write ("host-1.json", settings);
  ck_assert_int_eq (
      test_process_start (
          &host, "host-1", DS_BUILD_DIR "/daisystep",
          (const char *const[]){ "serve", "--config", path, NULL }),
      0);
  talloc_free (path);
  g_free (settings);
}

/* A revoked key must not stay valid, and a change of one workspace must not
   revoke a key that another workspace has taken over.  */
START_TEST (a_key_is_valid_while_its_workspace_declares_it)
{
  json_int_t north = put_workspace ("north", "first", 0);
  json_int_t south;

  wait_status ("first", 200);
  ck_assert_int_eq (address_status ("second"), 401);
  north = put_workspace ("north", "second", north);
  wait_status ("second", 200);
  ck_assert_int_eq (address_status ("first"), 401);
  south = put_workspace ("south", "third", 0);
  wait_status ("third", 200);
  (void)put_workspace ("south", "second", south);
  wait_status ("third", 401);
  (void)put_workspace ("north", "fourth", north);
  wait_status ("fourth", 200);
  ck_assert_int_eq (address_status ("second"), 200);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("workspace_keys");
  TCase *test_case = tcase_create ("workspace_keys");
  SRunner *runner;
  int failed;

  tcase_set_timeout (test_case, 60);
  tcase_add_checked_fixture (test_case, set_up, test_processes_clean_up);
  tcase_add_test (test_case, a_key_is_valid_while_its_workspace_declares_it);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
