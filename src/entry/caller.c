#include "entry/caller.h"
#include "base/decision_log.h"
#include "daisystep/metrics.h"
#include "entry/host_monitor.h"
#include "io/clock.h"
#include "io/tcp.h"
#include "io/timer.h"
#include "platform/caller_codec.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Bytes of pipelined requests that are buffered during a response; reading
   pauses beyond.  */
#define PIPELINED_BYTES_MAX 4096
/* Bytes read at a time: before a body, and during a response, when only the
   end of the connection is awaited.  Together with PIPELINED_BYTES_MAX they
   bound what a connection holds beside its request.  */
#define HEAD_READ_BYTES 4096
#define IDLE_READ_BYTES 1024
#define BODY_READ_BYTES 16384
/* A connection whose peer acknowledges nothing for this time is closed.  */
#define UNACKED_TIMEOUT_MS 8000
/* Interval of keep-alive probes to callers.  */
#define KEEPALIVE_INTERVAL_S 5
/* Bodies up to this size are part of what each request may take.  Their buffer
   stays with the connection.  */
#define ORDINARY_BODY_BYTES 4096
/* What a body without a declared length gets first; beyond, it needs the
   largest allowed size, since it may not wait again.  */
#define FIRST_STEP_BYTES 65536
/* Retry-After when a head cannot be read.  */
#define RETRY_HEAD_MS 400
/* Time in which the rest of a body is read and dropped after a refusal.
   Closing with unread bytes resets the connection, and the caller loses the
   response; callers that send to the end before they read need the time.  */
#define DISCARD_TIMEOUT_MS 2000

/* A caller that has taken nothing of what waits for it for this time is slow;
   others pass through this state for some ms.  */
#define SLOW_MS 1000
/* Interval of the checks while slow callers hold more than their share.  */
#define EXCESS_CHECK_MS 100

/* A body above the ordinary size and the memory that it has.  Connections to
   replicas reference it until they have sent it.  */
struct body
{
  struct ds_body_share share;
  struct ds_caller_group *group;
  struct ds_caller *caller; /* null once the caller has dropped the body */
  struct ds_timer *timer;   /* while it waits */
  struct ds_byte_buffer bytes;
};

enum body_state
{
  READING,
  WAITING,   /* for memory; reading pauses */
  UNREAD,    /* to be refused; the rest is dropped */
  DISCARDING /* refused; the connection closes after the rest */
};

struct ds_caller
{
  struct ds_caller_group *group;
  struct ds_tcp *tcp;
  struct ds_http_reader *reader;
  struct ds_timer *timer;
  struct ds_http_head head;
  struct ds_byte_buffer ordinary_body;
  struct body *body; /* null for an ordinary one */
  enum body_state body_state;
  uint64_t body_received; /* bytes, including those dropped */
  uint64_t body_wait_ms;
  size_t head_memory; /* counted */
  struct ds_byte_buffer pipelined;
  struct ds_caller *previous; /* of those behind */
  struct ds_caller *next;
  uint64_t behind_ms; /* since when bytes wait; 0 if none do */
  void *request_data;
  uint64_t origin; /* as counted by the monitor; 0 before */
  bool request_complete;
  bool responding;
  bool close_after_response; /* close the connection after this response */
  bool feeding;
  bool paused;
  bool freed;
};

static void read_pipelined (struct ds_caller *caller);
static void begin_request (struct ds_caller *caller);
static void refuse_unread (struct ds_caller *caller);

static void
on_timeout (void *user_data)
{
  struct ds_caller *caller = user_data;

  caller->timer = NULL;
  if (!ds_http_reader_is_idle (caller->reader)
      && caller->body_state != DISCARDING)
    {
      struct ds_byte_buffer out = { .data = NULL };

      if (ds_wire_write_local_response (
              caller, &out, 408, DS_STR_EMPTY, 0,
              DS_STR ("{\"error\":\"request timeout\"}"), false, true)
          == 0)
        ds_caller_write (caller, ds_byte_buffer_content (&out));
      ds_byte_buffer_release (&out);
    }
  caller->close_after_response = true;
  ds_tcp_close_when_sent (caller->tcp);
}

static void
set_timeout (struct ds_caller *caller, uint32_t after_ms)
{
  TALLOC_FREE (caller->timer);
  if (after_ms > 0)
    caller->timer = ds_timer_add (caller->group->ev, caller, after_ms,
                                  on_timeout, caller);
}

/* Counts what the head takes.  */
static void
count_head (struct ds_caller *caller, size_t bytes)
{
  caller->group->memory->heads += bytes;
  caller->group->memory->heads -= caller->head_memory;
  caller->head_memory = bytes;
}

static void
set_paused (struct ds_caller *caller, bool paused)
{
  if (caller->paused == paused)
    return;
  caller->paused = paused;
  ds_tcp_pause (caller->tcp, paused);
}

/* Removes the caller from those that are behind.  */
static void
end_behind (struct ds_caller *caller)
{
  if (caller->behind_ms == 0)
    return;
  caller->behind_ms = 0;
  if (caller->previous != NULL)
    caller->previous->next = caller->next;
  else
    caller->group->behind = caller->next;
  if (caller->next != NULL)
    caller->next->previous = caller->previous;
  else
    caller->group->last_behind = caller->previous;
  caller->previous = NULL;
  caller->next = NULL;
}

/* Adds the caller as the one that has been behind for the shortest time.  */
static void
begin_behind (struct ds_caller *caller)
{
  struct ds_caller_group *group = caller->group;

  caller->behind_ms = ds_clock_ms ();
  caller->previous = group->last_behind;
  if (group->last_behind != NULL)
    group->last_behind->next = caller;
  else
    group->behind = caller;
  group->last_behind = caller;
}

static void
count_responding (struct ds_caller_group *group, int change)
{
  group->responding += (size_t)change;
  group->memory->requests += (size_t)change;
}

static void
disconnect (struct ds_caller *caller)
{
  if (caller->freed)
    return;
  caller->freed = true;
  count_head (caller, 0);
  end_behind (caller);
  if (caller->body != NULL)
    {
      ds_body_pool_cancel_wait (&caller->group->memory->bodies,
                                &caller->body->share);
      TALLOC_FREE (caller->body->timer);
      caller->body->caller = NULL;
    }
  caller->group->connections--;
  if (caller->responding)
    count_responding (caller->group, -1);
  ds_tcp_free (caller->tcp);
  /* The reader and the buffers may be in use further up the stack; they are
     freed with the TCP stream.  */
  talloc_free (caller->timer);
  caller->timer = NULL;
  (void)talloc_steal (caller->tcp, caller);
}

/* Goes on with the body of BODY's caller after its wait.  */
static void
end_wait (struct body *body, enum ds_body_verdict verdict)
{
  struct ds_caller *caller = body->caller;

  TALLOC_FREE (body->timer);
  if (caller == NULL)
    return;
  if (ds_tcp_peer_has_closed (caller->tcp))
    {
      disconnect (caller);
      return;
    }
  if (verdict != DS_BODY_ADMITTED
      || ds_byte_buffer_reserve (body, &body->bytes, body->share.held) != 0)
    {
      caller->body_state = UNREAD;
      refuse_unread (caller);
      return;
    }
  caller->body_state = READING;
  set_paused (caller, false);
  if (caller->request_complete)
    begin_request (caller);
  else
    set_timeout (caller, caller->group->limits.header_timeout_ms);
}

/* Ends the waits for memory that are over.  */
static void
admit_bodies (struct ds_caller_group *group)
{
  struct ds_body_share *share;
  enum ds_body_verdict verdict;

  while ((share = ds_body_pool_take (&group->memory->bodies, ds_clock_ms (),
                                     &verdict))
         != NULL)
    end_wait (share->user_data, verdict);
}

static void
on_admit_event (struct tevent_context *ev, struct tevent_immediate *event,
                void *user_data)
{
  (void)ev;
  (void)event;
  admit_bodies (user_data);
}

static void
on_wait_over (void *user_data)
{
  struct body *body = user_data;

  body->timer = NULL;
  admit_bodies (body->group);
}

static int
destroy_body (struct body *body)
{
  struct ds_caller_group *group = body->group;

  ds_body_pool_release (&group->memory->bodies, &body->share);
  if (group->admit_event != NULL)
    tevent_schedule_immediate (group->admit_event, group->ev, on_admit_event,
                               group);
  return 0;
}

static void
drop_body (struct ds_caller *caller)
{
  if (caller->body == NULL)
    return;
  caller->body->caller = NULL;
  ds_body_pool_cancel_wait (&caller->group->memory->bodies,
                            &caller->body->share);
  TALLOC_FREE (caller->body->timer);
  (void)talloc_unlink (caller, caller->body);
  caller->body = NULL;
}

/* Requests BYTES in all for the body.  */
static void
request_memory (struct ds_caller *caller, uint64_t bytes)
{
  struct body *body = caller->body;
  enum ds_body_verdict verdict = DS_BODY_REFUSED;

  if (body == NULL)
    {
      body = talloc_zero (caller, struct body);
      if (body != NULL)
        {
          body->group = caller->group;
          body->caller = caller;
          body->share.user_data = body;
          body->share.grows = !caller->head.has_length;
          talloc_set_destructor (body, destroy_body);
          caller->body = body;
        }
    }
  if (body != NULL)
    verdict
        = ds_body_pool_request (&caller->group->memory->bodies, &body->share,
                                bytes, ds_clock_ms (), caller->body_wait_ms);
  if (verdict == DS_BODY_ADMITTED
      && ds_byte_buffer_reserve (body, &body->bytes, bytes) != 0)
    verdict = DS_BODY_REFUSED;
  switch (verdict)
    {
    case DS_BODY_ADMITTED:
      break;
    case DS_BODY_WAITS:
      caller->body_state = WAITING;
      ds_metric_add (DS_METRIC_BODIES_WAITED, 1);
      body->timer
          = ds_timer_add (caller->group->ev, body,
                          (uint32_t)caller->body_wait_ms, on_wait_over, body);
      break;
    case DS_BODY_REFUSED:
      caller->body_state = UNREAD;
      break;
    }
}

static void
on_head (const struct ds_http_head *head, void *user_data)
{
  struct ds_caller *caller = user_data;
  const struct ds_caller_handlers *handlers = &caller->group->handlers;

  caller->head = *head;
  caller->body_received = 0;
  caller->body_state = READING;
  if (handlers->on_unread == NULL)
    return;
  if (caller->group->responding >= caller->group->memory->requests_max)
    {
      caller->body_state = UNREAD;
      return;
    }
  if (!head->chunked && head->body_length <= ORDINARY_BODY_BYTES)
    return;
  caller->body_wait_ms = handlers->body_wait_ms (head, handlers->user_data);
  if (caller->body_wait_ms == 0)
    caller->body_state = UNREAD;
  else if (head->has_length)
    request_memory (caller, head->body_length);
}

/* Requests more memory for a body without a declared length, before BYTES are
   added.  */
static void
grow_body (struct ds_caller *caller, size_t bytes)
{
  uint64_t needed = caller->body_received + bytes;

  if (caller->body_state != READING
      || caller->group->handlers.on_unread == NULL)
    return;
  if (caller->body == NULL && needed > ORDINARY_BODY_BYTES)
    {
      request_memory (caller, FIRST_STEP_BYTES);
      if (caller->body != NULL)
        (void)ds_byte_buffer_append (
            caller->body, &caller->body->bytes,
            ds_byte_buffer_content (&caller->ordinary_body));
    }
  if (caller->body_state == READING && caller->body != NULL
      && needed > caller->body->share.held)
    request_memory (caller, caller->group->limits.body_bytes);
}

static void
on_body (struct ds_str bytes, void *user_data)
{
  struct ds_caller *caller = user_data;
  struct body *body;

  if (!caller->head.has_length)
    grow_body (caller, bytes.length);
  caller->body_received += bytes.length;
  body = caller->body;
  if (caller->body_state == UNREAD)
    return;
  if ((body != NULL
           ? ds_byte_buffer_append (body, &body->bytes, bytes)
           : ds_byte_buffer_append (caller, &caller->ordinary_body, bytes))
      != 0)
    caller->body_state = UNREAD;
}

static void
on_end (void *user_data)
{
  struct ds_caller *caller = user_data;

  caller->request_complete = true;
}

/* Responds to an invalid request and closes the connection.  */
static void
reject_malformed (struct ds_caller *caller, enum ds_http_parse_error error)
{
  struct ds_byte_buffer out = { .data = NULL };
  unsigned status = 400;

  if (error == DS_HTTP_PARSE_ERROR_HEAD_TOO_LARGE)
    status = 431;
  else if (error == DS_HTTP_PARSE_ERROR_BODY_TOO_LARGE)
    status = 413;
  if (ds_wire_write_local_response (
          caller, &out, status, DS_STR_EMPTY, 0,
          DS_STR ("{\"error\":\"the request is malformed "
                  "or too large\"}"),
          false, true)
      == 0)
    ds_caller_write (caller, ds_byte_buffer_content (&out));
  ds_byte_buffer_release (&out);
  caller->close_after_response = true;
  set_timeout (caller, 0);
  ds_tcp_close_when_sent (caller->tcp);
}

static struct ds_str
body_of (const struct ds_caller *caller)
{
  return ds_byte_buffer_content (
      caller->body != NULL ? &caller->body->bytes : &caller->ordinary_body);
}

static void
start_response (struct ds_caller *caller)
{
  uint32_t buffer = ds_host_memory_socket_buffer (caller->group->memory);

  caller->responding = true;
  count_responding (caller->group, 1);
  set_timeout (caller, 0);
  ds_tcp_set_buffers (caller->tcp, buffer, buffer);
  ds_tcp_set_read_size (caller->tcp, IDLE_READ_BYTES);
}

/* Counts the request and has the connection closed after the response if the
   caller should go to another host.  */
static void
count_request (struct ds_caller *caller)
{
  struct ds_host_monitor *monitor = caller->group->monitor;

  if (monitor == NULL)
    return;
  if (caller->origin == 0)
    caller->origin = ds_caller_origin (caller);
  if (!ds_host_monitor_sheds (monitor, caller->origin,
                              (size_t)caller->body_received)
      || caller->close_after_response)
    return;
  caller->close_after_response = true;
  ds_metric_add (DS_METRIC_CONNECTIONS_SHED, 1);
}

static void
begin_request (struct ds_caller *caller)
{
  caller->request_complete = false;
  if (!caller->head.keep_alive || caller->group->shedding)
    caller->close_after_response = true;
  count_request (caller);
  start_response (caller);
  caller->group->handlers.on_request (caller, &caller->head, body_of (caller),
                                      caller->group->handlers.user_data);
}

/* Has a request refused whose body is not read.  What was read of it is
   dropped.  */
static void
refuse_unread (struct ds_caller *caller)
{
  ds_metric_add (DS_METRIC_BODIES_UNREAD, 1);
  drop_body (caller);
  set_paused (caller, false);
  caller->close_after_response = true;
  count_request (caller);
  start_response (caller);
  ds_tcp_set_read_size (caller->tcp, BODY_READ_BYTES);
  caller->group->handlers.on_unread (caller, &caller->head,
                                     caller->group->handlers.user_data);
}

/* Refuses a head that is too long for what is left of the memory for heads.
   True if it was.  */
static bool
refuse_head (struct ds_caller *caller)
{
  struct ds_byte_buffer out = { .data = NULL };

  count_head (caller, ds_http_reader_memory (caller->reader));
  if (ds_host_memory_admits_head (caller->group->memory, caller->head_memory))
    return false;
  ds_metric_add (DS_METRIC_HEADS_REFUSED, 1);
  if (ds_wire_write_local_response (
          caller, &out, 503, DS_STR_EMPTY, RETRY_HEAD_MS,
          DS_STR ("{\"error\":\"no memory for the head\",\"ran\":\"no\"}"),
          false, true)
      == 0)
    ds_caller_write (caller, ds_byte_buffer_content (&out));
  ds_byte_buffer_release (&out);
  caller->close_after_response = true;
  set_timeout (caller, 0);
  ds_tcp_close_when_sent (caller->tcp);
  return true;
}

/* Acts on what was parsed of a request; WAS_IDLE if that is its beginning.  */
static void
advance_request (struct ds_caller *caller, bool was_idle)
{
  if (caller->body_received == 0 && refuse_head (caller))
    return;
  switch (caller->body_state)
    {
    case READING:
      if (caller->request_complete)
        begin_request (caller);
      else if (was_idle)
        set_timeout (caller, caller->group->limits.header_timeout_ms);
      if (!caller->freed && !caller->responding && caller->body != NULL)
        ds_tcp_set_read_size (caller->tcp, BODY_READ_BYTES);
      break;
    case WAITING:
      set_timeout (caller, 0);
      set_paused (caller, true);
      break;
    case UNREAD:
      refuse_unread (caller);
      break;
    case DISCARDING:
      break;
    }
}

/* Keeps BYTES, which follow the request in progress.  */
static void
add_pipelined (struct ds_caller *caller, struct ds_str bytes)
{
  if (bytes.length > 0)
    (void)ds_byte_buffer_append (caller, &caller->pipelined, bytes);
  if (caller->pipelined.end - caller->pipelined.start > PIPELINED_BYTES_MAX)
    set_paused (caller, true);
}

/* Parses BYTES, which belong to the next requests of the connection.  */
static void
feed (struct ds_caller *caller, struct ds_str bytes)
{
  caller->feeding = true;
  while (bytes.length > 0 && !caller->freed && !caller->responding
         && caller->body_state != WAITING && !caller->close_after_response)
    {
      bool was_idle = ds_http_reader_is_idle (caller->reader);
      size_t taken = ds_http_reader_feed (caller->reader, bytes);
      enum ds_http_parse_error error = ds_http_reader_error (caller->reader);

      if (error != DS_HTTP_PARSE_ERROR_NONE)
        {
          reject_malformed (caller, error);
          break;
        }
      bytes.data += taken;
      bytes.length -= taken;
      advance_request (caller, was_idle);
    }
  if (!caller->freed)
    {
      caller->feeding = false;
      if (!caller->close_after_response)
        add_pipelined (caller, bytes);
    }
}

/* Drops bytes of a body that was refused.  */
static void
discard (struct ds_caller *caller, struct ds_str bytes)
{
  uint64_t most = caller->head.has_length ? caller->head.body_length
                                          : caller->group->limits.body_bytes;

  caller->body_received += bytes.length;
  if (caller->body_state == DISCARDING && caller->body_received >= most)
    ds_tcp_close_when_sent (caller->tcp);
}

static void
on_bytes (struct ds_str bytes, void *user_data)
{
  struct ds_caller *caller = user_data;

  if (caller->body_state == UNREAD || caller->body_state == DISCARDING)
    discard (caller, bytes);
  else if (caller->responding)
    add_pipelined (caller, bytes);
  else
    feed (caller, bytes);
}

static void
end_caller (struct ds_caller *caller)
{
  if (caller->responding)
    caller->group->handlers.on_disconnect (caller, caller->request_data,
                                           caller->group->handlers.user_data);
  disconnect (caller);
}

static void
on_tcp_end (enum ds_tcp_end how, void *user_data)
{
  (void)how;
  end_caller (user_data);
}

/* Closes the connection of a caller that reads too slowly.  */
static void
close_slow (struct ds_caller *caller, uint64_t now_ms)
{
  const struct ds_host_memory *memory = caller->group->memory;
  struct ds_caller_request request = { .id = DS_STR_EMPTY };
  struct ds_decision_line line;

  if (caller->responding)
    (void)ds_wire_read_request (&request, &caller->head);
  line = ds_decision_line_begin ("slow_reader_closed", request.id);
  ds_decision_line_add_number (&line, "behind_ms",
                               (int64_t)(now_ms - caller->behind_ms));
  ds_decision_line_add_number (&line, "unsent",
                               (int64_t)ds_tcp_unsent_bytes (caller->tcp));
  ds_decision_line_add_number (&line, "unsent_all", (int64_t)memory->unsent);
  ds_decision_line_add_number (&line, "unread_all", (int64_t)memory->unread);
  ds_decision_line_add_number (&line, "allowed", (int64_t)memory->unsent_max);
  ds_decision_line_end (&line);
  ds_metric_add (DS_METRIC_SLOW_READERS_CLOSED, 1);
  end_caller (caller);
}

static void start_excess_timer (struct ds_caller_group *group);

/* Closes the connections of the callers that are behind for longest, until the
   others hold no more than their share.  */
static void
on_excess_timer (void *user_data)
{
  struct ds_caller_group *group = user_data;
  uint64_t now_ms = ds_clock_ms ();
  enum ds_host_memory_excess excess;

  group->excess_timer = NULL;
  while (group->behind != NULL
         && (excess = ds_host_memory_excess (group->memory))
                != DS_HOST_MEMORY_WITHIN
         && (excess == DS_HOST_MEMORY_FAR_ABOVE
             || now_ms - group->behind->behind_ms >= SLOW_MS))
    close_slow (group->behind, now_ms);
  start_excess_timer (group);
}

/* Has slow callers disconnected unless all hold no more than their share.  Not
   at once, since the one that is written to may be the slowest.  */
static void
start_excess_timer (struct ds_caller_group *group)
{
  if (group->excess_timer == NULL && group->behind != NULL
      && ds_host_memory_excess (group->memory) != DS_HOST_MEMORY_WITHIN)
    group->excess_timer = ds_timer_add (group->ev, group->ev, EXCESS_CHECK_MS,
                                        on_excess_timer, group);
}

/* Notes whether bytes wait for the caller.  */
static void
note_behind (struct ds_caller *caller)
{
  if (ds_tcp_unsent_bytes (caller->tcp) == 0)
    {
      end_behind (caller);
      return;
    }
  if (caller->behind_ms == 0)
    begin_behind (caller);
  start_excess_timer (caller->group);
}

static void
on_drained (void *user_data)
{
  struct ds_caller *caller = user_data;

  end_behind (caller);
  if (caller->responding && caller->group->handlers.on_drained != NULL)
    caller->group->handlers.on_drained (caller, caller->request_data,
                                        caller->group->handlers.user_data);
}

/* Takes ownership of an accepted connection.  FD is closed on failure.  */
int
ds_caller_accept (struct ds_caller_group *group, int fd)
{
  struct ds_caller *caller = talloc_zero (group->ev, struct ds_caller);
  struct ds_tcp_options options = {
    .ev = group->ev,
    .unacked_timeout_ms = UNACKED_TIMEOUT_MS,
    .keepalive_interval_s = KEEPALIVE_INTERVAL_S,
    .unsent_total = &group->memory->unsent,
    .send_buffer = ds_host_memory_socket_buffer (group->memory),
    .receive_buffer = ds_host_memory_socket_buffer (group->memory),
  };
  struct ds_tcp_handlers tcp_handlers = {
    .on_bytes = on_bytes,
    .on_drained = on_drained,
    .on_end = on_tcp_end,
    .user_data = caller,
  };
  struct ds_http_reader_handlers reader_handlers = {
    .on_head = on_head,
    .on_body = on_body,
    .on_end = on_end,
    .user_data = caller,
  };
  int status = DS_ENOMEM;

  if (caller != NULL)
    status = ds_http_reader_new (&caller->reader, caller, true,
                                 group->limits.header_bytes,
                                 group->limits.body_bytes, &reader_handlers);
  if (status == 0)
    status
        = ds_tcp_adopt (&caller->tcp, group->ev, &options, fd, &tcp_handlers);
  if (status != 0)
    {
      (void)close (fd);
      talloc_free (caller);
      return status;
    }
  if (group->admit_event == NULL)
    group->admit_event = tevent_create_immediate (group->ev);
  caller->group = group;
  ds_tcp_set_read_size (caller->tcp, HEAD_READ_BYTES);
  group->connections++;
  set_timeout (caller, group->limits.idle_timeout_ms);
  return 0;
}

/* Sets the data that the handlers of the current request get.  */
void
ds_caller_set_data (struct ds_caller *caller, void *request_data)
{
  caller->request_data = request_data;
}

/* Sends bytes of a response as they are.  A failure is reported through
   on_disconnect.  */
void
ds_caller_write (struct ds_caller *caller, struct ds_str bytes)
{
  if (caller->freed)
    return;
  (void)ds_tcp_write (caller->tcp, bytes);
  note_behind (caller);
}

/* Sends a chunk of a chunked body; nothing when it is empty, which would end
   the body.  */
void
ds_caller_write_chunk (struct ds_caller *caller, struct ds_str bytes)
{
  char size[20];
  int length = snprintf (size, sizeof size, "%zx\r\n", bytes.length);

  if (bytes.length == 0)
    return;
  ds_caller_write (caller,
                   (struct ds_str){ .data = size, .length = (size_t)length });
  ds_caller_write (caller, bytes);
  ds_caller_write (caller, DS_STR ("\r\n"));
}

static void
read_pipelined (struct ds_caller *caller)
{
  struct ds_byte_buffer pipelined = caller->pipelined;

  set_paused (caller, false);
  if (pipelined.end == pipelined.start)
    return;
  caller->pipelined = (struct ds_byte_buffer){ .data = NULL };
  feed (caller, ds_byte_buffer_content (&pipelined));
  ds_byte_buffer_release (&pipelined);
}

/* Closes the connection after its response, or after the rest of a body that
   is not read.  */
static void
close_after_response (struct ds_caller *caller)
{
  bool rest_follows = caller->body_state == UNREAD
                      && !ds_http_reader_is_idle (caller->reader);

  caller->close_after_response = true;
  if (!rest_follows)
    {
      ds_tcp_close_when_sent (caller->tcp);
      return;
    }
  caller->body_state = DISCARDING;
  set_timeout (caller, DISCARD_TIMEOUT_MS);
  discard (caller, DS_STR_EMPTY);
}

/* Completes the response.  The connection continues with its next request or
   closes.  */
void
ds_caller_finish_response (struct ds_caller *caller)
{
  if (caller->freed || !caller->responding)
    return;
  caller->responding = false;
  count_responding (caller->group, -1);
  caller->request_data = NULL;
  drop_body (caller);
  if (caller->ordinary_body.capacity > ORDINARY_BODY_BYTES)
    ds_byte_buffer_release (&caller->ordinary_body);
  caller->ordinary_body.start = 0;
  caller->ordinary_body.end = 0;
  if (ds_caller_will_close (caller))
    {
      close_after_response (caller);
      return;
    }
  ds_http_reader_trim (caller->reader);
  count_head (caller, 0);
  ds_http_reader_set_limits (caller->reader,
                             caller->group->limits.header_bytes,
                             caller->group->limits.body_bytes);
  ds_tcp_set_read_size (caller->tcp, HEAD_READ_BYTES);
  set_timeout (caller, caller->group->limits.idle_timeout_ms);
  /* Inside feed, its loop reads the remaining bytes.  */
  if (!caller->feeding)
    read_pipelined (caller);
}

/* Closes the connection at once; the caller sees an incomplete response.  */
void
ds_caller_abort (struct ds_caller *caller)
{
  disconnect (caller);
}

/* True if the connection closes after the current response.  */
bool
ds_caller_will_close (const struct ds_caller *caller)
{
  return caller->close_after_response || caller->group->closing;
}

/* Returns a number that identifies the machine of the caller: a hash of its IP
   address, or 0 if that is not known.  */
uint64_t
ds_caller_origin (const struct ds_caller *caller)
{
  struct ds_socket_address address;
  char text[DS_SOCKET_ADDRESS_BYTES];

  if (caller->freed || ds_tcp_peer_address (&address, caller->tcp) != 0)
    return 0;
  ds_socket_address_clear_port (&address);
  ds_socket_address_format (text, &address);
  return ds_str_hash (ds_str_from_c (text), 0);
}

/* True if the caller has to take more of its response before more is
   read.  */
bool
ds_caller_is_behind (const struct ds_caller *caller)
{
  return !caller->freed
         && ds_tcp_unsent_bytes (caller->tcp)
                > ds_host_memory_unsent_limit (caller->group->memory);
}

/* The owner of the request's body, for references that outlast the request;
   null if the body has to be copied.  */
TALLOC_CTX *
ds_caller_body_holder (const struct ds_caller *caller)
{
  return caller->body;
}

/* Ends the use of the event loop, before it is freed.  */
void
ds_caller_group_stop (struct ds_caller_group *group)
{
  TALLOC_FREE (group->admit_event);
  TALLOC_FREE (group->excess_timer);
}
