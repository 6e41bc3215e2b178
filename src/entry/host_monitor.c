#include "entry/host_monitor.h"
#include "base/decision_log.h"
#include "core/address_choice.h"
#include "core/gossip_pace.h"
#include "daisystep/metrics.h"
#include "io/tcp.h"

#include <sys/resource.h>
#include <time.h>

/* A link that is as strong as one core.  */
#define LINK_MBPS_PER_CORE 200
#define PERCENT 100
/* Sockets for one caller: its connection and one to a replica.  */
#define SOCKETS_PER_CALLER 2

/* Returns the part that this host can take in the work for the fleet: of a
   core in percent, but no more than its link carries.  */
uint32_t
ds_host_capacity (const struct ds_entry_settings *settings)
{
  double cores = settings->cpu_share * settings->cpu_cores;
  double links = settings->link_mbps / LINK_MBPS_PER_CORE;

  return (uint32_t)(PERCENT * (cores < links ? cores : links));
}

/* Begins to measure and share the load if the settings say so.  */
void
ds_host_monitor_start (struct ds_host_monitor *monitor)
{
  struct rlimit files;

  monitor->enabled = monitor->settings->spread_callers;
  if (!monitor->enabled)
    return;
  if (getrlimit (RLIMIT_NOFILE, &files) == 0
      && files.rlim_cur != RLIM_INFINITY)
    monitor->connections_max = files.rlim_cur;
  monitor->callers->monitor = monitor;
  monitor->addresses->heavy = &monitor->heavy;
  ds_fleet_view_share_loads (monitor->fleet, &monitor->heavy);
}

/* Leads callers away while this host is short of processor or link.  */
static void
update_strain (struct ds_host_monitor *monitor, uint64_t now_ms)
{
  struct ds_host_strain *strain = monitor->strain;
  bool strained;
  struct ds_decision_line line;

  if (monitor->next_tick_ms > 0)
    ds_host_strain_record_tick (
        strain,
        now_ms > monitor->next_tick_ms ? now_ms - monitor->next_tick_ms : 0,
        now_ms);
  monitor->next_tick_ms = now_ms + DS_GOSSIP_INTERVAL_MS;
  strained = ds_host_strain_is_strained (strain, now_ms);
  if (strained == monitor->callers->shedding)
    return;
  monitor->callers->shedding = strained;
  monitor->addresses->strained = strained;
  ds_fleet_view_set_strained (monitor->fleet, strained);
  ds_store_client_set_slow_link (monitor->store, strained);
  line = ds_decision_line_begin (strained ? "host_strained" : "host_relieved",
                                 DS_STR_EMPTY);
  ds_decision_line_add_number (&line, "connect_ms",
                               (int64_t)strain->connect_ms);
  ds_decision_line_add_number (&line, "late_ticks", strain->late_in_a_row);
  ds_decision_line_add_number (&line, "answering",
                               (int64_t)monitor->callers->responding);
  ds_decision_line_end (&line);
}

static uint32_t
percent_of (uint64_t used, uint64_t most)
{
  return most > 0 ? (uint32_t)(used * PERCENT / most) : 0;
}

/* The use of the scarcest share of the memory.  */
static uint32_t
memory_percent (const struct ds_caller_group *callers)
{
  const struct ds_host_memory *memory = callers->memory;
  uint32_t shares[] = {
    percent_of (memory->bodies.large_held + memory->bodies.small_held,
                memory->bodies.bytes),
    percent_of (memory->unsent, memory->unsent_max),
    percent_of (memory->heads, memory->heads_max),
    percent_of (callers->responding, memory->requests_max),
  };
  uint32_t most = 0;

  for (size_t i = 0; i < sizeof shares / sizeof shares[0]; i++)
    if (shares[i] > most)
      most = shares[i];
  return most;
}

static struct ds_host_usage
current_usage (const struct ds_host_monitor *monitor)
{
  struct ds_host_usage usage = {
    .bytes = ds_tcp_all_bytes (),
    .connections = monitor->callers->connections * SOCKETS_PER_CALLER,
    .memory_percent = memory_percent (monitor->callers),
  };
  struct timespec used;

  if (clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &used) == 0)
    usage.cpu_us
        = (uint64_t)used.tv_sec * 1000000 + (uint64_t)used.tv_nsec / 1000;
  return usage;
}

/* Notes what the other hosts can take.  */
static void
look_at_others (struct ds_host_monitor *monitor, uint64_t now_ms)
{
  monitor->strongest = monitor->addresses->capacity;
  monitor->others_have_room = false;
  for (size_t i = 0; i < ds_fleet_view_count (monitor->fleet); i++)
    {
      const struct ds_fleet_member *member
          = ds_fleet_view_at (monitor->fleet, i);

      if (!ds_fleet_member_is_alive (member, now_ms) || !member->ready
          || member->draining)
        continue;
      if (member->capacity > monitor->strongest)
        monitor->strongest = member->capacity;
      if (member->load_level == 0)
        monitor->others_have_room = true;
    }
}

static bool
is_strongest (const struct ds_host_monitor *monitor)
{
  return monitor->addresses->capacity >= monitor->strongest;
}

/* The utilisation in percent without heavy callers that leave this host. Other
   callers need not leave because of them.  */
static double
lasting_percent (const struct ds_host_monitor *monitor, double percent,
                 uint64_t now_ms)
{
  uint32_t capacity = monitor->addresses->capacity * DS_LOAD_PER_CAPACITY;
  uint32_t leaving
      = is_strongest (monitor) || capacity == 0
            ? 0
            : ds_heavy_callers_misplaced (&monitor->heavy,
                                          ds_fleet_view_id (monitor->fleet),
                                          capacity, now_ms);

  percent -= leaving > 0 ? (double)leaving * PERCENT / capacity : 0;
  return percent > 0 ? percent : 0;
}

static void
set_gauge (enum ds_metric metric, int64_t value)
{
  ds_metric_add (metric, value - ds_metric_get (metric));
}

static void
log_load (const struct ds_host_monitor *monitor, const char *event,
          double percent)
{
  const struct ds_host_load *load = &monitor->load;
  struct ds_decision_line line = ds_decision_line_begin (event, DS_STR_EMPTY);

  ds_decision_line_add_number (&line, "level", load->level);
  ds_decision_line_add_number (&line, "percent", (int64_t)percent);
  ds_decision_line_add_number (&line, "cpu", (int64_t)load->cpu);
  ds_decision_line_add_number (&line, "link", (int64_t)load->link);
  ds_decision_line_add_number (&line, "connections",
                               (int64_t)load->connections);
  ds_decision_line_add_number (&line, "memory", (int64_t)load->memory);
  ds_decision_line_add_number (&line, "heavy_callers",
                               (int64_t)monitor->heavy.count);
  ds_decision_line_end (&line);
}

static void
update_load (struct ds_host_monitor *monitor, uint64_t now_ms)
{
  const struct ds_host_limits limits = {
    .cpu_share = monitor->settings->cpu_share,
    .link_mbps = monitor->settings->link_mbps,
    .connections = monitor->connections_max,
  };
  const struct ds_host_usage usage = current_usage (monitor);
  double capacity = monitor->addresses->capacity * DS_LOAD_PER_CAPACITY;
  double percent;
  struct ds_heavy_tick tick = {
    .host = ds_fleet_view_id (monitor->fleet),
    .capacity = capacity,
    .elapsed_ms = monitor->ticked_ms > 0 ? now_ms - monitor->ticked_ms : 0,
    .now_ms = now_ms,
  };

  monitor->ticked_ms = now_ms;
  ds_host_load_measure (&monitor->load, &limits, &usage, now_ms);
  percent = ds_host_load_percent (&monitor->load);
  tick.used = ds_host_load_demand (percent) * capacity / PERCENT;
  tick.over = ds_host_load_is_over (percent) || monitor->callers->shedding;
  look_at_others (monitor, now_ms);
  if (ds_heavy_callers_tick (&monitor->heavy, &tick) > 0)
    log_load (monitor, "heavy_caller", percent);
  percent = lasting_percent (monitor, percent, now_ms);
  if (ds_host_load_update_level (&monitor->load, percent,
                                 (uint64_t)(monitor->addresses->ttl_s * 1000),
                                 now_ms))
    log_load (monitor, "host_load_level", percent);
  monitor->addresses->level = monitor->load.level;
  ds_fleet_view_set_load (monitor->fleet,
                          (uint32_t)ds_host_load_percent (&monitor->load),
                          monitor->load.level);
  set_gauge (DS_METRIC_HOST_UTILISATION,
             (int64_t)ds_host_load_percent (&monitor->load));
  set_gauge (DS_METRIC_HOST_LOAD_LEVEL, monitor->load.level);
  set_gauge (DS_METRIC_HEAVY_CALLERS, (int64_t)monitor->heavy.count);
}

/* Runs at each tick of the host.  */
void
ds_host_monitor_tick (struct ds_host_monitor *monitor, uint64_t now_ms)
{
  update_strain (monitor, now_ms);
  if (monitor->enabled)
    update_load (monitor, now_ms);
}

/* Counts a request of ORIGIN.  True if its connection should close after the
   response, so that the caller asks for other addresses: a heavy caller that
   other hosts can carry and this one cannot, or one that this host gives up
   while others have room.  */
bool
ds_host_monitor_sheds (struct ds_host_monitor *monitor, uint64_t origin,
                       size_t body_bytes)
{
  uint32_t load = ds_heavy_callers_load (&monitor->heavy, origin);
  uint32_t capacity = monitor->addresses->capacity * DS_LOAD_PER_CAPACITY;

  ds_heavy_callers_record (&monitor->heavy, origin, body_bytes);
  if (load > 0 && !ds_heavy_fits (load, capacity))
    return !is_strongest (monitor);
  return monitor->others_have_room
         && !ds_address_is_offered (monitor->addresses->caller_address, origin,
                                    monitor->load.level);
}
