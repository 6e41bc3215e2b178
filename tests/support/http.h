#ifndef TEST_SUPPORT_HTTP_H
#define TEST_SUPPORT_HTTP_H

#include "daisystep/str.h"

#include <jansson.h>

/* One HTTP request.  HEADERS are lines "Name: value" and end with a null
   pointer.  If STOP_AFTER_BYTES is set, the client closes the connection once
   it has received that much of the response body.  The defaults are GET, no
   headers, no body, 10 s and no limit.  */
struct test_http_call
{
  const char *method;
  const char *address; /* IP:PORT */
  const char *path;
  const char *const *headers;
  const char *body; /* null for none */
  long timeout_ms;
  size_t stop_after_bytes;
};

/* CODE is 0 if the response is complete, DS_ETIMEOUT, or DS_EUNAVAILABLE if
   the connection failed or closed early; BODY holds what was received.  */
struct test_http_response
{
  int code;
  long status;
  struct ds_str headers;
  struct ds_str body; /* followed by a zero byte */
  long elapsed_ms;
};

struct test_http_task;

struct test_http_response *test_http (const struct test_http_call *call);
struct test_http_task *test_http_start (const struct test_http_call *call);
struct test_http_response *test_http_join (struct test_http_task *task);
char *test_http_header (const struct test_http_response *response,
                        const char *name);
json_t *test_http_json (const struct test_http_response *response);
json_t *test_get_json (const char *address, const char *path);
long test_post (const char *address, const char *path, const char *body);
json_t *test_json_at (json_t *root, const char *path);

#endif
