#include "common_server.h"

#include <argtable2.h>
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

/* The object API's limit for a value; larger bodies are not stored.  */
#define CONNECTIONS_MAX 8192
#define THREAD_STACK_BYTES ((size_t)256 * 1024)

struct open_connection
{
  struct open_connection *next;
  struct MHD_Connection *connection;
  int descriptor;
};

struct standin_server
{
  enum MHD_Result (*handle) (void *state, struct standin_request *request);
  void *state;
  pthread_mutex_t lock;
  struct open_connection *connections;
};

static int
connection_descriptor (struct MHD_Connection *connection)
{
  return MHD_get_connection_info (connection,
                                  MHD_CONNECTION_INFO_CONNECTION_FD)
      ->connect_fd;
}

/* Maintains the list of open connections.  libmicrohttpd reports the end of a
   connection before it closes the descriptor, so a listed descriptor has not
   been reused.  */
static void
notify_connection (void *closure, struct MHD_Connection *connection,
                   void **context, enum MHD_ConnectionNotificationCode code)
{
  struct standin_server *server = closure;
  struct open_connection **link = &server->connections;

  (void)context;
  pthread_mutex_lock (&server->lock);
  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      struct open_connection *entry = talloc (server, struct open_connection);

      *entry = (struct open_connection){
        .next = server->connections,
        .connection = connection,
        .descriptor = connection_descriptor (connection),
      };
      server->connections = entry;
    }
  else
    {
      while (*link != NULL && (*link)->connection != connection)
        link = &(*link)->next;
      if (*link != NULL)
        {
          struct open_connection *entry = *link;

          *link = entry->next;
          talloc_free (entry);
        }
    }
  pthread_mutex_unlock (&server->lock);
}

static void
notify_completed (void *closure, struct MHD_Connection *connection,
                  void **context, enum MHD_RequestTerminationCode code)
{
  (void)closure;
  (void)connection;
  (void)code;
  talloc_free (*context);
  *context = NULL;
}

size_t standin_body_bytes_max = (size_t)1024 * 1024;

static void
append_body (struct standin_request *request, const char *data, size_t size)
{
  size_t length = request->body_length + size;

  if (request->body_too_large || length > standin_body_bytes_max)
    {
      request->body_too_large = true;
      return;
    }
  if (length + 1 > talloc_get_size (request->body))
    request->body
        = talloc_realloc_size (request, request->body, 2 * length + 1);
  memcpy (request->body + request->body_length, data, size);
  request->body[length] = '\0';
  request->body_length = length;
}

/* libmicrohttpd calls this first with the headers, then with each part of the
   body, and finally with an empty part.  */
static enum MHD_Result
handle_access (void *closure, struct MHD_Connection *connection,
               const char *path, const char *method, const char *version,
               const char *data, size_t *size, void **context)
{
  struct standin_server *server = closure;
  struct standin_request *request = *context;

  (void)version;
  if (request == NULL)
    {
      request = talloc_zero (NULL, struct standin_request);
      request->server = server;
      request->connection = connection;
      request->method = method;
      request->path = talloc_strdup (request, path);
      request->body = talloc_zero_size (request, 1);
      *context = request;
      return MHD_YES;
    }
  if (*size > 0)
    {
      append_body (request, data, *size);
      *size = 0;
      return MHD_YES;
    }
  if (request->body_too_large)
    return standin_respond_error (request, MHD_HTTP_CONTENT_TOO_LARGE,
                                  "the body is larger than 1 MiB");
  return server->handle (server->state, request);
}

/* Parses IP:PORT into ADDRESS; only loopback addresses are accepted.  Returns
   0, or -1 for another text.  */
int
standin_parse_address (struct sockaddr_in *address, const char *text)
{
  char ip[INET_ADDRSTRLEN];
  const char *colon = strchr (text, ':');
  char *end;
  long port;

  if (colon == NULL || (size_t)(colon - text) >= sizeof ip)
    return -1;
  memcpy (ip, text, (size_t)(colon - text));
  ip[colon - text] = '\0';
  port = strtol (colon + 1, &end, 10);
  *address = (struct sockaddr_in){ .sin_family = AF_INET };
  if (inet_pton (AF_INET, ip, &address->sin_addr) != 1
      || ntohl (address->sin_addr.s_addr) >> 24 != 127 || *end != '\0'
      || end == colon + 1 || port < 0 || port > UINT16_MAX)
    return -1;
  address->sin_port = htons ((uint16_t)port);
  return 0;
}

/* Writes the bound address to a temporary file and renames it to PATH, so that
   a reader never sees a partial address.  Returns 0, or -1 on failure.  */
int
standin_write_ready_file (const char *path, const struct sockaddr_in *address,
                          uint16_t port)
{
  char *temporary = talloc_asprintf (NULL, "%s.new", path);
  char ip[INET_ADDRSTRLEN];
  FILE *file = fopen (temporary, "w");
  int status = -1;

  if (file == NULL)
    goto out;
  inet_ntop (AF_INET, &address->sin_addr, ip, sizeof ip);
  (void)fprintf (file, "%s:%u\n", ip, port);
  if (fclose (file) != 0 || rename (temporary, path) != 0)
    goto out;
  status = 0;
out:
  talloc_free (temporary);
  return status;
}

/* Waits for SIGTERM or SIGINT, for STOP_AFTER_MS at most unless it is 0.  */
void
standin_wait_for_stop (const sigset_t *signals, int stop_after_ms)
{
  struct timespec limit = {
    .tv_sec = stop_after_ms / 1000,
    .tv_nsec = stop_after_ms % 1000 * 1000000L,
  };

  while (sigtimedwait (signals, NULL, stop_after_ms > 0 ? &limit : NULL) < 0
         && errno == EINTR)
    ;
}

static struct MHD_Daemon *
start_daemon (struct standin_server *server, struct sockaddr_in *address)
{
  return MHD_start_daemon (
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL_INTERNAL_THREAD
          | MHD_USE_ITC,
      0, NULL, NULL, handle_access, server, MHD_OPTION_SOCK_ADDR, address,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned)CONNECTIONS_MAX, MHD_OPTION_THREAD_STACK_SIZE,
      THREAD_STACK_BYTES, MHD_OPTION_NOTIFY_CONNECTION, notify_connection,
      server, MHD_OPTION_NOTIFY_COMPLETED, notify_completed, NULL,
      MHD_OPTION_END);
}

/* Creates the shared options, which the program adds to its argument table.
 */
void
standin_arguments_init (struct standin_arguments *arguments)
{
  arguments->help = arg_lit0 ("h", "help", "print this help");
  arguments->address = arg_str0 (NULL, "address", "IP:PORT",
                                 "loopback address; port 0 picks a free port");
  arguments->ready_file = arg_str0 (NULL, "ready-file", "FILE",
                                    "write the bound address to FILE");
  arguments->stop_after_ms
      = arg_int0 (NULL, "stop-after-ms", "N", "exit after N milliseconds");
}

/* Parses the command line with TABLE, which ends with an arg_end.  Returns 0,
   or a negative number if the program should exit without further output.  */
int
standin_arguments_parse (const struct standin_arguments *arguments,
                         void **table, int argc, char **argv)
{
  int errors = arg_parse (argc, argv, table);
  size_t last = 0;

  if (arguments->help->count > 0)
    {
      (void)printf ("Usage: %s", argv[0]);
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-24s %s\n");
      return -1;
    }
  if (errors == 0)
    return 0;
  while (!(((struct arg_hdr *)table[last])->flag & ARG_TERMINATOR))
    last++;
  arg_print_errors (stderr, table[last], argv[0]);
  return -1;
}

/* Serves requests with HANDLE until SIGTERM, SIGINT or --stop-after-ms, and
   returns the exit status.  */
int
standin_run (const struct standin_arguments *arguments,
             enum MHD_Result (*handle) (void *state,
                                        struct standin_request *request),
             void *state)
{
  struct standin_server *server = talloc_zero (NULL, struct standin_server);
  const char *text = arguments->address->count > 0
                         ? arguments->address->sval[0]
                         : "127.0.0.1:0";
  struct MHD_Daemon *daemon = NULL;
  struct sockaddr_in address;
  sigset_t signals;
  int status = EXIT_FAILURE;

  server->handle = handle;
  server->state = state;
  pthread_mutex_init (&server->lock, NULL);
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  (void)signal (SIGPIPE, SIG_IGN);
  if (standin_parse_address (&address, text) != 0)
    {
      (void)fprintf (stderr, "%s is not a loopback address IP:PORT\n", text);
      goto out;
    }
  daemon = start_daemon (server, &address);
  if (daemon == NULL)
    {
      (void)fprintf (stderr, "cannot listen on %s\n", text);
      goto out;
    }
  if (arguments->ready_file->count > 0
      && standin_write_ready_file (
             arguments->ready_file->sval[0], &address,
             MHD_get_daemon_info (daemon, MHD_DAEMON_INFO_BIND_PORT)->port)
             != 0)
    {
      (void)fprintf (stderr, "cannot write the ready file %s\n",
                     arguments->ready_file->sval[0]);
      goto out;
    }
  standin_wait_for_stop (&signals, arguments->stop_after_ms->count > 0
                                       ? arguments->stop_after_ms->ival[0]
                                       : 0);
  status = EXIT_SUCCESS;
out:
  if (daemon != NULL)
    {
      /* Ends the waits of running handlers; MHD_stop_daemon joins their
         threads.  */
      standin_server_close_connections (server, NULL);
      MHD_stop_daemon (daemon);
    }
  pthread_mutex_destroy (&server->lock);
  talloc_free (server);
  return status;
}

/* Shuts down every open connection except EXCEPT, which may be null, without
   a response.  */
void
standin_server_close_connections (struct standin_server *server,
                                  struct MHD_Connection *except)
{
  pthread_mutex_lock (&server->lock);
  for (struct open_connection *entry = server->connections; entry != NULL;
       entry = entry->next)
    if (entry->connection != except)
      (void)shutdown (entry->descriptor, SHUT_RDWR);
  pthread_mutex_unlock (&server->lock);
}

bool
standin_request_matches (const struct standin_request *request,
                         const char *method, const char *path)
{
  return strcmp (request->method, method) == 0
         && strcmp (request->path, path) == 0;
}

/* The value of a request header, or null.  */
const char *
standin_request_header (const struct standin_request *request,
                        const char *name)
{
  return MHD_lookup_connection_value (request->connection, MHD_HEADER_KIND,
                                      name);
}

/* The value of a query argument, or null.  */
const char *
standin_request_query (const struct standin_request *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection,
                                      MHD_GET_ARGUMENT_KIND, name);
}

/* The bytes of a query argument, which may include zero; without data if it is
   absent.  */
struct ds_str
standin_request_query_bytes (const struct standin_request *request,
                             const char *name)
{
  struct ds_str value = { .data = NULL };

  (void)MHD_lookup_connection_value_n (
      request->connection, MHD_GET_ARGUMENT_KIND, name, strlen (name),
      &value.data, &value.length);
  return value;
}

/* The numeric query argument NAME, or DEFAULT_VALUE if it is absent or not a
   number.  */
uint64_t
standin_request_query_u64 (const struct standin_request *request,
                           const char *name, uint64_t default_value)
{
  uint64_t value;

  if (ds_str_to_u64 (&value,
                     ds_str_from_c (standin_request_query (request, name)))
      != 0)
    return default_value;
  return value;
}

/* Waits MS milliseconds.  Returns false immediately when the connection is
   closed by the client or by standin_server_close_connections.  */
bool
standin_request_wait (const struct standin_request *request, uint64_t ms)
{
  uint64_t end = standin_now_ms () + ms;
  struct pollfd poll_for = {
    .fd = connection_descriptor (request->connection),
    .events = POLLRDHUP,
  };

  for (;;)
    {
      uint64_t now = standin_now_ms ();
      uint64_t left = now < end ? end - now : 0;
      int count = poll (&poll_for, 1, left > 1000 ? 1000 : (int)left);

      if (count > 0)
        return false;
      if (left == 0 && count == 0)
        return true;
    }
}

/* Milliseconds on the monotonic clock.  */
uint64_t
standin_now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

/* Responds with the JSON TEXT, which is copied.  ATTEMPT_ID may be null.  */
enum MHD_Result
standin_respond_text (struct standin_request *request, unsigned status,
                      const char *attempt_id, struct ds_str text)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      text.length, (void *)(uintptr_t)text.data, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result;

  if (response == NULL)
    return MHD_NO;
  MHD_add_response_header (response, "Content-Type", "application/json");
  if (attempt_id != NULL)
    MHD_add_response_header (response, "X-Attempt-Id", attempt_id);
  if (request->header_name != NULL)
    MHD_add_response_header (response, request->header_name,
                             request->header_value);
  result = MHD_queue_response (request->connection, status, response);
  MHD_destroy_response (response);
  return result;
}

/* Responds with BODY and releases it.  */
enum MHD_Result
standin_respond_json (struct standin_request *request, unsigned status,
                      const char *attempt_id, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT | JSON_ENCODE_ANY);
  enum MHD_Result result = MHD_NO;

  json_decref (body);
  if (text != NULL)
    result = standin_respond_text (request, status, attempt_id,
                                   ds_str_from_c (text));
  free (text);
  return result;
}

/* Responds with {"error": MESSAGE}.  */
enum MHD_Result
standin_respond_error (struct standin_request *request, unsigned status,
                       const char *message)
{
  return standin_respond_json (request, status, NULL,
                               json_pack ("{s:s}", "error", message));
}

/* Closes the connection without a response.  */
enum MHD_Result
standin_close_connection (struct standin_request *request)
{
  (void)request;
  return MHD_NO;
}
