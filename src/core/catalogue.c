#include "daisystep/catalogue.h"
#include "daisystep/error.h"

#include <stdlib.h>
#include <string.h>

/* Initial number of hash buckets; doubled when there are as many entries as
   buckets.  */
#define FIRST_BUCKETS 64

/* An entry with its links.  KIND_AND_NAME stores both strings.  */
struct node
{
  struct ds_catalogue_entry entry;
  struct node *next_in_bucket;
  /* Neighbours in the order of changes.  */
  struct node *older;
  struct node *newer;
  uint64_t hash;
  char kind_and_name[];
};

struct ds_catalogue
{
  struct node **buckets;
  size_t bucket_count;
  size_t count;
  struct node *oldest;
  struct node *newest;
  uint64_t sequence;
  uint64_t highest_version;
  uint64_t digest;
};

static uint64_t
hash_key (struct ds_str kind, struct ds_str name)
{
  return ds_str_hash (name, ds_str_hash (kind, 0));
}

/* The contribution of one entry to the digest of the catalogue.  */
static uint64_t
digest_of (const struct node *node)
{
  uint64_t words[3]
      = { node->hash, node->entry.version, node->entry.deleted ? 1 : 0 };

  return ds_str_hash (
      (struct ds_str){ .data = (const char *)words, .length = sizeof words },
      0);
}

static struct node *
find_node (const struct ds_catalogue *catalogue, uint64_t hash,
           struct ds_str kind, struct ds_str name)
{
  struct node *node = catalogue->buckets[hash % catalogue->bucket_count];

  for (; node != NULL; node = node->next_in_bucket)
    if (node->hash == hash && ds_str_equal (node->entry.kind, kind)
        && ds_str_equal (node->entry.name, name))
      return node;
  return NULL;
}

static int
grow (struct ds_catalogue *catalogue)
{
  size_t wanted = catalogue->bucket_count * 2;
  struct node **buckets;

  if (catalogue->count < catalogue->bucket_count)
    return 0;
  buckets = talloc_zero_array (catalogue, struct node *, wanted);
  if (buckets == NULL)
    return DS_ENOMEM;
  for (struct node *node = catalogue->oldest; node != NULL; node = node->newer)
    {
      node->next_in_bucket = buckets[node->hash % wanted];
      buckets[node->hash % wanted] = node;
    }
  talloc_free (catalogue->buckets);
  catalogue->buckets = buckets;
  catalogue->bucket_count = wanted;
  return 0;
}

static struct node *
add_node (struct ds_catalogue *catalogue, uint64_t hash, struct ds_str kind,
          struct ds_str name)
{
  struct node *node;
  struct node **bucket;

  if (grow (catalogue) < 0)
    return NULL;
  node
      = talloc_zero_size (catalogue, sizeof *node + kind.length + name.length);
  if (node == NULL)
    return NULL;
  if (kind.length > 0)
    memcpy (node->kind_and_name, kind.data, kind.length);
  if (name.length > 0)
    memcpy (node->kind_and_name + kind.length, name.data, name.length);
  node->entry.kind
      = (struct ds_str){ .data = node->kind_and_name, .length = kind.length };
  node->entry.name
      = (struct ds_str){ .data = node->kind_and_name + kind.length,
                         .length = name.length };
  node->hash = hash;
  bucket = &catalogue->buckets[hash % catalogue->bucket_count];
  node->next_in_bucket = *bucket;
  *bucket = node;
  catalogue->count++;
  return node;
}

static void
unlink_from_order (struct ds_catalogue *catalogue, struct node *node)
{
  if (node->older != NULL)
    node->older->newer = node->newer;
  else
    catalogue->oldest = node->newer;
  if (node->newer != NULL)
    node->newer->older = node->older;
  else
    catalogue->newest = node->older;
}

static void
append_to_order (struct ds_catalogue *catalogue, struct node *node)
{
  node->newer = NULL;
  node->older = catalogue->newest;
  if (catalogue->newest != NULL)
    catalogue->newest->newer = node;
  else
    catalogue->oldest = node;
  catalogue->newest = node;
  node->entry.sequence = ++catalogue->sequence;
}

static int
change (struct ds_catalogue *catalogue, struct ds_str kind, struct ds_str name,
        uint64_t version, void *payload)
{
  uint64_t hash = hash_key (kind, name);
  struct node *node = find_node (catalogue, hash, kind, name);

  if (node != NULL && version <= node->entry.version)
    return DS_ECONFLICT;
  if (node != NULL)
    {
      catalogue->digest ^= digest_of (node);
      unlink_from_order (catalogue, node);
      talloc_free (node->entry.payload);
    }
  else
    {
      node = add_node (catalogue, hash, kind, name);
      if (node == NULL)
        return DS_ENOMEM;
    }
  node->entry.version = version;
  node->entry.deleted = payload == NULL;
  node->entry.payload = talloc_steal (node, payload);
  append_to_order (catalogue, node);
  catalogue->digest ^= digest_of (node);
  if (version > catalogue->highest_version)
    catalogue->highest_version = version;
  return 0;
}

static int
compare_versions (const void *a, const void *b)
{
  const struct ds_catalogue_entry *const *left = a;
  const struct ds_catalogue_entry *const *right = b;

  if ((*left)->version == (*right)->version)
    return 0;
  return (*left)->version < (*right)->version ? -1 : 1;
}

/* Creates an empty catalogue.  Returns 0 or DS_ENOMEM.  */
int
ds_catalogue_new (struct ds_catalogue **out, TALLOC_CTX *owner)
{
  struct ds_catalogue *catalogue = talloc_zero (owner, struct ds_catalogue);

  if (catalogue == NULL)
    return DS_ENOMEM;
  catalogue->bucket_count = FIRST_BUCKETS;
  catalogue->buckets
      = talloc_zero_array (catalogue, struct node *, FIRST_BUCKETS);
  if (catalogue->buckets == NULL)
    {
      talloc_free (catalogue);
      return DS_ENOMEM;
    }
  *out = catalogue;
  return 0;
}

/* Frees CATALOGUE and all payloads; null is allowed.  */
void
ds_catalogue_free (struct ds_catalogue *catalogue)
{
  talloc_free (catalogue);
}

/* Sets the object KIND, NAME to PAYLOAD, a talloc chunk that must not be null,
   if VERSION is higher than that of the current object or tombstone.  On
   success the catalogue owns PAYLOAD and frees the previous one; otherwise the
   caller keeps it.  Returns 0, DS_ECONFLICT for a version that is not higher,
   DS_EINVAL or DS_ENOMEM.  */
int
ds_catalogue_put (struct ds_catalogue *catalogue, struct ds_str kind,
                  struct ds_str name, uint64_t version, void *payload)
{
  if (payload == NULL)
    return DS_EINVAL;
  return change (catalogue, kind, name, version, payload);
}

/* Deletes the object KIND, NAME at VERSION and keeps a tombstone, also for an
   unknown object.  Returns 0, DS_ECONFLICT for a version that is not higher,
   or DS_ENOMEM.  */
int
ds_catalogue_delete (struct ds_catalogue *catalogue, struct ds_str kind,
                     struct ds_str name, uint64_t version)
{
  return change (catalogue, kind, name, version, NULL);
}

/* Returns the object KIND, NAME or its tombstone; null if it is unknown.  */
const struct ds_catalogue_entry *
ds_catalogue_find (const struct ds_catalogue *catalogue, struct ds_str kind,
                   struct ds_str name)
{
  const struct node *node
      = find_node (catalogue, hash_key (kind, name), kind, name);

  return node != NULL ? &node->entry : NULL;
}

/* Calls VISIT for up to LIMIT objects that changed after *CURSOR, oldest
   change first, and advances *CURSOR past the visited ones; zero visits all.
   The cursor counts changes on this host and not object versions, because an
   object with a lower version may arrive after one with a higher version.  It
   is not valid for another incarnation.  Tombstones are included.  Stops at a
   negative return value of VISIT and returns it, else 0.  */
int
ds_catalogue_visit_changes (
    const struct ds_catalogue *catalogue, uint64_t *cursor, size_t limit,
    int (*visit) (const struct ds_catalogue_entry *entry, void *context),
    void *context)
{
  const struct node *node = catalogue->newest;

  if (node == NULL || node->entry.sequence <= *cursor)
    return 0;
  while (node->older != NULL && node->older->entry.sequence > *cursor)
    node = node->older;
  for (; node != NULL && limit > 0; node = node->newer, limit--)
    {
      int code = visit (&node->entry, context);

      if (code < 0)
        return code;
      *cursor = node->entry.sequence;
    }
  return 0;
}

/* Lists the objects with a version above SINCE, lowest version first, in an
   array owned by OWNER.  Scans the whole catalogue: use it for the first
   exchange with a peer and ds_catalogue_visit_changes afterwards.  Returns 0
   or DS_ENOMEM.  */
int
ds_catalogue_list_since (const struct ds_catalogue *catalogue, uint64_t since,
                         const struct ds_catalogue_entry ***out,
                         size_t *out_count, TALLOC_CTX *owner)
{
  const struct ds_catalogue_entry **list;
  size_t count = 0;

  for (const struct node *node = catalogue->oldest; node; node = node->newer)
    count += node->entry.version > since;
  list = talloc_array (owner, const struct ds_catalogue_entry *, count);
  if (list == NULL)
    return DS_ENOMEM;
  *out_count = count;
  count = 0;
  for (const struct node *node = catalogue->oldest; node; node = node->newer)
    if (node->entry.version > since)
      list[count++] = &node->entry;
  if (count > 1)
    qsort (list, count, sizeof (struct ds_catalogue_entry *),
           compare_versions);
  *out = list;
  return 0;
}

/* Returns the number of objects, including tombstones.  */
size_t
ds_catalogue_count (const struct ds_catalogue *catalogue)
{
  return catalogue->count;
}

/* Returns the highest object version seen.  */
uint64_t
ds_catalogue_version (const struct ds_catalogue *catalogue)
{
  return catalogue->highest_version;
}

/* Returns a hash of all keys, versions and deletions that is independent of
   the order of arrival: two hosts with the same value have the same objects,
   except for 64-bit collisions.  */
uint64_t
ds_catalogue_digest (const struct ds_catalogue *catalogue)
{
  return catalogue->digest;
}
