#include "core/host_load.h"

#define PERCENT 100
#define BITS_PER_BYTE 8
/* Time constant of the average: some ticks, so that one burst does not count
   as load, and less than an address lifetime.  */
#define SMOOTHING_MS 500.0
/* Utilisation above which a host gives up callers.  Above it, queues at the
   link or the processor grow with each burst.  */
#define HIGH_PERCENT 85
/* Utilisation that a host aims at when it gives up callers.  */
#define TARGET_PERCENT 70
/* A host takes callers back if it expects less than this with them.  Well
   below HIGH_PERCENT, so that they do not push it over the limit again.  */
#define RETURN_PERCENT 65
/* A host that uses this much is full: what it would get is unknown, and counts
   as FULL_COUNTS_PERCENT.  */
#define FULL_PERCENT 95
#define FULL_COUNTS_PERCENT 200
/* A host with a limit on its processor time cannot use this much of it, so the
   clock does not count processor time there, or the limit is not enforced.  */
#define CPU_IMPLAUSIBLE_PERCENT 150
/* Time above the limit before the first decision, in which the average comes
   close to the load.  */
#define SETTLE_MS 600
/* Address lifetimes between two changes of the level.  */
#define LIFETIMES_PER_CHANGE 2

static void
smooth (double *average, double value, double weight)
{
  *average += weight * (value - *average);
}

/* Takes USAGE into account.  The bytes of both directions count together: the
   load that this is for, prompts that cross a link of 10 Mbit/s twice, uses up
   the sum.  */
void
ds_host_load_measure (struct ds_host_load *load,
                      const struct ds_host_limits *limits,
                      const struct ds_host_usage *usage, uint64_t now_ms)
{
  double elapsed_ms = (double)(now_ms - load->measured_ms);
  double weight = elapsed_ms / (elapsed_ms + SMOOTHING_MS);
  double cpu;

  if (load->measured_ms > 0 && now_ms <= load->measured_ms)
    return;
  if (load->measured_ms > 0 && limits->cpu_share > 0)
    {
      cpu = PERCENT * (double)(usage->cpu_us - load->last.cpu_us) / 1000
            / elapsed_ms / limits->cpu_share;
      smooth (&load->cpu, cpu < CPU_IMPLAUSIBLE_PERCENT ? cpu : 0, weight);
    }
  if (load->measured_ms > 0 && limits->link_mbps > 0)
    smooth (&load->link,
            PERCENT * (double)(usage->bytes - load->last.bytes) * BITS_PER_BYTE
                / 1000 / elapsed_ms / limits->link_mbps,
            weight);
  load->connections = limits->connections > 0
                          ? PERCENT * (double)usage->connections
                                / (double)limits->connections
                          : 0;
  load->memory = usage->memory_percent;
  load->last = *usage;
  load->measured_ms = now_ms;
}

/* The utilisation in percent: that of the scarcest resource.  */
double
ds_host_load_percent (const struct ds_host_load *load)
{
  double percent = load->cpu > load->link ? load->cpu : load->link;

  if (load->connections > percent)
    percent = load->connections;
  return load->memory > percent ? load->memory : percent;
}

/* Whether a host with a utilisation of PERCENT has to give up callers.  */
bool
ds_host_load_is_over (double percent)
{
  return percent > HIGH_PERCENT;
}

/* The utilisation in percent that callers would cause if the host could carry
   it: what exceeds its capacity cannot be measured.  */
double
ds_host_load_demand (double percent)
{
  return percent >= FULL_PERCENT && percent < FULL_COUNTS_PERCENT
             ? FULL_COUNTS_PERCENT
             : percent;
}

/* Decides how many callers this host gives up, with a utilisation of PERCENT
   and addresses that callers use for LIFETIME_MS.  True if the level has
   changed.

   Load: the hosts of a zone get more bytes than their links carry, while those
   of other zones are idle.  The host decides for itself and reports the level,
   so that all hosts name the same addresses to a caller.  A caller that is
   given up leaves within an address lifetime, so the next decision waits for
   two.  */
bool
ds_host_load_update_level (struct ds_host_load *load, double percent,
                           uint64_t lifetime_ms, uint64_t now_ms)
{
  double offered = DS_LOAD_LEVELS - load->level;
  uint32_t level = load->level;

  if (!ds_host_load_is_over (percent))
    load->over_ms = 0;
  else if (load->over_ms == 0)
    load->over_ms = now_ms;
  if (load->level_ms > 0
      && now_ms - load->level_ms < LIFETIMES_PER_CHANGE * lifetime_ms)
    return false;
  if (load->over_ms > 0 && now_ms - load->over_ms < SETTLE_MS)
    return false;
  percent = ds_host_load_demand (percent);
  if (ds_host_load_is_over (percent))
    {
      level = DS_LOAD_LEVELS - (uint32_t)(offered * TARGET_PERCENT / percent);
      if (level <= load->level)
        level = load->level + 1;
      if (level >= DS_LOAD_LEVELS)
        level = DS_LOAD_LEVELS - 1;
    }
  else if (level > 0 && percent * (offered + 1) / offered < RETURN_PERCENT)
    level--;
  if (level == load->level)
    return false;
  load->level = level;
  load->level_ms = now_ms;
  return true;
}
