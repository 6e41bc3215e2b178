#include "entry/event_stream.h"
#include "daisystep/error.h"

#include <string.h>

/* Streams count their events from 0 or 1.  */
#define FIRST_ID_MAX 1

/* What the lines of an event say.  FAULT is null for a sound event.  */
struct event_fields
{
  uint64_t id;
  bool has_id;
  bool has_data;
  bool has_other;
  const char *fault;
};

/* Whether NAME can be the name of a field: letters, digits, "-" and "_".  */
static bool
is_field_name (struct ds_str name)
{
  for (size_t i = 0; i < name.length; i++)
    {
      char c = name.data[i];

      if (!((c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
            || (c >= '0' && c <= '9') || c == '-' || c == '_'))
        return false;
    }
  return name.length > 0;
}

static void
read_id (struct event_fields *fields, struct ds_str value)
{
  uint64_t id;

  while (value.length > 0 && value.data[value.length - 1] == ' ')
    value.length--;
  if (ds_str_to_u64 (&id, value) != 0)
    fields->fault = "the id of an event is no number";
  else if (fields->has_id && id != fields->id)
    fields->fault = "an event has two ids";
  fields->id = id;
  fields->has_id = true;
}

/* Reads a reconnection time, in milliseconds.  */
static void
read_retry (struct event_fields *fields, struct ds_str value)
{
  uint64_t retry_ms;

  if (ds_str_to_u64 (&retry_ms, value) != 0)
    fields->fault = "the reconnection time is no number";
}

/* Reads a line without its end.  A carriage return or a zero byte inside a
   line would end it, or the event, for some parsers of callers.  Unknown
   fields precede the data; after a data line they may be the head of another
   response that follows an event without its end.  */
static void
read_line (struct event_fields *fields, struct ds_str line)
{
  const char *colon
      = line.length > 0 ? memchr (line.data, ':', line.length) : NULL;
  struct ds_str name = line;
  struct ds_str value = DS_STR_EMPTY;

  if (line.length == 0)
    return;
  if (memchr (line.data, '\r', line.length) != NULL
      || memchr (line.data, '\0', line.length) != NULL)
    {
      fields->fault = "a line of an event has a control character";
      return;
    }
  if (colon == line.data)
    return; /* a comment */
  if (colon != NULL)
    {
      name.length = (size_t)(colon - line.data);
      value.data = colon + 1;
      value.length = line.length - name.length - 1;
    }
  while (value.length > 0 && value.data[0] == ' ')
    {
      value.data++;
      value.length--;
    }
  if (!is_field_name (name))
    fields->fault = "a line of an event is no field";
  else if (ds_str_equal (name, DS_STR ("id")))
    read_id (fields, value);
  else if (ds_str_equal (name, DS_STR ("data")))
    fields->has_data = true;
  else if (ds_str_equal (name, DS_STR ("retry")))
    read_retry (fields, value);
  else if (fields->has_data && !ds_str_equal (name, DS_STR ("event")))
    fields->fault = "an unknown field follows the data of an event";
  else
    fields->has_other = true;
}

/* Reads the lines of an event.  Each event of an upstream has an id and data;
   only comments and the reconnection time may stand alone.  */
static struct event_fields
read_event (struct ds_str event)
{
  struct event_fields fields = { .fault = NULL };

  while (event.length > 0 && fields.fault == NULL)
    {
      const char *end = memchr (event.data, '\n', event.length);
      struct ds_str line = event;

      if (end != NULL)
        line.length = (size_t)(end - event.data);
      event.data += line.length + (end != NULL ? 1 : 0);
      event.length -= line.length + (end != NULL ? 1 : 0);
      if (line.length > 0 && line.data[line.length - 1] == '\r')
        line.length--;
      read_line (&fields, line);
    }
  if (fields.fault == NULL && !fields.has_id
      && (fields.has_data || fields.has_other))
    fields.fault = "an event has no id";
  if (fields.fault == NULL && fields.has_id && !fields.has_data)
    fields.fault = "an event has no data";
  return fields;
}

/* Returns the length of the empty lines at the start of BYTES.  */
static size_t
empty_lines_length (struct ds_str bytes)
{
  size_t length = 0;

  while (length < bytes.length
         && (bytes.data[length] == '\n'
             || (bytes.data[length] == '\r' && length + 1 < bytes.length
                 && bytes.data[length + 1] == '\n')))
    length += bytes.data[length] == '\n' ? 1 : 2;
  return length;
}

/* Returns the length of the first complete event in BYTES with its empty line,
   or 0.  The event does not end within the first SCANNED bytes.  */
static size_t
event_length (struct ds_str bytes, size_t scanned)
{
  /* The end takes up to three bytes, which may arrive one by one.  */
  size_t start = scanned > 2 ? scanned - 2 : 0;

  for (size_t i = start; i + 1 < bytes.length; i++)
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

/* Makes STREAM continue after the event LAST_ID.  */
void
ds_event_stream_set_last_id (struct ds_event_stream *stream, uint64_t last_id)
{
  stream->last_id = last_id;
  stream->has_id = true;
}

/* Whether an event with ID may come next.  */
static bool
is_next (const struct ds_event_stream *stream, uint64_t id)
{
  if (stream->has_id)
    return id == stream->last_id + 1;
  return id <= FIRST_ID_MAX;
}

static int
fail (struct ds_event_stream *stream, const char *fault, struct ds_str event)
{
  stream->fault = fault;
  stream->fault_text = event;
  return DS_EPROTOCOL;
}

/* Parses bytes of a stream and calls ON_EVENT with each complete event.  An
   event whose id was already forwarded is dropped.  Returns DS_EPROTOCOL for
   bytes that are no event, for ids with a gap and for an event that is too
   long; FAULT of STREAM says which, and FAULT_TEXT holds the bytes until the
   next call.  */
int
ds_event_stream_feed (TALLOC_CTX *owner, struct ds_event_stream *stream,
                      struct ds_str bytes, ds_event_stream_fn *on_event,
                      void *user_data)
{
  size_t most
      = stream->partial_max > 0 ? stream->partial_max : DS_EVENT_BYTES_MAX;
  struct ds_str remaining;
  size_t scanned = ds_byte_buffer_content (&stream->partial).length;
  size_t length;

  if (ds_byte_buffer_append (owner, &stream->partial, bytes) != 0)
    return DS_ENOMEM;
  remaining = ds_byte_buffer_content (&stream->partial);
  for (;;)
    {
      size_t empty = empty_lines_length (remaining);

      remaining.data += empty;
      remaining.length -= empty;
      stream->partial.start += empty;
      scanned = empty < scanned ? scanned - empty : 0;
      length = event_length (remaining, scanned);
      if (length == 0)
        break;
      struct ds_str event = { .data = remaining.data, .length = length };
      struct event_fields fields = read_event (event);

      if (fields.fault != NULL)
        return fail (stream, fields.fault, event);
      scanned = 0;
      remaining.data += length;
      remaining.length -= length;
      stream->partial.start += length;
      if (fields.has_id)
        {
          if (stream->has_id && fields.id <= stream->last_id)
            continue;
          if (!is_next (stream, fields.id))
            return fail (stream, "events are out of order", event);
          ds_event_stream_set_last_id (stream, fields.id);
          stream->events++;
        }
      on_event (event, user_data);
    }
  if (remaining.length > most)
    return fail (stream, "an event is too long", remaining);
  if (stream->partial.end == stream->partial.start)
    ds_byte_buffer_release (&stream->partial);
  return 0;
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
