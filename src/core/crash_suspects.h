#ifndef DS_CORE_CRASH_SUSPECTS_H
#define DS_CORE_CRASH_SUSPECTS_H

#include "daisystep/str.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* What may crash the replicas that answer it.  */
enum ds_suspect_kind
{
  DS_SUSPECT_REQUEST, /* a request that callers repeat unchanged */
  DS_SUSPECT_PART     /* a part of prompts, in requests that differ */
};

struct ds_suspect_key
{
  enum ds_suspect_kind kind;
  uint64_t hash;
};

/* Keys of one request: itself and the shared parts of its prompt.  */
#define DS_SUSPECT_KEYS_MAX 17

/* Crashes that are kept for a suspect.  */
#define DS_SUSPECT_CRASHES_MAX 6

/* One crash of an incarnation of a replica.  HOST is the hash of the host that
   saw it.  */
struct ds_suspect_crash
{
  uint64_t replica;
  uint32_t host;
  uint64_t age_ms;
  bool several_hosts; /* others have seen it, too; not sent between hosts */
};

/* What a host tells the others about a suspect, or records in the store.  */
struct ds_suspect_report
{
  struct ds_suspect_key key;
  struct ds_suspect_crash crashes[DS_SUSPECT_CRASHES_MAX];
  size_t crash_count;
  bool cleared;            /* an answer has succeeded */
  uint64_t cleared_age_ms; /* time since it began */
};

/* What a change of the evidence has led to.  */
enum ds_suspect_change
{
  DS_SUSPECT_UNCHANGED,
  DS_SUSPECT_BLOCKED,
  DS_SUSPECT_CLEARED
};

struct ds_crash_suspects;

int ds_crash_suspects_new (struct ds_crash_suspects **out, TALLOC_CTX *owner,
                           uint32_t host);
enum ds_suspect_change
ds_crash_suspects_record (struct ds_crash_suspects *suspects,
                          struct ds_suspect_key key, uint64_t replica,
                          uint64_t crashed_ms, uint64_t now_ms);
enum ds_suspect_change
ds_crash_suspects_clear (struct ds_crash_suspects *suspects,
                         struct ds_suspect_key key, uint64_t began_ms,
                         uint64_t now_ms);
uint64_t ds_crash_suspects_wait_ms (const struct ds_crash_suspects *suspects,
                                    const struct ds_suspect_key *keys,
                                    size_t count, uint64_t now_ms);
void ds_crash_suspects_note_sent (struct ds_crash_suspects *suspects,
                                  const struct ds_suspect_key *keys,
                                  size_t count, uint64_t now_ms);
size_t ds_crash_suspects_crashes (const struct ds_crash_suspects *suspects,
                                  struct ds_suspect_key key);
size_t ds_crash_suspects_take_reports (struct ds_crash_suspects *suspects,
                                       struct ds_suspect_report *out,
                                       size_t most, uint64_t now_ms);
enum ds_suspect_change
ds_crash_suspects_merge (struct ds_crash_suspects *suspects,
                         const struct ds_suspect_report *report,
                         uint64_t now_ms);
size_t ds_crash_suspects_list_causes (const struct ds_crash_suspects *suspects,
                                      struct ds_suspect_report *out,
                                      size_t most, uint64_t now_ms);
bool ds_crash_suspects_is_cleared (const struct ds_crash_suspects *suspects,
                                   struct ds_suspect_key key);
enum ds_suspect_change
ds_crash_suspects_restore (struct ds_crash_suspects *suspects,
                           const struct ds_suspect_report *report,
                           uint64_t now_ms);

#endif
