#ifndef DS_CORE_BODY_POOL_H
#define DS_CORE_BODY_POOL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Outcome of a request for memory.  */
enum ds_body_verdict
{
  DS_BODY_ADMITTED,
  DS_BODY_WAITS,
  DS_BODY_REFUSED
};

/* What one request body holds, and what it waits for.  Start with all members
   0, but for USER_DATA.  */
struct ds_body_share
{
  uint64_t held;     /* bytes */
  uint64_t wanted;   /* bytes in all; 0 unless it waits */
  uint64_t until_ms; /* end of the wait */
  bool grows;        /* the length of the body is not known */
  struct ds_body_share *earlier;
  struct ds_body_share *later;
  void *user_data;
};

struct ds_body_queue
{
  struct ds_body_share *first;
  struct ds_body_share *last;
};

/* The memory of a host for request bodies.  Bodies above SMALL_MAX are large;
   they get BYTES less SMALL_BYTES at most.  */
struct ds_body_pool
{
  uint64_t bytes;
  uint64_t small_bytes;
  uint64_t small_max;
  uint64_t large_held;
  uint64_t small_held;
  uint64_t growing_held; /* by small bodies that may grow */
  size_t waiting;
  size_t waiting_max;
  struct ds_body_queue small;
  struct ds_body_queue large;
};

void ds_body_pool_init (struct ds_body_pool *pool, uint64_t bytes);
enum ds_body_verdict ds_body_pool_request (struct ds_body_pool *pool,
                                           struct ds_body_share *share,
                                           uint64_t bytes, uint64_t now_ms,
                                           uint64_t wait_ms);
struct ds_body_share *ds_body_pool_take (struct ds_body_pool *pool,
                                         uint64_t now_ms,
                                         enum ds_body_verdict *verdict);
void ds_body_pool_cancel_wait (struct ds_body_pool *pool,
                               struct ds_body_share *share);
void ds_body_pool_release (struct ds_body_pool *pool,
                           struct ds_body_share *share);

#endif
