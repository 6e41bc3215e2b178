/* Fills the object API stand-in, or sends requests to hosts at a fixed rate,
   for scripts/capacity.sh:
     bench_capacity_load fill IP:PORT WORKSPACES BUDGETS ENGINE-IP:PORT
     bench_capacity_load run RATE SECONDS WORKSPACES IP:PORT...
   "run" uses one connection and thread per host; RATE is requests per second
   and host.  It prints the numbers of requests sent, of status 200 and of
   others.  Workspace N has the key "key-N".  */

#include "io/socket_address.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define RESPONSE_BYTES_MAX 65536
#define REQUEST_HEAD_BYTES 512

struct sender
{
  const char *address;
  GThread *thread;
  unsigned int index;
  unsigned int workspaces;
  double rate;
  double seconds;
  uint64_t sent;
  uint64_t succeeded;
};

static double
monotonic_seconds (void)
{
  struct timespec time;

  (void)clock_gettime (CLOCK_MONOTONIC, &time);
  return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

static int
connect_to (const char *address)
{
  struct ds_socket_address parsed;
  int fd;

  if (ds_socket_address_parse (&parsed, ds_str_from_c (address)) < 0)
    return -1;
  fd = socket (((struct sockaddr *)&parsed.storage)->sa_family, SOCK_STREAM,
               0);
  if (fd >= 0
      && connect (fd, (struct sockaddr *)&parsed.storage, parsed.length) < 0)
    {
      (void)close (fd);
      return -1;
    }
  return fd;
}

static int
send_all (int fd, const char *text)
{
  size_t length = strlen (text);

  while (length > 0)
    {
      ssize_t sent = send (fd, text, length, MSG_NOSIGNAL);

      if (sent <= 0)
        return -1;
      text += sent;
      length -= (size_t)sent;
    }
  return 0;
}

/* Reads one response with a Content-Length.  Returns its status, or -1 on
   failure.  */
static int
read_response (int fd)
{
  char buffer[RESPONSE_BYTES_MAX];
  size_t received = 0;

  while (received + 1 < sizeof buffer)
    {
      ssize_t got
          = recv (fd, buffer + received, sizeof buffer - 1 - received, 0);
      const char *end;
      const char *length;

      if (got <= 0)
        return -1;
      received += (size_t)got;
      buffer[received] = '\0';
      end = strstr (buffer, "\r\n\r\n");
      length = strcasestr (buffer, "\r\nContent-Length:");
      if (end != NULL && length != NULL && length < end
          && received >= (size_t)(end + 4 - buffer)
                             + strtoul (length + 17, NULL, 10))
        return atoi (buffer + 9);
    }
  return -1;
}

static int
exchange (int fd, const char *method, const char *path, const char *headers,
          const char *body)
{
  char head[REQUEST_HEAD_BYTES];
  char *text;
  int result;

  (void)snprintf (head, sizeof head,
                  "%s %s HTTP/1.1\r\nHost: capacity\r\n%sContent-Length: "
                  "%zu\r\n\r\n",
                  method, path, headers, strlen (body));
  text = g_strconcat (head, body, NULL);
  result = send_all (fd, text) < 0 ? -1 : read_response (fd);
  g_free (text);
  return result;
}

static void
put_object (int fd, const char *kind, const char *name, const char *spec)
{
  char *path = g_strdup_printf ("/v1/objects/%s/%s", kind, name);
  char *body = g_strdup_printf (
      "{\"kind\":\"%s\",\"name\":\"%s\",\"spec\":%s}", kind, name, spec);
  int status = exchange (fd, "PUT", path, "If-None-Match: *\r\n", body);

  if (status != 201 && status != 200 && status != 412)
    {
      (void)fprintf (stderr,
                     "PUT %s failed: status %d, expected 200, 201 or 412\n",
                     path, status);
      exit (EXIT_FAILURE);
    }
  g_free (path);
  g_free (body);
}

static void
put_workspace (int fd, unsigned int number, unsigned int budgets)
{
  char *key = g_strdup_printf ("key-%u", number);
  char *digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, key, -1);
  char *name = g_strdup_printf ("workspace-%u", number);
  char *spec = g_strdup_printf (
      "{\"budget\":\"budget-%u\",\"priority\":5,\"offerings\":[\"assistant\"],"
      "\"key_sha256\":[\"%s\"]}",
      number % budgets, digest);

  put_object (fd, "Workspace", name, spec);
  g_free (key);
  g_free (digest);
  g_free (name);
  g_free (spec);
}

static int
fill_platform (char **arguments)
{
  unsigned int workspaces = (unsigned int)strtoul (arguments[1], NULL, 10);
  unsigned int budgets = (unsigned int)strtoul (arguments[2], NULL, 10);
  int fd = connect_to (arguments[0]);
  char *upstream;

  if (fd < 0 || budgets == 0)
    return EXIT_FAILURE;
  upstream = g_strdup_printf (
      "{\"address\":\"%s\",\"zone\":\"zone-1\",\"offerings\":[\"assistant\"],"
      "\"state\":\"active\",\"max_in_flight\":1024}",
      arguments[3]);
  put_object (
      fd, "Offering", "assistant",
      "{\"type\":\"model\",\"model\":\"demo\",\"max_output_tokens\":64,"
      "\"repeatable\":true}");
  put_object (fd, "Upstream", "engine-1", upstream);
  for (unsigned int i = 0; i < budgets; i++)
    {
      char name[32];

      (void)snprintf (name, sizeof name, "budget-%u", i);
      put_object (fd, "Budget", name,
                  "{\"prepaid\":1000000000,\"draw_percent\":1}");
    }
  for (unsigned int i = 0; i < workspaces; i++)
    put_workspace (fd, i, budgets);
  g_free (upstream);
  (void)close (fd);
  return EXIT_SUCCESS;
}

static gpointer
run_sender (gpointer data)
{
  static const char body[]
      = "{\"model\":\"assistant\",\"max_tokens\":16,\"messages\":[{\"role\":"
        "\"user\",\"content\":\"How long should a horse rest?\"}]}";
  struct sender *sender = data;
  double begin = monotonic_seconds ();
  uint64_t total = (uint64_t)(sender->rate * sender->seconds);
  int fd = connect_to (sender->address);

  for (uint64_t i = 0; i < total && fd >= 0; i++)
    {
      double due = begin + (double)i / sender->rate;
      double wait = due - monotonic_seconds ();
      char headers[128];
      int status;

      if (wait > 0)
        g_usleep ((gulong)(wait * 1e6));
      (void)snprintf (
          headers, sizeof headers, "Authorization: Bearer key-%u\r\n",
          (unsigned int)((i + sender->index) % sender->workspaces));
      status = exchange (fd, "POST", "/v1/chat/completions", headers, body);
      sender->sent++;
      if (status == 200)
        sender->succeeded++;
      if (status < 0)
        {
          (void)close (fd);
          fd = connect_to (sender->address);
        }
    }
  if (fd >= 0)
    (void)close (fd);
  return NULL;
}

static int
run_load (int count, char **arguments)
{
  struct sender *senders = g_new0 (struct sender, count);
  uint64_t sent = 0;
  uint64_t succeeded = 0;

  for (int i = 3; i < count; i++)
    {
      senders[i] = (struct sender){
        .address = arguments[i],
        .index = (unsigned int)i * 7U,
        .rate = strtod (arguments[0], NULL),
        .seconds = strtod (arguments[1], NULL),
        .workspaces = (unsigned int)strtoul (arguments[2], NULL, 10),
      };
      senders[i].thread = g_thread_new ("sender", run_sender, &senders[i]);
    }
  for (int i = 3; i < count; i++)
    {
      (void)g_thread_join (senders[i].thread);
      sent += senders[i].sent;
      succeeded += senders[i].succeeded;
    }
  printf ("%llu %llu %llu\n", (unsigned long long)sent,
          (unsigned long long)succeeded,
          (unsigned long long)(sent - succeeded));
  g_free (senders);
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  if (argc == 6 && strcmp (argv[1], "fill") == 0)
    return fill_platform (argv + 2);
  if (argc > 5 && strcmp (argv[1], "run") == 0)
    return run_load (argc - 2, argv + 2);
  (void)fprintf (
      stderr,
      "usage: bench_capacity_load fill IP:PORT WORKSPACES BUDGETS "
      "ENGINE-IP:PORT\n"
      "       bench_capacity_load run RATE SECONDS WORKSPACES IP:PORT...\n");
  return EXIT_FAILURE;
}
