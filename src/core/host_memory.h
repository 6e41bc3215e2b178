#ifndef DS_CORE_HOST_MEMORY_H
#define DS_CORE_HOST_MEMORY_H

#include "core/body_pool.h"

/* Memory of a host for what its callers and replicas send, as shares of the
   limit of its process.  The rest of the limit is for the process itself.
   UNSENT, HELD and HEADS are the bytes now in use.  */
struct ds_host_memory
{
  struct ds_body_pool bodies; /* request bodies above an ordinary size */
  uint64_t unsent;            /* response bytes that callers have not taken */
  uint64_t unsent_max;
  uint64_t held; /* responses held until they are complete */
  uint64_t held_max;
  uint64_t heads; /* request heads */
  uint64_t heads_max;
  size_t requests_max; /* in progress */
};

void ds_host_memory_init (struct ds_host_memory *memory, uint64_t bytes);
size_t ds_host_memory_unsent_limit (const struct ds_host_memory *memory);
size_t ds_host_memory_held_limit (const struct ds_host_memory *memory);
bool ds_host_memory_admits_head (const struct ds_host_memory *memory,
                                 uint64_t bytes);

#endif
