#include "play.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Clients read their answers slowly while their machine gets SIGTERM. Checked:
   each answer that a replica had given whole arrives whole, unless the grace
   period, the client's time limit or the route's timeout ends it.  */

#define CLIENTS 4
#define ANSWER_BYTES 900000
#define RECEIVE_BUFFER 16384
#define STEP_BYTES 8192
#define STEP_PAUSE_US 50000 /* some 160 KB/s: the answer takes 6 s */
#define DEADLINE_MS 15000
#define TERM_AFTER_MS 1000
#define GRACE_MS 8000

static char host_address[PLAY_ADDRESS_BYTES];
static struct play_response responses[CLIENTS];
static uint64_t ended_ms[CLIENTS];
static volatile int ended;
static volatile int answered;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* A replica of the plain service, with a long answer.  */
static bool
run_service (struct play_request *request, void *state)
{
  char id[128];
  char lines[512];
  char *body = malloc (ANSWER_BYTES);
  bool goes_on;

  (void)state;
  (void)play_header (id, sizeof id, request->head, "Request-Id");
  (void)snprintf (lines, sizeof lines,
                  "Request-Id: %s\r\nServer-Seal: seal\r\n", id);
  memset (body, 'x', ANSWER_BYTES);
  play_record ("replica: %s is run", id);
  goes_on = play_answer (request, 200, lines, body, ANSWER_BYTES);
  play_record ("replica: %s is answered%s", id, goes_on ? "" : ", broken off");
  if (goes_on)
    {
      pthread_mutex_lock (&lock);
      answered++;
      pthread_mutex_unlock (&lock);
    }
  free (body);
  return goes_on;
}

static void *
run_client (void *state)
{
  int client = (int)(intptr_t)state;
  int fd = play_connect (host_address, RECEIVE_BUFFER);
  char head[512];

  (void)snprintf (head, sizeof head,
                  "POST /book/%d HTTP/1.1\r\nHost: d.example\r\n"
                  "Request-Id: slow-%d\r\nAuthorization: Bearer key\r\n"
                  "Content-Length: 0\r\nDeadline-Ms: %d\r\n\r\n",
                  client, client, DEADLINE_MS);
  if (fd < 0 || !play_write (fd, head, strlen (head)))
    play_fail ("a client cannot send");
  play_read_response (&responses[client], fd, play_now_ms () + DEADLINE_MS,
                      STEP_PAUSE_US, STEP_BYTES);
  ended_ms[client] = play_now_ms ();
  play_record ("client: slow-%d ends with status %d after %zu of %d bytes, %s",
               client, responses[client].status, responses[client].body_length,
               ANSWER_BYTES,
               responses[client].complete ? "complete" : "incomplete");
  (void)close (fd);
  pthread_mutex_lock (&lock);
  ended++;
  pthread_mutex_unlock (&lock);
  return NULL;
}

int
main (void)
{
  const char *trouble_text = getenv ("TROUBLE");
  bool trouble = trouble_text == NULL || strcmp (trouble_text, "0") != 0;
  struct play_tenant tenant
      = { .name = "north", .key = "key", .prepaid = 1000000 };
  char store_address[PLAY_ADDRESS_BYTES];
  char service_address[PLAY_ADDRESS_BYTES];
  char readiness[PLAY_ADDRESS_BYTES];
  struct play_store *store;
  uint64_t term_ms = 0;
  uint64_t exited_ms = 0;
  int broken = 0;
  char *settings;
  pid_t host;

  play_record_open ("record.txt");
  play_address (store_address, 0, 9000);
  play_address (service_address, 1, 9000);
  play_address (host_address, 0, PLAY_PORT_CALLERS);
  play_address (readiness, 0, PLAY_PORT_READINESS);
  store = play_store_new (store_address, -1);
  play_serve (service_address, run_service, NULL);
  play_put_config (store, 1, &tenant, 1);
  play_put_replica (store, "s-1", "ledger", service_address);
  settings = play_settings (&play_treidelstall, 0, store_address, true);
  host = play_start ("host-0", settings);
  free (settings);
  play_wait_ready (readiness, 10000);
  for (int i = 0; i < CLIENTS; i++)
    play_thread (run_client, (void *)(intptr_t)i);
  play_sleep_ms (TERM_AFTER_MS);
  if (trouble)
    {
      term_ms = play_now_ms ();
      play_record ("SIGTERM; the grace period is %d ms", GRACE_MS);
      (void)kill (host, SIGTERM);
    }
  while (ended < CLIENTS)
    {
      if (trouble && exited_ms == 0 && play_has_ended (host))
        {
          exited_ms = play_now_ms ();
          play_record ("the host has exited %d ms after SIGTERM",
                       (int)(exited_ms - term_ms));
        }
      play_sleep_ms (20);
    }
  for (int i = 0; i < CLIENTS; i++)
    if (!responses[i].complete)
      broken++;
  play_record ("%d answers given by the replica, %d of them cut off", answered,
               broken);
  if (answered < CLIENTS)
    play_fail ("the replica did not end its answers");
  play_stop_all ();
  return broken > 0 ? 1 : 0;
}
