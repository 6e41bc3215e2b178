#include "program/cli.h"
#include "program/commands.h"
#include "program/documents.h"
#include "program/resources.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#define FILES_MAX 1024
/* Attempts of one write while only the status of the object changes or
   responses are lost; the delay doubles after each.  */
#define WRITE_ATTEMPTS_MAX 6
#define RETRY_BACKOFF_MIN_US 20000

static const struct ds_cli_command command = {
  .name = "resources apply",
  .purpose = "Creates or updates the declared objects in the platform. All "
             "files are checked first.\nAn object that another operator has "
             "changed in the meantime is not overwritten: that\nchange is "
             "printed, no further object is written and the exit status is "
             "1.",
};

enum outcome
{
  OUTCOME_NOT_WRITTEN,
  OUTCOME_UNCHANGED,
  OUTCOME_WRITTEN,
  OUTCOME_CONFLICT,
  OUTCOME_UNKNOWN
};

static const char *const outcome_names[]
    = { "not written", "unchanged", "written", "conflict", "unknown" };

struct item
{
  const struct ds_document *document;
  /* The object before the write; null if it does not exist.  */
  json_t *existing;
  /* The changes that the document makes.  */
  json_t *changes;
  /* What another operator replaced EXISTING with; null if deleted.  */
  json_t *concurrent_object;
  bool concurrent_object_known;
  enum outcome outcome;
  uint64_t version;
};

struct apply
{
  struct ds_object_client *client;
  struct ds_problems *problems;
  struct ds_documents *documents;
  /* The objects in the platform by "KIND/NAME".  */
  GHashTable *existing;
  struct ds_resource_entry *entries;
  size_t entry_count;
  struct item *items;
  bool as_json;
  bool dry_run;
};

static const json_t *
object_spec (const json_t *object)
{
  return json_object_get (object, "spec");
}

static bool
has_same_spec (const json_t *a, const json_t *b)
{
  const json_t *left = object_spec (a);
  const json_t *right = object_spec (b);

  return left == right || json_equal (left, right);
}

static void
add_existing (struct apply *apply, json_t *object)
{
  struct ds_error error = DS_ERROR_NONE;
  struct ds_resource *resource;

  g_hash_table_insert (apply->existing,
                       g_strdup_printf ("%s/%s",
                                        ds_object_get_string (object, "kind"),
                                        ds_object_get_string (object, "name")),
                       json_incref (object));
  /* An invalid object, written by another version of the program, must not
     block the update of the rest.  */
  if (ds_resource_from_json (&resource, apply->problems, object, &error) != 0)
    {
      (void)fprintf (
          stderr,
          "daisystep: invalid object in the platform, not checked: %s\n",
          error.message);
      return;
    }
  apply->entries = talloc_realloc (apply->problems, apply->entries,
                                   struct ds_resource_entry,
                                   (unsigned int)apply->entry_count + 1);
  apply->entries[apply->entry_count++] = (struct ds_resource_entry){
    .resource = resource,
    .location = { .file = "", .path = "" },
  };
}

static int
read_existing (struct apply *apply, struct ds_error *error)
{
  for (unsigned int kind = 0; kind < DS_RESOURCE_KINDS; kind++)
    {
      json_t *list;
      json_t *object;
      size_t index;
      int status = ds_object_client_list (
          &list, apply->client,
          ds_resource_kind_name ((enum ds_resource_kind)kind), error);

      if (status != 0)
        return status;
      json_array_foreach (json_object_get (list, "items"), index, object)
      {
        add_existing (apply, object);
      }
      json_decref (list);
    }
  return 0;
}

/* Referenced objects are written before the objects that refer to them.  */
static int
write_rank (const struct item *item)
{
  switch (item->document->resource->kind)
    {
    case DS_RESOURCE_BUDGET:
      return 0;
    case DS_RESOURCE_OFFERING:
      return 1;
    case DS_RESOURCE_UPSTREAM:
      return 2;
    case DS_RESOURCE_WORKSPACE:
      return 3;
    }
  return 4;
}

static int
compare_items (const void *left, const void *right)
{
  const struct item *a = left;
  const struct item *b = right;

  if (write_rank (a) != write_rank (b))
    return write_rank (a) - write_rank (b);
  return ds_str_compare (a->document->resource->name,
                         b->document->resource->name);
}

static void
set_concurrent_object (struct item *item, json_t *concurrent_object)
{
  json_decref (item->concurrent_object);
  item->concurrent_object = json_incref (concurrent_object);
  item->concurrent_object_known = true;
}

/* Decides which documents to write.  A document with the version that it was
   edited from conflicts with any different version.  */
static void
plan_writes (struct apply *apply)
{
  size_t count = apply->documents->count;

  apply->items = talloc_zero_array (apply->documents, struct item, count);
  for (size_t i = 0; i < count; i++)
    {
      struct item *item = &apply->items[i];
      uint64_t edited_version;

      item->document = &apply->documents->items[i];
      item->existing = g_hash_table_lookup (apply->existing,
                                            item->document->location.subject);
      item->version = ds_object_get_version (item->existing);
      item->changes
          = ds_json_diff (object_spec (item->existing),
                          object_spec (item->document->json), "spec");
      edited_version = item->document->resource->version;
      if (has_same_spec (item->existing, item->document->json))
        item->outcome = OUTCOME_UNCHANGED;
      else if (edited_version != 0 && edited_version != item->version)
        {
          item->outcome = OUTCOME_CONFLICT;
          set_concurrent_object (item, item->existing);
        }
    }
  qsort (apply->items, count, sizeof *apply->items, compare_items);
}

static bool
has_conflict (const struct apply *apply)
{
  for (size_t i = 0; i < apply->documents->count; i++)
    if (apply->items[i].outcome == OUTCOME_CONFLICT)
      return true;
  return false;
}

/* Returns the object to write: the declared spec with the current status,
   which only the system sets.  */
static json_t *
object_to_write (const struct item *item, const json_t *existing)
{
  json_t *object = json_object ();

  json_object_set (object, "kind",
                   json_object_get (item->document->json, "kind"));
  json_object_set (object, "name",
                   json_object_get (item->document->json, "name"));
  json_object_set (object, "spec",
                   json_object_get (item->document->json, "spec"));
  if (json_object_get (existing, "status") != NULL)
    json_object_set (object, "status", json_object_get (existing, "status"));
  return object;
}

/* Reads the current object after a conflict or a lost response, unless the
   conflict response contained it.  A missing object is null.  */
static int
read_back (json_t **out, struct apply *apply, const struct item *item,
           struct ds_error *error)
{
  int status;

  if (*out != NULL)
    return 0;
  status = ds_object_client_get (
      out, apply->client, ds_object_get_string (item->document->json, "kind"),
      ds_object_get_string (item->document->json, "name"), error);
  return status == DS_ENOTFOUND ? 0 : status;
}

/* Determines the result of a write that ended in STATUS, a conflict or a lost
   response.  Sets *CURRENT to the current object and *RETRY to whether at most
   its status has changed.  Returns 0 if it has the declared spec.  */
static int
resolve_write (json_t **current, bool *retry, struct apply *apply,
               struct item *item, int status, struct ds_error *error)
{
  int read_status;

  *retry = false;
  item->outcome = status == DS_ECONFLICT ? OUTCOME_CONFLICT : OUTCOME_UNKNOWN;
  item->concurrent_object_known = false;
  read_status = read_back (current, apply, item, error);
  if (read_status != 0)
    return read_status;
  if (has_same_spec (*current, item->document->json))
    return 0;
  if (has_same_spec (*current, item->existing))
    {
      *retry = true;
      return status;
    }
  item->outcome = OUTCOME_CONFLICT;
  set_concurrent_object (item, *current);
  return ds_error_set (error, DS_ECONFLICT, "write object",
                       item->document->location.subject,
                       "changed by another operator");
}

/* Writes ITEM.  Retries after a conflict in which only the status changed, and
   after a lost response if the write did not take effect.  */
static int
write_item (struct apply *apply, struct item *item, struct ds_error *error)
{
  json_t *base = json_incref (item->existing);
  json_t *current = NULL;
  int status = 0;

  for (int attempt = 0; attempt < WRITE_ATTEMPTS_MAX; attempt++)
    {
      json_t *object = object_to_write (item, base);
      bool retry = false;

      status = ds_object_client_put (&current, apply->client, object,
                                     ds_object_get_version (base), error);
      json_decref (object);
      if (status == DS_ECONFLICT || status == DS_EUNKNOWN)
        status = resolve_write (&current, &retry, apply, item, status, error);
      if (!retry)
        break;
      json_decref (base);
      base = current;
      current = NULL;
      set_concurrent_object (item, base);
      g_usleep ((gulong)RETRY_BACKOFF_MIN_US << attempt);
    }
  if (status == 0)
    {
      item->outcome = OUTCOME_WRITTEN;
      item->version = ds_object_get_version (current);
    }
  json_decref (current);
  json_decref (base);
  return status;
}

static const char *
item_action (const struct item *item)
{
  if (item->outcome == OUTCOME_UNCHANGED)
    return "unchanged";
  return item->existing == NULL ? "create" : "update";
}

/* Returns what another operator has changed since ITEM was read or, for a
   document with an older version, how the current object differs from it.  */
static json_t *
concurrent_changes (const struct item *item)
{
  const json_t *before = item->concurrent_object == item->existing
                             ? item->document->json
                             : item->existing;

  return ds_json_diff (object_spec (before),
                       object_spec (item->concurrent_object), "spec");
}

static void
print_item_json (const struct apply *apply, const struct item *item)
{
  json_t *line = json_pack (
      "{s:s, s:s, s:s, s:I, s:O}", "object", item->document->location.subject,
      "action", item_action (item), "outcome",
      apply->dry_run && item->outcome == OUTCOME_NOT_WRITTEN
          ? "planned"
          : outcome_names[item->outcome],
      "version", (json_int_t)item->version, "changes", item->changes);

  if (item->outcome == OUTCOME_CONFLICT && item->concurrent_object_known)
    {
      json_object_set_new (line, "other_version",
                           json_integer ((json_int_t)ds_object_get_version (
                               item->concurrent_object)));
      json_object_set_new (line, "other_changes", concurrent_changes (item));
    }
  ds_cli_print_json (line, false);
  json_decref (line);
}

static void
print_conflict (const struct item *item)
{
  json_t *changes = item->concurrent_object_known ? concurrent_changes (item)
                                                  : json_array ();

  if (!item->concurrent_object_known)
    (void)printf ("%s: conflict: the object has another version, which could "
                  "not be read\n",
                  item->document->location.subject);
  else if (item->concurrent_object == NULL)
    (void)printf ("%s: conflict: deleted by another operator\n",
                  item->document->location.subject);
  else if (item->concurrent_object == item->existing)
    (void)printf ("%s: conflict: edited from version %" PRIu64
                  ", but version %" PRIu64 " is present with\n",
                  item->document->location.subject,
                  item->document->resource->version, item->version);
  else
    (void)printf ("%s: conflict: another operator wrote version %" PRIu64 "\n",
                  item->document->location.subject,
                  ds_object_get_version (item->concurrent_object));
  ds_json_diff_print (changes);
  json_decref (changes);
}

static void
print_item (const struct apply *apply, const struct item *item)
{
  const char *subject = item->document->location.subject;

  if (apply->as_json)
    {
      print_item_json (apply, item);
      return;
    }
  switch (item->outcome)
    {
    case OUTCOME_UNCHANGED:
      (void)printf ("%s: unchanged\n", subject);
      break;
    case OUTCOME_NOT_WRITTEN:
      (void)printf ("%s: %s%s\n", subject, apply->dry_run ? "would " : "not ",
                    apply->dry_run ? item_action (item) : "written");
      if (apply->dry_run)
        ds_json_diff_print (item->changes);
      break;
    case OUTCOME_WRITTEN:
      (void)printf ("%s: %s, written as version %" PRIu64 "\n", subject,
                    item_action (item), item->version);
      ds_json_diff_print (item->changes);
      break;
    case OUTCOME_CONFLICT:
      print_conflict (item);
      break;
    case OUTCOME_UNKNOWN:
      (void)printf ("%s: outcome unknown: the response was lost\n", subject);
      break;
    }
}

/* Writes the planned items in order up to the first failure and prints the
   outcome of every item.  */
static int
write_and_print (struct apply *apply)
{
  struct ds_error error = DS_ERROR_NONE;
  bool stop_writing = apply->dry_run || has_conflict (apply);
  int status = has_conflict (apply) ? DS_EXIT_FAILED : DS_EXIT_OK;

  for (size_t i = 0; i < apply->documents->count; i++)
    {
      struct item *item = &apply->items[i];

      if (!stop_writing && item->outcome == OUTCOME_NOT_WRITTEN
          && write_item (apply, item, &error) != 0)
        {
          stop_writing = true;
          status = ds_cli_print_error (&error);
        }
      print_item (apply, item);
    }
  return status;
}

static int
run (struct apply *apply, const struct arg_file *paths)
{
  struct ds_error error = DS_ERROR_NONE;

  if (ds_documents_load (&apply->documents, apply->problems, paths->filename,
                         (size_t)paths->count, apply->problems)
      != 0)
    return ds_cli_print_problems (apply->problems, apply->as_json);
  if (read_existing (apply, &error) != 0)
    return ds_cli_print_error (&error);
  if (ds_documents_check (apply->documents, apply->entries, apply->entry_count,
                          apply->problems)
      != 0)
    return ds_cli_print_problems (apply->problems, apply->as_json);
  plan_writes (apply);
  return write_and_print (apply);
}

static void
release (struct apply *apply)
{
  for (size_t i = 0; apply->items != NULL && i < apply->documents->count; i++)
    {
      json_decref (apply->items[i].changes);
      json_decref (apply->items[i].concurrent_object);
    }
  g_hash_table_destroy (apply->existing);
  ds_object_client_free (apply->client);
  ds_problems_free (apply->problems);
}

static void
release_json (void *json)
{
  json_decref (json);
}

/* "daisystep resources apply": see its --help.  */
int
ds_resources_apply (int argc, char **argv)
{
  struct ds_cli_platform_options platform = ds_cli_platform_args ();
  struct arg_lit *dry_run
      = arg_lit0 (NULL, "dry-run", "print the differences and write nothing");
  struct arg_lit *json
      = arg_lit0 (NULL, "json", "print one JSON line per object");
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_file *paths = arg_filen (NULL, NULL, "PATH", 1, FILES_MAX,
                                      "file or directory of JSON documents");
  struct arg_end *end = arg_end (20);
  void *table[] = { platform.url,
                    platform.token,
                    platform.timeout_ms,
                    dry_run,
                    json,
                    help,
                    paths,
                    end };
  struct apply apply = { .client = NULL };
  int status = ds_cli_parse (argc, argv, &command, table, help, end);

  if (status != DS_CLI_CONTINUE)
    goto done;
  status = ds_cli_client_new (&apply.client, NULL, &platform);
  if (status != 0)
    goto done;
  apply.as_json = json->count > 0;
  apply.dry_run = dry_run->count > 0;
  apply.existing
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, release_json);
  status = ds_problems_new (&apply.problems, NULL) == 0 ? run (&apply, paths)
                                                        : DS_EXIT_FAILED;
  release (&apply);

done:
  arg_freetable (table, sizeof table / sizeof table[0]);
  return ds_cli_flush_output (status);
}
