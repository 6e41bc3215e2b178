#include "daisystep/log.h"

#include <glib.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define LOG_NAME_BYTES 64

/* Set by ds_log_init before any thread starts, read-only afterwards.  */
static char log_host[LOG_NAME_BYTES];
static char log_zone[LOG_NAME_BYTES];
static enum ds_log_level log_threshold = DS_LOG_INFO;

static const char *
level_name (GLogLevelFlags level)
{
  switch (level & G_LOG_LEVEL_MASK)
    {
    case G_LOG_LEVEL_ERROR:
    case G_LOG_LEVEL_CRITICAL:
      return "error";
    case G_LOG_LEVEL_WARNING:
      return "warning";
    case G_LOG_LEVEL_DEBUG:
      return "debug";
    default:
      return "info";
    }
}

static GLogLevelFlags
glib_level (enum ds_log_level level)
{
  switch (level)
    {
    case DS_LOG_ERROR:
      return G_LOG_LEVEL_CRITICAL;
    case DS_LOG_WARNING:
      return G_LOG_LEVEL_WARNING;
    case DS_LOG_INFO:
      return G_LOG_LEVEL_INFO;
    case DS_LOG_DEBUG:
      return G_LOG_LEVEL_DEBUG;
    }
  return G_LOG_LEVEL_INFO;
}

static void
add_text (json_t *line, const char *key, const char *text, gssize length)
{
  json_t *value;

  if (text == NULL || *text == '\0')
    return;
  value
      = length < 0 ? json_string (text) : json_stringn (text, (size_t)length);
  if (value != NULL)
    json_object_set_new (line, key, value);
}

static void
add_time (json_t *line)
{
  struct timespec now;
  struct tm utc;
  char date[32];
  char stamp[48];

  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &utc);
  strftime (date, sizeof date, "%Y-%m-%dT%H:%M:%S", &utc);
  (void)snprintf (stamp, sizeof stamp, "%s.%03ldZ", date,
                  now.tv_nsec / 1000000);
  json_object_set_new (line, "time", json_string (stamp));
}

/* The JSON key of a GLib field, or null for a field that is not written.  */
static const char *
field_key (const char *glib_key)
{
  if (strcmp (glib_key, "MESSAGE") == 0)
    return "message";
  if (strcmp (glib_key, "DS_REQUEST_ID") == 0)
    return "request_id";
  if (strcmp (glib_key, "DS_STEP") == 0)
    return "step";
  if (strcmp (glib_key, "DS_PEER") == 0)
    return "peer";
  return NULL;
}

/* GLib log writer: one JSON object per line on standard error.  */
static GLogWriterOutput
write_json_line (GLogLevelFlags level, const GLogField *fields, gsize count,
                 gpointer user_data)
{
  json_t *line = json_object ();
  char *text;

  (void)user_data;
  if (line == NULL)
    return G_LOG_WRITER_UNHANDLED;
  add_time (line);
  add_text (line, "level", level_name (level), -1);
  add_text (line, "host", log_host, -1);
  add_text (line, "zone", log_zone, -1);
  for (gsize i = 0; i < count; i++)
    {
      const char *key = field_key (fields[i].key);

      if (key != NULL)
        add_text (line, key, fields[i].value, fields[i].length);
    }
  text = json_dumps (line, JSON_COMPACT);
  json_decref (line);
  if (text == NULL)
    return G_LOG_WRITER_UNHANDLED;
  (void)fprintf (stderr, "%s\n", text);
  free (text);
  return G_LOG_WRITER_HANDLED;
}

/* Sets the HOST and ZONE of all later lines and drops lines below LEVEL.  Call
   it once, before the first thread starts.  */
void
ds_log_init (const char *host, const char *zone, enum ds_log_level level)
{
  (void)snprintf (log_host, sizeof log_host, "%s", host);
  (void)snprintf (log_zone, sizeof log_zone, "%s", zone);
  log_threshold = level;
  g_log_set_writer_func (write_json_line, NULL, NULL);
}

/* Parses "error", "warning", "info" or "debug"; otherwise returns
   DS_EINVAL.  */
int
ds_log_level_parse (enum ds_log_level *out, const char *name)
{
  static const char *const names[] = { "error", "warning", "info", "debug" };

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    if (strcmp (name, names[i]) == 0)
      {
        *out = (enum ds_log_level)i;
        return 0;
      }
  return DS_EINVAL;
}

static void
add_field (GLogField *fields, gsize *count, const char *key, const char *text)
{
  if (text == NULL)
    return;
  fields[(*count)++] = (GLogField){ .key = key, .value = text, .length = -1 };
}

/* Writes one line.  FIELDS may be null.  Thread-safe.  */
void
ds_log (enum ds_log_level level, const struct ds_log_fields *fields,
        const char *format, ...)
{
  GLogField glib_fields[4];
  gsize count = 0;
  char message[1024];
  va_list arguments;

  if (level > log_threshold)
    return;
  va_start (arguments, format);
  (void)vsnprintf (message, sizeof message, format, arguments);
  va_end (arguments);
  add_field (glib_fields, &count, "MESSAGE", message);
  if (fields != NULL)
    {
      add_field (glib_fields, &count, "DS_REQUEST_ID", fields->request_id);
      add_field (glib_fields, &count, "DS_STEP", fields->step);
      add_field (glib_fields, &count, "DS_PEER", fields->peer);
    }
  g_log_structured_array (glib_level (level), glib_fields, count);
}

/* Writes ERROR as a warning with its step and peer.  REQUEST_ID may be
   null.  */
void
ds_log_error (const struct ds_error *error, const char *request_id)
{
  struct ds_log_fields fields = {
    .request_id = request_id,
    .step = error->step,
    .peer = error->peer,
  };

  ds_log (DS_LOG_WARNING, &fields, "%s: %s", ds_error_code_name (error->code),
          error->message);
}
