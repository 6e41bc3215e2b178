#include "entry/connection_pool.h"

/* A replica answers an attempt to connect within some milliseconds; a dark one
   never does, and the request can go elsewhere since nothing was sent.  */
#define CONNECT_TIMEOUT_MS 250
/* Bytes that a replica's machine leaves unacknowledged for so long have met a
   dead path; long enough for two retransmissions on a lossy link.  */
#define UNACKED_TIMEOUT_MS 700
#define KEEPALIVE_INTERVAL_S 2
/* A connection is not reused within this time before the replica closes it,
   so that a request does not cross the close.  */
#define CLOSE_MARGIN_MS 1000
/* Time that a connection is kept idle when the replica says none.  */
#define IDLE_TIMEOUT_DEFAULT_MS 4000

/* A connection to one life of a replica, in use or idle.  */
struct ds_pooled_connection
{
  struct ds_connection_pool *pool;
  struct ds_http_connection *connection;
  struct ds_replica *replica; /* referenced */
  struct ds_pooled_connection *next;
  uint64_t usable_until_ms;
  bool reused;
  bool idle;
};

struct ds_connection_pool
{
  struct tevent_context *ev;
  struct ds_pooled_connection *idle;
};

/* Makes an empty pool.  */
int
ds_connection_pool_new (struct ds_connection_pool **out, TALLOC_CTX *owner,
                        struct tevent_context *ev)
{
  *out = talloc_zero (owner, struct ds_connection_pool);
  if (*out == NULL)
    return DS_ENOMEM;
  (*out)->ev = ev;
  return 0;
}

static void
unlink_idle (struct ds_pooled_connection *pooled)
{
  struct ds_pooled_connection **at = &pooled->pool->idle;

  while (*at != NULL && *at != pooled)
    at = &(*at)->next;
  if (*at == pooled)
    *at = pooled->next;
  pooled->idle = false;
}

/* Closes a connection whether it is idle or in use.  */
void
ds_connection_pool_discard (struct ds_pooled_connection *pooled)
{
  if (pooled->idle)
    unlink_idle (pooled);
  ds_http_connection_free (pooled->connection);
  talloc_free (pooled);
}

static void
on_idle_close (void *user_data)
{
  ds_connection_pool_discard (user_data);
}

static int
open_connection (struct ds_pooled_connection **out,
                 struct ds_connection_pool *pool, struct ds_replica *replica)
{
  struct ds_tcp_options options = {
    .ev = pool->ev,
    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
    .unacked_timeout_ms = UNACKED_TIMEOUT_MS,
    .keepalive_interval_s = KEEPALIVE_INTERVAL_S,
  };
  struct ds_socket_address address;
  struct ds_pooled_connection *pooled;

  if (ds_socket_address_parse (&address, replica->record.address) != 0)
    return DS_EINVAL;
  pooled = talloc_zero (pool, struct ds_pooled_connection);
  if (pooled == NULL)
    return DS_ENOMEM;
  pooled->pool = pool;
  pooled->replica = talloc_reference (pooled, replica);
  if (pooled->replica == NULL
      || ds_http_connection_open (&pooled->connection, pool, &options,
                                  &address)
             != 0)
    {
      talloc_free (pooled);
      return DS_EIO;
    }
  *out = pooled;
  return 0;
}

/* Gives a connection to REPLICA: the one that was idle last, or a new one when
   there is none or FRESH asks for it.  Set its handlers before the request.
 */
int
ds_connection_pool_acquire (struct ds_pooled_connection **out,
                            struct ds_connection_pool *pool,
                            struct ds_replica *replica, uint64_t now_ms,
                            bool fresh)
{
  for (struct ds_pooled_connection *at = pool->idle; at != NULL && !fresh;
       at = at->next)
    if (at->replica == replica && at->usable_until_ms > now_ms
        && ds_http_connection_is_reusable (at->connection))
      {
        unlink_idle (at);
        at->reused = true;
        *out = at;
        return 0;
      }
  return open_connection (out, pool, replica);
}

/* Takes a connection back after a whole answer.  KEEP_ALIVE_S is what the
   replica said, 0 for nothing.  */
void
ds_connection_pool_release (struct ds_pooled_connection *pooled,
                            uint64_t now_ms, uint32_t keep_alive_s)
{
  struct ds_http_connection_handlers handlers = {
    .on_idle_close = on_idle_close,
    .user_data = pooled,
  };
  uint64_t keep_ms = keep_alive_s > 0 ? (uint64_t)keep_alive_s * 1000
                                      : IDLE_TIMEOUT_DEFAULT_MS;

  if (pooled->replica->removed || keep_ms <= CLOSE_MARGIN_MS
      || !ds_http_connection_is_reusable (pooled->connection))
    {
      ds_connection_pool_discard (pooled);
      return;
    }
  ds_http_connection_set_handlers (pooled->connection, &handlers);
  pooled->usable_until_ms = now_ms + keep_ms - CLOSE_MARGIN_MS;
  pooled->next = pooled->pool->idle;
  pooled->pool->idle = pooled;
  pooled->idle = true;
}

/* Closes idle connections that are not to be used any more.  */
void
ds_connection_pool_close_expired (struct ds_connection_pool *pool,
                                  uint64_t now_ms)
{
  struct ds_pooled_connection *next;

  for (struct ds_pooled_connection *at = pool->idle; at != NULL; at = next)
    {
      next = at->next;
      if (at->usable_until_ms <= now_ms || at->replica->removed)
        ds_connection_pool_discard (at);
    }
}

struct ds_http_connection *
ds_pooled_connection_http (struct ds_pooled_connection *pooled)
{
  return pooled->connection;
}

/* True if the connection has carried a request before.  */
bool
ds_pooled_connection_is_reused (const struct ds_pooled_connection *pooled)
{
  return pooled->reused;
}
