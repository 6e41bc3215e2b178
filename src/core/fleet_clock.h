#ifndef DS_CORE_FLEET_CLOCK_H
#define DS_CORE_FLEET_CLOCK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Clocks of other hosts that are kept; in a larger fleet, the latest.  */
#define DS_FLEET_CLOCK_SAMPLES 32

/* The clock of another host, as the difference to the monotonic clock of this
   one: its own wall-clock time, and the median that it has of the clocks it
   hears, or the same again.  */
struct ds_clock_sample
{
  uint64_t host; /* hash */
  int64_t wall;
  int64_t median;
  uint64_t received_ms;
};

/* The time of the fleet: the median of the wall clocks that this host
   receives, its own included.  Clocks of some hosts may be wrong by seconds.
 */
struct ds_fleet_clock
{
  struct ds_clock_sample samples[DS_FLEET_CLOCK_SAMPLES];
  size_t count;
  int64_t own;          /* own wall clock less the monotonic one */
  uint64_t observed_ms; /* when OWN was read; 0 for never */
  uint64_t trusted_ms;  /* samples received before are not used */
};

/* The newest known incarnation of a host, or this process itself, and the
   monotonic time at which it is known to have run first.  */
struct ds_successor
{
  uint64_t incarnation;
  uint64_t since_ms;
  bool is_self;
};

void ds_fleet_clock_observe (struct ds_fleet_clock *clock, uint64_t wall_ms,
                             uint64_t now_ms);
void ds_fleet_clock_receive (struct ds_fleet_clock *clock, uint64_t host,
                             uint64_t wall_ms, uint64_t median_ms,
                             uint64_t now_ms);
uint64_t ds_fleet_clock_report (const struct ds_fleet_clock *clock,
                                uint64_t now_ms);
uint64_t ds_fleet_clock_earliest (const struct ds_fleet_clock *clock,
                                  uint64_t now_ms);
uint64_t ds_fleet_clock_latest (const struct ds_fleet_clock *clock,
                                uint64_t since_ms, uint64_t now_ms);
bool ds_fleet_clock_writer_end (const struct ds_fleet_clock *clock,
                                uint64_t *end_ms, uint64_t incarnation,
                                const struct ds_successor *successor,
                                uint64_t now_ms);

#endif
