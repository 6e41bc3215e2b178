#ifndef DS_ENTRY_EXCHANGE_H
#define DS_ENTRY_EXCHANGE_H

#include "core/host_memory.h"
#include "core/host_strain.h"
#include "core/replica_set.h"
#include "core/retry_budget.h"
#include "daisystep/routing_config.h"
#include "entry/budget_manager.h"
#include "entry/caller.h"
#include "entry/cold_starts.h"
#include "entry/connection_pool.h"
#include "entry/crash_evidence.h"
#include "entry/fleet_view.h"
#include "entry/store_watcher.h"

/* State shared by all exchanges of a host.  CONFIG is replaced by newer
   versions by CONFIG_WATCHER; null before the first.  HOSTS is the size of the
   fleet, including this host.  */
struct ds_exchange_context
{
  struct tevent_context *ev;
  struct ds_routing_config *config;
  const struct ds_store_watcher *config_watcher;
  struct ds_replica_set *replicas;
  struct ds_connection_pool *pool;
  struct ds_retry_budget *retries;
  struct ds_budget_manager *budgets;
  struct ds_crash_evidence *crashes;
  struct ds_cold_starts *cold_starts;
  struct ds_fleet_view *fleet;
  struct ds_host_strain strain;
  struct ds_host_memory memory;
  struct ds_str zone;
  uint64_t drain_ms; /* for which a replica that leaves still serves */
  size_t hosts;
  bool stopping; /* no new requests: they would be interrupted */
};

struct ds_exchange;

void ds_exchange_start (struct ds_exchange_context *context,
                        struct ds_caller *caller,
                        const struct ds_http_head *head, struct ds_str body);
uint64_t ds_exchange_body_wait_ms (const struct ds_exchange_context *context,
                                   const struct ds_http_head *head);
void ds_exchange_refuse_unread (struct ds_exchange_context *context,
                                struct ds_caller *caller,
                                const struct ds_http_head *head);
void ds_exchange_cancel (struct ds_exchange *exchange);
void ds_exchange_on_drained (struct ds_exchange *exchange);

#endif
