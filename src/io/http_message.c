#include "io/http_message.h"
#include "io/chunk_framing.h"

#include <http_parser.h>
#include <limits.h>
#include <string.h>
#include <strings.h>

/* Offsets into the text of the head, since the buffer moves when it grows.  */
struct header_span
{
  size_t name;
  size_t name_length;
  size_t value;
  size_t value_length;
};

struct ds_http_reader
{
  http_parser parser;
  struct ds_http_reader_handlers handlers;
  struct ds_byte_buffer text;
  struct header_span *spans;
  size_t span_count;
  size_t span_capacity;
  size_t start_length; /* of the target, or of the reason phrase */
  struct ds_http_head head;
  size_t head_limit;
  uint64_t body_limit;
  uint64_t body_bytes;
  enum ds_http_parse_error error;
  struct ds_chunk_framing chunks;
  bool in_message;
  bool in_chunks; /* in a body in chunks */
  bool complete;  /* the message has ended within the last bytes */
  bool in_value;
  bool head_done;
  bool head_only;
  bool interim;
};

/* More than a legitimate client or upstream sends.  */
#define HEADER_LINES_MAX 128
#define HEADER_LINES_INITIAL 16
/* Memory that a reader keeps between messages; the heads of ordinary requests
   take less.  */
#define KEPT_TEXT_BYTES 2048
#define KEPT_HEADER_LINES 32

static struct ds_http_reader *
reader_of (http_parser *parser)
{
  return parser->data;
}

static int
set_error (struct ds_http_reader *reader, enum ds_http_parse_error error)
{
  if (reader->error == DS_HTTP_PARSE_ERROR_NONE)
    reader->error = error;
  return 1;
}

static int
add_text (struct ds_http_reader *reader, const char *at, size_t length)
{
  if (reader->text.end + length > reader->head_limit)
    return set_error (reader, DS_HTTP_PARSE_ERROR_HEAD_TOO_LARGE);
  return ds_byte_buffer_append (
             reader, &reader->text,
             (struct ds_str){ .data = at, .length = length })
                 == 0
             ? 0
             : set_error (reader, DS_HTTP_PARSE_ERROR_MALFORMED);
}

static int
on_begin (http_parser *parser)
{
  struct ds_http_reader *reader = reader_of (parser);

  reader->in_message = true;
  reader->in_chunks = false;
  reader->in_value = false;
  reader->head_done = false;
  reader->interim = false;
  reader->text.start = 0;
  reader->text.end = 0;
  reader->span_count = 0;
  reader->start_length = 0;
  reader->body_bytes = 0;
  return 0;
}

static int
on_start_line (http_parser *parser, const char *at, size_t length)
{
  struct ds_http_reader *reader = reader_of (parser);

  reader->start_length += length;
  return add_text (reader, at, length);
}

static int
add_span (struct ds_http_reader *reader)
{
  struct header_span *grown;

  if (reader->span_count == HEADER_LINES_MAX)
    return set_error (reader, DS_HTTP_PARSE_ERROR_HEAD_TOO_LARGE);
  if (reader->span_count == reader->span_capacity)
    {
      reader->span_capacity = reader->span_capacity > 0
                                  ? 2 * reader->span_capacity
                                  : HEADER_LINES_INITIAL;
      grown = talloc_realloc (reader, reader->spans, struct header_span,
                              (unsigned)reader->span_capacity);
      if (grown == NULL)
        return set_error (reader, DS_HTTP_PARSE_ERROR_MALFORMED);
      reader->spans = grown;
    }
  reader->spans[reader->span_count++]
      = (struct header_span){ .name = reader->text.end };
  return 0;
}

/* Trailers of a chunked body are dropped.  */
static int
on_name (http_parser *parser, const char *at, size_t length)
{
  struct ds_http_reader *reader = reader_of (parser);

  if (reader->head_done)
    return 0;
  if (reader->span_count == 0 || reader->in_value)
    if (add_span (reader) != 0)
      return 1;
  reader->in_value = false;
  reader->spans[reader->span_count - 1].name_length += length;
  return add_text (reader, at, length);
}

static int
on_value (http_parser *parser, const char *at, size_t length)
{
  struct ds_http_reader *reader = reader_of (parser);
  struct header_span *span;

  if (reader->head_done)
    return 0;
  span = &reader->spans[reader->span_count - 1];
  if (!reader->in_value)
    span->value = reader->text.end;
  reader->in_value = true;
  span->value_length += length;
  return add_text (reader, at, length);
}

static bool
is_token (struct ds_str text)
{
  if (text.length == 0)
    return false;
  for (size_t i = 0; i < text.length; i++)
    {
      unsigned char c = (unsigned char)text.data[i];

      if (c <= ' ' || c >= 0x7f || strchr ("()<>@,;:\\\"/[]?={}", c) != NULL)
        return false;
    }
  return true;
}

/* Whether TEXT is the value of a header line: it holds no control character
   but tabs.  */
bool
ds_http_is_field_value (struct ds_str text)
{
  for (size_t i = 0; i < text.length; i++)
    {
      unsigned char c = (unsigned char)text.data[i];

      if ((c < ' ' && c != '\t') || c == 0x7f)
        return false;
    }
  return true;
}

static struct ds_str
text_at (const struct ds_http_reader *reader, size_t start, size_t length)
{
  return (struct ds_str){ .data = reader->text.data + start,
                          .length = length };
}

/* Whether a status line begins inside TEXT: "HTTP/1.1 200".  */
static bool
contains_status_line (struct ds_str text)
{
  static const char pattern[] = "HTTP/0.0 000"; /* 0 is any digit */
  const size_t length = sizeof pattern - 1;

  for (size_t i = 0; i + length <= text.length; i++)
    {
      size_t k = 0;

      while (k < length
             && (pattern[k] == '0'
                     ? text.data[i + k] >= '0' && text.data[i + k] <= '9'
                     : text.data[i + k] == pattern[k]))
        k++;
      if (k == length)
        return true;
    }
  return false;
}

/* Whether the head of a response is a part of one that was cut off, followed
   by the head of another one, whose headers would then count for the first.
   The cut is in the reason phrase or in a value; elsewhere http_parser does
   not accept it.  */
static bool
is_joined_head (const struct ds_http_reader *reader)
{
  bool joined
      = reader->start_length > 0
        && contains_status_line (text_at (reader, 0, reader->start_length));

  for (size_t i = 0; i < reader->span_count && !joined; i++)
    joined = contains_status_line (text_at (reader, reader->spans[i].value,
                                            reader->spans[i].value_length));
  return joined;
}

/* Statuses whose responses have no body by definition.  */
static bool
has_no_body (unsigned status)
{
  return status / 100 == 1 || status == 204 || status == 304;
}

/* Builds the head from the text and checks what http_parser accepts but RFC
   9110 does not.  */
static int
build_head (struct ds_http_reader *reader)
{
  struct ds_http_head *head = &reader->head;

  talloc_free (head->lines);
  *head = (struct ds_http_head){ .line_count = reader->span_count };
  head->lines = talloc_array (reader, struct ds_http_header_line,
                              (unsigned)reader->span_count + 1);
  if (head->lines == NULL)
    return set_error (reader, DS_HTTP_PARSE_ERROR_MALFORMED);
  for (size_t i = 0; i < reader->span_count; i++)
    {
      const struct header_span *span = &reader->spans[i];
      struct ds_http_header_line *line = &head->lines[i];

      line->name = text_at (reader, span->name, span->name_length);
      line->value = text_at (reader, span->value, span->value_length);
      while (line->value.length > 0
             && strchr (" \t", line->value.data[line->value.length - 1]))
        line->value.length--;
      if (!is_token (line->name) || !ds_http_is_field_value (line->value))
        return set_error (reader, DS_HTTP_PARSE_ERROR_MALFORMED);
    }
  if (reader->parser.type == HTTP_REQUEST)
    {
      head->method = ds_str_from_c (
          http_method_str ((enum http_method)reader->parser.method));
      head->target = text_at (reader, 0, reader->start_length);
    }
  head->status = reader->parser.status_code;
  head->keep_alive = http_should_keep_alive (&reader->parser) != 0;
  head->has_length = reader->parser.content_length != ULLONG_MAX
                     && (reader->parser.flags & F_CHUNKED) == 0;
  head->body_length = head->has_length ? reader->parser.content_length : 0;
  head->chunked = (reader->parser.flags & F_CHUNKED) != 0;
  head->framed = reader->parser.type == HTTP_REQUEST || head->has_length
                 || head->chunked || reader->head_only
                 || has_no_body (head->status);
  return 0;
}

static int
on_head_complete (http_parser *parser)
{
  struct ds_http_reader *reader = reader_of (parser);

  reader->head_done = true;
  /* Data after a protocol upgrade cannot be distinguished from a body.  */
  if (parser->upgrade)
    {
      (void)set_error (reader, DS_HTTP_PARSE_ERROR_MALFORMED);
      return -1;
    }
  if (build_head (reader) != 0)
    return -1;
  if (parser->type == HTTP_RESPONSE
      && (parser->status_code < 100 || is_joined_head (reader)))
    {
      (void)set_error (reader, DS_HTTP_PARSE_ERROR_MALFORMED);
      return -1;
    }
  if (reader->head.has_length && reader->head.body_length > reader->body_limit)
    {
      (void)set_error (reader, DS_HTTP_PARSE_ERROR_BODY_TOO_LARGE);
      return -1;
    }
  /* An interim (1xx) response precedes the final one.  */
  reader->interim = parser->type == HTTP_RESPONSE && parser->status_code < 200;
  if (!reader->interim)
    reader->handlers.on_head (&reader->head, reader->handlers.user_data);
  /* http_parser reads a body that is declared here; 1 tells it that there is
     none.  */
  if (parser->type == HTTP_RESPONSE
      && (reader->head_only || has_no_body (parser->status_code)))
    return 1;
  if ((parser->flags & F_CHUNKED) != 0)
    {
      reader->in_chunks = true;
      reader->chunks = (struct ds_chunk_framing){ .size = 0 };
      /* The line feed that ends the head is not read yet.  */
      http_parser_pause (parser, 1);
    }
  return 0;
}

static int
on_body (http_parser *parser, const char *at, size_t length)
{
  struct ds_http_reader *reader = reader_of (parser);

  reader->body_bytes += length;
  if (reader->body_bytes > reader->body_limit)
    return set_error (reader, DS_HTTP_PARSE_ERROR_BODY_TOO_LARGE);
  reader->handlers.on_body ((struct ds_str){ .data = at, .length = length },
                            reader->handlers.user_data);
  return 0;
}

static int
on_complete (http_parser *parser)
{
  struct ds_http_reader *reader = reader_of (parser);

  if (reader->interim)
    return 0;
  reader->in_message = false;
  reader->in_chunks = false;
  reader->complete = true;
  http_parser_pause (parser, 1);
  reader->handlers.on_end (reader->handlers.user_data);
  return 0;
}

static const http_parser_settings callbacks = {
  .on_message_begin = on_begin,
  .on_url = on_start_line,
  .on_status = on_start_line,
  .on_header_field = on_name,
  .on_header_value = on_value,
  .on_headers_complete = on_head_complete,
  .on_body = on_body,
  .on_message_complete = on_complete,
};

/* Creates a reader of requests or of responses.  HEAD_LIMIT bounds the bytes
   of target, header names and values, BODY_LIMIT those of a body.  */
int
ds_http_reader_new (struct ds_http_reader **out, TALLOC_CTX *owner,
                    bool reads_requests, size_t head_limit,
                    uint64_t body_limit,
                    const struct ds_http_reader_handlers *handlers)
{
  struct ds_http_reader *reader = talloc_zero (owner, struct ds_http_reader);

  if (reader == NULL)
    return DS_ENOMEM;
  http_parser_init (&reader->parser,
                    reads_requests ? HTTP_REQUEST : HTTP_RESPONSE);
  reader->parser.data = reader;
  reader->handlers = *handlers;
  ds_http_reader_set_limits (reader, head_limit, body_limit);
  *out = reader;
  return 0;
}

/* Changes the limits for all bytes read from now on.  */
void
ds_http_reader_set_limits (struct ds_http_reader *reader, size_t head_limit,
                           uint64_t body_limit)
{
  reader->head_limit = head_limit;
  reader->body_limit = body_limit;
}

/* Sets whether the next response has no body despite its headers, as for
   HEAD.  */
void
ds_http_reader_set_head_only (struct ds_http_reader *reader, bool head_only)
{
  reader->head_only = head_only;
}

/* Passes BYTES to the parser and returns how many were consumed.  */
static size_t
parse (struct ds_http_reader *reader, struct ds_str bytes)
{
  size_t taken;

  if (HTTP_PARSER_ERRNO (&reader->parser) == HPE_PAUSED)
    http_parser_pause (&reader->parser, 0);
  taken = http_parser_execute (&reader->parser, &callbacks, bytes.data,
                               bytes.length);
  switch (HTTP_PARSER_ERRNO (&reader->parser))
    {
    case HPE_OK:
    case HPE_PAUSED:
      break;
    case HPE_HEADER_OVERFLOW:
      (void)set_error (reader, DS_HTTP_PARSE_ERROR_HEAD_TOO_LARGE);
      break;
    default:
      (void)set_error (reader, DS_HTTP_PARSE_ERROR_MALFORMED);
      break;
    }
  return taken;
}

/* Returns the part of BYTES that is passed to the parser next.  In a body in
   chunks that is one part of the framing, after a check: http_parser takes
   bytes above 0x7f for the digit 0 and ignores what follows a size, so that
   other bytes could end the body.  */
static struct ds_str
next_part (struct ds_http_reader *reader, struct ds_str bytes)
{
  bool valid;

  if (!reader->in_chunks)
    return bytes;
  bytes.length = ds_chunk_framing_advance (&reader->chunks, bytes, &valid);
  if (!valid)
    (void)set_error (reader, DS_HTTP_PARSE_ERROR_MALFORMED);
  return bytes;
}

/* Parses BYTES up to the end of a message and returns how many were consumed;
   the rest belongs to the next message.  Check ds_http_reader_error
   afterwards.  */
size_t
ds_http_reader_feed (struct ds_http_reader *reader, struct ds_str bytes)
{
  size_t taken = 0;

  reader->complete = false;
  while (reader->error == DS_HTTP_PARSE_ERROR_NONE && !reader->complete
         && taken < bytes.length)
    {
      bool was_in_chunks = reader->in_chunks;
      struct ds_str rest
          = { .data = bytes.data + taken, .length = bytes.length - taken };
      struct ds_str part = next_part (reader, rest);

      if (reader->error != DS_HTTP_PARSE_ERROR_NONE)
        break;
      taken += parse (reader, part);
      if (!was_in_chunks && reader->in_chunks && taken < bytes.length)
        {
          part.data = bytes.data + taken;
          part.length = 1;
          taken += parse (reader, part);
        }
    }
  return taken;
}

/* Signals that the peer has closed the connection in order.  This completes a
   body without a declared length; any other message is truncated.  */
void
ds_http_reader_end_input (struct ds_http_reader *reader)
{
  if (reader->error != DS_HTTP_PARSE_ERROR_NONE || !reader->in_message)
    return;
  if (HTTP_PARSER_ERRNO (&reader->parser) == HPE_PAUSED)
    http_parser_pause (&reader->parser, 0);
  (void)http_parser_execute (&reader->parser, &callbacks, NULL, 0);
  if (HTTP_PARSER_ERRNO (&reader->parser) != HPE_OK
      && HTTP_PARSER_ERRNO (&reader->parser) != HPE_PAUSED)
    (void)set_error (reader, DS_HTTP_PARSE_ERROR_MALFORMED);
}

enum ds_http_parse_error
ds_http_reader_error (const struct ds_http_reader *reader)
{
  return reader->error;
}

/* True between messages.  */
bool
ds_http_reader_is_idle (const struct ds_http_reader *reader)
{
  return !reader->in_message;
}

/* Bytes of memory that the head takes.  */
size_t
ds_http_reader_memory (const struct ds_http_reader *reader)
{
  return reader->text.capacity
         + reader->span_capacity * sizeof reader->spans[0]
         + (reader->head.lines != NULL
                ? reader->head.line_count * sizeof reader->head.lines[0]
                : 0);
}

/* Frees what a long head took.  For use between messages: the strings of the
   head are lost.  */
void
ds_http_reader_trim (struct ds_http_reader *reader)
{
  if (reader->in_message)
    return;
  if (reader->text.capacity > KEPT_TEXT_BYTES)
    ds_byte_buffer_release (&reader->text);
  if (reader->span_capacity > KEPT_HEADER_LINES)
    {
      TALLOC_FREE (reader->spans);
      reader->span_capacity = 0;
      reader->span_count = 0;
    }
  TALLOC_FREE (reader->head.lines);
  reader->head.line_count = 0;
}

/* Compares the name of LINE case-insensitively.  */
bool
ds_http_header_line_has_name (const struct ds_http_header_line *line,
                              const char *name)
{
  return line->name.length == strlen (name)
         && strncasecmp (line->name.data, name, line->name.length) == 0;
}

/* The value of the first header NAME; DATA is null if absent.  */
struct ds_str
ds_http_head_find (const struct ds_http_head *head, const char *name)
{
  for (size_t i = 0; i < head->line_count; i++)
    if (ds_http_header_line_has_name (&head->lines[i], name))
      return head->lines[i].value;
  return (struct ds_str){ .data = NULL };
}

/* Number of header lines called NAME.  */
size_t
ds_http_head_count (const struct ds_http_head *head, const char *name)
{
  size_t count = 0;

  for (size_t i = 0; i < head->line_count; i++)
    if (ds_http_header_line_has_name (&head->lines[i], name))
      count++;
  return count;
}

/* Whether NAME is an item of the comma-separated LIST.  */
static bool
list_contains (struct ds_str list, struct ds_str name)
{
  size_t start = 0;

  for (size_t i = 0; i <= list.length; i++)
    {
      size_t first = start;
      size_t last = i;

      if (i < list.length && list.data[i] != ',')
        continue;
      while (first < last && strchr (" \t", list.data[first]) != NULL)
        first++;
      while (last > first && strchr (" \t", list.data[last - 1]) != NULL)
        last--;
      if (last - first == name.length
          && strncasecmp (list.data + first, name.data, name.length) == 0)
        return true;
      start = i + 1;
    }
  return false;
}

/* Whether LINE applies to one connection only: the headers of RFC 9110 and
   those listed in Connection.  Content-Length is one, since each connection
   frames the body anew.  */
bool
ds_http_header_line_is_hop_by_hop (const struct ds_http_head *head,
                                   const struct ds_http_header_line *line)
{
  static const char *const names[] = { "Connection",
                                       "Keep-Alive",
                                       "Proxy-Connection",
                                       "Proxy-Authenticate",
                                       "TE",
                                       "Trailer",
                                       "Transfer-Encoding",
                                       "Upgrade",
                                       "Content-Length",
                                       "Expect" };

  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    if (ds_http_header_line_has_name (line, names[i]))
      return true;
  for (size_t i = 0; i < head->line_count; i++)
    if (ds_http_header_line_has_name (&head->lines[i], "Connection")
        && list_contains (head->lines[i].value, line->name))
      return true;
  return false;
}

/* The standard reason phrase of STATUS, or "Status" if it has none.  */
const char *
ds_http_reason_phrase (unsigned status)
{
  switch (status)
    {
#define REASON(code, name, text)                                              \
  case code:                                                                  \
    return #text;
      HTTP_STATUS_MAP (REASON)
#undef REASON
    default:
      return "Status";
    }
}
