#include "site.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The seventeenth part of a prompt crashes each replica that begins to answer
   it.  Sound requests share the sixteen parts before it.  The hosts never find
   the part, and each request with it crashes another replica.  */

#define SERVERS 6
#define SOUND_CALLERS 6
#define SOUND_PAUSE_MS 50
#define AWAY_MS 2000
#define EVENTS 6
#define EVENT_MS 10
/* Place of the harmful part, from 1, unless PLACE says another.  */
#define PLACE 17
#define HARMFUL "dead0001"
#define HARMLESS "600d0001"
/* Crashes after which the rule counts, and the time of "contact_ms" after the
   last of them.  */
#define CRASHES 5
#define CONTACT_MS 3000
/* Requests with the part that are sent later, and their interval.  */
#define LATER 10
#define INTERVAL_MS 2500
/* The rule breaks with more.  */
#define ALLOWED 3

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int reached;
static uint64_t counts_from_ms; /* 0 before */
static int counted;
static int cut;
static int whole;
static bool stop;

/* Writes a prompt with PART at the place of the harmful one and a last part of
   NUMBER's own.  */
static void
write_parts (char *out, size_t size, const char *part, int number)
{
  const char *text = getenv ("PLACE");
  int place = text != NULL ? atoi (text) : PLACE;
  size_t length = 0;

  for (int i = 1; i < place; i++)
    length += (size_t)snprintf (out + length, size - length, "5a%06x:100,", i);
  (void)snprintf (out + length, size - length, "%s:100,f%07x:100", part,
                  (unsigned)number);
}

/* Notes that a request with the harmful part has reached SERVER.  */
static void
note_harmful (const struct site_server *server,
              const struct site_request *request)
{
  uint64_t now_ms = site_now_ms ();

  (void)pthread_mutex_lock (&lock);
  reached++;
  if (counts_from_ms > 0 && now_ms > counts_from_ms)
    counted++;
  site_record ("%s begins to answer %s, the %dth with the harmful part%s",
               server->id, request->id, reached,
               site_trouble () ? ", and crashes" : "");
  (void)pthread_mutex_unlock (&lock);
}

static bool
answer (struct site_server *server, int fd, struct site_request *request)
{
  bool harmful = strstr (request->parts, HARMFUL) != NULL;
  bool sent = site_send_format (
      fd,
      "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: %s.%s\r\n"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
      request->id, server->id, request->id);

  if (harmful)
    note_harmful (server, request);
  if (harmful && site_trouble ())
    {
      site_crash_server (server, AWAY_MS);
      return false;
    }
  for (int i = 0; i < EVENTS && sent; i++)
    {
      char event[64];
      int length
          = snprintf (event, sizeof event, "id: %d\ndata: a b c d\n\n", i);

      site_sleep_ms (EVENT_MS);
      sent = site_send_format (fd, "%x\r\n%s\r\n", (unsigned)length, event);
    }
  return sent && site_send_format (fd, "0\r\n\r\n");
}

static void
exchange (struct site_caller *caller, const char *part, int number,
          struct site_answer *got)
{
  char id[32];
  char parts[1024];
  struct site_call call = { .method = "POST",
                            .path = "/once/1",
                            .id = id,
                            .tokens = "1800,24",
                            .parts = parts,
                            .body_bytes = 100 + (size_t)number % 1000 };

  (void)snprintf (id, sizeof id, "%s-%d", part, number);
  write_parts (parts, sizeof parts, part, number);
  site_exchange (caller, &call, got);
}

static void *
run_sound_caller (void *closure)
{
  static int serial;
  struct site_caller *caller = closure;
  struct site_answer got;

  while (!stop)
    {
      int number;

      (void)pthread_mutex_lock (&lock);
      number = serial++;
      (void)pthread_mutex_unlock (&lock);
      exchange (caller, HARMLESS, number, &got);
      (void)pthread_mutex_lock (&lock);
      whole += got.status == 200 && got.complete;
      cut += got.status != 503 && !(got.status == 200 && got.complete);
      (void)pthread_mutex_unlock (&lock);
      site_sleep_ms (SOUND_PAUSE_MS);
    }
  site_close_caller (caller);
  return NULL;
}

/* Sends a request with the harmful part to the hosts in turn.  */
static void
send_harmful (int number)
{
  struct site_caller caller = { .host = number % SITE_HOSTS, .fd = -1 };
  struct site_answer got;

  exchange (&caller, HARMFUL, number, &got);
  site_record ("host %d: request %d with the part got status %d%s",
               caller.host, number, got.status,
               got.closed ? ", then its channel ended" : "");
  site_close_caller (&caller);
  site_sleep_ms (INTERVAL_MS);
}

static void
start_all (void)
{
  static struct site_server servers[SERVERS];
  static char ids[SERVERS][16];
  static const char *const zones[] = { "palermo", "catania", "siracusa" };

  site_open (&site_ccbs);
  site_write_config (1000000000);
  for (int i = 0; i < SERVERS; i++)
    {
      (void)snprintf (ids[i], sizeof ids[i], "i-model-%d", i);
      servers[i] = (struct site_server){ .id = ids[i],
                                         .service = "model",
                                         .zone = zones[i % 3],
                                         .answer = answer };
      site_start_server (&servers[i]);
    }
  for (int i = 0; i < SITE_HOSTS; i++)
    site_start_host (i, true);
  for (int i = 0; i < SITE_HOSTS; i++)
    site_wait_ready (i);
  site_sleep_ms (CONTACT_MS + 500);
}

int
main (void)
{
  static struct site_caller callers[SOUND_CALLERS];
  pthread_t threads[SOUND_CALLERS];
  char text[128];
  int number = 0;

  start_all ();
  for (int i = 0; i < SOUND_CALLERS; i++)
    {
      callers[i] = (struct site_caller){ .host = i % SITE_HOSTS, .fd = -1 };
      (void)pthread_create (&threads[i], NULL, run_sound_caller, &callers[i]);
    }
  site_sleep_ms (1000);
  while (reached < CRASHES && number < 2 * CRASHES)
    send_harmful (number++);
  site_sleep_ms (CONTACT_MS - INTERVAL_MS);
  if (reached >= CRASHES && site_trouble ())
    counts_from_ms = site_now_ms ();
  for (int i = 0; i < LATER; i++)
    send_harmful (number++);
  stop = true;
  for (int i = 0; i < SOUND_CALLERS; i++)
    (void)pthread_join (threads[i], NULL);
  site_record ("sound requests: %d answered whole, %d cut or failed", whole,
               cut);
  (void)snprintf (text, sizeof text,
                  "%d requests with the part reached replicas later than "
                  "contact_ms after the fifth crash",
                  counted);
  site_finish (counted > ALLOWED ? SITE_BROKEN : SITE_HELD, text);
}
