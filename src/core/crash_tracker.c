#include "core/crash_tracker.h"
#include "daisystep/error.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

/* A suspect that neither completed nor crashed again is forgotten.  */
#define SUSPECT_MS UINT64_C (600000)
/* Time for the notes of other hosts about the same crash to arrive: two hosts
   may each have a suspect on the upstream that crashes, and each alone would
   take its own for the cause.  */
#define SETTLE_MS 1000
/* Crashes whose notes are awaited at the same time.  */
#define PENDING_MAX 32
/* Bounds the memory when many different requests meet crashes; the oldest
   entry makes room, suspects before poisonous ones.  */
#define ENTRIES_MAX 4096
/* Notes kept for the other hosts until they are taken.  */
#define NOTES_MAX 64

struct entry
{
  uint64_t digest;
  /* Upstream of the last crash that counted, and the number of those.  */
  uint64_t upstream;
  uint32_t crashes;
  /* Number of the crash that made it a suspect.  */
  uint64_t crash;
  uint64_t noted_ms;
  bool poisonous;
};

/* A crash that is not decided yet, with the digests of all hosts.  */
struct pending
{
  uint64_t upstream;
  uint64_t crash;
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
  struct ds_crash_report *notes;
  size_t note_count;
};

static int
free_entries (struct ds_crash_tracker *list)
{
  g_hash_table_destroy (list->entries);
  return 0;
}

static struct entry *
find (const struct ds_crash_tracker *list, uint64_t digest)
{
  return g_hash_table_lookup (list->entries, &digest);
}

static void
remove_entry (struct ds_crash_tracker *list, struct entry *entry)
{
  g_hash_table_remove (list->entries, &entry->digest);
  talloc_free (entry);
}

static bool
is_expired (const struct entry *entry, uint64_t now_ms)
{
  return !entry->poisonous && now_ms - entry->noted_ms > SUSPECT_MS;
}

static void
make_room (struct ds_crash_tracker *list)
{
  GHashTableIter iter;
  gpointer value;
  struct entry *oldest = NULL;

  if (g_hash_table_size (list->entries) < ENTRIES_MAX)
    return;
  g_hash_table_iter_init (&iter, list->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct entry *entry = value;

      if (oldest == NULL || entry->poisonous < oldest->poisonous
          || (entry->poisonous == oldest->poisonous
              && entry->noted_ms < oldest->noted_ms))
        oldest = entry;
    }
  remove_entry (list, oldest);
}

static struct entry *
find_or_add (struct ds_crash_tracker *list, uint64_t digest, uint64_t now_ms)
{
  struct entry *entry = find (list, digest);

  if (entry != NULL)
    return entry;
  make_room (list);
  entry = talloc_zero (list, struct entry);
  if (entry == NULL)
    return NULL;
  entry->digest = digest;
  entry->noted_ms = now_ms;
  g_hash_table_insert (list->entries, &entry->digest, entry);
  return entry;
}

static void
keep_note (struct ds_crash_tracker *list, const struct ds_crash_report *note)
{
  uint64_t *digests;

  if (list->note_count == NOTES_MAX)
    {
      talloc_free ((void *)list->notes[0].digests);
      memmove (list->notes, list->notes + 1,
               (NOTES_MAX - 1) * sizeof *list->notes);
      list->note_count--;
    }
  digests = talloc_memdup (list, note->digests,
                           note->digest_count * sizeof *digests);
  if (digests == NULL)
    return;
  list->notes[list->note_count] = *note;
  list->notes[list->note_count++].digests = digests;
}

static gboolean
is_of_crash (gpointer key, gpointer value, gpointer data)
{
  struct entry *entry = value;
  const uint64_t *crash = data;

  (void)key;
  if (entry->poisonous || entry->crash != *crash)
    return FALSE;
  talloc_free (entry);
  return TRUE;
}

/* Marks DIGEST and drops the other suspects of its crash, which is explained
   by it.  */
static void
condemn (struct ds_crash_tracker *list, uint64_t digest, uint64_t now_ms)
{
  struct entry *entry = find_or_add (list, digest, now_ms);

  if (entry == NULL || entry->poisonous)
    return;
  entry->poisonous = true;
  entry->noted_ms = now_ms;
  if (entry->crash != 0)
    (void)g_hash_table_foreach_remove (list->entries, is_of_crash,
                                       &entry->crash);
}

/* Whether ENTRY was a suspect before CRASH.  */
static bool
is_earlier_suspect (const struct entry *entry, const struct pending *crash,
                    uint64_t now_ms)
{
  return entry != NULL && !entry->poisonous && entry->crash != crash->crash
         && !is_expired (entry, now_ms);
}

/* The earlier suspect of CRASH that was present at more crashes than any other
   digest of it, if that was on another upstream; null when there is none or
   more than one.  */
static struct entry *
prime_suspect (const struct ds_crash_tracker *list,
               const struct pending *crash, uint64_t now_ms)
{
  struct entry *found = NULL;
  bool unique = true;

  for (size_t i = 0; i < crash->digest_count; i++)
    {
      struct entry *entry = find (list, crash->digests[i]);

      if (entry == found || !is_earlier_suspect (entry, crash, now_ms)
          || (found != NULL && entry->crashes < found->crashes))
        continue;
      unique = found == NULL || entry->crashes > found->crashes;
      found = entry;
    }
  return unique && found != NULL && found->upstream != crash->upstream ? found
                                                                       : NULL;
}

/* Counts CRASH for its earlier suspects.  */
static void
count_crash (struct ds_crash_tracker *list, const struct pending *crash,
             uint64_t now_ms)
{
  for (size_t i = 0; i < crash->digest_count; i++)
    {
      struct entry *entry = find (list, crash->digests[i]);

      if (!is_earlier_suspect (entry, crash, now_ms)
          || entry->upstream == crash->upstream)
        continue;
      entry->crashes++;
      entry->upstream = crash->upstream;
      entry->noted_ms = now_ms;
    }
}

static bool
has_poisonous (const struct ds_crash_tracker *list, const uint64_t *digests,
               size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (ds_crash_tracker_is_poisonous (list, digests[i]))
      return true;
  return false;
}

/* Decides on the oldest crash and drops it.  A crash with a poisonous digest
   in flight is explained by it, and its other digests are no suspects.  */
static void
resolve_oldest (struct ds_crash_tracker *list, uint64_t now_ms)
{
  struct pending crash = list->pending[0];
  struct entry *suspect = prime_suspect (list, &crash, now_ms);
  bool explained = has_poisonous (list, crash.digests, crash.digest_count);

  list->pending_count--;
  memmove (list->pending, list->pending + 1,
           list->pending_count * sizeof crash);
  if (suspect != NULL && !explained)
    {
      condemn (list, suspect->digest, now_ms);
      keep_note (list, &(struct ds_crash_report){
                           .upstream = crash.upstream,
                           .poisonous = true,
                           .digests = &suspect->digest,
                           .digest_count = 1,
                       });
    }
  if (suspect != NULL || explained)
    (void)g_hash_table_foreach_remove (list->entries, is_of_crash,
                                       &crash.crash);
  else
    count_crash (list, &crash, now_ms);
  talloc_free (crash.digests);
}

static struct pending *
find_or_add_pending (struct ds_crash_tracker *list, uint64_t upstream,
                     uint64_t now_ms)
{
  struct pending *crash;

  for (size_t i = 0; i < list->pending_count; i++)
    if (list->pending[i].upstream == upstream)
      return &list->pending[i];
  if (list->pending_count == PENDING_MAX)
    resolve_oldest (list, now_ms);
  crash = &list->pending[list->pending_count++];
  *crash = (struct pending){
    .upstream = upstream,
    .crash = ++list->crash_count,
    .opened_ms = now_ms,
  };
  return crash;
}

static void
merge (struct ds_crash_tracker *list, struct pending *crash,
       const struct ds_crash_report *note, uint64_t now_ms)
{
  uint64_t *digests
      = talloc_realloc (list, crash->digests, uint64_t,
                        crash->digest_count + note->digest_count);

  if (digests == NULL)
    return;
  crash->digests = digests;
  for (size_t i = 0; i < note->digest_count; i++)
    {
      struct entry *entry = find_or_add (list, note->digests[i], now_ms);

      digests[crash->digest_count++] = note->digests[i];
      if (entry == NULL || entry->poisonous
          || (entry->crash != 0 && !is_expired (entry, now_ms)))
        continue;
      entry->crash = crash->crash;
      entry->crashes = 1;
      entry->upstream = crash->upstream;
      entry->noted_ms = now_ms;
    }
}

/* Creates an empty list.  Returns 0 or DS_ENOMEM.  */
int
ds_crash_tracker_new (struct ds_crash_tracker **out, TALLOC_CTX *owner)
{
  struct ds_crash_tracker *list = talloc_zero (owner, struct ds_crash_tracker);

  if (list == NULL)
    return DS_ENOMEM;
  list->notes = talloc_array (list, struct ds_crash_report, NOTES_MAX);
  if (list->notes == NULL)
    {
      talloc_free (list);
      return DS_ENOMEM;
    }
  list->entries = g_hash_table_new (g_int64_hash, g_int64_equal);
  talloc_set_destructor (list, free_entries);
  *out = list;
  return 0;
}

/* Takes in CRASH, seen on this host if LOCAL, else reported by another one.
   Unknown digests become suspects at once; ds_crash_tracker_tick decides
   whether one is poisonous.  Local crashes and findings are kept as notes for
   the other hosts.  */
void
ds_crash_tracker_add (struct ds_crash_tracker *list,
                      const struct ds_crash_report *crash, bool local,
                      uint64_t now_ms)
{
  if (crash->poisonous)
    {
      for (size_t i = 0; i < crash->digest_count; i++)
        condemn (list, crash->digests[i], now_ms);
      return;
    }
  if (crash->digest_count == 0)
    return;
  if (local)
    keep_note (list, crash);
  merge (list, find_or_add_pending (list, crash->upstream, now_ms), crash,
         now_ms);
}

/* Decides on the crashes for which all notes should have arrived.  */
void
ds_crash_tracker_tick (struct ds_crash_tracker *list, uint64_t now_ms)
{
  while (list->pending_count > 0
         && now_ms - list->pending[0].opened_ms >= SETTLE_MS)
    resolve_oldest (list, now_ms);
}

/* Whether DIGEST, a suspect, was present at another crash that is not decided
   yet: it must not run until then.  */
bool
ds_crash_tracker_is_undecided (const struct ds_crash_tracker *list,
                               uint64_t digest)
{
  const struct entry *entry = find (list, digest);

  if (entry == NULL || entry->poisonous)
    return false;
  for (size_t i = 0; i < list->pending_count; i++)
    if (list->pending[i].upstream != entry->upstream)
      for (size_t j = 0; j < list->pending[i].digest_count; j++)
        if (list->pending[i].digests[j] == digest)
          return true;
  return false;
}

/* Drops the suspicion of DIGEST, which has completed.  A poisonous digest
   stays.  */
void
ds_crash_tracker_clear (struct ds_crash_tracker *list, uint64_t digest)
{
  struct entry *entry = find (list, digest);

  if (entry != NULL && !entry->poisonous)
    remove_entry (list, entry);
}

/* Whether DIGEST was in flight at a crash that is not yet explained.  */
bool
ds_crash_tracker_is_suspect (const struct ds_crash_tracker *list,
                             uint64_t digest, uint64_t now_ms)
{
  const struct entry *entry = find (list, digest);

  return entry != NULL && !entry->poisonous && !is_expired (entry, now_ms);
}

/* Whether DIGEST is to be refused.  */
bool
ds_crash_tracker_is_poisonous (const struct ds_crash_tracker *list,
                               uint64_t digest)
{
  const struct entry *entry = find (list, digest);

  return entry != NULL && entry->poisonous;
}

/* Moves the notes for other hosts to an array owned by OWNER.  Returns 0 or
   DS_ENOMEM.  */
int
ds_crash_tracker_take_reports (struct ds_crash_tracker *list,
                               struct ds_crash_report **out, size_t *out_count,
                               TALLOC_CTX *owner)
{
  struct ds_crash_report *notes
      = talloc_array (owner, struct ds_crash_report, list->note_count);

  if (notes == NULL)
    return DS_ENOMEM;
  for (size_t i = 0; i < list->note_count; i++)
    {
      notes[i] = list->notes[i];
      notes[i].digests = talloc_steal (notes, list->notes[i].digests);
    }
  *out = notes;
  *out_count = list->note_count;
  list->note_count = 0;
  return 0;
}

/* The number of suspects and the poisonous digests as hexadecimal text.  The
   caller owns the object.  */
struct json_t *
ds_crash_tracker_dump (const struct ds_crash_tracker *list, uint64_t now_ms)
{
  json_t *poisonous = json_array ();
  json_int_t suspects = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, list->entries);
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
