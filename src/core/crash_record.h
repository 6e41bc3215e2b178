#ifndef DS_CORE_CRASH_RECORD_H
#define DS_CORE_CRASH_RECORD_H

#include "core/crash_suspects.h"

#include <jansson.h>

/* Causes of crashes in one record, 8 KB at most.  */
#define DS_CRASH_RECORD_MAX 16

/* The causes of crashes that outlive all hosts.  */
struct ds_crash_record
{
  struct ds_suspect_report reports[DS_CRASH_RECORD_MAX];
  size_t count;
};

void ds_crash_record_decode (struct ds_crash_record *out, const json_t *json,
                             uint64_t wall_ms);
json_t *ds_crash_record_encode (const struct ds_crash_record *record,
                                uint64_t wall_ms);
bool ds_crash_record_is_behind (const struct ds_crash_record *stored,
                                const struct ds_crash_record *current,
                                const struct ds_crash_suspects *suspects,
                                uint32_t host);

#endif
