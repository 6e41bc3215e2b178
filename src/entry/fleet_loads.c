#include "core/host_load.h"
#include "entry/fleet_view_internal.h"
#include "io/clock.h"

/* Loads of hosts and heavy callers in datagrams and summaries.  */

/* Unit of utilisation in summaries, and the greatest number of units: with the
   level they take one byte.  */
#define PERCENT_UNIT 10
#define PERCENT_UNITS_MAX 15

/* Shares the load of this host and HEAVY, which this host updates, with the
   other hosts, from now on.  */
void
ds_fleet_view_share_loads (struct ds_fleet_view *view,
                           struct ds_heavy_callers *heavy)
{
  view->heavy = heavy;
}

/* Sets the load that this host reports: its utilisation in percent and the
   level at which it gives up callers.  */
void
ds_fleet_view_set_load (struct ds_fleet_view *view, uint32_t percent,
                        uint32_t level)
{
  view->load_percent = percent;
  view->load_level = level;
}

/* The short id of this host.  */
uint32_t
ds_fleet_view_id (const struct ds_fleet_view *view)
{
  return view->short_id;
}

/* Returns messages for the heavy callers that were reported by SOURCE or a
   closer one within the last seconds, with HOST only those at that host.  */
static Daisystep__Gossip__HeavyCaller **
make_heavy_callers (const struct ds_fleet_view *view, TALLOC_CTX *owner,
                    enum ds_heavy_source source, const uint32_t *host,
                    uint64_t now_ms, size_t *count)
{
  const struct ds_heavy_callers *heavy = view->heavy;
  Daisystep__Gossip__HeavyCaller **messages;

  *count = 0;
  if (heavy == NULL || heavy->count == 0)
    return NULL;
  messages = talloc_array (owner, Daisystep__Gossip__HeavyCaller *,
                           DS_HEAVY_CALLERS_MAX);
  for (size_t i = 0; i < heavy->count && messages != NULL; i++)
    {
      const struct ds_heavy_caller *caller = &heavy->callers[i];
      Daisystep__Gossip__HeavyCaller *message;

      if ((host != NULL && caller->host != *host)
          || !ds_heavy_caller_is_recent (caller, source, now_ms))
        continue;
      message = talloc (owner, Daisystep__Gossip__HeavyCaller);
      if (message == NULL)
        break;
      daisystep__gossip__heavy_caller__init (message);
      message->origin = caller->origin;
      message->host = caller->host;
      message->load = caller->load;
      messages[(*count)++] = message;
    }
  return messages;
}

/* Fills the load of this host.  */
void
ds_fleet_fill_load (const struct ds_fleet_view *view, TALLOC_CTX *owner,
                    Daisystep__Gossip__Datagram *datagram)
{
  Daisystep__Gossip__HostLoad *load;

  if (view->heavy == NULL)
    return;
  load = talloc (owner, Daisystep__Gossip__HostLoad);
  if (load == NULL)
    return;
  daisystep__gossip__host_load__init (load);
  load->percent = view->load_percent;
  load->level = view->load_level;
  load->heavy_callers
      = make_heavy_callers (view, owner, DS_HEAVY_DIRECT, &view->short_id,
                            ds_clock_ms (), &load->n_heavy_callers);
  datagram->load = load;
}

/* Takes over the load that MEMBER reports of itself.  */
void
ds_fleet_receive_load (struct ds_fleet_view *view,
                       struct ds_fleet_peer *member,
                       const Daisystep__Gossip__Datagram *datagram,
                       uint64_t now_ms)
{
  const Daisystep__Gossip__HostLoad *load = datagram->load;

  member->info.load_percent = load != NULL ? load->percent : 0;
  member->info.load_level
      = load != NULL && load->level < DS_LOAD_LEVELS ? load->level : 0;
  if (load == NULL || view->heavy == NULL)
    return;
  for (size_t i = 0; i < load->n_heavy_callers; i++)
    (void)ds_heavy_callers_report (
        view->heavy, load->heavy_callers[i]->origin, member->short_id,
        load->heavy_callers[i]->load, DS_HEAVY_DIRECT, now_ms);
}

/* Adds the heavy callers of the zone, or of the FLEET, to SUMMARY.  */
void
ds_fleet_fill_summary_heavy (const struct ds_fleet_view *view,
                             TALLOC_CTX *owner,
                             Daisystep__Gossip__Summary *summary, bool fleet,
                             uint64_t now_ms)
{
  summary->heavy_callers = make_heavy_callers (
      view, owner, fleet ? DS_HEAVY_ZONE : DS_HEAVY_DIRECT, NULL, now_ms,
      &summary->n_heavy_callers);
}

/* Takes over the heavy callers in SUMMARY.  Those of this host are known
   better here.  */
void
ds_fleet_receive_summary_heavy (struct ds_fleet_view *view,
                                const Daisystep__Gossip__Summary *summary,
                                uint64_t now_ms)
{
  bool fleet = summary->zone[0] == '\0';

  for (size_t i = 0; i < summary->n_heavy_callers && view->heavy != NULL; i++)
    {
      const Daisystep__Gossip__HeavyCaller *caller = summary->heavy_callers[i];

      if (caller->host != view->short_id)
        (void)ds_heavy_callers_report (
            view->heavy, caller->origin, caller->host, caller->load,
            fleet ? DS_HEAVY_FLEET : DS_HEAVY_ZONE, now_ms);
    }
}

/* The load of a host in a summary.  */
uint32_t
ds_fleet_pack_load (const struct ds_fleet_member *info)
{
  uint32_t units = info->load_percent / PERCENT_UNIT;

  if (units > PERCENT_UNITS_MAX)
    units = PERCENT_UNITS_MAX;
  return info->load_level + DS_LOAD_LEVELS * units;
}

void
ds_fleet_unpack_load (struct ds_fleet_member *info, uint32_t packed)
{
  info->load_level = packed % DS_LOAD_LEVELS;
  info->load_percent = packed / DS_LOAD_LEVELS * PERCENT_UNIT;
}
