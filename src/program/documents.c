#include "program/documents.h"
#include "base/json_file.h"

#include <dirent.h>
#include <errno.h>
#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

static char *
object_label (TALLOC_CTX *owner, const struct ds_resource *resource)
{
  return talloc_asprintf (owner, "%s/%s",
                          ds_resource_kind_name (resource->kind),
                          resource->name.data);
}

static void
add_document (struct ds_documents *documents, struct ds_json_file *file,
              const json_t *json, const char *document_path,
              struct ds_problems *problems)
{
  struct ds_field_location location
      = { .file = file->path, .document_path = document_path, .path = "" };
  struct ds_resource *resource;
  struct ds_document *new_items;

  if (ds_resource_read (&resource, documents, json, &location, problems) != 0)
    return;
  new_items = talloc_realloc (documents, documents->items, struct ds_document,
                              (unsigned int)documents->count + 1);
  if (new_items == NULL)
    return;
  location.subject = object_label (documents, resource);
  documents->items = new_items;
  new_items[documents->count++] = (struct ds_document){
    .file = file,
    .json = json,
    .resource = resource,
    .location = location,
  };
}

/* Adds the object, or each object of the array, in the JSON file PATH.  */
static void
add_file (struct ds_documents *documents, const char *path,
          struct ds_problems *problems)
{
  size_t first = problems->count;
  struct ds_json_file *file;

  if (ds_json_file_load (&file, documents, path, problems) != 0)
    return;
  if (!json_is_array (file->root))
    add_document (documents, file, file->root, NULL, problems);
  for (size_t i = 0; i < json_array_size (file->root); i++)
    add_document (documents, file, json_array_get (file->root, i),
                  talloc_asprintf (documents, "[%zu]", i), problems);
  ds_json_file_add_lines (file, problems, first);
}

static int
is_json_file_name (const struct dirent *entry)
{
  size_t length = strlen (entry->d_name);

  return entry->d_name[0] != '.' && length > 5
         && strcmp (entry->d_name + length - 5, ".json") == 0;
}

/* Adds the *.json files of the directory PATH in alphabetical order.  */
static void
add_directory (struct ds_documents *documents, const char *path,
               struct ds_problems *problems)
{
  struct ds_field_location location = { .file = path, .path = "" };
  struct dirent **entries;
  int count = scandir (path, &entries, is_json_file_name, alphasort);

  if (count < 0)
    {
      (void)ds_problems_add (problems, DS_EIO, &location, 0, "%s",
                             strerror (errno));
      return;
    }
  if (count == 0)
    (void)ds_problems_add (problems, DS_EINVAL, &location, 0,
                           "the directory contains no *.json file");
  for (int i = 0; i < count; i++)
    {
      char *file
          = talloc_asprintf (documents, "%s/%s", path, entries[i]->d_name);

      add_file (documents, file, problems);
      free (entries[i]);
    }
  free (entries);
}

/* Returns the set of "KIND/NAME" labels that DOCUMENTS declare.  */
static GHashTable *
declared_labels (const struct ds_documents *documents)
{
  GHashTable *declared = g_hash_table_new (g_str_hash, g_str_equal);

  for (size_t i = 0; i < documents->count; i++)
    (void)g_hash_table_add (declared,
                            (void *)documents->items[i].location.subject);
  return declared;
}

/* Copies those of the COUNT entries EXISTING that are not in DECLARED to SET.
   Returns their number.  */
static size_t
add_undeclared (struct ds_resource_entry *set,
                const struct ds_resource_entry *existing, size_t count,
                GHashTable *declared)
{
  size_t added = 0;

  for (size_t i = 0; i < count; i++)
    {
      char *subject = object_label (NULL, existing[i].resource);

      if (!g_hash_table_contains (declared, subject))
        set[added++] = existing[i];
      talloc_free (subject);
    }
  return added;
}

/* Copies the problems in FOUND that concern DOCUMENTS to PROBLEMS, but not
   those between objects that are already in the platform.  */
static int
add_document_problems (const struct ds_documents *documents,
                       const struct ds_problems *found,
                       struct ds_problems *problems)
{
  size_t first = problems->count;
  int status = 0;

  for (size_t i = 0; i < found->count; i++)
    if (found->items[i].location.file[0] != '\0')
      status = ds_problems_add (problems, found->items[i].code,
                                &found->items[i].location, 0, "%s",
                                found->items[i].message);
  /* The documents of one file are adjacent.  */
  for (size_t i = 0; i < documents->count; i++)
    if (i == 0 || documents->items[i].file != documents->items[i - 1].file)
      ds_json_file_add_lines (documents->items[i].file, problems, first);
  return status;
}

/* Reads the objects that the files and directories PATHS declare.  Every
   problem is added to PROBLEMS; OUT, owned by OWNER, holds the objects without
   one.  Returns 0 or the code of the first problem.  */
int
ds_documents_load (struct ds_documents **out, TALLOC_CTX *owner,
                   const char *const *paths, size_t path_count,
                   struct ds_problems *problems)
{
  size_t first = problems->count;
  struct ds_documents *documents = talloc_zero (owner, struct ds_documents);

  *out = documents;
  if (documents == NULL)
    return DS_ENOMEM;
  for (size_t i = 0; i < path_count; i++)
    {
      struct stat info;

      if (stat (paths[i], &info) == 0 && S_ISDIR (info.st_mode))
        add_directory (documents, paths[i], problems);
      else
        add_file (documents, paths[i], problems);
    }
  return problems->count > first ? problems->items[first].code : 0;
}

void
ds_documents_free (struct ds_documents *documents)
{
  talloc_free (documents);
}

/* Checks DOCUMENTS as one set together with those of the EXISTING_COUNT
   objects EXISTING that they do not replace.  Problems of DOCUMENTS are added
   to PROBLEMS.  The location of an object in EXISTING has an empty file.  */
int
ds_documents_check (const struct ds_documents *documents,
                    const struct ds_resource_entry *existing,
                    size_t existing_count, struct ds_problems *problems)
{
  struct ds_resource_entry *set = talloc_array (
      NULL, struct ds_resource_entry, existing_count + documents->count);
  struct ds_problems *found = NULL;
  GHashTable *declared;
  size_t count;
  int status = DS_ENOMEM;

  if (set == NULL || ds_problems_new (&found, set) != 0)
    goto done;
  declared = declared_labels (documents);
  count = add_undeclared (set, existing, existing_count, declared);
  g_hash_table_destroy (declared);
  for (size_t i = 0; i < documents->count; i++)
    set[count++] = (struct ds_resource_entry){
      .resource = documents->items[i].resource,
      .location = documents->items[i].location,
    };
  status = ds_resources_check (set, count, found);
  if (status != 0)
    status = add_document_problems (documents, found, problems);

done:
  talloc_free (set);
  return status;
}
