#ifndef DAISYSTEP_PROGRAM_HTTP_CALL_H
#define DAISYSTEP_PROGRAM_HTTP_CALL_H

#include "daisystep/error.h"
#include "daisystep/str.h"

#include <stdint.h>

/* One blocking HTTP call.  Strings are null-terminated.  */
struct ds_http_call_request
{
  const char *method;
  const char *url;
  /* Null-terminated array of complete header lines; may be null.  */
  const char *const *headers;
  /* Sent if its DATA is not null.  */
  struct ds_str body;
  uint64_t timeout_ms;
};

struct ds_http_call_response
{
  long status;
  /* Followed by a zero byte that its length does not count.  */
  struct ds_str body;
};

int ds_http_call (struct ds_http_call_response *out, TALLOC_CTX *owner,
                  const struct ds_http_call_request *request,
                  struct ds_error *error);

#endif
