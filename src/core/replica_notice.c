#include "core/replica_notice.h"

/* Longest time for which a replica is left out by one answer.  The platform
   names no limit; without one, a wrong value would take the replica out of
   service for good.  One that still wants no requests costs a trial in this
   time.  */
#define HOLD_MAX_MS 600000
/* Time in which the first request after a hold has usually been answered; the
   next one is sent then at the latest.  */
#define TRIAL_MS 500

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

/* Records that the replica said at NOW_MS that it wants no requests for
   HOLD_MS.  What it said before holds as well.  Returns true unless it was
   held already.  */
bool
ds_replica_notice_record_hold (struct ds_replica_notice *notice,
                               uint64_t hold_ms, uint64_t now_ms)
{
  bool was_held = notice->held_until_ms > now_ms;
  uint64_t until_ms = now_ms + (hold_ms < HOLD_MAX_MS ? hold_ms : HOLD_MAX_MS);

  if (hold_ms == 0)
    return false;
  if (until_ms > notice->held_until_ms)
    notice->held_until_ms = until_ms;
  notice->trial_ms = 0;
  return !was_held;
}

/* Returns the time until a request may be sent, 0 for now.  After a hold one
   request is sent, and others once it is answered.  */
uint64_t
ds_replica_notice_wait_ms (const struct ds_replica_notice *notice,
                           uint64_t now_ms)
{
  if (now_ms < notice->held_until_ms)
    return notice->held_until_ms - now_ms;
  if (notice->trial_ms > 0 && now_ms < notice->trial_ms + TRIAL_MS)
    return notice->trial_ms + TRIAL_MS - now_ms;
  return 0;
}

/* Records a request, which is the trial if it follows a hold.  */
void
ds_replica_notice_record_sent (struct ds_replica_notice *notice,
                               uint64_t now_ms)
{
  if (notice->held_until_ms > 0 && now_ms >= notice->held_until_ms)
    notice->trial_ms = now_ms;
}

/* Ends a hold: the replica has answered a request that was sent at SENT_MS
   without pushing back.  Requests from before the end of the hold do not
   count.  */
void
ds_replica_notice_record_answer (struct ds_replica_notice *notice,
                                 uint64_t sent_ms)
{
  if (sent_ms < notice->held_until_ms)
    return;
  notice->held_until_ms = 0;
  notice->trial_ms = 0;
}

/* Records that the request sent at SENT_MS has ended.  If it was the trial and
   had no answer, the next request is another one.  */
void
ds_replica_notice_record_end (struct ds_replica_notice *notice,
                              uint64_t sent_ms)
{
  if (notice->trial_ms == sent_ms)
    notice->trial_ms = 0;
}

static bool
is_empty (const struct ds_replica_notice *notice)
{
  return notice->leaving_ms == 0 && notice->held_until_ms == 0;
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
