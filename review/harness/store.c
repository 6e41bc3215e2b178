#include "harness.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Stand-in for the platform's metadata store.  It keeps the spec of an object
   as the text that its writer has sent.  */

#define OBJECTS_PREFIX "/daisystep/objects/"
#define OBJECTS_MAX 1024
#define EVENTS_MAX 65536
#define IDLE_TIMEOUT_MS 120000
#define WATCH_POLL_MS 5

struct object
{
  char kind[64];
  char name[128];
  char *text; /* the whole object as JSON */
  uint64_t revision;
  bool exists;
};

struct event
{
  char kind[64];
  char *text;
  uint64_t revision;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct object objects[OBJECTS_MAX];
static size_t object_count;
static struct event events[EVENTS_MAX];
static size_t event_count;
static uint64_t revision = 1;
static char address[REVIEW_ADDRESS_BYTES];
static int listen_fd;

static struct object *
find (const char *kind, const char *name)
{
  for (size_t i = 0; i < object_count; i++)
    if (strcmp (objects[i].kind, kind) == 0
        && strcmp (objects[i].name, name) == 0)
      return &objects[i];
  return NULL;
}

static void
add_event (const struct object *object, bool tombstone)
{
  struct event *event = &events[event_count];

  if (event_count == EVENTS_MAX)
    review_give_up ("the store's history is full");
  (void)snprintf (event->kind, sizeof event->kind, "%s", object->kind);
  event->revision = object->revision;
  if (asprintf (&event->text, "{\"tombstone\":%s,\"object\":%s}",
                tombstone ? "true" : "false", object->text)
      < 0)
    abort ();
  event_count++;
}

/* Writes an object; the lock is held.  */
static struct object *
put_locked (const char *kind, const char *name, const char *spec)
{
  struct object *object = find (kind, name);

  if (object == NULL)
    {
      if (object_count == OBJECTS_MAX)
        review_give_up ("the store is full");
      object = &objects[object_count++];
      (void)snprintf (object->kind, sizeof object->kind, "%s", kind);
      (void)snprintf (object->name, sizeof object->name, "%s", name);
    }
  object->exists = true;
  object->revision = ++revision;
  free (object->text);
  if (asprintf (&object->text,
                "{\"metadata\":{\"name\":\"%s\",\"revision\":%llu,"
                "\"created_rev\":1,\"finalizers\":[],\"deleting\":false},"
                "\"spec\":%s,\"status\":null}",
                name, (unsigned long long)object->revision, spec)
      < 0)
    abort ();
  add_event (object, false);
  return object;
}

/* Writes an object as the operator, a replica or another writer does, and
   returns the time of the acknowledgement.  */
uint64_t
review_store_put (const char *kind, const char *name, const char *spec)
{
  uint64_t now_ms;

  pthread_mutex_lock (&lock);
  (void)put_locked (kind, name, spec);
  now_ms = review_now_ms ();
  pthread_mutex_unlock (&lock);
  review_record ("store: %s/%s is written: %.200s", kind, name, spec);
  return now_ms;
}

/* Removes an object.  */
uint64_t
review_store_delete (const char *kind, const char *name)
{
  struct object *object;
  uint64_t now_ms;

  pthread_mutex_lock (&lock);
  object = find (kind, name);
  if (object != NULL && object->exists)
    {
      object->exists = false;
      object->revision = ++revision;
      free (object->text);
      if (asprintf (&object->text,
                    "{\"metadata\":{\"name\":\"%s\",\"revision\":%llu},"
                    "\"spec\":null,\"status\":null}",
                    name, (unsigned long long)object->revision)
          < 0)
        abort ();
      add_event (object, true);
    }
  now_ms = review_now_ms ();
  pthread_mutex_unlock (&lock);
  review_record ("store: %s/%s is removed", kind, name);
  return now_ms;
}

static void
respond (int fd, int status, const char *body)
{
  char head[160];

  (void)snprintf (head, sizeof head,
                  "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
                  "Content-Length: %zu\r\n\r\n",
                  status, status < 300 ? "OK" : "Refused", strlen (body));
  if (review_send (fd, head, strlen (head)))
    (void)review_send (fd, body, strlen (body));
}

static int
compare_names (const void *a, const void *b)
{
  const struct object *const *left = a;
  const struct object *const *right = b;

  return strcmp ((*left)->name, (*right)->name);
}

/* Lists the objects of KIND by name.  */
static void
list (int fd, const char *kind)
{
  char *body = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&body, &size);
  const struct object *found[OBJECTS_MAX];
  size_t count = 0;

  pthread_mutex_lock (&lock);
  for (size_t i = 0; i < object_count; i++)
    if (objects[i].exists && strcmp (objects[i].kind, kind) == 0)
      found[count++] = &objects[i];
  qsort (found, count, sizeof found[0], compare_names);
  (void)fputs ("{\"items\":[", out);
  for (size_t i = 0; i < count; i++)
    (void)fprintf (out, "%s%s", i > 0 ? "," : "", found[i]->text);
  (void)fprintf (out, "],\"has_more\":false,\"current_rev\":%llu}",
                 (unsigned long long)revision);
  pthread_mutex_unlock (&lock);
  (void)fclose (out);
  respond (fd, 200, body);
  free (body);
}

static bool
is_closed (int fd)
{
  char byte;

  return recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void
watch (int fd, const char *kind, uint64_t since, uint64_t wait_ms)
{
  uint64_t until_ms = review_now_ms () + wait_ms;
  char *body = NULL;
  size_t size = 0;
  FILE *out;
  bool first = true;

  for (;;)
    {
      bool found = false;

      pthread_mutex_lock (&lock);
      for (size_t i = event_count; i > 0 && !found; i--)
        {
          if (events[i - 1].revision <= since)
            break;
          found = strcmp (events[i - 1].kind, kind) == 0;
        }
      if (found || review_now_ms () >= until_ms || is_closed (fd))
        break;
      pthread_mutex_unlock (&lock);
      review_sleep_ms (WATCH_POLL_MS);
    }
  out = open_memstream (&body, &size);
  (void)fputs ("{\"events\":[", out);
  for (size_t i = 0; i < event_count; i++)
    if (events[i].revision > since && strcmp (events[i].kind, kind) == 0)
      {
        (void)fprintf (out, "%s%s", first ? "" : ",", events[i].text);
        first = false;
      }
  (void)fprintf (out, "],\"current_rev\":%llu}", (unsigned long long)revision);
  pthread_mutex_unlock (&lock);
  (void)fclose (out);
  respond (fd, 200, body);
  free (body);
}

static void
write_object (int fd, const char *kind, const char *path_name,
              const struct review_message *request)
{
  json_t *body
      = json_loadb (request->body, request->body_length, JSON_ALLOW_NUL, NULL);
  json_t *metadata = json_object_get (body, "metadata");
  json_t *condition = json_object_get (metadata, "revision");
  const char *name
      = path_name != NULL
            ? path_name
            : json_string_value (json_object_get (metadata, "name"));
  json_t *spec_value = json_object_get (body, "spec");
  char *spec = json_dumps (spec_value, JSON_COMPACT | JSON_ENCODE_ANY);
  struct object *object;
  char *text;
  int status = 200;

  if (name == NULL || spec == NULL)
    {
      respond (fd, 400, "{}");
      free (spec);
      json_decref (body);
      return;
    }
  pthread_mutex_lock (&lock);
  object = find (kind, name);
  if (object != NULL && !object->exists)
    object = NULL;
  if (path_name == NULL && object != NULL)
    status = 409;
  else if (path_name != NULL && object == NULL)
    status = 404;
  else if (condition != NULL && object != NULL
           && (uint64_t)json_integer_value (condition) != object->revision)
    status = 409;
  else
    object = put_locked (kind, name, spec);
  text = strdup (object != NULL ? object->text : "{}");
  pthread_mutex_unlock (&lock);
  respond (fd, status, text);
  free (text);
  free (spec);
  json_decref (body);
}

static void
read_object (int fd, const char *kind, const char *name)
{
  struct object *object;
  char *text;

  pthread_mutex_lock (&lock);
  object = find (kind, name);
  text = object != NULL && object->exists ? strdup (object->text) : NULL;
  pthread_mutex_unlock (&lock);
  respond (fd, text != NULL ? 200 : 404, text != NULL ? text : "{}");
  free (text);
}

static void
handle (int fd, const struct review_message *request)
{
  char path[1024];
  char *query;
  char *name;
  char *kind = path + strlen (OBJECTS_PREFIX);

  (void)snprintf (path, sizeof path, "%s", request->target);
  if (strncmp (path, OBJECTS_PREFIX, strlen (OBJECTS_PREFIX)) != 0)
    {
      respond (fd, 404, "{}");
      return;
    }
  query = strchr (path, '?');
  if (query != NULL)
    *query++ = '\0';
  name = strchr (kind, '/');
  if (name != NULL)
    *name++ = '\0';
  if (strcmp (request->method, "GET") != 0)
    write_object (fd, kind, name, request);
  else if (name != NULL)
    read_object (fd, kind, name);
  else if (query != NULL && strstr (query, "watch=") != NULL)
    {
      const char *wait = strstr (query, "wait_ms=");

      watch (fd, kind, strtoull (strstr (query, "watch=") + 6, NULL, 10),
             wait != NULL ? strtoull (wait + 8, NULL, 10) : 0);
    }
  else
    list (fd, kind);
}

static void *
serve (void *data)
{
  struct review_reader reader = { .fd = (int)(intptr_t)data };
  struct review_message *request = calloc (1, sizeof *request);

  while (review_read_message (&reader, request, IDLE_TIMEOUT_MS)
         && request->complete)
    {
      handle (reader.fd, request);
      review_message_free (request);
    }
  review_message_free (request);
  free (request);
  (void)close (reader.fd);
  review_reader_free (&reader);
  return NULL;
}

static void *
accept_calls (void *unused)
{
  (void)unused;
  for (;;)
    {
      int fd = accept4 (listen_fd, NULL, NULL, SOCK_CLOEXEC);
      pthread_t thread;

      if (fd < 0)
        continue;
      if (pthread_create (&thread, NULL, serve, (void *)(intptr_t)fd) != 0)
        (void)close (fd);
      else
        (void)pthread_detach (thread);
    }
  return NULL;
}

/* Starts the store on a free port.  */
void
review_store_start (void)
{
  uint16_t port = 0;
  pthread_t thread;

  listen_fd = review_listen (&port, false);
  (void)snprintf (address, sizeof address, "127.0.0.1:%u", port);
  (void)pthread_create (&thread, NULL, accept_calls, NULL);
  (void)pthread_detach (thread);
}

const char *
review_store_address (void)
{
  return address;
}
