#ifndef DS_CORE_HOST_MEMORY_H
#define DS_CORE_HOST_MEMORY_H

#include "core/body_pool.h"

/* Whether slow callers hold more than their share.  */
enum ds_host_memory_excess
{
  DS_HOST_MEMORY_WITHIN,
  DS_HOST_MEMORY_ABOVE, /* callers that have been slow for long have to go */
  DS_HOST_MEMORY_FAR_ABOVE /* any caller that is behind */
};

/* Memory of a host for what its callers and replicas send, as shares of the
   limit of its machine.  The rest of the limit is for the process itself.
   UNSENT, UNREAD, HELD and HEADS are the bytes now in use, the first two with
   socket buffers.  */
struct ds_host_memory
{
  struct ds_body_pool bodies; /* request bodies above an ordinary size */
  uint64_t unsent;            /* response bytes that callers have not taken */
  uint64_t unread;            /* and that wait for them at replicas' sockets */
  uint64_t unsent_max;
  uint64_t held; /* responses and events held until they are complete */
  uint64_t held_max;
  uint64_t heads; /* request heads */
  uint64_t heads_max;
  size_t requests_max; /* in progress */
  size_t requests;
};

void ds_host_memory_init (struct ds_host_memory *memory, double mb);
size_t ds_host_memory_unsent_limit (const struct ds_host_memory *memory);
size_t ds_host_memory_held_limit (const struct ds_host_memory *memory);
size_t ds_host_memory_event_limit (const struct ds_host_memory *memory,
                                   uint64_t own, size_t most);
uint32_t ds_host_memory_socket_buffer (const struct ds_host_memory *memory);
enum ds_host_memory_excess
ds_host_memory_excess (const struct ds_host_memory *memory);
bool ds_host_memory_admits_head (const struct ds_host_memory *memory,
                                 uint64_t bytes);

#endif
