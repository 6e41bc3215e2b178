#include "core/prefix_index.h"
#include "daisystep/error.h"

/* Slots that one digest may use.  */
#define WAYS 4

struct slot
{
  uint64_t digest;
  void *upstream;
  uint64_t used;
};

struct ds_prefix_index
{
  struct slot *slots;
  size_t set_count;
  uint64_t uses;
};

static struct slot *
set_of (const struct ds_prefix_index *index, uint64_t digest)
{
  return &index->slots[(digest & (index->set_count - 1)) * WAYS];
}

/* Creates an index with a capacity of at least ENTRIES digests.  Returns 0 or
   DS_ENOMEM.  */
int
ds_prefix_index_new (struct ds_prefix_index **out, TALLOC_CTX *owner,
                     size_t entries)
{
  struct ds_prefix_index *index = talloc_zero (owner, struct ds_prefix_index);

  if (index == NULL)
    return DS_ENOMEM;
  index->set_count = 1;
  while (index->set_count * WAYS < entries)
    index->set_count *= 2;
  index->slots
      = talloc_zero_array (index, struct slot, index->set_count * WAYS);
  if (index->slots == NULL)
    {
      talloc_free (index);
      return DS_ENOMEM;
    }
  *out = index;
  return 0;
}

/* Records that DIGEST was sent to UPSTREAM and evicts the least recently used
   digest of its set if the set is full.  */
void
ds_prefix_index_put (struct ds_prefix_index *index, uint64_t digest,
                     void *upstream)
{
  struct slot *set = set_of (index, digest);
  struct slot *chosen = &set[0];

  for (size_t i = 0; i < WAYS; i++)
    {
      if (set[i].upstream != NULL && set[i].digest == digest)
        {
          chosen = &set[i];
          break;
        }
      if (set[i].used < chosen->used)
        chosen = &set[i];
    }
  *chosen = (struct slot){ .digest = digest,
                           .upstream = upstream,
                           .used = ++index->uses };
}

/* Returns the upstream last recorded for DIGEST, or null.  */
void *
ds_prefix_index_get (const struct ds_prefix_index *index, uint64_t digest)
{
  const struct slot *set = set_of (index, digest);

  for (size_t i = 0; i < WAYS; i++)
    if (set[i].upstream != NULL && set[i].digest == digest)
      return set[i].upstream;
  return NULL;
}
