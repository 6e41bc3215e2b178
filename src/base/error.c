#include "daisystep/error.h"

#include <stdarg.h>
#include <stdio.h>

/* Fills ERROR, which may be null, and returns CODE, so that a failing function
   can end in "return ds_error_set (…)".  PEER is null if no peer is
   involved.  */
int
ds_error_set (struct ds_error *error, enum ds_error_code code,
              const char *step, const char *peer, const char *format, ...)
{
  va_list arguments;

  if (error == NULL)
    return code;
  error->code = code;
  (void)snprintf (error->step, sizeof error->step, "%s", step);
  (void)snprintf (error->peer, sizeof error->peer, "%s",
                  peer != NULL ? peer : "");
  va_start (arguments, format);
  (void)vsnprintf (error->message, sizeof error->message, format, arguments);
  va_end (arguments);
  return code;
}

/* The name of CODE for logs and problem documents.  */
const char *
ds_error_code_name (enum ds_error_code code)
{
  switch (code)
    {
    case DS_OK:
      return "ok";
    case DS_EINVAL:
      return "invalid";
    case DS_ERANGE:
      return "out_of_range";
    case DS_ENOMEM:
      return "out_of_memory";
    case DS_ENOTFOUND:
      return "not_found";
    case DS_ECONFLICT:
      return "conflict";
    case DS_EUNAVAILABLE:
      return "unavailable";
    case DS_ETIMEOUT:
      return "timeout";
    case DS_EPROTOCOL:
      return "protocol";
    case DS_EUNKNOWN:
      return "outcome_unknown";
    case DS_ESEALED:
      return "sealed";
    case DS_ELIMIT:
      return "limit_reached";
    case DS_EDENIED:
      return "denied";
    case DS_EIO:
      return "io";
    case DS_EDUPLICATE:
      return "duplicate";
    }
  return "unclassified";
}
