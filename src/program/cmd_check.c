#include "program/cli.h"
#include "program/commands.h"
#include "program/documents.h"
#include "program/settings.h"

#define FILES_MAX 1024

static const struct ds_cli_command command = {
  .name = "check",
  .purpose = "Checks settings files and declared resources offline and prints "
             "every problem as\nFILE:LINE: FIELD: MESSAGE. "
             "Resources are checked together as one set.",
};

static void
check_settings (const struct arg_file *files, struct ds_problems *problems)
{
  for (int i = 0; i < files->count; i++)
    {
      struct ds_settings *settings;

      if (ds_settings_read (&settings, problems, files->filename[i], problems)
          == 0)
        ds_settings_free (settings);
    }
}

static void
check_resources (const struct arg_file *files, struct ds_problems *problems)
{
  struct ds_documents *documents;

  if (ds_documents_load (&documents, problems, files->filename,
                         (size_t)files->count, problems)
      == 0)
    (void)ds_documents_check (documents, NULL, 0, problems);
}

/* "daisystep check": see its --help.  Returns DS_EXIT_FAILED if a file has a
   problem, DS_EXIT_UNAVAILABLE if one cannot be read.  */
int
ds_cmd_check (int argc, char **argv)
{
  struct arg_file *settings
      = arg_filen (NULL, "settings", "FILE", 0, FILES_MAX,
                   "settings file of a host; may be repeated");
  struct arg_file *resources
      = arg_filen (NULL, "resources", "PATH", 0, FILES_MAX,
                   "file or directory of declared resources; may be repeated");
  struct arg_lit *json
      = arg_lit0 (NULL, "json", "print each problem as one JSON line");
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_end *end = arg_end (20);
  void *table[] = { settings, resources, json, help, end };
  struct ds_problems *problems = NULL;
  int status = ds_cli_parse (argc, argv, &command, table, help, end);

  if (status != DS_CLI_CONTINUE)
    goto done;
  if (settings->count + resources->count == 0)
    {
      status = ds_cli_usage_error (
          "check", "nothing to check: give --settings or --resources");
      goto done;
    }
  if (ds_problems_new (&problems, NULL) != 0)
    {
      status = DS_EXIT_FAILED;
      goto done;
    }
  check_settings (settings, problems);
  if (resources->count > 0)
    check_resources (resources, problems);
  status = ds_cli_print_problems (problems, json->count > 0);

done:
  ds_problems_free (problems);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return ds_cli_flush_output (status);
}
