#ifndef DS_ENTRY_EVENT_STREAM_H
#define DS_ENTRY_EVENT_STREAM_H

#include "io/byte_buffer.h"

#include <stdbool.h>
#include <stdint.h>

/* Cuts the bytes of a stream into whole events, so that a stream that breaks
   within one can go on at another replica.  */
struct ds_event_stream
{
  struct ds_byte_buffer partial; /* of the event under way */
  uint64_t last_id;              /* of the events passed on */
  uint64_t events;               /* passed on */
  bool has_id;
};

/* Bytes of one event; a replica that sends more without an end is broken.  */
#define DS_EVENT_BYTES_MAX ((size_t)1 << 20)

typedef void ds_event_stream_fn (struct ds_str events, void *user_data);

int ds_event_stream_feed (TALLOC_CTX *owner, struct ds_event_stream *stream,
                          struct ds_str bytes, ds_event_stream_fn *on_events,
                          void *user_data);
struct ds_str ds_event_stream_partial (const struct ds_event_stream *stream);
void ds_event_stream_discard_partial (struct ds_event_stream *stream);

#endif
