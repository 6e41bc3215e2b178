#include "core/replica_notice.h"

/* Records that the replica said at NOW_MS that it leaves.  Returns false if it
   had said so before; the first time counts.  */
bool
ds_replica_notice_record_leaving (struct ds_replica_notice *notice,
                                  uint64_t now_ms)
{
  if (notice->leaving_ms > 0)
    return false;
  notice->leaving_ms = now_ms;
  return true;
}

/* Whether a replica that leaves may still get a request that no other replica
   can take: it serves for DRAIN_MS, and must get none after that.  */
bool
ds_replica_notice_may_serve_last (const struct ds_replica_notice *notice,
                                  uint64_t drain_ms, uint64_t now_ms)
{
  return notice->leaving_ms > 0 && now_ms - notice->leaving_ms < drain_ms;
}

static bool
is_empty (const struct ds_replica_notice *notice)
{
  return notice->leaving_ms == 0;
}

/* Keeps the NOTICE of the replica LIFETIME, if it says anything, for a later
   ds_notice_store_restore.  */
void
ds_notice_store_keep (struct ds_notice_store *store, uint64_t lifetime,
                      const struct ds_replica_notice *notice)
{
  if (is_empty (notice))
    return;
  for (size_t i = 0; i < DS_KEPT_NOTICES; i++)
    if (store->kept[i].lifetime == lifetime)
      {
        store->kept[i].notice = *notice;
        return;
      }
  store->kept[store->next] = (struct ds_kept_notice){
    .lifetime = lifetime,
    .notice = *notice,
  };
  store->next = (store->next + 1) % DS_KEPT_NOTICES;
}

/* Sets NOTICE to what was kept of the replica LIFETIME, if anything.  */
void
ds_notice_store_restore (const struct ds_notice_store *store,
                         uint64_t lifetime, struct ds_replica_notice *notice)
{
  for (size_t i = 0; i < DS_KEPT_NOTICES; i++)
    if (store->kept[i].lifetime == lifetime)
      {
        *notice = store->kept[i].notice;
        return;
      }
}
