#include "program/cli.h"
#include "program/commands.h"
#include "program/resources.h"

#include "daisystep/resource.h"

#include <jansson.h>
#include <stdio.h>

/* Attempts while only the status of the object changes or responses are
   lost.  */
#define DELETE_ATTEMPTS_MAX 6

static const struct ds_cli_command command = {
  .name = "resources delete",
  .purpose = "Deletes one object of a kind that operators write. An object "
             "that another operator\nchanges in the meantime is kept: that "
             "change is printed and the exit status is 1.",
};

struct deletion
{
  struct ds_object_client *client;
  const char *kind;
  const char *name;
};

/* Prints what another operator has changed between BEFORE and AFTER.  Returns
   DS_ECONFLICT.  */
static int
report_conflict (const struct deletion *deletion, const json_t *before,
                 const json_t *after, struct ds_error *error)
{
  json_t *changes = ds_json_diff (json_object_get (before, "spec"),
                                  json_object_get (after, "spec"), "spec");

  (void)printf (
      "%s/%s: conflict: another operator wrote version %" JSON_INTEGER_FORMAT
      "\n",
      deletion->kind, deletion->name,
      (json_int_t)ds_object_get_version (after));
  ds_json_diff_print (changes);
  json_decref (changes);
  return ds_error_set (error, DS_ECONFLICT, "delete object", deletion->name,
                       "changed by another operator; not deleted");
}

/* Deletes the object if its spec is still as first read.  After a lost
   response the object is read again: it is gone, or the deletion is repeated
   under the same condition.  */
static int
delete_object (const struct deletion *deletion, struct ds_error *error)
{
  json_t *first = NULL;
  json_t *existing = NULL;
  bool may_be_deleted = false;
  int status = DS_ECONFLICT;

  for (int attempt = 0; attempt < DELETE_ATTEMPTS_MAX; attempt++)
    {
      json_t *conflicting;

      json_decref (existing);
      status = ds_object_client_get (&existing, deletion->client,
                                     deletion->kind, deletion->name, error);
      if (status == DS_ENOTFOUND && may_be_deleted)
        status = 0;
      if (existing == NULL)
        break;
      if (first == NULL)
        first = json_incref (existing);
      if (!json_equal (json_object_get (first, "spec"),
                       json_object_get (existing, "spec")))
        {
          status = report_conflict (deletion, first, existing, error);
          break;
        }
      status = ds_object_client_delete (
          &conflicting, deletion->client, deletion->kind, deletion->name,
          ds_object_get_version (existing), error);
      json_decref (conflicting);
      may_be_deleted = may_be_deleted || status == DS_EUNKNOWN;
      if (status != DS_ECONFLICT && status != DS_EUNKNOWN)
        break;
    }
  json_decref (first);
  json_decref (existing);
  return status;
}

static int
run (const struct deletion *deletion)
{
  struct ds_error error = DS_ERROR_NONE;
  enum ds_resource_kind kind;

  /* The kinds that only the system writes hold bills and grants, which must
     not be lost.  */
  if (ds_resource_kind_parse (&kind, ds_str_from_c (deletion->kind)) != 0)
    return ds_cli_usage_error (
        deletion->kind,
        "kind cannot be deleted; allowed: Workspace, Budget, Offering, "
        "Upstream");
  if (delete_object (deletion, &error) != 0)
    return ds_cli_print_error (&error);
  (void)printf ("%s/%s: deleted\n", deletion->kind, deletion->name);
  return DS_EXIT_OK;
}

/* "daisystep resources delete": see its --help.  */
int
ds_resources_delete (int argc, char **argv)
{
  struct ds_cli_platform_options platform = ds_cli_platform_args ();
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_str *kind = arg_str1 (NULL, NULL, "KIND", NULL);
  struct arg_str *name = arg_str1 (NULL, NULL, "NAME", NULL);
  struct arg_end *end = arg_end (20);
  void *table[]
      = { platform.url, platform.token, platform.timeout_ms, help, kind, name,
          end };
  struct deletion deletion = { .client = NULL };
  int status = ds_cli_parse (argc, argv, &command, table, help, end);

  if (status != DS_CLI_CONTINUE)
    goto done;
  status = ds_cli_client_new (&deletion.client, NULL, &platform);
  if (status != 0)
    goto done;
  deletion.kind = kind->sval[0];
  deletion.name = name->sval[0];
  status = run (&deletion);
  ds_object_client_free (deletion.client);

done:
  arg_freetable (table, sizeof table / sizeof table[0]);
  return ds_cli_flush_output (status);
}
