#include "core/body_pool.h"

/* Above the bodies of ordinary calls, 100,000 bytes at most, so that none of
   them waits behind an upload.  */
#define SMALL_BODY_BYTES_MAX 131072
/* Part of the memory that large bodies never get.  */
#define SMALL_DIVISOR 4
/* Each waiting connection holds what it has read and its socket's window.  */
#define WAITING_MAX 64

/* Prepares a pool of BYTES.  */
void
ds_body_pool_init (struct ds_body_pool *pool, uint64_t bytes)
{
  *pool = (struct ds_body_pool){
    .bytes = bytes,
    .small_bytes = bytes / SMALL_DIVISOR,
    .small_max = SMALL_BODY_BYTES_MAX,
    .waiting_max = WAITING_MAX,
  };
}

static bool
is_large (const struct ds_body_pool *pool, uint64_t bytes)
{
  return bytes > pool->small_max;
}

static struct ds_body_queue *
queue_for (struct ds_body_pool *pool, uint64_t bytes)
{
  return is_large (pool, bytes) ? &pool->large : &pool->small;
}

/* Whether SHARE may hold BYTES in all.  Small bodies that may grow keep to the
   part for small ones: what waits for more then holds nothing that a large
   body needs, so the first in the queue of large ones always gets its bytes
   once those before it have ended.  */
static bool
fits (const struct ds_body_pool *pool, const struct ds_body_share *share,
      uint64_t bytes)
{
  uint64_t others = pool->small_held + pool->large_held - share->held;

  if (others + bytes > pool->bytes)
    return false;
  if (is_large (pool, bytes))
    return pool->large_held - (is_large (pool, share->held) ? share->held : 0)
               + bytes
           <= pool->bytes - pool->small_bytes;
  return !share->grows
         || pool->growing_held - share->held + bytes <= pool->small_bytes;
}

static void
set_held (struct ds_body_pool *pool, struct ds_body_share *share,
          uint64_t bytes)
{
  if (is_large (pool, share->held))
    pool->large_held -= share->held;
  else
    {
      pool->small_held -= share->held;
      if (share->grows)
        pool->growing_held -= share->held;
    }
  share->held = bytes;
  if (is_large (pool, bytes))
    pool->large_held += bytes;
  else
    {
      pool->small_held += bytes;
      if (share->grows)
        pool->growing_held += bytes;
    }
}

/* Requests that SHARE hold BYTES in all, at least what it holds.  It waits at
   most WAIT_MS, behind earlier ones of its size class, and is refused at once
   if it can never fit or too many wait.  A share that waits keeps what it
   holds; ds_body_pool_take returns it when the wait is over.  */
enum ds_body_verdict
ds_body_pool_request (struct ds_body_pool *pool, struct ds_body_share *share,
                      uint64_t bytes, uint64_t now_ms, uint64_t wait_ms)
{
  struct ds_body_queue *queue = queue_for (pool, bytes);

  if (queue->first == NULL && fits (pool, share, bytes))
    {
      set_held (pool, share, bytes);
      return DS_BODY_ADMITTED;
    }
  if (bytes > pool->bytes - pool->small_bytes || wait_ms == 0
      || pool->waiting == pool->waiting_max)
    return DS_BODY_REFUSED;
  share->wanted = bytes;
  share->until_ms = now_ms + wait_ms;
  share->earlier = queue->last;
  share->later = NULL;
  if (queue->last != NULL)
    queue->last->later = share;
  else
    queue->first = share;
  queue->last = share;
  pool->waiting++;
  return DS_BODY_WAITS;
}

/* Removes SHARE from its queue, if it waits.  It keeps what it holds.  */
void
ds_body_pool_cancel_wait (struct ds_body_pool *pool,
                          struct ds_body_share *share)
{
  struct ds_body_queue *queue = queue_for (pool, share->wanted);

  if (share->wanted == 0)
    return;
  if (share->earlier != NULL)
    share->earlier->later = share->later;
  else
    queue->first = share->later;
  if (share->later != NULL)
    share->later->earlier = share->earlier;
  else
    queue->last = share->earlier;
  share->earlier = NULL;
  share->later = NULL;
  share->wanted = 0;
  pool->waiting--;
}

static struct ds_body_share *
find_expired (struct ds_body_queue *queue, uint64_t now_ms)
{
  for (struct ds_body_share *at = queue->first; at != NULL; at = at->later)
    if (at->until_ms <= now_ms)
      return at;
  return NULL;
}

/* Ends the wait of the next share that fits, or whose time is over, and says
   which in *VERDICT.  Null if none is due.  Call until then after each
   release.  */
struct ds_body_share *
ds_body_pool_take (struct ds_body_pool *pool, uint64_t now_ms,
                   enum ds_body_verdict *verdict)
{
  struct ds_body_queue *queues[] = { &pool->small, &pool->large };

  for (size_t i = 0; i < sizeof queues / sizeof queues[0]; i++)
    {
      struct ds_body_share *share = find_expired (queues[i], now_ms);

      if (share != NULL)
        {
          ds_body_pool_cancel_wait (pool, share);
          *verdict = DS_BODY_REFUSED;
          return share;
        }
      share = queues[i]->first;
      if (share != NULL && fits (pool, share, share->wanted))
        {
          uint64_t wanted = share->wanted;

          ds_body_pool_cancel_wait (pool, share);
          set_held (pool, share, wanted);
          *verdict = DS_BODY_ADMITTED;
          return share;
        }
    }
  return NULL;
}

/* Returns all that SHARE holds and ends its wait.  */
void
ds_body_pool_release (struct ds_body_pool *pool, struct ds_body_share *share)
{
  ds_body_pool_cancel_wait (pool, share);
  set_held (pool, share, 0);
}
