#include "tenants.h"

#include <stdlib.h>
#include <string.h>

/* Writes of the platform's store get no response and are executed seconds
   later, while the demand of the tenants falls.  Then each tenant sends
   requests until its prepaid is used up, and gets as much again for the next
   cycle.  Checked: no tenant gets more than its prepaid.  */

#define TENANTS 24
#define PREPAID 2500000
#define CYCLES 6
#define BUSY_MS 4000
#define STAGGER_MS 3000
#define FALL_MS 2000 /* until homes return tokens */
/* platform_lost of the site file: 0.35, 4.5 s, late.  */
#define LOSS_MS 4500
#define LOST_SHARE 0.35
#define FINAL_MS 5000

int
main (int argc, char **argv)
{
  const char *trouble_text = getenv ("TROUBLE");
  bool trouble = trouble_text == NULL || strcmp (trouble_text, "0") != 0;
  char store_address[PLAY_ADDRESS_BYTES];
  char engine_address[PLAY_ADDRESS_BYTES];
  char readiness[PLAY_ADDRESS_BYTES];
  struct play_store *store;
  char *settings;
  int broken = 0;

  play_record_open ("record.txt");
  play_seed (argc > 1 ? (unsigned)atoi (argv[1]) : 1);
  play_address (store_address, 0, 9000);
  play_address (engine_address, 1, 9000);
  play_address (readiness, 0, PLAY_PORT_READINESS);
  store = play_store_new (store_address, 7);
  play_serve (engine_address, tenants_engine, NULL);
  tenants_start (TENANTS, 1, PREPAID);
  play_put_config (store, 1, tenants, TENANTS);
  play_put_replica (store, "e-1", "engine", engine_address);
  settings = play_settings (&play_acif, 0, store_address, true);
  (void)play_start ("host-0", settings);
  free (settings);
  play_wait_ready (readiness, 10000);
  play_sleep_ms (1000);
  for (int i = 1; i <= CYCLES && broken == 0; i++)
    {
      play_record ("cycle %d: the tenants send requests", i);
      tenants_set_phase (BUSY, 0);
      play_sleep_ms (BUSY_MS);
      tenants_set_phase (QUIET, STAGGER_MS);
      play_record ("the tenants pause, one after another");
      play_sleep_ms (FALL_MS);
      if (trouble)
        {
          play_record ("the store loses responses");
          play_store_lose (store, LOST_SHARE, true);
        }
      play_sleep_ms (LOSS_MS);
      play_store_lose (store, 0, true);
      play_record ("the tenants send all that they can");
      tenants_set_phase (FINAL, 0);
      play_sleep_ms (FINAL_MS);
      tenants_set_phase (QUIET, 0);
      play_sleep_ms (300);
      broken = tenants_check ();
      tenants_raise (PREPAID);
      play_put_config (store, i + 1, tenants, TENANTS);
      play_sleep_ms (500);
    }
  play_record ("%u of %u writes of the store got no response; %d tenants over "
               "their prepaid",
               play_store_lost (store), play_store_writes (store), broken);
  play_stop_all ();
  return broken > 0 ? 1 : 0;
}
