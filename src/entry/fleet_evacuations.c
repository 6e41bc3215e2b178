#include "daisystep/fields.h"
#include "entry/fleet_view_internal.h"

/* Exchanges evacuations with the other hosts from now on.  */
void
ds_fleet_view_set_evacuations (
    struct ds_fleet_view *view,
    const struct ds_fleet_evacuation_handlers *handlers)
{
  view->evacuations = *handlers;
}

/* Adds the evacuations that this host knows, also from other hosts: whoever is
   cut off from the store hears of them as long as they last.  */
void
ds_fleet_fill_evacuations (const struct ds_fleet_view *view, TALLOC_CTX *owner,
                           Daisystep__Gossip__Datagram *datagram)
{
  struct ds_evacuation_report reports[DS_EVACUATION_REPORTS_MAX];
  size_t count
      = view->evacuations.list != NULL
            ? view->evacuations.list (reports, view->evacuations.user_data)
            : 0;

  if (count == 0)
    return;
  datagram->evacuations = talloc_array (owner, Daisystep__Gossip__Evacuation *,
                                        DS_EVACUATION_REPORTS_MAX);
  for (size_t i = 0; i < count && datagram->evacuations != NULL; i++)
    {
      Daisystep__Gossip__Evacuation *message
          = talloc (owner, Daisystep__Gossip__Evacuation);

      if (message == NULL)
        return;
      daisystep__gossip__evacuation__init (message);
      message->zone = talloc_strndup (owner, reports[i].zone.data,
                                      reports[i].zone.length);
      message->revision = reports[i].revision;
      message->age_ms = (uint32_t)reports[i].age_ms;
      datagram->evacuations[datagram->n_evacuations++] = message;
    }
}

/* Takes the evacuations that MEMBER reported AGE_MS ago.  */
void
ds_fleet_receive_evacuations (struct ds_fleet_view *view,
                              const struct ds_fleet_peer *member,
                              const Daisystep__Gossip__Datagram *datagram,
                              uint64_t age_ms)
{
  if (view->evacuations.on_report == NULL)
    return;
  for (size_t i = 0; i < datagram->n_evacuations; i++)
    {
      struct ds_evacuation_report report = {
        .zone = ds_str_from_c (datagram->evacuations[i]->zone),
        .revision = datagram->evacuations[i]->revision,
        .age_ms = datagram->evacuations[i]->age_ms + age_ms,
      };

      if (!ds_name_is_valid (report.zone))
        continue;
      /* A host that has not read this yet asks the store soon.  */
      ds_fleet_receive_revision (view, DS_STORE_EVACUATIONS, report.revision);
      view->evacuations.on_report (&report, member->info.host,
                                   view->evacuations.user_data);
    }
}
