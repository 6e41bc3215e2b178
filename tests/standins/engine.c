/* Stand-in for a model engine; see README.md.  */
#include "common_server.h"

#include <argtable2.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NO_LIMIT UINT64_MAX
#define OUTPUT_DEFAULT 16
/* The largest block that a stream's reader returns.  */
#define STREAM_BLOCK_BYTES 16384
/* Space for the fixed text and the numbers of one event.  */
#define EVENT_BYTES 512
#define MODEL_BYTES_MAX 1024
#define NAME_BYTES_MAX 64
/* How often a stalled stream checks whether its client has disconnected.  */
#define SILENT_CHECK_MS 1000

enum call_state
{
  CALL_RUNNING,
  CALL_COMPLETE,
  CALL_CANCELLED
};

struct engine;

/* One call.  Once it is in the log, only NEXT, OUTPUT, SILENT_AFTER and STATE
   change, under the engine's lock.  */
struct call
{
  struct engine *engine;
  struct call *next;
  unsigned long number;
  char *attempt_id;
  char *request_id;
  char *priority;
  char *model; /* as JSON text */
  uint64_t prompt_tokens;
  uint64_t output_limit;
  bool is_length_limited; /* OUTPUT_LIMIT is the caller's */
  uint64_t started_ms;
  uint64_t output;
  uint64_t silent_after;
  enum call_state state;
};

struct faults
{
  char *crash_on; /* body text that causes a crash, or null */
  bool exit;
  uint64_t cut_after_tokens;
  bool refuse;
  bool wrong_attempt;
};

struct engine
{
  pthread_mutex_t lock;
  const char *name;
  uint64_t token_ms;
  uint64_t first_token_ms;
  uint64_t default_output;
  bool check_fencing;
  struct faults faults;
  struct call *calls; /* oldest first */
  struct call **last; /* the end of CALLS */
  unsigned long call_count;
  unsigned long running;
  unsigned long crashes;
  json_t *orders;
  json_int_t fencing; /* the highest number received */
};

/* A response stream.  REQUEST outlives it.  */
struct stream
{
  struct standin_request *request;
  struct call *call;
  bool trailer_sent;
};

/* The result of waiting for the next token of a call.  */
enum token_wait
{
  TOKEN_READY,
  TOKEN_NOT_DUE,     /* not available yet, and MAY_WAIT is false */
  TOKEN_END,         /* all tokens have been produced */
  TOKEN_DISCONNECTED /* by the client or by a fault */
};

static const char *
state_name (enum call_state state)
{
  switch (state)
    {
    case CALL_RUNNING:
      return "running";
    case CALL_COMPLETE:
      return "complete";
    case CALL_CANCELLED:
      return "cancelled";
    }
  return "";
}

/* Sets the final STATE of CALL unless it has one.  */
static void
end_call (struct call *call, enum call_state state)
{
  pthread_mutex_lock (&call->engine->lock);
  if (call->state == CALL_RUNNING)
    {
      call->state = state;
      call->engine->running--;
    }
  pthread_mutex_unlock (&call->engine->lock);
}

/* Waits until the next token of CALL is due and counts it as produced.  If
   MAY_WAIT is false, returns TOKEN_NOT_DUE instead of waiting.  */
static enum token_wait
next_token (struct call *call, struct standin_request *request, bool may_wait)
{
  struct engine *engine = call->engine;
  uint64_t due = call->started_ms + engine->first_token_ms
                 + call->output * engine->token_ms;

  for (;;)
    {
      uint64_t now = standin_now_ms ();
      bool silent, cut;

      pthread_mutex_lock (&engine->lock);
      cut = call->output >= engine->faults.cut_after_tokens;
      silent = call->output >= call->silent_after;
      if (!cut && !silent && now >= due && call->output < call->output_limit)
        {
          call->output++;
          pthread_mutex_unlock (&engine->lock);
          return TOKEN_READY;
        }
      pthread_mutex_unlock (&engine->lock);
      if (!cut && !silent && call->output >= call->output_limit)
        return TOKEN_END;
      if (!may_wait)
        return TOKEN_NOT_DUE;
      if (cut
          || !standin_request_wait (request,
                                    silent ? SILENT_CHECK_MS : due - now))
        return TOKEN_DISCONNECTED;
    }
}

/* Writes the token number INDEX as it appears in the text of a completion.  */
static int
print_token (char *out, size_t size, uint64_t index)
{
  return snprintf (out, size, "%stok%llu", index > 0 ? " " : "",
                   (unsigned long long)index);
}

static int
print_head (char *out, size_t size, const struct call *call)
{
  return snprintf (out, size,
                   "data: {\"id\":\"chatcmpl-%lu\",\"object\":"
                   "\"chat.completion.chunk\",\"model\":%s,"
                   "\"system_fingerprint\":\"%s\",\"choices\":[{\"index\":0,"
                   "\"delta\":{",
                   call->number, call->model, call->engine->name);
}

/* Writes the event for the last token produced.  */
static int
print_event (char *out, size_t size, const struct call *call)
{
  int length = print_head (out, size, call);

  length += snprintf (out + length, size - (size_t)length, "\"content\":\"");
  length
      += print_token (out + length, size - (size_t)length, call->output - 1);
  return length
         + snprintf (out + length, size - (size_t)length,
                     "\"},\"finish_reason\":null}]}\n\n");
}

static const char *
finish_reason (const struct call *call)
{
  return call->is_length_limited ? "length" : "stop";
}

/* Writes the last chunk, which contains the usage, and the end marker.  */
static int
print_trailer (char *out, size_t size, const struct call *call)
{
  unsigned long long total = call->prompt_tokens + call->output;
  int length = print_head (out, size, call);

  return length
         + snprintf (out + length, size - (size_t)length,
                     "},\"finish_reason\":\"%s\"}],\"usage\":{"
                     "\"prompt_tokens\":%llu,\"completion_tokens\":%llu,"
                     "\"total_tokens\":%llu}}\n\ndata: [DONE]\n\n",
                     finish_reason (call),
                     (unsigned long long)call->prompt_tokens,
                     (unsigned long long)call->output, total);
}

/* Content reader of a stream: waits for one token, then adds the tokens that
   are already due while there is space.  */
static ssize_t
read_stream (void *closure, uint64_t position, char *out, size_t size)
{
  struct stream *stream = closure;
  struct call *call = stream->call;
  size_t length = 0;

  (void)position;
  if (stream->trailer_sent)
    {
      end_call (call, CALL_COMPLETE);
      return MHD_CONTENT_READER_END_OF_STREAM;
    }
  while (size - length >= EVENT_BYTES + MODEL_BYTES_MAX)
    {
      switch (next_token (call, stream->request, length == 0))
        {
        case TOKEN_READY:
          length += (size_t)print_event (out + length, size - length, call);
          break;
        case TOKEN_NOT_DUE:
          return (ssize_t)length;
        case TOKEN_END:
          stream->trailer_sent = true;
          return (ssize_t)length
                 + print_trailer (out + length, size - length, call);
        case TOKEN_DISCONNECTED:
          return MHD_CONTENT_READER_END_WITH_ERROR;
        }
    }
  return (ssize_t)length;
}

/* Called when a stream ends for any reason; the call is cancelled unless it
   was complete.  */
static void
free_stream (void *closure)
{
  struct stream *stream = closure;

  end_call (stream->call, CALL_CANCELLED);
  talloc_free (stream);
}

static enum MHD_Result
respond_stream (struct call *call, struct standin_request *request,
                const char *attempt_id)
{
  struct stream *stream = talloc_zero (NULL, struct stream);
  struct MHD_Response *response;
  enum MHD_Result result;

  stream->request = request;
  stream->call = call;
  response = MHD_create_response_from_callback (
      MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, read_stream, stream, free_stream);
  MHD_add_response_header (response, "Content-Type", "text/event-stream");
  if (attempt_id != NULL)
    MHD_add_response_header (response, "X-Attempt-Id", attempt_id);
  result = MHD_queue_response (request->connection, MHD_HTTP_OK, response);
  MHD_destroy_response (response);
  return result;
}

static json_t *
completion_body (const struct call *call)
{
  char *text = talloc_size (NULL, call->output * 24 + 1);
  json_int_t total
      = (json_int_t)call->prompt_tokens + (json_int_t)call->output;
  size_t length = 0;
  json_t *body;

  text[0] = '\0';
  for (uint64_t i = 0; i < call->output; i++)
    length += (size_t)print_token (text + length, 24, i);
  body = json_pack (
      "{s:o,s:s,s:o,s:s,s:[{s:i,s:{s:s,s:s},s:s}],s:{s:I,s:I,s:I}}", "id",
      json_sprintf ("chatcmpl-%lu", call->number), "object", "chat.completion",
      "model", json_loads (call->model, JSON_DECODE_ANY, NULL),
      "system_fingerprint", call->engine->name, "choices", "index", 0,
      "message", "role", "assistant", "content", text, "finish_reason",
      finish_reason (call), "usage", "prompt_tokens",
      (json_int_t)call->prompt_tokens, "completion_tokens",
      (json_int_t)call->output, "total_tokens", total);
  talloc_free (text);
  return body;
}

static enum MHD_Result
respond_whole (struct call *call, struct standin_request *request,
               const char *attempt_id)
{
  enum token_wait outcome;

  do
    outcome = next_token (call, request, true);
  while (outcome == TOKEN_READY);
  if (outcome != TOKEN_END)
    {
      end_call (call, CALL_CANCELLED);
      return standin_close_connection (request);
    }
  end_call (call, CALL_COMPLETE);
  return standin_respond_json (request, MHD_HTTP_OK, attempt_id,
                               completion_body (call));
}

/* The number of text bytes in MESSAGES, whose contents are strings or arrays
   of parts with a member "text".  */
static size_t
text_bytes (const json_t *messages)
{
  const json_t *message, *part;
  size_t i, j, bytes = 0;

  json_array_foreach (messages, i, message)
  {
    const json_t *content = json_object_get (message, "content");

    bytes += json_string_length (content);
    json_array_foreach (content, j, part) bytes
        += json_string_length (json_object_get (part, "text"));
  }
  return bytes;
}

static char *
copy_header (struct call *call, struct standin_request *request,
             const char *name)
{
  return talloc_strdup (call, standin_request_header (request, name));
}

/* Adds a call for BODY to the log.  Returns null if BODY is not a valid
   completion request.  */
static struct call *
add_call (struct engine *engine, struct standin_request *request,
          const json_t *body)
{
  const json_t *messages = json_object_get (body, "messages");
  const json_t *model = json_object_get (body, "model");
  json_int_t limit = json_integer_value (json_object_get (body, "max_tokens"));
  struct call *call;
  char *text;

  if (!json_is_array (messages) || !json_is_string (model) || limit < 0
      || json_string_length (model) > MODEL_BYTES_MAX / 6)
    return NULL;
  call = talloc_zero (NULL, struct call);
  text = json_dumps (model, JSON_ENCODE_ANY);
  call->model = talloc_strdup (call, text);
  free (text);
  call->engine = engine;
  call->attempt_id = copy_header (call, request, "X-Attempt-Id");
  call->request_id = copy_header (call, request, "X-Request-Id");
  call->priority = copy_header (call, request, "X-Priority");
  call->prompt_tokens = (text_bytes (messages) + 3) / 4;
  call->is_length_limited
      = limit > 0 && (uint64_t)limit < engine->default_output;
  call->output_limit
      = call->is_length_limited ? (uint64_t)limit : engine->default_output;
  call->silent_after = NO_LIMIT;
  call->started_ms = standin_now_ms ();
  pthread_mutex_lock (&engine->lock);
  call->number = ++engine->call_count;
  *engine->last = call;
  engine->last = &call->next;
  engine->running++;
  pthread_mutex_unlock (&engine->lock);
  return call;
}

/* Simulates a crash if the body contains the text of the fault "crash_on":
   closes all connections without a response, or exits.  Returns whether it
   did.  */
static bool
handle_crash (struct engine *engine, const struct standin_request *request)
{
  bool crashes, should_exit;

  pthread_mutex_lock (&engine->lock);
  crashes = engine->faults.crash_on != NULL
            && strstr (request->body, engine->faults.crash_on) != NULL;
  should_exit = engine->faults.exit;
  engine->crashes += crashes;
  pthread_mutex_unlock (&engine->lock);
  if (!crashes)
    return false;
  if (should_exit)
    _Exit (EXIT_FAILURE);
  standin_server_close_connections (request->server, NULL);
  return true;
}

static enum MHD_Result
handle_completion (struct engine *engine, struct standin_request *request)
{
  enum MHD_Result result;
  const char *attempt_id;
  bool refuse, wrong;
  struct call *call;
  json_t *body;

  if (handle_crash (engine, request))
    return standin_close_connection (request);
  pthread_mutex_lock (&engine->lock);
  refuse = engine->faults.refuse;
  wrong = engine->faults.wrong_attempt;
  pthread_mutex_unlock (&engine->lock);
  if (refuse)
    return standin_respond_error (request, MHD_HTTP_SERVICE_UNAVAILABLE,
                                  "refused");
  body = json_loadb (request->body, request->body_length, 0, NULL);
  call = add_call (engine, request, body);
  if (call == NULL)
    {
      result = standin_respond_error (request, MHD_HTTP_BAD_REQUEST,
                                      "not a completion request");
      goto out;
    }
  attempt_id = wrong ? "wrong-attempt" : call->attempt_id;
  if (json_is_true (json_object_get (body, "stream")))
    result = respond_stream (call, request, attempt_id);
  else
    result = respond_whole (call, request, attempt_id);
out:
  json_decref (body);
  return result;
}

/* A limit in a fault document; null or a negative number means no limit.  */
static uint64_t
fault_limit (const json_t *value)
{
  json_int_t number
      = json_is_integer (value) ? json_integer_value (value) : -1;

  return number < 0 ? NO_LIMIT : (uint64_t)number;
}

/* Sets the faults that the body names.  "silent_after_tokens" applies to the
   calls logged so far, the other faults to all calls until they are set
   again.  */
static enum MHD_Result
set_faults (struct engine *engine, struct standin_request *request)
{
  json_t *body = json_loadb (request->body, request->body_length, 0, NULL);
  struct faults *faults = &engine->faults;
  const json_t *value;

  if (!json_is_object (body))
    {
      json_decref (body);
      return standin_respond_error (request, MHD_HTTP_BAD_REQUEST, "no JSON");
    }
  pthread_mutex_lock (&engine->lock);
  if ((value = json_object_get (body, "crash_on")) != NULL)
    {
      TALLOC_FREE (faults->crash_on);
      if (json_string_length (value) > 0)
        faults->crash_on = talloc_strdup (engine, json_string_value (value));
      faults->exit = json_is_true (json_object_get (body, "exit"));
    }
  if ((value = json_object_get (body, "silent_after_tokens")) != NULL)
    for (struct call *call = engine->calls; call != NULL; call = call->next)
      call->silent_after = fault_limit (value);
  if ((value = json_object_get (body, "cut_after_tokens")) != NULL)
    faults->cut_after_tokens = fault_limit (value);
  if ((value = json_object_get (body, "refuse")) != NULL)
    faults->refuse = json_is_true (value);
  if ((value = json_object_get (body, "wrong_attempt")) != NULL)
    faults->wrong_attempt = json_is_true (value);
  pthread_mutex_unlock (&engine->lock);
  json_decref (body);
  return standin_respond_json (request, MHD_HTTP_OK, NULL, json_object ());
}

/* Responds with the log of calls, oldest first.  */
static enum MHD_Result
get_calls (struct engine *engine, struct standin_request *request)
{
  json_t *items = json_array ();

  pthread_mutex_lock (&engine->lock);
  for (const struct call *call = engine->calls; call != NULL;
       call = call->next)
    json_array_append_new (
        items, json_pack ("{s:s?,s:s?,s:s?,s:I,s:I,s:s}", "attempt_id",
                          call->attempt_id, "request_id", call->request_id,
                          "priority", call->priority, "prompt_tokens",
                          (json_int_t)call->prompt_tokens, "output_tokens",
                          (json_int_t)call->output, "state",
                          state_name (call->state)));
  pthread_mutex_unlock (&engine->lock);
  return standin_respond_json (request, MHD_HTTP_OK, NULL,
                               json_pack ("{s:o}", "calls", items));
}

static enum MHD_Result
get_load (struct engine *engine, struct standin_request *request)
{
  unsigned long running, calls, crashes;

  pthread_mutex_lock (&engine->lock);
  running = engine->running;
  calls = engine->call_count;
  crashes = engine->crashes;
  pthread_mutex_unlock (&engine->lock);
  return standin_respond_json (
      request, MHD_HTTP_OK, NULL,
      json_pack ("{s:s,s:I,s:I,s:I}", "name", engine->name, "running",
                 (json_int_t)running, "calls", (json_int_t)calls, "crashes",
                 (json_int_t)crashes));
}

/* Records an order.  With --check-fencing, rejects an order whose number is
   lower than the highest received.  */
static enum MHD_Result
add_order (struct engine *engine, struct standin_request *request)
{
  json_t *body = json_loadb (request->body, request->body_length, 0, NULL);
  const json_t *fencing = json_object_get (body, "fencing");
  json_int_t number = json_integer_value (fencing);
  bool refused;

  if (!json_is_integer (fencing))
    {
      json_decref (body);
      return standin_respond_error (request, MHD_HTTP_BAD_REQUEST,
                                    "needs a number \"fencing\"");
    }
  pthread_mutex_lock (&engine->lock);
  refused = engine->check_fencing && number < engine->fencing;
  if (!refused)
    json_array_append (engine->orders, body);
  if (number > engine->fencing)
    engine->fencing = number;
  number = engine->fencing;
  pthread_mutex_unlock (&engine->lock);
  json_decref (body);
  return standin_respond_json (
      request, refused ? MHD_HTTP_CONFLICT : MHD_HTTP_OK, NULL,
      json_pack ("{s:b,s:I}", "accepted", !refused, "fencing", number));
}

static enum MHD_Result
get_orders (struct engine *engine, struct standin_request *request)
{
  json_t *orders;

  pthread_mutex_lock (&engine->lock);
  orders = json_deep_copy (engine->orders);
  pthread_mutex_unlock (&engine->lock);
  return standin_respond_json (request, MHD_HTTP_OK, NULL,
                               json_pack ("{s:o}", "orders", orders));
}

static enum MHD_Result
handle (void *state, struct standin_request *request)
{
  struct engine *engine = state;

  if (standin_request_matches (request, "POST", "/v1/chat/completions"))
    return handle_completion (engine, request);
  if (standin_request_matches (request, "GET", "/v1/load"))
    return get_load (engine, request);
  if (standin_request_matches (request, "POST", "/standin/faults"))
    return set_faults (engine, request);
  if (standin_request_matches (request, "GET", "/standin/calls"))
    return get_calls (engine, request);
  if (standin_request_matches (request, "POST", "/standin/orders"))
    return add_order (engine, request);
  if (standin_request_matches (request, "GET", "/standin/orders"))
    return get_orders (engine, request);
  return standin_respond_error (request, MHD_HTTP_NOT_FOUND, "no such path");
}

static void
engine_free (struct engine *engine)
{
  while (engine->calls != NULL)
    {
      struct call *call = engine->calls;

      engine->calls = call->next;
      talloc_free (call);
    }
  json_decref (engine->orders);
  pthread_mutex_destroy (&engine->lock);
  talloc_free (engine);
}

static struct engine *
engine_new (void)
{
  struct engine *engine = talloc_zero (NULL, struct engine);

  pthread_mutex_init (&engine->lock, NULL);
  engine->faults.cut_after_tokens = NO_LIMIT;
  engine->orders = json_array ();
  engine->last = &engine->calls;
  return engine;
}

static uint64_t
argument_number (const struct arg_int *argument, uint64_t default_value)
{
  return argument->count > 0 && argument->ival[0] >= 0
             ? (uint64_t)argument->ival[0]
             : default_value;
}

int
main (int argc, char **argv)
{
  struct standin_arguments arguments;
  struct arg_str *name = arg_str0 (NULL, "name", "TEXT", "name of the engine");
  struct arg_int *token_ms
      = arg_int0 (NULL, "token-ms", "N", "time between tokens (0)");
  struct arg_int *first_token_ms
      = arg_int0 (NULL, "first-token-ms", "N", "time to the first token (0)");
  struct arg_int *output = arg_int0 (NULL, "default-output", "N",
                                     "maximum output tokens of a call (16)");
  struct arg_lit *check_fencing = arg_lit0 (
      NULL, "check-fencing", "reject orders with an older fencing number");
  struct engine *engine;
  int status = EXIT_FAILURE;

  standin_arguments_init (&arguments);
  void *table[] = { arguments.help,
                    arguments.address,
                    arguments.ready_file,
                    arguments.stop_after_ms,
                    name,
                    token_ms,
                    first_token_ms,
                    output,
                    check_fencing,
                    arg_end (8) };
  if (standin_arguments_parse (&arguments, table, argc, argv) != 0)
    goto out;
  if (name->count > 0 && strlen (name->sval[0]) > NAME_BYTES_MAX)
    {
      (void)fprintf (stderr, "the engine name is longer than %d bytes\n",
                     NAME_BYTES_MAX);
      goto out;
    }
  engine = engine_new ();
  engine->name = name->count > 0 ? name->sval[0] : "engine";
  engine->token_ms = argument_number (token_ms, 0);
  engine->first_token_ms = argument_number (first_token_ms, 0);
  engine->default_output = argument_number (output, OUTPUT_DEFAULT);
  engine->check_fencing = check_fencing->count > 0;
  status = standin_run (&arguments, handle, engine);
  engine_free (engine);
out:
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
