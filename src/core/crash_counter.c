#include "core/crash_counter.h"
#include "daisystep/error.h"

/* Requests that are remembered; those that crash upstreams are few, and most
   entries are bystanders of a crash.  */
#define ENTRIES 256
/* Upstreams that a request may crash before it is refused.  */
#define CRASHES_MAX 3
/* A request that has crashed none for so long is forgotten.  */
#define MEMORY_MS 120000
/* Crashes that wait to be told to other hosts.  */
#define NEWS 64

struct entry
{
  uint64_t digest;
  uint64_t replicas[CRASHES_MAX];
  uint32_t count;
  uint64_t last_ms;
};

struct news
{
  uint64_t digest;
  uint64_t replica;
};

struct ds_crash_counter
{
  struct entry entries[ENTRIES];
  struct news news[NEWS];
  size_t news_count;
};

/* Makes a guard that has seen nothing.  */
int
ds_crash_counter_new (struct ds_crash_counter **out, TALLOC_CTX *owner)
{
  *out = talloc_zero (owner, struct ds_crash_counter);
  return *out != NULL ? 0 : DS_ENOMEM;
}

/* The entry of DIGEST, or the one to replace by it.  */
static struct entry *
place_of (struct ds_crash_counter *guard, uint64_t digest)
{
  struct entry *oldest = &guard->entries[0];

  for (size_t i = 0; i < ENTRIES; i++)
    {
      if (guard->entries[i].count > 0 && guard->entries[i].digest == digest)
        return &guard->entries[i];
      if (guard->entries[i].last_ms < oldest->last_ms)
        oldest = &guard->entries[i];
    }
  *oldest = (struct entry){ .digest = digest };
  return oldest;
}

/* Notes that REPLICA, one life of it, ended while it ran the request; tells
   how many it has crashed.  The same crash counts once.  */
uint32_t
ds_crash_counter_record (struct ds_crash_counter *guard, uint64_t digest,
                         uint64_t replica, uint64_t now_ms)
{
  struct entry *entry = place_of (guard, digest);

  for (uint32_t i = 0; i < entry->count; i++)
    if (entry->replicas[i] == replica)
      return entry->count;
  entry->last_ms = now_ms;
  if (entry->count == CRASHES_MAX)
    return entry->count;
  entry->replicas[entry->count++] = replica;
  if (guard->news_count < NEWS)
    guard->news[guard->news_count++]
        = (struct news){ .digest = digest, .replica = replica };
  return entry->count;
}

/* True for a request that must not reach another upstream.

   Load: one caller repeats a request that ends each engine which begins to run
   it; each time the engine's other requests are lost as well.  */
bool
ds_crash_counter_is_blocked (const struct ds_crash_counter *guard,
                             uint64_t digest, uint64_t now_ms)
{
  for (size_t i = 0; i < ENTRIES; i++)
    if (guard->entries[i].count >= CRASHES_MAX
        && guard->entries[i].digest == digest)
      return now_ms - guard->entries[i].last_ms < MEMORY_MS;
  return false;
}

/* Takes a crash that other hosts have not been told; false when there is none.
 */
bool
ds_crash_counter_take_unsent (struct ds_crash_counter *guard, uint64_t *digest,
                              uint64_t *replica)
{
  if (guard->news_count == 0)
    return false;
  guard->news_count--;
  *digest = guard->news[guard->news_count].digest;
  *replica = guard->news[guard->news_count].replica;
  return true;
}
