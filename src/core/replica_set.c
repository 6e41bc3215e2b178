#include "core/replica_set.h"

#include <glib.h>
#include <string.h>

/* Time after which a reported departure no longer counts, also if this host
   hears nothing from the store.  A replica that leaves has exited by then.  */
#define REPORT_MS 30000
/* Time in which no report about a replica is believed after a wrong one.  */
#define REFUTED_MS 10000

/* One replica and whether the current listing contains it.  */
struct entry
{
  struct ds_replica *replica;
  bool listed;
};

struct ds_replica_set
{
  struct entry *entries;
  size_t count;
  GHashTable *by_hash;       /* of struct ds_replica, by its member hash */
  GHashTable *by_short_hash; /* by the low 32 bits of it */
  struct ds_notice_store notices;
  struct ds_capacity_options capacity;
};

/* Identifies the incarnation of the replica ID that started at START_TIME_MS,
   alike on all hosts.  The start time is hashed with the id: as the seed of a
   hash it is added to the bytes of a short id, so that "i-0" and "i-1", which
   start one millisecond apart, would be the same.  */
uint64_t
ds_replica_hash (struct ds_str id, uint64_t start_time_ms)
{
  uint64_t identity[]
      = { GUINT64_TO_LE (ds_str_hash (id, 0)),
          GUINT64_TO_LE ((uint64_t)id.length), GUINT64_TO_LE (start_time_ms) };

  return ds_str_hash ((struct ds_str){ .data = (const char *)identity,
                                       .length = sizeof identity },
                      0);
}

static int
destroy (struct ds_replica_set *set)
{
  g_hash_table_destroy (set->by_hash);
  g_hash_table_destroy (set->by_short_hash);
  return 0;
}

/* Creates an empty set.  Returns 0 or DS_ENOMEM.  */
int
ds_replica_set_new (struct ds_replica_set **out, TALLOC_CTX *owner)
{
  *out = talloc_zero (owner, struct ds_replica_set);
  if (*out == NULL)
    return DS_ENOMEM;
  (*out)->by_hash = g_hash_table_new (g_int64_hash, g_int64_equal);
  (*out)->by_short_hash = g_hash_table_new (NULL, NULL);
  talloc_set_destructor (*out, destroy);
  return 0;
}

/* Lets the capacity of the replicas that are added from now on be learned.  */
void
ds_replica_set_learn_capacity (struct ds_replica_set *set,
                               const struct ds_capacity_options *options)
{
  set->capacity = *options;
}

static struct entry *
find_entry (const struct ds_replica_set *set, struct ds_str id)
{
  for (size_t i = 0; i < set->count; i++)
    if (ds_str_equal (set->entries[i].replica->record.id, id))
      return &set->entries[i];
  return NULL;
}

static int
copy_record (TALLOC_CTX *owner, struct ds_replica_record *out,
             const struct ds_replica_record *record)
{
  *out = *record;
  out->id = ds_str_copy (owner, record->id);
  out->service = ds_str_copy (owner, record->service);
  out->address = ds_str_copy (owner, record->address);
  out->zone = ds_str_copy (owner, record->zone);
  return out->id.data != NULL && out->service.data != NULL
                 && out->address.data != NULL && out->zone.data != NULL
             ? 0
             : DS_ENOMEM;
}

/* Users of a replica that has left the set hold a talloc reference.  */
static void
drop (struct ds_replica_set *set, size_t index)
{
  struct ds_replica *replica = set->entries[index].replica;

  replica->removed = true;
  ds_notice_store_keep (&set->notices, replica->hash, &replica->notice);
  (void)g_hash_table_remove (set->by_hash, &replica->hash);
  (void)g_hash_table_remove (set->by_short_hash,
                             GUINT_TO_POINTER ((guint)replica->hash));
  talloc_unlink (set, replica);
  set->entries[index] = set->entries[--set->count];
}

static int
add (struct ds_replica_set *set, const struct ds_replica_record *record)
{
  struct entry *grown = talloc_realloc (set, set->entries, struct entry,
                                        (unsigned)set->count + 1);
  struct ds_replica *replica;

  if (grown == NULL)
    return DS_ENOMEM;
  set->entries = grown;
  replica = talloc_zero (set, struct ds_replica);
  if (replica == NULL || copy_record (replica, &replica->record, record) != 0
      || (set->capacity.report_ttl_ms > 0
          && ds_replica_capacity_new (&replica->capacity, replica,
                                      &set->capacity, record->slots)
                 != 0))
    {
      talloc_free (replica);
      return DS_ENOMEM;
    }
  replica->hash = ds_replica_hash (record->id, record->start_time_ms);
  replica->latency_factor = 1;
  ds_notice_store_restore (&set->notices, replica->hash, &replica->notice);
  grown[set->count++] = (struct entry){ .replica = replica, .listed = true };
  (void)g_hash_table_insert (set->by_hash, &replica->hash, replica);
  (void)g_hash_table_insert (set->by_short_hash,
                             GUINT_TO_POINTER ((guint)replica->hash), replica);
  return 0;
}

/* Adds or updates the replica of RECORD.  Another start time, service or
   address is a new incarnation, which replaces the state of the previous one.
   Returns 0, also for an outdated record, or DS_ENOMEM.  */
int
ds_replica_set_put (struct ds_replica_set *set,
                    const struct ds_replica_record *record)
{
  struct entry *entry = find_entry (set, record->id);

  if (entry != NULL)
    {
      struct ds_replica *replica = entry->replica;

      if (replica->record.start_time_ms > record->start_time_ms)
        return 0;
      if (replica->record.start_time_ms == record->start_time_ms
          && ds_str_equal (replica->record.service, record->service)
          && ds_str_equal (replica->record.address, record->address))
        {
          replica->record.slots = record->slots;
          replica->record.draining = record->draining;
          replica->record.cold_remaining_ms = record->cold_remaining_ms;
          replica->expiry_ms = 0;
          entry->listed = true;
          return 0;
        }
      drop (set, (size_t)(entry - set->entries));
    }
  return add (set, record);
}

/* Removes the replica ID, whose entry is missing in the store.  It stays in
   use until EXPIRY_MS, as entries that expired in a store outage return; 0
   drops it at once.  */
void
ds_replica_set_remove (struct ds_replica_set *set, struct ds_str id,
                       uint64_t expiry_ms)
{
  struct entry *entry = find_entry (set, id);

  if (entry == NULL)
    return;
  if (expiry_ms == 0)
    drop (set, (size_t)(entry - set->entries));
  else if (entry->replica->expiry_ms == 0)
    entry->replica->expiry_ms = expiry_ms;
}

/* Begins a full listing of the store.  */
void
ds_replica_set_begin_list (struct ds_replica_set *set)
{
  for (size_t i = 0; i < set->count; i++)
    set->entries[i].listed = false;
}

/* Ends a full listing: replicas that it did not contain are removed as by
   ds_replica_set_remove.  */
void
ds_replica_set_end_list (struct ds_replica_set *set, uint64_t expiry_ms)
{
  for (size_t i = set->count; i > 0; i--)
    if (!set->entries[i - 1].listed)
      {
        if (expiry_ms == 0)
          drop (set, i - 1);
        else if (set->entries[i - 1].replica->expiry_ms == 0)
          set->entries[i - 1].replica->expiry_ms = expiry_ms;
      }
}

/* Stops the use of the replica with HASH, which according to another host
   leaves since REVISION of the store.  This host has read the store up to
   KNOWN_REVISION: a replica that is there counts as reported only by something
   later, one that is missing, and may return after an outage, by anything.
   Returns false if the report changes nothing.  */
bool
ds_replica_set_report_departure (struct ds_replica_set *set, uint64_t hash,
                                 uint64_t revision, uint64_t known_revision,
                                 uint64_t now_ms)
{
  struct ds_replica *replica = ds_replica_set_find_by_hash (set, hash);

  if (replica == NULL || !ds_replica_is_available (replica)
      || (revision <= known_revision && replica->expiry_ms == 0)
      || (replica->left_refuted_ms > 0
          && now_ms - replica->left_refuted_ms < REFUTED_MS))
    return false;
  replica->left_revision = revision;
  replica->left_reported_ms = now_ms;
  return true;
}

/* Ends the reports about what the store says up to REVISION, which this host
   knows from a call begun at ASKED_MS.  Reports from before the call about
   later revisions are wrong: the store does not have them.  */
void
ds_replica_set_end_reports (struct ds_replica_set *set, uint64_t revision,
                            uint64_t asked_ms, uint64_t now_ms)
{
  for (size_t i = 0; i < set->count; i++)
    {
      struct ds_replica *replica = set->entries[i].replica;

      if (replica->left_revision == 0 || replica->expiry_ms > 0)
        continue;
      if (replica->left_revision > revision
          && replica->left_reported_ms >= asked_ms)
        continue;
      if (replica->left_revision > revision)
        replica->left_refuted_ms = now_ms;
      replica->left_revision = 0;
    }
}

/* Forgets the reports of other hosts, which name revisions of an earlier era
   of the store.  That the store does not confirm them says nothing of the
   hosts.  */
void
ds_replica_set_forget_reports (struct ds_replica_set *set)
{
  for (size_t i = 0; i < set->count; i++)
    set->entries[i].replica->left_revision = 0;
}

/* Drops the replicas whose expiry time has passed, and reports that are too
   old.  */
void
ds_replica_set_remove_expired (struct ds_replica_set *set, uint64_t now_ms)
{
  for (size_t i = set->count; i > 0; i--)
    {
      struct ds_replica *replica = set->entries[i - 1].replica;
      uint64_t expiry = replica->expiry_ms;

      if (replica->left_revision > 0
          && now_ms - replica->left_reported_ms > REPORT_MS)
        replica->left_revision = 0;
      if (expiry != 0 && expiry <= now_ms)
        drop (set, i - 1);
    }
}

size_t
ds_replica_set_count (const struct ds_replica_set *set)
{
  return set->count;
}

struct ds_replica *
ds_replica_set_at (const struct ds_replica_set *set, size_t index)
{
  return set->entries[index].replica;
}

/* Returns the replica with ID, or null.  */
struct ds_replica *
ds_replica_set_find (const struct ds_replica_set *set, struct ds_str id)
{
  const struct entry *entry = find_entry (set, id);

  return entry != NULL ? entry->replica : NULL;
}

/* Returns the replica whose id and start time have HASH, or null.  */
struct ds_replica *
ds_replica_set_find_by_hash (const struct ds_replica_set *set, uint64_t hash)
{
  return g_hash_table_lookup (set->by_hash, &hash);
}

/* Returns the replica whose hash has HASH as its low 32 bits, or null.  */
struct ds_replica *
ds_replica_set_find_by_short_hash (const struct ds_replica_set *set,
                                   uint32_t hash)
{
  return g_hash_table_lookup (set->by_short_hash, GUINT_TO_POINTER (hash));
}

/* Records that REPLICA said at NOW_MS that it leaves.  It may have been
   dropped and its lifetime added again since it was chosen.  Returns true if
   this is news of a replica in the set.  */
bool
ds_replica_set_record_leaving (struct ds_replica_set *set,
                               struct ds_replica *replica, uint64_t now_ms)
{
  struct ds_replica *current
      = ds_replica_set_find_by_hash (set, replica->hash);
  bool is_new = ds_replica_notice_record_leaving (&replica->notice, now_ms);

  if (current != NULL && current != replica)
    is_new = ds_replica_notice_record_leaving (&current->notice, now_ms);
  if (is_new && current == NULL)
    ds_notice_store_keep (&set->notices, replica->hash, &replica->notice);
  return is_new && current != NULL;
}

/* Records that REPLICA, which may have been dropped like that of
   ds_replica_set_record_leaving, said at NOW_MS that it wants no requests for
   HOLD_MS.  Returns true unless it is held already or not in the set.  */
bool
ds_replica_set_record_hold (struct ds_replica_set *set,
                            struct ds_replica *replica, uint64_t hold_ms,
                            uint64_t now_ms)
{
  struct ds_replica *current
      = ds_replica_set_find_by_hash (set, replica->hash);
  bool is_new
      = ds_replica_notice_record_hold (&replica->notice, hold_ms, now_ms);

  if (current != NULL && current != replica)
    is_new = ds_replica_notice_record_hold (&current->notice, hold_ms, now_ms);
  if (current == NULL)
    ds_notice_store_keep (&set->notices, replica->hash, &replica->notice);
  return is_new && current != NULL;
}

/* Whether the replica is in service by what the store and other hosts say.  */
bool
ds_replica_is_available (const struct ds_replica *replica)
{
  return !replica->removed && !replica->record.draining
         && replica->left_revision == 0;
}

/* Whether new requests may be sent to the replica: it is available and has not
   said that it leaves.  */
bool
ds_replica_accepts_requests (const struct ds_replica *replica)
{
  return ds_replica_is_available (replica) && replica->notice.leaving_ms == 0;
}
