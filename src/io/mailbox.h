#ifndef DAISYSTEP_IO_MAILBOX_H
#define DAISYSTEP_IO_MAILBOX_H

#include "daisystep/error.h"

#include <stddef.h>
#include <talloc.h>
#include <tevent.h>

/* A bounded queue of messages from any thread to the owner thread, which runs
   one tevent context.  */
struct ds_mailbox;

/* HANDLE is called on the owner thread.  PAYLOAD is not talloc memory, since
   talloc hierarchies belong to one thread.  DESTROY, which may be null, frees
   it on the owner thread, after HANDLE or with the mailbox.  */
struct ds_mailbox_message
{
  void (*handle) (void *payload, void *owner_context);
  void (*destroy) (void *payload);
  void *payload;
};

struct ds_mailbox_options
{
  /* Most messages in the queue.  */
  size_t capacity;
  /* Passed to each handler.  */
  void *owner_context;
};

#define DS_MAILBOX_OPTIONS_DEFAULT                                            \
  ((struct ds_mailbox_options){                                               \
      .capacity = 65536,                                                      \
  })

int ds_mailbox_new (struct ds_mailbox **out, TALLOC_CTX *owner,
                    struct tevent_context *events,
                    const struct ds_mailbox_options *options,
                    struct ds_error *error);
int ds_mailbox_post (struct ds_mailbox *mailbox,
                     const struct ds_mailbox_message *message);
void ds_mailbox_close (struct ds_mailbox *mailbox);
void ds_mailbox_free (struct ds_mailbox *mailbox);

#endif
