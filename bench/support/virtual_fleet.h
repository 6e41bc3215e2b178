#ifndef DAISYSTEP_BENCH_VIRTUAL_FLEET_H
#define DAISYSTEP_BENCH_VIRTUAL_FLEET_H

#include "daisystep/id.h"
#include "daisystep/shard.h"

#include <stdbool.h>
#include <stdint.h>

/* A fleet of the decision core in virtual time: an event queue with fixed
   delays stands for links, platform and upstreams, and one seed gives one
   result.  Times are microseconds of the virtual clock.  */
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
  /* One-way delays; a platform call that cannot get through fails after the
     timeout.  */
  uint64_t cross_zone_delay_us;
  uint64_t platform_delay_us;
  uint64_t platform_timeout_us;
  /* Time until the silence of a link is noticed.  */
  uint64_t link_timeout_us;
  uint64_t prepaid[VIRTUAL_FLEET_BUDGETS_MAX];
  /* Settled before the run begins.  */
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
  /* Its host died before the request ended.  */
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
  /* Refused for lack of tokens although the budget would have covered the
     request: told that the budget is used up, or that the platform is out of
     reach.  */
  uint64_t false_refusals;
  uint64_t overspend;
  uint64_t reads;
  uint64_t writes;
  uint64_t conflicts;
  uint64_t recoveries;
  /* Most bills in one page.  */
  uint64_t max_page_bills;
};

struct virtual_fleet *
virtual_fleet_new (const struct virtual_fleet_options *options);
void virtual_fleet_free (struct virtual_fleet *fleet);
uint64_t virtual_fleet_now (const struct virtual_fleet *fleet);
struct virtual_fleet_totals
virtual_fleet_totals (const struct virtual_fleet *fleet);
void virtual_fleet_run_until (struct virtual_fleet *fleet, uint64_t at_us);

/* Requests count from zero.  */
int virtual_fleet_submit (struct virtual_fleet *fleet, int host, int budget,
                          uint64_t reserve, uint64_t cost,
                          uint64_t duration_us);
/* Sends a request again at its host, with the same id.  */
void virtual_fleet_resubmit (struct virtual_fleet *fleet, int request);
/* A caller asks HOST whether a request whose host died has run.  */
enum ds_identity virtual_fleet_query_recovered (struct virtual_fleet *fleet,
                                                int host, int request);
const struct virtual_request *
virtual_fleet_request_at (const struct virtual_fleet *fleet, int request);
int virtual_fleet_request_count (const struct virtual_fleet *fleet);
/* Counts the bills in the platform for each request.  */
void virtual_fleet_count_bills (struct virtual_fleet *fleet);

/* The host at RANK in the address answer for a budget's workspace.  */
int virtual_fleet_host_at_rank (struct virtual_fleet *fleet, int budget,
                                int rank);
bool virtual_fleet_is_host_alive (const struct virtual_fleet *fleet, int host);
void virtual_fleet_crash_host (struct virtual_fleet *fleet, int host);
void virtual_fleet_disconnect_hosts (struct virtual_fleet *fleet, int a,
                                     int b);
void virtual_fleet_reconnect_hosts (struct virtual_fleet *fleet, int a, int b);
void virtual_fleet_disconnect_platform (struct virtual_fleet *fleet, int host,
                                        bool is_disconnected);
/* Whether no page of the platform counts free tokens as held by the crashed
   incarnation.  */
bool virtual_fleet_is_grant_recovered (const struct virtual_fleet *fleet,
                                       uint64_t incarnation);
uint64_t virtual_fleet_host_incarnation (const struct virtual_fleet *fleet,
                                         int host);

#endif
