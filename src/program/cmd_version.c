#include "program/cli.h"
#include "program/commands.h"

#include <stdio.h>

/* "daisystep version": prints the version and nothing else.  */
int
ds_cmd_version (int argc, char **argv)
{
  static const struct ds_cli_command command = {
    .name = "version",
    .purpose = "Prints the version.",
  };
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_end *end = arg_end (8);
  void *table[] = { help, end };
  int status = ds_cli_parse (argc, argv, &command, table, help, end);

  if (status == DS_CLI_CONTINUE)
    {
      (void)puts ("daisystep " DS_VERSION);
      status = DS_EXIT_OK;
    }
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
