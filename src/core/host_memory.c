#include "core/host_memory.h"

#define PERCENT 100
#define BYTES_PER_MB 1048576.0
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
/* Bytes that the operating system may take for one direction of a connection.
   The most lets one caller use an idle host: 200 Mbit/s over 4 ms need 100 KB
   in flight, and the process does not run for up to 100 ms.  The least holds a
   few segments.  A connection has four such buffers, two of them for the
   response, and all responses together get half of the share at most.  */
#define SOCKET_BUFFER_MAX 262144
#define SOCKET_BUFFER_MIN 32768
#define SOCKET_BUFFER_DIVISOR 4
/* Multiple of the share beyond which any caller that is behind has to go.  */
#define FAR_ABOVE 2
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

/* Divides MB MiB, the memory limit of the machine.  */
void
ds_host_memory_init (struct ds_host_memory *memory, double mb)
{
  uint64_t bytes = (uint64_t)(mb * BYTES_PER_MB);

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
  uint64_t used = memory->unsent + memory->unread;
  uint64_t left = used < memory->unsent_max ? memory->unsent_max - used : 0;

  if (left / UNSENT_DIVISOR > UNSENT_BYTES_MAX)
    return UNSENT_BYTES_MAX;
  return left / UNSENT_DIVISOR < UNSENT_BYTES_MIN ? UNSENT_BYTES_MIN
                                                  : left / UNSENT_DIVISOR;
}

/* Returns the limit of each socket buffer of a request that begins now: what
   is fair if all requests in progress had slow callers.  A power of two, so
   that it rarely changes.

   Load: many responses of some KB and streams of small events, which fill no
   buffer; few long responses to callers on fast links; and hundreds of long
   ones to callers that read slowly.  */
uint32_t
ds_host_memory_socket_buffer (const struct ds_host_memory *memory)
{
  uint64_t fair
      = memory->unsent_max / SOCKET_BUFFER_DIVISOR / (memory->requests + 1);
  uint32_t bytes = SOCKET_BUFFER_MAX;

  while (bytes > SOCKET_BUFFER_MIN && bytes > fair)
    bytes /= 2;
  return bytes;
}

/* Whether callers have to be disconnected for what they have not taken.  */
enum ds_host_memory_excess
ds_host_memory_excess (const struct ds_host_memory *memory)
{
  uint64_t used = memory->unsent + memory->unread;

  if (used <= memory->unsent_max)
    return DS_HOST_MEMORY_WITHIN;
  return used <= FAR_ABOVE * memory->unsent_max ? DS_HOST_MEMORY_ABOVE
                                                : DS_HOST_MEMORY_FAR_ABOVE;
}

/* Returns the size up to which a response may be held until it is
   complete.  */
size_t
ds_host_memory_held_limit (const struct ds_host_memory *memory)
{
  return memory->held + HELD_BYTES_MAX <= memory->held_max ? HELD_BYTES_MAX
                                                           : HELD_BYTES_MIN;
}

/* Returns the size up to which an event of a stream may be held until it is
   complete: MOST, or as little as of a response if the share is used up.  OWN
   bytes of what is held now are of this event.

   Load: a faulty replica begins long events in all its streams and ends
   none.  */
size_t
ds_host_memory_event_limit (const struct ds_host_memory *memory, uint64_t own,
                            size_t most)
{
  size_t usual = ds_host_memory_held_limit (memory);

  if (memory->held - own + most <= memory->held_max)
    return most;
  return usual < most ? usual : most;
}

/* Whether a head that takes BYTES, which are counted already, may be read
   on.  */
bool
ds_host_memory_admits_head (const struct ds_host_memory *memory,
                            uint64_t bytes)
{
  return bytes <= ORDINARY_HEAD_BYTES || memory->heads <= memory->heads_max;
}
