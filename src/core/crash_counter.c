#include "core/crash_counter.h"
#include "daisystep/error.h"

/* Few requests crash replicas; most entries are requests that merely ran on a
   replica that crashed.  */
#define ENTRIES 256
/* Crashes after which a request is refused.  */
#define CRASHES_MAX 3
/* A request is refused until this long after its last crash.  */
#define BLOCK_DURATION_MS 120000
/* Crashes queued for other hosts.  */
#define UNSENT_MAX 64

struct entry
{
  uint64_t digest;
  uint64_t replicas[CRASHES_MAX];
  uint32_t count;
  uint64_t last_crash_ms;
};

struct unsent_crash
{
  uint64_t digest;
  uint64_t replica;
};

struct ds_crash_counter
{
  struct entry entries[ENTRIES];
  struct unsent_crash unsent[UNSENT_MAX];
  size_t unsent_count;
};

/* Creates an empty counter.  Returns 0 or DS_ENOMEM.  */
int
ds_crash_counter_new (struct ds_crash_counter **out, TALLOC_CTX *owner)
{
  *out = talloc_zero (owner, struct ds_crash_counter);
  return *out != NULL ? 0 : DS_ENOMEM;
}

/* Returns the entry of DIGEST, which replaces the oldest entry if it is
   new.  */
static struct entry *
find_or_replace (struct ds_crash_counter *counter, uint64_t digest)
{
  struct entry *oldest = &counter->entries[0];

  for (size_t i = 0; i < ENTRIES; i++)
    {
      if (counter->entries[i].count > 0
          && counter->entries[i].digest == digest)
        return &counter->entries[i];
      if (counter->entries[i].last_crash_ms < oldest->last_crash_ms)
        oldest = &counter->entries[i];
    }
  *oldest = (struct entry){ .digest = digest };
  return oldest;
}

/* Records that REPLICA, one incarnation, crashed while it ran the request.
   Returns the number of crashes of the request; the same crash counts
   once.  */
uint32_t
ds_crash_counter_record (struct ds_crash_counter *counter, uint64_t digest,
                         uint64_t replica, uint64_t now_ms)
{
  struct entry *entry = find_or_replace (counter, digest);

  for (uint32_t i = 0; i < entry->count; i++)
    if (entry->replicas[i] == replica)
      return entry->count;
  entry->last_crash_ms = now_ms;
  if (entry->count == CRASHES_MAX)
    return entry->count;
  entry->replicas[entry->count++] = replica;
  if (counter->unsent_count < UNSENT_MAX)
    counter->unsent[counter->unsent_count++]
        = (struct unsent_crash){ .digest = digest, .replica = replica };
  return entry->count;
}

/* Whether the request must be refused.

   A caller may repeat a request that crashes every engine it runs on; each
   crash also aborts the other requests on that engine.  */
bool
ds_crash_counter_is_blocked (const struct ds_crash_counter *counter,
                             uint64_t digest, uint64_t now_ms)
{
  for (size_t i = 0; i < ENTRIES; i++)
    if (counter->entries[i].count >= CRASHES_MAX
        && counter->entries[i].digest == digest)
      return now_ms - counter->entries[i].last_crash_ms < BLOCK_DURATION_MS;
  return false;
}

/* Removes one crash that has not been sent to other hosts yet and stores it in
   DIGEST and REPLICA; returns false if there is none.  */
bool
ds_crash_counter_take_unsent (struct ds_crash_counter *counter,
                              uint64_t *digest, uint64_t *replica)
{
  if (counter->unsent_count == 0)
    return false;
  counter->unsent_count--;
  *digest = counter->unsent[counter->unsent_count].digest;
  *replica = counter->unsent[counter->unsent_count].replica;
  return true;
}
