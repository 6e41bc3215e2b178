/* Stand-in for a plain service; see README.md.  */
#include "common_server.h"

#include <argtable2.h>
#include <pthread.h>
#include <stdlib.h>

struct service
{
  pthread_mutex_t lock;
  uint64_t delay_ms;
  uint64_t drop_answers;
  bool refuse;
  json_t *calls;
};

/* Executes the call, which a repeated call must not do again, and returns its
   number.  */
static json_int_t
record_call (struct service *service, const struct standin_request *request,
             json_t *body)
{
  json_int_t number = (json_int_t)json_array_size (service->calls) + 1;

  json_array_append_new (
      service->calls,
      json_pack (
          "{s:I,s:s?,s:s?,s:O}", "number", number, "request_id",
          standin_request_header (request, "X-Request-Id"), "attempt_id",
          standin_request_header (request, "X-Attempt-Id"), "body", body));
  return number;
}

static enum MHD_Result
handle_call (struct service *service, struct standin_request *request)
{
  json_t *body = json_loadb (request->body, request->body_length,
                             JSON_DECODE_ANY, NULL);
  json_int_t number = 0;
  uint64_t delay_ms;
  bool refuse, drop;

  if (body == NULL)
    return standin_respond_error (request, MHD_HTTP_BAD_REQUEST, "no JSON");
  pthread_mutex_lock (&service->lock);
  refuse = service->refuse;
  delay_ms = service->delay_ms;
  drop = !refuse && service->drop_answers > 0;
  if (drop)
    service->drop_answers--;
  if (!refuse)
    number = record_call (service, request, body);
  pthread_mutex_unlock (&service->lock);
  json_decref (body);
  if (refuse)
    return standin_respond_error (request, MHD_HTTP_SERVICE_UNAVAILABLE,
                                  "refused");
  if (!standin_request_wait (request, delay_ms) || drop)
    return standin_close_connection (request);
  return standin_respond_json (
      request, MHD_HTTP_OK, standin_request_header (request, "X-Attempt-Id"),
      json_pack ("{s:I}", "booked", number));
}

/* The number of responses to drop; true means all.  */
static uint64_t
drop_count (const json_t *value)
{
  if (json_is_true (value))
    return UINT64_MAX;
  return (uint64_t)json_integer_value (value);
}

static enum MHD_Result
set_faults (struct service *service, struct standin_request *request)
{
  json_t *body = json_loadb (request->body, request->body_length, 0, NULL);
  const json_t *value;

  if (body == NULL)
    return standin_respond_error (request, MHD_HTTP_BAD_REQUEST, "no JSON");
  pthread_mutex_lock (&service->lock);
  if ((value = json_object_get (body, "delay_ms")) != NULL)
    service->delay_ms = (uint64_t)json_integer_value (value);
  if ((value = json_object_get (body, "drop_answer")) != NULL)
    service->drop_answers = drop_count (value);
  if ((value = json_object_get (body, "refuse")) != NULL)
    service->refuse = json_is_true (value);
  pthread_mutex_unlock (&service->lock);
  json_decref (body);
  return standin_respond_json (request, MHD_HTTP_OK, NULL, json_object ());
}

static enum MHD_Result
get_calls (struct service *service, struct standin_request *request)
{
  json_t *calls;

  pthread_mutex_lock (&service->lock);
  calls = json_deep_copy (service->calls);
  pthread_mutex_unlock (&service->lock);
  return standin_respond_json (request, MHD_HTTP_OK, NULL,
                               json_pack ("{s:I,s:o}", "count",
                                          (json_int_t)json_array_size (calls),
                                          "calls", calls));
}

static enum MHD_Result
handle (void *state, struct standin_request *request)
{
  struct service *service = state;

  if (standin_request_matches (request, "POST", "/"))
    return handle_call (service, request);
  if (standin_request_matches (request, "POST", "/standin/faults"))
    return set_faults (service, request);
  if (standin_request_matches (request, "GET", "/standin/calls"))
    return get_calls (service, request);
  return standin_respond_error (request, MHD_HTTP_NOT_FOUND, "no such path");
}

int
main (int argc, char **argv)
{
  struct service service = { .calls = json_array () };
  struct standin_arguments arguments;
  int status = EXIT_FAILURE;

  pthread_mutex_init (&service.lock, NULL);
  standin_arguments_init (&arguments);
  void *table[] = { arguments.help, arguments.address, arguments.ready_file,
                    arguments.stop_after_ms, arg_end (8) };
  if (standin_arguments_parse (&arguments, table, argc, argv) == 0)
    status = standin_run (&arguments, handle, &service);
  arg_freetable (table, sizeof table / sizeof table[0]);
  json_decref (service.calls);
  pthread_mutex_destroy (&service.lock);
  return status;
}
