#include "core/crash_record.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Hashes exceed the integers that all JSON readers can represent, and are
   written as 16 hexadecimal digits.  */
#define HEX_BYTES 17

static json_t *
hash_to_json (uint64_t hash)
{
  char text[HEX_BYTES];

  (void)snprintf (text, sizeof text, "%016" PRIx64, hash);
  return json_string (text);
}

static bool
hash_from_json (uint64_t *out, const json_t *json)
{
  const char *text = json_string_value (json);
  char *end;

  if (text == NULL || strlen (text) != HEX_BYTES - 1
      || strspn (text, "0123456789abcdef") != HEX_BYTES - 1)
    return false;
  *out = strtoull (text, &end, 16);
  return true;
}

/* Reads a time of day; false if it is not a positive whole number.  */
static bool
time_from_json (uint64_t *out, const json_t *json)
{
  if (!json_is_integer (json) || json_integer_value (json) <= 0)
    return false;
  *out = (uint64_t)json_integer_value (json);
  return true;
}

/* Reads a crash, with its time in place of its age.  */
static bool
decode_crash (struct ds_suspect_crash *out, const json_t *json)
{
  const json_t *host = json_object_get (json, "host");

  *out = (struct ds_suspect_crash){
    .several_hosts = json_is_true (json_object_get (json, "several_hosts")),
  };
  if (!hash_from_json (&out->replica, json_object_get (json, "replica"))
      || !time_from_json (&out->age_ms, json_object_get (json, "time"))
      || !json_is_integer (host) || json_integer_value (host) < 0
      || json_integer_value (host) > UINT32_MAX)
    return false;
  out->host = (uint32_t)json_integer_value (host);
  return true;
}

static bool
decode_key (struct ds_suspect_key *out, const json_t *json)
{
  const char *kind = json_string_value (json_object_get (json, "kind"));

  if (kind == NULL
      || !hash_from_json (&out->hash, json_object_get (json, "key")))
    return false;
  if (strcmp (kind, "part") == 0)
    out->kind = DS_SUSPECT_PART;
  else if (strcmp (kind, "request") == 0)
    out->kind = DS_SUSPECT_REQUEST;
  else
    return false;
  return true;
}

/* Turns the times of REPORT into ages.  Where the newest one is later than
   WALL_MS, by the clock of another host or before a step of this one's, it
   counts as now, and the others keep their distance to it.  */
static void
set_ages (struct ds_suspect_report *report, uint64_t wall_ms)
{
  for (size_t i = 0; i < report->crash_count; i++)
    if (report->crashes[i].age_ms > wall_ms)
      wall_ms = report->crashes[i].age_ms;
  for (size_t i = 0; i < report->crash_count; i++)
    report->crashes[i].age_ms = wall_ms - report->crashes[i].age_ms;
  if (report->cleared)
    report->cleared_age_ms = report->cleared_age_ms < wall_ms
                                 ? wall_ms - report->cleared_age_ms
                                 : 0;
}

static bool
decode_report (struct ds_suspect_report *out, const json_t *json,
               uint64_t wall_ms)
{
  const json_t *crashes = json_object_get (json, "crashes");
  const json_t *crash;
  size_t i;

  *out = (struct ds_suspect_report){ .crash_count = 0 };
  if (!decode_key (&out->key, json))
    return false;
  json_array_foreach (crashes, i, crash)
  {
    if (out->crash_count < DS_SUSPECT_CRASHES_MAX
        && decode_crash (&out->crashes[out->crash_count], crash))
      out->crash_count++;
  }
  out->cleared = time_from_json (&out->cleared_age_ms,
                                 json_object_get (json, "cleared"));
  set_ages (out, wall_ms);
  return out->crash_count > 0;
}

/* Reads what is readable of a record; WALL_MS is the time of day.  Entries and
   crashes that cannot be read are left out.  */
void
ds_crash_record_decode (struct ds_crash_record *out, const json_t *json,
                        uint64_t wall_ms)
{
  const json_t *entry;
  size_t i;

  out->count = 0;
  json_array_foreach (json_object_get (json, "causes"), i, entry)
  {
    if (out->count < DS_CRASH_RECORD_MAX
        && decode_report (&out->reports[out->count], entry, wall_ms))
      out->count++;
  }
}

static json_t *
encode_report (const struct ds_suspect_report *report, uint64_t wall_ms)
{
  json_t *crashes = json_array ();
  json_t *json
      = json_pack ("{s:s, s:o, s:o}", "kind",
                   report->key.kind == DS_SUSPECT_PART ? "part" : "request",
                   "key", hash_to_json (report->key.hash), "crashes", crashes);

  for (size_t i = 0; i < report->crash_count; i++)
    json_array_append_new (
        crashes,
        json_pack ("{s:o, s:I, s:I, s:b}", "replica",
                   hash_to_json (report->crashes[i].replica), "host",
                   (json_int_t)report->crashes[i].host, "time",
                   (json_int_t)(wall_ms - report->crashes[i].age_ms),
                   "several_hosts", report->crashes[i].several_hosts));
  if (report->cleared)
    json_object_set_new (
        json, "cleared",
        json_integer ((json_int_t)(wall_ms - report->cleared_age_ms)));
  return json;
}

/* Returns RECORD as JSON; WALL_MS is the time of day.  The ages become times
   of day, so that the record expires while no host runs.  */
json_t *
ds_crash_record_encode (const struct ds_crash_record *record, uint64_t wall_ms)
{
  json_t *causes = json_array ();

  for (size_t i = 0; i < record->count; i++)
    json_array_append_new (causes,
                           encode_report (&record->reports[i], wall_ms));
  return json_pack ("{s:o}", "causes", causes);
}

static bool
has_crash (const struct ds_crash_record *record, struct ds_suspect_key key,
           uint64_t replica)
{
  for (size_t i = 0; i < record->count; i++)
    {
      const struct ds_suspect_report *report = &record->reports[i];

      if (report->key.kind != key.kind || report->key.hash != key.hash)
        continue;
      for (size_t k = 0; k < report->crash_count; k++)
        if (report->crashes[k].replica == replica)
          return true;
    }
  return false;
}

/* Whether this host has to replace the record STORED by CURRENT: it was the
   first to see a crash that is missing, so that usually one host writes, or a
   cause in it has been cleared.  What has only expired is no reason to
   write.  */
bool
ds_crash_record_is_behind (const struct ds_crash_record *stored,
                           const struct ds_crash_record *current,
                           const struct ds_crash_suspects *suspects,
                           uint32_t host)
{
  for (size_t i = 0; i < current->count; i++)
    {
      const struct ds_suspect_report *report = &current->reports[i];

      for (size_t k = 0; k < report->crash_count; k++)
        if (report->crashes[k].host == host
            && !has_crash (stored, report->key, report->crashes[k].replica))
          return true;
    }
  for (size_t i = 0; i < stored->count; i++)
    if (ds_crash_suspects_is_cleared (suspects, stored->reports[i].key))
      return true;
  return false;
}
