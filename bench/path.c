/* Measures the request path with processes on loopback: three hosts, a
   platform stand-in and engine stand-ins, two that send tokens without delay
   and one that sends a token every 20 ms.  */
#include "program/object_client.h"
#include "support/http.h"
#include "support/process.h"

#include <curl/curl.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define HOSTS 3
#define KEY "bench-key"
#define FIRST_TOKEN_CALLS 400
#define CONFIG_CHANGES 60
#define FAST_STREAMS 64
#define FAST_ROUNDS 6
#define SLOW_STREAMS 200
#define FAST_TOKENS "4000"
#define SLOW_TOKENS "250"
#define READY_TIMEOUT_MS 10000

static struct test_process *hosts[HOSTS];
static struct test_process *platform;
static struct test_process *engine;
static struct test_process *second_engine;
static struct test_process *slow_engine;
static struct ds_object_client *object_client;

static double
now_ms (void)
{
  return (double)g_get_monotonic_time () / 1000.0;
}

static void
print_metric (const char *name, double value, const char *unit)
{
  printf ("metric %s %.6g %s\n", name, value, unit);
  (void)fflush (stdout);
}

static gint
compare_doubles (gconstpointer a, gconstpointer b)
{
  double first = *(const double *)a;
  double second = *(const double *)b;

  return first < second ? -1 : first > second;
}

static double
percentile (GArray *values, double fraction)
{
  guint index;

  g_array_sort (values, compare_doubles);
  index = (guint)((double)(values->len - 1) * fraction + 0.5);
  return g_array_index (values, double, index);
}

static void
require (bool condition, const char *what)
{
  if (condition)
    return;
  (void)fprintf (stderr, "bench_path: %s\n", what);
  exit (EXIT_FAILURE);
}

/* System under test.  */

static uint64_t
put_object (const char *text, uint64_t version)
{
  struct ds_error error = DS_ERROR_NONE;
  json_t *object = json_loads (text, 0, NULL);
  json_t *written = NULL;
  int result;

  require (object != NULL, text);
  result = ds_object_client_put (&written, object_client, object, version,
                                 &error);
  require (result == 0, error.message);
  version = ds_object_get_version (written);
  json_decref (written);
  json_decref (object);
  return version;
}

static uint64_t put_object_format (uint64_t version, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

static uint64_t
put_object_format (uint64_t version, const char *format, ...)
{
  va_list arguments;
  char *text;

  va_start (arguments, format);
  text = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  version = put_object (text, version);
  g_free (text);
  return version;
}

static uint64_t
put_upstream (uint64_t version, const char *name,
              const struct test_process *process, const char *offering,
              const char *state, int max_in_flight)
{
  return put_object_format (
      version,
      "{\"kind\":\"Upstream\",\"name\":\"%s\",\"spec\":{\"address\":\"%s\","
      "\"zone\":\"zone-1\",\"offerings\":[\"%s\"],\"state\":\"%s\","
      "\"max_in_flight\":%d}}",
      name, process->address, offering, state, max_in_flight);
}

static uint64_t
put_budget (uint64_t version, uint64_t prepaid)
{
  return put_object_format (
      version,
      "{\"kind\":\"Budget\",\"name\":\"budget\",\"spec\":{"
      "\"prepaid\":%" PRIu64 ",\"draw_percent\":20}}",
      prepaid);
}

static void
put_offering (const char *name)
{
  (void)put_object_format (0,
                           "{\"kind\":\"Offering\",\"name\":\"%s\",\"spec\":{"
                           "\"type\":\"model\",\"model\":\"m\","
                           "\"max_output_tokens\":4096,\"repeatable\":true}}",
                           name);
}

static char *
host_address (int host, int port)
{
  return g_strdup_printf ("127.4.1.%d:%d", host + 1, port);
}

static void
start_standin (struct test_process **out, const char *name,
               const char *program, const char *address, const char *token_ms)
{
  const char *arguments[] = { "--address",
                              address,
                              token_ms != NULL ? "--token-ms" : NULL,
                              token_ms,
                              "--default-output",
                              "4096",
                              NULL };

  require (test_standin_start (out, name, program, arguments) == 0, name);
}

static void
start_host (int index)
{
  char *path;
  char *name = g_strdup_printf ("host-%d", index + 1);
  char *file = g_strdup_printf ("%s.json", name);
  char *text = g_strdup_printf (
      "{\"host\":\"%s\",\"zone\":\"zone-%d\",\"worker_threads\":1,"
      "\"caller_address\":\"127.4.1.%d:18080\","
      "\"operator_address\":\"127.4.1.%d:18081\","
      "\"peer_address\":\"127.4.1.%d:18082\","
      "\"platform\":{\"url\":\"http://%s\"}}",
      name, index + 1, index + 1, index + 1, index + 1, platform->address);

  path = test_file_write (file, text);
  {
    const char *arguments[] = { "serve", "--config", path, NULL };

    require (test_process_start (&hosts[index], name,
                                 DS_BUILD_DIR "/daisystep", arguments)
                 == 0,
             name);
  }
  talloc_free (path);
  g_free (text);
  g_free (file);
  g_free (name);
}

static void
wait_ready (int host)
{
  char *address = host_address (host, 18081);
  double end = now_ms () + READY_TIMEOUT_MS;
  long status = 0;

  while (status != 200 && now_ms () < end)
    {
      struct test_http_call call = { .address = address, .path = "/healthz" };
      struct test_http_response *reply = test_http (&call);

      status = reply->status;
      talloc_free (reply);
      g_usleep (20000);
    }
  require (status == 200, "host did not become ready within 10 s");
  g_free (address);
}

static void
put_resources (void)
{
  char *sha = g_compute_checksum_for_string (G_CHECKSUM_SHA256, KEY, -1);

  (void)put_budget (0, 1000000000000);
  put_offering ("fast");
  put_offering ("slow");
  put_offering ("drained");
  (void)put_object_format (
      0,
      "{\"kind\":\"Workspace\",\"name\":\"bench\",\"spec\":{"
      "\"budget\":\"budget\",\"priority\":5,\"offerings\":["
      "\"fast\",\"slow\",\"drained\"],\"key_sha256\":[\"%s\"]}}",
      sha);
  (void)put_upstream (0, "fast-1", engine, "fast", "active", 1024);
  (void)put_upstream (0, "slow-1", slow_engine, "slow", "active", 1024);
  g_free (sha);
}

static void
start_all (void)
{
  struct ds_object_client_options options = DS_OBJECT_CLIENT_OPTIONS_DEFAULT;
  struct ds_error error = DS_ERROR_NONE;
  const char *arguments[] = { "--address", "127.4.0.9:0", NULL };
  char *url;

  require (test_standin_start (&platform, "platform",
                               TEST_STANDIN ("object_api"), arguments)
               == 0,
           "platform stand-in did not start");
  start_standin (&engine, "engine", TEST_STANDIN ("engine"), "127.4.0.10:0",
                 "0");
  start_standin (&second_engine, "second", TEST_STANDIN ("engine"),
                 "127.4.0.12:0", "0");
  start_standin (&slow_engine, "slow", TEST_STANDIN ("engine"), "127.4.0.11:0",
                 "20");
  url = g_strdup_printf ("http://%s", platform->address);
  options.url = url;
  require (ds_object_client_new (&object_client, NULL, &options, &error) == 0,
           error.message);
  g_free (url);
  put_resources ();
  for (int i = 0; i < HOSTS; i++)
    start_host (i);
  for (int i = 0; i < HOSTS; i++)
    wait_ready (i);
}

/* Streams.  */

struct stream
{
  CURL *curl;
  double started_ms;
  double first_byte_ms;
  uint64_t tokens;
  bool is_done;
  char tail[16];
  char *url;
  char *body;
};

/* Looks for the end marker in the last bytes; it may span chunks.  */
static void
detect_stream_end (struct stream *stream, const char *data, size_t length)
{
  size_t taken = MIN (length, sizeof stream->tail);

  memmove (stream->tail, stream->tail + taken, sizeof stream->tail - taken);
  memcpy (stream->tail + sizeof stream->tail - taken, data + length - taken,
          taken);
  stream->is_done
      = memmem (stream->tail, sizeof stream->tail, "[DONE]", 6) != NULL;
}

static size_t
handle_stream_body (char *data, size_t size, size_t count, void *context)
{
  struct stream *stream = context;
  size_t length = size * count;
  const char *at = data;

  if (stream->first_byte_ms == 0)
    stream->first_byte_ms = now_ms ();
  while ((at = memmem (at, length - (size_t)(at - data), "\"content\"", 9))
         != NULL)
    {
      stream->tokens++;
      at += 9;
    }
  detect_stream_end (stream, data, length);
  return length;
}

static struct curl_slist *
stream_headers (void)
{
  struct curl_slist *headers
      = curl_slist_append (NULL, "Authorization: Bearer " KEY);

  return curl_slist_append (headers, "Expect:");
}

static void
stream_init (struct stream *stream, const char *address, const char *model,
             const char *tokens, struct curl_slist *headers)
{
  *stream = (struct stream){ .curl = curl_easy_init () };
  stream->url = g_strdup_printf ("http://%s/v1/chat/completions", address);
  stream->body = g_strdup_printf (
      "{\"model\":\"%s\",\"stream\":true,\"max_tokens\":%s,\"messages\":["
      "{\"role\":\"user\",\"content\":\"How long does the lock take?\"}]}",
      model, tokens);
  curl_easy_setopt (stream->curl, CURLOPT_URL, stream->url);
  curl_easy_setopt (stream->curl, CURLOPT_POSTFIELDS, stream->body);
  curl_easy_setopt (stream->curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (stream->curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (stream->curl, CURLOPT_TIMEOUT_MS, 60000L);
  curl_easy_setopt (stream->curl, CURLOPT_WRITEFUNCTION, handle_stream_body);
  curl_easy_setopt (stream->curl, CURLOPT_WRITEDATA, stream);
}

static void
stream_clear (struct stream *stream)
{
  curl_easy_cleanup (stream->curl);
  g_free (stream->url);
  g_free (stream->body);
}

/* Makes one call and returns the milliseconds to its first byte.  */
static double
call_once (struct stream *stream)
{
  stream->first_byte_ms = 0;
  stream->is_done = false;
  stream->started_ms = now_ms ();
  require (curl_easy_perform (stream->curl) == CURLE_OK && stream->is_done,
           "call failed or its stream ended without [DONE]");
  return stream->first_byte_ms - stream->started_ms;
}

static void
measure_first_token (struct curl_slist *headers)
{
  GArray *direct = g_array_new (FALSE, FALSE, sizeof (double));
  GArray *relayed = g_array_new (FALSE, FALSE, sizeof (double));
  char *address = host_address (0, 18080);
  struct stream streams[2];

  stream_init (&streams[0], engine->address, "fast", "8", headers);
  stream_init (&streams[1], address, "fast", "8", headers);
  for (int i = -40; i < FIRST_TOKEN_CALLS; i++)
    {
      double first = call_once (&streams[0]);
      double second = call_once (&streams[1]);

      if (i < 0)
        continue;
      g_array_append_val (direct, first);
      g_array_append_val (relayed, second);
    }
  print_metric ("direct_first_token_ms_p50", percentile (direct, 0.5), "ms");
  print_metric ("direct_first_token_ms_p99", percentile (direct, 0.99), "ms");
  print_metric ("added_first_token_ms_p50",
                percentile (relayed, 0.5) - percentile (direct, 0.5), "ms");
  print_metric ("added_first_token_ms_p99",
                percentile (relayed, 0.99) - percentile (direct, 0.99), "ms");
  stream_clear (&streams[0]);
  stream_clear (&streams[1]);
  g_array_free (direct, TRUE);
  g_array_free (relayed, TRUE);
  g_free (address);
}

static double
cpu_seconds (const struct test_process *process)
{
  char *path = g_strdup_printf ("/proc/%d/stat", process->pid);
  char *text = NULL;
  unsigned long user = 0;
  unsigned long system = 0;

  require (g_file_get_contents (path, &text, NULL, NULL), path);
  (void)sscanf (strrchr (text, ')') + 2,
                "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user,
                &system);
  g_free (text);
  g_free (path);
  return (double)(user + system) / (double)sysconf (_SC_CLK_TCK);
}

static double
rss_bytes (const struct test_process *process)
{
  char *path = g_strdup_printf ("/proc/%d/statm", process->pid);
  char *text = NULL;
  unsigned long pages = 0;

  require (g_file_get_contents (path, &text, NULL, NULL), path);
  (void)sscanf (text, "%*u %lu", &pages);
  g_free (text);
  g_free (path);
  return (double)pages * (double)sysconf (_SC_PAGESIZE);
}

/* Runs COUNT concurrent streams and returns the number of tokens received.
   MID_RUN_RSS, if not null, is set to the resident bytes of the first host
   2.5 s after the start.  */
static uint64_t
run_streams (int count, const char *model, const char *tokens,
             struct curl_slist *headers, double *mid_run_rss)
{
  struct stream *streams = g_new0 (struct stream, count);
  CURLM *multi = curl_multi_init ();
  char *address = host_address (0, 18080);
  double started = now_ms ();
  uint64_t sum = 0;
  int running = 1;

  for (int i = 0; i < count; i++)
    {
      stream_init (&streams[i], address, model, tokens, headers);
      curl_multi_add_handle (multi, streams[i].curl);
    }
  while (running > 0)
    {
      curl_multi_perform (multi, &running);
      curl_multi_poll (multi, NULL, 0, 100, NULL);
      if (mid_run_rss != NULL && *mid_run_rss == 0
          && now_ms () - started > 2500)
        *mid_run_rss = rss_bytes (hosts[0]);
    }
  for (int i = 0; i < count; i++)
    {
      require (streams[i].is_done, "stream ended without [DONE]");
      sum += streams[i].tokens;
      curl_multi_remove_handle (multi, streams[i].curl);
      stream_clear (&streams[i]);
    }
  curl_multi_cleanup (multi);
  g_free (streams);
  g_free (address);
  return sum;
}

static int64_t
platform_calls (void)
{
  json_t *stats = test_get_json (platform->address, "/standin/stats");
  int64_t calls;

  require (stats != NULL,
           "no valid response of the platform to GET /standin/stats");
  calls = json_integer_value (json_object_get (stats, "reads"))
          + json_integer_value (json_object_get (stats, "writes"))
          + json_integer_value (json_object_get (stats, "watches"));
  json_decref (stats);
  return calls;
}

static void
report_platform_calls (const char *name, int64_t calls, double ms)
{
  print_metric (name, (double)calls / (ms / 1000.0) / HOSTS, "calls/s");
}

static void
measure_streams (struct curl_slist *headers)
{
  uint64_t tokens = 0;
  double cpu;
  double started;
  double idle_rss;
  double loaded_rss = 0;
  int64_t calls;

  (void)run_streams (FAST_STREAMS, "fast", "100", headers, NULL);
  started = now_ms ();
  cpu = cpu_seconds (hosts[0]);
  for (int i = 0; i < FAST_ROUNDS; i++)
    tokens += run_streams (FAST_STREAMS, "fast", FAST_TOKENS, headers, NULL);
  cpu = cpu_seconds (hosts[0]) - cpu;
  print_metric ("relayed_tokens_per_s",
                (double)tokens * 1000 / (now_ms () - started), "tokens/s");
  print_metric ("relayed_tokens_per_s_per_core", (double)tokens / cpu,
                "tokens/s");

  (void)run_streams (8, "slow", "5", headers, NULL);
  idle_rss = rss_bytes (hosts[0]);
  started = now_ms ();
  calls = platform_calls ();
  cpu = cpu_seconds (hosts[0]);
  tokens
      = run_streams (SLOW_STREAMS, "slow", SLOW_TOKENS, headers, &loaded_rss);
  cpu = cpu_seconds (hosts[0]) - cpu;
  print_metric ("relayed_tokens_per_s_per_core_paced", (double)tokens / cpu,
                "tokens/s");
  print_metric ("stream_memory_bytes", (loaded_rss - idle_rss) / SLOW_STREAMS,
                "bytes");
  report_platform_calls ("platform_calls_per_s_per_host_load",
                         platform_calls () - calls, now_ms () - started);
}

static uint64_t
version_in_force (int host)
{
  char *address = host_address (host, 18081);
  json_t *dump = test_get_json (address, "/v1/dump");
  uint64_t version;

  require (dump != NULL, "no valid response of a host to GET /v1/dump");
  version = (uint64_t)json_integer_value (
      json_object_get (json_object_get (dump, "catalogue"), "version"));
  json_decref (dump);
  g_free (address);
  return version;
}

static uint64_t
current_version (const char *kind, const char *name)
{
  struct ds_error error = DS_ERROR_NONE;
  json_t *object = NULL;
  uint64_t version;

  require (ds_object_client_get (&object, object_client, kind, name, &error)
               == 0,
           error.message);
  version = ds_object_get_version (object);
  json_decref (object);
  return version;
}

static void
measure_config (void)
{
  GArray *times = g_array_new (FALSE, FALSE, sizeof (double));

  for (int i = 0; i < CONFIG_CHANGES; i++)
    {
      bool is_budget = i % 2 == 0;
      uint64_t version = is_budget ? current_version ("Budget", "budget")
                                   : current_version ("Upstream", "fast-1");
      double started = now_ms ();
      double elapsed;

      version = is_budget ? put_budget (version, 1000000000000 + (uint64_t)i)
                          : put_upstream (version, "fast-1", engine, "fast",
                                          "active", 1024 + i);
      for (int host = 0; host < HOSTS; host++)
        while (version_in_force (host) < version)
          require (now_ms () - started < 10000,
                   "change not in force on all hosts within 10 s");
      elapsed = now_ms () - started;
      g_array_append_val (times, elapsed);
      g_usleep (50000);
    }
  print_metric ("config_in_force_ms_p50", percentile (times, 0.5), "ms");
  print_metric ("config_in_force_ms_p99", percentile (times, 0.99), "ms");
  g_array_free (times, TRUE);
}

static int64_t
upstream_calls (const struct test_process *process)
{
  json_t *load = test_get_json (process->address, "/v1/load");
  int64_t calls;

  require (load != NULL, "no valid response of an engine to GET /v1/load");
  calls = json_integer_value (json_object_get (load, "calls"));
  json_decref (load);
  return calls;
}

/* Measures the time from setting an upstream to leaving until the last new
   call reaches it, under continuous calls through every host.  */
static void
measure_drain (struct curl_slist *headers)
{
  struct stream streams[HOSTS];
  uint64_t version = put_upstream (0, "drained-1", second_engine, "drained",
                                   "active", 1024);
  double started;
  double last = 0;
  int64_t before;

  for (int host = 0; host < HOSTS; host++)
    {
      char *address = host_address (host, 18080);

      while (version_in_force (host) < version)
        ;
      stream_init (&streams[host], address, "drained", "4", headers);
      g_free (address);
    }
  (void)put_upstream (0, "drained-2", engine, "drained", "active", 1024);
  for (int i = 0; i < 300; i++)
    (void)call_once (&streams[i % HOSTS]);
  before = upstream_calls (second_engine);
  for (int i = 0; i < 30; i++)
    (void)call_once (&streams[i % HOSTS]);
  require (upstream_calls (second_engine) > before,
           "upstream got no calls right before it was set to leaving");
  before = upstream_calls (second_engine);
  version = current_version ("Upstream", "drained-1");
  started = now_ms ();
  (void)put_upstream (version, "drained-1", second_engine, "drained",
                      "leaving", 1024);
  while (now_ms () - started < 4000)
    for (int host = 0; host < HOSTS; host++)
      {
        int64_t calls;

        (void)call_once (&streams[host]);
        calls = upstream_calls (second_engine);
        if (calls > before)
          last = now_ms () - started;
        before = calls;
      }
  print_metric ("drain_new_work_after_ms", last, "ms");
  for (int host = 0; host < HOSTS; host++)
    stream_clear (&streams[host]);
}

static void
measure_idle (void)
{
  double started;
  int64_t calls;

  /* Lets hosts settle the preceding load and return their idle grants.  */
  g_usleep (15000000);
  started = now_ms ();
  calls = platform_calls ();
  g_usleep (10000000);
  report_platform_calls ("platform_calls_per_s_per_host_idle",
                         platform_calls () - calls, now_ms () - started);
}

int
main (void)
{
  struct curl_slist *headers = stream_headers ();

  curl_global_init (CURL_GLOBAL_DEFAULT);
  start_all ();
  measure_first_token (headers);
  measure_streams (headers);
  measure_config ();
  measure_drain (headers);
  measure_idle ();
  curl_slist_free_all (headers);
  ds_object_client_free (object_client);
  test_processes_clean_up ();
  return EXIT_SUCCESS;
}
