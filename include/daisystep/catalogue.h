#ifndef DAISYSTEP_CATALOGUE_H
#define DAISYSTEP_CATALOGUE_H

#include "daisystep/str.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The declared resources in effect on a host.  An object is only replaced by a
   higher version, so a stale source cannot revert it.  */
struct ds_catalogue;

/* One object.  Owned by the catalogue and valid until the object's next
   change.  */
struct ds_catalogue_entry
{
  struct ds_str kind;
  struct ds_str name;
  uint64_t version;
  /* Position of the last change in the order of arrival at this host.  */
  uint64_t sequence;
  /* Null for a deleted object, which is kept as a tombstone.  */
  void *payload;
  bool deleted;
};

/* The payload as TYPE, or null when it was allocated as another talloc type;
   the talloc name is the type tag.  */
#define DS_CATALOGUE_PAYLOAD(entry, type)                                     \
  talloc_get_type ((entry)->payload, type)

int ds_catalogue_new (struct ds_catalogue **out, TALLOC_CTX *owner);
void ds_catalogue_free (struct ds_catalogue *catalogue);
int ds_catalogue_put (struct ds_catalogue *catalogue, struct ds_str kind,
                      struct ds_str name, uint64_t version, void *payload);
int ds_catalogue_delete (struct ds_catalogue *catalogue, struct ds_str kind,
                         struct ds_str name, uint64_t version);
const struct ds_catalogue_entry *
ds_catalogue_find (const struct ds_catalogue *catalogue, struct ds_str kind,
                   struct ds_str name);
int ds_catalogue_visit_changes (
    const struct ds_catalogue *catalogue, uint64_t *cursor, size_t limit,
    int (*visit) (const struct ds_catalogue_entry *entry, void *context),
    void *context);
int ds_catalogue_list_since (const struct ds_catalogue *catalogue,
                             uint64_t since,
                             const struct ds_catalogue_entry ***out,
                             size_t *out_count, TALLOC_CTX *owner);
size_t ds_catalogue_count (const struct ds_catalogue *catalogue);
uint64_t ds_catalogue_version (const struct ds_catalogue *catalogue);
uint64_t ds_catalogue_digest (const struct ds_catalogue *catalogue);

#endif
