#ifndef DS_CORE_HOST_LOAD_H
#define DS_CORE_HOST_LOAD_H

#include <stdbool.h>
#include <stdint.h>

/* Levels at which a host gives up callers: at level N it is offered to
   (DS_LOAD_LEVELS - N) in DS_LOAD_LEVELS of them.  */
#define DS_LOAD_LEVELS 8

/* What a host may use.  */
struct ds_host_limits
{
  double cpu_share; /* of a core */
  double link_mbps;
  uint64_t connections;
};

/* What a host has used since its start, and uses now.  */
struct ds_host_usage
{
  uint64_t cpu_us;
  uint64_t bytes; /* in both directions */
  uint64_t connections;
  uint32_t memory_percent;
};

/* The load of this host relative to its capacity.  Start with all members
   0.  */
struct ds_host_load
{
  struct ds_host_usage last;
  uint64_t measured_ms; /* time of LAST; 0 for never */
  double cpu;           /* percent, smoothed */
  double link;          /* percent, smoothed */
  double connections;   /* percent */
  double memory;        /* percent */
  uint32_t level;
  uint64_t over_ms;  /* since when it has to give up callers; 0: it has not */
  uint64_t level_ms; /* time of its last change; 0 for never */
};

void ds_host_load_measure (struct ds_host_load *load,
                           const struct ds_host_limits *limits,
                           const struct ds_host_usage *usage, uint64_t now_ms);
double ds_host_load_percent (const struct ds_host_load *load);
double ds_host_load_demand (double percent);
bool ds_host_load_is_over (double percent);
bool ds_host_load_update_level (struct ds_host_load *load, double percent,
                                uint64_t lifetime_ms, uint64_t now_ms);

#endif
