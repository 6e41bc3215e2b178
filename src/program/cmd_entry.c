#include "daisystep/log.h"
#include "entry/entry.h"
#include "program/cli.h"
#include "program/commands.h"

#include <signal.h>
#include <stdlib.h>

/* Environment variable with the path of the settings file, used without
   --config.  */
#define SETTINGS_VARIABLE "DAISYSTEP_SETTINGS"

static int
run_entry (const char *path)
{
  struct ds_error error = DS_ERROR_NONE;
  struct ds_entry *entry = NULL;
  int status = DS_EXIT_OK;

  (void)signal (SIGPIPE, SIG_IGN);
  if (ds_entry_new (&entry, path, &error) != 0)
    return ds_cli_print_error (&error);
  if (ds_entry_run (entry) != 0)
    status = DS_EXIT_FAILED;
  ds_entry_free (entry);
  return status;
}

/* "daisystep entry": runs an entry host that uses the platform's directory,
   configuration store and ledgers.  */
int
ds_cmd_entry (int argc, char **argv)
{
  static const struct ds_cli_command command = {
    .name = "entry",
    .purpose
    = "Runs an entry host that uses the platform's directory, "
      "configuration store and\nledgers until SIGTERM. SIGHUP reloads "
      "the settings.",
  };
  struct arg_str *path = arg_str0 (
      NULL, "config", "FILE", "settings file, default $DAISYSTEP_SETTINGS");
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_end *end = arg_end (8);
  void *table[] = { path, help, end };
  int status = ds_cli_parse (argc, argv, &command, table, help, end);

  if (status == DS_CLI_CONTINUE)
    {
      const char *file
          = path->count > 0 ? path->sval[0] : getenv (SETTINGS_VARIABLE);

      status = file != NULL
                   ? run_entry (file)
                   : ds_cli_usage_error ("entry", "no settings file: give "
                                                  "--config FILE or set "
                                                  "DAISYSTEP_SETTINGS");
    }
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
