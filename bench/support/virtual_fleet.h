#ifndef DAISYSTEP_BENCH_VIRTUAL_FLEET_H
#define DAISYSTEP_BENCH_VIRTUAL_FLEET_H

#include "daisystep/id.h"
#include "daisystep/shard.h"

#include <stdbool.h>
#include <stdint.h>

/* A simulated fleet of the decision core.  An event queue with fixed delays
   replaces links, platform and upstreams; the same seed gives the same result.
   Times are microseconds of the virtual clock.  */
struct virtual_fleet;

#define VIRTUAL_FLEET_HOSTS_MAX 8
#define VIRTUAL_FLEET_BUDGETS_MAX 10

struct virtual_fleet_options
{
  uint64_t seed;
  int hosts;
  int zones;
  int budgets;
  int pages;
  uint32_t draw_percent;
  /* One-way delays.  A call to an unreachable platform fails after the
     timeout.  */
  uint64_t cross_zone_delay_us;
  uint64_t platform_delay_us;
  uint64_t platform_timeout_us;
  /* Time until a disconnected link is reported down.  */
  uint64_t link_timeout_us;
  uint64_t prepaid[VIRTUAL_FLEET_BUDGETS_MAX];
  /* Tokens settled before the run begins.  */
  uint64_t settled[VIRTUAL_FLEET_BUDGETS_MAX];
};

#define VIRTUAL_FLEET_OPTIONS_DEFAULT                                         \
  ((struct virtual_fleet_options){                                            \
      .hosts = 8,                                                             \
      .zones = 3,                                                             \
      .budgets = 10,                                                          \
      .pages = 8,                                                             \
      .draw_percent = 12,                                                     \
      .platform_delay_us = 5000,                                              \
      .platform_timeout_us = 5000000,                                         \
      .link_timeout_us = 2000000,                                             \
  })

struct virtual_request
{
  struct ds_request_id id;
  uint64_t handle;
  int budget;
  int host;
  uint64_t incarnation;
  uint64_t reserve;
  uint64_t cost;
  uint64_t duration_us;
  int dispatches;
  int bills;
  uint64_t billed;
  bool is_estimated;
  bool is_ended;
  /* Its host crashed before the request ended.  */
  bool is_lost;
  bool is_refused;
  bool is_reported_not_run;
  enum ds_refusal reason;
};

struct virtual_fleet_totals
{
  uint64_t arrived;
  uint64_t dispatched;
  uint64_t refused[DS_REFUSAL_SEALED + 1];
  /* Refused because of an exhausted budget or an unavailable platform although
     the budget would have covered the request.  */
  uint64_t false_refusals;
  uint64_t overspend;
  uint64_t reads;
  uint64_t writes;
  uint64_t conflicts;
  uint64_t recoveries;
  /* Largest number of bills in one page.  */
  uint64_t max_page_bills;
};

struct virtual_fleet *
virtual_fleet_new (const struct virtual_fleet_options *options);
void virtual_fleet_free (struct virtual_fleet *fleet);
uint64_t virtual_fleet_now (const struct virtual_fleet *fleet);
struct virtual_fleet_totals
virtual_fleet_totals (const struct virtual_fleet *fleet);
void virtual_fleet_run_until (struct virtual_fleet *fleet, uint64_t at_us);

int virtual_fleet_submit (struct virtual_fleet *fleet, int host, int budget,
                          uint64_t reserve, uint64_t cost,
                          uint64_t duration_us);
void virtual_fleet_resubmit (struct virtual_fleet *fleet, int request);
enum ds_identity virtual_fleet_query_recovered (struct virtual_fleet *fleet,
                                                int host, int request);
const struct virtual_request *
virtual_fleet_request_at (const struct virtual_fleet *fleet, int request);
int virtual_fleet_request_count (const struct virtual_fleet *fleet);
void virtual_fleet_count_bills (struct virtual_fleet *fleet);

int virtual_fleet_host_at_rank (struct virtual_fleet *fleet, int budget,
                                int rank);
bool virtual_fleet_is_host_alive (const struct virtual_fleet *fleet, int host);
void virtual_fleet_crash_host (struct virtual_fleet *fleet, int host);
void virtual_fleet_disconnect_hosts (struct virtual_fleet *fleet, int a,
                                     int b);
void virtual_fleet_reconnect_hosts (struct virtual_fleet *fleet, int a, int b);
void virtual_fleet_disconnect_platform (struct virtual_fleet *fleet, int host,
                                        bool is_disconnected);
bool virtual_fleet_is_grant_recovered (const struct virtual_fleet *fleet,
                                       uint64_t incarnation);
uint64_t virtual_fleet_host_incarnation (const struct virtual_fleet *fleet,
                                         int host);

#endif
