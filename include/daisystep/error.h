#ifndef DAISYSTEP_ERROR_H
#define DAISYSTEP_ERROR_H

/* Every function that can fail returns 0 or one of these negative codes.  */
enum ds_error_code
{
  DS_OK = 0,
  DS_EINVAL = -1,       /* malformed input */
  DS_ERANGE = -2,       /* a number or size outside its limits */
  DS_ENOMEM = -3,       /* out of memory */
  DS_ENOTFOUND = -4,    /* no such object */
  DS_ECONFLICT = -5,    /* version mismatch in a conditional update */
  DS_EUNAVAILABLE = -6, /* the peer is unreachable or refused */
  DS_ETIMEOUT = -7,     /* a deadline expired */
  DS_EPROTOCOL = -8,    /* the peer violated the protocol */
  DS_EUNKNOWN = -9,     /* the call may or may not have taken effect */
  DS_ESEALED = -10,     /* the incarnation has been sealed */
  DS_ELIMIT = -11,      /* budget, queue or rate limit reached */
  DS_EDENIED = -12,     /* missing or invalid credential */
  DS_EIO = -13,         /* an operating system call failed */
  DS_EDUPLICATE = -14   /* the identifier is already in use */
};

/* What failed, in which step, and with which peer.  STEP and PEER are
   zero-terminated and truncated to their size.  */
struct ds_error
{
  enum ds_error_code code;
  char step[48];
  char peer[80];
  char message[256];
};

#define DS_ERROR_NONE                                                         \
  ((struct ds_error){                                                         \
      .code = DS_OK,                                                          \
  })

int ds_error_set (struct ds_error *error, enum ds_error_code code,
                  const char *step, const char *peer, const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));
const char *ds_error_code_name (enum ds_error_code code);

#endif
