#ifndef DS_IO_HTTP_MESSAGE_H
#define DS_IO_HTTP_MESSAGE_H

#include "daisystep/error.h"
#include "daisystep/str.h"
#include "io/byte_buffer.h"

#include <stdbool.h>
#include <stdint.h>

/* One header line.  Both strings are owned by the head.  */
struct ds_http_header_line
{
  struct ds_str name;
  struct ds_str value;
};

/* Start line and headers.  METHOD and TARGET are set for a request, STATUS for
   a response.  FRAMED: the message declares the end of its body, so that the
   body does not end with the connection.  */
struct ds_http_head
{
  struct ds_str method;
  struct ds_str target;
  struct ds_http_header_line *lines;
  size_t line_count;
  unsigned status;
  bool keep_alive;
  bool framed;
  bool has_length;
  bool chunked;
  uint64_t body_length;
};

/* Why parsing failed; determines the status sent to a client.  */
enum ds_http_parse_error
{
  DS_HTTP_PARSE_ERROR_NONE,
  DS_HTTP_PARSE_ERROR_MALFORMED,
  DS_HTTP_PARSE_ERROR_HEAD_TOO_LARGE,
  DS_HTTP_PARSE_ERROR_BODY_TOO_LARGE
};

/* The strings of HEAD are valid until ON_END has returned.  Handlers must not
   free the reader.  */
struct ds_http_reader_handlers
{
  void (*on_head) (const struct ds_http_head *head, void *user_data);
  void (*on_body) (struct ds_str bytes, void *user_data);
  void (*on_end) (void *user_data);
  void *user_data;
};

struct ds_http_reader;

int ds_http_reader_new (struct ds_http_reader **out, TALLOC_CTX *owner,
                        bool reads_requests, size_t head_limit,
                        uint64_t body_limit,
                        const struct ds_http_reader_handlers *handlers);
void ds_http_reader_set_limits (struct ds_http_reader *reader,
                                size_t head_limit, uint64_t body_limit);
void ds_http_reader_set_head_only (struct ds_http_reader *reader,
                                   bool head_only);
size_t ds_http_reader_feed (struct ds_http_reader *reader,
                            struct ds_str bytes);
void ds_http_reader_end_input (struct ds_http_reader *reader);
enum ds_http_parse_error
ds_http_reader_error (const struct ds_http_reader *reader);
bool ds_http_reader_is_idle (const struct ds_http_reader *reader);

size_t ds_http_reader_memory (const struct ds_http_reader *reader);
void ds_http_reader_trim (struct ds_http_reader *reader);

struct ds_str ds_http_head_find (const struct ds_http_head *head,
                                 const char *name);
size_t ds_http_head_count (const struct ds_http_head *head, const char *name);
bool ds_http_header_line_has_name (const struct ds_http_header_line *line,
                                   const char *name);
bool
ds_http_header_line_is_hop_by_hop (const struct ds_http_head *head,
                                   const struct ds_http_header_line *line);
bool ds_http_is_field_value (struct ds_str text);
const char *ds_http_reason_phrase (unsigned status);

#endif
