#include "io/http_server.h"
#include "daisystep/log.h"
#include "io/byte_buffer.h"
#include "io/problem_document.h"
#include "io/socket_address.h"

#include <errno.h>
#include <glib.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define LISTEN_BACKLOG 512
/* A body over the limit is read and discarded up to this many bytes, so that
   the client receives the 413 instead of a connection reset.  */
#define DISCARD_LIMIT_BYTES ((size_t)16 << 20)
/* Buffer of a streamed reply to an HTTP/1.0 client; chunked replies use the
   memory pool of the connection.  */
#define STREAM_BLOCK_BYTES ((size_t)4096)
#define HANGUP_EVENTS_MAX 64

enum request_state
{
  REQUEST_RECEIVING,      /* not yet passed to the handler */
  REQUEST_AWAITING_REPLY, /* passed to the handler, no reply yet */
  REQUEST_REPLIED,        /* a complete reply is queued */
  REQUEST_STREAMING,      /* between begin and finish */
  REQUEST_FINISHED,       /* the rest of the stream and its end are queued */
  REQUEST_TRUNCATED, /* the rest is queued, then the connection is closed */
  REQUEST_ABANDONED  /* the client disconnected; on_close was called */
};

struct ds_http_request
{
  struct ds_http_server *server;
  struct ds_http_request *previous;
  struct ds_http_request *next;
  struct MHD_Connection *connection;
  enum request_state state;
  const char *method;
  const char *path;
  char peer[DS_SOCKET_ADDRESS_BYTES];
  struct ds_byte_buffer body;
  size_t discarded;
  bool too_large;
  bool suspended;
  bool hangup_watched; /* the socket is in the hang-up epoll set */
  bool out_of_memory;
  bool written_since_drained; /* data was written since the last on_drained */
  struct MHD_Response *response;
  unsigned status;
  struct ds_byte_buffer output;
  void *user_data;
  void (*on_close) (struct ds_http_request *, void *);
  void (*on_drained) (struct ds_http_request *, void *);
};

struct ds_http_server
{
  struct tevent_context *ev;
  struct ds_http_server_options options;
  struct MHD_Daemon *daemon;
  struct tevent_fd *daemon_event;
  struct tevent_timer *timer;
  struct tevent_immediate *wakeup;
  bool wakeup_scheduled;
  int hangup_fd; /* epoll set of sockets with an unfinished request */
  struct tevent_fd *hangup_event;
  struct ds_http_request *requests;
  size_t unfinished;
  bool quiesced;
  bool running; /* inside libmicrohttpd or one of its callbacks */
  char address[DS_SOCKET_ADDRESS_BYTES];
};

static void run_daemon (struct ds_http_server *server);

static bool
is_owned_by_handler (const struct ds_http_request *request)
{
  return request->state == REQUEST_AWAITING_REPLY
         || request->state == REQUEST_STREAMING;
}

static void
handle_wakeup (struct tevent_context *ev, struct tevent_immediate *event,
               void *private_data)
{
  struct ds_http_server *server = private_data;

  (void)ev;
  (void)event;
  server->wakeup_scheduled = false;
  run_daemon (server);
}

/* Resuming a connection does not make libmicrohttpd's epoll descriptor
   readable, so an immediate event runs the daemon.  */
static void
resume (struct ds_http_request *request)
{
  struct ds_http_server *server = request->server;

  if (!request->suspended)
    return;
  request->suspended = false;
  MHD_resume_connection (request->connection);
  if (server->wakeup_scheduled)
    return;
  server->wakeup_scheduled = true;
  tevent_schedule_immediate (server->wakeup, server->ev, handle_wakeup,
                             server);
}

static void
suspend (struct ds_http_request *request)
{
  request->suspended = true;
  MHD_suspend_connection (request->connection);
}

static int
connection_socket (const struct ds_http_request *request)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

  return info != NULL ? info->connect_fd : -1;
}

/* libmicrohttpd does not poll the socket of a suspended connection, so the
   hang-up set does.  It watches for the end of the connection only, so that a
   pipelined request does not wake the loop.  */
static void
watch_hangup (struct ds_http_request *request)
{
  struct epoll_event event
      = { .events = EPOLLRDHUP | EPOLLET, .data.ptr = request };

  if (request->hangup_watched)
    return;
  request->hangup_watched
      = epoll_ctl (request->server->hangup_fd, EPOLL_CTL_ADD,
                   connection_socket (request), &event)
        == 0;
}

static void
unwatch_hangup (struct ds_http_request *request)
{
  if (request->hangup_watched)
    (void)epoll_ctl (request->server->hangup_fd, EPOLL_CTL_DEL,
                     connection_socket (request), NULL);
  request->hangup_watched = false;
}

/* Ends a request whose client has disconnected.  */
static void
abandon (struct ds_http_request *request)
{
  if (!is_owned_by_handler (request))
    return;
  request->state = REQUEST_ABANDONED;
  request->server->unfinished--;
  if (request->on_close != NULL)
    request->on_close (request, request->user_data);
}

static void
handle_hangup (struct tevent_context *ev, struct tevent_fd *event,
               uint16_t flags, void *private_data)
{
  struct ds_http_server *server = private_data;
  struct epoll_event events[HANGUP_EVENTS_MAX];
  int count = epoll_wait (server->hangup_fd, events, HANGUP_EVENTS_MAX, 0);

  (void)ev;
  (void)event;
  (void)flags;
  /* Only run_daemon frees requests, so all pointers of the batch stay valid
     while its callbacks run.  */
  server->running = true;
  for (int i = 0; i < count; i++)
    {
      struct ds_http_request *request = events[i].data.ptr;

      abandon (request);
      resume (request);
    }
  server->running = false;
}

static void
format_peer (char out[DS_SOCKET_ADDRESS_BYTES], const struct sockaddr *peer)
{
  struct ds_socket_address address = { .length = 0 };

  memcpy (&address.storage, peer,
          peer->sa_family == AF_INET6 ? sizeof (struct sockaddr_in6)
                                      : sizeof (struct sockaddr_in));
  ds_socket_address_format (out, &address);
}

static struct ds_http_request *
request_new (struct ds_http_server *server, struct MHD_Connection *connection,
             const char *method, const char *path)
{
  struct ds_http_request *request
      = talloc_zero (server, struct ds_http_request);
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);

  if (request == NULL)
    return NULL;
  request->server = server;
  request->connection = connection;
  request->method = method;
  request->path = path;
  if (info != NULL)
    format_peer (request->peer, info->client_addr);
  request->next = server->requests;
  if (request->next != NULL)
    request->next->previous = request;
  server->requests = request;
  return request;
}

static void
request_free (struct ds_http_request *request)
{
  if (request->previous != NULL)
    request->previous->next = request->next;
  else
    request->server->requests = request->next;
  if (request->next != NULL)
    request->next->previous = request->previous;
  if (request->response != NULL)
    MHD_destroy_response (request->response);
  talloc_free (request);
}

static void
handle_completed (void *closure, struct MHD_Connection *connection,
                  void **context, enum MHD_RequestTerminationCode code)
{
  struct ds_http_request *request = *context;

  (void)closure;
  (void)connection;
  (void)code;
  if (request == NULL)
    return;
  *context = NULL;
  unwatch_hangup (request);
  abandon (request);
  request_free (request);
}

/* Passes bytes of a streamed reply to libmicrohttpd, which calls this again
   once the previous bytes have been sent.  */
static ssize_t
read_output (void *closure, uint64_t position, char *out, size_t size)
{
  struct ds_http_request *request = closure;
  struct ds_byte_buffer *output = &request->output;
  size_t length;

  (void)position;
  if (request->out_of_memory || request->state == REQUEST_ABANDONED)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (output->start == output->end && request->written_since_drained
      && request->state == REQUEST_STREAMING)
    {
      request->written_since_drained = false;
      if (request->on_drained != NULL)
        request->on_drained (request, request->user_data);
    }
  length = output->end - output->start;
  if (length > 0)
    {
      if (length > size)
        length = size;
      memcpy (out, output->data + output->start, length);
      output->start += length;
      return (ssize_t)length;
    }
  ds_byte_buffer_release (output);
  if (request->state == REQUEST_FINISHED)
    return MHD_CONTENT_READER_END_OF_STREAM;
  if (request->state == REQUEST_TRUNCATED)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  suspend (request);
  return 0;
}

/* Adds a header.  libmicrohttpd rejects an empty value or a control byte; such
   a header is omitted rather than failing the reply.  */
static void
add_header (struct ds_http_request *request, struct ds_str name,
            struct ds_str value)
{
  char *name_text;
  char *value_text;

  if (value.length == 0)
    return;
  name_text = talloc_strndup (request, name.data, name.length);
  value_text = talloc_strndup (request, value.data, value.length);
  if (name_text == NULL || value_text == NULL)
    request->out_of_memory = true;
  else if (MHD_add_response_header (request->response, name_text, value_text)
           != MHD_YES)
    ds_log (DS_LOG_WARNING, &(struct ds_log_fields){ .peer = request->peer },
            "omitted reply header %s: invalid name or value", name_text);
  talloc_free (name_text);
  talloc_free (value_text);
}

static void
add_headers (struct ds_http_request *request, const char *content_type,
             const struct ds_http_header *headers, size_t count)
{
  if (request->response == NULL)
    {
      request->out_of_memory = true;
      return;
    }
  if (content_type != NULL)
    add_header (request, DS_STR (MHD_HTTP_HEADER_CONTENT_TYPE),
                ds_str_from_c (content_type));
  for (size_t i = 0; i < count; i++)
    add_header (request, headers[i].name, headers[i].value);
  if (request->server->quiesced)
    add_header (request, DS_STR (MHD_HTTP_HEADER_CONNECTION),
                DS_STR ("close"));
}

/* Queues the prepared response.  MHD_NO closes the connection.  */
static enum MHD_Result
queue_response (struct ds_http_request *request)
{
  struct MHD_Response *response = request->response;
  enum MHD_Result result;

  if (response == NULL || request->out_of_memory)
    return MHD_NO;
  request->response = NULL;
  result = MHD_queue_response (request->connection, request->status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
reply_too_large (struct ds_http_request *request)
{
  struct ds_problem_document problem = DS_PROBLEM_DOCUMENT_DEFAULT;
  struct ds_str body;
  char detail[80];

  (void)snprintf (detail, sizeof detail,
                  "the body exceeds the limit of %zu bytes",
                  request->server->options.body_limit);
  problem.type = "urn:daisystep:problem:too-large";
  problem.title = "too-large";
  problem.status = MHD_HTTP_CONTENT_TOO_LARGE;
  problem.detail = detail;
  problem.ran = DS_RAN_NO;
  if (ds_problem_document_format (&body, request, &problem) < 0)
    return MHD_NO;
  request->state = REQUEST_REPLIED;
  request->status = MHD_HTTP_CONTENT_TOO_LARGE;
  request->response = MHD_create_response_from_buffer (
      body.length, (void *)(uintptr_t)body.data, MHD_RESPMEM_MUST_COPY);
  add_headers (request, DS_PROBLEM_CONTENT_TYPE, NULL, 0);
  return queue_response (request);
}

/* Checks the declared length, so that a body beyond the discard limit is not
   read.  */
static enum MHD_Result
accept_head (struct ds_http_request *request)
{
  struct ds_str declared
      = ds_http_request_header (request, MHD_HTTP_HEADER_CONTENT_LENGTH);
  uint64_t length;

  if (ds_str_to_u64 (&length, declared) != 0
      || length <= request->server->options.body_limit)
    return MHD_YES;
  request->too_large = true;
  if (length > DISCARD_LIMIT_BYTES
      || ds_http_request_header (request, MHD_HTTP_HEADER_EXPECT).length > 0)
    return reply_too_large (request);
  return MHD_YES;
}

static enum MHD_Result
accept_body (struct ds_http_request *request, struct ds_str data)
{
  if (!request->too_large
      && data.length > request->server->options.body_limit - request->body.end)
    {
      request->too_large = true;
      ds_byte_buffer_release (&request->body);
    }
  if (request->too_large)
    {
      request->discarded += data.length;
      return request->discarded <= DISCARD_LIMIT_BYTES ? MHD_YES : MHD_NO;
    }
  return ds_byte_buffer_append (request, &request->body, data) == 0 ? MHD_YES
                                                                    : MHD_NO;
}

/* Passes a complete request to the handler.  If the handler has replied, the
   reply is queued immediately; otherwise the connection is suspended.  */
static enum MHD_Result
dispatch_request (struct ds_http_request *request)
{
  struct ds_http_server *server = request->server;

  if (request->too_large)
    return reply_too_large (request);
  request->state = REQUEST_AWAITING_REPLY;
  server->unfinished++;
  server->options.handler (request, server->options.user_data);
  if (is_owned_by_handler (request))
    watch_hangup (request);
  if (request->state != REQUEST_AWAITING_REPLY)
    return queue_response (request);
  suspend (request);
  return MHD_YES;
}

static enum MHD_Result
handle_access (void *closure, struct MHD_Connection *connection,
               const char *url, const char *method, const char *version,
               const char *upload_data, size_t *upload_data_size,
               void **context)
{
  struct ds_http_request *request = *context;

  (void)version;
  if (request == NULL)
    {
      request = request_new (closure, connection, method, url);
      if (request == NULL)
        return MHD_NO;
      *context = request;
      return accept_head (request);
    }
  if (*upload_data_size > 0)
    {
      struct ds_str data
          = { .data = upload_data, .length = *upload_data_size };

      *upload_data_size = 0;
      return accept_body (request, data);
    }
  switch (request->state)
    {
    case REQUEST_RECEIVING:
      return dispatch_request (request);
    case REQUEST_AWAITING_REPLY:
      suspend (request);
      return MHD_YES;
    case REQUEST_ABANDONED:
      return MHD_NO;
    default:
      return queue_response (request);
    }
}

static void
handle_timer (struct tevent_context *ev, struct tevent_timer *timer,
              struct timeval now, void *private_data)
{
  struct ds_http_server *server = private_data;

  (void)ev;
  (void)timer;
  (void)now;
  server->timer = NULL;
  run_daemon (server);
}

static void
handle_daemon_event (struct tevent_context *ev, struct tevent_fd *event,
                     uint16_t flags, void *private_data)
{
  (void)ev;
  (void)event;
  (void)flags;
  run_daemon (private_data);
}

static void
run_daemon (struct ds_http_server *server)
{
  MHD_UNSIGNED_LONG_LONG timeout_ms;

  server->running = true;
  (void)MHD_run (server->daemon);
  server->running = false;
  TALLOC_FREE (server->timer);
  if (MHD_get_timeout (server->daemon, &timeout_ms) != MHD_YES)
    return;
  server->timer = tevent_add_timer (
      server->ev, server,
      tevent_timeval_current_ofs ((uint32_t)(timeout_ms / 1000),
                                  (uint32_t)(timeout_ms % 1000) * 1000),
      handle_timer, server);
}

static int
server_destructor (struct ds_http_server *server)
{
  g_assert (!server->running);
  for (struct ds_http_request *request = server->requests; request != NULL;
       request = request->next)
    {
      abandon (request);
      resume (request);
    }
  TALLOC_FREE (server->daemon_event);
  TALLOC_FREE (server->hangup_event);
  if (server->daemon != NULL)
    MHD_stop_daemon (server->daemon);
  if (server->hangup_fd >= 0)
    (void)close (server->hangup_fd);
  return 0;
}

/* Returns a socket listening on ADDRESS, or a negative DS_E code.  BOUND gets
   the address with the port selected for 0.  */
static int
open_listener (const char *address, bool reuse_port,
               struct ds_socket_address *bound, struct ds_error *error)
{
  struct sockaddr *storage = (struct sockaddr *)&bound->storage;
  const int on = 1;
  int fd;

  if (ds_socket_address_parse (bound, ds_str_from_c (address)) != 0)
    return ds_error_set (error, DS_EINVAL, "listen", address,
                         "not an IP address with a port");
  fd = socket (bound->storage.ss_family,
               SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return ds_error_set (error, DS_EIO, "listen", address, "socket: %s",
                         strerror (errno));
  if (setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0
      || (reuse_port
          && setsockopt (fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on) != 0)
      || bind (fd, storage, bound->length) != 0
      || listen (fd, LISTEN_BACKLOG) != 0)
    {
      (void)ds_error_set (error, DS_EIO, "listen", address, "%s",
                          strerror (errno));
      (void)close (fd);
      return DS_EIO;
    }
  bound->length = sizeof bound->storage;
  (void)getsockname (fd, storage, &bound->length);
  return fd;
}

static int
start_daemon (struct ds_http_server *server, int listener,
              struct ds_error *error)
{
  const struct ds_http_server_options *options = &server->options;

  server->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, handle_access,
      server, MHD_OPTION_LISTEN_SOCKET, listener,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, options->header_limit,
      MHD_OPTION_CONNECTION_LIMIT, options->connection_limit,
      MHD_OPTION_CONNECTION_TIMEOUT, options->idle_timeout_s,
      MHD_OPTION_NOTIFY_COMPLETED, handle_completed, server, MHD_OPTION_END);
  if (server->daemon != NULL)
    return 0;
  (void)close (listener);
  return ds_error_set (error, DS_EIO, "listen", options->address,
                       "libmicrohttpd daemon failed to start");
}

static int
watch_daemon (struct ds_http_server *server, struct ds_error *error)
{
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD);

  server->hangup_fd = epoll_create1 (EPOLL_CLOEXEC);
  if (info == NULL || server->hangup_fd < 0)
    return ds_error_set (error, DS_EIO, "listen", server->address,
                         "no epoll descriptor available");
  server->daemon_event
      = tevent_add_fd (server->ev, server, info->epoll_fd, TEVENT_FD_READ,
                       handle_daemon_event, server);
  server->hangup_event = tevent_add_fd (server->ev, server, server->hangup_fd,
                                        TEVENT_FD_READ, handle_hangup, server);
  if (server->daemon_event == NULL || server->hangup_event == NULL)
    return ds_error_set (error, DS_ENOMEM, "listen", server->address,
                         "out of memory");
  return 0;
}

/* Checks that ADDRESS can be listened on.  DS_EIO if a socket already does,
   even with SO_REUSEPORT.  */
int
ds_http_server_check_address (const char *address, struct ds_error *error)
{
  struct ds_socket_address bound;
  int fd = open_listener (address, false, &bound, error);

  if (fd < 0)
    return fd;
  (void)close (fd);
  return 0;
}

/* Starts a server on EV, owned by OWNER and run by the thread of EV.  Returns
   DS_EINVAL for a malformed address, DS_EIO if it cannot be bound.  */
int
ds_http_server_new (struct ds_http_server **out, TALLOC_CTX *owner,
                    struct tevent_context *ev,
                    const struct ds_http_server_options *options,
                    struct ds_error *error)
{
  struct ds_http_server *server = talloc_zero (owner, struct ds_http_server);
  struct ds_socket_address bound;
  int listener;
  int status;

  if (server == NULL)
    return ds_error_set (error, DS_ENOMEM, "listen", options->address,
                         "out of memory");
  g_assert (options->handler != NULL);
  server->ev = ev;
  server->options = *options;
  server->hangup_fd = -1;
  server->wakeup = tevent_create_immediate (server);
  talloc_set_destructor (server, server_destructor);
  if (server->wakeup == NULL)
    {
      status = ds_error_set (error, DS_ENOMEM, "listen", options->address,
                             "out of memory");
      goto fail;
    }
  listener
      = open_listener (options->address, options->reuse_port, &bound, error);
  if (listener < 0)
    {
      status = listener;
      goto fail;
    }
  ds_socket_address_format (server->address, &bound);
  status = start_daemon (server, listener, error);
  if (status == 0)
    status = watch_daemon (server, error);
  if (status != 0)
    goto fail;
  server->options.address = server->address;
  run_daemon (server);
  *out = server;
  return 0;

fail:
  talloc_free (server);
  return status;
}

/* Closes the listener and every connection; on_close is called for each
   unfinished request.  Not allowed inside a callback of the server.  */
void
ds_http_server_free (struct ds_http_server *server)
{
  talloc_free (server);
}

/* The bound address as "IP:PORT", with the port selected for 0.  */
const char *
ds_http_server_address (const struct ds_http_server *server)
{
  return server->address;
}

/* Closes the listener.  Open connections stay; each is closed after the reply
   to its current request.  */
void
ds_http_server_quiesce (struct ds_http_server *server)
{
  MHD_socket listener;

  if (server->quiesced)
    return;
  server->quiesced = true;
  listener = MHD_quiesce_daemon (server->daemon);
  if (listener != MHD_INVALID_SOCKET)
    (void)close (listener);
}

/* Number of requests passed to the handler that are neither replied, finished
   nor abandoned.  */
size_t
ds_http_server_request_count (const struct ds_http_server *server)
{
  return server->unfinished;
}

/* The method as sent, such as "GET".  */
struct ds_str
ds_http_request_method (const struct ds_http_request *request)
{
  return ds_str_from_c (request->method);
}

/* The percent-decoded path without the query.  */
struct ds_str
ds_http_request_path (const struct ds_http_request *request)
{
  return ds_str_from_c (request->path);
}

static struct ds_str
lookup (const struct ds_http_request *request, enum MHD_ValueKind kind,
        const char *name)
{
  const char *value = NULL;
  size_t length = 0;

  if (MHD_lookup_connection_value_n (request->connection, kind, name,
                                     strlen (name), &value, &length)
          != MHD_YES
      || value == NULL)
    return (struct ds_str){ .data = NULL, .length = 0 };
  return (struct ds_str){ .data = value, .length = length };
}

/* The decoded query argument NAME.  DATA is null if absent.  */
struct ds_str
ds_http_request_query (const struct ds_http_request *request, const char *name)
{
  return lookup (request, MHD_GET_ARGUMENT_KIND, name);
}

/* The value of header NAME, matched case-insensitively.  DATA is null if
   absent.  */
struct ds_str
ds_http_request_header (const struct ds_http_request *request,
                        const char *name)
{
  return lookup (request, MHD_HEADER_KIND, name);
}

/* The complete body, valid as long as the request.  */
struct ds_str
ds_http_request_body (const struct ds_http_request *request)
{
  return ds_byte_buffer_content (&request->body);
}

/* The client address as "IP:PORT".  */
const char *
ds_http_request_peer (const struct ds_http_request *request)
{
  return request->peer;
}

/* Sets the pointer that on_close and on_drained receive.  */
void
ds_http_request_set_user_data (struct ds_http_request *request,
                               void *user_data)
{
  request->user_data = user_data;
}

/* The pointer set by ds_http_request_set_user_data.  */
void *
ds_http_request_user_data (const struct ds_http_request *request)
{
  return request->user_data;
}

/* Sets the function called once when the client closes its connection (or its
   sending half) before reply or finish, or when the server is freed.  It must
   not reply; the request must not be used after it has returned.  */
void
ds_http_request_on_close (struct ds_http_request *request,
                          void (*on_close) (struct ds_http_request *, void *))
{
  g_assert (is_owned_by_handler (request));
  request->on_close = on_close;
}

/* Sets the function called each time everything written to a stream has been
   passed to the operating system.  It may write and finish.  */
void
ds_http_request_on_drained (struct ds_http_request *request,
                            void (*on_drained) (struct ds_http_request *,
                                                void *))
{
  g_assert (is_owned_by_handler (request));
  request->on_drained = on_drained;
}

/* Sends a complete reply.  BODY is copied.  The request must not be used
   afterwards.  */
void
ds_http_request_reply (struct ds_http_request *request, unsigned status,
                       const char *content_type,
                       const struct ds_http_header *headers,
                       size_t header_count, struct ds_str body)
{
  g_assert (request->state == REQUEST_AWAITING_REPLY);
  request->state = REQUEST_REPLIED;
  request->server->unfinished--;
  request->status = status;
  request->response = MHD_create_response_from_buffer (
      body.length, (void *)(uintptr_t)body.data, MHD_RESPMEM_MUST_COPY);
  add_headers (request, content_type, headers, header_count);
  resume (request);
}

/* Sends the head of a streamed reply.  For a HEAD request or a status without
   a body, this ends the request and on_close is called.  */
void
ds_http_request_begin (struct ds_http_request *request, unsigned status,
                       const char *content_type,
                       const struct ds_http_header *headers,
                       size_t header_count)
{
  g_assert (request->state == REQUEST_AWAITING_REPLY);
  request->state = REQUEST_STREAMING;
  request->status = status;
  request->response = MHD_create_response_from_callback (
      MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, read_output, request, NULL);
  add_headers (request, content_type, headers, header_count);
  resume (request);
}

/* Appends a copy of DATA to the stream and returns the number of unsent bytes,
   so that the writer can pause until on_drained.  */
size_t
ds_http_request_write (struct ds_http_request *request, struct ds_str data)
{
  g_assert (request->state == REQUEST_STREAMING);
  if (data.length > 0)
    {
      if (ds_byte_buffer_append (request, &request->output, data) != 0)
        request->out_of_memory = true;
      request->written_since_drained = true;
      resume (request);
    }
  return ds_http_request_unsent_bytes (request);
}

/* Number of unsent bytes of the stream.  */
size_t
ds_http_request_unsent_bytes (const struct ds_http_request *request)
{
  return request->output.end - request->output.start;
}

/* Ends the stream after the data written so far.  If COMPLETE is false, the
   connection is closed without the last chunk, so that the client detects the
   truncation.  The request must not be used afterwards.  */
void
ds_http_request_finish (struct ds_http_request *request, bool complete)
{
  g_assert (request->state == REQUEST_STREAMING);
  request->state = complete ? REQUEST_FINISHED : REQUEST_TRUNCATED;
  request->server->unfinished--;
  resume (request);
}
