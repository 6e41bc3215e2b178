#include "core/crash_suspects.h"
#include "daisystep/error.h"

/* One crash leaves suspects for each request that its replica had just begun:
   tens on a fleet of 300 hosts.  */
#define ENTRIES 512
/* Crashes without a success in between after which a suspect is blocked.  */
#define CRASHES_TO_BLOCK 3
/* Crashes this close together have one cause: a rack that fails, or a host
   whose connections are reset.  */
#define ONE_CAUSE_MS 100
/* Time after the last crash in which a suspect is blocked at every host, after
   three, four and more crashes.  Each trial may cost a replica all its
   requests.  */
#define BLOCK_3_CRASHES_MS 10000
#define BLOCK_4_CRASHES_MS 30000
#define BLOCK_MS 120000
/* Time in which the hosts try a part that was only seen in crashes that
   another one explains.  */
#define EARLY_TRIAL_MS 2000
/* Time in which a request that is let through as a trial shows its outcome. */
#define TRIAL_MS 5000
/* Time in which a change is sent to other hosts.  */
#define REPORT_MS 1500
/* Time after the last crash or success after which an entry may go.  */
#define KEEP_MS 300000
/* Added to all times, so that a host whose clock has just begun can hold
   crashes from before.  */
#define PAST_MS 3600000

struct crash
{
  uint64_t replica;
  uint32_t host;
  bool several_hosts;
  uint64_t time_ms;
};

struct entry
{
  struct ds_suspect_key key;
  struct crash crashes[DS_SUSPECT_CRASHES_MAX];
  size_t crash_count;  /* 0 for a free entry */
  uint64_t cleared_ms; /* when an answer that succeeded began; 0 for none */
  uint64_t changed_ms;
  uint64_t trial_ms; /* when the last trial was let through */
};

struct ds_crash_suspects
{
  struct entry entries[ENTRIES];
  size_t used; /* entries above are free */
  size_t next_report;
  uint32_t host;
};

/* Creates an empty table.  HOST is the hash of this host.  Returns 0 or
   DS_ENOMEM.  */
int
ds_crash_suspects_new (struct ds_crash_suspects **out, TALLOC_CTX *owner,
                       uint32_t host)
{
  *out = talloc_zero (owner, struct ds_crash_suspects);
  if (*out == NULL)
    return DS_ENOMEM;
  (*out)->host = host;
  return 0;
}

static uint64_t
in_table (uint64_t time_ms)
{
  return time_ms + PAST_MS;
}

static bool
is_active (const struct entry *entry, const struct crash *crash)
{
  return crash->time_ms > entry->cleared_ms;
}

static uint64_t
last_crash_ms (const struct entry *entry)
{
  uint64_t last_ms = 0;

  for (size_t i = 0; i < entry->crash_count; i++)
    if (entry->crashes[i].time_ms > last_ms)
      last_ms = entry->crashes[i].time_ms;
  return last_ms;
}

/* Returns the first active crash at or after FROM_MS, or null.  */
static const struct crash *
next_crash (const struct entry *entry, uint64_t from_ms)
{
  const struct crash *next = NULL;

  for (size_t i = 0; i < entry->crash_count; i++)
    {
      const struct crash *crash = &entry->crashes[i];

      if (is_active (entry, crash) && crash->time_ms >= from_ms
          && (next == NULL || crash->time_ms < next->time_ms))
        next = crash;
    }
  return next;
}

/* Number of crashes since the last success.  Those of a part within
   ONE_CAUSE_MS of a counted one are not counted; a request crashes one replica
   after the other.  */
static size_t
active_crashes (const struct entry *entry)
{
  const struct crash *crash = next_crash (entry, 0);
  size_t count = 0;

  if (entry->key.kind == DS_SUSPECT_REQUEST)
    {
      for (size_t i = 0; i < entry->crash_count; i++)
        count += is_active (entry, &entry->crashes[i]);
      return count;
    }
  while (crash != NULL)
    {
      count++;
      crash = next_crash (entry, crash->time_ms + ONE_CAUSE_MS);
    }
  return count;
}

/* Whether hosts other than the first reporter confirm the crashes, or this
   host has seen them itself.  A host whose own network fails sees crashes that
   nobody else does.  */
static bool
is_confirmed (const struct ds_crash_suspects *suspects,
              const struct entry *entry)
{
  uint32_t first = 0;
  bool any = false;

  for (size_t i = 0; i < entry->crash_count; i++)
    {
      const struct crash *crash = &entry->crashes[i];

      if (!is_active (entry, crash))
        continue;
      if (crash->several_hosts || crash->host == suspects->host
          || (any && crash->host != first))
        return true;
      first = crash->host;
      any = true;
    }
  return false;
}

static uint64_t
block_duration_ms (const struct entry *entry)
{
  if (entry->key.kind == DS_SUSPECT_REQUEST)
    return BLOCK_MS;
  switch (active_crashes (entry))
    {
    case CRASHES_TO_BLOCK:
      return BLOCK_3_CRASHES_MS;
    case CRASHES_TO_BLOCK + 1:
      return BLOCK_4_CRASHES_MS;
    default:
      return BLOCK_MS;
    }
}

/* Returns a part of MOST_MS that differs between the hosts, so that usually
   one of them learns the outcome of a trial before the others may try.  */
static uint64_t
spread_ms (const struct ds_crash_suspects *suspects, const struct entry *entry,
           uint64_t most_ms)
{
  struct ds_str host = { .data = (const char *)&suspects->host,
                         .length = sizeof suspects->host };

  return ds_str_hash (host, entry->key.hash) % most_ms;
}

/* Whether the evidence suffices to refuse requests with the key of ENTRY.  */
static bool
is_cause (const struct ds_crash_suspects *suspects, const struct entry *entry)
{
  return active_crashes (entry) >= CRASHES_TO_BLOCK
         && is_confirmed (suspects, entry);
}

static bool
keys_are_equal (struct ds_suspect_key left, struct ds_suspect_key right)
{
  return left.kind == right.kind && left.hash == right.hash;
}

static struct entry *
find (const struct ds_crash_suspects *suspects, struct ds_suspect_key key)
{
  for (size_t i = 0; i < suspects->used; i++)
    if (suspects->entries[i].crash_count > 0
        && keys_are_equal (suspects->entries[i].key, key))
      return (struct entry *)&suspects->entries[i];
  return NULL;
}

/* Returns an entry for KEY: a free one, or the one whose loss matters least,
   with the fewest crashes and of these the oldest.  */
static struct entry *
find_or_replace (struct ds_crash_suspects *suspects, struct ds_suspect_key key,
                 uint64_t now_ms)
{
  struct entry *entry = find (suspects, key);
  size_t fewest = SIZE_MAX;

  if (entry != NULL)
    return entry;
  for (size_t i = 0; i < ENTRIES; i++)
    {
      struct entry *candidate = &suspects->entries[i];
      size_t crashes = active_crashes (candidate);

      if (candidate->crash_count == 0
          || candidate->changed_ms + KEEP_MS < now_ms)
        {
          entry = candidate;
          break;
        }
      if (entry == NULL || crashes < fewest
          || (crashes == fewest && candidate->changed_ms < entry->changed_ms))
        {
          fewest = crashes;
          entry = candidate;
        }
    }
  *entry = (struct entry){ .key = key };
  if (suspects->used < (size_t)(entry - suspects->entries) + 1)
    suspects->used = (size_t)(entry - suspects->entries) + 1;
  return entry;
}

/* Adds a crash, or replaces the oldest one; true if it was not known.  The
   first report of a crash has the most exact time.  */
static bool
add_crash (struct entry *entry, const struct crash *crash, uint64_t now_ms)
{
  struct crash *oldest = &entry->crashes[0];

  for (size_t i = 0; i < entry->crash_count; i++)
    {
      struct crash *known = &entry->crashes[i];

      if (known->replica == crash->replica)
        {
          if ((known->host != crash->host || crash->several_hosts)
              && !known->several_hosts)
            {
              known->several_hosts = true;
              entry->changed_ms = now_ms;
            }
          return false;
        }
      if (known->time_ms < oldest->time_ms)
        oldest = known;
    }
  if (entry->crash_count < DS_SUSPECT_CRASHES_MAX)
    oldest = &entry->crashes[entry->crash_count++];
  else if (oldest->time_ms >= crash->time_ms)
    return false;
  *oldest = *crash;
  entry->changed_ms = now_ms;
  return true;
}

/* Records that REPLICA, one incarnation, crashed at CRASHED_MS while it began
   the answer to a request with KEY.  */
enum ds_suspect_change
ds_crash_suspects_record (struct ds_crash_suspects *suspects,
                          struct ds_suspect_key key, uint64_t replica,
                          uint64_t crashed_ms, uint64_t now_ms)
{
  struct entry *entry = find_or_replace (suspects, key, in_table (now_ms));
  struct crash crash = { .replica = replica,
                         .host = suspects->host,
                         .time_ms = in_table (crashed_ms) };
  bool before = is_cause (suspects, entry);

  (void)add_crash (entry, &crash, in_table (now_ms));
  return !before && is_cause (suspects, entry) ? DS_SUSPECT_BLOCKED
                                               : DS_SUSPECT_UNCHANGED;
}

static enum ds_suspect_change
clear (struct ds_crash_suspects *suspects, struct entry *entry,
       uint64_t began_ms, uint64_t now_ms)
{
  bool before = is_cause (suspects, entry);
  size_t crashes = active_crashes (entry);

  if (began_ms <= entry->cleared_ms)
    return DS_SUSPECT_UNCHANGED;
  entry->cleared_ms = began_ms;
  if (active_crashes (entry) < crashes)
    entry->changed_ms = now_ms;
  return before && !is_cause (suspects, entry) ? DS_SUSPECT_CLEARED
                                               : DS_SUSPECT_UNCHANGED;
}

/* Records that an answer to a request with KEY, which began at BEGAN_MS, has
   come further than any that crashes its replica.  Crashes after its begin
   remain, since a part may have become harmful only then.  */
enum ds_suspect_change
ds_crash_suspects_clear (struct ds_crash_suspects *suspects,
                         struct ds_suspect_key key, uint64_t began_ms,
                         uint64_t now_ms)
{
  struct entry *entry = suspects->used > 0 ? find (suspects, key) : NULL;

  return entry != NULL
             ? clear (suspects, entry, in_table (began_ms), in_table (now_ms))
             : DS_SUSPECT_UNCHANGED;
}

/* Whether the replicas of all active crashes of ENTRY are those of crashes of
   OTHER.  */
static bool
covers (const struct entry *other, const struct entry *entry)
{
  for (size_t i = 0; i < entry->crash_count; i++)
    {
      bool found = !is_active (entry, &entry->crashes[i]);

      for (size_t k = 0; k < other->crash_count && !found; k++)
        found = other->crashes[k].replica == entry->crashes[i].replica
                && is_active (other, &other->crashes[k]);
      if (!found)
        return false;
    }
  return true;
}

/* Whether a part that the request with KEYS does not have explains all crashes
   of ENTRY.  */
static bool
is_explained (const struct ds_crash_suspects *suspects,
              const struct entry *entry, const struct ds_suspect_key *keys,
              size_t count)
{
  for (size_t i = 0; i < suspects->used; i++)
    {
      const struct entry *other = &suspects->entries[i];
      bool in_request = other == entry || other->crash_count == 0;

      for (size_t k = 0; k < count && !in_request; k++)
        in_request = keys_are_equal (other->key, keys[k]);
      if (!in_request && other->key.kind == DS_SUSPECT_PART
          && is_cause (suspects, other) && covers (other, entry))
        return true;
    }
  return false;
}

/* Returns the time in which the request with KEYS may not be sent because of
   ENTRY, one of them.  A part whose crashes another one explains is tried
   soon.  */
static uint64_t
wait_of_entry_ms (const struct ds_crash_suspects *suspects,
                  const struct entry *entry, const struct ds_suspect_key *keys,
                  size_t count, uint64_t now_ms)
{
  uint64_t allowed_ms;

  if (!is_cause (suspects, entry))
    return 0;
  allowed_ms
      = last_crash_ms (entry)
        + (is_explained (suspects, entry, keys, count)
               ? spread_ms (suspects, entry, EARLY_TRIAL_MS)
               : block_duration_ms (entry)
                     + spread_ms (suspects, entry, block_duration_ms (entry)));
  if (now_ms < allowed_ms)
    return allowed_ms - now_ms;
  return entry->trial_ms > 0 && now_ms - entry->trial_ms < TRIAL_MS
             ? TRIAL_MS - (now_ms - entry->trial_ms)
             : 0;
}

/* Returns the time in which no request with one of KEYS may be sent to a
   replica; 0 if one may be sent now.

   Load: one part of prompts crashes each replica that begins to answer it, and
   requests with it, no two alike, come at every host.  Each crash ends all
   other answers of the replica.  */
uint64_t
ds_crash_suspects_wait_ms (const struct ds_crash_suspects *suspects,
                           const struct ds_suspect_key *keys, size_t count,
                           uint64_t now_ms)
{
  uint64_t longest_ms = 0;

  for (size_t i = 0; i < count && suspects->used > 0; i++)
    {
      const struct entry *entry = find (suspects, keys[i]);
      uint64_t left_ms = entry != NULL ? wait_of_entry_ms (
                             suspects, entry, keys, count, in_table (now_ms))
                                       : 0;

      if (left_ms > longest_ms)
        longest_ms = left_ms;
    }
  return longest_ms;
}

/* Notes that a request with KEYS is sent to a replica.  For a suspect that was
   blocked it is a trial: no other follows before its outcome.  */
void
ds_crash_suspects_note_sent (struct ds_crash_suspects *suspects,
                             const struct ds_suspect_key *keys, size_t count,
                             uint64_t now_ms)
{
  for (size_t i = 0; i < count && suspects->used > 0; i++)
    {
      struct entry *entry = find (suspects, keys[i]);

      if (entry != NULL && is_cause (suspects, entry))
        entry->trial_ms = in_table (now_ms);
    }
}

/* Number of crashes that count against KEY.  */
size_t
ds_crash_suspects_crashes (const struct ds_crash_suspects *suspects,
                           struct ds_suspect_key key)
{
  const struct entry *entry = find (suspects, key);

  return entry != NULL ? active_crashes (entry) : 0;
}

static void
make_report (struct ds_suspect_report *out, const struct entry *entry,
             uint64_t now_ms)
{
  *out = (struct ds_suspect_report){
    .key = entry->key,
    .crash_count = entry->crash_count,
    .cleared = entry->cleared_ms > 0,
    .cleared_age_ms = now_ms - entry->cleared_ms,
  };
  for (size_t i = 0; i < entry->crash_count; i++)
    out->crashes[i] = (struct ds_suspect_crash){
      .replica = entry->crashes[i].replica,
      .host = entry->crashes[i].host,
      .age_ms = now_ms - entry->crashes[i].time_ms,
      .several_hosts = entry->crashes[i].several_hosts,
    };
}

/* Writes up to MOST reports for other hosts to OUT and returns their number:
   suspects that are blocked, which a host that has just started must know, and
   those that have changed recently, in turn.  */
size_t
ds_crash_suspects_take_reports (struct ds_crash_suspects *suspects,
                                struct ds_suspect_report *out, size_t most,
                                uint64_t now_ms)
{
  size_t count = 0;

  now_ms = in_table (now_ms);
  for (size_t i = 0; i < suspects->used && count < most; i++)
    if (active_crashes (&suspects->entries[i]) >= CRASHES_TO_BLOCK
        && now_ms - last_crash_ms (&suspects->entries[i]) < KEEP_MS)
      make_report (&out[count++], &suspects->entries[i], now_ms);
  for (size_t i = 0; i < suspects->used && count < most; i++)
    {
      const struct entry *entry
          = &suspects->entries[suspects->next_report++ % suspects->used];

      if (entry->crash_count > 0 && now_ms - entry->changed_ms < REPORT_MS
          && active_crashes (entry) < CRASHES_TO_BLOCK)
        make_report (&out[count++], entry, now_ms);
    }
  return count;
}

/* Adds the crashes of REPORT that are less than OLDEST_MS ago, and its
   success.  */
static enum ds_suspect_change
add_report (struct ds_crash_suspects *suspects,
            const struct ds_suspect_report *report, uint64_t oldest_ms,
            uint64_t now_ms)
{
  struct entry *entry = find (suspects, report->key);
  bool before;
  bool after;

  if (report->crash_count == 0)
    return DS_SUSPECT_UNCHANGED;
  if (entry == NULL)
    entry = find_or_replace (suspects, report->key, now_ms);
  before = is_cause (suspects, entry);
  for (size_t i = 0; i < report->crash_count; i++)
    {
      const struct ds_suspect_crash *reported = &report->crashes[i];

      if (reported->age_ms < now_ms && reported->age_ms < oldest_ms)
        (void)add_crash (entry,
                         &(struct crash){
                             .replica = reported->replica,
                             .host = reported->host,
                             .several_hosts = reported->several_hosts,
                             .time_ms = now_ms - reported->age_ms,
                         },
                         now_ms);
    }
  if (report->cleared && report->cleared_age_ms < now_ms)
    (void)clear (suspects, entry, now_ms - report->cleared_age_ms, now_ms);
  after = is_cause (suspects, entry);
  if (before == after)
    return DS_SUSPECT_UNCHANGED;
  return after ? DS_SUSPECT_BLOCKED : DS_SUSPECT_CLEARED;
}

/* Adds what another host has reported.  Its crashes and successes are ordered
   by their time, so a report from before a success cannot undo it.  */
enum ds_suspect_change
ds_crash_suspects_merge (struct ds_crash_suspects *suspects,
                         const struct ds_suspect_report *report,
                         uint64_t now_ms)
{
  return add_report (suspects, report, KEEP_MS, in_table (now_ms));
}

/* Adds what hosts have recorded, unless its last crash is too long ago.  The
   earlier crashes count whenever they were: they make the block longer.  */
enum ds_suspect_change
ds_crash_suspects_restore (struct ds_crash_suspects *suspects,
                           const struct ds_suspect_report *report,
                           uint64_t now_ms)
{
  uint64_t newest_ms = UINT64_MAX;

  for (size_t i = 0; i < report->crash_count; i++)
    if (report->crashes[i].age_ms < newest_ms)
      newest_ms = report->crashes[i].age_ms;
  if (newest_ms >= KEEP_MS)
    return DS_SUSPECT_UNCHANGED;
  return add_report (suspects, report, PAST_MS, in_table (now_ms));
}

/* Writes reports of up to MOST causes of crashes, those with the newest
   crashes first, to OUT and returns their number.  */
size_t
ds_crash_suspects_list_causes (const struct ds_crash_suspects *suspects,
                               struct ds_suspect_report *out, size_t most,
                               uint64_t now_ms)
{
  size_t count = 0;
  uint64_t before_ms = UINT64_MAX;

  now_ms = in_table (now_ms);
  while (count < most)
    {
      uint64_t newest_ms = 0;

      for (size_t i = 0; i < suspects->used; i++)
        {
          uint64_t last_ms = last_crash_ms (&suspects->entries[i]);

          if (last_ms > newest_ms && last_ms < before_ms
              && now_ms - last_ms < KEEP_MS
              && is_cause (suspects, &suspects->entries[i]))
            newest_ms = last_ms;
        }
      if (newest_ms == 0)
        break;
      before_ms = newest_ms;
      for (size_t i = 0; i < suspects->used && count < most; i++)
        if (last_crash_ms (&suspects->entries[i]) == newest_ms
            && is_cause (suspects, &suspects->entries[i]))
          make_report (&out[count++], &suspects->entries[i], now_ms);
    }
  return count;
}

/* Whether a success has ended the suspicion against KEY.  */
bool
ds_crash_suspects_is_cleared (const struct ds_crash_suspects *suspects,
                              struct ds_suspect_key key)
{
  const struct entry *entry = find (suspects, key);

  return entry != NULL && entry->cleared_ms > 0
         && active_crashes (entry) < CRASHES_TO_BLOCK;
}
