#ifndef DAISYSTEP_LOG_H
#define DAISYSTEP_LOG_H

#include "daisystep/error.h"

#include <stdint.h>

enum ds_log_level
{
  DS_LOG_ERROR,
  DS_LOG_WARNING,
  DS_LOG_INFO,
  DS_LOG_DEBUG
};

/* Optional fields of a log line; null members are omitted.  */
struct ds_log_fields
{
  const char *request_id;
  const char *step;
  const char *peer;
};

#define DS_LOG_FIELDS_DEFAULT                                                 \
  ((struct ds_log_fields){                                                    \
      .request_id = NULL,                                                     \
      .step = NULL,                                                           \
      .peer = NULL,                                                           \
  })

void ds_log_init (const char *host, const char *zone, enum ds_log_level level);
int ds_log_level_parse (enum ds_log_level *out, const char *name);
void ds_log (enum ds_log_level level, const struct ds_log_fields *fields,
             const char *format, ...) __attribute__ ((format (printf, 3, 4)));
void ds_log_error (const struct ds_error *error, const char *request_id);

#endif
