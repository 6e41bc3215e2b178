#include "play.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define HEAD_BYTES_MAX 65536
#define PROCESSES_MAX 16

static FILE *record;
static uint64_t started_ms;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static pid_t processes[PROCESSES_MAX];
static int process_count;
static unsigned random_state = 1;
static pthread_mutex_t random_lock = PTHREAD_MUTEX_INITIALIZER;

uint64_t
play_now_ms (void)
{
  struct timespec now;

  (void)clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

void
play_sleep_ms (uint64_t ms)
{
  struct timespec time = { .tv_sec = (time_t)(ms / 1000),
                           .tv_nsec = (long)(ms % 1000) * 1000000 };

  while (nanosleep (&time, &time) != 0 && errno == EINTR)
    ;
}

/* Ends the script as one that could not run.  */
void
play_fail (const char *text)
{
  play_record ("could not run: %s", text);
  play_stop_all ();
  _exit (2);
}

void
play_record_open (const char *path)
{
  record = fopen (path, "w");
  started_ms = play_now_ms ();
  (void)signal (SIGPIPE, SIG_IGN);
}

/* Adds a line with the time since the start to the record.  */
void
play_record (const char *format, ...)
{
  va_list arguments;

  if (record == NULL)
    return;
  pthread_mutex_lock (&record_lock);
  (void)fprintf (record, "%8.3f ",
                 (double)(play_now_ms () - started_ms) / 1000);
  va_start (arguments, format);
  (void)vfprintf (record, format, arguments);
  va_end (arguments);
  (void)fputc ('\n', record);
  (void)fflush (record);
  pthread_mutex_unlock (&record_lock);
}

/* A loopback address that no other run uses at the same time.  */
void
play_address (char *out, int host, int port)
{
  int pid = (int)getpid ();

  (void)snprintf (out, PLAY_ADDRESS_BYTES, "127.%d.%d.%d:%d",
                  20 + pid / 15000 % 60, pid / 60 % 250 + 1,
                  pid % 60 * 4 + host % 4 + 1, port + host / 4 * 10);
}

static struct sockaddr_in
parse (const char *address)
{
  struct sockaddr_in out = { .sin_family = AF_INET };
  char text[PLAY_ADDRESS_BYTES];
  char *colon;

  (void)snprintf (text, sizeof text, "%s", address);
  colon = strchr (text, ':');
  if (colon == NULL)
    play_fail ("an address has no port");
  *colon = '\0';
  out.sin_port = htons ((uint16_t)atoi (colon + 1));
  (void)inet_pton (AF_INET, text, &out.sin_addr);
  return out;
}

int
play_listen (const char *address)
{
  struct sockaddr_in bound = parse (address);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  (void)setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&bound, sizeof bound) != 0
      || listen (fd, 256) != 0)
    play_fail ("an address is in use");
  return fd;
}

/* Opens a connection; -1 on failure.  RECEIVE_BUFFER limits what the operating
   system holds for a slow reader; 0 for its default.  */
int
play_connect (const char *address, int receive_buffer)
{
  struct sockaddr_in peer = parse (address);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  if (receive_buffer > 0)
    (void)setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                      sizeof receive_buffer);
  (void)setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (fd, (struct sockaddr *)&peer, sizeof peer) != 0)
    {
      (void)close (fd);
      return -1;
    }
  return fd;
}

bool
play_write (int fd, const void *bytes, size_t length)
{
  const char *at = bytes;

  while (length > 0)
    {
      ssize_t count = send (fd, at, length, MSG_NOSIGNAL);

      if (count < 0 && errno == EINTR)
        continue;
      if (count <= 0)
        return false;
      at += count;
      length -= (size_t)count;
    }
  return true;
}

/* Copies the value of the header NAME; false if there is none.  */
bool
play_header (char *out, size_t size, const char *head, const char *name)
{
  size_t length = strlen (name);

  out[0] = '\0';
  for (const char *line = strstr (head, "\r\n"); line != NULL;
       line = strstr (line, "\r\n"))
    {
      const char *end;

      line += 2;
      if (strncasecmp (line, name, length) != 0 || line[length] != ':')
        continue;
      line += length + 1;
      while (*line == ' ')
        line++;
      end = strstr (line, "\r\n");
      if (end == NULL)
        end = line + strlen (line);
      (void)snprintf (out, size, "%.*s", (int)(end - line), line);
      return true;
    }
  return false;
}

struct connection
{
  int fd;
  play_handler *handler;
  void *state;
};

/* Reads a request; false at the end of the connection.  */
static bool
read_request (struct play_request *request)
{
  static const char end_of_head[] = "\r\n\r\n";
  char *head = malloc (HEAD_BYTES_MAX + 1);
  size_t length = 0;
  char *end = NULL;
  char value[32];
  size_t wanted;
  size_t extra;

  request->head = head;
  request->body = NULL;
  request->body_length = 0;
  while (end == NULL)
    {
      ssize_t count
          = recv (request->fd, head + length, HEAD_BYTES_MAX - length, 0);

      if (count <= 0)
        return false;
      length += (size_t)count;
      head[length] = '\0';
      end = strstr (head, end_of_head);
    }
  extra = length - (size_t)(end + 4 - head);
  wanted = play_header (value, sizeof value, head, "Content-Length")
               ? strtoul (value, NULL, 10)
               : 0;
  request->body = malloc (wanted + 1);
  if (extra > wanted)
    extra = wanted;
  memcpy (request->body, end + 4, extra);
  end[2] = '\0';
  while (extra < wanted)
    {
      ssize_t count
          = recv (request->fd, request->body + extra, wanted - extra, 0);

      if (count <= 0)
        return false;
      extra += (size_t)count;
    }
  request->body[wanted] = '\0';
  request->body_length = wanted;
  return sscanf (head, "%15s %1023s", request->method, request->target) == 2;
}

static void *
run_connection (void *state)
{
  struct connection *connection = state;
  struct play_request request = { .fd = connection->fd };
  bool goes_on = true;

  while (goes_on && read_request (&request))
    {
      goes_on = connection->handler (&request, connection->state);
      free (request.head);
      free (request.body);
      request.head = NULL;
      request.body = NULL;
    }
  free (request.head);
  free (request.body);
  (void)close (connection->fd);
  free (connection);
  return NULL;
}

void
play_thread (void *(*run) (void *), void *state)
{
  pthread_attr_t attributes;
  pthread_t thread;

  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, 262144);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&thread, &attributes, run, state) != 0)
    play_fail ("no thread");
  pthread_attr_destroy (&attributes);
}

struct server
{
  int fd;
  play_handler *handler;
  void *state;
};

static void *
run_server (void *state)
{
  struct server *server = state;

  for (;;)
    {
      int fd = accept4 (server->fd, NULL, NULL, SOCK_CLOEXEC);
      struct connection *connection;
      int on = 1;

      if (fd < 0)
        continue;
      (void)setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      connection = malloc (sizeof *connection);
      *connection = (struct connection){ .fd = fd,
                                         .handler = server->handler,
                                         .state = server->state };
      play_thread (run_connection, connection);
    }
  return NULL;
}

/* Serves ADDRESS until the program ends.  */
void
play_serve (const char *address, play_handler *handler, void *state)
{
  struct server *server = malloc (sizeof *server);

  *server = (struct server){ .fd = play_listen (address),
                             .handler = handler,
                             .state = state };
  play_thread (run_server, server);
}

/* Sends a response with a length.  HEADER_LINES may be empty.  */
bool
play_answer (struct play_request *request, int status,
             const char *header_lines, const char *body, size_t length)
{
  char head[1024];
  int count = snprintf (head, sizeof head,
                        "HTTP/1.1 %d Status\r\n%sContent-Length: %zu\r\n\r\n",
                        status, header_lines, length);

  return play_write (request->fd, head, (size_t)count)
         && play_write (request->fd, body, length);
}

/* Waits for bytes; false at UNTIL_MS.  */
static bool
wait_readable (int fd, uint64_t until_ms)
{
  struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
  uint64_t now_ms = play_now_ms ();

  return until_ms > now_ms && poll (&poll_fd, 1, (int)(until_ms - now_ms)) > 0;
}

/* Removes the chunk framing of BODY in place; true if the last chunk is
   there.  */
static bool
decode_chunks (char *body, size_t *length)
{
  size_t from = 0;
  size_t to = 0;
  bool complete = false;

  while (!complete && from < *length)
    {
      char *end = memchr (body + from, '\n', *length - from);
      size_t size;

      if (end == NULL)
        break;
      size = strtoul (body + from, NULL, 16);
      from = (size_t)(end - body) + 1;
      complete = size == 0;
      if (from + size > *length)
        size = *length - from;
      memmove (body + to, body + from, size);
      to += size;
      from += size + 2;
    }
  *length = to;
  return complete;
}

/* Reads a response until it is complete, the connection ends or UNTIL_MS.
   With a PAUSE_US, it reads STEP bytes at a time and pauses in between.  */
void
play_read_response (struct play_response *out, int fd, uint64_t until_ms,
                    uint64_t pause_us, size_t step)
{
  size_t capacity = 1 << 16;
  size_t length = 0;
  char *bytes = malloc (capacity + 1);
  char *end = NULL;
  char value[64];
  bool chunked = false;
  bool ended = false;

  *out = (struct play_response){ .status = 0 };
  while (!out->complete && !ended && wait_readable (fd, until_ms))
    {
      size_t most = step > 0 ? step : 65536;
      ssize_t count;

      if (capacity - length < most)
        bytes = realloc (bytes, (capacity *= 2) + 1);
      count = recv (fd, bytes + length, most, 0);
      ended = count <= 0;
      out->reset = count < 0;
      if (count > 0)
        length += (size_t)count;
      bytes[length] = '\0';
      if (end == NULL)
        {
          end = strstr (bytes, "\r\n\r\n");
          if (end != NULL)
            {
              size_t at = (size_t)(end - bytes);

              out->head = strndup (bytes, at + 2);
              (void)sscanf (bytes, "HTTP/1.1 %d", &out->status);
              chunked = play_header (value, sizeof value, out->head,
                                     "Transfer-Encoding");
              out->declared = play_header (value, sizeof value, out->head,
                                           "Content-Length")
                                  ? strtoul (value, NULL, 10)
                                  : 0;
              length -= at + 4;
              memmove (bytes, bytes + at + 4, length + 1);
            }
        }
      if (end != NULL && !chunked)
        out->complete = length >= out->declared;
      else if (end != NULL)
        out->complete
            = length >= 5 && memcmp (bytes + length - 5, "0\r\n\r\n", 5) == 0;
      if (pause_us > 0)
        (void)usleep ((useconds_t)pause_us);
    }
  if (end != NULL && chunked)
    out->complete = decode_chunks (bytes, &length);
  out->body = bytes;
  out->body_length = length;
  bytes[length] = '\0';
}

/* Sends a request on a new connection and reads the response.  HEAD ends with
   its last line; its end and a length are added.  */
void
play_call (struct play_response *out, const char *address, const char *head,
           const char *body, uint64_t timeout_ms)
{
  uint64_t until_ms = play_now_ms () + timeout_ms;
  int fd = play_connect (address, 0);
  char rest[64];

  *out = (struct play_response){ .status = 0 };
  if (fd < 0)
    return;
  (void)snprintf (rest, sizeof rest, "Content-Length: %zu\r\n\r\n",
                  strlen (body));
  if (play_write (fd, head, strlen (head))
      && play_write (fd, rest, strlen (rest))
      && play_write (fd, body, strlen (body)))
    play_read_response (out, fd, until_ms, 0, 0);
  (void)close (fd);
}

void
play_response_free (struct play_response *response)
{
  free (response->head);
  free (response->body);
  *response = (struct play_response){ .status = 0 };
}

/* Starts the program of the deploy file, in the folder ROOT of the repository,
   with SETTINGS.  Its log goes to NAME.log in the current folder, its settings
   are in NAME.json.  */
pid_t
play_start (const char *name, const char *settings)
{
  const char *root = getenv ("ROOT");
  char folder[256];
  char path[512];
  FILE *file;
  pid_t pid;

  if (getcwd (folder, sizeof folder) == NULL)
    play_fail ("the folder has no path");
  (void)snprintf (path, sizeof path, "%s/%s.json", folder, name);
  file = fopen (path, "w");
  if (root == NULL || file == NULL || process_count == PROCESSES_MAX)
    play_fail ("the program cannot be started");
  (void)fputs (settings, file);
  (void)fclose (file);
  pid = fork ();
  if (pid == 0)
    {
      char log[512];
      int fd;

      (void)prctl (PR_SET_PDEATHSIG, SIGKILL);
      (void)snprintf (log, sizeof log, "%s/%s.log", folder, name);
      fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0644);
      (void)dup2 (fd, STDOUT_FILENO);
      (void)dup2 (fd, STDERR_FILENO);
      (void)setenv ("DAISYSTEP_SETTINGS", path, 1);
      if (chdir (root) == 0)
        (void)execl ("target/daisystep", "target/daisystep", "entry",
                     (char *)NULL);
      _exit (127);
    }
  processes[process_count++] = pid;
  play_record ("started %s", name);
  return pid;
}

/* Takes PID, which has ended, off the list: the number may be used again.  */
static void
forget (pid_t pid)
{
  for (int i = 0; i < process_count; i++)
    if (processes[i] == pid)
      processes[i] = processes[--process_count];
}

/* Kills the process PID, which this program has started.  */
void
play_kill (pid_t pid)
{
  (void)kill (pid, SIGKILL);
  (void)waitpid (pid, NULL, 0);
  forget (pid);
}

/* Whether the process PID, which this program has started, has ended.  */
bool
play_has_ended (pid_t pid)
{
  if (waitpid (pid, NULL, WNOHANG) != pid)
    return false;
  forget (pid);
  return true;
}

/* Ends the processes that this program has started and that still run.  */
void
play_stop_all (void)
{
  while (process_count > 0)
    play_kill (processes[0]);
}

/* Waits until the host with this readiness address is ready.  */
void
play_wait_ready (const char *address, uint64_t timeout_ms)
{
  uint64_t until_ms = play_now_ms () + timeout_ms;
  int status = 0;

  while (status != 200)
    {
      struct play_response response;

      if (play_now_ms () > until_ms)
        play_fail ("a host does not become ready");
      play_call (&response, address,
                 "GET /daisystep/readiness HTTP/1.1\r\nHost: ready\r\n", "",
                 1000);
      status = response.status;
      play_response_free (&response);
      if (status != 200)
        play_sleep_ms (50);
    }
}

void
play_seed (unsigned seed)
{
  random_state = seed * 2654435761U + 1;
}

/* A number from 0 up to 1.  */
double
play_random (void)
{
  double number;

  pthread_mutex_lock (&random_lock);
  number = (double)rand_r (&random_state) / ((double)RAND_MAX + 1);
  pthread_mutex_unlock (&random_lock);
  return number;
}
