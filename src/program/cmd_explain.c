#include "program/cli.h"
#include "program/commands.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Longer than any line of the decision log.  */
#define LINE_BYTES_MAX 4096
#define FILES_MAX 1024
/* Significant digits of a Unix time in seconds with milliseconds.  */
#define TIME_PRECISION_DIGITS 13

/* One parsed log line.  */
struct log_line
{
  double time;
  json_t *fields;
  size_t read_index; /* tie-break for lines with the same time */
};

/* The lines of the request ID, and the host state lines of all hosts.  */
struct trace
{
  GArray *lines;
  const char *id;
};

static const char *
string_field (const struct log_line *line, const char *key)
{
  const char *text = json_string_value (json_object_get (line->fields, key));

  return text != NULL ? text : "";
}

static bool
is_host_state_event (const char *event)
{
  static const char *const events[]
      = { "start",      "stop",           "reload",
          "store_lost", "store_regained", "config_in_force",
          "replica",    "ledger_update" };

  for (size_t i = 0; i < G_N_ELEMENTS (events); i++)
    if (strcmp (event, events[i]) == 0)
      return true;
  return false;
}

static void
read_line (struct trace *trace, const char *text)
{
  const char *start = strchr (text, '{');
  struct log_line line = { .read_index = trace->lines->len };
  const char *event;

  if (start == NULL)
    return;
  line.fields = json_loads (start, JSON_DISABLE_EOF_CHECK, NULL);
  if (line.fields == NULL)
    return;
  line.time = json_number_value (json_object_get (line.fields, "time"));
  event = string_field (&line, "event");
  if (strcmp (string_field (&line, "request"), trace->id) == 0
      || is_host_state_event (event))
    g_array_append_val (trace->lines, line);
  else
    json_decref (line.fields);
}

static int
read_file (struct trace *trace, const char *path, struct ds_error *error)
{
  FILE *file = fopen (path, "r");
  char text[LINE_BYTES_MAX];

  if (file == NULL)
    return ds_error_set (error, DS_EIO, "read log", path,
                         "cannot open the file");
  while (fgets (text, sizeof text, file) != NULL)
    read_line (trace, text);
  (void)fclose (file);
  return 0;
}

static gint
compare_lines (gconstpointer a, gconstpointer b)
{
  const struct log_line *left = a;
  const struct log_line *right = b;

  if (left->time != right->time)
    return left->time < right->time ? -1 : 1;
  return left->read_index < right->read_index ? -1 : 1;
}

static bool
belongs_to_request (const struct trace *trace, const struct log_line *line)
{
  return strcmp (string_field (line, "request"), trace->id) == 0;
}

/* True if a line of the request has the host of STATE_LINE and, for a replica
   event, also its replica.  */
static bool
is_relevant_state (const struct trace *trace,
                   const struct log_line *state_line)
{
  bool is_replica_event
      = strcmp (string_field (state_line, "event"), "replica") == 0;

  for (guint i = 0; i < trace->lines->len; i++)
    {
      const struct log_line *line
          = &g_array_index (trace->lines, struct log_line, i);

      if (belongs_to_request (trace, line)
          && strcmp (string_field (line, "host"),
                     string_field (state_line, "host"))
                 == 0
          && (!is_replica_event
              || strcmp (string_field (line, "replica"),
                         string_field (state_line, "replica"))
                     == 0))
        return true;
    }
  return false;
}

/* True if a later line up to the time FIRST supersedes the state line at
   INDEX.  */
static bool
is_superseded (const struct trace *trace, guint index, double first)
{
  const struct log_line *state_line
      = &g_array_index (trace->lines, struct log_line, index);

  for (guint i = index + 1; i < trace->lines->len; i++)
    {
      const struct log_line *line
          = &g_array_index (trace->lines, struct log_line, i);

      if (line->time > first)
        return false;
      if (strcmp (string_field (line, "event"),
                  string_field (state_line, "event"))
              == 0
          && strcmp (string_field (line, "host"),
                     string_field (state_line, "host"))
                 == 0
          && strcmp (string_field (line, "kind"),
                     string_field (state_line, "kind"))
                 == 0
          && strcmp (string_field (line, "replica"),
                     string_field (state_line, "replica"))
                 == 0)
        return true;
    }
  return false;
}

static void
print_line (const struct log_line *line, const char *mark)
{
  char *text = json_dumps (line->fields,
                           JSON_COMPACT | JSON_PRESERVE_ORDER
                               | JSON_REAL_PRECISION (TIME_PRECISION_DIGITS));

  printf ("%s %s\n", mark, text != NULL ? text : "");
  free (text);
}

/* Prints the lines of the request, the state of its hosts before it and the
   state changes during it.  Returns the number of lines of the request.  */
static int
print_trace (const struct trace *trace)
{
  double first = 0;
  double last = 0;
  int count = 0;

  for (guint i = 0; i < trace->lines->len; i++)
    {
      const struct log_line *line
          = &g_array_index (trace->lines, struct log_line, i);

      if (!belongs_to_request (trace, line))
        continue;
      if (count++ == 0)
        first = line->time;
      last = line->time;
    }
  for (guint i = 0; i < trace->lines->len && count > 0; i++)
    {
      const struct log_line *line
          = &g_array_index (trace->lines, struct log_line, i);

      if (belongs_to_request (trace, line))
        print_line (line, "*");
      else if (line->time <= last && is_relevant_state (trace, line)
               && (line->time > first || !is_superseded (trace, i, first)))
        print_line (line, " ");
    }
  return count;
}

static int
explain (const char *id, const char **paths, int count)
{
  struct trace trace
      = { .lines = g_array_new (FALSE, TRUE, sizeof (struct log_line)),
          .id = id };
  struct ds_error error = DS_ERROR_NONE;
  int status = DS_EXIT_OK;

  for (int i = 0; i < count && status == DS_EXIT_OK; i++)
    if (read_file (&trace, paths[i], &error) != 0)
      status = ds_cli_print_error (&error);
  if (status == DS_EXIT_OK)
    {
      g_array_sort (trace.lines, compare_lines);
      if (print_trace (&trace) == 0)
        {
          (void)fprintf (stderr, "daisystep: no line names request %s\n", id);
          status = DS_EXIT_FAILED;
        }
    }
  for (guint i = 0; i < trace.lines->len; i++)
    json_decref (g_array_index (trace.lines, struct log_line, i).fields);
  g_array_free (trace.lines, TRUE);
  return status;
}

/* "daisystep explain": the log lines of one request, from the logs of all
   hosts.  */
int
ds_cmd_explain (int argc, char **argv)
{
  static const struct ds_cli_command command = {
    .name = "explain",
    .purpose = "Prints the lines of one request from log files of entry hosts "
               "in time order, marked\nwith *, together with the state of the "
               "store connection, the configuration and the\nreplicas that "
               "its hosts logged before and during the request.",
  };
  struct arg_str *id = arg_str1 (NULL, NULL, "ID", "id of the request");
  struct arg_file *files
      = arg_filen (NULL, NULL, "LOG", 1, FILES_MAX, "log files");
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_end *end = arg_end (8);
  void *table[] = { id, files, help, end };
  int status = ds_cli_parse (argc, argv, &command, table, help, end);

  if (status == DS_CLI_CONTINUE)
    status = explain (id->sval[0], files->filename, files->count);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
