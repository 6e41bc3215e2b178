#include "site.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

/* The machine that has just written the ledger freezes.  The others write it
   meanwhile, and the store comes back from a copy some seconds old.  The
   machine wakes and writes on the condition of a revision from before, which
   the store has issued again.  A tenant gets more tokens than it has
   prepaid.  */

#define PREPAID 1200000L
#define INPUT_TOKENS 6000L
#define EVENTS 6
#define EVENT_TOKENS 4
#define REQUEST_TOKENS (INPUT_TOKENS + (long)EVENTS * EVENT_TOKENS)
#define TOKEN_COUNT "6000,24"
#define CALLERS 6
#define PAUSE_MS 100
#define POLL_MS 10
/* Time in which a host has the answer of the store.  */
#define ANSWER_MS 30
#define WARM_UP_MS 2500
/* From the copy to the freeze, and from the freeze to the time at which the
   store is away.  */
#define BEFORE_FREEZE_MS 500
#define FROZEN_MS 1500
#define AWAY_MS 300
/* Time in which requests are sent after the trouble.  */
#define AFTER_MS 15000

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static long used;
static int serial;
static bool stop;

/* A sound stream: EVENTS events of EVENT_TOKENS tokens.  */
static bool
answer (struct site_server *server, int fd, struct site_request *request)
{
  bool sent = site_send_format (
      fd,
      "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: %s.%s\r\n"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
      request->id, server->id, request->id);

  for (int i = 0; i < EVENTS && sent; i++)
    {
      char event[64];
      int length
          = snprintf (event, sizeof event, "id: %d\ndata: a b c d\n\n", i);

      site_sleep_ms (10);
      sent = site_send_format (fd, "%x\r\n%s\r\n", (unsigned)length, event);
    }
  site_record ("%s has run %s", server->id, request->id);
  return sent && site_send_format (fd, "0\r\n\r\n");
}

static struct site_server servers[]
    = { { .id = "i-model-1", .zone = "palermo" },
        { .id = "i-model-2", .zone = "catania" },
        { .id = "i-model-3", .zone = "siracusa" } };

static void
send_one (struct site_caller *caller)
{
  struct site_answer got;
  char id[32];
  struct site_call call = { .method = "POST",
                            .path = "/stream/1",
                            .id = id,
                            .tokens = TOKEN_COUNT,
                            .body_bytes = 5 };

  (void)pthread_mutex_lock (&lock);
  (void)snprintf (id, sizeof id, "r-%d", serial++);
  (void)pthread_mutex_unlock (&lock);
  site_exchange (caller, &call, &got);
  (void)pthread_mutex_lock (&lock);
  if (got.status == 200 && got.complete)
    used += REQUEST_TOKENS;
  if (got.status == 200)
    site_record ("host %d answered %s: %d %s, used %ld of %ld", caller->host,
                 id, got.status, got.complete ? "whole" : "cut", used,
                 PREPAID);
  (void)pthread_mutex_unlock (&lock);
}

static void *
run_caller (void *closure)
{
  struct site_caller *caller = closure;

  while (!stop)
    {
      send_one (caller);
      site_sleep_ms (PAUSE_MS);
    }
  site_close_caller (caller);
  return NULL;
}

/* Waits for the next update of the ledger and returns the host that has
   written it.  */
static int
wait_for_update (void)
{
  long before[SITE_HOSTS];

  for (int i = 0; i < SITE_HOSTS; i++)
    before[i] = site_ledger_updates (i);
  for (int waited = 0; waited < 5000; waited += POLL_MS)
    {
      for (int i = 0; i < SITE_HOSTS; i++)
        if (site_ledger_updates (i) != before[i])
          {
            site_record ("host %d has just written the ledger", i);
            return i;
          }
      site_sleep_ms (POLL_MS);
    }
  site_finish (SITE_NOT_RUN, "no host writes the ledger");
}

/* Freezes WRITER soon after the copy, until the return of the store.  */
static void
freeze_and_restore (int writer)
{
  site_sleep_ms (ANSWER_MS);
  site_control_store ("/standin/copy", "");
  site_sleep_ms (BEFORE_FREEZE_MS);
  if (site_trouble ())
    site_signal_host (writer, SIGSTOP);
  site_sleep_ms (FROZEN_MS);
  site_record ("before the store is away: used %ld of %ld", used, PREPAID);
  if (!site_trouble ())
    return;
  site_restore_store (AWAY_MS);
  site_signal_host (writer, SIGCONT);
}

int
main (void)
{
  static struct site_caller callers[CALLERS];
  pthread_t threads[CALLERS];
  char text[128];

  site_open (&site_ccbs);
  site_control_store ("/standin/era", "0");
  site_write_config (PREPAID);
  for (size_t i = 0; i < sizeof servers / sizeof servers[0]; i++)
    {
      servers[i].service = "model";
      servers[i].answer = answer;
      site_start_server (&servers[i]);
    }
  for (int i = 0; i < SITE_HOSTS; i++)
    site_start_host (i, true);
  for (int i = 0; i < SITE_HOSTS; i++)
    site_wait_ready (i);
  for (int i = 0; i < CALLERS; i++)
    {
      callers[i] = (struct site_caller){ .host = i % SITE_HOSTS, .fd = -1 };
      (void)pthread_create (&threads[i], NULL, run_caller, &callers[i]);
    }
  site_sleep_ms (WARM_UP_MS);
  freeze_and_restore (wait_for_update ());
  site_sleep_ms (AFTER_MS);
  stop = true;
  for (int i = 0; i < CALLERS; i++)
    (void)pthread_join (threads[i], NULL);
  (void)snprintf (text, sizeof text, "the tenant got %ld of %ld tokens", used,
                  PREPAID);
  site_finish (used > PREPAID ? SITE_BROKEN : SITE_HELD, text);
}
