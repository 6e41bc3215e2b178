#ifndef DAISYSTEP_PROGRAM_CLI_H
#define DAISYSTEP_PROGRAM_CLI_H

#include "daisystep/error.h"
#include "daisystep/fields.h"
#include "program/object_client.h"

#include <argtable2.h>
#include <stdbool.h>

/* Returned by ds_cli_parse when the command is to run.  */
#define DS_CLI_CONTINUE (-1)

struct json_t;

/* Name and description of a command, for --help.  */
struct ds_cli_command
{
  const char *name;
  const char *purpose;
};

/* A subcommand and the function that runs it.  */
struct ds_cli_subcommand
{
  const char *name;
  const char *help;
  int (*run) (int argc, char **argv);
};

/* The subcommands of a command.  */
struct ds_cli_command_group
{
  /* The parent command: "daisystep" or "daisystep resources".  */
  const char *command_path;
  /* What a subcommand is called: "command" or "action".  */
  const char *subcommand_term;
  /* The --help text before and after the subcommands.  */
  const char *help_header;
  const char *help_footer;
  const struct ds_cli_subcommand *subcommands;
  size_t count;
};

/* Options of the commands that call the platform's object API.  */
struct ds_cli_platform_options
{
  struct arg_str *url;
  struct arg_str *token;
  struct arg_int *timeout_ms;
};

int ds_cli_dispatch (int argc, char **argv,
                     const struct ds_cli_command_group *group);
int ds_cli_parse (int argc, char **argv, const struct ds_cli_command *command,
                  void **table, const struct arg_lit *help,
                  struct arg_end *end);
struct ds_cli_platform_options ds_cli_platform_args (void);
int ds_cli_client_new (struct ds_object_client **out, TALLOC_CTX *owner,
                       const struct ds_cli_platform_options *platform);
int ds_cli_usage_error (const char *subject, const char *message);
int ds_cli_print_error (const struct ds_error *error);
int ds_cli_print_problems (const struct ds_problems *problems, bool as_json);
void ds_cli_print_json (const struct json_t *json, bool pretty);
int ds_cli_flush_output (int exit_status);

#endif
