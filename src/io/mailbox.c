#include "io/mailbox.h"

#include <errno.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

/* Messages allocated at first; doubled when the queue is full.  */
#define QUEUE_ALLOCATED_MIN ((size_t)16)

struct ds_mailbox
{
  struct ds_mailbox_options options;
  int fd;
  struct tevent_fd *event;
  /* The messages being handled; used by the owner thread only.  */
  struct ds_mailbox_message *batch;
  size_t batch_allocated;
  /* LOCK protects the members below; it is not held while HANDLE or DESTROY of
     a message runs.  */
  pthread_mutex_t lock;
  bool closed;
  struct ds_mailbox_message *queue;
  size_t count;
  size_t allocated;
};

static int
grow_queue (struct ds_mailbox *mailbox)
{
  size_t allocated
      = mailbox->allocated > 0 ? 2 * mailbox->allocated : QUEUE_ALLOCATED_MIN;
  struct ds_mailbox_message *grown
      = realloc (mailbox->queue, allocated * sizeof *mailbox->queue);

  if (grown == NULL)
    return DS_ENOMEM;
  mailbox->queue = grown;
  mailbox->allocated = allocated;
  return 0;
}

/* Appends MESSAGE to the queue; the caller holds the lock.  */
static int
enqueue (struct ds_mailbox *mailbox, const struct ds_mailbox_message *message)
{
  if (mailbox->closed)
    return DS_EUNAVAILABLE;
  if (mailbox->count >= mailbox->options.capacity)
    return DS_ELIMIT;
  if (mailbox->count == mailbox->allocated && grow_queue (mailbox) != 0)
    return DS_ENOMEM;
  mailbox->queue[mailbox->count++] = *message;
  return 0;
}

/* Swaps the queue with the handled batch and returns the number of messages in
   the new batch.  */
static size_t
take_batch (struct ds_mailbox *mailbox)
{
  struct ds_mailbox_message *emptied = mailbox->batch;
  size_t emptied_allocated = mailbox->batch_allocated;
  size_t count;

  pthread_mutex_lock (&mailbox->lock);
  count = mailbox->count;
  mailbox->batch = mailbox->queue;
  mailbox->batch_allocated = mailbox->allocated;
  mailbox->queue = emptied;
  mailbox->allocated = emptied_allocated;
  mailbox->count = 0;
  pthread_mutex_unlock (&mailbox->lock);
  return count;
}

static void
destroy_payload (const struct ds_mailbox_message *message)
{
  if (message->destroy != NULL)
    message->destroy (message->payload);
}

/* Handles the queued messages.  Those posted by a handler are handled in the
   next loop iteration, so that other events are not starved.  */
static void
handle_messages (struct tevent_context *events, struct tevent_fd *event,
                 uint16_t flags, void *data)
{
  struct ds_mailbox *mailbox = data;
  uint64_t posts;
  size_t count;

  (void)events;
  (void)event;
  (void)flags;
  /* Read before the swap, so that a later post signals the eventfd again.  */
  (void)!read (mailbox->fd, &posts, sizeof posts);
  count = take_batch (mailbox);
  for (size_t i = 0; i < count; i++)
    {
      const struct ds_mailbox_message *message = &mailbox->batch[i];

      message->handle (message->payload, mailbox->options.owner_context);
      destroy_payload (message);
    }
}

static int
mailbox_destructor (struct ds_mailbox *mailbox)
{
  size_t count;

  ds_mailbox_close (mailbox);
  count = take_batch (mailbox);
  for (size_t i = 0; i < count; i++)
    destroy_payload (&mailbox->batch[i]);
  free (mailbox->batch);
  free (mailbox->queue);
  TALLOC_FREE (mailbox->event);
  if (mailbox->fd >= 0)
    close (mailbox->fd);
  pthread_mutex_destroy (&mailbox->lock);
  return 0;
}

/* Creates a mailbox that is handled in the loop of EVENTS, on the thread that
   runs it.  DS_ENOMEM, or DS_EIO without an eventfd.  */
int
ds_mailbox_new (struct ds_mailbox **out, TALLOC_CTX *owner,
                struct tevent_context *events,
                const struct ds_mailbox_options *options,
                struct ds_error *error)
{
  struct ds_mailbox *mailbox = talloc_zero (owner, struct ds_mailbox);

  if (mailbox == NULL)
    return ds_error_set (error, DS_ENOMEM, "open mailbox", NULL,
                         "out of memory");
  mailbox->options = *options;
  pthread_mutex_init (&mailbox->lock, NULL);
  mailbox->fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  talloc_set_destructor (mailbox, mailbox_destructor);
  if (mailbox->fd < 0)
    {
      int code = errno;

      talloc_free (mailbox);
      return ds_error_set (error, DS_EIO, "open mailbox", NULL, "%s",
                           strerror (code));
    }
  mailbox->event = tevent_add_fd (events, mailbox, mailbox->fd, TEVENT_FD_READ,
                                  handle_messages, mailbox);
  if (mailbox->event == NULL)
    {
      talloc_free (mailbox);
      return ds_error_set (error, DS_ENOMEM, "open mailbox", NULL,
                           "out of memory");
    }
  *out = mailbox;
  return 0;
}

/* Queues a copy of MESSAGE and wakes the owner thread.  Thread-safe.  Messages
   of one thread are handled in order.  DS_ELIMIT when the mailbox is full,
   DS_EUNAVAILABLE when it is closed, DS_ENOMEM; the caller then keeps the
   payload.  */
int
ds_mailbox_post (struct ds_mailbox *mailbox,
                 const struct ds_mailbox_message *message)
{
  uint64_t one = 1;
  bool was_empty;
  int result;

  pthread_mutex_lock (&mailbox->lock);
  was_empty = mailbox->count == 0;
  result = enqueue (mailbox, message);
  /* Under the lock, so that the descriptor is still open.  The counter cannot
     overflow: it is written only when the queue was empty.  */
  if (result == 0 && was_empty)
    (void)!write (mailbox->fd, &one, sizeof one);
  pthread_mutex_unlock (&mailbox->lock);
  return result;
}

/* Rejects later posts; queued messages are still handled.  Thread-safe.  */
void
ds_mailbox_close (struct ds_mailbox *mailbox)
{
  pthread_mutex_lock (&mailbox->lock);
  mailbox->closed = true;
  pthread_mutex_unlock (&mailbox->lock);
}

/* Frees MAILBOX and destroys the queued payloads without handling them.  Only
   on the owner thread, outside its handlers, and when no other thread can
   post: a posting thread holds a pointer to the mailbox.  */
void
ds_mailbox_free (struct ds_mailbox *mailbox)
{
  talloc_free (mailbox);
}
