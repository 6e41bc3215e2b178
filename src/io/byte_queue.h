#ifndef DAISYSTEP_IO_BYTE_QUEUE_H
#define DAISYSTEP_IO_BYTE_QUEUE_H

#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/* A FIFO of bytes.  The queued bytes are contiguous: LENGTH bytes from
   DATA + START.  */
struct ds_byte_queue
{
  TALLOC_CTX *owner;
  uint8_t *data;
  size_t start;
  size_t length;
  size_t capacity;
};

void ds_byte_queue_init (struct ds_byte_queue *queue, TALLOC_CTX *owner);
uint8_t *ds_byte_queue_reserve (struct ds_byte_queue *queue, size_t count);
int ds_byte_queue_append (struct ds_byte_queue *queue, const uint8_t *bytes,
                          size_t count);
void ds_byte_queue_consume (struct ds_byte_queue *queue, size_t count);

static inline const uint8_t *
ds_byte_queue_front (const struct ds_byte_queue *queue)
{
  return queue->data + queue->start;
}

#endif
