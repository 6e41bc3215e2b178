#include "io/event_context.h"

#include <pthread.h>

/* tevent registers its back ends without a lock on first use; a thread that
   creates a context at the same time gets none.  */
static pthread_mutex_t creation_lock = PTHREAD_MUTEX_INITIALIZER;

/* Creates an event context for one thread; thread-safe.  OWNER must not be
   shared with other threads.  Null if out of memory.  */
struct tevent_context *
ds_event_context_new (TALLOC_CTX *owner)
{
  struct tevent_context *ev;

  (void)pthread_mutex_lock (&creation_lock);
  ev = tevent_context_init (owner);
  (void)pthread_mutex_unlock (&creation_lock);
  return ev;
}
