#include "entry/caller.h"
#include "io/tcp.h"
#include "io/timer.h"
#include "platform/caller_codec.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Bytes of pipelined requests that are buffered during a response; reading
   pauses beyond.  */
#define PIPELINED_BYTES_MAX 65536
/* A connection whose peer acknowledges nothing for this time is closed.  */
#define UNACKED_TIMEOUT_MS 8000
/* Interval of keep-alive probes to callers.  */
#define KEEPALIVE_INTERVAL_S 5
/* Body buffers above this size are freed after the request.  */
#define BODY_BUFFER_KEPT_BYTES 32768

struct ds_caller
{
  struct ds_caller_group *group;
  struct ds_tcp *tcp;
  struct ds_http_reader *reader;
  struct ds_timer *timer;
  struct ds_http_head head;
  struct ds_byte_buffer body;
  struct ds_byte_buffer pipelined;
  void *request_data;
  bool request_complete;
  bool responding;
  bool close_after_response; /* close the connection after this response */
  bool feeding;
  bool paused;
  bool freed;
};

static void read_pipelined (struct ds_caller *caller);

static void
on_timeout (void *user_data)
{
  struct ds_caller *caller = user_data;

  caller->timer = NULL;
  if (!ds_http_reader_is_idle (caller->reader))
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

static void
disconnect (struct ds_caller *caller)
{
  if (caller->freed)
    return;
  caller->freed = true;
  caller->group->connections--;
  if (caller->responding)
    caller->group->responding--;
  ds_tcp_free (caller->tcp);
  /* The reader and the buffers may be in use further up the stack; they are
     freed with the TCP stream.  */
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

static void
begin_request (struct ds_caller *caller)
{
  caller->request_complete = false;
  caller->responding = true;
  caller->group->responding++;
  if (!caller->head.keep_alive || caller->group->shedding)
    caller->close_after_response = true;
  set_timeout (caller, 0);
  caller->group->handlers.on_request (caller, &caller->head,
                                      ds_byte_buffer_content (&caller->body),
                                      caller->group->handlers.user_data);
}

/* Parses BYTES, which belong to the next requests of the connection.  */
static void
feed (struct ds_caller *caller, struct ds_str bytes)
{
  caller->feeding = true;
  while (bytes.length > 0 && !caller->freed && !caller->responding
         && !caller->close_after_response)
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
      if (caller->request_complete)
        begin_request (caller);
      else if (was_idle)
        set_timeout (caller, caller->group->limits.header_timeout_ms);
    }
  if (!caller->freed)
    {
      caller->feeding = false;
      if (bytes.length > 0 && !caller->close_after_response)
        (void)ds_byte_buffer_append (caller, &caller->pipelined, bytes);
      if (caller->pipelined.end - caller->pipelined.start
          > PIPELINED_BYTES_MAX)
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

  if (caller->responding)
    {
      (void)ds_byte_buffer_append (caller, &caller->pipelined, bytes);
      if (caller->pipelined.end - caller->pipelined.start
          > PIPELINED_BYTES_MAX)
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
  if (caller->responding)
    caller->group->handlers.on_disconnect (caller, caller->request_data,
                                           caller->group->handlers.user_data);
  disconnect (caller);
}

static void
on_drained (void *user_data)
{
  struct ds_caller *caller = user_data;

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
  caller->group = group;
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
  if (!caller->freed)
    (void)ds_tcp_write (caller->tcp, bytes);
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

  if (caller->paused)
    {
      caller->paused = false;
      ds_tcp_pause (caller->tcp, false);
    }
  if (pipelined.end == pipelined.start)
    return;
  caller->pipelined = (struct ds_byte_buffer){ .data = NULL };
  feed (caller, ds_byte_buffer_content (&pipelined));
  ds_byte_buffer_release (&pipelined);
}

/* Completes the response.  The connection continues with its next request or
   closes.  */
void
ds_caller_finish_response (struct ds_caller *caller)
{
  if (caller->freed || !caller->responding)
    return;
  caller->responding = false;
  caller->group->responding--;
  caller->request_data = NULL;
  if (caller->body.capacity > BODY_BUFFER_KEPT_BYTES)
    ds_byte_buffer_release (&caller->body);
  caller->body.start = 0;
  caller->body.end = 0;
  if (ds_caller_will_close (caller))
    {
      caller->close_after_response = true;
      ds_tcp_close_when_sent (caller->tcp);
      return;
    }
  ds_http_reader_set_limits (caller->reader,
                             caller->group->limits.header_bytes,
                             caller->group->limits.body_bytes);
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

size_t
ds_caller_unsent (const struct ds_caller *caller)
{
  return caller->freed ? 0 : ds_tcp_unsent_bytes (caller->tcp);
}
