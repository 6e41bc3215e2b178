#ifndef DAISYSTEP_PROGRAM_COMMANDS_H
#define DAISYSTEP_PROGRAM_COMMANDS_H

/* Exit statuses of every subcommand.  */
enum ds_exit_status
{
  DS_EXIT_OK = 0,
  /* The command ran with a negative result: invalid files, a conflict, an
     object that does not exist.  */
  DS_EXIT_FAILED = 1,
  /* The command line is invalid.  */
  DS_EXIT_USAGE = 2,
  /* A server or file is unavailable.  */
  DS_EXIT_UNAVAILABLE = 3
};

int ds_cmd_check (int argc, char **argv);
int ds_cmd_dump (int argc, char **argv);
int ds_cmd_resources (int argc, char **argv);
int ds_cmd_serve (int argc, char **argv);
int ds_cmd_entry (int argc, char **argv);
int ds_cmd_explain (int argc, char **argv);
int ds_cmd_version (int argc, char **argv);

#endif
