#include "tenants.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* One machine is partitioned from the platform's store while the store returns
   from a copy some seconds old.  Checked: no tenant gets more than its
   prepaid.  */

#define HOSTS 3
#define TENANTS 10
#define PREPAID 2500000
#define CALM_MS 4000
#define LOST_MS 1500  /* from the copy to the cut */
#define CUT_MS 5500   /* core_cut of the site file: 1 machine, 5.5 s */
#define BEFORE_MS 300 /* from the cut to the return */
#define AWAY_MS 500
#define AFTER_MS 10000

int
main (int argc, char **argv)
{
  const char *trouble_text = getenv ("TROUBLE");
  bool trouble = trouble_text == NULL || strcmp (trouble_text, "0") != 0;
  int machine = argc > 1 ? atoi (argv[1]) : 0;
  char store_address[PLAY_ADDRESS_BYTES];
  char engine_address[PLAY_ADDRESS_BYTES];
  char address[PLAY_ADDRESS_BYTES];
  struct play_path *paths[HOSTS];
  struct play_store *store;
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
    {
      char name[32];
      char *settings;

      play_address (address, i, 9005);
      paths[i] = play_store_path (store, address);
      settings = play_settings (&play_treidelstall, i, address, true);
      (void)snprintf (name, sizeof name, "host-%d", i);
      (void)play_start (name, settings);
      free (settings);
    }
  for (int i = 0; i < HOSTS; i++)
    {
      play_address (address, i, PLAY_PORT_READINESS);
      play_wait_ready (address, 10000);
    }
  play_sleep_ms (1000);
  play_record ("the tenants send requests");
  tenants_set_phase (CALM, 0);
  play_sleep_ms (CALM_MS);
  play_store_copy (store);
  play_record ("the copy is made; the tenants send more requests");
  tenants_set_phase (BUSY, 0);
  play_sleep_ms (LOST_MS);
  if (trouble)
    {
      play_record ("host-%d is partitioned from the store", machine);
      play_path_cut (paths[machine], true);
      play_sleep_ms (BEFORE_MS);
      play_record ("the store is away");
      play_store_away (store, true);
      play_sleep_ms (AWAY_MS);
      play_store_restore (store);
      play_store_away (store, false);
      play_record ("the store is back from the copy");
      play_record ("the tenants send all that they can");
      tenants_set_phase (FINAL, 0);
      play_sleep_ms (CUT_MS - BEFORE_MS - AWAY_MS);
      play_path_cut (paths[machine], false);
      play_record ("the partition ends");
    }
  else
    {
      play_record ("the tenants send all that they can");
      tenants_set_phase (FINAL, 0);
      play_sleep_ms (CUT_MS);
    }
  play_sleep_ms (AFTER_MS);
  tenants_set_phase (QUIET, 0);
  play_sleep_ms (500);
  broken = tenants_check ();
  play_record ("%d tenants over their prepaid", broken);
  play_stop_all ();
  return broken > 0 ? 1 : 0;
}
