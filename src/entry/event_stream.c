#include "entry/event_stream.h"
#include "daisystep/error.h"

#include <string.h>

/* Name of the field with the id of an event.  */
#define ID_FIELD "id:"

/* Reads the id of one event; false when it has none.  */
static bool
read_id (uint64_t *out, struct ds_str event)
{
  size_t start = 0;

  while (start < event.length)
    {
      const char *line = event.data + start;
      const char *line_end = memchr (line, '\n', event.length - start);
      size_t length = line_end != NULL ? (size_t)(line_end - line)
                                       : event.length - start;
      struct ds_str value;

      start += length + 1;
      if (length < strlen (ID_FIELD)
          || memcmp (line, ID_FIELD, strlen (ID_FIELD)) != 0)
        continue;
      value = (struct ds_str){ .data = line + strlen (ID_FIELD),
                               .length = length - strlen (ID_FIELD) };
      while (value.length > 0 && value.data[0] == ' ')
        {
          value.data++;
          value.length--;
        }
      while (value.length > 0
             && strchr (" \r", value.data[value.length - 1]) != NULL)
        value.length--;
      return ds_str_to_u64 (out, value) == 0;
    }
  return false;
}

/* Returns the length of the first complete event in BYTES with its empty line,
   or 0.  */
static size_t
event_length (struct ds_str bytes)
{
  for (size_t i = 0; i + 1 < bytes.length; i++)
    {
      if (bytes.data[i] != '\n')
        continue;
      if (bytes.data[i + 1] == '\n')
        return i + 2;
      if (bytes.data[i + 1] == '\r' && i + 2 < bytes.length
          && bytes.data[i + 2] == '\n')
        return i + 3;
    }
  return 0;
}

/* Parses bytes of a stream and calls ON_EVENT with each complete event.  An
   event whose id was already forwarded is dropped.  Returns DS_EPROTOCOL when
   the ids have a gap, DS_ERANGE when an event is too long.  */
int
ds_event_stream_feed (TALLOC_CTX *owner, struct ds_event_stream *stream,
                      struct ds_str bytes, ds_event_stream_fn *on_event,
                      void *user_data)
{
  struct ds_str remaining;
  size_t length;

  if (ds_byte_buffer_append (owner, &stream->partial, bytes) != 0)
    return DS_ENOMEM;
  remaining = ds_byte_buffer_content (&stream->partial);
  while ((length = event_length (remaining)) > 0)
    {
      struct ds_event event
          = { .text = { .data = remaining.data, .length = length } };

      event.has_id = read_id (&event.id, event.text);
      remaining.data += length;
      remaining.length -= length;
      stream->partial.start += length;
      if (event.has_id && stream->has_id && event.id <= stream->last_id)
        continue;
      if (event.has_id && stream->has_id && event.id != stream->last_id + 1)
        return DS_EPROTOCOL;
      if (event.has_id)
        {
          stream->last_id = event.id;
          stream->has_id = true;
          stream->events++;
        }
      on_event (&event, user_data);
    }
  if (stream->partial.end == stream->partial.start)
    ds_byte_buffer_release (&stream->partial);
  return remaining.length > DS_EVENT_BYTES_MAX ? DS_ERANGE : 0;
}

/* Returns the bytes after the last complete event.  */
struct ds_str
ds_event_stream_partial (const struct ds_event_stream *stream)
{
  return ds_byte_buffer_content (&stream->partial);
}

/* Whether the bytes after the last complete event begin another one.  Empty
   lines and comments belong to none.  */
bool
ds_event_stream_is_inside_event (const struct ds_event_stream *stream)
{
  struct ds_str partial = ds_byte_buffer_content (&stream->partial);
  bool line_start = true;

  for (size_t i = 0; i < partial.length; i++)
    {
      char c = partial.data[i];

      if (line_start && c != '\n' && c != '\r' && c != ':')
        return true;
      line_start = c == '\n';
    }
  return false;
}

/* Discards an event that a replica did not finish.  */
void
ds_event_stream_discard_partial (struct ds_event_stream *stream)
{
  ds_byte_buffer_release (&stream->partial);
}
