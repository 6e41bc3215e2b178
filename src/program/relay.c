#include "program/call.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

/* Tokens that an engine may have generated beyond those received when a stream
   is interrupted: about one second of output.  */
#define INTERRUPTED_MARGIN_TOKENS 32
/* Largest accepted event of a stream.  */
#define EVENT_BYTES_MAX ((size_t)1 << 20)

/* Reports the end of the attempt to the router and posts its decisions; CALL
   may be freed when they are handled.  */
static void
end_attempt (struct call *call, enum ds_attempt_outcome outcome)
{
  struct ds_attempt_end end = {
    .attempt = call->attempt,
    .outcome = outcome,
    .relayed = call->is_response_started ? call->received_tokens + 1 : 0,
  };

  call->upstream = NULL;
  ds_sse_parser_free (call->parser);
  call->parser = NULL;
  server_attempt_ended (call->worker->server, &end);
}

static uint64_t
reported_cost (const struct call *call)
{
  if (call->is_service)
    return call->reservation_tokens;
  if (call->has_usage)
    return call->input_tokens + call->output_tokens;
  return call->input_tokens_max + call->received_tokens;
}

static void
read_usage (struct call *call, const json_t *json)
{
  const json_t *usage = json_object_get (json, "usage");
  const json_t *input = json_object_get (usage, "prompt_tokens");
  const json_t *output = json_object_get (usage, "completion_tokens");

  if (!json_is_integer (input) || !json_is_integer (output)
      || json_integer_value (input) < 0 || json_integer_value (output) < 0)
    return;
  call->has_usage = true;
  call->input_tokens = (uint64_t)json_integer_value (input);
  call->output_tokens = (uint64_t)json_integer_value (output);
}

static bool
has_content (const json_t *json)
{
  const json_t *choice = json_array_get (json_object_get (json, "choices"), 0);
  const char *content = json_string_value (
      json_object_get (json_object_get (choice, "delta"), "content"));

  return content != NULL && *content != '\0';
}

static bool
is_usage_only (const json_t *json)
{
  return json_array_size (json_object_get (json, "choices")) == 0;
}

static void
begin_stream (struct call *call)
{
  struct ds_http_header header = { .name = DS_STR ("Daisystep-Request-Id"),
                                   .value = ds_str_from_c (call->id_hex) };

  if (call->is_response_started)
    return;
  call->is_response_started = true;
  ds_http_request_begin (call->http, 200, "text/event-stream", &header, 1);
}

/* Forwards an event, and pauses reading from the upstream if the caller is
   slow.  */
static void
write_event (struct call *call, const struct ds_sse_event *event)
{
  struct ds_str text;

  begin_stream (call);
  if (ds_sse_format (&text, call, event) < 0)
    return;
  if (ds_http_request_write (call->http, text) > CALL_BUFFER_BYTES
      && !call->is_upstream_paused)
    {
      call->is_upstream_paused = true;
      ds_http_call_pause (call->upstream, true);
    }
  talloc_free ((void *)text.data);
}

static void
on_drained (struct ds_http_request *http, void *user_data)
{
  struct call *call = user_data;

  (void)http;
  if (!call->is_upstream_paused || call->upstream == NULL)
    return;
  call->is_upstream_paused = false;
  ds_http_call_pause (call->upstream, false);
}

/* Handles one event of the upstream's stream.  Nothing is forwarded after the
   end mark.  */
static int
on_event (const struct ds_sse_event *event, void *user_data)
{
  struct call *call = user_data;
  json_t *json;

  if (call->is_done_seen || call->http == NULL)
    return 0;
  if (ds_str_equal (event->data, DS_STR ("[DONE]")))
    {
      call->is_done_seen = true;
      return 0;
    }
  json = json_loadb (event->data.data, event->data.length, 0, NULL);
  if (json == NULL)
    return DS_EPROTOCOL;
  read_usage (call, json);
  if (has_content (json))
    {
      call->received_tokens++;
      ds_metric_add (DS_METRIC_TOKENS_RELAYED, 1);
    }
  if (!is_usage_only (json) || call->wants_usage)
    write_event (call, event);
  json_decref (json);
  return 0;
}

/* A response with another attempt's ID belongs to another call.  */
static void
on_headers (struct ds_http_call *upstream, unsigned status, void *user_data)
{
  struct call *call = user_data;
  struct ds_str attempt = ds_http_call_header (upstream, "X-Attempt-Id");

  call->upstream_status = status;
  call->is_response_invalid
      = attempt.length > 0
        && !ds_str_equal (attempt, ds_str_from_c (call->attempt_text));
}

static void
record_first_byte (struct call *call)
{
  struct ds_server *server = call->worker->server;

  if (call->is_first_byte_seen)
    return;
  call->is_first_byte_seen = true;
  (void)pthread_mutex_lock (&server->router_lock);
  (void)ds_router_record_first_byte (server->router, call->attempt,
                                     server_now ());
  (void)pthread_mutex_unlock (&server->router_lock);
}

static void
on_stream_data (struct ds_http_call *upstream, struct ds_str data,
                void *user_data)
{
  struct call *call = user_data;

  (void)upstream;
  if (call->is_response_invalid || call->upstream_status != 200)
    return;
  record_first_byte (call);
  if (ds_sse_parser_feed (call->parser, data) < 0)
    call->is_response_invalid = true;
}

static enum ds_attempt_outcome
failed_outcome (const struct call *call, const struct ds_http_result *result)
{
  if (!result->sent)
    return DS_ATTEMPT_NOT_SENT;
  if (result->error.code == DS_ETIMEOUT)
    {
      ds_metric_add (DS_METRIC_UPSTREAM_SILENT, 1);
      return DS_ATTEMPT_TIMED_OUT;
    }
  if (result->error.code == 0 && result->status == 503)
    return DS_ATTEMPT_REFUSED;
  return call->is_first_byte_seen ? DS_ATTEMPT_FAILED_MID_RESPONSE
                                  : DS_ATTEMPT_FAILED_BEFORE_FIRST_BYTE;
}

/* Reports a failed attempt.  The router decides whether the call is retried;
   if not, it posts a failure decision.  */
static void
fail_attempt (struct call *call, const struct ds_http_result *result)
{
  struct ds_error error = result->error;
  enum ds_attempt_outcome outcome = failed_outcome (call, result);

  if (outcome != DS_ATTEMPT_NOT_SENT && outcome != DS_ATTEMPT_REFUSED)
    call->may_have_run = true;
  if (error.code == 0)
    ds_error_set (
        &error, DS_EPROTOCOL, "read upstream response", result->error.peer,
        call->is_response_invalid ? "another attempt's ID or an invalid event"
                                  : "status %u or incomplete response",
        result->status);
  ds_log_error (&error, call->id_hex);
  end_attempt (call, outcome);
}

static void
finish_complete (struct call *call, uint64_t cost)
{
  ds_metric_add (DS_METRIC_ANSWERS_WHOLE, 1);
  call->http = NULL;
  call_end (call, DS_END_COMPLETE, cost);
}

static void
on_stream_done (struct ds_http_call *upstream,
                const struct ds_http_result *result, void *user_data)
{
  struct call *call = user_data;
  struct ds_http_request *http = call->http;

  (void)upstream;
  if (result->error.code != 0 || result->status != 200
      || call->is_response_invalid || !call->is_done_seen)
    {
      fail_attempt (call, result);
      return;
    }
  end_attempt (call, DS_ATTEMPT_COMPLETE);
  begin_stream (call);
  ds_http_request_on_close (http, NULL);
  ds_http_request_write (http, DS_STR ("data: [DONE]\n\n"));
  ds_http_request_finish (http, true);
  finish_complete (call, reported_cost (call));
}

static bool
is_complete_response (const struct call *call,
                      const struct ds_http_result *result)
{
  return result->error.code == 0 && result->framed
         && !call->is_response_invalid && result->status >= 200
         && result->status < 500 && result->status != 429;
}

/* Returns the cost of a response: an engine's by the token counts in it; an
   error response costs nothing.  */
static uint64_t
response_cost (struct call *call, const struct ds_http_result *result)
{
  json_t *json;

  if (result->status >= 400)
    return 0;
  if (call->is_service)
    return call->reservation_tokens;
  json = json_loadb (result->body.data, result->body.length, 0, NULL);
  read_usage (call, json);
  json_decref (json);
  return call->has_usage ? reported_cost (call) : call->reservation_tokens;
}

static void
on_buffered_done (struct ds_http_call *upstream,
                  const struct ds_http_result *result, void *user_data)
{
  struct call *call = user_data;
  struct ds_http_request *http = call->http;
  struct ds_http_header header = { .name = DS_STR ("Daisystep-Request-Id"),
                                   .value = ds_str_from_c (call->id_hex) };
  uint64_t cost;

  (void)upstream;
  if (!is_complete_response (call, result))
    {
      fail_attempt (call, result);
      return;
    }
  cost = response_cost (call, result);
  end_attempt (call, DS_ATTEMPT_COMPLETE);
  ds_http_request_on_close (http, NULL);
  ds_http_request_reply (http, result->status, "application/json", &header, 1,
                         result->body);
  finish_complete (call, cost);
}

static void
set_options (struct call *call, struct ds_http_call_options *options,
             const char *url)
{
  const struct ds_settings *settings = call->worker->server->settings;
  uint64_t now = server_now ();

  options->method = "POST";
  options->url = url;
  options->body = call->body;
  options->connect_timeout_ms = (uint32_t)settings->timeouts.connect_ms;
  options->first_byte_timeout_ms = (uint32_t)settings->timeouts.first_byte_ms;
  options->progress_timeout_ms = (uint32_t)settings->timeouts.progress_ms;
  options->total_timeout_ms
      = call->deadline > now ? (uint32_t)(call->deadline - now) : 1;
  options->on_headers = on_headers;
  options->on_data = call->is_stream ? on_stream_data : NULL;
  /* A stream is forwarded event by event; EVENT_BYTES_MAX limits each.  */
  if (call->is_stream)
    options->body_limit = 0;
  options->on_done = call->is_stream ? on_stream_done : on_buffered_done;
  options->user_data = call;
}

static int
start_parser (struct call *call)
{
  struct ds_sse_parser_options options = DS_SSE_PARSER_OPTIONS_DEFAULT;

  options.event_limit = EVENT_BYTES_MAX;
  options.on_event = on_event;
  options.user_data = call;
  return ds_sse_parser_new (&call->parser, call, &options);
}

static void
fail_start (struct call *call, const struct ds_error *error)
{
  struct ds_http_result result = { .sent = false, .error = *error };

  fail_attempt (call, &result);
}

/* Returns the token cost of a call whose actual cost is unknown.  A stream
   cost at most its input and slightly more than the output received; of any
   other call only the reservation is known.  */
uint64_t
relay_interrupted_cost (const struct call *call)
{
  uint64_t cost = call->input_tokens_max + call->received_tokens
                  + INTERRUPTED_MARGIN_TOKENS;

  if (call->is_service || !call->is_stream || !call->is_first_byte_seen)
    return call->reservation_tokens;
  return cost < call->reservation_tokens ? cost : call->reservation_tokens;
}

/* Sends CALL to the upstream at ADDRESS as attempt ATTEMPT.  */
void
relay_start (struct call *call, struct ds_str address, uint64_t attempt)
{
  struct ds_http_call_options options = DS_HTTP_CALL_OPTIONS_DEFAULT;
  struct ds_error error = DS_ERROR_NONE;
  char priority[8];
  char *url
      = talloc_asprintf (call, "http://%.*s%s", DS_STR_ARG (address),
                         call->is_service ? "/" : "/v1/chat/completions");
  struct ds_http_header headers[] = {
    { .name = DS_STR ("Content-Type"), .value = DS_STR ("application/json") },
    { .name = DS_STR ("X-Attempt-Id"), .value = DS_STR_EMPTY },
    { .name = DS_STR ("X-Request-Id"), .value = ds_str_from_c (call->id_hex) },
    { .name = DS_STR ("X-Priority"), .value = DS_STR_EMPTY },
  };

  if (call->attempt != 0)
    ds_metric_add (DS_METRIC_UPSTREAM_RETRIES, 1);
  call->state = CALL_RUNNING;
  call->attempt = attempt;
  call->upstream_status = 0;
  call->is_first_byte_seen = false;
  call->is_response_invalid = false;
  call->is_upstream_paused = false;
  (void)snprintf (call->attempt_text, sizeof call->attempt_text,
                  "%016" PRIx64 "-%" PRIx64, call->generation->incarnation,
                  attempt);
  (void)snprintf (priority, sizeof priority, "%" PRIu64, call->priority);
  headers[1].value = ds_str_from_c (call->attempt_text);
  headers[3].value = ds_str_from_c (priority);
  options.headers = headers;
  options.header_count = G_N_ELEMENTS (headers);
  set_options (call, &options, url);
  ds_http_request_on_drained (call->http, on_drained);
  if ((call->is_stream && start_parser (call) < 0)
      || ds_http_call_start (&call->upstream, call->worker->client, &options,
                             &error)
             < 0)
    fail_start (call, &error);
  talloc_free (url);
}

/* Ends a call for which its worker has no attempt in progress.  If the router
   has already assigned an upstream, that decision is in the mailbox and
   call_on_route_decision releases the upstream's slot.  */
static void
cancel_queued (struct call *call)
{
  struct ds_server *server = call->worker->server;

  (void)pthread_mutex_lock (&server->router_lock);
  (void)ds_router_cancel (server->router, call->handle);
  (void)pthread_mutex_unlock (&server->router_lock);
  call_end (call, call->may_have_run ? DS_END_INTERRUPTED : DS_END_NOT_RUN,
            relay_interrupted_cost (call));
}

/* Cancels a call whose caller has disconnected and bills what it may have
   cost.  */
void
relay_cancel (struct call *call)
{
  if (call->upstream == NULL)
    {
      cancel_queued (call);
      return;
    }
  ds_http_call_cancel (call->upstream);
  ds_metric_add (DS_METRIC_ANSWERS_CUT, 1);
  end_attempt (call, DS_ATTEMPT_CANCELLED);
  call_end (call, DS_END_INTERRUPTED, relay_interrupted_cost (call));
}
