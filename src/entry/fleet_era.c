#include "entry/fleet_view_internal.h"

/* Identifies the incarnation of MEMBER; never 0.  */
uint64_t
ds_fleet_incarnation_id (const struct ds_fleet_peer *member)
{
  return ds_str_hash (member->info.host, member->info.incarnation) | 1;
}

/* Returns what has been heard since SINCE_MS of the host whose incarnation has
   ID.  */
enum ds_reporter_state
ds_fleet_view_reporter_state (const struct ds_fleet_view *view, uint64_t id,
                              uint64_t since_ms)
{
  for (size_t i = 0; i < view->count; i++)
    {
      const struct ds_fleet_peer *member = view->members[i];

      if (ds_fleet_incarnation_id (member) != id
          || member->info.last_seen_ms <= since_ms)
        continue;
      return member->ledger_reachable ? DS_REPORTER_CONNECTED
                                      : DS_REPORTER_CUT_OFF;
    }
  return DS_REPORTER_SILENT;
}

/* Begins ERA of the store: what the revisions and ledger pages of earlier eras
   said no longer counts.  */
void
ds_fleet_view_set_store_era (struct ds_fleet_view *view, uint64_t era)
{
  view->store_era = era;
  view->departure_count = 0;
  for (int i = 0; i < DS_STORE_SUBJECTS; i++)
    {
      view->store_revisions[i] = 0;
      view->heard_revisions[i] = 0;
    }
  for (size_t i = 0; i < view->count; i++)
    {
      struct ds_fleet_token_link *link = view->members[i]->link;

      for (size_t k = 0; link != NULL && k < link->holding_count; k++)
        link->holdings[k].ledger_known = false;
    }
}

/* Takes over the era in DATAGRAM if it is newer.  Returns whether the sender
   knows the present one, so that what it has from the store counts.  */
bool
ds_fleet_receive_era (struct ds_fleet_view *view,
                      const Daisystep__Gossip__Datagram *datagram)
{
  if (datagram->store_era > view->store_era)
    view->handlers.on_store_era (datagram->store_era,
                                 view->handlers.user_data);
  return datagram->store_era == view->store_era;
}
