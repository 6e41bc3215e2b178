#include "play.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* A replica sends a second copy of an earlier answer, late, on a channel whose
   present answer has no length.  Checked: each client gets the body of its own
   request and nothing else.  */

#define ROUNDS 400
/* One of this many answers of the faulty replica, one of two, has no length
   and is followed by a copy: garble of the site file ("extra late") has
   share = 0.6, x = 0.03.  */
#define GARBLED_ONE_OF 34

static bool trouble;
static volatile int copies;
static volatile int answers;

/* What a connection to the replica has carried.  Each connection has a thread
   of its own.  */
static __thread char earlier[1024];

/* A replica of the plain service; STATE says whether it is the faulty one.
   Most answers have a length; some of that one end with the channel.  */
static bool
run_service (struct play_request *request, void *state)
{
  char id[128];
  char tenant[128];
  char body[256];
  char head[512];

  (void)play_header (id, sizeof id, request->head, "Request-Id");
  (void)play_header (tenant, sizeof tenant, request->head, "Tenant");
  (void)snprintf (body, sizeof body, "shifts of %s, request %s\n", tenant, id);
  (void)snprintf (head, sizeof head,
                  "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: seal\r\n",
                  id);
  if (state == NULL || answers++ % GARBLED_ONE_OF < GARBLED_ONE_OF - 1)
    {
      (void)snprintf (earlier, sizeof earlier,
                      "%sContent-Length: %zu\r\n\r\n%s", head, strlen (body),
                      body);
      return play_write (request->fd, earlier, strlen (earlier));
    }
  (void)play_write (request->fd, head, strlen (head));
  (void)play_write (request->fd, "\r\n", 2);
  (void)play_write (request->fd, body, strlen (body));
  play_record ("replica: %s gets \"%.*s\", without a length%s", id,
               (int)strlen (body) - 1, body,
               trouble ? ", and the earlier answer follows once more" : "");
  if (trouble && earlier[0] != '\0')
    {
      play_sleep_ms (20);
      (void)play_write (request->fd, earlier, strlen (earlier));
      copies++;
    }
  return false;
}

/* Sends a request of the tenant with KEY.  True if its answer is a success
   that holds more than the body of its request.  */
static bool
ask (const char *address, int number, const struct play_tenant *tenant)
{
  struct play_response response;
  char head[512];
  char expected[256];
  bool wrong;

  (void)snprintf (head, sizeof head,
                  "GET /lookup/%d HTTP/1.1\r\nHost: d.example\r\n"
                  "Request-Id: r-%d\r\nAuthorization: Bearer %s\r\n"
                  "Deadline-Ms: 1500\r\nConnection: close\r\n",
                  number, number, tenant->key);
  (void)snprintf (expected, sizeof expected, "shifts of %s, request r-%d\n",
                  tenant->name, number);
  play_call (&response, address, head, "", 2000);
  wrong = response.status == 200 && response.complete
          && strcmp (response.body, expected) != 0;
  if (wrong || response.status != 200)
    play_record ("client: r-%d of %s: status %d, %s, %zu bytes%s%s", number,
                 tenant->name, response.status,
                 response.complete ? "complete" : "incomplete",
                 response.body_length, wrong ? ", NOT ITS ANSWER:\n" : "",
                 wrong ? response.body : "");
  play_response_free (&response);
  return wrong;
}

int
main (void)
{
  const char *trouble_text = getenv ("TROUBLE");
  struct play_tenant tenants[2] = {
    { .name = "north", .key = "key-1", .prepaid = 1000000 },
    { .name = "south", .key = "key-2", .prepaid = 1000000 },
  };
  char store_address[PLAY_ADDRESS_BYTES];
  char service_address[PLAY_ADDRESS_BYTES];
  char address[PLAY_ADDRESS_BYTES];
  struct play_store *store;
  int broken = 0;
  char *settings;

  trouble = trouble_text == NULL || strcmp (trouble_text, "0") != 0;
  play_record_open ("record.txt");
  play_address (store_address, 0, 9000);
  play_address (service_address, 1, 9000);
  store = play_store_new (store_address, -1);
  play_serve (service_address, run_service, &trouble);
  play_put_config (store, 1, tenants, 2);
  play_put_replica (store, "s-1", "ledger", service_address);
  play_address (service_address, 2, 9000);
  play_serve (service_address, run_service, NULL);
  play_put_replica (store, "s-2", "ledger", service_address);
  settings = play_settings (&play_treidelstall, 0, store_address, true);
  (void)play_start ("host-0", settings);
  free (settings);
  play_address (address, 0, PLAY_PORT_READINESS);
  play_wait_ready (address, 10000);
  play_address (address, 0, PLAY_PORT_CALLERS);
  for (int i = 0; i < ROUNDS; i++)
    {
      broken += ask (address, 2 * i, &tenants[0]);
      broken += ask (address, 2 * i + 1, &tenants[1]);
      play_sleep_ms (5);
    }
  play_record ("%d requests; %d earlier answers sent once more; %d successes "
               "with the answer of another tenant",
               2 * ROUNDS, copies, broken);
  play_stop_all ();
  return broken > 0 ? 1 : 0;
}
