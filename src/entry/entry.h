#ifndef DS_ENTRY_ENTRY_H
#define DS_ENTRY_ENTRY_H

#include "daisystep/error.h"

#include <talloc.h>

struct ds_entry;

int ds_entry_new (struct ds_entry **out, const char *settings_path,
                  struct ds_error *error);
int ds_entry_run (struct ds_entry *entry);
void ds_entry_free (struct ds_entry *entry);

#endif
