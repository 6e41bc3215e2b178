#include "program/cli.h"
#include "program/commands.h"
#include "program/resources.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>

#define WAIT_MS 30000
#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 5000

static const struct ds_cli_command command = {
  .name = "resources watch",
  .purpose = "Prints the existing objects of KIND and then each change, as "
             "JSON lines\n{\"type\":\"put\"|\"delete\",\"object\":{...}}. "
             "Continues after outages of the platform.",
};

struct watch
{
  struct ds_object_client *client;
  const char *kind;
  /* Version of the last change output, by object name.  */
  GHashTable *printed_versions;
  uint64_t since;
  bool has_list;
  /* The platform has responded before; later outages are retried.  */
  bool has_connected;
  /* Changes still to print; negative for no limit.  */
  int events_left;
};

/* Prints one change, unless its version is not newer than the last one output
   or it deletes an object whose deletion was output before.  */
static void
print_change (struct watch *watch, const char *type, json_t *object)
{
  const char *name = ds_object_get_string (object, "name");
  uint64_t version = ds_object_get_version (object);
  uint64_t *last = g_hash_table_lookup (watch->printed_versions, name);
  json_t *line;
  bool deleted = g_str_equal (type, "delete");

  if (watch->events_left == 0
      || (deleted ? last == NULL : last != NULL && *last >= version))
    return;
  line = json_pack ("{s:s, s:O}", "type", type, "object", object);
  ds_cli_print_json (line, false);
  (void)fflush (stdout);
  json_decref (line);
  if (watch->events_left > 0)
    watch->events_left--;
  g_hash_table_insert (watch->printed_versions, g_strdup (name),
                       g_memdup2 (&version, sizeof version));
  if (deleted)
    g_hash_table_remove (watch->printed_versions, name);
}

static bool
is_listed (const json_t *items, const char *name)
{
  json_t *object;
  size_t index;

  json_array_foreach ((json_t *)items, index, object)
  {
    if (g_str_equal (ds_object_get_string (object, "name"), name))
      return true;
  }
  return false;
}

/* Prints a deletion for each object that was deleted while the watch was
   interrupted; the version of the deletion itself is unknown.  */
static void
print_missed_deletions (struct watch *watch, const json_t *items)
{
  GList *names = g_hash_table_get_keys (watch->printed_versions);

  for (GList *node = names; node != NULL; node = node->next)
    if (!is_listed (items, node->data) && watch->events_left != 0)
      {
        json_t *object
            = json_pack ("{s:s, s:s, s:I}", "kind", watch->kind, "name",
                         node->data, "version", (json_int_t)watch->since);

        print_change (watch, "delete", object);
        json_decref (object);
      }
  g_list_free (names);
}

static int
list_objects (struct watch *watch, struct ds_error *error)
{
  json_t *response;
  json_t *object;
  size_t index;
  int status
      = ds_object_client_list (&response, watch->client, watch->kind, error);

  if (status != 0)
    return status;
  watch->since = ds_object_get_version (response);
  print_missed_deletions (watch, json_object_get (response, "items"));
  json_array_foreach (json_object_get (response, "items"), index, object)
  {
    print_change (watch, "put", object);
  }
  watch->has_list = true;
  watch->has_connected = true;
  json_decref (response);
  return 0;
}

static int
poll_once (struct watch *watch, struct ds_error *error)
{
  json_t *response;
  json_t *event;
  size_t index;
  int status = ds_object_client_watch (&response, watch->client, watch->kind,
                                       watch->since, WAIT_MS, error);

  if (status != 0)
    return status;
  json_array_foreach (json_object_get (response, "events"), index, event)
  {
    print_change (watch, ds_object_get_string (event, "type"),
                  json_object_get (event, "object"));
  }
  watch->since = ds_object_get_version (response);
  json_decref (response);
  return 0;
}

/* Lists and watches until enough changes are output.  Returns early on an
   error that a retry cannot resolve.  */
static int
run (struct watch *watch)
{
  struct ds_error error = DS_ERROR_NONE;
  uint64_t backoff_ms = BACKOFF_MIN_MS;

  while (watch->events_left != 0 && !ferror (stdout))
    {
      int status = watch->has_list ? poll_once (watch, &error)
                                   : list_objects (watch, &error);

      if (status == 0)
        {
          backoff_ms = BACKOFF_MIN_MS;
          continue;
        }
      if (status == DS_ENOTFOUND && watch->has_list)
        {
          watch->has_list = false;
          continue;
        }
      if (status != DS_EUNAVAILABLE || !watch->has_connected)
        return ds_cli_print_error (&error);
      (void)ds_cli_print_error (&error);
      g_usleep (backoff_ms * 1000);
      backoff_ms = MIN (2 * backoff_ms, BACKOFF_MAX_MS);
    }
  return DS_EXIT_OK;
}

/* "daisystep resources watch": see its --help.  */
int
ds_resources_watch (int argc, char **argv)
{
  struct ds_cli_platform_options platform = ds_cli_platform_args ();
  struct arg_int *events = arg_int0 (NULL, "events", "N",
                                     "exit after N lines; default: no limit");
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_str *kind = arg_str1 (NULL, NULL, "KIND", NULL);
  struct arg_end *end = arg_end (20);
  void *table[] = { platform.url, platform.token, platform.timeout_ms,
                    events,       help,           kind,
                    end };
  struct watch watch = { .events_left = -1 };
  int status = ds_cli_parse (argc, argv, &command, table, help, end);

  if (status != DS_CLI_CONTINUE)
    goto done;
  if (events->count > 0 && events->ival[0] < 1)
    {
      status = ds_cli_usage_error (
          "--events", "value out of range; allowed: 1..2147483647");
      goto done;
    }
  status = ds_cli_client_new (&watch.client, NULL, &platform);
  if (status != 0)
    goto done;
  watch.kind = kind->sval[0];
  if (events->count > 0)
    watch.events_left = events->ival[0];
  watch.printed_versions
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  status = run (&watch);
  g_hash_table_destroy (watch.printed_versions);
  ds_object_client_free (watch.client);

done:
  arg_freetable (table, sizeof table / sizeof table[0]);
  return ds_cli_flush_output (status);
}
