#ifndef DAISYSTEP_IO_MAILBOX_H
#define DAISYSTEP_IO_MAILBOX_H

#include "daisystep/error.h"

#include <stddef.h>
#include <talloc.h>
#include <tevent.h>

/* A bounded queue of messages from any thread to the thread that runs one
   tevent context.  */
struct ds_mailbox;

/* Work for the owner thread.  PAYLOAD is not talloc memory, since talloc
   hierarchies belong to one thread.  DESTROY, which may be null, frees it: on
   the owner thread, after HANDLE or when the mailbox is freed.  */
struct ds_mailbox_message
{
  void (*handle) (void *payload, void *owner_context);
  void (*destroy) (void *payload);
  void *payload;
};

struct ds_mailbox_options
{
  /* Messages that may wait.  */
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
