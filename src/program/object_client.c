#include "program/object_client.h"
#include "program/http_call.h"

#include "daisystep/fields.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#define HTTP_OK 200
#define HTTP_CREATED 201
#define HTTP_NO_CONTENT 204
#define HTTP_UNAUTHORIZED 401
#define HTTP_FORBIDDEN 403
#define HTTP_NOT_FOUND 404
#define HTTP_GONE 410
#define HTTP_PRECONDITION_FAILED 412
#define HTTP_TOO_MANY_REQUESTS 429
#define HTTP_SERVER_ERROR 500
/* Bytes of an error response that the message quotes.  */
#define ERROR_EXCERPT_BYTES 120

struct ds_object_client
{
  char *url;
  char *authorization;
  uint64_t timeout_ms;
};

struct call
{
  const char *method;
  const char *kind;
  /* Null for all objects of the kind.  */
  const char *name;
  /* Query string without "?"; may be null.  */
  const char *query;
  /* Complete If-Match or If-None-Match line; may be null.  */
  const char *condition;
  char *body;
  uint64_t timeout_ms;
};

static bool
is_write (const struct call *call)
{
  return strcmp (call->method, "GET") != 0;
}

static int
call_error (const struct call *call, struct ds_error *error,
            enum ds_error_code code, const char *detail)
{
  char subject[sizeof error->peer];

  (void)snprintf (subject, sizeof subject, "%s%s%s", call->kind,
                  call->name != NULL ? "/" : "",
                  call->name != NULL ? call->name : "");
  return ds_error_set (error, code,
                       is_write (call) ? "write object" : "read object",
                       subject, "%s", detail);
}

/* Returns the error code for an HTTP STATUS that is neither a success nor a
   conflict.  After a server error the outcome of a write is unknown.  */
static enum ds_error_code
status_to_error_code (const struct call *call, long status)
{
  switch (status)
    {
    case HTTP_NOT_FOUND:
    case HTTP_GONE:
      return DS_ENOTFOUND;
    case HTTP_UNAUTHORIZED:
    case HTTP_FORBIDDEN:
      return DS_EDENIED;
    case HTTP_TOO_MANY_REQUESTS:
      return DS_EUNAVAILABLE;
    default:
      if (status < HTTP_SERVER_ERROR)
        return DS_EPROTOCOL;
      return is_write (call) ? DS_EUNKNOWN : DS_EUNAVAILABLE;
    }
}

/* Parses RESPONSE into JSON or an error.  On a conflict OUT is the current
   object, or null if the response does not contain it.  */
static int
parse_response (json_t **out, const struct call *call,
                const struct ds_http_call_response *response,
                struct ds_error *error)
{
  bool success = response->status == HTTP_OK
                 || response->status == HTTP_CREATED
                 || response->status == HTTP_NO_CONTENT;
  char detail[sizeof error->message];

  if (success || response->status == HTTP_PRECONDITION_FAILED)
    *out = json_loadb (response->body.data, response->body.length,
                       JSON_REJECT_DUPLICATES, NULL);
  if (response->status == HTTP_PRECONDITION_FAILED)
    return call_error (call, error, DS_ECONFLICT,
                       "the object has another version");
  if (!success)
    {
      (void)snprintf (detail, sizeof detail, "HTTP status %ld: %.*s",
                      response->status, ERROR_EXCERPT_BYTES,
                      response->body.data);
      return call_error (
          call, error, status_to_error_code (call, response->status), detail);
    }
  if (json_is_object (*out) || strcmp (call->method, "DELETE") == 0)
    return 0;
  json_decref (*out);
  *out = NULL;
  return call_error (call, error, is_write (call) ? DS_EUNKNOWN : DS_EPROTOCOL,
                     "the response body is not a JSON object");
}

static int
make_call (json_t **out, const struct ds_object_client *client,
           const struct call *call, struct ds_error *error)
{
  char *scratch = talloc_new (NULL);
  const char *headers[4] = { NULL };
  size_t header_count = 0;
  struct ds_http_call_response response = { .status = 0 };
  struct ds_http_call_request request = {
    .method = call->method,
    .url = talloc_asprintf (scratch, "%s/v1/objects/%s%s%s%s%s", client->url,
                            call->kind, call->name != NULL ? "/" : "",
                            call->name != NULL ? call->name : "",
                            call->query != NULL ? "?" : "",
                            call->query != NULL ? call->query : ""),
    .headers = headers,
    .body = call->body != NULL ? ds_str_from_c (call->body)
                               : (struct ds_str){ .data = NULL },
    .timeout_ms = call->timeout_ms,
  };
  int status;

  *out = NULL;
  if (client->authorization != NULL)
    headers[header_count++] = client->authorization;
  if (call->condition != NULL)
    headers[header_count++] = call->condition;
  if (call->body != NULL)
    headers[header_count++] = "Content-Type: application/json";
  status = ds_http_call (&response, scratch, &request, error);
  if (status == 0)
    status = parse_response (out, call, &response, error);
  else if (status == DS_EUNKNOWN && !is_write (call))
    status = error->code = DS_EUNAVAILABLE;
  talloc_free (scratch);
  return status;
}

static bool
is_kind (const char *kind)
{
  return kind[0] != '\0'
         && strspn (kind, "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                          "abcdefghijklmnopqrstuvwxyz")
                == strlen (kind);
}

/* Rejects kinds and names that would change the URL path of a call.  */
static int
check_call (const struct call *call, struct ds_error *error)
{
  if (!is_kind (call->kind))
    return call_error (call, error, DS_EINVAL,
                       "kind is not allowed; allowed: letters");
  if (call->name != NULL && !ds_name_is_valid (ds_str_from_c (call->name)))
    return call_error (call, error, DS_EINVAL,
                       "name is not allowed; allowed: 1..63 characters of "
                       "[a-z0-9.-]");
  return 0;
}

static int
check_and_call (json_t **out, const struct ds_object_client *client,
                const struct call *call, struct ds_error *error)
{
  int status = check_call (call, error);

  *out = NULL;
  return status != 0 ? status : make_call (out, client, call, error);
}

/* Checks that LIST has a version and the array MEMBER.  */
static int
check_list (json_t **list, const struct call *call, const char *member,
            struct ds_error *error)
{
  if (json_is_integer (json_object_get (*list, "version"))
      && json_is_array (json_object_get (*list, member)))
    return 0;
  json_decref (*list);
  *list = NULL;
  return call_error (call, error, DS_EPROTOCOL,
                     "the response has no integer version or no array");
}

/* Creates a client, owned by OWNER; nothing is sent yet.  Returns DS_EINVAL
   for a token that is not valid in a header.  */
int
ds_object_client_new (struct ds_object_client **out, TALLOC_CTX *owner,
                      const struct ds_object_client_options *options,
                      struct ds_error *error)
{
  struct ds_object_client *client
      = talloc_zero (owner, struct ds_object_client);

  *out = NULL;
  if (client == NULL)
    return ds_error_set (error, DS_ENOMEM, "create platform client",
                         options->url, "out of memory");
  client->url = talloc_strdup (client, options->url);
  client->timeout_ms = options->timeout_ms;
  if (options->token != NULL && options->token[0] != '\0')
    {
      if (strpbrk (options->token, "\r\n") != NULL)
        {
          talloc_free (client);
          return ds_error_set (error, DS_EINVAL, "create platform client",
                               options->url, "the token has a line break");
        }
      client->authorization = talloc_asprintf (
          client, "Authorization: Bearer %s", options->token);
    }
  *out = client;
  return 0;
}

void
ds_object_client_free (struct ds_object_client *client)
{
  talloc_free (client);
}

/* Reads the object KIND, NAME.  */
int
ds_object_client_get (json_t **out, struct ds_object_client *client,
                      const char *kind, const char *name,
                      struct ds_error *error)
{
  struct call call = { .method = "GET",
                       .kind = kind,
                       .name = name,
                       .timeout_ms = client->timeout_ms };

  return check_and_call (out, client, &call, error);
}

/* Reads all objects of KIND as {"version","items"}.  */
int
ds_object_client_list (json_t **out, struct ds_object_client *client,
                       const char *kind, struct ds_error *error)
{
  struct call call
      = { .method = "GET", .kind = kind, .timeout_ms = client->timeout_ms };
  int status = check_and_call (out, client, &call, error);

  return status != 0 ? status : check_list (out, &call, "items", error);
}

/* Writes OBJECT, which contains its kind and name, if its current version is
   VERSION, or creates it if VERSION is 0.  OUT is the object as written, or
   with DS_ECONFLICT the current object, which may be null.  */
int
ds_object_client_put (json_t **out, struct ds_object_client *client,
                      const json_t *object, uint64_t version,
                      struct ds_error *error)
{
  char condition[48] = "If-None-Match: *";
  struct call call = { .method = "PUT",
                       .kind = ds_object_get_string (object, "kind"),
                       .name = ds_object_get_string (object, "name"),
                       .condition = condition,
                       .body = json_dumps (object, JSON_COMPACT),
                       .timeout_ms = client->timeout_ms };
  int status;

  if (version != 0)
    (void)snprintf (condition, sizeof condition, "If-Match: \"%" PRIu64 "\"",
                    version);
  status = check_and_call (out, client, &call, error);
  free (call.body);
  return status;
}

/* Deletes an object if its current version is VERSION.  OUT is null, or with
   DS_ECONFLICT the current object if the platform sent it.  */
int
ds_object_client_delete (json_t **out, struct ds_object_client *client,
                         const char *kind, const char *name, uint64_t version,
                         struct ds_error *error)
{
  char condition[48];
  struct call call = { .method = "DELETE",
                       .kind = kind,
                       .name = name,
                       .condition = condition,
                       .timeout_ms = client->timeout_ms };
  int status;

  (void)snprintf (condition, sizeof condition, "If-Match: \"%" PRIu64 "\"",
                  version);
  status = check_and_call (out, client, &call, error);
  if (status == 0)
    {
      json_decref (*out);
      *out = NULL;
    }
  return status;
}

/* Waits up to WAIT_MS for changes of KIND after version SINCE.  OUT is
   {"version","events"}.  Returns DS_ENOTFOUND when SINCE is too old and the
   caller has to list again.  */
int
ds_object_client_watch (json_t **out, struct ds_object_client *client,
                        const char *kind, uint64_t since, uint64_t wait_ms,
                        struct ds_error *error)
{
  char query[96];
  struct call call = { .method = "GET",
                       .kind = kind,
                       .query = query,
                       .timeout_ms = client->timeout_ms + wait_ms };
  int status;

  (void)snprintf (query, sizeof query,
                  "watch=1&since=%" PRIu64 "&timeout_ms=%" PRIu64, since,
                  wait_ms);
  status = check_and_call (out, client, &call, error);
  return status != 0 ? status : check_list (out, &call, "events", error);
}

/* Returns the version of OBJECT, 0 if it has none.  */
uint64_t
ds_object_get_version (const json_t *object)
{
  json_int_t version
      = json_integer_value (json_object_get (object, "version"));

  return version > 0 ? (uint64_t)version : 0;
}

/* Returns the string MEMBER of OBJECT, empty if it has none.  OBJECT owns the
   string.  */
const char *
ds_object_get_string (const json_t *object, const char *member)
{
  const char *text = json_string_value (json_object_get (object, member));

  return text != NULL ? text : "";
}
