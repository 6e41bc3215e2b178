#include "common_server.h"

#include <argtable2.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/* Stand-in for a faulty replica of the platform: it sends what a script says,
   byte for byte.  POST /standin/responses adds one response to the script:

     {"not_run": BOOL, "for_resumed": BOOL, "steps": [{STEP: TEXT}, ...]}

   Each request takes the next response; those with "for_resumed" are for
   requests with a Last-Event-Id alone.  Without one it gets a sound response:
   six events below /stream/, else the id of the replica and the body.  A
   request counts as executed unless "not_run" is set.  The steps:

     "send"       sends the text
     "chunk"      sends it as one chunk
     "fill"       sends as many bytes as the text says
     "repeat"     sends the text again and again, until the connection ends
     "wait_ms"    waits
     "await_request"  waits until bytes of the next request arrive; the
                  placeholders still stand for the present one
     "read_body"  reads the body of the request here; without this step it is
                  read before the first one
     "half_close" closes the connection for sending alone
     "close"      closes the connection
     "reset"      resets the connection

   In a text, {id} stands for the id of the request, {previous} for that of the
   request before on this connection, and {replica} for the id of the replica.
   POST /standin/clear drops what is left of the script.  GET /standin/runs
   returns the executed requests, GET /standin/left the number of responses
   that are left.  */

#define HEAD_BYTES_MAX 16384
#define VALUE_BYTES_MAX 128
#define CONNECTIONS_MAX 1024
#define EVENTS 6
#define THREAD_STACK_BYTES ((size_t)256 * 1024)

struct replica
{
  pthread_mutex_t lock;
  const char *id;
  json_t *responses; /* of the script that are left */
  json_t *runs;      /* of {"id", "tenant", "key", "last", "expected"} */
  int listen_fd;
};

struct connection
{
  struct replica *replica;
  int fd;
  char head[HEAD_BYTES_MAX + 1]; /* of the request, zero-terminated */
  char rest[HEAD_BYTES_MAX];     /* received after the head */
  size_t rest_length;
  char id[VALUE_BYTES_MAX];
  char previous[VALUE_BYTES_MAX];
  char *body; /* of the request, zero-terminated */
  bool body_read;
  bool open;
};

static bool
send_bytes (const struct connection *c, const char *data, size_t length)
{
  while (length > 0)
    {
      ssize_t sent = send (c->fd, data, length, MSG_NOSIGNAL);

      if (sent <= 0)
        return false;
      data += sent;
      length -= (size_t)sent;
    }
  return true;
}

/* Receives more bytes after those in REST; false at the end of the
   connection.  */
static bool
receive_more (struct connection *c)
{
  ssize_t received;

  if (c->rest_length == sizeof c->rest)
    return false;
  received = recv (c->fd, c->rest + c->rest_length,
                   sizeof c->rest - c->rest_length, 0);
  if (received <= 0)
    return false;
  c->rest_length += (size_t)received;
  return true;
}

static void
drop_received (struct connection *c, size_t length)
{
  c->rest_length -= length;
  memmove (c->rest, c->rest + length, c->rest_length);
}

/* Reads the head of the next request; false at the end of the connection.  */
static bool
read_head (struct connection *c)
{
  const char *end;

  while ((end = memmem (c->rest, c->rest_length, "\r\n\r\n", 4)) == NULL)
    if (!receive_more (c))
      return false;
  memcpy (c->head, c->rest, (size_t)(end - c->rest) + 2);
  c->head[(size_t)(end - c->rest) + 2] = '\0';
  drop_received (c, (size_t)(end - c->rest) + 4);
  return true;
}

/* Copies the value of the header NAME; an empty text if it is absent.  */
static void
copy_header (char out[static VALUE_BYTES_MAX], const struct connection *c,
             const char *name)
{
  const char *line = strstr (c->head, "\r\n");
  size_t length = strlen (name);

  out[0] = '\0';
  for (; line != NULL; line = strstr (line + 2, "\r\n"))
    if (strncasecmp (line + 2, name, length) == 0 && line[2 + length] == ':')
      {
        const char *value = line + 2 + length + 1;

        value += strspn (value, " ");
        (void)snprintf (out, VALUE_BYTES_MAX, "%.*s",
                        (int)strcspn (value, "\r"), value);
        return;
      }
}

static bool
read_body (struct connection *c)
{
  char value[VALUE_BYTES_MAX];
  size_t length;
  size_t filled = 0;

  if (c->body_read)
    return true;
  copy_header (value, c, "Content-Length");
  length = strtoul (value, NULL, 10);
  c->body = calloc (1, length + 1);
  while (filled < length)
    {
      size_t part = c->rest_length < length - filled ? c->rest_length
                                                     : length - filled;

      memcpy (c->body + filled, c->rest, part);
      drop_received (c, part);
      filled += part;
      if (filled < length && c->rest_length == 0 && !receive_more (c))
        return false;
    }
  c->body_read = true;
  return true;
}

/* Returns TEXT with its placeholders replaced; the caller frees it.  */
static char *
expand (const struct connection *c, const char *text)
{
  const struct
  {
    const char *name;
    const char *value;
  } names[] = { { "{id}", c->id },
                { "{previous}", c->previous },
                { "{replica}", c->replica->id } };
  char *out = NULL;
  size_t size = 0;
  FILE *stream = open_memstream (&out, &size);

  while (*text != '\0')
    {
      size_t k = 0;

      while (k < sizeof names / sizeof names[0]
             && strncmp (text, names[k].name, strlen (names[k].name)) != 0)
        k++;
      if (k < sizeof names / sizeof names[0])
        {
          (void)fputs (names[k].value, stream);
          text += strlen (names[k].name);
        }
      else
        (void)fputc (*text++, stream);
    }
  (void)fclose (stream);
  return out;
}

static bool
send_text (const struct connection *c, const char *text, bool as_chunk)
{
  char *expanded = expand (c, text);
  size_t length = strlen (expanded);
  char size[32];
  bool sent = true;

  if (as_chunk)
    sent = send_bytes (
        c, size, (size_t)snprintf (size, sizeof size, "%zx\r\n", length));
  sent = sent && send_bytes (c, expanded, length);
  if (as_chunk)
    sent = sent && send_bytes (c, "\r\n", 2);
  free (expanded);
  return sent;
}

static bool
send_fill (const struct connection *c, size_t length)
{
  static char bytes[65536];
  bool sent = true;

  for (; length > 0 && sent;
       length -= length < sizeof bytes ? length : sizeof bytes)
    sent
        = send_bytes (c, bytes, length < sizeof bytes ? length : sizeof bytes);
  return sent;
}

/* Sends TEXT, some thousand times in one call, until the connection ends.  */
static bool
send_repeatedly (const struct connection *c, const char *text)
{
  static const size_t copies = 2048;
  char *expanded = expand (c, text);
  char *block = NULL;
  size_t size = 0;
  FILE *stream = open_memstream (&block, &size);

  for (size_t i = 0; i < copies; i++)
    (void)fputs (expanded, stream);
  (void)fclose (stream);
  while (send_bytes (c, block, size))
    ;
  free (block);
  free (expanded);
  return false;
}

static void
sleep_ms (long ms)
{
  struct timespec wait
      = { .tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000L };

  (void)nanosleep (&wait, NULL);
}

/* Closes the connection; RESET discards what was not yet received.  */
static void
end_connection (struct connection *c, bool reset)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  if (reset)
    (void)setsockopt (c->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  else
    (void)shutdown (c->fd, SHUT_WR);
  c->open = false;
}

static void
run_step (struct connection *c, const char *step, const char *text)
{
  if (strcmp (step, "send") == 0)
    c->open = send_text (c, text, false);
  else if (strcmp (step, "chunk") == 0)
    c->open = send_text (c, text, true);
  else if (strcmp (step, "fill") == 0)
    c->open = send_fill (c, strtoul (text, NULL, 10));
  else if (strcmp (step, "repeat") == 0)
    c->open = send_repeatedly (c, text);
  else if (strcmp (step, "wait_ms") == 0)
    sleep_ms (atol (text));
  else if (strcmp (step, "read_body") == 0)
    c->open = read_body (c);
  else if (strcmp (step, "half_close") == 0)
    (void)shutdown (c->fd, SHUT_WR);
  else if (strcmp (step, "await_request") == 0)
    c->open = c->rest_length > 0 || receive_more (c);
  else
    end_connection (c, strcmp (step, "reset") == 0);
}

static bool
reads_body_itself (const json_t *steps)
{
  size_t k;
  json_t *step;

  json_array_foreach (steps, k, step)
  {
    if (json_object_get (step, "read_body") != NULL)
      return true;
  }
  return false;
}

/* Sends a sound response of a stream from the event after LAST.  */
static void
respond_stream (struct connection *c, const char *last)
{
  char event[64];

  c->open = send_text (c,
                       "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n"
                       "Server-Seal: seal.1\r\n"
                       "Content-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n",
                       false);
  for (int i = atoi (last) + 1; i <= EVENTS && c->open; i++)
    {
      (void)snprintf (event, sizeof event, "id: %d\ndata: piece %d\n\n", i, i);
      c->open = send_text (c, event, true);
    }
  c->open = c->open && send_bytes (c, "0\r\n\r\n", 5);
}

static void
respond (struct connection *c, const char *body)
{
  char text[HEAD_BYTES_MAX + 512];

  (void)snprintf (text, sizeof text,
                  "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n"
                  "Server-Seal: seal.1\r\nInstance-Id: {replica}\r\n"
                  "Content-Length: %zu\r\n\r\n{replica}:%s",
                  strlen (c->replica->id) + 1 + strlen (body), body);
  c->open = send_text (c, text, false);
}

static void
record_run (struct connection *c, const char *last)
{
  char tenant[VALUE_BYTES_MAX];
  char key[VALUE_BYTES_MAX];
  char expected[VALUE_BYTES_MAX];

  copy_header (tenant, c, "Tenant");
  copy_header (key, c, "Authorization");
  copy_header (expected, c, "Expect-Instance");
  pthread_mutex_lock (&c->replica->lock);
  json_array_append_new (c->replica->runs,
                         json_pack ("{s:s,s:s,s:s,s:s,s:s}", "id", c->id,
                                    "tenant", tenant, "key", key, "last", last,
                                    "expected", expected));
  pthread_mutex_unlock (&c->replica->lock);
}

/* Takes the next response of the script, or null; the caller releases it.  */
static json_t *
take_response (struct replica *replica, bool resumed)
{
  json_t *taken = NULL;
  json_t *response;
  size_t k;

  pthread_mutex_lock (&replica->lock);
  json_array_foreach (replica->responses, k, response)
  {
    if (resumed || !json_is_true (json_object_get (response, "for_resumed")))
      {
        taken = json_incref (response);
        json_array_remove (replica->responses, k);
        break;
      }
  }
  pthread_mutex_unlock (&replica->lock);
  return taken;
}

/* Writes the id of the request and its response to standard error.  */
static void
log_response (const struct connection *c, const json_t *response)
{
  char *text = response != NULL ? json_dumps (response, JSON_COMPACT) : NULL;

  (void)fprintf (stderr, "%s %s\n", c->id, text != NULL ? text : "sound");
  free (text);
}

static void
handle_request (struct connection *c)
{
  char last[VALUE_BYTES_MAX];
  json_t *response;
  json_t *steps;
  json_t *step;
  size_t k;

  copy_header (last, c, "Last-Event-Id");
  response = take_response (c->replica, last[0] != '\0');
  log_response (c, response);
  steps = json_object_get (response, "steps");
  if (!json_is_true (json_object_get (response, "not_run")))
    record_run (c, last);
  if (!reads_body_itself (steps))
    c->open = read_body (c);
  json_array_foreach (steps, k, step)
  {
    const char *name;
    json_t *text;

    json_object_foreach (step, name, text)
    {
      if (c->open)
        run_step (c, name, json_string_value (text));
    }
  }
  if (response == NULL && c->open)
    {
      if (strstr (c->head, "/stream/") != NULL)
        respond_stream (c, last);
      else
        respond (c, c->body);
    }
  /* A script may leave the body unread.  */
  c->open = c->open && read_body (c);
  json_decref (response);
}

static void
respond_json (struct connection *c, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT | JSON_ENCODE_ANY);
  char head[128];

  (void)snprintf (head, sizeof head,
                  "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                  "Content-Length: %zu\r\n\r\n",
                  strlen (text));
  c->open = send_bytes (c, head, strlen (head))
            && send_bytes (c, text, strlen (text));
  free (text);
  json_decref (body);
}

static void
add_response (struct connection *c)
{
  pthread_mutex_lock (&c->replica->lock);
  json_array_append_new (c->replica->responses, json_loads (c->body, 0, NULL));
  pthread_mutex_unlock (&c->replica->lock);
  respond_json (c, json_object ());
}

static void
handle_control (struct connection *c)
{
  json_t *answer;

  c->open = read_body (c);
  if (!c->open)
    return;
  if (strncmp (c->head, "POST /standin/responses ", 24) == 0)
    {
      add_response (c);
      return;
    }
  pthread_mutex_lock (&c->replica->lock);
  if (strncmp (c->head, "POST /standin/clear ", 20) == 0)
    json_array_clear (c->replica->responses);
  answer = strncmp (c->head, "GET /standin/left ", 18) == 0
               ? json_integer (
                   (json_int_t)json_array_size (c->replica->responses))
               : json_deep_copy (c->replica->runs);
  pthread_mutex_unlock (&c->replica->lock);
  respond_json (c, answer);
}

static void *
serve_connection (void *data)
{
  struct connection *c = data;

  while (c->open && read_head (c))
    {
      c->body_read = false;
      memcpy (c->previous, c->id, sizeof c->id);
      copy_header (c->id, c, "Request-Id");
      if (strstr (c->head, " /standin/") != NULL)
        handle_control (c);
      else
        handle_request (c);
      free (c->body);
      c->body = NULL;
    }
  (void)close (c->fd);
  free (c);
  return NULL;
}

static void *
accept_connections (void *data)
{
  struct replica *replica = data;
  pthread_attr_t attributes;
  int fd;

  pthread_attr_init (&attributes);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize (&attributes, THREAD_STACK_BYTES);
  while ((fd = accept4 (replica->listen_fd, NULL, NULL, SOCK_CLOEXEC)) >= 0)
    {
      struct connection *c = calloc (1, sizeof *c);
      pthread_t thread;

      *c = (struct connection){ .replica = replica, .fd = fd, .open = true };
      if (pthread_create (&thread, &attributes, serve_connection, c) != 0)
        {
          (void)close (fd);
          free (c);
        }
    }
  pthread_attr_destroy (&attributes);
  return NULL;
}

/* Listens on ADDRESS and writes the bound address to READY_FILE unless null.
   Returns 0, or -1 on failure.  */
static int
start_listening (struct replica *replica, struct sockaddr_in *address,
                 const char *ready_file)
{
  socklen_t length = sizeof *address;
  int on = 1;
  pthread_t thread;

  replica->listen_fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  (void)setsockopt (replica->listen_fd, SOL_SOCKET, SO_REUSEADDR, &on,
                    sizeof on);
  if (bind (replica->listen_fd, (struct sockaddr *)address, sizeof *address)
          != 0
      || listen (replica->listen_fd, CONNECTIONS_MAX) != 0
      || getsockname (replica->listen_fd, (struct sockaddr *)address, &length)
             != 0
      || pthread_create (&thread, NULL, accept_connections, replica) != 0)
    return -1;
  (void)pthread_detach (thread);
  if (ready_file == NULL)
    return 0;
  return standin_write_ready_file (ready_file, address,
                                   ntohs (address->sin_port));
}

int
main (int argc, char **argv)
{
  static struct replica replica;
  struct standin_arguments arguments;
  struct arg_str *id = arg_str1 (NULL, "id", "ID", "id of the replica");
  struct sockaddr_in address;
  sigset_t signals;

  pthread_mutex_init (&replica.lock, NULL);
  replica.responses = json_array ();
  replica.runs = json_array ();
  standin_arguments_init (&arguments);
  void *table[] = { arguments.help,
                    arguments.address,
                    arguments.ready_file,
                    arguments.stop_after_ms,
                    id,
                    arg_end (8) };
  if (standin_arguments_parse (&arguments, table, argc, argv) != 0)
    return EXIT_FAILURE;
  replica.id = id->sval[0];
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  if (standin_parse_address (&address, arguments.address->count > 0
                                           ? arguments.address->sval[0]
                                           : "127.0.0.1:0")
          != 0
      || start_listening (&replica, &address,
                          arguments.ready_file->count > 0
                              ? arguments.ready_file->sval[0]
                              : NULL)
             != 0)
    {
      (void)fprintf (stderr, "cannot listen on the given address\n");
      return EXIT_FAILURE;
    }
  standin_wait_for_stop (&signals, arguments.stop_after_ms->count > 0
                                       ? arguments.stop_after_ms->ival[0]
                                       : 0);
  return EXIT_SUCCESS;
}
