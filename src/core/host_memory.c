#include "core/host_memory.h"

#define PERCENT 100
/* Shares of the memory limit.  Together they leave 35 % to the process itself,
   31 MB at 88 MB, the least of the users' machines; 27 MB is the most that a
   host has taken on their days, in a fleet of 295.  */
#define BODIES_PERCENT 35
#define UNSENT_PERCENT 8
#define HELD_PERCENT 6
#define HEADS_PERCENT 6
#define REQUESTS_PERCENT 10
/* A request in progress with what no other share counts: its exchange, its two
   connections, a head and a body of ordinary size and their copies.  */
#define REQUEST_BYTES 16384
/* Unsent bytes of one response: at most, and when the share is used up.  A
   response gets an eighth of what is left of the share, so that few slow
   callers cannot use it up and many cannot exceed it by much.  */
#define UNSENT_BYTES_MAX 131072
#define UNSENT_BYTES_MIN 4096
#define UNSENT_DIVISOR 8
/* Size up to which a response is held: usually, and when the share is used
   up.  */
#define HELD_BYTES_MAX 65536
#define HELD_BYTES_MIN 4096
/* Heads up to this size are always read.  */
#define ORDINARY_HEAD_BYTES 4096

static uint64_t
share_of (uint64_t bytes, uint64_t percent)
{
  return bytes * percent / PERCENT;
}

/* Divides BYTES, the memory limit of the process.  */
void
ds_host_memory_init (struct ds_host_memory *memory, uint64_t bytes)
{
  *memory = (struct ds_host_memory){
    .unsent_max = share_of (bytes, UNSENT_PERCENT),
    .held_max = share_of (bytes, HELD_PERCENT),
    .heads_max = share_of (bytes, HEADS_PERCENT),
    .requests_max
    = (size_t)(share_of (bytes, REQUESTS_PERCENT) / REQUEST_BYTES),
  };
  ds_body_pool_init (&memory->bodies, share_of (bytes, BODIES_PERCENT));
}

/* Returns how many unsent bytes of one response are allowed.  */
size_t
ds_host_memory_unsent_limit (const struct ds_host_memory *memory)
{
  uint64_t left = memory->unsent < memory->unsent_max
                      ? memory->unsent_max - memory->unsent
                      : 0;

  if (left / UNSENT_DIVISOR > UNSENT_BYTES_MAX)
    return UNSENT_BYTES_MAX;
  return left / UNSENT_DIVISOR < UNSENT_BYTES_MIN ? UNSENT_BYTES_MIN
                                                  : left / UNSENT_DIVISOR;
}

/* Returns the size up to which a response may be held until it is
   complete.  */
size_t
ds_host_memory_held_limit (const struct ds_host_memory *memory)
{
  return memory->held + HELD_BYTES_MAX <= memory->held_max ? HELD_BYTES_MAX
                                                           : HELD_BYTES_MIN;
}

/* Whether a head that takes BYTES, which are counted already, may be read
   on.  */
bool
ds_host_memory_admits_head (const struct ds_host_memory *memory,
                            uint64_t bytes)
{
  return bytes <= ORDINARY_HEAD_BYTES || memory->heads <= memory->heads_max;
}
