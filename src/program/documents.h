#ifndef DAISYSTEP_PROGRAM_DOCUMENTS_H
#define DAISYSTEP_PROGRAM_DOCUMENTS_H

#include "daisystep/resource.h"

struct json_t;
struct ds_json_file;

/* One resource declared in a file.  */
struct ds_document
{
  struct ds_json_file *file;
  /* Owned by FILE.  */
  const struct json_t *json;
  const struct ds_resource *resource;
  struct ds_field_location location;
};

struct ds_documents
{
  struct ds_document *items;
  size_t count;
};

int ds_documents_load (struct ds_documents **out, TALLOC_CTX *owner,
                       const char *const *paths, size_t path_count,
                       struct ds_problems *problems);
void ds_documents_free (struct ds_documents *documents);
int ds_documents_check (const struct ds_documents *documents,
                        const struct ds_resource_entry *existing,
                        size_t existing_count, struct ds_problems *problems);

#endif
