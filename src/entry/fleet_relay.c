#include "entry/fleet_view_internal.h"
#include "io/clock.h"

/* Fleets too large for sending to all: each host sends its state to two relays
   of its zone; each relay sums it up, sends the summary of the zone to the
   relays of the other zones, and a summary of the fleet to the hosts of its
   zone.  The two take turns, so that the loss of one interrupts nothing.  */

/* Prompt parts in one summary.  */
#define SUMMARY_PARTS_MAX 256
/* Encoded bytes of one of them, at most.  */
#define PART_BYTES_MAX 24
/* Left in a datagram for what is added for a single host.  */
#define TRANSFERS_BYTES_RESERVED 4096
/* Host records in one summary.  */
#define SUMMARY_RECORDS_MAX 16
/* Records that are repeated in turn, so that a host that missed an
   introduction gets it later.  */
#define SUMMARY_RECORDS_IN_TURN 4
/* Summaries that carry the record of a host that has just been seen.  */
#define INTRODUCTIONS ((size_t)3 * DS_RELAY_DOWNLINK_INTERVALS)
/* Loads of another zone, or of the fleet, are used for this long.  */
#define LOADS_VALID_MS 2000
/* Tokens in one unit of prefill or memory in a summary.  */
#define TOKENS_PER_UNIT 64
/* A host that the store lists but that nobody has seen may be starting; it is
   a candidate for a relay for this long.  */
#define UNSEEN_CANDIDATE_MS 1500
/* Seed of the hash that identifies zones as sources of reports.  */
#define ZONE_SEED 29
/* Unit of the ages of hosts in a summary.  */
#define AGE_UNIT_MS 20

/* Has the record of MEMBER sent in the next summaries.  */
void
ds_fleet_introduce (struct ds_fleet_view *view, struct ds_fleet_peer *member)
{
  (void)view;
  member->introductions_left = INTRODUCTIONS;
}

static bool
is_relay_candidate (const struct ds_fleet_peer *member, uint64_t now_ms)
{
  if (member->info.draining || member->suspect_until_ms > now_ms)
    return false;
  return member->info.last_seen_ms == 0
             ? now_ms - member->added_ms < UNSEEN_CANDIDATE_MS
             : ds_fleet_member_is_alive (&member->info, now_ms);
}

/* Writes the relays of ZONE to OUT, null for this host, and returns their
   number.  */
static size_t
choose_relays (const struct ds_fleet_view *view, struct ds_str zone,
               struct ds_fleet_peer **out, uint64_t now_ms)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct ds_relay_candidate *candidates = talloc_array (
      scratch, struct ds_relay_candidate, (unsigned)view->count + 1);
  struct ds_fleet_peer **members = talloc_array (
      scratch, struct ds_fleet_peer *, (unsigned)view->count + 1);
  size_t chosen[DS_RELAYS_PER_ZONE];
  size_t count = 0;

  if (candidates == NULL || members == NULL)
    {
      talloc_free (scratch);
      return 0;
    }
  if (ds_str_equal (zone, view->self.zone) && !view->draining)
    {
      members[count] = NULL;
      candidates[count++]
          = (struct ds_relay_candidate){ .weight = view->relay_weight,
                                         .capacity = view->self.capacity };
    }
  for (size_t i = 0; i < view->count; i++)
    {
      struct ds_fleet_peer *member = view->members[i];

      if (!ds_str_equal (member->info.zone, zone)
          || !is_relay_candidate (member, now_ms))
        continue;
      members[count] = member;
      candidates[count++]
          = (struct ds_relay_candidate){ .weight = member->relay_weight,
                                         .capacity = member->info.capacity };
    }
  count = ds_relay_choose (chosen, candidates, count);
  for (size_t i = 0; i < count; i++)
    out[i] = members[chosen[i]];
  talloc_free (scratch);
  return count;
}

/* Suspects relays of this host's zone from which no datagram has arrived for
   too long, and chooses anew.  */
static void
update_relays (struct ds_fleet_view *view, uint64_t now_ms)
{
  struct ds_fleet_peer *chosen[DS_RELAYS_PER_ZONE];
  size_t count;

  for (size_t i = 0; i < view->relay_count; i++)
    {
      struct ds_fleet_peer *relay = view->relays[i];
      uint64_t heard_ms;

      if (relay == NULL)
        continue;
      heard_ms = relay->direct_ms > relay->relay_since_ms
                     ? relay->direct_ms
                     : relay->relay_since_ms;
      if (now_ms - heard_ms > DS_RELAY_DIRECT_TIMEOUT_MS)
        relay->suspect_until_ms = now_ms + DS_RELAY_SUSPICION_MS;
    }
  count = choose_relays (view, view->self.zone, chosen, now_ms);
  view->relay_rank = -1;
  for (size_t i = 0; i < count; i++)
    {
      bool before = false;

      for (size_t k = 0; k < view->relay_count; k++)
        before = before || view->relays[k] == chosen[i];
      if (chosen[i] == NULL)
        view->relay_rank = (int)i;
      else if (!before)
        chosen[i]->relay_since_ms = now_ms;
    }
  for (size_t i = 0; i < count; i++)
    view->relays[i] = chosen[i];
  view->relay_count = count;
}

static void
add_load (struct ds_replica_load *sum, const struct ds_fleet_load *load)
{
  sum->running += load->running;
  sum->prefill_tokens += load->prefill_tokens;
  sum->memory_tokens += load->memory_tokens;
}

static uint32_t
to_units (uint64_t tokens)
{
  return (uint32_t)((tokens + TOKENS_PER_UNIT / 2) / TOKENS_PER_UNIT);
}

/* Sums up the loads of this host and, as reported to it as a relay, of its
   zone and of the fleet.  */
static void
sum_up_loads (struct ds_fleet_view *view, uint64_t now_ms)
{
  size_t count = ds_replica_set_count (view->replicas);

  for (size_t i = 0; i < count; i++)
    {
      struct ds_replica *replica = ds_replica_set_at (view->replicas, i);

      replica->zone_load = replica->local_load;
      replica->remote_load = (struct ds_replica_load){ .running = 0 };
    }
  for (size_t i = 0; i < view->count; i++)
    {
      const struct ds_fleet_peer *member = view->members[i];

      if (!ds_fleet_same_zone (view, member) || member->direct_ms == 0
          || now_ms - member->direct_ms >= DS_RELAY_DIRECT_TIMEOUT_MS)
        continue;
      for (size_t k = 0; k < member->load_count; k++)
        {
          const struct ds_fleet_load *load = &member->loads[k];
          struct ds_replica *replica
              = ds_replica_set_find_by_hash (view->replicas, load->replica);

          if (replica == NULL)
            continue;
          add_load (&replica->zone_load, load);
          add_load (&replica->remote_load, load);
        }
    }
  for (size_t i = 0; i < view->zone_count; i++)
    {
      const struct ds_fleet_zone *zone = &view->zones[i];

      for (size_t k = 0;
           k < zone->load_count && now_ms - zone->received_ms < LOADS_VALID_MS;
           k++)
        {
          struct ds_replica *replica = ds_replica_set_find_by_short_hash (
              view->replicas, (uint32_t)zone->loads[k].replica);

          if (replica != NULL)
            add_load (&replica->remote_load, &zone->loads[k]);
        }
    }
}

static void
list_host (Daisystep__Gossip__Summary *summary, uint32_t id,
           const struct ds_fleet_member *info, bool reaches_ledger,
           uint64_t now_ms)
{
  uint32_t age = (uint32_t)((now_ms - info->last_seen_ms) / AGE_UNIT_MS);

  if (info->ready && !info->draining)
    {
      summary->ready_ages[summary->n_ready_ages++] = age;
      summary->ready_loads[summary->n_ready_hosts] = ds_fleet_pack_load (info);
      if (summary->ready_loads[summary->n_ready_hosts] > 0)
        summary->n_ready_loads = 1;
      summary->ready_hosts[summary->n_ready_hosts++] = id;
    }
  else
    {
      summary->other_ages[summary->n_other_ages++] = age;
      summary->other_hosts[summary->n_other_hosts++] = id;
    }
  if (!reaches_ledger)
    summary->cut_hosts[summary->n_cut_hosts++] = id;
  if (info->strained)
    summary->strained_hosts[summary->n_strained_hosts++] = id;
}

/* Lists the live hosts of the zone, or of the fleet, with the ages of their
   last signs of life: without them, two relays would keep a dead host alive by
   telling each other of it.  */
static void
fill_hosts (const struct ds_fleet_view *view, TALLOC_CTX *owner,
            Daisystep__Gossip__Summary *summary, bool fleet, uint64_t now_ms)
{
  unsigned most = (unsigned)view->count + 1;
  const struct ds_fleet_member self = {
    .last_seen_ms = now_ms,
    .ready = view->ready,
    .draining = view->draining,
    .strained = view->strained,
    .load_percent = view->load_percent,
    .load_level = view->load_level,
  };

  summary->ready_hosts = talloc_array (owner, uint32_t, most);
  summary->ready_ages = talloc_array (owner, uint32_t, most);
  summary->other_hosts = talloc_array (owner, uint32_t, most);
  summary->other_ages = talloc_array (owner, uint32_t, most);
  summary->cut_hosts = talloc_array (owner, uint32_t, most);
  summary->strained_hosts = talloc_array (owner, uint32_t, most);
  summary->ready_loads = talloc_array (owner, uint32_t, most);
  if (summary->ready_hosts == NULL || summary->ready_ages == NULL
      || summary->other_hosts == NULL || summary->other_ages == NULL
      || summary->cut_hosts == NULL || summary->strained_hosts == NULL
      || summary->ready_loads == NULL)
    return;
  list_host (summary, view->short_id, &self, view->ledger_reachable, now_ms);
  for (size_t i = 0; i < view->count; i++)
    {
      const struct ds_fleet_peer *member = view->members[i];

      if (ds_fleet_member_is_alive (&member->info, now_ms)
          && (fleet || ds_fleet_same_zone (view, member)))
        list_host (summary, member->short_id, &member->info,
                   member->ledger_reachable, now_ms);
    }
  if (summary->n_ready_loads > 0)
    summary->n_ready_loads = summary->n_ready_hosts;
}

static void
fill_summary_loads (const struct ds_fleet_view *view, TALLOC_CTX *owner,
                    Daisystep__Gossip__Summary *summary, bool fleet)
{
  size_t count = ds_replica_set_count (view->replicas);
  size_t used = 0;
  bool learning = false;

  summary->replicas = talloc_array (owner, uint32_t, (unsigned)count + 1);
  summary->running = talloc_array (owner, uint32_t, (unsigned)count + 1);
  summary->prefill_units = talloc_array (owner, uint32_t, (unsigned)count + 1);
  summary->memory_units = talloc_array (owner, uint32_t, (unsigned)count + 1);
  if (summary->replicas == NULL || summary->running == NULL
      || summary->prefill_units == NULL || summary->memory_units == NULL)
    return;
  for (size_t i = 0; i < count; i++)
    {
      const struct ds_replica *replica = ds_replica_set_at (view->replicas, i);
      struct ds_replica_load load = replica->zone_load;

      if (fleet)
        load = (struct ds_replica_load){
          .running
          = replica->local_load.running + replica->remote_load.running,
          .prefill_tokens = replica->local_load.prefill_tokens
                            + replica->remote_load.prefill_tokens,
          .memory_tokens = replica->local_load.memory_tokens
                           + replica->remote_load.memory_tokens,
        };
      if (load.running == 0)
        continue;
      summary->replicas[used] = (uint32_t)replica->hash;
      summary->running[used] = load.running;
      summary->prefill_units[used] = to_units (load.prefill_tokens);
      summary->memory_units[used] = to_units (load.memory_tokens);
      learning = learning || replica->capacity != NULL;
      used++;
    }
  summary->n_replicas = used;
  summary->n_running = used;
  summary->n_prefill_units = used;
  summary->n_memory_units = learning ? used : 0;
}

/* Number of parts for which DATAGRAM has room.  */
static size_t
parts_that_fit (const Daisystep__Gossip__Datagram *datagram)
{
  size_t used = daisystep__gossip__datagram__get_packed_size (datagram)
                + TRANSFERS_BYTES_RESERVED;
  size_t count = used < DATAGRAM_BYTES_MAX
                     ? (DATAGRAM_BYTES_MAX - used) / PART_BYTES_MAX
                     : 0;

  return count < SUMMARY_PARTS_MAX ? count : SUMMARY_PARTS_MAX;
}

/* Adds the prompt parts that wait to be announced, the oldest first.  A part
   of which the other hosts do not hear is prefilled again at further replicas.
 */
static void
fill_parts (struct ds_fleet_view *view, TALLOC_CTX *owner,
            const Daisystep__Gossip__Datagram *datagram, bool fleet)
{
  Daisystep__Gossip__Summary *summary = datagram->summary;
  size_t most = parts_that_fit (datagram);

  summary->reads = talloc_array (owner, Daisystep__Gossip__PartRead *,
                                 (unsigned)most + 1);
  for (size_t i = 0; i < view->cached_part_count && summary->reads != NULL
                     && summary->n_reads < most;
       i++)
    {
      struct ds_fleet_cached_part *part = &view->cached_parts[i];
      size_t *left = fleet ? &part->downlinks_left : &part->sends_left;
      Daisystep__Gossip__PartRead *read;

      if (*left == 0)
        continue;
      --*left;
      read = talloc (owner, Daisystep__Gossip__PartRead);
      daisystep__gossip__part_read__init (read);
      read->replica = part->replica;
      read->part = part->part;
      summary->reads[summary->n_reads++] = read;
    }
}

static void
add_record (TALLOC_CTX *owner, Daisystep__Gossip__Summary *summary,
            const struct ds_fleet_peer *member)
{
  const struct ds_fleet_member *info = &member->info;
  Daisystep__Gossip__HostRecord *record
      = talloc (owner, Daisystep__Gossip__HostRecord);

  daisystep__gossip__host_record__init (record);
  record->host = talloc_strndup (owner, info->host.data, info->host.length);
  record->zone = talloc_strndup (owner, info->zone.data, info->zone.length);
  record->region
      = talloc_strndup (owner, info->region.data, info->region.length);
  record->caller_address = talloc_strndup (owner, info->caller_address.data,
                                           info->caller_address.length);
  record->gossip_address = talloc_strdup (owner, member->gossip_address);
  record->capacity = info->capacity;
  summary->records[summary->n_records++] = record;
}

/* Adds the records of hosts that were seen recently, and some in turn.  */
static void
fill_records (struct ds_fleet_view *view, TALLOC_CTX *owner,
              Daisystep__Gossip__Summary *summary, bool fleet, uint64_t now_ms)
{
  summary->records = talloc_array (owner, Daisystep__Gossip__HostRecord *,
                                   SUMMARY_RECORDS_MAX);
  if (summary->records == NULL)
    return;
  for (size_t i = 0; i < SUMMARY_RECORDS_IN_TURN && view->count > 0; i++)
    {
      const struct ds_fleet_peer *member
          = view->members[view->next_record[fleet]++ % view->count];

      if (member->gossip_address != NULL && member->info.zone.length > 0
          && ds_fleet_member_is_alive (&member->info, now_ms))
        add_record (owner, summary, member);
    }
  for (size_t i = 0;
       i < view->count && summary->n_records < SUMMARY_RECORDS_MAX; i++)
    {
      struct ds_fleet_peer *member = view->members[i];

      if (member->introductions_left == 0 || member->gossip_address == NULL
          || (!fleet && !ds_fleet_same_zone (view, member)))
        continue;
      /* Counted by the summaries of the fleet, which follow those of the
         zone.  */
      if (fleet)
        member->introductions_left--;
      add_record (owner, summary, member);
    }
}

static void
fill_summary (struct ds_fleet_view *view, TALLOC_CTX *owner,
              Daisystep__Gossip__Datagram *datagram,
              Daisystep__Gossip__Summary *summary, bool fleet, uint64_t now_ms)
{
  static char whole_fleet[] = "";

  ds_fleet_fill_self (view, owner, datagram);
  datagram->partial = true;
  daisystep__gossip__summary__init (summary);
  summary->zone = fleet ? whole_fleet : datagram->zone;
  fill_hosts (view, owner, summary, fleet, now_ms);
  fill_summary_loads (view, owner, summary, fleet);
  summary->capacities = ds_fleet_take_capacities (
      view, owner, fleet ? DS_CAPACITY_FLEET : DS_CAPACITY_ZONE,
      &summary->n_capacities);
  fill_records (view, owner, summary, fleet, now_ms);
  ds_fleet_fill_suspects (view, owner, datagram);
  ds_fleet_fill_evacuations (view, owner, datagram);
  ds_fleet_fill_summary_heavy (view, owner, summary, fleet, now_ms);
  summary->departures
      = ds_fleet_take_departures (view, owner, &summary->n_departures);
  datagram->summary = summary;
  fill_parts (view, owner, datagram, fleet);
}

/* Sends the summary of this zone to the relays of each other zone.  */
static void
send_uplink (struct ds_fleet_view *view, TALLOC_CTX *scratch, uint64_t now_ms)
{
  Daisystep__Gossip__Datagram datagram;
  Daisystep__Gossip__Summary summary;

  fill_summary (view, scratch, &datagram, &summary, false, now_ms);
  for (size_t i = 0; i < view->count; i++)
    {
      struct ds_str zone = view->members[i]->info.zone;
      struct ds_fleet_peer *relays[DS_RELAYS_PER_ZONE];
      bool done = zone.length == 0 || ds_str_equal (zone, view->self.zone);

      for (size_t k = 0; k < i && !done; k++)
        done = ds_str_equal (view->members[k]->info.zone, zone);
      if (done)
        continue;
      for (size_t k = choose_relays (view, zone, relays, now_ms); k > 0; k--)
        ds_fleet_send (view, relays[k - 1], &datagram, scratch);
    }
}

/* Sends the summary of the fleet to those hosts of this zone whose turn it
   is.  All at once would fill the link of a host with 10 Mbit/s.  */
static void
send_downlink (struct ds_fleet_view *view, TALLOC_CTX *scratch,
               uint64_t now_ms)
{
  Daisystep__Gossip__Datagram datagram;
  Daisystep__Gossip__Summary summary;
  size_t turn = view->intervals + (size_t)view->relay_rank;

  fill_summary (view, scratch, &datagram, &summary, true, now_ms);
  for (size_t i = 0; i < view->count; i++)
    if (ds_fleet_same_zone (view, view->members[i])
        && (view->members[i]->short_id + turn) % DS_RELAY_DOWNLINK_INTERVALS
               == 0)
      ds_fleet_send (view, view->members[i], &datagram, scratch);
}

/* Sends the state of this host to the relays of its zone.  */
static void
send_state (struct ds_fleet_view *view, TALLOC_CTX *scratch)
{
  Daisystep__Gossip__Datagram datagram;

  ds_fleet_fill_state (view, scratch, &datagram);
  for (size_t i = 0; i < view->relay_count; i++)
    if (view->relays[i] != NULL)
      ds_fleet_send (view, view->relays[i], &datagram, scratch);
}

/* Forgets what other hosts put on the replicas.  */
static void
clear_remote_loads (struct ds_fleet_view *view)
{
  for (size_t i = 0; i < ds_replica_set_count (view->replicas); i++)
    ds_replica_set_at (view->replicas, i)->remote_load
        = (struct ds_replica_load){ .running = 0 };
}

/* One interval of a host in a fleet with relays.  */
void
ds_fleet_relay_tick (struct ds_fleet_view *view, uint64_t now_ms)
{
  TALLOC_CTX *scratch = talloc_new (NULL);

  update_relays (view, now_ms);
  view->intervals++;
  if (view->relay_rank >= 0)
    {
      sum_up_loads (view, now_ms);
      send_uplink (view, scratch, now_ms);
      send_downlink (view, scratch, now_ms);
    }
  else if (view->summary_ms > 0 && now_ms - view->summary_ms > LOADS_VALID_MS)
    clear_remote_loads (view);
  send_state (view, scratch);
  talloc_free (scratch);
}

/* Takes over the state of the hosts in IDS, with LOADS if not null, of which
   the summary has a later sign of life than this host.  */
static void
receive_hosts (struct ds_fleet_view *view, const uint32_t *ids,
               const uint32_t *ages, const uint32_t *loads, size_t count,
               bool ready, uint64_t now_ms)
{
  for (size_t i = 0; i < count; i++)
    {
      struct ds_fleet_peer *member
          = g_hash_table_lookup (view->by_short_id, GUINT_TO_POINTER (ids[i]));
      uint64_t age_ms = (uint64_t)ages[i] * AGE_UNIT_MS;

      if (member == NULL || age_ms >= now_ms
          || now_ms - age_ms <= member->info.last_seen_ms)
        continue;
      member->info.last_seen_ms = now_ms - age_ms;
      member->info.ready = ready;
      member->info.draining = member->info.draining && !ready;
      member->info.strained = false;
      ds_fleet_unpack_load (&member->info, loads != NULL ? loads[i] : 0);
      member->ledger_reachable = true;
      member->summary = view->summaries;
    }
}

/* Returns the host ID if the current summary has updated it; else null.  */
static struct ds_fleet_peer *
find_updated (const struct ds_fleet_view *view, uint32_t id)
{
  struct ds_fleet_peer *member
      = g_hash_table_lookup (view->by_short_id, GUINT_TO_POINTER (id));

  return member != NULL && member->summary == view->summaries ? member : NULL;
}

/* Applies what SUMMARY says of the hosts that it has updated.  */
static void
receive_conditions (struct ds_fleet_view *view,
                    const Daisystep__Gossip__Summary *summary)
{
  for (size_t i = 0; i < summary->n_cut_hosts; i++)
    {
      struct ds_fleet_peer *member
          = find_updated (view, summary->cut_hosts[i]);

      if (member != NULL)
        member->ledger_reachable = false;
    }
  for (size_t i = 0; i < summary->n_strained_hosts; i++)
    {
      struct ds_fleet_peer *member
          = find_updated (view, summary->strained_hosts[i]);

      if (member != NULL)
        member->info.strained = true;
    }
}

static struct ds_fleet_zone *
find_or_add_zone (struct ds_fleet_view *view, struct ds_str name)
{
  struct ds_fleet_zone *grown;

  for (size_t i = 0; i < view->zone_count; i++)
    if (ds_str_equal (view->zones[i].name, name))
      return &view->zones[i];
  grown = talloc_realloc (view, view->zones, struct ds_fleet_zone,
                          (unsigned)view->zone_count + 1);
  if (grown == NULL)
    return NULL;
  view->zones = grown;
  grown[view->zone_count]
      = (struct ds_fleet_zone){ .name = ds_str_copy (view, name) };
  return &grown[view->zone_count++];
}

/* Number of loads in SUMMARY; 0 if its columns differ in length.  */
static size_t
load_count (const Daisystep__Gossip__Summary *summary)
{
  return summary->n_replicas == summary->n_running
                 && summary->n_replicas == summary->n_prefill_units
             ? summary->n_replicas
             : 0;
}

/* Returns the load at position I of SUMMARY.  */
static struct ds_fleet_load
load_at (const Daisystep__Gossip__Summary *summary, size_t i)
{
  return (struct ds_fleet_load){
    .replica = summary->replicas[i],
    .running = summary->running[i],
    .prefill_tokens = (uint64_t)summary->prefill_units[i] * TOKENS_PER_UNIT,
    .memory_tokens = summary->n_memory_units == summary->n_replicas
                         ? (uint64_t)summary->memory_units[i] * TOKENS_PER_UNIT
                         : 0,
  };
}

static void
receive_zone_loads (struct ds_fleet_view *view,
                    const Daisystep__Gossip__Summary *summary, uint64_t now_ms)
{
  struct ds_fleet_zone *zone
      = find_or_add_zone (view, ds_str_from_c (summary->zone));
  size_t count = load_count (summary);

  if (zone == NULL)
    return;
  talloc_free (zone->loads);
  zone->loads = talloc_array (view, struct ds_fleet_load, (unsigned)count + 1);
  zone->load_count = 0;
  zone->received_ms = now_ms;
  for (size_t i = 0; i < count && zone->loads != NULL; i++)
    zone->loads[zone->load_count++] = load_at (summary, i);
}

static uint64_t
without (uint64_t sum, uint64_t part)
{
  return sum > part ? sum - part : 0;
}

/* Takes over the loads of the fleet less what this host has reported, which
   they contain.  */
static void
receive_fleet_loads (struct ds_fleet_view *view,
                     const Daisystep__Gossip__Summary *summary)
{
  clear_remote_loads (view);
  for (size_t i = 0; i < load_count (summary); i++)
    {
      struct ds_replica *replica = ds_replica_set_find_by_short_hash (
          view->replicas, summary->replicas[i]);
      struct ds_fleet_load load = load_at (summary, i);

      if (replica == NULL)
        continue;
      replica->remote_load = (struct ds_replica_load){
        .running
        = (uint32_t)without (load.running, replica->reported_load.running),
        .prefill_tokens
        = without (load.prefill_tokens, replica->reported_load.prefill_tokens),
        .memory_tokens
        = without (load.memory_tokens, replica->reported_load.memory_tokens),
      };
    }
}

static void
receive_records (struct ds_fleet_view *view,
                 const Daisystep__Gossip__Summary *summary)
{
  for (size_t i = 0; i < summary->n_records; i++)
    {
      const Daisystep__Gossip__HostRecord *record = summary->records[i];
      struct ds_fleet_registration registration = {
        .host = ds_str_from_c (record->host),
        .zone = ds_str_from_c (record->zone),
        .region = ds_str_from_c (record->region),
        .caller_address = ds_str_from_c (record->caller_address),
        .gossip_address = ds_str_from_c (record->gossip_address),
        .capacity = record->capacity,
      };

      ds_fleet_view_add (view, &registration);
    }
}

/* Handles the summary of a zone or of the fleet that has arrived at HEARD_MS
   from the relay SENDER, which knows the SAME_ERA of the store or another
   one.  */
void
ds_fleet_receive_summary (struct ds_fleet_view *view,
                          struct ds_fleet_peer *sender,
                          const Daisystep__Gossip__Summary *summary,
                          bool same_era, uint64_t heard_ms)
{
  struct ds_str zone = ds_str_from_c (summary->zone);
  uint64_t now_ms = ds_clock_ms ();

  if (zone.length == 0 && !ds_fleet_same_zone (view, sender))
    return;
  view->summaries++;
  receive_records (view, summary);
  if (summary->n_ready_hosts == summary->n_ready_ages)
    receive_hosts (view, summary->ready_hosts, summary->ready_ages,
                   summary->n_ready_loads == summary->n_ready_hosts
                       ? summary->ready_loads
                       : NULL,
                   summary->n_ready_hosts, true, heard_ms);
  if (summary->n_other_hosts == summary->n_other_ages)
    receive_hosts (view, summary->other_hosts, summary->other_ages, NULL,
                   summary->n_other_hosts, false, heard_ms);
  receive_conditions (view, summary);
  ds_fleet_receive_summary_heavy (view, summary, heard_ms);
  if (same_era)
    ds_fleet_receive_departures (view, sender, summary->departures,
                                 summary->n_departures);
  ds_fleet_record_parts (view, summary->reads, summary->n_reads, now_ms);
  /* A relay sums up what the hosts of its zone report to it.  */
  if (zone.length > 0 || view->relay_rank < 0)
    ds_fleet_receive_capacities (
        view,
        (struct ds_capacity_source){
            .id = (uint32_t)ds_str_hash (zone, ZONE_SEED), .relayed = true },
        summary->capacities, summary->n_capacities, now_ms);
  if (zone.length > 0)
    {
      receive_zone_loads (view, summary, heard_ms);
      return;
    }
  /* A relay adds up the loads itself.  */
  if (view->relay_rank >= 0)
    return;
  view->summary_ms = heard_ms;
  receive_fleet_loads (view, summary);
}
