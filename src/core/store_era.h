#ifndef DS_CORE_STORE_ERA_H
#define DS_CORE_STORE_ERA_H

#include <stdbool.h>
#include <stdint.h>

/* What the reported era of the store says about the known one.  */
enum ds_store_era_change
{
  DS_STORE_ERA_SAME,
  DS_STORE_ERA_FIRST,  /* nothing was known of the store before */
  DS_STORE_ERA_NEWER,  /* the store has returned from an older copy */
  DS_STORE_ERA_OLDER,  /* the report is from before the newest return */
  DS_STORE_ERA_REFUTED /* the known one was reported wrongly by a host */
};

/* The newest era of the store that this host knows.  HOLD_MS is the time from
   its detection in which ledger pages of earlier eras grant nothing.  */
struct ds_store_era
{
  uint64_t era;
  uint64_t previous; /* the one known before */
  uint64_t detected_ms;
  uint64_t restored_ms; /* when a newer one was last detected; 0 for never */
  uint32_t hold_ms;
  uint64_t refuted; /* an era that hosts report wrongly; 0 for none */
  bool known;
  bool confirmed; /* by the store itself */
};

enum ds_store_era_change ds_store_era_observe (struct ds_store_era *era,
                                               uint64_t reported,
                                               uint64_t sent_era,
                                               uint64_t now_ms);
enum ds_store_era_change ds_store_era_hear (struct ds_store_era *era,
                                            uint64_t reported,
                                            uint64_t now_ms);
bool ds_store_era_is_held (const struct ds_store_era *era, uint64_t page_era,
                           uint64_t now_ms);

#endif
