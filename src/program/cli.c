#include "program/cli.h"
#include "program/commands.h"

#include "daisystep/address.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TIMEOUT_MS_DEFAULT 5000
#define TIMEOUT_MS_MAX (5 * 60 * 1000)
/* Keeps the token off the command line, which other users can read.  */
#define TOKEN_VARIABLE "DAISYSTEP_PLATFORM_TOKEN"

static void
print_help (const struct ds_cli_command *command, void **table)
{
  (void)printf ("Usage: daisystep %s", command->name);
  arg_print_syntaxv (stdout, table, "\n\n");
  (void)printf ("%s\n\n", command->purpose);
  arg_print_glossary (stdout, table, "  %-24s %s\n");
  (void)fputs (
      "\nExit status: 0 success, 1 negative result, 2 invalid command "
      "line, 3 server or file unavailable.\n",
      stdout);
}

static bool
is_platform_url (const char *url)
{
  const char *address = NULL;
  struct sockaddr_in parsed;

  if (strncmp (url, "http://", 7) == 0)
    address = url + 7;
  else if (strncmp (url, "https://", 8) == 0)
    address = url + 8;
  return address != NULL
         && ds_address_parse (&parsed, ds_str_from_c (address)) == 0;
}

static void
print_group_help (FILE *stream, const struct ds_cli_command_group *group)
{
  (void)fprintf (stream, "%s", group->help_header);
  for (size_t i = 0; i < group->count; i++)
    (void)fprintf (stream, "  %-10s %s\n", group->subcommands[i].name,
                   group->subcommands[i].help);
  (void)fprintf (stream, "\n%s", group->help_footer);
}

/* Runs the subcommand named by ARGV[1], or prints the help of GROUP.  Returns
   the exit status.  */
int
ds_cli_dispatch (int argc, char **argv,
                 const struct ds_cli_command_group *group)
{
  if (argc < 2)
    {
      print_group_help (stderr, group);
      return DS_EXIT_USAGE;
    }
  if (strcmp (argv[1], "--help") == 0 || strcmp (argv[1], "-h") == 0)
    {
      print_group_help (stdout, group);
      return DS_EXIT_OK;
    }
  for (size_t i = 0; i < group->count; i++)
    if (strcmp (argv[1], group->subcommands[i].name) == 0)
      return group->subcommands[i].run (argc - 1, argv + 1);
  (void)fprintf (stderr, "daisystep: unknown %s '%s'; see %s --help\n",
                 group->subcommand_term, argv[1], group->command_path);
  return DS_EXIT_USAGE;
}

/* Parses the command line into TABLE, which the caller frees.  Returns
   DS_CLI_CONTINUE, or the exit status after --help or an invalid command
   line.  */
int
ds_cli_parse (int argc, char **argv, const struct ds_cli_command *command,
              void **table, const struct arg_lit *help, struct arg_end *end)
{
  int error_count;

  if (arg_nullcheck (table) != 0)
    {
      (void)fputs ("daisystep: out of memory for the argument table\n",
                   stderr);
      return DS_EXIT_FAILED;
    }
  error_count = arg_parse (argc, argv, table);
  if (help->count > 0)
    {
      print_help (command, table);
      return DS_EXIT_OK;
    }
  if (error_count == 0)
    return DS_CLI_CONTINUE;
  arg_print_errors (stderr, end, "daisystep");
  (void)fprintf (stderr, "Try 'daisystep %s --help'.\n", command->name);
  return DS_EXIT_USAGE;
}

/* Creates the options --platform, --token and --timeout-ms for an argument
   table.  */
struct ds_cli_platform_options
ds_cli_platform_args (void)
{
  struct ds_cli_platform_options platform = {
    .url = arg_str1 (
        NULL, "platform", "URL",
        "address of the object API, http://IP:PORT or https://IP:PORT"),
    .token
    = arg_str0 (NULL, "token", "TOKEN",
                "bearer token for the platform; default: $" TOKEN_VARIABLE),
    .timeout_ms = arg_int0 (NULL, "timeout-ms", "MS",
                            "timeout of one request; default 5000"),
  };

  if (platform.timeout_ms != NULL)
    platform.timeout_ms->ival[0] = TIMEOUT_MS_DEFAULT;
  return platform;
}

/* Creates a client, owned by OWNER, from the options of the command line.
   Returns 0, or prints the error and returns an exit status.  */
int
ds_cli_client_new (struct ds_object_client **out, TALLOC_CTX *owner,
                   const struct ds_cli_platform_options *platform)
{
  struct ds_object_client_options options = {
    .url = platform->url->sval[0],
    .token = platform->token->count > 0 ? platform->token->sval[0]
                                        : getenv (TOKEN_VARIABLE),
    .timeout_ms = (uint64_t)platform->timeout_ms->ival[0],
  };
  struct ds_error error = DS_ERROR_NONE;

  if (!is_platform_url (options.url))
    return ds_cli_usage_error ("--platform",
                               "invalid value; allowed: http://IP:PORT or "
                               "https://IP:PORT without a path");
  if (platform->timeout_ms->ival[0] < 1
      || platform->timeout_ms->ival[0] > TIMEOUT_MS_MAX)
    return ds_cli_usage_error ("--timeout-ms",
                               "value out of range; allowed: 1..300000");
  if (ds_object_client_new (out, owner, &options, &error) != 0)
    return ds_cli_print_error (&error);
  return 0;
}

/* Prints a command line error of SUBJECT, a command or argument, and returns
   its exit status.  */
int
ds_cli_usage_error (const char *subject, const char *message)
{
  (void)fprintf (stderr, "daisystep: %s: %s\n", subject, message);
  return DS_EXIT_USAGE;
}

/* Prints ERROR and returns the exit status for its code.  */
int
ds_cli_print_error (const struct ds_error *error)
{
  (void)fprintf (stderr, "daisystep: %s: %s%s%s\n", error->step, error->peer,
                 error->peer[0] != '\0' ? ": " : "", error->message);
  switch (error->code)
    {
    case DS_EUNAVAILABLE:
    case DS_ETIMEOUT:
    case DS_EIO:
    case DS_EUNKNOWN:
    case DS_EPROTOCOL:
      return DS_EXIT_UNAVAILABLE;
    default:
      return DS_EXIT_FAILED;
    }
}

static json_t *
problem_to_json (const struct ds_problem *problem)
{
  const struct ds_field_location *location = &problem->location;
  json_t *json
      = json_pack ("{s:s, s:s, s:s, s:s}", "file", location->file, "code",
                   ds_error_code_name (problem->code), "field", location->path,
                   "message", problem->message);

  if (problem->line > 0)
    json_object_set_new (json, "line", json_integer (problem->line));
  if (location->subject != NULL)
    json_object_set_new (json, "object", json_string (location->subject));
  return json;
}

/* Prints each problem as a line of text or JSON to standard output.  Returns
   the exit status, DS_EXIT_UNAVAILABLE if a file could not be read.  */
int
ds_cli_print_problems (const struct ds_problems *problems, bool as_json)
{
  int status = DS_EXIT_OK;

  for (size_t i = 0; i < problems->count; i++)
    {
      const struct ds_problem *problem = &problems->items[i];

      if (as_json)
        {
          json_t *json = problem_to_json (problem);

          ds_cli_print_json (json, false);
          json_decref (json);
        }
      else
        {
          char *text = ds_problem_to_text (NULL, problem);

          (void)puts (text);
          talloc_free (text);
        }
      if (problem->code == DS_EIO)
        status = DS_EXIT_UNAVAILABLE;
      else if (status == DS_EXIT_OK)
        status = DS_EXIT_FAILED;
    }
  return status;
}

/* Prints JSON and a newline to standard output.  */
void
ds_cli_print_json (const json_t *json, bool pretty)
{
  (void)json_dumpf (json, stdout,
                    JSON_ENCODE_ANY
                        | (pretty ? JSON_INDENT (2) : JSON_COMPACT));
  (void)putchar ('\n');
}

/* Flushes standard output.  Returns EXIT_STATUS, or DS_EXIT_UNAVAILABLE if the
   output could not be written, for example to a full disk.  */
int
ds_cli_flush_output (int exit_status)
{
  if (fflush (stdout) == 0 && ferror (stdout) == 0)
    return exit_status;
  perror ("daisystep: cannot write standard output");
  return DS_EXIT_UNAVAILABLE;
}
