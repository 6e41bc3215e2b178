#include "io/http_connection.h"

/* More than any known upstream or store sends.  */
#define RESPONSE_HEAD_LIMIT_BYTES 65536

enum state
{
  IDLE,              /* no request */
  AWAITING_RESPONSE, /* request sent, no byte of the response received */
  READING_RESPONSE,  /* within a response */
  ENDED
};

struct ds_http_connection
{
  struct tevent_context *ev;
  struct tevent_immediate *free_event;
  struct ds_tcp *tcp;
  struct ds_http_reader *reader;
  struct ds_http_connection_handlers handlers;
  enum state state;
  uint64_t sent_before; /* bytes of earlier requests */
  uint64_t requests;
  uint64_t answers; /* with those that were discarded */
  bool head_only;
  bool unframed;   /* a success that only the end of the connection ends */
  bool discarding; /* the response belongs to no request */
  bool response_complete;
  bool not_reusable;
  bool fell_silent;
  bool freed;
};

static void
on_head (const struct ds_http_head *head, void *user_data)
{
  struct ds_http_connection *c = user_data;
  enum ds_http_answer answer;

  if (c->freed)
    return;
  c->state = READING_RESPONSE;
  c->answers++;
  c->unframed = !head->framed && head->status < 300;
  answer = c->handlers.on_head (head, c->handlers.user_data);
  c->discarding = answer == DS_HTTP_ANSWER_FOREIGN;
  /* A copy of a response that names no request could be taken for the answer
     to a later one.  */
  if (answer != DS_HTTP_ANSWER_OWN || !head->keep_alive || !head->framed)
    c->not_reusable = true;
}

static void
on_body (struct ds_str bytes, void *user_data)
{
  struct ds_http_connection *c = user_data;

  if (!c->freed && !c->discarding)
    c->handlers.on_body (bytes, c->handlers.user_data);
}

static void
on_end (void *user_data)
{
  struct ds_http_connection *c = user_data;

  if (c->discarding)
    {
      c->discarding = false;
      c->state = AWAITING_RESPONSE;
      ds_http_reader_set_head_only (c->reader, c->head_only);
      return;
    }
  c->response_complete = true;
}

/* Reports the end of a response after the reader has returned.  */
static void
report_response_end (struct ds_http_connection *c, bool bytes_follow)
{
  if (!c->response_complete || c->freed)
    return;
  c->response_complete = false;
  c->state = IDLE;
  if (bytes_follow)
    c->not_reusable = true;
  c->handlers.on_end (c->handlers.user_data);
}

static void
report_failure (struct ds_http_connection *c, enum ds_http_failure failure)
{
  enum state before = c->state;

  if (c->freed || before == ENDED)
    return;
  c->state = ENDED;
  c->not_reusable = true;
  if (before == IDLE)
    {
      if (c->handlers.on_idle_close != NULL)
        c->handlers.on_idle_close (c->handlers.user_data);
      return;
    }
  c->handlers.on_failure (failure, c->handlers.user_data);
}

static void
on_bytes (struct ds_str bytes, void *user_data)
{
  struct ds_http_connection *c = user_data;

  while (bytes.length > 0 && !c->freed)
    {
      size_t taken;

      if (c->state == IDLE)
        {
          report_failure (c, DS_HTTP_FAILURE_MALFORMED);
          return;
        }
      taken = ds_http_reader_feed (c->reader, bytes);
      if (c->freed)
        return;
      if (ds_http_reader_error (c->reader) != DS_HTTP_PARSE_ERROR_NONE)
        {
          report_failure (c, DS_HTTP_FAILURE_MALFORMED);
          return;
        }
      if (c->state == AWAITING_RESPONSE && !ds_http_reader_is_idle (c->reader))
        c->state = READING_RESPONSE;
      bytes.data += taken;
      bytes.length -= taken;
      if (c->response_complete)
        {
          report_response_end (c, bytes.length > 0);
          return;
        }
      if (taken == 0)
        return;
    }
}

static void
on_connected (void *user_data)
{
  struct ds_http_connection *c = user_data;

  if (!c->freed && c->handlers.on_connected != NULL)
    c->handlers.on_connected (c->handlers.user_data);
}

/* Whether END may complete the response that is being read.  A peer that
   closes before it has the request cannot have completed a response to it that
   states no end of its own.  Errors may come before the whole request.  */
static bool
may_complete (const struct ds_http_connection *c, enum ds_tcp_end end)
{
  return c->state == READING_RESPONSE
         && (end == DS_TCP_END_CLOSED
             || (end == DS_TCP_END_CLOSED_EARLY && !c->unframed));
}

static void
on_tcp_end (enum ds_tcp_end end, void *user_data)
{
  struct ds_http_connection *c = user_data;

  if (end == DS_TCP_END_NOT_CONNECTED)
    {
      report_failure (c, DS_HTTP_FAILURE_NOT_CONNECTED);
      return;
    }
  c->fell_silent = end == DS_TCP_END_SILENT;
  if (may_complete (c, end))
    {
      ds_http_reader_end_input (c->reader);
      if (c->response_complete && !c->freed)
        {
          c->not_reusable = true;
          report_response_end (c, false);
          return;
        }
    }
  report_failure (c, c->state == READING_RESPONSE
                         ? DS_HTTP_FAILURE_TRUNCATED
                         : DS_HTTP_FAILURE_NO_RESPONSE);
}

/* Opens a connection for sequential requests.  Set its handlers before the
   first one.  */
int
ds_http_connection_open (struct ds_http_connection **out, TALLOC_CTX *owner,
                         const struct ds_tcp_options *options,
                         const struct ds_socket_address *address)
{
  struct ds_http_connection *c
      = talloc_zero (owner, struct ds_http_connection);
  struct ds_tcp_handlers tcp_handlers = {
    .on_connected = on_connected,
    .on_bytes = on_bytes,
    .on_end = on_tcp_end,
    .user_data = c,
  };
  struct ds_http_reader_handlers reader_handlers = {
    .on_head = on_head,
    .on_body = on_body,
    .on_end = on_end,
    .user_data = c,
  };
  int status = DS_ENOMEM;

  if (c == NULL)
    return DS_ENOMEM;
  c->ev = options->ev;
  c->free_event = tevent_create_immediate (c);
  if (c->free_event != NULL)
    status
        = ds_http_reader_new (&c->reader, c, false, RESPONSE_HEAD_LIMIT_BYTES,
                              UINT64_MAX, &reader_handlers);
  if (status == 0)
    status = ds_tcp_connect (&c->tcp, c, options, address, &tcp_handlers);
  if (status != 0)
    {
      talloc_free (c);
      return status;
    }
  *out = c;
  return 0;
}

static void
handle_free (struct tevent_context *ev, struct tevent_immediate *free_event,
             void *user_data)
{
  (void)ev;
  (void)free_event;
  talloc_free (user_data);
}

/* Closes the connection immediately; no handler is called afterwards.  */
void
ds_http_connection_free (struct ds_http_connection *c)
{
  if (c == NULL || c->freed)
    return;
  c->freed = true;
  ds_tcp_free (c->tcp);
  c->tcp = NULL;
  (void)talloc_steal (c->ev, c);
  tevent_schedule_immediate (c->free_event, c->ev, handle_free, c);
}

/* Replaces the handlers.  */
void
ds_http_connection_set_handlers (
    struct ds_http_connection *c,
    const struct ds_http_connection_handlers *handlers)
{
  c->handlers = *handlers;
}

/* Sends a request; HEAD is its serialised request line and headers.  BODY is
   copied, unless BODY_HOLDER owns it, which is referenced then until the body
   is sent.  DS_EINVAL if the connection is not reusable.  */
int
ds_http_connection_send (struct ds_http_connection *c, struct ds_str head,
                         struct ds_str body, TALLOC_CTX *body_holder,
                         bool head_only)
{
  int status;

  if (c->state != IDLE || c->not_reusable)
    return DS_EINVAL;
  c->sent_before = ds_tcp_sent_bytes (c->tcp);
  c->requests++;
  c->head_only = head_only;
  ds_http_reader_set_head_only (c->reader, head_only);
  c->state = AWAITING_RESPONSE;
  status = ds_tcp_write (c->tcp, head);
  if (status == 0 && body.length > 0)
    status = body_holder != NULL
                 ? ds_tcp_write_shared (c->tcp, body_holder, body)
                 : ds_tcp_write (c->tcp, body);
  return status;
}

/* True if another request may be sent on the connection.  */
bool
ds_http_connection_is_reusable (const struct ds_http_connection *c)
{
  return c->state == IDLE && !c->not_reusable && !c->freed;
}

bool
ds_http_connection_is_connected (const struct ds_http_connection *c)
{
  return !c->freed && ds_tcp_is_connected (c->tcp);
}

/* True while the end of the connection would be noticed at once.  */
bool
ds_http_connection_is_watched (const struct ds_http_connection *c)
{
  return !c->freed && ds_tcp_is_connected (c->tcp)
         && !ds_tcp_is_paused (c->tcp);
}

/* True if the response that is being read, or was read last, can only belong
   to the current request, whether it names it or not: the connection has
   carried no other request and no other response.  */
bool
ds_http_connection_is_first_answer (const struct ds_http_connection *c)
{
  return c->requests == 1 && c->answers == 1;
}

/* False only if no byte of the current request can have left this host.  */
bool
ds_http_connection_has_sent (const struct ds_http_connection *c)
{
  return c->tcp != NULL && ds_tcp_sent_bytes (c->tcp) > c->sent_before;
}

/* True if the connection ended because the peer no longer acknowledged
   anything: its process may go on behind a broken path.  */
bool
ds_http_connection_fell_silent (const struct ds_http_connection *c)
{
  return c->fell_silent;
}

/* Limits what the operating system buffers, for each direction.  */
void
ds_http_connection_set_buffers (struct ds_http_connection *c, uint32_t bytes)
{
  if (!c->freed)
    ds_tcp_set_buffers (c->tcp, bytes, bytes);
}

/* Pauses or resumes reading the response, for back-pressure.  */
void
ds_http_connection_pause (struct ds_http_connection *c, bool paused)
{
  if (!c->freed)
    ds_tcp_pause (c->tcp, paused);
}
