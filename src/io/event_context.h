#ifndef DS_IO_EVENT_CONTEXT_H
#define DS_IO_EVENT_CONTEXT_H

#include <talloc.h>
#include <tevent.h>

struct tevent_context *ds_event_context_new (TALLOC_CTX *owner);

#endif
