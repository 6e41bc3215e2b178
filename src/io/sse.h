#ifndef DS_IO_SSE_H
#define DS_IO_SSE_H

#include "daisystep/str.h"

/* One server-sent event.  NAME is empty for an event without "event:"; ID is
   the last id set by the stream.  In a parser callback all three are valid
   until it returns.  */
struct ds_sse_event
{
  struct ds_str name;
  struct ds_str data;
  struct ds_str id;
};

struct ds_sse_parser;

/* EVENT_LIMIT bounds the bytes of one event and of one line.  A nonzero result
   of ON_EVENT stops the feed, which returns it; ON_EVENT must not free the
   parser.  */
struct ds_sse_parser_options
{
  size_t event_limit;
  int (*on_event) (const struct ds_sse_event *event, void *user_data);
  void *user_data;
};

#define DS_SSE_PARSER_OPTIONS_DEFAULT                                         \
  ((struct ds_sse_parser_options){                                            \
      .event_limit = (size_t)1 << 20,                                         \
      .on_event = NULL,                                                       \
      .user_data = NULL,                                                      \
  })

int ds_sse_parser_new (struct ds_sse_parser **out, TALLOC_CTX *owner,
                       const struct ds_sse_parser_options *options);
void ds_sse_parser_free (struct ds_sse_parser *parser);
int ds_sse_parser_feed (struct ds_sse_parser *parser, struct ds_str bytes);
int ds_sse_format (struct ds_str *out, TALLOC_CTX *owner,
                   const struct ds_sse_event *event);

#endif
