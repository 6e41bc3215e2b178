#include "core/evacuation.h"
#include "daisystep/error.h"
#include "daisystep/fields.h"

#include <string.h>

/* Which zones are evacuated, from the host's own watch of the store and from
   the reports of other hosts.

   Load: an operator evacuates one of three to five zones while some of up to
   390 hosts are cut off from the store for many seconds; the store is unstable
   at times; now and then one host reports what the store does not have.  */

/* Time after which a report that no host confirms ends.  */
#define REPORT_MS 30000
/* Time in which no report about a zone is believed after a wrong one.  */
#define REFUTED_MS 10000
/* Zones that are kept because of reports.  A platform has a few; the bound
   limits what a wrong host can add.  */
#define REPORTED_ZONES_MAX 64

struct zone
{
  struct ds_str name;
  bool watched; /* the host's own watch shows it */
  bool listed;  /* the current list contains it */
  uint64_t revision;
  uint64_t report_revision; /* 0 for no report */
  uint64_t report_since_ms; /* when that revision was first reported */
  uint64_t confirmed_ms;    /* by the store, to the host that reported it */
  uint64_t refuted_ms;      /* when a report was last found wrong; or 0 */
  uint64_t ended_ms;        /* of the last evacuation that ended; or 0 */
  uint64_t kept_until_ms;   /* a restored store does not have it; or 0 */
};

struct ds_evacuations
{
  struct zone *zones;
  size_t count;
  uint64_t known_revision; /* of the store, by the host's own watch */
  uint64_t responded_ms;   /* when the own watch last had a response */
  uint64_t keep_ms;        /* until when those missing in a list stay */
  bool listed;             /* at least once */
};

/* Creates an empty set.  Returns 0 or DS_ENOMEM.  */
int
ds_evacuations_new (struct ds_evacuations **out, TALLOC_CTX *owner)
{
  *out = talloc_zero (owner, struct ds_evacuations);
  return *out != NULL ? 0 : DS_ENOMEM;
}

static bool
is_in_force (const struct zone *zone)
{
  return zone->watched || zone->report_revision > 0 || zone->kept_until_ms > 0;
}

static struct zone *
find (const struct ds_evacuations *set, struct ds_str name)
{
  for (size_t i = 0; i < set->count; i++)
    if (ds_str_equal (set->zones[i].name, name))
      return &set->zones[i];
  return NULL;
}

static struct zone *
find_or_add (struct ds_evacuations *set, struct ds_str name)
{
  struct zone *zone = find (set, name);
  struct zone *grown;

  if (zone != NULL)
    return zone;
  grown = talloc_realloc (set, set->zones, struct zone,
                          (unsigned)set->count + 1);
  if (grown == NULL)
    return NULL;
  set->zones = grown;
  zone = &grown[set->count++];
  *zone = (struct zone){ .name = ds_str_copy (set, name) };
  return zone;
}

/* Records when the evacuation of ZONE, which was in force before, ended.  */
static void
note_end (struct zone *zone, uint64_t now_ms)
{
  if (!is_in_force (zone))
    zone->ended_ms = now_ms;
}

/* Begins a full list of the store.  */
void
ds_evacuations_begin_list (struct ds_evacuations *set)
{
  for (size_t i = 0; i < set->count; i++)
    set->zones[i].listed = false;
}

/* Begins an era of the store, which has returned from an older copy. Revisions
   of earlier eras say nothing: reports stay until they expire or this host's
   watch has a response.  The operator writes again what the store has lost, so
   an evacuation that is missing in a list stays until KEEP_MS.  */
void
ds_evacuations_begin_era (struct ds_evacuations *set, uint64_t keep_ms)
{
  set->known_revision = 0;
  set->keep_ms = keep_ms;
  for (size_t i = 0; i < set->count; i++)
    {
      struct zone *zone = &set->zones[i];

      zone->revision = 0;
      if (zone->report_revision > 0)
        zone->report_revision = 1;
    }
}

/* Adds the evacuation of ZONE that the host's own watch shows at REVISION.
   Returns whether the watch did not show one before.  */
bool
ds_evacuations_put (struct ds_evacuations *set, struct ds_str name,
                    uint64_t revision)
{
  struct zone *zone = find_or_add (set, name);
  bool is_new;

  if (zone == NULL)
    return false;
  is_new = !zone->watched;
  zone->watched = true;
  zone->listed = true;
  zone->kept_until_ms = 0;
  zone->revision = revision;
  return is_new;
}

/* Ends the evacuation of ZONE, whose object the host's own watch has seen
   deleted.  Returns whether one was known.  Reports about it end with the
   response that the deletion is part of.  */
bool
ds_evacuations_remove (struct ds_evacuations *set, struct ds_str name,
                       uint64_t now_ms)
{
  struct zone *zone = find (set, name);

  if (zone == NULL || !zone->watched)
    return false;
  zone->watched = false;
  note_end (zone, now_ms);
  return true;
}

/* Ends a full list: evacuations that it did not contain have ended, or are
   kept if the store may have lost them.  */
void
ds_evacuations_end_list (struct ds_evacuations *set, uint64_t now_ms)
{
  for (size_t i = 0; i < set->count; i++)
    if (set->zones[i].watched && !set->zones[i].listed)
      {
        set->zones[i].watched = false;
        if (now_ms < set->keep_ms)
          set->zones[i].kept_until_ms = set->keep_ms;
        note_end (&set->zones[i], now_ms);
      }
  set->listed = true;
}

/* Ends a full list that may lack evacuations: none of them has ended.  */
void
ds_evacuations_end_incomplete_list (struct ds_evacuations *set)
{
  set->listed = true;
}

/* Notes that the host's own watch has read the store up to REVISION by a call
   begun at ASKED_MS, which ends reports about what it covers.  Reports from
   before the call about later revisions are wrong: the store does not have
   them.  */
void
ds_evacuations_apply (struct ds_evacuations *set, uint64_t revision,
                      uint64_t asked_ms, uint64_t now_ms)
{
  set->known_revision = revision;
  set->responded_ms = now_ms;
  for (size_t i = 0; i < set->count; i++)
    {
      struct zone *zone = &set->zones[i];

      if (zone->report_revision == 0
          || (zone->report_revision > revision
              && zone->report_since_ms >= asked_ms))
        continue;
      if (zone->report_revision > revision)
        {
          zone->refuted_ms = now_ms;
          zone->report_revision = 0;
          continue;
        }
      zone->report_revision = 0;
      note_end (zone, now_ms);
    }
}

static void
confirm (struct zone *zone, uint64_t confirmed_ms)
{
  if (confirmed_ms > zone->confirmed_ms)
    zone->confirmed_ms = confirmed_ms;
}

/* Takes the report of another host.  It counts only if this host's own watch
   has not come as far, and was not found wrong recently.  Returns whether it
   puts an evacuation in force.  */
bool
ds_evacuations_report (struct ds_evacuations *set,
                       const struct ds_evacuation_report *report,
                       uint64_t now_ms)
{
  struct zone *zone = find (set, report->zone);
  bool is_new;

  if (report->zone.length == 0 || report->age_ms >= REPORT_MS
      || report->age_ms > now_ms)
    return false;
  if (zone != NULL && zone->watched && report->revision >= zone->revision)
    confirm (zone, now_ms - report->age_ms);
  if (report->revision <= set->known_revision)
    return false;
  if (zone == NULL && set->count < REPORTED_ZONES_MAX)
    zone = find_or_add (set, report->zone);
  if (zone == NULL
      || (zone->refuted_ms > 0 && now_ms - zone->refuted_ms < REFUTED_MS))
    return false;
  is_new = !is_in_force (zone);
  if (report->revision > zone->report_revision)
    {
      zone->report_revision = report->revision;
      zone->report_since_ms = now_ms;
    }
  confirm (zone, now_ms - report->age_ms);
  return is_new;
}

/* Ends reports that no host has confirmed for too long, and evacuations that
   were kept and have not been written again.  */
void
ds_evacuations_expire (struct ds_evacuations *set, uint64_t now_ms)
{
  for (size_t i = 0; i < set->count; i++)
    {
      struct zone *zone = &set->zones[i];

      if (zone->kept_until_ms > 0 && now_ms >= zone->kept_until_ms)
        {
          zone->kept_until_ms = 0;
          note_end (zone, now_ms);
        }
      if (zone->report_revision == 0
          || now_ms - zone->confirmed_ms < REPORT_MS)
        continue;
      zone->report_revision = 0;
      note_end (zone, now_ms);
    }
}

/* Writes up to DS_EVACUATION_REPORTS_MAX evacuations for other hosts to OUT
   and returns their number.  Reports of others are passed on with the age that
   they have here, so that hosts cannot keep one alive by telling each other of
   it.  Entries of other writers whose names no zone has are left out: they
   would take the place of others, or make the datagram too long.  */
size_t
ds_evacuations_list_reports (const struct ds_evacuations *set,
                             struct ds_evacuation_report *out, uint64_t now_ms)
{
  size_t used = 0;

  for (size_t i = 0; i < set->count && used < DS_EVACUATION_REPORTS_MAX; i++)
    {
      const struct zone *zone = &set->zones[i];
      bool reported = zone->report_revision > zone->revision;
      uint64_t confirmed_ms = zone->confirmed_ms;

      if (zone->watched && set->responded_ms > confirmed_ms)
        confirmed_ms = set->responded_ms;
      if ((!zone->watched && !reported) || now_ms - confirmed_ms >= REPORT_MS
          || !ds_name_is_valid (zone->name))
        continue;
      out[used++] = (struct ds_evacuation_report){
        .zone = zone->name,
        .revision = reported ? zone->report_revision : zone->revision,
        .age_ms = now_ms - confirmed_ms,
      };
    }
  return used;
}

/* True once the evacuations have been listed.  */
bool
ds_evacuations_is_listed (const struct ds_evacuations *set)
{
  return set->listed;
}

/* Returns the number of zones that are evacuated.  */
size_t
ds_evacuations_count (const struct ds_evacuations *set)
{
  size_t count = 0;

  for (size_t i = 0; i < set->count; i++)
    if (is_in_force (&set->zones[i]))
      count++;
  return count;
}

/* True if the replicas of ZONE get no requests.  Before the first list any
   zone may be evacuated, so all count as such.  */
bool
ds_evacuations_cover (const struct ds_evacuations *set, struct ds_str name)
{
  const struct zone *zone;

  if (!set->listed)
    return true;
  zone = find (set, name);
  return zone != NULL && is_in_force (zone);
}

/* Returns when the last evacuation of ZONE ended, as far as this host knows;
   0 if none has, or while one is in force.  Its replicas may have become cold
   meanwhile.  */
uint64_t
ds_evacuations_ended_ms (const struct ds_evacuations *set, struct ds_str name)
{
  const struct zone *zone = find (set, name);

  return zone != NULL && !is_in_force (zone) ? zone->ended_ms : 0;
}
