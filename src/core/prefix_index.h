#ifndef DS_CORE_PREFIX_INDEX_H
#define DS_CORE_PREFIX_INDEX_H

#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/* Maps a prompt prefix to the upstream it was last sent to; the least recently
   used digests are evicted.  */
struct ds_prefix_index;

int ds_prefix_index_new (struct ds_prefix_index **out, TALLOC_CTX *owner,
                         size_t entries);
void ds_prefix_index_put (struct ds_prefix_index *index, uint64_t digest,
                          void *upstream);
void *ds_prefix_index_get (const struct ds_prefix_index *index,
                           uint64_t digest);

#endif
