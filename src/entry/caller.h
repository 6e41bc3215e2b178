#ifndef DS_ENTRY_CALLER_H
#define DS_ENTRY_CALLER_H

#include "core/host_memory.h"
#include "daisystep/routing_config.h"
#include "io/http_message.h"

#include <tevent.h>

struct ds_caller;
struct ds_host_monitor;
struct ds_timer;

/* Handlers of a listener.  ON_REQUEST is called with a complete request; HEAD
   and BODY are valid until the response is finished.  ON_DISCONNECT reports
   that the caller disconnected before that; the caller is freed when it
   returns.  ON_DRAINED reports that all output was sent.  BODY_WAIT_MS says
   how long a request with a body above the ordinary size may wait for memory,
   0 to refuse it at once.  ON_UNREAD is called in place of ON_REQUEST for a
   request whose body is not read to its end; it has to refuse it.  */
struct ds_caller_handlers
{
  void (*on_request) (struct ds_caller *caller,
                      const struct ds_http_head *head, struct ds_str body,
                      void *user_data);
  void (*on_disconnect) (struct ds_caller *caller, void *request_data,
                         void *user_data);
  void (*on_drained) (struct ds_caller *caller, void *request_data,
                      void *user_data);
  uint64_t (*body_wait_ms) (const struct ds_http_head *head, void *user_data);
  void (*on_unread) (struct ds_caller *caller, const struct ds_http_head *head,
                     void *user_data);
  void *user_data;
};

/* Shared by all connections of a listener.  LIMITS may change at any time;
   with CLOSING, each connection closes after its response, with SHEDDING after
   that to a request that arrives meanwhile.  MONITOR, if not null, counts the
   requests of each caller and may have its connections closed.  CONNECTIONS
   counts open connections, RESPONDING those with a request in progress. MEMORY
   is shared by all groups of the host; ADMIT_EVENT and the callers that are
   BEHIND are the group's own.  */
struct ds_caller_group
{
  struct tevent_context *ev;
  struct ds_caller_handlers handlers;
  struct ds_caller_limits limits;
  struct ds_host_memory *memory;
  struct tevent_immediate *admit_event;
  struct ds_host_monitor *monitor;
  struct ds_caller *behind; /* the longest first */
  struct ds_caller *last_behind;
  struct ds_timer *excess_timer;
  bool closing;
  bool shedding;
  size_t connections;
  size_t responding;
};

int ds_caller_accept (struct ds_caller_group *group, int fd);
void ds_caller_set_data (struct ds_caller *caller, void *request_data);
void ds_caller_write (struct ds_caller *caller, struct ds_str bytes);
void ds_caller_write_chunk (struct ds_caller *caller, struct ds_str bytes);
void ds_caller_finish_response (struct ds_caller *caller);
void ds_caller_abort (struct ds_caller *caller);
bool ds_caller_will_close (const struct ds_caller *caller);
uint64_t ds_caller_origin (const struct ds_caller *caller);
bool ds_caller_is_behind (const struct ds_caller *caller);
TALLOC_CTX *ds_caller_body_holder (const struct ds_caller *caller);
void ds_caller_group_stop (struct ds_caller_group *group);

#endif
