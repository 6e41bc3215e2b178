#ifndef TEST_SUPPORT_HTTP_H
#define TEST_SUPPORT_HTTP_H

#include "daisystep/str.h"

#include <jansson.h>

/* One call.  HEADERS are lines "Name: value" and end in a null pointer.  With
   STOP_AFTER_BYTES the client closes the connection when at least so much of
   the answer's body has arrived.  Unset members stand for GET, no headers, no
   body, 10 s and no such limit.  */
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

/* CODE is 0 when the whole answer arrived, DS_ETIMEOUT, or DS_EUNAVAILABLE
   when the connection failed or ended early; the body holds what came.  */
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
char *test_http_header (const struct test_http_response *reply,
                        const char *name);
json_t *test_http_json (const struct test_http_response *reply);
json_t *test_get_json (const char *address, const char *path);
long test_post (const char *address, const char *path, const char *body);
json_t *test_json_at (json_t *root, const char *path);

#endif
