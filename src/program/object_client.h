#ifndef DAISYSTEP_PROGRAM_OBJECT_CLIENT_H
#define DAISYSTEP_PROGRAM_OBJECT_CLIENT_H

#include "daisystep/error.h"
#include "daisystep/str.h"

#include <stdint.h>

struct json_t;

/* A blocking client of the platform's object API, for the command line.  JSON
   results are the caller's to release with json_decref.  Every function
   returns one of
     DS_ENOTFOUND     no such object,
     DS_ECONFLICT     the object has another version,
     DS_EDENIED       token missing or wrong,
     DS_EUNAVAILABLE  the platform did not respond; no write happened,
     DS_EUNKNOWN      a write may or may not have taken effect,
     DS_EPROTOCOL     the response is not valid in the object API.  */
struct ds_object_client;

struct ds_object_client_options
{
  /* "http://IP:PORT" or "https://IP:PORT".  */
  const char *url;
  /* Null or empty for no token.  */
  const char *token;
  uint64_t timeout_ms;
};

#define DS_OBJECT_CLIENT_OPTIONS_DEFAULT                                      \
  ((struct ds_object_client_options){                                         \
      .timeout_ms = 5000,                                                     \
  })

int ds_object_client_new (struct ds_object_client **out, TALLOC_CTX *owner,
                          const struct ds_object_client_options *options,
                          struct ds_error *error);
void ds_object_client_free (struct ds_object_client *client);
int ds_object_client_get (struct json_t **out, struct ds_object_client *client,
                          const char *kind, const char *name,
                          struct ds_error *error);
int ds_object_client_list (struct json_t **out,
                           struct ds_object_client *client, const char *kind,
                           struct ds_error *error);
int ds_object_client_put (struct json_t **out, struct ds_object_client *client,
                          const struct json_t *object, uint64_t version,
                          struct ds_error *error);
int ds_object_client_delete (struct json_t **out,
                             struct ds_object_client *client, const char *kind,
                             const char *name, uint64_t version,
                             struct ds_error *error);
int ds_object_client_watch (struct json_t **out,
                            struct ds_object_client *client, const char *kind,
                            uint64_t since, uint64_t wait_ms,
                            struct ds_error *error);

uint64_t ds_object_get_version (const struct json_t *object);
const char *ds_object_get_string (const struct json_t *object,
                                  const char *member);

#endif
