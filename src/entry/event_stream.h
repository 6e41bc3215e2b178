#ifndef DS_ENTRY_EVENT_STREAM_H
#define DS_ENTRY_EVENT_STREAM_H

#include "io/byte_buffer.h"

#include <stdbool.h>
#include <stdint.h>

/* Splits a stream into complete events, so that a stream that breaks within an
   event can be resumed at another replica.  */
struct ds_event_stream
{
  struct ds_byte_buffer partial; /* of the current event */
  uint64_t last_id;              /* of the forwarded events */
  uint64_t events;               /* forwarded, with an id */
  bool has_id;
  size_t partial_max; /* limit of PARTIAL; 0 for DS_EVENT_BYTES_MAX */
  const char *fault;  /* why the last call failed */
  struct ds_str fault_text;
};

/* Largest event; a replica that sends more without an end is faulty.  */
#define DS_EVENT_BYTES_MAX ((size_t)1 << 20)

/* EVENT is one complete event with its empty line.  */
typedef void ds_event_stream_fn (struct ds_str event, void *user_data);

void ds_event_stream_set_last_id (struct ds_event_stream *stream,
                                  uint64_t last_id);
int ds_event_stream_feed (TALLOC_CTX *owner, struct ds_event_stream *stream,
                          struct ds_str bytes, ds_event_stream_fn *on_event,
                          void *user_data);
bool ds_event_stream_is_inside_event (const struct ds_event_stream *stream);
void ds_event_stream_discard_partial (struct ds_event_stream *stream);

#endif
