#include "io/sse.h"
#include "daisystep/error.h"
#include "io/byte_buffer.h"

#include <string.h>

#define BOM "\xef\xbb\xbf"
#define BOM_BYTES (sizeof BOM - 1)

struct ds_sse_parser
{
  struct ds_sse_parser_options options;
  struct ds_byte_buffer line; /* received part of the current line */
  struct ds_byte_buffer name;
  struct ds_byte_buffer data; /* each data line ends in a newline */
  struct ds_byte_buffer id;
  size_t bom_bytes; /* matched bytes of the BOM; BOM_BYTES: start is over */
  bool skip_lf;     /* the last line ended in CR; drop a following LF */
  int failure;
};

static void
clear (struct ds_byte_buffer *buffer)
{
  buffer->start = 0;
  buffer->end = 0;
}

static int
replace (struct ds_sse_parser *parser, struct ds_byte_buffer *buffer,
         struct ds_str value)
{
  clear (buffer);
  return ds_byte_buffer_append (parser, buffer, value);
}

/* Returns DS_ERANGE if LENGTH more bytes exceed the event limit.  */
static int
check_limit (const struct ds_sse_parser *parser, size_t length)
{
  size_t buffered = parser->line.end + parser->name.end + parser->data.end;

  return buffered > parser->options.event_limit
                 || length > parser->options.event_limit - buffered
             ? DS_ERANGE
             : 0;
}

/* Ends an event at a blank line.  One without a data line is dropped.  */
static int
dispatch (struct ds_sse_parser *parser)
{
  struct ds_sse_event event = {
    .name = ds_byte_buffer_content (&parser->name),
    .data = ds_byte_buffer_content (&parser->data),
    .id = ds_byte_buffer_content (&parser->id),
  };
  int status = 0;

  if (event.data.length > 0)
    {
      event.data.length--;
      status = parser->options.on_event (&event, parser->options.user_data);
    }
  clear (&parser->name);
  clear (&parser->data);
  return status;
}

static int
process_field (struct ds_sse_parser *parser, struct ds_str name,
               struct ds_str value)
{
  int status = check_limit (parser, value.length + 1);

  if (status != 0)
    return status;
  if (ds_str_equal (name, DS_STR ("data")))
    {
      status = ds_byte_buffer_append (parser, &parser->data, value);
      return status != 0 ? status
                         : ds_byte_buffer_append (parser, &parser->data,
                                                  DS_STR ("\n"));
    }
  if (ds_str_equal (name, DS_STR ("event")))
    return replace (parser, &parser->name, value);
  if (ds_str_equal (name, DS_STR ("id"))
      && memchr (value.data, '\0', value.length) == NULL)
    return replace (parser, &parser->id, value);
  return 0;
}

static int
process_line (struct ds_sse_parser *parser, struct ds_str line)
{
  const char *colon;
  struct ds_str name = line;
  struct ds_str value = DS_STR_EMPTY;

  if (line.length == 0)
    return dispatch (parser);
  colon = memchr (line.data, ':', line.length);
  if (colon == line.data)
    return 0;
  if (colon != NULL)
    {
      name.length = (size_t)(colon - line.data);
      value.data = colon + 1;
      value.length = line.length - name.length - 1;
      if (value.length > 0 && value.data[0] == ' ')
        {
          value.data++;
          value.length--;
        }
    }
  return process_field (parser, name, value);
}

/* Completes the current line with REST and processes it.  */
static int
end_line (struct ds_sse_parser *parser, struct ds_str rest)
{
  struct ds_byte_buffer line = parser->line;
  int status = check_limit (parser, rest.length);

  if (status != 0 || line.end == 0)
    return status != 0 ? status : process_line (parser, rest);
  status = ds_byte_buffer_append (parser, &parser->line, rest);
  if (status != 0)
    return status;
  /* Keep the memory for the next line, but no longer count it.  */
  line = parser->line;
  clear (&parser->line);
  return process_line (parser, ds_byte_buffer_content (&line));
}

static size_t
line_length (struct ds_str bytes)
{
  /* An empty string may be a null pointer, invalid for memchr.  */
  const char *newline
      = bytes.length > 0 ? memchr (bytes.data, '\n', bytes.length) : NULL;
  size_t length
      = newline != NULL ? (size_t)(newline - bytes.data) : bytes.length;
  const char *carriage_return
      = length > 0 ? memchr (bytes.data, '\r', length) : NULL;

  return carriage_return != NULL ? (size_t)(carriage_return - bytes.data)
                                 : length;
}

static struct ds_str
skip (struct ds_str bytes, size_t count)
{
  return (struct ds_str){ .data = bytes.data + count,
                          .length = bytes.length - count };
}

/* Skips a BOM at the start of the stream.  A partial match that turns out not
   to be a BOM becomes the start of the first line.  */
static int
skip_bom (struct ds_sse_parser *parser, struct ds_str *bytes)
{
  while (bytes->length > 0 && parser->bom_bytes < BOM_BYTES)
    {
      if (bytes->data[0] != BOM[parser->bom_bytes])
        {
          struct ds_str start = { .data = BOM, .length = parser->bom_bytes };

          parser->bom_bytes = BOM_BYTES;
          return ds_byte_buffer_append (parser, &parser->line, start);
        }
      parser->bom_bytes++;
      *bytes = skip (*bytes, 1);
    }
  return 0;
}

static int
feed_lines (struct ds_sse_parser *parser, struct ds_str bytes)
{
  while (bytes.length > 0)
    {
      size_t length;
      struct ds_str part;
      int status;

      if (parser->skip_lf && bytes.data[0] == '\n')
        bytes = skip (bytes, 1);
      parser->skip_lf = false;
      if (bytes.length == 0)
        return 0;
      length = line_length (bytes);
      part = (struct ds_str){ .data = bytes.data, .length = length };
      if (length == bytes.length)
        {
          status = check_limit (parser, length);
          return status != 0
                     ? status
                     : ds_byte_buffer_append (parser, &parser->line, part);
        }
      parser->skip_lf = bytes.data[length] == '\r';
      bytes = skip (bytes, length + 1);
      status = end_line (parser, part);
      if (status != 0)
        return status;
    }
  return 0;
}

static int
append_field (TALLOC_CTX *owner, struct ds_byte_buffer *buffer,
              struct ds_str prefix, struct ds_str value)
{
  int status = ds_byte_buffer_append (owner, buffer, prefix);

  if (status == 0)
    status = ds_byte_buffer_append (owner, buffer, value);
  if (status == 0)
    status = ds_byte_buffer_append (owner, buffer, DS_STR ("\n"));
  return status;
}

static int
append_data (TALLOC_CTX *owner, struct ds_byte_buffer *buffer,
             struct ds_str data)
{
  for (;;)
    {
      size_t length = line_length (data);
      struct ds_str line = { .data = data.data, .length = length };
      int status = append_field (owner, buffer, DS_STR ("data: "), line);

      if (status != 0 || length == data.length)
        return status;
      if (data.data[length] == '\r' && length + 1 < data.length
          && data.data[length + 1] == '\n')
        length++;
      data = skip (data, length + 1);
    }
}

/* Creates a parser owned by OWNER.  Returns DS_ENOMEM if out of memory.  */
int
ds_sse_parser_new (struct ds_sse_parser **out, TALLOC_CTX *owner,
                   const struct ds_sse_parser_options *options)
{
  struct ds_sse_parser *parser = talloc_zero (owner, struct ds_sse_parser);

  if (parser == NULL)
    return DS_ENOMEM;
  parser->options = *options;
  *out = parser;
  return 0;
}

/* Frees PARSER.  An incomplete event is dropped.  */
void
ds_sse_parser_free (struct ds_sse_parser *parser)
{
  talloc_free (parser);
}

/* Parses the next BYTES of the stream, split anywhere.  Returns DS_ERANGE if
   an event exceeds the limit, or the result of on_event; after a failure each
   further call returns the same value.  */
int
ds_sse_parser_feed (struct ds_sse_parser *parser, struct ds_str bytes)
{
  if (parser->failure != 0)
    return parser->failure;
  parser->failure = skip_bom (parser, &bytes);
  if (parser->failure == 0)
    parser->failure = feed_lines (parser, bytes);
  return parser->failure;
}

/* Formats EVENT as text owned by OWNER, with its terminating blank line.  Each
   line end in the data starts a new "data:" line, so a parser returns a CR as
   a newline.  Returns DS_EINVAL for a line end in the name or id.  */
int
ds_sse_format (struct ds_str *out, TALLOC_CTX *owner,
               const struct ds_sse_event *event)
{
  struct ds_byte_buffer buffer = { .data = NULL };
  int status = 0;

  if (line_length (event->name) != event->name.length
      || line_length (event->id) != event->id.length)
    return DS_EINVAL;
  if (event->name.length > 0)
    status = append_field (owner, &buffer, DS_STR ("event: "), event->name);
  if (event->id.length > 0 && status == 0)
    status = append_field (owner, &buffer, DS_STR ("id: "), event->id);
  if (status == 0)
    status = append_data (owner, &buffer, event->data);
  if (status == 0)
    status = ds_byte_buffer_append (owner, &buffer, DS_STR ("\n"));
  if (status != 0)
    {
      ds_byte_buffer_release (&buffer);
      return status;
    }
  *out = ds_byte_buffer_content (&buffer);
  return 0;
}
