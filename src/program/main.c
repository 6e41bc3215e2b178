#include "program/cli.h"
#include "program/commands.h"

#include <string.h>

static const struct ds_cli_subcommand commands[] = {
  { "serve", "run an entry host on the platform's object API", ds_cmd_serve },
  { "entry",
    "run an entry host on the platform's directory, store and ledgers",
    ds_cmd_entry },
  { "explain", "print the log lines of one request from log files",
    ds_cmd_explain },
  { "check", "check settings and declared resources", ds_cmd_check },
  { "dump", "print the state of a running host", ds_cmd_dump },
  { "resources", "read and write declared resources", ds_cmd_resources },
  { "version", "print the version", ds_cmd_version },
};

static const struct ds_cli_command_group group = {
  .command_path = "daisystep",
  .subcommand_term = "command",
  .help_header = "Usage: daisystep COMMAND [OPTION]...\n\n"
                 "Routes requests of callers with prepaid token budgets to "
                 "upstreams.\n\nCommands:\n",
  .help_footer
  = "See \"daisystep COMMAND --help\" for a command.\n"
    "Exit status: 0 success, 1 negative result, 2 invalid command "
    "line, 3 server or file unavailable.\n",
  .subcommands = commands,
  .count = sizeof commands / sizeof commands[0],
};

int
main (int argc, char **argv)
{
  if (argc > 1 && strcmp (argv[1], "--version") == 0)
    return ds_cmd_version (1, argv);
  return ds_cli_dispatch (argc, argv, &group);
}
