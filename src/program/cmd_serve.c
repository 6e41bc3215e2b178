#include "daisystep/log.h"
#include "program/cli.h"
#include "program/commands.h"
#include "program/server.h"

#include <signal.h>

static int
serve (const char *path)
{
  struct ds_error error = DS_ERROR_NONE;
  struct ds_settings *settings = NULL;
  struct ds_server *server = NULL;
  int status = DS_EXIT_OK;

  if (ds_settings_load (&settings, NULL, path, &error) < 0)
    return ds_cli_print_error (&error);
  ds_log_init (settings->host.data, settings->zone.data,
               (enum ds_log_level)settings->log_level);
  (void)signal (SIGPIPE, SIG_IGN);
  if (ds_server_new (&server, settings, &error) < 0)
    {
      status = ds_cli_print_error (&error);
      goto done;
    }
  if (ds_server_run (server) < 0)
    status = DS_EXIT_FAILED;

done:
  ds_server_free (server);
  ds_settings_free (settings);
  return status;
}

/* "daisystep serve": runs an entry host until the shutdown after SIGTERM or
   SIGINT is complete.  */
int
ds_cmd_serve (int argc, char **argv)
{
  static const struct ds_cli_command command = {
    .name = "serve",
    .purpose = "Runs an entry host on the platform's object API until SIGTERM "
               "or SIGINT. SIGUSR1 writes\nthe state of the process to "
               "standard error.",
  };
  struct arg_str *path = arg_str1 (NULL, "config", "FILE", "settings file");
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_end *end = arg_end (8);
  void *table[] = { path, help, end };
  int status = ds_cli_parse (argc, argv, &command, table, help, end);

  if (status == DS_CLI_CONTINUE)
    status = serve (path->sval[0]);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
