#include "program/call.h"

#include <jansson.h>
#include <string.h>

/* Prompt bytes that each prefix digest adds to the previous one.  */
#define PREFIX_BLOCK_BYTES 1024
/* Upper bound of the tokens that a chat template adds to each message.  */
#define MESSAGE_OVERHEAD_TOKENS 16

static int
set_member_error (struct ds_error *error, const char *name,
                  const char *allowed)
{
  return ds_error_set (error, DS_EINVAL, "parse request", NULL,
                       "member '%s' must be %s", name, allowed);
}

/* Whether each part of a message is text.  The token count of an image or an
   audio recording is not bounded by the size of the request.  */
static bool
is_text_content (const json_t *content)
{
  size_t index;
  const json_t *part;

  if (json_is_string (content))
    return true;
  if (!json_is_array (content))
    return false;
  json_array_foreach (content, index, part)
  {
    const json_t *type = json_object_get (part, "type");

    if (!json_is_string (json_object_get (part, "text"))
        || g_strcmp0 (json_string_value (type), "text") != 0)
      return false;
  }
  return true;
}

/* Sets an upper bound of the input tokens: each token stands for at least one
   byte of the texts.  */
static int
bound_input_tokens (struct call *call, const json_t *json,
                    struct ds_error *error)
{
  const json_t *messages = json_object_get (json, "messages");
  size_t index;
  const json_t *message;

  if (!json_is_array (messages) || json_array_size (messages) == 0)
    return set_member_error (error, "messages", "an array that is not empty");
  json_array_foreach (messages, index, message)
  {
    if (!json_is_string (json_object_get (message, "role"))
        || !is_text_content (json_object_get (message, "content")))
      return ds_error_set (error, DS_EINVAL, "parse request", NULL,
                           "messages[%zu] must have a string 'role' and a "
                           "'content' that is a string or an array of parts "
                           "of type \"text\"",
                           index);
  }
  call->input_tokens_max
      = ds_http_request_body (call->http).length
        + MESSAGE_OVERHEAD_TOKENS * json_array_size (messages);
  return 0;
}

/* Computes chained digests of the messages' text, block by block, so that
   prompts with a common prefix share their first digests.  */
static void
digest_prefixes (struct call *call, const json_t *json)
{
  char *text = json_dumps (json_object_get (json, "messages"), JSON_COMPACT);
  size_t length = text != NULL ? strlen (text) : 0;
  uint64_t digest = 0;

  for (size_t at = 0; at + PREFIX_BLOCK_BYTES <= length
                      && call->prefix_count < DS_PREFIX_DIGESTS_MAX;
       at += PREFIX_BLOCK_BYTES)
    {
      digest = ds_str_hash (
          (struct ds_str){ .data = text + at, .length = PREFIX_BLOCK_BYTES },
          digest);
      call->prefix_digests[call->prefix_count++] = digest;
    }
  free (text);
}

static int
parse_output_limit (const json_t *json, uint64_t most, uint64_t *out,
                    struct ds_error *error)
{
  static const char *const members[]
      = { "max_completion_tokens", "max_tokens" };

  *out = most;
  for (size_t i = 0; i < G_N_ELEMENTS (members); i++)
    {
      const json_t *value = json_object_get (json, members[i]);

      if (value == NULL || json_is_null (value))
        continue;
      if (!json_is_integer (value) || json_integer_value (value) < 1)
        return set_member_error (error, members[i], "a whole number from 1");
      if ((uint64_t)json_integer_value (value) < *out)
        *out = (uint64_t)json_integer_value (value);
    }
  return 0;
}

/* Rejects members that request several completions: the reservation and the
   relay handle only one.  */
static int
refuse_multiple_choices (const json_t *json, struct ds_error *error)
{
  static const char *const members[] = { "n", "best_of" };

  for (size_t i = 0; i < G_N_ELEMENTS (members); i++)
    {
      const json_t *value = json_object_get (json, members[i]);

      if (value != NULL && !json_is_null (value)
          && !(json_is_integer (value) && json_integer_value (value) == 1))
        return set_member_error (error, members[i], "1 or absent");
    }
  return 0;
}

static int
parse_stream_options (struct call *call, const json_t *json,
                      struct ds_error *error)
{
  const json_t *stream = json_object_get (json, "stream");
  const json_t *options = json_object_get (json, "stream_options");

  if (stream != NULL && !json_is_boolean (stream))
    return set_member_error (error, "stream", "true or false");
  if (options != NULL && !json_is_object (options) && !json_is_null (options))
    return set_member_error (error, "stream_options", "an object");
  call->is_stream = json_is_true (stream);
  call->wants_usage
      = json_is_true (json_object_get (options, "include_usage"));
  return 0;
}

static int
set_body (struct call *call, const json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);

  if (text == NULL)
    return DS_ENOMEM;
  call->body = ds_str_copy (call, ds_str_from_c (text));
  free (text);
  return call->body.length > 0 ? 0 : DS_ENOMEM;
}

/* Builds the body for the upstream: the engine's name of the model, the
   reserved output limit, and a request for the token counts.  */
static int
make_upstream_body (struct call *call, json_t *json,
                    const struct ds_offering *offering, uint64_t limit)
{
  struct ds_str model
      = offering->adapter.length > 0 ? offering->adapter : offering->model;

  json_object_set_new (json, "model", json_stringn (model.data, model.length));
  json_object_del (json, "max_completion_tokens");
  json_object_set_new (json, "max_tokens", json_integer ((json_int_t)limit));
  if (call->is_stream)
    json_object_set_new (json, "stream_options",
                         json_pack ("{s:b}", "include_usage", 1));
  return set_body (call, json);
}

/* Parses the request body, which must be a JSON object.  The caller of this
   function owns *OUT.  Returns DS_EINVAL with the error's position in
   ERROR.  */
int
call_parse_body (struct call *call, json_t **out, struct ds_error *error)
{
  struct ds_str body = ds_http_request_body (call->http);
  json_error_t detail;

  if (!ds_str_is_utf8 (body))
    return ds_error_set (error, DS_EINVAL, "parse request", NULL,
                         "the body is not valid UTF-8");
  *out = json_loadb (body.data, body.length, JSON_REJECT_DUPLICATES, &detail);
  if (*out == NULL)
    return ds_error_set (error, DS_EINVAL, "parse request", NULL,
                         "line %d column %d: %s", detail.line, detail.column,
                         detail.text);
  if (json_is_object (*out))
    return 0;
  json_decref (*out);
  *out = NULL;
  return ds_error_set (error, DS_EINVAL, "parse request", NULL,
                       "the body must be a JSON object");
}

/* Reads the member "model", the name of an offering, into CALL.  */
int
call_parse_model_name (struct call *call, const json_t *json,
                       struct ds_error *error)
{
  const char *name = json_string_value (json_object_get (json, "model"));

  if (name == NULL || *name == '\0')
    return set_member_error (error, "model", "the name of an offering");
  call->offering = ds_str_copy (call, ds_str_from_c (name));
  return 0;
}

/* Parses a chat completion request into CALL: its maximum cost and the body
   for the upstream.  Modifies JSON.  Returns DS_EINVAL with the invalid member
   in ERROR.  */
int
call_parse_model (struct call *call, json_t *json,
                  const struct ds_offering *offering, struct ds_error *error)
{
  uint64_t limit = 0;

  if (bound_input_tokens (call, json, error) < 0
      || parse_stream_options (call, json, error) < 0
      || refuse_multiple_choices (json, error) < 0
      || parse_output_limit (json, offering->max_output_tokens, &limit, error)
             < 0)
    return DS_EINVAL;
  call->reservation_tokens = call->input_tokens_max + limit;
  digest_prefixes (call, json);
  return make_upstream_body (call, json, offering, limit);
}

/* Prepares a call of a plain service.  Any JSON object is forwarded
   unchanged.  */
void
call_parse_service (struct call *call, const struct ds_offering *offering)
{
  call->is_service = true;
  call->reservation_tokens = offering->tokens_per_call;
  call->body = ds_str_copy (call, ds_http_request_body (call->http));
}
