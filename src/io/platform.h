#ifndef DS_IO_PLATFORM_H
#define DS_IO_PLATFORM_H

#include "daisystep/error.h"
#include "daisystep/str.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <tevent.h>

/* Client of the platform's object API.  */
struct ds_platform;

/* Lists and watches one kind.  */
struct ds_platform_watch;

/* Outcome of a call.  Reads have no effect, so a failed read is never
   DS_PLATFORM_OUTCOME_UNKNOWN.  */
enum ds_platform_outcome
{
  DS_PLATFORM_OK,
  DS_PLATFORM_CONFLICT,        /* the object has another version */
  DS_PLATFORM_NOT_FOUND,       /* no such object */
  DS_PLATFORM_OUTCOME_UNKNOWN, /* the write may have taken effect */
  DS_PLATFORM_UNAVAILABLE,     /* the call has certainly not taken effect */
  DS_PLATFORM_REJECTED         /* request refused; a retry cannot succeed */
};

/* JSON is the object, the list {"version","items"}, or on a conflict the
   current object, null if the response has none.  It is valid during the
   callback; json_incref keeps it.  VERSION is that of JSON or 0.  STATUS is
   the HTTP status, 0 without a response.  */
struct ds_platform_result
{
  enum ds_platform_outcome outcome;
  unsigned status;
  uint64_t version;
  json_t *json;
  struct ds_error error;
};

/* ON_DONE is called exactly once if the function that starts the call returns
   0, and never if the platform is freed first.  */
struct ds_platform_callback
{
  void (*on_done) (const struct ds_platform_result *result, void *user_data);
  void *user_data;
};

/* URL is "http://IP:PORT".  TOKEN, if not null, is sent as a bearer token.
   The backoff after errors grows from BACKOFF_MIN_MS to BACKOFF_MAX_MS; SEED
   seeds its jitter.  */
struct ds_platform_options
{
  const char *url;
  const char *token;
  uint32_t connect_timeout_ms;
  uint32_t timeout_ms;    /* until the first byte and between bytes */
  uint32_t watch_wait_ms; /* longest time the server may hold a watch */
  uint32_t backoff_min_ms;
  uint32_t backoff_max_ms;
  size_t body_limit; /* bytes of a response body */
  uint64_t seed;
  /* Called when the platform becomes reachable or unreachable.  */
  void (*on_reachable_changed) (bool reachable, void *user_data);
  void *user_data;
};

#define DS_PLATFORM_OPTIONS_DEFAULT                                           \
  ((struct ds_platform_options){                                              \
      .url = NULL,                                                            \
      .token = NULL,                                                          \
      .connect_timeout_ms = 1000,                                             \
      .timeout_ms = 5000,                                                     \
      .watch_wait_ms = 30000,                                                 \
      .backoff_min_ms = 50,                                                   \
      .backoff_max_ms = 5000,                                                 \
      .body_limit = (size_t)64 << 20,                                         \
      .seed = 0,                                                              \
      .on_reachable_changed = NULL,                                           \
      .user_data = NULL,                                                      \
  })

enum ds_platform_change
{
  DS_PLATFORM_CHANGE_PUT,
  DS_PLATFORM_CHANGE_DELETE
};

/* ON_CHANGE is called for each created, changed or deleted object of KIND; the
   versions of an object only increase.  OBJECT of a deletion detected by a
   list has only "kind" and "name".  ON_LIST_COMPLETE is called after all
   changes of a list have been reported.  */
struct ds_platform_watch_options
{
  const char *kind;
  void (*on_change) (enum ds_platform_change change, const char *name,
                     uint64_t version, json_t *object, void *user_data);
  void (*on_list_complete) (uint64_t version, void *user_data);
  void *user_data;
};

#define DS_PLATFORM_WATCH_OPTIONS_DEFAULT                                     \
  ((struct ds_platform_watch_options){                                        \
      .kind = NULL,                                                           \
      .on_change = NULL,                                                      \
      .on_list_complete = NULL,                                               \
      .user_data = NULL,                                                      \
  })

int ds_platform_new (struct ds_platform **out, TALLOC_CTX *owner,
                     struct tevent_context *ev,
                     const struct ds_platform_options *options);
void ds_platform_free (struct ds_platform *platform);
bool ds_platform_reachable (const struct ds_platform *platform);

int ds_platform_get (struct ds_platform *platform, const char *kind,
                     const char *name, struct ds_platform_callback callback,
                     struct ds_error *error);
int ds_platform_list (struct ds_platform *platform, const char *kind,
                      struct ds_platform_callback callback,
                      struct ds_error *error);
int ds_platform_put (struct ds_platform *platform, const char *kind,
                     const char *name, uint64_t base_version,
                     const json_t *object,
                     struct ds_platform_callback callback,
                     struct ds_error *error);
int ds_platform_delete (struct ds_platform *platform, const char *kind,
                        const char *name, uint64_t base_version,
                        struct ds_platform_callback callback,
                        struct ds_error *error);

int ds_platform_watch_new (struct ds_platform_watch **out,
                           struct ds_platform *platform,
                           const struct ds_platform_watch_options *options);
void ds_platform_watch_free (struct ds_platform_watch *watch);

#endif
