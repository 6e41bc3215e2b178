#ifndef DS_ENTRY_EXCHANGE_H
#define DS_ENTRY_EXCHANGE_H

#include "core/crash_guard.h"
#include "core/replica_set.h"
#include "core/retry_allowance.h"
#include "daisystep/routing_config.h"
#include "entry/budget_keeper.h"
#include "entry/caller.h"
#include "entry/fleet_view.h"
#include "entry/replica_pool.h"

/* What all exchanges of a host use.  CONFIG is replaced when a newer version
   comes; null while none is known.  HOSTS counts the fleet with this host.  */
struct ds_exchange_context
{
  struct tevent_context *ev;
  struct ds_routing_config *config;
  struct ds_replica_set *replicas;
  struct ds_replica_pool *pool;
  struct ds_retry_allowance *retries;
  struct ds_budget_keeper *budgets;
  struct ds_crash_guard *crashes;
  struct ds_fleet_view *fleet;
  struct ds_str zone;
  size_t hosts;
  bool stopping; /* too late for new work: it would be cut off */
};

struct ds_exchange;

void ds_exchange_start (struct ds_exchange_context *context,
                        struct ds_caller *caller,
                        const struct ds_http_head *head, struct ds_str body);
void ds_exchange_cancel (struct ds_exchange *exchange);
void ds_exchange_drained (struct ds_exchange *exchange);

#endif
