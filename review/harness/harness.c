#include "harness.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PROGRAM "target/daisystep"
#define HOSTS_MAX 64
#define READINESS_TIMEOUT_MS 500
/* Ports of the hosts.  */
#define FIRST_PORT 20000
#define PORTS 12000

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static uint64_t started_ms;
static char folder[REVIEW_PATH_BYTES / 2];
static struct review_host *hosts[HOSTS_MAX];
static size_t host_count;

uint64_t
review_now_ms (void)
{
  struct timespec now;

  (void)clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

void
review_sleep_ms (uint64_t ms)
{
  struct timespec pause = { .tv_sec = (time_t)(ms / 1000),
                            .tv_nsec = (long)(ms % 1000) * 1000000 };

  while (nanosleep (&pause, &pause) != 0 && errno == EINTR)
    continue;
}

/* Appends a line with the time since the start to the record.  */
void
review_record (const char *format, ...)
{
  va_list arguments;

  pthread_mutex_lock (&record_lock);
  (void)fprintf (record_file, "%8.3f ",
                 (double)(review_now_ms () - started_ms) / 1000);
  va_start (arguments, format);
  (void)vfprintf (record_file, format, arguments);
  va_end (arguments);
  (void)fputc ('\n', record_file);
  (void)fflush (record_file);
  pthread_mutex_unlock (&record_lock);
}

static void
kill_hosts (void)
{
  for (size_t i = 0; i < host_count; i++)
    if (hosts[i]->pid > 0)
      {
        (void)kill (hosts[i]->pid, SIGKILL);
        (void)waitpid (hosts[i]->pid, NULL, 0);
        hosts[i]->pid = 0;
      }
}

/* Ends all hosts and returns STATUS for main.  */
int
review_finish (int status)
{
  kill_hosts ();
  review_record ("result: %s", status == REVIEW_HELD     ? "rule held"
                               : status == REVIEW_BROKEN ? "rule broken"
                                                         : "could not run");
  (void)printf ("%s\n", status == REVIEW_HELD     ? "rule held"
                        : status == REVIEW_BROKEN ? "rule broken"
                                                  : "could not run");
  (void)fflush (stdout);
  _exit (status);
}

/* Ends the case because it cannot run.  */
void
review_give_up (const char *why)
{
  review_record ("cannot run: %s", why);
  (void)fprintf (stderr, "cannot run: %s\n", why);
  (void)review_finish (REVIEW_CANNOT_RUN);
}

static void *
watch_limit (void *limit)
{
  review_sleep_ms ((uint64_t)(intptr_t)limit * 1000);
  review_give_up ("time limit of the case");
  return NULL;
}

/* Opens the record in the folder of the first argument; the second is a
   temporary folder.  The case ends after LIMIT_S.  */
void
review_begin (int argc, char **argv, int limit_s)
{
  char path[REVIEW_PATH_BYTES];
  pthread_t thread;

  if (argc != 3)
    {
      (void)fprintf (stderr, "usage: %s CASE-FOLDER TEMPORARY-FOLDER\n",
                     argv[0]);
      exit (REVIEW_CANNOT_RUN);
    }
  (void)signal (SIGPIPE, SIG_IGN);
  (void)snprintf (folder, sizeof folder, "%s", argv[2]);
  (void)snprintf (path, sizeof path, "%s/record.txt", argv[1]);
  record_file = fopen (path, "w");
  if (record_file == NULL)
    {
      perror (path);
      exit (REVIEW_CANNOT_RUN);
    }
  started_ms = review_now_ms ();
  review_record ("trouble: %s", review_has_trouble () ? "yes" : "no");
  (void)pthread_create (&thread, NULL, watch_limit, (void *)(intptr_t)limit_s);
  (void)pthread_detach (thread);
}

/* Whether the disruption is played.  */
bool
review_has_trouble (void)
{
  const char *value = getenv ("TROUBLE");

  return value == NULL || strcmp (value, "0") != 0;
}

const char *
review_folder (void)
{
  return folder;
}

/* Binds a socket to PORT of the loopback address, 0 for any; -1 if that
   fails.  */
static int
try_listen (uint16_t port, bool datagram)
{
  int fd = socket (AF_INET,
                   (datagram ? SOCK_DGRAM : SOCK_STREAM) | SOCK_CLOEXEC, 0);
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  int on = 1;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (fd >= 0 && !datagram)
    (void)setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (fd >= 0
      && (bind (fd, (struct sockaddr *)&address, sizeof address) != 0
          || (!datagram && listen (fd, 512) != 0)))
    {
      (void)close (fd);
      return -1;
    }
  return fd;
}

/* Binds a socket to *PORT or, if that is 0, to a free port.  */
int
review_listen (uint16_t *port, bool datagram)
{
  struct sockaddr_in address;
  socklen_t size = sizeof address;
  int fd = try_listen (*port, datagram);

  if (fd < 0 || getsockname (fd, (struct sockaddr *)&address, &size) != 0)
    review_give_up ("no free port");
  *port = ntohs (address.sin_port);
  return fd;
}

/* Finds a free port below those that the system gives to connections.  */
void
review_free_address (char *out, bool datagram)
{
  static uint16_t next;
  int fd = -1;

  if (next == 0)
    next = (uint16_t)(FIRST_PORT + 7 * (unsigned)getpid () % PORTS);
  for (int i = 0; i < PORTS && fd < 0; i++)
    {
      next = next + 1 < FIRST_PORT + PORTS ? next + 1 : FIRST_PORT;
      fd = try_listen (next, datagram);
    }
  if (fd < 0)
    review_give_up ("no free port");
  (void)close (fd);
  (void)snprintf (out, REVIEW_ADDRESS_BYTES, "127.0.0.1:%u", next);
}

/* Connects to "IP:PORT"; -1 when that fails.  */
int
review_connect (const char *address, int timeout_ms)
{
  struct sockaddr_in to = { .sin_family = AF_INET };
  struct pollfd poll_fd;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  int failure = 0;
  int on = 1;
  socklen_t size = sizeof failure;

  to.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  to.sin_port = htons ((uint16_t)atoi (strchr (address, ':') + 1));
  if (fd < 0)
    return -1;
  (void)setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (fd, (struct sockaddr *)&to, sizeof to) != 0)
    {
      poll_fd = (struct pollfd){ .fd = fd, .events = POLLOUT };
      if (errno != EINPROGRESS || poll (&poll_fd, 1, timeout_ms) != 1
          || getsockopt (fd, SOL_SOCKET, SO_ERROR, &failure, &size) != 0
          || failure != 0)
        {
          (void)close (fd);
          return -1;
        }
    }
  (void)fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) & ~O_NONBLOCK);
  return fd;
}

bool
review_send (int fd, const char *data, size_t length)
{
  while (length > 0)
    {
      ssize_t count = send (fd, data, length, MSG_NOSIGNAL);

      if (count < 0 && errno == EINTR)
        continue;
      if (count <= 0)
        return false;
      data += count;
      length -= (size_t)count;
    }
  return true;
}

/* Reads more bytes: 1 for some, 0 at the end, -1 after a failure or the
   time.  */
static int
read_more (struct review_reader *reader, uint64_t until_ms)
{
  struct pollfd poll_fd = { .fd = reader->fd, .events = POLLIN };
  uint64_t now_ms = review_now_ms ();
  ssize_t count;

  if (now_ms >= until_ms || poll (&poll_fd, 1, (int)(until_ms - now_ms)) != 1)
    return -1;
  if (reader->capacity - reader->length < 16384)
    {
      reader->capacity = 2 * reader->capacity + 32768;
      reader->data = realloc (reader->data, reader->capacity);
    }
  count = recv (reader->fd, reader->data + reader->length,
                reader->capacity - reader->length - 1, 0);
  if (count > 0)
    reader->length += (size_t)count;
  return count > 0 ? 1 : (int)count;
}

static void
consume (struct review_reader *reader, size_t count)
{
  memmove (reader->data, reader->data + count, reader->length - count);
  reader->length -= count;
}

/* Copies the value of the header NAME; false if there is none.  */
bool
review_header (const struct review_message *message, const char *name,
               char *out, size_t size)
{
  size_t length = strlen (name);
  const char *line = strstr (message->head, "\r\n");

  out[0] = '\0';
  while (line != NULL)
    {
      line += 2;
      if (strncasecmp (line, name, length) == 0 && line[length] == ':')
        {
          const char *value = line + length + 1;

          value += strspn (value, " ");
          (void)snprintf (out, size, "%.*s", (int)strcspn (value, "\r"),
                          value);
          return true;
        }
      line = strstr (line, "\r\n");
    }
  return false;
}

static bool
read_head (struct review_reader *reader, struct review_message *message,
           uint64_t until_ms)
{
  char *end = NULL;
  size_t length;

  for (;;)
    {
      if (reader->length > 0)
        end = memmem (reader->data, reader->length, "\r\n\r\n", 4);
      if (end != NULL)
        break;
      if (read_more (reader, until_ms) != 1)
        return false;
    }
  length = (size_t)(end - reader->data) + 4;
  if (length >= sizeof message->head)
    return false;
  memcpy (message->head, reader->data, length);
  message->head[length] = '\0';
  consume (reader, length);
  if (strncmp (message->head, "HTTP/", 5) == 0)
    message->status = atoi (message->head + 9);
  else
    (void)sscanf (message->head, "%15s %1023s", message->method,
                  message->target);
  return true;
}

static bool
take_body (struct review_reader *reader, struct review_message *message,
           size_t length, uint64_t until_ms)
{
  while (reader->length < length)
    if (read_more (reader, until_ms) != 1)
      return false;
  message->body = realloc (message->body, message->body_length + length + 1);
  memcpy (message->body + message->body_length, reader->data, length);
  message->body_length += length;
  message->body[message->body_length] = '\0';
  consume (reader, length);
  return true;
}

static bool
read_chunks (struct review_reader *reader, struct review_message *message,
             uint64_t until_ms)
{
  for (;;)
    {
      char *end = NULL;
      size_t size;
      size_t line;

      while (reader->length == 0
             || (end = memmem (reader->data, reader->length, "\r\n", 2))
                    == NULL)
        if (read_more (reader, until_ms) != 1)
          return false;
      size = strtoul (reader->data, NULL, 16);
      line = (size_t)(end - reader->data) + 2;
      consume (reader, line);
      if (size > 0 && !take_body (reader, message, size, until_ms))
        return false;
      while (reader->length < 2)
        if (read_more (reader, until_ms) != 1)
          return false;
      consume (reader, 2);
      if (size == 0)
        return true;
    }
}

/* Reads one message; false if there is none before TIMEOUT_MS.  COMPLETE is
   set when its whole body has come.  */
bool
review_read_message (struct review_reader *reader,
                     struct review_message *message, int timeout_ms)
{
  uint64_t until_ms = review_now_ms () + (uint64_t)timeout_ms;
  char value[64];

  memset (message, 0, sizeof *message);
  if (!read_head (reader, message, until_ms))
    return false;
  if (review_header (message, "Transfer-Encoding", value, sizeof value))
    message->complete = read_chunks (reader, message, until_ms);
  else if (review_header (message, "Content-Length", value, sizeof value))
    message->complete
        = take_body (reader, message, strtoul (value, NULL, 10), until_ms);
  else
    message->complete = message->status == 0;
  return true;
}

void
review_message_free (struct review_message *message)
{
  free (message->body);
  message->body = NULL;
}

void
review_reader_free (struct review_reader *reader)
{
  free (reader->data);
  *reader = (struct review_reader){ .fd = -1 };
}

/* Sends one request on *FD, a kept connection or -1 for a new one, and reads
   the response.  *FD is -1 afterwards if the connection has ended.  Returns
   whether the request was sent.  */
bool
review_call (int *fd, const char *address, const char *head, const char *body,
             size_t body_length, int timeout_ms, struct review_answer *answer)
{
  struct review_reader reader;
  struct review_message *message = calloc (1, sizeof *message);
  char value[128];
  bool sent;

  memset (answer, 0, sizeof *answer);
  if (*fd < 0)
    *fd = review_connect (address, 1000);
  if (*fd < 0)
    {
      free (message);
      return false;
    }
  reader = (struct review_reader){ .fd = *fd };
  sent = review_send (*fd, head, strlen (head))
         && (body_length == 0 || review_send (*fd, body, body_length));
  if (review_read_message (&reader, message, timeout_ms))
    {
      answer->status = message->status;
      answer->complete = message->complete;
      answer->body_length = message->body_length;
      answer->sealed
          = review_header (message, "Server-Seal", value, sizeof value);
      answer->closes
          = review_header (message, "Connection", value, sizeof value)
            && strcasecmp (value, "close") == 0;
      (void)snprintf (answer->head, sizeof answer->head, "%.2000s",
                      message->head);
    }
  if (!answer->complete || answer->closes)
    {
      (void)close (*fd);
      *fd = -1;
    }
  review_message_free (message);
  review_reader_free (&reader);
  free (message);
  return sent;
}

/* Gives HOST its addresses and writes its settings, as the deploy file's
   template renders them for the site treidelstall.  */
void
review_host_define (struct review_host *host, const char *name,
                    const char *zone)
{
  FILE *file;

  memset (host, 0, sizeof *host);
  (void)snprintf (host->name, sizeof host->name, "%s", name);
  (void)snprintf (host->zone, sizeof host->zone, "%s", zone);
  review_free_address (host->caller_address, false);
  review_free_address (host->readiness_address, false);
  review_free_address (host->directory_address, false);
  review_free_address (host->gossip_address, true);
  review_free_address (host->metrics_address, false);
  (void)snprintf (host->settings_path, sizeof host->settings_path,
                  "%s/%s.json", folder, name);
  (void)snprintf (host->log_path, sizeof host->log_path, "%s/%s.log", folder,
                  name);
  file = fopen (host->settings_path, "w");
  if (file == NULL)
    review_give_up ("no temporary folder");
  (void)fprintf (
      file,
      "{\"host\":\"%s\",\"zone\":\"%s\",\"region\":\"altmuehl\","
      "\"caller_address\":\"%s\",\"readiness_address\":\"%s\","
      "\"directory_address\":\"%s\",\"gossip_address\":\"%s\","
      "\"metrics_address\":\"%s\",\"store_address\":\"%s\",\"grace_s\":8,"
      "\"address_ttl_s\":2,\"config_apply_ms\":2000,\"drain_ms\":2000,"
      "\"log_lines_per_s\":150,\"cpu_share\":0.25,\"cpu_cores\":1,"
      "\"link_mbps\":1000.0,\"retry\":{\"ratio\":0.2,\"slack\":56,"
      "\"window_s\":10},\"budget\":{\"settle_ms\":1200,\"hold_ms\":13000,"
      "\"part_percent\":35,\"start_percent\":8,\"minimum_tokens\":30000}}\n",
      name, zone, host->caller_address, host->readiness_address,
      host->directory_address, host->gossip_address, host->metrics_address,
      review_store_address ());
  (void)fclose (file);
  if (host_count < HOSTS_MAX)
    hosts[host_count++] = host;
}

/* Starts HOST with the command of the deploy file.  */
void
review_host_start (struct review_host *host)
{
  char settings[REVIEW_PATH_BYTES + 32];
  char *environment[] = { settings, NULL };
  pid_t pid;

  (void)snprintf (settings, sizeof settings, "DAISYSTEP_SETTINGS=%s",
                  host->settings_path);
  pid = fork ();
  if (pid == 0)
    {
      int log = open (host->log_path, O_WRONLY | O_CREAT | O_APPEND, 0600);

      (void)prctl (PR_SET_PDEATHSIG, SIGKILL);
      (void)signal (SIGPIPE, SIG_DFL);
      (void)dup2 (log, STDOUT_FILENO);
      (void)dup2 (log, STDERR_FILENO);
      (void)execle (PROGRAM, PROGRAM, "entry", (char *)NULL, environment);
      _exit (127);
    }
  if (pid < 0)
    review_give_up ("cannot start a host");
  host->pid = pid;
  review_record ("host %s starts", host->name);
}

/* The platform's readiness check.  */
bool
review_host_is_ready (const struct review_host *host)
{
  struct review_answer answer;
  int fd = -1;

  (void)review_call (&fd, host->readiness_address,
                     "GET /daisystep/readiness HTTP/1.1\r\nHost: ready\r\n"
                     "Connection: close\r\n\r\n",
                     NULL, 0, READINESS_TIMEOUT_MS, &answer);
  if (fd >= 0)
    (void)close (fd);
  return answer.status == 200;
}

/* Waits until HOST is ready; the case cannot run if it is not in time.  */
void
review_host_await (const struct review_host *host, int timeout_ms)
{
  uint64_t until_ms = review_now_ms () + (uint64_t)timeout_ms;

  while (!review_host_is_ready (host))
    {
      if (review_now_ms () >= until_ms)
        review_give_up ("a host is not ready");
      review_sleep_ms (20);
    }
  review_record ("host %s is ready", host->name);
}

void
review_host_signal (const struct review_host *host, int number)
{
  review_record ("host %s gets signal %d", host->name, number);
  if (host->pid > 0)
    (void)kill (host->pid, number);
}

/* Waits for the end of HOST.  */
void
review_host_reap (struct review_host *host)
{
  int status = 0;

  if (host->pid > 0)
    (void)waitpid (host->pid, &status, 0);
  host->pid = 0;
  review_record ("host %s has ended", host->name);
}

/* Whether HOST has ended, without waiting.  */
bool
review_host_has_ended (struct review_host *host, int *status)
{
  if (host->pid <= 0)
    return true;
  if (waitpid (host->pid, status, WNOHANG) != host->pid)
    return false;
  host->pid = 0;
  review_record ("host %s has ended with status %d", host->name, *status);
  return true;
}
