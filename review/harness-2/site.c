#include "site.h"

#include "support/http.h"
#include "support/process.h"

#include <arpa/inet.h>
#include <errno.h>
#include <jansson.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define PROGRAM "target/daisystep"
#define STORE_PROGRAM "target/review-2/standin_platform_store"
#define OBJECTS "/daisystep/objects/"
#define READY_MS 20000
#define POLL_MS 20
#define HEAD_BYTES_MAX 16384
#define READ_BYTES 8192
/* A caller gives up an answer after this time; longer than any route's.  */
#define CALLER_TIMEOUT_S 15
/* The whole case ends by itself.  */
#define CASE_SECONDS_MAX 110
#define BACKLOG 512
/* Ports of a host.  */
enum port
{
  PORT_CALLER = 8227,
  PORT_READY = 8220,
  PORT_DIRECTORY = 8224,
  PORT_GOSSIP = 7340,
  PORT_METRICS = 7355,
  PORT_STORE = 8223,
  PORT_SERVER = 8300
};

const struct site_profile site_ccbs = {
  .region = "sicilia",
  .zones = { "palermo", "catania", "siracusa" },
  .memory_mb = 260,
  .link_mbps = 1000,
  .config_apply_ms = 2000,
  .drain_ms = 2000,
  .retry_slack = 54,
};

const struct site_profile site_acif = {
  .region = "cr-central",
  .zones = { "sanjose", "heredia", "cartago" },
  .memory_mb = 88,
  .link_mbps = 200,
  .config_apply_ms = 3000,
  .drain_ms = 3000,
  .retry_slack = 164,
};

static const struct site_profile *site;
static FILE *record;
static uint64_t started_ms;
static char network[16];
static char store_address[SITE_ADDRESS_BYTES];
static struct test_process *hosts[SITE_HOSTS];
static int config_version;
static int server_count;

/* Whether the disruption takes place: not with TROUBLE=0.  */
bool
site_trouble (void)
{
  const char *trouble = getenv ("TROUBLE");

  return trouble == NULL || strcmp (trouble, "0") != 0;
}

uint64_t
site_now_ms (void)
{
  struct timespec now;

  (void)clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

void
site_sleep_ms (long ms)
{
  struct timespec time
      = { .tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000L };

  while (nanosleep (&time, &time) != 0 && errno == EINTR)
    ;
}

/* Writes a line with the seconds since the start to record.txt.
   Thread-safe.  */
void
site_record (const char *format, ...)
{
  char text[512];
  uint64_t ms = site_now_ms () - started_ms;
  va_list arguments;

  va_start (arguments, format);
  (void)vsnprintf (text, sizeof text, format, arguments);
  va_end (arguments);
  (void)fprintf (record, "%4llu.%03llu %s\n", (unsigned long long)ms / 1000,
                 (unsigned long long)ms % 1000, text);
}

/* Ends all processes and the case.  */
void
site_finish (enum site_result result, const char *reason)
{
  static const char *const names[] = { "held", "BROKEN", "not run" };

  site_record ("result: %s: %s", names[result], reason);
  (void)fclose (record);
  (void)printf ("%s: %s\n", names[result], reason);
  (void)fflush (stdout);
  test_processes_clean_up ();
  _exit (result);
}

static void
on_alarm (int number)
{
  (void)number;
  test_processes_clean_up ();
  _exit (SITE_NOT_RUN);
}

static void
format_address (char *out, int host, int port)
{
  (void)snprintf (out, SITE_ADDRESS_BYTES, "%s.%d:%d", network, host, port);
}

static bool
parse_address (struct sockaddr_in *out, const char *text)
{
  char ip[SITE_ADDRESS_BYTES];
  char *colon;

  (void)snprintf (ip, sizeof ip, "%s", text);
  colon = strchr (ip, ':');
  if (colon == NULL)
    return false;
  *colon = '\0';
  *out = (struct sockaddr_in){
    .sin_family = AF_INET,
    .sin_port = htons ((uint16_t)strtoul (colon + 1, NULL, 10)),
  };
  return inet_pton (AF_INET, ip, &out->sin_addr) == 1;
}

static int
listen_on (const char *address)
{
  struct sockaddr_in to;
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  (void)setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (!parse_address (&to, address)
      || bind (fd, (struct sockaddr *)&to, sizeof to) != 0
      || listen (fd, BACKLOG) != 0)
    site_finish (SITE_NOT_RUN, "a replica cannot listen");
  return fd;
}

static void
put_object (const char *kind, const char *name, json_t *spec, bool create)
{
  json_t *object
      = json_pack ("{s:{s:s},s:o}", "metadata", "name", name, "spec", spec);
  char *text = object != NULL ? json_dumps (object, JSON_COMPACT) : NULL;
  char path[128];
  struct test_http_call call = { .method = create ? "POST" : "PUT",
                                 .address = store_address,
                                 .path = path,
                                 .body = text };
  struct test_http_response *reply;

  if (text == NULL)
    site_finish (SITE_NOT_RUN, "an object cannot be encoded");
  (void)snprintf (path, sizeof path, OBJECTS "%s%s%s", kind, create ? "" : "/",
                  create ? "" : name);
  reply = test_http (&call);
  if (reply->status != 200)
    site_finish (SITE_NOT_RUN, "the store does not accept an object");
  talloc_free (reply);
  free (text);
  json_decref (object);
}

static json_t *
make_route (const char *name, const char *kind, const char *service,
            int attempts, bool resumable)
{
  char prefix[32];
  bool streaming = strcmp (kind, "streaming") == 0;

  (void)snprintf (prefix, sizeof prefix, "/%s/", name);
  return json_pack ("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:s,s:b,s:b,s:i}",
                    "name", name, "host", "d.example", "path_prefix", prefix,
                    "kind", kind, "timeout_ms", 10000, "target_latency_ms",
                    800, "priority", 1, "max_attempts", attempts, "service",
                    service, "resumable", resumable, "sticky", streaming,
                    "gap_aim_ms", 250);
}

/* Writes the next version of the configuration, in which the tenant has
   PREPAID tokens.  Routes: /look/ idempotent, /book/ non_idempotent, /stream/
   a stream that may be resumed, /once/ one that may not.  */
void
site_write_config (long prepaid)
{
  json_t *spec = json_pack (
      "{s:i,s:[o,o,o,o],s:[{s:s,s:s,s:i,s:{s:i,s:i,s:i}},{s:s,s:s,s:i}],"
      "s:{s:i,s:i,s:i,s:i},s:[{s:s,s:[s],s:I}]}",
      "version", ++config_version, "routes",
      make_route ("look", "idempotent", "book", 2, false),
      make_route ("book", "non_idempotent", "book", 1, false),
      make_route ("stream", "streaming", "model", 2, true),
      make_route ("once", "streaming", "model", 1, false), "services", "name",
      "model", "health_path", "/health", "max_connections", 370, "engine",
      "slots", 64, "stride", 4, "kv_capacity", 421968, "name", "book",
      "health_path", "/health", "max_connections", 360, "limits",
      "max_header_bytes", 16384, "max_body_bytes", 4194304,
      "header_timeout_ms", 5000, "idle_timeout_ms", 15000, "tenants", "name",
      "north", "api_keys", "key-1", "prepaid", (json_int_t)prepaid);

  put_object ("config", "main", spec, config_version == 1);
}

/* Starts the store of a site with PROFILE, creates record.txt in the folder
   that CASE_DIR names, and limits the run time.  */
void
site_open (const struct site_profile *profile)
{
  const char *folder = getenv ("CASE_DIR");
  char path[512];
  const char *arguments[] = { "--address", store_address, NULL };
  struct test_process *store;
  int pid = (int)getpid ();

  (void)signal (SIGPIPE, SIG_IGN);
  (void)snprintf (path, sizeof path, "%s/record.txt",
                  folder != NULL ? folder : ".");
  record = fopen (path, "w");
  if (record == NULL)
    _exit (SITE_NOT_RUN);
  (void)setvbuf (record, NULL, _IOLBF, 0);
  site = profile;
  started_ms = site_now_ms ();
  (void)signal (SIGALRM, on_alarm);
  (void)alarm (CASE_SECONDS_MAX);
  (void)snprintf (network, sizeof network, "127.%d.%d", 10 + pid % 200,
                  1 + pid / 200 % 250);
  format_address (store_address, 250, PORT_STORE);
  if (test_standin_start (&store, "store", STORE_PROGRAM, arguments) != 0)
    site_finish (SITE_NOT_RUN, "the store does not start");
}

/* Writes the entry of SERVER with STATE, "ready" or "draining".  */
void
site_register_server (struct site_server *server, const char *state)
{
  static int sequence;

  put_object ("servers", server->id,
              json_pack ("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i,s:I}", "service",
                         server->service, "address", server->address, "zone",
                         server->zone, "version", "1", "slots", 64, "state",
                         state, "cold_remaining_ms", 0, "sequence", ++sequence,
                         "born",
                         (json_int_t)1796000000000 + server->starts * 1000),
              !server->exists);
  server->exists = true;
  site_record ("the store has acknowledged %s as %s", server->id, state);
}

static pthread_mutex_t servers_lock = PTHREAD_MUTEX_INITIALIZER;

/* Replaces the first of the connections of SERVER that is FROM by TO.  */
static bool
replace_connection (struct site_server *server, int from, int to)
{
  bool found = false;

  (void)pthread_mutex_lock (&servers_lock);
  for (int i = 0; i < SITE_CONNECTIONS_MAX && !found; i++)
    if (server->fds[i] == from)
      {
        server->fds[i] = to;
        found = true;
      }
  (void)pthread_mutex_unlock (&servers_lock);
  return found;
}

/* One connection to a replica.  */
struct connection
{
  struct site_server *server;
  int fd;
};

/* Copies the value of header NAME from HEAD; an empty string if there is
   none.  */
static void
find_header (char *out, size_t size, const char *head, const char *name)
{
  size_t length = strlen (name);

  out[0] = '\0';
  for (const char *line = strstr (head, "\r\n"); line != NULL;
       line = strstr (line + 2, "\r\n"))
    if (strncasecmp (line + 2, name, length) == 0 && line[2 + length] == ':')
      {
        const char *value
            = line + 3 + length + strspn (line + 3 + length, " ");

        (void)snprintf (out, size, "%.*s", (int)strcspn (value, "\r\n"),
                        value);
        return;
      }
}

/* Reads a head byte by byte, so that nothing of what follows is taken.  */
static bool
read_head (int fd, char *head)
{
  size_t length = 0;

  while (length + 1 < HEAD_BYTES_MAX)
    {
      if (recv (fd, head + length, 1, 0) != 1)
        return false;
      head[++length] = '\0';
      if (length >= 4 && memcmp (head + length - 4, "\r\n\r\n", 4) == 0)
        return true;
    }
  return false;
}

/* Reads what is left of the body of REQUEST.  */
bool
site_read_body (int fd, struct site_request *request)
{
  static const size_t most = 65536;
  char *bytes = malloc (most);
  bool whole = true;

  while (request->body_missing > 0 && whole)
    {
      size_t wanted = request->body_missing < most
                          ? (size_t)request->body_missing
                          : most;
      ssize_t count = recv (fd, bytes, wanted, 0);

      whole = count > 0;
      if (whole)
        request->body_missing -= (uint64_t)count;
    }
  free (bytes);
  return whole;
}

static void *
serve_connection (void *closure)
{
  struct connection *connection = closure;
  char *head = malloc (HEAD_BYTES_MAX);
  struct site_request request;
  char length[32];

  while (read_head (connection->fd, head))
    {
      request = (struct site_request){ .arrived_ms = site_now_ms () };
      if (sscanf (head, "%15s %127s", request.method, request.path) != 2)
        break;
      find_header (request.id, sizeof request.id, head, "Request-Id");
      find_header (request.parts, sizeof request.parts, head, "Prompt-Prefix");
      find_header (length, sizeof length, head, "Content-Length");
      request.body_bytes = strtoull (length, NULL, 10);
      request.body_missing = request.body_bytes;
      if (!connection->server->answers_unread
          && !site_read_body (connection->fd, &request))
        break;
      if (!connection->server->answer (connection->server, connection->fd,
                                       &request)
          || !site_read_body (connection->fd, &request))
        break;
    }
  (void)replace_connection (connection->server, connection->fd, -1);
  (void)close (connection->fd);
  free (head);
  free (connection);
  return NULL;
}

/* A thread that serves connections, with a small stack: there are
   hundreds.  */
static void
start_thread (void *(*run) (void *), void *closure)
{
  pthread_attr_t attributes;
  pthread_t thread;

  (void)pthread_attr_init (&attributes);
  (void)pthread_attr_setstacksize (&attributes, (size_t)128 * 1024);
  (void)pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&thread, &attributes, run, closure) != 0)
    site_finish (SITE_NOT_RUN, "a thread cannot be started");
  (void)pthread_attr_destroy (&attributes);
}

struct listener
{
  struct site_server *server;
  int fd;
};

static void *
accept_connections (void *closure)
{
  struct listener *listener = closure;
  int on = 1;
  int fd;

  while ((fd = accept4 (listener->fd, NULL, NULL, SOCK_CLOEXEC)) >= 0)
    {
      struct connection *connection = malloc (sizeof *connection);

      *connection
          = (struct connection){ .server = listener->server, .fd = fd };
      (void)setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      (void)replace_connection (listener->server, -1, fd);
      start_thread (serve_connection, connection);
    }
  return NULL;
}

static void
start_listening (struct site_server *server)
{
  struct listener *listener = malloc (sizeof *listener);

  server->starts++;
  server->listen_fd = listen_on (server->address);
  *listener = (struct listener){ .server = server, .fd = server->listen_fd };
  start_thread (accept_connections, listener);
}

/* Starts the replica on threads of its own and registers it as ready.  */
void
site_start_server (struct site_server *server)
{
  memset (server->fds, -1, sizeof server->fds);
  format_address (server->address, 200 + server_count++, PORT_SERVER);
  start_listening (server);
  site_register_server (server, "ready");
}

struct restart
{
  struct site_server *server;
  long away_ms;
};

static void *
restart_server (void *closure)
{
  struct restart *restart = closure;

  site_sleep_ms (restart->away_ms);
  start_listening (restart->server);
  site_register_server (restart->server, "ready");
  free (restart);
  return NULL;
}

/* Ends the replica as a crash of its process does: all its connections and its
   listener.  It starts again AWAY_MS later, as another lifetime.  */
void
site_crash_server (struct site_server *server, long away_ms)
{
  struct restart *restart = malloc (sizeof *restart);

  *restart = (struct restart){ .server = server, .away_ms = away_ms };
  (void)shutdown (server->listen_fd, SHUT_RDWR);
  (void)close (server->listen_fd);
  server->listen_fd = -1;
  (void)pthread_mutex_lock (&servers_lock);
  for (int i = 0; i < SITE_CONNECTIONS_MAX; i++)
    if (server->fds[i] >= 0)
      (void)shutdown (server->fds[i], SHUT_RDWR);
  (void)pthread_mutex_unlock (&servers_lock);
  start_thread (restart_server, restart);
}

static void
caller_address (char *out, int i)
{
  format_address (out, 1 + i, PORT_CALLER);
}

static void
format_host (char *out, size_t size, int i)
{
  (void)snprintf (out, size, "front-%s-%d", site->zones[i % 3], 1 + i / 3);
}

/* The settings that deploy/settings.json.template gives a machine of the
   site.  */
static char *
make_settings (int i, bool first_start)
{
  char addresses[5][SITE_ADDRESS_BYTES];
  static const int ports[]
      = { PORT_CALLER, PORT_READY, PORT_DIRECTORY, PORT_GOSSIP, PORT_METRICS };
  char host[32];
  json_t *settings;
  char *text;

  for (int k = 0; k < 5; k++)
    format_address (addresses[k], 1 + i, ports[k]);
  format_host (host, sizeof host, i);
  settings = json_pack (
      "{s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:b,s:i,s:i,s:i,s:i,"
      "s:{s:s,s:s,s:s},s:i,s:f,s:i,s:f,s:b,s:i,s:{s:f,s:i,s:i},"
      "s:{s:i,s:i,s:i,s:i,s:i,s:{s:i,s:i,s:i}}}",
      "host", host, "zone", site->zones[i % 3], "region", site->region,
      "caller_address", addresses[0], "readiness_address", addresses[1],
      "directory_address", addresses[2], "gossip_address", addresses[3],
      "metrics_address", addresses[4], "store_address", store_address,
      "first_start", first_start, "grace_s", 8, "address_ttl_s", 2,
      "config_apply_ms", site->config_apply_ms, "drain_ms", site->drain_ms,
      "zones", site->zones[0], site->region, site->zones[1], site->region,
      site->zones[2], site->region, "log_lines_per_s", 150, "cpu_share", 0.25,
      "cpu_cores", 1, "link_mbps", site->link_mbps, "spread_callers", 1,
      "memory_mb", site->memory_mb, "retry", "ratio", 0.2, "slack",
      site->retry_slack, "window_s", 10, "budget", "settle_ms", 1200,
      "hold_ms", 13000, "part_percent", 70, "start_percent", 8,
      "minimum_tokens", 30000, "release", "span_ms", 13000, "usable_ms", 1600,
      "rate_percent", 110);
  text = settings != NULL ? json_dumps (settings, 0) : NULL;
  if (text == NULL)
    site_finish (SITE_NOT_RUN, "settings cannot be encoded");
  json_decref (settings);
  return text;
}

/* Starts host I as the deploy file does.  FIRST_START: the whole system starts
   for the first time.  */
void
site_start_host (int i, bool first_start)
{
  const char *arguments[] = { "entry", NULL };
  char name[32];
  char *settings = make_settings (i, first_start);
  char *path;

  (void)snprintf (name, sizeof name, "host-%d", i);
  path = test_file_write (name, settings);
  (void)setenv ("DAISYSTEP_SETTINGS", path, 1);
  if (test_process_start (&hosts[i], name, PROGRAM, arguments) != 0)
    site_finish (SITE_NOT_RUN, "a host does not start");
  talloc_free (path);
  free (settings);
  site_record ("host %d started", i);
}

/* Waits until host I says that it is ready.  */
void
site_wait_ready (int i)
{
  char address[SITE_ADDRESS_BYTES];
  struct test_http_call call
      = { .address = address, .path = "/daisystep/readiness" };

  format_address (address, 1 + i, PORT_READY);
  for (int waited = 0; waited < READY_MS; waited += POLL_MS)
    {
      struct test_http_response *reply = test_http (&call);
      bool ready = reply->status == 200;

      talloc_free (reply);
      if (ready)
        return;
      site_sleep_ms (POLL_MS);
    }
  site_finish (SITE_NOT_RUN, "a host is not ready");
}

void
site_signal_host (int i, int number)
{
  if (test_process_signal (hosts[i], number) != 0)
    site_finish (SITE_NOT_RUN, "a host has ended");
  site_record ("signal %d to host %d", number, i);
}

/* Waits for the end of host I; whether it has ended.  */
bool
site_wait_host (int i, int timeout_ms)
{
  bool ended = test_process_wait (hosts[i], timeout_ms);

  if (ended)
    site_record ("host %d has ended", i);
  return ended;
}

/* The most memory that host I has taken, in KB, without its sockets; 0 if it
   has ended.  */
long
site_peak_kb (int i)
{
  char path[64];
  char line[256];
  long kb = 0;
  FILE *file;

  (void)snprintf (path, sizeof path, "/proc/%d/status", (int)hosts[i]->pid);
  file = fopen (path, "r");
  while (file != NULL && fgets (line, sizeof line, file) != NULL)
    if (sscanf (line, "VmHWM: %ld kB", &kb) == 1)
      break;
  if (file != NULL)
    (void)fclose (file);
  return kb;
}

/* The number of the last update of the ledger by host I, as the store has it;
   0 for none.  */
long
site_ledger_updates (int i)
{
  json_t *list = test_get_json (store_address, OBJECTS "daisystep-ledger");
  char host[32];
  long number = 0;
  size_t k;
  json_t *object;

  format_host (host, sizeof host, i);
  json_array_foreach (json_object_get (list, "items"), k, object)
  {
    const char *writer;
    json_t *value;

    json_object_foreach (test_json_at (object, "spec/writers"), writer, value)
    {
      if (strncmp (writer, host, strlen (host)) == 0
          && writer[strlen (host)] == '#')
        number += (long)json_integer_value (value);
    }
  }
  json_decref (list);
  return number;
}

/* A control call of the store stand-in.  */
void
site_control_store (const char *path, const char *body)
{
  if (test_post (store_address, path, body) != 200)
    site_finish (SITE_NOT_RUN, "the store refuses a control call");
  site_record ("store: %s %s", path, body);
}

/* The drill: the store is away for AWAY_MS, then it comes back from the copy
   that "/standin/copy" has made.  */
void
site_restore_store (int away_ms)
{
  site_control_store ("/standin/faults", "{\"busy\":true}");
  site_sleep_ms (away_ms);
  site_control_store ("/standin/restore", "");
  site_control_store ("/standin/faults", "{}");
}

/* Sends all of TEXT; false if the connection has ended.  */
bool
site_send (int fd, const char *text, size_t length)
{
  while (length > 0)
    {
      ssize_t count = send (fd, text, length, MSG_NOSIGNAL);

      if (count <= 0)
        return false;
      text += count;
      length -= (size_t)count;
    }
  return true;
}

bool
site_send_format (int fd, const char *format, ...)
{
  char text[2048];
  va_list arguments;
  int length;

  va_start (arguments, format);
  length = vsnprintf (text, sizeof text, format, arguments);
  va_end (arguments);
  return site_send (fd, text, (size_t)length);
}

static bool
connect_caller (struct site_caller *caller, int receive_buffer)
{
  char address[SITE_ADDRESS_BYTES];
  struct sockaddr_in to;
  struct timeval timeout = { .tv_sec = CALLER_TIMEOUT_S };

  caller_address (address, caller->host);
  caller->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0)
    (void)setsockopt (caller->fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                      sizeof receive_buffer);
  (void)setsockopt (caller->fd, SOL_SOCKET, SO_RCVTIMEO, &timeout,
                    sizeof timeout);
  if (parse_address (&to, address)
      && connect (caller->fd, (struct sockaddr *)&to, sizeof to) == 0)
    return true;
  site_close_caller (caller);
  return false;
}

void
site_close_caller (struct site_caller *caller)
{
  if (caller->fd >= 0)
    (void)close (caller->fd);
  caller->fd = -1;
}

static bool
send_call (int fd, const struct site_call *call)
{
  char *body = calloc (1, call->body_bytes + 1);
  bool sent;

  memset (body, 'b', call->body_bytes);
  sent = site_send_format (
             fd,
             "%s %s HTTP/1.1\r\nHost: d.example\r\nRequest-Id: %s\r\n"
             "Authorization: Bearer key-1\r\nDeadline-Ms: 10000\r\n"
             "%s%s%s%s%sContent-Length: %zu\r\n\r\n",
             call->method, call->path, call->id,
             call->tokens != NULL ? "Model: m\r\nToken-Count: " : "",
             call->tokens != NULL ? call->tokens : "",
             call->tokens != NULL ? "\r\nPrompt-Prefix: " : "",
             call->tokens == NULL  ? ""
             : call->parts != NULL ? call->parts
                                   : "5c1e07a2:100,91bd3f06:100",
             call->tokens != NULL ? "\r\n" : "", call->body_bytes)
         && site_send (fd, body, call->body_bytes);
  free (body);
  return sent;
}

/* Reads up to SIZE bytes of an answer at the pace of CALL.  */
static ssize_t
read_paced (int fd, char *bytes, size_t size, const struct site_call *call,
            uint64_t *total, uint64_t begin_ms)
{
  ssize_t count = recv (fd, bytes, size, 0);

  if (count <= 0)
    return count;
  *total += (uint64_t)count;
  if (call->read_per_s > 0)
    {
      uint64_t due_ms = begin_ms + *total * 1000 / call->read_per_s;
      uint64_t now_ms = site_now_ms ();

      if (due_ms > now_ms)
        site_sleep_ms ((long)(due_ms - now_ms));
    }
  return count;
}

static void
keep_last (struct site_answer *answer, const char *bytes, size_t count)
{
  size_t most = sizeof answer->last - 1;
  size_t used = strlen (answer->last);

  if (count >= most)
    {
      bytes += count - most;
      count = most;
      used = 0;
    }
  if (used + count > most)
    {
      memmove (answer->last, answer->last + used + count - most, most - count);
      used = most - count;
    }
  memcpy (answer->last + used, bytes, count);
  answer->last[used + count] = '\0';
}

/* Reads COUNT bytes of the body.  */
static bool
read_counted (struct site_caller *caller, const struct site_call *call,
              struct site_answer *answer, uint64_t count, uint64_t *total,
              uint64_t begin_ms)
{
  char bytes[READ_BYTES];

  while (count > 0)
    {
      ssize_t got
          = read_paced (caller->fd, bytes,
                        count < sizeof bytes ? (size_t)count : sizeof bytes,
                        call, total, begin_ms);

      if (got <= 0)
        return false;
      count -= (uint64_t)got;
      answer->body_bytes += (size_t)got;
      keep_last (answer, bytes, (size_t)got);
    }
  return true;
}

/* Reads a line of the chunk framing; false at the end of the connection.  */
static bool
read_line (int fd, char *line, size_t size)
{
  size_t length = 0;

  while (length + 1 < size)
    {
      if (recv (fd, line + length, 1, 0) != 1)
        return false;
      line[++length] = '\0';
      if (line[length - 1] == '\n')
        return true;
    }
  return false;
}

static bool
read_chunks (struct site_caller *caller, const struct site_call *call,
             struct site_answer *answer, uint64_t begin_ms)
{
  uint64_t total = 0;
  char line[64];

  for (;;)
    {
      uint64_t size;

      if (!read_line (caller->fd, line, sizeof line))
        return false;
      size = strtoull (line, NULL, 16);
      if (size > 0
          && !read_counted (caller, call, answer, size, &total, begin_ms))
        return false;
      if (!read_line (caller->fd, line, sizeof line))
        return false;
      if (size == 0)
        return true;
    }
}

/* Reads the answer to CALL.  */
static void
read_answer (struct site_caller *caller, const struct site_call *call,
             struct site_answer *answer, uint64_t begin_ms)
{
  char *head = malloc (HEAD_BYTES_MAX);
  char value[64];
  uint64_t total = 0;

  if (!read_head (caller->fd, head)
      || sscanf (head, "HTTP/1.1 %d", &answer->status) != 1)
    {
      answer->closed = true;
      free (head);
      return;
    }
  find_header (value, sizeof value, head, "Transfer-Encoding");
  if (strcasecmp (value, "chunked") == 0)
    answer->complete = read_chunks (caller, call, answer, begin_ms);
  else
    {
      find_header (value, sizeof value, head, "Content-Length");
      answer->complete = read_counted (
          caller, call, answer, strtoull (value, NULL, 10), &total, begin_ms);
    }
  answer->closed = !answer->complete;
  find_header (value, sizeof value, head, "Connection");
  if (strcasecmp (value, "close") == 0)
    site_close_caller (caller);
  free (head);
}

/* Sends CALL on the caller's connection, a new one if there is none, and reads
   its answer.  A connection that ended, or that the answer closes, is
   closed.  */
void
site_exchange (struct site_caller *caller, const struct site_call *call,
               struct site_answer *answer)
{
  uint64_t begin_ms = site_now_ms ();

  *answer = (struct site_answer){ .closed = true };
  if ((caller->fd >= 0 || connect_caller (caller, call->receive_buffer))
      && send_call (caller->fd, call))
    {
      answer->closed = false;
      read_answer (caller, call, answer, begin_ms);
    }
  if (answer->closed)
    site_close_caller (caller);
  answer->took_ms = site_now_ms () - begin_ms;
}
