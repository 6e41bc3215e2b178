#include "entry/exchange.h"
#include "base/decision_log.h"
#include "daisystep/metrics.h"
#include "entry/attempt_feedback.h"
#include "entry/event_stream.h"
#include "entry/refusal_count.h"
#include "entry/replica_notices.h"
#include "entry/token_log.h"
#include "io/clock.h"
#include "io/timer.h"
#include "platform/caller_codec.h"

#include <string.h>

/* Retry-After of refusals: slots are free again soon; tokens or a
   configuration take longer.  */
#define RETRY_BUSY_MS 400
#define RETRY_UNAVAILABLE_MS 1000
/* Another host accepts the request at once.  */
#define RETRY_ELSEWHERE_MS 20
/* Longest wait for tokens: a part of the time left, with an upper bound.  */
#define TOKEN_WAIT_DIVISOR 4
#define TOKEN_WAIT_MAX_MS 1000
/* Longest wait of a body for memory: a part of the time left, with an upper
   bound.  Callers abandon a request that is not read after a second or a third
   of their time.  */
#define BODY_WAIT_DIVISOR 4
#define BODY_WAIT_MAX_MS 500
/* Rejections by replicas, without a run, after which a request is still
   retried; more would only delay its failure.  */
#define REJECTIONS_MAX 2
/* Engines have priorities 0 to 9; one step of the workspace's priority
   outweighs the routes' priorities, which are 0 to 2.  */
#define ENGINE_PRIORITY_MAX 9
#define ENGINE_WORKSPACE_STEP 3
/* Time left below which no further attempt is made.  */
#define ATTEMPT_TIME_MIN_MS 30
/* Events of an attempt after which its request no longer counts as a cause of
   a crash of its replica: such a request crashes it as the answer begins.  */
#define EVENTS_BEYOND_CRASH 3
/* Bytes of an unexpected event that are logged.  */
#define EXCERPT_BYTES 64

static const char host_is_stopping[] = "the host is stopping";

enum phase
{
  RESERVING,
  ATTEMPTING,
  ENDED
};

struct ds_exchange
{
  struct ds_exchange_context *context;
  struct ds_caller *caller;
  const struct ds_http_head *head;
  struct ds_str body;
  struct ds_routing_config *config; /* referenced */
  const struct ds_route *route;
  struct ds_caller_request request;
  struct ds_str workspace;
  uint32_t workspace_priority;
  struct ds_placement_request placement_request;
  enum phase phase;
  struct ds_suspect_key suspect_keys[DS_SUSPECT_KEYS_MAX];
  size_t suspect_key_count;
  uint64_t arrived_ms;
  uint64_t expires_ms;       /* deadline of the response */
  uint64_t attempt_until_ms; /* shared by all attempts */
  struct ds_timer *timer;

  struct ds_budget_pending_reservation *pending_reservation;
  uint64_t reserved;
  bool has_reservation;

  struct ds_pooled_connection *pooled; /* of the current attempt */
  struct ds_replica *replica;          /* referenced during an attempt */
  struct ds_attempt_feedback feedback; /* of the current attempt */
  uint64_t attempt_ms;
  uint64_t answer_ms;      /* when the attempt's answer began; 0 before */
  uint64_t earlier_events; /* of attempts before */
  bool beyond_crash;       /* the attempt's answer has come far enough */
  uint32_t runs;           /* attempts that may have run */
  uint32_t rejections;
  unsigned rejected_status;
  bool may_have_run;

  struct ds_upstream_response response; /* without strings */
  bool tied;     /* the response can only belong to this request */
  bool bodiless; /* it has no body by definition */
  unsigned status;
  struct ds_byte_buffer response_head;
  struct ds_byte_buffer held;
  bool framed;       /* the response has a length or chunks */
  bool streaming;    /* body bytes are forwarded as they arrive */
  bool head_sent;    /* the response header was sent */
  bool stream_begun; /* that of a stream, which takes events only */
  bool resumed;
  struct ds_event_stream events;
  size_t events_held; /* of its unfinished event, counted as held */
  uint64_t first_event_ms;
  bool paused;
};

static void start_attempt (struct ds_exchange *x);

static void
release_held (struct ds_exchange *x)
{
  x->context->memory.held -= x->held.capacity;
  ds_byte_buffer_release (&x->held);
}

/* Adds BYTES to the response that is held until it is complete, so that a
   truncated one can be requested again.  False if it becomes too long.  */
static bool
hold (struct ds_exchange *x, struct ds_str bytes)
{
  size_t before = x->held.capacity;
  int status;

  if (ds_byte_buffer_content (&x->held).length + bytes.length
      > ds_host_memory_held_limit (&x->context->memory))
    return false;
  status = ds_byte_buffer_append (x, &x->held, bytes);
  x->context->memory.held += x->held.capacity - before;
  return status == 0;
}

/* Counts the memory of an event that is held until it is complete.  */
static void
count_held_event (struct ds_exchange *x)
{
  x->context->memory.held += x->events.partial.capacity - x->events_held;
  x->events_held = x->events.partial.capacity;
}

/* Adds the version of the configuration that decides the request, and the age
   of the store's last response about the configuration.  */
static void
add_config (struct ds_decision_line *line, const struct ds_exchange *x,
            uint64_t now_ms)
{
  if (x->config == NULL)
    return;
  ds_decision_line_add_number (line, "config", (int64_t)x->config->version);
  ds_decision_line_add_number (
      line, "config_age_ms",
      (int64_t)(now_ms
                - ds_store_watcher_responded_ms (x->context->config_watcher)));
}

static bool
is_repeatable (const struct ds_exchange *x)
{
  return x->route->kind == DS_CALL_IDEMPOTENT
         || (x->route->kind == DS_CALL_STREAM && x->route->resumable);
}

static bool
is_head_request (const struct ds_exchange *x)
{
  return ds_str_equal (x->head->method, DS_STR ("HEAD"));
}

static uint64_t
time_left (const struct ds_exchange *x, uint64_t now_ms)
{
  return x->expires_ms > now_ms ? x->expires_ms - now_ms : 0;
}

/* Removes the attempt from the replica's load.  */
static void
release_load (struct ds_exchange *x)
{
  if (x->replica == NULL)
    return;
  ds_attempt_feedback_end (&x->feedback, ds_clock_ms ());
  talloc_unlink (x, x->replica);
  x->replica = NULL;
}

/* Cancels the attempt by closing its connection.  */
static void
cancel_attempt (struct ds_exchange *x)
{
  if (x->pooled != NULL)
    ds_connection_pool_discard (x->pooled);
  x->pooled = NULL;
  x->paused = false;
  ds_event_stream_discard_partial (&x->events);
  count_held_event (x);
  release_held (x);
  release_load (x);
}

/* Returns the tokens that the request has used as far as this host knows: its
   prompt once, if a replica may have run it, and the forwarded output.  A
   stream of which nothing has arrived has used none: its caller got nothing
   for its tokens.  */
static uint64_t
tokens_used (const struct ds_exchange *x)
{
  const struct ds_service *service;
  uint64_t output;

  if (!x->may_have_run
      || (x->route->kind == DS_CALL_STREAM && x->first_event_ms == 0))
    return 0;
  service = ds_routing_config_find_service (x->config,
                                            x->placement_request.service);
  output = x->events.events
           * (service != NULL && service->tokens_per_event > 0
                  ? service->tokens_per_event
                  : 1);
  /* A response that is not a stream is billed at its upper bound.  */
  if (!x->response.is_stream && x->head_sent && x->status < 300)
    output = x->request.output_tokens;
  if (output > x->request.output_tokens)
    output = x->request.output_tokens;
  return x->request.prompt_tokens + output;
}

/* Logs the outcome and frees the exchange after its response or a
   disconnect.  */
static void
end_exchange (struct ds_exchange *x, const char *outcome)
{
  struct ds_decision_line line;
  uint64_t now_ms = ds_clock_ms ();

  if (x->phase == ENDED)
    return;
  x->phase = ENDED;
  if (x->pending_reservation != NULL)
    ds_budget_cancel_reservation (x->pending_reservation);
  x->pending_reservation = NULL;
  cancel_attempt (x);
  release_held (x);
  if (x->has_reservation)
    ds_budget_settle (x->context->budgets, x->workspace, x->reserved,
                      tokens_used (x));
  line = ds_decision_line_begin ("request_end", x->request.id);
  ds_decision_line_add_text (&line, "outcome", ds_str_from_c (outcome));
  ds_decision_line_add_number (&line, "status", x->status);
  ds_decision_line_add_number (&line, "runs", x->runs);
  ds_decision_line_add_number (&line, "rejections", x->rejections);
  ds_decision_line_add_number (&line, "took_ms",
                               (int64_t)(now_ms - x->arrived_ms));
  if (x->runs == 0)
    add_config (&line, x, now_ms);
  if (x->first_event_ms > 0)
    ds_decision_line_add_number (&line, "first_ms",
                                 (int64_t)(x->first_event_ms - x->arrived_ms));
  if (x->has_reservation)
    {
      ds_decision_line_add_number (&line, "reserved", (int64_t)x->reserved);
      ds_decision_line_add_number (&line, "used", (int64_t)tokens_used (x));
    }
  ds_decision_line_end (&line);
  ds_metric_add (DS_METRIC_REQUESTS_RUNNING, -1);
  ds_histogram_observe (DS_HISTOGRAM_REQUEST, now_ms - x->arrived_ms);
  if (x->first_event_ms > 0)
    ds_histogram_observe (DS_HISTOGRAM_FIRST_EVENT,
                          x->first_event_ms - x->arrived_ms);
  talloc_free (x);
}

/* Refuses the request with STATUS.  REASON goes into the body and the log.  */
static void
refuse (struct ds_exchange *x, unsigned status, uint64_t retry_after_ms,
        const char *reason)
{
  struct ds_byte_buffer out = { .data = NULL };
  struct ds_caller *caller = x->caller;
  char body[160];
  int length
      = snprintf (body, sizeof body, "{\"error\":\"%s\",\"ran\":\"%s\"}",
                  reason, x->may_have_run ? "unknown" : "no");

  x->status = status;
  ds_refusal_count (status);
  if (ds_wire_write_local_response (
          x, &out, status, x->request.id, retry_after_ms,
          (struct ds_str){ .data = body, .length = (size_t)length },
          is_head_request (x), ds_caller_will_close (caller))
      == 0)
    ds_caller_write (caller, ds_byte_buffer_content (&out));
  end_exchange (x, reason);
  ds_caller_finish_response (caller);
}

/* Closes the caller's connection before the response is complete.  */
static void
abort_response (struct ds_exchange *x, const char *reason)
{
  struct ds_caller *caller = x->caller;

  ds_metric_add (DS_METRIC_ANSWERS_CUT, 1);
  end_exchange (x, reason);
  ds_caller_abort (caller);
}

/* Returns when the caller should come back because all replicas push back; 0
   if they do not.  */
static uint64_t
hold_retry_ms (const struct ds_exchange *x)
{
  uint64_t now_ms = ds_clock_ms ();

  return ds_replica_notices_retry_after_ms (
      ds_placement_wait_ms (x->context->replicas, &x->placement_request,
                            now_ms),
      time_left (x, now_ms), x->request.id);
}

/* Fails a request without further attempts; the response states if it did not
   run.  */
static void
fail_request (struct ds_exchange *x, unsigned status_if_run,
              const char *reason)
{
  uint64_t hold_ms = hold_retry_ms (x);

  if (x->head_sent)
    {
      abort_response (x, reason);
      return;
    }
  if (x->may_have_run)
    refuse (x, status_if_run, 0, reason);
  else
    refuse (x, 503, hold_ms > 0 ? hold_ms : RETRY_BUSY_MS, reason);
}

static void
on_timer (void *user_data)
{
  struct ds_exchange *x = user_data;

  x->timer = NULL;
  fail_request (x, 504, "time limit");
}

static void
start_timer (struct ds_exchange *x, uint64_t now_ms)
{
  x->timer
      = ds_timer_add (x->context->ev, x, time_left (x, now_ms), on_timer, x);
}

/* True if another attempt is allowed after one that may have run.  */
static bool
may_retry (const struct ds_exchange *x, uint64_t now_ms)
{
  return is_repeatable (x) && x->runs < x->route->max_attempts
         && time_left (x, now_ms) >= ATTEMPT_TIME_MIN_MS;
}

static void
log_attempt_end (struct ds_exchange *x, const char *how)
{
  struct ds_decision_line line
      = ds_decision_line_begin ("attempt_failed", x->request.id);

  if (x->replica != NULL)
    ds_decision_line_add_text (&line, "replica", x->replica->record.id);
  ds_decision_line_add_text (&line, "how", ds_str_from_c (how));
  ds_decision_line_add_number (&line, "status", x->status);
  ds_decision_line_add_number (&line, "after_ms",
                               (int64_t)(ds_clock_ms () - x->attempt_ms));
  ds_decision_line_add_number (&line, "events", (int64_t)x->events.events);
  ds_decision_line_add_number (&line, "framed", x->framed);
  ds_decision_line_end (&line);
}

/* The answer of the attempt has come further than one that crashes its
   replica.  */
static void
record_beyond_crash (struct ds_exchange *x)
{
  if (x->beyond_crash)
    return;
  x->beyond_crash = true;
  ds_crash_evidence_add_success (x->context->crashes, x->suspect_keys,
                                 x->suspect_key_count, x->answer_ms);
}

static void
mark_tried (struct ds_exchange *x)
{
  const size_t most = sizeof x->placement_request.tried
                      / sizeof x->placement_request.tried[0];

  if (x->replica == NULL)
    return;
  x->placement_request.tried[x->placement_request.tried_count % most]
      = x->replica->hash;
  if (x->placement_request.tried_count < most)
    x->placement_request.tried_count++;
}

/* The attempt did not run: nothing was sent, or the replica rejected it.
   Another replica may take the request.  */
static void
on_attempt_not_run (struct ds_exchange *x, const char *how)
{
  uint64_t now_ms = ds_clock_ms ();

  log_attempt_end (x, how);
  mark_tried (x);
  x->runs--;
  x->rejections++;
  if (x->runs == 0)
    x->may_have_run = false;
  cancel_attempt (x);
  if (x->rejections <= REJECTIONS_MAX
      && time_left (x, now_ms) >= ATTEMPT_TIME_MIN_MS
      && ds_retry_budget_take (x->context->retries,
                               x->placement_request.service, x->context->hosts,
                               now_ms))
    {
      start_attempt (x);
      return;
    }
  fail_request (x, 502, "no replica took the request");
}

/* The attempt failed and may have run.  */
static void
on_attempt_failed (struct ds_exchange *x, const char *how)
{
  uint64_t now_ms = ds_clock_ms ();

  log_attempt_end (x, how);
  mark_tried (x);
  cancel_attempt (x);
  if (may_retry (x, now_ms) && (!x->head_sent || x->stream_begun)
      && ds_retry_budget_take (x->context->retries,
                               x->placement_request.service, x->context->hosts,
                               now_ms))
    {
      x->resumed = x->head_sent;
      start_attempt (x);
      return;
    }
  fail_request (x, 502, how);
}

/* Sends the head of a response whose body follows in chunks.  */
static void
send_response_head (struct ds_exchange *x, const struct ds_http_head *head)
{
  struct ds_byte_buffer out = { .data = NULL };

  if (ds_wire_write_response (x, &out, head, DS_FRAMING_CHUNKED, 0, 0,
                              ds_caller_will_close (x->caller))
      == 0)
    ds_caller_write (x->caller, ds_byte_buffer_content (&out));
  ds_byte_buffer_release (&out);
  x->head_sent = true;
}

/* Logs the answer to an attempt that resumes the response.  */
static void
log_resume (const struct ds_exchange *x)
{
  struct ds_decision_line line
      = ds_decision_line_begin ("resume_answered", x->request.id);

  ds_decision_line_add_text (&line, "replica", x->replica->record.id);
  ds_decision_line_add_number (&line, "after_event",
                               (int64_t)x->events.last_id);
  ds_decision_line_add_number (&line, "status", x->status);
  ds_decision_line_add_number (&line, "is_stream", x->response.is_stream);
  ds_decision_line_add_number (&line, "framed", x->framed);
  ds_decision_line_end (&line);
}

/* Keeps the head until the body is complete, since it needs its length.  That
   of a response without a body declares what the replica declared; a 204 may
   declare nothing.  */
static void
hold_response_head (struct ds_exchange *x, const struct ds_http_head *head)
{
  enum ds_response_framing framing = DS_FRAMING_LENGTH;

  if (x->bodiless && (!head->has_length || head->status == 204))
    framing = DS_FRAMING_NONE;
  ds_byte_buffer_release (&x->response_head);
  (void)ds_wire_write_response (
      x, &x->response_head, head, framing, x->bodiless ? head->body_length : 0,
      head->status == 503 ? hold_retry_ms (x) : 0, false);
}

/* A response without an id is tied to the request by its place alone, which
   holds only for the first one on a connection.  */
static enum ds_http_answer
on_head (const struct ds_http_head *head, void *user_data)
{
  struct ds_exchange *x = user_data;
  struct ds_upstream_response response;
  enum ds_http_answer answer;

  ds_wire_read_response (&response, head);
  ds_replica_notices_record (x->context->replicas, x->replica, &response,
                             x->request.id, ds_clock_ms ());
  ds_cold_starts_record_response (x->context->cold_starts, x->replica,
                                  &response, x->request.id, ds_clock_ms ());
  if (response.request_id.length > 0
      && !ds_str_equal (response.request_id, x->request.id))
    {
      struct ds_decision_line line
          = ds_decision_line_begin ("foreign_answer", x->request.id);

      ds_decision_line_add_text (&line, "replica", x->replica->record.id);
      ds_decision_line_add_text (&line, "answer_to", response.request_id);
      ds_decision_line_end (&line);
      return DS_HTTP_ANSWER_FOREIGN;
    }
  if (response.request_id.length == 0 && head->status < 300)
    return DS_HTTP_ANSWER_FOREIGN;
  answer = response.request_id.length > 0 ? DS_HTTP_ANSWER_OWN
                                          : DS_HTTP_ANSWER_UNNAMED;
  x->tied = answer == DS_HTTP_ANSWER_OWN
            || ds_http_connection_is_first_answer (
                ds_pooled_connection_http (x->pooled));
  response.request_id = DS_STR_EMPTY;
  x->response = response;
  x->framed = head->framed;
  x->answer_ms = ds_clock_ms ();
  if (x->tied && response.hold_ms == 0)
    ds_replica_notice_record_answer (&x->replica->notice, x->attempt_ms);
  x->status = head->status;
  x->streaming = false;
  x->bodiless
      = is_head_request (x) || head->status == 204 || head->status == 304;
  if (x->head_sent)
    log_resume (x);
  if (head->status < 300 && response.has_mac && !response.encoded
      && !x->bodiless)
    {
      bool short_body = head->has_length
                        && head->body_length <= ds_host_memory_held_limit (
                               &x->context->memory);

      x->streaming = response.is_stream || (!short_body && !x->stream_begun);
    }
  if (x->streaming)
    {
      if (!x->head_sent)
        send_response_head (x, head);
      x->stream_begun = x->stream_begun || response.is_stream;
      return answer;
    }
  hold_response_head (x, head);
  return answer;
}

/* Announces the prompt parts that the replica must prefill, so that other
   hosts send requests with these parts to it.  The last part belongs to this
   request or its session alone.  */
static void
announce_parts (struct ds_exchange *x)
{
  if (x->placement_request.part_count < 2
      || x->feedback.uncached_tokens
             <= x->placement_request.parts[x->placement_request.part_count - 1]
                    .tokens)
    return;
  for (size_t i = 0; i + 1 < x->placement_request.part_count; i++)
    ds_fleet_view_announce_part (x->context->fleet, x->replica,
                                 x->placement_request.parts[i].id);
}

static void
record_first_event (struct ds_exchange *x)
{
  uint64_t now_ms = ds_clock_ms ();

  ds_attempt_feedback_record_first_event (&x->feedback, &x->placement_request,
                                          now_ms);
  if (x->first_event_ms == 0)
    x->first_event_ms = now_ms;
}

static void
forward_event (struct ds_str event, void *user_data)
{
  struct ds_exchange *x = user_data;

  ds_caller_write_chunk (x->caller, event);
}

/* Logs what the replica sent in place of the next event, with the first of its
   bytes.  */
static void
log_malformed_event (const struct ds_exchange *x)
{
  struct ds_str excerpt = x->events.fault_text;
  struct ds_decision_line line
      = ds_decision_line_begin ("malformed_event", x->request.id);

  ds_decision_line_add_text (&line, "replica", x->replica->record.id);
  ds_decision_line_add_text (&line, "fault", ds_str_from_c (x->events.fault));
  ds_decision_line_add_number (&line, "after_event",
                               (int64_t)x->events.last_id);
  ds_decision_line_add_number (&line, "framed", x->framed);
  ds_decision_line_add_number (&line, "resumed", x->resumed);
  ds_decision_line_add_number (&line, "bytes", (int64_t)excerpt.length);
  if (excerpt.length > EXCERPT_BYTES)
    excerpt.length = EXCERPT_BYTES;
  ds_decision_line_add_text (&line, "excerpt", excerpt);
  ds_decision_line_end (&line);
}

/* Forwards the complete events among BYTES; false if the attempt has failed
   for what the replica sent.  */
static bool
forward_events (struct ds_exchange *x, struct ds_str bytes)
{
  int status;

  x->events.partial_max = ds_host_memory_event_limit (
      &x->context->memory, x->events_held, DS_EVENT_BYTES_MAX);
  status = ds_event_stream_feed (x, &x->events, bytes, forward_event, x);
  count_held_event (x);
  switch (status)
    {
    case 0:
      return true;
    case DS_EPROTOCOL:
      ds_metric_add (DS_METRIC_MALFORMED_STREAMS, 1);
      log_malformed_event (x);
      ds_placement_record_failure (x->replica, ds_clock_ms ());
      on_attempt_failed (x, x->events.fault);
      return false;
    default:
      on_attempt_failed (x, "no memory for an event");
      return false;
    }
}

static void
on_body (struct ds_str bytes, void *user_data)
{
  struct ds_exchange *x = user_data;

  if (!x->streaming)
    {
      if (!hold (x, bytes))
        on_attempt_failed (x, "answer is too long");
      return;
    }
  if (x->feedback.prefill_counted)
    record_first_event (x);
  if (!x->response.is_stream)
    ds_caller_write_chunk (x->caller, bytes);
  else if (!forward_events (x, bytes))
    return;
  ds_attempt_feedback_record_events (&x->feedback, x->events.events,
                                     ds_clock_ms ());
  if (x->events.events - x->earlier_events >= EVENTS_BEYOND_CRASH)
    record_beyond_crash (x);
  if (!x->paused && ds_caller_is_behind (x->caller))
    {
      x->paused = true;
      ds_attempt_feedback_pause (&x->feedback);
      ds_http_connection_pause (ds_pooled_connection_http (x->pooled), true);
    }
}

/* Returns the connection to the pool after a complete response.  */
static void
return_connection (struct ds_exchange *x)
{
  ds_connection_pool_release (x->pooled, ds_clock_ms (),
                              x->response.keep_alive_s);
  x->pooled = NULL;
}

/* Sends a complete response that was held.  */
static void
send_held_response (struct ds_exchange *x)
{
  struct ds_caller *caller = x->caller;
  struct ds_str head = ds_byte_buffer_content (&x->response_head);
  struct ds_str body = ds_byte_buffer_content (&x->held);
  /* The header ends with an empty line, after "Content-Length: 0" unless the
     response has no body.  */
  const char *tail = x->bodiless ? "\r\n" : "0\r\n\r\n";
  const char *close
      = ds_caller_will_close (caller) ? "Connection: close\r\n" : "";
  char rest[64];

  x->head_sent = true;
  head.length -= strlen (tail);
  if (x->bodiless)
    (void)snprintf (rest, sizeof rest, "%s\r\n", close);
  else
    (void)snprintf (rest, sizeof rest, "%zu\r\n%s\r\n", body.length, close);
  ds_caller_write (caller, head);
  ds_caller_write (caller, ds_str_from_c (rest));
  ds_caller_write (caller, body);
  end_exchange (x, "answered");
  ds_caller_finish_response (caller);
}

/* The replica broke the attempt off after the request had been sent.  */
static void
on_broken_off (struct ds_exchange *x, bool fell_silent, const char *how)
{
  ds_crash_evidence_add_failure (x->context->crashes,
                                 &(struct ds_failed_attempt){
                                     .request_id = x->request.id,
                                     .keys = x->suspect_keys,
                                     .key_count = x->suspect_key_count,
                                     .replica = x->replica,
                                     .answer_begun = x->beyond_crash,
                                     .fell_silent = fell_silent,
                                 });
  on_attempt_failed (x, how);
}

/* Says why the stream whose response has ended is incomplete, or returns null.
   An attempt without an event continues nothing, so it is complete only if the
   caller itself resumes after the last event, and the replica says that the
   response has ended.  */
static const char *
early_stream_end (const struct ds_exchange *x)
{
  if (!x->streaming || !x->response.is_stream)
    return NULL;
  if (ds_event_stream_is_inside_event (&x->events))
    return "stream ended inside an event";
  if (x->events.events == x->earlier_events
      && !(x->framed && x->request.resumes && x->events.events == 0))
    return "stream ended without an event";
  return NULL;
}

/* Says why a complete response is not the answer to give to the caller, or
   returns null.  */
static const char *
unusable_answer (const struct ds_exchange *x)
{
  if (!x->tied)
    return "answer may belong to another request";
  if (x->status < 300 && (!x->response.has_mac || x->response.encoded))
    return "answer is not the replica's";
  if (!x->response.not_run && !is_repeatable (x)
      && ds_wire_is_promise (x->status))
    return "replica does not state that the request did not run";
  return NULL;
}

static void
on_end (void *user_data)
{
  struct ds_exchange *x = user_data;
  struct ds_caller *caller = x->caller;
  uint64_t now_ms = ds_clock_ms ();
  const char *fault = unusable_answer (x);
  const char *early_end;

  if (fault != NULL)
    {
      if (x->tied && x->status >= 500)
        ds_placement_record_failure (x->replica, now_ms);
      on_attempt_failed (x, fault);
      return;
    }
  if (x->response.not_run)
    {
      return_connection (x);
      if (x->status == 503 && !x->response.leaving)
        ds_attempt_feedback_record_rejection (&x->feedback, now_ms);
      /* The address now belongs to another replica.  */
      if (x->status == 421)
        ds_placement_record_failure (x->replica, now_ms);
      on_attempt_not_run (x, x->status == 421
                                 ? "address now belongs to another replica"
                                 : "replica rejected the request");
      return;
    }
  early_end = early_stream_end (x);
  if (early_end != NULL)
    {
      ds_placement_record_failure (x->replica, now_ms);
      /* A response that says where it ends is no sign of a crash.  */
      if (x->framed)
        on_attempt_failed (x, early_end);
      else
        on_broken_off (x, false, early_end);
      return;
    }
  return_connection (x);
  if (x->head_sent && !x->streaming)
    {
      if (x->status < 300 || x->status >= 500)
        ds_placement_record_failure (x->replica, now_ms);
      on_attempt_failed (x, "replica did not resume the stream");
      return;
    }
  if (x->status >= 500)
    {
      ds_placement_record_failure (x->replica, now_ms);
      if (may_retry (x, now_ms)
          && ds_retry_budget_take (x->context->retries,
                                   x->placement_request.service,
                                   x->context->hosts, now_ms))
        {
          log_attempt_end (x, "replica responded with a 5xx status");
          mark_tried (x);
          cancel_attempt (x);
          start_attempt (x);
          return;
        }
    }
  else
    ds_placement_record_success (x->replica);
  if (x->status < 300)
    record_beyond_crash (x);
  if (!x->streaming)
    {
      send_held_response (x);
      return;
    }
  ds_caller_write (caller, DS_STR ("0\r\n\r\n"));
  ds_metric_add (DS_METRIC_ANSWERS_WHOLE, 1);
  end_exchange (x, "answered");
  ds_caller_finish_response (caller);
}

static const char *
failure_name (enum ds_http_failure failure)
{
  switch (failure)
    {
    case DS_HTTP_FAILURE_NOT_CONNECTED:
      return "replica cannot be reached";
    case DS_HTTP_FAILURE_NO_RESPONSE:
      return "connection ended without an answer";
    case DS_HTTP_FAILURE_TRUNCATED:
      return "connection ended within the answer";
    default:
      return "answer is malformed";
    }
}

static void
on_connected (void *user_data)
{
  struct ds_exchange *x = user_data;
  uint64_t now_ms = ds_clock_ms ();

  ds_host_strain_record_connect (&x->context->strain, now_ms - x->attempt_ms,
                                 now_ms);
}

/* The attempt's connection could not be established.  A strained host may be
   the cause itself, and does not hold it against the replica.  */
static void
on_not_connected (struct ds_exchange *x, uint64_t now_ms)
{
  if (!ds_host_strain_is_strained (&x->context->strain, now_ms))
    ds_placement_record_failure (x->replica, now_ms);
  ds_host_strain_record_connect (&x->context->strain, now_ms - x->attempt_ms,
                                 now_ms);
}

static void
on_failure (enum ds_http_failure failure, void *user_data)
{
  struct ds_exchange *x = user_data;
  uint64_t now_ms = ds_clock_ms ();
  struct ds_http_connection *connection
      = ds_pooled_connection_http (x->pooled);

  ds_cold_starts_record_failure (x->context->cold_starts, x->replica,
                                 &x->placement_request, now_ms);
  if (failure == DS_HTTP_FAILURE_NOT_CONNECTED
      || !ds_http_connection_has_sent (connection))
    {
      on_not_connected (x, now_ms);
      on_attempt_not_run (x, failure_name (failure));
      return;
    }
  /* A closed idle connection does not indicate a failure.  */
  if (!ds_pooled_connection_is_reused (x->pooled)
      || failure != DS_HTTP_FAILURE_NO_RESPONSE)
    ds_placement_record_failure (x->replica, now_ms);
  if (failure == DS_HTTP_FAILURE_MALFORMED)
    on_attempt_failed (x, failure_name (failure));
  else
    on_broken_off (x, ds_http_connection_fell_silent (connection),
                   failure_name (failure));
}

/* Returns the priority at an engine: the workspace's outweighs the route's;
   engines admit lower values first.

   Load: engines hold more prompts than they can prefill in time.  Urgent
   routes must not wait behind long responses of less urgent ones.  */
static uint32_t
engine_priority (const struct ds_exchange *x)
{
  uint32_t rank
      = ENGINE_WORKSPACE_STEP * x->workspace_priority + x->route->priority;

  return rank > ENGINE_PRIORITY_MAX ? ENGINE_PRIORITY_MAX : rank;
}

/* Acquires the attempt's connection.  Replicas that are full reject requests
   without naming them, which can be believed on a new connection only; without
   that, a request that may run once could not be offered to another replica.
   */
static int
acquire_connection (struct ds_exchange *x, struct ds_replica *replica,
                    uint64_t now_ms)
{
  bool cold = ds_cold_starts_is_cold (&x->placement_request, replica, now_ms);
  bool fresh = x->runs > 0 || !is_repeatable (x) || cold;

  return ds_connection_pool_acquire (
      &x->pooled, x->context->pool, replica, now_ms, fresh,
      cold ? DS_COLD_ARRIVAL_MS
           : ds_host_strain_connect_timeout_ms (&x->context->strain,
                                                time_left (x, now_ms)));
}

/* Sends the request to the replica of PLACEMENT.  */
static int
dispatch (struct ds_exchange *x, const struct ds_placement *placement,
          uint64_t now_ms)
{
  struct ds_http_connection_handlers handlers = {
    .on_connected = on_connected,
    .on_head = on_head,
    .on_body = on_body,
    .on_end = on_end,
    .on_failure = on_failure,
    .user_data = x,
  };
  struct ds_attempt_head head = {
    .request = &x->request,
    .head = x->head,
    .replica_id = placement->replica->record.id,
    .workspace = x->workspace,
    .deadline_ms = time_left (x, now_ms),
    .last_event_id = x->events.last_id,
    .resumes = x->events.has_id,
    .priority = engine_priority (x),
    .body_length = x->body.length,
  };
  struct ds_byte_buffer out = { .data = NULL };
  int status;

  status = ds_wire_write_attempt (x, &out, &head);
  if (status == 0)
    status = acquire_connection (x, placement->replica, now_ms);
  if (status != 0)
    {
      ds_byte_buffer_release (&out);
      return status;
    }
  x->replica = talloc_reference (x, placement->replica);
  ds_attempt_feedback_begin (&x->feedback, placement, &x->placement_request,
                             now_ms);
  ds_cold_starts_record_sent (x->replica, &x->placement_request, now_ms);
  announce_parts (x);
  x->attempt_ms = now_ms;
  x->answer_ms = 0;
  x->streaming = false;
  x->framed = false;
  x->tied = false;
  x->earlier_events = x->events.events;
  x->beyond_crash = false;
  if (x->runs + x->rejections > 0)
    ds_metric_add (DS_METRIC_UPSTREAM_RETRIES, 1);
  x->runs++;
  x->may_have_run = true;
  ds_crash_suspects_note_sent (
      ds_crash_evidence_suspects (x->context->crashes), x->suspect_keys,
      x->suspect_key_count, now_ms);
  ds_http_connection_set_handlers (ds_pooled_connection_http (x->pooled),
                                   &handlers);
  (void)ds_http_connection_send (
      ds_pooled_connection_http (x->pooled), ds_byte_buffer_content (&out),
      x->body, ds_caller_body_holder (x->caller), is_head_request (x));
  ds_byte_buffer_release (&out);
  return 0;
}

static void
log_placement (struct ds_exchange *x, const struct ds_placement *placement,
               uint64_t now_ms)
{
  struct ds_decision_line line
      = ds_decision_line_begin ("placed", x->request.id);

  ds_decision_line_add_text (&line, "service", x->placement_request.service);
  ds_decision_line_add_text (&line, "replica", placement->replica->record.id);
  add_config (&line, x, now_ms);
  ds_decision_line_add_number (&line, "expected_ms",
                               (int64_t)placement->expected_ms);
  ds_decision_line_add_number (&line, "unread",
                               (int64_t)placement->uncached_tokens);
  if (x->placement_request.part_count > 1)
    ds_decision_line_add_number (
        &line, "part",
        (int64_t)(x->placement_request
                      .parts[x->placement_request.part_count - 2]
                      .id
                  >> 1));
  ds_decision_line_add_number (&line, "prompt",
                               (int64_t)x->placement_request.prompt_tokens);
  ds_decision_line_add_number (&line, "running",
                               placement->replica->local_load.running);
  ds_decision_line_add_number (&line, "running_others",
                               placement->replica->remote_load.running);
  ds_replica_notices_describe_choice (&line, placement);
  ds_cold_starts_describe (&line, &x->placement_request, placement->replica,
                           now_ms);
  ds_decision_line_add_number (&line, "left_ms",
                               (int64_t)time_left (x, now_ms));
  ds_decision_line_end (&line);
}

/* Whether the request may be sent to a replica.  If it would probably crash
   the replica, it is refused.  */
static bool
check_suspects (struct ds_exchange *x, uint64_t now_ms)
{
  static const char reason[] = "the request crashes its replicas";
  uint64_t wait_ms = ds_crash_suspects_wait_ms (
      ds_crash_evidence_suspects (x->context->crashes), x->suspect_keys,
      x->suspect_key_count, now_ms);

  if (wait_ms == 0)
    return true;
  if (x->may_have_run || x->head_sent)
    fail_request (x, 502, reason);
  else
    refuse (x, 503, wait_ms, reason);
  return false;
}

/* Starts the next attempt at a replica.  Once the host takes no more requests,
   one that has not run is left to another host: here it might not end before
   the process does.  */
static void
start_attempt (struct ds_exchange *x)
{
  uint64_t now_ms = ds_clock_ms ();
  struct ds_placement placement;

  x->phase = ATTEMPTING;
  if (x->context->stopping && !x->may_have_run && !x->head_sent)
    {
      refuse (x, 503, RETRY_ELSEWHERE_MS, host_is_stopping);
      return;
    }
  if (!check_suspects (x, now_ms))
    return;
  placement = ds_placement_choose (x->context->replicas, &x->placement_request,
                                   now_ms);
  if (placement.status != DS_PLACEMENT_OK)
    {
      ds_cold_starts_record_refusal (x->context->cold_starts,
                                     &x->placement_request, &placement,
                                     x->request.id, now_ms);
      fail_request (x, 502, ds_replica_notices_refusal (&placement));
      return;
    }
  log_placement (x, &placement, now_ms);
  if (dispatch (x, &placement, now_ms) != 0)
    fail_request (x, 502, "no connection to a replica");
}

static void
on_reservation (enum ds_budget_outcome outcome, void *user_data)
{
  struct ds_exchange *x = user_data;

  x->pending_reservation = NULL;
  switch (outcome)
    {
    case DS_BUDGET_GRANTED:
      x->has_reservation = true;
      start_attempt (x);
      break;
    case DS_BUDGET_EXHAUSTED:
      refuse (x, 402, 0, "the prepaid budget does not cover the request");
      break;
    default:
      refuse (x, 503, RETRY_UNAVAILABLE_MS, "tokens cannot be had now");
      break;
    }
}

/* Reserves the most tokens that the request can use, then starts the first
   attempt.  */
static void
reserve (struct ds_exchange *x, uint64_t now_ms)
{
  uint64_t wait_ms = time_left (x, now_ms) / TOKEN_WAIT_DIVISOR;
  enum ds_budget_outcome outcome;

  if (wait_ms > TOKEN_WAIT_MAX_MS)
    wait_ms = TOKEN_WAIT_MAX_MS;
  x->reserved = x->request.prompt_tokens + x->request.output_tokens;
  outcome = ds_budget_reserve (x->context->budgets, &x->pending_reservation,
                               x->workspace, x->reserved, engine_priority (x),
                               now_ms + wait_ms, on_reservation, x);
  if (outcome != DS_BUDGET_GRANTED)
    ds_token_log (x->context->budgets, x->request.id, x->workspace,
                  x->reserved, outcome);
  if (outcome == DS_BUDGET_WAITING)
    x->phase = RESERVING;
  else
    on_reservation (outcome, x);
}

/* Returns the workspace that holds KEY; null if there is none.  */
static const struct ds_routing_workspace *
find_workspace (const struct ds_routing_config *config, struct ds_str key)
{
  return key.length > 0 ? ds_routing_config_find_workspace (config, key)
                        : NULL;
}

static bool
may_use_route (const struct ds_routing_config *config,
               const struct ds_route *route,
               const struct ds_routing_workspace *workspace)
{
  return workspace != NULL || route->is_public || config->workspace_count == 0;
}

/* Finds the route and the workspace; false if the request was refused.  */
static bool
resolve_route (struct ds_exchange *x,
               const struct ds_routing_workspace **workspace)
{
  const struct ds_routing_config *config = x->config;

  *workspace = NULL;
  x->route = ds_routing_config_find_route (config, x->request.host,
                                           x->request.path);
  if (x->route == NULL)
    {
      refuse (x, 404, 0, "no route");
      return false;
    }
  *workspace = find_workspace (config, x->request.key);
  if (!may_use_route (config, x->route, *workspace))
    {
      refuse (x, 401, 0, "unknown key");
      return false;
    }
  if (*workspace != NULL && !x->route->is_public)
    {
      x->workspace = (*workspace)->name;
      x->workspace_priority = (*workspace)->priority;
    }
  return true;
}

static void
fill_placement_request (struct ds_exchange *x,
                        const struct ds_routing_workspace *workspace)
{
  const struct ds_service *service;

  x->placement_request = (struct ds_placement_request){
    .zone = x->context->zone,
    .service
    = ds_route_choose_service (x->route, ds_str_hash (x->request.id, 7)),
    .part_count = x->request.part_count,
    .prompt_tokens = x->request.prompt_tokens,
    .target_latency_ms = x->route->target_latency_ms,
    .drain_ms = x->context->drain_ms,
    .evacuations = x->context->evacuations,
    .regions = {
      .zones = x->context->zones,
      .route = &x->route->allowed_regions,
      .workspace = workspace != NULL ? &workspace->allowed_regions : NULL,
    },
    .draw = ds_str_hash (x->request.id, 13),
  };
  service = ds_routing_config_find_service (x->config,
                                            x->placement_request.service);
  if (service != NULL)
    x->placement_request.kv_capacity = service->kv_capacity;
  memcpy (x->placement_request.parts, x->request.parts,
          sizeof x->placement_request.parts);
  ds_cold_starts_fill_request (x->context->cold_starts, &x->placement_request,
                               x->config, engine_priority (x));
}

/* Collects what a crash of a replica may be due to: the request as a whole,
   and the parts of its prompt that other requests share.  */
static void
fill_suspect_keys (struct ds_exchange *x)
{
  const struct ds_placement_request *request = &x->placement_request;

  x->suspect_keys[0] = (struct ds_suspect_key){
    .kind = DS_SUSPECT_REQUEST,
    .hash = ds_str_hash (
        x->body, ds_str_hash (x->request.path, ds_str_hash (x->workspace, 3))),
  };
  x->suspect_key_count = 1;
  for (size_t i = 0; i + 1 < request->part_count; i++)
    x->suspect_keys[x->suspect_key_count++] = (struct ds_suspect_key){
      .kind = DS_SUSPECT_PART,
      .hash = ds_str_hash (request->service, request->parts[i].id),
    };
}

/* Creates the exchange of a request and looks up its route and workspace.
   Null if the request was refused.  */
static struct ds_exchange *
open_exchange (struct ds_exchange_context *context, struct ds_caller *caller,
               const struct ds_http_head *head, struct ds_str body,
               const struct ds_routing_workspace **workspace)
{
  struct ds_exchange *x = talloc_zero (context->ev, struct ds_exchange);

  if (x == NULL)
    {
      ds_caller_abort (caller);
      return NULL;
    }
  ds_metric_add (DS_METRIC_REQUESTS, 1);
  ds_metric_add (DS_METRIC_REQUESTS_RUNNING, 1);
  x->context = context;
  x->caller = caller;
  x->head = head;
  x->body = body;
  x->arrived_ms = ds_clock_ms ();
  x->workspace = DS_STR_EMPTY;
  ds_caller_set_data (caller, x);
  if (ds_wire_read_request (&x->request, head) != 0)
    {
      refuse (x, 400, 0, "the request is malformed");
      return NULL;
    }
  if (context->stopping)
    {
      refuse (x, 503, RETRY_ELSEWHERE_MS, host_is_stopping);
      return NULL;
    }
  if (context->config == NULL)
    {
      refuse (x, 503, RETRY_UNAVAILABLE_MS, "no configuration is known yet");
      return NULL;
    }
  x->config = talloc_reference (x, context->config);
  return resolve_route (x, workspace) ? x : NULL;
}

/* Serves one request of a caller.  HEAD and BODY are valid until the response
   is finished.  */
void
ds_exchange_start (struct ds_exchange_context *context,
                   struct ds_caller *caller, const struct ds_http_head *head,
                   struct ds_str body)
{
  const struct ds_routing_workspace *workspace;
  struct ds_exchange *x
      = open_exchange (context, caller, head, body, &workspace);
  uint64_t now_ms;
  uint64_t wait_ms;
  const char *exclusion;

  if (x == NULL)
    return;
  now_ms = x->arrived_ms;
  wait_ms = x->route->timeout_ms;
  if (x->request.deadline_ms > 0 && x->request.deadline_ms < wait_ms)
    wait_ms = x->request.deadline_ms;
  x->expires_ms = now_ms + wait_ms;
  fill_placement_request (x, workspace);
  exclusion = x->placement_request.service.length == 0
                  ? "the route has no service"
                  : ds_replica_notices_exclusion (context->replicas,
                                                  &x->placement_request);
  if (exclusion != NULL)
    {
      refuse (x, 503, RETRY_UNAVAILABLE_MS, exclusion);
      return;
    }
  if (x->request.resumes)
    ds_event_stream_set_last_id (&x->events, x->request.last_event_id);
  fill_suspect_keys (x);
  if (!check_suspects (x, now_ms))
    return;
  ds_retry_budget_record_request (context->retries,
                                  x->placement_request.service, now_ms);
  start_timer (x, now_ms);
  if (workspace != NULL && workspace->has_budget && x->request.has_tokens
      && x->workspace.length > 0)
    reserve (x, now_ms);
  else
    start_attempt (x);
}

/* Returns how long the body of a request may wait for memory before it is
   read; 0 if the head alone is a reason to refuse the request.  */
uint64_t
ds_exchange_body_wait_ms (const struct ds_exchange_context *context,
                          const struct ds_http_head *head)
{
  struct ds_caller_request request;
  const struct ds_route *route;
  uint64_t wait_ms;

  if (ds_wire_read_request (&request, head) != 0 || context->stopping
      || context->config == NULL)
    return 0;
  route = ds_routing_config_find_route (context->config, request.host,
                                        request.path);
  if (route == NULL
      || !may_use_route (context->config, route,
                         find_workspace (context->config, request.key)))
    return 0;
  wait_ms = route->timeout_ms;
  if (request.deadline_ms > 0 && request.deadline_ms < wait_ms)
    wait_ms = request.deadline_ms;
  wait_ms = wait_ms / BODY_WAIT_DIVISOR + 1;
  return wait_ms < BODY_WAIT_MAX_MS ? wait_ms : BODY_WAIT_MAX_MS;
}

/* Refuses a request whose body is not read: for its head, or for lack of
   memory.  */
void
ds_exchange_refuse_unread (struct ds_exchange_context *context,
                           struct ds_caller *caller,
                           const struct ds_http_head *head)
{
  const struct ds_routing_workspace *workspace;
  struct ds_exchange *x
      = open_exchange (context, caller, head, DS_STR_EMPTY, &workspace);

  if (x != NULL)
    refuse (x, 503, RETRY_BUSY_MS, "no memory for the request");
}

/* Cancels the work of a caller that disconnected.  */
void
ds_exchange_cancel (struct ds_exchange *x)
{
  if (x != NULL)
    end_exchange (x, "caller disconnected");
}

/* Resumes reading after the caller's output was sent.  */
void
ds_exchange_on_drained (struct ds_exchange *x)
{
  if (x == NULL || !x->paused || x->pooled == NULL)
    return;
  x->paused = false;
  ds_http_connection_pause (ds_pooled_connection_http (x->pooled), false);
}
