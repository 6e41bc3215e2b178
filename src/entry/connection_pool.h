#ifndef DS_ENTRY_CONNECTION_POOL_H
#define DS_ENTRY_CONNECTION_POOL_H

#include "core/host_memory.h"
#include "core/replica_set.h"
#include "io/http_connection.h"

struct ds_connection_pool;
struct ds_pooled_connection;

int ds_connection_pool_new (struct ds_connection_pool **out, TALLOC_CTX *owner,
                            struct tevent_context *ev,
                            struct ds_host_memory *memory);
int ds_connection_pool_acquire (struct ds_pooled_connection **out,
                                struct ds_connection_pool *pool,
                                struct ds_replica *replica, uint64_t now_ms,
                                bool fresh, uint32_t connect_timeout_ms);
void ds_connection_pool_release (struct ds_pooled_connection *pooled,
                                 uint64_t now_ms, uint32_t keep_alive_s);
void ds_connection_pool_discard (struct ds_pooled_connection *pooled);
bool ds_connection_pool_has_connection (const struct ds_connection_pool *pool,
                                        const struct ds_replica *replica);
void ds_connection_pool_close_expired (struct ds_connection_pool *pool,
                                       uint64_t now_ms);
struct ds_http_connection *
ds_pooled_connection_http (struct ds_pooled_connection *pooled);
bool
ds_pooled_connection_is_reused (const struct ds_pooled_connection *pooled);

#endif
