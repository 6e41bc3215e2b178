#include "entry/caller.h"
#include "io/tcp.h"
#include "io/timer.h"
#include "platform/caller_codec.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Bytes of later requests that are kept while one is answered; reading stops
   beyond.  */
#define STASH_BYTES_MAX 65536
/* A caller's machine that acknowledges nothing for so long is gone.  */
#define UNACKED_MS 8000
/* Distance of keep-alive probes to callers, seconds.  */
#define KEEPALIVE_S 5
/* Body bytes above which the buffer of a connection is not kept.  */
#define BODY_KEPT_BYTES 32768

struct ds_caller
{
  struct ds_caller_group *group;
  struct ds_tcp *tcp;
  struct ds_http_reader *reader;
  struct ds_timer *timer;
  struct ds_http_head head;
  struct ds_byte_buffer body;
  struct ds_byte_buffer stash;
  void *request_data;
  bool received; /* a whole request is here */
  bool answering;
  bool last; /* the connection ends after this answer */
  bool feeding;
  bool paused;
  bool freed;
};

static void read_stash (struct ds_caller *caller);

static void
on_timeout (void *user_data)
{
  struct ds_caller *caller = user_data;

  caller->timer = NULL;
  if (!ds_http_reader_is_idle (caller->reader))
    {
      struct ds_byte_buffer out = { .data = NULL };

      if (ds_wire_write_refusal (caller, &out, 408, DS_STR_EMPTY, 0,
                                 DS_STR ("{\"error\":\"request timeout\"}"),
                                 true)
          == 0)
        ds_caller_write (caller, ds_byte_buffer_content (&out));
      ds_byte_buffer_release (&out);
    }
  caller->last = true;
  ds_tcp_finish (caller->tcp);
}

static void
arm (struct ds_caller *caller, uint32_t after_ms)
{
  TALLOC_FREE (caller->timer);
  if (after_ms > 0)
    caller->timer = ds_timer_add (caller->group->ev, caller, after_ms,
                                  on_timeout, caller);
}

static void
drop (struct ds_caller *caller)
{
  if (caller->freed)
    return;
  caller->freed = true;
  caller->group->connections--;
  if (caller->answering)
    caller->group->answering--;
  ds_tcp_free (caller->tcp);
  /* Reader and buffers may be in use further up the stack.  */
  talloc_free (caller->timer);
  caller->timer = NULL;
  (void)talloc_steal (caller->tcp, caller);
}

static void
on_head (const struct ds_http_head *head, void *user_data)
{
  struct ds_caller *caller = user_data;

  caller->head = *head;
}

static void
on_body (struct ds_str bytes, void *user_data)
{
  struct ds_caller *caller = user_data;

  (void)ds_byte_buffer_append (caller, &caller->body, bytes);
}

static void
on_end (void *user_data)
{
  struct ds_caller *caller = user_data;

  caller->received = true;
}

/* Answers a request that cannot be read, and ends the connection.  */
static void
refuse_fault (struct ds_caller *caller, enum ds_http_fault fault)
{
  struct ds_byte_buffer out = { .data = NULL };
  unsigned status = 400;

  if (fault == DS_HTTP_FAULT_HEAD_TOO_LARGE)
    status = 431;
  else if (fault == DS_HTTP_FAULT_BODY_TOO_LARGE)
    status = 413;
  if (ds_wire_write_refusal (caller, &out, status, DS_STR_EMPTY, 0,
                             DS_STR ("{\"error\":\"the request is malformed "
                                     "or too large\"}"),
                             true)
      == 0)
    ds_caller_write (caller, ds_byte_buffer_content (&out));
  ds_byte_buffer_release (&out);
  caller->last = true;
  arm (caller, 0);
  ds_tcp_finish (caller->tcp);
}

static void
begin_answer (struct ds_caller *caller)
{
  caller->received = false;
  caller->answering = true;
  caller->group->answering++;
  if (!caller->head.keep_alive)
    caller->last = true;
  arm (caller, 0);
  caller->group->handlers.on_request (caller, &caller->head,
                                      ds_byte_buffer_content (&caller->body),
                                      caller->group->handlers.user_data);
}

/* Reads BYTES, which belong to the connection's next requests.  */
static void
feed (struct ds_caller *caller, struct ds_str bytes)
{
  caller->feeding = true;
  while (bytes.length > 0 && !caller->freed && !caller->answering
         && !caller->last)
    {
      bool was_idle = ds_http_reader_is_idle (caller->reader);
      size_t taken = ds_http_reader_feed (caller->reader, bytes);
      enum ds_http_fault fault = ds_http_reader_fault (caller->reader);

      if (fault != DS_HTTP_FAULT_NONE)
        {
          refuse_fault (caller, fault);
          break;
        }
      bytes.data += taken;
      bytes.length -= taken;
      if (caller->received)
        begin_answer (caller);
      else if (was_idle)
        arm (caller, caller->group->limits.head_timeout_ms);
    }
  if (!caller->freed)
    {
      caller->feeding = false;
      if (bytes.length > 0 && !caller->last)
        (void)ds_byte_buffer_append (caller, &caller->stash, bytes);
      if (caller->stash.end - caller->stash.start > STASH_BYTES_MAX)
        {
          caller->paused = true;
          ds_tcp_pause (caller->tcp, true);
        }
    }
}

static void
on_bytes (struct ds_str bytes, void *user_data)
{
  struct ds_caller *caller = user_data;

  if (caller->answering)
    {
      (void)ds_byte_buffer_append (caller, &caller->stash, bytes);
      if (caller->stash.end - caller->stash.start > STASH_BYTES_MAX)
        {
          caller->paused = true;
          ds_tcp_pause (caller->tcp, true);
        }
      return;
    }
  feed (caller, bytes);
}

static void
on_tcp_end (enum ds_tcp_end how, void *user_data)
{
  struct ds_caller *caller = user_data;

  (void)how;
  if (caller->answering)
    caller->group->handlers.on_gone (caller, caller->request_data,
                                     caller->group->handlers.user_data);
  drop (caller);
}

static void
on_drained (void *user_data)
{
  struct ds_caller *caller = user_data;

  if (caller->answering && caller->group->handlers.on_drained != NULL)
    caller->group->handlers.on_drained (caller, caller->request_data,
                                        caller->group->handlers.user_data);
}

/* Takes over an accepted connection.  FD is closed on failure.  */
int
ds_caller_accept (struct ds_caller_group *group, int fd)
{
  struct ds_caller *caller = talloc_zero (group->ev, struct ds_caller);
  struct ds_tcp_options options = {
    .ev = group->ev,
    .unacked_ms = UNACKED_MS,
    .keepalive_s = KEEPALIVE_S,
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
                                 group->limits.head_bytes,
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
  caller->group = group;
  group->connections++;
  arm (caller, group->limits.idle_timeout_ms);
  return 0;
}

/* Attaches what handles the request that is being answered.  */
void
ds_caller_set_data (struct ds_caller *caller, void *request_data)
{
  caller->request_data = request_data;
}

/* Sends bytes of an answer in their form on the wire.  A failure is reported
   as the caller's leaving.  */
void
ds_caller_write (struct ds_caller *caller, struct ds_str bytes)
{
  if (!caller->freed)
    (void)ds_tcp_write (caller->tcp, bytes);
}

/* Sends a piece of a chunked body; nothing when it is empty, which would end
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
read_stash (struct ds_caller *caller)
{
  struct ds_byte_buffer stash = caller->stash;

  if (caller->paused)
    {
      caller->paused = false;
      ds_tcp_pause (caller->tcp, false);
    }
  if (stash.end == stash.start)
    return;
  caller->stash = (struct ds_byte_buffer){ .data = NULL };
  feed (caller, ds_byte_buffer_content (&stash));
  ds_byte_buffer_release (&stash);
}

/* The answer is complete.  The connection goes on with its next request or
   ends.  */
void
ds_caller_finish (struct ds_caller *caller)
{
  if (caller->freed || !caller->answering)
    return;
  caller->answering = false;
  caller->group->answering--;
  caller->request_data = NULL;
  if (caller->body.capacity > BODY_KEPT_BYTES)
    ds_byte_buffer_release (&caller->body);
  caller->body.start = 0;
  caller->body.end = 0;
  if (ds_caller_closes (caller))
    {
      caller->last = true;
      ds_tcp_finish (caller->tcp);
      return;
    }
  ds_http_reader_limit (caller->reader, caller->group->limits.head_bytes,
                        caller->group->limits.body_bytes);
  arm (caller, caller->group->limits.idle_timeout_ms);
  /* Inside feed the rest of the bytes is read by its loop.  */
  if (!caller->feeding)
    read_stash (caller);
}

/* Ends the connection at once, so that the answer is seen as incomplete.  */
void
ds_caller_abort (struct ds_caller *caller)
{
  drop (caller);
}

/* True if the connection ends after the answer under way.  */
bool
ds_caller_closes (const struct ds_caller *caller)
{
  return caller->last || caller->group->closing;
}

size_t
ds_caller_unsent (const struct ds_caller *caller)
{
  return caller->freed ? 0 : ds_tcp_unsent (caller->tcp);
}
