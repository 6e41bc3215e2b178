#include "site.h"

#include <check.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define PROGRAM DS_BUILD_DIR "/daisystep"
#define RUN_MS 20000

struct test_fixture test_fixture;

/* Sleeps for MS, or less if a signal arrives.  */
void
test_sleep_ms (long ms)
{
  struct timespec time
      = { .tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000L };

  (void)nanosleep (&time, NULL);
}

static char *
key_hash (const char *key)
{
  return g_compute_checksum_for_string (G_CHECKSUM_SHA256, key, -1);
}

/* Derives the addresses from the process id: the settings do not allow port 0,
   and several test programs may run at the same time.  */
void
test_fixture_choose_addresses (void)
{
  int high = (int)getpid () / 250 % 250 + 1;
  int low = (int)getpid () % 250 + 1;

  (void)snprintf (test_fixture.caller, sizeof test_fixture.caller,
                  "127.3.%d.%d:18080", high, low);
  (void)snprintf (test_fixture.operators, sizeof test_fixture.operators,
                  "127.3.%d.%d:18081", high, low);
  (void)snprintf (test_fixture.peers, sizeof test_fixture.peers,
                  "127.3.%d.%d:18082", high, low);
}

/* The settings of the host under test with the additional members MORE, which
   may be null.  Unused tokens are not returned within the test, so a ledger
   page changes only when a bill is settled.  */
char *
test_fixture_settings (const char *platform_url, const char *more)
{
  return talloc_asprintf (
      NULL,
      "{\"host\":\"host-1\",\"zone\":\"zone-1\",\"caller_address\":\"%s\","
      "\"operator_address\":\"%s\",\"peer_address\":\"%s\","
      "\"peer_key\":\"fleet\",\"platform\":{\"url\":\"%s\"},\"backups\":0,"
      "\"flush_ms\":50,\"idle_ms\":3600000,\"address_valid_ms\":100,"
      "\"drain_min_ms\":100%s}",
      test_fixture.caller, test_fixture.operators, test_fixture.peers,
      platform_url, more != NULL ? more : "");
}

/* Starts a host with the settings file at SETTINGS_PATH.  */
int
test_host_start (struct test_process **out, const char *name,
                 const char *settings_path)
{
  const char *const arguments[] = { "serve", "--config", settings_path, NULL };

  return test_process_start (out, name, PROGRAM, arguments);
}

/* Runs daisystep and returns its standard output and error output, which the
   caller releases with g_free.  */
char *
test_run_program (const char *const *arguments, int *status)
{
  struct test_process *process;
  static int number;
  char name[24];
  char *output = NULL;

  (void)snprintf (name, sizeof name, "run-%d", number++);
  ck_assert_int_eq (test_process_start (&process, name, PROGRAM, arguments),
                    0);
  ck_assert (test_process_wait (process, RUN_MS));
  *status = process->status;
  ck_assert (g_file_get_contents (process->log_path, &output, NULL, NULL));
  return output;
}

static char *
resources_text (int max_in_flight)
{
  char *north = key_hash (TEST_KEY_NORTH);
  char *south = key_hash (TEST_KEY_SOUTH);
  char *text = talloc_asprintf (
      NULL,
      "[{\"kind\":\"Budget\",\"name\":\"plenty\",\"spec\":{\"prepaid\":"
      "100000000,\"draw_percent\":50}},"
      "{\"kind\":\"Offering\",\"name\":\"assistant\",\"spec\":{\"type\":"
      "\"model\",\"model\":\"m-1\",\"max_output_tokens\":1000000,"
      "\"repeatable\":true}},"
      "{\"kind\":\"Offering\",\"name\":\"notary\",\"spec\":{\"type\":"
      "\"model\",\"model\":\"m-2\",\"max_output_tokens\":100,"
      "\"max_config_age_ms\":1,\"repeatable\":true}},"
      "{\"kind\":\"Offering\",\"name\":\"booking\",\"spec\":{\"type\":"
      "\"service\",\"tokens_per_call\":10,\"repeatable\":false}},"
      "{\"kind\":\"Workspace\",\"name\":\"north\",\"spec\":{\"budget\":"
      "\"plenty\",\"priority\":5,\"offerings\":[\"assistant\",\"booking\"],"
      "\"key_sha256\":[\"%s\"]}},"
      "{\"kind\":\"Workspace\",\"name\":\"south\",\"spec\":{\"budget\":"
      "\"plenty\",\"priority\":5,\"offerings\":[\"notary\"],"
      "\"key_sha256\":[\"%s\"]}},"
      "{\"kind\":\"Upstream\",\"name\":\"engine-1\",\"spec\":{\"address\":"
      "\"%s\",\"zone\":\"zone-1\",\"offerings\":[\"assistant\",\"notary\"],"
      "\"state\":\"active\",\"max_in_flight\":%d}},"
      "{\"kind\":\"Upstream\",\"name\":\"service-1\",\"spec\":{\"address\":"
      "\"%s\",\"zone\":\"zone-1\",\"offerings\":[\"booking\"],"
      "\"state\":\"active\",\"max_in_flight\":8}}]",
      north, south, test_fixture.engine->address, max_in_flight,
      test_fixture.service->address);

  g_free (north);
  g_free (south);
  return text;
}

static void
apply_resources (int max_in_flight)
{
  char *text = resources_text (max_in_flight);
  char *path = test_file_write ("resources.json", text);
  const char *const arguments[]
      = { "resources", "apply", "--platform", test_fixture.platform_url,
          path,        NULL };
  int status;
  char *output = test_run_program (arguments, &status);

  ck_assert_msg (status == 0, "%s", output);
  g_free (output);
  talloc_free (path);
  talloc_free (text);
}

static bool
is_ready (void)
{
  json_t *health = test_get_json (test_fixture.operators, "/healthz");
  bool ready = health != NULL;

  json_decref (health);
  return ready && test_fixture_dump_number ("catalogue/keys") == 2
         && test_fixture_dump_number ("router/upstreams/1/max_in_flight") > 0;
}

/* Starts the stand-ins, applies the resources and writes the settings of a
   host to *SETTINGS_PATH, which the caller releases.  */
void
test_fixture_start_standins (const struct test_fixture_options *options,
                             char **settings_path)
{
  static const char *const none[] = { NULL };
  const char *const *engine_arguments
      = options->engine_arguments != NULL ? options->engine_arguments : none;
  char *settings;

  test_fixture_choose_addresses ();
  ck_assert_int_eq (test_standin_start (&test_fixture.platform, "platform",
                                        TEST_STANDIN ("object_api"), none),
                    0);
  ck_assert_int_eq (test_standin_start (&test_fixture.engine, "engine",
                                        TEST_STANDIN ("engine"),
                                        engine_arguments),
                    0);
  ck_assert_int_eq (test_standin_start (&test_fixture.service, "service",
                                        TEST_STANDIN ("service"), none),
                    0);
  test_fixture.platform_url
      = talloc_asprintf (NULL, "http://%s", test_fixture.platform->address);
  apply_resources (options->max_in_flight > 0 ? options->max_in_flight : 1000);
  settings
      = test_fixture_settings (test_fixture.platform_url, options->settings);
  *settings_path = test_file_write ("host.json", settings);
  talloc_free (settings);
}

/* Waits until the host is ready and has received the resources.  */
void
test_fixture_wait_ready (void)
{
  TEST_WAIT_UNTIL (is_ready ());
}

/* Starts the stand-ins and the host and waits until it is ready.  */
void
test_fixture_start (const struct test_fixture_options *options)
{
  char *path;

  test_fixture_start_standins (options, &path);
  ck_assert_int_eq (test_host_start (&test_fixture.host, "host", path), 0);
  test_fixture_wait_ready ();
  talloc_free (path);
}

/* Posts BODY to the caller address.  */
struct test_http_response *
test_fixture_post (const char *path, const char *const *headers,
                   const char *body)
{
  struct test_http_call call = { .method = "POST",
                                 .address = test_fixture.caller,
                                 .path = path,
                                 .headers = headers,
                                 .body = body };

  return test_http (&call);
}

/* The value of the metric daisystep_NAME, or -1 if it is missing.  */
json_int_t
test_fixture_metric (const char *name)
{
  struct test_http_call call
      = { .address = test_fixture.operators, .path = "/metrics" };
  struct test_http_response *response = test_http (&call);
  char *line = talloc_asprintf (response, "\ndaisystep_%s ", name);
  const char *found = strstr (response->body.data, line);
  json_int_t value
      = found != NULL ? strtoll (found + strlen (line), NULL, 10) : -1;

  talloc_free (response);
  return value;
}

/* The integer at PATH in the dump, or -1 if it is missing.  */
json_int_t
test_fixture_dump_number (const char *path)
{
  json_t *dump = test_get_json (test_fixture.operators, "/v1/dump");
  const json_t *value = test_json_at (dump, path);
  json_int_t number
      = json_is_integer (value) ? json_integer_value (value) : -1;

  json_decref (dump);
  return number;
}

static size_t
count_occurrences (const char *text, const char *part)
{
  size_t count = 0;

  for (const char *at = text; (at = strstr (at, part)) != NULL; at++)
    count++;
  return count;
}

/* The number of bills on the platform, including archived ones.  */
size_t
test_fixture_bill_count (void)
{
  const char *const arguments[]
      = { "resources", "get",   "--platform", test_fixture.platform_url,
          "--json",    "bills", NULL };
  size_t count;
  int status;
  char *output = test_run_program (arguments, &status);

  ck_assert_msg (status == 0, "%s", output);
  count = count_occurrences (output, "\"tokens\"");
  g_free (output);
  return count;
}

/* Whether every ended request is settled in its ledger page.  */
static bool
is_settled (void)
{
  struct test_http_call call
      = { .address = test_fixture.operators, .path = "/v1/dump" };
  struct test_http_response *response = test_http (&call);
  bool settled
      = response->status == 200
        && strstr (response->body.data, "\"updating\":true") == NULL
        && count_occurrences (response->body.data, "\"unsettled\":")
               == count_occurrences (response->body.data, "\"unsettled\":0,");

  talloc_free (response);
  return settled;
}

/* Waits until no request runs and every ended request is settled, then checks
   the number of bills.  */
void
test_fixture_expect_bills (size_t count)
{
  TEST_WAIT_UNTIL (test_fixture_metric ("requests_running") == 0);
  TEST_WAIT_UNTIL (is_settled ());
  ck_assert_uint_eq (test_fixture_bill_count (), count);
}
