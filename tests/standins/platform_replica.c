#include "common_server.h"
#include "daisystep/str.h"

#include <argtable2.h>
#include <jansson.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* Stand-in for a replica of the platform.  It responds with its id and the
   body, or as set by POST /standin/faults: "shed", "fail" and "drop" are the
   numbers of requests that it rejects, fails, or executes without a response;
   "cut_after" is the event after which the next stream is truncated;
   "unframed" is the number of responses with neither a length nor chunks,
   which end with the connection, those that are truncated too; "reset" makes
   truncated ones end with a reset; "endless"
   is the number of requests that get status 500 and a body without end;
   "deadly" is a part of prompts whose requests get the header of a response
   and then a reset; with "leaving" all responses say that it leaves;
   "retry_after" is the Retry-After of rejections; "cold_ms" is the Cold-Ms of
   all responses.  GET /standin/runs returns the executed requests, with the
   time of their arrival.  */

/* Above max_body_bytes of any configuration.  */
#define BODY_BYTES_MAX ((size_t)8 * 1024 * 1024)
#define EVENTS 6
#define EVENT_BYTES 64
#define RESET_DELAY_MS 100

struct replica
{
  pthread_mutex_t lock;
  json_t *runs; /* of {"id", "tenant", "deadline", "key", "last"} */
  const char *id;
  json_int_t shed;
  json_int_t fail;
  json_int_t drop;
  json_int_t endless;
  json_int_t cut_after;
  json_int_t unframed;
  bool reset;
  bool leaving;
  char retry_after[32]; /* empty for none */
  char cold_ms[32];     /* the same */
  char deadly[32];      /* empty for none */
};

struct stream
{
  char text[EVENTS * EVENT_BYTES];
  size_t length;
  bool cut;
  bool unframed;
  int reset_fd; /* of a connection to reset at the end; -1 for none */
};

static bool
consume_fault (json_int_t *count)
{
  if (*count <= 0)
    return false;
  --*count;
  return true;
}

/* Adds to RESPONSE, a rejection or not, what the replica says of itself.  */
static void
add_notices (struct replica *replica, struct MHD_Response *response,
             bool rejected)
{
  pthread_mutex_lock (&replica->lock);
  if (replica->leaving)
    (void)MHD_add_response_header (response, "Server-Leaving", "1");
  if (replica->cold_ms[0] != '\0')
    (void)MHD_add_response_header (response, "Cold-Ms", replica->cold_ms);
  if (rejected && replica->retry_after[0] != '\0')
    (void)MHD_add_response_header (response, "Retry-After",
                                   replica->retry_after);
  pthread_mutex_unlock (&replica->lock);
}

static enum MHD_Result
respond (struct replica *replica, struct standin_request *request,
         unsigned status, const char *text, bool not_run)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), (void *)text, MHD_RESPMEM_MUST_COPY);
  const char *request_id = standin_request_header (request, "Request-Id");
  enum MHD_Result result;

  if (request_id != NULL)
    (void)MHD_add_response_header (response, "Request-Id", request_id);
  if (not_run)
    (void)MHD_add_response_header (response, "Not-Executed", "1");
  else
    (void)MHD_add_response_header (response, "Server-Seal", "seal.1");
  (void)MHD_add_response_header (response, "Instance-Id", replica->id);
  add_notices (replica, response, status == 503);
  result = MHD_queue_response (request->connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static ssize_t
read_stream (void *state, uint64_t position, char *buffer, size_t size)
{
  const struct stream *stream = state;
  size_t left = stream->length - (size_t)position;

  if (left == 0 && stream->reset_fd >= 0)
    {
      struct sockaddr none = { .sa_family = AF_UNSPEC };

      /* Lets the bytes before the reset arrive.  */
      (void)poll (NULL, 0, RESET_DELAY_MS);
      /* Resets the connection; the server would close it in order.  */
      (void)connect (stream->reset_fd, &none, sizeof none);
    }
  /* Only a framed response shows that it is truncated.  */
  if (left == 0)
    return stream->cut && (!stream->unframed || stream->reset_fd >= 0)
               ? MHD_CONTENT_READER_END_WITH_ERROR
               : MHD_CONTENT_READER_END_OF_STREAM;
  if (left > size)
    left = size;
  memcpy (buffer, stream->text + position, left);
  return (ssize_t)left;
}

/* Prepares STREAM for a response that ends with the connection if the faults
   ask for it.  */
static void
choose_framing (struct replica *replica, struct standin_request *request,
                struct stream *stream)
{
  pthread_mutex_lock (&replica->lock);
  stream->unframed = consume_fault (&replica->unframed);
  stream->reset_fd = -1;
  if (replica->reset && stream->cut)
    stream->reset_fd
        = MHD_get_connection_info (request->connection,
                                   MHD_CONNECTION_INFO_CONNECTION_FD)
              ->connect_fd;
  pthread_mutex_unlock (&replica->lock);
}

static struct MHD_Response *
make_response (struct stream *stream)
{
  struct MHD_Response *response = MHD_create_response_from_callback (
      MHD_SIZE_UNKNOWN, 512, read_stream, stream, free);

  /* Version 1.0 has no chunks.  */
  if (stream->unframed)
    (void)MHD_set_response_options (
        response, MHD_RF_HTTP_1_0_COMPATIBLE_STRICT, MHD_RO_END);
  return response;
}

static enum MHD_Result
respond_stream (struct replica *replica, struct standin_request *request)
{
  const char *last = standin_request_header (request, "Last-Event-Id");
  int first = last != NULL ? atoi (last) + 1 : 1;
  struct stream *stream = calloc (1, sizeof *stream);
  struct MHD_Response *response;
  enum MHD_Result result;
  json_int_t cut_after;

  pthread_mutex_lock (&replica->lock);
  cut_after = replica->cut_after;
  replica->cut_after = 0;
  pthread_mutex_unlock (&replica->lock);
  for (int i = first; i <= EVENTS; i++)
    {
      if (cut_after > 0 && i > cut_after)
        {
          /* Truncates the stream within an event.  */
          stream->length += (size_t)snprintf (stream->text + stream->length,
                                              EVENT_BYTES, "id: %d\nda", i);
          stream->cut = true;
          break;
        }
      stream->length
          += (size_t)snprintf (stream->text + stream->length, EVENT_BYTES,
                               "id: %d\ndata: piece %d\n\n", i, i);
    }
  choose_framing (replica, request, stream);
  response = make_response (stream);
  (void)MHD_add_response_header (response, "Content-Type",
                                 "text/event-stream");
  (void)MHD_add_response_header (
      response, "Request-Id", standin_request_header (request, "Request-Id"));
  (void)MHD_add_response_header (response, "Server-Seal", "seal.1");
  add_notices (replica, response, false);
  result = MHD_queue_response (request->connection, MHD_HTTP_OK, response);
  MHD_destroy_response (response);
  return result;
}

/* Responds with TEXT; with "cut_after" only to half of it.  */
static enum MHD_Result
respond_unframed (struct replica *replica, struct standin_request *request,
                  const char *text)
{
  struct stream *stream = calloc (1, sizeof *stream);
  struct MHD_Response *response;
  enum MHD_Result result;

  pthread_mutex_lock (&replica->lock);
  stream->cut = replica->cut_after > 0;
  replica->cut_after = 0;
  pthread_mutex_unlock (&replica->lock);
  stream->length = strlen (text) / (stream->cut ? 2 : 1);
  memcpy (stream->text, text, stream->length);
  choose_framing (replica, request, stream);
  response = make_response (stream);
  (void)MHD_add_response_header (
      response, "Request-Id", standin_request_header (request, "Request-Id"));
  (void)MHD_add_response_header (response, "Server-Seal", "seal.1");
  add_notices (replica, response, false);
  result = MHD_queue_response (request->connection, MHD_HTTP_OK, response);
  MHD_destroy_response (response);
  return result;
}

static ssize_t
read_endless (void *state, uint64_t position, char *buffer, size_t size)
{
  (void)state;
  (void)position;
  memset (buffer, 'x', size);
  return (ssize_t)size;
}

static enum MHD_Result
respond_endless (struct replica *replica, struct standin_request *request)
{
  struct MHD_Response *response = MHD_create_response_from_callback (
      MHD_SIZE_UNKNOWN, 16384, read_endless, NULL, NULL);
  enum MHD_Result result;

  (void)MHD_add_response_header (
      response, "Request-Id", standin_request_header (request, "Request-Id"));
  (void)MHD_add_response_header (response, "Server-Seal", "seal.1");
  add_notices (replica, response, false);
  result = MHD_queue_response (request->connection,
                               MHD_HTTP_INTERNAL_SERVER_ERROR, response);
  MHD_destroy_response (response);
  return result;
}

static ssize_t
read_nothing (void *state, uint64_t position, char *buffer, size_t size)
{
  (void)state;
  (void)position;
  if (size > 0)
    buffer[0] = '\0';
  return MHD_CONTENT_READER_END_WITH_ERROR;
}

/* Sends the header of a stream and closes the connection.  */
static enum MHD_Result
respond_with_crash (struct replica *replica, struct standin_request *request)
{
  struct MHD_Response *response = MHD_create_response_from_callback (
      MHD_SIZE_UNKNOWN, 512, read_nothing, NULL, NULL);
  enum MHD_Result result;

  (void)MHD_add_response_header (response, "Content-Type",
                                 "text/event-stream");
  (void)MHD_add_response_header (
      response, "Request-Id", standin_request_header (request, "Request-Id"));
  (void)MHD_add_response_header (response, "Server-Seal", "seal.1");
  add_notices (replica, response, false);
  result = MHD_queue_response (request->connection, MHD_HTTP_OK, response);
  MHD_destroy_response (response);
  return result;
}

/* Whether the prompt of REQUEST has the part that crashes this replica.  */
static bool
has_deadly_part (struct replica *replica, struct standin_request *request)
{
  const char *parts = standin_request_header (request, "Prompt-Prefix");
  bool deadly;

  pthread_mutex_lock (&replica->lock);
  deadly = parts != NULL && replica->deadly[0] != '\0'
           && strstr (parts, replica->deadly) != NULL;
  pthread_mutex_unlock (&replica->lock);
  return deadly;
}

static const char *
or_empty (const char *text)
{
  return text != NULL ? text : "";
}

static enum MHD_Result
handle_request (struct replica *replica, struct standin_request *request)
{
  const char *expected = standin_request_header (request, "Expect-Instance");
  bool shed;
  bool fail;
  bool drop;
  bool endless;
  bool unframed;
  char text[128];

  if (expected != NULL && strcmp (expected, replica->id) != 0)
    return respond (replica, request, 421, "", true);
  pthread_mutex_lock (&replica->lock);
  shed = consume_fault (&replica->shed);
  fail = !shed && consume_fault (&replica->fail);
  drop = !shed && !fail && consume_fault (&replica->drop);
  endless = !shed && !fail && !drop && consume_fault (&replica->endless);
  if (!shed)
    json_array_append_new (
        replica->runs,
        json_pack (
            "{s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:I}", "id",
            or_empty (standin_request_header (request, "Request-Id")),
            "tenant", or_empty (standin_request_header (request, "Tenant")),
            "deadline",
            or_empty (standin_request_header (request, "Deadline-Ms")), "key",
            or_empty (standin_request_header (request, "Authorization")),
            "last",
            or_empty (standin_request_header (request, "Last-Event-Id")),
            "at_ms", (json_int_t)standin_now_ms (), "bytes",
            (json_int_t)request->body_length, "hash",
            (json_int_t)(ds_str_hash (
                             (struct ds_str){ .data = request->body,
                                              .length = request->body_length },
                             0)
                         >> 1)));
  pthread_mutex_unlock (&replica->lock);
  if (shed)
    return respond (replica, request, 503, "", true);
  if (fail)
    return respond (replica, request, 500, "failed", false);
  if (drop)
    return standin_close_connection (request);
  if (endless)
    return respond_endless (replica, request);
  if (has_deadly_part (replica, request))
    return respond_with_crash (replica, request);
  if (strstr (request->path, "/stream/") != NULL)
    return respond_stream (replica, request);
  (void)snprintf (text, sizeof text, "%s:%.*s", replica->id,
                  (int)request->body_length, request->body);
  pthread_mutex_lock (&replica->lock);
  unframed = replica->unframed > 0;
  pthread_mutex_unlock (&replica->lock);
  if (unframed)
    return respond_unframed (replica, request, text);
  return respond (replica, request, 200, text, false);
}

static enum MHD_Result
set_faults (struct replica *replica, struct standin_request *request)
{
  json_t *body = json_loadb (request->body, request->body_length, 0, NULL);
  const char *deadly = json_string_value (json_object_get (body, "deadly"));

  pthread_mutex_lock (&replica->lock);
  (void)snprintf (replica->deadly, sizeof replica->deadly, "%s",
                  or_empty (deadly));
  (void)snprintf (
      replica->retry_after, sizeof replica->retry_after, "%s",
      or_empty (json_string_value (json_object_get (body, "retry_after"))));
  (void)snprintf (
      replica->cold_ms, sizeof replica->cold_ms, "%s",
      or_empty (json_string_value (json_object_get (body, "cold_ms"))));
  replica->shed = json_integer_value (json_object_get (body, "shed"));
  replica->fail = json_integer_value (json_object_get (body, "fail"));
  replica->drop = json_integer_value (json_object_get (body, "drop"));
  replica->endless = json_integer_value (json_object_get (body, "endless"));
  replica->cut_after
      = json_integer_value (json_object_get (body, "cut_after"));
  replica->unframed = json_integer_value (json_object_get (body, "unframed"));
  replica->reset = json_is_true (json_object_get (body, "reset"));
  replica->leaving = json_is_true (json_object_get (body, "leaving"));
  pthread_mutex_unlock (&replica->lock);
  json_decref (body);
  return standin_respond_json (request, MHD_HTTP_OK, NULL, json_object ());
}

static enum MHD_Result
handle (void *state, struct standin_request *request)
{
  struct replica *replica = state;
  json_t *runs;

  if (standin_request_matches (request, "POST", "/standin/faults"))
    return set_faults (replica, request);
  if (standin_request_matches (request, "GET", "/standin/runs"))
    {
      pthread_mutex_lock (&replica->lock);
      runs = json_deep_copy (replica->runs);
      pthread_mutex_unlock (&replica->lock);
      return standin_respond_json (request, MHD_HTTP_OK, NULL, runs);
    }
  return handle_request (replica, request);
}

int
main (int argc, char **argv)
{
  struct replica replica = { .runs = json_array () };
  struct standin_arguments arguments;
  struct arg_str *id = arg_str1 (NULL, "id", "ID", "id of the replica");
  int status = EXIT_FAILURE;

  pthread_mutex_init (&replica.lock, NULL);
  standin_arguments_init (&arguments);
  void *table[] = { arguments.help,
                    arguments.address,
                    arguments.ready_file,
                    arguments.stop_after_ms,
                    id,
                    arg_end (8) };
  standin_body_bytes_max = BODY_BYTES_MAX;
  if (standin_arguments_parse (&arguments, table, argc, argv) == 0)
    {
      replica.id = id->sval[0];
      status = standin_run (&arguments, handle, &replica);
    }
  arg_freetable (table, sizeof table / sizeof table[0]);
  json_decref (replica.runs);
  pthread_mutex_destroy (&replica.lock);
  return status;
}
