#include "base/decision_log.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* Buffered lines while standard output blocks; further ones are dropped.  */
#define PENDING_BYTES_MAX 65536
/* Reserved in each line for its closing bytes.  */
#define LINE_END_BYTES 3

/* One log per process, written by a single thread.  */
static struct
{
  char host[64];
  char pending[PENDING_BYTES_MAX];
  size_t length;
  uint32_t lines_per_s;
  uint32_t lines_this_s;
  int64_t second;
  uint64_t dropped;
  uint64_t dropped_reported;
} state;

/* Starts writing lines to standard output, at most LINES_PER_S; lines beyond
   this rate are counted as dropped.  */
void
ds_decision_log_open (const char *host, uint32_t lines_per_s)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  (void)snprintf (state.host, sizeof state.host, "%s", host);
  state.lines_per_s = lines_per_s;
  /* A stalled reader must not block the process.  */
  if (flags >= 0)
    (void)fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

static void
append (struct ds_decision_line *line, const char *text, size_t length)
{
  if (line->length + length + LINE_END_BYTES > sizeof line->text)
    return;
  memcpy (line->text + line->length, text, length);
  line->length += length;
}

static void
append_string (struct ds_decision_line *line, struct ds_str value)
{
  char escaped[7];

  append (line, "\"", 1);
  for (size_t i = 0; i < value.length; i++)
    {
      unsigned char c = (unsigned char)value.data[i];

      if (c == '"' || c == '\\')
        {
          escaped[0] = '\\';
          escaped[1] = (char)c;
          append (line, escaped, 2);
        }
      else if (c < ' ' || c >= 0x7f)
        {
          (void)snprintf (escaped, sizeof escaped, "\\u%04x", c);
          append (line, escaped, 6);
        }
      else
        append (line, (const char *)&value.data[i], 1);
    }
  append (line, "\"", 1);
}

static void
append_key (struct ds_decision_line *line, const char *key)
{
  if (line->length > 1)
    append (line, ",", 1);
  append (line, "\"", 1);
  append (line, key, strlen (key));
  append (line, "\":", 2);
}

/* Begins a line about EVENT.  ID is the request id, empty if the event belongs
   to no request.  */
struct ds_decision_line
ds_decision_line_begin (const char *event, struct ds_str id)
{
  struct ds_decision_line line = { .enabled = true };
  struct timespec now;
  char time_text[32];
  int length;

  (void)clock_gettime (CLOCK_REALTIME, &now);
  if (now.tv_sec != state.second)
    {
      state.second = now.tv_sec;
      state.lines_this_s = 0;
    }
  if (state.lines_this_s >= state.lines_per_s)
    {
      line.enabled = false;
      state.dropped++;
      return line;
    }
  state.lines_this_s++;
  append (&line, "{", 1);
  append_key (&line, "time");
  length = snprintf (time_text, sizeof time_text, "%" PRId64 ".%03ld",
                     (int64_t)now.tv_sec, now.tv_nsec / 1000000);
  append (&line, time_text, (size_t)length);
  append_key (&line, "host");
  append_string (&line, ds_str_from_c (state.host));
  append_key (&line, "event");
  append_string (&line, ds_str_from_c (event));
  if (id.length > 0)
    ds_decision_line_add_text (&line, "request", id);
  return line;
}

void
ds_decision_line_add_text (struct ds_decision_line *line, const char *key,
                           struct ds_str value)
{
  /* An escaped byte may take six; omit a field that may not fit.  */
  if (!line->enabled
      || line->length + 6 * value.length + strlen (key) + 8 + LINE_END_BYTES
             > sizeof line->text)
    return;
  append_key (line, key);
  append_string (line, value);
}

void
ds_decision_line_add_number (struct ds_decision_line *line, const char *key,
                             int64_t value)
{
  char text[24];
  int length = snprintf (text, sizeof text, "%" PRId64, value);

  if (!line->enabled
      || line->length + strlen (key) + sizeof text + 4 + LINE_END_BYTES
             > sizeof line->text)
    return;
  append_key (line, key);
  append (line, text, (size_t)length);
}

/* Writes as many pending bytes as standard output accepts.  */
void
ds_decision_log_flush (void)
{
  ssize_t count;

  if (state.length == 0)
    return;
  count = write (STDOUT_FILENO, state.pending, state.length);
  if (count <= 0)
    return;
  memmove (state.pending, state.pending + count, state.length - (size_t)count);
  state.length -= (size_t)count;
}

/* Completes LINE and queues it, or drops it if the buffer is full.  */
void
ds_decision_line_end (struct ds_decision_line *line)
{
  if (!line->enabled)
    return;
  if (state.dropped > state.dropped_reported)
    {
      ds_decision_line_add_number (line, "lines_dropped",
                                   (int64_t)state.dropped);
      state.dropped_reported = state.dropped;
    }
  memcpy (line->text + line->length, "}\n", 2);
  line->length += 2;
  if (state.length + line->length > sizeof state.pending)
    {
      ds_decision_log_flush ();
      if (state.length + line->length > sizeof state.pending)
        {
          state.dropped++;
          return;
        }
    }
  memcpy (state.pending + state.length, line->text, line->length);
  state.length += line->length;
}

/* Number of lines dropped since the start.  */
uint64_t
ds_decision_log_dropped (void)
{
  return state.dropped;
}
