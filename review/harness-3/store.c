#include "play.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define PREFIX "/daisystep/objects/"
#define POLL_MS 5

/* Stand-in of the platform's store: objects by kind and name, one revision
   counter, lists, watches and conditional writes.  */
struct play_store
{
  pthread_mutex_t lock;
  json_t *objects; /* KIND/NAME to object */
  json_t *events;
  json_int_t revision;
  json_int_t history_start;
  long era;
  double lose_share;
  bool lose_late;
  bool away;
  unsigned lost;
  unsigned writes;
  json_t *copied_objects;
  json_t *copied_events;
  json_int_t copied_revision;
};

/* One address of a store, for the machines that use it.  */
struct play_path
{
  struct play_store *store;
  volatile bool cut; /* calls get no response */
};

struct write
{
  struct play_store *store;
  char kind[64];
  char name[128];
  bool creates;
  bool conditional;
  json_int_t revision;
  json_t *spec;
  long era; /* in which it was received */
  uint64_t delay_ms;
};

static void
era_line (char *out, size_t size, const struct play_store *store)
{
  (void)snprintf (out, size,
                  "Content-Type: application/json\r\nStore-Era: %ld\r\n",
                  store->era);
  if (store->era < 0)
    (void)snprintf (out, size, "Content-Type: application/json\r\n");
}

static bool
respond (struct play_request *request, const char *lines, int status,
         json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);
  bool goes_on = play_answer (request, status, lines, text, strlen (text));

  free (text);
  json_decref (body);
  return goes_on;
}

static json_t *
put_locked (struct play_store *store, const char *kind, const char *name,
            json_t *spec)
{
  char key[256];
  json_t *object;

  (void)snprintf (key, sizeof key, "%s/%s", kind, name);
  store->revision++;
  object = json_pack ("{s:{s:s,s:I,s:I,s:[],s:b},s:O,s:n}", "metadata", "name",
                      name, "revision", store->revision, "created_rev",
                      store->revision, "finalizers", "deleting", 0, "spec",
                      spec, "status");
  json_object_set (store->objects, key, object);
  json_array_append_new (store->events,
                         json_pack ("{s:s,s:I,s:{s:b,s:O}}", "kind", kind,
                                    "revision", store->revision, "event",
                                    "tombstone", 0, "object", object));
  return object;
}

/* Applies WRITE and returns the status and a new reference to the object in
   the response.  The lock is held.  */
static int
apply (struct play_store *store, const struct write *write, json_t **object)
{
  char key[256];
  json_t *current;

  (void)snprintf (key, sizeof key, "%s/%s", write->kind, write->name);
  current = json_object_get (store->objects, key);
  if (current == NULL && !write->creates)
    {
      *object = json_object ();
      return 404;
    }
  if (current != NULL
      && (write->creates
          || (write->conditional
              && json_integer_value (json_object_get (
                     json_object_get (current, "metadata"), "revision"))
                     != write->revision)))
    {
      *object = json_incref (current);
      return 409;
    }
  *object = put_locked (store, write->kind, write->name, write->spec);
  if (getenv ("PLAY_LEDGER") != NULL && strstr (write->kind, "ledger") != NULL)
    {
      char *text = json_dumps (write->spec, JSON_COMPACT);
      play_record ("ledger %s %s", write->name, text);
      free (text);
    }
  return 200;
}

static void *
apply_late (void *state)
{
  struct write *write = state;
  struct play_store *store = write->store;
  json_t *object = NULL;
  int status = 0;

  play_sleep_ms (write->delay_ms);
  pthread_mutex_lock (&store->lock);
  if (write->era == store->era)
    status = apply (store, write, &object);
  pthread_mutex_unlock (&store->lock);
  play_record ("store: %s/%s, a write without a response, executed %.1f s "
               "later: %d",
               write->kind, write->name, (double)write->delay_ms / 1000,
               status);
  json_decref (object);
  json_decref (write->spec);
  free (write);
  return NULL;
}

/* Lets the client wait until it gives up the connection.  */
static bool
stay_silent (struct play_request *request)
{
  char byte;

  while (read (request->fd, &byte, 1) > 0)
    ;
  return false;
}

static bool
handle_write (struct play_store *store, struct play_request *request,
              const char *kind, const char *name)
{
  json_t *body = json_loadb (request->body, request->body_length, 0, NULL);
  json_t *metadata = json_object_get (body, "metadata");
  json_t *revision = json_object_get (metadata, "revision");
  struct write write = { .store = store,
                         .creates = name == NULL,
                         .conditional = revision != NULL,
                         .revision = json_integer_value (revision),
                         .spec = json_object_get (body, "spec") };
  json_t *object = NULL;
  char lines[128];
  bool loses;
  int status = 0;

  if (name == NULL)
    name = json_string_value (json_object_get (metadata, "name"));
  (void)snprintf (write.kind, sizeof write.kind, "%s", kind);
  (void)snprintf (write.name, sizeof write.name, "%s", name);
  pthread_mutex_lock (&store->lock);
  store->writes++;
  write.era = store->era;
  loses = store->lose_share > 0 && play_random () < store->lose_share;
  if (loses)
    store->lost++;
  if (!loses || !store->lose_late)
    status = apply (store, &write, &object);
  era_line (lines, sizeof lines, store);
  pthread_mutex_unlock (&store->lock);
  if (loses && store->lose_late)
    {
      struct write *late = malloc (sizeof *late);

      *late = write;
      json_incref (late->spec);
      late->delay_ms = 1000 + (uint64_t)(play_random () * 5000);
      play_record ("store: %s/%s, a write gets no response", kind, name);
      play_thread (apply_late, late);
    }
  json_decref (body);
  if (loses)
    {
      json_decref (object);
      return stay_silent (request);
    }
  return respond (request, lines, status, object);
}

static uint64_t
query_number (const char *target, const char *name)
{
  const char *at = strstr (target, name);

  return at != NULL ? strtoull (at + strlen (name), NULL, 10) : 0;
}

static bool
handle_watch (struct play_path *path, struct play_request *request,
              const char *kind)
{
  struct play_store *store = path->store;
  json_int_t since = (json_int_t)query_number (request->target, "watch=");
  uint64_t until_ms
      = play_now_ms () + query_number (request->target, "wait_ms=");
  char lines[128];

  for (;;)
    {
      json_t *found = json_array ();
      json_int_t revision;
      bool gone;
      size_t i;
      json_t *event;

      pthread_mutex_lock (&store->lock);
      gone = since < store->history_start || since > store->revision;
      json_array_foreach (store->events, i, event)
      {
        if (json_integer_value (json_object_get (event, "revision")) > since
            && strcmp (json_string_value (json_object_get (event, "kind")),
                       kind)
                   == 0)
          json_array_append (found, json_object_get (event, "event"));
      }
      revision = store->revision;
      era_line (lines, sizeof lines, store);
      pthread_mutex_unlock (&store->lock);
      if (gone)
        {
          json_decref (found);
          return respond (request, lines, 410, json_object ());
        }
      if (json_array_size (found) > 0 || play_now_ms () >= until_ms)
        return respond (
            request, lines, 200,
            json_pack ("{s:o,s:I}", "events", found, "current_rev", revision));
      json_decref (found);
      if (store->away)
        return false;
      if (path->cut)
        return stay_silent (request);
      play_sleep_ms (POLL_MS);
    }
}

static bool
handle_list (struct play_store *store, struct play_request *request,
             const char *kind)
{
  json_t *items = json_array ();
  char prefix[80];
  char lines[128];
  json_int_t revision;
  const char *key;
  json_t *object;

  (void)snprintf (prefix, sizeof prefix, "%s/", kind);
  pthread_mutex_lock (&store->lock);
  json_object_foreach (store->objects, key, object)
  {
    if (strncmp (key, prefix, strlen (prefix)) == 0)
      json_array_append (items, object);
  }
  revision = store->revision;
  era_line (lines, sizeof lines, store);
  pthread_mutex_unlock (&store->lock);
  return respond (request, lines, 200,
                  json_pack ("{s:o,s:b,s:I}", "items", items, "has_more", 0,
                             "current_rev", revision));
}

static bool
handle_get (struct play_store *store, struct play_request *request,
            const char *kind, const char *name)
{
  char key[256];
  char lines[128];
  json_t *object;

  (void)snprintf (key, sizeof key, "%s/%s", kind, name);
  pthread_mutex_lock (&store->lock);
  object = json_incref (json_object_get (store->objects, key));
  era_line (lines, sizeof lines, store);
  pthread_mutex_unlock (&store->lock);
  return respond (request, lines, object != NULL ? 200 : 404,
                  object != NULL ? object : json_object ());
}

static bool
handle (struct play_request *request, void *state)
{
  struct play_path *path = state;
  struct play_store *store = path->store;
  char kind[256];
  char *name;
  char *query;

  if (store->away)
    return false;
  if (path->cut)
    return stay_silent (request);
  if (strncmp (request->target, PREFIX, strlen (PREFIX)) != 0)
    return play_answer (request, 404, "", "{}", 2);
  (void)snprintf (kind, sizeof kind, "%s", request->target + strlen (PREFIX));
  query = strchr (kind, '?');
  if (query != NULL)
    *query = '\0';
  name = strchr (kind, '/');
  if (name != NULL)
    *name++ = '\0';
  if (strcmp (request->method, "GET") != 0)
    return handle_write (store, request, kind, name);
  if (name != NULL)
    return handle_get (store, request, kind, name);
  if (strstr (request->target, "watch=") != NULL)
    return handle_watch (path, request, kind);
  return handle_list (store, request, kind);
}

/* Starts a store.  Its responses carry ERA unless it is below 0.  */
struct play_store *
play_store_new (const char *address, long era)
{
  struct play_store *store = calloc (1, sizeof *store);

  pthread_mutex_init (&store->lock, NULL);
  store->objects = json_object ();
  store->events = json_array ();
  store->revision = 100;
  store->history_start = 100;
  store->era = era;
  (void)play_store_path (store, address);
  return store;
}

/* Serves the store at a further ADDRESS, whose users can be cut off.  */
struct play_path *
play_store_path (struct play_store *store, const char *address)
{
  struct play_path *path = calloc (1, sizeof *path);

  path->store = store;
  play_serve (address, handle, path);
  return path;
}

/* While PATH is cut, calls that come by it are lost: none is executed, and
   none gets a response.  */
void
play_path_cut (struct play_path *path, bool cut)
{
  path->cut = cut;
}

/* Writes an object as the operator or a replica does.  Takes SPEC over.  */
void
play_store_put (struct play_store *store, const char *kind, const char *name,
                json_t *spec)
{
  pthread_mutex_lock (&store->lock);
  json_decref (put_locked (store, kind, name, spec));
  pthread_mutex_unlock (&store->lock);
  json_decref (spec);
}

/* From now on SHARE of the writes get no response.  With LATE, they are
   executed 1 to 6 s later if their conditions still hold, else at once.  */
void
play_store_lose (struct play_store *store, double share, bool late)
{
  pthread_mutex_lock (&store->lock);
  store->lose_share = share;
  store->lose_late = late;
  pthread_mutex_unlock (&store->lock);
}

/* A new reference to an object; null if there is none.  */
json_t *
play_store_get (struct play_store *store, const char *kind, const char *name)
{
  char key[256];
  json_t *object;

  (void)snprintf (key, sizeof key, "%s/%s", kind, name);
  pthread_mutex_lock (&store->lock);
  object = json_incref (json_object_get (store->objects, key));
  pthread_mutex_unlock (&store->lock);
  return object;
}

/* Keeps a copy, to which play_store_restore returns.  */
void
play_store_copy (struct play_store *store)
{
  pthread_mutex_lock (&store->lock);
  store->copied_objects = json_copy (store->objects);
  store->copied_events = json_copy (store->events);
  store->copied_revision = store->revision;
  pthread_mutex_unlock (&store->lock);
}

/* While it is away, the store closes all connections without a response.  */
void
play_store_away (struct play_store *store, bool away)
{
  pthread_mutex_lock (&store->lock);
  store->away = away;
  pthread_mutex_unlock (&store->lock);
}

/* Returns to the copy: later writes are lost, and the era rises by one.  */
void
play_store_restore (struct play_store *store)
{
  pthread_mutex_lock (&store->lock);
  json_decref (store->objects);
  json_decref (store->events);
  store->objects = json_copy (store->copied_objects);
  store->events = json_copy (store->copied_events);
  store->revision = store->copied_revision;
  store->era++;
  pthread_mutex_unlock (&store->lock);
}

unsigned
play_store_lost (struct play_store *store)
{
  return store->lost;
}

unsigned
play_store_writes (struct play_store *store)
{
  return store->writes;
}
