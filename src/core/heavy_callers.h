#ifndef DS_CORE_HEAVY_CALLERS_H
#define DS_CORE_HEAVY_CALLERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Callers whose requests a host counts.  */
#define DS_CALLER_USES_MAX 64
/* Thousandths of a core, the unit of loads, in one unit of the capacity that
   hosts report.  */
#define DS_LOAD_PER_CAPACITY 10
/* Heavy callers that the hosts share.  */
#define DS_HEAVY_CALLERS_MAX 32

/* What a caller, identified by the hash of its IP address, sends to this
   host.  */
struct ds_caller_use
{
  uint64_t origin;
  double weight; /* bytes, decaying */
};

/* Where a report was received; a relay passes on those of its zone to other
   zones, and all of them to its zone.  */
enum ds_heavy_source
{
  DS_HEAVY_DIRECT, /* this host, or a datagram of the host that measured */
  DS_HEAVY_ZONE,   /* the summary of another zone */
  DS_HEAVY_FLEET,  /* the summary of the fleet */
  DS_HEAVY_SOURCES
};

/* The load of a heavy caller at one host, in thousandths of a core.  */
struct ds_heavy_caller
{
  uint64_t origin;
  uint32_t host; /* short id */
  uint32_t load;
  uint64_t raised_ms;                  /* time of LOAD */
  uint64_t heard_ms[DS_HEAVY_SOURCES]; /* 0 for never */
};

/* Start with all members 0.  */
struct ds_heavy_callers
{
  struct ds_caller_use uses[DS_CALLER_USES_MAX];
  size_t use_count;
  struct ds_heavy_caller callers[DS_HEAVY_CALLERS_MAX];
  size_t count;
};

/* One tick of a host: USED and CAPACITY in thousandths of a core.  */
struct ds_heavy_tick
{
  uint32_t host;
  double used;
  double capacity;
  bool over; /* the host has to give up callers */
  uint64_t elapsed_ms;
  uint64_t now_ms;
};

void ds_heavy_callers_record (struct ds_heavy_callers *heavy, uint64_t origin,
                              uint64_t bytes);
size_t ds_heavy_callers_tick (struct ds_heavy_callers *heavy,
                              const struct ds_heavy_tick *tick);
bool ds_heavy_callers_report (struct ds_heavy_callers *heavy, uint64_t origin,
                              uint32_t host, uint32_t load,
                              enum ds_heavy_source source, uint64_t now_ms);
bool ds_heavy_caller_is_recent (const struct ds_heavy_caller *caller,
                                enum ds_heavy_source source, uint64_t now_ms);
uint32_t ds_heavy_callers_load (const struct ds_heavy_callers *heavy,
                                uint64_t origin);
bool ds_heavy_callers_is_at (const struct ds_heavy_callers *heavy,
                             uint32_t host, uint64_t origin, uint64_t now_ms);
bool ds_heavy_fits (uint32_t load, uint32_t capacity);
uint32_t ds_heavy_callers_misplaced (const struct ds_heavy_callers *heavy,
                                     uint32_t host, uint32_t capacity,
                                     uint64_t now_ms);

#endif
