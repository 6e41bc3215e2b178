#include "entry/connection_pool.h"

/* Time without acknowledgement after which a connection fails; long
   enough for two retransmissions on a lossy link.  */
#define UNACKED_TIMEOUT_MS 700
#define KEEPALIVE_INTERVAL_S 2
/* A connection is not reused within this time before the replica closes it, so
   that no request is sent while it closes.  */
#define CLOSE_MARGIN_MS 1000
/* Idle time of a connection when the replica specifies none.  */
#define IDLE_TIMEOUT_DEFAULT_MS 4000

/* A connection to one incarnation of a replica, in use or idle.  */
struct ds_pooled_connection
{
  struct ds_connection_pool *pool;
  struct ds_http_connection *connection;
  struct ds_replica *replica;            /* referenced */
  struct ds_pooled_connection *next;     /* of the idle ones */
  struct ds_pooled_connection *next_all; /* of all of the pool */
  uint64_t usable_until_ms;
  bool reused;
  bool idle;
};

struct ds_connection_pool
{
  struct tevent_context *ev;
  struct ds_host_memory *memory;
  struct ds_pooled_connection *idle;
  struct ds_pooled_connection *all;
};

/* Creates an empty pool.  What responses hold in its sockets is counted in
   MEMORY.  */
int
ds_connection_pool_new (struct ds_connection_pool **out, TALLOC_CTX *owner,
                        struct tevent_context *ev,
                        struct ds_host_memory *memory)
{
  *out = talloc_zero (owner, struct ds_connection_pool);
  if (*out == NULL)
    return DS_ENOMEM;
  (*out)->ev = ev;
  (*out)->memory = memory;
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

/* Closes a connection, idle or in use.  */
void
ds_connection_pool_discard (struct ds_pooled_connection *pooled)
{
  struct ds_pooled_connection **at = &pooled->pool->all;

  if (pooled->idle)
    unlink_idle (pooled);
  while (*at != pooled)
    at = &(*at)->next_all;
  *at = pooled->next_all;
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
                 struct ds_connection_pool *pool, struct ds_replica *replica,
                 uint32_t connect_timeout_ms)
{
  uint32_t buffer = ds_host_memory_socket_buffer (pool->memory);
  struct ds_tcp_options options = {
    .ev = pool->ev,
    .connect_timeout_ms = connect_timeout_ms,
    .unacked_timeout_ms = UNACKED_TIMEOUT_MS,
    .keepalive_interval_s = KEEPALIVE_INTERVAL_S,
    .unread_total = &pool->memory->unread,
    .send_buffer = buffer,
    .receive_buffer = buffer,
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
  pooled->next_all = pool->all;
  pool->all = pooled;
  *out = pooled;
  return 0;
}

/* Whether a connection to REPLICA is established.  A process that crashes ends
   all of them at once.  */
bool
ds_connection_pool_has_connection (const struct ds_connection_pool *pool,
                                   const struct ds_replica *replica)
{
  for (const struct ds_pooled_connection *at = pool->all; at != NULL;
       at = at->next_all)
    if (at->replica == replica
        && ds_http_connection_is_watched (at->connection))
      return true;
  return false;
}

/* Acquires a connection to REPLICA: the most recently used idle one, or a new
   one if there is none or FRESH is set, which is given up if it is not
   established after CONNECT_TIMEOUT_MS.  Set its handlers before sending the
   request.  */
int
ds_connection_pool_acquire (struct ds_pooled_connection **out,
                            struct ds_connection_pool *pool,
                            struct ds_replica *replica, uint64_t now_ms,
                            bool fresh, uint32_t connect_timeout_ms)
{
  for (struct ds_pooled_connection *at = pool->idle; at != NULL && !fresh;
       at = at->next)
    if (at->replica == replica && at->usable_until_ms > now_ms
        && ds_http_connection_is_reusable (at->connection))
      {
        unlink_idle (at);
        ds_http_connection_set_buffers (
            at->connection, ds_host_memory_socket_buffer (pool->memory));
        at->reused = true;
        *out = at;
        return 0;
      }
  return open_connection (out, pool, replica, connect_timeout_ms);
}

/* Returns a connection to the pool after a complete response.  KEEP_ALIVE_S is
   the replica's, 0 for unspecified.  */
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

  /* A replica that leaves gets no further request, and its process waits for
     no connection.  */
  if (pooled->replica->removed || pooled->replica->notice.leaving_ms > 0
      || keep_ms <= CLOSE_MARGIN_MS
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

/* Closes idle connections that have expired or whose replica was removed.  */
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
