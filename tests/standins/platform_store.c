#include "common_server.h"

#include <argtable2.h>
#include <jansson.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

/* Stand-in for the platform's store: objects by kind and name, one revision
   counter, lists, watches and conditional writes, in the platform's format.
   POST /standin/faults accepts "busy" (status 503), "busy_kind" (status 503 to
   calls about this kind), "silent" (no response), "endless" (lists without
   end), "strict_names" (status 400 to lists that continue after a name that is
   no UTF-8), "lose_answers" (the number of ledger writes that take effect
   without a response), "lose_watches" (the number of watches of "lose_kind"
   whose events are not sent, while the connection stays open), "lapse"
   (removes the registrations of replicas at once) and "compact" (discards the
   history). POST /standin/raw/KIND/NAME writes an object whose spec is the
   body, byte by byte and unchecked.  POST /standin/entries writes an object
   with any name: its body has "kind", "name", the bytes of the name in
   hexadecimal digits, "text", what responses have in place of the name's JSON
   text, in hexadecimal digits as well, and "spec".  DELETE
   /daisystep/objects/KIND/raw:DIGITS removes it. Lists are in the bytewise
   order of the names.  POST /standin/page_items with a number as its body sets
   the objects of each page; 0 for all. GET /standin/counts returns the number
   of lists, of watch requests, of ledger reads and of ledger writes. POST
   /standin/copy keeps a copy of the objects, the history and the revision
   counter.  POST /standin/restore returns to it, so that revisions are issued
   again for other contents and a watch from a later one gets 410.  POST
   /standin/era with a number as its body makes all responses carry the header
   Store-Era with that number, which each later restore increases by one.  */

#define OBJECTS_PREFIX "/daisystep/objects/"
#define RAW_PREFIX "/standin/raw/"
/* Begins the string that stands for an unchecked spec, followed by its bytes
   in hexadecimal digits.  */
#define RAW_MARK "standin-raw:"
/* Begins the last part of the key of an object that was written with the bytes
   of its name, followed by them in hexadecimal digits.  */
#define RAW_NAME_MARK "raw:"
#define WATCH_POLL_MS 10
#define KEY_BYTES 4096
/* Time for which a call gets no response.  */
#define SILENCE_MS 60000

struct store
{
  pthread_mutex_t lock;
  json_t *objects; /* KIND/NAME to object */
  json_t *events;  /* the history, oldest first */
  json_int_t revision;
  json_int_t history_start;
  bool busy;
  bool silent;
  bool endless;
  bool strict_names;
  char busy_kind[64]; /* empty for none */
  json_int_t lose_answers;
  char lose_kind[64];
  json_int_t lose_watches;
  uint64_t page_items; /* 0 for all */
  json_int_t lists;
  json_int_t watches;
  json_int_t ledger_reads;
  json_int_t ledger_writes;
  json_int_t era;         /* negative: responses have no such header */
  json_t *copied_objects; /* null without a copy */
  json_t *copied_events;
  json_int_t copied_revision;
  json_int_t copied_history_start;
};

/* Adds the era to the response of REQUEST; the lock is held, so that the era
   is that of what the response holds.  */
static void
add_era (const struct store *store, struct standin_request *request)
{
  if (store->era < 0)
    return;
  request->header_name = "Store-Era";
  (void)snprintf (request->header_value, sizeof request->header_value, "%lld",
                  (long long)store->era);
}

static void
add_event (struct store *store, json_t *object, bool tombstone)
{
  json_array_append_new (
      store->events,
      json_pack ("{s:b,s:O}", "tombstone", tombstone, "object", object));
}

/* Writes the object KEY.  NAME is that of its metadata, or stands for bytes.
 */
static json_t *
put_object (struct store *store, const char *key, const char *name,
            json_t *spec)
{
  json_t *object;

  store->revision++;
  object = json_pack ("{s:{s:s,s:I,s:[],s:b},s:O,s:n}", "metadata", "name",
                      name, "revision", store->revision, "finalizers",
                      "deleting", 0, "spec", spec, "status");
  json_object_set_new (object, "kind_for_events",
                       json_stringn (key, (size_t)(strchr (key, '/') - key)));
  json_object_set (store->objects, key, object);
  add_event (store, object, false);
  return json_incref (object);
}

static bool
is_of_kind (json_t *object, const char *kind)
{
  return strcmp (
             json_string_value (json_object_get (object, "kind_for_events")),
             kind)
         == 0;
}

static unsigned
hex_value (char digit)
{
  return digit <= '9' ? (unsigned)(digit - '0') : (unsigned)(digit - 'a') + 10;
}

/* Replaces the strings that stand for unchecked bytes in TEXT by them; the
   result is shorter.  Returns its length.  */
static size_t
insert_raw_bytes (char *text)
{
  const char *mark;
  const char *from = text;
  char *to = text;
  size_t length;

  while ((mark = strstr (from, "\"" RAW_MARK)) != NULL)
    {
      memmove (to, from, (size_t)(mark - from));
      to += mark - from;
      for (from = mark + strlen ("\"" RAW_MARK); *from != '"'; from += 2)
        *to++ = (char)(hex_value (from[0]) << 4 | hex_value (from[1]));
      from++;
    }
  length = strlen (from);
  memmove (to, from, length + 1);
  return (size_t)(to - text) + length;
}

/* Responds with BODY, which is released.  */
static enum MHD_Result
respond_objects (struct standin_request *request, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);
  enum MHD_Result result;

  json_decref (body);
  result = standin_respond_text (
      request, MHD_HTTP_OK, NULL,
      (struct ds_str){ .data = text, .length = insert_raw_bytes (text) });
  free (text);
  return result;
}

static ssize_t
read_endless (void *state, uint64_t position, char *buffer, size_t size)
{
  (void)state;
  (void)position;
  memset (buffer, ' ', size);
  return (ssize_t)size;
}

static enum MHD_Result
respond_endless (struct standin_request *request)
{
  struct MHD_Response *response = MHD_create_response_from_callback (
      MHD_SIZE_UNKNOWN, 16384, read_endless, NULL, NULL);
  enum MHD_Result result
      = MHD_queue_response (request->connection, MHD_HTTP_OK, response);

  MHD_destroy_response (response);
  return result;
}

/* An object and the bytes of its name, which is its place in lists.  */
struct named_object
{
  struct ds_str name;
  json_t *object;
};

/* The bytes of the name at the end of KEY.  */
static struct ds_str
name_of_key (TALLOC_CTX *owner, const char *key)
{
  const char *name = strchr (key, '/') + 1;
  char *bytes;
  size_t length;

  if (strncmp (name, RAW_NAME_MARK, strlen (RAW_NAME_MARK)) != 0)
    return ds_str_from_c (name);
  name += strlen (RAW_NAME_MARK);
  length = strlen (name) / 2;
  bytes = talloc_size (owner, length + 1);
  for (size_t i = 0; i < length; i++)
    bytes[i]
        = (char)(hex_value (name[2 * i]) << 4 | hex_value (name[2 * i + 1]));
  return (struct ds_str){ .data = bytes, .length = length };
}

static int
compare_names (const void *a, const void *b)
{
  const struct named_object *left = a;
  const struct named_object *right = b;

  return ds_str_compare (left->name, right->name);
}

/* Adds the objects of KIND whose names come after AFTER to ITEMS, as many as a
   page has.  Returns whether there are more.  The lock is held.  */
static bool
fill_page (const struct store *store, struct standin_request *request,
           const char *kind, struct ds_str after, json_t *items)
{
  struct named_object *objects
      = talloc_array (request, struct named_object,
                      (unsigned)json_object_size (store->objects) + 1);
  size_t count = 0;
  const char *key;
  json_t *object;

  json_object_foreach (store->objects, key, object)
  {
    struct ds_str name = name_of_key (request, key);

    if (is_of_kind (object, kind)
        && (after.data == NULL || ds_str_compare (name, after) > 0))
      objects[count++]
          = (struct named_object){ .name = name, .object = object };
  }
  qsort (objects, count, sizeof objects[0], compare_names);
  for (size_t i = 0; i < count; i++)
    {
      if (store->page_items > 0 && i == store->page_items)
        return true;
      json_array_append (items, objects[i].object);
    }
  return false;
}

static enum MHD_Result
list_objects (struct store *store, struct standin_request *request,
              const char *kind)
{
  struct ds_str after = standin_request_query_bytes (request, "after");
  json_t *items = json_array ();
  json_int_t revision;
  bool strict_names;
  bool has_more;

  pthread_mutex_lock (&store->lock);
  store->lists++;
  strict_names = store->strict_names;
  has_more = fill_page (store, request, kind, after, items);
  revision = store->revision;
  add_era (store, request);
  pthread_mutex_unlock (&store->lock);
  if (strict_names && after.data != NULL && !ds_str_is_utf8 (after))
    {
      json_decref (items);
      return standin_respond_error (request, MHD_HTTP_BAD_REQUEST,
                                    "after is no UTF-8");
    }
  return respond_objects (request, json_pack ("{s:o,s:b,s:I}", "items", items,
                                              "has_more", has_more,
                                              "current_rev", revision));
}

/* The events of KIND after the revision SINCE, or null if that part of the
   history has been discarded or the store does not have the revision.  */
static json_t *
events_since (struct store *store, const char *kind, json_int_t since)
{
  json_t *events = json_array ();
  size_t i;
  json_t *event;

  if (since < store->history_start || since > store->revision)
    {
      json_decref (events);
      return NULL;
    }
  json_array_foreach (store->events, i, event)
  {
    json_t *object = json_object_get (event, "object");

    if (json_integer_value (
            json_object_get (json_object_get (object, "metadata"), "revision"))
            > since
        && is_of_kind (object, kind))
      json_array_append (events, event);
  }
  return events;
}

/* Whether the events that a watch of KIND would return are lost.  */
static bool
loses_events (struct store *store, const char *kind, json_t *events)
{
  bool loses;

  pthread_mutex_lock (&store->lock);
  loses = json_array_size (events) > 0 && store->lose_watches > 0
          && strcmp (kind, store->lose_kind) == 0;
  if (loses)
    store->lose_watches--;
  pthread_mutex_unlock (&store->lock);
  return loses;
}

static enum MHD_Result
watch_objects (struct store *store, struct standin_request *request,
               const char *kind)
{
  json_int_t since
      = (json_int_t)standin_request_query_u64 (request, "watch", 0);
  uint64_t end_ms
      = standin_now_ms () + standin_request_query_u64 (request, "wait_ms", 0);
  json_t *events;
  json_int_t revision;

  for (;;)
    {
      pthread_mutex_lock (&store->lock);
      events = events_since (store, kind, since);
      revision = store->revision;
      add_era (store, request);
      pthread_mutex_unlock (&store->lock);
      if (events == NULL)
        return standin_respond_error (request, MHD_HTTP_GONE, "history gone");
      if (loses_events (store, kind, events))
        {
          json_decref (events);
          (void)standin_request_wait (request, SILENCE_MS);
          return standin_close_connection (request);
        }
      if (json_array_size (events) > 0 || standin_now_ms () >= end_ms)
        return respond_objects (request,
                                json_pack ("{s:o,s:I}", "events", events,
                                           "current_rev", revision));
      json_decref (events);
      if (!standin_request_wait (request, WATCH_POLL_MS))
        return standin_close_connection (request);
    }
}

static json_int_t
revision_of (json_t *object)
{
  return json_integer_value (
      json_object_get (json_object_get (object, "metadata"), "revision"));
}

/* Creates or replaces an object, or responds to a conflict with the current
   object.  */
static enum MHD_Result
write_object (struct store *store, struct standin_request *request,
              const char *kind, const char *path_name)
{
  json_t *body = json_loadb (request->body, request->body_length, 0, NULL);
  json_t *metadata = json_object_get (body, "metadata");
  const char *name
      = path_name != NULL
            ? path_name
            : json_string_value (json_object_get (metadata, "name"));
  json_t *base_revision = json_object_get (metadata, "revision");
  char key[KEY_BYTES];
  json_t *current;
  json_t *response;
  unsigned status = MHD_HTTP_OK;
  bool drop = false;

  if (name == NULL)
    {
      json_decref (body);
      return standin_respond_error (request, MHD_HTTP_BAD_REQUEST, "no name");
    }
  (void)snprintf (key, sizeof key, "%s/%s", kind, name);
  pthread_mutex_lock (&store->lock);
  add_era (store, request);
  current = json_object_get (store->objects, key);
  if (current != NULL
      && (path_name == NULL
          || (base_revision != NULL
              && json_integer_value (base_revision) != revision_of (current))))
    {
      status = MHD_HTTP_CONFLICT;
      response = json_incref (current);
    }
  else if (path_name != NULL && current == NULL)
    {
      status = MHD_HTTP_NOT_FOUND;
      response = json_object ();
    }
  else
    {
      response = put_object (store, key, name, json_object_get (body, "spec"));
      drop = store->lose_answers > 0 && strstr (kind, "ledger") != NULL;
      if (drop)
        store->lose_answers--;
    }
  pthread_mutex_unlock (&store->lock);
  json_decref (body);
  if (drop)
    {
      json_decref (response);
      return standin_close_connection (request);
    }
  return standin_respond_json (request, status, NULL, response);
}

static enum MHD_Result
read_object (struct store *store, struct standin_request *request,
             const char *kind, const char *name)
{
  char key[KEY_BYTES];
  json_t *object;

  (void)snprintf (key, sizeof key, "%s/%s", kind, name);
  pthread_mutex_lock (&store->lock);
  add_era (store, request);
  object = json_incref (json_object_get (store->objects, key));
  pthread_mutex_unlock (&store->lock);
  if (object == NULL)
    return standin_respond_error (request, MHD_HTTP_NOT_FOUND, "no object");
  return respond_objects (request, object);
}

/* Removes the object KEY; the lock is held.  */
static void
remove_object (struct store *store, const char *key)
{
  json_t *object = json_deep_copy (json_object_get (store->objects, key));

  if (object == NULL)
    return;
  store->revision++;
  json_object_set_new (json_object_get (object, "metadata"), "revision",
                       json_integer (store->revision));
  add_event (store, object, true);
  json_object_del (store->objects, key);
  json_decref (object);
}

static enum MHD_Result
delete_object (struct store *store, struct standin_request *request,
               const char *kind, const char *name)
{
  char key[KEY_BYTES];

  (void)snprintf (key, sizeof key, "%s/%s", kind, name);
  pthread_mutex_lock (&store->lock);
  add_era (store, request);
  remove_object (store, key);
  pthread_mutex_unlock (&store->lock);
  return standin_respond_json (request, MHD_HTTP_OK, NULL, json_object ());
}

static void
remove_registrations (struct store *store)
{
  const char *key;
  json_t *object;
  void *next;

  json_object_foreach_safe (store->objects, next, key, object)
  {
    if (is_of_kind (object, "servers"))
      remove_object (store, key);
  }
}

static enum MHD_Result
set_faults (struct store *store, struct standin_request *request)
{
  json_t *body = json_loadb (request->body, request->body_length, 0, NULL);
  const char *busy_kind
      = json_string_value (json_object_get (body, "busy_kind"));
  const char *lose_kind
      = json_string_value (json_object_get (body, "lose_kind"));

  pthread_mutex_lock (&store->lock);
  (void)snprintf (store->busy_kind, sizeof store->busy_kind, "%s",
                  busy_kind != NULL ? busy_kind : "");
  (void)snprintf (store->lose_kind, sizeof store->lose_kind, "%s",
                  lose_kind != NULL ? lose_kind : "");
  store->lose_watches
      = json_integer_value (json_object_get (body, "lose_watches"));
  store->busy = json_is_true (json_object_get (body, "busy"));
  store->silent = json_is_true (json_object_get (body, "silent"));
  store->endless = json_is_true (json_object_get (body, "endless"));
  store->strict_names = json_is_true (json_object_get (body, "strict_names"));
  store->lose_answers
      = json_integer_value (json_object_get (body, "lose_answers"));
  if (json_is_true (json_object_get (body, "lapse")))
    remove_registrations (store);
  if (json_is_true (json_object_get (body, "compact")))
    {
      store->revision++;
      store->history_start = store->revision;
      json_array_clear (store->events);
    }
  pthread_mutex_unlock (&store->lock);
  json_decref (body);
  return standin_respond_json (request, MHD_HTTP_OK, NULL, json_object ());
}

static enum MHD_Result
get_counts (struct store *store, struct standin_request *request)
{
  json_t *counts;

  pthread_mutex_lock (&store->lock);
  counts = json_pack ("{s:I,s:I,s:I,s:I}", "lists", store->lists, "watches",
                      store->watches, "ledger_reads", store->ledger_reads,
                      "ledger_writes", store->ledger_writes);
  pthread_mutex_unlock (&store->lock);
  return standin_respond_json (request, MHD_HTTP_OK, NULL, counts);
}

static enum MHD_Result
write_raw (struct store *store, struct standin_request *request)
{
  const char *key = request->path + strlen (RAW_PREFIX);
  const char *slash = strchr (key, '/');
  char *text = malloc (sizeof RAW_MARK + 2 * request->body_length);
  size_t length = strlen (RAW_MARK);
  json_t *spec;

  if (slash == NULL || text == NULL)
    {
      free (text);
      return standin_respond_error (request, MHD_HTTP_BAD_REQUEST, "no name");
    }
  memcpy (text, RAW_MARK, sizeof RAW_MARK);
  for (size_t i = 0; i < request->body_length; i++)
    length += (size_t)sprintf (text + length, "%02x",
                               (unsigned char)request->body[i]);
  spec = json_string (text);
  free (text);
  pthread_mutex_lock (&store->lock);
  json_decref (put_object (store, key, slash + 1, spec));
  pthread_mutex_unlock (&store->lock);
  json_decref (spec);
  return standin_respond_json (request, MHD_HTTP_OK, NULL, json_object ());
}

/* Writes an object by the bytes of its name.  */
static enum MHD_Result
write_entry (struct store *store, struct standin_request *request)
{
  json_t *body = json_loadb (request->body, request->body_length, 0, NULL);
  const char *kind = json_string_value (json_object_get (body, "kind"));
  const char *digits = json_string_value (json_object_get (body, "name"));
  const char *text = json_string_value (json_object_get (body, "text"));
  json_t *spec = json_object_get (body, "spec");
  char *key;
  char *name;

  if (kind == NULL || digits == NULL || text == NULL || spec == NULL)
    {
      json_decref (body);
      return standin_respond_error (request, MHD_HTTP_BAD_REQUEST,
                                    "kind, name, text or spec is missing");
    }
  key = talloc_asprintf (request, "%s/" RAW_NAME_MARK "%s", kind, digits);
  name = talloc_asprintf (request, RAW_MARK "%s", text);
  pthread_mutex_lock (&store->lock);
  json_decref (put_object (store, key, name, spec));
  pthread_mutex_unlock (&store->lock);
  json_decref (body);
  return standin_respond_json (request, MHD_HTTP_OK, NULL, json_object ());
}

static enum MHD_Result
set_page_items (struct store *store, struct standin_request *request)
{
  pthread_mutex_lock (&store->lock);
  store->page_items = strtoul (request->body, NULL, 10);
  pthread_mutex_unlock (&store->lock);
  return standin_respond_json (request, MHD_HTTP_OK, NULL, json_object ());
}

static enum MHD_Result
set_era (struct store *store, struct standin_request *request)
{
  pthread_mutex_lock (&store->lock);
  store->era = (json_int_t)strtoll (request->body, NULL, 10);
  pthread_mutex_unlock (&store->lock);
  return standin_respond_json (request, MHD_HTTP_OK, NULL, json_object ());
}

/* Objects and events are never changed after they were added, so it is enough
   to copy their containers.  */
static enum MHD_Result
make_copy (struct store *store, struct standin_request *request)
{
  pthread_mutex_lock (&store->lock);
  json_decref (store->copied_objects);
  json_decref (store->copied_events);
  store->copied_objects = json_copy (store->objects);
  store->copied_events = json_copy (store->events);
  store->copied_revision = store->revision;
  store->copied_history_start = store->history_start;
  pthread_mutex_unlock (&store->lock);
  return standin_respond_json (request, MHD_HTTP_OK, NULL, json_object ());
}

static enum MHD_Result
restore (struct store *store, struct standin_request *request)
{
  if (store->copied_objects == NULL)
    return standin_respond_error (request, MHD_HTTP_CONFLICT, "no copy");
  pthread_mutex_lock (&store->lock);
  json_decref (store->objects);
  json_decref (store->events);
  store->objects = json_copy (store->copied_objects);
  store->events = json_copy (store->copied_events);
  store->revision = store->copied_revision;
  store->history_start = store->copied_history_start;
  if (store->era >= 0)
    store->era++;
  pthread_mutex_unlock (&store->lock);
  return standin_respond_json (request, MHD_HTTP_OK, NULL, json_object ());
}

static enum MHD_Result
handle (void *state, struct standin_request *request)
{
  struct store *store = state;
  char kind[64];
  char *slash;
  bool busy;
  bool silent;
  bool endless;

  if (standin_request_matches (request, "POST", "/standin/faults"))
    return set_faults (store, request);
  if (standin_request_matches (request, "GET", "/standin/counts"))
    return get_counts (store, request);
  if (standin_request_matches (request, "POST", "/standin/entries"))
    return write_entry (store, request);
  if (standin_request_matches (request, "POST", "/standin/page_items"))
    return set_page_items (store, request);
  if (standin_request_matches (request, "POST", "/standin/era"))
    return set_era (store, request);
  if (standin_request_matches (request, "POST", "/standin/copy"))
    return make_copy (store, request);
  if (standin_request_matches (request, "POST", "/standin/restore"))
    return restore (store, request);
  if (strncmp (request->path, RAW_PREFIX, strlen (RAW_PREFIX)) == 0)
    return write_raw (store, request);
  if (strncmp (request->path, OBJECTS_PREFIX, strlen (OBJECTS_PREFIX)) != 0)
    return standin_respond_error (request, MHD_HTTP_NOT_FOUND, "no such path");
  pthread_mutex_lock (&store->lock);
  busy = store->busy;
  silent = store->silent;
  endless = store->endless;
  add_era (store, request);
  if (standin_request_query (request, "watch") != NULL)
    store->watches++;
  else if (strstr (request->path, "ledger") != NULL)
    *(strcmp (request->method, "GET") != 0 ? &store->ledger_writes
                                           : &store->ledger_reads)
        += 1;
  (void)snprintf (kind, sizeof kind, "%s",
                  request->path + strlen (OBJECTS_PREFIX));
  slash = strchr (kind, '/');
  if (slash != NULL)
    *slash++ = '\0';
  busy = busy || strcmp (kind, store->busy_kind) == 0;
  pthread_mutex_unlock (&store->lock);
  if (silent)
    {
      (void)standin_request_wait (request, SILENCE_MS);
      return standin_close_connection (request);
    }
  if (busy)
    return standin_respond_error (request, MHD_HTTP_SERVICE_UNAVAILABLE,
                                  "busy");
  if (endless && slash == NULL && strcmp (request->method, "GET") == 0)
    return respond_endless (request);
  if (strcmp (request->method, "POST") == 0
      || strcmp (request->method, "PUT") == 0)
    return write_object (store, request, kind, slash);
  if (strcmp (request->method, "DELETE") == 0)
    return delete_object (store, request, kind, slash);
  if (slash != NULL)
    return read_object (store, request, kind, slash);
  if (standin_request_query (request, "watch") != NULL)
    return watch_objects (store, request, kind);
  return list_objects (store, request, kind);
}

int
main (int argc, char **argv)
{
  struct store store = { .objects = json_object (),
                         .events = json_array (),
                         .revision = 1,
                         .era = -1 };
  struct standin_arguments arguments;
  int status = EXIT_FAILURE;

  pthread_mutex_init (&store.lock, NULL);
  standin_arguments_init (&arguments);
  void *table[] = { arguments.help, arguments.address, arguments.ready_file,
                    arguments.stop_after_ms, arg_end (8) };
  if (standin_arguments_parse (&arguments, table, argc, argv) == 0)
    status = standin_run (&arguments, handle, &store);
  arg_freetable (table, sizeof table / sizeof table[0]);
  json_decref (store.objects);
  json_decref (store.events);
  json_decref (store.copied_objects);
  json_decref (store.copied_events);
  pthread_mutex_destroy (&store.lock);
  return status;
}
