#include "io/http_client.h"
#include "io/byte_buffer.h"
#include "io/socket_address.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <glib.h>
#include <pthread.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define MS_PER_S 1000
#define US_PER_MS 1000
#define NS_PER_MS 1000000
/* Two IP addresses and two ports as text.  */
#define ENDPOINTS_TEXT_BYTES 128
/* All header lines of a response together.  */
#define HEADER_LIMIT_BYTES ((size_t)64 << 10)

enum call_state
{
  CALL_WAITING, /* the deferred event will add it to the multi handle */
  CALL_ACTIVE,
  CALL_CANCELLED, /* the deferred event will free it */
  CALL_DONE       /* on_done is running */
};

/* Why a callback made libcurl abort a call.  */
enum abort_reason
{
  ABORT_NONE,
  ABORT_BODY_LIMIT,
  ABORT_HEADER_LIMIT,
  ABORT_SECOND_SEND,
  ABORT_STALE_CONNECTION, /* closed or has unread bytes before the request */
  ABORT_OUT_OF_MEMORY
};

struct ds_http_call
{
  struct ds_http_client *client;
  struct ds_http_call *previous;
  struct ds_http_call *next;
  struct ds_http_call *next_deferred;
  bool deferred;
  enum call_state state;
  struct ds_http_call_options options;
  CURL *easy;
  struct curl_slist *headers;
  char peer[DS_SOCKET_ADDRESS_BYTES];
  unsigned status;
  unsigned send_count; /* times libcurl was about to write the request */
  bool headers_seen;
  int opened_fd; /* socket of a new connection, -1 for a reused one */
  bool new_connection_requested; /* connection reuse is disabled */
  bool paused;
  enum abort_reason abort_reason;
  size_t header_bytes;
  size_t body_bytes;
  struct ds_byte_buffer body;
  struct tevent_timer *timer;
  int64_t last_activity_ms; /* monotonic */
};

struct ds_http_client
{
  struct tevent_context *ev;
  CURLM *multi;
  struct tevent_timer *timer;
  struct tevent_immediate *deferred_event;
  bool deferred_scheduled;
  struct ds_http_call *deferred; /* in the order of ds_http_call_start */
  struct ds_http_call *last_deferred;
  struct ds_http_call *calls;
  size_t call_count;
  long idle_connection_max_age_s;
  GHashTable *sockets;     /* struct open_socket by descriptor */
  GHashTable *connections; /* struct open_socket by endpoints */
  /* Depth of calls into libcurl that run callbacks; handles must not be added
     or removed meanwhile.  */
  unsigned curl_depth;
  unsigned on_done_depth;
};

/* The socket of a connection and, once known, the addresses of its ends.  */
struct open_socket
{
  int fd;
  char endpoints[ENDPOINTS_TEXT_BYTES];
};

struct socket_watch
{
  struct ds_http_client *client;
  curl_socket_t fd;
  struct tevent_fd *event;
};

static pthread_once_t global_once = PTHREAD_ONCE_INIT;

static void
initialise_curl (void)
{
  (void)curl_global_init (CURL_GLOBAL_DEFAULT);
}

static int64_t
monotonic_ms (void)
{
  struct timespec now;

  (void)clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

static struct timeval
after_ms (uint64_t ms)
{
  return tevent_timeval_current_ofs ((uint32_t)(ms / MS_PER_S),
                                     (uint32_t)(ms % MS_PER_S) * US_PER_MS);
}

static void
remove_deferred (struct ds_http_call *call)
{
  struct ds_http_client *client = call->client;
  struct ds_http_call *before = NULL;

  for (struct ds_http_call *other = client->deferred; other != call;
       other = other->next_deferred)
    before = other;
  if (before != NULL)
    before->next_deferred = call->next_deferred;
  else
    client->deferred = call->next_deferred;
  if (client->last_deferred == call)
    client->last_deferred = before;
  call->next_deferred = NULL;
  call->deferred = false;
}

static void
call_free (struct ds_http_call *call)
{
  struct ds_http_client *client = call->client;

  if (call->deferred)
    remove_deferred (call);
  if (call->previous != NULL)
    call->previous->next = call->next;
  else
    client->calls = call->next;
  if (call->next != NULL)
    call->next->previous = call->previous;
  client->call_count--;
  if (call->easy != NULL)
    {
      /* This also closes the connection of an unfinished transfer.  */
      (void)curl_multi_remove_handle (client->multi, call->easy);
      curl_easy_cleanup (call->easy);
    }
  curl_slist_free_all (call->headers);
  talloc_free (call);
}

static void
finish (struct ds_http_call *call, const struct ds_error *error)
{
  struct ds_str encoding;
  curl_off_t declared = -1;
  struct ds_http_result result = {
    .status = call->status,
    .error = *error,
    .body = ds_byte_buffer_content (&call->body),
    .sent = call->send_count > 0,
  };

  if (call->state == CALL_CANCELLED)
    {
      call_free (call);
      return;
    }
  TALLOC_FREE (call->timer);
  call->state = CALL_DONE;
  encoding = ds_http_call_header (call, "Transfer-Encoding");
  (void)curl_easy_getinfo (call->easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T,
                           &declared);
  result.framed
      = declared >= 0 || call->body_bytes == 0
        || (encoding.length == strlen ("chunked")
            && strncasecmp (encoding.data, "chunked", encoding.length) == 0);
  call->client->on_done_depth++;
  if (call->options.on_done != NULL)
    call->options.on_done (call, &result, call->options.user_data);
  call->client->on_done_depth--;
  call_free (call);
}

static void
abort_error (struct ds_error *error, const struct ds_http_call *call)
{
  switch (call->abort_reason)
    {
    case ABORT_BODY_LIMIT:
      (void)ds_error_set (error, DS_ERANGE, "receive", call->peer,
                          "response body exceeds the limit of %zu bytes",
                          call->options.body_limit);
      break;
    case ABORT_HEADER_LIMIT:
      (void)ds_error_set (error, DS_ERANGE, "receive", call->peer,
                          "response header exceeds the limit of %zu bytes",
                          HEADER_LIMIT_BYTES);
      break;
    case ABORT_SECOND_SEND:
      (void)ds_error_set (error, DS_EUNAVAILABLE, "first_byte", call->peer,
                          "reused connection was closed without a response");
      break;
    case ABORT_STALE_CONNECTION:
      (void)ds_error_set (error, DS_EPROTOCOL, "connect", call->peer,
                          "connection was closed or received data before the "
                          "request was sent");
      break;
    case ABORT_OUT_OF_MEMORY:
      (void)ds_error_set (error, DS_ENOMEM, "receive", call->peer,
                          "out of memory");
      break;
    case ABORT_NONE:
      break;
    }
}

/* Converts a libcurl result code.  */
static void
curl_error (struct ds_error *error, const struct ds_http_call *call,
            CURLcode code)
{
  const char *text = curl_easy_strerror (code);
  const char *step = call->send_count == 0 ? "connect"
                     : call->headers_seen  ? "receive"
                                           : "first_byte";

  *error = DS_ERROR_NONE;
  if (code == CURLE_OK)
    return;
  if (call->abort_reason != ABORT_NONE)
    {
      abort_error (error, call);
      return;
    }
  switch (code)
    {
    case CURLE_OPERATION_TIMEDOUT:
      (void)ds_error_set (error, DS_ETIMEOUT,
                          call->send_count == 0 ? "connect" : "total",
                          call->peer, "%s", text);
      break;
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_PARTIAL_FILE:
    case CURLE_BAD_CONTENT_ENCODING:
      (void)ds_error_set (error, DS_EPROTOCOL, step, call->peer, "%s", text);
      break;
    case CURLE_OUT_OF_MEMORY:
      (void)ds_error_set (error, DS_ENOMEM, step, call->peer, "%s", text);
      break;
    default:
      (void)ds_error_set (error, DS_EUNAVAILABLE, step, call->peer, "%s",
                          text);
      break;
    }
}

/* Restarts a call that got a stale reused connection.  No byte of it has been
   sent.  */
static bool
retry_on_new_connection (struct ds_http_call *call)
{
  CURLM *multi = call->client->multi;

  if (call->abort_reason != ABORT_STALE_CONNECTION
      || call->new_connection_requested || call->send_count > 0
      || call->state != CALL_ACTIVE)
    return false;
  call->abort_reason = ABORT_NONE;
  call->new_connection_requested = true;
  call->opened_fd = -1;
  (void)curl_multi_remove_handle (multi, call->easy);
  curl_easy_setopt (call->easy, CURLOPT_FRESH_CONNECT, 1L);
  return curl_multi_add_handle (multi, call->easy) == CURLM_OK;
}

/* Reports all calls that libcurl has finished.  */
static void
reap (struct ds_http_client *client)
{
  CURLMsg *message;
  int remaining;

  if (client->curl_depth > 0)
    return;
  while ((message = curl_multi_info_read (client->multi, &remaining)) != NULL)
    {
      struct ds_http_call *call = NULL;
      struct ds_error error;

      if (message->msg != CURLMSG_DONE
          || curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &call)
                 != CURLE_OK)
        continue;
      curl_error (&error, call, message->data.result);
      if (retry_on_new_connection (call))
        continue;
      finish (call, &error);
    }
}

static void
run_multi (struct ds_http_client *client, curl_socket_t fd, int events)
{
  int running;

  client->curl_depth++;
  (void)curl_multi_socket_action (client->multi, fd, events, &running);
  client->curl_depth--;
  reap (client);
}

static void
handle_deferred (struct tevent_context *ev, struct tevent_immediate *event,
                 void *private_data)
{
  struct ds_http_client *client = private_data;

  (void)ev;
  (void)event;
  client->deferred_scheduled = false;
  while (client->deferred != NULL)
    {
      struct ds_http_call *call = client->deferred;

      remove_deferred (call);
      if (call->state == CALL_CANCELLED)
        call_free (call);
      else if (call->state == CALL_WAITING)
        {
          call->state = CALL_ACTIVE;
          (void)curl_multi_add_handle (client->multi, call->easy);
        }
    }
  run_multi (client, CURL_SOCKET_TIMEOUT, 0);
}

static void
schedule_deferred (struct ds_http_client *client)
{
  if (client->deferred_scheduled)
    return;
  client->deferred_scheduled = true;
  tevent_schedule_immediate (client->deferred_event, client->ev,
                             handle_deferred, client);
}

static void
defer (struct ds_http_call *call)
{
  struct ds_http_client *client = call->client;

  if (!call->deferred)
    {
      call->deferred = true;
      if (client->last_deferred != NULL)
        client->last_deferred->next_deferred = call;
      else
        client->deferred = call;
      client->last_deferred = call;
    }
  schedule_deferred (client);
}

static void
handle_timer (struct tevent_context *ev, struct tevent_timer *timer,
              struct timeval now, void *private_data)
{
  struct ds_http_client *client = private_data;

  (void)ev;
  (void)timer;
  (void)now;
  client->timer = NULL;
  run_multi (client, CURL_SOCKET_TIMEOUT, 0);
}

static int
set_timer (CURLM *multi, long timeout_ms, void *closure)
{
  struct ds_http_client *client = closure;

  (void)multi;
  TALLOC_FREE (client->timer);
  if (timeout_ms < 0)
    return 0;
  client->timer
      = tevent_add_timer (client->ev, client, after_ms ((uint64_t)timeout_ms),
                          handle_timer, client);
  return client->timer != NULL ? 0 : -1;
}

static void
handle_socket (struct tevent_context *ev, struct tevent_fd *event,
               uint16_t flags, void *private_data)
{
  struct socket_watch *watch = private_data;

  (void)ev;
  (void)event;
  run_multi (watch->client, watch->fd,
             (flags & TEVENT_FD_READ ? CURL_CSELECT_IN : 0)
                 | (flags & TEVENT_FD_WRITE ? CURL_CSELECT_OUT : 0));
}

static int
set_socket (CURL *easy, curl_socket_t fd, int what, void *closure,
            void *socket_closure)
{
  struct ds_http_client *client = closure;
  struct socket_watch *watch = socket_closure;
  uint16_t flags = (what & CURL_POLL_IN ? TEVENT_FD_READ : 0)
                   | (what & CURL_POLL_OUT ? TEVENT_FD_WRITE : 0);

  (void)easy;
  if (what == CURL_POLL_REMOVE)
    {
      talloc_free (watch);
      (void)curl_multi_assign (client->multi, fd, NULL);
      return 0;
    }
  if (watch == NULL)
    {
      watch = talloc_zero (client, struct socket_watch);
      if (watch == NULL)
        return -1;
      watch->client = client;
      watch->fd = fd;
      (void)curl_multi_assign (client->multi, fd, watch);
    }
  if (watch->event == NULL)
    watch->event
        = tevent_add_fd (client->ev, watch, fd, flags, handle_socket, watch);
  else
    tevent_fd_set_flags (watch->event, flags);
  return watch->event != NULL ? 0 : -1;
}

static void start_inactivity_timer (struct ds_http_call *call);

static uint32_t
inactivity_limit_ms (const struct ds_http_call *call)
{
  return call->header_bytes > 0 ? call->options.progress_timeout_ms
                                : call->options.first_byte_timeout_ms;
}

/* Received bytes do not restart the timer; when it fires, this checks the time
   since the last one on the monotonic clock.  */
static void
handle_inactivity (struct tevent_context *ev, struct tevent_timer *timer,
                   struct timeval now, void *private_data)
{
  struct ds_http_call *call = private_data;
  struct ds_error error;

  (void)ev;
  (void)timer;
  (void)now;
  call->timer = NULL;
  if (call->paused)
    return;
  if (monotonic_ms () - call->last_activity_ms < inactivity_limit_ms (call))
    {
      start_inactivity_timer (call);
      return;
    }
  (void)ds_error_set (
      &error, DS_ETIMEOUT, call->header_bytes > 0 ? "progress" : "first_byte",
      call->peer, "no data received for %u ms", inactivity_limit_ms (call));
  finish (call, &error);
}

static void
start_inactivity_timer (struct ds_http_call *call)
{
  uint32_t limit = inactivity_limit_ms (call);
  int64_t left = call->last_activity_ms + limit - monotonic_ms ();

  TALLOC_FREE (call->timer);
  if (limit > 0)
    call->timer = tevent_add_timer (call->client->ev, call,
                                    after_ms (left > 0 ? (uint64_t)left : 1),
                                    handle_inactivity, call);
}

static void
record_activity (struct ds_http_call *call)
{
  call->last_activity_ms = monotonic_ms ();
}

/* Opens a socket for libcurl and records that CLOSURE, a call, uses a new
   connection.  The parameters are those of curl_opensocket_callback.  */
static curl_socket_t
/* NOLINTNEXTLINE(readability-non-const-parameter) */
open_socket (void *closure, curlsocktype purpose,
             struct curl_sockaddr *address)
{
  struct ds_http_call *call = closure;
  struct open_socket *entry;
  int fd = socket (address->family, address->socktype | SOCK_CLOEXEC,
                   address->protocol);

  (void)purpose;
  if (fd < 0)
    return CURL_SOCKET_BAD;
  entry = g_new0 (struct open_socket, 1);
  entry->fd = fd;
  (void)g_hash_table_insert (call->client->sockets, GINT_TO_POINTER (fd),
                             entry);
  call->opened_fd = fd;
  return fd;
}

static int
close_socket (void *closure, curl_socket_t fd)
{
  struct ds_http_client *client = closure;
  const struct open_socket *entry
      = g_hash_table_lookup (client->sockets, GINT_TO_POINTER (fd));

  if (entry != NULL
      && g_hash_table_lookup (client->connections, entry->endpoints) == entry)
    (void)g_hash_table_remove (client->connections, entry->endpoints);
  (void)g_hash_table_remove (client->sockets, GINT_TO_POINTER (fd));
  return close (fd);
}

/* The socket of the new or reused connection with these endpoints, which
   libcurl does not expose before the request is written.  Null if
   unknown.  */
static const struct open_socket *
find_socket (struct ds_http_call *call, const char *local_ip, int local_port,
             const char *remote_ip, int remote_port)
{
  struct ds_http_client *client = call->client;
  char endpoints[ENDPOINTS_TEXT_BYTES];
  struct open_socket *entry;

  (void)snprintf (endpoints, sizeof endpoints, "%s %d %s %d", local_ip,
                  local_port, remote_ip, remote_port);
  if (call->opened_fd < 0)
    return g_hash_table_lookup (client->connections, endpoints);
  entry = g_hash_table_lookup (client->sockets,
                               GINT_TO_POINTER (call->opened_fd));
  if (entry == NULL)
    return NULL;
  memcpy (entry->endpoints, endpoints, sizeof endpoints);
  (void)g_hash_table_replace (client->connections, entry->endpoints, entry);
  return entry;
}

/* Whether a connection is closed or has unread bytes although no request is in
   flight.  libcurl would take such bytes, such as a late response, for the
   response to the next request.  */
static bool
is_stale (const struct open_socket *entry)
{
  char byte;

  return entry == NULL
         || recv (entry->fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) >= 0;
}

/* libcurl calls this before each write of the request.  It retries by itself
   if a reused connection ends without a response; the request may have been
   executed by then, so the second attempt is aborted.  The parameters are
   those of curl_prereq_callback.  */
static int
/* NOLINTNEXTLINE(readability-non-const-parameter) */
before_send (void *closure, char *remote_ip, char *local_ip, int remote_port,
             int local_port)
{
  struct ds_http_call *call = closure;

  if (call->send_count > 0)
    {
      call->abort_reason = ABORT_SECOND_SEND;
      return CURL_PREREQFUNC_ABORT;
    }
  if (call->state == CALL_CANCELLED)
    return CURL_PREREQFUNC_ABORT;
  if (is_stale (
          find_socket (call, local_ip, local_port, remote_ip, remote_port)))
    {
      call->abort_reason = ABORT_STALE_CONNECTION;
      return CURL_PREREQFUNC_ABORT;
    }
  call->send_count++;
  record_activity (call);
  start_inactivity_timer (call);
  return CURL_PREREQFUNC_OK;
}

static bool
is_end_of_head (const char *line, size_t length)
{
  return length > 0 && (line[0] == '\r' || line[0] == '\n');
}

static size_t
handle_header (char *line, size_t size, size_t count, void *closure)
{
  struct ds_http_call *call = closure;
  size_t length = size * count;
  bool first = call->header_bytes == 0;
  long status = 0;

  if (call->state == CALL_CANCELLED)
    return 0;
  call->header_bytes += length;
  record_activity (call);
  if (first)
    start_inactivity_timer (call);
  if (call->header_bytes > HEADER_LIMIT_BYTES)
    {
      call->abort_reason = ABORT_HEADER_LIMIT;
      return 0;
    }
  if (call->headers_seen || !is_end_of_head (line, length))
    return length;
  (void)curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
  if (status < 200)
    return length;
  call->status = (unsigned)status;
  call->headers_seen = true;
  if (call->options.on_headers != NULL)
    call->options.on_headers (call, call->status, call->options.user_data);
  return call->state == CALL_CANCELLED ? 0 : length;
}

/* The parameters are those of curl_write_callback.  */
static size_t
/* NOLINTNEXTLINE(readability-non-const-parameter) */
handle_body (char *data, size_t size, size_t count, void *closure)
{
  struct ds_http_call *call = closure;
  size_t length = size * count;
  struct ds_str part = { .data = data, .length = length };

  if (call->state == CALL_CANCELLED)
    return 0;
  if (call->paused)
    return CURL_WRITEFUNC_PAUSE;
  record_activity (call);
  if (call->options.body_limit > 0
      && length > call->options.body_limit - call->body_bytes)
    {
      call->abort_reason = ABORT_BODY_LIMIT;
      return 0;
    }
  call->body_bytes += length;
  if (call->options.on_data != NULL)
    {
      call->options.on_data (call, part, call->options.user_data);
      return call->state == CALL_CANCELLED ? 0 : length;
    }
  if (ds_byte_buffer_append (call, &call->body, part) != 0)
    {
      call->abort_reason = ABORT_OUT_OF_MEMORY;
      return 0;
    }
  return length;
}

static bool
has_forbidden_byte (struct ds_str text)
{
  for (size_t i = 0; i < text.length; i++)
    if (text.data[i] == '\r' || text.data[i] == '\n' || text.data[i] == '\0')
      return true;
  return false;
}

static int
add_header_line (struct ds_http_call *call, const char *line)
{
  struct curl_slist *list = curl_slist_append (call->headers, line);

  if (list == NULL)
    return DS_ENOMEM;
  call->headers = list;
  return 0;
}

static int
add_headers (struct ds_http_call *call)
{
  const struct ds_http_call_options *options = &call->options;
  /* Without these libcurl would wait for "100 Continue" and declare every body
     as a form.  */
  int status = add_header_line (call, "Expect:");

  if (status == 0)
    status = add_header_line (call, "Content-Type:");
  for (size_t i = 0; i < options->header_count && status == 0; i++)
    {
      struct ds_str name = options->headers[i].name;
      struct ds_str value = options->headers[i].value;
      char *line;

      if (name.length == 0 || has_forbidden_byte (name)
          || has_forbidden_byte (value)
          || memchr (name.data, ':', name.length) != NULL)
        return DS_EINVAL;
      /* libcurl writes "NAME;" as a header without a value.  */
      line = value.length > 0
                 ? talloc_asprintf (call, "%.*s: %.*s", DS_STR_ARG (name),
                                    DS_STR_ARG (value))
                 : talloc_asprintf (call, "%.*s;", DS_STR_ARG (name));
      status = line != NULL ? add_header_line (call, line) : DS_ENOMEM;
      talloc_free (line);
    }
  return status;
}

/* Sets the peer from the URL and checks that it is an IP address.  */
static int
parse_peer (struct ds_http_call *call, const char *url)
{
  CURLU *parts = curl_url ();
  char *scheme = NULL;
  char *host = NULL;
  char *port = NULL;
  struct ds_socket_address address;
  int status = DS_EINVAL;

  if (parts == NULL)
    return DS_ENOMEM;
  if (url != NULL && curl_url_set (parts, CURLUPART_URL, url, 0) == CURLUE_OK
      && curl_url_get (parts, CURLUPART_SCHEME, &scheme, 0) == CURLUE_OK
      && curl_url_get (parts, CURLUPART_HOST, &host, 0) == CURLUE_OK
      && curl_url_get (parts, CURLUPART_PORT, &port, CURLU_DEFAULT_PORT)
             == CURLUE_OK
      && strcmp (scheme, "http") == 0)
    {
      (void)snprintf (call->peer, sizeof call->peer, "%s:%s", host, port);
      status = ds_socket_address_parse (&address, ds_str_from_c (call->peer));
    }
  curl_free (scheme);
  curl_free (host);
  curl_free (port);
  curl_url_cleanup (parts);
  return status;
}

static void
set_request_options (struct ds_http_call *call)
{
  const struct ds_http_call_options *options = &call->options;
  CURL *easy = call->easy;

  curl_easy_setopt (easy, CURLOPT_URL, options->url);
  if (strcmp (options->method, "HEAD") == 0)
    curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
  else if (options->body.length > 0 || strcmp (options->method, "POST") == 0
           || strcmp (options->method, "PUT") == 0)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)options->body.length);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, options->body.data);
    }
  else
    curl_easy_setopt (easy, CURLOPT_HTTPGET, 1L);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, options->method);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, call->headers);
  curl_easy_setopt (easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)options->connect_timeout_ms);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)options->total_timeout_ms);
}

static void
set_fixed_options (struct ds_http_call *call, long idle_connection_max_age_s)
{
  CURL *easy = call->easy;

  curl_easy_setopt (easy, CURLOPT_PRIVATE, call);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt (easy, CURLOPT_MAXAGE_CONN, idle_connection_max_age_s);
  curl_easy_setopt (easy, CURLOPT_OPENSOCKETFUNCTION, open_socket);
  curl_easy_setopt (easy, CURLOPT_OPENSOCKETDATA, call);
  /* A connection may be closed long after its call.  */
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETDATA, call->client);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, before_send);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, call);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, handle_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, call);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, handle_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
}

static int
client_destructor (struct ds_http_client *client)
{
  g_assert (client->curl_depth == 0 && client->on_done_depth == 0);
  while (client->calls != NULL)
    call_free (client->calls);
  if (client->multi != NULL)
    (void)curl_multi_cleanup (client->multi);
  g_hash_table_destroy (client->connections);
  g_hash_table_destroy (client->sockets);
  return 0;
}

/* Creates a client on EV, owned by OWNER and run by the thread of EV.  */
int
ds_http_client_new (struct ds_http_client **out, TALLOC_CTX *owner,
                    struct tevent_context *ev,
                    const struct ds_http_client_options *options)
{
  struct ds_http_client *client = talloc_zero (owner, struct ds_http_client);

  (void)pthread_once (&global_once, initialise_curl);
  if (client == NULL)
    return DS_ENOMEM;
  client->ev = ev;
  client->sockets = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  client->connections = g_hash_table_new (g_str_hash, g_str_equal);
  talloc_set_destructor (client, client_destructor);
  client->multi = curl_multi_init ();
  client->deferred_event = tevent_create_immediate (client);
  if (client->multi == NULL || client->deferred_event == NULL)
    goto fail;
  client->idle_connection_max_age_s = (long)options->idle_connection_max_age_s;
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETFUNCTION, set_socket);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERFUNCTION, set_timer);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_PIPELINING,
                     (long)CURLPIPE_NOTHING);
  curl_multi_setopt (client->multi, CURLMOPT_MAXCONNECTS,
                     (long)options->idle_connections);
  *out = client;
  return 0;

fail:
  talloc_free (client);
  return DS_ENOMEM;
}

/* Cancels all calls without calling on_done and closes all connections.  Not
   allowed inside a callback of the client.  */
void
ds_http_client_free (struct ds_http_client *client)
{
  talloc_free (client);
}

/* Number of unfinished calls.  */
size_t
ds_http_client_call_count (const struct ds_http_client *client)
{
  return client->call_count;
}

/* Starts a call; the method, URL, headers and body of OPTIONS are copied.
   on_done is called exactly once, never before this function has returned,
   unless the call is cancelled.  Returns DS_EINVAL for a URL without an IP
   address or an invalid header.  OUT may be null.  */
int
ds_http_call_start (struct ds_http_call **out, struct ds_http_client *client,
                    const struct ds_http_call_options *options,
                    struct ds_error *error)
{
  struct ds_http_call *call = talloc_zero (client, struct ds_http_call);
  int status;

  if (call == NULL)
    return ds_error_set (error, DS_ENOMEM, "call", options->url,
                         "out of memory");
  call->client = client;
  call->opened_fd = -1;
  call->options = *options;
  call->next = client->calls;
  if (call->next != NULL)
    call->next->previous = call;
  client->calls = call;
  client->call_count++;
  call->options.method = talloc_strdup (call, options->method);
  call->options.url = talloc_strdup (call, options->url);
  call->options.body = ds_str_copy (call, options->body);
  call->easy = curl_easy_init ();
  status = parse_peer (call, options->url);
  if (status == 0)
    status = add_headers (call);
  if (status == 0
      && (call->easy == NULL || call->options.method == NULL
          || call->options.url == NULL
          || call->options.body.length != options->body.length))
    status = DS_ENOMEM;
  call->options.headers = NULL;
  if (status != 0)
    {
      call_free (call);
      return ds_error_set (error, status, "call", options->url, "%s",
                           status == DS_ENOMEM
                               ? "out of memory"
                               : "invalid URL or header; the URL must be "
                                 "\"http://\" with an IP address");
    }
  set_fixed_options (call, client->idle_connection_max_age_s);
  set_request_options (call);
  defer (call);
  if (out != NULL)
    *out = call;
  return 0;
}

/* Ends CALL without calling on_done; closes its connection unless the response
   was complete.  CALL must not be used afterwards.  Has no effect inside its
   own on_done.  */
void
ds_http_call_cancel (struct ds_http_call *call)
{
  if (call->state == CALL_DONE || call->state == CALL_CANCELLED)
    return;
  call->state = CALL_CANCELLED;
  if (call->client->curl_depth > 0)
    defer (call);
  else
    call_free (call);
}

/* Pauses or resumes reading the response.  The first-byte and progress
   timeouts do not run while a call is paused.  Resuming may call on_data
   before this function returns.  */
void
ds_http_call_pause (struct ds_http_call *call, bool paused)
{
  if (call->state == CALL_DONE || call->paused == paused)
    return;
  call->paused = paused;
  if (paused || call->state != CALL_ACTIVE)
    return;
  record_activity (call);
  start_inactivity_timer (call);
  call->client->curl_depth++;
  (void)curl_easy_pause (call->easy, CURLPAUSE_CONT);
  call->client->curl_depth--;
  schedule_deferred (call->client);
}

/* Whether any byte of the request can have been written.  */
bool
ds_http_call_sent (const struct ds_http_call *call)
{
  return call->send_count > 0;
}

/* The value of the response header NAME, available from on_headers on.  DATA
   is null if absent.  */
struct ds_str
ds_http_call_header (struct ds_http_call *call, const char *name)
{
  struct curl_header *header = NULL;

  if (curl_easy_header (call->easy, name, 0, CURLH_HEADER, -1, &header)
      != CURLHE_OK)
    return (struct ds_str){ .data = NULL, .length = 0 };
  return ds_str_from_c (header->value);
}
