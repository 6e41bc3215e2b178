#include "io/byte_queue.h"
#include "daisystep/error.h"

#include <string.h>

#define CAPACITY_MIN ((size_t)512)

/* Memory that an empty queue keeps, so that one large message does not stay
   allocated on an idle link.  */
#define IDLE_CAPACITY_MAX ((size_t)16 * 1024)

/* Initialises an empty queue whose memory is owned by OWNER.  */
void
ds_byte_queue_init (struct ds_byte_queue *queue, TALLOC_CTX *owner)
{
  *queue = (struct ds_byte_queue){ .owner = owner };
}

/* Appends COUNT uninitialised bytes and returns a pointer to the first.
   Returns null, with QUEUE unchanged, if out of memory.  */
uint8_t *
ds_byte_queue_reserve (struct ds_byte_queue *queue, size_t count)
{
  size_t needed = queue->length + count;

  if (queue->start + needed > queue->capacity && queue->start > 0)
    {
      memmove (queue->data, queue->data + queue->start, queue->length);
      queue->start = 0;
    }
  if (needed > queue->capacity)
    {
      size_t capacity = queue->capacity > 0 ? queue->capacity : CAPACITY_MIN;
      uint8_t *grown;

      while (capacity < needed)
        capacity *= 2;
      grown = talloc_realloc (queue->owner, queue->data, uint8_t, capacity);
      if (grown == NULL)
        return NULL;
      queue->data = grown;
      queue->capacity = capacity;
    }
  queue->length += count;
  return queue->data + queue->start + queue->length - count;
}

/* Appends a copy of COUNT bytes.  */
int
ds_byte_queue_append (struct ds_byte_queue *queue, const uint8_t *bytes,
                      size_t count)
{
  uint8_t *destination;

  if (count == 0)
    return 0;
  destination = ds_byte_queue_reserve (queue, count);
  if (destination == NULL)
    return DS_ENOMEM;
  memcpy (destination, bytes, count);
  return 0;
}

/* Removes COUNT bytes, at most the queue's length, from the front.  */
void
ds_byte_queue_consume (struct ds_byte_queue *queue, size_t count)
{
  queue->start += count;
  queue->length -= count;
  if (queue->length > 0)
    return;
  queue->start = 0;
  if (queue->capacity > IDLE_CAPACITY_MAX)
    {
      TALLOC_FREE (queue->data);
      queue->capacity = 0;
    }
}
