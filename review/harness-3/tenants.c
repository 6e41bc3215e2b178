#include "tenants.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EVENTS 25 /* of 4 tokens each */
#define OUTPUT_TOKENS (4 * EVENTS)
#define SMALL_PROMPT 19900
#define LARGE_PROMPT 49900
#define THREADS 3 /* of a tenant */
/* Between two requests of a thread.  */
#define BUSY_MS 600
#define CALM_MS 3000
#define FINAL_MS 100
#define REFUSED_MS 500

struct play_tenant tenants[TENANTS_MAX];
static volatile enum phase current;
static volatile enum phase before;
static volatile uint64_t changed_ms;
static volatile uint64_t change_takes_ms;
static long delivered[TENANTS_MAX];        /* tokens */
static volatile int refusals[TENANTS_MAX]; /* in a row */
static int tenant_count;
static int host_count;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* A replica of the engine: answers each request at once and whole.  */
bool
tenants_engine (struct play_request *request, void *state)
{
  char id[128];
  char lines[512];
  char body[EVENTS * 40];
  size_t length = 0;

  (void)state;
  (void)play_header (id, sizeof id, request->head, "Request-Id");
  for (int i = 1; i <= EVENTS; i++)
    length += (size_t)snprintf (body + length, sizeof body - length,
                                "id: %d\ndata: tokens\n\n", i);
  (void)snprintf (lines, sizeof lines,
                  "Request-Id: %s\r\nServer-Seal: seal\r\n"
                  "Content-Type: text/event-stream\r\n",
                  id);
  return play_answer (request, 200, lines, body, length);
}

static long
count_events (const char *body)
{
  long count = 0;

  for (const char *at = strstr (body, "\n\n"); at != NULL;
       at = strstr (at + 2, "\n\n"))
    count++;
  return count;
}

/* Sends a request and counts what is delivered: the prompt once, and the
   output as far as it has arrived.  */
static void
ask (int tenant, int number, int prompt)
{
  char address[PLAY_ADDRESS_BYTES];
  char head[512];
  struct play_response response;

  play_address (address, number % host_count, PLAY_PORT_CALLERS);
  (void)snprintf (head, sizeof head,
                  "POST /history/%d HTTP/1.1\r\nHost: d.example\r\n"
                  "Request-Id: r%d-%d\r\nAuthorization: Bearer %s\r\n"
                  "Model: m\r\nToken-Count: %d,%d\r\n"
                  "Prompt-Prefix: a%d:13300,b%d%d:6600\r\n"
                  "Deadline-Ms: 8000\r\nConnection: close\r\n",
                  number, tenant, number, tenants[tenant].key, prompt,
                  OUTPUT_TOKENS, tenant, tenant, number);
  play_call (&response, address, head, "", 9000);
  pthread_mutex_lock (&lock);
  if (response.status == 200 && count_events (response.body) > 0)
    {
      delivered[tenant] += prompt + 4 * count_events (response.body);
      refusals[tenant] = 0;
    }
  else
    refusals[tenant]++;
  pthread_mutex_unlock (&lock);
  play_response_free (&response);
}

/* The phase of TENANT, which may begin later than that of others.  */
static enum phase
phase_of (int tenant)
{
  uint64_t delay_ms = change_takes_ms * (uint64_t)tenant
                      / (uint64_t)(tenant_count > 0 ? tenant_count : 1);

  return play_now_ms () - changed_ms < delay_ms ? before : current;
}

/* Sets what the tenants do; they change over one after another within
   STAGGER_MS.  */
void
tenants_set_phase (enum phase phase, uint64_t stagger_ms)
{
  before = current;
  changed_ms = play_now_ms ();
  change_takes_ms = stagger_ms;
  current = phase;
}

static void *
run_tenant (void *state)
{
  int tenant = (int)(intptr_t)state / THREADS;
  int number = (int)(intptr_t)state % THREADS;

  play_sleep_ms ((uint64_t)(BUSY_MS / THREADS * number));
  for (;; number += THREADS)
    switch (phase_of (tenant))
      {
      case QUIET:
        play_sleep_ms (50);
        break;
      case CALM:
        ask (tenant, number, SMALL_PROMPT);
        for (int i = 0; i < CALM_MS / 50 && phase_of (tenant) == CALM; i++)
          play_sleep_ms (50);
        break;
      case BUSY:
        ask (tenant, number, SMALL_PROMPT);
        play_sleep_ms (BUSY_MS);
        break;
      case FINAL:
        ask (tenant, number,
             refusals[tenant] > 0 ? SMALL_PROMPT : LARGE_PROMPT);
        play_sleep_ms (refusals[tenant] > THREADS ? REFUSED_MS : FINAL_MS);
        break;
      }
  return NULL;
}

/* Starts the clients of COUNT tenants, quiet at first, at the first HOSTS
   hosts.  */
void
tenants_start (int count, int hosts, long prepaid)
{
  tenant_count = count;
  host_count = hosts;
  for (int i = 0; i < count; i++)
    {
      (void)snprintf (tenants[i].name, sizeof tenants[i].name, "tenant-%c",
                      'a' + i);
      (void)snprintf (tenants[i].key, sizeof tenants[i].key, "key-%d", i);
      tenants[i].prepaid = prepaid;
    }
  for (int i = 0; i < count * THREADS; i++)
    play_thread (run_tenant, (void *)(intptr_t)i);
}

/* Raises the prepaid of all tenants by TOKENS.  */
void
tenants_raise (long tokens)
{
  for (int i = 0; i < tenant_count; i++)
    {
      tenants[i].prepaid += tokens;
      refusals[i] = 0;
    }
}

/* Records what the tenants got and returns how many got more than their
   prepaid.  */
int
tenants_check (void)
{
  int over_count = 0;

  pthread_mutex_lock (&lock);
  for (int i = 0; i < tenant_count; i++)
    {
      bool over = delivered[i] > tenants[i].prepaid;

      play_record ("%s: %ld tokens delivered of %ld prepaid%s",
                   tenants[i].name, delivered[i], tenants[i].prepaid,
                   over ? ", MORE THAN PREPAID" : "");
      over_count += over;
    }
  pthread_mutex_unlock (&lock);
  return over_count;
}
