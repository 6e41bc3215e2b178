#include "daisystep/metrics.h"
#include "io/event_context.h"
#include "io/http_server.h"
#include "io/platform.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define TEST_TIMEOUT_S 60
#define STEPS_MAX 16
/* Statuses of steps without a complete response.  */
#define STEP_NO_RESPONSE 0
#define STEP_TRUNCATED 1

#define OBJECT(version)                                                       \
  "{\"kind\":\"Budget\",\"name\":\"b\",\"version\":" #version                 \
  ",\"spec\":{},\"status\":{}}"

/* One response of the fake object API.  REQUEST, if not null, is the expected
   method, path and condition.  */
struct response_step
{
  const char *request;
  unsigned status;
  const char *body;
};

struct fixture
{
  struct tevent_context *ev;
  struct ds_http_server *server;
  struct ds_platform *platform;
  const struct response_step *steps;
  int step_count;
  int requests;
  char *url;
  char *log; /* changes reported by the watch */
  int lists_complete;
};

struct completion
{
  bool done;
  struct ds_platform_result result;
  char *json;
};

static void
check_request (const struct response_step *response_step,
               const struct ds_http_request *request)
{
  struct ds_str match = ds_http_request_header (request, "If-Match");
  struct ds_str none = ds_http_request_header (request, "If-None-Match");
  struct ds_str since = ds_http_request_query (request, "since");
  char *text = talloc_asprintf (
      NULL, "%.*s %.*s%s%.*s%s%.*s%s%.*s",
      DS_STR_ARG (ds_http_request_method (request)),
      DS_STR_ARG (ds_http_request_path (request)),
      match.length > 0 ? " match " : "", DS_STR_ARG (match),
      none.length > 0 ? " none " : "", DS_STR_ARG (none),
      since.length > 0 ? " since " : "", DS_STR_ARG (since));

  if (response_step->request != NULL)
    ck_assert_str_eq (text, response_step->request);
  talloc_free (text);
}

static void
handle_request (struct ds_http_request *request, void *user_data)
{
  struct fixture *f = user_data;
  const struct response_step *response_step;

  ck_assert_int_lt (f->requests, f->step_count);
  response_step = &f->steps[f->requests++];
  check_request (response_step, request);
  if (response_step->status == STEP_TRUNCATED)
    {
      ds_http_request_begin (request, 200, "application/json", NULL, 0);
      ds_http_request_write (request, DS_STR ("{\"kind\":"));
      ds_http_request_finish (request, false);
    }
  else if (response_step->status != STEP_NO_RESPONSE)
    ds_http_request_reply (request, response_step->status, "application/json",
                           NULL, 0, ds_str_from_c (response_step->body));
}

static void
setup (struct fixture *f, const struct response_step *steps, int step_count)
{
  struct ds_http_server_options server = DS_HTTP_SERVER_OPTIONS_DEFAULT;
  struct ds_platform_options options = DS_PLATFORM_OPTIONS_DEFAULT;

  *f = (struct fixture){ .ev = ds_event_context_new (NULL),
                         .steps = steps,
                         .step_count = step_count };
  f->log = talloc_strdup (f->ev, "");
  server.handler = handle_request;
  server.user_data = f;
  ck_assert_int_eq (
      ds_http_server_new (&f->server, f->ev, f->ev, &server, NULL), 0);
  f->url = talloc_asprintf (f->ev, "http://%s",
                            ds_http_server_address (f->server));
  options.url = f->url;
  options.timeout_ms = 200;
  options.watch_wait_ms = 100;
  options.backoff_min_ms = 1;
  options.backoff_max_ms = 4;
  ck_assert_int_eq (ds_platform_new (&f->platform, f->ev, f->ev, &options), 0);
}

static void
teardown (struct fixture *f)
{
  ds_platform_free (f->platform);
  ds_http_server_free (f->server);
  talloc_free (f->ev);
}

static void
store_result (const struct ds_platform_result *result, void *user_data)
{
  struct completion *completion = user_data;

  ck_assert (!completion->done);
  completion->done = true;
  completion->result = *result;
  completion->json
      = result->json != NULL ? json_dumps (result->json, 0) : NULL;
}

enum action
{
  GET,
  LIST,
  CREATE,
  UPDATE,
  DELETE
};

static struct completion
run_action (struct fixture *f, enum action action)
{
  struct completion completion = { .done = false };
  struct ds_platform_callback callback
      = { .on_done = store_result, .user_data = &completion };
  json_t *object = json_pack ("{s:{}}", "spec");
  int status = DS_EINVAL;

  switch (action)
    {
    case GET:
      status = ds_platform_get (f->platform, "Budget", "b", callback, NULL);
      break;
    case LIST:
      status = ds_platform_list (f->platform, "Budget", callback, NULL);
      break;
    case CREATE:
    case UPDATE:
      status
          = ds_platform_put (f->platform, "Budget", "b",
                             action == CREATE ? 0 : 4, object, callback, NULL);
      break;
    case DELETE:
      status
          = ds_platform_delete (f->platform, "Budget", "b", 4, callback, NULL);
      break;
    }
  json_decref (object);
  ck_assert_int_eq (status, 0);
  while (!completion.done)
    ck_assert_int_eq (tevent_loop_once (f->ev), 0);
  free (completion.json);
  return completion;
}

#define PATH "/v1/objects/Budget"

/* Guards against a write that is reported as applied or as not applied without
   proof, and against accepting the response to another call.  */
START_TEST (maps_responses_to_outcomes)
{
  static const struct
  {
    enum action action;
    struct response_step response_step;
    enum ds_platform_outcome outcome;
    uint64_t version;
  } cases[] = {
    { GET, { "GET " PATH "/b", 200, OBJECT (7) }, DS_PLATFORM_OK, 7 },
    { GET, { NULL, 404, "{}" }, DS_PLATFORM_NOT_FOUND, 0 },
    { GET, { NULL, 200, "{" }, DS_PLATFORM_UNAVAILABLE, 0 },
    { GET,
      { NULL, 200, "{\"kind\":\"Budget\",\"name\":\"c\",\"version\":1}" },
      DS_PLATFORM_UNAVAILABLE,
      1 },
    { GET, { NULL, STEP_TRUNCATED, NULL }, DS_PLATFORM_UNAVAILABLE, 0 },
    { GET, { NULL, STEP_NO_RESPONSE, NULL }, DS_PLATFORM_UNAVAILABLE, 0 },
    { LIST,
      { "GET " PATH, 200, "{\"version\":9,\"items\":[" OBJECT (7) "]}" },
      DS_PLATFORM_OK,
      9 },
    { LIST, { NULL, 200, "{\"version\":9}" }, DS_PLATFORM_UNAVAILABLE, 9 },
    { CREATE,
      { "PUT " PATH "/b none *", 201, OBJECT (8) },
      DS_PLATFORM_OK,
      8 },
    { UPDATE,
      { "PUT " PATH "/b match \"4\"", 200, OBJECT (8) },
      DS_PLATFORM_OK,
      8 },
    { UPDATE, { NULL, 412, OBJECT (6) }, DS_PLATFORM_CONFLICT, 6 },
    { CREATE, { NULL, 412, "" }, DS_PLATFORM_CONFLICT, 0 },
    { UPDATE, { NULL, 404, "{}" }, DS_PLATFORM_NOT_FOUND, 0 },
    { UPDATE, { NULL, 400, "{}" }, DS_PLATFORM_REJECTED, 0 },
    { UPDATE, { NULL, 429, "{}" }, DS_PLATFORM_UNAVAILABLE, 0 },
    { UPDATE, { NULL, 503, "{}" }, DS_PLATFORM_OUTCOME_UNKNOWN, 0 },
    { UPDATE, { NULL, 200, "{}" }, DS_PLATFORM_OUTCOME_UNKNOWN, 0 },
    { UPDATE, { NULL, STEP_TRUNCATED, NULL }, DS_PLATFORM_OUTCOME_UNKNOWN, 0 },
    { UPDATE,
      { NULL, STEP_NO_RESPONSE, NULL },
      DS_PLATFORM_OUTCOME_UNKNOWN,
      0 },
    { DELETE,
      { "DELETE " PATH "/b match \"4\"", 200, "{}" },
      DS_PLATFORM_OK,
      0 },
    { DELETE,
      { NULL, STEP_NO_RESPONSE, NULL },
      DS_PLATFORM_OUTCOME_UNKNOWN,
      0 },
  };
  struct fixture f;

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct completion completion;

      setup (&f, &cases[i].response_step, 1);
      completion = run_action (&f, cases[i].action);
      ck_assert_msg (completion.result.outcome == cases[i].outcome,
                     "case %zu: outcome %d", i, completion.result.outcome);
      ck_assert_uint_eq (completion.result.version, cases[i].version);
      ck_assert_int_eq (completion.result.error.code == 0,
                        cases[i].outcome == DS_PLATFORM_OK);
      ck_assert_int_eq (f.requests, 1);
      teardown (&f);
    }
}
END_TEST

/* Guards against an unknown outcome when the request was never sent.  */
START_TEST (reports_an_unreachable_platform)
{
  static const struct response_step steps[] = { { NULL, 200, OBJECT (7) } };
  struct fixture f;
  struct completion completion;
  int64_t errors = ds_metric_get (DS_METRIC_PLATFORM_ERRORS);

  setup (&f, steps, 1);
  ck_assert (!ds_platform_reachable (f.platform));
  completion = run_action (&f, GET);
  ck_assert_int_eq (completion.result.outcome, DS_PLATFORM_OK);
  ck_assert (ds_platform_reachable (f.platform));
  ds_http_server_free (f.server);
  f.server = NULL;
  completion = run_action (&f, UPDATE);
  ck_assert_int_eq (completion.result.outcome, DS_PLATFORM_UNAVAILABLE);
  ck_assert_uint_eq (completion.result.status, 0);
  ck_assert (!ds_platform_reachable (f.platform));
  ck_assert_int_eq (ds_metric_get (DS_METRIC_PLATFORM_ERRORS), errors + 1);
  teardown (&f);
}
END_TEST

START_TEST (counts_calls_and_bytes)
{
  static const struct response_step steps[]
      = { { NULL, 200, OBJECT (7) }, { NULL, 412, OBJECT (7) } };
  static const enum ds_metric metrics[] = {
    DS_METRIC_PLATFORM_READS,          DS_METRIC_PLATFORM_WRITES,
    DS_METRIC_PLATFORM_CONFLICTS,      DS_METRIC_PLATFORM_ERRORS,
    DS_METRIC_PLATFORM_BYTES_RECEIVED, DS_METRIC_PLATFORM_BYTES_SENT,
  };
  const int64_t expected[]
      = { 1, 1, 1, 0, 2 * strlen (OBJECT (7)), strlen ("{\"spec\":{}}") };
  int64_t before[6];
  struct fixture f;

  for (int i = 0; i < 6; i++)
    before[i] = ds_metric_get (metrics[i]);
  setup (&f, steps, 2);
  (void)run_action (&f, GET);
  (void)run_action (&f, UPDATE);
  for (int i = 0; i < 6; i++)
    ck_assert_int_eq (ds_metric_get (metrics[i]) - before[i], expected[i]);
  teardown (&f);
}
END_TEST

static void
log_change (enum ds_platform_change change, const char *name, uint64_t version,
            json_t *object, void *user_data)
{
  struct fixture *f = user_data;

  ck_assert_str_eq (json_string_value (json_object_get (object, "name")),
                    name);
  f->log = talloc_asprintf_append (
      f->log, "%s%s@%llu ", change == DS_PLATFORM_CHANGE_DELETE ? "-" : "+",
      name, (unsigned long long)version);
}

static void
log_complete (uint64_t version, void *user_data)
{
  struct fixture *f = user_data;

  f->lists_complete++;
  f->log
      = talloc_asprintf_append (f->log, "=%llu ", (unsigned long long)version);
}

/* Runs a watch until the last step, which must give no response, and checks
   the reported changes.  */
static void
check_watch (const struct response_step *steps, int step_count,
             const char *expected)
{
  struct fixture f;
  struct ds_platform_watch *watch = NULL;
  struct ds_platform_watch_options options = DS_PLATFORM_WATCH_OPTIONS_DEFAULT;

  setup (&f, steps, step_count);
  options.kind = "Budget";
  options.on_change = log_change;
  options.on_list_complete = log_complete;
  options.user_data = &f;
  ck_assert_int_eq (ds_platform_watch_new (&watch, f.platform, &options), 0);
  while (f.requests < step_count)
    ck_assert_int_eq (tevent_loop_once (f.ev), 0);
  ck_assert_str_eq (f.log, expected);
  /* An odd count frees the watch with its platform, during a call.  */
  if (step_count % 2 == 0)
    ds_platform_watch_free (watch);
  teardown (&f);
}

#define ITEM(name, version)                                                   \
  "{\"kind\":\"Budget\",\"name\":\"" name "\",\"version\":" #version "}"
#define EVENT(type, name, version)                                            \
  "{\"type\":\"" type "\",\"object\":" ITEM (name, version) "}"

/* Guards against deletions missed because the server's history was too short
   for the watch, and against objects reported twice.  */
START_TEST (watch_lists_again_when_the_history_is_too_short)
{
  static const struct response_step steps[] = {
    { "GET " PATH, 200,
      "{\"version\":5,\"items\":[" ITEM ("a", 2) "," ITEM ("b", 5) "]}" },
    { "GET " PATH " since 5", 200,
      "{\"version\":8,\"events\":[" EVENT ("put", "c", 6) "," EVENT (
          "put", "a", 7) "," EVENT ("delete", "b", 8) "]}" },
    { "GET " PATH " since 8", 410, "{}" },
    { "GET " PATH, 200,
      "{\"version\":20,\"items\":[" ITEM ("a", 7) "," ITEM ("d", 19) "]}" },
    { "GET " PATH " since 20", STEP_NO_RESPONSE, NULL },
  };

  check_watch (steps, 5, "+a@2 +b@5 =5 +c@6 +a@7 -b@8 +d@19 -c@20 =20 ");
}
END_TEST

/* Guards against reported versions that decrease.  */
START_TEST (watch_never_reports_an_older_version)
{
  static const struct response_step steps[] = {
    { NULL, 200, "{\"version\":9,\"items\":[" ITEM ("a", 9) "]}" },
    { NULL, 200,
      "{\"version\":11,\"events\":[" EVENT ("put", "a", 8) "," EVENT (
          "delete", "a", 9) "," EVENT ("put", "b", 11) "]}" },
    { NULL, 200, "{\"version\":4,\"events\":[]}" },
    { "GET " PATH " since 11", 410, "{}" },
    { "GET " PATH, 200, "{\"version\":10,\"items\":[]}" },
    { "GET " PATH, STEP_NO_RESPONSE, NULL },
  };

  check_watch (steps, 6, "+a@9 =9 +b@11 ");
}
END_TEST

/* Guards against a watch that stops after an error or lists without need.  */
START_TEST (watch_continues_after_errors)
{
  static const struct response_step steps[] = {
    { "GET " PATH, 503, "{}" },
    { "GET " PATH, STEP_TRUNCATED, NULL },
    { "GET " PATH, STEP_NO_RESPONSE, NULL },
    { "GET " PATH, 200, "{\"version\":0,\"items\":[]}" },
    { "GET " PATH " since 0", STEP_NO_RESPONSE, NULL },
    { "GET " PATH " since 0", 200, "nonsense" },
    { "GET " PATH " since 0", 200, "{\"version\":0,\"events\":[]}" },
    { "GET " PATH " since 0", 200,
      "{\"version\":3,\"events\":[" EVENT ("put", "a", 3) "]}" },
    { "GET " PATH " since 3", STEP_NO_RESPONSE, NULL },
  };

  check_watch (steps, 9, "=0 +a@3 ");
}
END_TEST

/* Guards against an object of another writer that cannot be read and hides all
   others of its kind, or removes one that exists.  */
START_TEST (watch_skips_objects_that_cannot_be_read)
{
  static const struct response_step steps[] = {
    { "GET " PATH, 200,
      "{\"version\":5,\"items\":[{},7,null,{\"name\":\"x\"},"
      "{\"kind\":\"Budget\",\"name\":7,\"version\":3},"
      "{\"kind\":\"Budget\",\"name\":\"&+#% \",\"version\":\"4\"}," ITEM (
          "a", 2) "," ITEM ("b", 5) "]}" },
    { "GET " PATH " since 5", 200,
      "{\"version\":8,\"events\":[{},null,{\"type\":\"put\"},"
      "{\"type\":\"odd\",\"object\":" ITEM ("a", 6) "}," EVENT ("put", "c",
                                                                7) "]}" },
    { "GET " PATH " since 8", 410, "{}" },
    { "GET " PATH, 200,
      "{\"version\":9,\"items\":[{\"kind\":\"Budget\",\"name\":\"b\","
      "\"version\":null}," ITEM ("c", 7) "]}" },
    { "GET " PATH " since 9", 200,
      "{\"version\":10,\"events\":[{\"type\":\"put\",\"object\":"
      "{\"kind\":\"Upstream\",\"name\":\"a\",\"version\":10}}]}" },
    { "GET " PATH " since 9", STEP_NO_RESPONSE, NULL },
  };

  check_watch (steps, 6, "+a@2 +b@5 =5 +c@7 -a@9 =9 ");
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("platform");
  TCase *test_case = tcase_create ("platform");
  SRunner *runner;
  int failed;

  tcase_set_timeout (test_case, TEST_TIMEOUT_S);
  tcase_add_test (test_case, maps_responses_to_outcomes);
  tcase_add_test (test_case, reports_an_unreachable_platform);
  tcase_add_test (test_case, counts_calls_and_bytes);
  tcase_add_test (test_case, watch_lists_again_when_the_history_is_too_short);
  tcase_add_test (test_case, watch_never_reports_an_older_version);
  tcase_add_test (test_case, watch_continues_after_errors);
  tcase_add_test (test_case, watch_skips_objects_that_cannot_be_read);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
