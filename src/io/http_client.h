#ifndef DS_IO_HTTP_CLIENT_H
#define DS_IO_HTTP_CLIENT_H

#include "daisystep/error.h"
#include "daisystep/str.h"
#include "io/http_server.h"

#include <stdbool.h>
#include <stdint.h>
#include <tevent.h>

struct ds_http_client;
struct ds_http_call;

struct ds_http_client_options
{
  uint32_t idle_connections;          /* kept open for reuse */
  uint32_t idle_connection_max_age_s; /* older connections are not reused */
};

#define DS_HTTP_CLIENT_OPTIONS_DEFAULT                                        \
  ((struct ds_http_client_options){                                           \
      .idle_connections = 256,                                                \
      .idle_connection_max_age_s = 30,                                        \
  })

/* Result of a call.  ERROR.code is 0 if a complete response of any status was
   received.  SENT is false only if no byte of the request can have been
   written to a connection.  FRAMED is true if the response declared its end by
   a length or chunks; without it truncation cannot be detected.  BODY is empty
   in stream mode; all members are valid during the callback only.  */
struct ds_http_result
{
  unsigned status;
  struct ds_error error;
  struct ds_str body;
  bool sent;
  bool framed;
};

/* URL is "http://IP:PORT/…".  ON_DATA receives each part of the body; if null,
   the body is collected for the result.  All timeouts are in milliseconds, 0 =
   none.  The first-byte timeout starts once the connection is established; the
   progress timeout is the longest time between received bytes after the
   first.  */
struct ds_http_call_options
{
  const char *method;
  const char *url;
  const struct ds_http_header *headers;
  size_t header_count;
  struct ds_str body;
  uint32_t connect_timeout_ms;
  uint32_t first_byte_timeout_ms;
  uint32_t progress_timeout_ms;
  uint32_t total_timeout_ms;
  size_t body_limit; /* bytes of the response body, 0 = unlimited */
  void (*on_headers) (struct ds_http_call *call, unsigned status,
                      void *user_data);
  void (*on_data) (struct ds_http_call *call, struct ds_str data,
                   void *user_data);
  void (*on_done) (struct ds_http_call *call,
                   const struct ds_http_result *result, void *user_data);
  void *user_data;
};

#define DS_HTTP_CALL_OPTIONS_DEFAULT                                          \
  ((struct ds_http_call_options){                                             \
      .method = "GET",                                                        \
      .url = NULL,                                                            \
      .headers = NULL,                                                        \
      .header_count = 0,                                                      \
      .body = DS_STR_EMPTY,                                                   \
      .connect_timeout_ms = 1000,                                             \
      .first_byte_timeout_ms = 30000,                                         \
      .progress_timeout_ms = 10000,                                           \
      .total_timeout_ms = 0,                                                  \
      .body_limit = (size_t)16 << 20,                                         \
      .on_headers = NULL,                                                     \
      .on_data = NULL,                                                        \
      .on_done = NULL,                                                        \
      .user_data = NULL,                                                      \
  })

int ds_http_client_new (struct ds_http_client **out, TALLOC_CTX *owner,
                        struct tevent_context *ev,
                        const struct ds_http_client_options *options);
void ds_http_client_free (struct ds_http_client *client);
size_t ds_http_client_call_count (const struct ds_http_client *client);

int ds_http_call_start (struct ds_http_call **out,
                        struct ds_http_client *client,
                        const struct ds_http_call_options *options,
                        struct ds_error *error);
void ds_http_call_cancel (struct ds_http_call *call);
void ds_http_call_pause (struct ds_http_call *call, bool paused);
bool ds_http_call_sent (const struct ds_http_call *call);
struct ds_str ds_http_call_header (struct ds_http_call *call,
                                   const char *name);

#endif
