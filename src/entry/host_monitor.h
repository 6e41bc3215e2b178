#ifndef DS_ENTRY_HOST_MONITOR_H
#define DS_ENTRY_HOST_MONITOR_H

#include "core/heavy_callers.h"
#include "core/host_load.h"
#include "core/host_strain.h"
#include "entry/address_service.h"
#include "entry/entry_settings.h"
#include "entry/store_client.h"

/* Watches whether this host is short of processor, link, connections or
   memory, and leads callers away.  Set the members up to ADDRESSES.  */
struct ds_host_monitor
{
  const struct ds_entry_settings *settings;
  struct ds_host_strain *strain;
  struct ds_fleet_view *fleet;
  struct ds_store_client *store;
  struct ds_caller_group *callers;
  struct ds_address_service *addresses;

  uint64_t next_tick_ms; /* when the next tick is due */
  uint64_t ticked_ms;
  bool enabled; /* loads are measured and shared */
  struct ds_host_load load;
  struct ds_heavy_callers heavy;
  uint64_t connections_max;
  uint32_t strongest; /* capacity of the strongest live host */
  bool others_have_room;
};

uint32_t ds_host_capacity (const struct ds_entry_settings *settings);
void ds_host_monitor_start (struct ds_host_monitor *monitor);
void ds_host_monitor_tick (struct ds_host_monitor *monitor, uint64_t now_ms);
bool ds_host_monitor_sheds (struct ds_host_monitor *monitor, uint64_t origin,
                            size_t body_bytes);

#endif
