#ifndef DS_ENTRY_REPLICA_POOL_H
#define DS_ENTRY_REPLICA_POOL_H

#include "core/replica_set.h"
#include "io/http_connection.h"

struct ds_replica_pool;
struct ds_pooled;

int ds_replica_pool_new (struct ds_replica_pool **out, TALLOC_CTX *owner,
                         struct tevent_context *ev);
int ds_replica_pool_take (struct ds_pooled **out, struct ds_replica_pool *pool,
                          struct ds_replica *replica, uint64_t now_ms,
                          bool fresh);
void ds_replica_pool_put (struct ds_pooled *pooled, uint64_t now_ms,
                          uint32_t keep_alive_s);
void ds_replica_pool_discard (struct ds_pooled *pooled);
void ds_replica_pool_sweep (struct ds_replica_pool *pool, uint64_t now_ms);
struct ds_http_connection *ds_pooled_connection (struct ds_pooled *pooled);
bool ds_pooled_is_reused (const struct ds_pooled *pooled);

#endif
