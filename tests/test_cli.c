#include "daisystep/str.h"

#include <check.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <inttypes.h>
#include <jansson.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#define COUNT(rows) (sizeof (rows) / sizeof (rows)[0])
#define ARGUMENTS_MAX 16
#define KEY_A                                                                 \
  "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

/* A stub of the object API on loopback, with failures that a test injects.  */
static struct
{
  struct MHD_Daemon *daemon;
  json_t *objects;
  json_int_t version;
  unsigned int writes;
  /* Another operator writes CONCURRENT_OBJECT before the write with this
     number, counted from 1.  */
  unsigned int concurrent_write_at;
  json_t *concurrent_object;
  /* The write with this number takes effect, but its response is lost.  */
  unsigned int lost_response_at;
  /* The next watch fails because its version is too old.  */
  bool expire_watch;
  char url[64];
  char authorization[64];
  char body[8192];
  size_t body_length;
} fake_api;

/* Exit status and output of one run of the program.  */
struct run
{
  int status;
  char *output;
  char *errors;
};

static char *temp_dir;

static json_t *
find_object (const char *kind, const char *name, size_t *index_out)
{
  json_t *object;
  size_t index;

  json_array_foreach (fake_api.objects, index, object)
  {
    if (strcmp (json_string_value (json_object_get (object, "kind")), kind)
            == 0
        && strcmp (json_string_value (json_object_get (object, "name")), name)
               == 0)
      {
        *index_out = index;
        return object;
      }
  }
  return NULL;
}

/* Stores a copy of OBJECT with the next version and returns the copy.  */
static json_t *
store_object (json_t *object)
{
  size_t index;
  json_t *copy = json_deep_copy (object);

  json_object_set_new (copy, "version", json_integer (++fake_api.version));
  if (find_object (json_string_value (json_object_get (copy, "kind")),
                   json_string_value (json_object_get (copy, "name")), &index)
      != NULL)
    json_array_remove (fake_api.objects, index);
  json_array_append_new (fake_api.objects, copy);
  return copy;
}

static void
store_text (const char *text)
{
  json_t *object = json_loads (text, 0, NULL);

  ck_assert_ptr_nonnull (object);
  store_object (object);
  json_decref (object);
}

static enum MHD_Result
reply_json (struct MHD_Connection *connection, unsigned int status,
            json_t *json)
{
  char *text = json != NULL ? json_dumps (json, 0) : strdup ("");
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), text, MHD_RESPMEM_MUST_FREE);
  enum MHD_Result result = MHD_queue_response (connection, status, response);

  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
reply_list (struct MHD_Connection *connection, const char *kind,
            const char *member, bool as_events)
{
  json_t *list
      = json_pack ("{s:I, s:[]}", "version", fake_api.version, member);
  json_t *object;
  size_t index;
  enum MHD_Result result;

  json_array_foreach (fake_api.objects, index, object)
  {
    if (strcmp (json_string_value (json_object_get (object, "kind")), kind)
        == 0)
      json_array_append_new (
          json_object_get (list, member),
          as_events ? json_pack ("{s:s, s:O}", "type", "put", "object", object)
                    : json_incref (object));
  }
  result = reply_json (connection, MHD_HTTP_OK, list);
  json_decref (list);
  return result;
}

static bool
precondition_holds (struct MHD_Connection *connection, const json_t *existing)
{
  const char *match
      = MHD_lookup_connection_value (connection, MHD_HEADER_KIND, "If-Match");
  char expected[32];

  if (existing == NULL || match == NULL)
    return existing == NULL && match == NULL;
  (void)snprintf (expected, sizeof expected, "\"%" JSON_INTEGER_FORMAT "\"",
                  json_integer_value (json_object_get (existing, "version")));
  return strcmp (match, expected) == 0;
}

static enum MHD_Result
write_object (struct MHD_Connection *connection, const char *method,
              const char *kind, const char *name)
{
  json_t *existing;
  json_t *object = json_loadb (fake_api.body, fake_api.body_length, 0, NULL);
  size_t index = 0;

  if (++fake_api.writes == fake_api.concurrent_write_at)
    store_object (fake_api.concurrent_object);
  existing = find_object (kind, name, &index);
  if (!precondition_holds (connection, existing))
    {
      json_decref (object);
      return reply_json (connection, MHD_HTTP_PRECONDITION_FAILED, existing);
    }
  if (strcmp (method, "DELETE") == 0)
    {
      fake_api.version++;
      json_array_remove (fake_api.objects, index);
      existing = NULL;
    }
  else
    existing = store_object (object);
  json_decref (object);
  if (fake_api.writes == fake_api.lost_response_at)
    return MHD_NO;
  return reply_json (connection, MHD_HTTP_OK, existing);
}

static enum MHD_Result
handle (void *context, struct MHD_Connection *connection, const char *url,
        const char *method, const char *version, const char *data,
        size_t *length, void **state)
{
  const char *authorization;
  char kind[32] = "";
  char name[80] = "";
  size_t index;
  json_t *object;

  (void)context;
  (void)version;
  if (*state == NULL)
    {
      fake_api.body_length = 0;
      *state = &fake_api;
      return MHD_YES;
    }
  if (*length > 0)
    {
      memcpy (fake_api.body + fake_api.body_length, data, *length);
      fake_api.body_length += *length;
      *length = 0;
      return MHD_YES;
    }
  authorization = MHD_lookup_connection_value (connection, MHD_HEADER_KIND,
                                               "Authorization");
  (void)snprintf (fake_api.authorization, sizeof fake_api.authorization, "%s",
                  authorization != NULL ? authorization : "");
  if (strcmp (url, "/v1/dump") == 0)
    return reply_json (connection, MHD_HTTP_OK, fake_api.objects);
  (void)sscanf (url, "/v1/objects/%31[^/]/%79s", kind, name);
  if (strcmp (method, "GET") != 0)
    return write_object (connection, method, kind, name);
  if (MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, "watch")
      != NULL)
    {
      if (!fake_api.expire_watch)
        return reply_list (connection, kind, "events", true);
      fake_api.expire_watch = false;
      store_object (fake_api.concurrent_object);
      return reply_json (connection, MHD_HTTP_GONE, NULL);
    }
  if (name[0] == '\0')
    return reply_list (connection, kind, "items", false);
  object = find_object (kind, name, &index);
  return reply_json (
      connection, object != NULL ? MHD_HTTP_OK : MHD_HTTP_NOT_FOUND, object);
}

static void
set_up (void)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };

  temp_dir = g_dir_make_tmp ("daisystep-cli-XXXXXX", NULL);
  fake_api.objects = json_array ();
  fake_api.daemon = MHD_start_daemon (MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL,
                                      NULL, handle, NULL, MHD_OPTION_SOCK_ADDR,
                                      &address, MHD_OPTION_END);
  ck_assert_ptr_nonnull (fake_api.daemon);
  (void)snprintf (
      fake_api.url, sizeof fake_api.url, "http://127.0.0.1:%u",
      MHD_get_daemon_info (fake_api.daemon, MHD_DAEMON_INFO_BIND_PORT)->port);
}

static void
tear_down (void)
{
  GDir *entries = g_dir_open (temp_dir, 0, NULL);
  const char *name;

  MHD_stop_daemon (fake_api.daemon);
  json_decref (fake_api.objects);
  json_decref (fake_api.concurrent_object);
  while ((name = g_dir_read_name (entries)) != NULL)
    {
      char *path = g_build_filename (temp_dir, name, NULL);

      (void)g_unlink (path);
      g_free (path);
    }
  g_dir_close (entries);
  (void)g_rmdir (temp_dir);
  g_free (temp_dir);
}

/* Writes TEXT to NAME in the temporary directory and returns the path.  */
static char *
write_temp_file (const char *name, const char *text)
{
  char *path = g_build_filename (temp_dir, name, NULL);

  ck_assert (g_file_set_contents (path, text, -1, NULL));
  return path;
}

/* Runs the program with the null-terminated ARGUMENTS.  */
static struct run
run_daisystep (const char *const *arguments)
{
  const char *argv[ARGUMENTS_MAX + 2] = { DS_BUILD_DIR "/daisystep" };
  struct run run;
  int wait_status;

  for (size_t i = 0; i < ARGUMENTS_MAX && arguments[i] != NULL; i++)
    argv[i + 1] = arguments[i];
  ck_assert (g_spawn_sync (NULL, (char **)argv, NULL, G_SPAWN_DEFAULT, NULL,
                           NULL, &run.output, &run.errors, &wait_status,
                           NULL));
  ck_assert_msg (WIFEXITED (wait_status), "%s", run.errors);
  run.status = WEXITSTATUS (wait_status);
  return run;
}

#define RUN(...) run_daisystep ((const char *const[]){ __VA_ARGS__, NULL })
#define RESOURCES(action, ...)                                                \
  RUN ("resources", action, "--platform", fake_api.url, __VA_ARGS__)

/* Checks the status of RUN and that TEXT is in its output or errors.  Frees
   RUN.  */
static void
expect (struct run run, int status, const char *text)
{
  ck_assert_msg (run.status == status, "status %d: %s%s", run.status,
                 run.output, run.errors);
  ck_assert_msg (strstr (run.output, text) != NULL
                     || strstr (run.errors, text) != NULL,
                 "no '%s' in: %s%s", text, run.output, run.errors);
  g_free (run.output);
  g_free (run.errors);
}

static json_int_t
stored_prepaid (const char *name)
{
  size_t index;
  json_t *object = find_object ("Budget", name, &index);

  return json_integer_value (
      json_object_get (json_object_get (object, "spec"), "prepaid"));
}

static const char budgets[]
    = "[{\"kind\":\"Budget\",\"name\":\"b1\",\"spec\":{\"prepaid\":100}},\n"
      "{\"kind\":\"Budget\",\"name\":\"b2\",\"spec\":{\"prepaid\":200}},\n"
      "{\"kind\":\"Budget\",\"name\":\"b3\",\"spec\":{\"prepaid\":300}}]\n";

START_TEST (prints_help_for_every_command)
{
  expect (RUN ("--help"), 0, "resources");
  expect (RUN ("check", "--help"), 0, "Exit status: 0 success");
  expect (RUN ("serve", "--help"), 0, "--config");
  expect (RUN ("version", "--help"), 0, "Prints the version");
  expect (RUN ("dump", "--help"), 0, "--address");
  expect (RUN ("resources", "--help"), 0, "delete");
  expect (RUN ("resources", "apply", "--help"), 0, "--dry-run");
  expect (RUN ("resources", "get", "--help"), 0, "--workspace");
  expect (RUN ("resources", "watch", "--help"), 0, "--events");
  expect (RUN ("resources", "delete", "--help"), 0, "KIND");
}
END_TEST

START_TEST (rejects_invalid_command_lines)
{
  expect (RUN ("check"), 2, "--settings or --resources");
  expect (RUN ("check", "--colour"), 2, "--colour");
  expect (RUN ("dump"), 2, "--address");
  expect (RUN ("dump", "--address", "here"), 2, "IP:PORT");
  expect (RUN ("resources"), 2, "apply");
  expect (RUN ("resources", "paint"), 2, "paint");
  expect (RUN ("resources", "get", "Budget"), 2, "--platform");
  expect (RUN ("resources", "get", "Budget", "--platform", "127.0.0.1:1"), 2,
          "http://IP:PORT");
  expect (RESOURCES ("get", "Budget", "--timeout-ms", "0"), 2, "1..300000");
  expect (RESOURCES ("get", "Budget", "--workspace", "a"), 2, "bills");
  expect (RESOURCES ("watch", "Budget", "--events", "0"), 2, "--events");
  expect (RESOURCES ("apply", "--dry-run"), 2, "PATH");
}
END_TEST

/* Guards against a check that stops at the first problem or reports the line
   of another one.  */
START_TEST (check_prints_every_fault_with_its_line)
{
  char *settings
      = write_temp_file ("s.json", "{\"host\":\"a\",\n\"zone\":\"Z\",\n"
                                   "\"platform\":{\n\"url\":5}}");
  char *resources = write_temp_file (
      "r.json", "[{\"kind\":\"Budget\",\"name\":\"b\","
                "\"spec\":{\"prepaid\":[{\"a\":\"]\"}]}},\n"
                " {\"kind\":\"Upstream\",\"name\":\"u\",\"spec\":{\n"
                "  \"zone\":\"z\",\n"
                "  \"offerings\":[\"chat\",\n  \"No\"],\n"
                "  \"address\":\"127.0.0.1:1\"}}]");
  struct run run
      = RUN ("check", "--settings", settings, "--resources", resources);
  static const char *const lines[] = {
    "s.json:2: zone: value \"Z\"",
    "s.json:4: platform.url: value 5",
    "s.json:1: caller_address: required",
    "r.json:1: Budget/b: spec.prepaid: value",
    "r.json:5: Upstream/u: spec.offerings[1]: value \"No\"",
  };

  for (size_t i = 0; i < COUNT (lines); i++)
    ck_assert_msg (strstr (run.output, lines[i]) != NULL, "no %s in\n%s",
                   lines[i], run.output);
  expect (run, 1, "");
  run = RUN ("check", "--json", "--settings", settings);
  ck_assert_ptr_nonnull (strstr (run.output, "\"line\":4"));
  expect (run, 1, "\"field\":\"platform.url\"");
  expect (RUN ("check", "--settings", "/tmp/daisystep-absent"), 3, "absent");
  g_free (settings);
  g_free (resources);
}
END_TEST

START_TEST (check_validates_references_across_files)
{
  char *one = write_temp_file (
      "a.json", "{\"kind\":\"Workspace\",\"name\":\"w\",\n\"spec\":{\n"
                "\"budget\":\"b1\",\"key_sha256\":[],\"offerings\":[]}}");

  expect (RUN ("check", "--resources", one), 1,
          "a.json:3: Workspace/w: spec.budget: value \"b1\" names no Budget");
  g_free (write_temp_file ("b.json", budgets));
  expect (RUN ("check", "--resources", temp_dir), 0, "");
  g_free (write_temp_file ("c.json", budgets));
  expect (RUN ("check", "--resources", temp_dir), 1,
          "c.json:3: Budget/b3: name: value \"b3\" is declared in");
  g_free (one);
}
END_TEST

/* The examples that operators start from are valid.  */
START_TEST (check_accepts_the_examples)
{
  expect (RUN ("check", "--settings", DS_SOURCE_DIR "/examples/settings.json",
               "--resources", DS_SOURCE_DIR "/examples/treidelstall"),
          0, "");
  expect (RUN ("check", "--resources", DS_SOURCE_DIR "/examples/consorzio"), 0,
          "");
}
END_TEST

START_TEST (dump_prints_the_state)
{
  expect (RUN ("dump", "--address", fake_api.url + strlen ("http://")), 0,
          "[]");
  expect (RUN ("dump", "--address", "127.0.0.1:1"), 3, "connect");
}
END_TEST

START_TEST (apply_writes_only_changed_objects)
{
  char *path = write_temp_file ("b.json", budgets);

  store_text ("{\"kind\":\"Budget\",\"name\":\"b1\",\"spec\":{\"prepaid\":"
              "100}}");
  store_text ("{\"kind\":\"Budget\",\"name\":\"b2\",\"spec\":{\"prepaid\":"
              "150},\"status\":{\"pending\":true}}");
  expect (RESOURCES ("apply", "--dry-run", path), 0,
          "Budget/b2: would update\n  spec.prepaid: 150 -> 200\n");
  ck_assert_uint_eq (fake_api.writes, 0);
  expect (RESOURCES ("apply", "--token", "secret", path), 0,
          "Budget/b1: unchanged\n"
          "Budget/b2: update, written as version 3\n"
          "  spec.prepaid: 150 -> 200\n"
          "Budget/b3: create, written as version 4\n");
  ck_assert_str_eq (fake_api.authorization, "Bearer secret");
  ck_assert_uint_eq (fake_api.writes, 2);
  ck_assert_int_eq (stored_prepaid ("b2"), 200);
  /* The status, which only the system sets, is kept.  */
  expect (RESOURCES ("get", "Budget", "b2"), 0, "\"pending\": true");
  expect (RESOURCES ("apply", "--json", path), 0, "\"outcome\":\"unchanged\"");
  g_free (path);
}
END_TEST

/* Nothing is written if one of the documents is invalid.  */
START_TEST (apply_validates_all_files_before_writing)
{
  char *good = write_temp_file ("a.json", budgets);
  char *bad
      = write_temp_file ("b.json", "{\"kind\":\"Budget\",\"name\":\"b9\","
                                   "\"spec\":{\"prepaid\":-1}}");
  char *lost = write_temp_file ("c.json",
                                "{\"kind\":\"Workspace\",\"name\":\"w\","
                                "\"spec\":{\"budget\":\"b7\",\"key_sha256\":["
                                "\"" KEY_A "\"],\"offerings\":[]}}");

  expect (RESOURCES ("apply", good, bad), 1, "spec.prepaid: value -1");
  expect (RESOURCES ("apply", good, lost), 1, "\"b7\" names no Budget");
  ck_assert_uint_eq (fake_api.writes, 0);
  /* Objects that are already in the platform are checked too.  */
  store_text ("{\"kind\":\"Budget\",\"name\":\"b7\",\"spec\":{\"prepaid\":"
              "1}}");
  store_text ("{\"kind\":\"Workspace\",\"name\":\"old\",\"spec\":{\"budget\":"
              "\"b7\",\"key_sha256\":[\"" KEY_A "\"],\"offerings\":[]}}");
  expect (RESOURCES ("apply", good, lost), 1, "key of Workspace/old");
  ck_assert_uint_eq (fake_api.writes, 0);
  g_free (good);
  g_free (bad);
  g_free (lost);
}
END_TEST

/* Guards against an update that overwrites one of another operator, and
   against output that does not tell which objects were written.  */
START_TEST (apply_reports_the_change_of_another_operator)
{
  char *path = write_temp_file ("b.json", budgets);
  struct run run;

  store_text ("{\"kind\":\"Budget\",\"name\":\"b2\",\"spec\":{\"prepaid\":"
              "150}}");
  fake_api.concurrent_object
      = json_loads ("{\"kind\":\"Budget\",\"name\":\"b2\",\"spec\":{"
                    "\"prepaid\":170}}",
                    0, NULL);
  fake_api.concurrent_write_at = 2;
  run = RESOURCES ("apply", path);
  ck_assert_ptr_nonnull (strstr (run.output, "Budget/b1: create, written"));
  ck_assert_ptr_nonnull (strstr (run.output, "Budget/b3: not written\n"));
  expect (run, 1,
          "Budget/b2: conflict: another operator wrote version 3\n"
          "  spec.prepaid: 150 -> 170\n");
  ck_assert_int_eq (stored_prepaid ("b2"), 170);
  g_free (path);
}
END_TEST

/* A change of the status alone is not a conflict between operators.  */
START_TEST (apply_retries_after_a_status_only_change)
{
  char *path = write_temp_file ("b.json", budgets);

  store_text ("{\"kind\":\"Budget\",\"name\":\"b1\",\"spec\":{\"prepaid\":"
              "50}}");
  fake_api.concurrent_object
      = json_loads ("{\"kind\":\"Budget\",\"name\":\"b1\",\"spec\":{"
                    "\"prepaid\":50},\"status\":{\"pending\":false}}",
                    0, NULL);
  fake_api.concurrent_write_at = 1;
  expect (RESOURCES ("apply", path), 0, "Budget/b1: update, written");
  ck_assert_int_eq (stored_prepaid ("b1"), 100);
  expect (RESOURCES ("get", "Budget", "b1"), 0, "\"pending\": false");
  g_free (path);
}
END_TEST

/* The response to a write is lost after the write took effect, which reading
   the object back shows.  */
START_TEST (apply_and_delete_recover_from_a_lost_response)
{
  char *path = write_temp_file ("b.json", budgets);

  fake_api.lost_response_at = 2;
  expect (RESOURCES ("apply", path), 0,
          "Budget/b2: create, written as version 2\n");
  ck_assert_uint_eq (fake_api.writes, 3);
  fake_api.lost_response_at = 4;
  expect (RESOURCES ("delete", "Budget", "b2"), 0, "Budget/b2: deleted");
  ck_assert_uint_eq (fake_api.writes, 4);
  expect (RESOURCES ("get", "Budget", "b2"), 1, "404");
  g_free (path);
}
END_TEST

/* Guards against a document that was edited from an older version and reverts
   later changes.  */
START_TEST (apply_rejects_a_file_based_on_an_older_version)
{
  char *path = write_temp_file (
      "b.json", "{\"kind\":\"Budget\",\"name\":\"b1\",\"version\":1,"
                "\"spec\":{\"prepaid\":5}}");

  store_text ("{\"kind\":\"Budget\",\"name\":\"b1\",\"spec\":{\"prepaid\":"
              "7}}");
  store_text ("{\"kind\":\"Budget\",\"name\":\"b1\",\"spec\":{\"prepaid\":"
              "8}}");
  expect (RESOURCES ("apply", path), 1,
          "edited from version 1, but version 2 is present with\n"
          "  spec.prepaid: 5 -> 8\n");
  ck_assert_uint_eq (fake_api.writes, 0);
  g_free (path);
}
END_TEST

START_TEST (delete_keeps_an_object_changed_by_another_operator)
{
  store_text ("{\"kind\":\"Budget\",\"name\":\"b1\",\"spec\":{\"prepaid\":"
              "7}}");
  fake_api.concurrent_object
      = json_loads ("{\"kind\":\"Budget\",\"name\":\"b1\",\"spec\":{"
                    "\"prepaid\":9}}",
                    0, NULL);
  fake_api.concurrent_write_at = 1;
  expect (RESOURCES ("delete", "Budget", "b1"), 1, "spec.prepaid: 7 -> 9");
  ck_assert_int_eq (stored_prepaid ("b1"), 9);
  expect (RESOURCES ("delete", "Budget", "b1"), 0, "deleted");
  expect (RESOURCES ("delete", "Budget", "b1"), 1, "404");
  expect (RESOURCES ("delete", "LedgerPage", "3"), 2, "allowed: Workspace");
}
END_TEST

START_TEST (get_prints_objects)
{
  store_text ("{\"kind\":\"Budget\",\"name\":\"b1\",\"spec\":{\"prepaid\":"
              "7}}");
  expect (RESOURCES ("get", "Budget"), 0, "b1 version 1 {\"prepaid\":7}\n");
  expect (RESOURCES ("get", "--json", "Budget"), 0, "\"prepaid\": 7");
  expect (RESOURCES ("get", "Budget", "../b1"), 1, "name is not allowed");
  expect (RESOURCES ("get", "Budget?watch=1"), 1, "kind is not allowed");
  expect (RESOURCES ("get", "Budget", "--token", "a\nIf-Match: *"), 1,
          "line break");
  expect (
      RUN ("resources", "get", "Budget", "--platform", "http://127.0.0.1:1"),
      3, "connect");
}
END_TEST

#define BILL(id, workspace)                                                   \
  "{\"id\":\"" id "\",\"workspace\":\"" workspace                             \
  "\",\"budget\":\"b\",\"offering\":\"o\",\"input_tokens\":1,"                \
  "\"output_tokens\":2,\"tokens\":3,\"estimated\":false,\"incarnation\":1}"

/* Guards against a bill that is printed twice while it is both in a new
   archive and in the page, and against an archive that is left out.  */
START_TEST (get_bills_prints_each_bill_once)
{
  struct run run;

  store_text ("{\"kind\":\"LedgerPage\",\"name\":\"7\",\"spec\":{"
              "\"archived\":2,\"bills\":[" BILL ("c", "w") "]}}");
  store_text ("{\"kind\":\"LedgerPage\",\"name\":\"8\",\"spec\":{"
              "\"archived\":0,\"bills\":[" BILL ("d", "v") "]}}");
  store_text ("{\"kind\":\"BillArchive\",\"name\":\"7-0\",\"spec\":{"
              "\"bills\":[" BILL ("a", "w") "]}}");
  store_text ("{\"kind\":\"BillArchive\",\"name\":\"7-2\",\"spec\":{"
              "\"bills\":[" BILL ("c", "w") "]}}");
  expect (RESOURCES ("get", "bills"), 1, "not complete");
  store_text ("{\"kind\":\"BillArchive\",\"name\":\"7-1\",\"spec\":{"
              "\"bills\":[" BILL ("b", "w") "]}}");
  run = RESOURCES ("get", "bills");
  ck_assert_str_eq (run.output,
                    "id workspace budget offering input_tokens output_tokens "
                    "tokens\n"
                    "a w b o 1 2 3\nb w b o 1 2 3\n"
                    "c w b o 1 2 3\nd v b o 1 2 3\n");
  expect (run, 0, "");
  run = RESOURCES ("get", "--json", "bills", "--workspace", "v");
  ck_assert_ptr_null (strstr (run.output, "\"a\""));
  expect (run, 0, "\"id\":\"d\"");
}
END_TEST

START_TEST (get_budgets_prints_accounts)
{
  store_text ("{\"kind\":\"Budget\",\"name\":\"b1\",\"spec\":{\"prepaid\":"
              "100}}");
  store_text ("{\"kind\":\"Budget\",\"name\":\"b2\",\"spec\":{\"prepaid\":"
              "5}}");
  store_text ("{\"kind\":\"LedgerPage\",\"name\":\"0\",\"spec\":{"
              "\"accounts\":[{\"budget\":\"b1\",\"limit\":90,\"settled\":10,"
              "\"holders\":[{\"granted\":20},{\"granted\":5}]}]}}");
  expect (RESOURCES ("get", "budgets"), 0,
          "name prepaid limit settled granted left\n"
          "b1 100 90 10 25 55\nb2 5 0 0 0 0\n");
  expect (RESOURCES ("get", "--json", "budgets"), 0, "\"left\":55");
}
END_TEST

/* Guards against a change that is printed twice, and against changes that are
   lost when the platform no longer has the version to watch from.  */
START_TEST (watch_relists_after_its_version_expired)
{
  struct run run;
  json_t *line;

  store_text ("{\"kind\":\"Budget\",\"name\":\"b1\",\"spec\":{\"prepaid\":"
              "1}}");
  fake_api.expire_watch = true;
  fake_api.concurrent_object
      = json_loads ("{\"kind\":\"Budget\",\"name\":\"b2\",\"spec\":{"
                    "\"prepaid\":2}}",
                    0, NULL);
  run = RESOURCES ("watch", "Budget", "--events", "2");
  ck_assert_int_eq (run.status, 0);
  line = json_loads (run.output, JSON_DISABLE_EOF_CHECK, NULL);
  ck_assert_str_eq (json_string_value (json_object_get (line, "type")), "put");
  json_decref (line);
  ck_assert_ptr_nonnull (strstr (run.output, "\"b1\""));
  ck_assert_ptr_eq (strstr (run.output, "\"b1\""),
                    g_strrstr (run.output, "\"b1\""));
  expect (run, 0, "\"b2\"");
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("cli");
  TCase *test_case = tcase_create ("cli");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_set_timeout (test_case, 30);
  tcase_add_test (test_case, prints_help_for_every_command);
  tcase_add_test (test_case, rejects_invalid_command_lines);
  tcase_add_test (test_case, check_prints_every_fault_with_its_line);
  tcase_add_test (test_case, check_validates_references_across_files);
  tcase_add_test (test_case, check_accepts_the_examples);
  tcase_add_test (test_case, dump_prints_the_state);
  tcase_add_test (test_case, apply_writes_only_changed_objects);
  tcase_add_test (test_case, apply_validates_all_files_before_writing);
  tcase_add_test (test_case, apply_reports_the_change_of_another_operator);
  tcase_add_test (test_case, apply_retries_after_a_status_only_change);
  tcase_add_test (test_case, apply_and_delete_recover_from_a_lost_response);
  tcase_add_test (test_case, apply_rejects_a_file_based_on_an_older_version);
  tcase_add_test (test_case,
                  delete_keeps_an_object_changed_by_another_operator);
  tcase_add_test (test_case, get_prints_objects);
  tcase_add_test (test_case, get_bills_prints_each_bill_once);
  tcase_add_test (test_case, get_budgets_prints_accounts);
  tcase_add_test (test_case, watch_relists_after_its_version_expired);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
