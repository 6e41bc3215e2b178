#ifndef DS_IO_PROBLEM_DOCUMENT_H
#define DS_IO_PROBLEM_DOCUMENT_H

#include "daisystep/str.h"

#include <stdint.h>

#define DS_PROBLEM_CONTENT_TYPE "application/problem+json"
/* Value of retry_after_ms if a retry cannot succeed.  */
#define DS_PROBLEM_NO_RETRY (-1)

/* Whether the request was executed.  */
enum ds_ran
{
  DS_RAN_NO,
  DS_RAN_YES,
  DS_RAN_UNKNOWN
};

/* An RFC 9457 problem document; null texts are omitted.  */
struct ds_problem_document
{
  const char *type;
  const char *title;
  unsigned status;
  const char *detail;
  enum ds_ran ran;
  int64_t retry_after_ms;
  const char *request_id;
};

#define DS_PROBLEM_DOCUMENT_DEFAULT                                           \
  ((struct ds_problem_document){                                              \
      .type = "about:blank",                                                  \
      .title = NULL,                                                          \
      .status = 500,                                                          \
      .detail = NULL,                                                         \
      .ran = DS_RAN_UNKNOWN,                                                  \
      .retry_after_ms = DS_PROBLEM_NO_RETRY,                                  \
      .request_id = NULL,                                                     \
  })

const char *ds_ran_name (enum ds_ran ran);
int ds_problem_document_format (struct ds_str *out, TALLOC_CTX *owner,
                                const struct ds_problem_document *problem);

#endif
