/* Stand-in for the platform's object API; see README.md.  */
#include "common_server.h"

#include <argtable2.h>
#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define PATH_PREFIX "/v1/objects/"
#define WATCH_MS_MAX 600000
/* How often a watch checks whether its client has disconnected.  */
#define WATCH_CHECK_MS 50
#define EVENTS_DEFAULT 65536

/* One version of an object.  It is referenced by the table of objects, the
   event history and, with --keep-history, the next version.  */
struct revision
{
  struct revision *previous;
  uint64_t version;
  unsigned references;
  bool deleted;
  char *kind;
  struct ds_str text; /* the object as JSON */
};

struct faults
{
  bool down;
  uint64_t delay_ms;
  uint64_t drop_answers;
  char *kind; /* of the writes whose responses are dropped; null for all */
};

struct counts
{
  uint64_t reads, writes, conflicts, watches, bytes;
};

struct store
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  GTree *objects; /* from "KIND/NAME" to the newest revision */
  uint64_t version;
  struct revision **events; /* a ring, indexed by version */
  uint64_t event_capacity;
  bool keep_history;
  const char *token;
  struct faults faults;
  struct counts counts;
};

/* The parts of a path below PATH_PREFIX; NAME is null for all objects of a
   kind.  */
struct object_path
{
  char *key;
  char *kind;
  char *name;
};

static int
compare_keys (const void *a, const void *b, void *data)
{
  (void)data;
  return strcmp (a, b);
}

static void
revision_release (struct revision *revision)
{
  while (revision != NULL && --revision->references == 0)
    {
      struct revision *previous = revision->previous;

      talloc_free (revision);
      revision = previous;
    }
}

/* The current revision of KEY, or null if there is no such object.  */
static struct revision *
find_object (struct store *store, const char *key)
{
  struct revision *revision = g_tree_lookup (store->objects, key);

  return revision != NULL && !revision->deleted ? revision : NULL;
}

/* Makes REVISION, which has the store's newest version, the current revision
   of KEY and adds it to the event history.  */
static void
add_revision (struct store *store, const char *key, struct revision *revision)
{
  struct revision *replaced = g_tree_lookup (store->objects, key);
  struct revision **slot
      = &store->events[revision->version % store->event_capacity];

  revision->references = 2;
  if (store->keep_history)
    revision->previous = replaced;
  else
    revision_release (replaced);
  g_tree_replace (store->objects, g_strdup (key), revision);
  revision_release (*slot);
  *slot = revision;
  pthread_cond_broadcast (&store->changed);
}

static struct revision *
revision_new (struct store *store, const struct object_path *object_path,
              json_t *spec, json_t *status)
{
  struct revision *revision = talloc_zero (NULL, struct revision);
  json_t *object;
  char *text;

  revision->version = ++store->version;
  revision->kind = talloc_strdup (revision, object_path->kind);
  object
      = json_pack ("{s:s,s:s,s:I,s:O,s:O}", "kind", object_path->kind, "name",
                   object_path->name, "version", (json_int_t)revision->version,
                   "spec", spec, "status", status);
  text = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  revision->text = ds_str_copy (revision, ds_str_from_c (text));
  free (text);
  return revision;
}

/* Adds a deletion, which has its own version and the deleted content.  */
static void
delete_object (struct store *store, const struct object_path *object_path,
               const struct revision *current)
{
  json_t *object
      = json_loadb (current->text.data, current->text.length, 0, NULL);
  struct revision *revision
      = revision_new (store, object_path, json_object_get (object, "spec"),
                      json_object_get (object, "status"));

  revision->deleted = true;
  add_revision (store, object_path->key, revision);
  json_decref (object);
}

static bool
parse_object_path (struct object_path *object_path,
                   struct standin_request *request)
{
  const char *rest = request->path + strlen (PATH_PREFIX);
  const char *slash = strchr (rest, '/');
  size_t kind_length = slash != NULL ? (size_t)(slash - rest) : strlen (rest);

  object_path->key = talloc_strdup (request, rest);
  object_path->kind = talloc_strndup (request, rest, kind_length);
  object_path->name
      = slash != NULL ? talloc_strdup (request, slash + 1) : NULL;
  return kind_length > 0 && ds_str_is_utf8 (ds_str_from_c (rest))
         && (slash == NULL
             || (slash[1] != '\0' && strchr (slash + 1, '/') == NULL));
}

/* Responds after the configured delay, or closes the connection if the store
   has been set down by then.  */
static enum MHD_Result
respond (struct store *store, struct standin_request *request, unsigned status,
         struct ds_str text)
{
  uint64_t delay_ms;
  bool down;

  pthread_mutex_lock (&store->lock);
  delay_ms = store->faults.delay_ms;
  pthread_mutex_unlock (&store->lock);
  if (delay_ms > 0 && !standin_request_wait (request, delay_ms))
    return standin_close_connection (request);
  pthread_mutex_lock (&store->lock);
  down = store->faults.down;
  store->counts.bytes += text.length + request->body_length;
  pthread_mutex_unlock (&store->lock);
  if (down)
    return standin_close_connection (request);
  return standin_respond_text (request, status, NULL, text);
}

static enum MHD_Result
respond_error (struct store *store, struct standin_request *request,
               unsigned status, const char *message)
{
  char *text = talloc_asprintf (request, "{\"error\":\"%s\"}", message);

  return respond (store, request, status, ds_str_from_c (text));
}

static enum MHD_Result
get_object (struct store *store, struct standin_request *request,
            const struct object_path *object_path)
{
  struct ds_str text = DS_STR_EMPTY;
  struct revision *revision;

  pthread_mutex_lock (&store->lock);
  store->counts.reads++;
  revision = find_object (store, object_path->key);
  if (revision != NULL)
    text = ds_str_copy (request, revision->text);
  pthread_mutex_unlock (&store->lock);
  if (revision == NULL)
    return respond_error (store, request, MHD_HTTP_NOT_FOUND,
                          "no such object");
  return respond (store, request, MHD_HTTP_OK, text);
}

static void
append_text (GString *out, const struct revision *revision)
{
  g_string_append_len (out, revision->text.data,
                       (gssize)revision->text.length);
}

/* Responds with the text of OUT and releases it.  */
static enum MHD_Result
respond_string (struct store *store, struct standin_request *request,
                GString *out)
{
  enum MHD_Result result
      = respond (store, request, MHD_HTTP_OK,
                 (struct ds_str){ .data = out->str, .length = out->len });

  g_string_free (out, TRUE);
  return result;
}

static enum MHD_Result
list_kind (struct store *store, struct standin_request *request,
           const struct object_path *object_path)
{
  char *prefix = talloc_asprintf (request, "%s/", object_path->kind);
  GString *out = g_string_new (NULL);
  const char *separator = "";

  pthread_mutex_lock (&store->lock);
  store->counts.reads++;
  g_string_printf (out, "{\"version\":%" G_GUINT64_FORMAT ",\"items\":[",
                   store->version);
  for (GTreeNode *node = g_tree_lower_bound (store->objects, prefix);
       node != NULL && g_str_has_prefix (g_tree_node_key (node), prefix);
       node = g_tree_node_next (node))
    {
      const struct revision *revision = g_tree_node_value (node);

      if (revision->deleted)
        continue;
      g_string_append (out, separator);
      append_text (out, revision);
      separator = ",";
    }
  pthread_mutex_unlock (&store->lock);
  g_string_append (out, "]}");
  return respond_string (store, request, out);
}

/* Appends the events of KIND with versions in (SINCE, store->version] to OUT
   and returns their number.  */
static unsigned
append_events (GString *out, const struct store *store, uint64_t since,
               const char *kind)
{
  unsigned count = 0;

  for (uint64_t version = since; version < store->version; version++)
    {
      const struct revision *event
          = store->events[(version + 1) % store->event_capacity];

      if (strcmp (event->kind, kind) != 0)
        continue;
      g_string_append_printf (
          out, "%s{\"type\":\"%s\",\"object\":", count > 0 ? "," : "",
          event->deleted ? "delete" : "put");
      append_text (out, event);
      g_string_append (out, "}");
      count++;
    }
  return count;
}

/* Waits until the store, which is locked, changes or WATCH_CHECK_MS have
   passed.  */
static void
wait_for_change (struct store *store)
{
  struct timespec limit;

  clock_gettime (CLOCK_MONOTONIC, &limit);
  limit.tv_nsec += WATCH_CHECK_MS * 1000000L;
  limit.tv_sec += limit.tv_nsec / 1000000000L;
  limit.tv_nsec %= 1000000000L;
  pthread_cond_timedwait (&store->changed, &store->lock, &limit);
}

static bool
is_too_old (const struct store *store, uint64_t since)
{
  return store->version > since
         && store->version - since > store->event_capacity;
}

static enum MHD_Result
watch_kind (struct store *store, struct standin_request *request,
            const struct object_path *object_path)
{
  uint64_t since = standin_request_query_u64 (request, "since", 0);
  uint64_t timeout
      = standin_request_query_u64 (request, "timeout_ms", WATCH_MS_MAX);
  uint64_t end
      = standin_now_ms () + (timeout < WATCH_MS_MAX ? timeout : WATCH_MS_MAX);
  GString *events = g_string_new (NULL);
  GString *out = g_string_new (NULL);
  bool too_old, down, is_connected;

  pthread_mutex_lock (&store->lock);
  store->counts.watches++;
  for (uint64_t seen = since;;)
    {
      uint64_t newest = store->version;

      too_old = is_too_old (store, seen);
      down = store->faults.down;
      if (too_old || down
          || append_events (events, store, seen, object_path->kind) > 0
          || standin_now_ms () >= end)
        break;
      if (newest > seen)
        seen = newest;
      wait_for_change (store);
      pthread_mutex_unlock (&store->lock);
      is_connected = standin_request_wait (request, 0);
      pthread_mutex_lock (&store->lock);
      if (!is_connected)
        {
          down = true;
          break;
        }
    }
  g_string_printf (out, "{\"version\":%" G_GUINT64_FORMAT ",\"events\":[%s]}",
                   store->version, events->str);
  pthread_mutex_unlock (&store->lock);
  g_string_free (events, TRUE);
  if (!too_old && !down)
    return respond_string (store, request, out);
  g_string_free (out, TRUE);
  if (down)
    return standin_close_connection (request);
  return respond_error (store, request, MHD_HTTP_GONE, "since is too old");
}

/* The error status of a conditional write to CURRENT, which may be null; 0 if
   the write may proceed.  */
static unsigned
check_condition (const struct standin_request *request,
                 const struct revision *current)
{
  const char *none = standin_request_header (request, "If-None-Match");
  const char *match = standin_request_header (request, "If-Match");
  char etag[32];

  if (match == NULL && none != NULL && strcmp (none, "*") == 0)
    return current == NULL ? 0 : MHD_HTTP_PRECONDITION_FAILED;
  if (match == NULL || none != NULL)
    return MHD_HTTP_PRECONDITION_REQUIRED;
  if (current == NULL)
    return MHD_HTTP_NOT_FOUND;
  (void)snprintf (etag, sizeof etag, "\"%" G_GUINT64_FORMAT "\"",
                  current->version);
  return strcmp (match, etag) == 0 ? 0 : MHD_HTTP_PRECONDITION_FAILED;
}

/* Whether to drop the response to a successful write of KIND; if so, counts it
   as dropped.  */
static bool
consume_response_drop (struct store *store, const char *kind)
{
  struct faults *faults = &store->faults;

  if (faults->drop_answers == 0
      || (faults->kind != NULL && strcmp (faults->kind, kind) != 0))
    return false;
  faults->drop_answers--;
  return true;
}

static json_t *
member_or_empty (json_t *body, const char *name)
{
  json_t *member = json_object_get (body, name);

  return member != NULL ? json_incref (member) : json_object ();
}

/* Applies a PUT with BODY or, if BODY is null, a DELETE.  Responds with the
   object as it is afterwards.  */
static enum MHD_Result
write_object (struct store *store, struct standin_request *request,
              const struct object_path *object_path, json_t *body)
{
  struct ds_str text = DS_STR ("{}");
  struct revision *current;
  unsigned status;
  bool drop = false;

  pthread_mutex_lock (&store->lock);
  store->counts.writes++;
  current = find_object (store, object_path->key);
  status = check_condition (request, current);
  if (status == MHD_HTTP_PRECONDITION_FAILED)
    store->counts.conflicts++;
  if (status == 0 && body == NULL)
    delete_object (store, object_path, current);
  else if (status == 0)
    {
      json_t *spec = member_or_empty (body, "spec");
      json_t *state = member_or_empty (body, "status");

      add_revision (store, object_path->key,
                    revision_new (store, object_path, spec, state));
      json_decref (spec);
      json_decref (state);
    }
  if (status == 0)
    {
      status = current == NULL ? MHD_HTTP_CREATED : MHD_HTTP_OK;
      drop = consume_response_drop (store, object_path->kind);
    }
  current = find_object (store, object_path->key);
  if (current != NULL)
    text = ds_str_copy (request, current->text);
  pthread_mutex_unlock (&store->lock);
  if (drop)
    return standin_close_connection (request);
  return respond (store, request, status, text);
}

static enum MHD_Result
put_object (struct store *store, struct standin_request *request,
            const struct object_path *object_path)
{
  json_t *body = json_loadb (request->body, request->body_length, 0, NULL);
  enum MHD_Result result;

  if (json_is_object (body))
    result = write_object (store, request, object_path, body);
  else
    result = respond_error (store, request, MHD_HTTP_BAD_REQUEST,
                            "the body is not a JSON object");
  json_decref (body);
  return result;
}

/* Sets the faults that the body names and responds with all faults.  */
static enum MHD_Result
set_faults (struct store *store, struct standin_request *request)
{
  json_t *body = json_loadb (request->body, request->body_length, 0, NULL);
  struct faults *faults = &store->faults;
  json_t *value;
  json_t *state;
  bool down;

  if (!json_is_object (body))
    {
      json_decref (body);
      return standin_respond_error (request, MHD_HTTP_BAD_REQUEST, "no JSON");
    }
  pthread_mutex_lock (&store->lock);
  if ((value = json_object_get (body, "down")) != NULL)
    faults->down = json_is_true (value);
  if ((value = json_object_get (body, "delay_ms")) != NULL)
    faults->delay_ms = (uint64_t)json_integer_value (value);
  if ((value = json_object_get (body, "drop_answers")) != NULL)
    {
      faults->drop_answers = (uint64_t)json_integer_value (value);
      TALLOC_FREE (faults->kind);
      value = json_object_get (body, "kind");
      if (json_is_string (value))
        faults->kind = talloc_strdup (store, json_string_value (value));
    }
  down = faults->down;
  state = json_pack ("{s:b,s:I,s:I,s:s?}", "down", faults->down, "delay_ms",
                     (json_int_t)faults->delay_ms, "drop_answers",
                     (json_int_t)faults->drop_answers, "kind", faults->kind);
  pthread_cond_broadcast (&store->changed);
  pthread_mutex_unlock (&store->lock);
  json_decref (body);
  if (down)
    standin_server_close_connections (request->server, request->connection);
  return standin_respond_json (request, MHD_HTTP_OK, NULL, state);
}

static enum MHD_Result
get_stats (struct store *store, struct standin_request *request)
{
  struct counts counts;

  pthread_mutex_lock (&store->lock);
  counts = store->counts;
  pthread_mutex_unlock (&store->lock);
  return standin_respond_json (
      request, MHD_HTTP_OK, NULL,
      json_pack ("{s:I,s:I,s:I,s:I,s:I}", "reads", (json_int_t)counts.reads,
                 "writes", (json_int_t)counts.writes, "conflicts",
                 (json_int_t)counts.conflicts, "watches",
                 (json_int_t)counts.watches, "bytes",
                 (json_int_t)counts.bytes));
}

/* Responds with every version of an object, oldest first.  */
static enum MHD_Result
get_history (struct store *store, struct standin_request *request)
{
  const char *kind = standin_request_query (request, "kind");
  const char *name = standin_request_query (request, "name");
  json_t *items = json_array ();
  char *key;

  if (kind == NULL || name == NULL || !store->keep_history)
    {
      json_decref (items);
      return standin_respond_error (request, MHD_HTTP_BAD_REQUEST,
                                    "needs kind, name and --keep-history");
    }
  key = talloc_asprintf (request, "%s/%s", kind, name);
  pthread_mutex_lock (&store->lock);
  for (const struct revision *revision = g_tree_lookup (store->objects, key);
       revision != NULL; revision = revision->previous)
    json_array_insert_new (
        items, 0,
        json_pack (
            "{s:s,s:o}", "type", revision->deleted ? "delete" : "put",
            "object",
            json_loadb (revision->text.data, revision->text.length, 0, NULL)));
  pthread_mutex_unlock (&store->lock);
  return standin_respond_json (request, MHD_HTTP_OK, NULL,
                               json_pack ("{s:o}", "versions", items));
}

static bool
is_authorized (const struct store *store,
               const struct standin_request *request)
{
  const char *header = standin_request_header (request, "Authorization");

  return store->token == NULL
         || (header != NULL && g_str_has_prefix (header, "Bearer ")
             && strcmp (header + strlen ("Bearer "), store->token) == 0);
}

static enum MHD_Result
handle_objects (struct store *store, struct standin_request *request)
{
  struct object_path object_path;

  if (!is_authorized (store, request))
    return respond_error (store, request, MHD_HTTP_UNAUTHORIZED,
                          "missing or wrong token");
  if (!parse_object_path (&object_path, request))
    return respond_error (store, request, MHD_HTTP_BAD_REQUEST, "bad path");
  if (strcmp (request->method, "GET") == 0 && object_path.name != NULL)
    return get_object (store, request, &object_path);
  if (strcmp (request->method, "GET") == 0)
    return standin_request_query (request, "watch") != NULL
               ? watch_kind (store, request, &object_path)
               : list_kind (store, request, &object_path);
  if (strcmp (request->method, "PUT") == 0 && object_path.name != NULL)
    return put_object (store, request, &object_path);
  if (strcmp (request->method, "DELETE") == 0 && object_path.name != NULL)
    return write_object (store, request, &object_path, NULL);
  return respond_error (store, request, MHD_HTTP_METHOD_NOT_ALLOWED,
                        "method not allowed");
}

static enum MHD_Result
handle (void *state, struct standin_request *request)
{
  struct store *store = state;
  bool down;

  if (standin_request_matches (request, "POST", "/standin/faults"))
    return set_faults (store, request);
  if (standin_request_matches (request, "GET", "/standin/stats"))
    return get_stats (store, request);
  if (standin_request_matches (request, "GET", "/standin/history"))
    return get_history (store, request);
  pthread_mutex_lock (&store->lock);
  down = store->faults.down;
  pthread_mutex_unlock (&store->lock);
  if (down)
    return standin_close_connection (request);
  if (g_str_has_prefix (request->path, PATH_PREFIX))
    return handle_objects (store, request);
  return standin_respond_error (request, MHD_HTTP_NOT_FOUND, "no such path");
}

static gboolean
release_object (gpointer key, gpointer value, gpointer data)
{
  (void)key;
  (void)data;
  revision_release (value);
  return FALSE;
}

static void
store_free (struct store *store)
{
  g_tree_foreach (store->objects, release_object, NULL);
  g_tree_unref (store->objects);
  for (uint64_t i = 0; i < store->event_capacity; i++)
    revision_release (store->events[i]);
  pthread_cond_destroy (&store->changed);
  pthread_mutex_destroy (&store->lock);
  talloc_free (store);
}

static struct store *
store_new (uint64_t event_capacity)
{
  struct store *store = talloc_zero (NULL, struct store);
  pthread_condattr_t attributes;

  pthread_mutex_init (&store->lock, NULL);
  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&store->changed, &attributes);
  pthread_condattr_destroy (&attributes);
  store->objects = g_tree_new_full (compare_keys, NULL, g_free, NULL);
  store->event_capacity = event_capacity;
  store->events = talloc_zero_array (store, struct revision *, event_capacity);
  return store;
}

int
main (int argc, char **argv)
{
  struct standin_arguments arguments;
  struct arg_str *token
      = arg_str0 (NULL, "token", "TEXT", "require this bearer token");
  struct arg_lit *keep
      = arg_lit0 (NULL, "keep-history", "keep every version of each object");
  struct arg_int *events
      = arg_int0 (NULL, "events", "N", "size of the event history (65536)");
  struct store *store;
  int status = EXIT_FAILURE;

  standin_arguments_init (&arguments);
  void *table[] = { arguments.help,
                    arguments.address,
                    arguments.ready_file,
                    arguments.stop_after_ms,
                    token,
                    keep,
                    events,
                    arg_end (8) };
  events->ival[0] = EVENTS_DEFAULT;
  if (standin_arguments_parse (&arguments, table, argc, argv) != 0)
    goto out;
  store = store_new (events->ival[0] > 0 ? (uint64_t)events->ival[0] : 1);
  store->keep_history = keep->count > 0;
  store->token = token->count > 0 ? token->sval[0] : NULL;
  status = standin_run (&arguments, handle, store);
  store_free (store);
out:
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
