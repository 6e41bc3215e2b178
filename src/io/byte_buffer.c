#include "io/byte_buffer.h"
#include "daisystep/error.h"

#include <string.h>

#define FIRST_CAPACITY_BYTES ((size_t)1024)

/* Appends a copy of DATA; the memory grows by doubling and is owned by OWNER.
   Returns DS_ENOMEM, with BUFFER unchanged, if out of memory.  */
int
ds_byte_buffer_append (TALLOC_CTX *owner, struct ds_byte_buffer *buffer,
                       struct ds_str data)
{
  size_t used = buffer->end - buffer->start;

  if (data.length > buffer->capacity - buffer->end && buffer->start > 0)
    {
      memmove (buffer->data, buffer->data + buffer->start, used);
      buffer->start = 0;
      buffer->end = used;
    }
  if (data.length > buffer->capacity - buffer->end)
    {
      size_t capacity
          = buffer->capacity > 0 ? 2 * buffer->capacity : FIRST_CAPACITY_BYTES;
      char *grown;

      if (capacity < used + data.length)
        capacity = used + data.length;
      grown = talloc_realloc (owner, buffer->data, char, capacity);
      if (grown == NULL)
        return DS_ENOMEM;
      buffer->data = grown;
      buffer->capacity = capacity;
    }
  if (data.length > 0)
    memcpy (buffer->data + buffer->end, data.data, data.length);
  buffer->end += data.length;
  return 0;
}

/* Makes room for CAPACITY bytes in all, without doubling.  Returns DS_ENOMEM,
   with BUFFER unchanged, if out of memory.  */
int
ds_byte_buffer_reserve (TALLOC_CTX *owner, struct ds_byte_buffer *buffer,
                        size_t capacity)
{
  char *grown;

  if (capacity <= buffer->capacity)
    return 0;
  grown = talloc_realloc (owner, buffer->data, char, capacity);
  if (grown == NULL)
    return DS_ENOMEM;
  buffer->data = grown;
  buffer->capacity = capacity;
  return 0;
}

/* Empties BUFFER and frees its memory.  */
void
ds_byte_buffer_release (struct ds_byte_buffer *buffer)
{
  TALLOC_FREE (buffer->data);
  *buffer = (struct ds_byte_buffer){ .data = NULL };
}

/* The bytes not yet consumed, valid until the next append.  */
struct ds_str
ds_byte_buffer_content (const struct ds_byte_buffer *buffer)
{
  if (buffer->end == buffer->start)
    return DS_STR_EMPTY;
  return (struct ds_str){ .data = buffer->data + buffer->start,
                          .length = buffer->end - buffer->start };
}
