#include "program/cli.h"
#include "program/commands.h"
#include "program/resources.h"

static const struct ds_cli_subcommand actions[] = {
  { "apply", "create and update objects from files", ds_resources_apply },
  { "get", "print objects, bills or budgets", ds_resources_get },
  { "watch", "print changes as they happen", ds_resources_watch },
  { "delete", "delete one object", ds_resources_delete },
};

static const struct ds_cli_command_group group = {
  .command_path = "daisystep resources",
  .subcommand_term = "action",
  .help_header = "Usage: daisystep resources ACTION --platform URL "
                 "[OPTION]...\n\nReads and writes declared resources in the "
                 "platform's object API.\n\nActions:\n",
  .help_footer = "See \"daisystep resources ACTION --help\" for an action.\n",
  .subcommands = actions,
  .count = sizeof actions / sizeof actions[0],
};

/* "daisystep resources ACTION": see its --help.  */
int
ds_cmd_resources (int argc, char **argv)
{
  return ds_cli_dispatch (argc, argv, &group);
}
