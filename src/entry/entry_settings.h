#ifndef DS_ENTRY_ENTRY_SETTINGS_H
#define DS_ENTRY_ENTRY_SETTINGS_H

#include "core/replica_capacity.h"
#include "daisystep/fields.h"

/* Fleet-wide limit on retries to a service.  */
struct ds_retry_settings
{
  double ratio;
  double slack;
  double window_s;
};

/* How the home of a budget makes tokens usable that it holds for an outage of
   the store; with SPAN_MS 0, all at once.  */
struct ds_release_settings
{
  uint64_t span_ms;
  uint64_t usable_ms;
  uint64_t rate_percent; /* of the demand; 0 for none */
};

/* Share of a prepaid budget that a host holds.  */
struct ds_budget_settings
{
  uint64_t settle_ms;
  uint64_t hold_ms;
  uint64_t part_percent;
  uint64_t start_percent;
  uint64_t minimum_tokens;
  uint64_t cushion_ms;
  struct ds_release_settings release;
};

/* Settings of an entry host.  The strings belong to the settings.  */
struct ds_entry_settings
{
  struct ds_str host;
  struct ds_str zone;
  struct ds_str region;
  struct ds_str caller_address;
  struct ds_str readiness_address;
  struct ds_str directory_address;
  struct ds_str gossip_address;
  struct ds_str metrics_address;
  struct ds_str store_address;
  bool first_start; /* no process of the fleet ran before */
  double grace_s;
  double address_ttl_s;
  double config_apply_ms;
  double drain_ms;
  double cold_overage;
  double cold_slack;
  double restore_hold_ms;
  uint64_t log_lines_per_s;
  double cpu_share; /* of a core */
  double cpu_cores; /* speed of that core */
  double link_mbps;
  double memory_mb;         /* MiB; limit of the process */
  double evacuation_ms;     /* 0: evacuations are not watched */
  struct ds_name_map zones; /* regions by zone; may be empty */
  bool spread_callers;
  struct ds_retry_settings retry;
  struct ds_budget_settings budget;
  struct ds_capacity_options replica_capacity; /* zero if absent */
};

int ds_entry_settings_load (struct ds_entry_settings **out, TALLOC_CTX *owner,
                            const char *path, struct ds_error *error);
void ds_entry_settings_free (struct ds_entry_settings *settings);

#endif
