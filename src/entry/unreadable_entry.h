#ifndef DS_ENTRY_UNREADABLE_ENTRY_H
#define DS_ENTRY_UNREADABLE_ENTRY_H

#include "daisystep/str.h"

void ds_unreadable_entry_report (const char *kind, struct ds_str name,
                                 uint64_t revision, const char *reason);

#endif
