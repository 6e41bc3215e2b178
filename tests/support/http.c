#include "http.h"

#include "daisystep/error.h"

#include <curl/curl.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define TIMEOUT_MS_DEFAULT 10000L

/* A call on its own thread.  */
struct test_http_task
{
  struct test_http_call call;
  struct test_http_response *response;
  pthread_t thread;
};

struct receiver
{
  struct test_http_response *response;
  size_t stop_after_bytes;
};

static pthread_once_t curl_once = PTHREAD_ONCE_INIT;

static void
init_curl (void)
{
  curl_global_init (CURL_GLOBAL_DEFAULT);
}

static void
append (struct test_http_response *response, struct ds_str *string,
        const char *data, size_t size)
{
  char *text = talloc_realloc_size (response, (void *)(uintptr_t)string->data,
                                    string->length + size + 1);

  memcpy (text + string->length, data, size);
  text[string->length + size] = '\0';
  *string = (struct ds_str){ .data = text, .length = string->length + size };
}

static size_t
on_header (char *data, size_t size, size_t count, void *closure)
{
  struct receiver *receiver = closure;

  append (receiver->response, &receiver->response->headers, data,
          size * count);
  return size * count;
}

/* Returns a short count, which makes curl close the connection, once
   STOP_AFTER_BYTES have been received.  */
static size_t
on_body (char *data, size_t size, size_t count, void *closure)
{
  struct receiver *receiver = closure;
  struct test_http_response *response = receiver->response;

  append (response, &response->body, data, size * count);
  if (receiver->stop_after_bytes > 0
      && response->body.length >= receiver->stop_after_bytes)
    return 0;
  return size * count;
}

static int
error_code (CURLcode result)
{
  if (result == CURLE_OK)
    return 0;
  return result == CURLE_OPERATION_TIMEDOUT ? DS_ETIMEOUT : DS_EUNAVAILABLE;
}

static void *
run_task (void *closure)
{
  struct test_http_task *task = closure;

  task->response = test_http (&task->call);
  return NULL;
}

/* Performs CALL and waits for its end.  The caller releases the response with
   talloc_free.  */
struct test_http_response *
test_http (const struct test_http_call *call)
{
  struct test_http_response *response
      = talloc_zero (NULL, struct test_http_response);
  struct receiver receiver = { response, call->stop_after_bytes };
  char *url = talloc_asprintf (NULL, "http://%s%s", call->address, call->path);
  struct curl_slist *headers = curl_slist_append (NULL, "Expect:");
  curl_off_t elapsed_us = 0;
  CURL *curl;

  pthread_once (&curl_once, init_curl);
  curl = curl_easy_init ();
  for (size_t i = 0; call->headers != NULL && call->headers[i] != NULL; i++)
    headers = curl_slist_append (headers, call->headers[i]);
  append (response, &response->headers, "", 0);
  append (response, &response->body, "", 0);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST,
                    call->method != NULL ? call->method : "GET");
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS,
                    call->timeout_ms > 0 ? call->timeout_ms
                                         : TIMEOUT_MS_DEFAULT);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, &receiver);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, &receiver);
  if (call->body != NULL)
    {
      curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)strlen (call->body));
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, call->body);
    }
  response->code = error_code (curl_easy_perform (curl));
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &response->status);
  curl_easy_getinfo (curl, CURLINFO_TOTAL_TIME_T, &elapsed_us);
  response->elapsed_ms = (long)(elapsed_us / 1000);
  curl_easy_cleanup (curl);
  curl_slist_free_all (headers);
  talloc_free (url);
  return response;
}

/* Starts CALL on another thread.  CALL is copied; the memory it points to must
   stay valid until test_http_join.  */
struct test_http_task *
test_http_start (const struct test_http_call *call)
{
  struct test_http_task *task = talloc_zero (NULL, struct test_http_task);

  task->call = *call;
  if (pthread_create (&task->thread, NULL, run_task, task) != 0)
    abort ();
  return task;
}

/* Waits for the end of TASK, releases it and returns the response.  */
struct test_http_response *
test_http_join (struct test_http_task *task)
{
  struct test_http_response *response;

  pthread_join (task->thread, NULL);
  response = task->response;
  talloc_free (task);
  return response;
}

/* The value of the response header NAME, owned by RESPONSE, or null.  */
char *
test_http_header (const struct test_http_response *response, const char *name)
{
  size_t length = strlen (name);
  const char *line = response->headers.data;

  while (line != NULL && *line != '\0')
    {
      if (strncasecmp (line, name, length) == 0 && line[length] == ':')
        {
          const char *value = line + length + 1;

          value += strspn (value, " ");
          return talloc_strndup (response, value, strcspn (value, "\r\n"));
        }
      line = strchr (line, '\n');
      if (line != NULL)
        line++;
    }
  return NULL;
}

/* The body parsed as JSON, or null if it is invalid.  The caller releases it.
 */
json_t *
test_http_json (const struct test_http_response *response)
{
  return json_loadb (response->body.data, response->body.length,
                     JSON_DECODE_ANY, NULL);
}

/* The JSON document at PATH, or null if the request failed or the status is
   not 200.  The caller releases it.  */
json_t *
test_get_json (const char *address, const char *path)
{
  struct test_http_call call = { .address = address, .path = path };
  struct test_http_response *response = test_http (&call);
  json_t *document = response->code == 0 && response->status == 200
                         ? test_http_json (response)
                         : NULL;

  talloc_free (response);
  return document;
}

/* Posts BODY and returns the status, or 0 without a complete response.  */
long
test_post (const char *address, const char *path, const char *body)
{
  struct test_http_call call
      = { .method = "POST", .address = address, .path = path, .body = body };
  struct test_http_response *response = test_http (&call);
  long status = response->code == 0 ? response->status : 0;

  talloc_free (response);
  return status;
}

/* The value in ROOT at PATH, whose elements are member names or array indices
   separated by slashes: "calls/0/state".  Null if there is none.  */
json_t *
test_json_at (json_t *root, const char *path)
{
  char *copy = talloc_strdup (NULL, path);
  char *rest = copy;
  const char *step;

  while (root != NULL && (step = strsep (&rest, "/")) != NULL)
    root = json_is_array (root)
               ? json_array_get (root, strtoul (step, NULL, 10))
               : json_object_get (root, step);
  talloc_free (copy);
  return root;
}
