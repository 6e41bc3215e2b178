#include "io/platform.h"
#include "daisystep/metrics.h"
#include "io/http_client.h"

#include <glib.h>
#include <inttypes.h>
#include <malloc.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define MS_PER_S 1000
#define US_PER_MS 1000
#define NS_PER_MS 1000000
#define IDLE_CONNECTIONS_MAX 16
#define HEADERS_MAX 4
/* After a response of at least this size, freed memory is returned to the
   system: a list of 43,000 objects takes tens of megabytes while parsed.  */
#define MALLOC_TRIM_MIN_BYTES ((size_t)1 << 20)

enum verb
{
  VERB_GET,
  VERB_LIST,
  VERB_WATCH,
  VERB_PUT,
  VERB_DELETE
};

/* Request of a call.  NAME is null for all objects of KIND.  */
struct call_request
{
  enum verb verb;
  const char *kind;
  const char *name;
  uint64_t version; /* base version of a write, start version of a watch */
};

struct platform_call
{
  struct ds_platform *platform;
  struct platform_call *previous;
  struct platform_call *next;
  /* The caller's pointer to this call, cleared at its end; may be null.  */
  struct platform_call **owner_pointer;
  struct ds_http_call *http;
  struct call_request request;
  struct ds_platform_callback callback;
};

struct ds_platform
{
  struct tevent_context *ev;
  struct ds_platform_options options;
  struct ds_http_client *client;
  struct platform_call *calls;
  bool has_reachability; /* a call has ended; REACHABLE is valid */
  bool reachable;
  unsigned in_callback;
  uint64_t random_state;
};

/* The last version of an object reported by a watch.  */
struct known_object
{
  uint64_t version;
  uint64_t list; /* number of the last list with the object */
};

struct ds_platform_watch
{
  struct ds_platform *platform;
  struct ds_platform_watch_options options;
  struct platform_call *call;
  struct tevent_timer *retry_timer;
  GHashTable *known; /* object name to struct known_object */
  uint64_t since;
  uint64_t list_count;
  bool needs_list;
  bool in_callback;
  bool no_watch_since_list; /* no watch has succeeded since the last list */
  unsigned failures;
  int64_t started_ms; /* monotonic */
};

/* One event of a watch response.  */
struct watch_event
{
  enum ds_platform_change change;
  const char *name;
  uint64_t version;
  json_t *object;
};

static void watch_start (struct ds_platform_watch *watch);

static int64_t
monotonic_ms (void)
{
  struct timespec now;

  (void)clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

/* SplitMix64.  STATE is the platform's own, so that a seed gives the same
   backoff in every run.  */
static uint64_t
next_random (uint64_t *state)
{
  uint64_t value = *state += UINT64_C (0x9e3779b97f4a7c15);

  value = (value ^ (value >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  value = (value ^ (value >> 27)) * UINT64_C (0x94d049bb133111eb);
  return value ^ (value >> 31);
}

static bool
is_write (enum verb verb)
{
  return verb == VERB_PUT || verb == VERB_DELETE;
}

static const char *
step_name (enum verb verb)
{
  switch (verb)
    {
    case VERB_GET:
      return "platform_get";
    case VERB_LIST:
      return "platform_list";
    case VERB_WATCH:
      return "platform_watch";
    case VERB_PUT:
      return "platform_put";
    case VERB_DELETE:
      return "platform_delete";
    }
  return "platform";
}

static void
call_unlink (struct platform_call *call)
{
  if (call->previous != NULL)
    call->previous->next = call->next;
  else
    call->platform->calls = call->next;
  if (call->next != NULL)
    call->next->previous = call->previous;
  if (call->owner_pointer != NULL)
    *call->owner_pointer = NULL;
}

static void
call_cancel (struct platform_call *call)
{
  ds_http_call_cancel (call->http);
  call_unlink (call);
  talloc_free (call);
}

/* The version of OBJECT, a number above 0; 0 for anything else.  */
static uint64_t
version_of (const json_t *object)
{
  json_int_t version
      = json_integer_value (json_object_get (object, "version"));

  return version > 0 ? (uint64_t)version : 0;
}

static bool
has_text (const json_t *object, const char *key, const char *expected)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text != NULL && (expected == NULL || strcmp (text, expected) == 0);
}

static bool
is_object (const json_t *json, const char *kind, const char *name)
{
  return version_of (json) > 0 && has_text (json, "kind", kind)
         && has_text (json, "name", name);
}

/* Whether ITEM belongs to the response to another request.  */
static bool
has_other_kind (const json_t *item, const char *kind)
{
  return has_text (item, "kind", NULL) && !has_text (item, "kind", kind);
}

/* Whether JSON is a list of KIND.  Items of another writer that cannot be read
   are skipped later, so that they hide no other.  */
static bool
is_list (const json_t *json, const char *kind)
{
  const json_t *items = json_object_get (json, "items");
  size_t i;
  const json_t *item;

  if (!json_is_array (items)
      || !json_is_integer (json_object_get (json, "version")))
    return false;
  json_array_foreach (items, i, item)
  {
    if (has_other_kind (item, kind))
      return false;
  }
  return true;
}

static bool
parse_event (struct watch_event *out, const json_t *json, const char *kind)
{
  const char *type = json_string_value (json_object_get (json, "type"));

  out->object = json_object_get (json, "object");
  if (type == NULL || !is_object (out->object, kind, NULL))
    return false;
  out->name = json_string_value (json_object_get (out->object, "name"));
  out->version = version_of (out->object);
  out->change = strcmp (type, "delete") == 0 ? DS_PLATFORM_CHANGE_DELETE
                                             : DS_PLATFORM_CHANGE_PUT;
  return out->change == DS_PLATFORM_CHANGE_DELETE || strcmp (type, "put") == 0;
}

static bool
is_event_list (const json_t *json, const char *kind)
{
  const json_t *events = json_object_get (json, "events");
  size_t i;
  const json_t *item;

  if (!json_is_array (events)
      || !json_is_integer (json_object_get (json, "version")))
    return false;
  json_array_foreach (events, i, item)
  {
    if (has_other_kind (json_object_get (item, "object"), kind))
      return false;
  }
  return true;
}

/* Whether the body of a successful response matches the request; that of
   another request must not be accepted.  */
static bool
is_valid_response (const struct call_request *request, const json_t *json)
{
  switch (request->verb)
    {
    case VERB_GET:
    case VERB_PUT:
      return is_object (json, request->kind, request->name);
    case VERB_LIST:
      return is_list (json, request->kind);
    case VERB_WATCH:
      return is_event_list (json, request->kind);
    case VERB_DELETE:
      return true;
    }
  return false;
}

static enum ds_platform_outcome
failure_outcome (enum verb verb, bool sent)
{
  return is_write (verb) && sent ? DS_PLATFORM_OUTCOME_UNKNOWN
                                 : DS_PLATFORM_UNAVAILABLE;
}

/* A write may have taken effect before a status of 500 or above, but not
   before 429.  */
static enum ds_platform_outcome
status_outcome (const struct call_request *request, unsigned status,
                const json_t *json)
{
  switch (status)
    {
    case 200:
    case 201:
    case 204:
      return is_valid_response (request, json)
                 ? DS_PLATFORM_OK
                 : failure_outcome (request->verb, true);
    case 404:
      return DS_PLATFORM_NOT_FOUND;
    case 408:
      return failure_outcome (request->verb, true);
    case 412:
      return DS_PLATFORM_CONFLICT;
    case 429:
      return DS_PLATFORM_UNAVAILABLE;
    default:
      return status >= 400 && status < 500
                 ? DS_PLATFORM_REJECTED
                 : failure_outcome (request->verb, true);
    }
}

static enum ds_error_code
outcome_code (const struct ds_platform_result *result)
{
  switch (result->outcome)
    {
    case DS_PLATFORM_OK:
      return DS_OK;
    case DS_PLATFORM_CONFLICT:
      return DS_ECONFLICT;
    case DS_PLATFORM_NOT_FOUND:
      return DS_ENOTFOUND;
    case DS_PLATFORM_OUTCOME_UNKNOWN:
      return DS_EUNKNOWN;
    case DS_PLATFORM_UNAVAILABLE:
      return DS_EUNAVAILABLE;
    case DS_PLATFORM_REJECTED:
      return result->status == 401 || result->status == 403 ? DS_EDENIED
                                                            : DS_EINVAL;
    }
  return DS_EUNAVAILABLE;
}

static void
count_result (const struct ds_platform_result *result, size_t bytes)
{
  ds_metric_add (DS_METRIC_PLATFORM_BYTES_RECEIVED, (int64_t)bytes);
  if (result->outcome == DS_PLATFORM_CONFLICT)
    ds_metric_add (DS_METRIC_PLATFORM_CONFLICTS, 1);
  if (result->outcome == DS_PLATFORM_OUTCOME_UNKNOWN
      || result->outcome == DS_PLATFORM_UNAVAILABLE)
    ds_metric_add (DS_METRIC_PLATFORM_ERRORS, 1);
}

static void
set_reachable (struct ds_platform *platform, bool reachable)
{
  bool changed
      = !platform->has_reachability || platform->reachable != reachable;

  platform->has_reachability = true;
  platform->reachable = reachable;
  if (changed && platform->options.on_reachable_changed != NULL)
    platform->options.on_reachable_changed (reachable,
                                            platform->options.user_data);
}

/* Converts the HTTP result of CALL.  RESULT->json is a new reference.  */
static void
make_result (struct ds_platform_result *result,
             const struct platform_call *call,
             const struct ds_http_result *http)
{
  const struct call_request *request = &call->request;

  *result = (struct ds_platform_result){ .status = http->status,
                                         .error = DS_ERROR_NONE };
  if (http->error.code != 0)
    result->outcome = failure_outcome (request->verb, http->sent);
  else
    {
      result->json = json_loadb (http->body.data, http->body.length,
                                 JSON_REJECT_DUPLICATES, NULL);
      result->outcome = status_outcome (request, http->status, result->json);
    }
  if (result->outcome == DS_PLATFORM_CONFLICT
      && !is_object (result->json, request->kind, request->name))
    {
      json_decref (result->json);
      result->json = NULL;
    }
  result->version = version_of (result->json);
  if (result->outcome == DS_PLATFORM_OK)
    return;
  if (http->error.code != 0)
    (void)ds_error_set (&result->error, outcome_code (result),
                        step_name (request->verb), http->error.peer, "%s: %s",
                        http->error.step, http->error.message);
  else
    (void)ds_error_set (&result->error, outcome_code (result),
                        step_name (request->verb), call->platform->options.url,
                        "response with status %u to %s %s", http->status,
                        request->kind,
                        request->name != NULL ? request->name : "");
}

static void
handle_done (struct ds_http_call *http_call, const struct ds_http_result *http,
             void *user_data)
{
  struct platform_call *call = user_data;
  struct ds_platform *platform = call->platform;
  struct ds_platform_result result;

  (void)http_call;
  call_unlink (call);
  make_result (&result, call, http);
  count_result (&result, http->body.length);
  platform->in_callback++;
  set_reachable (platform, http->error.code == 0 && http->status < 500);
  call->callback.on_done (&result, call->callback.user_data);
  platform->in_callback--;
  json_decref (result.json);
  if (http->body.length >= MALLOC_TRIM_MIN_BYTES)
    (void)malloc_trim (0);
  talloc_free (call);
}

static const char *
verb_method (enum verb verb)
{
  switch (verb)
    {
    case VERB_PUT:
      return "PUT";
    case VERB_DELETE:
      return "DELETE";
    default:
      return "GET";
    }
}

/* The URL of a request, owned by OWNER; null when out of memory.  */
static char *
request_url (TALLOC_CTX *owner, const struct ds_platform *platform,
             const struct call_request *request)
{
  char *kind = g_uri_escape_string (request->kind, NULL, FALSE);
  char *name = g_uri_escape_string (request->name != NULL ? request->name : "",
                                    NULL, FALSE);
  char *url
      = talloc_asprintf (owner, "%s/v1/objects/%s%s%s", platform->options.url,
                         kind, request->name != NULL ? "/" : "", name);

  if (url != NULL && request->verb == VERB_WATCH)
    url = talloc_asprintf_append (
        url, "?watch=1&since=%" PRIu64 "&timeout_ms=%" PRIu32,
        request->version, platform->options.watch_wait_ms);
  g_free (kind);
  g_free (name);
  return url;
}

/* Fills HEADERS, with values owned by OWNER, and returns their number.  */
static size_t
request_headers (struct ds_http_header headers[HEADERS_MAX], TALLOC_CTX *owner,
                 const struct ds_platform *platform,
                 const struct call_request *request)
{
  size_t count = 0;

  if (platform->options.token != NULL)
    headers[count++] = (struct ds_http_header){
      .name = DS_STR ("Authorization"),
      .value = ds_str_from_c (
          talloc_asprintf (owner, "Bearer %s", platform->options.token)),
    };
  if (request->verb == VERB_PUT)
    headers[count++] = (struct ds_http_header){
      .name = DS_STR ("Content-Type"),
      .value = DS_STR ("application/json"),
    };
  if (is_write (request->verb) && request->version == 0)
    headers[count++] = (struct ds_http_header){
      .name = DS_STR ("If-None-Match"),
      .value = DS_STR ("*"),
    };
  else if (is_write (request->verb))
    headers[count++] = (struct ds_http_header){
      .name = DS_STR ("If-Match"),
      .value = ds_str_from_c (
          talloc_asprintf (owner, "\"%" PRIu64 "\"", request->version)),
    };
  return count;
}

static int
send_call (struct platform_call *call, struct ds_str body,
           struct ds_error *error)
{
  const struct ds_platform_options *options = &call->platform->options;
  const struct call_request *request = &call->request;
  struct ds_http_header headers[HEADERS_MAX];
  struct ds_http_call_options http = DS_HTTP_CALL_OPTIONS_DEFAULT;
  uint32_t timeout_ms
      = options->timeout_ms
        + (request->verb == VERB_WATCH ? options->watch_wait_ms : 0);

  http.method = verb_method (request->verb);
  http.url = request_url (call, call->platform, request);
  if (http.url == NULL)
    return ds_error_set (error, DS_ENOMEM, step_name (request->verb),
                         options->url, "out of memory");
  http.header_count = request_headers (headers, call, call->platform, request);
  http.headers = headers;
  http.body = body;
  http.connect_timeout_ms = options->connect_timeout_ms;
  http.first_byte_timeout_ms = timeout_ms;
  http.progress_timeout_ms = options->timeout_ms;
  http.total_timeout_ms = timeout_ms + options->timeout_ms;
  http.body_limit = options->body_limit;
  http.on_done = handle_done;
  http.user_data = call;
  return ds_http_call_start (&call->http, call->platform->client, &http,
                             error);
}

/* Starts a call.  OUT may be null; otherwise *OUT is the call, and null once
   the call has ended.  */
static int
start_call (struct platform_call **out, struct ds_platform *platform,
            struct call_request request, struct ds_str body,
            struct ds_platform_callback callback, struct ds_error *error)
{
  struct platform_call *call = talloc_zero (platform, struct platform_call);
  int status;

  if (call == NULL)
    return ds_error_set (error, DS_ENOMEM, step_name (request.verb),
                         platform->options.url, "out of memory");
  call->platform = platform;
  call->callback = callback;
  call->request = request;
  call->request.kind = talloc_strdup (call, request.kind);
  call->request.name
      = request.name != NULL ? talloc_strdup (call, request.name) : NULL;
  status = call->request.kind == NULL
                   || (request.name != NULL && call->request.name == NULL)
               ? DS_ENOMEM
               : send_call (call, body, error);
  if (status != 0)
    {
      talloc_free (call);
      return status;
    }
  call->next = platform->calls;
  if (call->next != NULL)
    call->next->previous = call;
  platform->calls = call;
  ds_metric_add (is_write (request.verb) ? DS_METRIC_PLATFORM_WRITES
                                         : DS_METRIC_PLATFORM_READS,
                 1);
  ds_metric_add (DS_METRIC_PLATFORM_BYTES_SENT, (int64_t)body.length);
  call->owner_pointer = out;
  if (out != NULL)
    *out = call;
  return 0;
}

static struct known_object *
find_or_add_object (struct ds_platform_watch *watch, const char *name)
{
  struct known_object *known = g_hash_table_lookup (watch->known, name);

  if (known == NULL)
    {
      known = g_new0 (struct known_object, 1);
      (void)g_hash_table_insert (watch->known, g_strdup (name), known);
    }
  return known;
}

static void
report_change (struct ds_platform_watch *watch,
               const struct watch_event *event)
{
  if (watch->options.on_change != NULL)
    watch->options.on_change (event->change, event->name, event->version,
                              event->object, watch->options.user_data);
}

static void
apply_put (struct ds_platform_watch *watch, const struct watch_event *event)
{
  struct known_object *known = find_or_add_object (watch, event->name);

  known->list = watch->list_count;
  if (event->version <= known->version)
    return;
  known->version = event->version;
  report_change (watch, event);
}

/* Applies a deletion unless the object is unknown or not older than EVENT.  */
static void
apply_delete (struct ds_platform_watch *watch, const struct watch_event *event)
{
  const struct known_object *known
      = g_hash_table_lookup (watch->known, event->name);

  if (known == NULL || event->version <= known->version)
    return;
  (void)g_hash_table_remove (watch->known, event->name);
  report_change (watch, event);
}

/* Reports the known objects missing in the list of VERSION as deleted.  */
static void
delete_unlisted (struct ds_platform_watch *watch, uint64_t version)
{
  GHashTableIter iterator;
  gpointer name;
  gpointer value;

  g_hash_table_iter_init (&iterator, watch->known);
  while (g_hash_table_iter_next (&iterator, &name, &value))
    {
      const struct known_object *known = value;
      struct watch_event event = {
        .change = DS_PLATFORM_CHANGE_DELETE,
        .name = name,
        .version = version,
      };

      if (known->list == watch->list_count)
        continue;
      event.object = json_pack ("{s:s, s:s}", "kind", watch->options.kind,
                                "name", event.name);
      report_change (watch, &event);
      json_decref (event.object);
      g_hash_table_iter_remove (&iterator);
    }
}

/* Skips an item of a list that cannot be read.  An object that had its name
   before still exists.  */
static void
skip_item (struct ds_platform_watch *watch, const json_t *item)
{
  const char *name = json_string_value (json_object_get (item, "name"));
  struct known_object *known
      = name != NULL ? g_hash_table_lookup (watch->known, name) : NULL;

  ds_metric_add (DS_METRIC_UNREADABLE_ENTRIES, 1);
  if (known != NULL)
    known->list = watch->list_count;
}

static void
apply_list (struct ds_platform_watch *watch, const json_t *list)
{
  uint64_t version = version_of (list);
  size_t i;
  json_t *item;

  watch->list_count++;
  json_array_foreach (json_object_get (list, "items"), i, item)
  {
    struct watch_event event = {
      .change = DS_PLATFORM_CHANGE_PUT,
      .name = json_string_value (json_object_get (item, "name")),
      .version = version_of (item),
      .object = item,
    };

    if (is_object (item, watch->options.kind, NULL))
      apply_put (watch, &event);
    else
      skip_item (watch, item);
  }
  delete_unlisted (watch, version);
  watch->since = version;
  watch->needs_list = false;
  watch->no_watch_since_list = true;
  if (watch->options.on_list_complete != NULL)
    watch->options.on_list_complete (version, watch->options.user_data);
}

static void
apply_events (struct ds_platform_watch *watch, const json_t *response)
{
  struct watch_event event;
  size_t i;
  const json_t *item;

  json_array_foreach (json_object_get (response, "events"), i, item)
  {
    if (!parse_event (&event, item, watch->options.kind))
      {
        ds_metric_add (DS_METRIC_UNREADABLE_ENTRIES, 1);
        continue;
      }
    if (event.change == DS_PLATFORM_CHANGE_PUT)
      apply_put (watch, &event);
    else
      apply_delete (watch, &event);
  }
  watch->since = version_of (response);
  watch->no_watch_since_list = false;
}

static void
handle_retry (struct tevent_context *ev, struct tevent_timer *retry_timer,
              struct timeval now, void *private_data)
{
  struct ds_platform_watch *watch = private_data;

  (void)ev;
  (void)retry_timer;
  (void)now;
  watch->retry_timer = NULL;
  watch_start (watch);
}

/* Schedules the next call after a backoff, half of it jitter, so that hosts
   that lost the platform together do not return together.  */
static void
watch_schedule_retry (struct ds_platform_watch *watch)
{
  struct ds_platform *platform = watch->platform;
  uint64_t pause_ms = platform->options.backoff_min_ms;

  for (unsigned i = 0;
       i < watch->failures && pause_ms < platform->options.backoff_max_ms; i++)
    pause_ms *= 2;
  if (pause_ms > platform->options.backoff_max_ms)
    pause_ms = platform->options.backoff_max_ms;
  pause_ms -= next_random (&platform->random_state) % (pause_ms / 2 + 1);
  watch->failures++;
  watch->retry_timer = tevent_add_timer (
      platform->ev, watch,
      tevent_timeval_current_ofs ((uint32_t)(pause_ms / MS_PER_S),
                                  (uint32_t)(pause_ms % MS_PER_S) * US_PER_MS),
      handle_retry, watch);
}

/* Whether a watch returned without an event in less than half of the wait
   time; calling again at once would make a busy loop.  */
static bool
is_early_empty_response (const struct ds_platform_watch *watch,
                         const json_t *response)
{
  return json_array_size (json_object_get (response, "events")) == 0
         && version_of (response) == watch->since
         && monotonic_ms () - watch->started_ms
                < watch->platform->options.watch_wait_ms / 2;
}

static void
watch_done (const struct ds_platform_result *result, void *user_data)
{
  struct ds_platform_watch *watch = user_data;
  bool was_list = watch->needs_list;
  bool pause;

  watch->in_callback = true;
  if (result->status == 410 && !was_list)
    {
      watch->needs_list = true;
      pause = watch->no_watch_since_list;
    }
  else if (result->outcome != DS_PLATFORM_OK || result->version < watch->since)
    /* A response older than the known state would decrease versions.  */
    pause = true;
  else
    {
      pause = !was_list && is_early_empty_response (watch, result->json);
      if (was_list)
        apply_list (watch, result->json);
      else
        apply_events (watch, result->json);
    }
  watch->in_callback = false;
  if (pause)
    {
      watch_schedule_retry (watch);
      return;
    }
  watch->failures = 0;
  watch_start (watch);
}

static void
watch_start (struct ds_platform_watch *watch)
{
  struct call_request request = {
    .verb = watch->needs_list ? VERB_LIST : VERB_WATCH,
    .kind = watch->options.kind,
    .version = watch->since,
  };
  struct ds_platform_callback callback
      = { .on_done = watch_done, .user_data = watch };

  watch->started_ms = monotonic_ms ();
  if (start_call (&watch->call, watch->platform, request, DS_STR_EMPTY,
                  callback, NULL)
      != 0)
    watch_schedule_retry (watch);
}

static int
watch_destructor (struct ds_platform_watch *watch)
{
  g_assert (!watch->in_callback);
  if (watch->call != NULL)
    call_cancel (watch->call);
  g_hash_table_destroy (watch->known);
  return 0;
}

static int
platform_destructor (struct ds_platform *platform)
{
  g_assert (platform->in_callback == 0);
  while (platform->calls != NULL)
    call_cancel (platform->calls);
  return 0;
}

/* Creates a client of the object API on EV, owned by OWNER and used on the
   thread of EV only.  URL and token are copied.  Returns DS_ENOMEM when out of
   memory.  */
int
ds_platform_new (struct ds_platform **out, TALLOC_CTX *owner,
                 struct tevent_context *ev,
                 const struct ds_platform_options *options)
{
  struct ds_platform *platform = talloc_zero (owner, struct ds_platform);
  struct ds_http_client_options client = DS_HTTP_CLIENT_OPTIONS_DEFAULT;

  if (platform == NULL)
    return DS_ENOMEM;
  platform->ev = ev;
  platform->options = *options;
  platform->options.url = talloc_strdup (platform, options->url);
  platform->options.token = talloc_strdup (platform, options->token);
  platform->random_state = options->seed;
  client.idle_connections = IDLE_CONNECTIONS_MAX;
  if (platform->options.url == NULL
      || (options->token != NULL && platform->options.token == NULL)
      || ds_http_client_new (&platform->client, platform, ev, &client) != 0)
    {
      talloc_free (platform);
      return DS_ENOMEM;
    }
  talloc_set_destructor (platform, platform_destructor);
  *out = platform;
  return 0;
}

/* Cancels all calls, without on_done, and ends all watches.  Not to be called
   from a callback.  */
void
ds_platform_free (struct ds_platform *platform)
{
  talloc_free (platform);
}

/* Whether the last call got a response with a status below 500.  False before
   the first response.  */
bool
ds_platform_reachable (const struct ds_platform *platform)
{
  return platform->reachable;
}

/* Reads one object.  Returns 0, or an error, after which on_done is not
   called.  */
int
ds_platform_get (struct ds_platform *platform, const char *kind,
                 const char *name, struct ds_platform_callback callback,
                 struct ds_error *error)
{
  struct call_request request
      = { .verb = VERB_GET, .kind = kind, .name = name };

  return start_call (NULL, platform, request, DS_STR_EMPTY, callback, error);
}

/* Reads all objects of KIND.  Returns as ds_platform_get.  */
int
ds_platform_list (struct ds_platform *platform, const char *kind,
                  struct ds_platform_callback callback, struct ds_error *error)
{
  struct call_request request = { .verb = VERB_LIST, .kind = kind };

  return start_call (NULL, platform, request, DS_STR_EMPTY, callback, error);
}

/* Replaces the object if its version is BASE_VERSION, or creates it for base
   version 0.  OBJECT has the members "spec" and "status".  Returns as
   ds_platform_get.  */
int
ds_platform_put (struct ds_platform *platform, const char *kind,
                 const char *name, uint64_t base_version, const json_t *object,
                 struct ds_platform_callback callback, struct ds_error *error)
{
  struct call_request request = {
    .verb = VERB_PUT, .kind = kind, .name = name, .version = base_version
  };
  char *text = json_dumps (object, JSON_COMPACT);
  int status;

  if (text == NULL)
    return ds_error_set (error, DS_EINVAL, step_name (VERB_PUT),
                         platform->options.url,
                         "object cannot be serialized as JSON");
  status = start_call (NULL, platform, request, ds_str_from_c (text), callback,
                       error);
  free (text);
  return status;
}

/* Deletes the object if its version is BASE_VERSION, which must not be 0.
   Returns as ds_platform_get.  */
int
ds_platform_delete (struct ds_platform *platform, const char *kind,
                    const char *name, uint64_t base_version,
                    struct ds_platform_callback callback,
                    struct ds_error *error)
{
  struct call_request request = {
    .verb = VERB_DELETE, .kind = kind, .name = name, .version = base_version
  };

  if (base_version == 0)
    return ds_error_set (error, DS_EINVAL, step_name (VERB_DELETE),
                         platform->options.url, "base version is 0");
  return start_call (NULL, platform, request, DS_STR_EMPTY, callback, error);
}

/* Lists and then watches one kind until freed; errors are retried with a
   growing backoff.  Owned by PLATFORM.  Returns DS_ENOMEM when out of
   memory.  */
int
ds_platform_watch_new (struct ds_platform_watch **out,
                       struct ds_platform *platform,
                       const struct ds_platform_watch_options *options)
{
  struct ds_platform_watch *watch
      = talloc_zero (platform, struct ds_platform_watch);

  if (watch == NULL)
    return DS_ENOMEM;
  watch->platform = platform;
  watch->options = *options;
  watch->options.kind = talloc_strdup (watch, options->kind);
  if (watch->options.kind == NULL)
    {
      talloc_free (watch);
      return DS_ENOMEM;
    }
  watch->known
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  watch->needs_list = true;
  talloc_set_destructor (watch, watch_destructor);
  watch_start (watch);
  *out = watch;
  return 0;
}

/* Ends WATCH.  Not to be called from its callbacks.  */
void
ds_platform_watch_free (struct ds_platform_watch *watch)
{
  talloc_free (watch);
}
