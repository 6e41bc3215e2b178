#ifndef DS_IO_BYTE_BUFFER_H
#define DS_IO_BYTE_BUFFER_H

#include "daisystep/str.h"

/* A buffer appended at END and consumed at START; zero-initialised when empty.
   DATA is owned by the context passed to append.  */
struct ds_byte_buffer
{
  char *data;
  size_t start;
  size_t end;
  size_t capacity;
};

int ds_byte_buffer_append (TALLOC_CTX *owner, struct ds_byte_buffer *buffer,
                           struct ds_str data);
int ds_byte_buffer_reserve (TALLOC_CTX *owner, struct ds_byte_buffer *buffer,
                            size_t capacity);
void ds_byte_buffer_release (struct ds_byte_buffer *buffer);
struct ds_str ds_byte_buffer_content (const struct ds_byte_buffer *buffer);

#endif
