#include "core/placement.h"
#include "entry/fleet_view_internal.h"
#include "io/clock.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* Times that a host sends a part towards the relays; tolerates the loss of one
   datagram.  Each of the two relays of a zone sends it to each host once.  */
#define PART_SENDS_WITH_RELAYS ((size_t)2)

/* A datagram that waited longer says a time that is past.  */
#define CLOCK_AGE_MAX_MS 500

static char *
c_string (TALLOC_CTX *owner, struct ds_str text)
{
  return talloc_strndup (owner, text.data, text.length);
}

/* Fills the fields common to all datagrams.  */
void
ds_fleet_fill_self (struct ds_fleet_view *view, TALLOC_CTX *owner,
                    Daisystep__Gossip__Datagram *datagram)
{
  daisystep__gossip__datagram__init (datagram);
  datagram->host = c_string (owner, view->self.host);
  datagram->incarnation = view->self.incarnation;
  datagram->zone = c_string (owner, view->self.zone);
  datagram->region = c_string (owner, view->self.region);
  datagram->caller_address = c_string (owner, view->self.caller_address);
  datagram->gossip_address = c_string (owner, view->self.gossip_address);
  datagram->capacity = view->self.capacity;
  datagram->draining = view->draining;
  datagram->ready = view->ready;
  datagram->sequence = ++view->sequence;
  datagram->ledger_near = view->ledger_reachable;
  datagram->strained = view->strained;
  datagram->wall_ms = ds_clock_wall_ms ();
  datagram->median_wall_ms
      = ds_fleet_clock_report (&view->clock, ds_clock_ms ());
  ds_fleet_fill_load (view, owner, datagram);
  datagram->config_revision = view->store_revisions[DS_STORE_CONFIG];
  datagram->replica_revision = view->store_revisions[DS_STORE_REPLICAS];
  datagram->evacuation_revision = view->store_revisions[DS_STORE_EVACUATIONS];
  datagram->store_era = view->store_era;
}

/* Adds HOLDING to DATAGRAM, which has room for DS_HOLDINGS_MAX.  */
void
ds_fleet_add_holding (TALLOC_CTX *owner, Daisystep__Gossip__Datagram *datagram,
                      const struct ds_token_holding *holding)
{
  Daisystep__Gossip__TokenHolding *message
      = talloc (owner, Daisystep__Gossip__TokenHolding);

  if (datagram->holdings == NULL)
    datagram->holdings = talloc_array (
        owner, Daisystep__Gossip__TokenHolding *, DS_HOLDINGS_MAX);
  if (message == NULL || datagram->holdings == NULL)
    return;
  daisystep__gossip__token_holding__init (message);
  message->workspace = holding->workspace;
  message->tokens = holding->tokens;
  message->demand = holding->demand;
  message->known = holding->ledger_known;
  message->rest = holding->ledger_ungranted;
  message->settled = holding->ledger_settled;
  message->ledger_away = holding->ledger_away;
  datagram->holdings[datagram->n_holdings++] = message;
}

static void
fill_holdings (struct ds_fleet_view *view, TALLOC_CTX *owner,
               Daisystep__Gossip__Datagram *datagram)
{
  struct ds_token_holding holdings[DS_HOLDINGS_MAX];
  size_t count
      = view->handlers.list_holdings (holdings, view->handlers.user_data);

  for (size_t i = 0; i < count; i++)
    ds_fleet_add_holding (owner, datagram, &holdings[i]);
}

static int
compare_loads (const void *a, const void *b)
{
  const Daisystep__Gossip__ReplicaLoad *const *left = a;
  const Daisystep__Gossip__ReplicaLoad *const *right = b;

  if ((*left)->prefill_tokens != (*right)->prefill_tokens)
    return (*left)->prefill_tokens < (*right)->prefill_tokens ? 1 : -1;
  return (int)(*right)->running - (int)(*left)->running;
}

static void
fill_loads (struct ds_fleet_view *view, TALLOC_CTX *owner,
            Daisystep__Gossip__Datagram *datagram)
{
  size_t count = ds_replica_set_count (view->replicas);
  Daisystep__Gossip__ReplicaLoad **loads = talloc_array (
      owner, Daisystep__Gossip__ReplicaLoad *, (unsigned)count + 1);
  size_t used = 0;

  for (size_t i = 0; i < count && loads != NULL; i++)
    {
      struct ds_replica *replica = ds_replica_set_at (view->replicas, i);

      replica->reported_load = replica->local_load;
      if (replica->local_load.running == 0)
        continue;
      loads[used] = talloc (loads, Daisystep__Gossip__ReplicaLoad);
      daisystep__gossip__replica_load__init (loads[used]);
      loads[used]->replica = replica->hash;
      loads[used]->running = replica->local_load.running;
      loads[used]->prefill_tokens = replica->local_load.prefill_tokens;
      if (replica->capacity != NULL)
        loads[used]->memory_tokens = replica->local_load.memory_tokens;
      used++;
    }
  if (used > LOADS_PER_DATAGRAM_MAX)
    {
      qsort (loads, used, sizeof (Daisystep__Gossip__ReplicaLoad *),
             compare_loads);
      used = LOADS_PER_DATAGRAM_MAX;
    }
  datagram->loads = loads;
  datagram->n_loads = used;
}

static Daisystep__Gossip__Suspect *
make_suspect (TALLOC_CTX *owner, const struct ds_suspect_report *report)
{
  Daisystep__Gossip__Suspect *suspect
      = talloc (owner, Daisystep__Gossip__Suspect);
  unsigned count = (unsigned)report->crash_count;

  if (suspect == NULL)
    return NULL;
  daisystep__gossip__suspect__init (suspect);
  suspect->key = report->key.hash;
  suspect->is_part = report->key.kind == DS_SUSPECT_PART;
  suspect->cleared = report->cleared;
  suspect->cleared_age_ms = (uint32_t)report->cleared_age_ms;
  suspect->replicas = talloc_array (suspect, uint64_t, count);
  suspect->hosts = talloc_array (suspect, uint32_t, count);
  suspect->ages_ms = talloc_array (suspect, uint32_t, count);
  if (suspect->replicas == NULL || suspect->hosts == NULL
      || suspect->ages_ms == NULL)
    return NULL;
  for (unsigned i = 0; i < count; i++)
    {
      suspect->replicas[i] = report->crashes[i].replica;
      suspect->hosts[i] = report->crashes[i].host;
      suspect->ages_ms[i] = (uint32_t)report->crashes[i].age_ms;
    }
  suspect->n_replicas = count;
  suspect->n_hosts = count;
  suspect->n_ages_ms = count;
  return suspect;
}

/* Adds what may crash replicas: what this host knows of it, also from other
   hosts.  */
void
ds_fleet_fill_suspects (struct ds_fleet_view *view, TALLOC_CTX *owner,
                        Daisystep__Gossip__Datagram *datagram)
{
  struct ds_suspect_report reports[SUSPECTS_PER_DATAGRAM_MAX];
  size_t count = ds_crash_suspects_take_reports (
      view->suspects, reports, SUSPECTS_PER_DATAGRAM_MAX, ds_clock_ms ());

  datagram->suspects = talloc_array (owner, Daisystep__Gossip__Suspect *,
                                     SUSPECTS_PER_DATAGRAM_MAX);
  for (size_t i = 0; i < count && datagram->suspects != NULL; i++)
    {
      Daisystep__Gossip__Suspect *suspect = make_suspect (owner, &reports[i]);

      if (suspect != NULL)
        datagram->suspects[datagram->n_suspects++] = suspect;
    }
}

static void
receive_suspects (struct ds_fleet_view *view,
                  const struct ds_fleet_peer *member,
                  const Daisystep__Gossip__Datagram *datagram, uint64_t now_ms)
{
  for (size_t i = 0; i < datagram->n_suspects; i++)
    {
      const Daisystep__Gossip__Suspect *suspect = datagram->suspects[i];
      struct ds_suspect_report report = {
        .key
        = { .kind = suspect->is_part ? DS_SUSPECT_PART : DS_SUSPECT_REQUEST,
            .hash = suspect->key },
        .cleared = suspect->cleared,
        .cleared_age_ms = suspect->cleared_age_ms,
      };
      enum ds_suspect_change change;

      if (suspect->n_replicas != suspect->n_hosts
          || suspect->n_replicas != suspect->n_ages_ms)
        continue;
      for (size_t k = 0; k < suspect->n_replicas && k < DS_SUSPECT_CRASHES_MAX;
           k++)
        report.crashes[report.crash_count++] = (struct ds_suspect_crash){
          .replica = suspect->replicas[k],
          .host = suspect->hosts[k],
          .age_ms = suspect->ages_ms[k],
        };
      change = ds_crash_suspects_merge (view->suspects, &report, now_ms);
      if (change != DS_SUSPECT_UNCHANGED)
        view->handlers.on_suspect (report.key, change, member->info.host,
                                   view->handlers.user_data);
    }
}

/* Announces that a replica leaves, so that hosts whose watch is slow or cut
   off stop using it as well.  */
void
ds_fleet_view_announce_departure (struct ds_fleet_view *view,
                                  const struct ds_departure *departure)
{
  struct ds_fleet_departure announced
      = { .departure = *departure, .sends_left = DEPARTURE_SENDS };

  for (size_t i = 0; i < view->departure_count; i++)
    if (view->departures[i].departure.replica == departure->replica)
      {
        if (view->departures[i].departure.revision < departure->revision)
          view->departures[i] = announced;
        return;
      }
  if (view->departure_count < PENDING_DEPARTURES_MAX)
    view->departures[view->departure_count++] = announced;
}

/* Returns the departures to send with a datagram and stores their number in
   COUNT.  */
Daisystep__Gossip__Departure **
ds_fleet_take_departures (struct ds_fleet_view *view, TALLOC_CTX *owner,
                          size_t *count)
{
  Daisystep__Gossip__Departure **messages = talloc_array (
      owner, Daisystep__Gossip__Departure *, PENDING_DEPARTURES_MAX);
  size_t kept = 0;

  *count = 0;
  for (size_t i = 0; i < view->departure_count && messages != NULL; i++)
    {
      struct ds_fleet_departure announced = view->departures[i];
      Daisystep__Gossip__Departure *message
          = talloc (messages, Daisystep__Gossip__Departure);

      if (message == NULL)
        break;
      daisystep__gossip__departure__init (message);
      message->replica = announced.departure.replica;
      message->revision = announced.departure.revision;
      message->gone = announced.departure.gone;
      messages[(*count)++] = message;
      if (--announced.sends_left > 0)
        view->departures[kept++] = announced;
    }
  if (messages != NULL)
    view->departure_count = kept;
  return messages;
}

/* Notes that another host has had REVISION of SUBJECT from the store.  */
void
ds_fleet_receive_revision (struct ds_fleet_view *view,
                           enum ds_store_subject subject, uint64_t revision)
{
  if (revision > view->heard_revisions[subject])
    view->heard_revisions[subject] = revision;
}

/* Takes the departures that MEMBER reports, and passes on what is news.  */
void
ds_fleet_receive_departures (struct ds_fleet_view *view,
                             const struct ds_fleet_peer *member,
                             Daisystep__Gossip__Departure *const *departures,
                             size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      struct ds_departure departure = {
        .replica = departures[i]->replica,
        .revision = departures[i]->revision,
        .gone = departures[i]->gone,
      };

      /* A host that has not read this yet asks the store soon.  */
      ds_fleet_receive_revision (view, DS_STORE_REPLICAS, departure.revision);
      if (view->handlers.on_departure (&departure, member->info.host,
                                       view->handlers.user_data))
        ds_fleet_view_announce_departure (view, &departure);
    }
}

static void
remove_announced_parts (struct ds_fleet_view *view)
{
  size_t kept = 0;

  for (size_t i = 0; i < view->cached_part_count; i++)
    if (view->cached_parts[i].sends_left > 0
        || (view->relay_rank >= 0 && view->cached_parts[i].downlinks_left > 0))
      view->cached_parts[kept++] = view->cached_parts[i];
  view->cached_part_count = kept;
}

/* Adds the prompt parts that some hosts have not been sent yet.

   Load: 73 hosts send prompts that share 200 parts.  If a part is announced to
   the hosts of one interval only, the others make further replicas prefill it
   again.  */
static void
fill_cached_parts (struct ds_fleet_view *view, TALLOC_CTX *owner,
                   Daisystep__Gossip__Datagram *datagram)
{
  datagram->reads = talloc_array (owner, Daisystep__Gossip__PartRead *,
                                  PARTS_PER_DATAGRAM_MAX);
  for (size_t i = 0; i < view->cached_part_count && datagram->reads != NULL
                     && datagram->n_reads < PARTS_PER_DATAGRAM_MAX;
       i++)
    {
      Daisystep__Gossip__PartRead *read;

      if (view->cached_parts[i].sends_left == 0)
        continue;
      read = talloc (owner, Daisystep__Gossip__PartRead);
      daisystep__gossip__part_read__init (read);
      read->replica = view->cached_parts[i].replica;
      read->part = view->cached_parts[i].part;
      datagram->reads[datagram->n_reads++] = read;
      view->cached_parts[i].sends_left--;
    }
  remove_announced_parts (view);
}

/* Fills the loads that this host puts on the replicas and, without relays,
   what it holds of the budgets.  */
void
ds_fleet_fill_reports (struct ds_fleet_view *view, TALLOC_CTX *owner,
                       Daisystep__Gossip__Datagram *datagram)
{
  ds_fleet_fill_self (view, owner, datagram);
  fill_loads (view, owner, datagram);
  datagram->capacities = ds_fleet_take_capacities (
      view, owner, DS_CAPACITY_OWN, &datagram->n_capacities);
  if (!ds_gossip_uses_relays (view->count))
    fill_holdings (view, owner, datagram);
}

/* Fills this host's reports and its announcements of causes of crashes and of
   cached parts.  */
void
ds_fleet_fill_state (struct ds_fleet_view *view, TALLOC_CTX *owner,
                     Daisystep__Gossip__Datagram *datagram)
{
  ds_fleet_fill_reports (view, owner, datagram);
  ds_fleet_fill_suspects (view, owner, datagram);
  ds_fleet_fill_evacuations (view, owner, datagram);
  fill_cached_parts (view, owner, datagram);
  datagram->departures
      = ds_fleet_take_departures (view, owner, &datagram->n_departures);
}

/* Adds transfers and acknowledgements for MEMBER.  */
static void
fill_transfers (struct ds_fleet_peer *member, TALLOC_CTX *owner,
                Daisystep__Gossip__Datagram *datagram)
{
  struct ds_fleet_token_link *link = member->link;

  datagram->n_transfers = 0;
  datagram->n_transfer_acks = 0;
  datagram->to_incarnation = member->info.incarnation;
  datagram->hello = link != NULL && link->transfer_count > 0
                    && member->info.incarnation == 0;
  if (link == NULL)
    return;
  datagram->transfer_acks = link->acks;
  datagram->n_transfer_acks = link->ack_count;
  if (datagram->hello)
    return;
  datagram->transfers = talloc_array (
      owner, Daisystep__Gossip__TokenTransfer *, TRANSFERS_MAX);
  for (size_t i = 0; i < link->transfer_count && datagram->transfers != NULL;
       i++)
    {
      const struct ds_fleet_transfer *pending = &link->transfers[i];
      Daisystep__Gossip__TokenTransfer *transfer
          = talloc (owner, Daisystep__Gossip__TokenTransfer);

      daisystep__gossip__token_transfer__init (transfer);
      transfer->number = pending->number;
      transfer->workspace = c_string (owner, pending->workspace);
      transfer->tokens = pending->content.tokens;
      transfer->spent = pending->content.spent;
      transfer->limit = pending->content.limit;
      transfer->version = pending->content.version;
      transfer->to_home = pending->to_home;
      datagram->transfers[datagram->n_transfers++] = transfer;
    }
}

static void
send_to (struct ds_fleet_view *view, const struct ds_fleet_peer *member,
         Daisystep__Gossip__Datagram *datagram)
{
  static uint8_t bytes[DATAGRAM_BYTES_MAX];
  size_t size = daisystep__gossip__datagram__get_packed_size (datagram);

  if (size > sizeof bytes || member->address.length == 0)
    return;
  (void)daisystep__gossip__datagram__pack (datagram, bytes);
  /* A lost datagram is followed by that of the next interval.  */
  (void)sendto (view->fd, bytes, size, MSG_DONTWAIT,
                (const struct sockaddr *)&member->address.storage,
                member->address.length);
}

/* Sends DATAGRAM to MEMBER, with its transfers and acknowledgements.  */
void
ds_fleet_send (struct ds_fleet_view *view, struct ds_fleet_peer *member,
               Daisystep__Gossip__Datagram *datagram, TALLOC_CTX *owner)
{
  fill_transfers (member, owner, datagram);
  send_to (view, member, datagram);
  if (member->link != NULL)
    member->link->ack_count = 0;
}

static void
receive_loads (struct ds_fleet_peer *member,
               const Daisystep__Gossip__Datagram *datagram)
{
  if (member->loads == NULL)
    member->loads
        = talloc_array (member, struct ds_fleet_load, LOADS_PER_DATAGRAM_MAX);
  member->load_count = 0;
  if (member->loads == NULL)
    return;
  for (size_t i = 0; i < datagram->n_loads && i < LOADS_PER_DATAGRAM_MAX; i++)
    member->loads[member->load_count++] = (struct ds_fleet_load){
      .replica = datagram->loads[i]->replica,
      .running = datagram->loads[i]->running,
      .prefill_tokens = datagram->loads[i]->prefill_tokens,
      .memory_tokens = datagram->loads[i]->memory_tokens,
    };
}

/* Records that replicas have cached parts, as other hosts report or, with
   NOW_MS 0, as this host makes them, and announces what is new.  A relay
   passes on what it receives.  */
void
ds_fleet_record_parts (struct ds_fleet_view *view,
                       Daisystep__Gossip__PartRead *const *reads, size_t count,
                       uint64_t now_ms)
{
  bool relays = ds_gossip_uses_relays (view->count);

  for (size_t i = 0; i < count; i++)
    {
      if (now_ms > 0)
        {
          struct ds_replica *replica = ds_replica_set_find_by_hash (
              view->replicas, reads[i]->replica);

          if (replica == NULL
              || !ds_placement_record_part (replica, reads[i]->part, now_ms)
              || view->relay_rank < 0)
            continue;
        }
      if (view->cached_part_count == PENDING_PARTS_MAX)
        return;
      view->cached_parts[view->cached_part_count++]
          = (struct ds_fleet_cached_part){
              .replica = reads[i]->replica,
              .part = reads[i]->part,
              .sends_left = relays ? PART_SENDS_WITH_RELAYS
                                   : ds_gossip_cycle_intervals (view->count),
              .downlinks_left = DS_RELAY_DOWNLINK_INTERVALS,
            };
    }
}

/* Takes over what MEMBER said of itself at HEARD_MS; false for a datagram of
   an earlier incarnation.  */
static bool
receive_self (struct ds_fleet_view *view, struct ds_fleet_peer *member,
              const Daisystep__Gossip__Datagram *datagram, uint64_t heard_ms)
{
  if (datagram->incarnation < member->info.incarnation)
    return false;
  if (datagram->incarnation > member->info.incarnation)
    {
      /* Transfers to the previous incarnation are lost with it, which may have
         applied them; none was sent before the first contact.  */
      if (member->info.incarnation > 0)
        TALLOC_FREE (member->link);
      member->info.incarnation = datagram->incarnation;
      /* Not HEARD_MS, which depends on the wall clock: an end of the previous
         incarnation may be taken too late, never too early.  */
      member->incarnation_ms = ds_clock_ms ();
      ds_fleet_introduce (view, member);
    }
  if (heard_ms > member->info.last_seen_ms)
    member->info.last_seen_ms = heard_ms;
  if (heard_ms > member->direct_ms)
    member->direct_ms = heard_ms;
  member->info.draining = datagram->draining;
  member->info.ready = datagram->ready;
  member->ledger_reachable = datagram->ledger_near;
  member->info.strained = datagram->strained;
  if (datagram->capacity > 0)
    member->info.capacity = datagram->capacity;
  ds_fleet_set_text (member, &member->info.zone,
                     ds_str_from_c (datagram->zone));
  ds_fleet_set_text (member, &member->info.region,
                     ds_str_from_c (datagram->region));
  ds_fleet_set_caller_address (member,
                               ds_str_from_c (datagram->caller_address));
  if (member->gossip_address == NULL
      || strcmp (member->gossip_address, datagram->gossip_address) != 0)
    {
      talloc_free (member->gossip_address);
      member->gossip_address
          = talloc_strdup (member, datagram->gossip_address);
    }
  return true;
}

/* Handles a datagram of another host that arrived AGE_MS ago.  A sign of life
   counts from then: a host that had been frozen offered callers one that was
   killed seconds before, since its datagrams still waited in the socket.  */
void
ds_fleet_receive (struct ds_fleet_view *view,
                  const Daisystep__Gossip__Datagram *datagram, uint64_t age_ms)
{
  struct ds_socket_address address;
  struct ds_fleet_peer *member;
  uint64_t now_ms = ds_clock_ms ();
  uint64_t heard_ms = now_ms > age_ms ? now_ms - age_ms : 1;
  bool same_era;

  if (ds_socket_address_parse (&address,
                               ds_str_from_c (datagram->gossip_address))
      != 0)
    return;
  member = ds_fleet_find_or_add (view, ds_str_from_c (datagram->host));
  if (member == NULL || !receive_self (view, member, datagram, heard_ms))
    return;
  member->address = address;
  ds_fleet_clock_observe (&view->clock, ds_clock_wall_ms (), now_ms);
  if (age_ms < CLOCK_AGE_MAX_MS)
    ds_fleet_clock_receive (&view->clock, member->short_id, datagram->wall_ms,
                            datagram->median_wall_ms, now_ms);
  same_era = ds_fleet_receive_era (view, datagram);
  if (same_era)
    {
      ds_fleet_receive_revision (view, DS_STORE_CONFIG,
                                 datagram->config_revision);
      ds_fleet_receive_revision (view, DS_STORE_REPLICAS,
                                 datagram->replica_revision);
      ds_fleet_receive_revision (view, DS_STORE_EVACUATIONS,
                                 datagram->evacuation_revision);
    }
  ds_fleet_receive_load (view, member, datagram, heard_ms);
  if (!datagram->partial)
    receive_loads (member, datagram);
  ds_fleet_record_parts (view, datagram->reads, datagram->n_reads, now_ms);
  ds_fleet_receive_capacities (
      view, (struct ds_capacity_source){ .id = member->short_id },
      datagram->capacities, datagram->n_capacities, now_ms);
  receive_suspects (view, member, datagram, now_ms);
  if (same_era)
    {
      ds_fleet_receive_departures (view, member, datagram->departures,
                                   datagram->n_departures);
      ds_fleet_receive_evacuations (view, member, datagram, age_ms);
    }
  if (datagram->summary != NULL)
    ds_fleet_receive_summary (view, member, datagram->summary, same_era,
                              heard_ms);
  ds_fleet_receive_tokens (view, member, datagram, same_era);
}
