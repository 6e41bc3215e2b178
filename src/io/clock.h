#ifndef DS_IO_CLOCK_H
#define DS_IO_CLOCK_H

#include <stdint.h>
#include <time.h>

/* Milliseconds of the monotonic clock.  */
static inline uint64_t
ds_clock_ms (void)
{
  struct timespec now;

  (void)clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

/* Milliseconds of the wall clock, which may be set.  */
static inline uint64_t
ds_clock_wall_ms (void)
{
  struct timespec now;

  (void)clock_gettime (CLOCK_REALTIME, &now);
  return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

#endif
