#include "tenants.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* All processes are killed at the same moment, and the platform's store, which
   is away for a moment then, returns from a copy some seconds old.  Checked:
   no tenant gets more than its prepaid.  */

#define HOSTS 3
#define TENANTS 10
#define PREPAID 2500000
#define CALM_MS 5000
#define COPY_AGE_MS 4000
#define AWAY_MS 800
#define RESTART_MS 1000
#define AFTER_MS 15000

static void
start_host (int host, const char *store_address, bool first_start, pid_t *pids)
{
  char name[32];
  char *settings
      = play_settings (&play_treidelstall, host, store_address, first_start);

  (void)snprintf (name, sizeof name, "host-%d", host);
  pids[host] = play_start (name, settings);
  free (settings);
}

static void
wait_ready (void)
{
  char readiness[PLAY_ADDRESS_BYTES];

  for (int i = 0; i < HOSTS; i++)
    {
      play_address (readiness, i, PLAY_PORT_READINESS);
      play_wait_ready (readiness, 10000);
    }
}

int
main (void)
{
  const char *trouble_text = getenv ("TROUBLE");
  bool trouble = trouble_text == NULL || strcmp (trouble_text, "0") != 0;
  char store_address[PLAY_ADDRESS_BYTES];
  char engine_address[PLAY_ADDRESS_BYTES];
  struct play_store *store;
  pid_t pids[HOSTS];
  int broken;

  play_record_open ("record.txt");
  play_address (store_address, 0, 9000);
  play_address (engine_address, 1, 9000);
  store = play_store_new (store_address, 7);
  play_serve (engine_address, tenants_engine, NULL);
  tenants_start (TENANTS, HOSTS, PREPAID);
  play_put_config (store, 1, tenants, TENANTS);
  play_put_replica (store, "e-1", "engine", engine_address);
  for (int i = 0; i < HOSTS; i++)
    start_host (i, store_address, true, pids);
  wait_ready ();
  play_sleep_ms (1000);
  play_record ("the tenants send requests");
  tenants_set_phase (CALM, 0);
  play_sleep_ms (CALM_MS);
  play_store_copy (store);
  play_record ("the copy is made; the tenants send all that they can");
  tenants_set_phase (FINAL, 0);
  play_sleep_ms (COPY_AGE_MS);
  if (trouble)
    {
      play_record ("the store is away, and all processes are killed");
      play_store_away (store, true);
      for (int i = 0; i < HOSTS; i++)
        (void)kill (pids[i], SIGKILL);
      for (int i = 0; i < HOSTS; i++)
        play_kill (pids[i]);
      play_sleep_ms (AWAY_MS);
      play_store_restore (store);
      play_store_away (store, false);
      play_record ("the store is back from the copy");
      (void)tenants_check ();
      play_sleep_ms (RESTART_MS - AWAY_MS);
      for (int i = 0; i < HOSTS; i++)
        start_host (i, store_address, false, pids);
      wait_ready ();
      play_record ("all hosts are ready");
    }
  play_sleep_ms (AFTER_MS);
  tenants_set_phase (QUIET, 0);
  play_sleep_ms (500);
  broken = tenants_check ();
  play_record ("%d tenants over their prepaid", broken);
  play_stop_all ();
  return broken > 0 ? 1 : 0;
}
