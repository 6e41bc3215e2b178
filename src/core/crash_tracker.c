#include "core/crash_tracker.h"
#include "daisystep/error.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

/* A suspect that neither completes nor crashes again expires.  */
#define SUSPECT_LIFETIME_MS UINT64_C (600000)
/* Time to wait for the reports of other hosts about the same crash: two hosts
   may each have had a suspect on the upstream, and each would take its own for
   the cause.  */
#define REPORT_WAIT_MS 1000
/* Maximum number of crashes that wait for reports.  */
#define PENDING_MAX 32
/* Limits memory when many different requests are involved in crashes; the
   oldest entry is evicted, suspects before poisonous ones.  */
#define ENTRIES_MAX 4096
/* Maximum number of reports queued for the other hosts.  */
#define REPORTS_MAX 64

struct entry
{
  uint64_t digest;
  /* Upstream of the last crash that counted, and the number of such
     crashes.  */
  uint64_t upstream;
  uint32_t crashes;
  /* Id of the crash that made it a suspect.  */
  uint64_t crash_id;
  uint64_t updated_ms;
  bool poisonous;
};

/* A crash that is not decided yet, with the digests reported by all hosts.  */
struct pending
{
  uint64_t upstream;
  uint64_t crash_id;
  uint64_t opened_ms;
  uint64_t *digests;
  size_t digest_count;
};

struct ds_crash_tracker
{
  GHashTable *entries;
  uint64_t crash_count;
  struct pending pending[PENDING_MAX];
  size_t pending_count;
  struct ds_crash_report *reports;
  size_t report_count;
};

static int
free_entries (struct ds_crash_tracker *tracker)
{
  g_hash_table_destroy (tracker->entries);
  return 0;
}

static struct entry *
find_entry (const struct ds_crash_tracker *tracker, uint64_t digest)
{
  return g_hash_table_lookup (tracker->entries, &digest);
}

static void
remove_entry (struct ds_crash_tracker *tracker, struct entry *entry)
{
  g_hash_table_remove (tracker->entries, &entry->digest);
  talloc_free (entry);
}

static bool
is_expired (const struct entry *entry, uint64_t now_ms)
{
  return !entry->poisonous && now_ms - entry->updated_ms > SUSPECT_LIFETIME_MS;
}

static void
evict_oldest (struct ds_crash_tracker *tracker)
{
  GHashTableIter iter;
  gpointer value;
  struct entry *oldest = NULL;

  if (g_hash_table_size (tracker->entries) < ENTRIES_MAX)
    return;
  g_hash_table_iter_init (&iter, tracker->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct entry *entry = value;

      if (oldest == NULL || entry->poisonous < oldest->poisonous
          || (entry->poisonous == oldest->poisonous
              && entry->updated_ms < oldest->updated_ms))
        oldest = entry;
    }
  remove_entry (tracker, oldest);
}

static struct entry *
find_or_add (struct ds_crash_tracker *tracker, uint64_t digest,
             uint64_t now_ms)
{
  struct entry *entry = find_entry (tracker, digest);

  if (entry != NULL)
    return entry;
  evict_oldest (tracker);
  entry = talloc_zero (tracker, struct entry);
  if (entry == NULL)
    return NULL;
  entry->digest = digest;
  entry->updated_ms = now_ms;
  g_hash_table_insert (tracker->entries, &entry->digest, entry);
  return entry;
}

static void
queue_report (struct ds_crash_tracker *tracker,
              const struct ds_crash_report *report)
{
  uint64_t *digests;

  if (tracker->report_count == REPORTS_MAX)
    {
      talloc_free ((void *)tracker->reports[0].digests);
      memmove (tracker->reports, tracker->reports + 1,
               (REPORTS_MAX - 1) * sizeof *tracker->reports);
      tracker->report_count--;
    }
  digests = talloc_memdup (tracker, report->digests,
                           report->digest_count * sizeof *digests);
  if (digests == NULL)
    return;
  tracker->reports[tracker->report_count] = *report;
  tracker->reports[tracker->report_count++].digests = digests;
}

static gboolean
free_suspect_of_crash (gpointer key, gpointer value, gpointer data)
{
  struct entry *entry = value;
  const uint64_t *crash_id = data;

  (void)key;
  if (entry->poisonous || entry->crash_id != *crash_id)
    return FALSE;
  talloc_free (entry);
  return TRUE;
}

/* Marks DIGEST as poisonous.  That explains the crash that made it a suspect,
   so the other suspects of that crash are removed.  */
static void
mark_poisonous (struct ds_crash_tracker *tracker, uint64_t digest,
                uint64_t now_ms)
{
  struct entry *entry = find_or_add (tracker, digest, now_ms);

  if (entry == NULL || entry->poisonous)
    return;
  entry->poisonous = true;
  entry->updated_ms = now_ms;
  if (entry->crash_id != 0)
    (void)g_hash_table_foreach_remove (tracker->entries, free_suspect_of_crash,
                                       &entry->crash_id);
}

/* Whether ENTRY was already a suspect before CRASH.  */
static bool
is_earlier_suspect (const struct entry *entry, const struct pending *crash,
                    uint64_t now_ms)
{
  return entry != NULL && !entry->poisonous
         && entry->crash_id != crash->crash_id && !is_expired (entry, now_ms);
}

/* Returns the earlier suspect with the most crashes among the digests of
   CRASH.  Null if there is none, if several tie, or if its last crash was on
   the same upstream.  */
static struct entry *
find_likely_cause (const struct ds_crash_tracker *tracker,
                   const struct pending *crash, uint64_t now_ms)
{
  struct entry *found = NULL;
  bool unique = true;

  for (size_t i = 0; i < crash->digest_count; i++)
    {
      struct entry *entry = find_entry (tracker, crash->digests[i]);

      if (entry == found || !is_earlier_suspect (entry, crash, now_ms)
          || (found != NULL && entry->crashes < found->crashes))
        continue;
      unique = found == NULL || entry->crashes > found->crashes;
      found = entry;
    }
  return unique && found != NULL && found->upstream != crash->upstream ? found
                                                                       : NULL;
}

/* Adds CRASH to the counts of its earlier suspects.  */
static void
count_crash (struct ds_crash_tracker *tracker, const struct pending *crash,
             uint64_t now_ms)
{
  for (size_t i = 0; i < crash->digest_count; i++)
    {
      struct entry *entry = find_entry (tracker, crash->digests[i]);

      if (!is_earlier_suspect (entry, crash, now_ms)
          || entry->upstream == crash->upstream)
        continue;
      entry->crashes++;
      entry->upstream = crash->upstream;
      entry->updated_ms = now_ms;
    }
}

static bool
has_poisonous (const struct ds_crash_tracker *tracker, const uint64_t *digests,
               size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (ds_crash_tracker_is_poisonous (tracker, digests[i]))
      return true;
  return false;
}

/* Decides the oldest pending crash and removes it.  A poisonous digest in
   flight explains the crash, so its other digests are not suspects.  */
static void
decide_oldest (struct ds_crash_tracker *tracker, uint64_t now_ms)
{
  struct pending crash = tracker->pending[0];
  struct entry *suspect = find_likely_cause (tracker, &crash, now_ms);
  bool explained = has_poisonous (tracker, crash.digests, crash.digest_count);

  tracker->pending_count--;
  memmove (tracker->pending, tracker->pending + 1,
           tracker->pending_count * sizeof crash);
  if (suspect != NULL && !explained)
    {
      mark_poisonous (tracker, suspect->digest, now_ms);
      queue_report (tracker, &(struct ds_crash_report){
                                 .upstream = crash.upstream,
                                 .poisonous = true,
                                 .digests = &suspect->digest,
                                 .digest_count = 1,
                             });
    }
  if (suspect != NULL || explained)
    (void)g_hash_table_foreach_remove (tracker->entries, free_suspect_of_crash,
                                       &crash.crash_id);
  else
    count_crash (tracker, &crash, now_ms);
  talloc_free (crash.digests);
}

static struct pending *
find_or_add_pending (struct ds_crash_tracker *tracker, uint64_t upstream,
                     uint64_t now_ms)
{
  struct pending *crash;

  for (size_t i = 0; i < tracker->pending_count; i++)
    if (tracker->pending[i].upstream == upstream)
      return &tracker->pending[i];
  if (tracker->pending_count == PENDING_MAX)
    decide_oldest (tracker, now_ms);
  crash = &tracker->pending[tracker->pending_count++];
  *crash = (struct pending){
    .upstream = upstream,
    .crash_id = ++tracker->crash_count,
    .opened_ms = now_ms,
  };
  return crash;
}

static void
add_report (struct ds_crash_tracker *tracker, struct pending *crash,
            const struct ds_crash_report *report, uint64_t now_ms)
{
  uint64_t *digests
      = talloc_realloc (tracker, crash->digests, uint64_t,
                        crash->digest_count + report->digest_count);

  if (digests == NULL)
    return;
  crash->digests = digests;
  for (size_t i = 0; i < report->digest_count; i++)
    {
      struct entry *entry = find_or_add (tracker, report->digests[i], now_ms);

      digests[crash->digest_count++] = report->digests[i];
      if (entry == NULL || entry->poisonous
          || (entry->crash_id != 0 && !is_expired (entry, now_ms)))
        continue;
      entry->crash_id = crash->crash_id;
      entry->crashes = 1;
      entry->upstream = crash->upstream;
      entry->updated_ms = now_ms;
    }
}

/* Creates an empty tracker.  Returns 0 or DS_ENOMEM.  */
int
ds_crash_tracker_new (struct ds_crash_tracker **out, TALLOC_CTX *owner)
{
  struct ds_crash_tracker *tracker
      = talloc_zero (owner, struct ds_crash_tracker);

  if (tracker == NULL)
    return DS_ENOMEM;
  tracker->reports
      = talloc_array (tracker, struct ds_crash_report, REPORTS_MAX);
  if (tracker->reports == NULL)
    {
      talloc_free (tracker);
      return DS_ENOMEM;
    }
  tracker->entries = g_hash_table_new (g_int64_hash, g_int64_equal);
  talloc_set_destructor (tracker, free_entries);
  *out = tracker;
  return 0;
}

/* Adds CRASH, detected by this host if LOCAL, else reported by another one.
   Unknown digests become suspects at once; ds_crash_tracker_tick decides
   whether one is poisonous.  Local crashes and decisions are queued as reports
   for the other hosts.  */
void
ds_crash_tracker_add (struct ds_crash_tracker *tracker,
                      const struct ds_crash_report *crash, bool local,
                      uint64_t now_ms)
{
  if (crash->poisonous)
    {
      for (size_t i = 0; i < crash->digest_count; i++)
        mark_poisonous (tracker, crash->digests[i], now_ms);
      return;
    }
  if (crash->digest_count == 0)
    return;
  if (local)
    queue_report (tracker, crash);
  add_report (tracker, find_or_add_pending (tracker, crash->upstream, now_ms),
              crash, now_ms);
}

/* Decides the crashes whose time for reports has passed.  */
void
ds_crash_tracker_tick (struct ds_crash_tracker *tracker, uint64_t now_ms)
{
  while (tracker->pending_count > 0
         && now_ms - tracker->pending[0].opened_ms >= REPORT_WAIT_MS)
    decide_oldest (tracker, now_ms);
}

/* Whether DIGEST is a suspect that was in flight at another crash which is not
   decided yet; it must not run until then.  */
bool
ds_crash_tracker_is_undecided (const struct ds_crash_tracker *tracker,
                               uint64_t digest)
{
  const struct entry *entry = find_entry (tracker, digest);

  if (entry == NULL || entry->poisonous)
    return false;
  for (size_t i = 0; i < tracker->pending_count; i++)
    if (tracker->pending[i].upstream != entry->upstream)
      for (size_t j = 0; j < tracker->pending[i].digest_count; j++)
        if (tracker->pending[i].digests[j] == digest)
          return true;
  return false;
}

/* Clears the suspect DIGEST, which has completed.  A poisonous digest
   stays.  */
void
ds_crash_tracker_clear (struct ds_crash_tracker *tracker, uint64_t digest)
{
  struct entry *entry = find_entry (tracker, digest);

  if (entry != NULL && !entry->poisonous)
    remove_entry (tracker, entry);
}

/* Whether DIGEST was in flight at a crash whose cause is not known yet.  */
bool
ds_crash_tracker_is_suspect (const struct ds_crash_tracker *tracker,
                             uint64_t digest, uint64_t now_ms)
{
  const struct entry *entry = find_entry (tracker, digest);

  return entry != NULL && !entry->poisonous && !is_expired (entry, now_ms);
}

/* Whether requests with DIGEST must be refused.  */
bool
ds_crash_tracker_is_poisonous (const struct ds_crash_tracker *tracker,
                               uint64_t digest)
{
  const struct entry *entry = find_entry (tracker, digest);

  return entry != NULL && entry->poisonous;
}

/* Moves the queued reports to an array owned by OWNER.  Returns 0 or
   DS_ENOMEM.  */
int
ds_crash_tracker_take_reports (struct ds_crash_tracker *tracker,
                               struct ds_crash_report **out, size_t *out_count,
                               TALLOC_CTX *owner)
{
  struct ds_crash_report *reports
      = talloc_array (owner, struct ds_crash_report, tracker->report_count);

  if (reports == NULL)
    return DS_ENOMEM;
  for (size_t i = 0; i < tracker->report_count; i++)
    {
      reports[i] = tracker->reports[i];
      reports[i].digests = talloc_steal (reports, tracker->reports[i].digests);
    }
  *out = reports;
  *out_count = tracker->report_count;
  tracker->report_count = 0;
  return 0;
}

/* Returns the number of suspects and the poisonous digests in hexadecimal.
   The caller owns the object.  */
struct json_t *
ds_crash_tracker_dump (const struct ds_crash_tracker *tracker, uint64_t now_ms)
{
  json_t *poisonous = json_array ();
  json_int_t suspects = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, tracker->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct entry *entry = value;
      char text[17];

      suspects += !entry->poisonous && !is_expired (entry, now_ms);
      if (!entry->poisonous)
        continue;
      (void)snprintf (text, sizeof text, "%016" PRIx64, entry->digest);
      json_array_append_new (poisonous, json_string (text));
    }
  return json_pack ("{s:I, s:o}", "suspects", suspects, "poisonous",
                    poisonous);
}
